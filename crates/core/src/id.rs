//! Identifiers, as small `Copy` types.
//!
//! Each kind of identifier has a type of its own, so that a shard cannot be
//! passed where an epoch is expected. The ingress, the node at which a
//! request arrives from its caller, hashes the request's key; all other code
//! handles the 64-bit hash only.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::id::{KeyHash, Shard};
//!
//! let key = KeyHash::of("vendor-17");
//! assert!(key.shard(256).0 < 256);
//! assert_eq!(KeyHash::of("vendor-17"), key);
//! assert_eq!(Shard(5).group(2), 1);
//! ```

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Address of a node: UDP port for control datagrams and TCP port for peer
/// frames, with the same number. It identifies the node among its peers.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct NodeAddr(pub SocketAddr);

impl fmt::Display for NodeAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! integer_id {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord,
            PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

integer_id!(
    /// Identifies one run of a node's process. Drawn at random when the
    /// process starts, so that a restarted node is told from its former
    /// process at the same address.
    Incarnation,
    u32
);
integer_id!(
    /// Number of a group's current leadership, as the term in Raft; grows by
    /// at least one with each change of leader.
    Epoch,
    u32
);
integer_id!(
    /// The unit of ownership within a service. A shard with an id below the
    /// service's shard count holds the keys that hash to it; a shard with a
    /// higher id holds a single hot key.
    Shard,
    u16
);
integer_id!(
    /// 64-bit hash of a key. Keys of different services are not told apart
    /// by it.
    KeyHash,
    u64
);
integer_id!(
    /// Hash of a request's service, method, path, key and body. Requests
    /// with the same fingerprint are expected to crash an upstream in the
    /// same way.
    Fingerprint,
    u64
);
integer_id!(
    /// Identifies a request within this node: a handle into the shell's
    /// table of requests, which holds the headers and the body.
    Ticket,
    u64
);

/// The part of the reducer that made a call to the store and receives its
/// outcome.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subsystem {
    /// [`crate::node`], which reads and watches the configuration document.
    Config,
    /// [`crate::group`], which reads and updates the record of the node's
    /// own group.
    Group,
    /// [`crate::route`], which reads the records of groups to find their
    /// leaders.
    Route,
}

/// Identifies a call to the store until its outcome arrives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// The part of the reducer that made the call.
    pub subsystem: Subsystem,
    /// Sequence number of the call among those of `subsystem`.
    pub number: u32,
}

impl KeyHash {
    /// Hashes `key` with XXH3. All nodes must use the same hash, since it
    /// decides the key's shard.
    #[must_use]
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        Self(xxh3_64(key.as_ref()))
    }

    /// The shard that this key hashes to in a service with `shards` hashed
    /// shards. A hot key that is pinned to a shard of its own is not held by
    /// this one.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is 0, which a valid configuration document rules
    /// out.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        Shard((self.0 % u64::from(shards)) as u16)
    }
}

impl Shard {
    /// Index of the group that is responsible for this shard in a service
    /// with `groups` groups.
    ///
    /// # Panics
    ///
    /// Panics if `groups` is 0, which a valid configuration document rules
    /// out.
    #[must_use]
    pub fn group(self, groups: u16) -> u16 {
        self.0 % groups
    }
}

/// Identifies a group: the nodes that share a part of a service's shards and
/// have one leader.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct GroupId {
    /// Low 32 bits of the hash of the service's name.
    pub service: u32,
    /// Index of the group within the service, from 0.
    pub index: u16,
}

impl GroupId {
    /// The id of group `index` of the service named `service`.
    #[must_use]
    pub fn of(service: impl AsRef<str>, index: u16) -> Self {
        let hash = xxh3_64(service.as_ref().as_bytes());
        Self { service: hash as u32, index }
    }
}

/// Hash of a failure domain's name: the low 32 bits, as in
/// `MapMember::domain`.
pub(crate) fn domain_hash(name: &str) -> u32 {
    KeyHash::of(name).0 as u32
}

/// A fencing token of a shard, ordered by epoch and then by sequence. It
/// never decreases, so an upstream that has seen a token can reject requests
/// that carry a lower one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Fence {
    /// Epoch in which a leader granted the shard.
    pub epoch: Epoch,
    /// Plan version at which that leader granted it.
    pub sequence: u32,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}
