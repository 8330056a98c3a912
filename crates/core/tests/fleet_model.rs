//! Model check of ownership in a fleet: all interleavings of a small world.
//!
//! Two nodes share one key range. Node `A` owns it, renews its lease, claims,
//! hands the range to `B`, crashes and restarts; `B` takes it over when it
//! takes `A` to be lost, combines the changes that `A` proposes, and grants
//! the range to its upstream. Messages may be performed at any later time or
//! never, and lose their answers. The decisions are those of
//! [`lagoondyke_core::fleet::rules`] and of [`Proposal::apply`], which the
//! reducer calls too; the world around them is written here. Each rule is also
//! broken on purpose, and the search must find two owners then.

use std::collections::{BTreeMap, HashMap, VecDeque};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
use lagoondyke_core::fleet::rules::{Revocation, may_grant, may_take_over};
use lagoondyke_core::fleet::table::{KEY_MAX, Range, Table};

/// Term of a lease, in steps of time.
const TERM: u8 = 2;

/// Longest term of a grant, in steps of time.
const HOLD: u8 = 2;

/// Messages under way at most.
const NET: usize = 2;

/// What happens at most in one search.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Renewals, proposals and crashes of `A`.
    renewals: u8,
    proposals: u8,
    crashes: u8,
    /// Updates of the table by `B`.
    updates: u8,
}

/// The searches: a lease that is lost and gained again, and a crash.
const SEARCHES: [Limits; 2] = [
    Limits { renewals: 2, proposals: 1, crashes: 0, updates: 2 },
    Limits { renewals: 1, proposals: 2, crashes: 1, updates: 2 },
];

/// States after which a search is given up; none comes near.
const STATES: usize = 4_000_000;

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    ApplyEarlierTerm,
    CountLateAnswers,
    CountLeaseFromReceipt,
    ForgetGrantsOfEarlierProcess,
    ForgetMove,
    GrantBeyondLease,
    GrantWithoutClaim,
    GrantWithoutLease,
    HandOverBeforeRelease,
    KeepTermOfLostLease,
    RevokeWithoutCondition,
    TakeOverDespiteClaim,
    TakeOverBeforeEnd,
    WriteTableWithoutCondition,
}

const ALL: [Broken; 14] = [
    Broken::ApplyEarlierTerm,
    Broken::CountLateAnswers,
    Broken::CountLeaseFromReceipt,
    Broken::ForgetGrantsOfEarlierProcess,
    Broken::ForgetMove,
    Broken::GrantBeyondLease,
    Broken::GrantWithoutClaim,
    Broken::GrantWithoutLease,
    Broken::HandOverBeforeRelease,
    Broken::KeepTermOfLostLease,
    Broken::RevokeWithoutCondition,
    Broken::TakeOverDespiteClaim,
    Broken::TakeOverBeforeEnd,
    Broken::WriteTableWithoutCondition,
];

/// The table as far as it matters here: one range.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct View {
    revision: u8,
    fence: u8,
    /// `A` owns the range, not `B`.
    owned: bool,
    /// The term of `A`'s claim.
    claim: u8,
}

/// `A`'s record in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Record {
    revision: u8,
    /// The process that wrote it; none if it was revoked.
    process: Option<u8>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// `A` renews its lease, and may still wait for the answer.
    Renew { process: u8, expect: u8, ends: u8, awaited: bool },
    /// The store answers a renewal: the record then, and whether it is it.
    Answer { process: u8, revision: u8, writer: Option<u8>, ends: u8 },
    /// `B` revokes it; the right ends at the time given.
    Revoke { expect: u8, ends: u8 },
    /// `A` proposes its claim, and to give the range away.
    Propose { term: u8, give: Option<u8> },
    /// `B` updates the table.
    Update { expect: u8, fence: u8, owned: bool, claim: u8 },
}

impl Message {
    /// Whether `A` waits for it or for its answer.
    fn is_awaited(self) -> bool {
        matches!(self, Self::Renew { awaited: true, .. } | Self::Answer { .. })
    }
}

/// Node `A`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Owner {
    process: u8,
    term: u8,
    /// When its right ends.
    until: u8,
    /// Revision of its record, if it has read it.
    known: Option<u8>,
    view: View,
    moving: bool,
    /// Until when its upstream may hold the range, as far as it knows.
    promised: u8,
    renewals: u8,
    proposals: u8,
}

/// Node `B`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Taker {
    view: View,
    /// What it knows of `A`'s lease: revision and end.
    told: Option<(u8, u8)>,
    /// End and term of the revocation.
    revoked: Option<(u8, u8)>,
    updates: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u8,
    revision: u8,
    record: Record,
    table: View,
    a: Owner,
    b: Taker,
    /// Until when the upstreams hold the range.
    held: [u8; 2],
    net: Vec<Message>,
}

impl World {
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
                until: TERM,
                known: Some(1),
                view: table,
                moving: false,
                promised: 0,
                renewals: 0,
                proposals: 0,
            },
            b: Taker { view: table, told: None, revoked: None, updates: 0 },
            held: [0, 0],
            net: Vec::new(),
        }
    }

    fn is_within(&self, limits: Limits) -> bool {
        self.net.len() <= NET
            && self.a.renewals <= limits.renewals
            && self.a.proposals <= limits.proposals
            && self.a.process <= limits.crashes
            && self.b.updates <= limits.updates
    }

    /// Makes states equal that differ only in how much time has passed, or how
    /// many revisions were written.
    fn normalize(&mut self) {
        let now = std::mem::take(&mut self.now);
        self.times(|time| *time = time.saturating_sub(now));
        let mut seen = vec![0];
        self.revisions(|revision| seen.push(*revision));
        seen.sort_unstable();
        seen.dedup();
        self.revisions(|revision| {
            let place = seen.binary_search(revision).expect("it was seen");
            *revision = place as u8;
        });
        self.net.sort_unstable();
    }

    fn times(&mut self, mut change: impl FnMut(&mut u8)) {
        change(&mut self.a.until);
        change(&mut self.a.promised);
        self.held.iter_mut().for_each(&mut change);
        self.b.told.iter_mut().for_each(|told| change(&mut told.1));
        self.b.revoked.iter_mut().for_each(|known| change(&mut known.0));
        for message in &mut self.net {
            match message {
                Message::Renew { ends, .. }
                | Message::Answer { ends, .. }
                | Message::Revoke { ends, .. } => change(ends),
                _ => {}
            }
        }
    }

    fn revisions(&mut self, mut change: impl FnMut(&mut u8)) {
        change(&mut self.revision);
        change(&mut self.record.revision);
        change(&mut self.a.term);
        self.a.known.iter_mut().for_each(&mut change);
        self.b.told.iter_mut().for_each(|told| change(&mut told.0));
        self.b.revoked.iter_mut().for_each(|known| change(&mut known.1));
        for view in [&mut self.table, &mut self.a.view, &mut self.b.view] {
            change(&mut view.revision);
            change(&mut view.claim);
        }
        for message in &mut self.net {
            match message {
                Message::Renew { expect, .. }
                | Message::Revoke { expect, .. } => change(expect),
                Message::Answer { revision, .. } => change(revision),
                Message::Propose { term, .. } => change(term),
                Message::Update { expect, claim, .. } => {
                    change(expect);
                    change(claim);
                }
            }
        }
    }

    /// Whether both upstreams hold the range.
    fn is_broken(&self) -> bool {
        self.held.iter().all(|&until| until > self.now)
    }

    fn send(&mut self, message: Message) {
        self.net.push(message);
        self.net.sort_unstable();
    }

    fn next_revision(&mut self) -> u8 {
        self.revision += 1;
        self.revision
    }

    /// All states that one step leads to.
    fn steps(&self, limits: Limits, broken: Option<Broken>) -> Vec<Self> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self) -> bool| {
            let mut next = self.clone();
            if change(&mut next) && next.is_within(limits) {
                next.normalize();
                all.push(next);
            }
        };
        step(&|w| {
            w.now += 1;
            true
        });
        step(&|w| w.renew(broken));
        step(&|w| w.give_up());
        step(&|w| w.read_record());
        step(&|w| w.read_tables(true));
        step(&|w| w.read_tables(false));
        step(&|w| w.announce(broken));
        step(&|w| {
            w.a.moving |= w.a.view.owned;
            true
        });
        step(&|w| {
            let forgets = broken == Some(Broken::ForgetMove);
            w.a.moving &= !forgets;
            true
        });
        step(&|w| w.propose(broken));
        step(&|w| w.crash(broken));
        step(&|w| w.gossip());
        step(&|w| w.inspect());
        step(&|w| w.revoke());
        step(&|w| w.take_over(broken));
        step(&|w| w.grant_there());
        for place in 0..self.net.len() {
            for answered in [true, false] {
                step(&|w| {
                    let message = w.net.remove(place);
                    w.perform(message, answered, broken);
                    true
                });
            }
        }
        all
    }

    fn renew(&mut self, broken: Option<Broken>) -> bool {
        let Some(expect) = self.a.known else { return false };
        let late = broken == Some(Broken::CountLateAnswers);
        if !late && self.net.iter().any(|message| message.is_awaited()) {
            return false;
        }
        let process = self.a.process;
        let ends = self.now + TERM;
        let awaited = true;
        self.a.renewals += 1;
        self.send(Message::Renew { process, expect, ends, awaited });
        true
    }

    /// `A` gives up waiting for the answer to a renewal, which may still be
    /// performed.
    fn give_up(&mut self) -> bool {
        let answer = |m: &Message| matches!(m, Message::Answer { .. });
        self.net.retain(|message| !answer(message));
        for message in &mut self.net {
            if let Message::Renew { awaited, .. } = message {
                *awaited = false;
            }
        }
        true
    }

    /// A process that has just started reads its record.
    fn read_record(&mut self) -> bool {
        if self.a.known.is_some() {
            return false;
        }
        self.a.known = Some(self.record.revision);
        true
    }

    fn read_tables(&mut self, owner: bool) -> bool {
        let view = if owner { &mut self.a.view } else { &mut self.b.view };
        *view = self.table;
        if owner && !self.a.view.owned {
            self.a.moving = false;
        }
        true
    }

    /// `A`'s upstream announces itself and is answered.
    fn announce(&mut self, broken: Option<Broken>) -> bool {
        let Owner { term, until, view, .. } = self.a;
        let left = until.saturating_sub(self.now);
        let mut claim = Some(u64::from(view.claim));
        let (mut lease, mut longest) = (left, left);
        match broken {
            Some(Broken::GrantWithoutClaim) => claim = Some(term.into()),
            Some(Broken::GrantWithoutLease) => (lease, longest) = (1, HOLD),
            Some(Broken::GrantBeyondLease) => longest = HOLD,
            _ => {}
        }
        if !may_grant(claim, term.into(), lease.into()) || !view.owned {
            return false;
        }
        if self.a.moving {
            // The answer leaves the range out, and it is released.
            self.held[0] = 0;
            self.a.promised = 0;
            return true;
        }
        self.held[0] = self.now + HOLD.min(longest);
        self.a.promised = self.a.promised.max(self.held[0]);
        true
    }

    fn propose(&mut self, broken: Option<Broken>) -> bool {
        let Owner { term, until, view, moving, promised, .. } = self.a;
        if term == 0 || until <= self.now {
            return false;
        }
        let claim = Some(u64::from(view.claim));
        let granted = may_grant(claim, term.into(), 1);
        let early = broken == Some(Broken::HandOverBeforeRelease);
        let free = promised <= self.now || early;
        let gives = granted && moving && view.owned && free;
        if granted && !gives {
            return false;
        }
        let give = gives.then_some(view.fence);
        self.a.proposals += 1;
        self.send(Message::Propose { term, give });
        true
    }

    fn crash(&mut self, broken: Option<Broken>) -> bool {
        let forgets = broken == Some(Broken::ForgetGrantsOfEarlierProcess);
        self.a = Owner {
            process: self.a.process + 1,
            term: 0,
            until: 0,
            known: None,
            view: self.table,
            moving: false,
            promised: if forgets { 0 } else { self.now + HOLD },
            ..self.a
        };
        true
    }

    /// `A` tells `B` of its lease.
    fn gossip(&mut self) -> bool {
        let Some(known) = self.a.known else { return false };
        if self.a.until <= self.now || self.a.term == 0 {
            return false;
        }
        self.b.told = Some((known, self.a.until));
        self.b.revoked.is_none()
    }

    /// `B` reads `A`'s record.
    fn inspect(&mut self) -> bool {
        let Record { revision, process } = self.record;
        let ends = self.now + TERM;
        if self.b.revoked.is_some() {
            return false;
        }
        match process {
            Some(_) => self.b.told = Some((revision, ends)),
            None => self.b.revoked = Some((ends, revision)),
        }
        true
    }

    fn revoke(&mut self) -> bool {
        let Some((expect, ends)) = self.b.told else { return false };
        self.b.told = None;
        self.send(Message::Revoke { expect, ends });
        self.b.revoked.is_none()
    }

    fn take_over(&mut self, broken: Option<Broken>) -> bool {
        let Some((ends, term)) = self.b.revoked else { return false };
        let mut revocation =
            Revocation { ends: Millis(ends.into()), term: term.into() };
        match broken {
            Some(Broken::TakeOverBeforeEnd) => revocation.ends = Millis(0),
            Some(Broken::TakeOverDespiteClaim) => revocation.term = u64::MAX,
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

    fn write(&mut self, new: View) {
        let View { fence, owned, claim, .. } = new;
        let expect = self.b.view.revision;
        self.b.updates += 1;
        self.send(Message::Update { expect, fence, owned, claim });
    }

    /// `B`'s upstream announces itself and is answered.
    fn grant_there(&mut self) -> bool {
        self.held[1] = self.now + HOLD;
        !self.b.view.owned
    }

    fn perform(
        &mut self,
        message: Message,
        answered: bool,
        broken: Option<Broken>,
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
                    self.renewed(revision, writer, ends, broken);
                }
            }
            Message::Revoke { expect, ends } => {
                let blind = broken == Some(Broken::RevokeWithoutCondition);
                if expect != self.record.revision && !blind {
                    return;
                }
                let revision = self.next_revision();
                self.record = Record { revision, process: None };
                if answered {
                    self.b.revoked = Some((ends, revision));
                }
            }
            Message::Propose { term, give } => {
                self.combine(term, give, broken);
            }
            Message::Update { expect, fence, owned, claim } => {
                let blind = broken == Some(Broken::WriteTableWithoutCondition);
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

    /// `A` learns how a renewal ended; `ends` is over if it failed.
    fn renewed(
        &mut self,
        revision: u8,
        writer: Option<u8>,
        ends: u8,
        broken: Option<Broken>,
    ) {
        self.a.known = Some(revision);
        if ends > self.now {
            let late = broken == Some(Broken::CountLeaseFromReceipt);
            self.a.until = if late { self.now + TERM } else { ends };
            if self.a.term == 0 {
                self.a.term = revision;
            }
            return;
        }
        if writer != Some(self.a.process) {
            self.a.until = 0;
            if broken != Some(Broken::KeepTermOfLostLease) {
                self.a.term = 0;
            }
        }
    }

    /// `B` writes what `A` proposed.
    fn combine(&mut self, term: u8, give: Option<u8>, broken: Option<Broken>) {
        let view = self.b.view;
        let late = broken == Some(Broken::ApplyEarlierTerm);
        let term = if late { term.max(view.claim) } else { term };
        let gives = give.map(|fence| Transfer {
            first: 0,
            last: KEY_MAX,
            fence: fence.into(),
            to: "b".to_owned(),
            ..Transfer::default()
        });
        let proposal = Proposal {
            node: "a".to_owned(),
            term: term.into(),
            instance: None,
            transfers: gives.into_iter().collect(),
        };
        let mut table = table_of(view);
        proposal.apply(&mut table);
        let new = view_of(&table, view.revision);
        if new != view {
            self.write(new);
        }
    }
}

fn table_of(view: View) -> Table {
    let node = if view.owned { "a" } else { "b" }.to_owned();
    let fence = view.fence.into();
    let range = Range { last: KEY_MAX, fence, node, ..Range::default() };
    let claims = BTreeMap::from([("a".to_owned(), view.claim.into())]);
    Table { fence, claims, ranges: vec![range] }
}

fn view_of(table: &Table, revision: u8) -> View {
    let range = &table.ranges[0];
    View {
        revision,
        fence: range.fence as u8,
        owned: range.node == "a",
        claim: table.claims["a"] as u8,
    }
}

/// Searches all states; the steps to the first one with two owners, if there
/// is one, and the number of states.
fn search(limits: Limits, broken: Option<Broken>) -> (Option<usize>, usize) {
    let first = World::new();
    let mut depths: HashMap<World, usize> = HashMap::new();
    let mut queue = VecDeque::from([first.clone()]);
    depths.insert(first, 0);
    while let Some(world) = queue.pop_front() {
        let depth = depths[&world];
        for next in world.steps(limits, broken) {
            if next.is_broken() {
                return (Some(depth + 1), depths.len());
            }
            if depths.contains_key(&next) {
                continue;
            }
            depths.insert(next.clone(), depth + 1);
            queue.push_back(next);
            assert!(depths.len() < STATES, "the search does not end");
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
        assert!(states > 10_000, "the world hardly moves");
    }
}

/// Guards against a search that would not notice a broken rule.
#[test]
fn broken_rules_of_ownership_are_found() {
    for broken in ALL {
        let found = SEARCHES.into_iter().find_map(|limits| {
            let (found, states) = search(limits, Some(broken));
            found.map(|steps| (steps, states))
        });
        println!("{broken:?}: {found:?} steps and states");
        assert!(found.is_some(), "{broken:?} is not found");
    }
}
