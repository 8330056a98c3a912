//! The ownership protocol under faults. At each event the simulation asserts
//! that no key has two holders and that epochs and fences never go back.

mod support;

use lagoondyke_core::route::Lookup;
use support::{Sim, addr, config};

/// Target for the time without service after a loss, in milliseconds.
const TARGET: u64 = 3_000;

/// Nodes with settled leadership, standbys and placement.
fn settled(nodes: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(nodes, config(24, 1, true), seed);
    sim.run(6_000);
    assert!(sim.all_served());
    assert_eq!(sim.record(0).unwrap().standbys.len(), 2.min(nodes - 1));
    sim.reset_gap();
    sim
}

#[test]
fn sole_node_serves_soon_after_first_start() {
    let mut sim = Sim::new(1, config(24, 1, true), 1);
    sim.run(100);
    assert!(sim.all_served());
}

#[test]
fn shards_spread_evenly_over_members_that_join() {
    let sim = settled(6, 2);
    assert_eq!(sim.spread(), vec![4; 6]);
}

#[test]
fn lost_holder_is_replaced_within_target() {
    let mut sim = settled(6, 3);
    let leader = sim.leader().unwrap();
    let record = sim.record(0).unwrap();
    let plain = (0..6)
        .find(|&n| n != leader && !record.standbys.contains(&addr(n)))
        .unwrap();
    sim.kill(plain);
    sim.run(5_000);
    assert!(sim.all_served());
    assert!(sim.gap <= TARGET, "gap of {} ms", sim.gap);
}

#[test]
fn lost_leader_is_replaced_within_target() {
    let mut sim = settled(6, 4);
    let leader = sim.leader().unwrap();
    sim.kill(leader);
    sim.run(6_000);
    assert!(sim.all_served());
    assert!(sim.gap <= TARGET, "gap of {} ms", sim.gap);
    assert_eq!(sim.record(0).unwrap().standbys.len(), 2);
}

#[test]
fn store_outage_alone_does_not_interrupt_service() {
    let mut sim = settled(6, 5);
    sim.store.down = true;
    sim.run(60_000);
    assert!(sim.gap <= 1, "gap of {} ms", sim.gap);
}

#[test]
fn leaving_leader_hands_over_without_interruption() {
    let mut sim = settled(6, 6);
    let leader = sim.leader().unwrap();
    sim.leave(leader);
    for _ in 0..200 {
        sim.run(25);
        if sim.has_left(leader) {
            break;
        }
    }
    assert!(sim.has_left(leader));
    sim.kill(leader);
    sim.run(5_000);
    assert!(sim.all_served());
    assert!(sim.gap <= 100, "gap of {} ms", sim.gap);
}

#[test]
fn routes_follow_the_owner_after_a_takeover() {
    let mut sim = settled(6, 7);
    let leader = sim.leader().unwrap();
    let ingress = (0..6).find(|&n| n != leader).unwrap();
    let key = sim.keys[3];
    assert_eq!(sim.route(ingress, key), Lookup::Wait);
    sim.run(50);
    let owner = sim.holders(key)[0].0;
    assert_eq!(sim.route(ingress, key), Lookup::Owner(addr(owner)));
    sim.kill(leader);
    sim.run(5_000);
    sim.stale(ingress, key);
    sim.run(1_500);
    let owner = sim.holders(key)[0].0;
    assert_eq!(sim.route(ingress, key), Lookup::Owner(addr(owner)));
}

#[test]
fn domain_taken_out_serves_nothing_after_3_seconds() {
    let mut sim = settled(6, 8);
    let mut config = sim.configs[0].clone();
    config.domains.get_mut("vejle").unwrap().out = true;
    sim.configure(config);
    sim.run(3_000);
    let spread = sim.spread();
    assert_eq!((spread[1], spread[4]), (0, 0));
    assert!(sim.all_served());
    assert!(sim.gap <= 100, "gap of {} ms", sim.gap);
}

#[test]
fn paused_leader_that_wakes_grants_nothing() {
    let mut sim = settled(6, 9);
    let leader = sim.leader().unwrap();
    sim.pause(leader);
    sim.run(6_000);
    assert_ne!(sim.leader(), Some(leader));
    sim.wake(leader);
    sim.run(6_000);
    assert_ne!(sim.leader(), Some(leader));
    assert!(sim.gap <= TARGET, "gap of {} ms", sim.gap);
}

#[test]
fn isolated_leader_is_replaced_and_stops() {
    let mut sim = settled(6, 10);
    let leader = sim.leader().unwrap();
    sim.isolate(leader, true);
    sim.run(6_000);
    sim.isolate(leader, false);
    sim.run(6_000);
    assert!(sim.all_served());
    assert!(sim.gap <= TARGET, "gap of {} ms", sim.gap);
}
