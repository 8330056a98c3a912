//! The way of a request from arrival to its end.
//!
//! A request is placed (own grant first, then the routing cache), runs at
//! the upstream or at a peer, and ends with exactly one `Answer`, `Replay`
//! or `Refuse`. While it has no owner it waits within its deadline. Only the
//! ingress tries again; an owner reports failures to the ingress.

use crate::clock::{Millis, TICK};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::{Arrival, Source};
use crate::id::{Incarnation, KeyHash, NodeAddr, Shard};
use crate::request::dedupe::{Ask, End, malformed_scope, parse_scope};
use crate::request::retry::pause;
use crate::request::{Requests, View};
use crate::route::Lookup;
use crate::verdict::{Reason, Refusal, Verdict};

/// Most requests that wait for an owner. Each tick looks at all that are
/// due, which must stay well below the 25 ms of a tick.
const WAITING_MAX: usize = 4_096;

/// Most requests that a node holds; bounds the memory for their bodies.
const REQUESTS_MAX: usize = 16_384;

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
    pub(super) number: u8,
    pub(super) to: NodeAddr,
    pub(super) since: Millis,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// Between two decisions, or waiting until `due` for an owner.
    Waiting { due: Millis },
    /// Waiting for a slot of the upstream.
    Queued,
    /// At the upstream.
    Running {
        shard: Option<Shard>,
        since: Millis,
        /// It was there at a crash that was noticed.
        suspect: bool,
    },
    /// At a peer.
    Forwarded { attempt: Attempt },
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) head: Arrival,
    pub(super) deadline: Millis,
    pub(super) phase: Phase,
    /// Attempts at peers so far; numbers the next one.
    pub(super) attempts: u8,
    /// Failures to find the owner since the request last ran.
    pub(super) failures: u8,
    /// An attempt that ended without an answer may have run.
    pub(super) ran: bool,
    /// The peer that failed last; not asked again without a pause.
    pub(super) avoid: Option<NodeAddr>,
    /// The record of its idempotency key at this process.
    pub(super) ask: Option<Ask>,
    /// The service is partitioned by key.
    pub(super) keyed: bool,
    /// A second attempt at a peer.
    pub(super) hedge: Option<Attempt>,
    /// When a second attempt is due.
    pub(super) hedge_due: Option<Millis>,
    /// It counts as a request of its key.
    pub(super) counted: bool,
    /// It was placed at this node by choice at that time.
    pub(super) chosen: Option<Millis>,
}

impl Entry {
    /// The shard under which the request runs at the upstream.
    pub(super) fn shard(&self) -> Option<Shard> {
        match self.phase {
            Phase::Running { shard, .. } => shard,
            _ => None,
        }
    }

    /// Takes an attempt that ended out of those that are outstanding.
    pub(super) fn take_attempt(
        &mut self,
        number: u8,
        now: Millis,
    ) -> Option<Attempt> {
        if self.hedge.is_some_and(|hedge| hedge.number == number) {
            return self.hedge.take();
        }
        let Phase::Forwarded { attempt } = self.phase else { return None };
        if attempt.number != number {
            return None;
        }
        self.phase = match self.hedge.take() {
            Some(attempt) => Phase::Forwarded { attempt },
            None => Phase::Waiting { due: now },
        };
        Some(attempt)
    }

    /// The idempotency scope, if the request is subject to one.
    fn scope(&self) -> Option<&str> {
        let head = &self.head;
        if head.idempotent || head.idempotency_key.is_none() {
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
        if head.timeout_ms == 0 {
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
        let deadline = now.plus(head.timeout_ms);
        let id = self.entries.insert(Entry {
            head,
            deadline,
            phase: Phase::Waiting { due: now },
            attempts: 0,
            failures: 0,
            ran: false,
            avoid: None,
            ask: None,
            keyed: true,
            hedge: None,
            hedge_due: None,
            counted: false,
            chosen: None,
        });
        self.tickets.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        self.place(id, view, now, out);
    }

    /// Finds where a request goes next, and sends it there.
    pub(super) fn place(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.unchoose(id);
        if self.go_on(id) {
            return;
        }
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
    pub(super) fn place_keyed(
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
            Ok(grant) => {
                if !entry.counted {
                    self.entries[id].counted = true;
                    self.heavy.count(key);
                }
                self.admit_or_refuse(id, spec, grant, now, out);
                return;
            }
            Err(reason) => reason,
        };
        if reason == Reason::Poisoned {
            self.refuse(id, poisoned(), out);
            return;
        }
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
        self.entries[id].keyed = false;
        let entry = &self.entries[id];
        let permit = self.permit(&entry.head, spec, view, now);
        let own = permit.is_ok();
        match permit {
            Err(Reason::Poisoned) => {
                self.refuse(id, poisoned(), out);
                return;
            }
            Ok(_) if entry.head.source == Source::Peer => {
                self.admit_or_refuse(id, spec, None, now, out);
                return;
            }
            Err(reason) if entry.head.source == Source::Peer => {
                self.hold(id, reason, now, out);
                return;
            }
            _ => {}
        }
        let scope = entry.scope().map(parse_scope);
        let avoid = entry.avoid;
        self.refresh_roster(id, spec, view, now, out);
        if let Some(scope) = scope {
            let own = own.then_some(spec);
            self.place_scoped(id, scope, own, now, out);
            return;
        }
        let here = self.local.addr;
        let barred = if own && self.up { None } else { Some(here) };
        let except: Vec<NodeAddr> = avoid.into_iter().chain(barred).collect();
        match self.choose(id, &except, now) {
            None => self.hold(id, Reason::NoOwner, now, out),
            Some(to) => {
                if to == here {
                    self.place_here(id, spec, view, now, out);
                } else {
                    self.forward(id, to, now, out);
                }
                self.plan_hedge(id, spec, now);
            }
        }
    }

    /// Runs a request at this node, which was chosen among the members.
    fn place_here(
        &mut self,
        id: usize,
        spec: &Service,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let here = self.local.addr;
        self.chooser.started(here);
        self.entries[id].chosen = Some(now);
        if let Err(refusal) = self.admit(id, spec, None, now, out) {
            self.entries[id].chosen = None;
            self.entries[id].avoid = Some(here);
            self.chooser.failed(here, now);
            self.failed(id, refusal, view, now, out);
        }
    }

    /// Places a request at the node whose memory its idempotency scope
    /// names. `own` is set if this node may serve it.
    fn place_scoped(
        &mut self,
        id: usize,
        scope: Option<(Incarnation, u32)>,
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
            self.admit_or_refuse(id, spec, None, now, out);
            return;
        }
        let member = self.member_of(id, node);
        let entry = &self.entries[id];
        let arrived = entry.deadline.0.saturating_sub(entry.head.timeout_ms);
        match member {
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
    pub(super) fn hold(
        &mut self,
        id: usize,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.go_on(id) {
            return;
        }
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

    /// Decides what follows an attempt that ended without an answer.
    pub(super) fn failed(
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
        if self.go_on(id) {
            return;
        }
        let entry = &mut self.entries[id];
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
            Reason::Overloaded => !entry.keyed && self.retries.spend(),
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
    pub(super) fn again(
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

    /// Ends the bookkeeping of a request that was placed here by choice.
    pub(super) fn unchoose(&mut self, id: usize) {
        if self.entries[id].chosen.take().is_some() {
            self.chooser.ended(self.local.addr);
        }
    }

    /// Reports that the request's place in the routing cache is wrong, unless
    /// it failed at this node's own upstream.
    pub(super) fn mark_stale(
        &mut self,
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
        if let Some(known) = self.services.get_mut(&head.service)
            && !known.expire(now)
        {
            return;
        }
        view.routes.stale(&head.service, spec, head.key, now, out);
    }

    /// Lets a caller's request wait for a condition of this node to pass;
    /// a peer's request is refused.
    pub(super) fn wait_or_refuse(
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
            self.note_silence(id, now);
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

    /// Ends a request that is not wanted any more, wherever it is.
    pub(super) fn abandon(
        &mut self,
        id: usize,
        reason: Reason,
        detail: &str,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.abort_run(id, now, out);
        self.abort_attempts(id, now, out);
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
    pub(super) fn refuse(
        &mut self,
        id: usize,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        if self.go_on(id) {
            return;
        }
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
    pub(super) fn close(
        &mut self,
        entry: &Entry,
        end: End,
        out: &mut Vec<Effect>,
    ) {
        if let Some(ask) = entry.ask {
            self.dedupe.close(ask, end, out);
        }
    }

    /// Forgets a request.
    pub(super) fn finish(&mut self, id: usize) -> Entry {
        self.unchoose(id);
        self.unplan_hedge(id);
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

/// Detail of a refusal at the deadline.
pub(super) const DEADLINE: &str = "the deadline passed";

/// A refusal for load; `wait` is the expected wait in milliseconds.
pub(super) fn overloaded(detail: &str, wait: u64) -> Refusal {
    let mut refusal = Refusal::new(Reason::Overloaded, detail);
    let after = wait.clamp(RETRY_AFTER.into(), RETRY_AFTER_MAX.into());
    refusal.retry_after = Some(after as u32);
    refusal
}

fn poisoned() -> Refusal {
    let detail = "requests like this one crashed upstreams";
    Refusal::new(Reason::Poisoned, detail)
}

fn why(reason: Reason) -> &'static str {
    match reason {
        Reason::Moving => "the key's shard is moving to another node",
        Reason::NotOwner => "this node does not own the key",
        Reason::ConnectFailed => "the upstream is down",
        _ => "no node owns the key at present",
    }
}
