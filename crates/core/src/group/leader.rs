//! A leader's soft state: authority, members and placement.
//!
//! The state is rebuilt from heartbeats after each change of leader. A shard
//! is granted only when its former holder has released it or the latest
//! instant of the former holder's lease has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{
    COLLECT, GRAIN, HEARTBEAT, LEASE, Millis, PROMISE, PROMISE_INTERVAL,
    STANDBY_SILENCE, with_drift,
};
use crate::config::{Config, Service};
use crate::control::{
    Control, Detail, Grants, GroupMap, Heartbeat, Lease, MapMember, OwnerRun,
    Pin, Plan, Promise, PromiseRequest,
};
use crate::effect::{Effect, Notice};
use crate::group::place::place;
use crate::group::poison::Poison;
use crate::id::{Epoch, Fence, GroupId, Incarnation, NodeAddr, Shard};
use crate::record::{Record, Tenure};
use crate::status::MemberStatus;

/// Silence after which a member receives no further shards, in
/// milliseconds: two heartbeats and some delay.
const QUIET: u64 = 2 * HEARTBEAT + 100;

/// Shards in planned moves at once because of rebalancing. Bounds how many
/// keys wait for a move at the same moment.
const MOVES: usize = 16;

/// Time for which a member in a domain out of service keeps its lease while
/// it has not confirmed that it takes no new work, in milliseconds. With the
/// last term, all new work ends within 3 s.
const OUT_GRACE: u64 = 3_000 - LEASE;

/// Number of standbys wanted in the record.
const STANDBYS: usize = 2;

/// A member as its leader sees it.
#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    detail: Option<Detail>,
    /// What the member reported to hold when it was first heard.
    claim: Option<(Fence, bool)>,
    busy: u16,
    limit: u16,
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
    /// Since when its domain has been out of service.
    out: Option<Millis>,
}

impl Peer {
    fn draining(&self) -> bool {
        self.leaving || self.out.is_some()
    }

    fn quiet(&self, now: Millis) -> bool {
        now.since(self.heard) > QUIET
    }

    /// Whether its reports arrive, but the leases it is sent do not.
    fn deaf(&self, now: Millis) -> bool {
        now.since(self.confirmed) > LEASE
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

/// A standby or candidate's promises.
#[derive(Clone, Copy, Debug)]
struct Ask {
    since: Millis,
    /// Send time of the latest request that was answered.
    answered: Option<Millis>,
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
    pins: Vec<Pin>,
    standbys: Vec<NodeAddr>,
    poison: Poison,
    asks: BTreeMap<NodeAddr, Ask>,
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
            pins: Vec::new(),
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

    /// When the leader's authority ends: all standbys that the record may
    /// name must have promised not to take over until then.
    pub(crate) fn authority(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Millis {
        let mut end = now.plus(PROMISE);
        for record in std::iter::once(record).chain(pending) {
            if record.leader != self.addr || record.tenure != Tenure::Led {
                return Millis(0);
            }
            for standby in &record.standbys {
                let ask = self.asks.get(standby);
                let Some(sent) = ask.and_then(|a| a.answered) else {
                    return Millis(0);
                };
                end = end.min(sent.plus(PROMISE));
            }
        }
        end
    }

    /// Takes a standby's answer. Returns whether the standby knows of a
    /// later epoch.
    pub(crate) fn promised(
        &mut self,
        from: NodeAddr,
        promise: &Promise,
        now: Millis,
    ) -> bool {
        if promise.epoch != self.epoch {
            return false;
        }
        if promise.refused.is_some() {
            return true;
        }
        if let Some(ask) = self.asks.get_mut(&from)
            && promise.echo <= now
            && promise.echo >= ask.since
        {
            ask.answered = ask.answered.max(Some(promise.echo));
        }
        false
    }

    /// Asks standbys and candidates for promises.
    pub(crate) fn ask(
        &mut self,
        record: &Record,
        pending: &[Record],
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut wanted: BTreeSet<NodeAddr> = BTreeSet::new();
        for record in std::iter::once(record).chain(pending) {
            wanted.extend(&record.standbys);
        }
        let due = now >= self.next_ask && self.asks_now(now);
        wanted.extend(self.choose(record, now));
        self.asks.retain(|n, _| wanted.contains(n));
        for to in wanted {
            let new = !self.asks.contains_key(&to) && self.asks_now(now);
            if !due && !new {
                continue;
            }
            self.asks.entry(to).or_insert(Ask { since: now, answered: None });
            let message = Control::PromiseRequest(PromiseRequest {
                group: self.id,
                epoch: self.epoch,
                sent: now,
            });
            out.push(Effect::Send { to, message });
        }
        if due {
            self.next_ask = now.plus(PROMISE_INTERVAL);
        }
    }

    /// Whether a node has answered promise requests lately.
    fn answers(&self, node: NodeAddr, now: Millis) -> bool {
        let Some(ask) = self.asks.get(&node) else { return false };
        now.since(ask.answered.unwrap_or(ask.since)) < self.patience(now)
    }

    /// A new leader does not know which standbys were lost together with
    /// the old leader, and allows them less time for the first answer.
    fn patience(&self, now: Millis) -> u64 {
        if now.since(self.began) < STANDBY_SILENCE {
            COLLECT
        } else {
            STANDBY_SILENCE
        }
    }

    /// The standbys that the record should name: silent and draining ones
    /// are replaced, and other domains are preferred.
    fn choose(&self, record: &Record, now: Millis) -> Vec<NodeAddr> {
        let fit = |n: &NodeAddr| {
            self.peers.get(n).is_some_and(|p| {
                p.detail.is_some() && !p.draining() && !p.quiet(now)
            })
        };
        let stays = |n: &NodeAddr| {
            let peer = self.peers.get(n);
            let asked = self.asks.contains_key(n);
            (!asked || self.answers(*n, now))
                && peer.is_none_or(|p| !p.draining())
        };
        let mut pool: Vec<NodeAddr> =
            record.standbys.iter().copied().filter(stays).collect();
        let kept = pool.len();
        let others = self.peers.keys().copied();
        pool.extend(others.filter(|n| {
            *n != self.addr && !record.standbys.contains(n) && fit(n)
        }));
        let mut chosen: Vec<NodeAddr> = Vec::new();
        let mut domains: Vec<Option<&str>> = vec![self.domain(self.addr)];
        while chosen.len() < STANDBYS {
            let rest = pool.iter().enumerate();
            let rest = rest.filter(|(_, n)| !chosen.contains(n));
            let best = rest.min_by_key(|&(i, n)| {
                let near = domains.contains(&self.domain(*n));
                let young = !self.asks.contains_key(n);
                (near, i >= kept, young, i)
            });
            let Some((_, &node)) = best else { break };
            domains.push(self.domain(node));
            chosen.push(node);
        }
        chosen
    }

    fn domain(&self, node: NodeAddr) -> Option<&str> {
        let detail = self.peers.get(&node)?.detail.as_ref()?;
        Some(detail.domain.as_str())
    }

    /// The record that the leader wants, if it differs from the present
    /// one. A node is added only once it has made its promise.
    pub(crate) fn wanted(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Option<Record> {
        let chosen = self.choose(record, now);
        let ready = |n: &NodeAddr| {
            record.standbys.contains(n)
                || self.asks.get(n).is_some_and(|a| {
                    a.answered.is_some_and(|s| now.since(s) < STANDBY_SILENCE)
                })
        };
        let mut standbys: Vec<NodeAddr> =
            chosen.into_iter().filter(ready).collect();
        // Until a better one has promised, an answering standby stays.
        for &old in &record.standbys {
            if standbys.len() < STANDBYS
                && !standbys.contains(&old)
                && self.asks.contains_key(&old)
                && self.answers(old, now)
                && self.peers.get(&old).is_none_or(|p| !p.draining())
            {
                standbys.push(old);
            }
        }
        let same = standbys.len() == record.standbys.len()
            && standbys.iter().all(|n| record.standbys.contains(n));
        if same && pending.is_empty() {
            return None;
        }
        Some(Record { standbys, ..record.clone() })
    }

    /// The standby to which a leaving leader hands the group.
    pub(crate) fn heir(
        &self,
        record: &Record,
        now: Millis,
    ) -> Option<NodeAddr> {
        let mut standbys = record.standbys.iter().copied();
        standbys.find(|&n| {
            self.answers(n, now)
                && self.peers.get(&n).is_some_and(|p| !p.draining())
        })
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
        self.peers.iter().any(|(n, p)| *n != self.addr && !p.draining())
    }

    /// Whether any lease may still be valid, apart from the leader's own.
    pub(crate) fn has_leases(&self, now: Millis) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|(n, p)| *n != self.addr && now < p.latest)
    }

    /// Takes a member's report and answers it.
    pub(crate) fn heartbeat(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        authority: Millis,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) -> Lease {
        if beat.epoch != self.epoch {
            return self.refusal(beat, facts.version);
        }
        let now = facts.now;
        self.admit(from, beat, now, out);
        let Some(peer) = self.peers.get_mut(&from) else {
            return self.refusal(beat, facts.version);
        };
        if beat.sent < peer.sent {
            // Overtaken by a later report.
            return self.refusal(beat, facts.version);
        }
        peer.sent = beat.sent;
        peer.heard = now;
        peer.busy = beat.busy;
        peer.limit = beat.limit;
        peer.leaving |= beat.leaving;
        let excused = now >= authority || now < self.collect;
        if beat.lease > 0 || excused || from == self.addr {
            peer.confirmed = now;
        }
        if beat.plan.epoch == self.epoch {
            peer.acked = peer.acked.max(beat.plan.sequence);
        }
        self.note_suspects(from, beat, now, out);
        self.release(from, beat);
        self.take_late_claim(from, beat, now);
        self.advance(facts, out);
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

    /// Records a member that is new or has restarted.
    fn admit(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let old = self.peers.get(&from);
        let restarted = old.is_some_and(|p| p.incarnation != beat.incarnation);
        if old.is_none() || restarted {
            let latest = old.map_or(Millis(0), |p| p.latest);
            if beat.detail.is_none() {
                return;
            }
            self.version += 1;
            self.peers.insert(from, self.newcomer(beat, latest, now));
            for slot in self.slots.values_mut() {
                if slot.owner == Some(from) && slot.revoked.is_none() {
                    slot.since = self.version;
                }
            }
            out.push(Effect::Notice(Notice::Joined { node: from }));
        }
        if let (Some(peer), Some(detail)) =
            (self.peers.get_mut(&from), &beat.detail)
        {
            if !self.collected && beat.sent >= peer.sent {
                peer.claim = Some((beat.plan, beat.lease > 0));
            }
            peer.detail = Some((**detail).clone());
        }
    }

    fn newcomer(&self, beat: &Heartbeat, latest: Millis, now: Millis) -> Peer {
        Peer {
            incarnation: beat.incarnation,
            detail: None,
            claim: None,
            busy: 0,
            limit: 0,
            heard: now,
            confirmed: now,
            sent: Millis(0),
            latest,
            version: self.version,
            acked: 0,
            pushed: 0,
            leaving: false,
            out: None,
        }
    }

    /// Frees shards that their holder has released. The report must follow
    /// the plan that revoked the shard: an older one is of an earlier move.
    fn release(&mut self, from: NodeAddr, beat: &Heartbeat) {
        if beat.plan.epoch != self.epoch {
            return;
        }
        for shard in &beat.released {
            let Some(slot) = self.slots.get_mut(shard) else { continue };
            let after = slot.revoked.is_some_and(|v| v <= beat.plan.sequence);
            if slot.owner != Some(from) || !after {
                continue;
            }
            *slot = Slot::free();
            self.touch(from);
        }
    }

    /// Marks a member's plan as changed.
    fn touch(&mut self, node: NodeAddr) {
        self.version += 1;
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.version = self.version;
        }
    }

    fn touch_all(&mut self) {
        self.version += 1;
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
        if !self.collected || (peer.deaf(now) && self.owns(node)) {
            return 0;
        }
        let mut term = LEASE.min(authority.since(now));
        if let Some(out) = peer.out
            && peer.acked < peer.version
        {
            let end = out.plus(OUT_GRACE + LEASE);
            term = term.min(end.since(now));
        }
        term
    }

    /// A lease for a member, counted from its latest heartbeat.
    fn lease(
        &mut self,
        node: NodeAddr,
        plan: Fence,
        authority: Millis,
        facts: Facts<'_>,
    ) -> Lease {
        let now = facts.now;
        let current = Fence { epoch: self.epoch, sequence: 0 };
        let peer = &self.peers[&node];
        let term = self.term(node, authority, now);
        let version = peer.version;
        let behind = plan != Fence { sequence: version, ..current };
        let plan = (behind && term > 0).then(|| self.plan(node));
        let id = self.id;
        let epoch = self.epoch;
        let peer = self.peers.get_mut(&node).expect("member is known");
        if term > 0 {
            let latest = now.plus(with_drift(term) + GRAIN);
            peer.latest = peer.latest.max(latest);
        }
        Lease {
            group: id,
            epoch,
            incarnation: peer.incarnation,
            echo: peer.sent,
            term: term as u16,
            version,
            config: facts.version,
            known: peer.detail.is_some(),
            plan,
        }
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
            .map(|(since, shards)| Grants { since, shards })
            .collect();
        Plan {
            version: peer.version,
            grants,
            revoked,
            pins: self.pins.clone(),
            standbys: self.standbys.clone(),
            poison: self.poison.list().to_vec(),
            drain: peer.draining(),
        }
    }

    /// Does what is due: lost members, domains out of service, placement.
    pub(crate) fn advance(&mut self, facts: Facts<'_>, out: &mut Vec<Effect>) {
        self.drop_lost(facts.now, out);
        self.note_domains(facts);
        if facts.now < self.collect {
            return;
        }
        if !self.collected {
            self.fill(facts.spec);
            self.take_claims(facts.now);
            self.collected = true;
        }
        self.move_shards(facts);
    }

    /// Creates the group's shards, without owners.
    fn fill(&mut self, spec: &Service) {
        if !spec.keyed {
            return;
        }
        for shard in 0..spec.shards {
            if shard % spec.groups == self.id.index {
                self.slots.entry(Shard(shard)).or_default();
            }
        }
    }

    /// Frees the shards of members that are not reached any more, once
    /// their leases have ended.
    fn drop_lost(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let own = self.addr;
        let lost = |n: &NodeAddr, p: &Peer| {
            *n != own && now >= p.latest && (p.quiet(now) || p.deaf(now))
        };
        let gone: Vec<NodeAddr> = self
            .peers
            .iter()
            .filter(|(n, p)| lost(n, p) && (p.quiet(now) || self.owns(**n)))
            .map(|(&n, _)| n)
            .collect();
        for node in gone {
            for slot in self.slots.values_mut() {
                if slot.owner == Some(node) {
                    *slot = Slot::free();
                }
            }
            self.touch(node);
            if self.peers.get(&node).is_some_and(|p| p.quiet(now)) {
                self.peers.remove(&node);
                self.poison.forget(node);
                out.push(Effect::Notice(Notice::Lost { node }));
            }
        }
    }

    /// Treats members of a domain that is out of service as leaving.
    fn note_domains(&mut self, facts: Facts<'_>) {
        let mut changed = Vec::new();
        for (&node, peer) in &mut self.peers {
            let Some(detail) = &peer.detail else { continue };
            let domain = facts.config.domains.get(&detail.domain);
            let out = domain.is_some_and(|d| d.out);
            if out == peer.out.is_some() {
                continue;
            }
            peer.out = out.then_some(facts.now);
            changed.push(node);
        }
        for node in changed {
            self.touch(node);
        }
    }

    /// Grants shards back to the members that reported to hold them. While
    /// leases of the old leader may be valid, only the report of a member
    /// with a valid lease counts. Of several reports, the latest plan wins.
    fn take_claims(&mut self, now: Millis) {
        let settled = now >= self.orphan;
        let mut claims: Vec<(Fence, NodeAddr, Vec<Shard>)> = Vec::new();
        for (&node, peer) in &self.peers {
            let (Some((plan, valid)), Some(detail)) =
                (peer.claim, &peer.detail)
            else {
                continue;
            };
            if valid || settled {
                claims.push((plan, node, detail.held.clone()));
            }
        }
        claims.sort();
        self.version += 1;
        for (_, node, held) in claims {
            for shard in held {
                let Some(slot) = self.slots.get_mut(&shard) else { continue };
                *slot = Slot::owned(node, self.version);
            }
        }
        self.touch_all();
    }

    /// Grants shards back to a member that reports only after the time for
    /// collecting, while its lease by the old leader is valid.
    fn take_late_claim(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        now: Millis,
    ) {
        let Some(detail) = &beat.detail else { return };
        if !self.collected || now >= self.orphan || beat.lease == 0 {
            return;
        }
        if beat.plan.epoch >= self.epoch {
            return;
        }
        for shard in &detail.held {
            let slot = self.slots.get(shard);
            if slot.is_some_and(|s| s.owner.is_none() && !s.free) {
                self.give(*shard, from);
            }
        }
    }

    /// Grants free shards and revokes those that should move.
    fn move_shards(&mut self, facts: Facts<'_>) {
        let now = facts.now;
        let (nodes, weights) = self.receivers(facts);
        let at: BTreeMap<NodeAddr, usize> =
            nodes.iter().enumerate().map(|(i, &n)| (n, i)).collect();
        let mut shards = Vec::new();
        let mut owners = Vec::new();
        for (&shard, slot) in &self.slots {
            let absent = slot.owner.is_some_and(|n| !at.contains_key(&n));
            if absent && slot.revoked.is_none() && !self.leaves(slot) {
                // A quiet owner keeps its shards until its lease has ended.
                continue;
            }
            shards.push(shard);
            let stays = slot.owner.filter(|_| slot.revoked.is_none());
            owners.push(stays.and_then(|n| at.get(&n).copied()));
        }
        let wanted = place(&owners, &weights);
        let settled = now >= self.orphan;
        let mut moving =
            self.slots.values().filter(|s| s.revoked.is_some()).count();
        for (shard, wanted) in shards.into_iter().zip(wanted) {
            let slot = self.slots[&shard];
            let wanted = wanted.map(|i| nodes[i]);
            match (slot.owner, wanted) {
                (None, Some(node)) if slot.free || settled => {
                    self.give(shard, node);
                }
                (Some(node), wanted)
                    if slot.revoked.is_none()
                        && wanted != Some(node)
                        && (self.leaves(&slot) || moving < MOVES) =>
                {
                    moving += 1;
                    self.revoke(shard, node);
                }
                _ => {}
            }
        }
    }

    /// Members that may receive shards, and their shares.
    fn receivers(&self, facts: Facts<'_>) -> (Vec<NodeAddr>, Vec<u32>) {
        let mut nodes = Vec::new();
        let mut weights = Vec::new();
        for (&node, peer) in &self.peers {
            let Some(detail) = &peer.detail else { continue };
            if peer.draining() || peer.quiet(facts.now) || peer.deaf(facts.now)
            {
                continue;
            }
            nodes.push(node);
            let share = facts.spec.shares.get(&detail.upstream);
            weights.push(share.copied().unwrap_or(1));
        }
        (nodes, weights)
    }

    /// Whether the owner of a slot is to give up its shards.
    fn leaves(&self, slot: &Slot) -> bool {
        let owner = slot.owner.and_then(|n| self.peers.get(&n));
        owner.is_some_and(Peer::draining)
    }

    fn give(&mut self, shard: Shard, node: NodeAddr) {
        self.touch(node);
        let slot = Slot::owned(node, self.version);
        self.slots.insert(shard, slot);
    }

    fn revoke(&mut self, shard: Shard, node: NodeAddr) {
        self.touch(node);
        if let Some(slot) = self.slots.get_mut(&shard) {
            slot.revoked = Some(self.version);
        }
    }

    /// Notes the standbys in the record, for members' plans.
    pub(crate) fn note_standbys(&mut self, standbys: &[NodeAddr]) -> bool {
        if self.standbys == standbys {
            return false;
        }
        self.standbys = standbys.to_vec();
        self.touch_all();
        true
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
            let plan = Fence { epoch: self.epoch, sequence: 0 };
            let lease = self.lease(to, plan, authority, facts);
            if lease.term == 0 {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(&to) {
                peer.pushed = peer.version;
            }
            out.push(Effect::Send { to, message: Control::Lease(lease) });
        }
    }

    /// Notes whether there is authority and reports once that it ended.
    /// Returns whether there is none.
    pub(crate) fn check_authority(
        &mut self,
        authority: Millis,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if now < authority {
            self.lost = None;
            return false;
        }
        if self.lost.is_none() {
            self.lost = Some(now);
            if now.since(self.began) > COLLECT {
                let group = self.id;
                out.push(Effect::Notice(Notice::AuthorityLost { group }));
            }
        }
        true
    }

    /// Whether to ask for promises now. A leader that has had no authority
    /// for long cannot reach the store or its standbys. It lets promises
    /// expire from time to time, so that a standby that can reach the store
    /// takes over.
    fn asks_now(&self, now: Millis) -> bool {
        let Some(lost) = self.lost else { return true };
        now.since(lost) % (2 * PROMISE) < PROMISE / 2
    }

    /// The group's map.
    pub(crate) fn map(&self, now: Millis) -> GroupMap {
        let mut members = Vec::new();
        let mut at = BTreeMap::new();
        for (&addr, peer) in &self.peers {
            let Some(detail) = &peer.detail else { continue };
            let idle = peer.draining() && !self.owns(addr);
            if now >= peer.latest || idle {
                continue;
            }
            at.insert(addr, members.len() as u8);
            members.push(MapMember {
                addr,
                incarnation: peer.incarnation,
                domain: domain_hash(&detail.domain),
                limit: peer.limit,
            });
        }
        let mut owners: Vec<OwnerRun> = Vec::new();
        for slot in self.slots.values() {
            let owner = slot.owner.and_then(|n| at.get(&n).copied());
            match owners.last_mut() {
                Some(run) if run.owner == owner => run.count += 1,
                _ => owners.push(OwnerRun { count: 1, owner }),
            }
        }
        GroupMap {
            group: self.id,
            epoch: self.epoch,
            version: self.version,
            members,
            owners,
            pins: Vec::new(),
        }
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

/// Hash of a failure domain's name, for maps.
pub(crate) fn domain_hash(name: &str) -> u32 {
    crate::id::KeyHash::of(name).0 as u32
}
