//! Soft state of a group's leader: members, leases and plans.
//!
//! The state is rebuilt from heartbeats after each change of leader. The
//! submodules hold the leader's authority, the placement of shards and the hot
//! keys.

mod pins;
mod shards;
mod standbys;

use std::collections::BTreeMap;

use crate::clock::{
    CLAIM_WINDOW_MS, HEARTBEAT_INTERVAL_MS, LEASE_TERM_MS, Millis,
};
use crate::config::{Config, Service};
use crate::control::{
    Control, GrantedShards, GroupMap, Heartbeat, Lease, MapMember, MemberInfo,
    Plan,
};
use crate::effect::{Effect, Notice};
use crate::group::hot::KeyRates;
use crate::group::leader::pins::PinState;
use crate::group::parts::{
    PartCollector, append_owner, join_detail, split_map, split_plan,
};
use crate::group::rules;
use crate::id::{
    Epoch, Fence, GroupId, Incarnation, KeyHash, NodeAddr, Shard, domain_hash,
};
use crate::request::poison_tracker::PoisonTracker;
use crate::status::MemberStatus;

/// Silence after which a member receives no further shards: two heartbeats and
/// some delay.
const MEMBER_SILENCE_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS + 100;

/// Number of crashes after which requests of a fingerprint are refused.
const QUARANTINE_CRASH_COUNT: u32 = 2;

/// Interval at which placement is recomputed when nothing was reported. Bounds
/// the delay until the end of a lease is noticed.
const RECONCILE_INTERVAL_MS: u64 = 50;

/// Time after its last report of a valid lease from which a member counts as
/// not receiving its leases: one and a half heartbeats, so that one lost lease
/// of a new member does not count.
const LEASE_CONFIRM_TIMEOUT_MS: u64 = HEARTBEAT_INTERVAL_MS * 3 / 2;

/// Time for which a member in a failure domain that is out of service keeps
/// its lease without having confirmed that it takes no new work. With one more
/// lease term, all new work ends within 3 s.
const DOMAIN_OUT_GRACE_MS: u64 = 3_000 - LEASE_TERM_MS;

/// What the leader knows of a member.
#[derive(Debug)]
struct MemberEntry {
    incarnation: Incarnation,
    detail: Option<MemberInfo>,
    detail_parts: PartCollector<Millis, MemberInfo>,
    /// The plan under which it claimed shards while claims were collected.
    claimed_plan: Option<Fence>,
    busy: u16,
    limit: u16,
    /// Smoothed number of requests in flight, in per mille of the limit.
    load_permille: u32,
    last_heard: Millis,
    /// When it last reported a valid lease, or could not be expected to.
    confirmed_at: Millis,
    /// Send time, on the member's clock, of its latest heartbeat.
    last_sent: Millis,
    /// Latest instant, on the leader's clock, at which it may hold its shards.
    latest_end: Millis,
    /// Version of its plan, that is of the plan's last change.
    plan_version: u32,
    /// The plan version of this epoch that it reported to act on.
    acked_version: u32,
    /// The plan version that was last sent to it without a heartbeat.
    pushed_version: u32,
    leaving: bool,
    /// Its upstream cannot be reached.
    down: bool,
    /// When its failure domain was seen to be out of service.
    out_since: Option<Millis>,
}

impl MemberEntry {
    fn update(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.last_sent = heartbeat.sent;
        self.last_heard = now;
        self.leaving |= heartbeat.leaving;
        self.down = heartbeat.down;
        self.busy = heartbeat.busy;
        self.limit = heartbeat.limit;
        let load = u32::from(heartbeat.busy) * 1_000
            / u32::from(heartbeat.limit).max(1);
        self.load_permille = (3 * self.load_permille + load) / 4;
    }

    fn is_draining(&self) -> bool {
        self.leaving || self.down || self.out_since.is_some()
    }

    fn is_silent(&self, now: Millis) -> bool {
        now.since(self.last_heard) > MEMBER_SILENCE_MS
    }

    /// Whether the leader hears the member, but the member does not receive
    /// its leases.
    fn lease_unconfirmed(&self, now: Millis) -> bool {
        now.since(self.confirmed_at) > LEASE_CONFIRM_TIMEOUT_MS
    }
}

/// A shard's owner, and whether the shard may be granted.
#[derive(Clone, Copy, Debug, Default)]
struct ShardState {
    owner: Option<NodeAddr>,
    /// Plan version at which it was granted to the owner.
    granted_version: u32,
    /// Plan version at which it was revoked from the owner.
    revoked_version: Option<u32>,
    /// There is no owner, and certainly no member holds the shard.
    free: bool,
}

impl ShardState {
    /// A shard that nobody holds.
    fn free() -> Self {
        Self { free: true, ..Self::default() }
    }

    /// A shard that was granted to `owner` at plan version
    /// `granted_version`.
    fn owned(owner: NodeAddr, granted_version: u32) -> Self {
        Self { owner: Some(owner), granted_version, ..Self::default() }
    }
}

/// Configuration and time that the leader reads at each step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderContext<'a> {
    pub(crate) config: &'a Config,
    /// Version of the configuration.
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
    started_at: Millis,
    /// End of the time for which claims of held shards are collected.
    claims_until: Millis,
    /// Collection is over, and claims were granted if they were due.
    claims_closed: bool,
    /// Latest instant at which a shard that no member claimed may be held
    /// under a lease of an earlier leader.
    prior_end: Millis,
    /// Latest plan version; grows with each change of any member's plan.
    plan_version: u32,
    members: BTreeMap<NodeAddr, MemberEntry>,
    shards: BTreeMap<Shard, ShardState>,
    pins: BTreeMap<KeyHash, PinState>,
    key_rates: KeyRates,
    /// The shard id that was last used for a hot key.
    last_pin: u16,
    /// Number of hashed shards of the service.
    shard_count: u16,
    /// When hot keys are pinned, unpinned and moved next.
    next_review: Millis,
    /// Placement must be recomputed.
    dirty: bool,
    next_reconcile: Millis,
    standbys: Vec<NodeAddr>,
    /// Counts crashes by the processes of members that report them.
    poison: PoisonTracker<(NodeAddr, Incarnation)>,
    promises: BTreeMap<NodeAddr, standbys::PromiseState>,
    /// When the next promise requests are due.
    next_request: Millis,
    /// Since when the leader has had no authority.
    lost_since: Option<Millis>,
}

impl Leader {
    /// A leader from `now` on. Leases of an earlier leader may be valid until
    /// `prior_end`. With `skip_claims` no claims are collected, since there
    /// was no earlier leader or none of its leases is valid.
    pub(crate) fn new(
        addr: NodeAddr,
        id: GroupId,
        epoch: Epoch,
        skip_claims: bool,
        prior_end: Millis,
        now: Millis,
    ) -> Self {
        Self {
            addr,
            id,
            epoch,
            started_at: now,
            claims_until: if skip_claims {
                now
            } else {
                now.plus(CLAIM_WINDOW_MS)
            },
            claims_closed: false,
            prior_end,
            plan_version: 1,
            members: BTreeMap::new(),
            shards: BTreeMap::new(),
            pins: BTreeMap::new(),
            key_rates: KeyRates::default(),
            last_pin: 0,
            shard_count: 0,
            next_review: now,
            dirty: true,
            next_reconcile: now,
            standbys: Vec::new(),
            poison: PoisonTracker::new(QUARANTINE_CRASH_COUNT),
            promises: BTreeMap::new(),
            next_request: now,
            lost_since: None,
        }
    }

    pub(crate) fn id(&self) -> GroupId {
        self.id
    }

    pub(crate) fn other_members(&self) -> Vec<NodeAddr> {
        self.members.keys().copied().filter(|&n| n != self.addr).collect()
    }

    /// Whether all members act on their latest plans and no shard is moving.
    /// Only from such members does a successor learn at once who holds which
    /// shards.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        let acked = |m: &MemberEntry| {
            m.acked_version >= m.plan_version || m.is_silent(now)
        };
        let held =
            |s: &ShardState| s.owner.is_some() && s.revoked_version.is_none();
        self.members.iter().all(|(&n, m)| n == self.addr || acked(m))
            && self.shards.values().all(held)
    }

    /// Whether another member could take over the group.
    pub(crate) fn has_candidates(&self) -> bool {
        self.members.iter().any(|(n, m)| *n != self.addr && !m.leaving)
    }

    /// Whether any lease may still be valid, apart from the leader's own.
    pub(crate) fn has_leases(&self, now: Millis) -> bool {
        let others = self.members.iter().filter(|(n, _)| **n != self.addr);
        let latest_ends = others.map(|(_, m)| m.latest_end);
        !rules::may_vacate(latest_ends, self.prior_end, now)
    }

    /// Handles a member's report and returns the answer. A plan that exceeds
    /// one datagram is returned as several leases.
    pub(crate) fn heartbeat(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
        authority_end: Millis,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) -> Vec<Lease> {
        if heartbeat.epoch != self.epoch {
            return vec![self.empty_lease(heartbeat, ctx.version)];
        }
        let now = ctx.now;
        let reported = self.admit(from, heartbeat, now, out);
        let claims_open = now < self.claims_until;
        let Some(member) = self.members.get_mut(&from) else {
            return vec![self.empty_lease(heartbeat, ctx.version)];
        };
        if heartbeat.sent < member.last_sent {
            // A later report arrived first.
            return Vec::new();
        }
        let was_draining = member.is_draining();
        member.update(heartbeat, now);
        let changed = was_draining != member.is_draining();
        if heartbeat.lease > 0
            || claims_open
            || now >= authority_end
            || from == self.addr
        {
            member.confirmed_at = now;
        }
        if heartbeat.plan.epoch == self.epoch {
            member.acked_version =
                member.acked_version.max(heartbeat.plan.sequence);
        }
        if changed {
            self.mark_changed(from);
        }
        self.key_rates.report(from, &heartbeat.hot, now);
        self.count_suspects(from, heartbeat, now, out);
        self.free_released(from, heartbeat);
        if reported {
            self.grant_claim(from, heartbeat, now);
        }
        if self.dirty {
            self.reconcile(ctx, out);
        }
        self.leases_for(from, heartbeat.plan, authority_end, ctx)
    }

    fn count_suspects(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let before = self.poison.refused().len();
        if let Some(detail) = &heartbeat.detail
            && !self.claims_closed
        {
            self.poison.inherit(&detail.poison, now);
        }
        let process = (from, heartbeat.incarnation);
        let new = self.poison.report(process, &heartbeat.suspects, now);
        if !new.is_empty() || self.poison.refused().len() != before {
            self.mark_all_changed();
        }
        for fingerprint in new {
            out.push(Effect::Notice(Notice::Quarantined { fingerprint }));
        }
    }

    /// A lease that grants nothing and asks for the member's details.
    fn empty_lease(&self, heartbeat: &Heartbeat, config: u64) -> Lease {
        Lease {
            group: self.id,
            epoch: self.epoch,
            incarnation: heartbeat.incarnation,
            echo: heartbeat.sent,
            term: 0,
            version: 0,
            config,
            known: false,
            plan: None,
        }
    }

    /// Adds a member that is new or has restarted. Returns whether its details
    /// have become complete.
    fn admit(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(detail) = &heartbeat.detail else { return false };
        let old = self.members.get(&from);
        if old.is_none_or(|m| m.incarnation != heartbeat.incarnation) {
            let latest_end = old.map_or(self.prior_end, |m| m.latest_end);
            self.plan_version += 1;
            self.members
                .insert(from, self.new_entry(heartbeat, latest_end, now));
            for state in self.shards.values_mut() {
                if state.owner == Some(from) && state.revoked_version.is_none()
                {
                    state.granted_version = self.plan_version;
                }
            }
            out.push(Effect::Notice(Notice::MemberJoined { node: from }));
        }
        let collecting = !self.claims_closed;
        let Some(member) = self.members.get_mut(&from) else { return false };
        let number = (detail.part, detail.parts);
        let parts = member.detail_parts.add(
            heartbeat.sent,
            number,
            (**detail).clone(),
        );
        let Some(parts) = parts.filter(|_| heartbeat.sent >= member.last_sent)
        else {
            return false;
        };
        if collecting {
            member.claimed_plan = Some(heartbeat.plan);
        }
        member.detail = Some(join_detail(parts));
        self.dirty = true;
        true
    }

    fn new_entry(
        &self,
        heartbeat: &Heartbeat,
        latest_end: Millis,
        now: Millis,
    ) -> MemberEntry {
        MemberEntry {
            incarnation: heartbeat.incarnation,
            detail: None,
            detail_parts: PartCollector::new(),
            claimed_plan: None,
            busy: 0,
            limit: 0,
            load_permille: 0,
            last_heard: now,
            confirmed_at: now,
            last_sent: Millis(0),
            latest_end,
            plan_version: self.plan_version,
            acked_version: 0,
            pushed_version: 0,
            leaving: false,
            down: false,
            out_since: None,
        }
    }

    /// Gives a member's plan a new version.
    fn mark_changed(&mut self, node: NodeAddr) {
        self.plan_version += 1;
        self.dirty = true;
        if let Some(member) = self.members.get_mut(&node) {
            member.plan_version = self.plan_version;
        }
    }

    fn mark_all_changed(&mut self) {
        self.plan_version += 1;
        self.dirty = true;
        for member in self.members.values_mut() {
            member.plan_version = self.plan_version;
        }
    }

    fn owns_shards(&self, node: NodeAddr) -> bool {
        self.shards.values().any(|s| s.owner == Some(node))
    }

    /// The term that a member is granted at `now`; 0 for none.
    fn lease_term_ms(
        &self,
        node: NodeAddr,
        authority_end: Millis,
        now: Millis,
    ) -> u64 {
        let Some(member) = self.members.get(&node) else { return 0 };
        let collecting = !self.claims_closed && now >= self.prior_end;
        if collecting
            || (member.lease_unconfirmed(now) && self.owns_shards(node))
        {
            return 0;
        }
        let mut term = rules::lease_term_ms(authority_end, now);
        if let Some(out_since) = member.out_since
            && member.acked_version < member.plan_version
        {
            let end = out_since.plus(DOMAIN_OUT_GRACE_MS + LEASE_TERM_MS);
            term = term.min(end.since(now));
        }
        term
    }

    /// Builds the answer to a member that acts on `plan`: one lease, or
    /// several if the new plan exceeds one datagram. Terms count from the
    /// member's latest heartbeat.
    fn leases_for(
        &mut self,
        to: NodeAddr,
        plan: Fence,
        authority_end: Millis,
        ctx: LeaderContext<'_>,
    ) -> Vec<Lease> {
        let now = ctx.now;
        let term = self.lease_term_ms(to, authority_end, now);
        let epoch = self.epoch;
        let Some(entry) = self.members.get_mut(&to) else { return Vec::new() };
        if term > 0 {
            entry.latest_end =
                entry.latest_end.max(rules::latest_lease_end(now, term));
        }
        let sequence = entry.plan_version;
        let lease = Lease {
            group: self.id,
            epoch,
            incarnation: entry.incarnation,
            echo: entry.last_sent,
            term: term as u16,
            version: sequence,
            config: ctx.version,
            known: entry.detail.is_some(),
            plan: None,
        };
        if term == 0 || plan == (Fence { epoch, sequence }) {
            return vec![lease];
        }
        let parts = split_plan(self.plan(to));
        let with_plan = |part| Lease { plan: Some(part), ..lease.clone() };
        parts.into_iter().map(with_plan).collect()
    }

    fn plan(&self, node: NodeAddr) -> Plan {
        let member = &self.members[&node];
        let mut grants: BTreeMap<u32, Vec<Shard>> = BTreeMap::new();
        let mut revoked = Vec::new();
        for (&shard, state) in &self.shards {
            if state.owner != Some(node) {
                continue;
            }
            if state.revoked_version.is_some() {
                revoked.push(shard);
            } else {
                grants.entry(state.granted_version).or_default().push(shard);
            }
        }
        let grants = grants
            .into_iter()
            .map(|(since, shards)| GrantedShards { since, shards })
            .collect();
        Plan {
            version: member.plan_version,
            part: 0,
            parts: 1,
            grants,
            revoked,
            pins: self.pins_of(node),
            standbys: self.standbys.clone(),
            poison: self.poison.refused().to_vec(),
            drain: member.is_draining(),
        }
    }

    /// Handles lost members and failure domains out of service, then updates
    /// placement once claims have been collected.
    fn reconcile(&mut self, ctx: LeaderContext<'_>, out: &mut Vec<Effect>) {
        self.drop_lost_members(ctx.now, out);
        self.update_domains(ctx);
        if self.shards.is_empty() {
            self.create_shards(ctx.spec);
        }
        if ctx.now < self.claims_until {
            return;
        }
        if !self.claims_closed {
            self.grant_claims(ctx.now);
            self.claims_closed = true;
        }
        self.dirty = false;
        self.next_reconcile = ctx.now.plus(RECONCILE_INTERVAL_MS);
        self.place_shards(ctx);
        self.reconcile_pins(ctx);
    }

    /// Reconciles if anything changed or [`RECONCILE_INTERVAL_MS`] has passed.
    pub(crate) fn tick(
        &mut self,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        if self.dirty || ctx.now >= self.next_reconcile {
            self.reconcile(ctx, out);
        }
    }

    /// Sends changed plans without waiting for heartbeats, as leases whose
    /// terms count from each member's latest heartbeat.
    pub(crate) fn push_plans(
        &mut self,
        authority_end: Millis,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        let behind: Vec<NodeAddr> = self
            .members
            .iter()
            .filter(|(n, m)| {
                **n != self.addr
                    && m.detail.is_some()
                    && m.pushed_version < m.plan_version
            })
            .map(|(&n, _)| n)
            .collect();
        for to in behind {
            let no_plan = Fence::default();
            for lease in self.leases_for(to, no_plan, authority_end, ctx) {
                if lease.term == 0 {
                    continue;
                }
                if let Some(member) = self.members.get_mut(&to) {
                    member.pushed_version = member.plan_version;
                }
                out.push(Effect::Send { to, message: Control::Lease(lease) });
            }
        }
    }

    /// The group's map, split into parts that each fit a datagram.
    pub(crate) fn map(&self, now: Millis) -> Vec<GroupMap> {
        let mut members = Vec::new();
        let mut positions = BTreeMap::new();
        for (&addr, member) in &self.members {
            let Some(detail) = &member.detail else { continue };
            let idle = member.is_draining() && !self.owns_shards(addr);
            if rules::lease_expired(member.latest_end, now) || idle {
                continue;
            }
            positions.insert(addr, members.len() as u16);
            members.push(MapMember {
                addr,
                incarnation: member.incarnation,
                domain: domain_hash(&detail.domain),
                limit: member.limit,
            });
        }
        let index = |state: Option<&ShardState>| {
            positions.get(&state?.owner?).copied()
        };
        let mut owners = Vec::new();
        let mut pins = Vec::new();
        for state in self.shards.range(..self.first_pin()).map(|(_, s)| s) {
            append_owner(&mut owners, index(Some(state)));
        }
        for (&key, pin) in &self.pins {
            let state = self.shards.get(&pin.shard);
            pins.push((key, pin.shard, index(state)));
        }
        split_map(GroupMap {
            group: self.id,
            epoch: self.epoch,
            version: self.plan_version,
            members,
            owners,
            pins,
            ..GroupMap::default()
        })
    }

    pub(crate) fn status(&self, now: Millis) -> Vec<MemberStatus> {
        let mut all = Vec::new();
        for (&node, member) in &self.members {
            let owned = self.shards.values().filter(|s| s.owner == Some(node));
            let detail = member.detail.as_ref();
            all.push(MemberStatus {
                node,
                domain: detail.map_or_else(String::new, |d| d.domain.clone()),
                shards: owned.count(),
                busy: member.busy,
                limit: member.limit,
                silent: now.since(member.last_heard),
                leaving: member.is_draining(),
            });
        }
        all
    }
}
