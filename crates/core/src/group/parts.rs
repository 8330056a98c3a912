//! Lists that may exceed a datagram, in parts.
//!
//! Plans, group maps and members' details travel in as many datagrams as
//! they need. The sizes used here are upper bounds of the postcard encoding:
//! a `u16` takes up to 3 bytes, a `u32` 5, a `u64` 10, an address 20.

use std::collections::BTreeMap;

use crate::control::{
    GrantedShards, GroupMap, MAX_DATAGRAM_BYTES, MemberInfo, OwnerRun,
    PinnedKey, Plan,
};
use crate::id::Shard;

/// Bytes for the lists of one part of a plan. The rest of the datagram holds
/// the lease (52 bytes), two standbys (41), 16 poisoned requests (161) and
/// the lengths of lists.
const PLAN_ROOM: usize = 900;

/// Bytes for the lists of one part of a map, after its head.
const MAP_ROOM: usize = 1_150;

/// Bytes of a heartbeat without its details: fixed fields (80), released
/// shards (194), hot keys (61) and suspects (161), with some reserve.
const BEAT: usize = 520;

/// Bytes of the list of poisoned requests in the first part of the details.
const POISON: usize = 161;

/// Least room for a part's lists.
const LEAST: usize = 64;

const SHARD: usize = 3;
const GRANTS: usize = 8;
const PIN: usize = 13;
const MEMBER: usize = 33;
const RUN: usize = 7;
const MAP_PIN: usize = 17;

/// The parts received of one message.
#[derive(Debug)]
pub(crate) struct Parts<K, T> {
    key: Option<K>,
    parts: BTreeMap<u8, T>,
}

impl<K: PartialEq, T> Parts<K, T> {
    pub(crate) fn new() -> Self {
        Self { key: None, parts: BTreeMap::new() }
    }

    /// Takes one part of the message that `key` identifies. Returns all
    /// parts in order once they are complete.
    pub(crate) fn add(
        &mut self,
        key: K,
        (part, parts): (u8, u8),
        item: T,
    ) -> Option<Vec<T>> {
        if part >= parts {
            return None;
        }
        if self.key.as_ref() != Some(&key) {
            self.key = Some(key);
            self.parts.clear();
        }
        self.parts.insert(part, item);
        if self.parts.len() < usize::from(parts) {
            return None;
        }
        self.key = None;
        Some(std::mem::take(&mut self.parts).into_values().collect())
    }
}

/// Opens a new part when `size` does not fit into the last one.
struct Room<T> {
    parts: Vec<T>,
    most: usize,
    left: usize,
}

impl<T: Default> Room<T> {
    fn new(first: T, most: usize) -> Self {
        Self { parts: vec![first], most, left: most }
    }

    fn fit(&mut self, size: usize) -> &mut T {
        if size > self.left {
            self.parts.push(T::default());
            self.left = self.most;
        }
        self.left = self.left.saturating_sub(size);
        self.parts.last_mut().expect("there is always a part")
    }
}

/// A plan in parts that each fit a lease.
pub(crate) fn split_plan(plan: Plan) -> Vec<Plan> {
    let (version, drain) = (plan.version, plan.drain);
    let first = Plan {
        standbys: plan.standbys,
        poison: plan.poison,
        ..Plan::default()
    };
    let mut room = Room::new(first, PLAN_ROOM);
    for grants in plan.grants {
        for shard in grants.shards {
            add_grant(room.fit(GRANTS + SHARD), grants.since, shard);
        }
    }
    for shard in plan.revoked {
        room.fit(SHARD).revoked.push(shard);
    }
    for pin in plan.pins {
        room.fit(PIN).pins.push(pin);
    }
    let parts = room.parts.len() as u8;
    for (part, plan) in (0..).zip(&mut room.parts) {
        (plan.part, plan.parts) = (part, parts);
        (plan.version, plan.drain) = (version, drain);
    }
    room.parts
}

fn add_grant(plan: &mut Plan, since: u32, shard: Shard) {
    match plan.grants.last_mut() {
        Some(last) if last.since == since => last.shards.push(shard),
        _ => plan.grants.push(GrantedShards { since, shards: vec![shard] }),
    }
}

/// The plan that its parts make up.
pub(crate) fn join_plan(parts: Vec<Plan>) -> Plan {
    let mut parts = parts.into_iter();
    let mut plan = parts.next().unwrap_or_default();
    for part in parts {
        plan.grants.extend(part.grants);
        plan.revoked.extend(part.revoked);
        plan.pins.extend(part.pins);
    }
    plan
}

/// Details in parts that each fit a heartbeat.
pub(crate) fn split_detail(detail: MemberInfo) -> Vec<MemberInfo> {
    let names = detail.domain.len() + detail.upstream.len() + 8;
    let most = MAX_DATAGRAM_BYTES.saturating_sub(BEAT + names).max(LEAST);
    let head = MemberInfo {
        domain: detail.domain,
        upstream: detail.upstream,
        slots: detail.slots,
        ..MemberInfo::default()
    };
    let first = MemberInfo { poison: detail.poison, ..head.clone() };
    let mut room = Room::new(first, most);
    room.left = room.left.saturating_sub(POISON);
    for shard in detail.held {
        room.fit(SHARD).held.push(shard);
    }
    for pin in detail.pins {
        room.fit(PIN).pins.push(pin);
    }
    let parts = room.parts.len() as u8;
    for (part, detail) in (0..).zip(&mut room.parts) {
        (detail.part, detail.parts) = (part, parts);
        detail.domain.clone_from(&head.domain);
        detail.upstream.clone_from(&head.upstream);
        detail.slots = head.slots;
    }
    room.parts
}

/// The details that their parts make up.
pub(crate) fn join_detail(parts: Vec<MemberInfo>) -> MemberInfo {
    let mut parts = parts.into_iter();
    let mut detail = parts.next().unwrap_or_default();
    for part in parts {
        detail.held.extend(part.held);
        detail.pins.extend(part.pins);
    }
    detail
}

/// A map in parts that each fit a datagram.
pub(crate) fn split_map(map: GroupMap) -> Vec<GroupMap> {
    let mut room = Room::new(GroupMap::default(), MAP_ROOM);
    for member in map.members {
        room.fit(MEMBER).members.push(member);
    }
    for run in map.owners {
        room.fit(RUN).owners.push(run);
    }
    for pin in map.pins {
        room.fit(MAP_PIN).pins.push(pin);
    }
    let parts = room.parts.len() as u8;
    for (part, piece) in (0..).zip(&mut room.parts) {
        (piece.part, piece.parts) = (part, parts);
        piece.group = map.group;
        (piece.epoch, piece.version) = (map.epoch, map.version);
    }
    room.parts
}

/// The map that its parts make up.
pub(crate) fn join_map(parts: Vec<GroupMap>) -> GroupMap {
    let mut parts = parts.into_iter();
    let mut map = parts.next().unwrap_or_default();
    for part in parts {
        map.members.extend(part.members);
        map.owners.extend(part.owners);
        map.pins.extend(part.pins);
    }
    (map.part, map.parts) = (0, 1);
    map
}

/// Adds the owner of the next shard to a map's runs.
pub(crate) fn add_run(owners: &mut Vec<OwnerRun>, owner: Option<u16>) {
    match owners.last_mut() {
        Some(run) if run.owner == owner => run.count += 1,
        _ => owners.push(OwnerRun { count: 1, owner }),
    }
}

/// Most entries of lists that are sent again with each heartbeat. What does
/// not fit follows in later heartbeats.
pub(crate) mod beat {
    /// Released shards.
    pub(crate) const RELEASED: usize = 64;
    /// Hot keys; a member with more reports them in turn.
    pub(crate) const HOT: usize = 4;
    /// Suspects.
    pub(crate) const SUSPECTS: usize = 16;
}

/// Pins on the shards that a node may serve.
pub(crate) fn pin((&key, &shard): (&crate::id::KeyHash, &Shard)) -> PinnedKey {
    PinnedKey { key, shard }
}
