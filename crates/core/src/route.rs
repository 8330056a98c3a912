//! Where the shards of each group are, as an ingress knows it.
//!
//! The cache holds one [`GroupMap`] per group that requests asked for. A
//! miss costs one read of the group's record in the store and one `Locate`
//! datagram to its leader; all requests that wait share them.

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Control, MapMember};
use crate::effect::Effect;
use crate::event::StoreOutcome;
use crate::id::{CallId, KeyHash, NodeAddr};

/// Where a request should go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// To this node, which may be the asking node itself.
    Owner(NodeAddr),
    /// Nowhere yet; ask again at a later tick.
    Wait,
}

/// The routing cache of one node.
#[derive(Debug)]
pub struct Routes {}

impl Routes {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self {}
    }

    /// The owner of a key.
    pub fn owner(
        &mut self,
        _service: &str,
        _spec: &Service,
        _key: KeyHash,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Lookup {
        Lookup::Wait
    }

    /// The members of all groups of a service that take new work; empty
    /// while none is known.
    pub fn members(
        &mut self,
        _service: &str,
        _spec: &Service,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Vec<MapMember> {
        Vec::new()
    }

    /// A node answered that it is not the owner or could not be reached:
    /// the map of the key's group is out of date (all groups' maps if the
    /// service is not partitioned by key).
    pub fn stale(
        &mut self,
        _service: &str,
        _spec: &Service,
        _key: Option<KeyHash>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Takes `Map` and `NotLeader` datagrams.
    pub fn datagram(
        &mut self,
        _from: NodeAddr,
        _message: &Control,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Takes the outcome of a call made with `CallOwner::Route`.
    pub fn stored(
        &mut self,
        _call: CallId,
        _outcome: StoreOutcome,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Repeats questions that were not answered.
    pub fn tick(&mut self, _now: Millis, _out: &mut Vec<Effect>) {}
}

impl Default for Routes {
    fn default() -> Self {
        Self::new()
    }
}
