//! Changes of the own service's table, and takeover from lost nodes.
//!
//! The node compares the table with what it knows and writes what should
//! change as one conditional update. If another node was faster, it starts
//! again from the new table. Only the owner moves a range; what belongs to a
//! lost node is given away after the node's lease has been revoked and has
//! run out.

use crate::clock::Millis;
use crate::fleet::balance::{self, Member, Move};
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Kind, Stored, Value};
use crate::fleet::lease::{Known, Record, TERM, longest};
use crate::fleet::reducer::Fleet;
use crate::fleet::table::{KEY_MAX, Share, Table};

/// Pause after a failed change, in milliseconds.
const EDIT_RETRY: u64 = 250;

/// Interval at which load is compared, in milliseconds.
const BALANCE_INTERVAL: u64 = 500;

/// Time after which a node's load shows a range that it got, in
/// milliseconds; the time constant of the load.
const SETTLE: u64 = 2_000;

/// Age at which the first node of a service divides its keys although some
/// nodes have no upstream yet, in milliseconds.
const CREATE_LATEST: u64 = 4_000;

/// Age before which it does not, in milliseconds: by then each node has been
/// heard of.
const CREATE_EARLIEST: u64 = 2_500;

/// Delay for each node that precedes this one in the order of names before
/// it takes over from a lost node, in milliseconds.
const TAKEOVER_STEP: u64 = 600;

/// Pause after a failed step of a takeover, in milliseconds.
const TAKEOVER_RETRY: u64 = 500;

/// Most ranges of one upstream. Each takes up to 50 bytes of an answer to
/// an announcement, which may have 4 KiB.
const RANGES_MAX: usize = 56;

/// The change of the table that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edit {
    pending: bool,
    /// The change claims the node's ranges.
    claiming: bool,
    /// The outcome of the last change is not known.
    unknown: bool,
    due: Millis,
    balance_due: Millis,
}

impl Edit {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            pending: false,
            claiming: false,
            unknown: false,
            due: now,
            balance_due: now,
        }
    }

    /// Lets the next change start at once.
    pub(super) fn wake(&mut self, now: Millis) {
        self.due = self.due.min(now);
    }
}

/// The takeover from a lost node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    stage: Stage,
    lease: Option<Known>,
    /// Revision of the table before the revocation was confirmed. A table
    /// that has changed since may have been claimed by the node again.
    table: u64,
    due: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Lost; waits for its turn or for a retry.
    Suspected,
    /// A call to the store is under way.
    Asking,
    /// The lease is revoked, and ends at this time.
    Revoked(Millis),
}

/// A node that can take ranges.
#[derive(Clone, Debug)]
struct Target {
    node: String,
    capacity: f64,
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
        let (revision, old) = (held.revision, held.table.clone());
        let mut table = old.clone();
        let mut reasons = Vec::new();
        self.claim(&mut table, &mut reasons);
        if self.claimed {
            self.hand_over(&mut table, now, &mut reasons);
            self.drain(&mut table, now, &mut reasons);
            self.rebalance(&mut table, now, &mut reasons);
            self.take_over(&mut table, revision, now, &mut reasons);
        }
        table.join();
        if table == old {
            if !self.claimed {
                // Nothing to claim: no range is this node's.
                self.claimed = true;
                self.edit.wake(now);
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

    fn life_of(&self, node: &str) -> Option<crate::fleet::table::Life> {
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

    /// Gives released ranges to their next owners.
    fn hand_over(
        &self,
        table: &mut Table,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        let node = &self.settings.node;
        let moving: Vec<(u16, u16)> = table
            .of(node)
            .filter(|range| range.next.is_some())
            .map(|range| (range.first, range.last))
            .collect();
        if moving.is_empty() {
            return;
        }
        for (first, last) in moving {
            for released in self.host.releases() {
                let (from, to) = (released.first, released.last);
                if from <= last && first <= to {
                    table.cut(from.max(first), to.min(last));
                }
            }
        }
        let pieces: Vec<(u16, u16, Option<String>)> = table
            .of(node)
            .filter(|range| range.next.is_some())
            .map(|range| (range.first, range.last, range.next.clone()))
            .collect();
        let targets = self.targets(now);
        for (first, last, next) in pieces {
            if self.host.may_hold(first, last, now) {
                continue;
            }
            let fits = |t: &&Target| Some(&t.node) == next.as_ref();
            let target = targets.iter().find(fits).or(targets.first());
            let Some(target) = target else { continue };
            let life = self.life_of(&target.node);
            let handover = self.host.handover(first, last);
            let keys = (first, last);
            table.give(keys, &target.node, life.as_ref(), handover);
            let warm = handover.is_some();
            reasons.push(if warm { "handover" } else { "cold handover" });
        }
    }

    /// Moves all ranges away from an upstream that leaves, is out of service
    /// or is gone.
    fn drain(
        &self,
        table: &mut Table,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        let gone = self.upstream_gone(now);
        let leaves = self.host.is_leaving() || self.is_out();
        if !gone && !leaves {
            return;
        }
        let node = &self.settings.node;
        let own: Vec<(u16, u16)> = table
            .of(node)
            .filter(|range| range.next.is_none())
            .map(|range| (range.first, range.last))
            .collect();
        if own.is_empty() {
            return;
        }
        let targets = self.targets(now);
        for Move { first, last, to } in self.divide(&own, &targets) {
            for range in table.cut(first, last) {
                range.next = Some(to.clone());
            }
        }
        if !targets.is_empty() {
            reasons.push("the upstream takes no more work");
        }
    }

    /// Gives away load above the fair share.
    fn rebalance(
        &mut self,
        table: &mut Table,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        if now < self.edit.balance_due {
            return;
        }
        self.edit.balance_due = now.plus(BALANCE_INTERVAL);
        let node = self.settings.node.clone();
        let own: Vec<_> = table.of(&node).collect();
        let moving = own.iter().any(|range| range.next.is_some());
        if own.is_empty() || moving || !self.host.is_ready() {
            return;
        }
        let held: Vec<(u16, u16)> = own
            .iter()
            .filter(|range| self.host.holds(range.first, now))
            .map(|range| (range.first, range.last))
            .collect();
        let mut members = vec![Member {
            node: node.clone(),
            rate: self.heat.rate(now),
            capacity: self.capacity(now),
        }];
        for (name, peer) in self.directory.iter() {
            let settled = self
                .received
                .get(name)
                .is_none_or(|&at| now.since(at) >= SETTLE);
            if !settled || !self.takes(name, now) {
                continue;
            }
            if table.of(name).count() >= RANGES_MAX {
                continue;
            }
            members.push(Member {
                node: name.to_owned(),
                rate: f64::from(peer.said.rate),
                capacity: f64::from(peer.said.capacity),
            });
        }
        for moved in balance::plan(&node, &members, &held, &self.heat) {
            for range in table.cut(moved.first, moved.last) {
                range.next = Some(moved.to.clone());
            }
            reasons.push("load");
        }
    }

    /// Whether another node's upstream takes ranges of the own service.
    fn takes(&self, node: &str, now: Millis) -> bool {
        let Some(peer) = self.directory.get(node) else { return false };
        let said = &peer.said;
        said.service == self.settings.service
            && said.life.is_some()
            && !said.leaving
            && said.lease.is_some()
            && !self.out.contains(&said.domain)
            && self.directory.is_live(node, now)
    }

    /// Nodes that can take ranges, the least loaded first.
    fn targets(&self, now: Millis) -> Vec<Target> {
        let mut targets = Vec::new();
        for (node, peer) in self.directory.iter() {
            if !self.takes(node, now) {
                continue;
            }
            let room = peer.said.capacity - peer.said.rate;
            let capacity = f64::from(room.max(1.0));
            targets.push(Target { node: node.to_owned(), capacity });
        }
        targets.sort_by(|a, b| {
            b.capacity.total_cmp(&a.capacity).then(a.node.cmp(&b.node))
        });
        targets
    }

    /// Divides ranges among targets in proportion to their room, by load
    /// where it is known and else by the number of keys.
    fn divide(&self, ranges: &[(u16, u16)], targets: &[Target]) -> Vec<Move> {
        let room: f64 = targets.iter().map(|t| t.capacity).sum();
        let weigh = |&(first, last): &(u16, u16)| self.weight(first, last);
        let total: f64 = ranges.iter().map(weigh).sum();
        let grain = total / (2.0 * targets.len().max(1) as f64);
        let mut moves: Vec<Move> = Vec::new();
        let (mut place, mut filled) = (0, 0.0);
        for &(first, last) in ranges {
            for (first, last) in self.pieces(first, last, grain) {
                let Some(target) = targets.get(place) else { break };
                let to = target.node.clone();
                moves.push(Move { first, last, to });
                filled += self.weight(first, last);
                let share = total * target.capacity / room;
                if filled >= share * 0.9 && place + 1 < targets.len() {
                    (place, filled) = (place + 1, 0.0);
                }
            }
        }
        moves
    }

    /// Load of a range; a small part of it stands for keys without requests.
    fn weight(&self, first: u16, last: u16) -> f64 {
        let heat: f64 =
            self.heat.within(first, last).map(|entry| entry.1).sum();
        heat + (f64::from(last - first) + 1.0) / f64::from(KEY_MAX)
    }

    /// Splits a range into pieces of about `grain`, at busy keys.
    fn pieces(&self, first: u16, last: u16, grain: f64) -> Vec<(u16, u16)> {
        let mut pieces = Vec::new();
        let (mut begin, mut sum) = (first, 0.0);
        for (key, rate) in self.heat.within(first, last) {
            sum += rate;
            if sum >= grain && key < last {
                pieces.push((begin, key));
                (begin, sum) = (key + 1, 0.0);
            }
        }
        pieces.push((begin, last));
        pieces
    }

    // ---- takeover from lost nodes

    /// Revokes the leases of lost nodes that own ranges.
    pub(super) fn watch_losses(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(held) = self.tables.get(&self.settings.service) else {
            return;
        };
        let mut owners: Vec<String> =
            held.table.ranges.iter().map(|range| range.node.clone()).collect();
        let revision = held.revision;
        owners.sort();
        owners.dedup();
        for owner in owners {
            if owner == self.settings.node {
                continue;
            }
            self.watch_loss(&owner, revision, now, out);
        }
    }

    fn watch_loss(
        &mut self,
        node: &str,
        table: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.directory.is_lost(node, self.started, now) {
            self.losses.remove(node);
            return;
        }
        let Some(loss) = self.losses.get(node).copied() else {
            let delay = TAKEOVER_STEP * self.rank(now);
            let lease = self.directory.get(node).and_then(|p| p.lease);
            let due = now.plus(delay);
            let stage = Stage::Suspected;
            let loss = Loss { stage, lease, table, due };
            self.losses.insert(node.to_owned(), loss);
            let node = node.to_owned();
            out.push(Effect::Notice(Notice::NodeLost { node }));
            return;
        };
        let stale =
            matches!(loss.stage, Stage::Revoked(_)) && loss.table != table;
        let ask = loss.stage == Stage::Suspected || stale;
        if !ask || now < loss.due || self.lease.left(now) == 0 {
            return;
        }
        self.ask(node, loss, table, now, out);
    }

    /// Takes the next step of a takeover.
    fn ask(
        &mut self,
        node: &str,
        loss: Loss,
        table: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let name = node.to_owned();
        let kind = Kind::Nodes;
        let due = now.plus(TAKEOVER_RETRY);
        let suspected = loss.stage == Stage::Suspected;
        let (call, op) = if let (true, Some(known)) = (suspected, loss.lease) {
            let record = Record { revoked: true, ..Record::default() };
            let op = Op::Update {
                kind,
                name: name.clone(),
                expect: known.revision,
                value: Value::Node(record),
            };
            (Call::Revoke(name.clone()), op)
        } else {
            let op = Op::Read { kind, name: name.clone() };
            (Call::Inspect(name.clone()), op)
        };
        let stage = match loss.stage {
            Stage::Suspected => Stage::Asking,
            other => other,
        };
        self.losses.insert(name, Loss { stage, table, due, ..loss });
        out.push(Effect::Store { call, op });
    }

    /// Nodes of the service that precede this one in the order of names.
    fn rank(&self, now: Millis) -> u64 {
        let own = self.settings.node.as_str();
        let before = self.directory.iter().filter(|(node, peer)| {
            *node < own
                && peer.said.service == self.settings.service
                && self.directory.is_live(node, now)
        });
        before.count() as u64
    }

    pub(super) fn inspected(
        &mut self,
        node: &str,
        outcome: Stored,
        now: Millis,
    ) {
        let Some(loss) = self.losses.get_mut(node) else { return };
        let ends = now.plus(longest(TERM));
        match outcome {
            Stored::Done(item) => {
                let revoked = matches!(item.value,
                    Some(Value::Node(record)) if record.revoked);
                if revoked {
                    if !matches!(loss.stage, Stage::Revoked(_)) {
                        loss.stage = Stage::Revoked(ends);
                    }
                    return;
                }
                loss.lease = Some(Known::read(item.revision, now));
                loss.stage = Stage::Suspected;
            }
            Stored::Missing => {
                if !matches!(loss.stage, Stage::Revoked(_)) {
                    loss.stage = Stage::Revoked(ends);
                }
            }
            _ => {
                if loss.stage == Stage::Asking {
                    loss.stage = Stage::Suspected;
                }
                loss.table = 0;
                loss.due = now.plus(TAKEOVER_RETRY);
            }
        }
    }

    pub(super) fn revoked(
        &mut self,
        node: &str,
        outcome: &Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(loss) = self.losses.get_mut(node) else { return };
        if let (Stored::Done(_), Some(known)) = (outcome, loss.lease) {
            loss.stage = Stage::Revoked(known.ends);
            let wait = known.ends.since(now);
            let node = node.to_owned();
            out.push(Effect::Notice(Notice::Revoked { node, wait }));
            return;
        }
        // The record has changed, or the outcome is not known: read it.
        loss.lease = None;
        loss.stage = Stage::Suspected;
        loss.due = now.plus(TAKEOVER_RETRY);
        if let Stored::Conflict(_) = outcome {
            loss.due = now;
        }
    }

    /// Gives away the ranges of lost nodes whose leases have ended.
    fn take_over(
        &self,
        table: &mut Table,
        revision: u64,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        for (node, loss) in &self.losses {
            let Stage::Revoked(ends) = loss.stage else { continue };
            if now < ends || loss.table != revision {
                continue;
            }
            let ranges: Vec<(u16, u16)> = table
                .of(node)
                .map(|range| (range.first, range.last))
                .collect();
            let mut targets = self.targets(now);
            if self.host.is_ready() && !self.is_out() {
                let node = self.settings.node.clone();
                let capacity = 1.0_f64.max(self.capacity(now));
                targets.push(Target { node, capacity });
            }
            for Move { first, last, to } in self.divide(&ranges, &targets) {
                let life = self.life_of(&to);
                table.give((first, last), &to, life.as_ref(), None);
                reasons.push("takeover from a lost node");
            }
        }
    }
}
