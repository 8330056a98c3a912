//! Proposals to change a table, which one node combines into a single update.
//!
//! When upstreams are replaced or busy keys move, dozens of nodes change one
//! table within a second. If each of them updated the object, all but one
//! would get a conflict and start again. So a node proposes its changes to one
//! of its peers, which writes all proposals that it has received.
//!
//! Correctness does not depend on which peer that is, or on there being only
//! one: a proposal is valid only under the lease term of its node, and may be
//! applied late, twice or not at all.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
//! use lagoondyke_core::fleet::table::{Share, Table};
//!
//! let share = |node: &str| Share { node: node.to_owned(), slots: 1 };
//! let mut table = Table::proportional(&[share("a"), share("b")]);
//! let transfer = Transfer {
//!     first: 0,
//!     last: 9,
//!     fence: 1,
//!     to: "b".to_owned(),
//!     ..Transfer::default()
//! };
//! let node = "a".to_owned();
//! let transfers = vec![transfer];
//! let proposal =
//!     Proposal { node, term: 7, transfers, ..Proposal::default() };
//! proposal.apply(&mut table);
//! assert_eq!(table.range_at(9).node, "b");
//! assert_eq!(table.range_at(10).node, "a");
//!
//! let late = Proposal { term: 6, ..proposal };
//! let before = table.clone();
//! late.apply(&mut table);
//! assert_eq!(table, before);
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::revision::era_of;
use crate::fleet::table::{Instance, Table};

/// Age at which a proposal is dropped. Its node proposes again what is still
/// to be done.
const MAX_PROPOSAL_AGE_MS: u64 = 1_000;

/// A transfer of keys to another node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token under which the node owns the keys. The transfer is void
    /// if the range has another one by then.
    pub fence: u64,
    /// Name of the receiving node.
    pub to: String,
    /// Instance of the receiver's upstream, if known.
    #[serde(rename = "life")]
    pub instance: Option<Instance>,
    /// Handover token with which the node's upstream released the keys.
    pub handover: Option<String>,
}

/// Changes to the table of its service that a node wants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Name of the node.
    pub node: String,
    /// Lease term of the node.
    pub term: u64,
    /// Instance of its upstream, for which it claims its ranges.
    #[serde(rename = "life")]
    pub instance: Option<Instance>,
    /// Keys that the upstream has held since before the latest restore of the
    /// store. They keep their fencing tokens when the node claims its ranges.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keeps: Vec<(u16, u16)>,
    /// Keys that it transfers to other nodes.
    #[serde(rename = "gives")]
    pub transfers: Vec<Transfer>,
}

impl Proposal {
    /// Applies the changes that are valid under the node's latest term and its
    /// current ranges; ignores the rest, which is outdated.
    pub fn apply(&self, table: &mut Table) {
        let known = table.claims.get(&self.node).copied().unwrap_or(0);
        if self.term < known || era_of(self.term) != table.era {
            return;
        }
        if self.term > known {
            table.claims.insert(self.node.clone(), self.term);
        }
        if known == 0 {
            table.renew_fences(&self.node, &self.keeps);
        }
        if let Some(instance) = &self.instance {
            let late = table
                .ranges_of(&self.node)
                .flat_map(|range| &range.instance)
                .any(|other| other.started_ms > instance.started_ms);
            if self.term > known || !late {
                table.claim(&self.node, instance);
            }
        }
        // One fencing token is enough, since a proposal transfers each key at
        // most once.
        let fence = table.fence + 1;
        for transfer in &self.transfers {
            let Transfer { first, last, .. } = *transfer;
            if first > last {
                continue;
            }
            let range = table.range_at(first);
            let owned = range.node == self.node
                && range.fence == transfer.fence
                && range.last >= last;
            if !owned {
                continue;
            }
            let handover = transfer.handover.as_deref();
            let instance = transfer.instance.as_ref();
            table.assign(
                (first, last),
                fence,
                &transfer.to,
                instance,
                handover,
            );
        }
    }
}

/// Proposals of other nodes that have not been written yet, the latest of each
/// node.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingProposals {
    proposals: BTreeMap<String, (Millis, Proposal)>,
}

impl PendingProposals {
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

    /// Drops proposals that arrived up to `written_at`, when an update that
    /// has taken effect was sent.
    pub(super) fn remove_written(&mut self, written_at: Millis) {
        self.proposals.retain(|_, (at, _)| *at > written_at);
    }

    /// Drops proposals that are too old to be still wanted.
    pub(super) fn expire(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.since(at) < MAX_PROPOSAL_AGE_MS;
        self.proposals.retain(|_, (at, _)| is_recent(*at));
    }
}
