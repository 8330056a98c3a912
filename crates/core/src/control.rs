//! Control messages between nodes, sent as UDP datagrams.
//!
//! UDP suits them, since each message is complete in itself, is repeated at
//! an interval and is of no use once late. A datagram is one version byte
//! followed by the postcard encoding of [`Control`]. In steady state a
//! heartbeat and the lease that answers it take about 40 bytes each; lists
//! are sent only when the receiver's copy is out of date.
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

/// Version byte at the start of each datagram. A node drops datagrams of
/// any other version.
pub const DATAGRAM_VERSION: u8 = 1;

/// Largest datagram that is sent or accepted. It fits an Ethernet frame with
/// room for the headers of tunnels, so no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A message between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Control {
    /// A member reports its state to its leader and asks for a lease.
    Heartbeat(Heartbeat),
    /// The leader's answer to a heartbeat, which renews the member's lease.
    Lease(Lease),
    /// A leader asks a standby not to take over for a while.
    PromiseRequest(PromiseRequest),
    /// A standby's answer to a promise request.
    Promise(Promise),
    /// An ingress asks a leader which members own the shards of its group.
    Locate(Locate),
    /// The leader's answer to [`Locate`].
    Map(GroupMap),
    /// The receiver of a heartbeat or a [`Locate`] does not lead the group.
    NotLeader(NotLeader),
}

/// A member's periodic report to its leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The member's group.
    pub group: GroupId,
    /// The member's process. The lease is valid for this process only.
    pub incarnation: Incarnation,
    /// Epoch of the leader that the report is addressed to. A leader relies
    /// only on reports that name its own epoch, since those were sent after
    /// the epoch began.
    pub epoch: Epoch,
    /// When the member sent this, on its own clock. The lease echoes it, so
    /// that the member can count the lease's term from it.
    pub sent: Millis,
    /// Milliseconds left of the member's lease when it sent this; 0 without
    /// a lease.
    pub lease: u16,
    /// Epoch and version of the plan that the member follows; zero for none.
    pub plan: Fence,
    /// Revoked shards that have no request in flight any more. The leader
    /// may grant them to another member.
    pub released: Vec<Shard>,
    /// Requests in flight at the upstream.
    pub busy: u16,
    /// The member's present concurrency limit for its upstream.
    pub limit: u16,
    /// Latest configuration version that a leader has named to the member;
    /// see [`Lease::config`].
    pub config: u64,
    /// The member is stopping and asks the leader to move its shards away.
    pub leaving: bool,
    /// The member's upstream cannot be reached, so its shards should move.
    pub down: bool,
    /// What the leader must know of the member once. It is repeated until
    /// the leader confirms it by [`Lease::known`], and then left out.
    pub detail: Option<Box<MemberInfo>>,
    /// Keys with an exceptional share of the member's requests: a few in each
    /// heartbeat, in turn.
    pub hot: Vec<HotKey>,
    /// Fingerprints of the requests in flight when the upstream crashed. One
    /// that was in flight at several crashes is listed once for each.
    pub suspects: Vec<Fingerprint>,
}

/// What a leader must know of a member once. If it exceeds one datagram, it
/// is split among several heartbeats with the same `sent`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberInfo {
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// The member's failure domain.
    pub domain: String,
    /// The upstream's name, under which the configuration may set its share.
    pub upstream: String,
    /// Requests that the upstream can run at once, by the member's settings.
    pub slots: u16,
    /// Shards that the member held under its last plan. A new leader learns
    /// from it where the shards are.
    pub held: Vec<Shard>,
    /// Hot keys of the member's last plan that have a shard of their own.
    pub pins: Vec<PinnedKey>,
    /// Fingerprints of requests that the last leader ordered to be refused
    /// because they crash upstreams.
    pub poison: Vec<Fingerprint>,
}

/// A hot key, as a member reports it to its leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HotKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// Requests for the key a second at this member.
    pub rate: u32,
}

/// A hot key that has a shard of its own.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct PinnedKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// The shard that holds this key alone. Its id is not below the
    /// service's shard count.
    pub shard: Shard,
}

/// A leader's answer to a heartbeat: the right to serve the shards of the
/// member's plan for a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The group in which the lease is valid.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The process that the lease is for; any other one ignores it.
    pub incarnation: Incarnation,
    /// [`Heartbeat::sent`] of the heartbeat that this answers.
    pub echo: Millis,
    /// How long the lease is valid, in milliseconds counted from `echo`; 0
    /// grants nothing.
    pub term: u16,
    /// Version of the member's current plan at the leader.
    pub version: u32,
    /// Version of the configuration in force at the leader.
    pub config: u64,
    /// The leader holds the member's current [`MemberInfo`].
    pub known: bool,
    /// The current plan, if the member's is out of date.
    pub plan: Option<Plan>,
}

/// What a member may serve, as decided by its leader. If it exceeds one
/// datagram, it is split among several leases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Grows within an epoch with each change of any member's plan.
    pub version: u32,
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// Shards that the member may serve, grouped by the plan version that
    /// granted them.
    pub grants: Vec<GrantedShards>,
    /// Shards that move away. The member takes no new requests for them and
    /// reports them as released when those in flight have ended.
    pub revoked: Vec<Shard>,
    /// All hot keys that have a shard of their own and for which the member
    /// holds either that shard or the shard that the key hashes to. The
    /// member must not serve such a key under the shard it hashes to.
    pub pins: Vec<PinnedKey>,
    /// The leader's standbys. The member turns to them when the leader stops
    /// answering.
    pub standbys: Vec<NodeAddr>,
    /// Fingerprints of requests to refuse because they crash upstreams.
    pub poison: Vec<Fingerprint>,
    /// The member is leaving or its domain is out: it takes no new work.
    pub drain: bool,
}

/// Shards that were granted at one plan version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantedShards {
    /// Plan version that granted the shards. Together with the epoch it is
    /// their fencing token.
    pub since: u32,
    /// The shards granted at that version.
    pub shards: Vec<Shard>,
}

/// A leader's request to a standby to promise that it will not take over for
/// a while. The leader's authority to grant leases rests on such promises.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromiseRequest {
    /// The group that the sender leads.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// When the leader sent this, on its own clock. The promise echoes it.
    pub sent: Millis,
}

/// A standby's answer to a [`PromiseRequest`]: the promise not to take over
/// for a while, or its refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// The group that the promise is about.
    pub group: GroupId,
    /// The epoch of the request that this answers.
    pub epoch: Epoch,
    /// [`PromiseRequest::sent`] of the request that this answers.
    pub echo: Millis,
    /// If present, the promise is refused, since the standby knows of this
    /// later epoch.
    pub refused: Option<Epoch>,
}

/// The request of an ingress for the [`GroupMap`] of a leader's group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Locate {
    /// The group whose map is asked for.
    pub group: GroupId,
    /// Version of the map that the ingress holds; 0 for none.
    pub known: u32,
}

/// Which members own the shards of a group. If it exceeds one datagram, it is
/// split among several, and each list continues from part to part.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMap {
    /// The group whose shards the map lists.
    pub group: GroupId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader's plan version when it sent this.
    pub version: u32,
    /// Number of this part, from 0.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// The members with a lease that take new work.
    pub members: Vec<MapMember>,
    /// Owners of the group's hashed shards, run-length encoded in the order
    /// of the shards.
    pub owners: Vec<OwnerRun>,
    /// Hot keys with a shard of their own, that shard, and the index of its
    /// owner in `members`; `None` while it has no owner.
    pub pins: Vec<(KeyHash, Shard, Option<u16>)>,
}

/// A member in a [`GroupMap`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapMember {
    /// Address of the member's node.
    pub addr: NodeAddr,
    /// The member's process.
    pub incarnation: Incarnation,
    /// Hash of the name of the member's failure domain.
    pub domain: u32,
    /// The concurrency limit that the member last reported.
    pub limit: u16,
}

/// A run of consecutive shards with one owner in a [`GroupMap`]. The shards
/// of group g are g, g + groups, g + 2 · groups and so on, in this order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRun {
    /// Number of shards in the run.
    pub count: u16,
    /// Index of the owner in [`GroupMap::members`]; `None` while the shards
    /// have no owner.
    pub owner: Option<u16>,
}

/// The answer of a node to a heartbeat or [`Locate`] for a group that it does
/// not lead.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NotLeader {
    /// The group that the sender of this message does not lead.
    pub group: GroupId,
    /// The leader as far as the sender of this message knows, with its
    /// epoch.
    pub hint: Option<(NodeAddr, Epoch)>,
}

/// Why a datagram cannot be used or sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// The datagram is empty.
    Empty,
    /// The datagram's version is not [`DATAGRAM_VERSION`].
    Version {
        /// The datagram's version byte.
        found: u8,
    },
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    TooLarge {
        /// The datagram's size in bytes.
        size: usize,
    },
    /// The datagram does not decode as [`Control`].
    Malformed,
    /// Bytes follow the message.
    Trailing {
        /// Number of bytes after the message.
        size: usize,
    },
}

impl std::fmt::Display for ControlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Empty => f.write_str("control datagram is empty"),
            Self::Version { found } => write!(
                f,
                "control datagram has version {found}, expected \
                 {DATAGRAM_VERSION}"
            ),
            Self::TooLarge { size } => write!(
                f,
                "control datagram has {size} bytes, limit is \
                 {MAX_DATAGRAM_BYTES}"
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
    /// Returns [`ControlError::TooLarge`] if the datagram exceeds
    /// [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, ControlError> {
        let bytes = postcard::to_extend(self, vec![DATAGRAM_VERSION])
            .map_err(|_| ControlError::Malformed)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
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
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(ControlError::TooLarge { size: bytes.len() });
        }
        let (&found, body) = bytes.split_first().ok_or(ControlError::Empty)?;
        if found != DATAGRAM_VERSION {
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
