//! Changes of a table that many nodes want, combined into one update.
//!
//! Load: when upstreams are replaced or busy keys move, dozens of nodes
//! change one table within a second. If each of them updates the object, all
//! but one meet another update and start again. So a node proposes its
//! changes to one of its peers, which writes what it has gathered.
//!
//! Nothing depends on who that peer is, or on there being one of them only:
//! a proposal holds under the term of its node's lease alone, and may be
//! performed late, twice or not at all.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::combine::{Give, Proposal};
//! use lagoondyke_core::fleet::table::{Share, Table};
//!
//! let share = |node: &str| Share { node: node.to_owned(), slots: 1 };
//! let mut table = Table::even(&[share("a"), share("b")]);
//! let give = Give {
//!     first: 0,
//!     last: 9,
//!     fence: 1,
//!     to: "b".to_owned(),
//!     ..Give::default()
//! };
//! let node = "a".to_owned();
//! let gives = vec![give];
//! let proposal = Proposal { node, term: 7, gives, ..Proposal::default() };
//! proposal.apply(&mut table);
//! assert_eq!(table.at(9).node, "b");
//! assert_eq!(table.at(10).node, "a");
//!
//! let late = Proposal { term: 6, ..proposal };
//! let before = table.clone();
//! late.apply(&mut table);
//! assert_eq!(table, before);
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::table::{Life, Table};

/// Age at which a proposal is dropped, in milliseconds. Its node proposes
/// again what is still to be done.
const PROPOSAL_AGE: u64 = 1_000;

/// Keys that a node gives to another one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Give {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Token under which the node has them.
    pub fence: u64,
    /// The receiver.
    pub to: String,
    /// The life of the receiver's upstream, if it is known.
    pub life: Option<Life>,
    /// Token with which the node's upstream released them.
    pub handover: Option<String>,
}

/// What a node wants to change of its service's table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The node.
    pub node: String,
    /// The term of its lease.
    pub term: u64,
    /// The life of its upstream, for which it claims its ranges.
    pub life: Option<Life>,
    /// What it gives away.
    pub gives: Vec<Give>,
}

impl Proposal {
    /// Applies what holds under the node's latest term and its present
    /// ranges; the rest is out of date.
    pub fn apply(&self, table: &mut Table) {
        let known = table.claims.get(&self.node).copied().unwrap_or(0);
        if self.term < known {
            return;
        }
        if self.term > known {
            table.claims.insert(self.node.clone(), self.term);
        }
        if let Some(life) = &self.life {
            let late = table
                .of(&self.node)
                .flat_map(|range| &range.life)
                .any(|other| other.born > life.born);
            if self.term > known || !late {
                table.claim(&self.node, life);
            }
        }
        // One token will do, since no key is given twice by one proposal.
        let fence = table.fence + 1;
        for give in &self.gives {
            let Give { first, last, .. } = *give;
            if first > last {
                continue;
            }
            let range = table.at(first);
            let owned = range.node == self.node
                && range.fence == give.fence
                && range.last >= last;
            if !owned {
                continue;
            }
            let handover = give.handover.as_deref();
            let life = give.life.as_ref();
            table.give((first, last), fence, &give.to, life, handover);
        }
    }
}

/// Proposals of other nodes that wait to be written, the latest of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Gathered {
    proposals: BTreeMap<String, (Millis, Proposal)>,
}

impl Gathered {
    pub(super) fn is_empty(&self) -> bool {
        self.proposals.is_empty()
    }

    pub(super) fn add(&mut self, proposal: Proposal, now: Millis) {
        self.proposals.insert(proposal.node.clone(), (now, proposal));
    }

    /// Applies all proposals.
    pub(super) fn apply(&self, table: &mut Table) {
        for (_, proposal) in self.proposals.values() {
            proposal.apply(table);
        }
    }

    /// Drops what arrived up to `written`, the time of an update that has
    /// taken effect.
    pub(super) fn written(&mut self, written: Millis) {
        self.proposals.retain(|_, (at, _)| *at > written);
    }

    /// Drops what is too old to be still wanted.
    pub(super) fn expire(&mut self, now: Millis) {
        let young = |at: Millis| now.since(at) < PROPOSAL_AGE;
        self.proposals.retain(|_, (at, _)| young(*at));
    }
}
