//! The request path: what happens to each request.
//!
//! [`Requests`] holds one entry per request that has arrived and not ended.
//! The entry's body and answer are in the shell, under the same ticket.
//! The decisions are in the submodules; `flow` ties them together.

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

pub mod admit;
pub mod breaker;
pub mod choose;
pub mod dedupe;
mod dispatch;
mod flow;
mod forward;
pub mod heavy;
pub mod poison;
pub mod retry;
pub mod share;

/// Time for which an upstream may be unreachable before its shards move, in
/// milliseconds. A connection that fails for a moment moves nothing.
const DOWN_DELAY: u64 = 300;

/// Permission to serve, as the request path sees it.
pub trait Ownership: Debug {
    /// Permission to serve a key now; see [`Group::grant`].
    ///
    /// # Errors
    ///
    /// `NotOwner`, `Moving` or `NoOwner`.
    fn grant(
        &self,
        key: KeyHash,
        spec: &Service,
        now: Millis,
    ) -> Result<Grant, Reason>;

    /// When the node's lease ends; see [`Group::lease`].
    fn lease(&self, now: Millis) -> Option<Millis>;

    /// Requests declared harmful; see [`Group::poison`].
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

/// Where requests go, as the request path sees it.
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

    /// The map of a key's group is out of date; see [`Routes::stale`].
    fn stale(
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

    fn stale(
        &mut self,
        service: &str,
        spec: &Service,
        key: Option<KeyHash>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        Routes::stale(self, service, spec, key, now, out);
    }
}

/// What the request path uses of the rest of the node at each event.
#[derive(Debug)]
pub struct View<'a> {
    /// The configuration in force; `None` before the first one.
    pub config: Option<&'a Config>,
    /// Ownership at this node.
    pub group: &'a dyn Ownership,
    /// Routing cache.
    pub routes: &'a mut dyn Routing,
}

/// Identity of the node for the request path.
#[derive(Clone, Debug)]
pub struct Local {
    /// The node's address.
    pub addr: NodeAddr,
    /// The node's process; part of idempotency scopes.
    pub incarnation: Incarnation,
    /// The VM's failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// The upstream's slots: the most that the concurrency limit can be.
    pub slots: u16,
}

/// All requests that have not ended.
#[derive(Debug)]
pub struct Requests {
    local: Local,
    entries: Slab<flow::Entry>,
    /// Places in `entries`.
    tickets: HashMap<Ticket, usize>,
    /// Every entry, by its deadline.
    deadlines: BTreeSet<(Millis, usize)>,
    /// Entries without an owner, by when they look for it again.
    waiting: BTreeSet<(Millis, usize)>,
    /// Entries that wait for a slot of the upstream.
    queue: share::Queue,
    limit: admit::Limit,
    breaker: breaker::Breaker,
    /// Entries at the upstream, at most `slots`.
    running: Vec<usize>,
    /// The upstream is reachable.
    up: bool,
    /// When it was last found to be unreachable.
    down_since: Millis,
    suspects: poison::Suspects,
    heavy: heavy::Heavy,
    retries: retry::Budget,
    dedupe: dedupe::Dedupe,
    chooser: choose::Chooser,
    services: forward::Services,
    hedge_budget: retry::Budget,
    /// Forwarded entries, by when a second attempt is due.
    hedges: BTreeSet<(Millis, usize)>,
}

impl Requests {
    /// A node without requests. `seed` seeds random choices.
    #[must_use]
    pub fn new(local: Local, seed: u64, now: Millis) -> Self {
        let limits = dedupe::Limits::default();
        Self {
            dedupe: dedupe::Dedupe::new(local.incarnation, limits),
            entries: Slab::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            waiting: BTreeSet::new(),
            queue: share::Queue::new(),
            limit: admit::Limit::new(local.slots, now),
            breaker: breaker::Breaker::new(),
            local,
            running: Vec::new(),
            up: true,
            down_since: now,
            suspects: poison::Suspects::new(),
            heavy: heavy::Heavy::new(now),
            retries: retry::Budget::new(
                retry::RETRY_PERCENT,
                retry::RETRY_BURST,
            ),
            chooser: choose::Chooser::new(seed),
            services: HashMap::new(),
            hedge_budget: retry::Budget::new(
                forward::HEDGE_PERCENT,
                forward::HEDGE_BURST,
            ),
            hedges: BTreeSet::new(),
        }
    }

    /// A request arrived.
    pub fn arrived(
        &mut self,
        arrival: Arrival,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.begin(arrival, &mut view, now, out);
        self.hedge_slow(now, out);
    }

    /// An attempt at a peer ended.
    pub fn peer_done(
        &mut self,
        ticket: Ticket,
        attempt: u8,
        outcome: Outcome,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.peer_ended((ticket, attempt), outcome, &mut view, now, out);
        self.pump(&mut view, now, out);
        self.hedge_slow(now, out);
    }

    /// A dispatched request ended.
    pub fn upstream_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.run_ended(ticket, outcome, &mut view, now, out);
        self.pump(&mut view, now, out);
    }

    /// Whoever sent a request went away.
    pub fn cancelled(
        &mut self,
        ticket: Ticket,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.tickets.get(&ticket) else { return };
        self.abandon(id, Reason::Cancelled, "the caller went away", now, out);
        self.pump(&mut view, now, out);
    }

    /// The upstream crashed.
    ///
    /// The shell reports the requests that were in flight one by one as
    /// well, before or after this.
    pub fn upstream_down(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.up {
            return;
        }
        self.up = false;
        self.down_since = now;
        self.suspect(now);
        self.limit.crashed(now);
        self.empty_queue(now, out);
        out.push(Effect::Notice(crate::effect::Notice::UpstreamDown));
    }

    /// The upstream is back; it starts cold.
    pub fn upstream_up(&mut self, _now: Millis, out: &mut Vec<Effect>) {
        if self.up {
            return;
        }
        self.up = true;
        self.breaker = breaker::Breaker::new();
        out.push(Effect::Notice(crate::effect::Notice::UpstreamUp));
    }

    /// Does what is due at `now`: deadlines, waiting requests, lost leases.
    pub fn tick(
        &mut self,
        mut view: View<'_>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.heavy.tick(now);
        self.expire(now, out);
        self.hedge_slow(now, out);
        self.check_stalls(&mut view, now, out);
        self.check_leases(&mut view, now, out);
        self.wake(&mut view, now, out);
        self.pump(&mut view, now, out);
    }

    /// The load for heartbeats and planned moves.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load {
            busy: self.running.len() as u16,
            limit: self.limit.value() as u16,
            down: !self.up && now.since(self.down_since) >= DOWN_DELAY,
            hot: self.heavy.hot().to_vec(),
            suspects: self.suspects.report(now),
            ..Load::default()
        };
        for &id in &self.running {
            let Some(shard) = self.entries[id].shard() else { continue };
            *load.shards.entry(shard).or_default() += 1;
        }
        load
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Fills the request path's part of a status.
    pub fn status(&self, status: &mut Status) {
        status.service.clone_from(&self.local.service);
        status.busy = self.running.len();
        status.queued = self.queue.len();
        status.limit = self.limit.value();
        status.upstream = self.up;
    }
}
