//! Takeover of the ranges of lost nodes.
//!
//! The lease of a silent node is revoked: its record in the store is read and
//! overwritten, conditional on its revision. After that its renewals fail, so
//! that its lease expires at a known time. Then its ranges are reassigned. What
//! a later process of the node must know, such as that its upstream is leaving,
//! stays in the record.

use crate::clock::Millis;
use crate::fleet::balance::Move;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, ObjectKind, StoreOutcome, Value};
use crate::fleet::lease::{
    LEASE_DURATION_MS, PeerLease, Record, extend_for_drift,
};
use crate::fleet::moves::Target;
use crate::fleet::reducer::Fleet;
use crate::fleet::rules::{self, Revocation};
use crate::fleet::table::Table;

/// Delay per node that precedes this one by name before it revokes a lost
/// node's lease, so that normally only one node does.
const TAKEOVER_RANK_DELAY_MS: u64 = 600;

/// Delay after a failed step of a takeover.
const TAKEOVER_RETRY_MS: u64 = 500;

/// Progress of the takeover from one lost node.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    stage: Stage,
    lease: Option<PeerLease>,
    /// The node's record of the lease's revision, once it has been read.
    record: Option<Record>,
    due: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The node is lost; the next call to the store is due at `due`.
    Suspected,
    /// A store call is in progress.
    Calling,
    /// The lease is revoked.
    Revoked(Revocation),
}

impl Fleet {
    /// Starts and advances the revocation of lost nodes that own ranges.
    pub(super) fn track_lost_nodes(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(stored) = self.tables.get(&self.settings.service) else {
            return;
        };
        let mut lost: Vec<String> = Vec::new();
        for range in &stored.table.ranges {
            let node = &range.node;
            let own = *node == self.settings.node;
            if own || !self.directory.is_lost(node, self.started, now) {
                continue;
            }
            if !lost.contains(node) {
                lost.push(node.clone());
            }
        }
        self.takeovers.retain(|node, _| lost.contains(node));
        for node in lost {
            self.track_lost_node(&node, now, out);
        }
    }

    fn track_lost_node(
        &mut self,
        node: &str,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(takeover) = self.takeovers.get(node).cloned() else {
            let delay = TAKEOVER_RANK_DELAY_MS * self.rank(now);
            let lease = self.directory.get(node).and_then(|p| p.lease);
            let due = now.plus(delay);
            let stage = Stage::Suspected;
            let record = None;
            let takeover = Takeover { stage, lease, record, due };
            self.takeovers.insert(node.to_owned(), takeover);
            let node = node.to_owned();
            out.push(Effect::Notice(Notice::NodeLost { node }));
            return;
        };
        let suspected = takeover.stage == Stage::Suspected;
        if !suspected
            || now < takeover.due
            || self.lease.remaining_ms(now) == 0
        {
            return;
        }
        self.advance_takeover(node, takeover, now, out);
    }

    /// Sends the next store call of a takeover: revokes the lease if its record
    /// is known, else reads the record.
    fn advance_takeover(
        &mut self,
        node: &str,
        takeover: Takeover,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let name = node.to_owned();
        let kind = ObjectKind::Nodes;
        let due = now.plus(TAKEOVER_RETRY_MS);
        let (call, op) = if let (Some(known), Some(record)) =
            (takeover.lease, &takeover.record)
        {
            let own = self.requests.crashes.recorded(now);
            let op = Op::Update {
                kind,
                name: name.clone(),
                expect: known.revision,
                value: Value::Node(record.revoked_with(&own)),
            };
            (Call::Revoke(name.clone()), op)
        } else {
            let op = Op::Read { kind, name: name.clone() };
            (Call::Inspect(name.clone()), op)
        };
        let stage = Stage::Calling;
        self.takeovers.insert(name, Takeover { stage, due, ..takeover });
        out.push(Effect::Store { call, op });
    }

    /// Number of live nodes of the service that precede this one by name.
    pub(super) fn rank(&self, now: Millis) -> u64 {
        let own = self.settings.node.as_str();
        let before = self.directory.iter().filter(|(node, peer)| {
            *node < own
                && peer.gossip.service == self.settings.service
                && self.directory.is_live(node, now)
        });
        before.count() as u64
    }

    pub(super) fn on_inspected(
        &mut self,
        node: &str,
        outcome: StoreOutcome,
        now: Millis,
    ) {
        let claim = self.claim_of(node);
        let Some(takeover) = self.takeovers.get_mut(node) else { return };
        let ends = now.plus(extend_for_drift(LEASE_DURATION_MS));
        match outcome {
            StoreOutcome::Done(item) => {
                let term = item.revision;
                let record = match item.value {
                    Some(Value::Node(record)) => record,
                    _ => Record::default(),
                };
                if record.revoked {
                    takeover.stage = Stage::Revoked(Revocation { ends, term });
                    return;
                }
                // Gossip tells how long a lease runs; the record does not.
                let known = takeover.lease.filter(|l| l.revision == term);
                let lease =
                    known.unwrap_or_else(|| PeerLease::from_record(term, now));
                takeover.lease = Some(lease);
                takeover.record = Some(record);
                takeover.due = now;
                takeover.stage = Stage::Suspected;
            }
            // Without a record there is no lease, and a later record has a
            // higher revision than any claim in the table.
            StoreOutcome::Missing => {
                let term = claim + 1;
                takeover.stage = Stage::Revoked(Revocation { ends, term });
            }
            _ => {
                takeover.stage = Stage::Suspected;
                takeover.due = now.plus(TAKEOVER_RETRY_MS);
            }
        }
    }

    /// Term under which a node last claimed its ranges; 0 if it has not.
    fn claim_of(&self, node: &str) -> u64 {
        let stored = self.tables.get(&self.settings.service);
        let claims = stored.map(|stored| &stored.table.claims);
        claims.and_then(|all| all.get(node)).copied().unwrap_or(0)
    }

    pub(super) fn on_revoked(
        &mut self,
        node: &str,
        outcome: &StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(takeover) = self.takeovers.get_mut(node) else { return };
        if let (StoreOutcome::Done(item), Some(known)) =
            (outcome, takeover.lease)
        {
            let (ends, term) = (known.ends, item.revision);
            takeover.stage = Stage::Revoked(Revocation { ends, term });
            let wait_ms = ends.since(now);
            let node = node.to_owned();
            out.push(Effect::Notice(Notice::Revoked { node, wait_ms }));
            return;
        }
        // The record has changed, or the outcome is unknown: read it.
        takeover.lease = None;
        takeover.record = None;
        takeover.stage = Stage::Suspected;
        takeover.due = now.plus(TAKEOVER_RETRY_MS);
        if let StoreOutcome::Conflict(_) = outcome {
            takeover.due = now;
        }
    }

    /// Whether the revoked lease of any lost node has expired.
    pub(super) fn any_revoked(&self, now: Millis) -> bool {
        let ended = |takeover: &Takeover| match takeover.stage {
            Stage::Revoked(revocation) => now >= revocation.ends,
            _ => false,
        };
        self.takeovers.values().any(ended)
    }

    /// Reassigns the ranges of lost nodes whose leases have expired.
    pub(super) fn take_over(
        &self,
        table: &mut Table,
        now: Millis,
        reasons: &mut Vec<&'static str>,
    ) {
        for (node, takeover) in &self.takeovers {
            let Stage::Revoked(revocation) = takeover.stage else { continue };
            // The node may have acquired a new lease and claimed its ranges
            // again.
            let claim = table.claims.get(node).copied().unwrap_or(0);
            if !rules::may_take_over(claim, revocation, now) {
                continue;
            }
            let ranges: Vec<(u16, u16)> = table
                .ranges_of(node)
                .map(|range| (range.first, range.last))
                .collect();
            let mut targets = self.targets(now);
            if self.upstream.is_ready() && !self.is_domain_out() {
                let node = self.settings.node.clone();
                let capacity = 1.0_f64.max(self.capacity(now));
                targets.push(Target { node, spare_rate: capacity });
            }
            let fence = table.fence + 1;
            for Move { first, last, to } in self.divide(&ranges, &targets) {
                let instance = self.instance_of(&to);
                table.assign(
                    (first, last),
                    fence,
                    &to,
                    instance.as_ref(),
                    None,
                );
                reasons.push("takeover from a lost node");
            }
        }
    }
}
