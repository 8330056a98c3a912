//! One owner per key, whatever is lost, late or cut off.

use lagoondyke_core::fleet::lease::{LEASE_DURATION_MS, RENEWAL_INTERVAL_MS};
use lagoondyke_core::fleet::upstream::Phase;

use crate::support::{Trouble, World};

/// Time for a first division, in milliseconds.
const SETTLE: u64 = 4_000;

/// Time after which a fleet without faults serves all keys, in milliseconds:
/// the term of a lost lease, its revocation, and the announcements after it.
const RECOVERY: u64 = LEASE_DURATION_MS + 5_000;

fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, seed);
    world.run(SETTLE);
    assert!(world.held() > 0.999, "not all keys have an owner");
    world
}

fn sound(world: &World) {
    assert!(world.faults.is_empty(), "{:?}", &world.faults[..1]);
}

/// Guards against a first division that leaves keys without an owner or
/// gives one twice.
#[test]
fn all_keys_are_divided_once() {
    for seed in 0..5 {
        sound(&settled(6, seed));
    }
}

/// Guards against a first division among the nodes that happen to be known
/// early: one node got all keys.
#[test]
fn the_first_division_waits_for_all_nodes() {
    for seed in 0..5 {
        let world = settled(6, seed);
        assert_eq!(world.ranges(), [1; 6], "seed {seed}");
    }
}

/// Guards against service that ends with any number of lost nodes.
#[test]
fn the_last_node_takes_over_everything() {
    let mut world = settled(5, 1);
    for index in 0..4 {
        world.kill_node(index);
        world.kill_upstream(index);
    }
    world.run(RECOVERY);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against a fleet that needs an operator after all of it restarted.
#[test]
fn a_fleet_that_restarts_as_a_whole_recovers() {
    let mut world = settled(5, 2);
    for index in 0..5 {
        world.kill_node(index);
        world.kill_upstream(index);
    }
    world.run(1_200);
    for index in 0..5 {
        world.start_node(index);
        world.start_upstream(index);
    }
    world.run(RECOVERY);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against keys that change owner when only the node restarts.
#[test]
fn a_restarted_node_keeps_its_keys() {
    let mut world = settled(4, 3);
    world.kill_node(1);
    world.start_node_in(1, 500);
    world.run(2_500);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against an upstream that starts with its node and gets its keys
/// only with the second announcement, 0.87 s later.
#[test]
fn a_restart_takes_less_than_an_interval_of_announcements() {
    let mut world = settled(4, 8);
    for index in 0..4 {
        world.kill_node(index);
        world.kill_upstream(index);
    }
    world.run(1_200);
    for index in 0..4 {
        world.start_node(index);
        world.start_upstream(index);
    }
    world.run(600);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against an outage of the store that interrupts service.
#[test]
fn an_outage_of_the_store_interrupts_nothing() {
    let mut world = settled(5, 4);
    world.trouble = Trouble { down: true, ..Trouble::default() };
    for _ in 0..45 {
        world.run(100);
        assert!(world.held() > 0.999, "held {}", world.held());
    }
    world.trouble = Trouble::default();
    world.run(2_000);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against keys that are not served because the store turns their
/// nodes away while it serves others: a third of all keys for 3 s.
#[test]
fn nodes_that_the_store_turns_away_keep_their_leases() {
    let mut world = settled(6, 11);
    for index in [1, 3, 4] {
        world.bar_node(index, true);
    }
    for _ in 0..120 {
        world.run(100);
        assert!(world.held() > 0.999, "held {}", world.held());
    }
    sound(&world);
}

/// Guards against calls that are repeated without end while the store is
/// down: refused ones are priced as well, and were half of a day's calls.
#[test]
fn an_outage_of_the_store_is_not_met_with_calls() {
    let mut world = settled(5, 4);
    world.trouble = Trouble { down: true, ..Trouble::default() };
    world.calls = 0;
    world.run(8_000);
    // Renewals in pauses of at most a second, and the feeds twice as rarely.
    assert!(world.calls <= 5 * 8 * 3, "{} calls", world.calls);
    world.trouble = Trouble::default();
    world.run(2_000);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against renewals more often than the lease needs: they are half of
/// all calls on a day without faults.
#[test]
fn leases_are_renewed_no_more_often_than_needed() {
    let mut world = settled(6, 12);
    world.run(3_000);
    world.calls = 0;
    world.run(20_000);
    let renewals = 6 * 20_000 / RENEWAL_INTERVAL_MS as u32;
    // Beside them, each node lists the others twice.
    assert!(world.calls <= renewals + 6 * 4, "{} calls", world.calls);
    sound(&world);
}

/// Guards against keys that stay with an upstream that leaves.
#[test]
fn an_upstream_that_drains_gives_up_its_keys() {
    let mut world = settled(4, 5);
    world.upstreams[2].phase = Phase::Draining;
    world.run(4_000);
    world.kill_upstream(2);
    world.run(100);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against nodes that change the table at the same time and meet each
/// other: four of five updates did when upstreams were replaced, and ranges
/// waited for seconds to be handed over.
#[test]
fn changes_of_many_nodes_do_not_meet_each_other() {
    let mut world = settled(40, 9);
    world.updates = (0, 0);
    for index in 10..40 {
        world.upstreams[index].phase = Phase::Draining;
    }
    world.run(2_500);
    let (done, met) = world.updates;
    assert!(met * 5 <= done, "{met} of {} updates met another", done + met);
    for index in 10..40 {
        world.kill_upstream(index);
    }
    world.run(100);
    assert!(world.held() > 0.999, "held {}", world.held());
    sound(&world);
}

/// Guards against changes that wait for a node which cannot write them: the
/// first in the order of names is cut off from the store, then lost.
#[test]
fn changes_are_made_without_the_node_that_combines_them() {
    for lost in [false, true] {
        let mut world = settled(6, 10);
        if lost {
            world.kill_node(0);
        } else {
            world.bar_node(0, true);
        }
        world.run(50);
        world.upstreams[4].phase = Phase::Draining;
        world.run(3_000);
        let ranges = world.ranges();
        assert_eq!(ranges[4], 0, "lost {lost}: {ranges:?}");
        sound(&world);
    }
}

/// Guards against two owners under faults that overlap: lost nodes and
/// upstreams, freezes, partitions, and a store that is down, turns nodes
/// away, loses answers and performs writes late.
#[test]
fn faults_that_overlap_never_give_a_key_two_owners() {
    for seed in 100..124 {
        let mut world = settled(5, seed);
        for _ in 0..14 {
            fault(&mut world);
            let span = 200 + world.random(2_500);
            world.run(span);
        }
        heal(&mut world);
        world.run(RECOVERY + LEASE_DURATION_MS);
        assert!(world.held() > 0.999, "seed {seed}: held {}", world.held());
        assert!(world.faults.is_empty(), "seed {seed}: {}", world.faults[0]);
    }
}

fn fault(world: &mut World) {
    let index = world.random(5) as usize;
    match world.random(12) {
        0 => {
            world.kill_node(index);
            let span = 300 + world.random(9_000);
            world.start_node_in(index, span);
        }
        1 => {
            world.kill_node(index);
            world.kill_upstream(index);
            let span = 300 + world.random(9_000);
            world.start_node_in(index, span);
        }
        2 => world.kill_upstream(index),
        3 => world.start_upstream(index),
        4 => {
            let span = world.random(9_000);
            world.freeze_node(index, span);
        }
        5 => world.link_node(index, false),
        6 => world.link_node(index, true),
        7 => world.bar_node(index, true),
        8 => world.bar_node(index, false),
        9 => world.trouble.down = !world.trouble.down,
        10 => world.trouble = Trouble { lost: 40, late: true, down: false },
        _ => world.trouble = Trouble::default(),
    }
}

fn heal(world: &mut World) {
    world.trouble = Trouble::default();
    for index in 0..5 {
        world.link_node(index, true);
        world.bar_node(index, false);
        world.start_node(index);
        if !world.upstreams[index].up {
            world.start_upstream(index);
        }
    }
}
