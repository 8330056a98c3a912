//! Compares the concurrency limit with and without a circuit breaker.
//!
//! The upstream has 12 slots and answers in 3 to 7 ms; offered load is 70% of
//! its capacity, with deadlines of 1 s. It is faulty from 10 s to 20 s of a
//! run of 30 s. A request counts as lost if it was dispatched and not
//! answered: its caller is told that it may have run.
//!
//! Run with `cargo run --release --example breaker`.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::request::breaker::Breaker;
use lagoondyke_core::request::concurrency::{ConcurrencyLimit, Sample};
use lagoondyke_core::request::fair_queue::FairQueue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Requests that the upstream runs concurrently.
const SLOT_COUNT: u16 = 12;
/// Simulated time of a run.
const RUN_MS: u64 = 30_000;
/// Time from the arrival of a request to its deadline.
const BUDGET_MS: u64 = 1_000;
/// Arrivals per millisecond, at a mean run time of 5 ms.
const ARRIVALS_PER_MS: f64 = 0.7 * SLOT_COUNT as f64 / 5.0;

/// Behaviour of the faulty upstream.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Accepts requests and does not answer.
    Frozen,
    /// Loses each request after a millisecond.
    Reset,
    /// Loses this share of requests after a millisecond.
    Flaky(f64),
    /// Alternates: loses each request for 200 ms, is healthy for 200 ms.
    Flapping,
}

/// A request at the upstream.
struct Job {
    deadline: u64,
    since: u64,
    end: u64,
    lost: bool,
}

struct Simulation {
    fault: Fault,
    limit: ConcurrencyLimit,
    breaker: Option<Breaker>,
    queue: FairQueue,
    jobs: Vec<Job>,
    offered: usize,
    answered: usize,
    refused: usize,
    lost: usize,
    /// Time from the end of the fault until nine tenths of the offered load
    /// are answered within 100 ms.
    recovered_ms: Option<u64>,
    /// Answers in the current window of 100 ms.
    window: usize,
    random: Pcg64Mcg,
}

impl Simulation {
    fn new(fault: Fault, breaker: Option<Breaker>) -> Self {
        Self {
            fault,
            limit: ConcurrencyLimit::new(SLOT_COUNT, Millis(0)),
            breaker,
            queue: FairQueue::new(),
            jobs: Vec::new(),
            offered: 0,
            answered: 0,
            refused: 0,
            lost: 0,
            recovered_ms: None,
            window: 0,
            random: Pcg64Mcg::seed_from_u64(9),
        }
    }

    /// Requests that may be at the upstream now.
    fn allowance(&self, now: u64) -> usize {
        let limit = self.limit.value();
        let breaker = self.breaker.as_ref();
        breaker.map_or(limit, |b| b.allowance(limit, Millis(now)))
    }

    /// Queues or refuses the requests that arrive in a millisecond.
    fn arrive(&mut self, now: u64) {
        let mut left = ARRIVALS_PER_MS;
        while left > 0.0 && self.random.random::<f64>() < left {
            left -= 1.0;
            self.offered += 1;
            let open = self.breaker.is_some_and(|b| b.is_open(Millis(now)));
            let wait = self.limit.expected_wait_ms(self.queue.len() + 1);
            let full = self.queue.len() >= 4 * usize::from(SLOT_COUNT);
            if open || full || wait >= BUDGET_MS {
                self.refused += 1;
                continue;
            }
            let item = (Millis(now + BUDGET_MS), self.offered);
            self.queue.push("", 1, item);
        }
    }

    /// When a request that starts now ends, and whether it is lost.
    fn outcome(&mut self, now: u64) -> (u64, bool) {
        let work = self.random.random_range(3..=7);
        let chance = self.random.random::<f64>();
        let faulty = (10_000..20_000).contains(&now);
        match self.fault {
            Fault::Frozen if faulty => (20_000 + work, false),
            Fault::Reset if faulty => (now + 1, true),
            Fault::Flaky(share) if faulty && chance < share => (now + 1, true),
            Fault::Flapping if faulty && (now / 200).is_multiple_of(2) => {
                (now + 1, true)
            }
            _ => (now + work, false),
        }
    }

    fn dispatch(&mut self, now: u64) {
        while self.jobs.len() < self.allowance(now) {
            let Some((deadline, _)) = self.queue.pop() else { return };
            if deadline.0 <= now {
                self.refused += 1;
                continue;
            }
            let (end, lost) = self.outcome(now);
            let deadline = deadline.0;
            self.jobs.push(Job { deadline, since: now, end, lost });
        }
        self.limit.mark_saturated();
    }

    /// Records the requests that end now or have reached their deadline.
    fn end(&mut self, now: u64) {
        let ended: Vec<Job> = self
            .jobs
            .extract_if(.., |j| j.end <= now || j.deadline <= now)
            .collect();
        for job in ended {
            let since = Millis(job.since);
            let sample = match (job.end <= now, job.lost) {
                (true, false) => Sample::Answered,
                (true, true) => Sample::Failed,
                (false, _) => Sample::Cancelled,
            };
            self.limit.record(since, sample, Millis(now));
            if sample == Sample::Answered {
                self.answered += 1;
                self.window += 1;
            } else {
                self.lost += 1;
            }
            let Some(breaker) = &mut self.breaker else { continue };
            if sample == Sample::Answered {
                breaker.record_answer(since);
            } else {
                breaker.record_failure(since, Millis(now));
            }
        }
    }

    /// Reports requests that are older than expected to the limit.
    fn report_stalled(&mut self, now: u64) {
        if let Some(age) = self.limit.stall_age_ms() {
            let old = self.jobs.iter().filter(|j| now - j.since > age);
            self.limit.report_stalled(
                old.count(),
                self.jobs.len(),
                Millis(now),
            );
        }
    }

    fn run(mut self) -> Self {
        for now in 0..RUN_MS {
            self.end(now);
            self.arrive(now);
            self.dispatch(now);
            if now.is_multiple_of(25) {
                self.report_stalled(now);
            }
            if now.is_multiple_of(100) {
                let target = (ARRIVALS_PER_MS * 100.0 * 0.9) as usize;
                let recovered = now > 20_000 && self.window >= target;
                if recovered && self.recovered_ms.is_none() {
                    self.recovered_ms = Some(now - 20_000);
                }
                self.window = 0;
            }
        }
        self
    }
}

fn main() {
    let faults = [
        ("frozen", Fault::Frozen),
        ("loses each request", Fault::Reset),
        ("loses 20% of requests", Fault::Flaky(0.2)),
        ("loses 50% of requests", Fault::Flaky(0.5)),
        ("flapping", Fault::Flapping),
    ];
    for (title, fault) in faults {
        println!("{title} for 10 s of 30 s:");
        let variants = [("limit", None), ("breaker", Some(Breaker::new()))];
        for (name, breaker) in variants {
            let sim = Simulation::new(fault, breaker).run();
            let recovered = sim.recovered_ms.unwrap_or(RUN_MS);
            println!(
                "  {name:8} answered {:5}  not-run {:5}  lost {:5}  \
                 full service {recovered} ms after the fault",
                sim.answered, sim.refused, sim.lost,
            );
        }
    }
}
