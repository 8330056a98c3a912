//! Requests at this node's own upstream.

use crate::clock::{Millis, TICK};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::{Arrival, Outcome};
use crate::group::Grant;
use crate::id::Ticket;
use crate::request::admit::Sample;
use crate::request::dedupe::{Ask, End, Opened};
use crate::request::flow::{Attempt, DEADLINE, Phase, overloaded};
use crate::request::{Requests, View};
use crate::verdict::{Reason, Refusal, Verdict};

/// Requests that may wait for the upstream, per slot. A full queue takes
/// four times the latency of a request to serve at the full limit.
const QUEUE_PER_SLOT: usize = 4;

/// Time without an answer that counts as a failure of the upstream if the
/// deadline ends the request then, in milliseconds.
const SILENCE: u64 = 500;

/// Detail of a refusal while the upstream is down or its breaker is open.
const DOWN: &str = "the upstream is down or fails all requests";

impl Requests {
    /// Requests that may be at the upstream at once.
    fn allowance(&self, now: Millis) -> usize {
        self.breaker.allowance(self.limit.value(), now)
    }

    /// Runs a request at the upstream now, or queues it. Only its own
    /// refusal for load or a crashed upstream is returned; it may also end
    /// otherwise.
    pub(super) fn admit(
        &mut self,
        id: usize,
        spec: &Service,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if self.ran_before(id, out) {
            return Ok(());
        }
        if !self.up || self.breaker.is_open(now) {
            return Err(Refusal::new(Reason::ConnectFailed, DOWN));
        }
        let room = self.running.len() < self.allowance(now);
        if room && self.queue.is_empty() {
            self.dispatch(id, grant, now, out);
            return Ok(());
        }
        self.enqueue(id, spec, now, out)
    }

    /// Admits a request that has no other place to go. While the upstream
    /// is down, a caller's request waits.
    pub(super) fn admit_or_refuse(
        &mut self,
        id: usize,
        spec: &Service,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Err(refusal) = self.admit(id, spec, grant, now, out) else {
            return;
        };
        if refusal.reason == Reason::ConnectFailed {
            self.wait_or_refuse(id, refusal, now, out);
        } else {
            self.refuse(id, refusal, out);
        }
    }

    /// Queues a request for the upstream, or returns its refusal.
    fn enqueue(
        &mut self,
        id: usize,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.limit.used_in_full();
        let entry = &mut self.entries[id];
        let deadline = entry.deadline;
        let partner = entry.head.partner.as_deref().unwrap_or_default();
        let weight = spec.partners.get(partner).copied().unwrap_or(1);
        let ahead = self.queue.ahead(partner, weight, deadline);
        let wait = self.limit.expected_wait(ahead + 1);
        if now.plus(wait + self.limit.least_time()) >= deadline {
            let detail = "the upstream is too busy to meet the deadline";
            return Err(overloaded(detail, wait));
        }
        let most = usize::from(self.local.slots) * QUEUE_PER_SLOT;
        let full = self.queue.len() >= most;
        let evicted =
            full.then(|| self.queue.evict_for(partner, weight)).flatten();
        if full && evicted.is_none() {
            return Err(overloaded("the upstream's queue is full", wait));
        }
        self.queue.push(partner, weight, (deadline, id));
        entry.phase = Phase::Queued;
        if let Some((_, other)) = evicted {
            let detail = "the queue is full of this partner's requests";
            self.refuse(other, overloaded(detail, wait), out);
        }
        Ok(())
    }

    /// Ends a request whose idempotency key is known or cannot be checked.
    pub(super) fn ran_before(
        &mut self,
        id: usize,
        out: &mut Vec<Effect>,
    ) -> bool {
        let entry = &mut self.entries[id];
        let head = &entry.head;
        let Some(token) = &head.idempotency_key else { return false };
        if head.idempotent {
            return false;
        }
        let ask = Ask {
            id: Ask::id(token, head.partner.as_deref(), head.key),
            fingerprint: head.fingerprint,
            ticket: head.ticket,
        };
        match self.dedupe.open(ask, head.scope.as_deref(), out) {
            Opened::Run => {
                entry.ask = Some(ask);
                return false;
            }
            Opened::Replay { of } => {
                self.finish(id);
                let scope = Some(self.dedupe.scope().to_owned());
                out.push(Effect::ReplayAnswer {
                    ticket: ask.ticket,
                    of,
                    scope,
                });
            }
            Opened::Refuse(refusal) => self.refuse(id, refusal, out),
        }
        true
    }

    /// Gives a request to the upstream.
    pub(super) fn dispatch(
        &mut self,
        id: usize,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        if entry.deadline <= now {
            self.abandon(id, Reason::DeadlineBefore, DEADLINE, now, out);
            return;
        }
        entry.phase = Phase::Running {
            shard: grant.map(|g| g.shard),
            since: now,
            suspect: false,
        };
        self.running.push(id);
        if self.running.len() >= self.limit.value() {
            self.limit.used_in_full();
        }
        out.push(Effect::Dispatch {
            ticket: entry.head.ticket,
            fence: grant.map(|g| (g.shard, g.fence)),
            deadline: entry.deadline,
        });
    }

    /// Fills free slots from the queue. Permission is asked again, since
    /// the shard may have moved while the request was queued.
    pub(super) fn pump(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        while self.up && self.running.len() < self.allowance(now) {
            let Some((deadline, id)) = self.queue.pop() else { return };
            self.entries[id].phase = Phase::Waiting { due: now };
            let late = now.plus(self.limit.least_time()) >= deadline;
            if late && !self.go_on(id) {
                let detail = "the deadline is too near for an answer";
                self.abandon(id, Reason::DeadlineBefore, detail, now, out);
            }
            if late {
                continue;
            }
            let head = &self.entries[id].head;
            let spec = view.config.and_then(|c| c.services.get(&head.service));
            let permit = spec.map(|spec| self.permit(head, spec, view, now));
            match permit {
                Some(Ok(grant)) => self.dispatch(id, grant, now, out),
                _ => self.place(id, view, now, out),
            }
        }
    }

    /// Permission to give a request to this node's upstream now, with the
    /// grant if the service is partitioned by key.
    pub(super) fn permit(
        &self,
        head: &Arrival,
        spec: &Service,
        view: &View<'_>,
        now: Millis,
    ) -> Result<Option<Grant>, Reason> {
        if head.service != self.local.service {
            return Err(Reason::NotOwner);
        }
        let print = head.fingerprint;
        if view.group.poison().contains(&print)
            || self.suspects.harmful(print, now)
        {
            return Err(Reason::Poisoned);
        }
        if !spec.keyed {
            let lease = view.group.lease(now);
            return lease.map(|_| None).ok_or(Reason::NotOwner);
        }
        let key = head.key.ok_or(Reason::BadRequest)?;
        view.group.grant(key, spec, now).map(Some)
    }

    /// A request ended at the upstream.
    pub(super) fn run_ended(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        if !matches!(self.entries[id].phase, Phase::Running { .. }) {
            return;
        }
        self.note_end(id, &outcome, now);
        self.judge_upstream(id, &outcome, now, out);
        self.leave_upstream(id, sample(&outcome), now);
        self.note_chosen(id, &outcome, now);
        match outcome {
            Outcome::Answered { body_bytes, .. } => {
                self.abort_attempts(id, now, out);
                let entry = self.finish(id);
                self.close(&entry, End::Answered { size: body_bytes }, out);
                let scope = Some(self.dedupe.scope().to_owned());
                out.push(Effect::Answer { ticket, attempt: 0, scope });
            }
            Outcome::Failed(refusal) => {
                self.failed(id, refusal, view, now, out);
            }
        }
    }

    /// Learns from a request that was placed here by choice.
    fn note_chosen(&mut self, id: usize, outcome: &Outcome, now: Millis) {
        let here = self.local.addr;
        let entry = &mut self.entries[id];
        let Some(chosen) = entry.chosen.take() else { return };
        match outcome {
            Outcome::Answered { .. } => {
                let attempt = Attempt { number: 0, to: here, since: chosen };
                self.note_answer(id, attempt, now);
            }
            Outcome::Failed(_) => self.chooser.failed(here, now),
        }
    }

    /// Remembers what an outcome says of a request at the upstream.
    fn note_end(&mut self, id: usize, outcome: &Outcome, now: Millis) {
        let entry = &self.entries[id];
        let print = entry.head.fingerprint;
        match outcome {
            Outcome::Answered { .. } => self.suspects.passed(print, now),
            Outcome::Failed(refusal) => {
                let known = match entry.phase {
                    Phase::Running { suspect, .. } => suspect,
                    _ => false,
                };
                if refusal.verdict == Verdict::MayHaveRun && !known {
                    self.suspects.lost(print, now);
                }
            }
        }
    }

    /// Opens or closes the breaker.
    fn judge_upstream(
        &mut self,
        id: usize,
        outcome: &Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Phase::Running { since, .. } = self.entries[id].phase else {
            return;
        };
        match outcome {
            Outcome::Answered { .. } => self.breaker.answered(since),
            Outcome::Failed(refusal) if refusal.reason == Reason::Fenced => {}
            Outcome::Failed(_) => {
                self.breaker.failed(since, now);
                if self.breaker.is_open(now) {
                    self.empty_queue(now, out);
                }
            }
        }
    }

    /// A request at the upstream reached its deadline. If it ran for much
    /// longer than others do, the upstream failed it.
    pub(super) fn note_silence(&mut self, id: usize, now: Millis) {
        let Phase::Running { since, .. } = self.entries[id].phase else {
            return;
        };
        let age = now.since(since);
        if age >= SILENCE && age > 10 * self.limit.least_time() {
            self.breaker.failed(since, now);
        }
    }

    /// Makes suspects of the requests at an upstream that crashed.
    pub(super) fn suspect(&mut self, now: Millis) {
        for &id in &self.running {
            let phase = &mut self.entries[id].phase;
            if let Phase::Running { suspect, .. } = phase {
                *suspect = true;
            }
        }
        let entries = &self.entries;
        let flying = self.running.iter();
        let flying = flying.map(|&id| entries[id].head.fingerprint);
        self.suspects.crashed(flying, now);
    }

    /// Cancels requests at the upstream that this node may no longer serve.
    ///
    /// Requests of services that are not partitioned by key go on: they
    /// need no permission once they run.
    pub(super) fn check_leases(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut place = 0;
        while let Some(&id) = self.running.get(place) {
            if self.still_owned(id, view, now) {
                place += 1;
                continue;
            }
            self.leave_upstream(id, Some(Sample::Cancelled), now);
            let ticket = self.entries[id].head.ticket;
            out.push(Effect::AbortUpstream { ticket });
            let detail = "the lease ended while the request was in flight";
            let refusal = Refusal::new(Reason::LeaseLost, detail);
            self.failed(id, refusal, view, now, out);
        }
    }

    pub(super) fn still_owned(
        &mut self,
        id: usize,
        view: &View<'_>,
        now: Millis,
    ) -> bool {
        let entry = &mut self.entries[id];
        let Phase::Running { shard: Some(shard), .. } = &mut entry.phase
        else {
            return true;
        };
        let head = &entry.head;
        let spec = view.config.and_then(|c| c.services.get(&head.service));
        let (Some(spec), Some(key)) = (spec, head.key) else { return true };
        match view.group.grant(key, spec, now) {
            Ok(grant) => {
                // The key may have been given a shard of its own.
                *shard = grant.shard;
                // The next check would come after the lease's end.
                grant.until > now.plus(TICK)
            }
            Err(reason) => reason == Reason::Moving,
        }
    }

    /// Takes a request off the upstream.
    pub(super) fn leave_upstream(
        &mut self,
        id: usize,
        sample: Option<Sample>,
        now: Millis,
    ) {
        self.running.retain(|&other| other != id);
        let entry = &mut self.entries[id];
        if let Phase::Running { since, .. } = entry.phase
            && let Some(sample) = sample
        {
            self.limit.ended(since, sample, now);
        }
        entry.phase = Phase::Waiting { due: now };
    }

    /// Cancels a request at the upstream, if it is there.
    pub(super) fn abort_run(
        &mut self,
        id: usize,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let Phase::Running { since, .. } = entry.phase else { return };
        entry.ran = true;
        out.push(Effect::AbortUpstream { ticket: entry.head.ticket });
        if let Some(chosen) = entry.chosen.take() {
            let age = now.since(chosen);
            self.chooser.given_up(self.local.addr, age, now);
        }
        self.limit.ended(since, Sample::Cancelled, now);
        self.leave_upstream(id, None, now);
    }

    /// Looks for requests that have been at the upstream for so long that it
    /// must have turned cold. Idempotent ones but one are cancelled and
    /// queued again: an upstream that turned cold under full load does not
    /// recover while it has all of it.
    pub(super) fn check_stalls(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(age) = self.limit.stall_age() else { return };
        let old = self.running.iter().filter(|&&id| {
            let phase = self.entries[id].phase;
            matches!(phase, Phase::Running { since, .. }
                if now.since(since) > age)
        });
        let (old, running) = (old.count(), self.running.len());
        if !self.limit.stalled(old, running, now) {
            return;
        }
        let service = &self.local.service;
        let spec = view.config.and_then(|c| c.services.get(service));
        let Some(spec) = spec else { return };
        for id in self.running.split_off(1) {
            let entry = &mut self.entries[id];
            if !entry.head.idempotent {
                self.running.push(id);
                continue;
            }
            entry.ran = true;
            entry.phase = Phase::Waiting { due: now };
            let ticket = entry.head.ticket;
            out.push(Effect::AbortUpstream { ticket });
            if let Err(refusal) = self.enqueue(id, spec, now, out) {
                self.refuse(id, refusal, out);
            }
        }
    }

    /// Empties the queue of an upstream that crashed: owners that are up
    /// again elsewhere, or the ingress, decide what happens next.
    pub(super) fn empty_queue(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some((_, id)) = self.queue.pop() {
            self.entries[id].phase = Phase::Waiting { due: now };
            let refusal = Refusal::new(Reason::ConnectFailed, DOWN);
            self.wait_or_refuse(id, refusal, now, out);
        }
    }
}

/// What an outcome says of the upstream's load, if anything.
fn sample(outcome: &Outcome) -> Option<Sample> {
    match outcome {
        Outcome::Answered { status: 429 | 503, .. } => Some(Sample::Shed),
        Outcome::Answered { status: 500.., .. } => Some(Sample::Failed),
        Outcome::Answered { .. } => Some(Sample::Answered),
        Outcome::Failed(refusal) if refusal.reason == Reason::Fenced => None,
        Outcome::Failed(_) => Some(Sample::Failed),
    }
}
