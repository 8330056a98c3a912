//! Takeover from lost nodes.
//!
//! A node that has been silent is revoked: its record in the store is
//! overwritten on the condition of the revision that it last had. After that
//! its renewals fail, and its right ends at a known time. Then its ranges
//! are given away.

use crate::clock::Millis;
use crate::fleet::balance::Move;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Kind, Stored, Value};
use crate::fleet::lease::{Known, Record, TERM, longest};
use crate::fleet::moves::Target;
use crate::fleet::reducer::Fleet;
use crate::fleet::rules::{self, Revocation};
use crate::fleet::table::Table;

/// Delay for each node that precedes this one in the order of names before
/// it takes over from a lost node, in milliseconds.
const TAKEOVER_STEP: u64 = 600;

/// Pause after a failed step of a takeover, in milliseconds.
const TAKEOVER_RETRY: u64 = 500;

/// The takeover from a lost node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    stage: Stage,
    lease: Option<Known>,
    due: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Lost; waits for its turn or for a retry.
    Suspected,
    /// A call to the store is under way.
    Asking,
    /// The lease is revoked.
    Revoked(Revocation),
}

impl Fleet {
    /// Revokes the leases of lost nodes that own ranges.
    pub(super) fn watch_losses(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(held) = self.tables.get(&self.settings.service) else {
            return;
        };
        let mut lost: Vec<String> = Vec::new();
        for range in &held.table.ranges {
            let node = &range.node;
            let own = *node == self.settings.node;
            if own || !self.directory.is_lost(node, self.started, now) {
                continue;
            }
            if !lost.contains(node) {
                lost.push(node.clone());
            }
        }
        self.losses.retain(|node, _| lost.contains(node));
        for node in lost {
            self.watch_loss(&node, now, out);
        }
    }

    fn watch_loss(&mut self, node: &str, now: Millis, out: &mut Vec<Effect>) {
        let Some(loss) = self.losses.get(node).copied() else {
            let delay = TAKEOVER_STEP * self.rank(now);
            let lease = self.directory.get(node).and_then(|p| p.lease);
            let due = now.plus(delay);
            let stage = Stage::Suspected;
            let loss = Loss { stage, lease, due };
            self.losses.insert(node.to_owned(), loss);
            let node = node.to_owned();
            out.push(Effect::Notice(Notice::NodeLost { node }));
            return;
        };
        let ask = loss.stage == Stage::Suspected;
        if !ask || now < loss.due || self.lease.left(now) == 0 {
            return;
        }
        self.ask(node, loss, now, out);
    }

    /// Takes the next step of a takeover.
    fn ask(
        &mut self,
        node: &str,
        loss: Loss,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let name = node.to_owned();
        let kind = Kind::Nodes;
        let due = now.plus(TAKEOVER_RETRY);
        let (call, op) = if let Some(known) = loss.lease {
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
        let stage = Stage::Asking;
        self.losses.insert(name, Loss { stage, due, ..loss });
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
        let claim = self.claim_of(node);
        let Some(loss) = self.losses.get_mut(node) else { return };
        let ends = now.plus(longest(TERM));
        match outcome {
            Stored::Done(item) => {
                let term = item.revision;
                let revoked = matches!(item.value,
                    Some(Value::Node(record)) if record.revoked);
                if revoked {
                    loss.stage = Stage::Revoked(Revocation { ends, term });
                    return;
                }
                loss.lease = Some(Known::read(term, now));
                loss.stage = Stage::Suspected;
            }
            // Without a record there is no lease, and a later one has a
            // higher term than any that the table shows.
            Stored::Missing => {
                let term = claim + 1;
                loss.stage = Stage::Revoked(Revocation { ends, term });
            }
            _ => {
                loss.stage = Stage::Suspected;
                loss.due = now.plus(TAKEOVER_RETRY);
            }
        }
    }

    /// The term under which a node last claimed its ranges; 0 if it has not.
    fn claim_of(&self, node: &str) -> u64 {
        let held = self.tables.get(&self.settings.service);
        let claims = held.map(|held| &held.table.claims);
        claims.and_then(|all| all.get(node)).copied().unwrap_or(0)
    }

    pub(super) fn revoked(
        &mut self,
        node: &str,
        outcome: &Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(loss) = self.losses.get_mut(node) else { return };
        if let (Stored::Done(item), Some(known)) = (outcome, loss.lease) {
            let (ends, term) = (known.ends, item.revision);
            loss.stage = Stage::Revoked(Revocation { ends, term });
            let wait = ends.since(now);
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

    /// Whether the lease of a lost node has been revoked and has ended.
    pub(super) fn any_revoked(&self, now: Millis) -> bool {
        let ended = |loss: &Loss| match loss.stage {
            Stage::Revoked(revocation) => now >= revocation.ends,
            _ => false,
        };
        self.losses.values().any(ended)
    }

    /// Gives away the ranges of lost nodes whose leases have ended.
    pub(super) fn take_over(
        &self,
        table: &mut Table,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        for (node, loss) in &self.losses {
            let Stage::Revoked(revocation) = loss.stage else { continue };
            // The node may have gained its lease and claimed its ranges again.
            let claim = table.claims.get(node).copied().unwrap_or(0);
            if !rules::may_take_over(claim, revocation, now) {
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
            let fence = table.fence + 1;
            for Move { first, last, to } in self.divide(&ranges, &targets) {
                let life = self.life_of(&to);
                table.give((first, last), fence, &to, life.as_ref(), None);
                reasons.push("takeover from a lost node");
            }
        }
    }
}
