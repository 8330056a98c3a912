//! The request path: admission, forwarding and retries of each request.
//!
//! [`Requests`] holds one entry per request that has arrived and not ended.
//! The shell holds the request's body and answer under the same ticket. The
//! decisions are in the submodules; `lifecycle` connects them.

use std::collections::{BTreeSet, HashMap};
use std::fmt::Debug;

use slab::Slab;

use crate::clock::Millis;
use crate::config::{Config, Service};
use crate::control::MapMember;
use crate::effect::Effect;
use crate::event::{Arrival, Outcome};
use crate::group::{Grant, Group, Load};
use crate::id::{Fingerprint, Incarnation, KeyHash, NodeAddr, Ticket};
use crate::route::{Lookup, Routes};
use crate::status::Status;
use crate::verdict::Reason;

pub mod balance;
pub mod breaker;
pub mod concurrency;
pub mod dedupe;
mod dispatch;
pub mod fair_queue;
mod forward;
pub mod hot_keys;
mod lifecycle;
pub mod poison;
pub(crate) mod poison_tracker;
pub(crate) mod recent_answers;
pub mod retry;

/// How long an upstream may be unreachable before its shards move, so that a
/// single failed connection moves nothing.
const DOWN_DELAY_MS: u64 = 300;

/// A node's permission to serve keys, as the request path sees it. Tests and
/// benchmarks replace it.
pub trait Ownership: Debug {
    /// The grant under which this node may serve a key now; see
    /// [`Group::grant`].
    ///
    /// # Errors
    ///
    /// `NotOwner`, `Moving` or `NoOwner` if the node may not serve the key.
    fn grant(
        &self,
        key: KeyHash,
        spec: &Service,
        now: Millis,
    ) -> Result<Grant, Reason>;

    /// When the node's lease ends, or `None` if it has none; see
    /// [`Group::lease`].
    fn lease(&self, now: Millis) -> Option<Millis>;

    /// Requests that the group's leader declared harmful; see
    /// [`Group::poison`].
    fn poison(&self) -> &[Fingerprint];
}

impl Ownership for Group {
    fn grant(
        &self,
        key: KeyHash,
        spec: &Service,
        now: Millis,
    ) -> Result<Grant, Reason> {
        Group::grant(self, key, spec, now)
    }

    fn lease(&self, now: Millis) -> Option<Millis> {
        Group::lease(self, now)
    }

    fn poison(&self) -> &[Fingerprint] {
        Group::poison(self)
    }
}

/// The routing cache, as the request path sees it. Tests and benchmarks
/// replace it.
pub trait Routing: Debug {
    /// The owner of a key; see [`Routes::owner`].
    fn owner(
        &mut self,
        service: &str,
        spec: &Service,
        key: KeyHash,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Lookup;

    /// The members of a service; see [`Routes::members`].
    fn members(
        &mut self,
        service: &str,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Vec<MapMember>;

    /// Reports that the map of a key's group is out of date; see
    /// [`Routes::invalidate`].
    fn invalidate(
        &mut self,
        service: &str,
        spec: &Service,
        key: Option<KeyHash>,
        now: Millis,
        out: &mut Vec<Effect>,
    );
}

impl Routing for Routes {
    fn owner(
        &mut self,
        service: &str,
        spec: &Service,
        key: KeyHash,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Lookup {
        Routes::owner(self, service, spec, key, now, out)
    }

    fn members(
        &mut self,
        service: &str,
        spec: &Service,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Vec<MapMember> {
        Routes::members(self, service, spec, now, out)
    }

    fn invalidate(
        &mut self,
        service: &str,
        spec: &Service,
        key: Option<KeyHash>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        Routes::invalidate(self, service, spec, key, now, out);
    }
}

/// The other parts of the node that the request path uses while it handles an
/// event.
#[derive(Debug)]
pub struct View<'a> {
    /// The configuration in force; `None` before the first one.
    pub config: Option<&'a Config>,
    /// What this node may serve.
    pub group: &'a dyn Ownership,
    /// Where other keys are served.
    pub routes: &'a mut dyn Routing,
}

/// Identity of this node, as the request path needs it.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The address under which peers reach the node.
    pub addr: NodeAddr,
    /// The node's process; part of idempotency scopes.
    pub incarnation: Incarnation,
    /// The VM's failure domain. Members in it are preferred.
    pub domain: String,
    /// The service that the node's upstream serves.
    pub service: String,
    /// The upstream's slots: upper bound of the concurrency limit.
    pub slots: u16,
}

/// All requests at this node that have not ended, and what the node has
/// learned from those that have.
#[derive(Debug)]
pub struct Requests {
    local: LocalNode,
    entries: Slab<lifecycle::Entry>,
    /// Index in `entries` by ticket.
    tickets: HashMap<Ticket, usize>,
    /// Every entry, ordered by deadline.
    deadlines: BTreeSet<(Millis, usize)>,
    /// Entries without an owner, ordered by when they look for it again.
    waiting: BTreeSet<(Millis, usize)>,
    /// Entries that wait for a slot of the upstream.
    queue: fair_queue::FairQueue,
    limit: concurrency::ConcurrencyLimit,
    breaker: breaker::Breaker,
    /// Entries at the upstream, at most `slots`.
    running: Vec<usize>,
    /// Whether the upstream is reachable.
    up: bool,
    /// When the upstream was last found to be unreachable.
    down_since: Millis,
    suspects: poison::Suspects,
    hot_keys: hot_keys::HotKeyCounter,
    retry_budget: retry::RetryBudget,
    dedupe: dedupe::DedupeTable,
    balancer: balance::Balancer,
    services: forward::UnkeyedServices,
    hedge_budget: retry::RetryBudget,
    /// Entries with a scheduled hedge, ordered by when it is due.
    hedges: BTreeSet<(Millis, usize)>,
}

impl Requests {
    /// The state of a node without requests. `seed` seeds random choices.
    #[must_use]
    pub fn new(local: LocalNode, seed: u64, now: Millis) -> Self {
        let limits = dedupe::Limits::default();
        Self {
            dedupe: dedupe::DedupeTable::new(local.incarnation, limits),
            entries: Slab::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            waiting: BTreeSet::new(),
            queue: fair_queue::FairQueue::new(),
            limit: concurrency::ConcurrencyLimit::new(local.slots, now),
            breaker: breaker::Breaker::new(),
            local,
            running: Vec::new(),
            up: true,
            down_since: now,
            suspects: poison::Suspects::new(),
            hot_keys: hot_keys::HotKeyCounter::new(now),
            retry_budget: retry::RetryBudget::new(
                retry::RETRY_PERCENT,
                retry::RETRY_BURST_COUNT,
            ),
            balancer: balance::Balancer::new(seed),
            services: HashMap::new(),
            hedge_budget: retry::RetryBudget::new(
                forward::HEDGE_PERCENT,
                forward::HEDGE_BURST_COUNT,
            ),
            hedges: BTreeSet::new(),
        }
    }

    /// Handles the arrival of a request.
    pub fn arrived(
        &mut self,
        arrival: Arrival,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.accept(arrival, &mut view, now, out);
        self.send_hedges(now, out);
    }

    /// Handles the end of an attempt at a peer.
    pub fn peer_done(
        &mut self,
        ticket: Ticket,
        attempt: u8,
        outcome: Outcome,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.attempt_ended((ticket, attempt), outcome, &mut view, now, out);
        self.dispatch_queued(&mut view, now, out);
        self.send_hedges(now, out);
    }

    /// Handles the end of a dispatched request.
    pub fn upstream_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.upstream_ended(ticket, outcome, &mut view, now, out);
        self.dispatch_queued(&mut view, now, out);
    }

    /// Handles the departure of the caller or peer that sent a request.
    pub fn cancelled(
        &mut self,
        ticket: Ticket,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        self.abandon(id, Reason::Cancelled, "the caller went away", now, out);
        self.dispatch_queued(&mut view, now, out);
    }

    /// Handles a crash of the upstream.
    ///
    /// The shell also reports each request that was in flight, before or after
    /// this call.
    pub fn upstream_down(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.up {
            return;
        }
        self.up = false;
        self.down_since = now;
        self.mark_suspects(now);
        self.limit.record_crash(now);
        self.drain_queue(now, out);
        out.push(Effect::Notice(crate::effect::Notice::UpstreamDown));
    }

    /// Handles the return of the upstream, which starts cold.
    pub fn upstream_up(&mut self, _now: Millis, out: &mut Vec<Effect>) {
        if self.up {
            return;
        }
        self.up = true;
        self.breaker = breaker::Breaker::new();
        out.push(Effect::Notice(crate::effect::Notice::UpstreamUp));
    }

    /// Handles what is due at `now`: deadlines, hedges, stalled requests, lost
    /// leases, waiting and queued requests.
    pub fn tick(
        &mut self,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.hot_keys.tick(now);
        self.expire(now, out);
        self.send_hedges(now, out);
        self.check_stalls(&mut view, now, out);
        self.check_leases(&mut view, now, out);
        self.retry_waiting(&mut view, now, out);
        self.dispatch_queued(&mut view, now, out);
    }

    /// The load, as reported in heartbeats and used for planned moves.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load {
            busy: self.running.len() as u16,
            limit: self.limit.value() as u16,
            down: !self.up && now.since(self.down_since) >= DOWN_DELAY_MS,
            hot: self.hot_keys.hot().to_vec(),
            suspects: self.suspects.report(now),
            ..Load::default()
        };
        for &id in &self.running {
            let Some(shard) = self.entries[id].shard() else { continue };
            *load.shards.entry(shard).or_default() += 1;
        }
        load
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all requests have ended; a node that stops waits for this.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Fills in the request path's part of a status report.
    pub fn status(&self, status: &mut Status) {
        status.service.clone_from(&self.local.service);
        status.busy = self.running.len();
        status.queued = self.queue.len();
        status.limit = self.limit.value();
        status.upstream = self.up;
    }
}
