//! The way of a request from arrival to its end.
//!
//! A request is placed (own grant first, then the routing cache), runs at
//! the upstream or at a peer, and ends with exactly one `Answer`, `Replay`
//! or `Refuse`. While it has no owner it waits within its deadline. Only the
//! ingress tries again; an owner reports failures to the ingress.

use rand::Rng;

use crate::clock::{Millis, TICK};
use crate::config::Service;
use crate::control::MapMember;
use crate::effect::Effect;
use crate::event::{Arrival, Outcome, Source};
use crate::group::Grant;
use crate::id::{Incarnation, KeyHash, NodeAddr, Shard, Ticket};
use crate::request::admit::Sample;
use crate::request::dedupe::{Ask, End, Opened, malformed_scope, parse_scope};
use crate::request::retry::pause;
use crate::request::{Requests, View};
use crate::route::Lookup;
use crate::verdict::{Reason, Refusal, Verdict};

/// Most requests that wait for an owner. Each tick looks at all that are
/// due, which must stay well below the 25 ms of a tick.
const WAITING_MAX: usize = 4_096;

/// Most requests that a node holds; bounds the memory for their bodies.
const REQUESTS_MAX: usize = 16_384;

/// Requests that may wait for the upstream, per slot. A full queue takes
/// four times the latency of a request to serve at the full limit.
const QUEUE_PER_SLOT: usize = 4;

/// Time for which a request waits for the node of its idempotency scope, in
/// milliseconds: a new ingress knows only some groups' maps at first.
const SCOPE_WAIT: u64 = 500;

/// Suggested pause of a caller that was refused for load, in milliseconds.
const RETRY_AFTER: u32 = 100;

/// Longest suggested pause, in milliseconds.
const RETRY_AFTER_MAX: u32 = 5_000;

/// An attempt at a peer that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    number: u8,
    to: NodeAddr,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Between two decisions, or waiting until `due` for an owner.
    Waiting { due: Millis },
    /// Waiting for a slot of the upstream.
    Queued,
    /// At the upstream.
    Running { shard: Option<Shard>, since: Millis },
    /// At a peer.
    Forwarded { attempt: Attempt },
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Entry {
    head: Arrival,
    deadline: Millis,
    phase: Phase,
    /// Attempts at peers so far; numbers the next one.
    attempts: u8,
    /// Failures to find the owner since the request last ran.
    failures: u8,
    /// An attempt that ended without an answer may have run.
    ran: bool,
    /// The peer that failed last; not asked again without a pause.
    avoid: Option<NodeAddr>,
    /// The record of its idempotency key at this process.
    ask: Option<Ask>,
}

impl Entry {
    /// The shard under which the request runs at the upstream.
    pub(super) fn shard(&self) -> Option<Shard> {
        match self.phase {
            Phase::Running { shard, .. } => shard,
            _ => None,
        }
    }

    /// The idempotency scope, if the request is subject to one.
    fn scope(&self) -> Option<&str> {
        let head = &self.head;
        if head.idempotent || head.token.is_none() {
            return None;
        }
        head.scope.as_deref()
    }
}

impl Requests {
    /// Takes a request that arrived.
    pub(super) fn begin(
        &mut self,
        head: Arrival,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let ticket = head.ticket;
        if head.budget == 0 {
            let detail = "no time was left when the request arrived";
            let refusal = Refusal::new(Reason::DeadlineBefore, detail);
            out.push(Effect::Refuse { ticket, refusal });
            return;
        }
        if self.entries.len() >= REQUESTS_MAX {
            let refusal = overloaded("the node holds too many requests", 0);
            out.push(Effect::Refuse { ticket, refusal });
            return;
        }
        if head.source == Source::Caller {
            self.retries.earn();
        }
        let deadline = now.plus(head.budget);
        let id = self.entries.insert(Entry {
            head,
            deadline,
            phase: Phase::Waiting { due: now },
            attempts: 0,
            failures: 0,
            ran: false,
            avoid: None,
            ask: None,
        });
        self.tickets.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        self.place(id, view, now, out);
    }

    /// Finds where a request goes next, and sends it there.
    fn place(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let head = &self.entries[id].head;
        let Some(config) = view.config else {
            self.hold(id, Reason::NoOwner, now, out);
            return;
        };
        let Some(spec) = config.services.get(&head.service) else {
            let detail = format!("service {:?} is unknown", head.service);
            let refusal = Refusal::new(Reason::UnknownService, detail);
            self.refuse(id, refusal, out);
            return;
        };
        match (spec.keyed, head.key) {
            (true, Some(key)) => {
                self.place_keyed(id, spec, key, view, now, out);
            }
            (true, None) => {
                let detail = "the service needs the header Lagoondyke-Key";
                let refusal = Refusal::new(Reason::BadRequest, detail);
                self.refuse(id, refusal, out);
            }
            (false, _) => self.place_any(id, spec, view, now, out),
        }
    }

    /// Places a request for a service that is partitioned by key.
    fn place_keyed(
        &mut self,
        id: usize,
        spec: &Service,
        key: KeyHash,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &self.entries[id];
        let service = &entry.head.service;
        let reason = match self.permit(&entry.head, spec, view, now) {
            Ok(grant) => return self.admit(id, spec, grant, now, out),
            Err(reason) => reason,
        };
        if entry.head.source == Source::Peer || reason == Reason::Moving {
            self.hold(id, reason, now, out);
            return;
        }
        match view.routes.owner(service, spec, key, now, out) {
            Lookup::Wait => self.hold(id, Reason::NoOwner, now, out),
            Lookup::Owner(to) if to == self.local.addr => {
                // The map names this node, which has no grant for the key.
                view.routes.stale(service, spec, Some(key), now, out);
                self.hold(id, Reason::NoOwner, now, out);
            }
            Lookup::Owner(to) if Some(to) == entry.avoid => {
                self.hold(id, Reason::NoOwner, now, out);
            }
            Lookup::Owner(to) => self.forward(id, to, now, out),
        }
    }

    /// Places a request for a service that any member can serve.
    fn place_any(
        &mut self,
        id: usize,
        spec: &Service,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &self.entries[id];
        let service = &entry.head.service;
        let own = self.permit(&entry.head, spec, view, now).is_ok();
        if entry.head.source == Source::Peer {
            if own {
                self.admit(id, spec, None, now, out);
            } else {
                self.hold(id, Reason::NotOwner, now, out);
            }
            return;
        }
        let members = view.routes.members(service, spec, now, out);
        if let Some(scope) = entry.scope() {
            let scope = parse_scope(scope);
            let own = own.then_some(spec);
            self.place_scoped(id, scope, &members, own, now, out);
            return;
        }
        let here = self.local.addr;
        let usable: Vec<NodeAddr> = members
            .iter()
            .map(|m| m.addr)
            .filter(|&a| Some(a) != entry.avoid && (a != here || own))
            .collect();
        if usable.is_empty() {
            self.hold(id, Reason::NoOwner, now, out);
            return;
        }
        let to = usable[self.random.random_range(0..usable.len())];
        if to == here {
            self.admit(id, spec, None, now, out);
        } else {
            self.forward(id, to, now, out);
        }
    }

    /// Places a request at the node whose memory its idempotency scope
    /// names.
    fn place_scoped(
        &mut self,
        id: usize,
        scope: Option<(Incarnation, u32)>,
        members: &[MapMember],
        own: Option<&Service>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some((node, _)) = scope else {
            self.refuse(id, malformed_scope(), out);
            return;
        };
        if let Some(spec) = own
            && node == self.local.incarnation
        {
            self.admit(id, spec, None, now, out);
            return;
        }
        let entry = &self.entries[id];
        let member = members.iter().find(|m| m.incarnation == node);
        let arrived = entry.deadline.0.saturating_sub(entry.head.budget);
        match member.map(|m| m.addr) {
            Some(to) if Some(to) == entry.avoid || to == self.local.addr => {
                self.hold(id, Reason::NoOwner, now, out);
            }
            Some(to) => self.forward(id, to, now, out),
            None if now.since(Millis(arrived)) < SCOPE_WAIT => {
                self.hold(id, Reason::NoOwner, now, out);
            }
            None => {
                let detail = "the node of this idempotency scope is gone; \
                    check whether the request ran, then use a new key";
                let refusal = Refusal::new(Reason::ScopeUnknown, detail);
                self.refuse(id, refusal, out);
            }
        }
    }

    /// Lets a request wait for an owner; a peer's request is refused, since
    /// its ingress waits.
    fn hold(
        &mut self,
        id: usize,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let full = self.waiting.len() >= WAITING_MAX;
        let entry = &mut self.entries[id];
        if full || entry.head.source == Source::Peer {
            let mut refusal = Refusal::new(reason, why(reason));
            refusal.retry_after = Some(RETRY_AFTER);
            self.refuse(id, refusal, out);
            return;
        }
        entry.avoid = None;
        let due = now.plus(pause(entry.failures).max(TICK));
        entry.phase = Phase::Waiting { due };
        self.waiting.insert((due, id));
    }

    /// Sends a request to a peer.
    fn forward(
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
        let attempt = Attempt { number: entry.attempts, to };
        entry.attempts += 1;
        entry.phase = Phase::Forwarded { attempt };
        out.push(Effect::Forward {
            ticket: entry.head.ticket,
            attempt: attempt.number,
            to,
            deadline: entry.deadline,
        });
    }

    /// Runs a request at the upstream now, or queues it.
    fn admit(
        &mut self,
        id: usize,
        spec: &Service,
        grant: Option<Grant>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.ran_before(id, out) {
            return;
        }
        if !self.up {
            let detail = "the upstream is down";
            let refusal = Refusal::new(Reason::ConnectFailed, detail);
            self.wait_or_refuse(id, refusal, now, out);
            return;
        }
        let room = self.running.len() < self.limit.value();
        if room && self.queue.is_empty() {
            self.dispatch(id, grant, now, out);
            return;
        }
        self.enqueue(id, spec, now, out);
    }

    /// Queues a request for the upstream, or sheds one.
    fn enqueue(
        &mut self,
        id: usize,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.limit.used_in_full();
        let entry = &mut self.entries[id];
        let deadline = entry.deadline;
        let partner = entry.head.partner.as_deref().unwrap_or_default();
        let weight = spec.partners.get(partner).copied().unwrap_or(1);
        let ahead = self.queue.ahead(partner, weight, deadline);
        let wait = self.limit.expected_wait(ahead + 1);
        if now.plus(wait + self.limit.least_time()) >= deadline {
            let detail = "the upstream is too busy to meet the deadline";
            self.refuse(id, overloaded(detail, wait), out);
            return;
        }
        let most = usize::from(self.local.slots) * QUEUE_PER_SLOT;
        let full = self.queue.len() >= most;
        let evicted =
            full.then(|| self.queue.evict_for(partner, weight)).flatten();
        if full && evicted.is_none() {
            let detail = "the upstream's queue is full";
            self.refuse(id, overloaded(detail, wait), out);
            return;
        }
        self.queue.push(partner, weight, (deadline, id));
        entry.phase = Phase::Queued;
        if let Some((_, other)) = evicted {
            let detail = "the queue is full of this partner's requests";
            self.refuse(other, overloaded(detail, wait), out);
        }
    }

    /// Ends a request whose idempotency key is known or cannot be checked.
    fn ran_before(&mut self, id: usize, out: &mut Vec<Effect>) -> bool {
        let entry = &mut self.entries[id];
        let head = &entry.head;
        let Some(token) = &head.token else { return false };
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
                out.push(Effect::Replay { ticket: ask.ticket, of, scope });
            }
            Opened::Refuse(refusal) => self.refuse(id, refusal, out),
        }
        true
    }

    /// Gives a request to the upstream.
    fn dispatch(
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
        entry.phase =
            Phase::Running { shard: grant.map(|g| g.shard), since: now };
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
        while self.up && self.running.len() < self.limit.value() {
            let Some((deadline, id)) = self.queue.pop() else { return };
            self.entries[id].phase = Phase::Waiting { due: now };
            if now.plus(self.limit.least_time()) >= deadline {
                let detail = "the deadline is too near for an answer";
                self.abandon(id, Reason::DeadlineBefore, detail, now, out);
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
    fn permit(
        &self,
        head: &Arrival,
        spec: &Service,
        view: &View<'_>,
        now: Millis,
    ) -> Result<Option<Grant>, Reason> {
        if head.service != self.local.service {
            return Err(Reason::NotOwner);
        }
        if !spec.keyed {
            let lease = view.group.lease(now);
            return lease.map(|_| None).ok_or(Reason::NotOwner);
        }
        let key = head.key.ok_or(Reason::BadRequest)?;
        view.group.grant(key, spec, now).map(Some)
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
        let Phase::Forwarded { attempt } = entry.phase else { return };
        if attempt.number != number {
            return;
        }
        match outcome {
            Outcome::Answered { .. } => {
                let entry = self.finish(id);
                self.close(&entry, End::MayHaveRun, out);
                // The owner named its scope in the forwarded answer.
                let scope = None;
                out.push(Effect::Answer { ticket, attempt: number, scope });
            }
            Outcome::Failed(refusal) => {
                entry.phase = Phase::Waiting { due: now };
                entry.avoid = Some(attempt.to);
                self.failed(id, refusal, view, now, out);
            }
        }
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
        self.leave_upstream(id, sample(&outcome), now);
        match outcome {
            Outcome::Answered { size, .. } => {
                let entry = self.finish(id);
                self.close(&entry, End::Answered { size }, out);
                let scope = Some(self.dedupe.scope().to_owned());
                out.push(Effect::Answer { ticket, attempt: 0, scope });
            }
            Outcome::Failed(refusal) => {
                self.failed(id, refusal, view, now, out);
            }
        }
    }

    /// Decides what follows an attempt that ended without an answer.
    fn failed(
        &mut self,
        id: usize,
        refusal: Refusal,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let not_run = refusal.verdict == Verdict::NotRun;
        entry.ran |= !not_run;
        let safe = not_run || entry.head.idempotent;
        if entry.head.source == Source::Peer || !safe {
            self.refuse(id, refusal, out);
            return;
        }
        let again = match refusal.reason {
            // The request reached no upstream: it only has to find its
            // owner, which costs upstreams nothing.
            Reason::NotOwner
            | Reason::Moving
            | Reason::NoOwner
            | Reason::ConnectFailed => true,
            Reason::ConnectionLost
            | Reason::AnswerCut
            | Reason::LeaseLost
            | Reason::Fenced => self.retries.spend(),
            Reason::Overloaded => {
                entry.head.key.is_none() && self.retries.spend()
            }
            _ => false,
        };
        if again {
            if refusal.reason != Reason::Overloaded {
                self.mark_stale(id, view, now, out);
            }
            self.again(id, view, now, out);
        } else {
            self.refuse(id, refusal, out);
        }
    }

    /// Places a request once more after an attempt failed.
    fn again(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let first = entry.failures == 0;
        entry.failures = entry.failures.saturating_add(1);
        if first && entry.avoid.is_some() {
            self.place(id, view, now, out);
        } else {
            self.hold(id, Reason::NoOwner, now, out);
        }
    }

    /// Reports that the request's place in the routing cache is wrong, unless
    /// it failed at this node's own upstream.
    fn mark_stale(
        &self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &self.entries[id];
        if entry.avoid.is_none() {
            return;
        }
        let head = &entry.head;
        let spec = view.config.and_then(|c| c.services.get(&head.service));
        let Some(spec) = spec else { return };
        view.routes.stale(&head.service, spec, head.key, now, out);
    }

    /// Lets a caller's request wait for a condition of this node to pass;
    /// a peer's request is refused.
    fn wait_or_refuse(
        &mut self,
        id: usize,
        refusal: Refusal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.entries[id].head.source == Source::Peer {
            self.refuse(id, refusal, out);
            return;
        }
        let entry = &mut self.entries[id];
        entry.failures = entry.failures.saturating_add(1);
        self.hold(id, refusal.reason, now, out);
    }

    /// Ends requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.abandon(id, Reason::DeadlineBefore, DEADLINE, now, out);
        }
    }

    /// Looks again for the owners of requests that wait.
    pub(super) fn wake(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        // Requests that wait again are due later, so this ends.
        while let Some(&(due, id)) = self.waiting.first() {
            if due > now {
                return;
            }
            self.waiting.pop_first();
            self.place(id, view, now, out);
        }
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

    fn still_owned(
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
    fn leave_upstream(
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
            self.enqueue(id, spec, now, out);
        }
    }

    /// Empties the queue of an upstream that crashed: owners that are up
    /// again elsewhere, or the ingress, decide what happens next.
    pub(super) fn empty_queue(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some((_, id)) = self.queue.pop() {
            self.entries[id].phase = Phase::Waiting { due: now };
            let detail = "the upstream is down";
            let refusal = Refusal::new(Reason::ConnectFailed, detail);
            self.wait_or_refuse(id, refusal, now, out);
        }
    }

    /// Ends a request that is not wanted any more, wherever it is.
    pub(super) fn abandon(
        &mut self,
        id: usize,
        reason: Reason,
        detail: &str,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let ticket = entry.head.ticket;
        match entry.phase {
            Phase::Running { .. } => {
                entry.ran = true;
                out.push(Effect::AbortUpstream { ticket });
                self.leave_upstream(id, Some(Sample::Cancelled), now);
            }
            Phase::Forwarded { attempt } => {
                entry.ran = true;
                let attempt = attempt.number;
                out.push(Effect::AbortPeer { ticket, attempt });
            }
            Phase::Waiting { .. } | Phase::Queued => {}
        }
        let ran = self.entries[id].ran;
        let reason = match reason {
            Reason::DeadlineBefore if ran => Reason::DeadlineAfter,
            other => other,
        };
        let mut refusal = Refusal::new(reason, detail);
        refusal.verdict =
            if ran { Verdict::MayHaveRun } else { Verdict::NotRun };
        self.refuse(id, refusal, out);
    }

    /// Ends a request with a refusal.
    fn refuse(
        &mut self,
        id: usize,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let entry = self.finish(id);
        if entry.ran {
            refusal.verdict = Verdict::MayHaveRun;
        }
        let end = match refusal.verdict {
            Verdict::NotRun => End::NotRun,
            Verdict::MayHaveRun => End::MayHaveRun,
        };
        self.close(&entry, end, out);
        out.push(Effect::Refuse { ticket: entry.head.ticket, refusal });
    }

    /// Records how a request with an idempotency key ended.
    fn close(&mut self, entry: &Entry, end: End, out: &mut Vec<Effect>) {
        if let Some(ask) = entry.ask {
            self.dedupe.close(ask, end, out);
        }
    }

    /// Forgets a request.
    fn finish(&mut self, id: usize) -> Entry {
        let entry = self.entries.remove(id);
        self.tickets.remove(&entry.head.ticket);
        self.deadlines.remove(&(entry.deadline, id));
        match entry.phase {
            Phase::Waiting { due } => {
                self.waiting.remove(&(due, id));
            }
            Phase::Queued => {
                let partner = entry.head.partner.as_deref();
                let item = (entry.deadline, id);
                self.queue.remove(partner.unwrap_or_default(), item);
            }
            Phase::Running { .. } => {
                self.running.retain(|&other| other != id);
            }
            Phase::Forwarded { .. } => {}
        }
        entry
    }
}

const DEADLINE: &str = "the deadline passed";

/// A refusal for load; `wait` is the expected wait in milliseconds.
fn overloaded(detail: &str, wait: u64) -> Refusal {
    let mut refusal = Refusal::new(Reason::Overloaded, detail);
    let after = wait.clamp(RETRY_AFTER.into(), RETRY_AFTER_MAX.into());
    refusal.retry_after = Some(after as u32);
    refusal
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

fn why(reason: Reason) -> &'static str {
    match reason {
        Reason::Moving => "the key's shard is moving to another node",
        Reason::NotOwner => "this node does not own the key",
        Reason::ConnectFailed => "the upstream is down",
        _ => "no node owns the key at present",
    }
}
