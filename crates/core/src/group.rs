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
pub mod rules;
pub(crate) mod standby;

use std::collections::BTreeMap;

use crate::clock::{HEARTBEAT, Millis, PROMISE};
use crate::config::{Config, Service};
use crate::control::{Control, Heartbeat, HotKey, NotLeader};
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
use crate::record::{Record, Tenure, object_name};
use crate::status::Status;
use crate::verdict::Reason;

/// Interval at which a node without a leader reads the record, in
/// milliseconds. A standby reads it as soon as its promise has expired.
const READ: u64 = 1_000;

/// Silence of the leader after which a standby whose promise has expired
/// takes over, in milliseconds. A member hears its leader at each heartbeat.
const UNHEARD: u64 = HEARTBEAT + 100;

/// Interval at which a standby whose promise has expired and a leader
/// without authority read the record, in milliseconds.
const READ_SOON: u64 = 250;

/// Longest time for which a leaving leader waits for moving shards before
/// it hands over, in milliseconds.
const REST: u64 = 5_000;

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
            out.push(Effect::Notice(Notice::Standbys { group, nodes }));
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

    /// A leaving leader without shards names a standby as the next leader.
    fn hand_over(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.left.is_none() || !self.member.empty() {
            return;
        }
        let (Some(leader), Some(place)) = (&self.leader, &mut self.place)
        else {
            return;
        };
        let Some(record) = place.book.record().cloned() else { return };
        if !place.book.idle(now) || place.book.stale() {
            return;
        }
        let waited = self.left.is_some_and(|t| now.since(t) >= REST);
        let next = if let Some(heir) = leader.heir(&record, now) {
            if !waited && !leader.at_rest(now) {
                return;
            }
            let mut standbys = record.standbys.clone();
            standbys.retain(|&n| n != heir);
            let tenure = Tenure::Ceded;
            Record { leader: heir, standbys, tenure, ..record }
        } else if leader.has_others() || leader.has_leases(now) {
            return;
        } else {
            let tenure = Tenure::Vacant;
            Record { tenure, standbys: Vec::new(), ..record }
        };
        place.book.write(next, now, out);
    }

    /// What a node that does not lead does about the record.
    fn follow(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(place) = &mut self.place else { return };
        if !place.book.idle(now) {
            return;
        }
        let free = now >= self.standby.bound;
        let named = place.book.record().is_some_and(|r| {
            r.standbys.contains(&self.seat.addr) || r.leader == self.seat.addr
        });
        let quiet = self.member.silent(now) >= READ;
        let unheard = self.member.silent(now) >= UNHEARD;
        let unserved = unheard || !self.member.valid(now);
        let rival = free && unserved && (named || self.standby.asked);
        let pause = if rival { READ_SOON } else { READ };
        let since = place.book.read_at().map_or(u64::MAX, |t| now.since(t));
        let due = since >= pause && (quiet || rival);
        let unsettled = !place.book.pending().is_empty() && since >= pause;
        if place.book.stale() || due || unsettled {
            place.book.read(now, out);
        }
    }

    /// Acts on a record that was just read or written.
    fn settled(&mut self, view: View<'_>, now: Millis, out: &mut Vec<Effect>) {
        let Some(place) = &mut self.place else { return };
        let me = self.seat.addr;
        let Some(record) = place.book.record().cloned() else {
            if self.left.is_none() {
                let epoch = Epoch(self.member.epoch.0 + 1);
                let new = first_record(me, epoch);
                place.book.write(new, now, out);
            }
            return;
        };
        if (record.epoch, record.tenure) != (place.seen.0, place.seen.1) {
            let first = place.seen.0 == Epoch(0);
            // Whatever an earlier process at this address did ended before
            // this one started.
            let since = if first { self.start } else { now };
            place.seen = (record.epoch, record.tenure, since);
        }
        if record.leader != me {
            if record.epoch > self.member.epoch {
                place.grace = now.plus(PROMISE);
            }
            self.learn(&record, now, out);
        }
        if self.leader.is_some() {
            self.check_record(&record, now, out);
            return;
        }
        self.claim(&record, view, now, out);
    }

    /// Learns the leader from the record.
    fn learn(&mut self, record: &Record, now: Millis, out: &mut Vec<Effect>) {
        if record.tenure != Tenure::Led {
            return;
        }
        if record.epoch > self.member.epoch {
            self.step_down(out);
        }
        self.member.learn(record.leader, record.epoch, now);
    }

    /// A leader reads its record: another one leads if it was replaced.
    fn check_record(
        &mut self,
        record: &Record,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(leader) = &self.leader else { return };
        let me = self.seat.addr;
        let led = record.leader == me && record.tenure == Tenure::Led;
        if record.epoch == leader.epoch && led {
            return;
        }
        if record.epoch == leader.epoch {
            // This node gave the group up; members look for the next one.
            self.handed = true;
        }
        self.announce(record, out);
        self.step_down(out);
        if record.tenure == Tenure::Led {
            self.member.learn(record.leader, record.epoch, now);
        }
    }

    /// Tells the members and the next leader that this node leads no more.
    fn announce(&self, record: &Record, out: &mut Vec<Effect>) {
        let (Some(leader), Some(place)) = (&self.leader, &self.place) else {
            return;
        };
        let group = place.id;
        for to in leader.members() {
            let heir = to == record.leader;
            let hint = match record.tenure {
                Tenure::Led => Some((record.leader, record.epoch)),
                _ => heir.then_some((to, Epoch(record.epoch.0 + 1))),
            };
            let message = Control::NotLeader(NotLeader { group, hint });
            out.push(Effect::Send { to, message });
        }
    }

    fn step_down(&mut self, out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.take() else { return };
        let group = leader.id();
        let epoch = leader.epoch;
        out.push(Effect::Notice(Notice::SteppedDown { group, epoch }));
    }

    /// Takes the lead if the record allows it.
    fn claim(
        &mut self,
        record: &Record,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(place) = &mut self.place else { return };
        let me = self.seat.addr;
        let led = record.tenure == Tenure::Led;
        if led && record.leader == me && place.book.own() {
            let (fresh, orphan) = (place.fresh, place.orphan);
            self.begin(record.epoch, fresh, orphan, view, now, out);
            return;
        }
        if self.left.is_some() || !self.may_claim(record, now) {
            return;
        }
        let Some(place) = &mut self.place else { return };
        let (bound, seen) = (self.standby.bound, place.seen.2);
        place.orphan = rules::orphan_end(record, me, bound, seen, now);
        place.fresh = record.tenure == Tenure::Vacant;
        let next = rules::successor(record, me, self.member.epoch);
        place.book.write(next, now, out);
    }

    /// Whether this node may replace the leader in the record at `now`.
    fn may_claim(&self, record: &Record, now: Millis) -> bool {
        let Some(place) = &self.place else { return false };
        if record.tenure == Tenure::Led && now < place.grace {
            return false;
        }
        let (me, bound) = (self.seat.addr, self.standby.bound);
        rules::may_claim(record, me, bound, place.seen.2, now)
    }

    /// Starts to lead.
    fn begin(
        &mut self,
        epoch: Epoch,
        fresh: bool,
        orphan: Millis,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(place) = &self.place else { return };
        let me = self.seat.addr;
        let id = place.id;
        self.leader = Some(Leader::new(me, id, epoch, fresh, orphan, now));
        self.member.learn(me, epoch, now);
        self.own_next = now;
        out.push(Effect::Notice(Notice::Leading { group: id, epoch }));
        self.tick(view, now, out);
    }

    /// Takes a datagram of the ownership protocol: every [`Control`] but
    /// `Map`, and `NotLeader` if it answers a heartbeat.
    pub fn datagram(
        &mut self,
        from: NodeAddr,
        message: &Control,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let (Some(join), Control::Map(map)) = (&mut self.join, message) {
            join.map(map);
        }
        let Some(spec) = self.join(view, now, out) else { return };
        let Some(id) = self.place.as_ref().map(|p| p.id) else { return };
        let facts =
            Facts { config: view.config, version: view.version, spec, now };
        match message {
            Control::Heartbeat(beat) if beat.group == id => {
                self.heartbeat(from, beat, facts, out);
            }
            Control::Lease(lease)
                if lease.group == id
                    && lease.incarnation == self.seat.incarnation =>
            {
                self.lease_arrived(from, lease, spec, now, out);
            }
            Control::PromiseRequest(ask) if ask.group == id => {
                self.asked(from, ask, now, out);
            }
            Control::Promise(promise) if promise.group == id => {
                let Some(leader) = &mut self.leader else { return };
                if leader.promised(from, promise, now) {
                    self.doubt();
                }
            }
            Control::Locate(locate) if locate.group == id => {
                self.locate(from, now, out);
            }
            Control::NotLeader(not) if not.group == id => {
                self.not_leader(from, not, now);
            }
            _ => {}
        }
    }

    fn doubt(&mut self) {
        if let Some(place) = &mut self.place {
            place.book.doubt();
        }
    }

    fn heartbeat(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        facts: Facts<'_>,
        out: &mut Vec<Effect>,
    ) {
        let (Some(leader), Some(place)) = (&mut self.leader, &mut self.place)
        else {
            self.redirect(from, out);
            if beat.epoch > self.member.epoch {
                self.doubt();
            }
            return;
        };
        if beat.epoch > leader.epoch {
            place.book.doubt();
            return;
        }
        let Some(record) = place.book.record() else { return };
        let pending = place.book.pending();
        let end = leader.authority(record, pending, facts.now);
        for lease in leader.heartbeat(from, beat, end, facts, out) {
            let message = Control::Lease(lease);
            out.push(Effect::Send { to: from, message });
        }
        leader.push(end, facts, out);
    }

    /// Names the leader that this node knows.
    fn redirect(&self, to: NodeAddr, out: &mut Vec<Effect>) {
        let Some(place) = &self.place else { return };
        let known = self.member.leader.filter(|&n| n != self.seat.addr);
        let hint = known.map(|n| (n, self.member.epoch));
        let message = Control::NotLeader(NotLeader { group: place.id, hint });
        out.push(Effect::Send { to, message });
    }

    fn lease_arrived(
        &mut self,
        from: NodeAddr,
        lease: &crate::control::Lease,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &self.leader {
            if lease.epoch > leader.epoch {
                self.doubt();
            }
            return;
        }
        self.take_lease(from, lease, spec, now, out);
    }

    fn asked(
        &mut self,
        from: NodeAddr,
        ask: &crate::control::PromiseRequest,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let me = self.seat.addr;
        let Some(place) = &mut self.place else { return };
        let taking = place.book.taking(me);
        let informed = place.seen.0 > Epoch(0);
        if !informed {
            place.book.doubt();
        }
        let leads = self.leader.as_ref().is_some_and(|l| l.epoch >= ask.epoch);
        let known = self.member.epoch.max(place.seen.0);
        if leads && ask.epoch >= known {
            return;
        }
        if self.leader.is_some() && ask.epoch > known {
            place.book.doubt();
            return;
        }
        let answer = self.standby.ask(ask, known, informed, taking, now);
        let Some(promise) = answer else { return };
        if promise.refused.is_none() {
            self.member.learn(from, ask.epoch, now);
        }
        let message = Control::Promise(promise);
        out.push(Effect::Send { to: from, message });
    }

    fn locate(&mut self, from: NodeAddr, now: Millis, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader else {
            self.redirect(from, out);
            return;
        };
        for part in leader.map(now) {
            let message = Control::Map(part);
            out.push(Effect::Send { to: from, message });
        }
    }

    fn not_leader(&mut self, from: NodeAddr, not: &NotLeader, now: Millis) {
        let Some((leader, epoch)) = not.hint else {
            if self.member.leader == Some(from) {
                self.member.search(now);
            }
            return;
        };
        if leader == self.seat.addr {
            if self.leader.as_ref().is_none_or(|l| l.epoch < epoch) {
                self.doubt();
            }
            return;
        }
        if self.leader.is_some() {
            if epoch > self.member.epoch {
                self.doubt();
            }
            return;
        }
        self.member.learn(leader, epoch, now);
    }

    /// Takes the outcome of a call made with [`CallOwner::Group`].
    ///
    /// [`CallOwner::Group`]: crate::id::CallOwner::Group
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

/// The record of a group that has none yet.
fn first_record(leader: NodeAddr, epoch: Epoch) -> Record {
    let standbys = Vec::new();
    Record { epoch, leader, standbys, writer: 0, tenure: Tenure::Led }
}
