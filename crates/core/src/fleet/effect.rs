//! Outputs of the fleet's reducer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::event::{Call, CallOutcome, ObjectKind, Order, Value};
use crate::fleet::gossip::Gossip;
use crate::fleet::grant_calls::UpstreamCall;
use crate::fleet::proposal::Proposal;
use crate::fleet::upstream::Grant;
use crate::id::{Fingerprint, Ticket};
use crate::verdict::Refusal;

/// An action for the shell to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a gossip datagram to other nodes.
    Send {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Content of the datagram.
        gossip: Box<Gossip>,
    },
    /// Call the store; ends with `Event::StoreDone`.
    Store {
        /// Purpose of the call.
        call: Call,
        /// The call.
        op: Op,
    },
    /// Have a peer call the store; ends with `Event::StoreDone`.
    Relay {
        /// Address at which the peer accepts requests.
        to: SocketAddr,
        /// Purpose of the call.
        call: Call,
        /// The call.
        op: Op,
    },
    /// Fetch a document from a peer; ends with `Event::Document`, or
    /// without an event on failure.
    Fetch {
        /// Address at which the peer accepts requests.
        from: SocketAddr,
        /// Kind of the document.
        kind: ObjectKind,
    },
    /// Ask a peer how long ago its configuration was the latest one; ends with
    /// `Event::ConfigAge`, or without an event on failure.
    AskConfigAge {
        /// Address at which the peer accepts requests.
        from: SocketAddr,
        /// When it is asked, which the event repeats.
        asked: Millis,
    },
    /// Propose changes to the service's table to a peer.
    Propose {
        /// Address at which the peer accepts requests.
        to: SocketAddr,
        /// The proposed changes.
        proposal: Box<Proposal>,
    },
    /// Answer an announcement.
    Acknowledge {
        /// Handle of the announcement.
        ticket: Ticket,
        /// Ranges that the upstream is to hold.
        grant: Grant,
    },
    /// Answer the upstream's report of its exit.
    AnswerExit {
        /// Handle of the report.
        ticket: Ticket,
        /// Whether the report is acknowledged: the store holds it.
        recorded: bool,
    },
    /// Call the upstream about the keys that it holds; ends with
    /// `Event::CallDone`.
    CallUpstream {
        /// Handle of the call.
        ticket: Ticket,
        /// Name of the upstream that is to be called.
        upstream: String,
        /// The call.
        call: UpstreamCall,
        /// When the call is given up; it must not arrive later.
        expires: Millis,
        /// Until when a connection may be opened for it. Later it may only be
        /// sent over one that is open.
        connect_until: Millis,
    },
    /// Forward a request to its owner's node; ends with `Event::PeerDone`.
    Forward {
        /// Handle of the request.
        ticket: Ticket,
        /// Address at which the owner's node accepts requests.
        to: SocketAddr,
        /// Instructions for the owner's node.
        order: Order,
    },
    /// Send a request to the local upstream; ends with `Event::UpstreamDone`.
    Dispatch {
        /// Handle of the request.
        ticket: Ticket,
        /// Name of the upstream that is to run it.
        upstream: String,
        /// Time left until the request must have ended, in milliseconds.
        budget: u64,
        /// Service of the VM where the request arrived.
        origin: String,
        /// Name of the client account, if the request has one.
        account: Option<String>,
        /// Whether the request may safely run more than once.
        idempotent: bool,
    },
    /// Return the answer whose arrival was just reported, and drop the
    /// request.
    Answer {
        /// Handle of the request.
        ticket: Ticket,
    },
    /// Refuse the request and drop it.
    Refuse {
        /// Handle of the request.
        ticket: Ticket,
        /// Reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Cancel the current attempt of the request, here or at a peer.
    Abort {
        /// Handle of the request.
        ticket: Ticket,
    },
    /// Write a log line.
    Notice(Notice),
    /// Exit: all work is done.
    Exit,
}

/// A store call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Op {
    /// List all objects of a kind.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
    },
    /// Watch for changes of a kind.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Store revision after which changes are reported.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Read an object.
    Read {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
    },
    /// Update an object if it still has the revision `expect`.
    Update {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: String,
        /// Expected revision; 0 to create the object.
        expect: u64,
        /// The new value, which replaces the whole object.
        value: Value,
    },
}

impl Op {
    /// Whether a node makes this call on behalf of a peer that the store
    /// rejects: a read or a conditional update of a node's record.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        let (Self::Read { kind, .. }
        | Self::Update { kind, value: Value::Node(_), .. }) = self
        else {
            return false;
        };
        *kind == ObjectKind::Nodes
    }
}

/// An event that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A configuration came into force.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Store revision of the document.
        revision: u64,
        /// Whether it came from a peer rather than from the store.
        relayed: bool,
    },
    /// The set of failure domains out of service changed.
    Domains {
        /// The domains that are out of service.
        out: Vec<String>,
        /// Store revision of the change.
        revision: u64,
    },
    /// A peer has a later version of the operator's documents than this node.
    Outdated {
        /// Kind of the documents.
        kind: ObjectKind,
        /// Store revision that this node has.
        revision: u64,
        /// Latest store revision that peers have told of.
        heard: u64,
    },
    /// An object in the store is invalid.
    Rejected {
        /// Name of the object.
        name: String,
        /// Description of the error.
        error: String,
    },
    /// An announcement was ignored.
    Ignored {
        /// Name of the upstream.
        upstream: String,
        /// Why, as a short text for the log line.
        reason: &'static str,
    },
    /// A table came into force.
    Table {
        /// Name of the service.
        service: String,
        /// Revision of the table.
        revision: u64,
        /// Number of ranges of this node.
        own: usize,
    },
    /// This node sent an update of a table.
    Edited {
        /// Name of the service.
        service: String,
        /// Revision on which the update is conditional.
        revision: u64,
        /// Reasons for the changes.
        reason: String,
    },
    /// Changes to a table were proposed to a peer.
    Proposed {
        /// Name of the service.
        service: String,
        /// Address at which the peer accepts requests.
        to: SocketAddr,
        /// Lease term under which the changes are valid.
        term: u64,
        /// Number of ranges that are transferred.
        ranges: usize,
    },
    /// Moves of ranges to other nodes were planned.
    Moving {
        /// Why, as a short text for the log line.
        reason: &'static str,
        /// Number of ranges.
        ranges: usize,
        /// Load on the keys of this node, in requests per second.
        rate: u32,
        /// Capacity of its upstream, in requests per second.
        capacity: u32,
    },
    /// A peer was asked to call the store for this node's record.
    Relayed {
        /// Address at which the peer accepts requests.
        to: SocketAddr,
        /// Remaining validity of the lease.
        left_ms: u64,
    },
    /// The lease was acquired for the first time or after it had ended.
    LeaseGained {
        /// Revision of the record.
        revision: u64,
    },
    /// The lease was lost.
    LeaseEnded,
    /// The store has been restored from an earlier copy of itself.
    Restored {
        /// Its era since then.
        era: u64,
    },
    /// A peer told this process that its upstream had reported its exit to an
    /// earlier one.
    ExitRecalled {
        /// Name of the upstream.
        id: String,
    },
    /// Another node is considered lost.
    NodeLost {
        /// Name of the node.
        node: String,
    },
    /// A lost node's lease was revoked.
    Revoked {
        /// Name of the node.
        node: String,
        /// Time until the lease has expired at the latest.
        wait_ms: u64,
    },
    /// A new instance of the upstream has started.
    UpstreamStarted {
        /// Name of the upstream.
        id: String,
    },
    /// The node can prove that its configuration is the latest one, so that it
    /// serves requests with keys, or no longer can.
    ConfigProof {
        /// Whether it can.
        proved: bool,
    },
    /// The upstream's report of its exit was refused, since the store has not
    /// taken the node's record in time.
    ExitUnrecorded {
        /// Name of the upstream.
        id: String,
    },
    /// The upstream reported that it is draining or has exited.
    UpstreamLeaving {
        /// Name of the upstream.
        id: String,
    },
    /// The upstream cannot be reached.
    UpstreamDown,
    /// The upstream has crashed.
    UpstreamCrashed {
        /// Name of the upstream.
        id: String,
        /// The requests that may have crashed it.
        suspects: Vec<Fingerprint>,
        /// The requests that are no suspects, since one like them was answered
        /// recently.
        cleared: Vec<Fingerprint>,
    },
    /// A request was running at more crashes of upstreams than known before,
    /// and at two or more.
    CrashesCounted {
        /// Fingerprint of the request.
        request: Fingerprint,
        /// Number of crashes.
        crashes: u32,
        /// The node that reported the latest; this node for its own upstream.
        node: String,
    },
    /// A call to the upstream was not confirmed.
    CallFailed {
        /// The call.
        call: UpstreamCall,
        /// How it ended.
        outcome: CallOutcome,
        /// Time since it was sent.
        age_ms: u64,
    },
    /// The upstream names a limit on its rate of requests, or no longer does.
    Limited {
        /// Requests per second, rounded down; `None` without a limit.
        rate: Option<u32>,
    },
    /// A request was running at so many crashes of upstreams that it is
    /// refused from now on.
    Harmful {
        /// Fingerprint of the request.
        request: Fingerprint,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether it answers.
        up: bool,
    },
    /// A request was refused.
    Failed {
        /// The request's id.
        id: String,
        /// Stage at which it was refused.
        decision: &'static str,
        /// Name of the service.
        service: String,
        /// The refusal that was sent.
        refusal: Refusal,
        /// Time since the request arrived; 0 if it was refused on arrival.
        age_ms: u64,
        /// Node that it was last sent to; empty if none.
        node: String,
        /// Version of the configuration in force; 0 if there is none.
        config: u64,
        /// Fingerprint of the request.
        request: Fingerprint,
    },
    /// New settings came into force.
    Reloaded {
        /// Whether some of them take effect only after a restart.
        partly: bool,
    },
    /// The node was asked to stop.
    Stopping {
        /// Number of requests that have not ended.
        requests: usize,
    },
}
