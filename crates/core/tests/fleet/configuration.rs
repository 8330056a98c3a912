//! A change of the operator's documents is in force everywhere in time,
//! whatever watches, gossip and nodes do.

use crate::support::{Simulation, WatchFault};

/// Time for the initial division of the keys.
const SETTLE_MS: u64 = 4_000;

/// Time within which a change of the configuration must be in force.
const APPLY_MS: u64 = 2_000;

/// Time within which gossip of a node has reached all others.
const GOSSIP_MS: u64 = 250;

/// A fleet that runs under version 1 of the configuration.
fn settled(count: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, seed);
    sim.run(SETTLE_MS);
    assert_eq!(sim.config_versions(), [1].into());
    sim
}

/// Guards against a change that is known by gossip and never in force, since
/// the only node that has the document stops.
#[test]
fn a_change_whose_only_holder_stops_is_in_force_in_time() {
    let mut sim = settled(5, 1);
    sim.store_faults.watches = WatchFault::Silent(Some(0));
    sim.publish_config(2);
    sim.documents_lost = true;
    sim.run(GOSSIP_MS);
    assert_eq!(sim.config_versions(), [1, 2].into());
    sim.kill_node(0);
    sim.documents_lost = false;
    sim.run(APPLY_MS - GOSSIP_MS);
    assert_eq!(sim.config_versions(), [2].into());
}
