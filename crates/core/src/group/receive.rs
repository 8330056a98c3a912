//! Datagrams of the ownership protocol, from members, leaders and standbys.

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Control, Heartbeat, Lease, NotLeader, PromiseRequest};
use crate::effect::Effect;
use crate::group::leader::LeaderContext;
use crate::group::{Group, View};
use crate::id::{Epoch, NodeAddr};

impl Group {
    /// Handles a datagram of the ownership protocol. `Map` is used only while
    /// the node searches for a group, and `NotLeader` is taken as the answer
    /// to a heartbeat.
    pub fn datagram(
        &mut self,
        from: NodeAddr,
        message: &Control,
        view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let (Some(search), Control::Map(map)) = (&mut self.search, message)
        {
            search.map_received(map);
        }
        let Some(spec) = self.find_group(view, now, out) else { return };
        let Some(id) = self.membership.as_ref().map(|m| m.id) else { return };
        let ctx = LeaderContext {
            config: view.config,
            version: view.version,
            spec,
            now,
        };
        match message {
            Control::Heartbeat(heartbeat) if heartbeat.group == id => {
                self.heartbeat(from, heartbeat, ctx, out);
            }
            Control::Lease(lease)
                if lease.group == id
                    && lease.incarnation == self.identity.incarnation =>
            {
                self.lease_received(from, lease, spec, now, out);
            }
            Control::PromiseRequest(request) if request.group == id => {
                self.promise_requested(from, request, now, out);
            }
            Control::Promise(promise) if promise.group == id => {
                let Some(leader) = &mut self.leader else { return };
                if leader.promise_received(from, promise, now) {
                    self.invalidate_record();
                }
            }
            Control::Locate(locate) if locate.group == id => {
                self.locate(from, now, out);
            }
            Control::NotLeader(redirect) if redirect.group == id => {
                self.not_leader(from, redirect, now);
            }
            _ => {}
        }
    }

    fn invalidate_record(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.client.invalidate();
        }
    }

    fn heartbeat(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
        ctx: LeaderContext<'_>,
        out: &mut Vec<Effect>,
    ) {
        let (Some(leader), Some(membership)) =
            (&mut self.leader, &mut self.membership)
        else {
            self.redirect(from, out);
            if heartbeat.epoch > self.member.epoch {
                self.invalidate_record();
            }
            return;
        };
        if heartbeat.epoch > leader.epoch {
            membership.client.invalidate();
            return;
        }
        let Some(record) = membership.client.record() else { return };
        let pending = membership.client.pending();
        let end = leader.authority_end(record, pending, ctx.now);
        for lease in leader.heartbeat(from, heartbeat, end, ctx, out) {
            let message = Control::Lease(lease);
            out.push(Effect::Send { to: from, message });
        }
        leader.push_plans(end, ctx, out);
    }

    /// Answers a node that addressed this one as leader with the leader that
    /// this node knows.
    fn redirect(&self, to: NodeAddr, out: &mut Vec<Effect>) {
        let Some(membership) = &self.membership else { return };
        let known = self.member.leader.filter(|&n| n != self.identity.addr);
        let hint = known.map(|n| (n, self.member.epoch));
        let message =
            Control::NotLeader(NotLeader { group: membership.id, hint });
        out.push(Effect::Send { to, message });
    }

    fn lease_received(
        &mut self,
        from: NodeAddr,
        lease: &Lease,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &self.leader {
            if lease.epoch > leader.epoch {
                self.invalidate_record();
            }
            return;
        }
        self.apply_lease(from, lease, spec, now, out);
    }

    fn promise_requested(
        &mut self,
        from: NodeAddr,
        request: &PromiseRequest,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let me = self.identity.addr;
        let Some(membership) = &mut self.membership else { return };
        let takeover_pending = membership.client.takeover_pending(me);
        let record_read = membership.seen.0 > Epoch(0);
        if !record_read {
            membership.client.invalidate();
        }
        let leads =
            self.leader.as_ref().is_some_and(|l| l.epoch >= request.epoch);
        let known = self.member.epoch.max(membership.seen.0);
        if leads && request.epoch >= known {
            return;
        }
        if self.leader.is_some() && request.epoch > known {
            membership.client.invalidate();
            return;
        }
        let answer = self.standby.answer_request(
            request,
            known,
            record_read,
            takeover_pending,
            now,
        );
        let Some(promise) = answer else { return };
        if promise.refused.is_none() {
            self.member.learn_leader(from, request.epoch, now);
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

    fn not_leader(
        &mut self,
        from: NodeAddr,
        redirect: &NotLeader,
        now: Millis,
    ) {
        let Some((leader, epoch)) = redirect.hint else {
            if self.member.leader == Some(from) {
                self.member.search_leader(now);
            }
            return;
        };
        if leader == self.identity.addr {
            if self.leader.as_ref().is_none_or(|l| l.epoch < epoch) {
                self.invalidate_record();
            }
            return;
        }
        if self.leader.is_some() {
            if epoch > self.member.epoch {
                self.invalidate_record();
            }
            return;
        }
        self.member.learn_leader(leader, epoch, now);
    }
}
