//! Datagrams between nodes.
//!
//! Control messages travel over UDP, since each is complete in itself, is
//! repeated at an interval and is worthless once late. A datagram is one
//! version byte followed by the postcard encoding of [`Control`]. In steady
//! state a heartbeat and its lease take about 40 bytes each; lists travel
//! only when the receiver's copy is out of date.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::control::{Control, Locate};
//! use lagoondyke_core::id::GroupId;
//!
//! let group = GroupId::of("katalog", 0);
//! let bytes = Control::Locate(Locate { group, known: 0 }).encode().unwrap();
//! assert!(matches!(Control::decode(&bytes), Ok(Control::Locate(_))));
//! assert!(Control::decode(&bytes[..3]).is_err());
//! ```

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id::{
    Epoch, Fence, Fingerprint, GroupId, Incarnation, KeyHash, NodeAddr, Shard,
};

/// Version byte at the start of each datagram.
pub const VERSION: u8 = 1;

/// Largest datagram that is sent or accepted, in bytes. It fits an Ethernet
/// frame with room for tunnels, so no datagram is fragmented.
pub const DATAGRAM_MAX: usize = 1_200;

/// A message between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Control {
    /// A member reports to its leader and asks for a lease.
    Heartbeat(Heartbeat),
    /// The leader's answer to a heartbeat.
    Lease(Lease),
    /// A leader asks a standby not to take over for a while.
    PromiseRequest(PromiseRequest),
    /// A standby's answer to a promise request.
    Promise(Promise),
    /// An ingress asks a leader for its group's map.
    Locate(Locate),
    /// The leader's answer to [`Locate`].
    Map(GroupMap),
    /// The receiver of a heartbeat or locate does not lead the group.
    NotLeader(NotLeader),
}

/// A member's report to its leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The group in which the member serves.
    pub group: GroupId,
    /// The member's process.
    pub incarnation: Incarnation,
    /// The epoch of the leader addressed. A leader relies only on reports
    /// that name its own epoch: those were sent after the epoch began.
    pub epoch: Epoch,
    /// The member's clock when it sent this; echoed in the lease.
    pub sent: Millis,
    /// Milliseconds left of the member's lease when it sent this.
    pub lease: u16,
    /// Epoch and version of the plan the member acts on; zero for none.
    pub plan: Fence,
    /// Shards of the plan's revoked list with no work left in flight.
    pub released: Vec<Shard>,
    /// Requests in flight at the upstream.
    pub busy: u16,
    /// The concurrency limit the member found for its upstream.
    pub limit: u16,
    /// Version of the configuration in force at the member.
    pub config: u64,
    /// The member wants to give up all its shards.
    pub leaving: bool,
    /// The member's upstream cannot be reached: its shards should move.
    pub down: bool,
    /// Sent until the leader has confirmed it.
    pub detail: Option<Box<Detail>>,
    /// Keys that carry an outstanding part of the member's work.
    pub hot: Vec<HotKey>,
    /// Requests in flight when the upstream crashed, once for each crash.
    pub suspects: Vec<Fingerprint>,
}

/// What a leader must know of a member once. Sent in several heartbeats of
/// the same `sent` if it exceeds one datagram.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Detail {
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// The member's failure domain.
    pub domain: String,
    /// The upstream's name, for its share in the configuration.
    pub upstream: String,
    /// The upstream's slots by the member's settings.
    pub slots: u16,
    /// What the member held under its last plan; tells a new leader where
    /// shards were.
    pub held: Vec<Shard>,
    /// Hot keys of the plan that have a shard of their own.
    pub pins: Vec<Pin>,
    /// Requests that the last leader declared harmful.
    pub poison: Vec<Fingerprint>,
}

/// A hot key and its rate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HotKey {
    /// The key.
    pub key: KeyHash,
    /// Requests a second.
    pub rate: u32,
}

/// A hot key that has a shard of its own.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Pin {
    /// The key.
    pub key: KeyHash,
    /// Its shard.
    pub shard: Shard,
}

/// A leader's answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The process that the lease is for.
    pub incarnation: Incarnation,
    /// `sent` of the heartbeat that this answers.
    pub echo: Millis,
    /// Term in milliseconds, counted from `echo`; 0 grants nothing.
    pub term: u16,
    /// Version of the member's plan at the leader.
    pub version: u32,
    /// Version of the configuration in force at the leader.
    pub config: u64,
    /// The leader holds the member's current [`Detail`].
    pub known: bool,
    /// The plan, if the member's is out of date.
    pub plan: Option<Plan>,
}

/// What a member may serve. Sent in several leases if it exceeds one
/// datagram.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Grows with each change of any member's plan under one leader.
    pub version: u32,
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// Shards granted, by the version that granted them.
    pub grants: Vec<Grants>,
    /// Shards still held that the member must finish and release.
    pub revoked: Vec<Shard>,
    /// All hot keys with a shard of their own whose shard or hashed shard
    /// the member holds. It must not serve such a key under the latter.
    pub pins: Vec<Pin>,
    /// The leader's standbys, to be asked when the leader falls silent.
    pub standbys: Vec<NodeAddr>,
    /// Requests to refuse since they crash upstreams.
    pub poison: Vec<Fingerprint>,
    /// The member is leaving or its domain is out: it takes no new work.
    pub drain: bool,
}

/// Shards that were granted at one plan version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grants {
    /// Plan version that granted them; with the epoch, their fence.
    pub since: u32,
    /// The shards.
    pub shards: Vec<Shard>,
}

/// A leader's request to a standby.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromiseRequest {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader's clock when it sent this; echoed in the promise.
    pub sent: Millis,
}

/// A standby's promise not to take over.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// The group.
    pub group: GroupId,
    /// The epoch of the request that this answers.
    pub epoch: Epoch,
    /// `sent` of the request that this answers.
    pub echo: Millis,
    /// The promise is refused: the standby knows of this later epoch.
    pub refused: Option<Epoch>,
}

/// An ingress's question to a leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Locate {
    /// The group.
    pub group: GroupId,
    /// Version of the map that the ingress holds; 0 for none.
    pub known: u32,
}

/// Where the shards of a group are. Sent in several datagrams if it exceeds
/// one; lists continue from part to part.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMap {
    /// The group.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader's plan version.
    pub version: u32,
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// The members with a lease that take new work.
    pub members: Vec<MapMember>,
    /// Runs of consecutive shards of this group and the index of their
    /// owner in `members`; `None` while a shard has no owner.
    pub owners: Vec<OwnerRun>,
    /// Hot keys with a shard of their own, and the owner's index.
    pub pins: Vec<(KeyHash, Shard, Option<u16>)>,
}

/// A member in a [`GroupMap`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapMember {
    /// Its address.
    pub addr: NodeAddr,
    /// Its process.
    pub incarnation: Incarnation,
    /// Hash of its failure domain's name.
    pub domain: u32,
    /// The concurrency limit it reported.
    pub limit: u16,
}

/// A run of shards with one owner in a [`GroupMap`]. The shards of group g
/// are g, g + groups, g + 2 · groups and so on, in this order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRun {
    /// Number of shards in the run.
    pub count: u16,
    /// Index of the owner in `members`.
    pub owner: Option<u16>,
}

/// The receiver does not lead the group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NotLeader {
    /// The group.
    pub group: GroupId,
    /// The leader that the receiver knows, with its epoch.
    pub hint: Option<(NodeAddr, Epoch)>,
}

/// Why a datagram cannot be used or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// The datagram is empty.
    Empty,
    /// The datagram has another version.
    Version {
        /// The version byte found.
        found: u8,
    },
    /// The datagram exceeds [`DATAGRAM_MAX`].
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// The datagram does not decode as [`Control`].
    Malformed,
    /// Bytes follow the message.
    Trailing {
        /// Their number.
        size: usize,
    },
}

impl std::fmt::Display for ControlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Empty => f.write_str("control datagram is empty"),
            Self::Version { found } => write!(
                f,
                "control datagram has version {found}, expected {VERSION}"
            ),
            Self::TooLarge { size } => write!(
                f,
                "control datagram has {size} bytes, limit is {DATAGRAM_MAX}"
            ),
            Self::Malformed => {
                f.write_str("control datagram is not a valid message")
            }
            Self::Trailing { size } => {
                write!(f, "control datagram has {size} trailing bytes")
            }
        }
    }
}

impl std::error::Error for ControlError {}

impl Control {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::TooLarge`] if it exceeds [`DATAGRAM_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, ControlError> {
        let bytes = postcard::to_extend(self, vec![VERSION])
            .map_err(|_| ControlError::Malformed)?;
        if bytes.len() > DATAGRAM_MAX {
            return Err(ControlError::TooLarge { size: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is empty, oversized, of another
    /// version, malformed, or followed by further bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, ControlError> {
        if bytes.len() > DATAGRAM_MAX {
            return Err(ControlError::TooLarge { size: bytes.len() });
        }
        let (&found, body) = bytes.split_first().ok_or(ControlError::Empty)?;
        if found != VERSION {
            return Err(ControlError::Version { found });
        }
        let (message, rest) = postcard::take_from_bytes(body)
            .map_err(|_| ControlError::Malformed)?;
        if !rest.is_empty() {
            return Err(ControlError::Trailing { size: rest.len() });
        }
        Ok(message)
    }
}
