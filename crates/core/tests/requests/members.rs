//! Services that are not partitioned by key: choice, retries, hedges.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Bed, answered, brief, failed, from_peer, get, member, post,
};

fn any(arrival: Arrival) -> Arrival {
    Arrival { key: None, service: "udlaan".into(), ..arrival }
}

/// An ingress of another service that knows these members.
fn ingress(members: &[u16]) -> Bed {
    let mut bed = Bed::new();
    bed.routes.members = members.iter().map(|&n| member(n)).collect();
    bed
}

/// The node that the first effect forwards to.
fn target(out: &[String]) -> char {
    assert!(out[0].starts_with("forward"), "{out:?}");
    out[0].chars().last().unwrap()
}

#[test]
fn a_member_that_refused_is_not_chosen_again() {
    for reason in [Reason::Overloaded, Reason::NotOwner, Reason::ConnectFailed]
    {
        let mut bed = ingress(&[]);
        assert!(bed.arrive(any(post(1))).is_empty(), "no member is known");
        bed.routes.members = vec![member(1), member(2)];
        let first = target(&brief(&bed.tick_at(25)));
        let next = target(&brief(&bed.peer(1, 0, failed(reason))));
        assert_ne!(first, next);
    }
}

#[test]
fn requests_spread_by_what_is_outstanding() {
    let mut bed = ingress(&[1, 2, 3, 4]);
    let mut counts = [0; 5];
    for ticket in 0..40 {
        let to = target(&brief(&bed.arrive(any(get(ticket)))));
        counts[to.to_digit(10).unwrap() as usize] += 1;
    }
    for count in &counts[1..] {
        assert!((8..=12).contains(count), "{counts:?}");
    }
}

/// Local overload is no reason to refuse work that others could do.
#[test]
fn a_busy_own_upstream_passes_work_on() {
    let mut bed = Bed::owner();
    let text = r#"{"operator": "jutland", "domains": {}, "services": {
        "katalog": {"keyed": false}}}"#;
    bed.config = Some(serde_json::from_str(text).unwrap());
    bed.routes.members = vec![member(0)];
    for ticket in 0..17 {
        bed.arrive(get(ticket));
    }
    bed.routes.members = vec![member(0), member(1)];
    bed.tick_at(100);
    let mut forwarded = 0;
    for ticket in 20..40 {
        let out = brief(&bed.arrive(get(ticket)));
        forwarded += usize::from(out[0].ends_with("/0 1"));
    }
    assert_eq!(forwarded, 20);
    let out = bed.arrive(from_peer(get(50)));
    assert_eq!(brief(&out), ["refuse 50 overloaded NotRun"]);
}

/// 400 requests that take 10 ms, so that the 95th percentile is known.
pub fn known_latency(bed: &mut Bed) {
    for ticket in 1_000..1_400 {
        bed.arrive(any(get(ticket)));
        bed.now += 10;
        bed.peer(ticket, 0, answered());
    }
}

#[test]
fn a_slow_request_is_hedged_and_answered_once() {
    let mut bed = ingress(&[1, 2]);
    known_latency(&mut bed);
    let first = target(&brief(&bed.arrive(any(get(1)))));
    bed.arrive(any(post(2)));
    assert!(bed.tick_after(10).is_empty());
    let out = brief(&bed.tick_after(1));
    assert_eq!(out.len(), 1, "the POST is not hedged: {out:?}");
    assert!(out[0].starts_with("forward 1/1"));
    assert_ne!(target(&out), first);
    let expected = ["abort 1/0", "answer 1/1"];
    assert_eq!(brief(&bed.peer(1, 1, answered())), expected);
    assert!(bed.peer(1, 0, answered()).is_empty());
    assert_eq!(bed.requests.len(), 1);
}

#[test]
fn a_hedged_request_fails_only_when_both_attempts_fail() {
    for (first, second) in [(0, 1), (1, 0)] {
        let mut bed = ingress(&[1, 2]);
        known_latency(&mut bed);
        bed.arrive(any(Arrival { timeout_ms: 100, ..get(1) }));
        bed.tick_after(11);
        let lost = failed(Reason::ConnectionLost);
        assert!(bed.peer(1, first, lost).is_empty());
        let out = bed.peer(1, second, failed(Reason::Poisoned));
        assert_eq!(brief(&out), ["refuse 1 poisoned MayHaveRun"]);
    }
}

#[test]
fn deadlines_and_departed_callers_end_both_attempts() {
    for cancelled in [false, true] {
        let mut bed = ingress(&[1, 2]);
        known_latency(&mut bed);
        bed.arrive(any(Arrival { timeout_ms: 50, ..get(1) }));
        bed.tick_after(11);
        let out = if cancelled { bed.cancel(1) } else { bed.tick_after(50) };
        let reason = if cancelled { "cancelled" } else { "deadline-after" };
        let refused = format!("refuse 1 {reason} MayHaveRun");
        assert_eq!(brief(&out), ["abort 1/0", "abort 1/1", &refused]);
    }
}

/// Hedges of a service that is slow as a whole would double its load.
#[test]
fn hedges_stay_within_their_budget() {
    let mut bed = ingress(&[1, 2, 3]);
    known_latency(&mut bed);
    let mut hedges = 0;
    for ticket in 0..400 {
        bed.arrive(any(get(ticket)));
        hedges += bed.tick_after(11).len();
    }
    assert!((20..=30).contains(&hedges), "5% of 400 and 10: {hedges}");
    assert_eq!(bed.requests.load(Millis(bed.now)).busy, 0);
}

/// A node beside a member that has request 1 at its own upstream and a
/// second attempt at node 1.
fn hedged_from_here() -> Bed {
    let mut bed = Bed::new();
    let text = r#"{"operator": "jutland", "domains": {}, "services": {
        "katalog": {"keyed": false, "hedge": true}}}"#;
    bed.config = Some(serde_json::from_str(text).unwrap());
    bed.routes.members = vec![member(0), member(1)];
    for ticket in 1_000..1_400 {
        bed.arrive(get(ticket));
        bed.now += 10;
        bed.peer(ticket, 0, answered());
    }
    bed.group.lease = Some(Millis(60_000));
    // Node 0 has no latency yet and looks better.
    assert_eq!(brief(&bed.arrive(get(1))), ["dispatch 1"]);
    assert_eq!(brief(&bed.tick_after(11)), ["forward 1/0 1"]);
    bed
}

/// The own upstream may be the straggler.
#[test]
fn a_request_at_the_own_upstream_is_hedged() {
    let mut bed = hedged_from_here();
    let expected = ["abort 1", "answer 1/0"];
    assert_eq!(brief(&bed.peer(1, 0, answered())), expected);
    assert!(bed.requests.is_empty());
    assert_eq!(bed.requests.load(Millis(bed.now)).busy, 0);

    let mut bed = hedged_from_here();
    let expected = ["abort 1/0", "answer 1/0"];
    assert_eq!(brief(&bed.upstream(1, answered())), expected);
    assert!(bed.requests.is_empty());

    let mut bed = hedged_from_here();
    assert!(bed.upstream(1, failed(Reason::ConnectionLost)).is_empty());
    assert_eq!(brief(&bed.peer(1, 0, answered())), ["answer 1/0"]);

    let mut bed = hedged_from_here();
    assert!(bed.peer(1, 0, failed(Reason::ConnectionLost)).is_empty());
    let out = bed.upstream(1, failed(Reason::Poisoned));
    assert_eq!(brief(&out), ["refuse 1 poisoned MayHaveRun"]);

    let mut bed = hedged_from_here();
    let expected =
        ["abort 1", "abort 1/0", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&bed.tick_after(5_000)), expected);
}

/// Being shed here must not end a request that runs elsewhere.
#[test]
fn a_hedge_outlives_the_place_in_the_queue() {
    let mut bed = hedged_from_here();
    bed.routes.members = vec![member(0)];
    bed.now += 100;
    for ticket in 2..18 {
        let timeout_ms = 10_000 - ticket;
        let partner = Some("heavy".into());
        let heavy = Arrival { timeout_ms, partner, ..get(ticket) };
        assert!(bed.arrive(heavy).is_empty(), "it is queued");
    }
    bed.routes.members = vec![member(0), member(1)];
    bed.now += 100;
    let out = brief(&bed.arrive(get(20)));
    assert!(out.contains(&"forward 2/0 1".into()), "{out:?}");
    bed.routes.members = vec![member(0)];
    bed.now += 100;
    assert!(bed.arrive(get(21)).is_empty(), "it takes the place of 2");
    assert_eq!(brief(&bed.peer(2, 0, answered())), ["answer 2/0"]);
}

/// Members are out of date for all groups of a service at once.
#[test]
fn failures_do_not_read_the_members_again_and_again() {
    let mut bed = ingress(&[1, 2, 3]);
    bed.now = 1_000;
    for ticket in 0..50 {
        bed.now += 1;
        bed.arrive(any(get(ticket)));
        bed.peer(ticket, 0, failed(Reason::NotOwner));
    }
    assert_eq!(bed.routes.stale, 1);
}
