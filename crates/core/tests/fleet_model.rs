//! Model check of ownership in a fleet: all interleavings of a small model.
//!
//! Two nodes share one key range. Node `A` owns it, renews its lease, claims
//! the range, transfers it to `B`, crashes and restarts. `B` takes the range
//! over when it considers `A` lost, writes the changes that `A` proposes, and
//! grants the range to its upstream. Messages may take effect at any later
//! time or never, and lose their answers. The decisions are made by
//! [`lagoondyke_core::fleet::rules`] and by [`Proposal::apply`], which the
//! reducer calls too; everything around them is modelled here. Each rule is
//! also broken on purpose, and the search must then find two owners.
//!
//! `A` tells its upstream to hold the range in the answer to an announcement,
//! or in calls. A call arrives within a step of time or never. Once it has
//! arrived it may be applied at any later time, twice, after later calls, or
//! never, and its answer may be lost.

use std::collections::{BTreeMap, HashMap, VecDeque};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
use lagoondyke_core::fleet::rules::{Revocation, may_grant, may_take_over};
use lagoondyke_core::fleet::table::{MAX_KEY, Range, Table};

/// Duration of a lease, in steps of time.
const LEASE_STEPS: u8 = 2;

/// Longest duration of a grant, in steps of time.
const GRANT_STEPS: u8 = 2;

/// Time in which a call to the upstream arrives, if it does.
const CALL_STEPS: u8 = 1;

/// Largest number of messages in flight.
const MAX_MESSAGE_COUNT: usize = 2;

/// Upper bounds of a search, which keep the number of states finite.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Renewals, proposals and crashes of `A`.
    renewals: u8,
    proposals: u8,
    crashes: u8,
    /// Updates of the table by `B`.
    updates: u8,
    /// Grants and releases that `A` sends to its upstream in calls; it answers
    /// announcements if there are none.
    calls: u8,
    /// Restarts of `A`'s upstream.
    upstream_restarts: u8,
}

const NONE: Limits = Limits {
    renewals: 0,
    proposals: 0,
    crashes: 0,
    updates: 0,
    calls: 0,
    upstream_restarts: 0,
};

/// The searches: one in which a lease is lost and acquired again, and one with
/// a crash; and with calls, a hand-over, one after a crash, and a loss of the
/// lease.
const SEARCHES: [Limits; 5] = [
    Limits { renewals: 2, proposals: 1, updates: 2, ..NONE },
    Limits { renewals: 1, proposals: 2, crashes: 1, updates: 2, ..NONE },
    Limits {
        proposals: 1,
        updates: 1,
        calls: 4,
        upstream_restarts: 1,
        ..NONE
    },
    Limits {
        renewals: 1,
        proposals: 2,
        crashes: 1,
        updates: 2,
        calls: 1,
        ..NONE
    },
    Limits { renewals: 1, updates: 1, calls: 2, ..NONE },
];

/// Number of states at which a search fails. All have fewer.
const MAX_STATE_COUNT: usize = 4_000_000;

/// A rule that is broken on purpose, to show that the search finds the two
/// owners that follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    ApplyEarlierTerm,
    CountLateAnswers,
    CountLeaseFromReceipt,
    ForgetGrantsOfEarlierProcess,
    ForgetMove,
    ForgetUnansweredCalls,
    GrantBeyondArrival,
    GrantBeyondLease,
    GrantWithoutClaim,
    GrantWithoutLease,
    HandOverBeforeRelease,
    KeepTermOfLostLease,
    ReleaseBeforeAnswer,
    ReleaseEndsUnansweredCalls,
    RevokeWithoutCondition,
    TakeOverDespiteClaim,
    TakeOverBeforeEnd,
    WriteTableWithoutCondition,
}

const FAULTS: [Fault; 18] = [
    Fault::ApplyEarlierTerm,
    Fault::CountLateAnswers,
    Fault::CountLeaseFromReceipt,
    Fault::ForgetGrantsOfEarlierProcess,
    Fault::ForgetMove,
    Fault::ForgetUnansweredCalls,
    Fault::GrantBeyondArrival,
    Fault::GrantBeyondLease,
    Fault::GrantWithoutClaim,
    Fault::GrantWithoutLease,
    Fault::HandOverBeforeRelease,
    Fault::KeepTermOfLostLease,
    Fault::ReleaseBeforeAnswer,
    Fault::ReleaseEndsUnansweredCalls,
    Fault::RevokeWithoutCondition,
    Fault::TakeOverDespiteClaim,
    Fault::TakeOverBeforeEnd,
    Fault::WriteTableWithoutCondition,
];

/// The modelled part of the table: one range and `A`'s claim.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct View {
    revision: u8,
    fence: u8,
    /// `A` owns the range, not `B`.
    owned: bool,
    /// Lease term under which `A` has claimed the range.
    claim: u8,
}

/// `A`'s record in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Record {
    revision: u8,
    /// The process that wrote it; `None` if `B` has revoked the lease.
    process: Option<u8>,
}

/// A message in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// `A` renews its lease. `awaited` is false once it has stopped waiting
    /// for the answer.
    Renew { process: u8, expect: u8, ends: u8, awaited: bool },
    /// The store answers a renewal with the revision and writer of the record.
    /// `ends` is the end of the renewed lease; 0 if the renewal failed.
    Answer { process: u8, revision: u8, writer: Option<u8>, ends: u8 },
    /// `B` revokes the lease, which has expired by `ends`.
    Revoke { expect: u8, ends: u8 },
    /// `A` proposes its claim and, if there is a `transfer`, to transfer the
    /// range that it owns with this fencing token.
    Propose { term: u8, transfer: Option<u8> },
    /// `A` grants the range to its upstream. `awaited` is false once it has
    /// stopped waiting for the answer. It arrives before `expires`.
    Grant { hold: u8, expires: u8, awaited: bool },
    /// A grant that has arrived and is applied now or later.
    Arrived { ends: u8, awaited: bool },
    /// `A` takes the range back from its upstream.
    Release { awaited: bool },
    /// `B` updates the table.
    Update { expect: u8, fence: u8, owned: bool, claim: u8 },
}

impl Message {
    /// Whether `A` waits for this message or for the answer to it.
    fn is_awaited(self) -> bool {
        matches!(self, Self::Renew { awaited: true, .. } | Self::Answer { .. })
    }
}

/// Node `A`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Owner {
    process: u8,
    /// Lease term; 0 without a lease.
    term: u8,
    /// When its lease expires.
    lease_until: u8,
    /// Revision of its record; `None` until it has read it.
    revision: Option<u8>,
    view: View,
    /// Whether it is about to transfer the range.
    moving: bool,
    /// Until when its upstream may hold the range, as far as it knows.
    granted_until: u8,
    /// The same by the call that it awaits, and by those that it no longer
    /// awaits.
    call_until: u8,
    unanswered_until: u8,
    calls: u8,
    renewals: u8,
    proposals: u8,
}

/// Node `B`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Successor {
    view: View,
    /// What it knows of `A`'s lease: revision and end.
    peer_lease: Option<(u8, u8)>,
    /// End and term of the revocation.
    revocation: Option<(u8, u8)>,
    updates: u8,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u8,
    /// Latest revision in the store.
    revision: u8,
    record: Record,
    table: View,
    a: Owner,
    b: Successor,
    /// Until when the upstreams of `A` and `B` hold the range.
    held_until: [u8; 2],
    upstream_restarts: u8,
    /// Messages in flight.
    messages: Vec<Message>,
}

impl State {
    fn new() -> Self {
        let record = Record { revision: 1, process: Some(0) };
        let table = View { revision: 2, fence: 1, owned: true, claim: 1 };
        Self {
            now: 0,
            revision: 2,
            record,
            table,
            a: Owner {
                process: 0,
                term: 1,
                lease_until: LEASE_STEPS,
                revision: Some(1),
                view: table,
                moving: false,
                granted_until: 0,
                call_until: 0,
                unanswered_until: 0,
                calls: 0,
                renewals: 0,
                proposals: 0,
            },
            b: Successor {
                view: table,
                peer_lease: None,
                revocation: None,
                updates: 0,
            },
            held_until: [0, 0],
            upstream_restarts: 0,
            messages: Vec::new(),
        }
    }

    fn is_within(&self, limits: Limits) -> bool {
        self.messages.len() <= MAX_MESSAGE_COUNT
            && self.a.renewals <= limits.renewals
            && self.a.proposals <= limits.proposals
            && self.a.process <= limits.crashes
            && self.a.calls <= limits.calls
            && self.upstream_restarts <= limits.upstream_restarts
            && self.b.updates <= limits.updates
    }

    /// Makes states equal that differ only in the time that has passed or in
    /// the number of revisions written, so that the search is finite.
    fn normalize(&mut self) {
        let now = std::mem::take(&mut self.now);
        self.change_times(|time| *time = time.saturating_sub(now));
        let mut seen = vec![0];
        self.change_revisions(|revision| seen.push(*revision));
        seen.sort_unstable();
        seen.dedup();
        self.change_revisions(|revision| {
            let rank = seen.binary_search(revision).expect("it was seen");
            *revision = rank as u8;
        });
        self.messages.sort_unstable();
    }

    /// Changes each point in time.
    fn change_times(&mut self, mut change: impl FnMut(&mut u8)) {
        change(&mut self.a.lease_until);
        change(&mut self.a.granted_until);
        change(&mut self.a.call_until);
        change(&mut self.a.unanswered_until);
        self.held_until.iter_mut().for_each(&mut change);
        self.b.peer_lease.iter_mut().for_each(|lease| change(&mut lease.1));
        self.b.revocation.iter_mut().for_each(|ended| change(&mut ended.0));
        for message in &mut self.messages {
            match message {
                Message::Renew { ends, .. }
                | Message::Answer { ends, .. }
                | Message::Revoke { ends, .. }
                | Message::Arrived { ends, .. } => change(ends),
                Message::Grant { expires, .. } => change(expires),
                _ => {}
            }
        }
    }

    /// Changes each revision, and each term, which is the revision of a
    /// record.
    fn change_revisions(&mut self, mut change: impl FnMut(&mut u8)) {
        change(&mut self.revision);
        change(&mut self.record.revision);
        change(&mut self.a.term);
        self.a.revision.iter_mut().for_each(&mut change);
        self.b.peer_lease.iter_mut().for_each(|lease| change(&mut lease.0));
        self.b.revocation.iter_mut().for_each(|ended| change(&mut ended.1));
        for view in [&mut self.table, &mut self.a.view, &mut self.b.view] {
            change(&mut view.revision);
            change(&mut view.claim);
        }
        for message in &mut self.messages {
            match message {
                Message::Renew { expect, .. }
                | Message::Revoke { expect, .. } => change(expect),
                Message::Answer { revision, .. } => change(revision),
                Message::Propose { term, .. } => change(term),
                Message::Update { expect, claim, .. } => {
                    change(expect);
                    change(claim);
                }
                _ => {}
            }
        }
    }

    /// Whether both upstreams hold the range.
    fn has_two_owners(&self) -> bool {
        self.held_until.iter().all(|&until| until > self.now)
    }

    fn send(&mut self, message: Message) {
        self.messages.push(message);
        self.messages.sort_unstable();
    }

    fn next_revision(&mut self) -> u8 {
        self.revision += 1;
        self.revision
    }

    /// All states that are one step away.
    fn next_states(&self, limits: Limits, fault: Option<Fault>) -> Vec<Self> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self) -> bool| {
            let mut next = self.clone();
            if change(&mut next) && next.is_within(limits) {
                next.normalize();
                all.push(next);
            }
        };
        step(&|s| {
            s.now += 1;
            true
        });
        step(&|s| s.renew(fault));
        step(&|s| s.abandon_renewal());
        step(&|s| s.read_record());
        step(&|s| s.read_table(true));
        step(&|s| s.read_table(false));
        if limits.calls == 0 {
            step(&|s| s.grant_at_a(fault));
        } else {
            step(&|s| s.call_upstream(fault));
            step(&|s| s.abandon_call(fault));
            step(&|s| s.restart_upstream());
        }
        step(&|s| {
            s.a.moving |= s.a.view.owned;
            true
        });
        step(&|s| {
            let forgets = fault == Some(Fault::ForgetMove);
            s.a.moving &= !forgets;
            true
        });
        step(&|s| s.propose(fault));
        step(&|s| s.crash(fault));
        step(&|s| s.gossip());
        step(&|s| s.read_peer_record());
        step(&|s| s.revoke());
        step(&|s| s.take_over(fault));
        step(&|s| s.grant_at_b());
        for index in 0..self.messages.len() {
            for answered in [true, false] {
                step(&|s| {
                    let message = s.messages.remove(index);
                    s.perform(message, answered, fault);
                    true
                });
            }
            // A call may be applied once more.
            step(&|s| {
                let Message::Arrived { ends, .. } = s.messages[index] else {
                    return false;
                };
                s.held_until[0] = ends;
                true
            });
        }
        all
    }

    /// `A` sends a renewal.
    fn renew(&mut self, fault: Option<Fault>) -> bool {
        let Some(expect) = self.a.revision else { return false };
        let late = fault == Some(Fault::CountLateAnswers);
        if !late && self.messages.iter().any(|message| message.is_awaited()) {
            return false;
        }
        let process = self.a.process;
        let ends = self.now + LEASE_STEPS;
        let awaited = true;
        self.a.renewals += 1;
        self.send(Message::Renew { process, expect, ends, awaited });
        true
    }

    /// `A` stops waiting for the answer to a renewal, which may still take
    /// effect.
    fn abandon_renewal(&mut self) -> bool {
        let answer = |m: &Message| matches!(m, Message::Answer { .. });
        self.messages.retain(|message| !answer(message));
        for message in &mut self.messages {
            if let Message::Renew { awaited, .. } = message {
                *awaited = false;
            }
        }
        true
    }

    /// `A` reads its record after a restart.
    fn read_record(&mut self) -> bool {
        if self.a.revision.is_some() {
            return false;
        }
        self.a.revision = Some(self.record.revision);
        true
    }

    /// `A` (`owner`) or `B` reads the table.
    fn read_table(&mut self, owner: bool) -> bool {
        let view = if owner { &mut self.a.view } else { &mut self.b.view };
        *view = self.table;
        if owner && !self.a.view.owned {
            self.a.moving = false;
        }
        true
    }

    /// `A` answers an announcement of its upstream with a grant.
    fn grant_at_a(&mut self, fault: Option<Fault>) -> bool {
        let Owner { term, lease_until, view, .. } = self.a;
        let left = lease_until.saturating_sub(self.now);
        let mut claim = Some(u64::from(view.claim));
        let (mut lease, mut max) = (left, left);
        match fault {
            Some(Fault::GrantWithoutClaim) => claim = Some(term.into()),
            Some(Fault::GrantWithoutLease) => (lease, max) = (1, GRANT_STEPS),
            Some(Fault::GrantBeyondLease) => max = GRANT_STEPS,
            _ => {}
        }
        if !may_grant(claim, term.into(), lease.into()) || !view.owned {
            return false;
        }
        if self.a.moving {
            // The answer leaves the range out, and the upstream releases it.
            self.held_until[0] = 0;
            self.a.granted_until = 0;
            return true;
        }
        self.held_until[0] = self.now + GRANT_STEPS.min(max);
        self.a.granted_until = self.a.granted_until.max(self.held_until[0]);
        true
    }

    /// `A` grants the range to its upstream in a call, or takes it back.
    fn call_upstream(&mut self, fault: Option<Fault>) -> bool {
        let Owner { term, lease_until, view, .. } = self.a;
        let left = lease_until.saturating_sub(self.now);
        let claim = Some(u64::from(view.claim));
        if !may_grant(claim, term.into(), left.into()) || !view.owned {
            return false;
        }
        // It awaits the answer to a grant that may have an effect.
        let busy = self.a.call_until > self.now;
        self.a.calls += 1;
        if self.a.moving {
            if busy && fault != Some(Fault::ReleaseBeforeAnswer) {
                return false;
            }
            self.send(Message::Release { awaited: true });
            return true;
        }
        let late = fault == Some(Fault::GrantBeyondArrival);
        let arrival = if late { 0 } else { CALL_STEPS };
        let hold = left.saturating_sub(arrival).min(GRANT_STEPS);
        if busy || hold == 0 {
            return false;
        }
        let expires = self.now + CALL_STEPS + 1;
        self.a.call_until = self.now + CALL_STEPS + hold;
        self.send(Message::Grant { hold, expires, awaited: true });
        true
    }

    /// `A` waits for no answer to a call any more.
    fn stop_awaiting_calls(&mut self) {
        for message in &mut self.messages {
            match message {
                Message::Grant { awaited, .. }
                | Message::Arrived { awaited, .. }
                | Message::Release { awaited } => *awaited = false,
                _ => {}
            }
        }
    }

    /// `A` stops waiting for the answer to its call, which may still be
    /// applied.
    fn abandon_call(&mut self, fault: Option<Fault>) -> bool {
        self.stop_awaiting_calls();
        let until = std::mem::take(&mut self.a.call_until);
        if fault != Some(Fault::ForgetUnansweredCalls) {
            self.a.unanswered_until = self.a.unanswered_until.max(until);
        }
        true
    }

    /// `A`'s upstream restarts. Calls that have not arrived may reach the new
    /// instance.
    fn restart_upstream(&mut self) -> bool {
        self.upstream_restarts += 1;
        self.held_until[0] = 0;
        self.messages.retain(|m| !matches!(m, Message::Arrived { .. }));
        true
    }

    /// `A` proposes its claim, or to transfer the range once it is released.
    fn propose(&mut self, fault: Option<Fault>) -> bool {
        let Owner { term, lease_until, view, moving, granted_until, .. } =
            self.a;
        if term == 0 || lease_until <= self.now {
            return false;
        }
        let claim = Some(u64::from(view.claim));
        let claimed = may_grant(claim, term.into(), 1);
        let early = fault == Some(Fault::HandOverBeforeRelease);
        let called = self.a.call_until.max(self.a.unanswered_until);
        let free = granted_until.max(called) <= self.now || early;
        let transfers = claimed && moving && view.owned && free;
        if claimed && !transfers {
            return false;
        }
        let transfer = transfers.then_some(view.fence);
        self.a.proposals += 1;
        self.send(Message::Propose { term, transfer });
        true
    }

    /// `A` crashes and restarts.
    fn crash(&mut self, fault: Option<Fault>) -> bool {
        let forgets = fault == Some(Fault::ForgetGrantsOfEarlierProcess);
        self.a = Owner {
            process: self.a.process + 1,
            term: 0,
            lease_until: 0,
            revision: None,
            view: self.table,
            moving: false,
            granted_until: if forgets { 0 } else { self.now + GRANT_STEPS },
            call_until: 0,
            unanswered_until: if forgets {
                0
            } else {
                self.now + CALL_STEPS + GRANT_STEPS
            },
            ..self.a
        };
        self.stop_awaiting_calls();
        true
    }

    /// `A` reports its lease to `B`.
    fn gossip(&mut self) -> bool {
        let Some(revision) = self.a.revision else { return false };
        if self.a.lease_until <= self.now || self.a.term == 0 {
            return false;
        }
        self.b.peer_lease = Some((revision, self.a.lease_until));
        self.b.revocation.is_none()
    }

    /// `B` reads `A`'s record.
    fn read_peer_record(&mut self) -> bool {
        let Record { revision, process } = self.record;
        let ends = self.now + LEASE_STEPS;
        if self.b.revocation.is_some() {
            return false;
        }
        match process {
            Some(_) => self.b.peer_lease = Some((revision, ends)),
            None => self.b.revocation = Some((ends, revision)),
        }
        true
    }

    /// `B` sends a revocation of `A`'s lease.
    fn revoke(&mut self) -> bool {
        let Some((expect, ends)) = self.b.peer_lease else { return false };
        self.b.peer_lease = None;
        self.send(Message::Revoke { expect, ends });
        self.b.revocation.is_none()
    }

    /// `B` takes the range over after the revocation.
    fn take_over(&mut self, fault: Option<Fault>) -> bool {
        let Some((ends, term)) = self.b.revocation else { return false };
        let mut revocation =
            Revocation { ends: Millis(ends.into()), term: term.into() };
        match fault {
            Some(Fault::TakeOverBeforeEnd) => revocation.ends = Millis(0),
            Some(Fault::TakeOverDespiteClaim) => revocation.term = u64::MAX,
            _ => {}
        }
        let view = self.b.view;
        let now = Millis(self.now.into());
        let may = may_take_over(view.claim.into(), revocation, now);
        if !may || !view.owned {
            return false;
        }
        self.write(View { fence: view.fence + 1, owned: false, ..view });
        true
    }

    /// `B` sends an update of the table.
    fn write(&mut self, new: View) {
        let View { fence, owned, claim, .. } = new;
        let expect = self.b.view.revision;
        self.b.updates += 1;
        self.send(Message::Update { expect, fence, owned, claim });
    }

    /// `B` answers an announcement of its upstream with a grant.
    fn grant_at_b(&mut self) -> bool {
        self.held_until[1] = self.now + GRANT_STEPS;
        !self.b.view.owned
    }

    /// A message takes effect. Its answer is lost unless it is `answered`.
    fn perform(
        &mut self,
        message: Message,
        answered: bool,
        fault: Option<Fault>,
    ) {
        match message {
            Message::Renew { process, expect, ends, awaited } => {
                let done = expect == self.record.revision;
                if done {
                    let revision = self.next_revision();
                    let process = Some(process);
                    self.record = Record { revision, process };
                }
                let Record { revision, process: writer } = self.record;
                let ends = if done { ends } else { 0 };
                if answered && awaited {
                    self.send(Message::Answer {
                        process,
                        revision,
                        writer,
                        ends,
                    });
                }
            }
            Message::Answer { process, revision, writer, ends } => {
                if process == self.a.process {
                    self.on_renewal_done(revision, writer, ends, fault);
                }
            }
            Message::Revoke { expect, ends } => {
                let blind = fault == Some(Fault::RevokeWithoutCondition);
                if expect != self.record.revision && !blind {
                    return;
                }
                let revision = self.next_revision();
                self.record = Record { revision, process: None };
                if answered {
                    self.b.revocation = Some((ends, revision));
                }
            }
            Message::Grant { hold, expires, awaited } => {
                // Neither answered nor applied yet; or lost.
                if answered && self.now < expires {
                    let ends = self.now + hold;
                    self.send(Message::Arrived { ends, awaited });
                }
            }
            Message::Arrived { ends, awaited } => {
                self.held_until[0] = ends;
                if answered && awaited {
                    let until = std::mem::take(&mut self.a.call_until);
                    self.a.granted_until = self.a.granted_until.max(until);
                }
            }
            Message::Release { awaited } => {
                self.held_until[0] = 0;
                if answered && awaited {
                    self.a.granted_until = 0;
                    if fault == Some(Fault::ReleaseEndsUnansweredCalls) {
                        self.a.unanswered_until = 0;
                    }
                    if fault == Some(Fault::ReleaseBeforeAnswer) {
                        self.a.call_until = 0;
                    }
                }
            }
            Message::Propose { term, transfer } => {
                self.apply_proposal(term, transfer, fault);
            }
            Message::Update { expect, fence, owned, claim } => {
                let blind = fault == Some(Fault::WriteTableWithoutCondition);
                if expect != self.table.revision && !blind {
                    return;
                }
                let revision = self.next_revision();
                self.table = View { revision, fence, owned, claim };
                if answered {
                    self.b.view = self.table;
                }
            }
        }
    }

    /// `A` gets the answer to a renewal. `ends` has passed if the renewal
    /// failed.
    fn on_renewal_done(
        &mut self,
        revision: u8,
        writer: Option<u8>,
        ends: u8,
        fault: Option<Fault>,
    ) {
        self.a.revision = Some(revision);
        if ends > self.now {
            let late = fault == Some(Fault::CountLeaseFromReceipt);
            self.a.lease_until =
                if late { self.now + LEASE_STEPS } else { ends };
            if self.a.term == 0 {
                self.a.term = revision;
            }
            return;
        }
        if writer != Some(self.a.process) {
            self.a.lease_until = 0;
            if fault != Some(Fault::KeepTermOfLostLease) {
                self.a.term = 0;
            }
        }
    }

    /// `B` applies a proposal of `A`.
    fn apply_proposal(
        &mut self,
        term: u8,
        transfer: Option<u8>,
        fault: Option<Fault>,
    ) {
        let view = self.b.view;
        let late = fault == Some(Fault::ApplyEarlierTerm);
        let term = if late { term.max(view.claim) } else { term };
        let transfer = transfer.map(|fence| Transfer {
            first: 0,
            last: MAX_KEY,
            fence: fence.into(),
            to: "b".to_owned(),
            ..Transfer::default()
        });
        let proposal = Proposal {
            node: "a".to_owned(),
            term: term.into(),
            instance: None,
            transfers: transfer.into_iter().collect(),
            ..Proposal::default()
        };
        let mut table = table_of(view);
        proposal.apply(&mut table);
        let new = view_of(&table, view.revision);
        if new != view {
            self.write(new);
        }
    }
}

/// The table that the model's range stands for.
fn table_of(view: View) -> Table {
    let node = if view.owned { "a" } else { "b" }.to_owned();
    let fence = view.fence.into();
    let range = Range { last: MAX_KEY, fence, node, ..Range::default() };
    let claims = BTreeMap::from([("a".to_owned(), view.claim.into())]);
    Table { fence, claims, ranges: vec![range], ..Table::default() }
}

/// The modelled part of a table.
fn view_of(table: &Table, revision: u8) -> View {
    let range = &table.ranges[0];
    View {
        revision,
        fence: range.fence as u8,
        owned: range.node == "a",
        claim: table.claims["a"] as u8,
    }
}

/// Searches all states, breadth first. Returns the number of steps to the
/// first state with two owners, if there is one, and the number of states.
fn search(limits: Limits, fault: Option<Fault>) -> (Option<usize>, usize) {
    let initial = State::new();
    let mut depths: HashMap<State, usize> = HashMap::new();
    let mut queue = VecDeque::from([initial.clone()]);
    depths.insert(initial, 0);
    while let Some(state) = queue.pop_front() {
        let depth = depths[&state];
        for next in state.next_states(limits, fault) {
            if next.has_two_owners() {
                return (Some(depth + 1), depths.len());
            }
            if depths.contains_key(&next) {
                continue;
            }
            depths.insert(next.clone(), depth + 1);
            queue.push_back(next);
            assert!(
                depths.len() < MAX_STATE_COUNT,
                "the search has too many states"
            );
        }
    }
    (None, depths.len())
}

/// Guards against any interleaving in which two upstreams hold a key.
#[test]
fn no_interleaving_gives_a_key_two_owners() {
    for limits in SEARCHES {
        let (found, states) = search(limits, None);
        println!("{limits:?}: {states} states");
        assert_eq!(found, None, "steps to two owners");
        assert!(states > 10_000, "the search reaches too few states");
    }
}

/// Guards against a search that does not detect that a rule is broken.
#[test]
fn broken_rules_of_ownership_are_found() {
    for fault in FAULTS {
        let found = SEARCHES.into_iter().find_map(|limits| {
            let (found, states) = search(limits, Some(fault));
            found.map(|steps| (steps, states))
        });
        println!("{fault:?}: {found:?} steps and states");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}
