//! All outputs of the fleet's reducer, as data.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::combine::Proposal;
use crate::fleet::event::{Call, Kind, Order, Value};
use crate::fleet::gossip::Gossip;
use crate::fleet::host::Grant;
use crate::id::Ticket;
use crate::verdict::Refusal;

/// Something the shell is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a datagram to some nodes.
    Send {
        /// The receivers.
        to: Vec<SocketAddr>,
        /// The message.
        gossip: Box<Gossip>,
    },
    /// Call the store; ends with `Event::Stored`.
    Store {
        /// What the call is for.
        call: Call,
        /// What to do.
        op: Op,
    },
    /// Have a peer call the store; ends with `Event::Stored`.
    Relay {
        /// The peer's address for requests.
        to: SocketAddr,
        /// What the call is for.
        call: Call,
        /// What to do.
        op: Op,
    },
    /// Ask a peer for a document; ends with `Event::Fetched`, or silently.
    Fetch {
        /// The peer's address for requests.
        from: SocketAddr,
        /// The document.
        kind: Kind,
    },
    /// Propose changes of the service's table to a peer.
    Propose {
        /// The peer's address for requests.
        to: SocketAddr,
        /// The changes.
        proposal: Box<Proposal>,
    },
    /// Answer an announcement.
    Acknowledge {
        /// The announcement.
        ticket: Ticket,
        /// What the upstream is to hold.
        grant: Grant,
    },
    /// Send a request to its owner's node; ends with `Event::PeerDone`.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The owner's node.
        to: SocketAddr,
        /// What the owner's node needs to know.
        order: Order,
    },
    /// Send a request to the upstream; ends with `Event::UpstreamDone`.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// Name of the upstream that is to run it.
        upstream: String,
        /// Milliseconds left until the request must have ended.
        budget: u64,
        /// The service of the VM where the request came in.
        origin: String,
        /// The request may safely run more than once.
        idempotent: bool,
    },
    /// Give the answer whose arrival was just reported, and forget the
    /// request.
    Answer {
        /// The request.
        ticket: Ticket,
    },
    /// Refuse the request and forget it.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why, and whether it may have run.
        refusal: Refusal,
    },
    /// Stop waiting for the request's attempt, here or at a peer.
    Abort {
        /// The request.
        ticket: Ticket,
    },
    /// Something worth a log line.
    Notice(Notice),
    /// All work is done and the process may end.
    Exit,
}

/// A call to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Op {
    /// List all objects of a kind.
    List {
        /// The kind.
        kind: Kind,
    },
    /// Wait for changes of a kind.
    Watch {
        /// The kind.
        kind: Kind,
        /// The store's revision that is known.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Read an object.
    Read {
        /// The kind.
        kind: Kind,
        /// The object's name.
        name: String,
    },
    /// Update an object if it still has the revision `expect`.
    Update {
        /// The kind.
        kind: Kind,
        /// The object's name.
        name: String,
        /// The revision expected; 0 to create the object.
        expect: u64,
        /// The new value.
        value: Value,
    },
}

impl Op {
    /// Whether a node makes the call for a peer that the store turns away:
    /// a read or a conditional update of a node's record.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        let (Self::Read { kind, .. }
        | Self::Update { kind, value: Value::Node(_), .. }) = self
        else {
            return false;
        };
        *kind == Kind::Nodes
    }
}

/// An event worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A configuration came into force.
    Config {
        /// Its version.
        version: u64,
        /// It came from a peer, not from the store.
        relayed: bool,
    },
    /// The set of failure domains out of service changed.
    Domains {
        /// The domains that are out.
        out: Vec<String>,
        /// Revision of the store.
        revision: u64,
    },
    /// An object could not be used.
    Rejected {
        /// Its name.
        name: String,
        /// What is wrong with it.
        error: String,
    },
    /// An announcement could not be used.
    Ignored {
        /// The upstream.
        upstream: String,
        /// Why.
        reason: &'static str,
    },
    /// A table came into force.
    Table {
        /// The service.
        service: String,
        /// Revision of the table.
        revision: u64,
        /// Ranges of this node.
        own: usize,
    },
    /// A table was changed by this node.
    Edited {
        /// The service.
        service: String,
        /// Revision that was replaced.
        revision: u64,
        /// Why, in a few words.
        reason: String,
    },
    /// Changes of a table were proposed to a peer.
    Proposed {
        /// The service.
        service: String,
        /// The peer's address for requests.
        to: SocketAddr,
        /// The term of the lease under which they hold.
        term: u64,
        /// Ranges that are handed over.
        ranges: usize,
    },
    /// Ranges are to move to other nodes.
    Moving {
        /// Why.
        reason: &'static str,
        /// Ranges.
        ranges: usize,
        /// Requests per second for the keys of this node.
        rate: u32,
        /// Requests per second that its upstream can run.
        capacity: u32,
    },
    /// A peer was asked to renew the lease.
    Relayed {
        /// The peer's address for requests.
        to: SocketAddr,
        /// Milliseconds for which the lease still lasts.
        left: u64,
    },
    /// The lease was gained after it had been lost.
    LeaseGained {
        /// Revision of the record.
        revision: u64,
    },
    /// The lease ended.
    LeaseEnded,
    /// Another node is taken to be lost.
    NodeLost {
        /// The node.
        node: String,
    },
    /// A lost node's lease was revoked.
    Revoked {
        /// The node.
        node: String,
        /// Milliseconds until its right has ended.
        wait: u64,
    },
    /// The upstream started a new life.
    UpstreamStarted {
        /// Its name.
        id: String,
    },
    /// The upstream said that it leaves or is gone.
    UpstreamLeaving {
        /// Its name.
        id: String,
    },
    /// The upstream cannot be reached.
    UpstreamDown,
    /// The store answers again, or no longer.
    Store {
        /// It answers.
        up: bool,
    },
    /// A request ended without a good answer.
    Failed {
        /// The request's own id.
        id: String,
        /// What was decided.
        decision: &'static str,
        /// The service.
        service: String,
        /// Why.
        refusal: Refusal,
        /// Milliseconds since the request arrived.
        age: u64,
        /// Where it was sent last.
        node: String,
        /// Version of the configuration that decided.
        config: u64,
    },
    /// New settings came into force.
    Reloaded {
        /// Some of them take effect only after a restart.
        partly: bool,
    },
    /// The node was asked to stop.
    Stopping {
        /// Requests that have not ended.
        requests: usize,
    },
}
