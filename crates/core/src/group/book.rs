//! What a node knows of its group's record in the store.
//!
//! One call to the store is outstanding at a time. [`Known`] says how writes
//! without an answer are settled.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::effect::{Effect, Notice, StoreOp};
use crate::event::StoreOutcome;
use crate::group::rules::Known;
use crate::id::{CallId, NodeAddr, Subsystem};
use crate::record::Record;

/// Pause after a failed call before the next one, in milliseconds.
const RETRY: u64 = 250;

/// The record as far as this node knows it.
#[derive(Debug)]
pub(crate) struct Book {
    name: String,
    rng: Pcg64Mcg,
    known: Known,
    call: Option<(CallId, Option<Record>)>,
    calls: u32,
    /// The state must be read before the next decision.
    stale: bool,
    read_at: Option<Millis>,
    retry: Millis,
}

impl Book {
    /// Knows nothing of the object `name`. `calls` is the number of the
    /// last store call made so far.
    pub(crate) fn new(name: String, seed: u64, calls: u32) -> Self {
        Self {
            name,
            rng: Pcg64Mcg::seed_from_u64(seed),
            known: Known::default(),
            call: None,
            calls,
            stale: true,
            read_at: None,
            retry: Millis(0),
        }
    }

    /// The last record known.
    pub(crate) fn record(&self) -> Option<&Record> {
        self.known.record.as_ref()
    }

    /// Number of the last store call.
    pub(crate) fn calls(&self) -> u32 {
        self.calls
    }

    /// Whether the outstanding call creates the record.
    pub(crate) fn creating(&self) -> bool {
        self.known.version == 0
            && self.call.as_ref().is_some_and(|(_, r)| r.is_some())
    }

    /// Whether this process wrote the last record known.
    pub(crate) fn own(&self) -> bool {
        self.known.own
    }

    /// Whether a write that makes `me` the leader may take effect.
    pub(crate) fn taking(&self, me: NodeAddr) -> bool {
        self.known.taking(me)
    }

    /// Writes that may have taken effect or may yet take effect.
    pub(crate) fn pending(&self) -> &[Record] {
        &self.known.pending
    }

    /// When the record was last read or written.
    pub(crate) fn read_at(&self) -> Option<Millis> {
        self.read_at
    }

    /// Whether the record must be read again before it is relied on.
    pub(crate) fn stale(&self) -> bool {
        self.stale
    }

    /// Asks for a read at the next opportunity.
    pub(crate) fn doubt(&mut self) {
        self.stale = true;
    }

    /// Whether a call can be made at `now`.
    pub(crate) fn idle(&self, now: Millis) -> bool {
        self.call.is_none() && now >= self.retry
    }

    /// Reads the record, if no call is outstanding.
    pub(crate) fn read(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.idle(now) {
            return;
        }
        let op = StoreOp::Read { name: self.name.clone() };
        self.start(None, op, out);
    }

    /// Updates the record on the condition of the version known.
    pub(crate) fn write(
        &mut self,
        mut record: Record,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.idle(now) {
            return;
        }
        record.writer = self.rng.next_u64();
        let op = StoreOp::Update {
            name: self.name.clone(),
            expect: self.known.version,
            value: record.encode(),
        };
        self.known.sent(record.clone());
        self.start(Some(record), op, out);
    }

    /// Takes the outcome of a call. Returns whether the record's state
    /// became known anew, by a read or a successful write.
    pub(crate) fn stored(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if self.call.as_ref().is_none_or(|(id, _)| *id != call) {
            return false;
        }
        let written = self.call.take().and_then(|(_, record)| record);
        match (outcome, written) {
            (StoreOutcome::Read { version, value }, None) => {
                self.was_read(version, &value, now, out)
            }
            (StoreOutcome::Missing, None) => {
                self.stale = false;
                self.read_at = Some(now);
                true
            }
            (StoreOutcome::Written { version }, Some(record)) => {
                self.became(version, record, now);
                true
            }
            (StoreOutcome::Conflict, Some(record)) => {
                self.known.withdrawn(record.writer);
                self.stale = true;
                false
            }
            (StoreOutcome::Unavailable, Some(record)) => {
                self.known.withdrawn(record.writer);
                self.retry = now.plus(RETRY);
                false
            }
            _ => {
                self.stale = true;
                self.retry = now.plus(RETRY);
                false
            }
        }
    }

    fn was_read(
        &mut self,
        version: u64,
        value: &[u8],
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        match Record::decode(value) {
            Ok(record) => {
                self.became(version, record, now);
                true
            }
            Err(e) => {
                let name = self.name.clone();
                let error = e.to_string();
                out.push(Effect::Notice(Notice::Rejected { name, error }));
                self.retry = now.plus(4 * RETRY);
                false
            }
        }
    }

    fn became(&mut self, version: u64, record: Record, now: Millis) {
        self.stale = false;
        self.read_at = Some(now);
        self.known.became(version, record);
    }

    fn start(
        &mut self,
        record: Option<Record>,
        op: StoreOp,
        out: &mut Vec<Effect>,
    ) {
        self.calls += 1;
        let call = CallId { subsystem: Subsystem::Group, number: self.calls };
        self.call = Some((call, record));
        out.push(Effect::Store { call, op });
    }
}
