//! Ownership and membership of one group.
//!
//! Each node is a member of the group of its service, and may also lead it
//! or stand by for its leader. The protocol is described in
//! `docs/design.md`, section 4.2.
//!
//! [`Group`] is the only type that the rest of the reducer uses. It answers
//! one question for the request path: may this node serve this key now?

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::config::{Config, Service};
use crate::control::{Control, HotKey};
use crate::effect::Effect;
use crate::event::StoreOutcome;
use crate::id::{
    CallId, Fence, Fingerprint, Incarnation, KeyHash, NodeAddr, Shard,
};
use crate::status::Status;
use crate::verdict::Reason;

/// Permission to serve a key at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The shard that holds the key.
    pub shard: Shard,
    /// The shard's fence.
    pub fence: Fence,
    /// When the lease ends.
    pub until: Millis,
}

/// What the group needs to know of the request path.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests at the upstream.
    pub busy: u16,
    /// The concurrency limit.
    pub limit: u16,
    /// Requests at the upstream by shard; absent shards have none.
    pub shards: BTreeMap<Shard, u32>,
    /// The heaviest keys of the last interval.
    pub hot: Vec<HotKey>,
    /// Requests in flight at the last crash.
    pub suspects: Vec<Fingerprint>,
}

/// Who this node is within its group.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The node's address.
    pub addr: NodeAddr,
    /// The node's process.
    pub incarnation: Incarnation,
    /// The VM's failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// The upstream's name.
    pub upstream: String,
    /// The upstream's slots.
    pub slots: u16,
}

/// What the group reads of the rest of the node at each event.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// Its version; 0 while there is none.
    pub version: u64,
    /// The request path's load.
    pub load: &'a Load,
}

/// Ownership and membership at one node.
#[derive(Debug)]
pub struct Group {
    seat: Seat,
}

impl Group {
    /// A node that started at `now` and knows nothing of its group. `seed`
    /// seeds the ids of its writes to the store.
    #[must_use]
    pub fn new(seat: Seat, _seed: u64, _now: Millis) -> Self {
        Self { seat }
    }

    /// Does what is due at `now`.
    pub fn tick(
        &mut self,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Takes a datagram of the ownership protocol: every [`Control`] but
    /// `Map`, and `NotLeader` if it answers a heartbeat.
    pub fn datagram(
        &mut self,
        _from: NodeAddr,
        _message: &Control,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Takes the outcome of a call made with [`CallOwner::Group`].
    ///
    /// [`CallOwner::Group`]: crate::id::CallOwner::Group
    pub fn stored(
        &mut self,
        _call: CallId,
        _outcome: StoreOutcome,
        _view: View<'_>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Starts to give up all shards and leadership, for a graceful stop.
    pub fn leave(&mut self, _now: Millis, _out: &mut Vec<Effect>) {}

    /// Whether all shards and leadership are given up after
    /// [`Group::leave`], or nothing more can be done about them.
    #[must_use]
    pub fn has_left(&self, _now: Millis) -> bool {
        true
    }

    /// Permission to serve a key of the node's own service now.
    ///
    /// # Errors
    ///
    /// `NotOwner` if the lease does not cover the key's shard, `Moving` if
    /// the shard is revoked, `NoOwner` if there is no valid lease.
    pub fn grant(
        &self,
        _key: KeyHash,
        _spec: &Service,
        _now: Millis,
    ) -> Result<Grant, Reason> {
        Err(Reason::NoOwner)
    }

    /// When the node's lease ends, or `None` if it holds no valid lease or
    /// takes no new work. For services that are not partitioned by key.
    #[must_use]
    pub fn lease(&self, _now: Millis) -> Option<Millis> {
        None
    }

    /// Requests that the group's leader has declared harmful.
    #[must_use]
    pub fn poison(&self) -> &[Fingerprint] {
        &[]
    }

    /// Whether this node leads its group.
    #[must_use]
    pub fn leads(&self) -> bool {
        false
    }

    /// The leader that this node knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeAddr> {
        None
    }

    /// The configuration version that the leader last named.
    #[must_use]
    pub fn leader_config(&self) -> u64 {
        0
    }

    /// Fills the group's part of a status.
    pub fn status(&self, _now: Millis, status: &mut Status) {
        status.domain.clone_from(&self.seat.domain);
    }
}
