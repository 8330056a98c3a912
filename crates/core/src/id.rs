//! Small `Copy` identifiers.
//!
//! Identifiers are typed, so that a shard cannot be passed for an epoch. A
//! key is known by its 64-bit hash everywhere past the ingress.
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

/// Address of a node: UDP for control datagrams, TCP for peer frames.
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

macro_rules! number {
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

number!(
    /// One start of a node's process, drawn at random when it starts.
    Incarnation,
    u32
);
number!(
    /// Term of a group's leader; grows by one with each takeover.
    Epoch,
    u32
);
number!(
    /// The unit of ownership within a service. Ids below the service's
    /// shard count hold hashed keys; ids from there on hold one hot key.
    Shard,
    u16
);
number!(
    /// Hash of a key within its service.
    KeyHash,
    u64
);
number!(
    /// Identifies requests that are alike enough to crash an upstream in
    /// the same way: service, method, path, key and body.
    Fingerprint,
    u64
);
number!(
    /// A request in the shell's table of requests.
    Ticket,
    u64
);
/// The part of the reducer that made a call to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallOwner {
    /// Loading and watching the configuration.
    Config,
    /// The group's record.
    Group,
    /// Finding the leader of another group.
    Route,
}

/// A call to the store whose outcome is outstanding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// Who made the call and takes its outcome.
    pub owner: CallOwner,
    /// Counts the owner's calls.
    pub number: u32,
}

impl KeyHash {
    /// The hash of `key`.
    #[must_use]
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        Self(xxh3_64(key.as_ref()))
    }

    /// The shard of a service with `shards` shards that holds this key
    /// while the key is not pinned to a shard of its own.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is 0; configuration documents are checked for it.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        Shard((self.0 % u64::from(shards)) as u16)
    }
}

impl Shard {
    /// Index of the group that is responsible for this shard.
    ///
    /// # Panics
    ///
    /// Panics if `groups` is 0; configuration documents are checked for it.
    #[must_use]
    pub fn group(self, groups: u16) -> u16 {
        self.0 % groups
    }
}

/// A group of members: a service, by the hash of its name, and an index.
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
    /// Index of the group within the service.
    pub index: u16,
}

impl GroupId {
    /// The group `index` of the service named `service`.
    #[must_use]
    pub fn of(service: impl AsRef<str>, index: u16) -> Self {
        let hash = xxh3_64(service.as_ref().as_bytes());
        Self { service: hash as u32, index }
    }
}

/// Hash of a failure domain's name, as in `MapMember::domain`.
pub(crate) fn domain_hash(name: &str) -> u32 {
    KeyHash::of(name).0 as u32
}

/// A fencing token: never decreases for a shard.
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
    /// Epoch of the leader that granted the shard.
    pub epoch: Epoch,
    /// Plan version at which that leader granted it.
    pub sequence: u32,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}
