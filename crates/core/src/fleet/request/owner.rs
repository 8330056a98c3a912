//! Requests at the node beside the upstream: admission, order, and sending.

use super::{
    Entry, GOOD_WEIGHT, LEAST_TIME, RETRY_AFTER, RETRY_UNKNOWN, State, refuse,
};
use crate::clock::Millis;
use crate::fleet::effect::Effect;
use crate::fleet::event::{Order, Outcome, Source};
use crate::fleet::queue::Waiting;
use crate::fleet::reducer::Fleet;
use crate::id::Ticket;
use crate::verdict::{Reason, Refusal, Verdict};

/// Part of the time left for which a request waits for a slot. The rest is
/// for its caller to try again.
const LATE_HOLD: f64 = 0.5;

/// How much longer than its place in the queue says a request waits that can
/// no longer be answered within its objective: later ones that can be go
/// before it.
const LATE_CROWD: f64 = 3.0;

impl Fleet {
    /// Takes a request for this node's upstream.
    pub(super) fn own(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        if let Some(refusal) = self.bars(entry, now) {
            return self.turn_away(ticket, refusal, now, out);
        }
        if let Some(key) = entry.order.key {
            if !entry.counted {
                self.heat.add(key, now);
            }
            if let Some(entry) = self.requests.entries.get_mut(&ticket) {
                entry.counted = true;
            }
            if !self.host.holds(key, now) {
                return self.wait(ticket, now, out);
            }
        }
        self.admit(ticket, now, out);
    }

    /// Why this node's upstream cannot take a request.
    pub(super) fn bars(&self, entry: &Entry, now: Millis) -> Option<Refusal> {
        let order = &entry.order;
        if order.service != self.settings.service {
            let detail = "the node's upstream has another service";
            return Some(Refusal::new(Reason::NotOwner, detail));
        }
        if !self.is_serving(now) || self.is_closing(now) {
            let detail = "the node's upstream takes no new work";
            let refusal = refuse(Reason::NoOwner, detail, RETRY_UNKNOWN);
            return Some(refusal);
        }
        let key = order.key?;
        let held = self.tables.get(&order.service)?;
        let range = held.table.at(key);
        if range.node != self.settings.node {
            let detail = "the node does not own the key";
            return Some(Refusal::new(Reason::NotOwner, detail));
        }
        if self.moves.has(key) && !self.host.holds(key, now) {
            let detail = "the key moves to another node";
            return Some(Refusal::new(Reason::Moving, detail));
        }
        None
    }

    /// Refuses a request at the node beside the upstream. A request of a
    /// caller of this node is placed elsewhere.
    pub(super) fn turn_away(
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

    /// Sends a request to the upstream, queues it, or refuses it. One that
    /// is likely to end within its objective waits for that. One that is not
    /// waits only if there is room beside those: under overload the upstream
    /// runs as many requests either way, and with a long queue all of them
    /// would be late.
    pub(super) fn admit(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let slots = usize::from(self.host.slots().max(1));
        let cold = self.host.is_cold(now);
        let mean = self.requests.mean(now);
        let rate = self.warmup_rate();
        let requests = &mut self.requests;
        requests.queue.sort_out(now, mean as u64);
        let Some(entry) = requests.entries.get_mut(&ticket) else { return };
        let Order { priority, objective, .. } = entry.order;
        let queue = &requests.queue;
        let busy = requests.running >= slots
            || queue.ahead(priority, false) > 0
            || cold;
        let wait = |timely: bool| {
            if !busy {
                return 0.0;
            }
            let place = (queue.ahead(priority, timely) + 1) as f64;
            let wait = place * mean / slots as f64;
            if cold { wait.max(place * 1_000.0 / rate) } else { wait }
        };
        let left = entry.deadline.since(now);
        let age = now.since(entry.arrived);
        let goal = objective.saturating_sub(age).min(left);
        let timely = wait(true) + mean <= goal as f64;
        let hold = left as f64 * LATE_HOLD;
        let late = wait(false) * LATE_CROWD + mean <= hold;
        if busy && !timely && !late {
            let detail = "the upstream has no room in time";
            let time = wait(true).max(mean / 2.0) as u64;
            let refusal = refuse(Reason::Overloaded, detail, time);
            return self.turn_away(ticket, refusal, now, out);
        }
        entry.state = State::Queued;
        entry.hold = now.plus(hold as u64);
        requests.queue.push(Waiting {
            ticket,
            priority,
            objective: now.plus(goal),
            deadline: entry.deadline,
        });
        self.pump(now, out);
    }

    /// Sends waiting requests to the upstream while it has room.
    pub(in crate::fleet) fn pump(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let slots = usize::from(self.host.slots().max(1));
        let cold = self.host.is_cold(now);
        let rate = self.warmup_rate();
        let time = self.requests.mean as u64;
        while self.requests.running < slots && !self.requests.queue.is_empty()
        {
            if cold && !self.requests.window.take(rate, now) {
                return;
            }
            if !cold {
                self.requests.window.note(now);
            }
            let Some(ticket) = self.requests.queue.pop(now, time) else {
                return;
            };
            self.dispatch(ticket, now, out);
        }
    }

    pub(super) fn dispatch(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        if let Some(refusal) = self.bars(entry, now) {
            return self.turn_away(ticket, refusal, now, out);
        }
        let left = entry.deadline.since(now);
        let short = (left as f64) < self.requests.mean * LEAST_TIME;
        if entry.order.key.is_some_and(|key| !self.host.holds(key, now)) {
            return self.wait(ticket, now, out);
        }
        if short {
            let detail = "too little time is left";
            let refusal = refuse(Reason::Overloaded, detail, RETRY_AFTER.0);
            return self.refuse(ticket, refusal, now, out);
        }
        let Some(life) = self.host.life() else { return };
        let upstream = life.id.clone();
        let node = self.settings.node.clone();
        let Some(entry) = self.requests.entries.get_mut(&ticket) else {
            return;
        };
        entry.state = State::Running(now);
        entry.sent_to(node);
        out.push(Effect::Dispatch {
            ticket,
            upstream,
            budget: left,
            origin: entry.order.origin.clone(),
            idempotent: entry.order.idempotent,
        });
        self.requests.running += 1;
    }

    /// A dispatched request ended.
    pub(in crate::fleet) fn run_ended(
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
        entry.state = State::Settling;
        self.requests.running -= 1;
        match &outcome.result {
            Ok(status) => {
                self.requests.ended(since, *status < 500, now);
                self.requests.suspects.record_answer(request, now);
            }
            Err(refusal) => {
                if refusal.reason == Reason::ConnectionLost {
                    self.requests.suspects.record_lost(request, now);
                }
                if refusal.verdict == Verdict::MayHaveRun {
                    self.requests.ended(since, false, now);
                } else {
                    let good = &mut self.requests.good;
                    *good -= GOOD_WEIGHT * *good;
                }
            }
        }
        if source == Source::Caller {
            return self.settle(ticket, outcome.result, now, out);
        }
        match outcome.result {
            Ok(_) => self.answer(ticket, out),
            Err(refusal) => self.refuse(ticket, refusal, now, out),
        }
    }

    /// The upstream crashed: requests at it become suspects.
    pub(in crate::fleet) fn suspect(&mut self, now: Millis) {
        let mut flying = Vec::new();
        for entry in self.requests.entries.values() {
            if matches!(entry.state, State::Running(_)) {
                flying.push(entry.fingerprint);
            }
        }
        self.requests.suspects.record_crash(flying, now);
    }

    /// Turns away what waits for an upstream that takes no more work.
    pub(in crate::fleet) fn empty_queue(
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
            let refusal = refuse(Reason::NoOwner, detail, RETRY_UNKNOWN);
            self.turn_away(ticket, refusal, now, out);
        }
    }
}
