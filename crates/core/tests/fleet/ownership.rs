//! Each key has at most one owner, whatever nodes, messages and store calls
//! are lost, late or cut off.

use lagoondyke_core::fleet::lease::{LEASE_DURATION_MS, RENEWAL_INTERVAL_MS};
use lagoondyke_core::fleet::upstream::Phase;

use crate::support::{Simulation, StoreFaults};

/// Time for the initial division of the keys.
pub const SETTLE_MS: u64 = 4_000;

/// Time after the last fault until all keys are served: the duration of a
/// lost lease, its revocation, and the announcements after it.
pub const RECOVERY_MS: u64 = LEASE_DURATION_MS + 5_000;

/// A fleet whose keys have been divided.
fn settled(count: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, seed);
    sim.run(SETTLE_MS);
    assert!(sim.held_ratio() > 0.999, "not all keys have an owner");
    sim
}

fn assert_no_violation(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", &sim.violations[..1]);
}

/// Guards against an initial division that leaves keys without an owner or
/// gives a key to two nodes.
#[test]
fn all_keys_are_divided_once() {
    for seed in 0..5 {
        assert_no_violation(&settled(6, seed));
    }
}

/// Guards against an initial division among only those nodes that are known
/// early: one node got all keys.
#[test]
fn the_first_division_waits_for_all_nodes() {
    for seed in 0..5 {
        let sim = settled(6, seed);
        assert_eq!(sim.range_counts(), [1; 6], "seed {seed}");
    }
}

/// Guards against keys that stay without an owner when all nodes but one are
/// lost.
#[test]
fn the_last_node_takes_over_everything() {
    let mut sim = settled(5, 1);
    for index in 0..4 {
        sim.kill_node(index);
        sim.kill_upstream(index);
    }
    sim.run(RECOVERY_MS);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against a fleet that needs an operator after all its nodes and
/// upstreams have restarted.
#[test]
fn a_fleet_that_restarts_as_a_whole_recovers() {
    let mut sim = settled(5, 2);
    for index in 0..5 {
        sim.kill_node(index);
        sim.kill_upstream(index);
    }
    sim.run(1_200);
    for index in 0..5 {
        sim.start_node(index);
        sim.start_upstream(index);
    }
    sim.run(RECOVERY_MS);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against keys that change owner when a node restarts but its upstream
/// keeps running.
#[test]
fn a_restarted_node_keeps_its_keys() {
    let mut sim = settled(4, 3);
    sim.kill_node(1);
    sim.start_node_in(1, 500);
    sim.run(2_500);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against an upstream that starts together with its node and is
/// granted its keys only in answer to its second announcement, 0.87 s later.
#[test]
fn a_restart_takes_less_than_an_interval_of_announcements() {
    let mut sim = settled(4, 8);
    for index in 0..4 {
        sim.kill_node(index);
        sim.kill_upstream(index);
    }
    sim.run(1_200);
    for index in 0..4 {
        sim.start_node(index);
        sim.start_upstream(index);
    }
    sim.run(600);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against a store outage of 4.5 s that interrupts service.
#[test]
fn an_outage_of_the_store_interrupts_nothing() {
    let mut sim = settled(5, 4);
    sim.store_faults = StoreFaults { down: true, ..StoreFaults::default() };
    for _ in 0..45 {
        sim.run(100);
        assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    }
    sim.store_faults = StoreFaults::default();
    sim.run(2_000);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against keys that are not served because the store rejects the calls
/// of their nodes while it serves others: a third of all keys were not served
/// for 3 s.
#[test]
fn nodes_that_the_store_turns_away_keep_their_leases() {
    let mut sim = settled(6, 11);
    for index in [1, 3, 4] {
        sim.set_store_denied(index, true);
    }
    for _ in 0..120 {
        sim.run(100);
        assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    }
    assert_no_violation(&sim);
}

/// Guards against frequent retries while the store is down: rejected calls are
/// billed as well, and were half of a day's calls.
#[test]
fn calls_to_a_store_that_is_down_are_limited() {
    let mut sim = settled(5, 4);
    sim.store_faults = StoreFaults { down: true, ..StoreFaults::default() };
    sim.calls = 0;
    sim.run(8_000);
    // The retry delay of renewals grows to 1 s, that of watches to 2 s.
    assert!(sim.calls <= 5 * 8 * 3, "{} calls", sim.calls);
    sim.store_faults = StoreFaults::default();
    sim.run(2_000);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against more frequent renewals than the lease needs: renewals are
/// half of all calls on a day without faults.
#[test]
fn leases_are_renewed_no_more_often_than_needed() {
    let mut sim = settled(6, 12);
    sim.run(3_000);
    (sim.calls, sim.lists) = (0, 0);
    sim.run(20_000);
    let renewals = 6 * 20_000 / RENEWAL_INTERVAL_MS as u32;
    // Besides, each node lists the others twice; the listings that check the
    // operator's documents are counted by a test of their own.
    let node_lists = 6 * 2;
    let other = sim.calls - sim.lists + node_lists;
    assert!(other <= renewals + 6 * 4, "{other} calls");
    assert_no_violation(&sim);
}

/// Guards against keys that stay with a draining upstream.
#[test]
fn an_upstream_that_drains_gives_up_its_keys() {
    let mut sim = settled(4, 5);
    sim.upstreams[2].phase = Phase::Draining;
    sim.run(4_000);
    sim.kill_upstream(2);
    sim.run(100);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against nodes whose updates of the table conflict with each other:
/// four of five did while upstreams were replaced, and ranges waited for
/// seconds to be handed over.
#[test]
fn updates_by_many_nodes_rarely_conflict() {
    let mut sim = settled(40, 9);
    sim.updates = (0, 0);
    for index in 10..40 {
        sim.upstreams[index].phase = Phase::Draining;
    }
    sim.run(2_500);
    let (done, conflicts) = sim.updates;
    assert!(
        conflicts * 5 <= done,
        "{conflicts} of {} updates conflicted",
        done + conflicts
    );
    for index in 10..40 {
        sim.kill_upstream(index);
    }
    sim.run(100);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against changes that wait for a node which cannot write them: the
/// first in the order of names, which combines the proposals of the others, is
/// cut off from the store, then lost.
#[test]
fn changes_are_made_without_the_node_that_combines_them() {
    for lost in [false, true] {
        let mut sim = settled(6, 10);
        if lost {
            sim.kill_node(0);
        } else {
            sim.set_store_denied(0, true);
        }
        sim.run(50);
        sim.upstreams[4].phase = Phase::Draining;
        sim.run(3_000);
        let ranges = sim.range_counts();
        assert_eq!(ranges[4], 0, "lost {lost}: {ranges:?}");
        assert_no_violation(&sim);
    }
}

/// Guards against two owners under faults that overlap: lost nodes and
/// upstreams, paused processes, partitions, and a store that is down, rejects
/// the calls of single nodes, loses answers and performs writes late.
#[test]
fn faults_that_overlap_never_give_a_key_two_owners() {
    for seed in 100..124 {
        let mut sim = settled(5, seed);
        for _ in 0..14 {
            inject_fault(&mut sim);
            let span = 200 + sim.random(2_500);
            sim.run(span);
        }
        clear_faults(&mut sim);
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

/// Starts or ends a random fault.
pub fn inject_fault(sim: &mut Simulation) {
    let index = sim.random(5) as usize;
    match sim.random(12) {
        0 => {
            sim.kill_node(index);
            let span = 300 + sim.random(9_000);
            sim.start_node_in(index, span);
        }
        1 => {
            sim.kill_node(index);
            sim.kill_upstream(index);
            let span = 300 + sim.random(9_000);
            sim.start_node_in(index, span);
        }
        2 => sim.kill_upstream(index),
        3 if sim.grants_in_calls() => sim.restart_upstream_in(index, 350),
        3 => sim.start_upstream(index),
        4 => {
            let span = sim.random(9_000);
            sim.pause_node(index, span);
        }
        5 => sim.set_connected(index, false),
        6 => sim.set_connected(index, true),
        7 => sim.set_store_denied(index, true),
        8 => sim.set_store_denied(index, false),
        9 => sim.store_faults.down = !sim.store_faults.down,
        10 => {
            sim.store_faults = StoreFaults {
                lost_percent: 40,
                late: true,
                ..StoreFaults::default()
            }
        }
        _ => sim.store_faults = StoreFaults::default(),
    }
}

/// Ends all faults.
pub fn clear_faults(sim: &mut Simulation) {
    sim.store_faults = StoreFaults::default();
    for index in 0..5 {
        sim.set_connected(index, true);
        sim.set_store_denied(index, false);
        sim.start_node(index);
        if !sim.upstreams[index].up {
            sim.start_upstream(index);
        }
    }
}
