//! Changes to the table of this node's service.
//!
//! The node compares the table with its own state, and proposes changes to the
//! peer that combines the changes of all nodes. If the node is that peer
//! itself, or the peer does not act, it writes the changes as one conditional
//! update. On a conflict it starts again from the new table.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, ObjectKind, StoreOutcome, Value};
use crate::fleet::lease::MIN_PEER_LEASE_MS;
use crate::fleet::proposal::Proposal;
use crate::fleet::reducer::Fleet;
use crate::fleet::table::{Instance, Share, Table};

/// Delay after a failed update.
const EDIT_RETRY_MS: u64 = 250;

/// Process age from which the first node of a service creates its table even
/// though some nodes have no upstream yet.
const CREATE_LATEST_MS: u64 = 4_000;

/// Process age before which no table is created: by then every node has been
/// heard of.
const CREATE_EARLIEST_MS: u64 = 2_500;

/// Upper bound of the random delay after a conflicting update. Nodes that
/// collided once then do not collide again.
const MAX_CONFLICT_PAUSE_MS: u64 = 60;

/// Shortest interval between two updates by the node that combines changes.
/// Each update is sent to all nodes.
const MIN_COMBINE_INTERVAL_MS: u64 = 100;

/// Delay before a node repeats a proposal that the table does not show yet:
/// the interval before the update, the update itself, and its distribution.
const PROPOSAL_RETRY_MS: u64 = 150;

/// Time after which a node proposes its changes to the next peer.
const PROPOSAL_TIMEOUT_MS: u64 = 350;

/// Number of peers that a node proposes its changes to before it writes them
/// itself.
const PROPOSAL_PEER_COUNT: u64 = 2;

/// State of changing the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edit {
    pending: bool,
    due: Millis,
    /// When the latest update was sent.
    sent: Millis,
    /// When this node first proposed its outstanding changes to a peer.
    proposed: Option<Millis>,
}

impl Edit {
    pub(super) fn new(now: Millis) -> Self {
        Self { pending: false, due: now, sent: Millis(0), proposed: None }
    }
}

impl Fleet {
    /// Writes or proposes the pending changes to the table of this node's
    /// service.
    pub(super) fn reconcile(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.edit.pending || now < self.edit.due {
            return;
        }
        let service = self.settings.service.clone();
        let keyed = self.config.as_ref().is_some_and(|c| c.is_keyed(&service));
        if !keyed
            || !self.are_tables_current()
            || self.lease.remaining_ms(now) == 0
        {
            return;
        }
        let Some(stored) = self.tables.get(&service) else {
            return self.create_table(service, now, out);
        };
        let (revision, old) = (stored.revision, Rc::clone(&stored.table));
        self.pending_proposals.expire(now);
        if self.is_table_lost() {
            return self.restore_table(service, now, out);
        }
        let own = self.proposal(&old, now, out);
        if own.is_none() {
            self.edit.proposed = None;
        }
        let takes_over = self.is_claimed() && self.any_revoked(now);
        let settles = old.unsettled && self.may_settle(now);
        if let Some(own) = &own
            && !takes_over
            && self.propose(own, now, out)
        {
            return;
        }
        if own.is_none()
            && !takes_over
            && !settles
            && self.pending_proposals.is_empty()
        {
            return;
        }
        let mut table = Table::clone(&old);
        let mut reasons = Vec::new();
        if settles {
            table.unsettled = false;
            reasons.push("all earlier leases have ended");
        }
        if !self.pending_proposals.is_empty() {
            self.pending_proposals.apply(&mut table);
            reasons.push("changes of other nodes");
        }
        if let Some(own) = own {
            own.apply(&mut table);
            reasons.push("own changes");
        }
        if takes_over {
            self.take_over(&mut table, now, &mut reasons);
        }
        table.merge_adjacent();
        if table == *old {
            self.pending_proposals.remove_written(now);
            return;
        }
        self.edit.pending = true;
        self.edit.sent = now;
        let reason = reasons.join(", ");
        update(service, revision, table, reason, out);
    }

    /// The changes that this node wants: to claim its ranges, and to transfer
    /// ranges that its upstream has released.
    fn proposal(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<Proposal> {
        let instance = self.upstream.instance().cloned();
        let node = self.settings.node.clone();
        let claims = !self.is_claimed()
            || instance.is_some()
                && table
                    .ranges_of(&node)
                    .any(|range| range.instance != instance);
        let mut transfers = Vec::new();
        if self.is_claimed() && self.is_settled(now) {
            self.plan_drain(table, now, out);
            transfers = self.ready_transfers(table, now);
        }
        if !claims && transfers.is_empty() {
            return None;
        }
        let keeps = self.restore.kept_keys();
        Some(Proposal { node, term: self.term, instance, keeps, transfers })
    }

    /// Writes the latest known table again after a restore of the store, with
    /// the claims that are known already.
    fn restore_table(
        &mut self,
        service: String,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut table) = self.rebuilt_table(now) else { return };
        self.pending_proposals.apply(&mut table);
        if let Some(own) = self.proposal(&table, now, out) {
            own.apply(&mut table);
        }
        table.merge_adjacent();
        self.edit.pending = true;
        self.edit.sent = now;
        let expect = self.restore.stored(&service);
        let reason = "rebuilt after a restore of the store".to_owned();
        update(service, expect, table, reason, out);
    }

    /// Proposes this node's changes to the peer that combines them; `false` if
    /// this node is to write them itself.
    fn propose(
        &mut self,
        own: &Proposal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let since = *self.edit.proposed.get_or_insert(now);
        let tried = now.since(since) / PROPOSAL_TIMEOUT_MS;
        if tried >= PROPOSAL_PEER_COUNT {
            return false;
        }
        let Some(to) = self.combiner(tried as usize, now) else {
            return false;
        };
        self.edit.due = now.plus(PROPOSAL_RETRY_MS);
        out.push(Effect::Notice(Notice::Proposed {
            service: self.settings.service.clone(),
            to,
            term: own.term,
            ranges: own.transfers.len(),
        }));
        let proposal = Box::new(own.clone());
        out.push(Effect::Propose { to, proposal });
        true
    }

    /// The peer that combines the changes of the service's nodes: the first by
    /// name, or the one `position` positions after it. `None` if that is this
    /// node.
    fn combiner(&self, position: usize, now: Millis) -> Option<SocketAddr> {
        let own = self.settings.node.as_str();
        let mut nodes = self.directory.iter().filter(|(node, peer)| {
            let fresh = peer
                .lease
                .is_some_and(|l| l.ends.since(now) >= MIN_PEER_LEASE_MS);
            peer.gossip.service == self.settings.service
                && !peer.gossip.leaving
                && fresh
                && self.directory.is_live(node, now)
        });
        let (node, peer) = nodes.nth(position)?;
        (node < own).then(|| peer.request_addr())
    }

    /// Handles changes that another node proposes.
    pub(super) fn on_proposal(
        &mut self,
        proposal: Proposal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.pending_proposals.add(proposal, now);
        self.reconcile(now, out);
    }

    /// Term of this node's claim in the table.
    pub(super) fn claimed_term(&self) -> Option<u64> {
        let stored = self.tables.get(&self.settings.service)?;
        stored.table.claims.get(&self.settings.node).copied()
    }

    /// Whether the table shows this node's claim under its current term.
    pub(super) fn is_claimed(&self) -> bool {
        self.term > 0 && self.claimed_term() == Some(self.term)
    }

    /// Handles the outcome of a table update.
    pub(super) fn on_edit_done(
        &mut self,
        service: &str,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.edit.pending = false;
        self.edit.due = now;
        match outcome {
            StoreOutcome::Done(item) => {
                self.pending_proposals.remove_written(self.edit.sent);
                self.edit.due = self.edit.sent.plus(MIN_COMBINE_INTERVAL_MS);
                self.apply_item(item, now, out);
            }
            StoreOutcome::Conflict(Some(item)) => {
                self.apply_item(item, now, out);
                let pause = self.random.random_range(0..MAX_CONFLICT_PAUSE_MS);
                self.edit.due = now.plus(pause);
            }
            // An update without an answer may still take effect later. Then
            // the condition of the next one fails.
            _ => self.edit.due = now.plus(EDIT_RETRY_MS),
        }
        let stored = self.tables.contains_key(service);
        if stored {
            self.reconcile(now, out);
        }
        self.on_owners_changed(now, out);
    }

    /// Creates the table of a service that has none.
    fn create_table(
        &mut self,
        service: String,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let age = now.since(self.started);
        if age < CREATE_EARLIEST_MS || !self.upstream.is_ready() {
            return;
        }
        // The store may have been restored from a copy without the table.
        if self.is_table_behind(now) {
            return;
        }
        let node = &self.settings.node;
        let mut shares =
            vec![Share { node: node.clone(), slots: self.upstream.slots() }];
        let mut waiting = false;
        for (name, peer) in self.directory.iter() {
            let live = self.directory.is_live(name, now);
            if peer.gossip.service != service || !live {
                continue;
            }
            if peer.gossip.instance.is_none() {
                waiting = true;
                continue;
            }
            let slots = peer.gossip.slots;
            shares.push(Share { node: name.to_owned(), slots });
        }
        shares.sort_by(|a, b| a.node.cmp(&b.node));
        let first = shares[0].node == *node;
        if !first || waiting && age < CREATE_LATEST_MS {
            return;
        }
        let mut table = Table::proportional(&shares);
        table.begin_era(self.restore.era());
        for range in &mut table.ranges {
            range.instance = self.instance_of(&range.node);
        }
        table.claims.insert(self.settings.node.clone(), self.term);
        self.edit.pending = true;
        self.edit.sent = now;
        let reason = "initial division of keys".to_owned();
        update(service, 0, table, reason, out);
    }

    pub(super) fn instance_of(&self, node: &str) -> Option<Instance> {
        if node == self.settings.node {
            return self.upstream.instance().cloned();
        }
        self.directory.get(node)?.gossip.instance.clone()
    }
}

/// Emits an update of a service's table, conditional on its revision.
fn update(
    service: String,
    revision: u64,
    table: Table,
    reason: String,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Notice(Notice::Edited {
        service: service.clone(),
        revision,
        reason,
    }));
    let op = Op::Update {
        kind: ObjectKind::Tables,
        name: service.clone(),
        expect: revision,
        value: Value::Table(table),
    };
    out.push(Effect::Store { call: Call::Edit(service), op });
}
