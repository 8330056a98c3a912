//! Requests at the node of the upstream: admission, queueing and dispatch.

use super::{
    Entry, MIN_TIME_LEFT_RATIO, RETRY_AFTER_DEFAULT_MS, RETRY_AFTER_RANGE_MS,
    State, harmful_refusal, log_finding, refusal_with_retry,
};
use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Order, Outcome, Source};
use crate::fleet::local_crashes::Suspects;
use crate::fleet::queue::QueuedRequest;
use crate::fleet::rate_limit::RateLimit;
use crate::fleet::reducer::Fleet;
use crate::fleet::upstream::LocalUpstream;
use crate::id::Ticket;
use crate::verdict::{Reason, Refusal, Verdict};

/// Share of the remaining time for which a request may stay queued. The rest
/// is left for its caller to retry.
const LATE_WAIT_RATIO: f64 = 0.5;

/// Safety factor on the estimated queueing time of a request that can no
/// longer meet its objective: later requests that can meet theirs overtake it.
const LATE_ESTIMATE_RATIO: f64 = 3.0;

/// Time after which a request that the upstream does not work on is ended, as
/// a multiple of the mean run time.
const SILENT_MEAN_RATIO: f64 = 3.0;

/// Shortest such time.
const MIN_SILENT_MS: u64 = 600;

impl Fleet {
    /// Handles a request for this node's upstream.
    pub(super) fn accept_local(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        if let Some(refusal) = self.local_refusal(entry, now) {
            return self.refuse_locally(ticket, refusal, now, out);
        }
        if let Some(key) = entry.order.key {
            if !entry.load_counted {
                self.key_load.record(key, now);
            }
            if let Some(entry) = self.requests.entries.get_mut(&ticket) {
                entry.load_counted = true;
            }
            if !self.upstream.holds(key, now) {
                return self.await_owner(ticket, now, out);
            }
        }
        self.admit(ticket, now, out);
    }

    /// Why this node's upstream cannot take a request; `None` if it can.
    pub(super) fn local_refusal(
        &self,
        entry: &Entry,
        now: Millis,
    ) -> Option<Refusal> {
        let order = &entry.order;
        if self.requests.crashes.is_harmful(entry.fingerprint, now) {
            return Some(harmful_refusal());
        }
        if order.service != self.settings.service {
            let detail = "the node's upstream has another service";
            return Some(Refusal::new(Reason::NotOwner, detail));
        }
        if !self.is_serving(now) || self.is_closing(now) {
            let detail = "the node's upstream takes no new work";
            let refusal = refusal_with_retry(
                Reason::NoOwner,
                detail,
                RETRY_AFTER_DEFAULT_MS,
            );
            return Some(refusal);
        }
        let key = order.key?;
        let stored = self.tables.get(&order.service)?;
        let range = stored.table.range_at(key);
        if range.node != self.settings.node {
            let detail = "the node does not own the key";
            return Some(Refusal::new(Reason::NotOwner, detail));
        }
        if self.moves.contains(key) && !self.upstream.holds(key, now) {
            let detail = "the key moves to another node";
            return Some(Refusal::new(Reason::Moving, detail));
        }
        None
    }

    /// Refuses a request at the node of the upstream. A request from a caller
    /// of this node is placed on another node instead, if possible.
    pub(super) fn refuse_locally(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        if entry.source == Source::Peer {
            return self.refuse(ticket, refusal, now, out);
        }
        let node = self.settings.node.clone();
        self.refused_at(ticket, node, refusal, now, out);
    }

    /// Dispatches, queues or refuses a request. A request that is likely to
    /// meet its objective is queued. Any other is queued only if there is room
    /// beside those: under overload the upstream completes the same number of
    /// requests either way, and with a long queue all of them would be late.
    pub(super) fn admit(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let slots = self.usable_places(now);
        let cold = self.upstream.is_cold(now);
        let limit = self.upstream.rate_limit().copied();
        let mean = self.requests.mean(now);
        let rate = self.warmup_rate();
        let requests = &mut self.requests;
        requests.queue.demote_late(now, mean as u64);
        let Some(entry) = requests.entries.get_mut(&ticket) else { return };
        let Order { priority, objective, .. } = entry.order;
        let queue = &requests.queue;
        let busy = requests.running >= slots
            || queue.count_ahead(priority, false) > 0
            || cold
            || limit.is_some_and(|limit| !limit.is_open(now));
        let wait = |timely: bool| {
            if !busy {
                return 0.0;
            }
            let position = (queue.count_ahead(priority, timely) + 1) as f64;
            let mut wait = position * mean / slots as f64;
            if cold {
                wait = wait.max(position * 1_000.0 / rate);
            }
            limit.map_or(wait, |limit| wait.max(limit.wait_ms(position, now)))
        };
        let left = entry.deadline.since(now);
        let age = now.since(entry.arrived);
        let goal = objective.saturating_sub(age).min(left);
        let timely = wait(true) + mean <= goal as f64;
        let longest_wait = left as f64 * LATE_WAIT_RATIO;
        let late = wait(false) * LATE_ESTIMATE_RATIO + mean <= longest_wait;
        if busy && !timely && !late {
            let detail = "the upstream has no room in time";
            let time = wait(true).max(mean / 2.0) as u64;
            let refusal = refusal_with_retry(Reason::Overloaded, detail, time);
            return self.refuse_locally(ticket, refusal, now, out);
        }
        entry.state = State::Queued;
        entry.queue_until = now.plus(longest_wait as u64);
        requests.queue.push(QueuedRequest {
            ticket,
            priority,
            objective: now.plus(goal),
            deadline: entry.deadline,
        });
        self.dispatch_queued(now, out);
    }

    /// Dispatches queued requests while the upstream has free slots.
    pub(in crate::fleet) fn dispatch_queued(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let slots = self.usable_places(now);
        let cold = self.upstream.is_cold(now);
        let rate = self.warmup_rate();
        let time = self.requests.mean_ms as u64;
        while !self.requests.queue.is_empty() {
            let probes = self.requests.running >= slots;
            if probes && !self.may_probe(now) {
                return;
            }
            if self.upstream.rate_limit().is_some_and(|l| !l.is_open(now)) {
                return;
            }
            if cold && !self.requests.window.try_add(rate, now) {
                return;
            }
            if !cold {
                self.requests.window.add(now);
            }
            let Some(ticket) = self.requests.queue.pop(now, time) else {
                return;
            };
            if probes {
                self.requests.occupancy.on_probe(now);
            }
            self.dispatch(ticket, now, out);
        }
    }

    /// Number of requests that may be at the upstream at once.
    fn usable_places(&self, now: Millis) -> usize {
        let slots = self.upstream.open_slots();
        self.requests.occupancy.usable(slots, now)
    }

    /// Whether a request is sent although all slots seem to be in use. An
    /// upstream has place for as many waiting requests as it has slots.
    fn may_probe(&self, now: Millis) -> bool {
        let requests = &self.requests;
        let Some(oldest) = requests.sent_times().min() else { return false };
        requests.running < 2 * self.upstream.open_slots()
            && requests.occupancy.may_probe(oldest, requests.mean_ms, now)
    }

    /// Ends idempotent requests that the upstream does not work on and will
    /// not answer: they are sent again if they may be. Others are waited for
    /// until their deadline, since their callers cannot send them again.
    pub(in crate::fleet) fn end_silent(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let silent = self.requests.occupancy.silent();
        if silent == 0 {
            return;
        }
        let span = (self.requests.mean_ms * SILENT_MEAN_RATIO) as u64;
        let span = span.max(MIN_SILENT_MS);
        let mut ended: Vec<(Millis, Ticket)> = Vec::new();
        for (&ticket, entry) in &self.requests.entries {
            if let State::Running(since) = entry.state {
                ended.push((since, ticket));
            }
        }
        ended.sort_unstable();
        ended.truncate(silent);
        for (since, ticket) in ended {
            let Some(entry) = self.requests.entries.get_mut(&ticket) else {
                continue;
            };
            if now.since(since) < span || !entry.order.idempotent {
                continue;
            }
            entry.state = State::Concluding;
            let (source, request) = (entry.source, entry.fingerprint);
            let deadline = entry.deadline;
            self.requests.end_run();
            let crashes = &mut self.requests.crashes;
            crashes.record_unanswered(request, deadline, now);
            self.requests.record_outcome(false);
            out.push(Effect::Abort { ticket });
            let detail = "the upstream does not work on the request";
            let refusal = Refusal::new(Reason::ConnectionLost, detail);
            match source {
                Source::Caller => {
                    self.conclude_attempt(ticket, Err(refusal), now, out);
                }
                Source::Peer => self.refuse(ticket, refusal, now, out),
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        if let Some(refusal) = self.local_refusal(entry, now) {
            return self.refuse_locally(ticket, refusal, now, out);
        }
        let left = entry.deadline.since(now);
        let short =
            (left as f64) < self.requests.mean_ms * MIN_TIME_LEFT_RATIO;
        if entry.order.key.is_some_and(|key| !self.upstream.holds(key, now)) {
            return self.await_owner(ticket, now, out);
        }
        if short {
            let detail = "too little time is left";
            let refusal = refusal_with_retry(
                Reason::Overloaded,
                detail,
                RETRY_AFTER_RANGE_MS.0,
            );
            return self.refuse(ticket, refusal, now, out);
        }
        let Some(instance) = self.upstream.instance() else { return };
        let upstream = instance.id.clone();
        let node = self.settings.node.clone();
        let Some(entry) = self.requests.entries.get_mut(&ticket) else {
            return;
        };
        entry.state = State::Running(now);
        entry.record_sent(node);
        self.upstream.record_sent(now);
        out.push(Effect::Dispatch {
            ticket,
            upstream,
            budget: left,
            origin: entry.order.origin.clone(),
            account: entry.order.account.clone(),
            idempotent: entry.order.idempotent,
        });
        self.requests.running += 1;
    }

    /// Applies what the upstream says of itself in an answer.
    pub(in crate::fleet) fn apply_condition(
        &mut self,
        ticket: Ticket,
        outcome: &Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(condition) = outcome.condition else { return };
        let entry = self.requests.entries.get(&ticket);
        let Some(State::Running(sent)) = entry.map(|entry| entry.state) else {
            return;
        };
        let limit = |upstream: &LocalUpstream| {
            upstream.rate_limit().map(RateLimit::rate)
        };
        let before = limit(&self.upstream);
        let was_leaving = self.upstream.is_leaving();
        self.upstream.apply_condition(condition, sent, now);
        let after = limit(&self.upstream);
        if before.is_none() != after.is_none() {
            let rate = after.map(|rate| rate as u32);
            out.push(Effect::Notice(Notice::Limited { rate }));
        }
        if self.upstream.is_leaving() && !was_leaving {
            self.on_upstream_leaving(now, out);
        }
    }

    /// Handles the end of a dispatched request.
    pub(in crate::fleet) fn on_run_ended(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get_mut(&ticket) else {
            return;
        };
        let State::Running(since) = entry.state else { return };
        let (source, request) = (entry.source, entry.fingerprint);
        let deadline = entry.deadline;
        let key = entry.order.key;
        entry.state = State::Concluding;
        self.requests.end_run();
        self.record_occupancy(&outcome, now);
        if outcome.result.is_ok() || outcome.condition.is_some() {
            self.requests.crashes.record_alive(since);
        }
        match &outcome.result {
            Ok(status) => {
                self.requests.record_run(since, *status < 500, now);
                self.requests.crashes.record_answer(request, *status, now);
            }
            Err(refusal) => {
                if refusal.verdict == Verdict::MayHaveRun {
                    let crashes = &mut self.requests.crashes;
                    crashes.record_unanswered(request, deadline, now);
                    self.requests.record_run(since, false, now);
                } else {
                    self.requests.record_outcome(false);
                }
            }
        }
        if let (Err(refusal), Some(key)) = (&outcome.result, key)
            && refusal.reason == Reason::Fenced
        {
            self.upstream.doubt_key(key);
            self.call_upstream(now, out);
        }
        if source == Source::Caller {
            return self.conclude_attempt(ticket, outcome.result, now, out);
        }
        match outcome.result {
            Ok(_) => self.answer(ticket, out),
            Err(refusal) => self.refuse(ticket, refusal, now, out),
        }
    }

    /// Learns from an answer how many of the requests that were sent the
    /// upstream has.
    fn record_occupancy(&mut self, outcome: &Outcome, now: Millis) {
        let Some(condition) = outcome.condition else { return };
        let sent: Vec<Millis> = self.requests.sent_times().collect();
        let reported = condition.inflight;
        self.requests.occupancy.on_answer(reported, sent, now);
    }

    /// Records a crash of the upstream named `id`: the requests that may have
    /// been running are suspects.
    pub(in crate::fleet) fn record_crash(
        &mut self,
        id: String,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut running = Vec::new();
        for entry in self.requests.entries.values() {
            if matches!(entry.state, State::Running(_)) {
                running.push(entry.fingerprint);
            }
        }
        let crashes = &mut self.requests.crashes;
        let (suspects, finding) = crashes.record_crash(running, now);
        let Suspects { counted: suspects, cleared } = suspects;
        let notice = Notice::UpstreamCrashed { id, suspects, cleared };
        out.push(Effect::Notice(notice));
        log_finding(finding, &self.settings.node, out);
    }

    /// Removes all queued requests if the upstream no longer accepts work:
    /// places those from callers of this node elsewhere if possible, and
    /// refuses the others.
    pub(in crate::fleet) fn refuse_queued(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.requests.queue.is_empty() || self.is_serving(now) {
            return;
        }
        let waiting: Vec<Ticket> = self.requests.queue.iter().collect();
        for ticket in waiting {
            self.requests.queue.remove(ticket);
            let detail = "the node's upstream takes no more work";
            let refusal = refusal_with_retry(
                Reason::NoOwner,
                detail,
                RETRY_AFTER_DEFAULT_MS,
            );
            self.refuse_locally(ticket, refusal, now, out);
        }
    }
}
