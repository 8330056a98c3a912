//! Services that are not partitioned by key: load balancing, retries and
//! hedged requests.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Harness, answered, brief, failed, from_peer, get, member, post,
};

/// The same request for a service that is not partitioned by key.
fn unkeyed(arrival: Arrival) -> Arrival {
    Arrival { key: None, service: "udlaan".into(), ..arrival }
}

/// An ingress whose upstream has another service, and that knows these
/// members of the service.
fn ingress(members: &[u16]) -> Harness {
    let mut harness = Harness::new();
    harness.routes.members = members.iter().map(|&n| member(n)).collect();
    harness
}

/// Number of the node that the first effect forwards to.
fn forward_target(out: &[String]) -> char {
    assert!(out[0].starts_with("forward"), "{out:?}");
    out[0].chars().last().unwrap()
}

#[test]
fn a_member_that_refused_is_not_chosen_again() {
    for reason in [Reason::Overloaded, Reason::NotOwner, Reason::ConnectFailed]
    {
        let mut harness = ingress(&[]);
        assert!(
            harness.arrive(unkeyed(post(1))).is_empty(),
            "no member is known"
        );
        harness.routes.members = vec![member(1), member(2)];
        let first = forward_target(&brief(&harness.tick_at(25)));
        let next =
            forward_target(&brief(&harness.peer_done(1, 0, failed(reason))));
        assert_ne!(first, next);
    }
}

#[test]
fn requests_spread_by_what_is_outstanding() {
    let mut harness = ingress(&[1, 2, 3, 4]);
    let mut counts = [0; 5];
    for ticket in 0..40 {
        let to = forward_target(&brief(&harness.arrive(unkeyed(get(ticket)))));
        counts[to.to_digit(10).unwrap() as usize] += 1;
    }
    for count in &counts[1..] {
        assert!((8..=12).contains(count), "{counts:?}");
    }
}

/// Guards against refusals of requests that other members could run, because
/// the ingress's own upstream is overloaded.
#[test]
fn a_busy_own_upstream_passes_work_on() {
    let mut harness = Harness::owner();
    let text = r#"{"operator": "jutland", "domains": {}, "services": {
        "katalog": {"keyed": false}}}"#;
    harness.config = Some(serde_json::from_str(text).unwrap());
    harness.routes.members = vec![member(0)];
    for ticket in 0..17 {
        harness.arrive(get(ticket));
    }
    harness.routes.members = vec![member(0), member(1)];
    harness.tick_at(100);
    let mut forwarded = 0;
    for ticket in 20..40 {
        let out = brief(&harness.arrive(get(ticket)));
        forwarded += usize::from(out[0].ends_with("/0 1"));
    }
    assert_eq!(forwarded, 20);
    let out = harness.arrive(from_peer(get(50)));
    assert_eq!(brief(&out), ["refuse 50 overloaded NotRun"]);
}

/// Runs 400 requests that take 10 ms each, which is enough samples for the
/// 95th percentile of the latency.
pub fn record_latencies(harness: &mut Harness) {
    for ticket in 1_000..1_400 {
        harness.arrive(unkeyed(get(ticket)));
        harness.now += 10;
        harness.peer_done(ticket, 0, answered());
    }
}

#[test]
fn a_slow_request_is_hedged_and_answered_once() {
    let mut harness = ingress(&[1, 2]);
    record_latencies(&mut harness);
    let first = forward_target(&brief(&harness.arrive(unkeyed(get(1)))));
    harness.arrive(unkeyed(post(2)));
    assert!(harness.tick_after(10).is_empty());
    let out = brief(&harness.tick_after(1));
    assert_eq!(out.len(), 1, "the POST is not hedged: {out:?}");
    assert!(out[0].starts_with("forward 1/1"));
    assert_ne!(forward_target(&out), first);
    let expected = ["abort 1/0", "answer 1/1"];
    assert_eq!(brief(&harness.peer_done(1, 1, answered())), expected);
    assert!(harness.peer_done(1, 0, answered()).is_empty());
    assert_eq!(harness.requests.len(), 1);
}

#[test]
fn a_hedged_request_fails_only_when_both_attempts_fail() {
    for (first, second) in [(0, 1), (1, 0)] {
        let mut harness = ingress(&[1, 2]);
        record_latencies(&mut harness);
        harness.arrive(unkeyed(Arrival { timeout_ms: 100, ..get(1) }));
        harness.tick_after(11);
        let lost = failed(Reason::ConnectionLost);
        assert!(harness.peer_done(1, first, lost).is_empty());
        let out = harness.peer_done(1, second, failed(Reason::Poisoned));
        assert_eq!(brief(&out), ["refuse 1 poisoned MayHaveRun"]);
    }
}

#[test]
fn deadlines_and_departed_callers_end_both_attempts() {
    for cancelled in [false, true] {
        let mut harness = ingress(&[1, 2]);
        record_latencies(&mut harness);
        harness.arrive(unkeyed(Arrival { timeout_ms: 50, ..get(1) }));
        harness.tick_after(11);
        let out =
            if cancelled { harness.cancel(1) } else { harness.tick_after(50) };
        let reason = if cancelled { "cancelled" } else { "deadline-after" };
        let refused = format!("refuse 1 {reason} MayHaveRun");
        assert_eq!(brief(&out), ["abort 1/0", "abort 1/1", &refused]);
    }
}

/// Guards against hedges that double the load of a service of which all
/// members are slow.
#[test]
fn hedges_stay_within_their_budget() {
    let mut harness = ingress(&[1, 2, 3]);
    record_latencies(&mut harness);
    let mut hedges = 0;
    for ticket in 0..400 {
        harness.arrive(unkeyed(get(ticket)));
        hedges += harness.tick_after(11).len();
    }
    assert!((20..=30).contains(&hedges), "5% of 400 and 10: {hedges}");
    assert_eq!(harness.requests.load(Millis(harness.now)).busy, 0);
}

/// A node that runs request 1 at its own upstream and has a second attempt at
/// node 1.
fn hedged_at_own_upstream() -> Harness {
    let mut harness = Harness::new();
    let text = r#"{"operator": "jutland", "domains": {}, "services": {
        "katalog": {"keyed": false, "hedge": true}}}"#;
    harness.config = Some(serde_json::from_str(text).unwrap());
    harness.routes.members = vec![member(0), member(1)];
    for ticket in 1_000..1_400 {
        harness.arrive(get(ticket));
        harness.now += 10;
        harness.peer_done(ticket, 0, answered());
    }
    harness.group.lease = Some(Millis(60_000));
    // Node 0 has no samples, and the latency assumed for it is lower.
    assert_eq!(brief(&harness.arrive(get(1))), ["dispatch 1"]);
    assert_eq!(brief(&harness.tick_after(11)), ["forward 1/0 1"]);
    harness
}

/// Guards against requests that are hedged only if the slow member is another
/// node: the ingress's own upstream may be slow.
#[test]
fn a_request_at_the_own_upstream_is_hedged() {
    let mut harness = hedged_at_own_upstream();
    let expected = ["abort 1", "answer 1/0"];
    assert_eq!(brief(&harness.peer_done(1, 0, answered())), expected);
    assert!(harness.requests.is_empty());
    assert_eq!(harness.requests.load(Millis(harness.now)).busy, 0);

    let mut harness = hedged_at_own_upstream();
    let expected = ["abort 1/0", "answer 1/0"];
    assert_eq!(brief(&harness.upstream_done(1, answered())), expected);
    assert!(harness.requests.is_empty());

    let mut harness = hedged_at_own_upstream();
    assert!(
        harness.upstream_done(1, failed(Reason::ConnectionLost)).is_empty()
    );
    assert_eq!(brief(&harness.peer_done(1, 0, answered())), ["answer 1/0"]);

    let mut harness = hedged_at_own_upstream();
    assert!(
        harness.peer_done(1, 0, failed(Reason::ConnectionLost)).is_empty()
    );
    let out = harness.upstream_done(1, failed(Reason::Poisoned));
    assert_eq!(brief(&out), ["refuse 1 poisoned MayHaveRun"]);

    let mut harness = hedged_at_own_upstream();
    let expected =
        ["abort 1", "abort 1/0", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&harness.tick_after(5_000)), expected);
}

/// Guards against a request that ends because this node's queue evicts it,
/// while its hedge runs at a peer.
#[test]
fn a_hedge_continues_after_its_request_is_evicted() {
    let mut harness = hedged_at_own_upstream();
    harness.routes.members = vec![member(0)];
    harness.now += 100;
    for ticket in 2..18 {
        let timeout_ms = 10_000 - ticket;
        let partner = Some("heavy".into());
        let arrival = Arrival { timeout_ms, partner, ..get(ticket) };
        assert!(harness.arrive(arrival).is_empty(), "it is queued");
    }
    harness.routes.members = vec![member(0), member(1)];
    harness.now += 100;
    let out = brief(&harness.arrive(get(20)));
    assert!(out.contains(&"forward 2/0 1".into()), "{out:?}");
    harness.routes.members = vec![member(0)];
    harness.now += 100;
    assert!(harness.arrive(get(21)).is_empty(), "it evicts request 2");
    assert_eq!(brief(&harness.peer_done(2, 0, answered())), ["answer 2/0"]);
}

/// Guards against a read of the members after each failure: one read refreshes
/// the members of all groups of the service.
#[test]
fn repeated_failures_read_the_members_once() {
    let mut harness = ingress(&[1, 2, 3]);
    harness.now = 1_000;
    for ticket in 0..50 {
        harness.now += 1;
        harness.arrive(unkeyed(get(ticket)));
        harness.peer_done(ticket, 0, failed(Reason::NotOwner));
    }
    assert_eq!(harness.routes.invalidations, 1);
}
