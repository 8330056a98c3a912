//! Compares rules for the concurrency limit on a simulated upstream.
//!
//! The upstream has 12 slots and answers in 3 to 7 ms. A cold one can handle
//! one request at a time and is slower; it warms up with the requests that it
//! completes. More requests than it can handle slow all of them down, and
//! after half a second at more than three times as many it crashes. Offered
//! load is 70% of a warm upstream's capacity.
//!
//! Run with `cargo run --release --example admission`.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::request::concurrency::{ConcurrencyLimit, Sample};
use lagoondyke_core::request::fair_queue::FairQueue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Requests that a warm upstream runs concurrently.
const SLOT_COUNT: u16 = 12;
/// Simulated time of a run.
const RUN_MS: u64 = 60_000;
/// Time from the arrival of a request to its deadline.
const BUDGET_MS: u64 = 1_000;
/// Arrivals per millisecond, at a mean run time of 5 ms.
const ARRIVALS_PER_MS: f64 = 0.7 * SLOT_COUNT as f64 / 5.0;

/// A rule for the concurrency limit.
trait Rule {
    /// Requests that may run at once.
    fn limit(&self) -> usize;

    /// As many requests as allowed are running.
    fn mark_saturated(&mut self) {}

    /// A request that was dispatched at `since` has ended.
    fn record(&mut self, _since: u64, _sample: Sample, _now: u64) {}

    /// Gets the ages of all running requests. Returns whether most of them are
    /// to be queued again.
    fn check_ages(&mut self, _ages: &[u64], _now: u64) -> bool {
        false
    }

    /// The upstream has crashed.
    fn record_crash(&mut self, _now: u64) {}
}

/// A limit equal to the number of slots.
struct Fixed;

impl Rule for Fixed {
    fn limit(&self) -> usize {
        usize::from(SLOT_COUNT)
    }
}

/// Additive increase, multiplicative decrease: the limit grows by one after as
/// many answers as its value, and halves on an error.
struct Aimd(f64);

impl Rule for Aimd {
    fn limit(&self) -> usize {
        self.0 as usize
    }

    fn record(&mut self, _since: u64, sample: Sample, _now: u64) {
        self.0 = match sample {
            Sample::Answered => self.0 + 1.0 / self.0,
            _ => self.0 / 2.0,
        };
        self.0 = self.0.clamp(1.0, SLOT_COUNT.into());
    }

    fn record_crash(&mut self, _now: u64) {
        self.0 = 1.0;
    }
}

/// The limit that the router uses.
struct Adaptive(ConcurrencyLimit);

impl Rule for Adaptive {
    fn limit(&self) -> usize {
        self.0.value()
    }

    fn mark_saturated(&mut self) {
        self.0.mark_saturated();
    }

    fn record(&mut self, since: u64, sample: Sample, now: u64) {
        self.0.record(Millis(since), sample, Millis(now));
    }

    fn check_ages(&mut self, ages: &[u64], now: u64) -> bool {
        let Some(age) = self.0.stall_age_ms() else { return false };
        let old = ages.iter().filter(|&&a| a > age).count();
        self.0.report_stalled(old, ages.len(), Millis(now))
    }

    fn record_crash(&mut self, now: u64) {
        self.0.record_crash(Millis(now));
    }
}

/// A running request.
struct Job {
    arrived: u64,
    since: u64,
    /// Remaining run time at full speed, in milliseconds.
    work: f64,
}

struct Upstream {
    /// From 0 (cold) to 1 (warm).
    warmth: f64,
    /// Factor by which a noisy neighbour slows it down.
    slowdown: f64,
    jobs: Vec<Job>,
    /// Time for which it has been overloaded.
    overload_ms: u64,
    /// When it is up again after a crash.
    up_at: u64,
}

impl Upstream {
    /// Requests that it can handle concurrently.
    fn capacity(&self) -> f64 {
        1.0 + self.warmth * f64::from(SLOT_COUNT - 1)
    }

    /// Runs for a millisecond; returns the requests that were completed.
    fn run(&mut self) -> Vec<Job> {
        let n = self.jobs.len() as f64;
        let load = (n / self.capacity()).max(1.0);
        let speed = (0.2 + 0.8 * self.warmth) / (load * load * self.slowdown);
        for job in &mut self.jobs {
            job.work -= speed;
        }
        let done: Vec<Job> =
            self.jobs.extract_if(.., |j| j.work <= 0.0).collect();
        self.warmth = (self.warmth + 0.002 * done.len() as f64).min(1.0);
        self.overload_ms = if load > 3.0 { self.overload_ms + 1 } else { 0 };
        done
    }
}

/// Results of a run.
#[derive(Default)]
struct Results {
    offered: usize,
    answered: usize,
    shed: usize,
    lost: usize,
    crashes: usize,
    latencies: Vec<u64>,
    /// Answers per 100 ms.
    answers: Vec<usize>,
}

struct Simulation {
    upstream: Upstream,
    queue: FairQueue,
    /// Arrival times, by the index that a queued request has.
    arrivals: Vec<u64>,
    results: Results,
    random: Pcg64Mcg,
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    /// The upstream starts cold.
    Cold,
    /// A warm upstream turns cold at 20 s, unannounced.
    ColdAgain,
    /// A noisy neighbour slows the upstream down by this factor for 2 s.
    Neighbour(f64),
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let warmth = if scenario == Scenario::Cold { 0.0 } else { 1.0 };
        let jobs = Vec::new();
        let upstream =
            Upstream { warmth, slowdown: 1.0, jobs, overload_ms: 0, up_at: 0 };
        Self {
            upstream,
            queue: FairQueue::new(),
            arrivals: Vec::new(),
            results: Results {
                answers: vec![0; RUN_MS as usize / 100],
                ..Results::default()
            },
            random: Pcg64Mcg::seed_from_u64(5),
        }
    }

    /// Applies the changes of the scenario at this time.
    fn apply_scenario(&mut self, scenario: Scenario, now: u64) {
        match scenario {
            Scenario::ColdAgain if now == 20_000 => self.upstream.warmth = 0.0,
            Scenario::Neighbour(factor) => {
                let during = (20_000..22_000).contains(&now);
                self.upstream.slowdown = if during { factor } else { 1.0 };
            }
            _ => {}
        }
    }

    fn arrive(&mut self, now: u64) {
        let mut left = ARRIVALS_PER_MS;
        while left > 0.0 && self.random.random::<f64>() < left {
            left -= 1.0;
            self.results.offered += 1;
            let id = self.arrivals.len();
            self.arrivals.push(now);
            if self.queue.len() < usize::from(SLOT_COUNT) * 4 {
                self.queue.push("", 1, (Millis(now + BUDGET_MS), id));
            } else {
                self.results.shed += 1;
            }
        }
    }

    fn dispatch(&mut self, rule: &mut dyn Rule, now: u64) {
        while self.upstream.jobs.len() < rule.limit() {
            let Some((deadline, id)) = self.queue.pop() else { return };
            if deadline.0 <= now {
                self.results.shed += 1;
                continue;
            }
            let work = self.random.random_range(3.0..7.0);
            let arrived = self.arrivals[id];
            self.upstream.jobs.push(Job { arrived, since: now, work });
        }
        rule.mark_saturated();
    }

    fn run(&mut self, rule: &mut dyn Rule, now: u64) {
        for job in self.upstream.run() {
            rule.record(job.since, Sample::Answered, now + 1);
            self.results.answered += 1;
            self.results.latencies.push(now + 1 - job.arrived);
            self.results.answers[now as usize / 100] += 1;
        }
        let jobs = &mut self.upstream.jobs;
        for job in jobs.extract_if(.., |j| j.arrived + BUDGET_MS <= now) {
            rule.record(job.since, Sample::Cancelled, now);
            self.results.lost += 1;
        }
        let ages: Vec<u64> =
            self.upstream.jobs.iter().map(|j| now - j.since).collect();
        if now.is_multiple_of(25) && rule.check_ages(&ages, now) {
            self.requeue();
        }
        if self.upstream.overload_ms > 500 {
            self.results.crashes += 1;
            self.results.lost += ages.len();
            let jobs = Vec::new();
            let up_at = now + 2_000;
            self.upstream = Upstream {
                warmth: 0.0,
                slowdown: 1.0,
                jobs,
                overload_ms: 0,
                up_at,
            };
            rule.record_crash(now);
        }
    }

    /// Queues all running requests again except one and the 30% that are not
    /// idempotent.
    fn requeue(&mut self) {
        let jobs = std::mem::take(&mut self.upstream.jobs);
        for (index, job) in jobs.into_iter().enumerate() {
            if index == 0 || index % 10 < 3 {
                self.upstream.jobs.push(job);
                continue;
            }
            let item = (Millis(job.arrived + BUDGET_MS), self.arrivals.len());
            self.arrivals.push(job.arrived);
            self.queue.push("", 1, item);
        }
    }

    fn step(&mut self, scenario: Scenario, rule: &mut dyn Rule, now: u64) {
        self.apply_scenario(scenario, now);
        self.arrive(now);
        if now >= self.upstream.up_at {
            self.dispatch(rule, now);
            self.run(rule, now);
        }
    }
}

/// Prints the results. `from` is the window of 100 ms from which on full
/// service is looked for.
fn report(name: &str, mut results: Results, from: usize) {
    results.latencies.sort_unstable();
    let p99 = results.latencies.len() * 99 / 100;
    let p99 = results.latencies.get(p99).copied().unwrap_or_default();
    let target = (ARRIVALS_PER_MS * 100.0 * 0.9) as usize;
    // Full service: nine tenths of the offered load for half a second.
    let full = results.answers[from..]
        .windows(5)
        .position(|w| w.iter().sum::<usize>() >= 5 * target);
    let full = full.map_or("never".into(), |p| format!("{}", p * 100));
    let percent = |n: usize| n as f64 * 100.0 / results.offered as f64;
    println!(
        "  {name:9} answered {:6.2}%  not-run {:6.2}%  lost {:6.2}%  \
         crashes {:2}  p99 {p99:4} ms  full service after {full} ms",
        percent(results.answered),
        percent(results.shed),
        percent(results.lost),
        results.crashes,
    );
}

fn main() {
    let scenarios = [
        ("cold start", Scenario::Cold),
        ("cold again at 20 s, unannounced", Scenario::ColdAgain),
        ("3 times slower from 20 s to 22 s", Scenario::Neighbour(3.0)),
        ("8 times slower from 20 s to 22 s", Scenario::Neighbour(8.0)),
    ];
    for (title, scenario) in scenarios {
        println!("{title}:");
        let rules: [(&str, Box<dyn Rule>); 3] = [
            ("fixed", Box::new(Fixed)),
            ("aimd", Box::new(Aimd(1.0))),
            (
                "adaptive",
                Box::new(Adaptive(ConcurrencyLimit::new(
                    SLOT_COUNT,
                    Millis(0),
                ))),
            ),
        ];
        for (name, mut rule) in rules {
            let mut sim = Simulation::new(scenario);
            for now in 0..RUN_MS {
                sim.step(scenario, rule.as_mut(), now);
            }
            let from = if scenario == Scenario::Cold { 0 } else { 200 };
            report(name, sim.results, from);
        }
    }
}
