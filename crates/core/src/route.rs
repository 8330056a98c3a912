//! Where the shards of each group are, as an ingress knows it.
//!
//! The cache holds one [`GroupMap`] per group that requests asked for. A
//! miss costs one read of the group's record in the store and one `Locate`
//! datagram to its leader; all requests that wait share them.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Control, GroupMap, Locate, MapMember, NotLeader};
use crate::effect::{Effect, StoreOp};
use crate::event::StoreOutcome;
use crate::group::parts::{Parts, join_map};
use crate::id::{CallId, Epoch, GroupId, KeyHash, NodeAddr, Shard, Subsystem};
use crate::record::{Record, object_name};
use crate::status::KeyLocation;

/// Interval between two questions for the same map, in milliseconds.
const ASK: u64 = 200;

/// Questions without an answer after which other members are asked who
/// leads, or the store if no member is known.
const ATTEMPTS: u32 = 2;

/// Questions without an answer after which the record is read although
/// members are known. After the loss of a leader every ingress looks for the
/// next one at once; 11,000 reads of one record would take the store 5 s.
const READ_AFTER: u32 = 10;

/// Pause after a failed read of a record, in milliseconds.
const READ_RETRY: u64 = 500;

/// Age at which the map of a service that is not partitioned by key is
/// fetched again while it is in use, in milliseconds. Nothing else would
/// tell an ingress of a new member. With more than four groups the pause
/// grows, so that an ingress fetches at most two maps a second.
const REFRESH: u64 = 2_000;

/// Where a request should go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// To this node, which may be the asking node itself.
    Owner(NodeAddr),
    /// Nowhere yet; ask again at a later tick.
    Wait,
}

/// What is known of one group.
#[derive(Debug)]
struct Entry {
    name: String,
    groups: u16,
    leader: Option<(NodeAddr, Epoch)>,
    map: Option<GroupMap>,
    parts: Parts<(Epoch, u32), GroupMap>,
    fetched: Millis,
    /// A newer map is wanted.
    wanted: bool,
    /// Shards whose owner in the map turned out to be wrong.
    wrong: BTreeSet<Shard>,
    call: Option<CallId>,
    read_next: Millis,
    ask_next: Millis,
    attempts: u32,
}

/// The routing cache of one node.
#[derive(Debug, Default)]
pub struct Routes {
    groups: BTreeMap<GroupId, Entry>,
    calls: u32,
}

impl Routes {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The owner of a key.
    pub fn owner(
        &mut self,
        service: &str,
        spec: &Service,
        key: KeyHash,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Lookup {
        let hashed = key.shard(spec.shards);
        let index = hashed.group(spec.groups);
        let id = self.entry(service, spec, index);
        let Some(entry) = self.groups.get_mut(&id) else {
            return Lookup::Wait;
        };
        if let Some((shard, owner)) = entry.owner(key, hashed)
            && !entry.wrong.contains(&shard)
        {
            return Lookup::Owner(owner);
        }
        entry.wanted = true;
        self.pursue(id, now, out);
        Lookup::Wait
    }

    /// Adds what the cache holds of a key's owner to an operator's view.
    pub(crate) fn describe(
        &self,
        service: &str,
        spec: &Service,
        key: KeyHash,
        at: &mut KeyLocation,
    ) {
        let hashed = key.shard(spec.shards);
        let id = GroupId::of(service, hashed.group(spec.groups));
        let Some(entry) = self.groups.get(&id) else { return };
        if let Some((leader, epoch)) = entry.leader {
            (at.leader, at.epoch) = (Some(leader), epoch);
        }
        let Some((shard, owner)) = entry.owner(key, hashed) else { return };
        (at.shard, at.pinned) = (shard, shard != hashed);
        at.owner = (!entry.wrong.contains(&shard)).then_some(owner);
    }

    /// The members of all groups of a service that take new work; empty
    /// while none is known.
    pub fn members(
        &mut self,
        service: &str,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Vec<MapMember> {
        let mut members = Vec::new();
        for index in 0..spec.groups {
            let id = self.entry(service, spec, index);
            let Some(entry) = self.groups.get_mut(&id) else { continue };
            if let Some(map) = &entry.map {
                members.extend(map.members.iter().cloned());
            }
            let pause = REFRESH * u64::from(spec.groups).div_ceil(4);
            let old = now.since(entry.fetched) >= pause;
            if entry.map.is_none() || old {
                entry.wanted = true;
            }
            self.pursue(id, now, out);
        }
        members
    }

    /// A node answered that it is not the owner or could not be reached:
    /// the map of the key's group is out of date (all groups' maps if the
    /// service is not partitioned by key).
    pub fn stale(
        &mut self,
        service: &str,
        spec: &Service,
        key: Option<KeyHash>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let hashed = key.map(|k| k.shard(spec.shards));
        for index in 0..spec.groups {
            if hashed.is_some_and(|s| s.group(spec.groups) != index) {
                continue;
            }
            let id = self.entry(service, spec, index);
            let Some(entry) = self.groups.get_mut(&id) else { continue };
            if let (Some(key), Some(hashed)) = (key, hashed)
                && let Some((shard, _)) = entry.owner(key, hashed)
            {
                entry.wrong.insert(shard);
            }
            entry.wanted = true;
            self.pursue(id, now, out);
        }
    }

    /// Takes `Map` and `NotLeader` datagrams.
    pub fn datagram(
        &mut self,
        from: NodeAddr,
        message: &Control,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Control::Map(map) => self.map_arrived(from, map, now),
            Control::NotLeader(not) => self.not_leader(from, *not, now, out),
            _ => {}
        }
    }

    /// Takes the outcome of a call made with `Subsystem::Route`.
    pub fn stored(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let found = self.groups.iter_mut().find(|(_, e)| e.call == Some(call));
        let Some((&id, entry)) = found else { return };
        entry.call = None;
        entry.read_next = now.plus(READ_RETRY);
        let StoreOutcome::Read { value, .. } = outcome else { return };
        let Ok(record) = Record::decode(&value) else { return };
        let newer = entry.leader.is_none_or(|(_, e)| record.epoch >= e);
        if newer {
            entry.leader = Some((record.leader, record.epoch));
        }
        entry.attempts = 0;
        entry.ask_next = now;
        self.pursue(id, now, out);
    }

    /// Repeats questions that were not answered.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let wanted: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, e)| e.wanted)
            .map(|(&id, _)| id)
            .collect();
        for id in wanted {
            self.pursue(id, now, out);
        }
    }

    fn entry(&mut self, service: &str, spec: &Service, index: u16) -> GroupId {
        let id = GroupId::of(service, index);
        self.groups.entry(id).or_insert_with(|| Entry {
            name: object_name(service, index),
            groups: spec.groups,
            leader: None,
            map: None,
            parts: Parts::new(),
            fetched: Millis(0),
            wanted: false,
            wrong: BTreeSet::new(),
            call: None,
            read_next: Millis(0),
            ask_next: Millis(0),
            attempts: 0,
        });
        id
    }

    /// Takes the next step towards a newer map, if one is due.
    fn pursue(&mut self, id: GroupId, now: Millis, out: &mut Vec<Effect>) {
        let Some(entry) = self.groups.get_mut(&id) else { return };
        if !entry.wanted {
            return;
        }
        if entry.needs_record()
            && entry.call.is_none()
            && now >= entry.read_next
        {
            self.calls += 1;
            let call =
                CallId { subsystem: Subsystem::Route, number: self.calls };
            entry.call = Some(call);
            let op = StoreOp::Read { name: entry.name.clone() };
            out.push(Effect::Store { call, op });
        }
        let Some(to) = entry.informant() else { return };
        if now < entry.ask_next {
            return;
        }
        entry.ask_next = now.plus(ASK);
        entry.attempts += 1;
        let known = entry.map.as_ref().map_or(0, |m| m.version);
        let message = Control::Locate(Locate { group: id, known });
        out.push(Effect::Send { to, message });
    }

    fn map_arrived(&mut self, from: NodeAddr, map: &GroupMap, now: Millis) {
        let Some(entry) = self.groups.get_mut(&map.group) else { return };
        let version = (map.epoch, map.version);
        let old = entry.map.as_ref().map(|m| (m.epoch, m.version));
        if old.is_some_and(|o| o > version) {
            return;
        }
        entry.leader = Some((from, map.epoch));
        let number = (map.part, map.parts);
        let parts = entry.parts.add(version, number, map.clone());
        let Some(map) = parts.map(join_map) else { return };
        entry.map = Some(map);
        entry.fetched = now;
        entry.wanted = false;
        entry.wrong.clear();
        entry.attempts = 0;
    }

    fn not_leader(
        &mut self,
        from: NodeAddr,
        not: NotLeader,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.groups.get_mut(&not.group) else { return };
        let asked = entry.leader.is_some_and(|(node, _)| node == from);
        if !asked && !entry.members().any(|node| node == from) {
            return;
        }
        let newer = |e: Epoch| entry.leader.is_none_or(|(_, old)| e > old);
        match not.hint {
            Some((node, epoch)) if newer(epoch) => {
                entry.leader = Some((node, epoch));
                entry.ask_next = now;
                entry.attempts = 0;
            }
            _ if asked => entry.attempts = entry.attempts.max(ATTEMPTS),
            _ => {}
        }
        self.pursue(not.group, now, out);
    }
}

impl Entry {
    /// The members in the map known.
    fn members(&self) -> impl Iterator<Item = NodeAddr> {
        self.map.iter().flat_map(|m| m.members.iter().map(|m| m.addr))
    }

    /// Whether only the record can tell who leads.
    fn needs_record(&self) -> bool {
        let most = match self.members().next() {
            Some(_) => READ_AFTER,
            None => ATTEMPTS,
        };
        self.leader.is_none() || self.attempts >= most
    }

    /// The node to ask next: the leader, or, while it does not answer, the
    /// members in turn.
    fn informant(&self) -> Option<NodeAddr> {
        let (leader, _) = self.leader?;
        let Some(turn) = self.attempts.checked_sub(ATTEMPTS) else {
            return Some(leader);
        };
        let others = self.members().filter(|&n| n != leader);
        let others: Vec<NodeAddr> = others.collect();
        let place = turn as usize % others.len().max(1);
        Some(others.get(place).copied().unwrap_or(leader))
    }

    /// The shard and owner of a key by the map known.
    fn owner(&self, key: KeyHash, hashed: Shard) -> Option<(Shard, NodeAddr)> {
        let map = self.map.as_ref()?;
        let node = |i: u16| Some(map.members.get(usize::from(i))?.addr);
        for &(pinned, shard, owner) in &map.pins {
            if pinned == key {
                return Some((shard, node(owner?)?));
            }
        }
        let mut position = hashed.0 / self.groups;
        for run in &map.owners {
            if position < run.count {
                return Some((hashed, node(run.owner?)?));
            }
            position -= run.count;
        }
        None
    }
}
