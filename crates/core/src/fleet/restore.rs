//! What a node does after a restore of the store.
//!
//! A restore brings the store back from an earlier copy. Leases, tables and
//! exits that were written after the copy are gone, and their revisions are
//! issued again. A node notices from the *era* in the store's answers, or from
//! a table that a peer has rebuilt.
//!
//! **Grants go on.** A lease that the store has confirmed holds until its end,
//! whether or not the store still knows it. A node keeps what it granted under
//! such a lease as its [`Inherited`] right, and acquires a lease and claims its
//! ranges in the new era meanwhile.
//!
//! **Nothing changes hands** until all leases of the era before have ended: for
//! [`SETTLE_MS`] after a node has noticed the restore it takes over, transfers
//! and claims nothing that it did not have. A node that is silent may hold
//! ranges that no other node knows of.
//!
//! **The table is rebuilt** from the latest one that a live node of the service
//! knows. Tokens of the new era are above all those of earlier ones. A range
//! gets a new one unless its upstream has held it without a break, since the
//! copy need not show its latest owner.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Item, StoreOutcome};
use crate::fleet::gossip::Peer;
use crate::fleet::lease::{LEASE_DURATION_MS, extend_for_drift};
use crate::fleet::proposal::PendingProposals;
use crate::fleet::reducer::Fleet;
use crate::fleet::revision::era_of;
use crate::fleet::rules;
use crate::fleet::table::{Range, Table};

/// Time from when a node notices a restore until all leases that the store had
/// confirmed before it have ended, by any clock.
pub(super) const SETTLE_MS: u64 = extend_for_drift(LEASE_DURATION_MS);

/// Time from when a node notices a restore until it rebuilds a table. Meanwhile
/// gossip shows tables that are later than its own, and it fetches them. In a
/// large fleet, whose gossip is slower, a change just before the restore may be
/// missed, which costs time but not safety.
const REBUILD_DELAY_MS: u64 = 650;

/// Delay per live node that precedes this one by name before it rebuilds a
/// table, so that normally only one node does.
const REBUILD_RANK_DELAY_MS: u64 = 400;

/// What the node may grant although no lease of the present era confirms it.
#[derive(Clone, Debug, Default)]
pub(super) struct Inherited {
    /// When the lease of the era before ends.
    until: Millis,
    /// What the upstream was granted when the node noticed the restore.
    ranges: Vec<Range>,
}

/// What the node knows of the store's eras.
#[derive(Clone, Debug, Default)]
pub(super) struct Restore {
    /// The latest era; `None` before the first answer of the store.
    pub(super) era: Option<u64>,
    /// When this process learned of it.
    since: Millis,
    inherited: Option<Inherited>,
    /// Revision of each service's table in the store in this era, also of one
    /// that is not in force.
    stored: BTreeMap<String, u64>,
}

impl Restore {
    /// The latest known era; 0 if there is none.
    pub(super) fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Whether all leases of earlier eras have ended.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        now.since(self.since) >= SETTLE_MS
    }

    /// Records the revision at which the store holds a service's table.
    pub(super) fn record_stored(&mut self, service: &str, revision: u64) {
        if era_of(revision) != self.era() {
            return;
        }
        let stored = self.stored.entry(service.to_owned()).or_insert(0);
        *stored = (*stored).max(revision);
    }

    /// Revision at which the store holds a service's table; 0 if it is not
    /// known to hold one.
    pub(super) fn stored(&self, service: &str) -> u64 {
        self.stored.get(service).copied().unwrap_or(0)
    }

    /// The keys that the upstream has held since before the restore.
    pub(super) fn kept_keys(&self) -> Vec<(u16, u16)> {
        let ranges = self.inherited.iter().flat_map(|i| &i.ranges);
        ranges.map(|range| (range.first, range.last)).collect()
    }
}

impl Fleet {
    /// Applies the era in an answer of the store. Returns `false` if the answer
    /// is from before a restore that is known already, so that it says nothing
    /// of the present state.
    pub(super) fn accepts_era(
        &mut self,
        outcome: &StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let revision = match outcome {
            StoreOutcome::Listed { revision, .. }
            | StoreOutcome::Changed { revision, .. }
            | StoreOutcome::Done(Item { revision, .. })
            | StoreOutcome::Conflict(Some(Item { revision, .. })) => *revision,
            _ => return true,
        };
        let era = era_of(revision);
        self.observe_era(era, now, out);
        era == self.restore.era()
    }

    /// Notices a restore of the store if `era` is later than the known one.
    pub(super) fn observe_era(
        &mut self,
        era: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let known = self.restore.era;
        if known.is_some_and(|known| era <= known) {
            return;
        }
        if known.is_some() {
            self.begin_era(now);
            out.push(Effect::Notice(Notice::Restored { era }));
        }
        self.restore.era = Some(era);
        self.restore.since = now;
    }

    /// Drops what was known of the store's state, but for what the node itself
    /// has to write again.
    fn begin_era(&mut self, now: Millis) {
        let until = now.plus(self.right_ms(now));
        let ranges = self.grantable_ranges(now).unwrap_or_default();
        self.restore.inherited = Some(Inherited { until, ranges });
        self.restore.stored.clear();
        for feed in &mut self.feeds {
            feed.begin_era(now);
        }
        self.domains_kept.clone_from(&self.domains_out);
        self.pending_proposals = PendingProposals::default();
        self.term = 0;
        self.lease.expire();
        self.renewal.recorded_leaving = None;
        self.renewal.stored_leaving = None;
        self.renewal.failures = 0;
        self.gossip_due = now;
    }

    /// Whether no range of the node's service may be held under a lease of an
    /// earlier era, so that ranges may change hands.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        let Some(stored) = self.tables.get(&self.settings.service) else {
            return false;
        };
        let table = &stored.table;
        table.era == self.restore.era()
            && (!table.unsettled || self.restore.is_settled(now))
    }

    /// Whether this node is to record in the table that it is settled. Others
    /// have seen more of the era than a node that has just started.
    pub(super) fn may_settle(&self, now: Millis) -> bool {
        let delay_ms = SETTLE_MS + REBUILD_RANK_DELAY_MS * self.rank(now);
        now.since(self.restore.since) >= delay_ms
    }

    /// Time for which the node may grant ranges, in milliseconds: under its
    /// claim in the table, or under what it inherited.
    pub(super) fn right_ms(&self, now: Millis) -> u64 {
        let lease_ms = self.lease.remaining_ms(now);
        if rules::may_grant(self.claimed_term(), self.term, lease_ms) {
            return lease_ms;
        }
        let inherited = self.restore.inherited.as_ref();
        inherited.map_or(0, |inherited| inherited.until.since(now))
    }

    /// The ranges of this node that it may grant, also to a later instance of
    /// its upstream; `None` while it may grant none.
    pub(super) fn owned_ranges(&self, now: Millis) -> Option<Vec<Range>> {
        if self.right_ms(now) == 0 {
            return None;
        }
        let inherited = self.restore.inherited.as_ref();
        if !self.is_claimed() {
            return inherited.map(|inherited| inherited.ranges.clone());
        }
        let table = Rc::clone(&self.tables.get(&self.settings.service)?.table);
        let own = table.ranges_of(&self.settings.node);
        if self.is_settled(now) {
            return Some(own.cloned().collect());
        }
        // Without what an earlier process knew, the upstream's keys are
        // neither renewed nor taken away.
        let inherited = inherited?;
        let mut owned = Vec::new();
        for range in own {
            for kept in &inherited.ranges {
                let first = range.first.max(kept.first);
                let last = range.last.min(kept.last);
                if first > last {
                    continue;
                }
                owned.push(Range { first, last, ..range.clone() });
            }
        }
        Some(owned)
    }

    /// Whether the store holds no table of the node's service that is in force,
    /// although this node knows one.
    pub(super) fn is_table_lost(&self) -> bool {
        let service = &self.settings.service;
        let Some(known) = self.tables.get(service) else { return false };
        known.table.era < self.restore.era()
            || self.restore.stored(service) > known.revision
    }

    /// The latest known table, made valid in the present era; `None` while
    /// another node is to rebuild it, or may know a later one.
    pub(super) fn rebuilt_table(&self, now: Millis) -> Option<Table> {
        let service = &self.settings.service;
        let known = self.tables.get(service)?;
        let wait_ms =
            REBUILD_DELAY_MS + REBUILD_RANK_DELAY_MS * self.rank(now);
        if now.since(self.restore.since) < wait_ms {
            return None;
        }
        // A peer that does not deliver its table is waited for until it can
        // grant nothing under it.
        let era = self.restore.era();
        let is_settled = self.restore.is_settled(now);
        let awaits = |node: &str, peer: &Peer| {
            let is_present = era_of(peer.gossip.table) == era;
            self.knows_later_table(peer)
                && (is_present || !is_settled)
                && self.directory.is_live(node, now)
        };
        if self.directory.iter().any(|(node, peer)| awaits(node, peer)) {
            return None;
        }
        let mut table = Table::clone(&known.table);
        table.rebuild(era);
        Some(table)
    }

    /// Whether a live node knows a later table of this node's service.
    pub(super) fn is_table_behind(&self, now: Millis) -> bool {
        let mut peers = self.directory.iter();
        peers.any(|(node, peer)| {
            self.knows_later_table(peer) && self.directory.is_live(node, now)
        })
    }

    /// Whether a node knows a later table of this node's service.
    pub(super) fn knows_later_table(&self, peer: &Peer) -> bool {
        peer.gossip.service == self.settings.service
            && peer.gossip.table > self.own_table_revision()
    }

    /// Revision of the latest known table of this node's service; 0 if there
    /// is none.
    pub(super) fn own_table_revision(&self) -> u64 {
        let known = self.tables.get(&self.settings.service);
        known.map_or(0, |known| known.revision)
    }

    /// Drops what was kept from before a restore once it has no effect any more:
    /// leases have ended, and the operator has had the time to write its
    /// changes again.
    pub(super) fn end_restore(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.restore.is_settled(now) {
            return;
        }
        self.restore.inherited = None;
        if self.domains_kept.is_empty() {
            return;
        }
        self.domains_kept.clear();
        let (names, revision) =
            (self.domains_listed.clone(), self.domains_checked);
        self.apply_domains(names, revision, now, out);
    }
}
