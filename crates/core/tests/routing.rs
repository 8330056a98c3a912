//! The routing cache: shared look-ups, limited rates of queries, stale maps.

use std::collections::BTreeMap;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::config::Service;
use lagoondyke_core::control::{
    Control, GroupMap, MapMember, NotLeader, OwnerRun,
};
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::StoreOutcome;
use lagoondyke_core::id::{Epoch, GroupId, Incarnation, KeyHash, NodeAddr};
use lagoondyke_core::record::{Record, Tenure};
use lagoondyke_core::route::{Lookup, Routes};

const KEY: KeyHash = KeyHash(5);

fn spec() -> Service {
    Service {
        keyed: true,
        shards: 16,
        groups: 1,
        fenced: false,
        shares: BTreeMap::new(),
        partners: BTreeMap::new(),
        hedge: false,
    }
}

fn addr(port: u16) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], port).into())
}

/// A group's map in which one member owns all shards.
fn map(epoch: u32, version: u32, owner: u16) -> GroupMap {
    GroupMap {
        group: GroupId::of("katalog", 0),
        epoch: Epoch(epoch),
        version,
        parts: 1,
        members: vec![MapMember {
            addr: addr(owner),
            incarnation: Incarnation(1),
            domain: 0,
            limit: 10,
        }],
        owners: vec![OwnerRun { count: 16, owner: Some(0) }],
        ..GroupMap::default()
    }
}

/// The routing cache of an ingress that looks up [`KEY`], with a store that
/// names the node with port 1 as leader.
struct Ingress {
    routes: Routes,
    /// Store calls so far.
    reads: usize,
    /// Receivers of the datagrams sent so far.
    queried: Vec<NodeAddr>,
}

impl Ingress {
    fn new() -> Self {
        Self { routes: Routes::new(), reads: 0, queried: Vec::new() }
    }

    /// Looks up the key's owner.
    fn owner(&mut self, now: u64) -> Lookup {
        let mut out = Vec::new();
        let now = Millis(now);
        let found = self.routes.owner("katalog", &spec(), KEY, now, &mut out);
        self.perform(out, now);
        found
    }

    /// Reports that the key's owner is wrong.
    fn invalidate(&mut self, now: u64) {
        let mut out = Vec::new();
        let (now, spec) = (Millis(now), spec());
        self.routes.invalidate("katalog", &spec, Some(KEY), now, &mut out);
        self.perform(out, now);
    }

    /// Receives a datagram.
    fn receive(&mut self, from: u16, message: &Control, now: u64) {
        let mut out = Vec::new();
        self.routes.datagram(addr(from), message, Millis(now), &mut out);
        self.perform(out, Millis(now));
    }

    fn perform(&mut self, out: Vec<Effect>, now: Millis) {
        for effect in out {
            match effect {
                Effect::Send { to, .. } => self.queried.push(to),
                Effect::Store { call, .. } => {
                    self.reads += 1;
                    let value = Record {
                        epoch: Epoch(1),
                        leader: addr(1),
                        standbys: Vec::new(),
                        writer: 0,
                        tenure: Tenure::Led,
                    }
                    .encode();
                    let read = StoreOutcome::Read { version: 1, value };
                    let mut out = Vec::new();
                    self.routes.store_done(call, read, now, &mut out);
                    self.perform(out, now);
                }
                _ => {}
            }
        }
    }
}

/// Guards against a burst of store reads when a leader is lost: every ingress
/// that knows the group looks for the next leader at the same time.
#[test]
fn a_lost_leader_is_replaced_without_a_read() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    ingress.receive(1, &Control::Map(map(1, 1, 9)), 1_001);
    let group = GroupId::of("katalog", 0);
    let (reads, queries) = (ingress.reads, ingress.queried.len());
    for now in (2_000..3_000).step_by(25) {
        ingress.invalidate(now);
    }
    let queried = &ingress.queried[queries..];
    assert_eq!(queried, [addr(1), addr(1), addr(9), addr(9), addr(9)]);
    let old = NotLeader { group, hint: Some((addr(1), Epoch(1))) };
    ingress.receive(9, &Control::NotLeader(old), 3_001);
    let new = NotLeader { group, hint: Some((addr(2), Epoch(2))) };
    ingress.receive(9, &Control::NotLeader(new), 3_002);
    assert_eq!(ingress.queried.last(), Some(&addr(2)));
    ingress.receive(2, &Control::Map(map(2, 1, 9)), 3_003);
    assert_eq!(ingress.owner(3_004), Lookup::Owner(addr(9)));
    assert_eq!(ingress.reads, reads);
}

/// Guards against an ingress that never finds a group again after all members
/// that it knows have been replaced.
#[test]
fn the_record_is_read_when_no_member_answers() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    ingress.receive(1, &Control::Map(map(1, 1, 9)), 1_001);
    let reads = ingress.reads;
    for now in (2_000..4_500).step_by(25) {
        ingress.invalidate(now);
    }
    assert_eq!(ingress.reads, reads + 1);
}

/// Guards against a query for each waiting request.
#[test]
fn waiting_requests_share_one_read_and_one_query() {
    let mut ingress = Ingress::new();
    for _ in 0..100 {
        assert_eq!(ingress.owner(1_000), Lookup::Wait);
    }
    assert_eq!((ingress.reads, ingress.queried.len()), (1, 1));
    ingress.receive(1, &Control::Map(map(1, 1, 9)), 1_001);
    assert_eq!(ingress.owner(1_002), Lookup::Owner(addr(9)));
}

/// Guards against a burst of queries while the map names a wrong owner.
#[test]
fn stale_maps_are_asked_for_at_a_limited_rate() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    for now in 1_001..2_001 {
        ingress.invalidate(now);
        ingress.receive(1, &Control::Map(map(1, 1, 9)), now);
    }
    assert!(ingress.queried.len() <= 7, "{} queries", ingress.queried.len());
}

/// Guards against a late map from a replaced leader.
#[test]
fn map_of_an_earlier_epoch_is_ignored() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    ingress.receive(2, &Control::Map(map(2, 1, 9)), 1_001);
    ingress.receive(1, &Control::Map(map(1, 50, 8)), 1_002);
    assert_eq!(ingress.owner(1_003), Lookup::Owner(addr(9)));
}

/// Guards against a store read for each change of leader.
#[test]
fn hint_to_the_next_leader_is_followed() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    let group = GroupId::of("katalog", 0);
    let hint = Some((addr(2), Epoch(2)));
    let redirect = NotLeader { group, hint };
    ingress.receive(1, &Control::NotLeader(redirect), 1_001);
    assert_eq!(ingress.queried, vec![addr(1), addr(2)]);
    assert_eq!(ingress.reads, 1);
}

/// Guards against look-ups in a map of which a part is missing.
#[test]
fn map_in_parts_counts_when_complete() {
    let mut ingress = Ingress::new();
    ingress.owner(1_000);
    let whole = map(1, 1, 9);
    let second = GroupMap { part: 1, parts: 2, ..whole.clone() };
    let second = GroupMap { members: Vec::new(), ..second };
    let first = GroupMap { part: 0, parts: 2, ..whole };
    let first = GroupMap { owners: Vec::new(), ..first };
    ingress.receive(1, &Control::Map(second), 1_001);
    assert_eq!(ingress.owner(1_002), Lookup::Wait);
    ingress.receive(1, &Control::Map(first), 1_003);
    assert_eq!(ingress.owner(1_004), Lookup::Owner(addr(9)));
}
