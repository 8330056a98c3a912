//! Monotonic time and the time constants of the ownership protocol.
//!
//! Functions that decide take the present time as an argument; the shell reads
//! the VM's monotonic clock once per event. Clock readings of different VMs
//! are never compared: only durations cross the network, and
//! [`CLOCK_DRIFT_PER_MILLE`] bounds how far two clocks may disagree about a
//! duration.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::{Millis, with_drift};
//!
//! let start = Millis(1_000);
//! assert_eq!(start.plus(500), Millis(1_500));
//! assert_eq!(start.plus(500).since(start), 500);
//! assert_eq!(with_drift(2_000), 2_020);
//! ```

use serde::{Deserialize, Serialize};

/// An instant on the VM's monotonic clock, in milliseconds. Only instants read
/// on the same VM can be compared.
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
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The instant `span_ms` milliseconds later, saturating at the largest
    /// instant.
    #[must_use]
    pub fn plus(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Interval between a member's heartbeats while its leader answers.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Term of a member's lease. It spans three and a half heartbeats, so that two
/// lost datagrams in a row do not end a lease.
pub const LEASE_TERM_MS: u64 = 1_750;

/// Interval between a leader's promise requests to each standby.
pub const PROMISE_INTERVAL_MS: u64 = 200;

/// Term of a standby's promise not to take over, counted by the leader from
/// its sending of the request.
pub const PROMISE_TERM_MS: u64 = 900;

/// Time without a promise after which a leader replaces a standby.
pub const STANDBY_TIMEOUT_MS: u64 = 500;

/// Time for which a new leader collects members' claims of held shards before
/// it grants shards to others. Long enough for members to notice the loss of
/// the old leader and to report to the standbys.
pub const CLAIM_WINDOW_MS: u64 = 400;

/// Interval at which the shell delivers `Event::Tick`.
pub const TICK_INTERVAL_MS: u64 = 25;

/// Largest relative difference between the rates of two VMs' clocks.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// Allowance for reading clocks in whole milliseconds: each end of a span is
/// rounded down by up to 1 ms.
pub const CLOCK_ROUNDING_MS: u64 = 2;

/// The longest time, on this VM's clock, that a span of `span_ms` on another
/// VM's clock can take.
///
/// # Example
///
/// ```
/// assert_eq!(lagoondyke_core::clock::with_drift(1_500), 1_515);
/// ```
#[must_use]
pub const fn with_drift(span_ms: u64) -> u64 {
    span_ms + (span_ms * CLOCK_DRIFT_PER_MILLE).div_ceil(1_000)
}
