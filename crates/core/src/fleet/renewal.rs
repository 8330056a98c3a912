//! Renewal of this node's lease.

use std::net::SocketAddr;

use rand::Rng;

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Item, ObjectKind, StoreOutcome, Value};
use crate::fleet::lease::{
    MAX_RENEWAL_RETRY_MS, MIN_PEER_LEASE_MS, RENEWAL_INTERVAL_IDLE_MS,
    RENEWAL_INTERVAL_MS, RENEWAL_RETRY_MS, Record,
};
use crate::fleet::reducer::Fleet;
use crate::fleet::revision::era_of;
use crate::fleet::table::Instance;

/// While the store does not answer this node, one in this many calls still
/// goes to the store directly instead of through a peer.
const CALLS_PER_DIRECT_COUNT: u32 = 3;

/// Time in which peers answer the first gossip of a process with the exit that
/// an earlier one had reported. A record from before a restore of the store may
/// lack it.
const EXIT_RECALL_MS: u64 = 1_000;

/// State of lease renewal.
#[derive(Clone, Debug, Default)]
pub(super) struct Renewal {
    pub(super) pending: bool,
    pub(super) sent: Millis,
    pub(super) due: Millis,
    /// Consecutive failed calls.
    pub(super) failures: u32,
    /// Total number of calls.
    pub(super) calls: u32,
    /// Whether this process has read or written its record in the store.
    pub(super) record_known: bool,
    /// Until when the upstream is not used, as peers may still tell that it is
    /// leaving.
    pub(super) recall_until: Millis,
    /// The leaving upstream that the last record names.
    pub(super) recorded_leaving: Option<Instance>,
    /// The leaving upstream that the store is known to hold.
    pub(super) stored_leaving: Option<Instance>,
}

impl Fleet {
    pub(super) fn renew(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let leaving = self.upstream.leaving_instance();
        // The upstream may serve for a while after it has reported its exit,
        // and this process may be restarted before the renewal that is due.
        let is_unrecorded = self.renewal.record_known
            && leaving.is_some()
            && self.renewal.recorded_leaving != leaving;
        let at_once = is_unrecorded && self.renewal.failures == 0;
        if self.renewal.pending || now < self.renewal.due && !at_once {
            return;
        }
        let idle = self.needs_no_lease()
            && self.term > 0
            && !self.requests.crashes.is_unrecorded()
            && !is_unrecorded;
        if idle && now < self.renewal.sent.plus(RENEWAL_INTERVAL_IDLE_MS) {
            return;
        }
        self.renewal.pending = true;
        self.renewal.sent = now;
        let (kind, name) = (ObjectKind::Nodes, self.settings.node.clone());
        if !self.renewal.record_known {
            let op = Op::Read { kind, name };
            self.call_for_record(Call::ReadRecord, op, now, out);
            return;
        }
        self.renewal_count += 1;
        self.requests.crashes.set_recorded();
        self.renewal.recorded_leaving.clone_from(&leaving);
        let value = Value::Node(Record {
            incarnation: self.incarnation,
            era: self.restore.era.filter(|&era| era > 0),
            count: self.renewal_count,
            gossip: self.settings.gossip_addr().to_string(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            revoked: false,
            harmful: self.requests.crashes.recorded(now),
            leaving,
        });
        let expect = self.lease.revision;
        let op = Op::Update { kind, name, expect, value };
        self.call_for_record(Call::Renew, op, now, out);
    }

    /// Calls the store directly, or through a peer while the store does not
    /// answer this node: it may reject single nodes, whose leases would
    /// otherwise expire.
    fn call_for_record(
        &mut self,
        call: Call,
        op: Op,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.renewal.calls += 1;
        let direct = self.store_up && self.renewal.failures == 0
            || self.renewal.calls.is_multiple_of(CALLS_PER_DIRECT_COUNT);
        let relay = if direct { None } else { self.pick_relay(now) };
        let Some(to) = relay else {
            out.push(Effect::Store { call, op });
            return;
        };
        let left_ms = self.lease.remaining_ms(now);
        out.push(Effect::Notice(Notice::Relayed { to, left_ms }));
        let call = Call::Relayed(Box::new(call));
        out.push(Effect::Relay { to, call, op });
    }

    /// A random peer that has reached the store recently.
    fn pick_relay(&mut self, now: Millis) -> Option<SocketAddr> {
        let mut peers: Vec<SocketAddr> = Vec::new();
        for (node, peer) in self.directory.iter() {
            let fresh = peer
                .lease
                .is_some_and(|l| l.ends.since(now) >= MIN_PEER_LEASE_MS);
            if fresh
                && !peer.gossip.leaving
                && self.directory.is_live(node, now)
            {
                peers.push(peer.request_addr());
            }
        }
        let index = self.random.random_range(0..peers.len().max(1));
        peers.get(index).copied()
    }

    pub(super) fn on_renewed(
        &mut self,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.renewal.pending = false;
        self.renewal.due = now;
        let failures = std::mem::take(&mut self.renewal.failures);
        match outcome {
            StoreOutcome::Done(item) => self.apply_own_record(&item, now, out),
            StoreOutcome::Conflict(Some(item)) => {
                let own = self.is_own_record(&item);
                self.lease.revision = item.revision;
                if !own {
                    self.on_lease_lost(item.revision, out);
                }
            }
            StoreOutcome::Missing | StoreOutcome::Conflict(None) => {
                if self.renewal.record_known {
                    self.on_lease_lost(0, out);
                }
                self.renewal.record_known = true;
            }
            _ => {
                let pause = RENEWAL_RETRY_MS << failures.min(8);
                self.renewal.due = now.plus(pause.min(MAX_RENEWAL_RETRY_MS));
                self.renewal.failures = failures + 1;
                self.renewal.recorded_leaving = None;
            }
        }
    }

    pub(super) fn is_own_record(&self, item: &Item) -> bool {
        matches!(&item.value, Some(Value::Node(record))
            if record.incarnation == self.incarnation && !record.revoked)
    }

    pub(super) fn apply_own_record(
        &mut self,
        item: &Item,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_own_record(item) {
            // The record is that of an earlier process, or has been revoked.
            if let Some(Value::Node(record)) = &item.value {
                let crashes = &mut self.requests.crashes;
                crashes.adopt_record(&record.harmful, now);
                self.adopt_leaving(record.leaving.as_ref(), now, out);
                if record.era.unwrap_or(0) < era_of(item.revision) {
                    self.renewal.recall_until = now.plus(EXIT_RECALL_MS);
                }
            }
            self.renewal.record_known = true;
            self.lease.revision = item.revision;
            return;
        }
        if let Some(Value::Node(record)) = &item.value {
            self.renewal.stored_leaving.clone_from(&record.leaving);
        }
        let lapsed =
            self.lease.remaining_ms(now) == 0 && !self.needs_no_lease();
        let fresh = self.term == 0 || lapsed;
        if self.term == 0 {
            self.term = item.revision;
        }
        self.lease.renewed(item.revision, self.renewal.sent);
        self.renewal.due = self.renewal.sent.plus(RENEWAL_INTERVAL_MS);
        if fresh {
            let revision = item.revision;
            out.push(Effect::Notice(Notice::LeaseGained { revision }));
        }
    }

    /// Applies which upstream was leaving at an earlier process of the node.
    pub(super) fn adopt_leaving(
        &mut self,
        instance: Option<&Instance>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(instance) = instance else { return };
        let was_leaving = self.upstream.is_leaving();
        self.upstream.set_left_earlier(instance.clone(), now);
        if self.upstream.is_leaving() && !was_leaving {
            self.on_upstream_leaving(now, out);
            self.refuse_queued(now, out);
        }
    }

    /// Whether the node needs no lease because its service is not partitioned
    /// by key.
    fn needs_no_lease(&self) -> bool {
        let service = &self.settings.service;
        self.config.as_ref().is_some_and(|config| !config.is_keyed(service))
    }

    /// Handles the loss of the lease. Another node has written the record and
    /// may have reassigned ranges, so the tables must be listed and claimed
    /// again.
    pub(super) fn on_lease_lost(
        &mut self,
        revision: u64,
        out: &mut Vec<Effect>,
    ) {
        self.lease.invalidate();
        self.lease.revision = revision;
        self.term = 0;
        if let Some(feed) = self.feed(ObjectKind::Tables) {
            feed.current = false;
        }
        out.push(Effect::Notice(Notice::LeaseEnded));
    }
}
