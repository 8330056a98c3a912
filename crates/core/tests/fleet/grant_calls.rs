//! Each key has at most one owner where upstreams are told their keys in
//! calls, which may be lost, unanswered, or applied late.

use lagoondyke_core::fleet::lease::LEASE_DURATION_MS;
use lagoondyke_core::fleet::settings::GrantMode;
use lagoondyke_core::fleet::upstream::{MAX_CALL_MS, MAX_GRANT_MS, Phase};

use crate::ownership::{RECOVERY_MS, SETTLE_MS, clear_faults, inject_fault};
use crate::support::{CallFaults, Simulation};

/// Time for which a node is frozen: others revoke its lease meanwhile.
const FREEZE_MS: u64 = 5_000;

/// Calls of which half are not answered and applied up to 6 s later.
const LATE_CALLS: CallFaults = CallFaults {
    unanswered_percent: 50,
    late: true,
    lost: false,
    reset: false,
};

/// A fleet whose keys have been divided and granted in calls.
fn settled(count: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::with_grants(GrantMode::Direct, count, seed);
    sim.run(SETTLE_MS);
    assert!(sim.held_ratio() > 0.999, "not all keys have an owner");
    sim
}

fn assert_no_violation(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", &sim.violations[..1]);
}

/// Guards against a fleet in which no upstream is ever given keys, or in which
/// grants end before they are renewed.
#[test]
fn keys_granted_in_calls_stay_granted() {
    for seed in 0..5 {
        let mut sim = settled(6, seed);
        sim.upstream_calls = 0;
        for _ in 0..100 {
            sim.run(100);
            assert!(sim.held_ratio() > 0.999, "{} held", sim.held_ratio());
        }
        // One renewal with each announcement, 0.87 s apart.
        assert!(sim.upstream_calls <= 6 * 13, "{}", sim.upstream_calls);
        assert_no_violation(&sim);
    }
}

/// Guards against keys that are lost because some calls are not answered.
#[test]
fn unanswered_calls_are_repeated_before_the_grant_ends() {
    let mut sim = settled(6, 7);
    sim.call_faults = CallFaults { late: false, ..LATE_CALLS };
    for _ in 0..100 {
        sim.run(100);
        assert!(sim.held_ratio() > 0.999, "{} held", sim.held_ratio());
    }
    assert_no_violation(&sim);
}

/// Guards against keys that stay lost when a late call has replaced a newer
/// grant with one that has ended: the next announcement shows it.
#[test]
fn keys_that_a_late_call_has_taken_are_granted_again() {
    let mut sim = settled(6, 7);
    let mut held = 0.0;
    sim.call_faults = LATE_CALLS;
    for _ in 0..100 {
        sim.run(100);
        held += sim.held_ratio() / 100.0;
    }
    // Half of the calls take the keys of a range away for half an interval
    // between announcements (0.87 s) at the most, on average, unless a renewal
    // comes before.
    assert!(held > 0.75, "{held} of keys held on average");
    sim.call_faults = CallFaults::default();
    sim.run(6_000 + 1_000);
    assert!(sim.held_ratio() > 0.999, "{} held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against a hand-over while a grant without an answer may still be
/// applied to the earlier owner.
#[test]
fn a_hand_over_waits_for_calls_that_may_be_applied_late() {
    for seed in 0..20 {
        let mut sim = settled(4, seed);
        sim.call_faults = LATE_CALLS;
        sim.run(1_500);
        sim.upstreams[2].phase = Phase::Draining;
        sim.run(2 * MAX_GRANT_MS + MAX_CALL_MS);
        sim.call_faults = CallFaults::default();
        sim.run(2_000);
        assert_eq!(sim.range_counts()[2], 0, "seed {seed}");
        assert_no_violation(&sim);
    }
}

/// Guards against a node that forgets the calls of the process before it:
/// one of them may be applied after the restart.
#[test]
fn a_restarted_node_waits_for_calls_of_the_earlier_process() {
    for seed in 0..20 {
        let mut sim = settled(4, seed);
        sim.call_faults = LATE_CALLS;
        sim.run(1_000);
        sim.kill_node(1);
        sim.start_node_in(1, 200);
        sim.run(400);
        sim.upstreams[1].phase = Phase::Draining;
        sim.call_faults = CallFaults::default();
        sim.run(8_000);
        assert_eq!(sim.range_counts()[1], 0, "seed {seed}");
        assert_no_violation(&sim);
    }
}

/// Guards against a new instance that gets keys under the token of the earlier
/// one, in a call sent before it has announced itself.
#[test]
fn a_new_instance_gets_no_key_under_an_old_token() {
    for seed in 0..40 {
        let mut sim = settled(4, seed);
        sim.call_faults = CallFaults { late: false, ..LATE_CALLS };
        for index in 0..4 {
            sim.run(100 + 90 * (seed % 8));
            sim.restart_upstream_in(index, 350);
        }
        sim.run(4_000);
        assert_no_violation(&sim);
    }
}

/// Guards against calls in quick succession to an upstream that resets each
/// connection, as one with too many connections does.
#[test]
fn calls_that_are_reset_are_not_repeated_at_once() {
    let mut sim = settled(4, 9);
    sim.call_faults = CallFaults {
        unanswered_percent: 100,
        lost: true,
        reset: true,
        ..CallFaults::default()
    };
    sim.upstream_calls = 0;
    sim.run(5_000);
    // Each node calls at most each 100 ms.
    assert!(sim.upstream_calls <= 4 * 50, "{} calls", sim.upstream_calls);
    sim.call_faults = CallFaults::default();
    sim.run(2_000);
    assert!(sim.held_ratio() > 0.999, "{} held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against releases that are lost for good: the keys are handed over
/// when the grant has ended.
#[test]
fn a_lost_release_delays_a_hand_over_until_the_grant_ends() {
    let mut sim = settled(4, 3);
    sim.upstreams[2].phase = Phase::Draining;
    sim.call_faults = CallFaults {
        unanswered_percent: 100,
        lost: true,
        ..CallFaults::default()
    };
    sim.run(1_000);
    assert_eq!(sim.range_counts()[2], 1, "it was handed over too early");
    sim.run(MAX_GRANT_MS + MAX_CALL_MS);
    sim.call_faults = CallFaults::default();
    sim.run(1_000);
    assert_eq!(sim.range_counts()[2], 0);
    assert!(sim.held_ratio() > 0.999, "{} held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against a move that waits for an announcement where upstreams can be
/// called: a key that moves is served again sooner than with answers to
/// announcements.
#[test]
fn a_move_by_calls_takes_no_longer_than_by_announcements() {
    let unserved = |mode| {
        let mut total = 0.0;
        for seed in 0..10 {
            let mut sim = Simulation::with_grants(mode, 4, seed);
            sim.run(SETTLE_MS);
            sim.upstreams[2].phase = Phase::Draining;
            for _ in 0..400 {
                sim.run(10);
                total += 10.0 * (1.0 - sim.held_ratio());
            }
            assert_no_violation(&sim);
        }
        total / 10.0
    };
    let announced = unserved(GrantMode::Heartbeat);
    let called = unserved(GrantMode::Direct);
    println!("unserved for {called} ms by calls, {announced} ms otherwise");
    assert!(called <= announced, "{called} ms, {announced} ms");
}

/// Guards against two owners under faults that overlap, where calls to
/// upstreams are lost, unanswered and applied late as well.
#[test]
fn faults_that_overlap_never_give_a_called_key_two_owners() {
    for seed in 200..224 {
        let mut sim = settled(5, seed);
        for _ in 0..14 {
            sim.call_faults = match sim.random(4) {
                0 => LATE_CALLS,
                1 => CallFaults { lost: true, ..LATE_CALLS },
                2 => CallFaults { late: false, ..LATE_CALLS },
                _ => CallFaults::default(),
            };
            inject_fault(&mut sim);
            let span = 200 + sim.random(2_500);
            sim.run(span);
        }
        clear_faults(&mut sim);
        sim.call_faults = CallFaults::default();
        sim.run(RECOVERY_MS + LEASE_DURATION_MS);
        assert!(
            sim.held_ratio() > 0.999,
            "seed {seed}: {} of keys held",
            sim.held_ratio()
        );
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {}",
            sim.violations[0]
        );
    }
}

/// Guards against a node that was frozen, takes an announcement which has waited
/// in its socket for a recent one, and opens a connection to the next instance
/// of its upstream: that took keys under the token of the instance before it.
#[test]
fn a_thawed_node_grants_nothing_to_an_instance_that_it_does_not_know() {
    for seed in 0..40 {
        let mut sim = settled(4, seed);
        let span = sim.random(900);
        sim.run(span);
        sim.pause_node(1, FREEZE_MS);
        // The next instance starts within 100 ms after the thaw.
        let before = 255 + sim.random(95);
        sim.run(FREEZE_MS - before);
        sim.restart_upstream_in(1, 350);
        sim.run(RECOVERY_MS);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {}",
            sim.violations[0]
        );
    }
}
