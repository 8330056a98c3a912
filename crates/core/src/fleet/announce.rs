//! Announcements of the upstream, and the grants that answer them.

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::host::{Announcement, Grant, Granted, HOLD, Taken};
use crate::fleet::reducer::Fleet;
use crate::fleet::rules;
use crate::id::Ticket;

/// Longest time that an announcement waits for a claim, in milliseconds. The
/// upstream waits for a second, and announces itself again only after that.
const PARKED_MAX: u64 = 400;

impl Fleet {
    pub(super) fn announced(
        &mut self,
        ticket: Ticket,
        said: &Announcement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let ignored = self.misplaced(said);
        let left = self.host.is_leaving();
        let taken = match ignored {
            Some(_) => Taken::Stale,
            None => self.host.announced(said, now),
        };
        if taken == Taken::Stale {
            let reason = ignored.unwrap_or("late, or of an earlier life");
            let upstream = said.life.id.clone();
            out.push(Effect::Notice(Notice::Ignored { upstream, reason }));
            let grant = Grant::default();
            out.push(Effect::Acknowledge { ticket, grant });
            return;
        }
        if taken == Taken::NewLife {
            self.requests.upstream_restarted();
            let id = said.life.id.clone();
            out.push(Effect::Notice(Notice::UpstreamStarted { id }));
            self.gossip_due = now;
        }
        if self.host.is_leaving() && !left {
            let id = said.life.id.clone();
            out.push(Effect::Notice(Notice::UpstreamLeaving { id }));
        }
        self.empty_queue(now, out);
        self.plan_moves(now, out);
        self.reconcile(now, out);
        if self.is_claiming() && self.host.is_ready() {
            self.answer_parked(now, out);
            self.parked = Some((ticket, now));
            return;
        }
        self.acknowledge(ticket, now, out);
    }

    pub(super) fn acknowledge(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let grant = self.grant(now);
        self.host.answered(&grant, now);
        out.push(Effect::Acknowledge { ticket, grant });
        self.owners_changed(now, out);
        self.pump(now, out);
    }

    /// Whether the node has yet to claim its ranges for the present life of
    /// its upstream.
    pub(super) fn is_claiming(&self) -> bool {
        let service = &self.settings.service;
        let Some(held) = self.tables.get(service) else {
            return self.config.is_none() || !self.tables_current();
        };
        let life = self.host.life();
        let mut own = held.table.of(&self.settings.node);
        !self.is_claimed() || own.any(|range| range.life.as_ref() != life)
    }

    /// Answers an announcement that waits for a claim.
    pub(super) fn answer_parked(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some((ticket, _)) = self.parked.take() {
            self.acknowledge(ticket, now, out);
        }
    }

    /// Answers an announcement that has waited for a claim, once that is
    /// done or has taken too long.
    pub(super) fn check_parked(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some((_, since)) = self.parked else { return };
        if !self.is_claiming() || now.since(since) >= PARKED_MAX {
            self.answer_parked(now, out);
        }
    }

    /// Why an announcement does not concern this node's upstream.
    pub(super) fn misplaced(
        &self,
        said: &Announcement,
    ) -> Option<&'static str> {
        if said.address != self.settings.upstream.to_string() {
            return Some("its address is not that of the upstream");
        }
        if said.service != self.settings.service {
            return Some("its service is not that of the upstream");
        }
        None
    }

    /// What the upstream is to hold from now on.
    pub(super) fn grant(&mut self, now: Millis) -> Grant {
        let left = self.lease.left(now);
        let longest_hold = HOLD.min(self.settings.bounds.hold_ms());
        let hold_ms = rules::grant_term(left, longest_hold);
        let held = self.tables.get(&self.settings.service);
        if hold_ms == 0 || !rules::may_grant(self.claim(), self.term, left) {
            return Grant::default();
        }
        let Some(held) = held else { return Grant::default() };
        let stays = self.is_serving(now);
        let mut granted = Vec::new();
        for range in held.table.of(&self.settings.node) {
            if !stays || range.life.as_ref() != self.host.life() {
                continue;
            }
            let staying = self.moves.staying(range.first, range.last);
            granted.extend(staying.into_iter().map(|(first, last)| {
                Granted {
                    first,
                    last,
                    fence: range.fence,
                    // The token matters only until the upstream has the range.
                    handover: range
                        .handover
                        .clone()
                        .filter(|_| !self.host.holds(first, now)),
                }
            }));
        }
        Grant::of(granted, hold_ms)
    }

    pub(super) fn upstream_down(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.host.is_ready() {
            return;
        }
        self.host.unreachable();
        self.gossip_due = now;
        out.push(Effect::Notice(Notice::UpstreamDown));
        self.suspect(now);
        self.empty_queue(now, out);
    }
}
