//! Table of a service's key ranges and their owners.
//!
//! Keys are the numbers 0 to 65,535. The ranges cover all keys without gaps or
//! overlap. A range belongs to one node, and to one instance of that node's
//! local upstream.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::table::{Share, Table};
//!
//! let share = |node: &str, slots| Share { node: node.to_owned(), slots };
//! let table = Table::proportional(&[share("a", 1), share("b", 3)]);
//! assert_eq!(table.range_at(16_383).node, "a");
//! assert_eq!(table.range_at(16_384).node, "b");
//! table.check().unwrap();
//! ```

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::fleet::balance::subtract;
use crate::fleet::revision::{fence_floor, number_of, qualify};

/// The highest key.
pub const MAX_KEY: u16 = u16::MAX;

/// Highest fencing token. Upstreams read tokens from JSON, whose numbers are
/// exact up to here in most languages.
pub const MAX_FENCE: u64 = (1 << 53) - 1;

/// How far the fencing tokens rise if a table is rebuilt twice in one era.
const REBUILD_FENCE_STEP: u64 = 1 << 20;

/// One run of an upstream process, from start to exit.
#[derive(
    Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the upstream, which a later instance may reuse.
    pub id: String,
    /// Start time by the upstream's wall clock. Orders the instances of one
    /// node.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// A range of keys and its owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token; higher than those of all earlier owners of its keys.
    pub fence: u64,
    /// Name of the owning node.
    pub node: String,
    /// Owning instance; `None` until the node has claimed the range.
    pub instance: Option<Instance>,
    /// Handover token that the previous owner's upstream returned when it
    /// released the range.
    pub handover: Option<String>,
}

/// A node and its weight in the initial division of the keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Name of the node.
    pub node: String,
    /// Concurrency limit of its upstream, used as the weight.
    pub slots: u16,
}

/// All key ranges of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Columns", into = "Columns")]
pub struct Table {
    /// Era of the store for which the table is valid. In a later one it is
    /// only the state from before a restore, until a node rebuilds it.
    pub era: u64,
    /// Whether ranges may still be held under grants that a restore of the
    /// store has made unknown, so that none may change hands.
    pub unsettled: bool,
    /// Highest fencing token issued so far.
    pub fence: u64,
    /// Lease term under which each node last claimed its ranges: the record
    /// revision at which it acquired its lease, in the table's era.
    pub claims: BTreeMap<String, u64>,
    /// Ranges in key order.
    pub ranges: Vec<Range>,
}

/// Stored form of a table. Each change is sent to all nodes, and a large
/// service has hundreds of ranges, so each owner is listed once and the last
/// key of a range is derived from the next range.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Columns {
    #[serde(default, skip_serializing_if = "is_zero")]
    era: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    unsettled: bool,
    fence: u64,
    claims: BTreeMap<String, u64>,
    /// Node, and name and start time of the owning instance.
    owners: Vec<(String, Option<(String, u64)>)>,
    /// First key, fencing token, and index of the owner.
    ranges: Vec<(u16, u64, usize)>,
    /// Index of a range, and its handover token.
    handovers: Vec<(usize, String)>,
}

/// Whether the field is left out: the store does not name eras.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(era: &u64) -> bool {
    *era == 0
}

impl From<Table> for Columns {
    fn from(table: Table) -> Self {
        let mut owners: Vec<(String, Option<(String, u64)>)> = Vec::new();
        let mut owner_indexes = HashMap::new();
        let mut ranges = Vec::with_capacity(table.ranges.len());
        let mut handovers = Vec::new();
        for (index, range) in table.ranges.into_iter().enumerate() {
            let instance = range
                .instance
                .map(|instance| (instance.id, instance.started_ms));
            let owner = (range.node, instance);
            let owner_index =
                owner_indexes.entry(owner.clone()).or_insert_with(|| {
                    owners.push(owner);
                    owners.len() - 1
                });
            ranges.push((range.first, range.fence, *owner_index));
            handovers.extend(range.handover.map(|token| (index, token)));
        }
        let Table { era, unsettled, fence, claims, .. } = table;
        let claims = claims.into_iter();
        let claims = claims.map(|(node, term)| (node, number_of(term)));
        let claims = claims.collect();
        Self { era, unsettled, fence, claims, owners, ranges, handovers }
    }
}

impl From<Columns> for Table {
    /// Skips ranges with an invalid owner index, so that [`Table::check`]
    /// reports their keys as missing.
    fn from(columns: Columns) -> Self {
        let Columns {
            era,
            unsettled,
            fence,
            claims,
            owners,
            ranges,
            handovers,
        } = columns;
        let mut tokens: HashMap<usize, String> =
            handovers.into_iter().collect();
        let mut all = Vec::with_capacity(ranges.len());
        for (index, &(first, fence, owner)) in ranges.iter().enumerate() {
            let Some((node, instance)) = owners.get(owner) else { continue };
            let next = ranges.get(index + 1).map_or(0, |next| next.0);
            let instance = instance
                .clone()
                .map(|(id, started_ms)| Instance { id, started_ms });
            all.push(Range {
                first,
                last: next.wrapping_sub(1),
                fence,
                node: node.clone(),
                instance,
                handover: tokens.remove(&index),
            });
        }
        let claims = claims.into_iter();
        let claims = claims.map(|(node, term)| (node, qualify(era, term)));
        let claims = claims.collect();
        Self { era, unsettled, fence, claims, ranges: all }
    }
}

/// Why a table is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableError {
    /// A key is in no range or in more than one.
    Coverage {
        /// The first such key.
        key: u32,
    },
    /// A range's fencing token is above the table's highest.
    Fence {
        /// The first key of the range.
        key: u16,
    },
    /// The table's highest fencing token is above [`MAX_FENCE`], so that it
    /// may have no next one.
    FenceLimit {
        /// The table's highest fencing token.
        fence: u64,
    },
    /// The table is valid for an era that the store has not reached.
    Era {
        /// The era of the table.
        era: u64,
    },
}

impl std::fmt::Display for TableError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Coverage { key } => {
                write!(f, "key {key} does not lie in exactly one range")
            }
            Self::Fence { key } => {
                write!(
                    f,
                    "the range at key {key} has a fencing token above the \
                     table's"
                )
            }
            Self::FenceLimit { fence } => {
                write!(f, "the fencing token {fence} is too high")
            }
            Self::Era { era } => {
                write!(f, "the store has not reached the era {era}")
            }
        }
    }
}

impl std::error::Error for TableError {}

impl Range {
    /// Whether the range shares a key with `first..=last`.
    #[must_use]
    pub fn overlaps(&self, first: u16, last: u16) -> bool {
        self.first <= last && first <= self.last
    }
}

impl Table {
    /// Divides all keys among nodes in proportion to their slots.
    ///
    /// # Panics
    ///
    /// Panics if there is no node.
    #[must_use]
    pub fn proportional(shares: &[Share]) -> Self {
        assert!(!shares.is_empty(), "keys need at least one node");
        let weight = |share: &Share| u64::from(share.slots.max(1));
        let total: u64 = shares.iter().map(weight).sum();
        let keys = u64::from(MAX_KEY) + 1;
        let mut ranges = Vec::new();
        let (mut first, mut sum) = (0, 0);
        for share in shares {
            sum += weight(share);
            let end = keys * sum / total;
            if end == first {
                continue;
            }
            ranges.push(Range {
                first: first as u16,
                last: (end - 1) as u16,
                fence: 1,
                node: share.node.clone(),
                ..Range::default()
            });
            first = end;
        }
        Self { fence: 1, ranges, ..Self::default() }
    }

    /// Makes a new table valid in an era of the store.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        let floor = fence_floor(era);
        self.fence += floor;
        for range in &mut self.ranges {
            range.fence += floor;
        }
    }

    /// Makes the latest known table of an earlier era valid again after a
    /// restore of the store. Each node has to claim its ranges once more.
    pub fn rebuild(&mut self, era: u64) {
        if self.era == era {
            // A table of this era was lost, with tokens that it had issued.
            self.fence += REBUILD_FENCE_STEP;
        }
        self.era = era;
        self.unsettled = true;
        self.fence = self.fence.max(fence_floor(era));
        self.claims.clear();
    }

    /// Gives a node's ranges that come from an earlier era a new fencing token,
    /// apart from the keys `kept`, which its upstream has held ever since. The
    /// others may have had an owner meanwhile whose token is not known.
    pub fn renew_fences(&mut self, node: &str, kept: &[(u16, u16)]) {
        let floor = fence_floor(self.era);
        let old: Vec<(u16, u16)> = self
            .ranges_of(node)
            .filter(|range| range.fence < floor)
            .map(|range| (range.first, range.last))
            .collect();
        let stale = subtract(&old, kept.iter().copied());
        if stale.is_empty() {
            return;
        }
        let fence = self.fence + 1;
        self.fence = fence;
        for (first, last) in stale {
            for range in self.isolate(first, last) {
                range.fence = fence;
                range.handover = None;
            }
        }
    }

    /// Checks that each key lies in exactly one range and that no fencing
    /// token exceeds the table's, or [`MAX_FENCE`].
    ///
    /// # Errors
    ///
    /// Returns the first error in key order.
    pub fn check(&self) -> Result<(), TableError> {
        if self.fence > MAX_FENCE {
            return Err(TableError::FenceLimit { fence: self.fence });
        }
        let mut next = 0;
        for range in &self.ranges {
            let fits = u32::from(range.first) == next;
            if !fits || range.last < range.first {
                return Err(TableError::Coverage { key: next });
            }
            if range.fence > self.fence {
                return Err(TableError::Fence { key: range.first });
            }
            next = u32::from(range.last) + 1;
        }
        if next == u32::from(MAX_KEY) + 1 {
            return Ok(());
        }
        Err(TableError::Coverage { key: next })
    }

    /// Checks a table that was read in an era of the store, as
    /// [`Table::check`] does.
    ///
    /// # Errors
    ///
    /// Returns an error also if the table is of a later era.
    pub fn check_at(&self, era: u64) -> Result<(), TableError> {
        if self.era > era {
            return Err(TableError::Era { era: self.era });
        }
        self.check()
    }

    /// The range that contains `key`.
    ///
    /// # Panics
    ///
    /// Panics if the table does not pass [`Table::check`].
    #[must_use]
    pub fn range_at(&self, key: u16) -> &Range {
        let after = self.ranges.partition_point(|range| range.first <= key);
        &self.ranges[after - 1]
    }

    /// The ranges of a node.
    pub fn ranges_of(&self, node: &str) -> impl Iterator<Item = &Range> {
        self.ranges.iter().filter(move |range| range.node == node)
    }

    /// Splits ranges so that `first..=last` consists of whole ranges, and
    /// returns those.
    pub fn isolate(&mut self, first: u16, last: u16) -> &mut [Range] {
        self.split_at(first);
        if last < MAX_KEY {
            self.split_at(last + 1);
        }
        let begin = self.ranges.partition_point(|r| r.last < first);
        let end = self.ranges.partition_point(|r| r.first <= last);
        &mut self.ranges[begin..end]
    }

    fn split_at(&mut self, key: u16) {
        let index = self.ranges.partition_point(|range| range.last < key);
        let Some(range) = self.ranges.get_mut(index) else { return };
        if range.first == key {
            return;
        }
        let mut upper = range.clone();
        range.last = key - 1;
        upper.first = key;
        self.ranges.insert(index + 1, upper);
    }

    /// Merges adjacent ranges that differ only in their keys.
    pub fn merge_adjacent(&mut self) {
        let mut merged: Vec<Range> = Vec::with_capacity(self.ranges.len());
        for range in self.ranges.drain(..) {
            let Some(before) = merged.last_mut() else {
                merged.push(range);
                continue;
            };
            let widened = Range {
                first: before.first,
                last: before.last,
                ..range.clone()
            };
            if *before == widened {
                before.last = range.last;
                continue;
            }
            merged.push(range);
        }
        self.ranges = merged;
    }

    /// Assigns a node's ranges to the current instance of its upstream. Ranges
    /// of an earlier instance get a new fencing token.
    pub fn claim(&mut self, node: &str, instance: &Instance) {
        let fence = self.fence + 1;
        let mut raised = false;
        for range in &mut self.ranges {
            if range.node != node || range.instance.as_ref() == Some(instance)
            {
                continue;
            }
            if range.instance.is_some() {
                range.fence = fence;
                range.handover = None;
                raised = true;
            }
            range.instance = Some(instance.clone());
        }
        if raised {
            self.fence = fence;
        }
    }

    /// Assigns the keys `first..=last` to `node`. `fence` must be higher than
    /// the tokens of all their earlier owners. `instance` is the node's
    /// upstream, if known.
    pub fn assign(
        &mut self,
        (first, last): (u16, u16),
        fence: u64,
        node: &str,
        instance: Option<&Instance>,
        handover: Option<&str>,
    ) {
        self.fence = self.fence.max(fence);
        for range in self.isolate(first, last) {
            range.fence = fence;
            node.clone_into(&mut range.node);
            range.instance = instance.cloned();
            range.handover = handover.map(str::to_owned);
        }
    }
}
