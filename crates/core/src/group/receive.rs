//! Datagrams of the ownership protocol, from members, leaders and standbys.

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Control, Heartbeat, Lease, NotLeader, PromiseRequest};
use crate::effect::Effect;
use crate::group::leader::Facts;
use crate::group::{Group, View};
use crate::id::{Epoch, NodeAddr};

impl Group {
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
        lease: &Lease,
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
        ask: &PromiseRequest,
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
}
