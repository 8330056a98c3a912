//! Renewal of the node's own lease.

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Item, Kind, Stored, Value};
use crate::fleet::lease::{RENEWAL, RENEWAL_RETRY, RENEWAL_RETRY_MAX, Record};
use crate::fleet::reducer::Fleet;

/// The renewal of the lease.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Renewal {
    pub(super) pending: bool,
    pub(super) sent: Millis,
    pub(super) due: Millis,
    /// Calls that failed in a row.
    pub(super) failures: u32,
    /// The record in the store has been read or written by this process.
    pub(super) known: bool,
}

impl Fleet {
    pub(super) fn renew(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.renewal.pending || now < self.renewal.due {
            return;
        }
        self.renewal.pending = true;
        self.renewal.sent = now;
        let (kind, name) = (Kind::Nodes, self.settings.node.clone());
        if !self.renewal.known {
            let op = Op::Read { kind, name };
            out.push(Effect::Store { call: Call::Recall, op });
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
        out.push(Effect::Store { call: Call::Renew, op });
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
        let fresh = !self.renewal.known || self.lease.left(now) == 0;
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
