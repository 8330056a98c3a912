//! Changes of the group's leader, by way of its record.
//!
//! A node reads the record, takes the lead where the rules allow it, steps
//! down when the record names another leader, and hands the group over when
//! it leaves. [`crate::group::rules`] holds the decisions.

use crate::clock::{HEARTBEAT, Millis, PROMISE};
use crate::control::{Control, NotLeader};
use crate::effect::{Effect, Notice};
use crate::group::leader::Leader;
use crate::group::{Group, Place, READ_SOON, View, rules};
use crate::id::{Epoch, NodeAddr};
use crate::record::{Record, Tenure};

/// Interval at which a node without a leader reads the record, in
/// milliseconds. A standby reads it as soon as its promise has expired.
const READ: u64 = 1_000;

/// Silence of the leader after which a standby whose promise has expired
/// takes over, in milliseconds. A member hears its leader at each heartbeat.
const UNHEARD: u64 = HEARTBEAT + 100;

/// Longest time for which a leaving leader waits for moving shards before
/// it hands over, in milliseconds.
const REST: u64 = 5_000;

impl Group {
    /// A leaving leader without shards names a standby as the next leader.
    pub(super) fn hand_over(&mut self, now: Millis, out: &mut Vec<Effect>) {
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
    pub(super) fn follow(&mut self, now: Millis, out: &mut Vec<Effect>) {
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
    pub(super) fn settled(
        &mut self,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
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
            self.begin(record.epoch, view, now, out);
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
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(place) = &self.place else { return };
        let me = self.seat.addr;
        let Place { id, fresh, orphan, .. } = *place;
        self.leader = Some(Leader::new(me, id, epoch, fresh, orphan, now));
        self.member.learn(me, epoch, now);
        self.own_next = now;
        out.push(Effect::Notice(Notice::Leading { group: id, epoch }));
        self.tick(view, now, out);
    }
}

/// The record of a group that has none yet.
fn first_record(leader: NodeAddr, epoch: Epoch) -> Record {
    let standbys = Vec::new();
    Record { epoch, leader, standbys, writer: 0, tenure: Tenure::Led }
}
