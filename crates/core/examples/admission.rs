//! Compares rules for the concurrency limit on a simulated upstream.
//!
//! The upstream has 12 slots and answers in 3 to 7 ms. A cold one bears one
//! request at a time and is slower; it warms up with the work it does. Work
//! beyond what it bears slows all requests down, and far beyond that for
//! half a second it crashes. Offered load is 70% of a warm upstream's.
//!
//! Run with `cargo run --release --example admission`.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::request::concurrency::{ConcurrencyLimit, Sample};
use lagoondyke_core::request::fair_queue::FairQueue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SLOTS: u16 = 12;
const RUN: u64 = 60_000;
const BUDGET: u64 = 1_000;
/// Arrivals per millisecond.
const RATE: f64 = 0.7 * SLOTS as f64 / 5.0;

/// A rule for the limit.
trait Rule {
    fn limit(&self) -> usize;
    fn full(&mut self) {}
    fn ended(&mut self, _since: u64, _sample: Sample, _now: u64) {}
    fn ages(&mut self, _ages: &[u64], _now: u64) -> bool {
        false
    }
    fn crashed(&mut self, _now: u64) {}
}

struct Fixed;

impl Rule for Fixed {
    fn limit(&self) -> usize {
        usize::from(SLOTS)
    }
}

/// Grows by one per limit's worth of answers, halves on an error.
struct Aimd(f64);

impl Rule for Aimd {
    fn limit(&self) -> usize {
        self.0 as usize
    }

    fn ended(&mut self, _since: u64, sample: Sample, _now: u64) {
        self.0 = match sample {
            Sample::Answered => self.0 + 1.0 / self.0,
            _ => self.0 / 2.0,
        };
        self.0 = self.0.clamp(1.0, SLOTS.into());
    }

    fn crashed(&mut self, _now: u64) {
        self.0 = 1.0;
    }
}

struct Adaptive(ConcurrencyLimit);

impl Rule for Adaptive {
    fn limit(&self) -> usize {
        self.0.value()
    }

    fn full(&mut self) {
        self.0.mark_saturated();
    }

    fn ended(&mut self, since: u64, sample: Sample, now: u64) {
        self.0.record(Millis(since), sample, Millis(now));
    }

    fn ages(&mut self, ages: &[u64], now: u64) -> bool {
        let Some(age) = self.0.stall_age_ms() else { return false };
        let old = ages.iter().filter(|&&a| a > age).count();
        self.0.report_stalled(old, ages.len(), Millis(now))
    }

    fn crashed(&mut self, now: u64) {
        self.0.record_crash(Millis(now));
    }
}

struct Job {
    arrived: u64,
    since: u64,
    /// Milliseconds of work left.
    work: f64,
}

struct Upstream {
    /// From 0 (cold) to 1 (warm).
    warmth: f64,
    /// Slowdown by a neighbour.
    slow: f64,
    jobs: Vec<Job>,
    over: u64,
    back: u64,
}

impl Upstream {
    /// Requests that it bears at once.
    fn bears(&self) -> f64 {
        1.0 + self.warmth * f64::from(SLOTS - 1)
    }

    /// Runs for a millisecond; returns what ended.
    fn run(&mut self) -> Vec<Job> {
        let n = self.jobs.len() as f64;
        let load = (n / self.bears()).max(1.0);
        let speed = (0.2 + 0.8 * self.warmth) / (load * load * self.slow);
        for job in &mut self.jobs {
            job.work -= speed;
        }
        let done: Vec<Job> =
            self.jobs.extract_if(.., |j| j.work <= 0.0).collect();
        self.warmth = (self.warmth + 0.002 * done.len() as f64).min(1.0);
        self.over = if load > 3.0 { self.over + 1 } else { 0 };
        done
    }
}

#[derive(Default)]
struct Tally {
    offered: usize,
    answered: usize,
    shed: usize,
    lost: usize,
    crashes: usize,
    latencies: Vec<u64>,
    /// Answers per 100 ms.
    answers: Vec<usize>,
}

struct World {
    upstream: Upstream,
    queue: FairQueue,
    arrivals: Vec<u64>,
    tally: Tally,
    random: Pcg64Mcg,
}

#[derive(Clone, Copy, PartialEq)]
enum Scene {
    Cold,
    ColdAgain,
    Neighbour(f64),
}

impl World {
    fn new(scene: Scene) -> Self {
        let warmth = if scene == Scene::Cold { 0.0 } else { 1.0 };
        let jobs = Vec::new();
        let upstream = Upstream { warmth, slow: 1.0, jobs, over: 0, back: 0 };
        Self {
            upstream,
            queue: FairQueue::new(),
            arrivals: Vec::new(),
            tally: Tally {
                answers: vec![0; RUN as usize / 100],
                ..Tally::default()
            },
            random: Pcg64Mcg::seed_from_u64(5),
        }
    }

    fn happen(&mut self, scene: Scene, now: u64) {
        match scene {
            Scene::ColdAgain if now == 20_000 => self.upstream.warmth = 0.0,
            Scene::Neighbour(slow) => {
                let during = (20_000..22_000).contains(&now);
                self.upstream.slow = if during { slow } else { 1.0 };
            }
            _ => {}
        }
    }

    fn arrive(&mut self, now: u64) {
        let mut left = RATE;
        while left > 0.0 && self.random.random::<f64>() < left {
            left -= 1.0;
            self.tally.offered += 1;
            let id = self.arrivals.len();
            self.arrivals.push(now);
            if self.queue.len() < usize::from(SLOTS) * 4 {
                self.queue.push("", 1, (Millis(now + BUDGET), id));
            } else {
                self.tally.shed += 1;
            }
        }
    }

    fn dispatch(&mut self, rule: &mut dyn Rule, now: u64) {
        while self.upstream.jobs.len() < rule.limit() {
            let Some((deadline, id)) = self.queue.pop() else { return };
            if deadline.0 <= now {
                self.tally.shed += 1;
                continue;
            }
            let work = self.random.random_range(3.0..7.0);
            let arrived = self.arrivals[id];
            self.upstream.jobs.push(Job { arrived, since: now, work });
        }
        rule.full();
    }

    fn run(&mut self, rule: &mut dyn Rule, now: u64) {
        for job in self.upstream.run() {
            rule.ended(job.since, Sample::Answered, now + 1);
            self.tally.answered += 1;
            self.tally.latencies.push(now + 1 - job.arrived);
            self.tally.answers[now as usize / 100] += 1;
        }
        let jobs = &mut self.upstream.jobs;
        for job in jobs.extract_if(.., |j| j.arrived + BUDGET <= now) {
            rule.ended(job.since, Sample::Cancelled, now);
            self.tally.lost += 1;
        }
        let ages: Vec<u64> =
            self.upstream.jobs.iter().map(|j| now - j.since).collect();
        if now.is_multiple_of(25) && rule.ages(&ages, now) {
            self.pull_back();
        }
        if self.upstream.over > 500 {
            self.tally.crashes += 1;
            self.tally.lost += ages.len();
            let jobs = Vec::new();
            let back = now + 2_000;
            self.upstream =
                Upstream { warmth: 0.0, slow: 1.0, jobs, over: 0, back };
            rule.crashed(now);
        }
    }

    /// Queues all jobs again but one and the 30% that are not idempotent.
    fn pull_back(&mut self) {
        let jobs = std::mem::take(&mut self.upstream.jobs);
        for (place, job) in jobs.into_iter().enumerate() {
            if place == 0 || place % 10 < 3 {
                self.upstream.jobs.push(job);
                continue;
            }
            let item = (Millis(job.arrived + BUDGET), self.arrivals.len());
            self.arrivals.push(job.arrived);
            self.queue.push("", 1, item);
        }
    }

    fn step(&mut self, scene: Scene, rule: &mut dyn Rule, now: u64) {
        self.happen(scene, now);
        self.arrive(now);
        if now >= self.upstream.back {
            self.dispatch(rule, now);
            self.run(rule, now);
        }
    }
}

fn report(name: &str, mut tally: Tally, from: usize) {
    tally.latencies.sort_unstable();
    let p99 = tally.latencies.len() * 99 / 100;
    let p99 = tally.latencies.get(p99).copied().unwrap_or_default();
    let target = (RATE * 100.0 * 0.9) as usize;
    // Full service: nine tenths of the offered load for half a second.
    let full = tally.answers[from..]
        .windows(5)
        .position(|w| w.iter().sum::<usize>() >= 5 * target);
    let full = full.map_or("never".into(), |p| format!("{}", p * 100));
    let percent = |n: usize| n as f64 * 100.0 / tally.offered as f64;
    println!(
        "  {name:9} answered {:6.2}%  not-run {:6.2}%  lost {:6.2}%  \
         crashes {:2}  p99 {p99:4} ms  full service after {full} ms",
        percent(tally.answered),
        percent(tally.shed),
        percent(tally.lost),
        tally.crashes,
    );
}

fn main() {
    let scenes = [
        ("cold start", Scene::Cold),
        ("cold again at 20 s, unannounced", Scene::ColdAgain),
        ("3 times slower from 20 s to 22 s", Scene::Neighbour(3.0)),
        ("8 times slower from 20 s to 22 s", Scene::Neighbour(8.0)),
    ];
    for (title, scene) in scenes {
        println!("{title}:");
        let rules: [(&str, Box<dyn Rule>); 3] = [
            ("fixed", Box::new(Fixed)),
            ("aimd", Box::new(Aimd(1.0))),
            (
                "adaptive",
                Box::new(Adaptive(ConcurrencyLimit::new(SLOTS, Millis(0)))),
            ),
        ];
        for (name, mut rule) in rules {
            let mut world = World::new(scene);
            for now in 0..RUN {
                world.step(scene, rule.as_mut(), now);
            }
            let from = if scene == Scene::Cold { 0 } else { 200 };
            report(name, world.tally, from);
        }
    }
}
