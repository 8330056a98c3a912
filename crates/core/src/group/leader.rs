//! A leader's soft state: members, leases and plans.
//!
//! The state is rebuilt from heartbeats after each change of leader. The
//! submodules hold the leader's authority, the placement of shards and the
//! hot keys.

mod moves;
mod pins;
mod standbys;

use std::collections::BTreeMap;

use crate::clock::{COLLECT, HEARTBEAT, LEASE, Millis};
use crate::config::{Config, Service};
use crate::control::{
    Control, GrantedShards, GroupMap, Heartbeat, Lease, MapMember, MemberInfo,
    Plan,
};
use crate::effect::{Effect, Notice};
use crate::group::hot::Heat;
use crate::group::leader::pins::Pinned;
use crate::group::parts::{
    Parts, add_run, join_detail, split_map, split_plan,
};
use crate::group::poison::Poison;
use crate::group::rules;
use crate::id::{
    Epoch, Fence, GroupId, Incarnation, KeyHash, NodeAddr, Shard, domain_hash,
};
use crate::status::MemberStatus;

/// Silence after which a member receives no further shards, in
/// milliseconds: two heartbeats and some delay.
const QUIET: u64 = 2 * HEARTBEAT + 100;

/// Interval at which placement is reconsidered when nothing was reported, in
/// milliseconds. Bounds how late the end of a lease is noticed.
const ADVANCE: u64 = 50;

/// Time after the last report of a valid lease at which a member counts as
/// not reached, in milliseconds: a heartbeat and a half, so that one lost
/// lease of a new member does not count.
const DEAF: u64 = HEARTBEAT * 3 / 2;

/// Time for which a member in a domain out of service keeps its lease while
/// it has not confirmed that it takes no new work, in milliseconds. With the
/// last term, all new work ends within 3 s.
const OUT_GRACE: u64 = 3_000 - LEASE;

/// A member as its leader sees it.
#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    detail: Option<MemberInfo>,
    parts: Parts<Millis, MemberInfo>,
    /// What the member reported to hold when it was first heard.
    claim: Option<Fence>,
    busy: u16,
    limit: u16,
    /// Smoothed requests in flight in per mille of the limit.
    load: u32,
    heard: Millis,
    /// When it last reported a valid lease.
    confirmed: Millis,
    /// `sent` of the latest heartbeat.
    sent: Millis,
    /// Latest instant at which the member may hold its shards.
    latest: Millis,
    /// Plan version of its last change, and the version it confirmed.
    version: u32,
    acked: u32,
    pushed: u32,
    leaving: bool,
    /// Its upstream cannot be reached.
    down: bool,
    /// Since when its domain has been out of service.
    out: Option<Millis>,
}

impl Peer {
    fn note(&mut self, beat: &Heartbeat, now: Millis) {
        self.sent = beat.sent;
        self.heard = now;
        self.leaving |= beat.leaving;
        self.down = beat.down;
        self.busy = beat.busy;
        self.limit = beat.limit;
        let load = u32::from(beat.busy) * 1_000 / u32::from(beat.limit).max(1);
        self.load = (3 * self.load + load) / 4;
    }

    fn draining(&self) -> bool {
        self.leaving || self.down || self.out.is_some()
    }

    fn quiet(&self, now: Millis) -> bool {
        now.since(self.heard) > QUIET
    }

    /// Whether its reports arrive, but the leases it is sent do not.
    fn deaf(&self, now: Millis) -> bool {
        now.since(self.confirmed) > DEAF
    }
}

/// A shard's owner.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    owner: Option<NodeAddr>,
    /// Plan version that granted it.
    since: u32,
    /// Plan version that revoked it.
    revoked: Option<u32>,
    /// Without an owner, and known to be held by nobody.
    free: bool,
}

impl Slot {
    /// A shard that nobody holds.
    fn free() -> Self {
        Self { free: true, ..Self::default() }
    }

    /// A shard that `owner` was granted at plan version `since`.
    fn owned(owner: NodeAddr, since: u32) -> Self {
        Self { owner: Some(owner), since, ..Self::default() }
    }
}

/// What the leader reads of the node at each step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts<'a> {
    pub(crate) config: &'a Config,
    pub(crate) version: u64,
    pub(crate) spec: &'a Service,
    pub(crate) now: Millis,
}

/// State of a node as the leader of its group.
#[derive(Debug)]
pub(crate) struct Leader {
    addr: NodeAddr,
    id: GroupId,
    pub(crate) epoch: Epoch,
    began: Millis,
    /// Until when reports of held shards are collected.
    collect: Millis,
    collected: bool,
    /// Until when shards that nobody reported may be held.
    orphan: Millis,
    version: u32,
    peers: BTreeMap<NodeAddr, Peer>,
    slots: BTreeMap<Shard, Slot>,
    pins: BTreeMap<KeyHash, Pinned>,
    heat: Heat,
    next_pin: u16,
    /// Number of hashed shards of the service.
    shards: u16,
    next_tend: Millis,
    /// Placement may have to change.
    dirty: bool,
    next_advance: Millis,
    standbys: Vec<NodeAddr>,
    poison: Poison,
    asks: BTreeMap<NodeAddr, standbys::Ask>,
    next_ask: Millis,
    /// Since when there has been no authority.
    lost: Option<Millis>,
}

impl Leader {
    /// Leads from `now`. Leases of an earlier leader may last until
    /// `orphan`; `fresh` says that there was no earlier leader.
    pub(crate) fn new(
        addr: NodeAddr,
        id: GroupId,
        epoch: Epoch,
        fresh: bool,
        orphan: Millis,
        now: Millis,
    ) -> Self {
        Self {
            addr,
            id,
            epoch,
            began: now,
            collect: if fresh { now } else { now.plus(COLLECT) },
            collected: false,
            orphan,
            version: 1,
            peers: BTreeMap::new(),
            slots: BTreeMap::new(),
            pins: BTreeMap::new(),
            heat: Heat::default(),
            next_pin: 0,
            shards: 0,
            next_tend: now,
            dirty: true,
            next_advance: now,
            standbys: Vec::new(),
            poison: Poison::default(),
            asks: BTreeMap::new(),
            next_ask: now,
            lost: None,
        }
    }

    /// The group led.
    pub(crate) fn id(&self) -> GroupId {
        self.id
    }

    /// The other members.
    pub(crate) fn members(&self) -> Vec<NodeAddr> {
        self.peers.keys().copied().filter(|&n| n != self.addr).collect()
    }

    /// Whether all members act on their latest plans and no shard is moving.
    /// A successor learns at once who holds shards only from such members.
    pub(crate) fn at_rest(&self, now: Millis) -> bool {
        let acts = |p: &Peer| p.acked >= p.version || p.quiet(now);
        let held = |s: &Slot| s.owner.is_some() && s.revoked.is_none();
        self.peers.iter().all(|(&n, p)| n == self.addr || acts(p))
            && self.slots.values().all(held)
    }

    /// Whether other members could take the group over.
    pub(crate) fn has_others(&self) -> bool {
        self.peers.iter().any(|(n, p)| *n != self.addr && !p.leaving)
    }

    /// Whether any lease may still be valid, apart from the leader's own.
    pub(crate) fn has_leases(&self, now: Millis) -> bool {
        let others = self.peers.iter().filter(|(n, _)| **n != self.addr);
        let latest = others.map(|(_, p)| p.latest);
        !rules::may_vacate(latest, self.orphan, now)
    }

    /// Takes a member's report and answers it. A plan that exceeds one
    /// datagram makes for several leases.
    pub(crate) fn heartbeat(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        authority: Millis,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) -> Vec<Lease> {
        if beat.epoch != self.epoch {
            return vec![self.refusal(beat, facts.version)];
        }
        let now = facts.now;
        let reported = self.admit(from, beat, now, out);
        let early = now < self.collect;
        let Some(peer) = self.peers.get_mut(&from) else {
            return vec![self.refusal(beat, facts.version)];
        };
        if beat.sent < peer.sent {
            // Overtaken by a later report.
            return Vec::new();
        }
        let drained = peer.draining();
        peer.note(beat, now);
        let changed = drained != peer.draining();
        if beat.lease > 0 || early || now >= authority || from == self.addr {
            peer.confirmed = now;
        }
        if beat.plan.epoch == self.epoch {
            peer.acked = peer.acked.max(beat.plan.sequence);
        }
        if changed {
            self.touch(from);
        }
        self.heat.report(from, &beat.hot, now);
        self.note_suspects(from, beat, now, out);
        self.release(from, beat);
        if reported {
            self.take_claim(from, beat, now);
        }
        if self.dirty {
            self.advance(facts, out);
        }
        self.lease(from, beat.plan, authority, facts)
    }

    fn note_suspects(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let before = self.poison.list().len();
        if let Some(detail) = &beat.detail
            && !self.collected
        {
            self.poison.inherit(&detail.poison, now);
        }
        let new = self.poison.report(from, &beat.suspects, now);
        if !new.is_empty() || self.poison.list().len() != before {
            self.touch_all();
        }
        for fingerprint in new {
            out.push(Effect::Notice(Notice::Quarantined { fingerprint }));
        }
    }

    /// An answer that grants nothing and asks for the member's details.
    fn refusal(&self, beat: &Heartbeat, config: u64) -> Lease {
        Lease {
            group: self.id,
            epoch: self.epoch,
            incarnation: beat.incarnation,
            echo: beat.sent,
            term: 0,
            version: 0,
            config,
            known: false,
            plan: None,
        }
    }

    /// Records a member that is new or has restarted. Returns whether its
    /// details have become complete.
    fn admit(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(detail) = &beat.detail else { return false };
        let old = self.peers.get(&from);
        if old.is_none_or(|p| p.incarnation != beat.incarnation) {
            let latest = old.map_or(self.orphan, |p| p.latest);
            self.version += 1;
            self.peers.insert(from, self.newcomer(beat, latest, now));
            for slot in self.slots.values_mut() {
                if slot.owner == Some(from) && slot.revoked.is_none() {
                    slot.since = self.version;
                }
            }
            out.push(Effect::Notice(Notice::MemberJoined { node: from }));
        }
        let collecting = !self.collected;
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let number = (detail.part, detail.parts);
        let parts = peer.parts.add(beat.sent, number, (**detail).clone());
        let Some(parts) = parts.filter(|_| beat.sent >= peer.sent) else {
            return false;
        };
        if collecting {
            peer.claim = Some(beat.plan);
        }
        peer.detail = Some(join_detail(parts));
        self.dirty = true;
        true
    }

    fn newcomer(&self, beat: &Heartbeat, latest: Millis, now: Millis) -> Peer {
        Peer {
            incarnation: beat.incarnation,
            detail: None,
            parts: Parts::new(),
            claim: None,
            busy: 0,
            limit: 0,
            load: 0,
            heard: now,
            confirmed: now,
            sent: Millis(0),
            latest,
            version: self.version,
            acked: 0,
            pushed: 0,
            leaving: false,
            down: false,
            out: None,
        }
    }

    /// Marks a member's plan as changed.
    fn touch(&mut self, node: NodeAddr) {
        self.version += 1;
        self.dirty = true;
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.version = self.version;
        }
    }

    fn touch_all(&mut self) {
        self.version += 1;
        self.dirty = true;
        for peer in self.peers.values_mut() {
            peer.version = self.version;
        }
    }

    fn owns(&self, node: NodeAddr) -> bool {
        self.slots.values().any(|s| s.owner == Some(node))
    }

    /// The term that a member may be given at `now`, in milliseconds.
    fn term(&self, node: NodeAddr, authority: Millis, now: Millis) -> u64 {
        let Some(peer) = self.peers.get(&node) else { return 0 };
        let collecting = !self.collected && now >= self.orphan;
        if collecting || (peer.deaf(now) && self.owns(node)) {
            return 0;
        }
        let mut term = rules::term(authority, now);
        if let Some(out) = peer.out
            && peer.acked < peer.version
        {
            let end = out.plus(OUT_GRACE + LEASE);
            term = term.min(end.since(now));
        }
        term
    }

    /// Leases for a member that acts on `plan`, counted from its latest
    /// heartbeat.
    fn lease(
        &mut self,
        node: NodeAddr,
        plan: Fence,
        authority: Millis,
        facts: Facts<'_>,
    ) -> Vec<Lease> {
        let now = facts.now;
        let term = self.term(node, authority, now);
        let epoch = self.epoch;
        let Some(peer) = self.peers.get_mut(&node) else { return Vec::new() };
        if term > 0 {
            peer.latest = peer.latest.max(rules::latest(now, term));
        }
        let sequence = peer.version;
        let lease = Lease {
            group: self.id,
            epoch,
            incarnation: peer.incarnation,
            echo: peer.sent,
            term: term as u16,
            version: sequence,
            config: facts.version,
            known: peer.detail.is_some(),
            plan: None,
        };
        if term == 0 || plan == (Fence { epoch, sequence }) {
            return vec![lease];
        }
        let parts = split_plan(self.plan(node));
        let with = |p| Lease { plan: Some(p), ..lease.clone() };
        parts.into_iter().map(with).collect()
    }

    fn plan(&self, node: NodeAddr) -> Plan {
        let peer = &self.peers[&node];
        let mut grants: BTreeMap<u32, Vec<Shard>> = BTreeMap::new();
        let mut revoked = Vec::new();
        for (&shard, slot) in &self.slots {
            if slot.owner != Some(node) {
                continue;
            }
            if slot.revoked.is_some() {
                revoked.push(shard);
            } else {
                grants.entry(slot.since).or_default().push(shard);
            }
        }
        let grants = grants
            .into_iter()
            .map(|(since, shards)| GrantedShards { since, shards })
            .collect();
        Plan {
            version: peer.version,
            part: 0,
            parts: 1,
            grants,
            revoked,
            pins: self.pins_of(node),
            standbys: self.standbys.clone(),
            poison: self.poison.list().to_vec(),
            drain: peer.draining(),
        }
    }

    /// Does what is due: lost members, domains out of service, placement.
    fn advance(&mut self, facts: Facts<'_>, out: &mut Vec<Effect>) {
        self.drop_lost(facts.now, out);
        self.note_domains(facts);
        if self.slots.is_empty() {
            self.fill(facts.spec);
        }
        if facts.now < self.collect {
            return;
        }
        if !self.collected {
            self.take_claims(facts.now);
            self.collected = true;
        }
        self.dirty = false;
        self.next_advance = facts.now.plus(ADVANCE);
        self.move_shards(facts);
        self.tend_pins(facts);
    }

    /// Does what is due if anything changed or some time has passed.
    pub(crate) fn tick(&mut self, facts: Facts<'_>, out: &mut Vec<Effect>) {
        if self.dirty || facts.now >= self.next_advance {
            self.advance(facts, out);
        }
    }

    /// Sends changed plans at once, as leases counted from each member's
    /// latest heartbeat.
    pub(crate) fn push(
        &mut self,
        authority: Millis,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) {
        let behind: Vec<NodeAddr> = self
            .peers
            .iter()
            .filter(|(n, p)| {
                **n != self.addr && p.detail.is_some() && p.pushed < p.version
            })
            .map(|(&n, _)| n)
            .collect();
        for to in behind {
            let none = Fence::default();
            for lease in self.lease(to, none, authority, facts) {
                if lease.term == 0 {
                    continue;
                }
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.pushed = peer.version;
                }
                out.push(Effect::Send { to, message: Control::Lease(lease) });
            }
        }
    }

    /// The group's map, in parts that each fit a datagram.
    pub(crate) fn map(&self, now: Millis) -> Vec<GroupMap> {
        let mut members = Vec::new();
        let mut at = BTreeMap::new();
        for (&addr, peer) in &self.peers {
            let Some(detail) = &peer.detail else { continue };
            let idle = peer.draining() && !self.owns(addr);
            if rules::lapsed(peer.latest, now) || idle {
                continue;
            }
            at.insert(addr, members.len() as u16);
            members.push(MapMember {
                addr,
                incarnation: peer.incarnation,
                domain: domain_hash(&detail.domain),
                limit: peer.limit,
            });
        }
        let index = |slot: Option<&Slot>| at.get(&slot?.owner?).copied();
        let mut owners = Vec::new();
        let mut pins = Vec::new();
        for slot in self.slots.range(..self.first_pin()).map(|(_, s)| s) {
            add_run(&mut owners, index(Some(slot)));
        }
        for (&key, pin) in &self.pins {
            let slot = self.slots.get(&pin.shard);
            pins.push((key, pin.shard, index(slot)));
        }
        split_map(GroupMap {
            group: self.id,
            epoch: self.epoch,
            version: self.version,
            members,
            owners,
            pins,
            ..GroupMap::default()
        })
    }

    pub(crate) fn status(&self, now: Millis) -> Vec<MemberStatus> {
        let mut all = Vec::new();
        for (&node, peer) in &self.peers {
            let owned = self.slots.values().filter(|s| s.owner == Some(node));
            let detail = peer.detail.as_ref();
            all.push(MemberStatus {
                node,
                domain: detail.map_or_else(String::new, |d| d.domain.clone()),
                shards: owned.count(),
                busy: peer.busy,
                limit: peer.limit,
                silent: now.since(peer.heard),
                leaving: peer.draining(),
            });
        }
        all
    }
}
