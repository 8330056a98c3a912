//! A change of the operator's documents is in force everywhere in time,
//! whatever watches, gossip and nodes do.

use std::collections::BTreeSet;

use lagoondyke_core::fleet::event::{
    Call, Document, Event, Item, ObjectKind, StoreOutcome, Value,
};

use crate::requests::Harness;
use crate::support::{Simulation, WatchFault};

/// Time for the initial division of the keys.
const SETTLE_MS: u64 = 4_000;

/// Time within which a change of the configuration must be in force.
const APPLY_MS: u64 = 2_000;

/// Time within which a node must know that a domain is out of service; half of
/// the time allowed for the whole.
const OUT_KNOWN_MS: u64 = 2_500;

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

/// Guards against a change that no node hears of, since the watches of all are
/// open and silent: it was in force after up to 26.5 s.
#[test]
fn a_change_that_no_watch_reports_is_in_force_in_time() {
    for seed in 0..5 {
        let mut sim = settled(6, seed);
        sim.store_faults.watches = WatchFault::Silent(None);
        let wait = sim.random(1_500);
        sim.run(wait);
        sim.publish_config(2);
        sim.take_domain_out("d1");
        sim.run(APPLY_MS);
        assert_eq!(sim.config_versions(), [2].into(), "seed {seed}");
        sim.run(OUT_KNOWN_MS - APPLY_MS);
        let out = vec!["d1".to_owned()];
        assert_eq!(sim.domains_out(), [out].into(), "seed {seed}");
    }
}

/// Guards against a change that is skipped for good, since the watches are
/// answered without it and go on behind it.
#[test]
fn a_change_that_all_watches_skip_is_in_force_in_time() {
    let mut sim = settled(6, 1);
    sim.store_faults.watches = WatchFault::Empty;
    sim.publish_config(2);
    sim.run(APPLY_MS);
    assert_eq!(sim.config_versions(), [2].into());
}

/// Guards against a node that relies on peers for a change although it is cut
/// off from them.
#[test]
fn a_node_without_peers_and_watch_has_a_change_in_time() {
    let mut sim = settled(4, 1);
    for index in 0..3 {
        sim.kill_node(index);
    }
    sim.store_faults.watches = WatchFault::Silent(None);
    sim.run(2_000);
    sim.publish_config(2);
    sim.run(APPLY_MS);
    assert_eq!(sim.config_versions(), [2].into());
}

/// Guards against checks by each node: calls to the store are billed, and
/// their number must not grow with the fleet.
#[test]
fn one_node_of_each_domain_checks_the_documents() {
    let mut sim = settled(9, 1);
    sim.run(3_000);
    (sim.lists, sim.fetches) = (0, 0);
    sim.run(15_000);
    // Three domains, a listing of the configuration each second and one of
    // the domains each 1.5 s; each node lists the others once or twice.
    assert!(sim.lists <= 3 * (15 + 10) + 9 * 2, "{} lists", sim.lists);
    assert_eq!(sim.fetches, 0, "no document has changed");
}

/// Guards against a set of domains out of service that comes back older: one
/// that a listing has confirmed keeps the revision of its change, and a peer
/// may have a state between that change and the listing.
#[test]
fn a_confirmed_set_of_domains_is_not_replaced_by_an_earlier_state() {
    let mut harness = Harness::new();
    let listed = |revision, names: &[&str]| StoreOutcome::Listed {
        items: names.iter().map(|name| out_item(name)).collect(),
        revision,
    };
    let call = || Call::List(ObjectKind::Domains);
    harness.step(Event::StoreDone { call: call(), outcome: listed(100, &[]) });
    harness.step(Event::StoreDone { call: call(), outcome: listed(200, &[]) });
    let between = Document::Domains(120, ["d0".to_owned()].into());
    harness.step(Event::Document(between));
    let known = harness.fleet.document(ObjectKind::Domains);
    assert_eq!(known, Some(Document::Domains(100, BTreeSet::new())));
    let outcome = listed(300, &["d0"]);
    harness.step(Event::StoreDone { call: call(), outcome });
    let known = harness.fleet.document(ObjectKind::Domains);
    assert_eq!(known, Some(Document::Domains(300, ["d0".to_owned()].into())));
}

fn out_item(name: &str) -> Item {
    let value = Some(Value::Out);
    Item { name: name.to_owned(), revision: 1, value }
}
