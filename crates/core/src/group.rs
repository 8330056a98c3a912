//! Ownership and membership of one group.
//!
//! Each node is a member of a group of its service, and may also lead it or
//! stand by for its leader. The protocol is described in `docs/design.md`,
//! section 4.2.
//!
//! [`Group`] is the only type that the rest of the reducer uses. For the
//! request path it answers one question: may this node serve this key now?

pub(crate) mod group_search;
pub mod hot;
pub(crate) mod leader;
pub(crate) mod member;
pub(crate) mod parts;
pub mod placement;
mod receive;
pub(crate) mod record_client;
pub mod rules;
pub(crate) mod standby;
mod succession;

use std::collections::BTreeMap;

use crate::clock::{HEARTBEAT_INTERVAL_MS, Millis};
use crate::config::{Config, Service};
use crate::control::HotKey;
use crate::effect::{Effect, Notice};
use crate::event::StoreOutcome;
use crate::group::group_search::GroupSearch;
use crate::group::leader::{Leader, LeaderContext};
use crate::group::member::Member;
use crate::group::record_client::RecordClient;
use crate::group::standby::Standby;
use crate::id::{
    CallId, Epoch, Fence, Fingerprint, GroupId, Incarnation, KeyHash,
    NodeAddr, Shard,
};
use crate::record::{Tenure, object_name};
use crate::status::Status;
use crate::verdict::Reason;

/// Interval at which a standby whose promise has expired and a leader without
/// authority read the record.
const URGENT_READ_INTERVAL_MS: u64 = 250;

/// Interval between a leader's reports to itself.
const SELF_REPORT_INTERVAL_MS: u64 = HEARTBEAT_INTERVAL_MS / 2;

/// Permission to serve a key, valid at the instant for which it was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The shard that holds the key.
    pub shard: Shard,
    /// Fencing token of the shard, for upstreams that check it.
    pub fence: Fence,
    /// When the lease that covers the shard ends.
    pub until: Millis,
}

/// Load of the request path, as heartbeats report it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests in flight at the upstream.
    pub busy: u16,
    /// The concurrency limit that was found for the upstream.
    pub limit: u16,
    /// The upstream has been unreachable for some time.
    pub down: bool,
    /// Requests in flight by shard; absent shards have none.
    pub shards: BTreeMap<Shard, u32>,
    /// The heaviest keys of the last interval.
    pub hot: Vec<HotKey>,
    /// Fingerprints of the requests in flight when the upstream crashed, once
    /// for each crash.
    pub suspects: Vec<Fingerprint>,
}

/// Identity of this node within its group.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Address at which the other nodes reach this one.
    pub addr: NodeAddr,
    /// Identifies the node's process; changes with each start.
    pub incarnation: Incarnation,
    /// The VM's failure domain, as the settings name it.
    pub domain: String,
    /// The service of the node's upstream.
    pub service: String,
    /// The upstream's name, by which the configuration assigns its share.
    pub upstream: String,
    /// The upstream's slots, as the settings give them.
    pub slots: u16,
}

/// Configuration and load that the group reads at each event.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force, or an empty one.
    pub config: &'a Config,
    /// Version of the configuration; 0 while there is none.
    pub version: u64,
    /// Load of the request path at this event.
    pub load: &'a Load,
}

/// A node's membership in its group. It exists once the configuration names
/// the node's service and the group is chosen.
#[derive(Debug)]
struct Membership {
    id: GroupId,
    client: RecordClient,
    /// The epoch and tenure last read, and when they were first read.
    seen: (Epoch, Tenure, Millis),
    /// Latest instant at which leases of the leader that this node replaces
    /// may be valid.
    prior_end: Millis,
    /// End of the time in which a new leader can request promises. Without it,
    /// the standbys of a lost leader would replace one another in turn.
    grace_end: Millis,
    /// Claims need not be collected, since there was no other leader or none
    /// of its leases is valid.
    skip_claims: bool,
}

/// Ownership and membership at one node.
#[derive(Debug)]
pub struct Group {
    identity: NodeIdentity,
    seed: u64,
    started_at: Millis,
    search: Option<GroupSearch>,
    membership: Option<Membership>,
    standby: Standby,
    member: Member,
    leader: Option<Leader>,
    /// When the next report of a leader to itself is due.
    next_report: Millis,
    /// When the node began to leave; `None` unless it is leaving.
    leaving_since: Option<Millis>,
    /// The node handed over leadership or gave up the group.
    handed_over: bool,
    out_of_service: bool,
}

impl Group {
    /// A node that started at `now` and has not found its group. `seed` seeds
    /// the random ids of its writes to the store.
    #[must_use]
    pub fn new(identity: NodeIdentity, seed: u64, now: Millis) -> Self {
        Self {
            identity,
            seed,
            started_at: now,
            search: None,
            membership: None,
            standby: Standby::new(now),
            member: Member::new(now),
            leader: None,
            next_report: now,
            leaving_since: None,
            handed_over: false,
            out_of_service: false,
        }
    }

    /// Performs the periodic work that is due at `now`.
    pub fn tick(
        &mut self,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(spec) = self.find_group(view, now, out) else { return };
        let domain = view.config.domains.get(&self.identity.domain);
        self.out_of_service = domain.is_some_and(|d| d.out);
        let ctx = LeaderContext {
            config: view.config,
            version: view.version,
            spec,
            now,
        };
        if self.leader.is_some() {
            self.tick_leader(view, ctx, out);
        } else {
            self.tick_follower(now, out);
        }
        if self.leader.is_none()
            && self.member.heartbeat_due(view.load, now)
            && let Some(membership) = &self.membership
        {
            let (identity, load) = (&self.identity, view.load);
            let leaving = self.leaving_since.is_some();
            self.member.send_heartbeat(
                identity,
                membership.id,
                load,
                leaving,
                now,
                out,
            );
        }
        if self.member.report_lease_end(now) {
            let (shards, _) = self.member.shard_counts();
            out.push(Effect::Notice(Notice::LeaseEnded { shards }));
        }
    }

    /// Finds the node's group once the configuration names its service.
    fn find_group<'a>(
        &mut self,
        view: View<'a>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<&'a Service> {
        let spec = view.config.services.get(&self.identity.service)?;
        if self.membership.is_some() {
            return Some(spec);
        }
        if spec.groups == 0 || self.leaving_since.is_some() {
            return None;
        }
        let identity = &self.identity;
        let search = self.search.get_or_insert_with(|| {
            GroupSearch::new(
                identity.addr,
                &identity.service,
                spec.groups,
                0,
                now,
            )
        });
        let index = search.advance(now, out)?;
        let call_count = search.call_count();
        self.search = None;
        let name = object_name(&identity.service, index);
        self.membership = Some(Membership {
            id: GroupId::of(&identity.service, index),
            client: RecordClient::new(name, self.seed, call_count),
            seen: (Epoch(0), Tenure::Led, self.started_at),
            prior_end: Millis(0),
            grace_end: Millis(0),
            skip_claims: true,
        });
        Some(spec)
    }

    /// Restarts the search after another node created the group's record
    /// first, since there may be another group without a leader.
    fn restart_search(&mut self, view: View<'_>, now: Millis) {
        let Some(membership) = &self.membership else { return };
        let spec = view.config.services.get(&self.identity.service);
        let Some(spec) = spec.filter(|s| s.groups > 1) else { return };
        let call_count = membership.client.call_count();
        let (addr, service) = (self.identity.addr, &self.identity.service);
        self.search = Some(GroupSearch::new(
            addr,
            service,
            spec.groups,
            call_count,
            now,
        ));
        self.membership = None;
    }

    /// Performs the periodic work of a leader.
    fn tick_leader(
        &mut self,
        view: View<'_>,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = ctx.now;
        let (Some(leader), Some(membership)) =
            (&mut self.leader, &mut self.membership)
        else {
            return;
        };
        let Some(record) = membership.client.record().cloned() else { return };
        leader.tick(ctx, out);
        leader.request_promises(
            &record,
            membership.client.pending(),
            now,
            out,
        );
        if leader.update_standbys(&record.standbys) {
            let (group, nodes) = (membership.id, record.standbys.clone());
            out.push(Effect::Notice(Notice::StandbysChanged { group, nodes }));
        }
        let end =
            leader.authority_end(&record, membership.client.pending(), now);
        let lost = leader.check_authority(end, now, out);
        let since =
            membership.client.read_at().map_or(u64::MAX, |t| now.since(t));
        if membership.client.is_stale()
            || (lost && since >= URGENT_READ_INTERVAL_MS)
        {
            membership.client.read(now, out);
        } else if membership.client.is_idle(now) {
            let pending = membership.client.pending();
            if let Some(next) = leader.wanted_record(&record, pending, now) {
                membership.client.write(next, now, out);
            }
        }
        self.report_self(view, ctx, out);
        self.hand_over(now, out);
        if let (Some(leader), Some(membership)) =
            (&mut self.leader, &self.membership)
        {
            let pending = membership.client.pending();
            let end = leader.authority_end(&record, pending, now);
            leader.push_plans(end, ctx, out);
        }
    }

    /// Reports to this node itself. A leader is a member of its own group and
    /// grants itself leases by the same rules, without datagrams.
    fn report_self(
        &mut self,
        view: View<'_>,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = ctx.now;
        let due = self.member.heartbeat_due(view.load, now)
            || now >= self.next_report;
        if !due {
            return;
        }
        self.next_report = now.plus(SELF_REPORT_INTERVAL_MS);
        // The first report may only transfer the details.
        for _ in 0..2 {
            self.report_once(view, ctx, out);
        }
    }

    fn report_once(
        &mut self,
        view: View<'_>,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = ctx.now;
        let (Some(leader), Some(membership)) =
            (&mut self.leader, &self.membership)
        else {
            return;
        };
        let Some(record) = membership.client.record() else { return };
        let (load, leaving) = (view.load, self.leaving_since.is_some());
        let heartbeat = self.member.build_heartbeat(
            &self.identity,
            membership.id,
            load,
            leaving,
            now,
        );
        let end =
            leader.authority_end(record, membership.client.pending(), now);
        let addr = self.identity.addr;
        for lease in leader.heartbeat(addr, &heartbeat, end, ctx, out) {
            self.apply_lease(addr, &lease, ctx.spec, now, out);
        }
    }

    fn apply_lease(
        &mut self,
        from: NodeAddr,
        lease: &crate::control::Lease,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let changed = self.member.apply_lease(from, lease, spec.shards, now);
        let until = self.member.valid_until(now);
        if let (true, true, Some(until)) = (changed, spec.fenced, until) {
            let shards = self.member.fences();
            out.push(Effect::Grant { shards, until });
        }
    }

    /// Handles the outcome of a call made with [`Subsystem::Group`].
    ///
    /// [`Subsystem::Group`]: crate::id::Subsystem::Group
    pub fn store_done(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some(search) = &mut self.search {
            search.store_done(call, outcome, now);
            self.tick(view, now, out);
            return;
        }
        let Some(membership) = &mut self.membership else { return };
        let lost = membership.client.is_creating()
            && outcome == StoreOutcome::Conflict;
        if membership.client.store_done(call, outcome, now, out) {
            self.record_refreshed(view, now, out);
        } else if lost && membership.client.pending().is_empty() {
            self.restart_search(view, now);
            self.tick(view, now, out);
        } else if membership.client.is_stale() {
            membership.client.read(now, out);
        }
    }

    /// Starts to give up all shards and leadership, for a graceful stop.
    pub fn leave(&mut self, now: Millis, _out: &mut Vec<Effect>) {
        self.leaving_since = self.leaving_since.or(Some(now));
        self.next_report = now;
        self.member.heartbeat_now(now);
    }

    /// Whether all shards and leadership have been given up after
    /// [`Group::leave`], or nothing more can be done about them.
    #[must_use]
    pub fn has_left(&self, now: Millis) -> bool {
        if self.membership.is_none() || self.handed_over {
            return true;
        }
        if self.leader.is_some() {
            return false;
        }
        self.member.is_empty()
            && (self.member.is_draining() || !self.member.has_lease(now))
    }

    /// Permission to serve a key of the node's own service at `now`.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease does not cover the key's shard, `Moving` if the
    /// shard is revoked, `NoOwner` if the node has no valid lease.
    pub fn grant(
        &self,
        key: KeyHash,
        spec: &Service,
        now: Millis,
    ) -> Result<Grant, Reason> {
        self.member.grant(key, key.shard(spec.shards), now)
    }

    /// When the node's lease ends, or `None` if it holds no valid lease or
    /// takes no new work. For services that are not partitioned by key.
    #[must_use]
    pub fn lease(&self, now: Millis) -> Option<Millis> {
        if self.out_of_service || self.member.is_draining() {
            return None;
        }
        self.member.valid_until(now)
    }

    /// Fingerprints of requests to refuse, since the group's leader found that
    /// they crash upstreams.
    #[must_use]
    pub fn poison(&self) -> &[Fingerprint] {
        self.member.poison()
    }

    /// Whether this node leads its group.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// The leader of the node's group, as far as the node knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeAddr> {
        self.member.leader
    }

    /// Latest configuration version that a leader has named.
    #[must_use]
    pub fn leader_config(&self) -> u64 {
        self.member.config_version
    }

    /// Fills in the group's fields of a status.
    pub fn status(&self, now: Millis, status: &mut Status) {
        status.domain.clone_from(&self.identity.domain);
        status.leader = self.member.leader;
        status.epoch = self.member.epoch;
        status.leads = self.leader.is_some();
        let until = self.member.valid_until(now).unwrap_or(now);
        status.lease = until.since(now);
        (status.shards, status.revoked) = self.member.shard_counts();
        if let Some(leader) = &self.leader {
            status.members = leader.status(now);
        }
    }
}
