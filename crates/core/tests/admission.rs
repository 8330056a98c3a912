//! Admission at an upstream: its concurrency limit and its queue.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::request::concurrency::{ConcurrencyLimit, Sample};
use lagoondyke_core::request::fair_queue::FairQueue;

const SLOT_COUNT: u16 = 12;

/// Runs rounds of as many requests as the limit allows, until `span_ms` have
/// passed. `latency` returns the latency of a round in milliseconds, given its
/// number of requests.
fn run_rounds(
    limit: &mut ConcurrencyLimit,
    now: &mut u64,
    span_ms: u64,
    latency: impl Fn(usize) -> u64,
) {
    let end = *now + span_ms;
    while *now < end {
        let running = limit.value();
        limit.mark_saturated();
        let started = Millis(*now);
        *now += latency(running);
        for _ in 0..running {
            limit.record(started, Sample::Answered, Millis(*now));
        }
    }
}

/// A limit that has reached the slots at a latency of 5 ms, and the time.
fn warm() -> (ConcurrencyLimit, u64) {
    let mut limit = ConcurrencyLimit::new(SLOT_COUNT, Millis(0));
    let mut now = 0;
    run_rounds(&mut limit, &mut now, 3_000, |_| 5);
    assert_eq!(limit.value(), usize::from(SLOT_COUNT));
    assert!(!limit.is_cold());
    (limit, now)
}

#[test]
fn the_limit_grows_slowly_from_1_and_stops_at_the_slots() {
    let mut limit = ConcurrencyLimit::new(SLOT_COUNT, Millis(0));
    let mut now = 0;
    for second in 0..3_u64 {
        let least = (second * 9).clamp(1, 12);
        assert!(limit.value() as u64 >= least, "{second} s: {limit:?}");
        run_rounds(&mut limit, &mut now, 1_000, |_| 5);
        let most = (second + 1) * 10 + 1;
        assert!(limit.value() as u64 <= most.min(12), "{limit:?}");
    }
}

/// Guards against a limit that grows under light load, which does not show how
/// many requests the upstream can run at once.
#[test]
fn a_limit_that_is_not_used_does_not_grow() {
    let mut limit = ConcurrencyLimit::new(SLOT_COUNT, Millis(0));
    for ms in (0..5_000).step_by(10) {
        limit.record(Millis(ms), Sample::Answered, Millis(ms + 5));
    }
    assert_eq!(limit.value(), 1);
}

/// Guards against a limit far above the 4 requests that this upstream can run
/// at once.
#[test]
fn growth_ends_where_latency_jumps() {
    let mut limit = ConcurrencyLimit::new(SLOT_COUNT, Millis(0));
    let mut now = 0;
    for _ in 0..100 {
        run_rounds(&mut limit, &mut now, 100, |n| {
            if n <= 4 { 5 } else { 5 * (n * n / 4) as u64 }
        });
        assert!(limit.value() <= 6, "{limit:?}");
    }
    assert!(limit.value() >= 3);
}

/// Guards against a decreased limit of an upstream that is slow but not
/// overloaded, which only costs throughput.
#[test]
fn latency_that_a_decrease_does_not_reduce_is_accepted() {
    let (mut limit, mut now) = warm();
    run_rounds(&mut limit, &mut now, 3_000, |_| 15);
    assert_eq!(limit.value(), usize::from(SLOT_COUNT));
}

#[test]
fn an_upstream_that_turned_cold_is_detected() {
    let (mut limit, mut now) = warm();
    run_rounds(&mut limit, &mut now, 150, |_| 40);
    assert!(limit.is_cold());
    assert!(limit.value() <= 2, "{limit:?}");

    let (mut limit, now) = warm();
    let age = limit.stall_age_ms().unwrap();
    assert!((20..50).contains(&age), "{age}");
    assert!(!limit.report_stalled(2, 12, Millis(now)), "two are not enough");
    assert!(!limit.report_stalled(5, 12, Millis(now)), "fewer than half");
    assert!(limit.report_stalled(6, 12, Millis(now)));
    assert_eq!((limit.value(), limit.stall_age_ms()), (1, None));
}

#[test]
fn errors_decrease_the_limit_and_a_crash_sets_it_to_1() {
    let (mut limit, now) = warm();
    limit.record(Millis(now), Sample::Shed, Millis(now));
    assert_eq!(limit.value(), 8);
    limit.record(Millis(now - 1), Sample::Shed, Millis(now));
    assert_eq!(limit.value(), 8, "dispatched before the decrease");
    for i in 0..30 {
        let sample =
            if i % 5 == 0 { Sample::Failed } else { Sample::Answered };
        limit.record(Millis(now + 25 + i), sample, Millis(now + 30 + i));
    }
    assert!(limit.value() < 8, "{limit:?}");
    limit.record_crash(Millis(now + 100));
    assert_eq!(limit.value(), 1);
    assert!(limit.is_cold());
}

#[test]
fn partners_are_served_by_weight_and_not_by_demand() {
    let mut queue = FairQueue::new();
    let mut served = [0; 3];
    let mut next = 0;
    for _ in 0..600 {
        // The partner with the lowest weight has the most requests queued.
        for (partner, weight, most) in [(0, 3, 8), (1, 2, 8), (2, 1, 24)] {
            let name = ["a", "b", "c"][partner];
            while queue.requests_ahead(name, weight, Millis(u64::MAX)) < most {
                queue.push(name, weight, (Millis(0), next * 3 + partner));
                next += 1;
            }
        }
        let (_, id) = queue.pop().unwrap();
        served[id % 3] += 1;
    }
    assert_eq!(served, [300, 200, 100]);
}

#[test]
fn a_full_queue_evicts_for_partners_below_their_share() {
    let mut queue = FairQueue::new();
    for id in 0..10 {
        queue.push("heavy", 1, (Millis(id as u64), id));
    }
    queue.push("light", 1, (Millis(5), 20));
    assert_eq!(queue.evict_for("light", 1), Some((Millis(9), 9)));
    assert_eq!(queue.evict_for("heavy", 1), None);
    assert_eq!(queue.len(), 10);
    assert!(queue.remove("light", (Millis(5), 20)));
    assert!(!queue.remove("light", (Millis(5), 20)));
    assert_eq!(queue.len(), 9);
}

/// Guards against credit for idle time, with which a returning partner would
/// starve the others.
#[test]
fn a_returning_partner_does_not_catch_up() {
    let mut queue = FairQueue::new();
    for id in 0..100 {
        queue.push("a", 1, (Millis(0), id));
    }
    for _ in 0..50 {
        queue.pop();
    }
    for id in 200..300 {
        queue.push("b", 1, (Millis(0), id));
    }
    let ids: Vec<usize> =
        (0..20).filter_map(|_| queue.pop()).map(|i| i.1).collect();
    assert_eq!(ids.iter().filter(|&&id| id >= 200).count(), 10);
}

/// Guards against a decreased limit that costs throughput without reducing
/// errors.
#[test]
fn errors_that_a_decrease_does_not_reduce_are_accepted() {
    let (mut limit, mut now) = warm();
    let mut sum = 0;
    for request in 0..6_000_u64 {
        let failed = request % 5 == 0;
        let sample = if failed { Sample::Failed } else { Sample::Answered };
        now += 1;
        limit.mark_saturated();
        limit.record(Millis(now - 1), sample, Millis(now));
        sum += if request < 1_000 { 0 } else { limit.value() };
    }
    let mean = sum / 5_000;
    assert!(mean >= 10, "mean limit {mean}");
}

/// Guards against a limit that accepts the errors of a collapsed upstream as
/// normal: it fails all requests, before and after a decrease.
#[test]
fn a_limit_does_not_grow_while_most_requests_fail() {
    let (mut limit, mut now) = warm();
    for _ in 0..2_000 {
        now += 1;
        limit.mark_saturated();
        limit.record(Millis(now - 1), Sample::Failed, Millis(now));
    }
    assert_eq!(limit.value(), 1);
}
