//! A node's lease: the time for which its ranges are surely its own.
//!
//! Each node renews one object of its own in the store. The right lasts for
//! [`TERM`] from when the renewal was sent. Whoever wants to take over first
//! marks the object as revoked, on the condition of its revision: after that
//! no renewal succeeds, and the right ends at a known time.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::lease::{Lease, TERM};
//!
//! let mut lease = Lease::default();
//! assert_eq!(lease.left(Millis(0)), 0);
//! lease.renewed(7, Millis(100));
//! assert_eq!(lease.left(Millis(600)), TERM - 500);
//! lease.lost();
//! assert_eq!(lease.left(Millis(600)), 0);
//! ```

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Term of a lease in milliseconds. It outlasts an outage of the store of
/// 4.5 s, a usual one on the users' platform, with a renewal before it.
pub const TERM: u64 = 6_500;

/// Interval between renewals, in milliseconds. A call to the store is
/// priced, so it is as long as the term allows with two tries to spare.
pub const RENEWAL: u64 = 2_000;

/// Interval between renewals of a node whose service has no keys, in
/// milliseconds. It owns nothing; its record only shows its address.
pub const RENEWAL_IDLE: u64 = 10_000;

/// Pause before a failed renewal is tried again, in milliseconds. It doubles
/// with each further failure.
pub const RENEWAL_RETRY: u64 = 300;

/// Longest such pause, in milliseconds: after an outage of the store a node
/// has its lease back within two seconds.
pub const RENEWAL_RETRY_MAX: u64 = 1_000;

/// Least time that the lease of a peer lasts for it to call the store for
/// others, in milliseconds: one that misses a renewal may not reach the store.
pub const LEASE_FRESH: u64 = TERM - 2 * RENEWAL;

/// Longest relative error of a clock, in per mille; the platform states 2 %.
pub const CLOCK_ERROR: u64 = 20;

/// The most that a span of another clock can last on this one, where either
/// may be off by [`CLOCK_ERROR`].
#[must_use]
pub const fn longest(span: u64) -> u64 {
    span + (span * 2 * CLOCK_ERROR).div_ceil(1_000)
}

/// A span that lasts at most `span` on another clock that runs slow.
#[must_use]
pub const fn shortened(span: u64) -> u64 {
    span * 1_000 / (1_000 + CLOCK_ERROR)
}

/// The object that a node keeps in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The process that wrote it.
    pub incarnation: u64,
    /// Counts renewals, so that each changes the object.
    pub count: u64,
    /// Address for datagrams.
    pub gossip: String,
    /// The failure domain.
    pub domain: String,
    /// The service of the upstream.
    pub service: String,
    /// Set by whoever takes over; the node writes a new record then.
    pub revoked: bool,
}

/// This node's own lease.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lease {
    /// Revision of the record; 0 if it is not known.
    pub revision: u64,
    until: Option<Millis>,
}

impl Lease {
    /// A renewal that was sent at `sent` succeeded.
    pub fn renewed(&mut self, revision: u64, sent: Millis) {
        self.revision = revision;
        self.until = Some(sent.plus(TERM));
    }

    /// Another node wrote the record, or it is gone.
    pub fn lost(&mut self) {
        *self = Self::default();
    }

    /// Milliseconds for which the right still lasts.
    #[must_use]
    pub fn left(&self, now: Millis) -> u64 {
        self.until.map_or(0, |until| until.since(now))
    }
}

/// What is known of another node's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Known {
    /// Revision of its record.
    pub revision: u64,
    /// When its right has surely ended, if it does not renew.
    pub ends: Millis,
}

impl Known {
    /// From a record that was read, and seen at `now`.
    #[must_use]
    pub fn read(revision: u64, now: Millis) -> Self {
        Self { revision, ends: now.plus(longest(TERM)) }
    }

    /// From the node's own word that it has `left` milliseconds.
    #[must_use]
    pub fn told(revision: u64, left: u64, now: Millis) -> Self {
        Self { revision, ends: now.plus(longest(left.min(TERM))) }
    }
}
