//! Exits that upstreams report outlast the node that acknowledged them.

use lagoondyke_core::fleet::effect::Effect;
use lagoondyke_core::fleet::event::{Call, Event, StoreOutcome};
use lagoondyke_core::fleet::upstream::Phase;

use crate::ownership::{RECOVERY_MS, SETTLE_MS};
use crate::requests::{EXIT, Harness, dispatches, left};
use crate::support::Simulation;

/// Time for which an upstream serves after its report, by the test's settings.
const DRAIN_MS: u64 = 2_000;

/// Whether the report of the exit was answered, and if so, acknowledged.
fn answer(out: &[Effect]) -> Option<bool> {
    out.iter().find_map(|effect| match effect {
        Effect::AnswerExit { ticket, recorded } if *ticket == EXIT => {
            Some(*recorded)
        }
        _ => None,
    })
}

/// Guards against an exit that is acknowledged and forgotten when all nodes are
/// killed at that moment: it was acknowledged before the record was written.
#[test]
fn an_exit_is_acknowledged_only_when_the_store_holds_it() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    harness.written_record(2_000);
    let mut out = harness.step(left());
    assert_eq!(answer(&out), None, "the record is not written yet");
    out = harness.step(Event::Tick);
    let written = out.iter().find_map(Harness::stored);
    let written = written.expect("the record is written at once");
    out = harness.step(Event::StoreDone {
        call: Call::Renew,
        outcome: StoreOutcome::Done(written),
    });
    assert_eq!(answer(&out), Some(true));
    out = harness.step(left());
    assert_eq!(answer(&out), Some(true), "the report comes again");
}

/// Guards against an exit that is acknowledged although the store does not
/// answer, and against an upstream that is used because of that.
#[test]
fn an_exit_is_not_acknowledged_while_the_store_is_down() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    harness.written_record(2_000);
    let mut answers = vec![answer(&harness.step(left()))];
    let end = harness.now + DRAIN_MS;
    while harness.now < end {
        harness.now += 100;
        for effect in harness.step(Event::Tick) {
            let Effect::Store { call, .. } = effect else {
                answers.push(answer(&[effect]));
                continue;
            };
            let outcome = StoreOutcome::Unavailable;
            let out = harness.step(Event::StoreDone { call, outcome });
            answers.push(answer(&out));
        }
    }
    answers.retain(Option::is_some);
    assert_eq!(answers, [Some(false)]);
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 0);
}

/// Guards against the exit of an upstream that this process has had no
/// announcement of, which a restart of the node forgot.
#[test]
fn an_exit_before_the_first_announcement_outlasts_the_process() {
    let mut before = Harness::new();
    before.step(left());
    let record = before.written_record(500);
    for announces_first in [false, true] {
        let mut harness = Harness::with_incarnation(2);
        // The upstream has announced itself to the earlier process.
        harness.gossip(1, "k");
        if announces_first {
            harness.announce(Phase::Ready, 4);
        }
        harness.read_record(record.clone());
        harness.announce(Phase::Ready, 4);
        let out = harness.peer_request(0, 5_000);
        assert_eq!(dispatches(&out), 0, "{announces_first}");
        harness.announce_instance("u9", 5);
        assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    }
}

/// Guards against a process that sends requests to an upstream before it knows
/// whether the upstream was leaving at the process before it.
#[test]
fn no_request_is_sent_before_the_record_is_known() {
    let mut harness = Harness::unread();
    harness.announce(Phase::Ready, 4);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 0);
}

/// Guards against a node that takes over and overwrites the record which names
/// the leaving upstream: the next process of the lost node used it again.
#[test]
fn a_takeover_keeps_the_leaving_upstream_in_the_record() {
    for seed in 0..5 {
        let mut sim = Simulation::new(4, seed);
        sim.run(SETTLE_MS);
        sim.report_exit(1);
        sim.run(50);
        let leaving = sim.record(1).and_then(|record| record.leaving);
        assert!(leaving.is_some(), "the exit is recorded");
        // The node is gone before its keys have moved.
        sim.kill_node(1);
        sim.run(RECOVERY_MS);
        let record = sim.record(1).expect("a record");
        assert!(record.revoked, "seed {seed}");
        assert_eq!(record.leaving, leaving, "seed {seed}");
        sim.start_node(1);
        sim.run(SETTLE_MS);
        assert_eq!(sim.range_counts()[1], 0, "seed {seed}");
        assert!(sim.violations.is_empty(), "{:?}", &sim.violations[..1]);
    }
}
