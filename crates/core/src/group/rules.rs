//! The decisions on which "at most one owner" rests, as pure functions.
//!
//! The reducer and the model checker in `tests/model.rs` call the same
//! functions. All times are readings of one VM's clock; spans of another
//! VM's clock are extended by the greatest drift.

use crate::clock::{GRAIN, LEASE, Millis, PROMISE, with_drift};
use crate::id::{Epoch, Fence, NodeAddr};
use crate::record::{Record, Tenure};

/// Longest time by this VM's clock for which a leader may rely on a promise
/// after this VM made it, in milliseconds.
pub const SPAN: u64 = with_drift(PROMISE) + GRAIN;

/// Longest time by this VM's clock for which a member may hold a lease after
/// the authority of the leader that granted it ended, in milliseconds.
pub const LEASE_SPAN: u64 = with_drift(LEASE) + GRAIN;

/// When a leader's authority ends. `records` are the record known and all
/// writes that may take effect: every standby that any of them names must
/// have promised. `answered` gives the leader's send time of the latest
/// request that a node answered.
#[must_use]
pub fn authority<'a>(
    me: NodeAddr,
    records: impl IntoIterator<Item = &'a Record>,
    answered: impl Fn(NodeAddr) -> Option<Millis>,
    now: Millis,
) -> Millis {
    let mut end = now.plus(PROMISE);
    for record in records {
        if record.leader != me || record.tenure != Tenure::Led {
            return Millis(0);
        }
        for &standby in &record.standbys {
            let Some(sent) = answered(standby) else { return Millis(0) };
            end = end.min(sent.plus(PROMISE));
        }
    }
    end
}

/// The term of a lease granted at `now`, in milliseconds; 0 for none.
///
/// A lease may outlast the authority, so that members go on while the group
/// changes its leader: the next leader grants their shards back to them, and
/// to others only after [`orphan_end`].
#[must_use]
pub fn term(authority: Millis, now: Millis) -> u64 {
    if now < authority { LEASE } else { 0 }
}

/// Whether a member that reports a lease of `left` milliseconds under `plan`
/// is granted its shards back at once by a leader of `epoch`. No earlier
/// leader granted them to another member while that lease was valid, and
/// none can any more; this leader does so only after `orphan`.
#[must_use]
pub fn keeps(
    plan: Fence,
    left: u16,
    epoch: Epoch,
    orphan: Millis,
    now: Millis,
) -> bool {
    left > 0 && plan.epoch < epoch && now < orphan
}

/// Latest instant, by the leader's clock, at which a member may hold its
/// shards under a lease granted at `now`.
#[must_use]
pub fn latest(now: Millis, term: u64) -> Millis {
    now.plus(with_drift(term) + GRAIN)
}

/// When a lease ends by the member's clock: counted from the member's own
/// sending of the heartbeat, which precedes the leader's decision.
#[must_use]
pub fn lease_end(sent: Millis, term: u64) -> Millis {
    sent.plus(term)
}

/// Whether a shard may be granted. `free` says that its last holder
/// released it or that the holder's lease has lapsed; `orphan` is the
/// latest instant at which a holder unknown to this leader may hold it.
#[must_use]
pub fn may_give(free: bool, orphan: Millis, now: Millis) -> bool {
    free || now >= orphan
}

/// Whether a member's lease has ended for certain.
#[must_use]
pub fn lapsed(latest: Millis, now: Millis) -> bool {
    now >= latest
}

/// Whether a member acts on a plan. Plans may arrive late or out of order.
#[must_use]
pub fn accepts_plan(current: Fence, offered: Fence) -> bool {
    offered > current
}

/// Whether a lease of `epoch` at plan `version` renews a member that acts
/// on `plan`.
#[must_use]
pub fn renews(plan: Fence, epoch: Epoch, version: u32) -> bool {
    plan.epoch == epoch && plan.sequence >= version
}

/// Whether a report that a member with plan `plan` released a shard counts:
/// it must follow the plan that revoked the shard.
#[must_use]
pub fn releases(plan: Fence, epoch: Epoch, revoked: u32) -> bool {
    plan.epoch == epoch && plan.sequence >= revoked
}

/// What a node answers to a promise request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// No takeover before the end of the promise.
    Promise,
    /// The node knows a later epoch.
    Refuse,
    /// The node may be taking over, or knows too little to promise.
    Silence,
}

/// Answers a promise request.
///
/// `informed` says that this process has read the record since it started.
/// Without that, a node that took over and restarted would not know of its
/// own epoch, and its promise would give authority back to the leader that
/// it had replaced. `known` is the latest epoch that the node knows;
/// `taking` says that a write which makes it the leader is pending.
#[must_use]
pub fn answer(
    asked: Epoch,
    known: Epoch,
    informed: bool,
    taking: bool,
) -> Answer {
    if asked < known {
        Answer::Refuse
    } else if taking || !informed {
        Answer::Silence
    } else {
        Answer::Promise
    }
}

/// Until when a promise given at `now` binds its giver. A process that
/// starts is bound as if it had promised at its start.
#[must_use]
pub fn promise_end(now: Millis) -> Millis {
    now.plus(SPAN)
}

/// Whether a node may replace the leader in `record`. `bound` is the end of
/// its promises, `seen` when it first read this epoch and tenure.
#[must_use]
pub fn may_claim(
    record: &Record,
    me: NodeAddr,
    bound: Millis,
    seen: Millis,
    now: Millis,
) -> bool {
    match record.tenure {
        Tenure::Vacant => true,
        Tenure::Ceded => record.leader == me || now.since(seen) >= HEIR_PAUSE,
        Tenure::Led if now < bound => false,
        // An earlier process at this address led, or an operator named this
        // node: leases under that record may be valid.
        Tenure::Led if record.leader == me => now >= seen.plus(SPAN),
        Tenure::Led => record.standbys.contains(&me),
    }
}

/// Time that the heir of a leaving leader has before other nodes try to
/// take over, in milliseconds.
const HEIR_PAUSE: u64 = 500;

/// The record by which a node replaces the leader. `known` is the latest
/// epoch that it knows.
#[must_use]
pub fn successor(record: &Record, me: NodeAddr, known: Epoch) -> Record {
    let mut next = record.clone();
    next.epoch = Epoch(record.epoch.0.max(known.0) + 1);
    next.leader = me;
    next.tenure = Tenure::Led;
    next.standbys.retain(|&n| n != me);
    next
}

/// Latest instant at which leases of the replaced leader may last, by the
/// clock of the node `me` that writes its [`successor`] at `now`. `bound`
/// and `seen` are those of [`may_claim`].
#[must_use]
pub fn orphan_end(
    record: &Record,
    me: NodeAddr,
    bound: Millis,
    seen: Millis,
    now: Millis,
) -> Millis {
    match record.tenure {
        Tenure::Vacant => now,
        // The leader gave up its authority before the record was read.
        Tenure::Ceded => now.plus(LEASE_SPAN),
        // An earlier process at this address ended before `seen`.
        Tenure::Led if record.leader == me => seen.plus(LEASE_SPAN),
        // The leader's authority ended with this node's promise.
        Tenure::Led => bound.plus(LEASE_SPAN),
    }
}

/// What is known of a record in the store.
///
/// A write whose answer was lost may take effect at any later moment, even
/// after a read that still shows the old record. It is settled only when the
/// version moves past the one that the write was conditional on.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Known {
    /// Version of the last state known; 0 if there is no record.
    pub version: u64,
    /// The last state known.
    pub record: Option<Record>,
    /// Writes on the condition of `version` that may yet take effect.
    pub pending: Vec<Record>,
    /// Whether this process wrote the last state known.
    pub own: bool,
}

impl Known {
    /// A write was sent.
    pub fn sent(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// A write certainly had no effect.
    pub fn withdrawn(&mut self, writer: u64) {
        self.pending.retain(|r| r.writer != writer);
    }

    /// A state was read or written.
    pub fn became(&mut self, version: u64, record: Record) {
        if version <= self.version {
            return;
        }
        self.own = self.pending.iter().any(|r| r.writer == record.writer);
        self.version = version;
        self.record = Some(record);
        self.pending.clear();
    }

    /// Whether a write that makes `me` the leader may take effect.
    #[must_use]
    pub fn taking(&self, me: NodeAddr) -> bool {
        self.pending.iter().any(|r| r.leader == me)
    }
}
