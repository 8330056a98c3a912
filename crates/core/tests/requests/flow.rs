//! Placement, retries, deadlines and leases.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::id::Shard;
use lagoondyke_core::route::Lookup;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Bed, SLOTS, answered, brief, failed, from_peer, get, grant, node, post,
};

#[test]
fn own_grant_comes_before_the_map() {
    let mut bed = Bed::owner();
    bed.routes.owner = Lookup::Owner(node(1));
    assert_eq!(brief(&bed.arrive(get(1))), ["dispatch 1 shard 3"]);
    assert_eq!(brief(&bed.upstream(1, answered())), ["answer 1/0"]);
    assert!(bed.requests.is_empty());
}

#[test]
fn a_request_is_forwarded_and_answered_once() {
    let mut bed = Bed::ingress();
    assert_eq!(brief(&bed.arrive(get(1))), ["forward 1/0 1"]);
    assert!(bed.peer(1, 3, answered()).is_empty(), "of no known attempt");
    assert_eq!(brief(&bed.peer(1, 0, answered())), ["answer 1/0"]);
    assert!(bed.peer(1, 0, answered()).is_empty(), "a repeated answer");
    assert!(bed.requests.is_empty());
}

#[test]
fn requests_that_can_never_run_are_refused_at_once() {
    let unknown = Arrival { service: "nope".into(), ..get(1) };
    let keyless = Arrival { key: None, ..get(1) };
    let late = Arrival { timeout_ms: 0, ..from_peer(get(1)) };
    let foreign = Arrival { service: "udlaan".into(), ..from_peer(get(1)) };
    let table = [
        (unknown, "refuse 1 unknown-service NotRun"),
        (keyless, "refuse 1 bad-request NotRun"),
        (late, "refuse 1 deadline-before NotRun"),
        (foreign, "refuse 1 not-owner NotRun"),
    ];
    for (arrival, expected) in table {
        let mut bed = Bed::owner();
        assert_eq!(brief(&bed.arrive(arrival)), [expected]);
        assert!(bed.requests.is_empty());
    }
}

#[test]
fn a_peer_is_refused_at_once_where_a_caller_waits() {
    for reason in [Reason::NotOwner, Reason::Moving, Reason::NoOwner] {
        let mut bed = Bed::new();
        bed.group.grant = Err(reason);
        let refused = format!("refuse 1 {} NotRun", reason.name());
        assert_eq!(brief(&bed.arrive(from_peer(get(1)))), [refused]);
        assert!(bed.arrive(get(2)).is_empty());
        assert_eq!(bed.requests.len(), 1);
    }
}

#[test]
fn waiting_ends_with_an_owner_or_at_the_deadline() {
    let mut bed = Bed::new();
    bed.arrive(get(1));
    bed.arrive(Arrival { timeout_ms: 100, ..get(2) });
    assert!(bed.tick_at(75).is_empty());
    let refused = "refuse 2 deadline-before NotRun";
    assert_eq!(brief(&bed.tick_at(100)), [refused]);
    bed.routes.owner = Lookup::Owner(node(1));
    assert_eq!(brief(&bed.tick_at(125)), ["forward 1/0 1"]);
}

#[test]
fn waiting_requests_wait_for_the_first_configuration() {
    let mut bed = Bed::ingress();
    let config = bed.config.take();
    assert!(bed.arrive(get(1)).is_empty());
    bed.config = config;
    assert_eq!(brief(&bed.tick_at(25)), ["forward 1/0 1"]);
}

/// Guards against a retry of work that may have run, and against giving up
/// on work that is known not to have run.
#[test]
fn what_follows_a_failure_depends_on_verdict_and_method() {
    let again = "forward 1/1 2";
    let table = [
        (Reason::NotOwner, again, again),
        (Reason::Moving, again, again),
        (Reason::NoOwner, again, again),
        (Reason::ConnectFailed, again, again),
        (Reason::Fenced, again, again),
        (Reason::ConnectionLost, again, "refuse 1 connection-lost MayHaveRun"),
        (Reason::AnswerCut, again, "refuse 1 answer-cut MayHaveRun"),
        (Reason::LeaseLost, again, "refuse 1 lease-lost MayHaveRun"),
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
            let mut bed = Bed::ingress();
            bed.arrive(arrival);
            bed.routes.owner = Lookup::Owner(node(2));
            let out = bed.peer(1, 0, failed(reason));
            assert_eq!(brief(&out), [expected], "{reason:?}");
        }
    }
}

#[test]
fn a_failed_peer_is_not_asked_again_without_a_pause() {
    let mut bed = Bed::ingress();
    bed.arrive(get(1));
    assert!(bed.peer(1, 0, failed(Reason::NotOwner)).is_empty());
    assert_eq!(bed.routes.stale, 1);
    assert_eq!(brief(&bed.tick_at(25)), ["forward 1/1 1"]);
    assert!(bed.peer(1, 1, failed(Reason::NotOwner)).is_empty());
    assert!(bed.tick_at(50).is_empty(), "the second pause is longer");
    assert_eq!(brief(&bed.tick_at(75)), ["forward 1/2 1"]);
}

/// A late `not-run` must not hide that an earlier attempt may have run.
#[test]
fn the_verdict_covers_all_attempts() {
    let mut bed = Bed::ingress();
    bed.arrive(get(1));
    bed.peer(1, 0, failed(Reason::ConnectionLost));
    bed.tick_at(25);
    let out = bed.peer(1, 1, failed(Reason::Overloaded));
    assert_eq!(brief(&out), ["refuse 1 overloaded MayHaveRun"]);
}

#[test]
fn retries_are_a_tenth_of_requests_after_a_burst() {
    let mut bed = Bed::ingress();
    let mut retried = 0;
    for ticket in 0..500 {
        bed.now = ticket;
        bed.arrive(get(ticket));
        let out = bed.peer(ticket, 0, failed(Reason::ConnectionLost));
        retried += usize::from(out.is_empty());
    }
    assert_eq!(retried, 10 + 49, "the first request finds a full budget");
}

#[test]
fn waiting_for_an_owner_does_not_use_the_budget() {
    let mut bed = Bed::ingress();
    for ticket in 0..100 {
        bed.arrive(get(ticket));
        assert!(bed.peer(ticket, 0, failed(Reason::NotOwner)).is_empty());
    }
    assert_eq!(bed.requests.len(), 100);
}

#[test]
fn deadlines_and_departed_callers_stop_the_work() {
    let mut bed = Bed::ingress();
    bed.arrive(Arrival { timeout_ms: 50, ..get(1) });
    bed.arrive(get(2));
    let late = ["abort 1/0", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&bed.tick_at(50)), late);
    let gone = ["abort 2/0", "refuse 2 cancelled MayHaveRun"];
    assert_eq!(brief(&bed.cancel(2)), gone);

    let mut bed = Bed::warm();
    bed.arrive(Arrival { timeout_ms: 50, ..get(1) });
    bed.arrive(get(2));
    let late = ["abort 1", "refuse 1 deadline-after MayHaveRun"];
    assert_eq!(brief(&bed.tick_after(50)), late);
    let gone = ["abort 2", "refuse 2 cancelled MayHaveRun"];
    assert_eq!(brief(&bed.cancel(2)), gone);
    assert!(bed.requests.is_empty());
}

#[test]
fn a_lapsed_lease_cancels_work_in_flight() {
    for reason in [Reason::NoOwner, Reason::NotOwner] {
        let mut bed = Bed::warm();
        bed.arrive(post(1));
        bed.arrive(from_peer(get(2)));
        bed.group.grant = Err(reason);
        let expected = [
            "abort 1",
            "refuse 1 lease-lost MayHaveRun",
            "abort 2",
            "refuse 2 lease-lost MayHaveRun",
        ];
        assert_eq!(brief(&bed.tick_after(25)), expected);
    }
}

/// The next tick may come only after the lease's end.
#[test]
fn work_is_cancelled_before_the_lease_ends() {
    let mut bed = Bed::owner();
    bed.arrive(post(1));
    bed.group.grant = Ok(grant(3, 1_000));
    assert!(bed.tick_at(950).is_empty());
    assert_eq!(bed.tick_at(975).len(), 2);
}

/// Cutting off work of a shard that is merely moving would break a planned
/// move.
#[test]
fn work_of_a_moving_shard_is_finished() {
    let mut bed = Bed::owner();
    bed.arrive(post(1));
    bed.group.grant = Err(Reason::Moving);
    assert!(bed.tick_at(25).is_empty());
    assert_eq!(bed.requests.load(Millis(25)).shards[&Shard(3)], 1);
    assert_eq!(brief(&bed.upstream(1, answered())), ["answer 1/0"]);
    assert!(bed.requests.load(Millis(25)).shards.is_empty());
}

/// A key that got a shard of its own must not be released under the old.
#[test]
fn load_counts_work_under_the_keys_present_shard() {
    let mut bed = Bed::owner();
    bed.arrive(post(1));
    bed.group.grant = Ok(grant(300, 60_000));
    bed.tick_at(25);
    let load = bed.requests.load(Millis(25));
    assert_eq!(load.shards.keys().collect::<Vec<_>>(), [&Shard(300)]);
}

#[test]
fn queued_work_is_checked_again_before_dispatch() {
    let mut bed = Bed::warm();
    for ticket in 0..u64::from(SLOTS) {
        bed.arrive(get(ticket));
    }
    assert!(bed.arrive(from_peer(get(10))).is_empty());
    bed.group.grant = Err(Reason::Moving);
    let expected = ["answer 0/0", "refuse 10 moving NotRun"];
    assert_eq!(brief(&bed.upstream(0, answered())), expected);
}

#[test]
fn the_queue_is_short_and_ordered_by_deadline() {
    let mut bed = Bed::warm();
    for ticket in 0..u64::from(SLOTS) {
        assert_eq!(bed.arrive(get(ticket)).len(), 1);
    }
    for ticket in 10..10 + 4 * u64::from(SLOTS) {
        let timeout_ms = 10_000 - ticket;
        assert!(bed.arrive(Arrival { timeout_ms, ..get(ticket) }).is_empty());
    }
    let out = bed.arrive(get(30));
    assert_eq!(brief(&out), ["refuse 30 overloaded NotRun"]);
    let expected = ["answer 0/0", "dispatch 25 shard 3"];
    assert_eq!(brief(&bed.upstream(0, answered())), expected);
}

#[test]
fn nothing_is_dispatched_while_the_upstream_is_down() {
    let mut bed = Bed::owner();
    bed.with(|r, _, now, out| r.upstream_down(now, out));
    assert!(bed.arrive(get(1)).is_empty());
    let out = bed.arrive(from_peer(get(2)));
    assert_eq!(brief(&out), ["refuse 2 connect-failed NotRun"]);
    bed.with(|r, _, now, out| r.upstream_up(now, out));
    assert_eq!(brief(&bed.tick_at(25)), ["dispatch 1 shard 3"]);
}

/// A collapsed upstream does not recover under the load that it has.
#[test]
fn a_stalled_upstream_gets_its_idempotent_work_taken_back() {
    let mut bed = Bed::warm();
    bed.arrive(get(0));
    bed.arrive(post(1));
    bed.arrive(get(2));
    bed.arrive(from_peer(get(3)));
    assert!(bed.tick_after(50).is_empty(), "five times the usual 10 ms");
    assert_eq!(brief(&bed.tick_after(25)), ["abort 2", "abort 3"]);
    assert_eq!(bed.limit(), 1);
    assert_eq!(brief(&bed.upstream(0, answered())), ["answer 0/0"]);
    let expected = ["answer 1/0", "dispatch 2 shard 3"];
    assert_eq!(brief(&bed.upstream(1, answered())), expected);
    let out = bed.cancel(3);
    assert_eq!(brief(&out), ["refuse 3 cancelled MayHaveRun"]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_shed_at_once() {
    let mut bed = Bed::warm();
    // Answers take 10 ms, 4 requests run at a time, and 7 wait.
    for ticket in 0..11 {
        bed.arrive(Arrival { timeout_ms: 24, ..get(ticket) });
    }
    let out = bed.arrive(Arrival { timeout_ms: 24, ..get(90) });
    assert_eq!(brief(&out), ["refuse 90 overloaded NotRun"]);
    assert!(bed.arrive(Arrival { timeout_ms: 40, ..get(91) }).is_empty());
}

#[test]
fn queued_work_that_became_hopeless_is_not_dispatched() {
    let mut bed = Bed::warm();
    for ticket in 0..u64::from(SLOTS) {
        bed.arrive(get(ticket));
    }
    bed.arrive(Arrival { timeout_ms: 30, ..get(10) });
    bed.now += 28;
    let expected = ["answer 0/0", "refuse 10 deadline-before NotRun"];
    assert_eq!(brief(&bed.upstream(0, answered())), expected);
}

#[test]
fn a_heavy_partner_gives_way_in_a_full_queue() {
    let partner = |name: &str, ticket| Arrival {
        partner: Some(name.into()),
        ..get(ticket)
    };
    let mut bed = Bed::warm();
    for ticket in 0..u64::from(5 * SLOTS) {
        bed.arrive(partner("heavy", ticket));
    }
    let out = bed.arrive(partner("light", 90));
    assert_eq!(brief(&out), ["refuse 19 overloaded NotRun"]);
    let out = bed.arrive(partner("heavy", 91));
    assert_eq!(brief(&out), ["refuse 91 overloaded NotRun"]);
}

#[test]
fn a_crash_empties_the_queue_and_begins_cold() {
    let mut bed = Bed::warm();
    for ticket in 0..u64::from(SLOTS) {
        bed.arrive(get(ticket));
    }
    bed.arrive(from_peer(get(10)));
    bed.arrive(get(11));
    let out = bed.with(|r, _, now, out| r.upstream_down(now, out));
    assert_eq!(brief(&out[..1]), ["refuse 10 connect-failed NotRun"]);
    for ticket in 0..u64::from(SLOTS) {
        bed.cancel(ticket);
    }
    bed.with(|r, _, now, out| r.upstream_up(now, out));
    bed.arrive(get(12));
    assert_eq!(bed.limit(), 1);
    assert!(bed.tick_after(25).is_empty(), "12 takes the only place");
    assert_eq!(bed.requests.len(), 2);
}

/// Guards against shards that move for a moment's failure, or that stay with
/// a node whose upstream is lost.
#[test]
fn an_upstream_is_reported_as_down_after_a_while() {
    let mut bed = Bed::warm();
    let down = |bed: &Bed| bed.requests.load(Millis(bed.now)).down;
    bed.with(|r, _, now, out| r.upstream_down(now, out));
    for (span, expected) in [(0, false), (299, false), (1, true), (60, true)] {
        bed.tick_after(span);
        assert_eq!(down(&bed), expected, "after {span} ms more");
    }
    bed.with(|r, _, now, out| r.upstream_up(now, out));
    assert!(!down(&bed));
}

/// The limit alone would go on to lose one request after the other.
#[test]
fn an_upstream_that_loses_all_requests_gets_only_probes() {
    let mut bed = Bed::warm();
    for ticket in 0..10 {
        assert_eq!(bed.arrive(from_peer(post(ticket))).len(), 1);
        bed.now += 1;
        bed.upstream(ticket, failed(Reason::ConnectionLost));
    }
    let out = bed.arrive(from_peer(post(10)));
    assert_eq!(brief(&out), ["refuse 10 connect-failed NotRun"]);
    bed.now += 500;
    assert_eq!(bed.arrive(from_peer(post(11))).len(), 1, "a probe");
    assert!(bed.arrive(from_peer(post(12))).is_empty());
    let expected = [
        "refuse 12 connect-failed NotRun",
        "refuse 11 connection-lost MayHaveRun",
    ];
    let lost = failed(Reason::ConnectionLost);
    assert_eq!(brief(&bed.upstream(11, lost)), expected);
    bed.now += 500;
    bed.arrive(from_peer(post(13)));
    bed.upstream(13, answered());
    assert_eq!(bed.arrive(from_peer(post(14))).len(), 1);
}

/// Callers with short deadlines must not open the breaker for all others.
#[test]
fn only_long_silence_counts_against_the_upstream() {
    for (timeout_ms, refused) in [(100, false), (600, true)] {
        let mut bed = Bed::warm();
        for ticket in 0..10 {
            bed.arrive(Arrival { timeout_ms, ..from_peer(post(ticket)) });
            bed.tick_after(timeout_ms);
        }
        let out = brief(&bed.arrive(from_peer(post(20))));
        let down = out == ["refuse 20 connect-failed NotRun"];
        assert_eq!(down, refused, "{timeout_ms} ms: {out:?}");
    }
}
