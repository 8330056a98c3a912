//! Guards against a node whose configuration reverts to an earlier version,
//! takes effect in part, or is lost during a store outage.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::effect::{Effect, Notice, StoreOp};
use lagoondyke_core::event::{Event, StoreOutcome};
use lagoondyke_core::id::{Incarnation, Subsystem};
use lagoondyke_core::node::Node;
use lagoondyke_core::settings::Settings;

const SETTINGS: &str =
    include_str!("../../../examples/node-kalamaria-1.jsonc");
const DOCUMENT: &str = include_str!("../../../examples/thessaloniki.jsonc");

/// A node and the simulated time.
struct Harness {
    node: Node,
    now: Millis,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings::parse(SETTINGS).unwrap();
        let now = Millis(1_000);
        let node = Node::new(&settings, Incarnation(1), 1, now);
        Self { node, now }
    }

    /// Steps the node 25 ms later.
    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.now = self.now.plus(25);
        self.node.step(event, self.now, &mut out);
        out
    }

    /// Passes a fetched document to the node; returns the error if the node
    /// rejects it.
    fn fetch(&mut self, version: u64, text: &str) -> Option<String> {
        let document = text.as_bytes().to_vec();
        let effects = self.step(Event::ConfigFetched { version, document });
        effects.into_iter().find_map(|effect| match effect {
            Effect::Notice(Notice::Rejected { error, .. }) => Some(error),
            _ => None,
        })
    }

    /// Version of the document in force.
    fn version(&self) -> u64 {
        assert_eq!(self.node.status(self.now).config, self.node.document().0);
        self.node.document().0
    }
}

#[test]
fn versions_never_decrease() {
    let mut harness = Harness::new();
    let newer = DOCUMENT.replace("\"settlement\": 4", "\"settlement\": 9");
    for (offered, text, in_force) in [
        (5, DOCUMENT, 5),
        (4, &newer, 5),
        (5, &newer, 5),
        (9, &newer, 9),
        (8, DOCUMENT, 9),
        (0, DOCUMENT, 9),
    ] {
        assert_eq!(harness.fetch(offered, text), None);
        assert_eq!(harness.version(), in_force);
        let settlement = if in_force == 5 { 4 } else { 9 };
        let config = harness.node.config().unwrap();
        let partners = &config.services["vendor-portal"].partners;
        assert_eq!(partners["settlement"], settlement);
    }
}

#[test]
fn documents_that_cannot_be_used_leave_the_last_one_in_force() {
    let mut harness = Harness::new();
    assert_eq!(harness.fetch(5, DOCUMENT), None);
    let before = harness.node.config().cloned();
    let cases = [
        ("\"shards\": 256", "\"shards\": 128", "cannot change from 256"),
        ("\"keyed\": true", "\"keyed\": false", "cannot change from true"),
        ("\"hedge\"", "\"hegde\"", "did you mean \"hedge\"?"),
        ("\"thessaloniki\"", "\"jutland\"", "is of \"thessaloniki\""),
        ("\"format\": 1", "\"format\": 2", "reads format 1"),
        ("\n}", "\n", "ends too early"),
    ];
    for (version, (from, to, error)) in (6..).zip(cases) {
        assert!(DOCUMENT.contains(from), "{from}");
        let rejected = harness.fetch(version, &DOCUMENT.replacen(from, to, 1));
        let rejected = rejected.unwrap_or_default();
        assert!(rejected.contains(error), "{to}: {rejected}");
        assert_eq!(harness.version(), 5);
        assert_eq!(harness.node.config(), before.as_ref());
        assert_eq!(harness.node.document().1, DOCUMENT.as_bytes());
    }
    assert_eq!(harness.fetch(20, DOCUMENT), None, "a valid one is accepted");
    assert_eq!(harness.version(), 20);
}

/// Guards against a node that reads a rejected document again at each tick:
/// 400 reads in 10 s were seen. It must watch for a later version instead.
#[test]
fn a_refused_document_is_not_read_again() {
    let mut harness = Harness::new();
    let (mut reads, mut watches, mut notices) = (0, 0, 0);
    for _ in 0..400 {
        for effect in harness.step(Event::Tick) {
            let Effect::Store { call, op } = effect else { continue };
            if call.subsystem != Subsystem::Config {
                continue;
            }
            if matches!(op, StoreOp::Watch { after: 7, .. }) {
                watches += 1;
                continue;
            }
            reads += 1;
            let value = b"{}".to_vec();
            let outcome = StoreOutcome::Read { version: 7, value };
            let effects = harness.step(Event::StoreDone { call, outcome });
            notices += effects
                .iter()
                .filter(|e| {
                    matches!(e, Effect::Notice(Notice::Rejected { .. }))
                })
                .count();
        }
    }
    assert_eq!((reads, watches, notices), (1, 1, 1));
    assert_eq!(harness.fetch(8, DOCUMENT), None, "a valid one is accepted");
    assert_eq!(harness.version(), 8);
}

#[test]
fn the_first_document_is_read_again_until_the_store_answers() {
    let mut harness = Harness::new();
    let mut reads = 0;
    for round in 0..200 {
        for effect in harness.step(Event::Tick) {
            let Effect::Store { call, op } = effect else { continue };
            let own = call.subsystem == Subsystem::Config;
            if !own || !matches!(op, StoreOp::Read { .. }) {
                continue;
            }
            reads += 1;
            let value = DOCUMENT.as_bytes().to_vec();
            let outcome = match reads {
                1 => StoreOutcome::Unavailable,
                2 => StoreOutcome::Missing,
                _ => StoreOutcome::Read { version: 7, value },
            };
            assert_eq!(harness.version(), 0, "round {round}");
            harness.step(Event::StoreDone { call, outcome });
        }
    }
    assert_eq!((harness.version(), reads), (7, 3));
}
