//! The table of a service's key ranges.
//!
//! Keys are the numbers 0 to 65,535. Ranges cover all of them without gaps
//! and without overlap. A range belongs to one node, and to one life of the
//! upstream beside it.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::table::{Share, Table};
//!
//! let share = |node: &str, slots| Share { node: node.to_owned(), slots };
//! let table = Table::even(&[share("a", 1), share("b", 3)]);
//! assert_eq!(table.at(16_383).node, "a");
//! assert_eq!(table.at(16_384).node, "b");
//! table.check().unwrap();
//! ```

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// The highest key.
pub const KEY_MAX: u16 = u16::MAX;

/// One life of an upstream: from its start to its end.
#[derive(
    Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct Life {
    /// The upstream's name, which a later life may use again.
    pub id: String,
    /// When it started, in milliseconds of the upstream's time of day.
    pub born: u64,
}

/// A range of keys and its owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token; higher than that of each earlier owner of a key.
    pub fence: u64,
    /// Node beside the owner.
    pub node: String,
    /// The owning life; none until the node has claimed the range.
    pub life: Option<Life>,
    /// Token with which the earlier owner released the range.
    pub handover: Option<String>,
}

/// A node and what it can take, for a first division of the keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The node.
    pub node: String,
    /// Requests that its upstream runs at once.
    pub slots: u16,
}

/// All ranges of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Columns", into = "Columns")]
pub struct Table {
    /// The highest fencing token given so far.
    pub fence: u64,
    /// The term under which each node last claimed its ranges: the revision
    /// of the record with which it gained its lease.
    pub claims: BTreeMap<String, u64>,
    /// Ranges in the order of their keys.
    pub ranges: Vec<Range>,
}

/// A table as it is stored. Each change is sent to all nodes, and a large
/// service has hundreds of ranges: owners are listed once, and the last key
/// of a range follows from the next range.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Columns {
    fence: u64,
    claims: BTreeMap<String, u64>,
    /// Node, name of the owning life, and when that started.
    owners: Vec<(String, Option<(String, u64)>)>,
    /// First key, fencing token, and place of the owner.
    ranges: Vec<(u16, u64, usize)>,
    /// Place of a range, and token of its release.
    handovers: Vec<(usize, String)>,
}

impl From<Table> for Columns {
    fn from(table: Table) -> Self {
        let mut owners: Vec<(String, Option<(String, u64)>)> = Vec::new();
        let mut places = HashMap::new();
        let mut ranges = Vec::with_capacity(table.ranges.len());
        let mut handovers = Vec::new();
        for (index, range) in table.ranges.into_iter().enumerate() {
            let life = range.life.map(|life| (life.id, life.born));
            let owner = (range.node, life);
            let place = places.entry(owner.clone()).or_insert_with(|| {
                owners.push(owner);
                owners.len() - 1
            });
            ranges.push((range.first, range.fence, *place));
            handovers.extend(range.handover.map(|token| (index, token)));
        }
        let Table { fence, claims, .. } = table;
        Self { fence, claims, owners, ranges, handovers }
    }
}

impl From<Columns> for Table {
    /// Ranges without an owner are left out, so that [`Table::check`] finds
    /// them missing.
    fn from(columns: Columns) -> Self {
        let Columns { fence, claims, owners, ranges, handovers } = columns;
        let mut tokens: HashMap<usize, String> =
            handovers.into_iter().collect();
        let mut all = Vec::with_capacity(ranges.len());
        for (index, &(first, fence, place)) in ranges.iter().enumerate() {
            let Some((node, life)) = owners.get(place) else { continue };
            let next = ranges.get(index + 1).map_or(0, |next| next.0);
            let life = life.clone().map(|(id, born)| Life { id, born });
            all.push(Range {
                first,
                last: next.wrapping_sub(1),
                fence,
                node: node.clone(),
                life,
                handover: tokens.remove(&index),
            });
        }
        Self { fence, claims, ranges: all }
    }
}

/// Why a table cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableError {
    /// The keys from here on are missing or belong to two ranges.
    Coverage {
        /// The first such key.
        key: u32,
    },
    /// A range has a higher token than the table.
    Fence {
        /// The first key of the range.
        key: u16,
    },
}

impl std::fmt::Display for TableError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Coverage { key } => {
                write!(f, "key {key} does not lie in exactly one range")
            }
            Self::Fence { key } => {
                write!(f, "the range at key {key} has a token above the last")
            }
        }
    }
}

impl std::error::Error for TableError {}

impl Range {
    /// Whether the range has keys of `first..=last`.
    #[must_use]
    pub fn meets(&self, first: u16, last: u16) -> bool {
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
    pub fn even(shares: &[Share]) -> Self {
        assert!(!shares.is_empty(), "keys need at least one node");
        let weight = |share: &Share| u64::from(share.slots.max(1));
        let total: u64 = shares.iter().map(weight).sum();
        let keys = u64::from(KEY_MAX) + 1;
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
        Self { fence: 1, claims: BTreeMap::new(), ranges }
    }

    /// Checks that each key lies in exactly one range.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), TableError> {
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
        if next == u32::from(KEY_MAX) + 1 {
            return Ok(());
        }
        Err(TableError::Coverage { key: next })
    }

    /// The range of a key.
    ///
    /// # Panics
    ///
    /// Panics if the table does not pass [`Table::check`].
    #[must_use]
    pub fn at(&self, key: u16) -> &Range {
        let after = self.ranges.partition_point(|range| range.first <= key);
        &self.ranges[after - 1]
    }

    /// The ranges of a node.
    pub fn of(&self, node: &str) -> impl Iterator<Item = &Range> {
        self.ranges.iter().filter(move |range| range.node == node)
    }

    /// Splits ranges so that `first..=last` is made of whole ranges, and
    /// returns those.
    pub fn cut(&mut self, first: u16, last: u16) -> &mut [Range] {
        self.split(first);
        if last < KEY_MAX {
            self.split(last + 1);
        }
        let begin = self.ranges.partition_point(|r| r.last < first);
        let end = self.ranges.partition_point(|r| r.first <= last);
        &mut self.ranges[begin..end]
    }

    fn split(&mut self, key: u16) {
        let place = self.ranges.partition_point(|range| range.last < key);
        let Some(range) = self.ranges.get_mut(place) else { return };
        if range.first == key {
            return;
        }
        let mut upper = range.clone();
        range.last = key - 1;
        upper.first = key;
        self.ranges.insert(place + 1, upper);
    }

    /// Joins neighbours that differ only in their keys.
    pub fn join(&mut self) {
        let mut joined: Vec<Range> = Vec::with_capacity(self.ranges.len());
        for range in self.ranges.drain(..) {
            let Some(before) = joined.last_mut() else {
                joined.push(range);
                continue;
            };
            let like = Range {
                first: before.first,
                last: before.last,
                ..range.clone()
            };
            if *before == like {
                before.last = range.last;
                continue;
            }
            joined.push(range);
        }
        self.ranges = joined;
    }

    /// Gives a node's ranges to the present life of its upstream. Ranges of
    /// an earlier life get a new token.
    pub fn claim(&mut self, node: &str, life: &Life) {
        let fence = self.fence + 1;
        let mut raised = false;
        for range in &mut self.ranges {
            if range.node != node || range.life.as_ref() == Some(life) {
                continue;
            }
            if range.life.is_some() {
                range.fence = fence;
                range.handover = None;
                raised = true;
            }
            range.life = Some(life.clone());
        }
        if raised {
            self.fence = fence;
        }
    }

    /// Gives the keys `first..=last` to `node` with a token above all that
    /// their owners had. Its upstream is in `life` if that is known.
    pub fn give(
        &mut self,
        (first, last): (u16, u16),
        fence: u64,
        node: &str,
        life: Option<&Life>,
        handover: Option<&str>,
    ) {
        self.fence = self.fence.max(fence);
        for range in self.cut(first, last) {
            range.fence = fence;
            node.clone_into(&mut range.node);
            range.life = life.cloned();
            range.handover = handover.map(str::to_owned);
        }
    }
}
