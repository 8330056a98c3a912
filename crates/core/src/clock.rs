//! Monotonic time and the protocol's time constants.
//!
//! Each deciding function takes the present time as an argument. The shell
//! reads the VM's monotonic clock once per event. Clocks of different VMs
//! are never compared: only durations cross the network, and [`DRIFT`]
//! bounds how far two clocks may disagree about a duration.
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

/// An instant of the VM's monotonic clock, in milliseconds.
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
    /// The instant `span` milliseconds later.
    #[must_use]
    pub fn plus(self, span: u64) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Interval between a member's heartbeats, in milliseconds.
pub const HEARTBEAT: u64 = 500;

/// Term of a member's lease, in milliseconds. It spans three heartbeats and a
/// half, so that two lost datagrams in a row do not end a lease.
pub const LEASE: u64 = 1_750;

/// Interval between a leader's promise requests, in milliseconds.
pub const PROMISE_INTERVAL: u64 = 200;

/// Time for which a standby promises not to take over, in milliseconds.
pub const PROMISE: u64 = 900;

/// Silence after which a leader replaces a standby, in milliseconds.
pub const STANDBY_SILENCE: u64 = 500;

/// Time a new leader collects reports of held shards, in milliseconds. Long
/// enough for members to notice the loss and send again to the standbys.
pub const COLLECT: u64 = 400;

/// Interval at which the shell delivers `Event::Tick`, in milliseconds.
pub const TICK: u64 = 25;

/// Largest relative difference of two clocks' rates, in per mille.
pub const DRIFT: u64 = 10;

/// Allowance for reading clocks in whole milliseconds: the two ends of a
/// span are each rounded down by up to 1 ms.
pub const GRAIN: u64 = 2;

/// A span of another VM's clock, in milliseconds, as the longest time that
/// it can last on this VM's clock.
///
/// # Example
///
/// ```
/// assert_eq!(lagoondyke_core::clock::with_drift(1_500), 1_515);
/// ```
#[must_use]
pub const fn with_drift(span: u64) -> u64 {
    span + (span * DRIFT).div_ceil(1_000)
}
