//! Routing cache of an ingress: which node owns each shard of a group.
//!
//! The cache holds one [`GroupMap`] for each group that requests asked for. A
//! miss costs one read of the group's record in the store and one `Locate`
//! datagram to its leader; all waiting requests share them.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Control, GroupMap, Locate, MapMember, NotLeader};
use crate::effect::{Effect, StoreOp};
use crate::event::StoreOutcome;
use crate::group::parts::{PartCollector, join_map};
use crate::id::{CallId, Epoch, GroupId, KeyHash, NodeAddr, Shard, Subsystem};
use crate::record::{Record, object_name};
use crate::status::KeyLocation;

/// Interval between two `Locate` datagrams for the same map.
const LOCATE_INTERVAL_MS: u64 = 200;

/// Number of unanswered `Locate` datagrams after which the other members are
/// asked who leads, or the store if no member is known.
const LEADER_TRY_COUNT: u32 = 2;

/// Number of unanswered `Locate` datagrams after which the record is read
/// although members are known. After the loss of a leader every ingress looks
/// for the next one at once; the store would take 5 s for 11,000 reads of one
/// record.
const RECORD_READ_TRY_COUNT: u32 = 10;

/// Delay after a read of a record before it may be read again.
const RECORD_RETRY_MS: u64 = 500;

/// Age at which the map of a service that is not partitioned by key is fetched
/// again while it is in use. Nothing else would tell an ingress of a new
/// member. With more than four groups the age grows, so that an ingress
/// fetches at most two maps a second.
const MAX_MAP_AGE_MS: u64 = 2_000;

/// Result of looking up the owner of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// This node owns the key; it may be the asking node itself.
    Owner(NodeAddr),
    /// No owner is known yet; ask again at a later tick.
    Wait,
}

/// What is known of one group.
#[derive(Debug)]
struct GroupRoute {
    name: String,
    groups: u16,
    leader: Option<(NodeAddr, Epoch)>,
    map: Option<GroupMap>,
    parts: PartCollector<(Epoch, u32), GroupMap>,
    fetched_at: Millis,
    /// A newer map is wanted.
    update_wanted: bool,
    /// Shards whose owner according to the map turned out to be wrong.
    misrouted: BTreeSet<Shard>,
    call: Option<CallId>,
    next_read: Millis,
    next_locate: Millis,
    /// Unsuccessful `Locate` datagrams since the leader was last learned.
    tries: u32,
}

/// The routing cache of one node.
#[derive(Debug, Default)]
pub struct Routes {
    groups: BTreeMap<GroupId, GroupRoute>,
    call_count: u32,
}

impl Routes {
    /// A cache without any group.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The owner of a key. If it is not known, requests the map of the key's
    /// group.
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
            && !entry.misrouted.contains(&shard)
        {
            return Lookup::Owner(owner);
        }
        entry.update_wanted = true;
        self.request_update(id, now, out);
        Lookup::Wait
    }

    /// Fills in what the cache knows of a key's owner, for an operator's
    /// query.
    pub(crate) fn describe(
        &self,
        service: &str,
        spec: &Service,
        key: KeyHash,
        located: &mut KeyLocation,
    ) {
        let hashed = key.shard(spec.shards);
        let id = GroupId::of(service, hashed.group(spec.groups));
        let Some(entry) = self.groups.get(&id) else { return };
        if let Some((leader, epoch)) = entry.leader {
            (located.leader, located.epoch) = (Some(leader), epoch);
        }
        let Some((shard, owner)) = entry.owner(key, hashed) else { return };
        (located.shard, located.pinned) = (shard, shard != hashed);
        located.owner = (!entry.misrouted.contains(&shard)).then_some(owner);
    }

    /// The members of all groups of a service that take new work; empty while
    /// none is known. Requests maps that are missing or too old.
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
            let max_age = MAX_MAP_AGE_MS * u64::from(spec.groups).div_ceil(4);
            let old = now.since(entry.fetched_at) >= max_age;
            if entry.map.is_none() || old {
                entry.update_wanted = true;
            }
            self.request_update(id, now, out);
        }
        members
    }

    /// Marks the map of the key's group as out of date, since a node answered
    /// that it is not the owner or could not be reached. Without a key, for a
    /// service that is not partitioned by key, this concerns the maps of all
    /// groups.
    pub fn invalidate(
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
                entry.misrouted.insert(shard);
            }
            entry.update_wanted = true;
            self.request_update(id, now, out);
        }
    }

    /// Handles `Map` and `NotLeader` datagrams.
    pub fn datagram(
        &mut self,
        from: NodeAddr,
        message: &Control,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Control::Map(map) => self.map_received(from, map, now),
            Control::NotLeader(resp) => self.not_leader(from, *resp, now, out),
            _ => {}
        }
    }

    /// Handles the outcome of a store call made with `Subsystem::Route`.
    pub fn store_done(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let found = self.groups.iter_mut().find(|(_, e)| e.call == Some(call));
        let Some((&id, entry)) = found else { return };
        entry.call = None;
        entry.next_read = now.plus(RECORD_RETRY_MS);
        let StoreOutcome::Read { value, .. } = outcome else { return };
        let Ok(record) = Record::decode(&value) else { return };
        let newer = entry.leader.is_none_or(|(_, e)| record.epoch >= e);
        if newer {
            entry.leader = Some((record.leader, record.epoch));
        }
        entry.tries = 0;
        entry.next_locate = now;
        self.request_update(id, now, out);
    }

    /// Repeats reads and `Locate` datagrams that were not answered.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let wanted: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, e)| e.update_wanted)
            .map(|(&id, _)| id)
            .collect();
        for id in wanted {
            self.request_update(id, now, out);
        }
    }

    fn entry(&mut self, service: &str, spec: &Service, index: u16) -> GroupId {
        let id = GroupId::of(service, index);
        self.groups.entry(id).or_insert_with(|| GroupRoute {
            name: object_name(service, index),
            groups: spec.groups,
            leader: None,
            map: None,
            parts: PartCollector::new(),
            fetched_at: Millis(0),
            update_wanted: false,
            misrouted: BTreeSet::new(),
            call: None,
            next_read: Millis(0),
            next_locate: Millis(0),
            tries: 0,
        });
        id
    }

    /// Sends the next read or `Locate` datagram for a newer map, if one is
    /// wanted and due.
    fn request_update(
        &mut self,
        id: GroupId,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.groups.get_mut(&id) else { return };
        if !entry.update_wanted {
            return;
        }
        if entry.needs_record()
            && entry.call.is_none()
            && now >= entry.next_read
        {
            self.call_count += 1;
            let call = CallId {
                subsystem: Subsystem::Route,
                number: self.call_count,
            };
            entry.call = Some(call);
            let op = StoreOp::Read { name: entry.name.clone() };
            out.push(Effect::Store { call, op });
        }
        let Some(to) = entry.locate_target() else { return };
        if now < entry.next_locate {
            return;
        }
        entry.next_locate = now.plus(LOCATE_INTERVAL_MS);
        entry.tries += 1;
        let known = entry.map.as_ref().map_or(0, |m| m.version);
        let message = Control::Locate(Locate { group: id, known });
        out.push(Effect::Send { to, message });
    }

    fn map_received(&mut self, from: NodeAddr, map: &GroupMap, now: Millis) {
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
        entry.fetched_at = now;
        entry.update_wanted = false;
        entry.misrouted.clear();
        entry.tries = 0;
    }

    fn not_leader(
        &mut self,
        from: NodeAddr,
        reply: NotLeader,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.groups.get_mut(&reply.group) else { return };
        let asked = entry.leader.is_some_and(|(node, _)| node == from);
        if !asked && !entry.members().any(|node| node == from) {
            return;
        }
        let newer = |e: Epoch| entry.leader.is_none_or(|(_, old)| e > old);
        match reply.hint {
            Some((node, epoch)) if newer(epoch) => {
                entry.leader = Some((node, epoch));
                entry.next_locate = now;
                entry.tries = 0;
            }
            _ if asked => entry.tries = entry.tries.max(LEADER_TRY_COUNT),
            _ => {}
        }
        self.request_update(reply.group, now, out);
    }
}

impl GroupRoute {
    /// The members in the known map.
    fn members(&self) -> impl Iterator<Item = NodeAddr> {
        self.map.iter().flat_map(|m| m.members.iter().map(|m| m.addr))
    }

    /// Whether the group's record must be read to learn who leads.
    fn needs_record(&self) -> bool {
        let threshold = match self.members().next() {
            Some(_) => RECORD_READ_TRY_COUNT,
            None => LEADER_TRY_COUNT,
        };
        self.leader.is_none() || self.tries >= threshold
    }

    /// The node to ask next: the leader or, while it does not answer, the
    /// other members in turn.
    fn locate_target(&self) -> Option<NodeAddr> {
        let (leader, _) = self.leader?;
        let Some(turn) = self.tries.checked_sub(LEADER_TRY_COUNT) else {
            return Some(leader);
        };
        let others = self.members().filter(|&n| n != leader);
        let others: Vec<NodeAddr> = others.collect();
        let index = turn as usize % others.len().max(1);
        Some(others.get(index).copied().unwrap_or(leader))
    }

    /// The shard and owner of a key according to the known map. `hashed` is
    /// the shard that the key's hash gives; a pinned key has another.
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
