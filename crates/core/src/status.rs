//! What a node reports to operators.
//!
//! `GET /lagoondyke/status` returns a [`Status`] as JSON, and
//! `GET /lagoondyke/owner/<service>` with the header `Lagoondyke-Key` returns
//! a [`KeyLocation`]. The `lagoondyke` command renders both.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, KeyHash, NodeAddr, Shard};

/// The state of a node at one instant.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Status {
    /// The node's failure domain.
    pub domain: String,
    /// The service that the node's upstream belongs to.
    pub service: String,
    /// Store version of the configuration in force; 0 while there is none.
    pub config: u64,
    /// The leader of the node's group; `None` while the node knows none.
    pub leader: Option<NodeAddr>,
    /// The epoch of that leader.
    pub epoch: Epoch,
    /// Whether the node itself leads the group.
    pub leads: bool,
    /// Milliseconds left of the node's lease; 0 without a lease.
    pub lease: u64,
    /// Number of shards that the node serves.
    pub shards: usize,
    /// Number of shards that the node is giving up.
    pub revoked: usize,
    /// Requests in progress at the upstream.
    pub busy: usize,
    /// Requests waiting for the upstream.
    pub queued: usize,
    /// The present concurrency limit: requests that the node sends to the
    /// upstream at once.
    pub limit: usize,
    /// Whether the upstream is reachable.
    pub upstream: bool,
    /// Whether the node has been asked to stop and is giving up its work.
    pub leaving: bool,
    /// The members of the group if the node leads it, else empty.
    pub members: Vec<MemberStatus>,
}

/// A member of a group, as its leader sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Address of the member's node.
    pub node: NodeAddr,
    /// The member's failure domain; empty until the member has reported it.
    pub domain: String,
    /// Number of shards that the member owns, with those it is giving up.
    pub shards: usize,
    /// Requests at the member's upstream, by its last heartbeat.
    pub busy: u16,
    /// The member's concurrency limit, by its last heartbeat.
    pub limit: u16,
    /// Milliseconds since the last heartbeat.
    pub silent: u64,
    /// Whether the member is stopping or its failure domain is out of
    /// service.
    pub leaving: bool,
}

/// Where a node would send a request for a key at one instant.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct KeyLocation {
    /// Version of the configuration in force at the node; 0 for none.
    pub config: u64,
    /// Whether the configuration has the service.
    pub known: bool,
    /// Whether each key of the service has one owner. The fields after `hash`
    /// have no meaning if not.
    pub keyed: bool,
    /// Hash of the key.
    pub hash: KeyHash,
    /// The shard that holds the key.
    pub shard: Shard,
    /// Whether the shard holds this key alone, because the key is hot.
    pub pinned: bool,
    /// Index of the group that is responsible for the shard.
    pub group: u16,
    /// The group's leader; `None` if the node does not know it.
    pub leader: Option<NodeAddr>,
    /// Epoch of the leader; 0 if the node does not know it.
    pub epoch: Epoch,
    /// The node that owns the key; `None` if this node does not know it.
    pub owner: Option<NodeAddr>,
}
