//! Revisions of the store, ordered across restores.
//!
//! A restore brings the store back from an earlier copy of itself. It then
//! issues the revisions that it has lost a second time, so a revision alone
//! does not tell which of two states is later. The *era* of the store rises
//! with each restore. A revision is therefore kept as one number that holds the
//! era in its upper bits: it compares first by era, and two objects of
//! different eras never share it.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::revision::{era_of, number_of, qualify};
//!
//! let lost = qualify(1, 700);
//! let restored = qualify(2, 650);
//! assert!(lost < restored);
//! assert_eq!((era_of(restored), number_of(restored)), (2, 650));
//! // A store without eras has plain revisions.
//! assert_eq!(qualify(0, 650), 650);
//! ```

/// Number of bits of a revision within its era. A store that accepts a
/// thousand writes a second does not use them up in 500 years.
const NUMBER_BITS: u32 = 44;

/// Highest revision within an era.
pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Highest era.
pub const MAX_ERA: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// Number of bits of a fencing token within its era. Tokens have 53 bits, see
/// [`MAX_FENCE`](crate::fleet::table::MAX_FENCE).
const FENCE_BITS: u32 = 32;

/// The revision `number` of an era; both are cut to their highest values.
#[must_use]
pub const fn qualify(era: u64, number: u64) -> u64 {
    let era = if era > MAX_ERA { MAX_ERA } else { era };
    let number = if number > MAX_NUMBER { MAX_NUMBER } else { number };
    era << NUMBER_BITS | number
}

/// The era of a revision; 0 if the store does not name eras.
#[must_use]
pub const fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The revision within its era, as the store writes it.
#[must_use]
pub const fn number_of(revision: u64) -> u64 {
    revision & MAX_NUMBER
}

/// A fencing token that is lower than all that are issued in this era and
/// higher than all that were issued in earlier ones, whether or not they are
/// still known.
///
/// # Example
///
/// ```
/// use lagoondyke_core::fleet::revision::fence_floor;
///
/// assert_eq!(fence_floor(0), 0);
/// assert!(fence_floor(2) > fence_floor(1) + 1_000_000);
/// ```
#[must_use]
pub const fn fence_floor(era: u64) -> u64 {
    let era = if era > MAX_ERA { MAX_ERA } else { era };
    era << FENCE_BITS
}
