//! Guards against an operator's query for the owner of a key that starts no
//! look-up, or that reports another owner than the group's map.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::{Control, GroupMap, MapMember, OwnerRun};
use lagoondyke_core::effect::{Effect, StoreOp};
use lagoondyke_core::event::Event;
use lagoondyke_core::id::{Epoch, GroupId, Incarnation, KeyHash, NodeAddr};
use lagoondyke_core::node::Node;
use lagoondyke_core::settings::Settings;

const SETTINGS: &str =
    include_str!("../../../examples/node-kalamaria-1.jsonc");
const DOCUMENT: &str = include_str!("../../../examples/thessaloniki.jsonc");
const SERVICE: &str = "vendor-portal";

fn step(node: &mut Node, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    node.step(event, Millis(1_000), &mut out);
    out
}

fn query_owner(node: &mut Node, key: KeyHash) -> Vec<Effect> {
    step(node, Event::OwnerQueried { service: SERVICE.to_owned(), key })
}

/// A map of the group in which only the first shard has an owner, which is not
/// the leader.
fn map(leader: NodeAddr, shards: u16) -> GroupMap {
    let member = |addr| MapMember {
        addr,
        incarnation: Incarnation(1),
        domain: 1,
        limit: 12,
    };
    let owner = NodeAddr(([127, 0, 0, 1], 7_102).into());
    GroupMap {
        group: GroupId::of(SERVICE, 0),
        epoch: Epoch(3),
        version: 1,
        part: 0,
        parts: 1,
        members: vec![member(leader), member(owner)],
        owners: vec![
            OwnerRun { count: 1, owner: Some(1) },
            OwnerRun { count: shards - 1, owner: None },
        ],
        pins: Vec::new(),
    }
}

#[test]
fn an_owner_query_reports_what_is_known_and_starts_a_look_up() {
    let settings = Settings::parse(SETTINGS).unwrap();
    let mut node = Node::new(&settings, Incarnation(1), 1, Millis(0));
    assert!(!node.locate(SERVICE, KeyHash(0)).known);
    assert!(query_owner(&mut node, KeyHash(0)).is_empty());

    let document = DOCUMENT.as_bytes().to_vec();
    step(&mut node, Event::ConfigFetched { version: 5, document });
    let location = node.locate(SERVICE, KeyHash(0));
    assert_eq!(
        (location.config, location.known, location.owner),
        (5, true, None)
    );
    let effects = query_owner(&mut node, KeyHash(0));
    let reads_record = |e: &Effect| {
        matches!(e, Effect::Store { op: StoreOp::Read { name }, .. }
            if name == "groups/vendor-portal/0")
    };
    assert!(effects.iter().any(reads_record), "{effects:?}");

    let from = NodeAddr(([127, 0, 0, 1], 7_103).into());
    let spec = &node.config().unwrap().services[SERVICE];
    let message = Control::Map(map(from, spec.shards));
    step(&mut node, Event::Datagram { from, message });
    let location = node.locate(SERVICE, KeyHash(0));
    assert_eq!((location.leader, location.epoch), (Some(from), Epoch(3)));
    assert_eq!(location.owner, Some(NodeAddr(([127, 0, 0, 1], 7_102).into())));
    assert_eq!(node.locate(SERVICE, KeyHash(1)).owner, None);
    assert!(!node.locate("depot-ledger", KeyHash(0)).keyed);
}
