//! The request path: what happens to each request.
//!
//! [`Requests`] holds one entry per request that has arrived and not ended.
//! The entry's body and answer are in the shell, under the same ticket.

use crate::clock::Millis;
use crate::config::Config;
use crate::effect::Effect;
use crate::event::{Arrival, Outcome};
use crate::group::{Group, Load};
use crate::id::{Incarnation, NodeAddr, Ticket};
use crate::route::Routes;
use crate::status::Status;

/// What the request path uses of the rest of the node at each event.
#[derive(Debug)]
pub struct View<'a> {
    /// The configuration in force; `None` before the first one.
    pub config: Option<&'a Config>,
    /// Ownership at this node.
    pub group: &'a Group,
    /// Routing cache.
    pub routes: &'a mut Routes,
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
}

impl Requests {
    /// A node without requests. `seed` seeds random choices.
    #[must_use]
    pub fn new(local: Local, _seed: u64, _now: Millis) -> Self {
        Self { local }
    }

    /// A request arrived.
    pub fn arrived(
        &mut self,
        _arrival: Arrival,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// An attempt at a peer ended.
    pub fn peer_done(
        &mut self,
        _ticket: Ticket,
        _attempt: u8,
        _outcome: Outcome,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// A dispatched request ended.
    pub fn upstream_done(
        &mut self,
        _ticket: Ticket,
        _outcome: Outcome,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Whoever sent a request went away.
    pub fn cancelled(
        &mut self,
        _ticket: Ticket,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// The upstream crashed.
    pub fn upstream_down(&mut self, _now: Millis, _out: &mut Vec<Effect>) {}

    /// The upstream is back; it starts cold.
    pub fn upstream_up(&mut self, _now: Millis, _out: &mut Vec<Effect>) {}

    /// Does what is due at `now`: deadlines, waiting requests, lost leases.
    pub fn tick(
        &mut self,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// The load for heartbeats and planned moves.
    #[must_use]
    pub fn load(&self, _now: Millis) -> Load {
        Load::default()
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        0
    }

    /// Whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Fills the request path's part of a status.
    pub fn status(&self, status: &mut Status) {
        status.service.clone_from(&self.local.service);
    }
}
