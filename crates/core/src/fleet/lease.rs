//! A node's lease: the period during which no other node may take its ranges.
//!
//! Each node renews its own record in the store. A lease is valid for
//! [`LEASE_DURATION_MS`] from when the renewal was sent. To take over, another
//! node first marks the record as revoked, by an update conditional on the
//! record's revision. After that no renewal succeeds, so the lease expires at
//! a known time.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::lease::{Lease, LEASE_DURATION_MS};
//!
//! let mut lease = Lease::default();
//! assert_eq!(lease.remaining_ms(Millis(0)), 0);
//! lease.renewed(7, Millis(100));
//! assert_eq!(lease.remaining_ms(Millis(600)), LEASE_DURATION_MS - 500);
//! lease.invalidate();
//! assert_eq!(lease.remaining_ms(Millis(600)), 0);
//! ```

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::table::Instance;
use crate::id::Fingerprint;

/// Duration of a lease. Long enough to survive a store outage of 4.5 s, a
/// usual one on the users' platform, including the renewal interval before it.
pub const LEASE_DURATION_MS: u64 = 6_500;

/// Interval between renewals. Store calls are billed, so it is as long as the
/// lease duration allows with two retries left.
pub const RENEWAL_INTERVAL_MS: u64 = 2_000;

/// Interval between renewals of a node whose service is not partitioned by
/// key. It owns no ranges; its record only publishes its address.
pub const RENEWAL_INTERVAL_IDLE_MS: u64 = 10_000;

/// Delay before a failed renewal is retried. Doubles with each further
/// failure.
pub const RENEWAL_RETRY_MS: u64 = 300;

/// Longest delay before a failed renewal is retried: a node regains its lease
/// within two seconds after a store outage.
pub const MAX_RENEWAL_RETRY_MS: u64 = 1_000;

/// Shortest remaining lease of a peer that is asked to call the store for
/// others. A peer that has missed a renewal may be unable to reach the store.
pub const MIN_PEER_LEASE_MS: u64 = LEASE_DURATION_MS - 2 * RENEWAL_INTERVAL_MS;

/// Most harmful requests in a revoked record: those of its node and of the one
/// that revokes it.
const MAX_REVOKED_HARMFUL_COUNT: usize = 16;

/// Largest relative clock rate error; the platform states 2 %.
pub const MAX_CLOCK_ERROR_PER_MILLE: u64 = 20;

/// Longest time by this clock that a period of `span` by another clock can
/// take, if the rate of each is off by [`MAX_CLOCK_ERROR_PER_MILLE`].
#[must_use]
pub const fn extend_for_drift(span: u64) -> u64 {
    span + (span * 2 * MAX_CLOCK_ERROR_PER_MILLE).div_ceil(1_000)
}

/// Length of a period that takes at most `span` by a perfect clock even if it
/// is timed by a clock that is slow by [`MAX_CLOCK_ERROR_PER_MILLE`].
#[must_use]
pub const fn shorten_for_drift(span: u64) -> u64 {
    span * 1_000 / (1_000 + MAX_CLOCK_ERROR_PER_MILLE)
}

/// A node's record in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Random id of the process that wrote the record.
    pub incarnation: u64,
    /// Era of the store that the writer knew. In a later one the record comes
    /// from a copy, and may lack what was written after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Number of renewals so far, so that each renewal changes the object.
    pub count: u64,
    /// Address for gossip datagrams.
    pub gossip: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Service of the node's upstream.
    pub service: String,
    /// Set by the node that takes over. The owner writes a new record
    /// afterwards.
    pub revoked: bool,
    /// Requests that crash upstreams, which must outlast a restart of all
    /// nodes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub harmful: Vec<HarmfulRequest>,
    /// The upstream, if it is leaving: a later process of the node must not
    /// send it requests, even if it announces itself as ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<Instance>,
}

impl Record {
    /// The record with which another node revokes the lease. What a later
    /// process of the node must know stays, with the harmful requests that the
    /// other node has found.
    #[must_use]
    pub fn revoked_with(&self, found: &[HarmfulRequest]) -> Self {
        let mut harmful = self.harmful.clone();
        for new in found {
            let known = harmful.iter_mut().find(|h| h.request == new.request);
            match known {
                Some(old) => old.left_ms = old.left_ms.max(new.left_ms),
                None => harmful.push(*new),
            }
        }
        harmful.truncate(MAX_REVOKED_HARMFUL_COUNT);
        let Self { era, leaving, .. } = self.clone();
        Self { revoked: true, era, harmful, leaving, ..Self::default() }
    }
}

/// A request that crashes upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HarmfulRequest {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Time for which it is refused from when the record is written, in
    /// milliseconds.
    pub left_ms: u64,
}

/// This node's own lease.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lease {
    /// Revision of the record; 0 if unknown. Renewals are conditional on it.
    pub revision: u64,
    until: Option<Millis>,
}

impl Lease {
    /// Extends the lease after a successful renewal that was sent at `sent`.
    pub fn renewed(&mut self, revision: u64, sent: Millis) {
        self.revision = revision;
        self.until = Some(sent.plus(LEASE_DURATION_MS));
    }

    /// Ends the lease: another node has written the record, or it was deleted.
    pub fn invalidate(&mut self) {
        *self = Self::default();
    }

    /// Ends the lease, and keeps the record's revision.
    pub fn expire(&mut self) {
        self.until = None;
    }

    /// Remaining validity in milliseconds; 0 once the lease has expired.
    #[must_use]
    pub fn remaining_ms(&self, now: Millis) -> u64 {
        self.until.map_or(0, |until| until.since(now))
    }
}

/// Another node's lease, as known to this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLease {
    /// Revision of its record.
    pub revision: u64,
    /// When it has expired at the latest, unless renewed.
    pub ends: Millis,
}

impl PeerLease {
    /// Lease of a record that was read at `now`, which may have been renewed
    /// just before.
    #[must_use]
    pub fn from_record(revision: u64, now: Millis) -> Self {
        Self { revision, ends: now.plus(extend_for_drift(LEASE_DURATION_MS)) }
    }

    /// Lease that its owner reported to be valid for another `left`
    /// milliseconds.
    #[must_use]
    pub fn from_gossip(revision: u64, left: u64, now: Millis) -> Self {
        Self {
            revision,
            ends: now.plus(extend_for_drift(left.min(LEASE_DURATION_MS))),
        }
    }
}
