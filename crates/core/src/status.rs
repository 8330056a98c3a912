//! The operator's view of a node.
//!
//! `GET /lagoondyke/status` answers with a [`Status`] as JSON. The
//! `lagoondyke` command renders it, and a [`Located`], for which it asks
//! `GET /lagoondyke/owner/<service>` with the header `Lagoondyke-Key`.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, KeyHash, NodeAddr, Shard};

/// A node's state at one moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Status {
    /// The node's failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// Version of the configuration in force.
    pub config: u64,
    /// The leader of the node's group, as far as it knows.
    pub leader: Option<NodeAddr>,
    /// The epoch of that leader.
    pub epoch: Epoch,
    /// Whether this node leads the group.
    pub leads: bool,
    /// Milliseconds left of the node's lease.
    pub lease: u64,
    /// Shards it serves.
    pub shards: usize,
    /// Shards it is giving up.
    pub revoked: usize,
    /// Requests at the upstream.
    pub busy: usize,
    /// Requests waiting for the upstream.
    pub queued: usize,
    /// The concurrency limit.
    pub limit: usize,
    /// Whether the upstream is reachable.
    pub upstream: bool,
    /// Whether the node is giving up its work in order to stop.
    pub leaving: bool,
    /// At a leader: its members.
    pub members: Vec<MemberStatus>,
}

/// A member as its leader sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Its address.
    pub node: NodeAddr,
    /// Its failure domain.
    pub domain: String,
    /// Shards granted to it.
    pub shards: usize,
    /// Requests it reported in flight.
    pub busy: u16,
    /// The limit it reported.
    pub limit: u16,
    /// Milliseconds since its last heartbeat.
    pub silent: u64,
    /// Whether it is leaving or its domain is out.
    pub leaving: bool,
}

/// Where a node would send a request for a key at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Located {
    /// Version of the configuration in force at the node; 0 for none.
    pub config: u64,
    /// Whether the configuration has the service.
    pub known: bool,
    /// Whether each key of the service has one owner.
    pub keyed: bool,
    /// Hash of the key.
    pub hash: KeyHash,
    /// The shard that holds the key.
    pub shard: Shard,
    /// Whether the shard holds this key alone, since it is hot.
    pub pinned: bool,
    /// Index of the group that is responsible for the shard.
    pub group: u16,
    /// The group's leader, if the node knows it.
    pub leader: Option<NodeAddr>,
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// The owner, if the node knows it.
    pub owner: Option<NodeAddr>,
}
