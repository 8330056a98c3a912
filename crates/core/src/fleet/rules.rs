//! The rules on which one owner per key rests, as pure functions. The
//! reducer and the model check call them.
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
use crate::fleet::lease::shortened;

/// What is known of a revoked lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Revocation {
    /// When the right has surely ended.
    pub ends: Millis,
    /// The node claims ranges again only under a term from here on.
    pub term: u64,
}

/// Whether a node may grant its ranges: its lease lasts for `left` ms more,
/// and the table shows its claim under the present `term`, so that no
/// takeover from before can succeed any more.
#[must_use]
pub fn may_grant(claim: Option<u64>, term: u64, left: u64) -> bool {
    left > 0 && term > 0 && claim == Some(term)
}

/// The term of a grant in milliseconds: it ends with the lease even if both
/// clocks run at different rates.
#[must_use]
pub fn grant_term(left: u64, longest: u64) -> u64 {
    shortened(shortened(left)).min(longest)
}

/// Whether the ranges of a lost node may be given away, where the table
/// shows its `claim`; 0 if it shows none.
#[must_use]
pub fn may_take_over(claim: u64, revocation: Revocation, now: Millis) -> bool {
    now >= revocation.ends && claim < revocation.term
}
