//! Changes of the own service's table.
//!
//! The node compares the table with what it knows, and proposes what should
//! change to the peer that combines the changes of all nodes. If it is that
//! peer itself, or the peer does not act, it writes the changes as one
//! conditional update. If another node was faster, it starts again from the
//! new table.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::combine::Proposal;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Kind, Stored, Value};
use crate::fleet::lease::LEASE_FRESH;
use crate::fleet::reducer::Fleet;
use crate::fleet::table::{Life, Share, Table};

/// Pause after a failed change, in milliseconds.
const EDIT_RETRY: u64 = 250;

/// Age at which the first node of a service divides its keys although some
/// nodes have no upstream yet, in milliseconds.
const CREATE_LATEST: u64 = 4_000;

/// Age before which it does not, in milliseconds: by then each node has been
/// heard of.
const CREATE_EARLIEST: u64 = 2_500;

/// Longest pause before a change that met another one is tried again, in
/// milliseconds. Nodes that change a table at the same moment do not meet
/// again.
const CONFLICT_PAUSE: u64 = 60;

/// Least time between two updates by a node that combines those of others,
/// in milliseconds. Each update is sent to all nodes.
const COMBINE_INTERVAL: u64 = 100;

/// Pause before a node proposes again what the table does not show, in
/// milliseconds: an update, the interval before it, and its way back.
const PROPOSE_RETRY: u64 = 150;

/// Time after which a node proposes its changes to another peer, in
/// milliseconds.
const PROPOSE_PATIENCE: u64 = 350;

/// Peers that a node proposes its changes to before it writes them itself.
const PROPOSE_PEERS: u64 = 2;

/// The change of the table that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edit {
    pending: bool,
    due: Millis,
    /// When the present update was sent.
    sent: Millis,
    /// Since when the node's changes have been proposed to others.
    proposed: Option<Millis>,
}

impl Edit {
    pub(super) fn new(now: Millis) -> Self {
        Self { pending: false, due: now, sent: Millis(0), proposed: None }
    }
}

impl Fleet {
    /// Writes or proposes what should change of the own service's table.
    pub(super) fn reconcile(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.edit.pending || now < self.edit.due {
            return;
        }
        let service = self.settings.service.clone();
        let keyed = self.config.as_ref().is_some_and(|c| c.is_keyed(&service));
        if !keyed || !self.tables_current() || self.lease.left(now) == 0 {
            return;
        }
        let Some(held) = self.tables.get(&service) else {
            return self.create(service, now, out);
        };
        let (revision, old) = (held.revision, Rc::clone(&held.table));
        self.gathered.expire(now);
        let own = self.proposal(&old, now, out);
        if own.is_none() {
            self.edit.proposed = None;
        }
        let takes = self.is_claimed() && self.any_revoked(now);
        if let Some(own) = &own
            && !takes
            && self.propose(own, now, out)
        {
            return;
        }
        if own.is_none() && !takes && self.gathered.is_empty() {
            return;
        }
        let mut table = Table::clone(&old);
        let mut reasons = Vec::new();
        if !self.gathered.is_empty() {
            self.gathered.apply(&mut table);
            reasons.push("changes of others");
        }
        if let Some(own) = own {
            own.apply(&mut table);
            reasons.push("own changes");
        }
        if takes {
            self.take_over(&mut table, now, &mut reasons);
        }
        table.join();
        if table == *old {
            self.gathered.written(now);
            return;
        }
        self.edit.pending = true;
        self.edit.sent = now;
        let reason = reasons.join(", ");
        update(service, revision, table, reason, out);
    }

    /// What this node wants to change, if anything: to claim its ranges, and
    /// to hand over what its upstream has released.
    fn proposal(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<Proposal> {
        let life = self.host.life().cloned();
        let node = self.settings.node.clone();
        let claims = !self.is_claimed()
            || life.is_some()
                && table.of(&node).any(|range| range.life != life);
        let mut gives = Vec::new();
        if self.is_claimed() {
            self.drain(table, now, out);
            gives = self.hand_over(table, now);
        }
        if !claims && gives.is_empty() {
            return None;
        }
        Some(Proposal { node, term: self.term, life, gives })
    }

    /// Proposes the node's changes to the peer that combines them; false if
    /// the node is to write them itself.
    fn propose(
        &mut self,
        own: &Proposal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        let since = *self.edit.proposed.get_or_insert(now);
        let tried = now.since(since) / PROPOSE_PATIENCE;
        if tried >= PROPOSE_PEERS {
            return false;
        }
        let Some(to) = self.combiner(tried as usize, now) else {
            return false;
        };
        self.edit.due = now.plus(PROPOSE_RETRY);
        out.push(Effect::Notice(Notice::Proposed {
            service: self.settings.service.clone(),
            to,
            term: own.term,
            ranges: own.gives.len(),
        }));
        let proposal = Box::new(own.clone());
        out.push(Effect::Propose { to, proposal });
        true
    }

    /// The peer that combines the changes of the service's nodes: the first
    /// in the order of names, or the one `place` behind it. None if that is
    /// this node.
    fn combiner(&self, place: usize, now: Millis) -> Option<SocketAddr> {
        let own = self.settings.node.as_str();
        let mut nodes = self.directory.iter().filter(|(node, peer)| {
            let fresh =
                peer.lease.is_some_and(|l| l.ends.since(now) >= LEASE_FRESH);
            peer.said.service == self.settings.service
                && !peer.said.leaving
                && fresh
                && self.directory.is_live(node, now)
        });
        let (node, peer) = nodes.nth(place)?;
        (node < own).then(|| peer.requests())
    }

    /// Takes the changes that another node proposes.
    pub(super) fn proposed(
        &mut self,
        proposal: Proposal,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.gathered.add(proposal, now);
        self.reconcile(now, out);
    }

    /// The term under which the table shows this node's claim.
    pub(super) fn claim(&self) -> Option<u64> {
        let held = self.tables.get(&self.settings.service)?;
        held.table.claims.get(&self.settings.node).copied()
    }

    /// Whether the table shows this node's claim under its present term.
    pub(super) fn is_claimed(&self) -> bool {
        self.term > 0 && self.claim() == Some(self.term)
    }

    /// Takes the outcome of a change.
    pub(super) fn edited(
        &mut self,
        service: &str,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.edit.pending = false;
        self.edit.due = now;
        match outcome {
            Stored::Done(item) => {
                self.gathered.written(self.edit.sent);
                self.edit.due = self.edit.sent.plus(COMBINE_INTERVAL);
                self.learn(item, false, now, out);
            }
            Stored::Conflict(Some(item)) => {
                self.learn(item, false, now, out);
                let pause = self.random.random_range(0..CONFLICT_PAUSE);
                self.edit.due = now.plus(pause);
            }
            // An update without an answer may be performed later: then the
            // next one does not meet its condition.
            _ => self.edit.due = now.plus(EDIT_RETRY),
        }
        let held = self.tables.contains_key(service);
        if held {
            self.reconcile(now, out);
        }
        self.owners_changed(now, out);
    }

    /// Divides the keys of a service that has no table.
    fn create(&mut self, service: String, now: Millis, out: &mut Vec<Effect>) {
        let age = now.since(self.started);
        if age < CREATE_EARLIEST || !self.host.is_ready() {
            return;
        }
        let node = &self.settings.node;
        let mut shares =
            vec![Share { node: node.clone(), slots: self.host.slots() }];
        let mut waiting = false;
        for (name, peer) in self.directory.iter() {
            let live = self.directory.is_live(name, now);
            if peer.said.service != service || !live {
                continue;
            }
            if peer.said.life.is_none() {
                waiting = true;
                continue;
            }
            let slots = peer.said.slots;
            shares.push(Share { node: name.to_owned(), slots });
        }
        shares.sort_by(|a, b| a.node.cmp(&b.node));
        let first = shares[0].node == *node;
        if !first || waiting && age < CREATE_LATEST {
            return;
        }
        let mut table = Table::even(&shares);
        for range in &mut table.ranges {
            range.life = self.life_of(&range.node);
        }
        table.claims.insert(self.settings.node.clone(), self.term);
        self.edit.pending = true;
        self.edit.sent = now;
        let reason = "first division".to_owned();
        update(service, 0, table, reason, out);
    }

    pub(super) fn life_of(&self, node: &str) -> Option<Life> {
        if node == self.settings.node {
            return self.host.life().cloned();
        }
        self.directory.get(node)?.said.life.clone()
    }
}

/// Updates a service's table on the condition of its revision.
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
        kind: Kind::Tables,
        name: service.clone(),
        expect: revision,
        value: Value::Table(table),
    };
    out.push(Effect::Store { call: Call::Edit(service), op });
}
