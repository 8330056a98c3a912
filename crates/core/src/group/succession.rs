//! Changes of the group's leader, by way of the group record.
//!
//! A node reads the record, takes over leadership where the rules allow it,
//! steps down when the record names another leader, and hands the group over
//! when it leaves. The decisions are in [`crate::group::rules`].

use crate::clock::{HEARTBEAT_INTERVAL_MS, Millis, PROMISE_TERM_MS};
use crate::control::{Control, NotLeader};
use crate::effect::{Effect, Notice};
use crate::group::leader::Leader;
use crate::group::{Group, Membership, URGENT_READ_INTERVAL_MS, View, rules};
use crate::id::{Epoch, NodeAddr};
use crate::record::{Record, Tenure};

/// Interval at which a node that does not hear its leader reads the record. A
/// standby reads it as soon as its promise has expired.
const RECORD_READ_INTERVAL_MS: u64 = 1_000;

/// Silence of the leader after which a standby whose promise has expired takes
/// over. A member hears its leader at each heartbeat.
const TAKEOVER_SILENCE_MS: u64 = HEARTBEAT_INTERVAL_MS + 100;

/// Longest time for which a leaving leader waits for moving shards before it
/// hands over.
const HANDOVER_TIMEOUT_MS: u64 = 5_000;

impl Group {
    /// Hands the group over when the node leaves and holds no more shards: to
    /// a standby, or to nobody if no other member could take over and no lease
    /// may be valid.
    pub(super) fn hand_over(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leaving_since.is_none() || !self.member.is_empty() {
            return;
        }
        let (Some(leader), Some(membership)) =
            (&self.leader, &mut self.membership)
        else {
            return;
        };
        let Some(record) = membership.client.record().cloned() else { return };
        if !membership.client.is_idle(now) || membership.client.is_stale() {
            return;
        }
        let waited = self
            .leaving_since
            .is_some_and(|t| now.since(t) >= HANDOVER_TIMEOUT_MS);
        let next = if let Some(successor) = leader.successor(&record, now) {
            if !waited && !leader.is_settled(now) {
                return;
            }
            let mut standbys = record.standbys.clone();
            standbys.retain(|&n| n != successor);
            let tenure = Tenure::Ceded;
            Record { leader: successor, standbys, tenure, ..record }
        } else if leader.has_candidates() || leader.has_leases(now) {
            return;
        } else {
            let tenure = Tenure::Vacant;
            Record { tenure, standbys: Vec::new(), ..record }
        };
        membership.client.write(next, now, out);
    }

    /// Reads the record when a node that does not lead needs to.
    pub(super) fn tick_follower(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(membership) = &mut self.membership else { return };
        if !membership.client.is_idle(now) {
            return;
        }
        let promise_expired = now >= self.standby.promised_until;
        let named = membership.client.record().is_some_and(|r| {
            r.standbys.contains(&self.identity.addr)
                || r.leader == self.identity.addr
        });
        let long_silent =
            self.member.leader_silence_ms(now) >= RECORD_READ_INTERVAL_MS;
        let silent = self.member.leader_silence_ms(now) >= TAKEOVER_SILENCE_MS;
        let unserved = silent || !self.member.has_lease(now);
        let may_contend = promise_expired
            && unserved
            && (named || self.standby.has_promised);
        let pause = if may_contend {
            URGENT_READ_INTERVAL_MS
        } else {
            RECORD_READ_INTERVAL_MS
        };
        let since =
            membership.client.read_at().map_or(u64::MAX, |t| now.since(t));
        let due = since >= pause && (long_silent || may_contend);
        let unsettled =
            !membership.client.pending().is_empty() && since >= pause;
        if membership.client.is_stale() || due || unsettled {
            membership.client.read(now, out);
        }
    }

    /// Acts on a record that was just read or written.
    pub(super) fn record_refreshed(
        &mut self,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(membership) = &mut self.membership else { return };
        let me = self.identity.addr;
        let Some(record) = membership.client.record().cloned() else {
            if self.leaving_since.is_none() {
                let epoch = Epoch(self.member.epoch.0 + 1);
                let new = initial_record(me, epoch);
                membership.client.write(new, now, out);
            }
            return;
        };
        if (record.epoch, record.tenure)
            != (membership.seen.0, membership.seen.1)
        {
            let first = membership.seen.0 == Epoch(0);
            // Whatever an earlier process at this address did ended before
            // this process started.
            let since = if first { self.started_at } else { now };
            membership.seen = (record.epoch, record.tenure, since);
        }
        if record.leader != me {
            if record.epoch > self.member.epoch {
                membership.grace_end = now.plus(PROMISE_TERM_MS);
            }
            self.learn_from_record(&record, now, out);
        }
        if self.leader.is_some() {
            self.check_record(&record, now, out);
            return;
        }
        self.take_over(&record, view, now, out);
    }

    /// Adopts the leader that the record names.
    fn learn_from_record(
        &mut self,
        record: &Record,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if record.tenure != Tenure::Led {
            return;
        }
        if record.epoch > self.member.epoch {
            self.step_down(out);
        }
        self.member.learn_leader(record.leader, record.epoch, now);
    }

    /// Steps down if the record no longer names this leader.
    fn check_record(
        &mut self,
        record: &Record,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(leader) = &self.leader else { return };
        let me = self.identity.addr;
        let led = record.leader == me && record.tenure == Tenure::Led;
        if record.epoch == leader.epoch && led {
            return;
        }
        if record.epoch == leader.epoch {
            // This node gave up the group; members now look for the next
            // leader.
            self.handed_over = true;
        }
        self.announce_handover(record, out);
        self.step_down(out);
        if record.tenure == Tenure::Led {
            self.member.learn_leader(record.leader, record.epoch, now);
        }
    }

    /// Tells the members, the next leader among them, that this node no longer
    /// leads.
    fn announce_handover(&self, record: &Record, out: &mut Vec<Effect>) {
        let (Some(leader), Some(membership)) =
            (&self.leader, &self.membership)
        else {
            return;
        };
        let group = membership.id;
        for to in leader.other_members() {
            let is_successor = to == record.leader;
            let hint = match record.tenure {
                Tenure::Led => Some((record.leader, record.epoch)),
                _ => is_successor.then_some((to, Epoch(record.epoch.0 + 1))),
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

    /// Takes over leadership if the record allows it.
    fn take_over(
        &mut self,
        record: &Record,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(membership) = &mut self.membership else { return };
        let me = self.identity.addr;
        let led = record.tenure == Tenure::Led;
        if led && record.leader == me && membership.client.own_write() {
            self.start_leading(record.epoch, view, now, out);
            return;
        }
        if self.leaving_since.is_some() || !self.may_take_over(record, now) {
            return;
        }
        let Some(membership) = &mut self.membership else { return };
        let (promised_until, first_seen) =
            (self.standby.promised_until, membership.seen.2);
        membership.prior_end = rules::prior_lease_end(
            record,
            me,
            promised_until,
            first_seen,
            now,
        );
        membership.skip_claims = record.tenure == Tenure::Vacant;
        let next = rules::takeover_record(record, me, self.member.epoch);
        membership.client.write(next, now, out);
    }

    /// Whether this node may replace the leader in the record at `now`.
    fn may_take_over(&self, record: &Record, now: Millis) -> bool {
        let Some(membership) = &self.membership else { return false };
        if record.tenure == Tenure::Led && now < membership.grace_end {
            return false;
        }
        let (me, promised_until) =
            (self.identity.addr, self.standby.promised_until);
        rules::may_take_over(
            record,
            me,
            promised_until,
            membership.seen.2,
            now,
        )
    }

    /// Starts to lead the group in `epoch`.
    fn start_leading(
        &mut self,
        epoch: Epoch,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(membership) = &self.membership else { return };
        let me = self.identity.addr;
        let Membership { id, skip_claims, prior_end, .. } = *membership;
        self.leader =
            Some(Leader::new(me, id, epoch, skip_claims, prior_end, now));
        self.member.learn_leader(me, epoch, now);
        self.next_report = now;
        out.push(Effect::Notice(Notice::Leading { group: id, epoch }));
        self.tick(view, now, out);
    }
}

/// The record of a group that has none yet.
fn initial_record(leader: NodeAddr, epoch: Epoch) -> Record {
    let standbys = Vec::new();
    Record { epoch, leader, standbys, writer: 0, tenure: Tenure::Led }
}
