//! Changes of the own service's table.
//!
//! The node compares the table with what it knows and writes what should
//! change as one conditional update. If another node was faster, it starts
//! again from the new table.

use std::rc::Rc;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Kind, Stored, Value};
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

/// Longest pause before a change that met another one is tried again, for
/// each node of the service, in milliseconds. Nodes that change a table at
/// the same moment do not meet again.
const CONFLICT_STEP: u64 = 6;

/// The change of the table that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edit {
    pending: bool,
    /// The change claims the node's ranges.
    claiming: bool,
    /// The outcome of the last change is not known.
    unknown: bool,
    due: Millis,
}

impl Edit {
    pub(super) fn new(now: Millis) -> Self {
        Self { pending: false, claiming: false, unknown: false, due: now }
    }
}

impl Fleet {
    /// Writes what should change of the own service's table.
    pub(super) fn reconcile(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.edit.pending || now < self.edit.due {
            return;
        }
        let service = self.settings.service.clone();
        let keyed = self.config.as_ref().is_some_and(|c| c.is_keyed(&service));
        if !keyed || !self.tables_current() || self.lease.left(now) == 0 {
            return;
        }
        if self.edit.unknown {
            self.edit.pending = true;
            let op = Op::Read { kind: Kind::Tables, name: service.clone() };
            out.push(Effect::Store { call: Call::Reread(service), op });
            return;
        }
        let Some(held) = self.tables.get(&service) else {
            return self.create(service, now, out);
        };
        let revision = held.revision;
        if self.claimed && !self.may_change(now) {
            return;
        }
        let Some(held) = self.tables.get(&service) else { return };
        let old = Rc::clone(&held.table);
        let mut table = Table::clone(&old);
        let mut reasons = Vec::new();
        self.claim(&mut table, &mut reasons);
        if self.claimed {
            self.hand_over(&mut table, now, &mut reasons);
            self.take_over(&mut table, revision, now, &mut reasons);
        }
        table.join();
        if table == *old {
            if !self.claimed {
                // Nothing to claim: no range is this node's.
                self.claimed = true;
                self.edit.due = now;
            }
            return;
        }
        self.edit.pending = true;
        self.edit.claiming = !self.claimed;
        let reason = reasons.join(", ");
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

    /// Whether a claimed table may have to change: only then is it copied
    /// and compared.
    fn may_change(&mut self, now: Millis) -> bool {
        let service = &self.settings.service;
        let Some(held) = self.tables.get(service) else { return true };
        let table = Rc::clone(&held.table);
        let life = self.host.life();
        let node = &self.settings.node;
        if table.of(node).any(|range| range.life.as_ref() != life) {
            return true;
        }
        self.drain(&table, now);
        self.rebalance(&table, now);
        !self.moves.is_empty() || self.any_revoked(now)
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
        let claiming = std::mem::take(&mut self.edit.claiming);
        self.edit.due = now;
        match outcome {
            Stored::Done(item) => {
                self.claimed |= claiming && !self.edit.unknown;
                self.edit.unknown = false;
                self.learn(item, false, now, out);
            }
            Stored::Conflict(Some(item)) => {
                self.learn(item, false, now, out);
                let nodes = self.directory.iter().count() as u64 + 1;
                let pause = self.random.random_range(0..nodes * CONFLICT_STEP);
                self.edit.due = now.plus(pause);
            }
            Stored::Conflict(None) | Stored::Missing => {
                self.edit.unknown = false;
                self.edit.due = now.plus(EDIT_RETRY);
            }
            Stored::Unknown => {
                self.edit.unknown = true;
                self.edit.due = now.plus(EDIT_RETRY);
            }
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
        self.edit.pending = true;
        self.edit.claiming = true;
        let op = Op::Update {
            kind: Kind::Tables,
            name: service.clone(),
            expect: 0,
            value: Value::Table(table),
        };
        out.push(Effect::Notice(Notice::Edited {
            service: service.clone(),
            revision: 0,
            reason: "first division".to_owned(),
        }));
        out.push(Effect::Store { call: Call::Edit(service), op });
    }

    pub(super) fn life_of(&self, node: &str) -> Option<Life> {
        if node == self.settings.node {
            return self.host.life().cloned();
        }
        self.directory.get(node)?.said.life.clone()
    }

    /// Claims the node's ranges for the present life of its upstream.
    fn claim(&self, table: &mut Table, reasons: &mut Vec<&'static str>) {
        let node = &self.settings.node;
        let own = table.of(node).count();
        if own == 0 {
            return;
        }
        if !self.claimed {
            table.touched += 1;
            reasons.push("claim after a lost lease");
        }
        let Some(life) = self.host.life() else { return };
        let before = table.clone();
        table.claim(node, life);
        if *table != before {
            reasons.push("claim for a new upstream");
        }
    }
}
