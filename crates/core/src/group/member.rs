//! A member's lease and plan.
//!
//! The member serves a shard only while its lease lasts by its own clock,
//! counted from the moment at which it sent the heartbeat that the lease
//! answers.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{HEARTBEAT, Millis};
use crate::control::{
    Control, Heartbeat, HotKey, Lease, MemberInfo, PinnedKey, Plan,
};
use crate::effect::Effect;
use crate::group::parts::{Parts, beat, join_plan, pin, split_detail};
use crate::group::rules::{accepts_plan, lease_end, renews};
use crate::group::{Grant, Load, Seat};
use crate::id::{
    Epoch, Fence, Fingerprint, GroupId, KeyHash, NodeAddr, Shard,
};
use crate::verdict::Reason;

/// Silence of the leader after which its standbys are asked as well, in
/// milliseconds.
const SILENCE: u64 = 600;

/// Interval between heartbeats while the leader is silent, in milliseconds.
/// Shorter than the time for which a new leader collects reports.
const SEARCH: u64 = 150;

/// Longest time for which a request may be in flight, in milliseconds.
const REQUEST_MAX: u64 = 60_000;

/// A shard whose requests may still count under another shard.
#[derive(Clone, Copy, Debug)]
struct Mixed {
    /// The shard that may not be released yet.
    shard: Shard,
    /// The shard under which older requests of the same keys run.
    under: Shard,
    since: Millis,
}

/// State of a node as a member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) epoch: Epoch,
    pub(crate) leader: Option<NodeAddr>,
    pub(crate) config: u64,
    plan: Fence,
    shards: BTreeMap<Shard, Fence>,
    revoked: BTreeSet<Shard>,
    pins: BTreeMap<KeyHash, Shard>,
    standbys: Vec<NodeAddr>,
    poison: Vec<Fingerprint>,
    drain: bool,
    until: Millis,
    ended: bool,
    known: bool,
    heard: Millis,
    next: Millis,
    mixed: Vec<Mixed>,
    /// Number of released shards in the last report, and whether it said
    /// that the upstream cannot be reached.
    reported: (usize, bool),
    /// Where the next heartbeat goes on in the list of hot keys.
    turn: usize,
    parts: Parts<Fence, Plan>,
}

impl Member {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            epoch: Epoch(0),
            leader: None,
            config: 0,
            plan: Fence::default(),
            shards: BTreeMap::new(),
            revoked: BTreeSet::new(),
            pins: BTreeMap::new(),
            standbys: Vec::new(),
            poison: Vec::new(),
            drain: false,
            until: Millis(0),
            ended: true,
            known: false,
            heard: now,
            next: now,
            mixed: Vec::new(),
            reported: (0, false),
            turn: 0,
            parts: Parts::new(),
        }
    }

    /// Takes note of a leader. Returns whether it is news.
    pub(crate) fn learn(
        &mut self,
        leader: NodeAddr,
        epoch: Epoch,
        now: Millis,
    ) -> bool {
        if epoch < self.epoch || self.leader == Some(leader) {
            return false;
        }
        if epoch == self.epoch && self.leader.is_some() {
            return false;
        }
        self.epoch = epoch;
        self.leader = Some(leader);
        self.known = false;
        self.next = now;
        true
    }

    /// The leader leads no more: asks its standbys from now on.
    pub(crate) fn search(&mut self, now: Millis) {
        self.heard = Millis(now.0.saturating_sub(SILENCE));
        self.next = now;
    }

    /// Sends the next heartbeat as soon as possible.
    pub(crate) fn hurry(&mut self, now: Millis) {
        self.next = now;
    }

    /// Whether the lease is valid.
    pub(crate) fn valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// When a valid lease ends.
    pub(crate) fn until(&self, now: Millis) -> Option<Millis> {
        self.valid(now).then_some(self.until)
    }

    /// Whether the leader has told the member to take no new work.
    pub(crate) fn drained(&self) -> bool {
        self.drain && self.plan.epoch == self.epoch
    }

    /// Whether the member has nothing left to serve or to finish.
    pub(crate) fn empty(&self) -> bool {
        self.shards.is_empty() && self.revoked.is_empty()
    }

    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.shards.len(), self.revoked.len())
    }

    pub(crate) fn poison(&self) -> &[Fingerprint] {
        &self.poison
    }

    /// How long ago the leader was last heard of, in milliseconds.
    pub(crate) fn silent(&self, now: Millis) -> u64 {
        now.since(self.heard)
    }

    /// Permission to serve a key, which is hashed to `hashed`.
    pub(crate) fn grant(
        &self,
        key: KeyHash,
        hashed: Shard,
        now: Millis,
    ) -> Result<Grant, Reason> {
        if !self.valid(now) {
            return Err(Reason::NoOwner);
        }
        let shard = self.pins.get(&key).copied().unwrap_or(hashed);
        if let Some(&fence) = self.shards.get(&shard) {
            return Ok(Grant { shard, fence, until: self.until });
        }
        if self.revoked.contains(&shard) {
            return Err(Reason::Moving);
        }
        Err(Reason::NotOwner)
    }

    /// Shards and fences, for an upstream that checks them.
    pub(crate) fn fences(&self) -> Vec<(Shard, Fence)> {
        self.shards.iter().map(|(&s, &f)| (s, f)).collect()
    }

    /// Reports the end of the lease once.
    pub(crate) fn check_end(&mut self, now: Millis) -> bool {
        if self.ended || self.valid(now) {
            return false;
        }
        self.ended = true;
        true
    }

    /// Whether a heartbeat is due.
    pub(crate) fn due(&mut self, load: &Load, now: Millis) -> bool {
        self.settle_mixed(load, now);
        let released = self.released(load).len();
        let (before, down) = self.reported;
        let news = released > before || load.down != down;
        self.reported = (released, load.down);
        news || now >= self.next
    }

    /// Sends a heartbeat to the leader and, while it is silent, to its
    /// standbys.
    pub(crate) fn beat(
        &mut self,
        seat: &Seat,
        group: GroupId,
        load: &Load,
        leaving: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let silent = self.silent(now) >= SILENCE;
        self.next = now.plus(if silent { SEARCH } else { HEARTBEAT });
        let mut to: Vec<NodeAddr> = self.leader.into_iter().collect();
        if silent {
            to.extend(&self.standbys);
        }
        to.retain(|&n| n != seat.addr);
        to.dedup();
        let heartbeat = self.heartbeat(seat, group, load, leaving, now);
        for to in to {
            for part in split_beat(&heartbeat) {
                out.push(Effect::Send { to, message: part });
            }
        }
    }

    /// The member's report to its leader.
    pub(crate) fn heartbeat(
        &mut self,
        seat: &Seat,
        group: GroupId,
        load: &Load,
        leaving: bool,
        now: Millis,
    ) -> Heartbeat {
        self.turn = self.turn.wrapping_add(beat::HOT);
        Heartbeat {
            group,
            incarnation: seat.incarnation,
            epoch: self.epoch,
            sent: now,
            lease: self.until.since(now) as u16,
            plan: self.plan,
            released: first(self.released(load), beat::RELEASED),
            busy: load.busy,
            limit: load.limit,
            config: self.config,
            leaving,
            down: load.down,
            detail: (!self.known).then(|| self.detail(seat, load).into()),
            hot: self.hot(load),
            suspects: last(&load.suspects, beat::SUSPECTS).to_vec(),
        }
    }

    /// The next few of the hot keys.
    fn hot(&self, load: &Load) -> Vec<HotKey> {
        let from = self.turn % load.hot.len().max(1);
        let turn = load.hot.iter().cycle().skip(from);
        turn.take(beat::HOT.min(load.hot.len())).copied().collect()
    }

    /// What a leader must know once. A shard that was reported as released
    /// may have been granted to another member and is not claimed.
    fn detail(&self, seat: &Seat, load: &Load) -> MemberInfo {
        let released = self.released(load);
        let revoked = self.revoked.iter().filter(|s| !released.contains(s));
        let held = self.shards.keys().chain(revoked).copied();
        MemberInfo {
            part: 0,
            parts: 1,
            domain: seat.domain.clone(),
            upstream: seat.upstream.clone(),
            slots: seat.slots,
            held: held.collect(),
            pins: self.pins.iter().map(pin).collect(),
            poison: self.poison.clone(),
        }
    }

    fn released(&self, load: &Load) -> Vec<Shard> {
        let free = |shard: &Shard| {
            load.shards.get(shard).is_none_or(|&n| n == 0)
                && self.mixed.iter().all(|m| m.shard != *shard)
        };
        self.revoked.iter().copied().filter(free).collect()
    }

    /// Forgets shards whose older requests have ended.
    fn settle_mixed(&mut self, load: &Load, now: Millis) {
        self.mixed.retain(|m| {
            let busy = load.shards.get(&m.under).is_some_and(|&n| n > 0);
            busy && now.since(m.since) < REQUEST_MAX
        });
    }

    /// Takes a lease. Returns whether the member's shards or term changed.
    pub(crate) fn lease(
        &mut self,
        from: NodeAddr,
        lease: &Lease,
        spec_shards: u16,
        now: Millis,
    ) -> bool {
        if lease.echo > now || lease.epoch < self.epoch {
            return false;
        }
        self.learn(from, lease.epoch, now);
        if self.leader != Some(from) {
            return false;
        }
        self.heard = now;
        self.config = self.config.max(lease.config);
        if !lease.known {
            if self.known {
                self.next = now;
            }
            self.known = false;
            return false;
        }
        self.known = true;
        if lease.term == 0 {
            return false;
        }
        if let Some(part) = &lease.plan {
            self.take_part(lease.epoch, part, spec_shards, now);
        }
        let current = renews(self.plan, lease.epoch, lease.version);
        let until = lease_end(lease.echo, u64::from(lease.term));
        if !current || until <= self.until {
            return lease.plan.is_some();
        }
        self.until = until;
        self.ended = !self.valid(now);
        true
    }

    /// Takes one part of a plan, and acts on the plan once it is complete.
    fn take_part(
        &mut self,
        epoch: Epoch,
        part: &Plan,
        spec_shards: u16,
        now: Millis,
    ) {
        let version = Fence { epoch, sequence: part.version };
        let number = (part.part, part.parts);
        let parts = self.parts.add(version, number, part.clone());
        if let Some(plan) = parts.map(join_plan) {
            self.adopt(version, &plan, spec_shards, now);
        }
    }

    /// Acts on a newer plan from now on.
    fn adopt(
        &mut self,
        version: Fence,
        plan: &Plan,
        spec_shards: u16,
        now: Millis,
    ) {
        if !accepts_plan(self.plan, version) {
            return;
        }
        let epoch = version.epoch;
        if epoch != self.plan.epoch {
            // The old term was granted for the old leader's plan.
            self.until = Millis(0);
        }
        self.plan = version;
        self.note_pins(&plan.pins, spec_shards, now);
        self.shards.clear();
        for grants in &plan.grants {
            let fence = Fence { epoch, sequence: grants.since };
            for &shard in &grants.shards {
                self.shards.insert(shard, fence);
            }
        }
        self.revoked = plan.revoked.iter().copied().collect();
        self.reported.0 = 0;
        self.standbys.clone_from(&plan.standbys);
        self.poison.clone_from(&plan.poison);
        self.drain = plan.drain;
    }

    /// A key that changes between its hashed shard and one of its own has
    /// older requests in flight under the other shard. Neither is released
    /// before these have ended.
    fn note_pins(
        &mut self,
        pins: &[PinnedKey],
        spec_shards: u16,
        now: Millis,
    ) {
        let new: BTreeMap<KeyHash, Shard> =
            pins.iter().map(|p| (p.key, p.shard)).collect();
        for (&key, &shard) in &new {
            if self.pins.get(&key) == Some(&shard) || spec_shards == 0 {
                continue;
            }
            let under = key.shard(spec_shards);
            if self.shards.contains_key(&under) {
                self.mixed.push(Mixed { shard, under, since: now });
            }
        }
        for (&key, &under) in &self.pins {
            if new.get(&key) == Some(&under) || spec_shards == 0 {
                continue;
            }
            let shard = key.shard(spec_shards);
            if self.shards.contains_key(&under) {
                self.mixed.push(Mixed { shard, under, since: now });
            }
        }
        self.pins = new;
    }
}

/// A heartbeat as datagrams: its details may need several.
fn split_beat(beat: &Heartbeat) -> Vec<Control> {
    let Some(detail) = &beat.detail else {
        return vec![Control::Heartbeat(beat.clone())];
    };
    let mut all = Vec::new();
    for part in split_detail((**detail).clone()) {
        let detail = Some(Box::new(part));
        all.push(Control::Heartbeat(Heartbeat { detail, ..beat.clone() }));
    }
    all
}

fn first(mut list: Vec<Shard>, most: usize) -> Vec<Shard> {
    list.truncate(most);
    list
}

fn last<T>(list: &[T], most: usize) -> &[T] {
    &list[list.len().saturating_sub(most)..]
}
