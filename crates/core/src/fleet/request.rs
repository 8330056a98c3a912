//! What happens to each request.
//!
//! The node where a request comes in, its ingress, looks up the route and
//! sends the request to the node beside the upstream that is to run it. That
//! node alone sends work to its upstream: it keeps the number of running
//! requests, the rate of a cold upstream, and the order of what waits.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::config::{Config, Route};
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Order, Source};
use crate::fleet::queue::Queue;
use crate::fleet::reducer::Fleet;
use crate::fleet::warmup::Window;
use crate::id::{Fingerprint, Ticket};
use crate::request::poison::Suspects;
use crate::request::retry::RetryBudget;
use crate::verdict::{Reason, Refusal, Verdict};

/// Assumed mean time of a request before any has ended, in milliseconds.
const MEAN_FIRST: f64 = 150.0;

/// Share of the mean time below which a request is not worth starting.
const LEAST_TIME: f64 = 0.5;

/// Weight of the latest request in the mean time.
const MEAN_WEIGHT: f64 = 0.08;

/// The same for the capacity, which must not follow each slow moment: keys
/// would move to and fro.
const STEADY_WEIGHT: f64 = 0.02;

/// Weight of the latest answer in the share of good ones.
const GOOD_WEIGHT: f64 = 0.06;

/// Share of the longest time that callers of a route leave, below which a
/// request is taken to come back after a refusal. Callers' own times differ
/// by up to a sixth.
const RETURN_SHARE: f64 = 0.82;

/// Weight of the latest request in that longest time if it leaves less, so
/// that a few patient callers are forgotten.
const LONGEST_WEIGHT: f64 = 0.002;

/// Part of the allowed share of repeats that is used, in percent. Repeated
/// requests make calls, which count as repeats as well.
const RETRY_PART: f64 = 50.0;

/// Shortest and longest time that a refused caller is told to wait, in
/// milliseconds.
const RETRY_AFTER: (u64, u64) = (100, 1_000);

/// Time that a caller is told to wait where no estimate can be made, in
/// milliseconds.
const RETRY_UNKNOWN: u64 = 600;

mod ingress;
mod owner;

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Waits for its key to get an owner that can be reached.
    Waiting,
    /// Sent to another node.
    Forwarded,
    /// Waits for a slot of the upstream.
    Queued,
    /// At the upstream.
    Running(Millis),
    /// An attempt has ended; what follows is being decided.
    Settling,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
struct Entry {
    source: Source,
    id: String,
    arrived: Millis,
    order: Order,
    deadline: Millis,
    fingerprint: Fingerprint,
    /// Upstreams that it may still be sent to.
    attempts: u8,
    /// It may have run.
    exposed: bool,
    /// Nodes that refused it, and the one that it was sent to last.
    tried: Vec<String>,
    state: State,
    /// Until when it waits for a slot.
    hold: Millis,
    /// When it first had to wait for its key's owner.
    waited: Option<Millis>,
    /// When it looks for the owner again.
    retry: Millis,
    /// How often it has looked in vain.
    failures: u8,
    /// Its key has been counted.
    counted: bool,
}

impl Entry {
    /// Notes the node that it was sent to last.
    fn sent_to(&mut self, node: String) {
        self.tried.retain(|tried| *tried != node);
        self.tried.push(node);
    }
}

/// All requests that have not ended, and what they show of the upstream.
#[derive(Debug)]
pub struct Requests {
    entries: BTreeMap<Ticket, Entry>,
    queue: Queue,
    running: usize,
    window: Window,
    mean: f64,
    /// The same over a longer time, for the capacity of the upstream.
    steady: f64,
    good: f64,
    retries: RetryBudget,
    suspects: Suspects,
    /// Weighted parts of routes: what each is owed.
    parts: HashMap<String, Vec<f64>>,
    /// The longest time that callers of each route leave for an answer, in
    /// milliseconds.
    longest: HashMap<String, f64>,
}

impl Requests {
    pub(super) fn new(share: f64, slack: f64) -> Self {
        let percent = (share * RETRY_PART).round();
        let burst = (slack / 20.0).clamp(1.0, 10.0);
        Self {
            entries: BTreeMap::new(),
            queue: Queue::default(),
            running: 0,
            window: Window::default(),
            mean: MEAN_FIRST,
            steady: MEAN_FIRST,
            good: 1.0,
            retries: RetryBudget::new(percent as u32, burst as u32),
            suspects: Suspects::new(),
            parts: HashMap::new(),
            longest: HashMap::new(),
        }
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests at the upstream or waiting for it.
    pub(super) fn inflight(&self) -> u16 {
        (self.running + self.queue.len()).min(usize::from(u16::MAX)) as u16
    }

    /// Mean time of a request at the upstream, in milliseconds. Requests
    /// that run for longer count as well, so that a stall is seen.
    pub(super) fn mean(&self, now: Millis) -> f64 {
        let mut sum = 0.0;
        for entry in self.entries.values() {
            let State::Running(since) = entry.state else { continue };
            sum += now.since(since) as f64;
        }
        let running = self.running.max(1) as f64;
        self.mean.max(sum / running)
    }

    /// Mean time of a request over the last hundred or so, in milliseconds.
    pub(super) fn steady_mean(&self) -> f64 {
        self.steady
    }

    /// Share of answers that are not failures.
    pub(super) fn good(&self) -> f64 {
        self.good
    }

    pub(super) fn suspects(&self, now: Millis) -> Vec<Fingerprint> {
        self.suspects.report(now)
    }

    /// A new life of the upstream has another speed.
    pub(super) fn upstream_restarted(&mut self) {
        self.good = 1.0;
    }

    fn ended(&mut self, since: Millis, good: bool, now: Millis) {
        let time = now.since(since) as f64;
        self.mean += MEAN_WEIGHT * (time - self.mean);
        self.steady += STEADY_WEIGHT * (time - self.steady);
        let good = f64::from(u8::from(good));
        self.good += GOOD_WEIGHT * (good - self.good);
    }

    /// Whether a request with `budget` ms left comes back after a refusal:
    /// other callers of the route leave far more time.
    fn is_return(&mut self, route: &Route, budget: u64) -> bool {
        let budget = budget as f64;
        let Some(longest) = self.longest.get_mut(&route.name) else {
            self.longest.insert(route.name.clone(), budget);
            return false;
        };
        *longest -= LONGEST_WEIGHT * (*longest - budget);
        *longest = longest.max(budget);
        budget < *longest * RETURN_SHARE
    }

    /// The part of a route that is next in turn, so that each gets its share
    /// of any stretch of requests.
    fn part<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let [only] = route.targets.as_slice() else {
            let total: f64 = route.targets.iter().map(|t| t.weight).sum();
            let owed = self.parts.entry(route.name.clone()).or_default();
            owed.resize(route.targets.len(), 0.0);
            for (part, target) in owed.iter_mut().zip(&route.targets) {
                *part += target.weight / total;
            }
            let best = (0..owed.len())
                .max_by(|&a, &b| owed[a].total_cmp(&owed[b]))?;
            owed[best] -= 1.0;
            return Some(&route.targets[best].service);
        };
        Some(&only.service)
    }
}

impl Fleet {
    /// Whoever sent a request went away.
    pub(super) fn cancelled(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let detail = "the caller went away";
        let refusal = Refusal::new(Reason::Cancelled, detail);
        self.refuse(ticket, refusal, now, out);
        self.pump(now, out);
    }

    /// Ends requests whose time is over, and looks again for owners.
    pub(super) fn tick_requests(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut over = Vec::new();
        let mut stranded = Vec::new();
        let least = (self.requests.mean * LEAST_TIME) as u64;
        for (&ticket, entry) in &self.requests.entries {
            let queued = entry.state == State::Queued;
            let needed = if queued { least } else { 0 };
            let held = queued && now >= entry.hold;
            if held || entry.deadline.since(now) <= needed {
                over.push(ticket);
                continue;
            }
            let repeatable = entry.source == Source::Caller
                && entry.state == State::Forwarded
                && entry.order.idempotent;
            let Some(node) = entry.tried.last() else { continue };
            let lost = || self.directory.is_lost(node, self.started, now);
            if repeatable && lost() {
                stranded.push(ticket);
            }
        }
        for ticket in over {
            self.expire(ticket, now, out);
        }
        for ticket in stranded {
            let detail = "the node of the upstream is lost";
            let refusal = Refusal::new(Reason::ConnectionLost, detail);
            out.push(Effect::Abort { ticket });
            if let Some(entry) = self.requests.entries.get_mut(&ticket) {
                entry.state = State::Settling;
            }
            self.settle(ticket, Err(refusal), now, out);
        }
        self.empty_queue(now, out);
        self.wake_waiting(now, out);
        self.pump(now, out);
    }

    /// Ends all requests.
    pub(super) fn expire_all(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let tickets: Vec<Ticket> =
            self.requests.entries.keys().copied().collect();
        for ticket in tickets {
            self.expire(ticket, now, out);
        }
    }

    fn expire(&mut self, ticket: Ticket, now: Millis, out: &mut Vec<Effect>) {
        let Some(entry) = self.requests.entries.get(&ticket) else { return };
        let sent = match entry.state {
            State::Forwarded | State::Running(_) => true,
            _ => entry.exposed,
        };
        let refusal = if sent {
            let detail = "no answer came in time";
            Refusal::new(Reason::DeadlineAfter, detail)
        } else {
            let detail = "the request could not be sent in time";
            refuse(Reason::DeadlineBefore, detail, RETRY_AFTER.0)
        };
        self.refuse(ticket, refusal, now, out);
    }

    fn answer(&mut self, ticket: Ticket, out: &mut Vec<Effect>) {
        self.requests.entries.remove(&ticket);
        out.push(Effect::Answer { ticket });
    }

    /// Refuses a request and forgets it.
    fn refuse(
        &mut self,
        ticket: Ticket,
        mut refusal: Refusal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.requests.entries.remove(&ticket) else {
            return;
        };
        match entry.state {
            State::Running(_) => {
                self.requests.running -= 1;
                out.push(Effect::Abort { ticket });
            }
            State::Queued => self.requests.queue.remove(ticket),
            State::Forwarded => out.push(Effect::Abort { ticket }),
            State::Waiting | State::Settling => {}
        }
        if entry.exposed && refusal.verdict == Verdict::NotRun {
            refusal.verdict = Verdict::MayHaveRun;
            refusal.reason = Reason::ConnectionLost;
        }
        if let Some(time) = refusal.retry_after
            && entry.source == Source::Caller
        {
            // Callers that were refused together do not return together.
            let spread = self.random.random_range(0..=time);
            refusal.retry_after = Some(time + spread);
        }
        let age = now.since(entry.arrived);
        out.push(Effect::Notice(Notice::Failed {
            id: entry.id,
            decision: decision(entry.state),
            service: entry.order.service,
            refusal: refusal.clone(),
            age,
            node: entry.tried.last().cloned().unwrap_or_default(),
            config: self.config_version(),
        }));
        out.push(Effect::Refuse { ticket, refusal });
    }

    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config: &Rc<Config>| config.version)
    }

    fn report(
        &self,
        id: String,
        refusal: &Refusal,
        decision: &'static str,
        age: u64,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Notice(Notice::Failed {
            id,
            decision,
            service: String::new(),
            refusal: refusal.clone(),
            age,
            node: String::new(),
            config: self.config_version(),
        }));
    }
}

/// What is decided about a request that ends in this state.
fn decision(state: State) -> &'static str {
    match state {
        State::Waiting => "refused, unplaced",
        State::Forwarded => "ended at a peer",
        State::Queued => "refused from the queue",
        State::Running(_) => "ended at the upstream",
        State::Settling => "ended after an attempt",
    }
}

fn refuse(reason: Reason, detail: &str, after: u64) -> Refusal {
    let mut refusal = Refusal::new(reason, detail);
    let after = after.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    refusal.retry_after = Some(after as u32);
    refusal
}
