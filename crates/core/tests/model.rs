//! Model check of the ownership protocol.
//!
//! Two nodes contend for leadership of a group with one shard, and two members
//! hold the shard in turn. The checker explores every order of messages,
//! losses, duplicates, pauses, restarts, delayed store writes and lost store
//! answers within bounds. Each decision is taken by the functions of
//! `group::rules`, which the reducer calls too. A pause or a store outage is
//! an order in which a node or the store does nothing while time passes.
//!
//! Times are stored relative to the present and advance in equal steps, so
//! that states repeat and the search ends.

use std::cell::Cell;

use lagoondyke_core::clock::{
    LEASE_TERM_MS, Millis, PROMISE_TERM_MS, STANDBY_TIMEOUT_MS,
};
use lagoondyke_core::group::rules::{self, KnownRecord, PromiseDecision};
use lagoondyke_core::id::{Epoch, Fence, NodeAddr};
use lagoondyke_core::record::{Record, Tenure};
use pathfinding::prelude::bfs;

/// The present time of every decision, to which the times in a state are
/// relative.
const NOW: Millis = Millis(100_000);

/// Age beyond which instants are not told apart. It exceeds the longest time
/// for which a lease is valid.
const MAX_AGE_MS: i16 = 1_800;

/// Most store writes in flight at once.
const MAX_WRITE_COUNT: usize = 2;

/// A rule that is broken on purpose, to show that the checker finds the
/// violation that follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A node takes over while its promise is valid.
    TakeOverWithoutWait,
    /// A leader grants leases after its authority has ended.
    RenewPastAuthority,
    /// A member accepts leases of an earlier epoch and earlier plans.
    AcceptOldPlan,
    /// A leader grants a shard while its revoked holder may still serve it.
    GrantBeforeRelease,
    /// A leader grants a shard before its holder's lease has expired.
    GrantBeforeExpiry,
    /// A member counts a lease from its receipt, not from the heartbeat.
    CountLeaseFromReceipt,
    /// A leader counts a promise from its receipt, not from the request.
    CountPromiseFromReceipt,
    /// The store does not compare versions.
    WriteWithoutCondition,
    /// A write whose answer timed out is sent again, conditional on the
    /// store's present version.
    RetryWithoutReading,
    /// A node assumes that a write without an answer had no effect.
    DiscardUnknownWrite,
    /// A node makes a promise while its own takeover is pending.
    PromiseWhileTakingOver,
    /// A restarted node is not bound by promises of the process before it.
    RestartWithoutWait,
    /// A leader does not need the promise of a standby in a pending write.
    IgnorePendingStandbys,
    /// A leader adds a standby that has made no promise.
    AddStandbyWithoutPromise,
    /// A leader accepts a release that precedes the revocation.
    AcceptOldRelease,
    /// A new leader grants the shard while a lease of the leader before it
    /// may be valid.
    GrantBeforePriorEnd,
    /// A leader accepts a claim to the shard that was sent to the leader
    /// before it.
    AcceptOldClaim,
    /// A node leads before the store has answered its takeover.
    LeadBeforeAnswer,
    /// A takeover does not increase the epoch.
    KeepEpoch,
    /// A leader gives the group up while a lease of the leader before it may
    /// be valid.
    VacateBeforePriorEnd,
    /// A leader renews the plan of a member whose lease has expired.
    RenewExpiredPlan,
    /// A node makes a promise before it has read the record.
    PromiseWithoutReading,
}

/// What a leader does besides renewing leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaderAction {
    /// Nothing else.
    Renew,
    /// Moves the shard between the members.
    MoveShard,
    /// Removes and adds its standby.
    ChangeStandby,
    /// Leaves and hands the group over to its standby.
    Cede,
    /// After a takeover, the new leader leaves without a successor.
    Vacate,
    /// Hands the group over while a former holder's claim to the shard is in
    /// flight.
    CedeWithLateClaim,
}

/// Which messages may be delayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delayable {
    All,
    Promises,
}

/// Bounds of a search, and the rule that is broken in it.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    fault: Fault,
    /// Length of a time step. With short steps a leader can act between a
    /// promise and its end; long ones give fewer states.
    step_ms: i16,
    /// Most messages that are delayed at the same time. All others arrive at
    /// once or never.
    delayed: usize,
    /// Which messages may be delayed.
    delayable: Delayable,
    /// Most plan versions of one leader.
    versions: u8,
    /// Whether the first leader has a standby.
    standby: bool,
    /// Most writes to the store on one path.
    writes: u8,
    /// Most restarts of nodes on one path.
    restarts: u8,
    /// What the leader does besides renewing leases.
    action: LeaderAction,
}

/// A [`Record`] in small numbers. Nodes are 0 and 1.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ModelRecord {
    epoch: u8,
    leader: u8,
    /// Whether the other node is a standby.
    standby: bool,
    tenure: Tenure,
    /// Number of the write that produced this record.
    writer: u8,
}

/// State of a node while it leads the group.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Leadership {
    epoch: u8,
    /// Send time of the latest answered promise request.
    answered: Option<i16>,
    /// Latest instant at which leases of the leader before it may be valid.
    prior_end: i16,
    /// The member that holds the shard; `None` if there is none or it is not
    /// known.
    owner: Option<u8>,
    /// The last holder released the shard or its lease has expired.
    free: bool,
    /// Plan version that revoked the shard from its holder.
    revoked: Option<u8>,
    /// Latest plan version.
    version: u8,
    /// Latest end of the leases granted to each member.
    latest_ends: [i16; 2],
}

/// A node that leads or may take over.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    /// Store version of the known record; 0 if none is known.
    version: u8,
    /// The last known record, by a read or a successful write.
    known: Option<ModelRecord>,
    /// Writes that may still take effect.
    pending: Vec<ModelRecord>,
    /// Whether this process wrote the known record.
    own_write: bool,
    /// A store call is outstanding.
    call_pending: bool,
    lead: Option<Leadership>,
    /// End of the node's promises.
    promised_until: i16,
    /// When the node first read the record's epoch and tenure.
    first_seen: i16,
    /// Latest known epoch.
    epoch: u8,
    /// Latest instant at which leases of the leader that this node replaces
    /// may be valid.
    prior_end: i16,
}

/// A member that may hold the shard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Member {
    epoch: u8,
    leader: u8,
    /// Epoch and version of the plan that the member follows.
    plan: (u8, u8),
    /// The plan grants the shard.
    holds: bool,
    /// The plan revokes the shard.
    revoked: bool,
    /// A request for the revoked shard is in flight.
    busy: bool,
    /// End of the lease.
    lease_end: i16,
}

/// A message between nodes and members, with the fields of its namesake in
/// `control` that decisions depend on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    PromiseRequest {
        to: u8,
        epoch: u8,
        sent: i16,
    },
    Promise {
        to: u8,
        epoch: u8,
        echo: i16,
    },
    Heartbeat {
        to: u8,
        member: u8,
        epoch: u8,
        sent: i16,
        plan: (u8, u8),
        released: bool,
        /// Time left of the sender's lease, if it holds the shard.
        left_ms: i16,
    },
    Lease {
        from: u8,
        to: u8,
        epoch: u8,
        echo: i16,
        /// Milliseconds, counted from `echo`.
        term: i16,
        version: u8,
        holds: bool,
        revoked: bool,
    },
}

/// How a message is delivered.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// At once. The receiver breaks the rule of the fault.
    Prompt(Fault),
    /// Later, with the bounds on delayed messages.
    Delayed(usize, Delayable),
}

/// A write in flight to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Write {
    node: u8,
    /// Version that the write is conditional on.
    expect: u8,
    record: ModelRecord,
    /// The writer still waits for the answer.
    awaited: bool,
}

/// State of the whole model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    /// Version and content of the record in the store.
    store: (u8, ModelRecord),
    /// Leader of each epoch that was in the record, by epoch.
    leaders: [Option<u8>; 5],
    /// Writes in flight.
    writes: Vec<Write>,
    /// Writes sent so far.
    written: u8,
    restarts: u8,
    nodes: [Node; 2],
    members: [Member; 2],
    /// Delayed messages.
    messages: Vec<Message>,
    /// A violated property other than the single holder.
    violation: Option<&'static str>,
}

fn addr(node: u8) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], 7_000 + u16::from(node)).into())
}

/// The instant `time` milliseconds after [`NOW`], before it if negative.
fn instant(time: i16) -> Millis {
    Millis(NOW.0.saturating_add_signed(i64::from(time)))
}

/// Milliseconds from [`NOW`] to an instant, negative for the past.
fn relative(time: Millis) -> i16 {
    let past = NOW.since(time).min(30_000) as i16;
    time.since(NOW).min(30_000) as i16 - past
}

fn fence((epoch, sequence): (u8, u8)) -> Fence {
    Fence { epoch: Epoch(epoch.into()), sequence: sequence.into() }
}

impl ModelRecord {
    fn expand(self) -> Record {
        let other = addr(1 - self.leader);
        Record {
            epoch: Epoch(self.epoch.into()),
            leader: addr(self.leader),
            standbys: if self.standby { vec![other] } else { vec![] },
            writer: self.writer.into(),
            tenure: self.tenure,
        }
    }

    fn from_record(record: &Record) -> Self {
        Self {
            epoch: record.epoch.0 as u8,
            leader: u8::from(record.leader == addr(1)),
            standby: !record.standbys.is_empty(),
            tenure: record.tenure,
            writer: record.writer as u8,
        }
    }
}

impl Node {
    /// Calls `change` with what the node knows of the record, and stores the
    /// result in the node.
    fn update<T>(&mut self, change: impl FnOnce(&mut KnownRecord) -> T) -> T {
        let mut known = KnownRecord {
            version: self.version.into(),
            record: self.known.map(ModelRecord::expand),
            pending: self.pending.iter().map(|r| r.expand()).collect(),
            own_write: self.own_write,
        };
        let result = change(&mut known);
        self.version = known.version as u8;
        self.known = known.record.as_ref().map(ModelRecord::from_record);
        self.pending =
            known.pending.iter().map(ModelRecord::from_record).collect();
        self.own_write = known.own_write;
        result
    }

    /// End of the node's authority as leader.
    fn authority_end(&self, me: u8, fault: Fault) -> Millis {
        let (Some(rec), Some(lead)) = (self.known, self.lead) else {
            return Millis(0);
        };
        let mut records = vec![rec.expand()];
        if fault != Fault::IgnorePendingStandbys {
            records.extend(self.pending.iter().map(|r| r.expand()));
        }
        let answered = |_| lead.answered.map(instant);
        rules::authority_end(addr(me), &records, answered, NOW)
    }

    /// Loses all state. The new process is bound as if it had made a promise.
    fn restart(&mut self, fault: Fault) {
        let wait = fault != Fault::RestartWithoutWait;
        *self = Self {
            version: 0,
            known: None,
            pending: Vec::new(),
            own_write: false,
            call_pending: false,
            lead: None,
            promised_until: if wait {
                relative(rules::promise_end(NOW))
            } else {
                0
            },
            first_seen: 0,
            epoch: 0,
            prior_end: 0,
        };
    }
}

impl Message {
    /// Whether the message may be delayed.
    fn may_be_delayed(&self, delayable: Delayable) -> bool {
        let promise =
            matches!(self, Self::PromiseRequest { .. } | Self::Promise { .. });
        match delayable {
            Delayable::All => true,
            Delayable::Promises => promise,
        }
    }
}

impl State {
    /// The initial state: node 0 leads and the first member holds the shard.
    fn initial(bounds: &Bounds) -> Self {
        let record = ModelRecord {
            epoch: 1,
            leader: 0,
            standby: bounds.standby,
            tenure: Tenure::Led,
            writer: 0,
        };
        let lead = Leadership {
            epoch: 1,
            answered: bounds.standby.then_some(0),
            prior_end: 0,
            owner: Some(0),
            free: false,
            revoked: None,
            version: 1,
            latest_ends: [
                relative(rules::latest_lease_end(NOW, LEASE_TERM_MS)),
                0,
            ],
        };
        let node = |lead, promised_until| Node {
            version: 1,
            known: Some(record),
            pending: Vec::new(),
            own_write: false,
            call_pending: false,
            lead,
            promised_until,
            first_seen: 0,
            epoch: 1,
            prior_end: 0,
        };
        let promised_until = relative(rules::promise_end(NOW));
        let member = |holds| Member {
            epoch: 1,
            leader: 0,
            plan: (1, u8::from(holds)),
            holds,
            revoked: false,
            busy: false,
            lease_end: if holds { LEASE_TERM_MS as i16 } else { 0 },
        };
        let mut start = Self {
            store: (1, record),
            leaders: [None, Some(0), None, None, None],
            writes: Vec::new(),
            written: 0,
            restarts: 0,
            nodes: [
                node(Some(lead), 0),
                node(None, if bounds.standby { promised_until } else { 0 }),
            ],
            members: [member(true), member(false)],
            messages: Vec::new(),
            violation: None,
        };
        if bounds.action == LeaderAction::CedeWithLateClaim {
            start.move_shard();
        }
        start
    }

    /// Moves the shard to the second member, while a claim that the first one
    /// sent before is in flight to the standby.
    fn move_shard(&mut self) {
        let lead = self.nodes[0].lead.as_mut().expect("the first node leads");
        (lead.owner, lead.version) = (Some(1), 3);
        lead.latest_ends = [0, lead.latest_ends[0]];
        let [old, new] = &mut self.members;
        (old.lease_end, new.lease_end) = (0, old.lease_end);
        (new.holds, new.plan) = (true, (1, 3));
        self.messages.push(Message::Heartbeat {
            to: 1,
            member: 0,
            epoch: 1,
            sent: -MAX_AGE_MS,
            plan: (1, 1),
            released: false,
            left_ms: 100,
        });
    }

    /// Advances time: all times move into the past. Times that no decision
    /// tells apart become equal.
    fn advance(&mut self, step_ms: i16) {
        let age = |t: &mut i16, min: i16| *t = (*t - step_ms).max(min);
        for node in &mut self.nodes {
            age(&mut node.promised_until, -MAX_AGE_MS);
            age(&mut node.prior_end, 0);
            age(&mut node.first_seen, -MAX_AGE_MS);
            let Some(lead) = &mut node.lead else { continue };
            age(&mut lead.prior_end, 0);
            for latest_end in &mut lead.latest_ends {
                age(latest_end, 0);
            }
            lead.answered = lead.answered.map(|t| t - step_ms);
            lead.answered =
                lead.answered.filter(|&t| t > -(PROMISE_TERM_MS as i16));
        }
        for member in &mut self.members {
            age(&mut member.lease_end, 0);
        }
        for message in &mut self.messages {
            match message {
                Message::PromiseRequest { sent, .. }
                | Message::Heartbeat { sent, .. } => {
                    age(sent, -MAX_AGE_MS);
                }
                Message::Promise { echo, .. }
                | Message::Lease { echo, .. } => age(echo, -MAX_AGE_MS),
            }
        }
    }

    /// Delivers a message at once or delays it. It is lost if it may not be
    /// delayed.
    fn send(&mut self, message: Message, delivery: Delivery) {
        match delivery {
            Delivery::Prompt(fault) => self.deliver(message, fault, delivery),
            Delivery::Delayed(most, delayable)
                if self.messages.len() < most
                    && message.may_be_delayed(delayable) =>
            {
                self.messages.push(message);
                self.messages.sort_unstable();
                self.messages.dedup();
            }
            Delivery::Delayed(..) => {}
        }
    }

    /// The violated property, if any.
    fn find_violation(&self) -> Option<&'static str> {
        let holders = self
            .members
            .iter()
            .filter(|m| (m.holds || m.busy) && m.lease_end > 0);
        if holders.count() > 1 {
            return Some("the shard has two holders");
        }
        self.violation
    }

    /// All states that follow by one step.
    fn next_states(&self, bounds: &Bounds) -> Vec<Self> {
        let mut states = Vec::new();
        let old = [Fault::AcceptOldPlan, Fault::AcceptOldClaim];
        let prune = !old.contains(&bounds.fault);
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut next = self.clone();
            change(&mut next);
            if prune {
                next.prune();
            }
            if next != *self {
                states.push(next);
            }
        };
        let fault = bounds.fault;
        let deliveries = [
            Delivery::Prompt(fault),
            Delivery::Delayed(bounds.delayed, bounds.delayable),
        ];
        add(&|s| s.advance(bounds.step_ms));
        for (i, &message) in self.messages.iter().enumerate() {
            add(&|s| {
                s.messages.remove(i);
            });
            for delivery in deliveries {
                add(&|s| {
                    s.messages.remove(i);
                    s.deliver(message, fault, delivery);
                });
                // Delivered while a duplicate stays in flight.
                add(&|s| s.deliver(message, fault, delivery));
            }
        }
        for i in 0..self.writes.len() {
            add(&|s| {
                s.writes.remove(i);
            });
            add(&|s| s.time_out_write(i, bounds.fault));
            add(&|s| s.execute_write(i, true, bounds.fault));
            add(&|s| s.execute_write(i, false, bounds.fault));
        }
        for me in 0..2 {
            self.node_steps(me, bounds, &mut add);
            let member = self.members[usize::from(me)];
            if member.busy {
                add(&|s| s.members[usize::from(me)].busy = false);
            }
            add(&|s| s.send_heartbeat(me, deliveries[0], deliveries[0]));
            add(&|s| s.send_heartbeat(me, deliveries[0], deliveries[1]));
            add(&|s| s.send_heartbeat(me, deliveries[1], deliveries[1]));
        }
        states
    }

    /// Adds the states that follow by a step of one node.
    fn node_steps(
        &self,
        me: u8,
        bounds: &Bounds,
        add: &mut impl FnMut(&dyn Fn(&mut Self)),
    ) {
        let node = &self.nodes[usize::from(me)];
        if self.restarts < bounds.restarts {
            add(&|s| s.restart(me, bounds.fault));
        }
        if node.version < self.store.0 {
            add(&|s| s.read_record(me));
        }
        let Some(lead) = node.lead else {
            add(&|s| s.take_over(me, bounds));
            return;
        };
        let fault = bounds.fault;
        let deliveries = [
            Delivery::Prompt(fault),
            Delivery::Delayed(bounds.delayed, bounds.delayable),
        ];
        if node.known.is_some_and(|r| r.standby)
            || bounds.action == LeaderAction::ChangeStandby
        {
            add(&|s| s.request_promise(me, deliveries[0], deliveries[0]));
            add(&|s| s.request_promise(me, deliveries[0], deliveries[1]));
            add(&|s| s.request_promise(me, deliveries[1], deliveries[1]));
        }
        for member in 0..2 {
            if self.members[usize::from(member)].epoch < lead.epoch {
                add(&|s| s.learn_leader(member, me));
            }
            if lead.owner.is_none() {
                add(&|s| s.grant(me, member, bounds));
            }
        }
        if lead.owner.is_some() {
            add(&|s| s.expire_lease(me, bounds));
        }
        if lead.owner.is_some() && bounds.action == LeaderAction::MoveShard {
            add(&|s| s.revoke(me, bounds));
        }
        if bounds.action == LeaderAction::ChangeStandby {
            add(&|s| s.change_standby(me, bounds));
        }
        if bounds.action == LeaderAction::Vacate && me == 1 {
            add(&|s| s.vacate(me, bounds));
        }
        if matches!(
            bounds.action,
            LeaderAction::Cede | LeaderAction::CedeWithLateClaim
        ) {
            add(&|s| s.cede(me, bounds));
        }
    }

    /// Removes what no decision depends on any more, so that fewer states
    /// differ.
    fn prune(&mut self) {
        for (me, node) in (0..).zip(&mut self.nodes) {
            let uses_first_seen = node
                .known
                .is_some_and(|r| r.tenure != Tenure::Led || r.leader == me);
            if node.lead.is_some() || !uses_first_seen {
                node.first_seen = 0;
            }
        }
        let mut messages = std::mem::take(&mut self.messages);
        messages.retain(|m| self.is_relevant(m));
        self.messages = messages;
    }

    /// Whether the receiver may act on a message.
    fn is_relevant(&self, message: &Message) -> bool {
        let node = |n: u8| &self.nodes[usize::from(n)];
        let leads =
            |n: u8, epoch: u8| node(n).lead.is_some_and(|l| l.epoch == epoch);
        match *message {
            Message::PromiseRequest { to, epoch, .. } => {
                node(to).epoch <= epoch && node(to).lead.is_none()
            }
            Message::Promise { to, epoch, echo } => {
                let answered = node(to).lead.and_then(|l| l.answered);
                leads(to, epoch) && Some(echo) > answered
            }
            Message::Heartbeat { to, epoch, .. } => leads(to, epoch),
            Message::Lease { to, epoch, echo, term, version, .. } => {
                let m = self.members[usize::from(to)];
                let newer = (epoch, version) > m.plan;
                epoch >= m.epoch && (newer || echo + term > 0)
            }
        }
    }

    /// A leader sends a promise request. `request` says how the request is
    /// delivered, `reply` how its answer is.
    fn request_promise(&mut self, me: u8, request: Delivery, reply: Delivery) {
        let node = &self.nodes[usize::from(me)];
        if let Some(lead) = node.lead {
            let (to, epoch) = (1 - me, lead.epoch);
            self.send_request(
                Message::PromiseRequest { to, epoch, sent: 0 },
                request,
                reply,
            );
        }
    }

    /// Sends a request. If it is delivered at once, its answer is delivered by
    /// `reply`.
    fn send_request(
        &mut self,
        message: Message,
        request: Delivery,
        reply: Delivery,
    ) {
        match request {
            Delivery::Prompt(fault) => self.deliver(message, fault, reply),
            Delivery::Delayed(..) => self.send(message, request),
        }
    }

    /// A member sends a heartbeat.
    fn send_heartbeat(
        &mut self,
        member: u8,
        request: Delivery,
        reply: Delivery,
    ) {
        let m = self.members[usize::from(member)];
        let heartbeat = Message::Heartbeat {
            to: m.leader,
            member,
            epoch: m.epoch,
            sent: 0,
            plan: m.plan,
            released: m.revoked && !m.busy,
            left_ms: if m.holds || m.busy { m.lease_end } else { 0 },
        };
        self.send_request(heartbeat, request, reply);
    }

    /// A member learns of a later leader.
    fn learn_leader(&mut self, member: u8, me: u8) {
        let Some(lead) = self.nodes[usize::from(me)].lead else { return };
        let m = &mut self.members[usize::from(member)];
        if lead.epoch > m.epoch {
            m.epoch = lead.epoch;
            m.leader = me;
        }
    }

    /// A message arrives; its answer is delivered by `reply`.
    fn deliver(&mut self, message: Message, fault: Fault, reply: Delivery) {
        match message {
            Message::PromiseRequest { to, epoch, sent } => {
                self.promise_requested(to, epoch, sent, fault, reply);
            }
            Message::Promise { to, epoch, echo } => {
                let node = &mut self.nodes[usize::from(to)];
                let Some(lead) = &mut node.lead else { return };
                let receipt = fault == Fault::CountPromiseFromReceipt;
                if lead.epoch == epoch {
                    let echo = if receipt { 0 } else { echo };
                    lead.answered = lead.answered.max(Some(echo));
                }
            }
            Message::Heartbeat { .. } => self.heartbeat(message, fault, reply),
            Message::Lease { .. } => self.lease_received(message, fault),
        }
    }

    /// A node receives a promise request and may answer it.
    fn promise_requested(
        &mut self,
        me: u8,
        epoch: u8,
        sent: i16,
        fault: Fault,
        reply: Delivery,
    ) {
        let node = &mut self.nodes[usize::from(me)];
        let known = Epoch(node.epoch.into());
        let takeover_pending = node.update(|k| k.takeover_pending(addr(me)))
            && fault != Fault::PromiseWhileTakingOver;
        if node.lead.is_some_and(|l| l.epoch <= epoch) {
            return;
        }
        let requested = Epoch(epoch.into());
        let record_read =
            node.known.is_some() || fault == Fault::PromiseWithoutReading;
        let decision = rules::decide_promise(
            requested,
            known,
            record_read,
            takeover_pending,
        );
        if decision == PromiseDecision::Promise {
            node.promised_until =
                node.promised_until.max(relative(rules::promise_end(NOW)));
            node.epoch = node.epoch.max(epoch);
            self.send(
                Message::Promise { to: 1 - me, epoch, echo: sent },
                reply,
            );
        }
    }

    /// A leader receives a heartbeat and answers it with a lease.
    fn heartbeat(&mut self, message: Message, fault: Fault, reply: Delivery) {
        let Message::Heartbeat {
            to,
            member,
            epoch,
            sent,
            plan,
            released,
            left_ms,
        } = message
        else {
            return;
        };
        let node = &mut self.nodes[usize::from(to)];
        let authority_end = node.authority_end(to, fault);
        let Some(lead) = &mut node.lead else { return };
        if epoch != lead.epoch && fault != Fault::AcceptOldClaim {
            return;
        }
        let own_epoch = Epoch(lead.epoch.into());
        let counts = lead.revoked.is_some_and(|v| {
            rules::confirms_release(fence(plan), own_epoch, v.into())
                || (fault == Fault::AcceptOldRelease && plan.0 == lead.epoch)
        });
        if released && counts && lead.owner == Some(member) {
            (lead.owner, lead.free, lead.revoked) = (None, true, None);
        }
        let prior_end = instant(lead.prior_end);
        let reclaims = rules::may_reclaim(
            fence(plan),
            left_ms as u16,
            own_epoch,
            prior_end,
            NOW,
        );
        if reclaims && lead.owner.is_none() && !lead.free {
            lead.owner = Some(member);
            lead.version += 1;
        }
        let mut term = rules::lease_term_ms(authority_end, NOW);
        if fault == Fault::RenewPastAuthority {
            term = LEASE_TERM_MS;
        }
        if term == 0 {
            return;
        }
        let latest_end = relative(rules::latest_lease_end(NOW, term));
        let old = &mut lead.latest_ends[usize::from(member)];
        *old = latest_end.max(*old);
        let owns = lead.owner == Some(member);
        let lease = Message::Lease {
            from: to,
            to: member,
            epoch: lead.epoch,
            echo: sent,
            term: term as i16,
            version: lead.version,
            holds: owns && lead.revoked.is_none(),
            revoked: owns && lead.revoked.is_some(),
        };
        self.send(lease, reply);
    }

    /// A member receives a lease.
    fn lease_received(&mut self, message: Message, fault: Fault) {
        let Message::Lease {
            from,
            to,
            epoch,
            echo,
            term,
            version,
            holds,
            revoked,
        } = message
        else {
            return;
        };
        let m = &mut self.members[usize::from(to)];
        let old = fault == Fault::AcceptOldPlan;
        if epoch < m.epoch && !old {
            return;
        }
        (m.epoch, m.leader) = (epoch, from);
        let offered = fence((epoch, version));
        if rules::accepts_plan(fence(m.plan), offered) || old {
            if epoch != m.plan.0 {
                m.lease_end = 0;
            }
            m.busy = revoked && (m.holds || m.busy);
            (m.holds, m.revoked) = (holds, revoked);
            m.plan = (epoch, version);
        }
        let own_epoch = Epoch(epoch.into());
        if rules::renews_lease(fence(m.plan), own_epoch, version.into()) {
            let receipt = fault == Fault::CountLeaseFromReceipt;
            let from = if receipt { NOW } else { instant(echo) };
            let lease_end = relative(rules::lease_end(from, term as u64));
            m.lease_end = m.lease_end.max(lease_end);
        }
        if m.holds && self.leaders[usize::from(epoch)] != Some(from) {
            self.violation = Some(
                "a member holds the shard under a leader that no record names",
            );
        }
    }

    /// A leader grants a shard without a holder to a member.
    fn grant(&mut self, me: u8, member: u8, bounds: &Bounds) {
        let node = &mut self.nodes[usize::from(me)];
        let Some(lead) = &mut node.lead else { return };
        let may = rules::may_grant(lead.free, instant(lead.prior_end), NOW)
            || bounds.fault == Fault::GrantBeforePriorEnd;
        if lead.owner.is_none() && may && lead.version < bounds.versions {
            lead.version += 1;
            lead.owner = Some(member);
            (lead.free, lead.revoked) = (false, None);
        }
    }

    /// A leader revokes the shard from its holder.
    fn revoke(&mut self, me: u8, bounds: &Bounds) {
        let node = &mut self.nodes[usize::from(me)];
        let Some(lead) = &mut node.lead else { return };
        if lead.owner.is_none()
            || lead.revoked.is_some()
            || lead.version >= bounds.versions
        {
            return;
        }
        lead.version += 1;
        lead.revoked = Some(lead.version);
        if bounds.fault == Fault::GrantBeforeRelease {
            (lead.owner, lead.free, lead.revoked) = (None, true, None);
        }
    }

    /// A leader notes that the holder's lease has certainly expired.
    fn expire_lease(&mut self, me: u8, bounds: &Bounds) {
        let node = &mut self.nodes[usize::from(me)];
        let Some(lead) = &mut node.lead else { return };
        let Some(owner) = lead.owner else { return };
        let latest_end = instant(lead.latest_ends[usize::from(owner)]);
        if (rules::lease_expired(latest_end, NOW)
            || bounds.fault == Fault::GrantBeforeExpiry)
            && lead.version < bounds.versions
        {
            (lead.owner, lead.free, lead.revoked) = (None, true, None);
            // The former holder's plan still grants the shard, so its lease
            // must not be renewed under that version.
            lead.version += u8::from(bounds.fault != Fault::RenewExpiredPlan);
        }
    }

    /// A node sends a write of the record to the store.
    fn send_write(
        &mut self,
        me: u8,
        mut record: ModelRecord,
        bounds: &Bounds,
    ) {
        let node = &mut self.nodes[usize::from(me)];
        if node.call_pending
            || self.written >= bounds.writes
            || self.writes.len() >= MAX_WRITE_COUNT
        {
            return;
        }
        self.written += 1;
        record.writer = self.written;
        node.call_pending = true;
        node.update(|k| k.write_sent(record.expand()));
        let expect = node.version;
        self.writes.push(Write { node: me, expect, record, awaited: true });
        self.writes.sort_unstable();
        if bounds.fault == Fault::LeadBeforeAnswer && record.leader == me {
            let node = &mut self.nodes[usize::from(me)];
            node.update(|k| k.observe(u64::from(expect) + 1, record.expand()));
            self.start_leading(me, record);
        }
    }

    /// A node that does not lead writes a record that makes it the leader.
    fn take_over(&mut self, me: u8, bounds: &Bounds) {
        let node = &self.nodes[usize::from(me)];
        let Some(record) = node.known.filter(|_| node.lead.is_none()) else {
            return;
        };
        let wait = bounds.fault != Fault::TakeOverWithoutWait;
        let promised_until =
            if wait { instant(node.promised_until) } else { NOW };
        let full_record = record.expand();
        if !rules::may_take_over(
            &full_record,
            addr(me),
            promised_until,
            instant(node.first_seen),
            NOW,
        ) {
            return;
        }
        let known = Epoch(node.epoch.into());
        let mut next = ModelRecord::from_record(&rules::takeover_record(
            &full_record,
            addr(me),
            known,
        ));
        // The other node is the only candidate for a standby. It stays one if
        // this node already led with it as standby; a replaced leader does
        // not become one.
        next.standby = record.standby && record.leader == me;
        if bounds.fault == Fault::KeepEpoch {
            next.epoch = record.epoch;
        }
        let first_seen = instant(node.first_seen);
        let prior_end = rules::prior_lease_end(
            &full_record,
            addr(me),
            promised_until,
            first_seen,
            NOW,
        );
        let prior_end = relative(prior_end);
        self.nodes[usize::from(me)].prior_end = prior_end;
        self.send_write(me, next, bounds);
    }

    /// A leader removes its standby, or adds one that has made a promise.
    fn change_standby(&mut self, me: u8, bounds: &Bounds) {
        let node = &self.nodes[usize::from(me)];
        let (Some(rec), Some(lead)) = (node.known, node.lead) else { return };
        if rec.leader != me
            || rec.epoch != lead.epoch
            || rec.tenure != Tenure::Led
        {
            return;
        }
        let ready = lead
            .answered
            .is_some_and(|sent| sent > -(STANDBY_TIMEOUT_MS as i16))
            || bounds.fault == Fault::AddStandbyWithoutPromise;
        if rec.standby || ready {
            self.send_write(
                me,
                ModelRecord { standby: !rec.standby, ..rec },
                bounds,
            );
        }
    }

    /// A leaving leader hands the group over to its standby.
    fn cede(&mut self, me: u8, bounds: &Bounds) {
        let node = &self.nodes[usize::from(me)];
        let (Some(rec), Some(lead)) = (node.known, node.lead) else { return };
        if rec.leader == me && rec.epoch == lead.epoch && rec.standby {
            let next = ModelRecord {
                leader: 1 - me,
                standby: false,
                tenure: Tenure::Ceded,
                ..rec
            };
            self.send_write(me, next, bounds);
        }
    }

    /// A leaving leader without a successor gives the group up.
    fn vacate(&mut self, me: u8, bounds: &Bounds) {
        let node = &self.nodes[usize::from(me)];
        let (Some(rec), Some(lead)) = (node.known, node.lead) else { return };
        let early = bounds.fault == Fault::VacateBeforePriorEnd;
        let prior_end = if early { NOW } else { instant(lead.prior_end) };
        let may =
            rules::may_vacate(lead.latest_ends.map(instant), prior_end, NOW);
        if rec.leader == me && rec.epoch == lead.epoch && may {
            let tenure = Tenure::Vacant;
            self.send_write(
                me,
                ModelRecord { standby: false, tenure, ..rec },
                bounds,
            );
        }
    }

    /// The writer stops waiting for the answer to a write.
    fn time_out_write(&mut self, i: usize, fault: Fault) {
        let write = &mut self.writes[i];
        if !write.awaited {
            return;
        }
        write.awaited = false;
        let (record, me) = (write.record, usize::from(write.node));
        self.nodes[me].call_pending = false;
        if fault == Fault::DiscardUnknownWrite {
            self.nodes[me].update(|k| k.discard_write(record.writer.into()));
        }
        if fault == Fault::RetryWithoutReading {
            let expect = self.store.0;
            self.writes[i].expect = expect;
        }
        self.writes.sort_unstable();
    }

    /// The store executes a write. The writer receives the answer only if
    /// `answered`.
    fn execute_write(&mut self, i: usize, answered: bool, fault: Fault) {
        let write = self.writes.remove(i);
        let record = write.record;
        let holds = write.expect == self.store.0
            || fault == Fault::WriteWithoutCondition;
        if holds {
            let old = self.store.1.epoch;
            self.store = (self.store.0 + 1, record);
            let leader = &mut self.leaders[usize::from(record.epoch)];
            if record.epoch < old {
                self.violation = Some("the epoch of the record decreased");
            } else if record.tenure == Tenure::Led
                && leader.is_some_and(|l| l != record.leader)
            {
                self.violation = Some("an epoch has two leaders");
            } else if record.tenure == Tenure::Led {
                *leader = Some(record.leader);
            }
        }
        let version = self.store.0;
        let node = &mut self.nodes[usize::from(write.node)];
        if !write.awaited {
            return;
        }
        node.call_pending = false;
        if !answered {
            if fault == Fault::DiscardUnknownWrite {
                node.update(|k| k.discard_write(record.writer.into()));
            }
        } else if holds {
            node.update(|k| k.observe(version.into(), record.expand()));
            self.record_refreshed(write.node);
        } else {
            node.update(|k| k.discard_write(record.writer.into()));
        }
    }

    /// A node reads the record.
    fn read_record(&mut self, me: u8) {
        let (version, record) = self.store;
        let node = &mut self.nodes[usize::from(me)];
        if node.call_pending {
            return;
        }
        let before = node.known.map(|r| (r.epoch, r.tenure));
        node.update(|k| k.observe(version.into(), record.expand()));
        if before.is_some_and(|b| b != (record.epoch, record.tenure)) {
            node.first_seen = 0;
        }
        self.record_refreshed(me);
    }

    /// Acts on a record that was just read or written.
    fn record_refreshed(&mut self, me: u8) {
        let node = &mut self.nodes[usize::from(me)];
        let Some(record) = node.known else { return };
        node.epoch = node.epoch.max(record.epoch);
        let led = record.leader == me && record.tenure == Tenure::Led;
        if node.lead.is_some_and(|l| l.epoch != record.epoch || !led) {
            node.lead = None;
        }
        if node.lead.is_none() && led && node.own_write {
            self.start_leading(me, record);
        }
    }

    /// A node begins to lead under its record.
    fn start_leading(&mut self, me: u8, record: ModelRecord) {
        let node = &mut self.nodes[usize::from(me)];
        node.epoch = node.epoch.max(record.epoch);
        node.lead = Some(Leadership {
            epoch: record.epoch,
            answered: None,
            prior_end: node.prior_end,
            owner: None,
            free: false,
            revoked: None,
            version: 0,
            latest_ends: [0, 0],
        });
    }

    /// A node's process ends and another one starts. Writes of the old process
    /// stay in flight.
    fn restart(&mut self, me: u8, fault: Fault) {
        self.restarts += 1;
        for write in &mut self.writes {
            write.awaited &= write.node != me;
        }
        self.writes.sort_unstable();
        self.nodes[usize::from(me)].restart(fault);
    }
}

/// Explores all states within the bounds. Returns their number and a shortest
/// path to a violation, if there is one.
fn explore(bounds: &Bounds) -> (usize, Option<Vec<State>>) {
    let states = Cell::new(0);
    let successors = |state: &State| {
        states.set(states.get() + 1);
        state.next_states(bounds)
    };
    let path = bfs(&State::initial(bounds), successors, |s| {
        s.find_violation().is_some()
    });
    (states.get(), path)
}

/// One leader with a standby, one takeover, at most one message delayed.
const SINGLE_TAKEOVER: Bounds = Bounds {
    fault: Fault::None,
    step_ms: 600,
    delayed: 1,
    delayable: Delayable::All,
    versions: 1,
    standby: true,
    writes: 1,
    restarts: 0,
    action: LeaderAction::Renew,
};

/// One leader without a standby that moves the shard.
const MOVES: Bounds = Bounds {
    versions: 3,
    standby: false,
    writes: 0,
    action: LeaderAction::MoveShard,
    ..SINGLE_TAKEOVER
};

/// Two takeovers or changes of standbys, without delayed messages.
const WRITES: Bounds = Bounds { delayed: 0, writes: 2, ..SINGLE_TAKEOVER };

/// A takeover while the leader moves the shard.
const TAKEOVER_AND_MOVES: Bounds = Bounds {
    versions: 3,
    delayed: 0,
    action: LeaderAction::MoveShard,
    ..SINGLE_TAKEOVER
};

/// A takeover and one restart of a node, without delayed messages.
const RESTARTS: Bounds = Bounds { restarts: 1, delayed: 0, ..SINGLE_TAKEOVER };

/// A leader that removes and adds its standby.
const STANDBYS: Bounds =
    Bounds { action: LeaderAction::ChangeStandby, step_ms: 900, ..WRITES };

/// A leader that hands the group over to its standby.
const CEDE: Bounds =
    Bounds { action: LeaderAction::Cede, step_ms: 900, ..WRITES };

/// A takeover, after which the new leader leaves and the old one returns.
const VACATE: Bounds =
    Bounds { action: LeaderAction::Vacate, writes: 3, ..WRITES };

/// Asserts that no state within the bounds violates a property. Prints the
/// path to a violation.
fn assert_safe(bounds: &Bounds) {
    let (states, path) = explore(bounds);
    println!("{states} states within {bounds:?}");
    if let Some(path) = path {
        for state in &path {
            println!("{state:?}");
        }
        panic!("{:?}", path.last().and_then(State::find_violation));
    }
}

#[test]
fn moves_never_give_two_owners() {
    assert_safe(&MOVES);
}

#[test]
fn takeover_never_gives_two_owners() {
    assert_safe(&Bounds { versions: 2, ..TAKEOVER_AND_MOVES });
}

#[test]
fn takeover_with_late_messages_never_gives_two_owners() {
    assert_safe(&SINGLE_TAKEOVER);
}

#[test]
fn contending_leaders_and_lost_answers_never_give_two_owners() {
    assert_safe(&Bounds { writes: 3, ..WRITES });
    assert_safe(&Bounds {
        writes: 2,
        delayable: Delayable::Promises,
        ..SINGLE_TAKEOVER
    });
}

#[test]
fn restarts_never_give_two_owners() {
    assert_safe(&RESTARTS);
    let late =
        Bounds { delayed: 1, delayable: Delayable::Promises, ..RESTARTS };
    assert_safe(&Bounds { step_ms: 900, ..late });
}

#[test]
fn changes_of_standbys_never_give_two_owners() {
    assert_safe(&STANDBYS);
    assert_safe(&Bounds { standby: false, ..STANDBYS });
}

#[test]
fn leaving_leader_never_gives_two_owners() {
    assert_safe(&CEDE);
}

#[test]
fn vacant_group_never_has_two_owners() {
    assert_safe(&VACATE);
}

/// Asserts that the search finds a violation that follows from the fault.
fn assert_found(fault: Fault, bounds: Bounds) {
    let (states, path) = explore(&Bounds { fault, ..bounds });
    let path = path.unwrap_or_else(|| panic!("{fault:?} led to no violation"));
    let last = path.last().and_then(State::find_violation);
    println!(
        "{fault:?}: {last:?} after {} steps, {states} states",
        path.len() - 1
    );
}

#[test]
fn broken_rules_of_takeover_are_found() {
    assert_found(Fault::TakeOverWithoutWait, SINGLE_TAKEOVER);
    assert_found(Fault::RenewPastAuthority, SINGLE_TAKEOVER);
    assert_found(Fault::CountPromiseFromReceipt, SINGLE_TAKEOVER);
}

#[test]
fn broken_rules_of_leadership_are_found() {
    assert_found(Fault::PromiseWhileTakingOver, SINGLE_TAKEOVER);
    assert_found(Fault::LeadBeforeAnswer, SINGLE_TAKEOVER);
    assert_found(Fault::KeepEpoch, WRITES);
}

#[test]
fn broken_rules_of_restarts_are_found() {
    assert_found(Fault::RestartWithoutWait, RESTARTS);
    assert_found(Fault::PromiseWithoutReading, RESTARTS);
}

#[test]
fn broken_rules_of_the_record_are_found() {
    assert_found(Fault::WriteWithoutCondition, STANDBYS);
    assert_found(Fault::RetryWithoutReading, STANDBYS);
    let alone = Bounds { standby: false, ..STANDBYS };
    assert_found(Fault::DiscardUnknownWrite, alone);
    assert_found(Fault::IgnorePendingStandbys, alone);
    assert_found(Fault::AddStandbyWithoutPromise, alone);
}

#[test]
fn broken_rules_of_leases_are_found() {
    assert_found(Fault::CountLeaseFromReceipt, MOVES);
    assert_found(Fault::AcceptOldPlan, MOVES);
    assert_found(Fault::GrantBeforeRelease, MOVES);
    assert_found(Fault::GrantBeforeExpiry, MOVES);
    assert_found(Fault::RenewExpiredPlan, MOVES);
    assert_found(Fault::AcceptOldRelease, Bounds { versions: 5, ..MOVES });
}

#[test]
fn broken_rules_of_leaving_are_found() {
    assert_found(Fault::GrantBeforePriorEnd, CEDE);
    assert_found(Fault::VacateBeforePriorEnd, VACATE);
    assert_found(
        Fault::AcceptOldClaim,
        Bounds { action: LeaderAction::CedeWithLateClaim, ..CEDE },
    );
}
