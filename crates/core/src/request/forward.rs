//! Requests at peers: attempts, the choice of members, and hedges.

use std::collections::HashMap;

use crate::clock::{Millis, TICK_INTERVAL_MS};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::Outcome;
use crate::id::{Incarnation, NodeAddr, Ticket, domain_hash};
use crate::request::choose::{Roster, SlowTime};
use crate::request::dedupe::End;
use crate::request::flow::{Attempt, DEADLINE, Phase};
use crate::request::{Requests, View};
use crate::verdict::{Reason, Refusal, Verdict};

/// Share of requests that may be hedged, in percent.
pub(super) const HEDGE_PERCENT: u32 = 5;

/// Hedges that may follow each other before the share applies.
pub(super) const HEDGE_BURST: u32 = 10;

/// Age at which the members of a service are read again, in milliseconds.
/// Reading them for each request would copy a long list each time.
const ROSTER_AGE: u64 = 4 * TICK_INTERVAL_MS;

/// What this ingress knows of a service without keys.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) roster: Roster,
    slow: SlowTime,
    /// When the members were last found to be out of date.
    stale: Millis,
}

/// Services without keys, by name.
pub(super) type Services = HashMap<String, Known>;

impl Known {
    /// Has the members read again for the next request, unless this was
    /// done shortly before: each time concerns all groups of the service.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        if now.since(self.stale) < ROSTER_AGE {
            return false;
        }
        self.stale = now;
        self.roster = Roster::new(Vec::new(), 0, self.roster.at);
        true
    }
}

impl Requests {
    /// Reads the members of a service again if what is known is old.
    pub(super) fn refresh_roster(
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
            now.since(known.roster.at) < ROSTER_AGE
                && !known.roster.members().is_empty()
        });
        if fresh {
            return;
        }
        let members = view.routes.members(service, spec, now, out);
        self.chooser.tidy(members.len());
        let domain = domain_hash(&self.local.domain);
        let roster = Roster::new(members, domain, now);
        if let Some(known) = self.services.get_mut(service) {
            known.roster = roster;
            return;
        }
        let slow = SlowTime::new(now);
        let known = Known { roster, slow, stale: Millis(0) };
        self.services.insert(service.clone(), known);
    }

    /// Chooses a member for a request, none of `except`.
    pub(super) fn choose(
        &mut self,
        id: usize,
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<NodeAddr> {
        let known = self.services.get(&self.entries[id].head.service)?;
        self.chooser.choose(&known.roster, except, now)
    }

    /// The member of a request's service that is this process.
    pub(super) fn member_of(
        &self,
        id: usize,
        process: Incarnation,
    ) -> Option<NodeAddr> {
        let known = self.services.get(&self.entries[id].head.service)?;
        let mut members = known.roster.members().iter();
        members.find(|m| m.incarnation == process).map(|m| m.addr)
    }

    /// Sends a request to a peer.
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
            self.abandon(id, Reason::DeadlineBefore, DEADLINE, now, out);
            return;
        }
        let attempt = self.attempt(id, to, now, out);
        self.entries[id].phase = Phase::Forwarded { attempt };
    }

    fn attempt(
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
            self.chooser.started(to);
        }
        out.push(Effect::Forward {
            ticket: entry.head.ticket,
            attempt: number,
            to,
            deadline: entry.deadline,
        });
        Attempt { number, to, since: now }
    }

    /// Plans a hedge of a request that was just sent to a member.
    pub(super) fn plan_hedge(
        &mut self,
        id: usize,
        spec: &Service,
        now: Millis,
    ) {
        // The request may have ended at its deadline.
        let Some(entry) = self.entries.get(id) else { return };
        let waits = matches!(entry.phase, Phase::Waiting { .. });
        if !spec.hedge || !entry.head.idempotent || waits {
            return;
        }
        self.hedge_budget.earn();
        let known = self.services.get(&entry.head.service);
        let Some(slow) = known.and_then(|known| known.slow.value()) else {
            return;
        };
        // The clock's milliseconds make a latency look up to 1 ms shorter.
        let due = now.plus(slow + 1);
        self.unplan_hedge(id);
        self.entries[id].hedge_due = Some(due);
        self.hedges.insert((due, id));
    }

    /// Forgets the planned hedge of a request.
    pub(super) fn unplan_hedge(&mut self, id: usize) {
        if let Some(due) = self.entries[id].hedge_due.take() {
            self.hedges.remove(&(due, id));
        }
    }

    /// Sends second attempts of requests that take long.
    pub(super) fn hedge_slow(&mut self, now: Millis, out: &mut Vec<Effect>) {
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
            // An entry has one phase, so a second attempt is at a peer.
            let except = [first, self.local.addr];
            let to = self.choose(id, &except, now);
            let Some(to) = to else { continue };
            if !self.hedge_budget.spend() {
                continue;
            }
            let hedge = self.attempt(id, to, now, out);
            self.entries[id].hedge = Some(hedge);
        }
    }

    /// An attempt at a peer ended.
    pub(super) fn peer_ended(
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
                self.note_answer(id, attempt, now);
                self.abort_attempts(id, now, out);
                self.abort_run(id, now, out);
                let entry = self.finish(id);
                self.close(&entry, End::MayHaveRun, out);
                // The owner named its scope in the forwarded answer.
                let scope = None;
                out.push(Effect::Answer { ticket, attempt: number, scope });
            }
            Outcome::Failed(refusal) => {
                if !entry.keyed {
                    self.chooser.failed(attempt.to, now);
                }
                if matches!(entry.phase, Phase::Waiting { .. }) {
                    entry.avoid = Some(attempt.to);
                    self.failed(id, refusal, view, now, out);
                    return;
                }
                // The other attempt goes on.
                entry.ran |= refusal.verdict == Verdict::MayHaveRun;
            }
        }
    }

    /// Learns from the answer to an attempt.
    pub(super) fn note_answer(
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
        self.chooser.answered(attempt.to, latency, now);
        if let Some(known) = self.services.get_mut(&entry.head.service) {
            known.slow.record(latency, now);
        }
    }

    /// Lets the second attempt go on alone, if there is one.
    pub(super) fn go_on(&mut self, id: usize) -> bool {
        let entry = &mut self.entries[id];
        let Some(attempt) = entry.hedge.take() else { return false };
        entry.phase = Phase::Forwarded { attempt };
        self.unchoose(id);
        true
    }

    /// Stops waiting for all attempts of a request at peers.
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
            entry.ran = true;
            let Attempt { number, to, since } = attempt;
            if !keyed {
                self.chooser.given_up(to, now.since(since), now);
            }
            out.push(Effect::AbortPeer { ticket, attempt: number });
        }
    }
}
