//! Admission, queueing and supervision of requests at this node's own
//! upstream.

use crate::clock::{Millis, TICK_INTERVAL_MS};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::{Arrival, Outcome};
use crate::group::Grant;
use crate::id::Ticket;
use crate::request::concurrency::Sample;
use crate::request::dedupe::{Completion, Decision, DedupeRequest};
use crate::request::lifecycle::{Attempt, DEADLINE_DETAIL, Phase, overloaded};
use crate::request::{Requests, View};
use crate::verdict::{Reason, Refusal, Verdict};

/// Capacity of the queue for the upstream, per slot. A full queue takes four
/// times the latency of a request to serve at the full limit.
const QUEUE_LEN_PER_SLOT: usize = 4;

/// Shortest run without an answer that counts as a failure of the upstream
/// when the deadline ends the request.
const UNRESPONSIVE_MS: u64 = 500;

/// Detail of a refusal while the upstream is down or its breaker is open.
const UPSTREAM_DOWN_DETAIL: &str =
    "the upstream is down or fails all requests";

impl Requests {
    /// How many requests may be at the upstream at once, by the concurrency
    /// limit and the circuit breaker.
    fn allowance(&self, now: Millis) -> usize {
        self.breaker.allowance(self.limit.value(), now)
    }

    /// Dispatches a request to the upstream now, or queues it. Returns an
    /// error only if the upstream is down or overloaded; if the request ends
    /// otherwise, for example as a duplicate, that is done here.
    pub(super) fn admit(
        &mut self,
        id: usize,
        spec: &Service,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if self.check_dedupe(id, out) {
            return Ok(());
        }
        if !self.up || self.breaker.is_open(now) {
            return Err(Refusal::new(
                Reason::ConnectFailed,
                UPSTREAM_DOWN_DETAIL,
            ));
        }
        let room = self.running.len() < self.allowance(now);
        if room && self.queue.is_empty() {
            self.dispatch(id, grant, now, out);
            return Ok(());
        }
        self.enqueue(id, spec, now, out)
    }

    /// Admits a request that cannot go to another node. While the upstream is
    /// down, a caller's request waits.
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

    /// Queues a request for the upstream, or returns the refusal if it would
    /// miss its deadline or the queue has no room for it.
    fn enqueue(
        &mut self,
        id: usize,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.limit.mark_saturated();
        let entry = &mut self.entries[id];
        let deadline = entry.deadline;
        let partner = entry.head.partner.as_deref().unwrap_or_default();
        let weight = spec.partners.get(partner).copied().unwrap_or(1);
        let ahead = self.queue.requests_ahead(partner, weight, deadline);
        let wait = self.limit.expected_wait_ms(ahead + 1);
        if now.plus(wait + self.limit.min_latency_ms()) >= deadline {
            let detail = "the upstream is too busy to meet the deadline";
            return Err(overloaded(detail, wait));
        }
        let max_len = usize::from(self.local.slots) * QUEUE_LEN_PER_SLOT;
        let full = self.queue.len() >= max_len;
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

    /// Looks up a request's idempotency key. Returns true if this ended the
    /// request: the key is known already or its scope cannot be checked.
    pub(super) fn check_dedupe(
        &mut self,
        id: usize,
        out: &mut Vec<Effect>,
    ) -> bool {
        let entry = &mut self.entries[id];
        let head = &entry.head;
        let Some(dedupe_key) = &head.idempotency_key else { return false };
        if head.idempotent {
            return false;
        }
        let request = DedupeRequest {
            id: DedupeRequest::id(
                dedupe_key,
                head.partner.as_deref(),
                head.key,
            ),
            fingerprint: head.fingerprint,
            ticket: head.ticket,
        };
        match self.dedupe.begin(request, head.scope.as_deref(), out) {
            Decision::Run => {
                entry.dedupe = Some(request);
                return false;
            }
            Decision::Replay { of } => {
                self.remove(id);
                let scope = Some(self.dedupe.scope().to_owned());
                out.push(Effect::ReplayAnswer {
                    ticket: request.ticket,
                    of,
                    scope,
                });
            }
            Decision::Refuse(refusal) => self.refuse(id, refusal, out),
        }
        true
    }

    /// Sends a request to the upstream, or ends it if its deadline has passed.
    pub(super) fn dispatch(
        &mut self,
        id: usize,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
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
        entry.phase = Phase::Running {
            shard: grant.map(|g| g.shard),
            since: now,
            suspect: false,
        };
        self.running.push(id);
        if self.running.len() >= self.limit.value() {
            self.limit.mark_saturated();
        }
        out.push(Effect::Dispatch {
            ticket: entry.head.ticket,
            fence: grant.map(|g| (g.shard, g.fence)),
            deadline: entry.deadline,
        });
    }

    /// Fills free slots from the queue. Permission is checked again, since the
    /// shard may have moved while the request was queued.
    pub(super) fn dispatch_queued(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        while self.up && self.running.len() < self.allowance(now) {
            let Some((deadline, id)) = self.queue.pop() else { return };
            self.entries[id].phase = Phase::Waiting { due: now };
            let too_late = now.plus(self.limit.min_latency_ms()) >= deadline;
            if too_late && !self.promote_hedge(id) {
                let detail = "the deadline is too near for an answer";
                self.abandon(id, Reason::DeadlineBefore, detail, now, out);
            }
            if too_late {
                continue;
            }
            let head = &self.entries[id].head;
            let spec = view.config.and_then(|c| c.services.get(&head.service));
            let permission =
                spec.map(|spec| self.check_permission(head, spec, view, now));
            match permission {
                Some(Ok(grant)) => self.dispatch(id, grant, now, out),
                _ => self.place(id, view, now, out),
            }
        }
    }

    /// Checks that this node may give a request to its upstream now. Returns
    /// the grant if the service is partitioned by key.
    pub(super) fn check_permission(
        &self,
        head: &Arrival,
        spec: &Service,
        view: &View<'_>,
        now: Millis,
    ) -> Result<Option<Grant>, Reason> {
        if head.service != self.local.service {
            return Err(Reason::NotOwner);
        }
        let fingerprint = head.fingerprint;
        if view.group.poison().contains(&fingerprint)
            || self.suspects.is_harmful(fingerprint, now)
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

    /// Handles the end of a request at the upstream.
    pub(super) fn upstream_ended(
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
        self.update_suspects(id, &outcome, now);
        self.update_breaker(id, &outcome, now, out);
        self.release_slot(id, load_sample(&outcome), now);
        self.record_local_choice(id, &outcome, now);
        match outcome {
            Outcome::Answered { body_bytes, .. } => {
                self.abort_attempts(id, now, out);
                let entry = self.remove(id);
                self.record_completion(
                    &entry,
                    Completion::Answered { body_bytes },
                    out,
                );
                let scope = Some(self.dedupe.scope().to_owned());
                out.push(Effect::Answer { ticket, attempt: 0, scope });
            }
            Outcome::Failed(refusal) => {
                self.attempt_failed(id, refusal, view, now, out);
            }
        }
    }

    /// Updates the balancer's statistics of this node if load balancing placed
    /// the request here.
    fn record_local_choice(
        &mut self,
        id: usize,
        outcome: &Outcome,
        now: Millis,
    ) {
        let here = self.local.addr;
        let entry = &mut self.entries[id];
        let Some(chosen_at) = entry.chosen_at.take() else { return };
        match outcome {
            Outcome::Answered { .. } => {
                let attempt =
                    Attempt { number: 0, to: here, since: chosen_at };
                self.record_latency(id, attempt, now);
            }
            Outcome::Failed(_) => self.balancer.record_failure(here, now),
        }
    }

    /// Records the outcome for the detection of requests that crash upstreams.
    fn update_suspects(&mut self, id: usize, outcome: &Outcome, now: Millis) {
        let entry = &self.entries[id];
        let hash = entry.head.fingerprint;
        match outcome {
            Outcome::Answered { .. } => self.suspects.record_answer(hash, now),
            Outcome::Failed(refusal) => {
                let already_suspect = match entry.phase {
                    Phase::Running { suspect, .. } => suspect,
                    _ => false,
                };
                if refusal.verdict == Verdict::MayHaveRun && !already_suspect {
                    self.suspects.record_lost(hash, now);
                }
            }
        }
    }

    /// Updates the circuit breaker. A rejected fencing token says nothing
    /// about the upstream's health, so it is ignored.
    fn update_breaker(
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
            Outcome::Answered { .. } => self.breaker.record_answer(since),
            Outcome::Failed(refusal) if refusal.reason == Reason::Fenced => {}
            Outcome::Failed(_) => {
                self.breaker.record_failure(since, now);
                if self.breaker.is_open(now) {
                    self.drain_queue(now, out);
                }
            }
        }
    }

    /// Counts a request that reached its deadline at the upstream as a failure
    /// of the upstream if it ran for much longer than others do.
    pub(super) fn record_timeout(&mut self, id: usize, now: Millis) {
        let Phase::Running { since, .. } = self.entries[id].phase else {
            return;
        };
        let age = now.since(since);
        if age >= UNRESPONSIVE_MS && age > 10 * self.limit.min_latency_ms() {
            self.breaker.record_failure(since, now);
        }
    }

    /// Marks the requests that were at the upstream when it crashed as
    /// suspects.
    pub(super) fn mark_suspects(&mut self, now: Millis) {
        for &id in &self.running {
            let phase = &mut self.entries[id].phase;
            if let Phase::Running { suspect, .. } = phase {
                *suspect = true;
            }
        }
        let entries = &self.entries;
        let in_flight = self.running.iter();
        let in_flight = in_flight.map(|&id| entries[id].head.fingerprint);
        self.suspects.record_crash(in_flight, now);
    }

    /// Cancels requests at the upstream that this node may no longer serve.
    ///
    /// Requests of services that are not partitioned by key go on: they need
    /// no permission once they run.
    pub(super) fn check_leases(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut index = 0;
        while let Some(&id) = self.running.get(index) {
            if self.still_owned(id, view, now) {
                index += 1;
                continue;
            }
            self.release_slot(id, Some(Sample::Cancelled), now);
            let ticket = self.entries[id].head.ticket;
            out.push(Effect::AbortUpstream { ticket });
            let detail = "the lease ended while the request was in flight";
            let refusal = Refusal::new(Reason::LeaseLost, detail);
            self.attempt_failed(id, refusal, view, now, out);
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
                // The key may have been moved to a shard of its own.
                *shard = grant.shard;
                // The next check, one tick later, would come after the lease's
                // end.
                grant.until > now.plus(TICK_INTERVAL_MS)
            }
            Err(reason) => reason == Reason::Moving,
        }
    }

    /// Removes a request from the upstream's slots and feeds its outcome to
    /// the concurrency limit.
    pub(super) fn release_slot(
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
            self.limit.record(since, sample, now);
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
        entry.maybe_ran = true;
        out.push(Effect::AbortUpstream { ticket: entry.head.ticket });
        if let Some(chosen_at) = entry.chosen_at.take() {
            let age = now.since(chosen_at);
            self.balancer.record_abort(self.local.addr, age, now);
        }
        self.limit.record(since, Sample::Cancelled, now);
        self.release_slot(id, None, now);
    }

    /// Checks for requests that have been at the upstream for so long that it
    /// must have turned cold. If so, all idempotent requests but one are
    /// cancelled and queued again: an upstream that turned cold under full
    /// load does not recover while it has all of that load.
    pub(super) fn check_stalls(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(age) = self.limit.stall_age_ms() else { return };
        let old = self.running.iter().filter(|&&id| {
            let phase = self.entries[id].phase;
            matches!(phase, Phase::Running { since, .. }
                if now.since(since) > age)
        });
        let (old, running) = (old.count(), self.running.len());
        if !self.limit.report_stalled(old, running, now) {
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
            entry.maybe_ran = true;
            entry.phase = Phase::Waiting { due: now };
            let ticket = entry.head.ticket;
            out.push(Effect::AbortUpstream { ticket });
            if let Err(refusal) = self.enqueue(id, spec, now, out) {
                self.refuse(id, refusal, out);
            }
        }
    }

    /// Empties the queue of an upstream that crashed or whose breaker opened.
    /// Callers' requests wait until an owner, here or elsewhere, is up again;
    /// peers' requests are refused, so that their ingress decides what happens
    /// next.
    pub(super) fn drain_queue(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some((_, id)) = self.queue.pop() {
            self.entries[id].phase = Phase::Waiting { due: now };
            let refusal =
                Refusal::new(Reason::ConnectFailed, UPSTREAM_DOWN_DETAIL);
            self.wait_or_refuse(id, refusal, now, out);
        }
    }
}

/// The sample that an outcome gives for the concurrency limit. A rejected
/// fencing token says nothing about load.
fn load_sample(outcome: &Outcome) -> Option<Sample> {
    match outcome {
        Outcome::Answered { status: 429 | 503, .. } => Some(Sample::Shed),
        Outcome::Answered { status: 500.., .. } => Some(Sample::Failed),
        Outcome::Answered { .. } => Some(Sample::Answered),
        Outcome::Failed(refusal) if refusal.reason == Reason::Fenced => None,
        Outcome::Failed(_) => Some(Sample::Failed),
    }
}
