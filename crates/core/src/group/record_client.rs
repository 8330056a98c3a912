//! Access to the group's record in the store, and what the node knows of it.
//!
//! At most one call to the store is outstanding. [`KnownRecord`] describes how
//! writes without an answer are settled.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::effect::{Effect, Notice, StoreOp};
use crate::event::StoreOutcome;
use crate::group::rules::KnownRecord;
use crate::id::{CallId, NodeAddr, Subsystem};
use crate::record::Record;

/// Pause after a failed call before the next one.
const RETRY_DELAY_MS: u64 = 250;

/// Reads and updates one group's record.
#[derive(Debug)]
pub(crate) struct RecordClient {
    name: String,
    rng: Pcg64Mcg,
    known: KnownRecord,
    /// The outstanding call, with the record if it is a write.
    call: Option<(CallId, Option<Record>)>,
    call_count: u32,
    /// The record must be read before the next decision.
    stale: bool,
    read_at: Option<Millis>,
    retry_at: Millis,
}

impl RecordClient {
    /// A client of the object `name` that has not read it yet. `call_count` is
    /// the number of store calls made so far; further calls are numbered from
    /// there, and `seed` seeds the ids of writes.
    pub(crate) fn new(name: String, seed: u64, call_count: u32) -> Self {
        Self {
            name,
            rng: Pcg64Mcg::seed_from_u64(seed),
            known: KnownRecord::default(),
            call: None,
            call_count,
            stale: true,
            read_at: None,
            retry_at: Millis(0),
        }
    }

    /// The last known record, or `None` if there is none or it has not been
    /// read.
    pub(crate) fn record(&self) -> Option<&Record> {
        self.known.record.as_ref()
    }

    /// Number of store calls made so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.call_count
    }

    /// Whether the outstanding call creates the record.
    pub(crate) fn is_creating(&self) -> bool {
        self.known.version == 0
            && self.call.as_ref().is_some_and(|(_, r)| r.is_some())
    }

    /// Whether this process wrote the last known record.
    pub(crate) fn own_write(&self) -> bool {
        self.known.own_write
    }

    /// Whether a pending write that makes `me` the leader may take effect.
    pub(crate) fn takeover_pending(&self, me: NodeAddr) -> bool {
        self.known.takeover_pending(me)
    }

    /// Writes that may have taken effect or may still do so.
    pub(crate) fn pending(&self) -> &[Record] {
        &self.known.pending
    }

    /// When the record was last read or successfully written.
    pub(crate) fn read_at(&self) -> Option<Millis> {
        self.read_at
    }

    /// Whether the record must be read again before it is relied on.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Requires the record to be read again before the next decision.
    pub(crate) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Whether no call is outstanding and the pause after a failure has
    /// passed.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        self.call.is_none() && now >= self.retry_at
    }

    /// Starts to read the record, if a call can be made at `now`.
    pub(crate) fn read(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.is_idle(now) {
            return;
        }
        let op = StoreOp::Read { name: self.name.clone() };
        self.start_call(None, op, out);
    }

    /// Starts to update the record, conditional on the known version, if a
    /// call can be made at `now`.
    pub(crate) fn write(
        &mut self,
        mut record: Record,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_idle(now) {
            return;
        }
        record.writer = self.rng.next_u64();
        let op = StoreOp::Update {
            name: self.name.clone(),
            expect: self.known.version,
            value: record.encode(),
        };
        self.known.write_sent(record.clone());
        self.start_call(Some(record), op, out);
    }

    /// Handles the outcome of a call. Returns whether the record was read
    /// anew, found to be missing, or successfully written.
    pub(crate) fn store_done(
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
                self.apply_read(version, &value, now, out)
            }
            (StoreOutcome::Missing, None) => {
                self.stale = false;
                self.read_at = Some(now);
                true
            }
            (StoreOutcome::Written { version }, Some(record)) => {
                self.observe(version, record, now);
                true
            }
            (StoreOutcome::Conflict, Some(record)) => {
                self.known.discard_write(record.writer);
                self.stale = true;
                false
            }
            (StoreOutcome::Unavailable, Some(record)) => {
                self.known.discard_write(record.writer);
                self.retry_at = now.plus(RETRY_DELAY_MS);
                false
            }
            _ => {
                self.stale = true;
                self.retry_at = now.plus(RETRY_DELAY_MS);
                false
            }
        }
    }

    fn apply_read(
        &mut self,
        version: u64,
        value: &[u8],
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        match Record::decode(value) {
            Ok(record) => {
                self.observe(version, record, now);
                true
            }
            Err(e) => {
                let name = self.name.clone();
                let error = e.to_string();
                out.push(Effect::Notice(Notice::Rejected { name, error }));
                self.retry_at = now.plus(4 * RETRY_DELAY_MS);
                false
            }
        }
    }

    fn observe(&mut self, version: u64, record: Record, now: Millis) {
        self.stale = false;
        self.read_at = Some(now);
        self.known.observe(version, record);
    }

    fn start_call(
        &mut self,
        record: Option<Record>,
        op: StoreOp,
        out: &mut Vec<Effect>,
    ) {
        self.call_count += 1;
        let call =
            CallId { subsystem: Subsystem::Group, number: self.call_count };
        self.call = Some((call, record));
        out.push(Effect::Store { call, op });
    }
}
