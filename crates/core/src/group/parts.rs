//! Splitting of messages that may exceed one datagram into parts.
//!
//! Plans, group maps and members' details are sent in as many datagrams as
//! they need. The sizes used here are upper bounds of the postcard encoding: a
//! `u16` takes up to 3 bytes, a `u32` 5, a `u64` 10, an address 20.

use std::collections::BTreeMap;

use crate::control::{
    GrantedShards, GroupMap, MAX_DATAGRAM_BYTES, MemberInfo, OwnerRun,
    PinnedKey, Plan,
};
use crate::id::Shard;

/// Space for the lists of one part of a plan. The rest of the datagram holds
/// the lease (52 bytes), two standbys (41), 16 poisoned requests (161) and the
/// lengths of the lists.
const MAX_PLAN_LISTS_BYTES: usize = 900;

/// Space for the lists of one part of a map, after its fixed fields.
const MAX_MAP_LISTS_BYTES: usize = 1_150;

/// Size of a heartbeat without its details: fixed fields (80), released shards
/// (194), hot keys (61) and suspects (161), with some reserve.
const HEARTBEAT_BASE_BYTES: usize = 520;

/// Size of the list of poisoned requests in the first part of the details.
const POISON_LIST_BYTES: usize = 161;

/// Least space for the lists of one part of the details, however long the
/// names in it are.
const MIN_PART_LISTS_BYTES: usize = 64;

// Largest encoded sizes of one list entry.
const SHARD_BYTES: usize = 3;
const GRANTS_BYTES: usize = 8;
const PIN_BYTES: usize = 13;
const MEMBER_BYTES: usize = 33;
const OWNER_RUN_BYTES: usize = 7;
const MAP_PIN_BYTES: usize = 17;

/// Collects the parts of one message at a time.
#[derive(Debug)]
pub(crate) struct PartCollector<K, T> {
    key: Option<K>,
    parts: BTreeMap<u8, T>,
}

impl<K: PartialEq, T> PartCollector<K, T> {
    pub(crate) fn new() -> Self {
        Self { key: None, parts: BTreeMap::new() }
    }

    /// Adds one part, with its number and the number of parts, of the message
    /// that `key` identifies. Returns all parts in order once they are
    /// complete. A part of another message discards the parts collected so
    /// far.
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

/// Writes lists into parts and opens a new part when an entry does not fit
/// into the last one.
struct PartWriter<T> {
    parts: Vec<T>,
    capacity: usize,
    remaining: usize,
}

impl<T: Default> PartWriter<T> {
    fn new(first: T, capacity: usize) -> Self {
        Self { parts: vec![first], capacity, remaining: capacity }
    }

    fn reserve(&mut self, size: usize) -> &mut T {
        if size > self.remaining {
            self.parts.push(T::default());
            self.remaining = self.capacity;
        }
        self.remaining = self.remaining.saturating_sub(size);
        self.parts.last_mut().expect("there is always a part")
    }
}

/// Splits a plan into parts that each fit a lease.
pub(crate) fn split_plan(plan: Plan) -> Vec<Plan> {
    let (version, drain) = (plan.version, plan.drain);
    let first = Plan {
        standbys: plan.standbys,
        poison: plan.poison,
        ..Plan::default()
    };
    let mut writer = PartWriter::new(first, MAX_PLAN_LISTS_BYTES);
    for grants in plan.grants {
        for shard in grants.shards {
            add_grant(
                writer.reserve(GRANTS_BYTES + SHARD_BYTES),
                grants.since,
                shard,
            );
        }
    }
    for shard in plan.revoked {
        writer.reserve(SHARD_BYTES).revoked.push(shard);
    }
    for pin in plan.pins {
        writer.reserve(PIN_BYTES).pins.push(pin);
    }
    let parts = writer.parts.len() as u8;
    for (part, plan) in (0..).zip(&mut writer.parts) {
        (plan.part, plan.parts) = (part, parts);
        (plan.version, plan.drain) = (version, drain);
    }
    writer.parts
}

fn add_grant(plan: &mut Plan, since: u32, shard: Shard) {
    match plan.grants.last_mut() {
        Some(last) if last.since == since => last.shards.push(shard),
        _ => plan.grants.push(GrantedShards { since, shards: vec![shard] }),
    }
}

/// Joins the parts of a plan.
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

/// Splits details into parts that each fit a heartbeat.
pub(crate) fn split_detail(detail: MemberInfo) -> Vec<MemberInfo> {
    let names_len = detail.domain.len() + detail.upstream.len() + 8;
    let capacity = MAX_DATAGRAM_BYTES
        .saturating_sub(HEARTBEAT_BASE_BYTES + names_len)
        .max(MIN_PART_LISTS_BYTES);
    let head = MemberInfo {
        domain: detail.domain,
        upstream: detail.upstream,
        slots: detail.slots,
        ..MemberInfo::default()
    };
    let first = MemberInfo { poison: detail.poison, ..head.clone() };
    let mut writer = PartWriter::new(first, capacity);
    writer.remaining = writer.remaining.saturating_sub(POISON_LIST_BYTES);
    for shard in detail.held {
        writer.reserve(SHARD_BYTES).held.push(shard);
    }
    for pin in detail.pins {
        writer.reserve(PIN_BYTES).pins.push(pin);
    }
    let parts = writer.parts.len() as u8;
    for (part, detail) in (0..).zip(&mut writer.parts) {
        (detail.part, detail.parts) = (part, parts);
        detail.domain.clone_from(&head.domain);
        detail.upstream.clone_from(&head.upstream);
        detail.slots = head.slots;
    }
    writer.parts
}

/// Joins the parts of a member's details.
pub(crate) fn join_detail(parts: Vec<MemberInfo>) -> MemberInfo {
    let mut parts = parts.into_iter();
    let mut detail = parts.next().unwrap_or_default();
    for part in parts {
        detail.held.extend(part.held);
        detail.pins.extend(part.pins);
    }
    detail
}

/// Splits a map into parts that each fit a datagram.
pub(crate) fn split_map(map: GroupMap) -> Vec<GroupMap> {
    let mut writer = PartWriter::new(GroupMap::default(), MAX_MAP_LISTS_BYTES);
    for member in map.members {
        writer.reserve(MEMBER_BYTES).members.push(member);
    }
    for run in map.owners {
        writer.reserve(OWNER_RUN_BYTES).owners.push(run);
    }
    for pin in map.pins {
        writer.reserve(MAP_PIN_BYTES).pins.push(pin);
    }
    let parts = writer.parts.len() as u8;
    for (part, part_map) in (0..).zip(&mut writer.parts) {
        (part_map.part, part_map.parts) = (part, parts);
        part_map.group = map.group;
        (part_map.epoch, part_map.version) = (map.epoch, map.version);
    }
    writer.parts
}

/// Joins the parts of a map.
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

/// Appends the owner of the next shard to a map's runs.
pub(crate) fn append_owner(owners: &mut Vec<OwnerRun>, owner: Option<u16>) {
    match owners.last_mut() {
        Some(run) if run.owner == owner => run.count += 1,
        _ => owners.push(OwnerRun { count: 1, owner }),
    }
}

/// Limits on the lists that are sent again with each heartbeat. What does not
/// fit follows in later heartbeats.
pub(crate) mod heartbeat_limits {
    /// Released shards in one heartbeat.
    pub(crate) const MAX_RELEASED_COUNT: usize = 64;
    /// Hot keys in one heartbeat; a member with more reports them in rotation.
    pub(crate) const MAX_HOT_KEY_COUNT: usize = 4;
    /// Fingerprints in flight at crashes in one heartbeat: those of the latest
    /// crashes.
    pub(crate) const MAX_SUSPECT_COUNT: usize = 16;
}

/// A member's pin in the form in which messages carry it.
pub(crate) fn to_pin(
    (&key, &shard): (&crate::id::KeyHash, &Shard),
) -> PinnedKey {
    PinnedKey { key, shard }
}
