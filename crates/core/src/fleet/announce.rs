//! Announcements of the local upstream, and the grants sent in answer.

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::reducer::Fleet;
use crate::fleet::rules;
use crate::fleet::settings::GrantMode;
use crate::fleet::table::Range;
use crate::fleet::upstream::{
    Announcement, Grant, Granted, MAX_GRANT_MS, Recency,
};
use crate::id::Ticket;

/// Longest time that the answer to an announcement is held back until the node
/// has claimed its ranges. The upstream waits for one second, and announces
/// itself again only after that.
const MAX_ANNOUNCEMENT_WAIT_MS: u64 = 400;

impl Fleet {
    pub(super) fn on_announcement(
        &mut self,
        ticket: Ticket,
        announcement: &Announcement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let ignored = self.mismatch(announcement);
        let was_leaving = self.upstream.is_leaving();
        // One that was found down has been recorded as crashed already.
        let was_up = self.upstream.is_up() && !self.upstream.has_left();
        let id = self.upstream.instance_id();
        let recency = match ignored {
            Some(_) => Recency::Stale,
            None => self.upstream.apply_announcement(announcement, now),
        };
        if recency == Recency::Stale {
            let reason =
                ignored.unwrap_or("late, or from an earlier instance");
            let upstream = announcement.instance.id.clone();
            out.push(Effect::Notice(Notice::Ignored { upstream, reason }));
            let grant = Grant::default();
            out.push(Effect::Acknowledge { ticket, grant });
            return;
        }
        if recency == Recency::NewInstance {
            if was_up {
                self.record_crash(id, now, out);
            }
            self.requests.crashes.begin_instance();
            self.requests.upstream_restarted();
            self.calls.on_new_instance();
            let id = announcement.instance.id.clone();
            out.push(Effect::Notice(Notice::UpstreamStarted { id }));
            self.gossip_due = now;
        }
        if self.upstream.is_leaving() && !was_leaving {
            self.on_upstream_leaving(now, out);
        }
        self.refuse_queued(now, out);
        self.plan_moves(now, out);
        self.reconcile(now, out);
        if self.settings.grants == GrantMode::Direct {
            let grant = Grant::default();
            out.push(Effect::Acknowledge { ticket, grant });
            self.call_upstream(now, out);
            return;
        }
        if self.is_claiming(now) && self.upstream.is_ready() {
            self.answer_waiting_announcement(now, out);
            self.waiting_announcement = Some((ticket, now));
            return;
        }
        self.acknowledge(ticket, now, out);
    }

    /// Handles the first sign that the upstream is leaving.
    pub(super) fn on_upstream_leaving(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.gossip_due = now;
        let id = self.upstream.instance_id();
        out.push(Effect::Notice(Notice::UpstreamLeaving { id }));
    }

    pub(super) fn acknowledge(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let grant = self.grant(now);
        self.upstream.record_grant(&grant, now);
        out.push(Effect::Acknowledge { ticket, grant });
        self.on_owners_changed(now, out);
        self.dispatch_queued(now, out);
    }

    /// Whether the node has yet to claim its ranges for the current instance
    /// of its upstream.
    pub(super) fn is_claiming(&self, now: Millis) -> bool {
        let service = &self.settings.service;
        let Some(stored) = self.tables.get(service) else {
            return self.config.is_none() || !self.are_tables_current();
        };
        if !self.is_claimed() && self.right_ms(now) > 0 {
            return false;
        }
        let instance = self.upstream.instance();
        let mut own = stored.table.ranges_of(&self.settings.node);
        !self.is_claimed()
            || own.any(|range| range.instance.as_ref() != instance)
    }

    /// Answers the announcement that is held back for a claim, if any.
    pub(super) fn answer_waiting_announcement(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some((ticket, _)) = self.waiting_announcement.take() {
            self.acknowledge(ticket, now, out);
        }
    }

    /// Answers the announcement that is held back for a claim once the claim
    /// is complete or has taken too long.
    pub(super) fn check_waiting_announcement(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some((_, since)) = self.waiting_announcement else { return };
        if !self.is_claiming(now)
            || now.since(since) >= MAX_ANNOUNCEMENT_WAIT_MS
        {
            self.answer_waiting_announcement(now, out);
        }
    }

    /// Why an announcement is not from this node's upstream; `None` if it is.
    pub(super) fn mismatch(
        &self,
        announcement: &Announcement,
    ) -> Option<&'static str> {
        if announcement.address != self.settings.upstream.to_string() {
            return Some("address differs from that of the upstream");
        }
        if announcement.service != self.settings.service {
            return Some("service differs from that of the upstream");
        }
        let service = &self.settings.service;
        let is_keyed =
            self.config.as_ref().is_some_and(|c| c.is_keyed(service));
        if announcement.unlisted
            && is_keyed
            && self.settings.grants == GrantMode::Heartbeat
        {
            return Some("it does not say which ranges the upstream holds");
        }
        None
    }

    /// The ranges that the upstream is to hold from now on.
    pub(super) fn grant(&mut self, now: Millis) -> Grant {
        let remaining_ms = self.right_ms(now);
        let longest_grant = MAX_GRANT_MS.min(self.settings.bounds.hold_ms());
        let hold_ms = rules::grant_duration_ms(remaining_ms, longest_grant);
        if hold_ms == 0 {
            return Grant::default();
        }
        let ranges = self.granted_ranges(now);
        ranges.map_or_else(Grant::default, |all| Grant::of(all, hold_ms))
    }

    /// The ranges that the upstream is to hold; `None` while the node may
    /// grant none.
    pub(super) fn granted_ranges(&self, now: Millis) -> Option<Vec<Granted>> {
        let granted = self.grantable_ranges(now)?.into_iter().map(|range| {
            let Range { first, last, fence, handover, .. } = range;
            // The upstream needs the token only until it holds the range.
            let handover =
                handover.filter(|_| !self.upstream.holds(first, now));
            Granted { first, last, fence, handover }
        });
        Some(granted.collect())
    }

    /// The parts of the node's ranges that the present instance of its upstream
    /// is to hold; `None` while the node may grant none.
    pub(super) fn grantable_ranges(&self, now: Millis) -> Option<Vec<Range>> {
        let owned = self.owned_ranges(now)?;
        let serving = self.is_serving(now);
        let mut grantable = Vec::new();
        for range in owned {
            if !serving || range.instance.as_ref() != self.upstream.instance()
            {
                continue;
            }
            let unmoved = self.moves.unmoved(range.first, range.last);
            grantable.extend(unmoved.into_iter().map(|(first, last)| Range {
                first,
                last,
                ..range.clone()
            }));
        }
        Some(grantable)
    }

    pub(super) fn on_upstream_down(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.upstream.is_up() {
            return;
        }
        self.upstream.set_unreachable();
        self.gossip_due = now;
        out.push(Effect::Notice(Notice::UpstreamDown));
        let id = self.upstream.instance_id();
        self.record_crash(id, now, out);
        self.refuse_queued(now, out);
    }
}
