//! A restore of the store from an earlier copy takes back what the nodes have
//! written. Keys keep a single owner and their tokens rise, whatever was lost.

use lagoondyke_core::fleet::config::{Config, Service};
use lagoondyke_core::fleet::effect::{Effect, Op};
use lagoondyke_core::fleet::event::{
    Call, Document, Event, Item, ObjectKind, StoreOutcome, Value,
};
use lagoondyke_core::fleet::gossip::{Gossip, Versions};
use lagoondyke_core::fleet::lease::{LEASE_DURATION_MS, Record};
use lagoondyke_core::fleet::revision::qualify;
use lagoondyke_core::fleet::upstream::Phase;

use crate::ownership::{RECOVERY_MS, SETTLE_MS, clear_faults, inject_fault};
use crate::requests::{Harness, dispatches};
use crate::support::{Simulation, StoreFaults, WatchFault, settings};
use lagoondyke_core::fleet::settings::GrantMode;

/// Time for which the store is away before it is restored.
const AWAY_MS: u64 = 500;

/// Time in which a node writes its record again after a restore if it names a
/// leaving upstream.
const REWRITE_MS: u64 = 700;

/// Time in which peers tell a new process of an exit.
const RECALL_MS: u64 = 1_000;

/// Time within which a change of the operator's documents is in force.
const CONFIG_MS: u64 = 2_000;

/// A fleet whose keys have been divided.
fn settled(count: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, seed);
    sim.run(SETTLE_MS);
    assert!(sim.held_ratio() > 0.999, "not all keys have an owner");
    sim
}

/// The store goes away and comes back from its copy.
fn restore(sim: &mut Simulation) {
    sim.store_faults = StoreFaults { down: true, ..StoreFaults::default() };
    sim.run(AWAY_MS);
    sim.restore_store();
    sim.store_faults = StoreFaults::default();
}

/// Like [`restore`], but the operator has written nothing again yet.
fn restore_bare(sim: &mut Simulation) {
    sim.store_faults = StoreFaults { down: true, ..StoreFaults::default() };
    sim.run(AWAY_MS);
    sim.restore_store_bare();
    sim.store_faults = StoreFaults::default();
}

/// Checks that all keys are served and no guarantee was violated.
fn assert_recovered(sim: &Simulation, seed: u64) {
    let held = sim.held_ratio();
    assert!(held > 0.999, "seed {seed}: {held} of keys held");
    let first = sim.violations.first();
    assert!(first.is_none(), "seed {seed}: {first:?}");
}

fn assert_no_violation(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", &sim.violations[..1]);
}

/// Guards against keys that are not served while leases and the table are
/// written again.
#[test]
fn a_restore_interrupts_nothing() {
    for seed in 0..10 {
        let mut sim = settled(5, seed);
        sim.copy_store();
        sim.run(3_000);
        restore(&mut sim);
        for _ in 0..150 {
            sim.run(100);
            let held = sim.held_ratio();
            assert!(held > 0.999, "seed {seed}: {held} of keys held");
        }
        assert_no_violation(&sim);
    }
}

/// Guards against two owners, and against tokens that fall, after a restore
/// among other faults: a node that started later claimed keys under a token
/// that was below that of their owner.
#[test]
fn restores_among_faults_never_give_a_key_two_owners() {
    for seed in 200..260 {
        let direct = seed % 3 == 0;
        let mode =
            if direct { GrantMode::Direct } else { GrantMode::Heartbeat };
        let mut sim = Simulation::with_grants(mode, 5, seed);
        sim.run(SETTLE_MS);
        for _ in 0..12 {
            match sim.random(4) {
                0 => sim.copy_store(),
                1 => restore(&mut sim),
                2 => drain_one(&mut sim),
                _ => {}
            }
            inject_fault(&mut sim);
            let span = 100 + sim.random(2_000);
            sim.run(span);
        }
        clear_faults(&mut sim);
        sim.run(RECOVERY_MS + 2 * LEASE_DURATION_MS);
        assert_recovered(&sim, seed);
    }
}

/// An upstream drains, so that its keys move, and is replaced later.
fn drain_one(sim: &mut Simulation) {
    let index = sim.random(5) as usize;
    if !sim.upstreams[index].up {
        return;
    }
    sim.upstreams[index].phase = Phase::Draining;
    sim.replace_upstream_after(index, 4_000);
}

/// Guards against keys that were moved just before a restore, and whose new
/// owner alone knows of it: it is cut off from the other nodes, which take the
/// copy for the latest table.
#[test]
fn an_owner_that_only_it_knows_of_keeps_its_keys_alone() {
    for seed in 0..30 {
        let mut sim = settled(3, seed);
        sim.copy_store();
        sim.upstreams[2].phase = Phase::Draining;
        let span = 1_000 + sim.random(1_500);
        sim.run(span);
        let cut = sim.random(2) as usize;
        sim.set_connected(cut, false);
        // The other nodes lose all that they knew.
        for index in (0..3).filter(|&index| index != cut) {
            sim.kill_node(index);
            let span = 50 + sim.random(1_500);
            sim.start_node_in(index, span);
        }
        restore(&mut sim);
        sim.upstreams[2].phase = Phase::Ready;
        sim.run(RECOVERY_MS);
        sim.set_connected(cut, true);
        sim.run(RECOVERY_MS);
        assert_recovered(&sim, seed);
    }
}

/// Guards against keys that are handed over a second time: only the node that
/// wrote the table knows that it has them, and the one that had them before
/// goes on with the transfer after the restore.
#[test]
fn a_transfer_that_only_its_writer_knows_is_not_made_again() {
    for seed in 0..10 {
        let mut sim = settled(3, seed);
        sim.copy_store();
        sim.store_faults.watches = WatchFault::Silent(None);
        sim.upstreams[2].phase = Phase::Draining;
        while sim.range_counts()[2] > 0 {
            sim.run(1);
        }
        // The writer has its answer 2 ms later.
        sim.run(3);
        sim.set_connected(0, false);
        restore(&mut sim);
        sim.run(RECOVERY_MS);
        sim.set_connected(0, true);
        sim.start_upstream(2);
        sim.run(RECOVERY_MS);
        assert_recovered(&sim, seed);
    }
}

/// Guards against a process that starts after a restore and claims keys that
/// have an owner with a higher token: it has only the copy to go by.
#[test]
fn a_node_that_starts_after_a_restore_takes_no_key_of_another() {
    for seed in 0..30 {
        let mut sim = settled(3, seed);
        sim.copy_store();
        sim.upstreams[0].phase = Phase::Draining;
        sim.run(4_000);
        sim.start_upstream(0);
        sim.kill_node(0);
        restore(&mut sim);
        let span = 500 + sim.random(9_000);
        sim.run(span);
        sim.start_node(0);
        sim.run(RECOVERY_MS);
        assert_recovered(&sim, seed);
    }
}

/// Guards against an exit that a restore takes out of the node's record: the
/// node's next process used the leaving upstream again.
#[test]
fn an_exit_is_written_again_after_a_restore() {
    for seed in 0..5 {
        let mut sim = settled(4, seed);
        sim.copy_store();
        sim.report_exit(1);
        sim.run(300);
        let leaving = sim.record(1).and_then(|record| record.leaving);
        assert!(leaving.is_some(), "the exit is recorded");
        restore(&mut sim);
        assert_eq!(sim.record(1).and_then(|record| record.leaving), None);
        sim.run(REWRITE_MS);
        let written = sim.record(1).and_then(|record| record.leaving);
        assert_eq!(written, leaving, "seed {seed}");
    }
}

/// Guards against an exit that is lost for good if the node ends before it can
/// write it again: only its peers know of it then.
#[test]
fn peers_tell_a_new_process_of_an_exit_that_a_restore_took() {
    for seed in 0..10 {
        let mut sim = settled(4, seed);
        sim.copy_store();
        sim.report_exit(1);
        sim.run(300);
        sim.kill_node(1);
        restore(&mut sim);
        let span = sim.random(4_000);
        sim.run(span);
        sim.start_node(1);
        for _ in 0..80 {
            sim.run(100);
            assert!(!sim.is_offered(1), "seed {seed}");
        }
        // A new instance of the upstream is used.
        sim.start_upstream(1);
        sim.run(3_000);
        assert!(sim.is_offered(1), "seed {seed}");
        assert_no_violation(&sim);
    }
}

/// Guards against a change of the configuration that a restore takes back: a
/// process that starts then reads the earlier one, and its peers keep theirs.
#[test]
fn no_node_goes_back_to_an_earlier_configuration() {
    for seed in 0..5 {
        let mut sim = settled(4, seed);
        sim.copy_store();
        sim.publish_config(2);
        sim.run(1_500);
        restore_bare(&mut sim);
        sim.kill_node(2);
        sim.start_node(2);
        sim.run(2_000);
        assert_eq!(sim.config_versions(), [2].into(), "seed {seed}");
        sim.rewrite_documents();
        sim.publish_config(3);
        sim.run(CONFIG_MS);
        assert_eq!(sim.config_versions(), [3].into(), "seed {seed}");
    }
}

/// Guards against changes that are missed since their revisions were given out
/// before: they lie below the latest one that nodes know of.
#[test]
fn changes_after_a_restore_are_noticed_in_time() {
    for seed in 0..5 {
        let mut sim = settled(6, seed);
        sim.copy_store();
        sim.run(6_000);
        restore(&mut sim);
        sim.run(50);
        sim.publish_config(2);
        sim.take_domain_out("d1");
        sim.run(CONFIG_MS);
        assert_eq!(sim.config_versions(), [2].into(), "seed {seed}");
        let out = vec!["d1".to_owned()];
        assert_eq!(sim.domains_out(), [out].into(), "seed {seed}");
    }
}

/// Guards against a failure domain that is used again after a restore, until
/// the operator has taken it out a second time.
#[test]
fn a_domain_stays_out_of_service_until_the_operator_has_written_again() {
    for seed in 0..5 {
        let mut sim = settled(6, seed);
        sim.copy_store();
        sim.take_domain_out("d1");
        sim.run(2_000);
        let out: Vec<String> = vec!["d1".to_owned()];
        assert_eq!(sim.domains_out(), [out.clone()].into());
        restore_bare(&mut sim);
        for _ in 0..20 {
            sim.run(100);
            assert_eq!(sim.domains_out(), [out.clone()].into(), "seed {seed}");
        }
        sim.rewrite_documents();
        sim.run(RECOVERY_MS);
        assert_eq!(sim.domains_out(), [out].into(), "seed {seed}");
        sim.take_domain_back("d1");
        sim.run(2_500);
        assert_eq!(sim.domains_out(), [Vec::new()].into(), "seed {seed}");
    }
}

/// Guards against a domain that stays out of service for good, since it was put
/// back at the moment of a restore.
#[test]
fn a_domain_that_is_put_back_at_a_restore_is_used_again() {
    let mut sim = settled(6, 1);
    sim.take_domain_out("d1");
    sim.run(2_000);
    sim.copy_store();
    restore_bare(&mut sim);
    sim.take_domain_back("d1");
    sim.run(LEASE_DURATION_MS + 3_000);
    assert_eq!(sim.domains_out(), [Vec::new()].into());
}

/// Guards against a watch that goes on after a restore: the revision that it
/// follows means another state, and changes before it are missed.
#[test]
fn a_node_that_notices_a_restore_lists_everything_again() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    harness.written_record(2_000);
    let call = Call::List(ObjectKind::Domains);
    let (items, revision) = (Vec::new(), 5);
    let outcome = StoreOutcome::Listed { items, revision };
    harness.step(Event::StoreDone { call, outcome });
    let call = Call::Watch { kind: ObjectKind::Tables, after: 5 };
    harness.step(Event::StoreDone { call, outcome: empty(1) });
    let out = ticks(&mut harness, 5);
    let is_list = |effect: &&Effect| {
        matches!(effect, Effect::Store { op: Op::List { .. }, .. })
    };
    let listed = out.iter().filter(is_list).count();
    assert_eq!(listed, 3, "configuration, domains and tables");
    let call = Call::List(ObjectKind::Tables);
    let (items, revision) = (Vec::new(), qualify(1, 8));
    let outcome = StoreOutcome::Listed { items, revision };
    harness.step(Event::StoreDone { call, outcome });
    let watches = |out: &[Effect]| {
        let is_watch = |effect: &&Effect| {
            matches!(effect, Effect::Store { op: Op::Watch { .. }, .. })
        };
        out.iter().filter(is_watch).count()
    };
    assert_eq!(watches(&ticks(&mut harness, 1)), 1);
    // The end of the earlier watch starts no second one.
    let call = Call::Watch { kind: ObjectKind::Tables, after: 5 };
    let outcome = StoreOutcome::Unavailable;
    harness.step(Event::StoreDone { call, outcome });
    assert_eq!(watches(&ticks(&mut harness, 10)), 0);
}

/// The answer to a watch without changes in this era.
fn empty(era: u64) -> StoreOutcome {
    let (items, revision) = (Vec::new(), qualify(era, 7));
    StoreOutcome::Changed { items, revision }
}

/// The effects of `count` ticks, 50 ms apart.
fn ticks(harness: &mut Harness, count: usize) -> Vec<Effect> {
    let mut out = Vec::new();
    for _ in 0..count {
        harness.now += 50;
        out.extend(harness.step(Event::Tick));
    }
    out
}

/// Guards against an answer from before a restore that is taken for the present
/// state, and against one that makes a node forget the restore.
#[test]
fn an_answer_from_before_a_restore_is_ignored() {
    let mut harness = Harness::new();
    let listed = |revision, name: &str| StoreOutcome::Listed {
        items: vec![Item {
            name: name.to_owned(),
            revision,
            value: Some(Value::Out),
        }],
        revision,
    };
    let call = || Call::List(ObjectKind::Domains);
    let outcome = listed(qualify(2, 10), "d2");
    harness.step(Event::StoreDone { call: call(), outcome });
    let outcome = listed(qualify(1, 90), "d1");
    harness.step(Event::StoreDone { call: call(), outcome });
    let known = harness.fleet.document(ObjectKind::Domains);
    let expected = Document::Domains(qualify(2, 10), ["d2".to_owned()].into());
    assert_eq!(known, Some(expected));
    assert_eq!(harness.fleet.store_era(), 2);
}

/// Guards against a renewal that is answered late, from before a restore, and
/// counts as one of the present lease.
#[test]
fn a_renewal_from_before_a_restore_does_not_count() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    let renewal = |out: &[Effect]| out.iter().find_map(Harness::stored);
    let mut item = renewal(&ticks(&mut harness, 5)).expect("a renewal");
    item.revision = qualify(2, 11);
    let outcome = StoreOutcome::Done(item.clone());
    harness.step(Event::StoreDone { call: Call::Renew, outcome });
    item.revision = qualify(1, 90);
    let outcome = StoreOutcome::Done(item);
    harness.step(Event::StoreDone { call: Call::Renew, outcome });
    let out = ticks(&mut harness, 240);
    let mut expected = out.iter().filter_map(|effect| match effect {
        Effect::Store {
            op: Op::Update { kind: ObjectKind::Nodes, expect, .. },
            ..
        } => Some(*expect),
        _ => None,
    });
    assert_eq!(expected.next(), Some(qualify(2, 11)));
}

/// Guards against a table that is created anew, since the store was restored
/// from a copy without one, while other nodes hold keys under it.
#[test]
fn no_table_is_created_while_a_peer_knows_one() {
    for table in [0, 5] {
        let mut harness = Harness::unconfigured(settings(0));
        let mut config = Config { version: 1, ..Config::default() };
        let service = Service { keyed: true, ..Service::default() };
        config.services.insert("s".to_owned(), service);
        harness.apply_config(config);
        let call = Call::List(ObjectKind::Tables);
        let (items, revision) = (Vec::new(), 9);
        let outcome = StoreOutcome::Listed { items, revision };
        harness.step(Event::StoreDone { call, outcome });
        harness.written_record(3_000);
        harness.gossip_table(1, "s", table);
        let mut out = harness.announce(Phase::Ready, 4);
        out.extend(ticks(&mut harness, 10));
        let creates = |effect: &Effect| {
            matches!(effect, Effect::Store { call: Call::Edit(_), .. })
        };
        let created = out.iter().any(creates);
        assert_eq!(created, table == 0, "table {table}");
    }
}

/// Guards against a table that is rebuilt from an earlier one than a live node
/// knows: keys go back to the node that has handed them over.
#[test]
fn a_table_is_rebuilt_from_the_latest_that_a_live_node_knows() {
    for seed in 0..10 {
        let mut sim = settled(3, seed);
        sim.copy_store();
        // The second node writes the change, and alone knows of it.
        sim.set_store_denied(0, true);
        sim.store_faults.watches = WatchFault::Silent(None);
        sim.documents_lost = true;
        sim.upstreams[2].phase = Phase::Draining;
        while sim.range_counts()[2] > 0 {
            sim.run(1);
        }
        sim.run(3);
        sim.set_store_denied(0, false);
        restore(&mut sim);
        sim.run(1_500);
        sim.documents_lost = false;
        sim.run(2_000);
        assert_eq!(sim.range_counts()[2], 0, "seed {seed}");
        sim.run(RECOVERY_MS);
        assert_recovered(&sim, seed);
    }
}

/// Guards against an upstream that gives up its keys long before another may
/// have them: it drains just after a restore.
#[test]
fn a_draining_upstream_serves_until_its_keys_may_change_hands() {
    let mut sim = settled(4, 3);
    sim.copy_store();
    restore(&mut sim);
    sim.run(1_500);
    sim.upstreams[2].phase = Phase::Draining;
    for _ in 0..15 {
        sim.run(100);
        let held = sim.held_ratio();
        assert!(held > 0.999, "{held} of keys held");
    }
    sim.run(RECOVERY_MS);
    assert_eq!(sim.range_counts()[2], 0);
    assert!(sim.held_ratio() > 0.999);
    assert_no_violation(&sim);
}

/// Guards against a restore that delays each later start of a node: it has to
/// wait only while leases of earlier eras can be valid.
#[test]
fn a_node_that_restarts_long_after_a_restore_keeps_its_keys() {
    let mut sim = settled(4, 3);
    sim.copy_store();
    restore(&mut sim);
    sim.run(LEASE_DURATION_MS + 2_000);
    sim.kill_node(1);
    sim.start_node_in(1, 500);
    sim.run(2_500);
    assert!(sim.held_ratio() > 0.999, "{} of keys held", sim.held_ratio());
    assert_no_violation(&sim);
}

/// Guards against a process that uses its upstream before its peers could tell
/// that it is leaving: its record comes from a copy, which may lack the exit.
#[test]
fn a_record_from_before_a_restore_does_not_prove_that_an_upstream_stays() {
    for (written, waits) in [(Some(1), true), (Some(2), false)] {
        let mut harness = Harness::unread();
        let record = Record { era: written, ..Record::default() };
        let (name, revision) = ("n0".to_owned(), qualify(2, 5));
        let value = Some(Value::Node(record));
        harness.read_record(Item { name, revision, value });
        harness.announce(Phase::Ready, 4);
        let sent = dispatches(&harness.peer_request(0, 5_000));
        assert_eq!(sent, usize::from(!waits), "{written:?}");
        harness.now += RECALL_MS;
        let sent = dispatches(&harness.peer_request(0, 5_000));
        assert!(sent > 0, "{written:?}");
    }
}

/// Guards against a configuration that counts as the latest one because the
/// store has just come back with it, while a peer has a later one.
#[test]
fn a_listing_of_an_earlier_configuration_proves_nothing() {
    for (heard, proved) in [(1, true), (2, false)] {
        let mut harness = Harness::unconfigured(settings(0));
        let versions = Versions { config: heard, ..Versions::default() };
        let gossip = Gossip {
            node: "n1".to_owned(),
            count: 1,
            versions,
            ..Gossip::default()
        };
        let from = settings(1).gossip_addr();
        harness.step(Event::Gossip { from, gossip: Box::new(gossip) });
        let config = Config { version: 1, ..Config::default() };
        let value = Some(Value::Config(Box::new(config)));
        let (name, revision) = ("main".to_owned(), qualify(2, 5));
        let items = vec![Item { name, revision, value }];
        let call = Call::List(ObjectKind::Config);
        let outcome = StoreOutcome::Listed { items, revision };
        harness.step(Event::StoreDone { call, outcome });
        assert_eq!(harness.config_age_ms().is_some(), proved, "{heard}");
    }
}
