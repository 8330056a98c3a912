//! A member's lease and plan, as the member itself tracks them.
//!
//! The member serves a shard only while its lease is valid on its own clock.
//! The term is counted from the member's sending of the heartbeat that the
//! lease answers.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{HEARTBEAT_INTERVAL_MS, Millis};
use crate::control::{
    Control, Heartbeat, HotKey, Lease, MemberInfo, PinnedKey, Plan,
};
use crate::effect::Effect;
use crate::group::parts::{
    PartCollector, heartbeat_limits, join_plan, split_detail, to_pin,
};
use crate::group::rules::{accepts_plan, lease_end, renews_lease};
use crate::group::{Grant, Load, NodeIdentity};
use crate::id::{
    Epoch, Fence, Fingerprint, GroupId, KeyHash, NodeAddr, Shard,
};
use crate::verdict::Reason;

/// Silence of the leader after which heartbeats are also sent to its standbys.
const LEADER_SILENCE_MS: u64 = 600;

/// Interval between heartbeats while the leader is silent. Shorter than the
/// time for which a new leader collects claims.
const SEARCH_INTERVAL_MS: u64 = 150;

/// Longest time for which a request may be in flight.
const MAX_REQUEST_MS: u64 = 60_000;

/// Blocks the release of a shard while older requests for its keys are in
/// flight and counted under another shard.
#[derive(Clone, Copy, Debug)]
struct ReleaseBlock {
    /// The shard that must not be released yet.
    shard: Shard,
    /// The shard under which the older requests are counted.
    counted_under: Shard,
    since: Millis,
}

/// State of a node as a member of its group.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) epoch: Epoch,
    pub(crate) leader: Option<NodeAddr>,
    pub(crate) config_version: u64,
    plan: Fence,
    shards: BTreeMap<Shard, Fence>,
    revoked: BTreeSet<Shard>,
    pins: BTreeMap<KeyHash, Shard>,
    standbys: Vec<NodeAddr>,
    poison: Vec<Fingerprint>,
    draining: bool,
    lease_end: Millis,
    end_reported: bool,
    detail_known: bool,
    last_heard: Millis,
    next_heartbeat: Millis,
    release_blocks: Vec<ReleaseBlock>,
    /// Number of releasable shards when last checked, and whether the upstream
    /// was unreachable. More releasable shards or a change of reachability
    /// make a heartbeat due at once.
    reported: (usize, bool),
    /// Position in the list of hot keys at which the next heartbeat continues.
    hot_offset: usize,
    plan_parts: PartCollector<Fence, Plan>,
}

impl Member {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            epoch: Epoch(0),
            leader: None,
            config_version: 0,
            plan: Fence::default(),
            shards: BTreeMap::new(),
            revoked: BTreeSet::new(),
            pins: BTreeMap::new(),
            standbys: Vec::new(),
            poison: Vec::new(),
            draining: false,
            lease_end: Millis(0),
            end_reported: true,
            detail_known: false,
            last_heard: now,
            next_heartbeat: now,
            release_blocks: Vec::new(),
            reported: (0, false),
            hot_offset: 0,
            plan_parts: PartCollector::new(),
        }
    }

    /// Adopts a leader unless one is known for this or a later epoch. Returns
    /// whether the leader changed.
    pub(crate) fn learn_leader(
        &mut self,
        leader: NodeAddr,
        epoch: Epoch,
        now: Millis,
    ) -> bool {
        let known = epoch == self.epoch && self.leader.is_some();
        if epoch < self.epoch || known {
            return false;
        }
        self.epoch = epoch;
        self.leader = Some(leader);
        self.detail_known = false;
        self.next_heartbeat = now;
        true
    }

    /// Stops waiting for a leader that no longer leads: its standbys are asked
    /// from now on.
    pub(crate) fn search_leader(&mut self, now: Millis) {
        self.last_heard = Millis(now.0.saturating_sub(LEADER_SILENCE_MS));
        self.next_heartbeat = now;
    }

    /// Makes a heartbeat due at once.
    pub(crate) fn heartbeat_now(&mut self, now: Millis) {
        self.next_heartbeat = now;
    }

    /// Whether the member's lease is valid.
    pub(crate) fn has_lease(&self, now: Millis) -> bool {
        now < self.lease_end
    }

    /// When the lease ends, or `None` if it is not valid.
    pub(crate) fn valid_until(&self, now: Millis) -> Option<Millis> {
        self.has_lease(now).then_some(self.lease_end)
    }

    /// Whether the current leader has told the member to take no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining && self.plan.epoch == self.epoch
    }

    /// Whether the member holds no shard, revoked ones included.
    pub(crate) fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.revoked.is_empty()
    }

    pub(crate) fn shard_counts(&self) -> (usize, usize) {
        (self.shards.len(), self.revoked.len())
    }

    pub(crate) fn poison(&self) -> &[Fingerprint] {
        &self.poison
    }

    /// Time since the leader was last heard of.
    pub(crate) fn leader_silence_ms(&self, now: Millis) -> u64 {
        now.since(self.last_heard)
    }

    /// Permission to serve a key whose hashed shard is `hashed`.
    pub(crate) fn grant(
        &self,
        key: KeyHash,
        hashed: Shard,
        now: Millis,
    ) -> Result<Grant, Reason> {
        if !self.has_lease(now) {
            return Err(Reason::NoOwner);
        }
        let shard = self.pins.get(&key).copied().unwrap_or(hashed);
        if let Some(&fence) = self.shards.get(&shard) {
            return Ok(Grant { shard, fence, until: self.lease_end });
        }
        if self.revoked.contains(&shard) {
            return Err(Reason::Moving);
        }
        Err(Reason::NotOwner)
    }

    /// The granted shards with their fences, for an upstream that checks them.
    pub(crate) fn fences(&self) -> Vec<(Shard, Fence)> {
        self.shards.iter().map(|(&s, &f)| (s, f)).collect()
    }

    /// Returns `true` once after each end of the lease.
    pub(crate) fn report_lease_end(&mut self, now: Millis) -> bool {
        if self.end_reported || self.has_lease(now) {
            return false;
        }
        self.end_reported = true;
        true
    }

    /// Whether a heartbeat is due: its time has come, further shards can be
    /// released, or the upstream went down or came up.
    pub(crate) fn heartbeat_due(&mut self, load: &Load, now: Millis) -> bool {
        self.drop_release_blocks(load, now);
        let released = self.released_shards(load).len();
        let (before, down) = self.reported;
        let changed = released > before || load.down != down;
        self.reported = (released, load.down);
        changed || now >= self.next_heartbeat
    }

    /// Sends a heartbeat to the leader and, while the leader is silent, to its
    /// standbys.
    pub(crate) fn send_heartbeat(
        &mut self,
        identity: &NodeIdentity,
        group: GroupId,
        load: &Load,
        leaving: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let silent = self.leader_silence_ms(now) >= LEADER_SILENCE_MS;
        self.next_heartbeat = now.plus(if silent {
            SEARCH_INTERVAL_MS
        } else {
            HEARTBEAT_INTERVAL_MS
        });
        let mut to: Vec<NodeAddr> = self.leader.into_iter().collect();
        if silent {
            to.extend(&self.standbys);
        }
        to.retain(|&n| n != identity.addr);
        to.dedup();
        let heartbeat =
            self.build_heartbeat(identity, group, load, leaving, now);
        for to in to {
            for part in split_heartbeat(&heartbeat) {
                out.push(Effect::Send { to, message: part });
            }
        }
    }

    /// Builds the member's report to its leader.
    pub(crate) fn build_heartbeat(
        &mut self,
        identity: &NodeIdentity,
        group: GroupId,
        load: &Load,
        leaving: bool,
        now: Millis,
    ) -> Heartbeat {
        self.hot_offset =
            self.hot_offset.wrapping_add(heartbeat_limits::MAX_HOT_KEY_COUNT);
        Heartbeat {
            group,
            incarnation: identity.incarnation,
            epoch: self.epoch,
            sent: now,
            lease: self.lease_end.since(now) as u16,
            plan: self.plan,
            released: truncated(
                self.released_shards(load),
                heartbeat_limits::MAX_RELEASED_COUNT,
            ),
            busy: load.busy,
            limit: load.limit,
            config: self.config_version,
            leaving,
            down: load.down,
            detail: (!self.detail_known)
                .then(|| self.build_detail(identity, load).into()),
            hot: self.next_hot_keys(load),
            suspects: truncated(
                load.suspects.clone(),
                heartbeat_limits::MAX_SUSPECT_COUNT,
            ),
        }
    }

    /// The next hot keys to report, in rotation.
    fn next_hot_keys(&self, load: &Load) -> Vec<HotKey> {
        let from = self.hot_offset % load.hot.len().max(1);
        let rotated = load.hot.iter().cycle().skip(from);
        rotated
            .take(heartbeat_limits::MAX_HOT_KEY_COUNT.min(load.hot.len()))
            .copied()
            .collect()
    }

    /// Builds the details that a leader needs once. A shard that was reported
    /// as released may have been granted to another member, so it is not
    /// claimed.
    fn build_detail(
        &self,
        identity: &NodeIdentity,
        load: &Load,
    ) -> MemberInfo {
        let released = self.released_shards(load);
        let revoked = self.revoked.iter().filter(|s| !released.contains(s));
        let held = self.shards.keys().chain(revoked).copied();
        MemberInfo {
            part: 0,
            parts: 1,
            domain: identity.domain.clone(),
            upstream: identity.upstream.clone(),
            slots: identity.slots,
            held: held.collect(),
            pins: self.pins.iter().map(to_pin).collect(),
            poison: self.poison.clone(),
        }
    }

    fn released_shards(&self, load: &Load) -> Vec<Shard> {
        let is_released = |shard: &Shard| {
            load.shards.get(shard).is_none_or(|&n| n == 0)
                && self
                    .release_blocks
                    .iter()
                    .all(|block| block.shard != *shard)
        };
        self.revoked.iter().copied().filter(is_released).collect()
    }

    /// Drops release blocks whose requests have ended or exceed
    /// [`MAX_REQUEST_MS`].
    fn drop_release_blocks(&mut self, load: &Load, now: Millis) {
        self.release_blocks.retain(|block| {
            let busy =
                load.shards.get(&block.counted_under).is_some_and(|&n| n > 0);
            busy && now.since(block.since) < MAX_REQUEST_MS
        });
    }

    /// Applies a lease. Returns whether the member's shards or its lease's end
    /// may have changed.
    pub(crate) fn apply_lease(
        &mut self,
        from: NodeAddr,
        lease: &Lease,
        shard_count: u16,
        now: Millis,
    ) -> bool {
        if lease.echo > now || lease.epoch < self.epoch {
            return false;
        }
        self.learn_leader(from, lease.epoch, now);
        if self.leader != Some(from) {
            return false;
        }
        self.last_heard = now;
        self.config_version = self.config_version.max(lease.config);
        if !lease.known {
            if self.detail_known {
                self.next_heartbeat = now;
            }
            self.detail_known = false;
            return false;
        }
        self.detail_known = true;
        if lease.term == 0 {
            return false;
        }
        if let Some(part) = &lease.plan {
            self.add_plan_part(lease.epoch, part, shard_count, now);
        }
        let current = renews_lease(self.plan, lease.epoch, lease.version);
        let until = lease_end(lease.echo, u64::from(lease.term));
        if !current || until <= self.lease_end {
            return lease.plan.is_some();
        }
        self.lease_end = until;
        self.end_reported = !self.has_lease(now);
        true
    }

    /// Adds one part of a plan, and adopts the plan once it is complete.
    fn add_plan_part(
        &mut self,
        epoch: Epoch,
        part: &Plan,
        shard_count: u16,
        now: Millis,
    ) {
        let version = Fence { epoch, sequence: part.version };
        let number = (part.part, part.parts);
        let parts = self.plan_parts.add(version, number, part.clone());
        if let Some(plan) = parts.map(join_plan) {
            self.adopt_plan(version, &plan, shard_count, now);
        }
    }

    /// Replaces the plan if the offered one is newer.
    fn adopt_plan(
        &mut self,
        version: Fence,
        plan: &Plan,
        shard_count: u16,
        now: Millis,
    ) {
        if !accepts_plan(self.plan, version) {
            return;
        }
        let epoch = version.epoch;
        if epoch != self.plan.epoch {
            // The term was granted for the plan of the previous leader.
            self.lease_end = Millis(0);
        }
        self.plan = version;
        self.update_pins(&plan.pins, shard_count, now);
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
        self.draining = plan.drain;
    }

    /// Updates the pins. A key that changes between its hashed shard and a
    /// shard of its own has older requests in flight under the other shard;
    /// neither shard is released before these have ended.
    fn update_pins(
        &mut self,
        pins: &[PinnedKey],
        shard_count: u16,
        now: Millis,
    ) {
        let new: BTreeMap<KeyHash, Shard> =
            pins.iter().map(|p| (p.key, p.shard)).collect();
        for (&key, &shard) in &new {
            if self.pins.get(&key) == Some(&shard) || shard_count == 0 {
                continue;
            }
            let counted_under = key.shard(shard_count);
            if self.shards.contains_key(&counted_under) {
                self.release_blocks.push(ReleaseBlock {
                    shard,
                    counted_under,
                    since: now,
                });
            }
        }
        for (&key, &counted_under) in &self.pins {
            if new.get(&key) == Some(&counted_under) || shard_count == 0 {
                continue;
            }
            let shard = key.shard(shard_count);
            if self.shards.contains_key(&counted_under) {
                self.release_blocks.push(ReleaseBlock {
                    shard,
                    counted_under,
                    since: now,
                });
            }
        }
        self.pins = new;
    }
}

/// Splits a heartbeat into datagrams, as its details may exceed one.
fn split_heartbeat(heartbeat: &Heartbeat) -> Vec<Control> {
    let Some(detail) = &heartbeat.detail else {
        return vec![Control::Heartbeat(heartbeat.clone())];
    };
    let mut all = Vec::new();
    for part in split_detail((**detail).clone()) {
        let detail = Some(Box::new(part));
        all.push(Control::Heartbeat(Heartbeat {
            detail,
            ..heartbeat.clone()
        }));
    }
    all
}

fn truncated<T>(mut list: Vec<T>, max_len: usize) -> Vec<T> {
    list.truncate(max_len);
    list
}
