//! Request handling.
//!
//! The node at which a request arrives, its ingress, looks up the route and
//! forwards the request to the node of the upstream that is to run it. Only
//! that node sends work to its upstream. It enforces the concurrency limit,
//! the rate limit of a cold upstream, and the order of queued requests.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::config::{Config, Route};
use crate::fleet::crash_memory::{CrashMemory, Finding};
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Arrival, Order, Source};
use crate::fleet::occupancy::Occupancy;
use crate::fleet::queue::Queue;
use crate::fleet::reducer::Fleet;
use crate::fleet::retries::Retries;
use crate::fleet::warmup::RateWindow;
use crate::id::{Fingerprint, Ticket};
use crate::verdict::{Reason, Refusal, Verdict};

/// Assumed mean run time of a request before any has ended.
const INITIAL_MEAN_MS: f64 = 150.0;

/// A request is not started if the time left is below this share of the mean
/// run time.
const MIN_TIME_LEFT_RATIO: f64 = 0.5;

/// Weight of the latest request in the mean run time.
const MEAN_WEIGHT_RATIO: f64 = 0.08;

/// Weight of the latest request in the slow mean run time, from which the
/// capacity is derived. The capacity must not follow short slowdowns, or keys
/// would move back and forth.
const SLOW_MEAN_WEIGHT_RATIO: f64 = 0.02;

/// Weight of the latest answer in the share of successful answers.
const SUCCESS_WEIGHT_RATIO: f64 = 0.06;

/// A request whose time limit is below this share of the longest one seen on
/// its route is taken to be a caller's retry after a refusal. The limits of
/// different callers differ by up to a sixth.
const RETRY_TIME_LIMIT_RATIO: f64 = 0.82;

/// Weight of a request with a shorter time limit in the longest one of its
/// route, so that a few callers with long limits are forgotten.
const LONGEST_BUDGET_WEIGHT_RATIO: f64 = 0.002;

/// Shortest and longest wait that a refused caller is told.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 1_000);

/// Wait that a refused caller is told where no estimate can be made.
const RETRY_AFTER_DEFAULT_MS: u64 = 600;

mod ingress;
mod owner;

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Waits for its key to get a reachable owner.
    AwaitingOwner,
    /// Forwarded to another node.
    Forwarded,
    /// Queued for the local upstream.
    Queued,
    /// Sent to the local upstream at this time.
    Running(Millis),
    /// An attempt has ended and its result is being handled.
    Concluding,
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
    /// Number of upstreams that it may still be sent to.
    attempts: u8,
    /// An earlier attempt may have run it.
    maybe_ran: bool,
    /// Nodes that refused it, and last the one that it was most recently sent
    /// to.
    tried_nodes: Vec<String>,
    state: State,
    /// Latest time until which it stays queued.
    queue_until: Millis,
    /// When it first had to wait for an owner of its key.
    waiting_since: Option<Millis>,
    /// When to look for the owner again.
    retry_due: Millis,
    /// Number of failed attempts to find the owner.
    failures: u8,
    /// Whether it has been counted in the load of its key.
    load_counted: bool,
}

impl Entry {
    /// Records the node that it was sent to.
    fn record_sent(&mut self, node: String) {
        self.tried_nodes.retain(|tried| *tried != node);
        self.tried_nodes.push(node);
    }
}

/// All requests that have not ended, and statistics of the local upstream.
#[derive(Debug)]
pub struct Requests {
    entries: BTreeMap<Ticket, Entry>,
    queue: Queue,
    running: usize,
    occupancy: Occupancy,
    window: RateWindow,
    mean_ms: f64,
    /// Mean run time over a longer period, in milliseconds, from which the
    /// capacity of the upstream is derived.
    slow_mean: f64,
    success_ratio: f64,
    retries: Retries,
    pub(super) crashes: CrashMemory,
    /// Credit of each weighted target, by route, for smooth weighted
    /// round-robin.
    route_credits: HashMap<String, Vec<f64>>,
    /// Longest time limit of callers, by route, in milliseconds; decays
    /// slowly.
    longest_budget: HashMap<String, f64>,
}

impl Requests {
    pub(super) fn new(share: f64, slack: f64) -> Self {
        Self {
            entries: BTreeMap::new(),
            queue: Queue::default(),
            running: 0,
            occupancy: Occupancy::default(),
            window: RateWindow::default(),
            mean_ms: INITIAL_MEAN_MS,
            slow_mean: INITIAL_MEAN_MS,
            success_ratio: 1.0,
            retries: Retries::new(share, slack),
            crashes: CrashMemory::new(),
            route_credits: HashMap::new(),
            longest_budget: HashMap::new(),
        }
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests at the upstream or queued for it.
    pub(super) fn inflight(&self) -> u16 {
        let waited_for = self.running - self.occupancy.silent();
        (waited_for + self.queue.len()).min(usize::from(u16::MAX)) as u16
    }

    /// Mean run time of a request at the upstream, in milliseconds. Requests
    /// that have been running for longer count as well, so that a stall shows
    /// at once, but for silent ones.
    pub(super) fn mean(&self, now: Millis) -> f64 {
        let mut since: Vec<Millis> = self.sent_times().collect();
        since.sort_unstable();
        let counted = since.iter().skip(self.occupancy.silent());
        let sum: u64 = counted.map(|since| now.since(*since)).sum();
        let running = self.running - self.occupancy.silent();
        self.mean_ms.max(sum as f64 / running.max(1) as f64)
    }

    /// When each request was sent that the upstream has not answered.
    fn sent_times(&self) -> impl Iterator<Item = Millis> {
        self.entries.values().filter_map(|entry| match entry.state {
            State::Running(since) => Some(since),
            _ => None,
        })
    }

    /// Records that the node no longer waits for one of the requests that were
    /// sent.
    fn end_run(&mut self) {
        self.running -= 1;
        self.occupancy.on_ended(self.running);
    }

    /// Mean run time over about the last hundred requests, in milliseconds.
    pub(super) fn slow_mean(&self) -> f64 {
        self.slow_mean
    }

    /// Share of answers that are not failures, 0 to 1.
    pub(super) fn success_ratio(&self) -> f64 {
        self.success_ratio
    }

    /// Resets the success ratio and the use of slots, which were those of an
    /// earlier instance.
    pub(super) fn upstream_restarted(&mut self) {
        self.success_ratio = 1.0;
        self.occupancy = Occupancy::default();
    }

    fn record_run(&mut self, since: Millis, good: bool, now: Millis) {
        let time = now.since(since) as f64;
        self.mean_ms += MEAN_WEIGHT_RATIO * (time - self.mean_ms);
        self.slow_mean += SLOW_MEAN_WEIGHT_RATIO * (time - self.slow_mean);
        self.record_outcome(good);
    }

    /// Counts one more success or failure of the upstream.
    fn record_outcome(&mut self, good: bool) {
        let good = f64::from(u8::from(good));
        self.success_ratio +=
            SUCCESS_WEIGHT_RATIO * (good - self.success_ratio);
    }

    /// Whether a request with a time limit of `budget` ms is a caller's retry
    /// after a refusal: other callers of the route allow far more time.
    fn is_retry(&mut self, route: &Route, budget: u64) -> bool {
        let budget = budget as f64;
        let Some(longest) = self.longest_budget.get_mut(&route.name) else {
            self.longest_budget.insert(route.name.clone(), budget);
            return false;
        };
        *longest -= LONGEST_BUDGET_WEIGHT_RATIO * (*longest - budget);
        *longest = longest.max(budget);
        budget < *longest * RETRY_TIME_LIMIT_RATIO
    }

    /// The service that gets the route's next request, by smooth weighted
    /// round-robin: each gets its share of any run of requests.
    fn next_service<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let [only] = route.targets.as_slice() else {
            let total: f64 = route.targets.iter().map(|t| t.weight).sum();
            let credits =
                self.route_credits.entry(route.name.clone()).or_default();
            credits.resize(route.targets.len(), 0.0);
            for (credit, target) in credits.iter_mut().zip(&route.targets) {
                *credit += target.weight / total;
            }
            let best = (0..credits.len())
                .max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
            credits[best] -= 1.0;
            return Some(&route.targets[best].service);
        };
        Some(&only.service)
    }
}

impl Fleet {
    /// Handles the disconnection of the sender of a request.
    pub(super) fn on_cancelled(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let detail = "the caller went away";
        let refusal = Refusal::new(Reason::Cancelled, detail);
        self.refuse(ticket, refusal, now, out);
        self.dispatch_queued(now, out);
    }

    /// Ends requests whose time is over, and retries those that wait for an
    /// owner.
    pub(super) fn tick_requests(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let nodes = 1 + self.directory.iter().count();
        self.requests.retries.set_node_count(nodes);
        let mut expired = Vec::new();
        let mut stranded = Vec::new();
        let least = (self.requests.mean_ms * MIN_TIME_LEFT_RATIO) as u64;
        for (&ticket, entry) in &self.requests.entries {
            let queued = entry.state == State::Queued;
            let needed = if queued { least } else { 0 };
            let queue_expired = queued && now >= entry.queue_until;
            if queue_expired || entry.deadline.since(now) <= needed {
                expired.push(ticket);
                continue;
            }
            let repeatable = entry.source == Source::Caller
                && entry.state == State::Forwarded
                && entry.order.idempotent;
            let Some(node) = entry.tried_nodes.last() else { continue };
            let lost = || self.directory.is_lost(node, self.started, now);
            if repeatable && lost() {
                stranded.push(ticket);
            }
        }
        for ticket in expired {
            self.expire(ticket, now, out);
        }
        self.end_silent(now, out);
        for ticket in stranded {
            let detail = "the node of the upstream is lost";
            let refusal = Refusal::new(Reason::ConnectionLost, detail);
            out.push(Effect::Abort { ticket });
            if let Some(entry) = self.requests.entries.get_mut(&ticket) {
                entry.state = State::Concluding;
            }
            self.conclude_attempt(ticket, Err(refusal), now, out);
        }
        self.refuse_queued(now, out);
        self.retry_waiting(now, out);
        self.dispatch_queued(now, out);
    }

    /// Ends all requests as if their time were over.
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
            _ => entry.maybe_ran,
        };
        let refusal = if sent {
            let detail = "no answer came in time";
            Refusal::new(Reason::DeadlineAfter, detail)
        } else {
            let detail = "the request could not be sent in time";
            refusal_with_retry(
                Reason::DeadlineBefore,
                detail,
                RETRY_AFTER_RANGE_MS.0,
            )
        };
        self.refuse(ticket, refusal, now, out);
    }

    fn answer(&mut self, ticket: Ticket, out: &mut Vec<Effect>) {
        self.requests.entries.remove(&ticket);
        out.push(Effect::Answer { ticket });
    }

    /// Refuses a request and removes it.
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
                self.requests.end_run();
                self.requests.occupancy.on_abandoned(entry.deadline, now);
                let crashes = &mut self.requests.crashes;
                let request = entry.fingerprint;
                crashes.record_unanswered(request, entry.deadline, now);
                out.push(Effect::Abort { ticket });
            }
            State::Queued => self.requests.queue.remove(ticket),
            State::Forwarded => out.push(Effect::Abort { ticket }),
            State::AwaitingOwner | State::Concluding => {}
        }
        if entry.maybe_ran && refusal.verdict == Verdict::NotRun {
            refusal.verdict = Verdict::MayHaveRun;
            refusal.reason = Reason::ConnectionLost;
        }
        if let Some(time) = refusal.retry_after
            && entry.source == Source::Caller
        {
            // Spreads the retries of callers that were refused at the same
            // time.
            let spread = self.random.random_range(0..=time);
            refusal.retry_after = Some(time + spread);
        }
        let age_ms = now.since(entry.arrived);
        out.push(Effect::Notice(Notice::Failed {
            id: entry.id,
            decision: decision(entry.state),
            service: entry.order.service,
            refusal: refusal.clone(),
            age_ms,
            node: entry.tried_nodes.last().cloned().unwrap_or_default(),
            config: self.config_version(),
            request: entry.fingerprint,
        }));
        out.push(Effect::Refuse { ticket, refusal });
    }

    /// Version of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config: &Rc<Config>| config.version)
    }

    /// Logs the refusal of a caller's request on its arrival.
    fn log_refusal(
        &self,
        arrival: Arrival,
        refusal: &Refusal,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Notice(Notice::Failed {
            id: arrival.id,
            decision: "refused",
            service: String::new(),
            refusal: refusal.clone(),
            age_ms: 0,
            node: String::new(),
            config: self.config_version(),
            request: arrival.fingerprint,
        }));
    }
}

/// Log text for a request that is refused in this state.
fn decision(state: State) -> &'static str {
    match state {
        State::AwaitingOwner => "refused, unplaced",
        State::Forwarded => "ended at a peer",
        State::Queued => "refused from the queue",
        State::Running(_) => "ended at the upstream",
        State::Concluding => "ended after an attempt",
    }
}

/// Logs what follows from a crash that `node` has reported.
pub(super) fn log_finding(
    finding: Finding,
    node: &str,
    out: &mut Vec<Effect>,
) {
    for (request, crashes) in finding.counted {
        let node = node.to_owned();
        let notice = Notice::CrashesCounted { request, crashes, node };
        out.push(Effect::Notice(notice));
    }
    for request in finding.harmful {
        out.push(Effect::Notice(Notice::Harmful { request }));
    }
}

/// Refusal of a request that crashes upstreams. It names no time after which
/// to come back, since the request would be refused again.
fn harmful_refusal() -> Refusal {
    let detail = "requests like this one crashed upstreams";
    Refusal::new(Reason::Poisoned, detail)
}

fn refusal_with_retry(reason: Reason, detail: &str, after: u64) -> Refusal {
    let mut refusal = Refusal::new(reason, detail);
    let after = after.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
    refusal.retry_after = Some(after as u32);
    refusal
}
