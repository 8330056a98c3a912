//! Safety rules that guarantee a single owner per key, as pure functions. Both
//! the reducer and the model checker call them.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::rules::{
//!     Revocation, may_grant, may_take_over,
//! };
//!
//! // A node that restarted grants nothing until it has claimed its ranges.
//! assert!(!may_grant(Some(5), 9, 6_000));
//! assert!(may_grant(Some(9), 9, 6_000));
//!
//! let revocation = Revocation { ends: Millis(700), term: 8 };
//! assert!(!may_take_over(5, revocation, Millis(699)));
//! assert!(may_take_over(5, revocation, Millis(700)));
//! assert!(!may_take_over(9, revocation, Millis(700)), "it claimed again");
//! ```

use crate::clock::Millis;
use crate::fleet::lease::{extend_for_drift, shorten_for_drift};

/// A lease that another node has revoked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Revocation {
    /// When the lease has expired at the latest.
    pub ends: Millis,
    /// The node can claim ranges again only under a term of at least this
    /// value.
    pub term: u64,
}

/// Whether a node may grant its ranges: its lease is valid for another
/// `remaining_ms`, and the table shows its claim under the current `term`, so
/// that no earlier takeover can still succeed.
#[must_use]
pub fn may_grant(claim: Option<u64>, term: u64, remaining_ms: u64) -> bool {
    remaining_ms > 0 && term > 0 && claim == Some(term)
}

/// Duration of a grant, at most `longest_ms`. It ends before the lease does
/// even if the two clocks run at different rates.
#[must_use]
pub fn grant_duration_ms(remaining_ms: u64, longest_ms: u64) -> u64 {
    shorten_for_drift(shorten_for_drift(remaining_ms)).min(longest_ms)
}

/// Duration of a grant that is sent in a call, at most `longest_ms`. Its time
/// counts from when the call arrives, which is up to `arrival_ms` from now,
/// however late the upstream applies it.
#[must_use]
pub fn call_duration_ms(
    remaining_ms: u64,
    arrival_ms: u64,
    longest_ms: u64,
) -> u64 {
    let remaining_ms = remaining_ms.saturating_sub(arrival_ms);
    grant_duration_ms(remaining_ms, longest_ms)
}

/// Longest time from now for which a call that grants keys for `hold_ms` can
/// have the upstream hold them, whether or not it is answered.
#[must_use]
pub const fn call_effect_ms(hold_ms: u64, arrival_ms: u64) -> u64 {
    arrival_ms + extend_for_drift(hold_ms)
}

/// Whether the ranges of a lost node may be reassigned. `claim` is the term of
/// its claim in the table; 0 if there is none.
#[must_use]
pub fn may_take_over(claim: u64, revocation: Revocation, now: Millis) -> bool {
    now >= revocation.ends && claim < revocation.term
}
