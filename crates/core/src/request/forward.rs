//! Attempts at peers: the choice of members, forwarding, and hedged requests.

use std::collections::HashMap;

use crate::clock::{Millis, TICK_INTERVAL_MS};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::Outcome;
use crate::id::{Incarnation, NodeAddr, Ticket, domain_hash};
use crate::request::balance::{MemberList, SlowThreshold};
use crate::request::dedupe::Completion;
use crate::request::lifecycle::{Attempt, DEADLINE_DETAIL, Phase};
use crate::request::{Requests, View};
use crate::verdict::{Reason, Refusal, Verdict};

/// Hedges per 100 requests that the budget admits in the long run.
pub(super) const HEDGE_PERCENT: u32 = 5;

/// Hedges that a full budget admits before the percentage applies.
pub(super) const HEDGE_BURST_COUNT: u32 = 10;

/// Age at which the member list of a service is read again. Reading it for
/// each request would copy a long list each time.
const MAX_LIST_AGE_MS: u64 = 4 * TICK_INTERVAL_MS;

/// What this ingress knows of a service that is not partitioned by key.
#[derive(Debug)]
pub(super) struct UnkeyedService {
    pub(super) list: MemberList,
    slow: SlowThreshold,
    /// When the member list was last found to be out of date.
    invalidated_at: Millis,
}

/// Services that are not partitioned by key, by name.
pub(super) type UnkeyedServices = HashMap<String, UnkeyedService>;

impl UnkeyedService {
    /// Drops the member list, so that the next request reads it again. Returns
    /// false if this was done shortly before: each time concerns all groups of
    /// the service.
    pub(super) fn invalidate(&mut self, now: Millis) -> bool {
        if now.since(self.invalidated_at) < MAX_LIST_AGE_MS {
            return false;
        }
        self.invalidated_at = now;
        self.list = MemberList::new(Vec::new(), 0, self.list.read_at);
        true
    }
}

impl Requests {
    /// Reads the member list of a request's service again if it is missing or
    /// too old.
    pub(super) fn refresh_members(
        &mut self,
        id: usize,
        spec: &Service,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let service = &self.entries[id].head.service;
        let known = self.services.get(service);
        let fresh = known.is_some_and(|known| {
            now.since(known.list.read_at) < MAX_LIST_AGE_MS
                && !known.list.members().is_empty()
        });
        if fresh {
            return;
        }
        let members = view.routes.members(service, spec, now, out);
        self.balancer.remove_idle(members.len());
        let domain = domain_hash(&self.local.domain);
        let list = MemberList::new(members, domain, now);
        if let Some(known) = self.services.get_mut(service) {
            known.list = list;
            return;
        }
        let slow = SlowThreshold::new(now);
        let known = UnkeyedService { list, slow, invalidated_at: Millis(0) };
        self.services.insert(service.clone(), known);
    }

    /// Chooses a member of a request's service, none of `except`.
    pub(super) fn choose_member(
        &mut self,
        id: usize,
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<NodeAddr> {
        let known = self.services.get(&self.entries[id].head.service)?;
        self.balancer.choose(&known.list, except, now)
    }

    /// The member of a request's service that is the process `process`.
    pub(super) fn find_member(
        &self,
        id: usize,
        process: Incarnation,
    ) -> Option<NodeAddr> {
        let known = self.services.get(&self.entries[id].head.service)?;
        let mut members = known.list.members().iter();
        members.find(|m| m.incarnation == process).map(|m| m.addr)
    }

    /// Sends a request to a peer, or ends it if its deadline has passed or its
    /// attempts are used up.
    pub(super) fn forward(
        &mut self,
        id: usize,
        to: NodeAddr,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        if entry.attempts == u8::MAX {
            let detail = "no owner was found in 255 attempts";
            let refusal = Refusal::new(Reason::NoOwner, detail);
            self.refuse(id, refusal, out);
            return;
        }
        if entry.deadline <= now {
            self.abandon(
                id,
                Reason::DeadlineBefore,
                DEADLINE_DETAIL,
                now,
                out,
            );
            return;
        }
        let attempt = self.start_attempt(id, to, now, out);
        self.entries[id].phase = Phase::Forwarded { attempt };
    }

    fn start_attempt(
        &mut self,
        id: usize,
        to: NodeAddr,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Attempt {
        let entry = &mut self.entries[id];
        let number = entry.attempts;
        entry.attempts += 1;
        if !entry.keyed {
            self.balancer.record_start(to);
        }
        out.push(Effect::Forward {
            ticket: entry.head.ticket,
            attempt: number,
            to,
            deadline: entry.deadline,
        });
        Attempt { number, to, since: now }
    }

    /// Schedules a hedge of a request that was just sent to a member.
    pub(super) fn schedule_hedge(
        &mut self,
        id: usize,
        spec: &Service,
        now: Millis,
    ) {
        // The request may already have ended because of its deadline.
        let Some(entry) = self.entries.get(id) else { return };
        let waits = matches!(entry.phase, Phase::Waiting { .. });
        if !spec.hedge || !entry.head.idempotent || waits {
            return;
        }
        self.hedge_budget.deposit();
        let known = self.services.get(&entry.head.service);
        let Some(slow) = known.and_then(|known| known.slow.value()) else {
            return;
        };
        // Times in whole milliseconds make a latency look up to 1 ms shorter.
        let due = now.plus(slow + 1);
        self.cancel_hedge(id);
        self.entries[id].hedge_due = Some(due);
        self.hedges.insert((due, id));
    }

    /// Cancels the scheduled hedge of a request.
    pub(super) fn cancel_hedge(&mut self, id: usize) {
        if let Some(due) = self.entries[id].hedge_due.take() {
            self.hedges.remove(&(due, id));
        }
    }

    /// Sends the hedges that are due.
    pub(super) fn send_hedges(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some(&(due, id)) = self.hedges.first() {
            if due > now {
                return;
            }
            self.hedges.pop_first();
            let entry = &mut self.entries[id];
            entry.hedge_due = None;
            let first = match entry.phase {
                Phase::Forwarded { attempt } => attempt.to,
                Phase::Running { .. } | Phase::Queued => self.local.addr,
                Phase::Waiting { .. } => continue,
            };
            let last = entry.attempts == u8::MAX || entry.deadline <= now;
            if last || entry.hedge.is_some() {
                continue;
            }
            // An entry has only one phase, so a hedge always goes to a peer.
            let except = [first, self.local.addr];
            let to = self.choose_member(id, &except, now);
            let Some(to) = to else { continue };
            if !self.hedge_budget.try_withdraw() {
                continue;
            }
            let hedge = self.start_attempt(id, to, now, out);
            self.entries[id].hedge = Some(hedge);
        }
    }

    /// Handles the end of an attempt at a peer.
    pub(super) fn attempt_ended(
        &mut self,
        (ticket, number): (Ticket, u8),
        outcome: Outcome,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        let entry = &mut self.entries[id];
        let Some(attempt) = entry.take_attempt(number, now) else { return };
        match outcome {
            Outcome::Answered { .. } => {
                self.record_latency(id, attempt, now);
                self.abort_attempts(id, now, out);
                self.abort_run(id, now, out);
                let entry = self.remove(id);
                self.record_completion(&entry, Completion::MayHaveRun, out);
                // The forwarded answer already names the owner's scope.
                let scope = None;
                out.push(Effect::Answer { ticket, attempt: number, scope });
            }
            Outcome::Failed(refusal) => {
                if !entry.keyed {
                    self.balancer.record_failure(attempt.to, now);
                }
                if matches!(entry.phase, Phase::Waiting { .. }) {
                    entry.failed_node = Some(attempt.to);
                    self.attempt_failed(id, refusal, view, now, out);
                    return;
                }
                // The other attempt is still outstanding.
                entry.maybe_ran |= refusal.verdict == Verdict::MayHaveRun;
            }
        }
    }

    /// Records the latency of an answered attempt, for services that are not
    /// partitioned by key.
    pub(super) fn record_latency(
        &mut self,
        id: usize,
        attempt: Attempt,
        now: Millis,
    ) {
        let entry = &self.entries[id];
        if entry.keyed {
            return;
        }
        let latency = now.since(attempt.since);
        self.balancer.record_answer(attempt.to, latency, now);
        if let Some(known) = self.services.get_mut(&entry.head.service) {
            known.slow.record(latency, now);
        }
    }

    /// If a hedge is outstanding, makes it the request's only attempt and
    /// returns true.
    pub(super) fn promote_hedge(&mut self, id: usize) -> bool {
        let entry = &mut self.entries[id];
        let Some(attempt) = entry.hedge.take() else { return false };
        entry.phase = Phase::Forwarded { attempt };
        self.clear_choice(id);
        true
    }

    /// Aborts all outstanding attempts of a request at peers.
    pub(super) fn abort_attempts(
        &mut self,
        id: usize,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let first = match entry.phase {
            Phase::Forwarded { attempt } => Some(attempt),
            _ => None,
        };
        let attempts = [first, entry.hedge.take()];
        let ticket = entry.head.ticket;
        let keyed = entry.keyed;
        for attempt in attempts.into_iter().flatten() {
            entry.maybe_ran = true;
            let Attempt { number, to, since } = attempt;
            if !keyed {
                self.balancer.record_abort(to, now.since(since), now);
            }
            out.push(Effect::AbortPeer { ticket, attempt: number });
        }
    }
}
