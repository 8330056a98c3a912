//! Renewal of the node's own lease.

use std::net::SocketAddr;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Item, Kind, Stored, Value};
use crate::fleet::lease::{
    LEASE_FRESH, RENEWAL, RENEWAL_IDLE, RENEWAL_RETRY, RENEWAL_RETRY_MAX,
    Record,
};
use crate::fleet::reducer::Fleet;

/// Of so many calls one goes to the store itself, although it did not answer
/// the last one.
const DIRECT_EVERY: u32 = 3;

/// The renewal of the lease.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Renewal {
    pub(super) pending: bool,
    pub(super) sent: Millis,
    pub(super) due: Millis,
    /// Calls that failed in a row.
    pub(super) failures: u32,
    /// All calls.
    pub(super) calls: u32,
    /// The record in the store has been read or written by this process.
    pub(super) known: bool,
}

impl Fleet {
    pub(super) fn renew(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.renewal.pending || now < self.renewal.due {
            return;
        }
        let rests = self.owns_nothing() && self.term > 0;
        if rests && now < self.renewal.sent.plus(RENEWAL_IDLE) {
            return;
        }
        self.renewal.pending = true;
        self.renewal.sent = now;
        let (kind, name) = (Kind::Nodes, self.settings.node.clone());
        if !self.renewal.known {
            let op = Op::Read { kind, name };
            self.call_for_record(Call::Recall, op, now, out);
            return;
        }
        self.count += 1;
        let value = Value::Node(Record {
            incarnation: self.incarnation,
            count: self.count,
            gossip: self.settings.gossip_addr().to_string(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            revoked: false,
        });
        let expect = self.lease.revision;
        let op = Op::Update { kind, name, expect, value };
        self.call_for_record(Call::Renew, op, now, out);
    }

    /// Calls the store, or has a peer call it while it does not answer this
    /// node: it may turn single nodes away, whose leases would end.
    fn call_for_record(
        &mut self,
        call: Call,
        op: Op,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.renewal.calls += 1;
        let direct = self.store_up && self.renewal.failures == 0
            || self.renewal.calls.is_multiple_of(DIRECT_EVERY);
        let relay = if direct { None } else { self.relay(now) };
        let Some(to) = relay else {
            out.push(Effect::Store { call, op });
            return;
        };
        let left = self.lease.left(now);
        out.push(Effect::Notice(Notice::Relayed { to, left }));
        let call = Call::Relayed(Box::new(call));
        out.push(Effect::Relay { to, call, op });
    }

    /// A peer that has reached the store lately, drawn at random.
    fn relay(&mut self, now: Millis) -> Option<SocketAddr> {
        let mut peers: Vec<SocketAddr> = Vec::new();
        for (node, peer) in self.directory.iter() {
            let fresh =
                peer.lease.is_some_and(|l| l.ends.since(now) >= LEASE_FRESH);
            if fresh && !peer.said.leaving && self.directory.is_live(node, now)
            {
                peers.push(peer.requests());
            }
        }
        let place = self.random.random_range(0..peers.len().max(1));
        peers.get(place).copied()
    }

    pub(super) fn renewed(
        &mut self,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.renewal.pending = false;
        self.renewal.due = now;
        let failures = std::mem::take(&mut self.renewal.failures);
        match outcome {
            Stored::Done(item) => self.recorded(&item, now, out),
            Stored::Conflict(Some(item)) => {
                let own = self.wrote(&item);
                self.lease.revision = item.revision;
                if !own {
                    self.lose_lease(item.revision, out);
                }
            }
            Stored::Missing | Stored::Conflict(None) => {
                if self.renewal.known {
                    self.lose_lease(0, out);
                }
                self.renewal.known = true;
            }
            _ => {
                let pause = RENEWAL_RETRY << failures.min(8);
                self.renewal.due = now.plus(pause.min(RENEWAL_RETRY_MAX));
                self.renewal.failures = failures + 1;
            }
        }
    }

    pub(super) fn wrote(&self, item: &Item) -> bool {
        matches!(&item.value, Some(Value::Node(record))
            if record.incarnation == self.incarnation && !record.revoked)
    }

    pub(super) fn recorded(
        &mut self,
        item: &Item,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.wrote(item) {
            // The record of an earlier process, or one that was revoked.
            self.renewal.known = true;
            self.lease.revision = item.revision;
            return;
        }
        let lapsed = self.lease.left(now) == 0 && !self.owns_nothing();
        let fresh = self.term == 0 || lapsed;
        if self.term == 0 {
            self.term = item.revision;
        }
        self.lease.renewed(item.revision, self.renewal.sent);
        self.renewal.due = self.renewal.sent.plus(RENEWAL);
        if fresh {
            let revision = item.revision;
            out.push(Effect::Notice(Notice::LeaseGained { revision }));
        }
    }

    /// Whether the node needs no lease: its service has no keys.
    fn owns_nothing(&self) -> bool {
        let service = &self.settings.service;
        self.config.as_ref().is_some_and(|config| !config.is_keyed(service))
    }

    /// Another node has written the record: ranges may have been given to
    /// others, so the tables are read and claimed again.
    pub(super) fn lose_lease(&mut self, revision: u64, out: &mut Vec<Effect>) {
        self.lease.lost();
        self.lease.revision = revision;
        self.term = 0;
        if let Some(feed) = self.feed(Kind::Tables) {
            feed.fresh = false;
        }
        out.push(Effect::Notice(Notice::LeaseEnded));
    }
}
