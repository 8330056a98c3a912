//! The rules that guarantee at most one owner per shard, as pure functions.
//!
//! The reducer and the model checker in `tests/model.rs` call the same
//! functions. All instants are readings of one VM's clock; a span measured on
//! another VM's clock is extended by the largest clock drift.

use crate::clock::{
    CLOCK_ROUNDING_MS, LEASE_TERM_MS, Millis, PROMISE_TERM_MS, with_drift,
};
use crate::id::{Epoch, Fence, NodeAddr};
use crate::record::{Record, Tenure};

/// Longest time, on this VM's clock, for which a leader may rely on a promise
/// after this VM made it.
pub const MAX_PROMISE_MS: u64 =
    with_drift(PROMISE_TERM_MS) + CLOCK_ROUNDING_MS;

/// Longest time, on this VM's clock, for which a member may hold a lease after
/// the authority of the leader that granted it ended.
pub const MAX_LEASE_MS: u64 = with_drift(LEASE_TERM_MS) + CLOCK_ROUNDING_MS;

/// When the authority of the leader `me` ends; `Millis(0)` if it has none.
/// `records` are the known record and all pending writes that may take effect:
/// every standby that any of them names must have promised not to take over.
/// `answered` returns the leader's send time of the latest promise request
/// that a node answered.
#[must_use]
pub fn authority_end<'a>(
    me: NodeAddr,
    records: impl IntoIterator<Item = &'a Record>,
    answered: impl Fn(NodeAddr) -> Option<Millis>,
    now: Millis,
) -> Millis {
    let mut end = now.plus(PROMISE_TERM_MS);
    for record in records {
        if record.leader != me || record.tenure != Tenure::Led {
            return Millis(0);
        }
        for &standby in &record.standbys {
            let Some(sent) = answered(standby) else { return Millis(0) };
            end = end.min(sent.plus(PROMISE_TERM_MS));
        }
    }
    end
}

/// Term of a lease granted at `now`; 0 if none is granted.
///
/// A lease may outlast the leader's authority, so that members keep serving
/// while the group changes its leader: the next leader grants their shards
/// back to them, and to other members only after [`prior_lease_end`].
#[must_use]
pub fn lease_term_ms(authority_end: Millis, now: Millis) -> u64 {
    if now < authority_end { LEASE_TERM_MS } else { 0 }
}

/// Whether a leader of `epoch` immediately grants shards back to a member that
/// reports a lease of `left_ms` milliseconds under `plan`. No earlier leader
/// granted them to another member while that lease was valid, and none can any
/// more; this leader does so only after `prior_end`.
#[must_use]
pub fn may_reclaim(
    plan: Fence,
    left_ms: u16,
    epoch: Epoch,
    prior_end: Millis,
    now: Millis,
) -> bool {
    left_ms > 0 && plan.epoch < epoch && now < prior_end
}

/// Latest instant, on the leader's clock, at which a member may hold its
/// shards under a lease of `term_ms` granted at `now`.
#[must_use]
pub fn latest_lease_end(now: Millis, term_ms: u64) -> Millis {
    now.plus(with_drift(term_ms) + CLOCK_ROUNDING_MS)
}

/// When a lease ends on the member's clock. It is counted from the member's
/// sending of the heartbeat, which precedes the leader's decision.
#[must_use]
pub fn lease_end(sent: Millis, term_ms: u64) -> Millis {
    sent.plus(term_ms)
}

/// Whether a shard may be granted. `free` means that its last holder released
/// it or that the holder's lease has expired; `prior_end` is the latest
/// instant at which a holder unknown to this leader may hold it.
#[must_use]
pub fn may_grant(free: bool, prior_end: Millis, now: Millis) -> bool {
    free || now >= prior_end
}

/// Whether a lease has certainly expired, given the latest instant at which it
/// may be valid on the leader's clock.
#[must_use]
pub fn lease_expired(latest_end: Millis, now: Millis) -> bool {
    now >= latest_end
}

/// Whether a member that acts on plan `current` switches to plan `offered`.
/// Plans may arrive late or out of order, so only a later one is accepted.
#[must_use]
pub fn accepts_plan(current: Fence, offered: Fence) -> bool {
    offered > current
}

/// Whether a lease of `epoch` at plan `version` renews the lease of a member
/// that acts on `plan`. A member with an older plan could serve shards that
/// have been revoked.
#[must_use]
pub fn renews_lease(plan: Fence, epoch: Epoch, version: u32) -> bool {
    plan.epoch == epoch && plan.sequence >= version
}

/// Whether a member's report that it released a shard counts. The plan that
/// the member acted on must be the one that revoked the shard or a later one
/// of the same epoch; an older report belongs to an earlier move.
#[must_use]
pub fn confirms_release(
    plan: Fence,
    epoch: Epoch,
    revoked_version: u32,
) -> bool {
    plan.epoch == epoch && plan.sequence >= revoked_version
}

/// How a node answers a promise request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseDecision {
    /// The node promises not to take over until the promise ends.
    Promise,
    /// The node refuses since it knows a later epoch.
    Refuse,
    /// The node does not answer, since it may be taking over or has not read
    /// the record since it started.
    Ignore,
}

/// Decides how to answer a promise request of the leader of epoch `requested`.
///
/// `record_read` says whether this process has read the record since it
/// started. Without that, a node that took over and restarted would not know
/// of its own epoch, and its promise would restore the authority of the leader
/// that it had replaced. `known` is the latest epoch that the node knows;
/// `takeover_pending` says whether a write that makes it the leader is
/// pending.
#[must_use]
pub fn decide_promise(
    requested: Epoch,
    known: Epoch,
    record_read: bool,
    takeover_pending: bool,
) -> PromiseDecision {
    if requested < known {
        PromiseDecision::Refuse
    } else if takeover_pending || !record_read {
        PromiseDecision::Ignore
    } else {
        PromiseDecision::Promise
    }
}

/// When a promise made at `now` expires for the node that made it. A process
/// that starts is bound as if it had promised at its start.
#[must_use]
pub fn promise_end(now: Millis) -> Millis {
    now.plus(MAX_PROMISE_MS)
}

/// Whether the node `me` may replace the leader in `record`. `promised_until`
/// is the end of its promises, `first_seen` the time at which it first read
/// the record's epoch and tenure.
#[must_use]
pub fn may_take_over(
    record: &Record,
    me: NodeAddr,
    promised_until: Millis,
    first_seen: Millis,
    now: Millis,
) -> bool {
    match record.tenure {
        Tenure::Vacant => true,
        Tenure::Ceded => {
            record.leader == me
                || now.since(first_seen) >= SUCCESSOR_HEAD_START_MS
        }
        Tenure::Led if now < promised_until => false,
        // Either an earlier process at this address led, or an operator named
        // this node as leader: leases under that record may be valid.
        Tenure::Led if record.leader == me => {
            now >= first_seen.plus(MAX_PROMISE_MS)
        }
        Tenure::Led => record.standbys.contains(&me),
    }
}

/// Time for which the successor that a leaving leader named may take over
/// before any other node tries to.
const SUCCESSOR_HEAD_START_MS: u64 = 500;

/// The record by which the node `me` replaces the leader. `known` is the
/// latest epoch that it knows.
#[must_use]
pub fn takeover_record(record: &Record, me: NodeAddr, known: Epoch) -> Record {
    let mut next = record.clone();
    next.epoch = Epoch(record.epoch.0.max(known.0) + 1);
    next.leader = me;
    next.tenure = Tenure::Led;
    next.standbys.retain(|&n| n != me);
    next
}

/// Latest instant at which leases of the replaced leader may be valid, on the
/// clock of the node `me` that writes its [`takeover_record`] at `now`.
/// `promised_until` and `first_seen` are those of [`may_take_over`].
#[must_use]
pub fn prior_lease_end(
    record: &Record,
    me: NodeAddr,
    promised_until: Millis,
    first_seen: Millis,
    now: Millis,
) -> Millis {
    match record.tenure {
        Tenure::Vacant => now,
        // The leader gave up its authority before this node read the record.
        Tenure::Ceded => now.plus(MAX_LEASE_MS),
        // An earlier process at this address ended before `first_seen`.
        Tenure::Led if record.leader == me => first_seen.plus(MAX_LEASE_MS),
        // The leader's authority ended no later than this node's promise.
        Tenure::Led => promised_until.plus(MAX_LEASE_MS),
    }
}

/// Whether a leaving leader may declare the group vacant, which lets any node
/// grant its shards at once. `latest_ends` are the latest ends of the leases
/// that it granted, `prior_end` that of leases of the leader that it replaced.
#[must_use]
pub fn may_vacate(
    latest_ends: impl IntoIterator<Item = Millis>,
    prior_end: Millis,
    now: Millis,
) -> bool {
    now >= prior_end
        && latest_ends.into_iter().all(|end| lease_expired(end, now))
}

/// What a node knows of a record in the store.
///
/// A write whose answer was lost may take effect at any later time, even after
/// a read that still returned the old record. It is settled only once the
/// record's version exceeds the one that the write was conditional on.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct KnownRecord {
    /// Store version of the last known record; 0 if there is no record.
    pub version: u64,
    /// The last known record, by a read or a successful write.
    pub record: Option<Record>,
    /// Writes conditional on `version` that may have taken effect or may still
    /// do so.
    pub pending: Vec<Record>,
    /// Whether this process wrote the last known record.
    pub own_write: bool,
}

impl KnownRecord {
    /// Records that a write was sent.
    pub fn write_sent(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// Records that the write with the id `writer` certainly had no effect.
    pub fn discard_write(&mut self, writer: u64) {
        self.pending.retain(|r| r.writer != writer);
    }

    /// Takes the record of a read or a successful write. Ignored unless its
    /// version is newer than the known one.
    pub fn observe(&mut self, version: u64, record: Record) {
        if version <= self.version {
            return;
        }
        self.own_write =
            self.pending.iter().any(|r| r.writer == record.writer);
        self.version = version;
        self.record = Some(record);
        self.pending.clear();
    }

    /// Whether a pending write that makes `me` the leader may take effect.
    #[must_use]
    pub fn takeover_pending(&self, me: NodeAddr) -> bool {
        self.pending.iter().any(|r| r.leader == me)
    }
}
