//! Placement, retries, deadlines, leases and the state of the upstream.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::id::Shard;
use lagoondyke_core::route::Lookup;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Harness, SLOT_COUNT, answered, brief, failed, from_peer, get, grant, node,
    post,
};

#[test]
fn own_grant_comes_before_the_map() {
    let mut harness = Harness::owner();
    harness.routes.owner = Lookup::Owner(node(1));
    assert_eq!(brief(&harness.arrive(get(1))), ["dispatch 1 shard 3"]);
    assert_eq!(brief(&harness.upstream_done(1, answered())), ["answer 1/0"]);
    assert!(harness.requests.is_empty());
}

#[test]
fn a_request_is_forwarded_and_answered_once() {
    let mut harness = Harness::ingress();
    assert_eq!(brief(&harness.arrive(get(1))), ["forward 1/0 1"]);
    assert!(
        harness.peer_done(1, 3, answered()).is_empty(),
        "an unknown attempt"
    );
    assert_eq!(brief(&harness.peer_done(1, 0, answered())), ["answer 1/0"]);
    assert!(
        harness.peer_done(1, 0, answered()).is_empty(),
        "a repeated answer"
    );
    assert!(harness.requests.is_empty());
}

#[test]
fn requests_that_can_never_run_are_refused_at_once() {
    let unknown = Arrival { service: "nope".into(), ..get(1) };
    let keyless = Arrival { key: None, ..get(1) };
    let expired = Arrival { timeout_ms: 0, ..from_peer(get(1)) };
    let foreign = Arrival { service: "udlaan".into(), ..from_peer(get(1)) };
    let table = [
        (unknown, "refuse 1 unknown-service NotRun"),
        (keyless, "refuse 1 bad-request NotRun"),
        (expired, "refuse 1 deadline-before NotRun"),
        (foreign, "refuse 1 not-owner NotRun"),
    ];
    for (arrival, expected) in table {
        let mut harness = Harness::owner();
        assert_eq!(brief(&harness.arrive(arrival)), [expected]);
        assert!(harness.requests.is_empty());
    }
}

#[test]
fn a_peer_is_refused_at_once_where_a_caller_waits() {
    for reason in [Reason::NotOwner, Reason::Moving, Reason::NoOwner] {
        let mut harness = Harness::new();
        harness.group.grant = Err(reason);
        let refused = format!("refuse 1 {} NotRun", reason.name());
        assert_eq!(brief(&harness.arrive(from_peer(get(1)))), [refused]);
        assert!(harness.arrive(get(2)).is_empty());
        assert_eq!(harness.requests.len(), 1);
    }
}

#[test]
fn waiting_ends_with_an_owner_or_at_the_deadline() {
    let mut harness = Harness::new();
    harness.arrive(get(1));
    harness.arrive(Arrival { timeout_ms: 100, ..get(2) });
    assert!(harness.tick_at(75).is_empty());
    let refused = "refuse 2 deadline-before NotRun";
    assert_eq!(brief(&harness.tick_at(100)), [refused]);
    harness.routes.owner = Lookup::Owner(node(1));
    assert_eq!(brief(&harness.tick_at(125)), ["forward 1/0 1"]);
}

#[test]
fn waiting_requests_wait_for_the_first_configuration() {
    let mut harness = Harness::ingress();
    let config = harness.config.take();
    assert!(harness.arrive(get(1)).is_empty());
    harness.config = config;
    assert_eq!(brief(&harness.tick_at(25)), ["forward 1/0 1"]);
}

/// Guards against retries of non-idempotent requests that may have run, and
/// against refusals of requests that are known not to have run.
#[test]
fn what_follows_a_failure_depends_on_verdict_and_method() {
    let retried = "forward 1/1 2";
    let table = [
        (Reason::NotOwner, retried, retried),
        (Reason::Moving, retried, retried),
        (Reason::NoOwner, retried, retried),
        (Reason::ConnectFailed, retried, retried),
        (Reason::Fenced, retried, retried),
        (
            Reason::ConnectionLost,
            retried,
            "refuse 1 connection-lost MayHaveRun",
        ),
        (Reason::AnswerCut, retried, "refuse 1 answer-cut MayHaveRun"),
        (Reason::LeaseLost, retried, "refuse 1 lease-lost MayHaveRun"),
        (
            Reason::DeadlineAfter,
            "refuse 1 deadline-after MayHaveRun",
            "refuse 1 deadline-after MayHaveRun",
        ),
        (
            Reason::Overloaded,
            "refuse 1 overloaded NotRun",
            "refuse 1 overloaded NotRun",
        ),
        (
            Reason::Poisoned,
            "refuse 1 poisoned NotRun",
            "refuse 1 poisoned NotRun",
        ),
    ];
    for (reason, idempotent, other) in table {
        for (arrival, expected) in [(get(1), idempotent), (post(1), other)] {
            let mut harness = Harness::ingress();
            harness.arrive(arrival);
            harness.routes.owner = Lookup::Owner(node(2));
            let out = harness.peer_done(1, 0, failed(reason));
            assert_eq!(brief(&out), [expected], "{reason:?}");
        }
    }
}

#[test]
fn a_failed_peer_is_not_asked_again_without_a_pause() {
    let mut harness = Harness::ingress();
    harness.arrive(get(1));
    assert!(harness.peer_done(1, 0, failed(Reason::NotOwner)).is_empty());
    assert_eq!(harness.routes.invalidations, 1);
    assert_eq!(brief(&harness.tick_at(25)), ["forward 1/1 1"]);
    assert!(harness.peer_done(1, 1, failed(Reason::NotOwner)).is_empty());
    assert!(harness.tick_at(50).is_empty(), "the second pause is longer");
    assert_eq!(brief(&harness.tick_at(75)), ["forward 1/2 1"]);
}

/// Guards against a refusal that reports the `not-run` of the last attempt
/// although an earlier attempt may have run.
#[test]
fn the_verdict_covers_all_attempts() {
    let mut harness = Harness::ingress();
    harness.arrive(get(1));
    harness.peer_done(1, 0, failed(Reason::ConnectionLost));
    harness.tick_at(25);
    let out = harness.peer_done(1, 1, failed(Reason::Overloaded));
    assert_eq!(brief(&out), ["refuse 1 overloaded MayHaveRun"]);
}

#[test]
fn retries_are_a_tenth_of_requests_after_a_burst() {
    let mut harness = Harness::ingress();
    let mut retried = 0;
    for ticket in 0..500 {
        harness.now = ticket;
        harness.arrive(get(ticket));
        let out = harness.peer_done(ticket, 0, failed(Reason::ConnectionLost));
        retried += usize::from(out.is_empty());
    }
    assert_eq!(retried, 10 + 49, "the first request finds a full budget");
}

#[test]
fn waiting_for_an_owner_does_not_use_the_budget() {
    let mut harness = Harness::ingress();
    for ticket in 0..100 {
        harness.arrive(get(ticket));
        assert!(
            harness.peer_done(ticket, 0, failed(Reason::NotOwner)).is_empty()
        );
    }
    assert_eq!(harness.requests.len(), 100);
}

#[test]
fn deadlines_and_departed_callers_stop_the_work() {
    let mut harness = Harness::ingress();
    harness.arrive(Arrival { timeout_ms: 50, ..get(1) });
    harness.arrive(get(2));
    let expired = ["abort 1/0", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&harness.tick_at(50)), expired);
    let cancelled = ["abort 2/0", "refuse 2 cancelled MayHaveRun"];
    assert_eq!(brief(&harness.cancel(2)), cancelled);

    let mut harness = Harness::warm();
    harness.arrive(Arrival { timeout_ms: 50, ..get(1) });
    harness.arrive(get(2));
    let expired = ["abort 1", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&harness.tick_after(50)), expired);
    let cancelled = ["abort 2", "refuse 2 cancelled MayHaveRun"];
    assert_eq!(brief(&harness.cancel(2)), cancelled);
    assert!(harness.requests.is_empty());
}

#[test]
fn a_lapsed_lease_cancels_work_in_flight() {
    for reason in [Reason::NoOwner, Reason::NotOwner] {
        let mut harness = Harness::warm();
        harness.arrive(post(1));
        harness.arrive(from_peer(get(2)));
        harness.group.grant = Err(reason);
        let expected = [
            "abort 1",
            "refuse 1 lease-lost MayHaveRun",
            "abort 2",
            "refuse 2 lease-lost MayHaveRun",
        ];
        assert_eq!(brief(&harness.tick_after(25)), expected);
    }
}

/// Guards against requests that outlast the lease: the next tick may come only
/// after the lease has ended.
#[test]
fn work_is_cancelled_before_the_lease_ends() {
    let mut harness = Harness::owner();
    harness.arrive(post(1));
    harness.group.grant = Ok(grant(3, 1_000));
    assert!(harness.tick_at(950).is_empty());
    assert_eq!(harness.tick_at(975).len(), 2);
}

/// Guards against planned moves that abort requests: those in flight must end
/// before the shard is released.
#[test]
fn work_of_a_moving_shard_is_finished() {
    let mut harness = Harness::owner();
    harness.arrive(post(1));
    harness.group.grant = Err(Reason::Moving);
    assert!(harness.tick_at(25).is_empty());
    assert_eq!(harness.requests.load(Millis(25)).shards[&Shard(3)], 1);
    assert_eq!(brief(&harness.upstream_done(1, answered())), ["answer 1/0"]);
    assert!(harness.requests.load(Millis(25)).shards.is_empty());
}

/// Guards against the release of a key's own shard while a request that was
/// dispatched under the key's former shard is in flight.
#[test]
fn load_counts_work_under_the_keys_present_shard() {
    let mut harness = Harness::owner();
    harness.arrive(post(1));
    harness.group.grant = Ok(grant(300, 60_000));
    harness.tick_at(25);
    let load = harness.requests.load(Millis(25));
    assert_eq!(load.shards.keys().collect::<Vec<_>>(), [&Shard(300)]);
}

#[test]
fn queued_work_is_checked_again_before_dispatch() {
    let mut harness = Harness::warm();
    for ticket in 0..u64::from(SLOT_COUNT) {
        harness.arrive(get(ticket));
    }
    assert!(harness.arrive(from_peer(get(10))).is_empty());
    harness.group.grant = Err(Reason::Moving);
    let expected = ["answer 0/0", "refuse 10 moving NotRun"];
    assert_eq!(brief(&harness.upstream_done(0, answered())), expected);
}

#[test]
fn the_queue_is_short_and_ordered_by_deadline() {
    let mut harness = Harness::warm();
    for ticket in 0..u64::from(SLOT_COUNT) {
        assert_eq!(harness.arrive(get(ticket)).len(), 1);
    }
    for ticket in 10..10 + 4 * u64::from(SLOT_COUNT) {
        let timeout_ms = 10_000 - ticket;
        assert!(
            harness.arrive(Arrival { timeout_ms, ..get(ticket) }).is_empty()
        );
    }
    let out = harness.arrive(get(30));
    assert_eq!(brief(&out), ["refuse 30 overloaded NotRun"]);
    let expected = ["answer 0/0", "dispatch 25 shard 3"];
    assert_eq!(brief(&harness.upstream_done(0, answered())), expected);
}

#[test]
fn nothing_is_dispatched_while_the_upstream_is_down() {
    let mut harness = Harness::owner();
    harness.with(|r, _, now, out| r.upstream_down(now, out));
    assert!(harness.arrive(get(1)).is_empty());
    let out = harness.arrive(from_peer(get(2)));
    assert_eq!(brief(&out), ["refuse 2 connect-failed NotRun"]);
    harness.with(|r, _, now, out| r.upstream_up(now, out));
    assert_eq!(brief(&harness.tick_at(25)), ["dispatch 1 shard 3"]);
}

/// Guards against an upstream that stays collapsed: it does not recover under
/// the load that it has.
#[test]
fn idempotent_work_of_a_stalled_upstream_is_withdrawn() {
    let mut harness = Harness::warm();
    harness.arrive(get(0));
    harness.arrive(post(1));
    harness.arrive(get(2));
    harness.arrive(from_peer(get(3)));
    assert!(harness.tick_after(50).is_empty(), "5 times the usual 10 ms");
    assert_eq!(brief(&harness.tick_after(25)), ["abort 2", "abort 3"]);
    assert_eq!(harness.limit(), 1);
    assert_eq!(brief(&harness.upstream_done(0, answered())), ["answer 0/0"]);
    let expected = ["answer 1/0", "dispatch 2 shard 3"];
    assert_eq!(brief(&harness.upstream_done(1, answered())), expected);
    let out = harness.cancel(3);
    assert_eq!(brief(&out), ["refuse 3 cancelled MayHaveRun"]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_shed_at_once() {
    let mut harness = Harness::warm();
    // Answers take 10 ms, 4 requests run at a time, and 7 wait.
    for ticket in 0..11 {
        harness.arrive(Arrival { timeout_ms: 24, ..get(ticket) });
    }
    let out = harness.arrive(Arrival { timeout_ms: 24, ..get(90) });
    assert_eq!(brief(&out), ["refuse 90 overloaded NotRun"]);
    assert!(harness.arrive(Arrival { timeout_ms: 40, ..get(91) }).is_empty());
}

#[test]
fn queued_work_that_cannot_meet_its_deadline_is_not_dispatched() {
    let mut harness = Harness::warm();
    for ticket in 0..u64::from(SLOT_COUNT) {
        harness.arrive(get(ticket));
    }
    harness.arrive(Arrival { timeout_ms: 30, ..get(10) });
    harness.now += 28;
    let expected = ["answer 0/0", "refuse 10 deadline-before NotRun"];
    assert_eq!(brief(&harness.upstream_done(0, answered())), expected);
}

#[test]
fn a_full_queue_evicts_a_request_of_the_heavy_partner() {
    let partner = |name: &str, ticket| Arrival {
        partner: Some(name.into()),
        ..get(ticket)
    };
    let mut harness = Harness::warm();
    for ticket in 0..u64::from(5 * SLOT_COUNT) {
        harness.arrive(partner("heavy", ticket));
    }
    let out = harness.arrive(partner("light", 90));
    assert_eq!(brief(&out), ["refuse 19 overloaded NotRun"]);
    let out = harness.arrive(partner("heavy", 91));
    assert_eq!(brief(&out), ["refuse 91 overloaded NotRun"]);
}

#[test]
fn a_crash_empties_the_queue_and_begins_cold() {
    let mut harness = Harness::warm();
    for ticket in 0..u64::from(SLOT_COUNT) {
        harness.arrive(get(ticket));
    }
    harness.arrive(from_peer(get(10)));
    harness.arrive(get(11));
    let out = harness.with(|r, _, now, out| r.upstream_down(now, out));
    assert_eq!(brief(&out[..1]), ["refuse 10 connect-failed NotRun"]);
    for ticket in 0..u64::from(SLOT_COUNT) {
        harness.cancel(ticket);
    }
    harness.with(|r, _, now, out| r.upstream_up(now, out));
    harness.arrive(get(12));
    assert_eq!(harness.limit(), 1);
    assert!(
        harness.tick_after(25).is_empty(),
        "request 12 takes the only slot"
    );
    assert_eq!(harness.requests.len(), 2);
}

/// Guards against shards that move because of a short failure, or that stay at
/// a node whose upstream is lost.
#[test]
fn an_upstream_is_reported_as_down_after_300_ms() {
    let mut harness = Harness::warm();
    let down =
        |harness: &Harness| harness.requests.load(Millis(harness.now)).down;
    harness.with(|r, _, now, out| r.upstream_down(now, out));
    for (span_ms, expected) in
        [(0, false), (299, false), (1, true), (60, true)]
    {
        harness.tick_after(span_ms);
        assert_eq!(down(&harness), expected, "after {span_ms} ms more");
    }
    harness.with(|r, _, now, out| r.upstream_up(now, out));
    assert!(!down(&harness));
}

/// Guards against a failed upstream that keeps losing requests: the
/// concurrency limit never falls below 1.
#[test]
fn an_upstream_that_loses_all_requests_gets_only_probes() {
    let mut harness = Harness::warm();
    for ticket in 0..10 {
        assert_eq!(harness.arrive(from_peer(post(ticket))).len(), 1);
        harness.now += 1;
        harness.upstream_done(ticket, failed(Reason::ConnectionLost));
    }
    let out = harness.arrive(from_peer(post(10)));
    assert_eq!(brief(&out), ["refuse 10 connect-failed NotRun"]);
    harness.now += 500;
    assert_eq!(harness.arrive(from_peer(post(11))).len(), 1, "a probe");
    assert!(harness.arrive(from_peer(post(12))).is_empty());
    let expected = [
        "refuse 12 connect-failed NotRun",
        "refuse 11 connection-lost MayHaveRun",
    ];
    let lost = failed(Reason::ConnectionLost);
    assert_eq!(brief(&harness.upstream_done(11, lost)), expected);
    harness.now += 500;
    harness.arrive(from_peer(post(13)));
    harness.upstream_done(13, answered());
    assert_eq!(harness.arrive(from_peer(post(14))).len(), 1);
}

/// Guards against callers with short deadlines that open the circuit breaker
/// for all others.
#[test]
fn only_long_silence_counts_against_the_upstream() {
    for (timeout_ms, refused) in [(100, false), (600, true)] {
        let mut harness = Harness::warm();
        for ticket in 0..10 {
            harness.arrive(Arrival { timeout_ms, ..from_peer(post(ticket)) });
            harness.tick_after(timeout_ms);
        }
        let out = brief(&harness.arrive(from_peer(post(20))));
        let down = out == ["refuse 20 connect-failed NotRun"];
        assert_eq!(down, refused, "{timeout_ms} ms: {out:?}");
    }
}
