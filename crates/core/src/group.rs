//! Ownership and membership of one group.
//!
//! Each node is a member of the group of its service, and may also lead it
//! or stand by for its leader. The protocol is described in
//! `docs/design.md`, section 4.2.
//!
//! [`Group`] is the only type that the rest of the reducer uses. It answers
//! one question for the request path: may this node serve this key now?

pub(crate) mod book;
pub mod hot;
pub(crate) mod join;
pub(crate) mod leader;
pub(crate) mod member;
pub(crate) mod parts;
pub mod place;
pub(crate) mod poison;
mod receive;
pub mod rules;
pub(crate) mod standby;
mod succession;

use std::collections::BTreeMap;

use crate::clock::{HEARTBEAT, Millis};
use crate::config::{Config, Service};
use crate::control::HotKey;
use crate::effect::{Effect, Notice};
use crate::event::StoreOutcome;
use crate::group::book::Book;
use crate::group::join::Join;
use crate::group::leader::{Facts, Leader};
use crate::group::member::Member;
use crate::group::standby::Standby;
use crate::id::{
    CallId, Epoch, Fence, Fingerprint, GroupId, Incarnation, KeyHash,
    NodeAddr, Shard,
};
use crate::record::{Tenure, object_name};
use crate::status::Status;
use crate::verdict::Reason;

/// Interval at which a standby whose promise has expired and a leader
/// without authority read the record, in milliseconds.
const READ_SOON: u64 = 250;

/// Interval between a leader's reports to itself, in milliseconds.
const OWN: u64 = HEARTBEAT / 2;

/// Permission to serve a key at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The shard that holds the key.
    pub shard: Shard,
    /// The shard's fence.
    pub fence: Fence,
    /// When the lease ends.
    pub until: Millis,
}

/// What the group needs to know of the request path.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests at the upstream.
    pub busy: u16,
    /// The concurrency limit.
    pub limit: u16,
    /// The upstream has not been reachable for a while.
    pub down: bool,
    /// Requests at the upstream by shard; absent shards have none.
    pub shards: BTreeMap<Shard, u32>,
    /// The heaviest keys of the last interval.
    pub hot: Vec<HotKey>,
    /// Requests in flight at crashes, once for each crash.
    pub suspects: Vec<Fingerprint>,
}

/// Who this node is within its group.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The node's address.
    pub addr: NodeAddr,
    /// The node's process.
    pub incarnation: Incarnation,
    /// The VM's failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// The upstream's name.
    pub upstream: String,
    /// The upstream's slots.
    pub slots: u16,
}

/// What the group reads of the rest of the node at each event.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// Its version; 0 while there is none.
    pub version: u64,
    /// The request path's load.
    pub load: &'a Load,
}

/// A node's place in its group, once the configuration names its service.
#[derive(Debug)]
struct Place {
    id: GroupId,
    book: Book,
    /// The epoch and tenure last read, and when they were first read.
    seen: (Epoch, Tenure, Millis),
    /// Until when leases of the leader that this node replaces may last.
    orphan: Millis,
    /// Until when a new leader is given time to ask for promises. Without
    /// it, the standbys of a lost leader replace each other in turn.
    grace: Millis,
    /// No lease of another leader can be valid or is worth collecting.
    fresh: bool,
}

/// Ownership and membership at one node.
#[derive(Debug)]
pub struct Group {
    seat: Seat,
    seed: u64,
    start: Millis,
    join: Option<Join>,
    place: Option<Place>,
    standby: Standby,
    member: Member,
    leader: Option<Leader>,
    own_next: Millis,
    /// When the node began to leave.
    left: Option<Millis>,
    /// Handed leadership over, or gave the group up.
    handed: bool,
    out_of_service: bool,
}

impl Group {
    /// A node that started at `now` and knows nothing of its group. `seed`
    /// seeds the ids of its writes to the store.
    #[must_use]
    pub fn new(seat: Seat, seed: u64, now: Millis) -> Self {
        Self {
            seat,
            seed,
            start: now,
            join: None,
            place: None,
            standby: Standby::new(now),
            member: Member::new(now),
            leader: None,
            own_next: now,
            left: None,
            handed: false,
            out_of_service: false,
        }
    }

    /// Does what is due at `now`.
    pub fn tick(
        &mut self,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(spec) = self.join(view, now, out) else { return };
        let domain = view.config.domains.get(&self.seat.domain);
        self.out_of_service = domain.is_some_and(|d| d.out);
        let facts =
            Facts { config: view.config, version: view.version, spec, now };
        if self.leader.is_some() {
            self.lead(view, facts, out);
        } else {
            self.follow(now, out);
        }
        if self.leader.is_none()
            && self.member.due(view.load, now)
            && let Some(place) = &self.place
        {
            let (seat, load) = (&self.seat, view.load);
            let leaving = self.left.is_some();
            self.member.beat(seat, place.id, load, leaving, now, out);
        }
        if self.member.check_end(now) {
            let (shards, _) = self.member.counts();
            out.push(Effect::Notice(Notice::LeaseEnded { shards }));
        }
    }

    /// Finds the node's group once the configuration names its service.
    fn join<'a>(
        &mut self,
        view: View<'a>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<&'a Service> {
        let spec = view.config.services.get(&self.seat.service)?;
        if self.place.is_some() {
            return Some(spec);
        }
        if spec.groups == 0 || self.left.is_some() {
            return None;
        }
        let seat = &self.seat;
        let join = self.join.get_or_insert_with(|| {
            Join::new(seat.addr, &seat.service, spec.groups, 0, now)
        });
        let index = join.advance(now, out)?;
        let calls = join.calls();
        self.join = None;
        let name = object_name(&seat.service, index);
        self.place = Some(Place {
            id: GroupId::of(&seat.service, index),
            book: Book::new(name, self.seed, calls),
            seen: (Epoch(0), Tenure::Led, self.start),
            orphan: Millis(0),
            grace: Millis(0),
            fresh: true,
        });
        Some(spec)
    }

    /// Another node created the group's record first. Searches again, since
    /// a group without a leader may remain.
    fn search_again(&mut self, view: View<'_>, now: Millis) {
        let Some(place) = &self.place else { return };
        let spec = view.config.services.get(&self.seat.service);
        let Some(spec) = spec.filter(|s| s.groups > 1) else { return };
        let calls = place.book.calls();
        let (addr, service) = (self.seat.addr, &self.seat.service);
        self.join = Some(Join::new(addr, service, spec.groups, calls, now));
        self.place = None;
    }

    /// What a leader does at each step.
    fn lead(
        &mut self,
        view: View<'_>,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = facts.now;
        let (Some(leader), Some(place)) = (&mut self.leader, &mut self.place)
        else {
            return;
        };
        let Some(record) = place.book.record().cloned() else { return };
        leader.tick(facts, out);
        leader.ask(&record, place.book.pending(), now, out);
        if leader.note_standbys(&record.standbys) {
            let (group, nodes) = (place.id, record.standbys.clone());
            out.push(Effect::Notice(Notice::StandbysChanged { group, nodes }));
        }
        let end = leader.authority(&record, place.book.pending(), now);
        let lost = leader.check_authority(end, now, out);
        let since = place.book.read_at().map_or(u64::MAX, |t| now.since(t));
        if place.book.stale() || (lost && since >= READ_SOON) {
            place.book.read(now, out);
        } else if place.book.idle(now) {
            let pending = place.book.pending();
            if let Some(next) = leader.wanted(&record, pending, now) {
                place.book.write(next, now, out);
            }
        }
        self.report_self(view, facts, out);
        self.hand_over(now, out);
        if let (Some(leader), Some(place)) = (&mut self.leader, &self.place) {
            let pending = place.book.pending();
            let end = leader.authority(&record, pending, now);
            leader.push(end, facts, out);
        }
    }

    /// The leader is a member of its own group and grants itself leases by
    /// the same rules, without datagrams.
    fn report_self(
        &mut self,
        view: View<'_>,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = facts.now;
        let due = self.member.due(view.load, now) || now >= self.own_next;
        if !due {
            return;
        }
        self.own_next = now.plus(OWN);
        // The first report may only make the details known.
        for _ in 0..2 {
            self.report_once(view, facts, out);
        }
    }

    fn report_once(
        &mut self,
        view: View<'_>,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) {
        let now = facts.now;
        let (Some(leader), Some(place)) = (&mut self.leader, &self.place)
        else {
            return;
        };
        let Some(record) = place.book.record() else { return };
        let (load, leaving) = (view.load, self.left.is_some());
        let beat =
            self.member.heartbeat(&self.seat, place.id, load, leaving, now);
        let end = leader.authority(record, place.book.pending(), now);
        let addr = self.seat.addr;
        for lease in leader.heartbeat(addr, &beat, end, facts, out) {
            self.take_lease(addr, &lease, facts.spec, now, out);
        }
    }

    fn take_lease(
        &mut self,
        from: NodeAddr,
        lease: &crate::control::Lease,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let changed = self.member.lease(from, lease, spec.shards, now);
        let until = self.member.until(now);
        if let (true, true, Some(until)) = (changed, spec.fenced, until) {
            let shards = self.member.fences();
            out.push(Effect::Grant { shards, until });
        }
    }

    /// Takes the outcome of a call made with [`Subsystem::Group`].
    ///
    /// [`Subsystem::Group`]: crate::id::Subsystem::Group
    pub fn stored(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some(join) = &mut self.join {
            join.stored(call, outcome, now);
            self.tick(view, now, out);
            return;
        }
        let Some(place) = &mut self.place else { return };
        let lost = place.book.creating() && outcome == StoreOutcome::Conflict;
        if place.book.stored(call, outcome, now, out) {
            self.settled(view, now, out);
        } else if lost && place.book.pending().is_empty() {
            self.search_again(view, now);
            self.tick(view, now, out);
        } else if place.book.stale() {
            place.book.read(now, out);
        }
    }

    /// Starts to give up all shards and leadership, for a graceful stop.
    pub fn leave(&mut self, now: Millis, _out: &mut Vec<Effect>) {
        self.left = self.left.or(Some(now));
        self.own_next = now;
        self.member.hurry(now);
    }

    /// Whether all shards and leadership are given up after
    /// [`Group::leave`], or nothing more can be done about them.
    #[must_use]
    pub fn has_left(&self, now: Millis) -> bool {
        if self.place.is_none() || self.handed {
            return true;
        }
        if self.leader.is_some() {
            return false;
        }
        self.member.empty()
            && (self.member.drained() || !self.member.valid(now))
    }

    /// Permission to serve a key of the node's own service now.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease does not cover the key's shard, `Moving` if
    /// the shard is revoked, `NoOwner` if there is no valid lease.
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
        if self.out_of_service || self.member.drained() {
            return None;
        }
        self.member.until(now)
    }

    /// Requests that the group's leader has declared harmful.
    #[must_use]
    pub fn poison(&self) -> &[Fingerprint] {
        self.member.poison()
    }

    /// Whether this node leads its group.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// The leader that this node knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeAddr> {
        self.member.leader
    }

    /// The configuration version that the leader last named.
    #[must_use]
    pub fn leader_config(&self) -> u64 {
        self.member.config
    }

    /// Fills the group's part of a status.
    pub fn status(&self, now: Millis, status: &mut Status) {
        status.domain.clone_from(&self.seat.domain);
        status.leader = self.member.leader;
        status.epoch = self.member.epoch;
        status.leads = self.leader.is_some();
        let until = self.member.until(now).unwrap_or(now);
        status.lease = until.since(now);
        (status.shards, status.revoked) = self.member.counts();
        if let Some(leader) = &self.leader {
            status.members = leader.status(now);
        }
    }
}
