//! The life cycle of a request, from its arrival to its end.
//!
//! A request is placed (at this node if it holds a grant for the key,
//! otherwise by the routing cache), runs at the upstream or at a peer, and
//! ends with exactly one `Answer`, `ReplayAnswer` or `Refuse` effect. While
//! its key has no owner, it waits until its deadline at most. Only the ingress
//! retries; an owner reports failures to the ingress.

use crate::clock::{Millis, TICK_INTERVAL_MS};
use crate::config::Service;
use crate::effect::Effect;
use crate::event::{Arrival, Source};
use crate::id::{Incarnation, KeyHash, NodeAddr, Shard};
use crate::request::dedupe::{
    Completion, DedupeRequest, malformed_scope, parse_scope,
};
use crate::request::retry::backoff_ms;
use crate::request::{Requests, View};
use crate::route::Lookup;
use crate::verdict::{Reason, Refusal, Verdict};

/// Limit on the requests that wait for an owner. Each tick places all that are
/// due, which must take far less than the tick interval of 25 ms.
const MAX_WAITING_COUNT: usize = 4_096;

/// Limit on the requests that a node holds; it bounds the memory for their
/// bodies.
const MAX_REQUEST_COUNT: usize = 16_384;

/// How long a request waits for the node that its idempotency scope names to
/// appear: a new ingress knows the maps of only some groups at first.
const SCOPE_WAIT_MS: u64 = 500;

/// Shortest `retry_after` in a refusal, also used while the key has no owner.
const MIN_RETRY_AFTER_MS: u32 = 100;

/// Longest `retry_after` in a refusal for overload.
const MAX_RETRY_AFTER_MS: u32 = 5_000;

/// An attempt at a peer that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) number: u8,
    pub(super) to: NodeAddr,
    pub(super) since: Millis,
}

/// The stage that a request has reached.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// Between two decisions, or waiting for an owner until `due`.
    Waiting { due: Millis },
    /// In the queue for a slot of the upstream.
    Queued,
    /// Dispatched to the upstream.
    Running {
        shard: Option<Shard>,
        since: Millis,
        /// The upstream crashed while the request was running, so the request
        /// is already a suspect.
        suspect: bool,
    },
    /// Sent to a peer.
    Forwarded { attempt: Attempt },
}

/// State of a request that has not ended.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) head: Arrival,
    pub(super) deadline: Millis,
    pub(super) phase: Phase,
    /// Attempts at peers so far; the number of the next attempt.
    pub(super) attempts: u8,
    /// Failures to find or reach an owner so far. Sets the back-off.
    pub(super) failures: u8,
    /// Whether an attempt that ended without an answer may have run.
    pub(super) maybe_ran: bool,
    /// The node whose attempt failed last; it is not tried again before a
    /// back-off.
    pub(super) failed_node: Option<NodeAddr>,
    /// The open record of its idempotency key in this node's deduplication
    /// table.
    pub(super) dedupe: Option<DedupeRequest>,
    /// Whether the service is partitioned by key.
    pub(super) keyed: bool,
    /// A hedge: a second attempt at a peer while the first is outstanding.
    pub(super) hedge: Option<Attempt>,
    /// When the hedge is due, while one is scheduled.
    pub(super) hedge_due: Option<Millis>,
    /// Whether it was counted in the request rate of its key.
    pub(super) key_counted: bool,
    /// When load balancing chose this node for the request; `None` if it did
    /// not or the outcome was recorded.
    pub(super) chosen_at: Option<Millis>,
}

impl Entry {
    /// The shard under which the request runs at the upstream; `None` if it
    /// does not run there or the service is not partitioned by key.
    pub(super) fn shard(&self) -> Option<Shard> {
        match self.phase {
            Phase::Running { shard, .. } => shard,
            _ => None,
        }
    }

    /// Removes an attempt that ended from the outstanding ones. Returns `None`
    /// if the attempt is not outstanding. A hedge takes the place of the first
    /// attempt.
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

    /// The idempotency scope, if the request is subject to deduplication.
    fn scope(&self) -> Option<&str> {
        let head = &self.head;
        if head.idempotent || head.idempotency_key.is_none() {
            return None;
        }
        head.scope.as_deref()
    }
}

impl Requests {
    /// Registers a request that arrived and places it, or refuses it if no
    /// time is left or the node is full.
    pub(super) fn accept(
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
        if self.entries.len() >= MAX_REQUEST_COUNT {
            let refusal = overloaded("the node holds too many requests", 0);
            out.push(Effect::Refuse { ticket, refusal });
            return;
        }
        if head.source == Source::Caller {
            self.retry_budget.deposit();
        }
        let deadline = now.plus(head.timeout_ms);
        let id = self.entries.insert(Entry {
            head,
            deadline,
            phase: Phase::Waiting { due: now },
            attempts: 0,
            failures: 0,
            maybe_ran: false,
            failed_node: None,
            dedupe: None,
            keyed: true,
            hedge: None,
            hedge_due: None,
            key_counted: false,
            chosen_at: None,
        });
        self.tickets.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        self.place(id, view, now, out);
    }

    /// Decides where a request goes next, and sends it there.
    pub(super) fn place(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.clear_choice(id);
        if self.promote_hedge(id) {
            return;
        }
        let head = &self.entries[id].head;
        let Some(config) = view.config else {
            self.wait_for_owner(id, Reason::NoOwner, now, out);
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
            (false, _) => self.place_unkeyed(id, spec, view, now, out),
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
        let reason = match self.check_permission(&entry.head, spec, view, now)
        {
            Ok(grant) => {
                if !entry.key_counted {
                    self.entries[id].key_counted = true;
                    self.hot_keys.count(key);
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
            self.wait_for_owner(id, reason, now, out);
            return;
        }
        match view.routes.owner(service, spec, key, now, out) {
            Lookup::Wait => self.wait_for_owner(id, Reason::NoOwner, now, out),
            Lookup::Owner(to) if to == self.local.addr => {
                // The map names this node, but this node has no grant for the
                // key.
                view.routes.invalidate(service, spec, Some(key), now, out);
                self.wait_for_owner(id, Reason::NoOwner, now, out);
            }
            Lookup::Owner(to) if Some(to) == entry.failed_node => {
                self.wait_for_owner(id, Reason::NoOwner, now, out);
            }
            Lookup::Owner(to) => self.forward(id, to, now, out),
        }
    }

    /// Places a request for a service that any member can serve.
    fn place_unkeyed(
        &mut self,
        id: usize,
        spec: &Service,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.entries[id].keyed = false;
        let entry = &self.entries[id];
        let permission = self.check_permission(&entry.head, spec, view, now);
        let permitted = permission.is_ok();
        match permission {
            Err(Reason::Poisoned) => {
                self.refuse(id, poisoned(), out);
                return;
            }
            Ok(_) if entry.head.source == Source::Peer => {
                self.admit_or_refuse(id, spec, None, now, out);
                return;
            }
            Err(reason) if entry.head.source == Source::Peer => {
                self.wait_for_owner(id, reason, now, out);
                return;
            }
            _ => {}
        }
        let scope = entry.scope().map(parse_scope);
        let failed_node = entry.failed_node;
        self.refresh_members(id, spec, view, now, out);
        if let Some(scope) = scope {
            let own_spec = permitted.then_some(spec);
            self.place_scoped(id, scope, own_spec, now, out);
            return;
        }
        let here = self.local.addr;
        let excluded_self =
            if permitted && self.up { None } else { Some(here) };
        let except: Vec<NodeAddr> =
            failed_node.into_iter().chain(excluded_self).collect();
        match self.choose_member(id, &except, now) {
            None => self.wait_for_owner(id, Reason::NoOwner, now, out),
            Some(to) => {
                if to == here {
                    self.place_here(id, spec, view, now, out);
                } else {
                    self.forward(id, to, now, out);
                }
                self.schedule_hedge(id, spec, now);
            }
        }
    }

    /// Admits a request at this node, which load balancing chose among the
    /// members.
    fn place_here(
        &mut self,
        id: usize,
        spec: &Service,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let here = self.local.addr;
        self.balancer.record_start(here);
        self.entries[id].chosen_at = Some(now);
        if let Err(refusal) = self.admit(id, spec, None, now, out) {
            self.entries[id].chosen_at = None;
            self.entries[id].failed_node = Some(here);
            self.balancer.record_failure(here, now);
            self.attempt_failed(id, refusal, view, now, out);
        }
    }

    /// Places a request at the node whose memory its idempotency scope names.
    /// `own_spec` is set if this node may serve the request.
    fn place_scoped(
        &mut self,
        id: usize,
        scope: Option<(Incarnation, u32)>,
        own_spec: Option<&Service>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some((node, _)) = scope else {
            self.refuse(id, malformed_scope(), out);
            return;
        };
        if let Some(spec) = own_spec
            && node == self.local.incarnation
        {
            self.admit_or_refuse(id, spec, None, now, out);
            return;
        }
        let member = self.find_member(id, node);
        let entry = &self.entries[id];
        let arrived = entry.deadline.0.saturating_sub(entry.head.timeout_ms);
        match member {
            Some(to)
                if Some(to) == entry.failed_node || to == self.local.addr =>
            {
                self.wait_for_owner(id, Reason::NoOwner, now, out);
            }
            Some(to) => self.forward(id, to, now, out),
            None if now.since(Millis(arrived)) < SCOPE_WAIT_MS => {
                self.wait_for_owner(id, Reason::NoOwner, now, out);
            }
            None => {
                let detail = "the node of this idempotency scope is gone; \
                    check whether the request ran, then use a new key";
                let refusal = Refusal::new(Reason::ScopeUnknown, detail);
                self.refuse(id, refusal, out);
            }
        }
    }

    /// Lets a request wait for an owner until a back-off has passed. A peer's
    /// request is refused instead, since its ingress does the waiting.
    pub(super) fn wait_for_owner(
        &mut self,
        id: usize,
        reason: Reason,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.promote_hedge(id) {
            return;
        }
        let full = self.waiting.len() >= MAX_WAITING_COUNT;
        let entry = &mut self.entries[id];
        if full || entry.head.source == Source::Peer {
            let mut refusal = Refusal::new(reason, refusal_detail(reason));
            refusal.retry_after = Some(MIN_RETRY_AFTER_MS);
            self.refuse(id, refusal, out);
            return;
        }
        entry.failed_node = None;
        let due = now.plus(backoff_ms(entry.failures).max(TICK_INTERVAL_MS));
        entry.phase = Phase::Waiting { due };
        self.waiting.insert((due, id));
    }

    /// Retries or refuses a request after an attempt that ended without an
    /// answer.
    pub(super) fn attempt_failed(
        &mut self,
        id: usize,
        refusal: Refusal,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let not_run = refusal.verdict == Verdict::NotRun;
        entry.maybe_ran |= !not_run;
        if self.promote_hedge(id) {
            return;
        }
        let entry = &mut self.entries[id];
        let may_repeat = not_run || entry.head.idempotent;
        if entry.head.source == Source::Peer || !may_repeat {
            self.refuse(id, refusal, out);
            return;
        }
        let retry = match refusal.reason {
            // The request reached no upstream. It only has to find its owner,
            // which puts no load on upstreams, so the retry budget does not
            // apply.
            Reason::NotOwner
            | Reason::Moving
            | Reason::NoOwner
            | Reason::ConnectFailed => true,
            Reason::ConnectionLost
            | Reason::AnswerCut
            | Reason::LeaseLost
            | Reason::Fenced => self.retry_budget.try_withdraw(),
            Reason::Overloaded => {
                !entry.keyed && self.retry_budget.try_withdraw()
            }
            _ => false,
        };
        if retry {
            if refusal.reason != Reason::Overloaded {
                self.invalidate_route(id, view, now, out);
            }
            self.retry(id, view, now, out);
        } else {
            self.refuse(id, refusal, out);
        }
    }

    /// Places a request again after a failed attempt: at once after the first
    /// failure if the node that failed can be avoided, otherwise after a
    /// back-off.
    pub(super) fn retry(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &mut self.entries[id];
        let first = entry.failures == 0;
        entry.failures = entry.failures.saturating_add(1);
        if first && entry.failed_node.is_some() {
            self.place(id, view, now, out);
        } else {
            self.wait_for_owner(id, Reason::NoOwner, now, out);
        }
    }

    /// Tells the balancer that a request it placed at this node is no longer
    /// outstanding, without an outcome to learn from.
    pub(super) fn clear_choice(&mut self, id: usize) {
        if self.entries[id].chosen_at.take().is_some() {
            self.balancer.record_end(self.local.addr);
        }
    }

    /// Reports that the routing cache sent the request to the wrong node,
    /// unless it failed at this node's own upstream.
    pub(super) fn invalidate_route(
        &mut self,
        id: usize,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let entry = &self.entries[id];
        if entry.failed_node.is_none() {
            return;
        }
        let head = &entry.head;
        let spec = view.config.and_then(|c| c.services.get(&head.service));
        let Some(spec) = spec else { return };
        if let Some(known) = self.services.get_mut(&head.service)
            && !known.invalidate(now)
        {
            return;
        }
        view.routes.invalidate(&head.service, spec, head.key, now, out);
    }

    /// Lets a caller's request wait for a temporary condition of this node to
    /// pass; a peer's request is refused.
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
        self.wait_for_owner(id, refusal.reason, now, out);
    }

    /// Ends requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Effect>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.record_timeout(id, now);
            self.abandon(
                id,
                Reason::DeadlineBefore,
                DEADLINE_DETAIL,
                now,
                out,
            );
        }
    }

    /// Places the waiting requests whose back-off has passed.
    pub(super) fn retry_waiting(
        &mut self,
        view: &mut View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        // Requests that wait again are due later, so the loop ends.
        while let Some(&(due, id)) = self.waiting.first() {
            if due > now {
                return;
            }
            self.waiting.pop_first();
            self.place(id, view, now, out);
        }
    }

    /// Ends a request that was cancelled or has expired, and aborts its
    /// outstanding attempts.
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
        let maybe_ran = self.entries[id].maybe_ran;
        let reason = match reason {
            Reason::DeadlineBefore if maybe_ran => Reason::DeadlineAfter,
            other => other,
        };
        let mut refusal = Refusal::new(reason, detail);
        refusal.verdict =
            if maybe_ran { Verdict::MayHaveRun } else { Verdict::NotRun };
        self.refuse(id, refusal, out);
    }

    /// Ends a request with a refusal, unless its hedge is still outstanding.
    pub(super) fn refuse(
        &mut self,
        id: usize,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        if self.promote_hedge(id) {
            return;
        }
        let entry = self.remove(id);
        if entry.maybe_ran {
            refusal.verdict = Verdict::MayHaveRun;
        }
        let completion = match refusal.verdict {
            Verdict::NotRun => Completion::NotRun,
            Verdict::MayHaveRun => Completion::MayHaveRun,
        };
        self.record_completion(&entry, completion, out);
        out.push(Effect::Refuse { ticket: entry.head.ticket, refusal });
    }

    /// Records in the deduplication table how a request with an idempotency
    /// key ended.
    pub(super) fn record_completion(
        &mut self,
        entry: &Entry,
        completion: Completion,
        out: &mut Vec<Effect>,
    ) {
        if let Some(request) = entry.dedupe {
            self.dedupe.complete(request, completion, out);
        }
    }

    /// Removes a request from all collections and returns its state.
    pub(super) fn remove(&mut self, id: usize) -> Entry {
        self.clear_choice(id);
        self.cancel_hedge(id);
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

/// Detail of a refusal because of the deadline.
pub(super) const DEADLINE_DETAIL: &str = "the deadline passed";

/// A refusal because of overload. `wait_ms` is the expected wait, from which
/// `retry_after` follows.
pub(super) fn overloaded(detail: &str, wait_ms: u64) -> Refusal {
    let mut refusal = Refusal::new(Reason::Overloaded, detail);
    let after =
        wait_ms.clamp(MIN_RETRY_AFTER_MS.into(), MAX_RETRY_AFTER_MS.into());
    refusal.retry_after = Some(after as u32);
    refusal
}

fn poisoned() -> Refusal {
    let detail = "requests like this one crashed upstreams";
    Refusal::new(Reason::Poisoned, detail)
}

fn refusal_detail(reason: Reason) -> &'static str {
    match reason {
        Reason::Moving => "the key's shard is moving to another node",
        Reason::NotOwner => "this node does not own the key",
        Reason::ConnectFailed => "the upstream is down",
        _ => "no node owns the key at present",
    }
}
