//! The outputs of the reducer, as data.
//!
//! The shell performs effects in the order given. If an effect has an
//! outcome, the shell reports it as an [`crate::event::Event`].

use crate::clock::Millis;
use crate::control::Control;
use crate::id::{
    CallId, Epoch, Fence, Fingerprint, GroupId, NodeAddr, Shard, Ticket,
};
use crate::verdict::Refusal;

/// An action that the reducer asks the shell to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a control datagram.
    Send {
        /// Address of the receiving node.
        to: NodeAddr,
        /// The message, which the shell encodes.
        message: Control,
    },
    /// Call the store; ends with `Event::StoreDone`.
    Store {
        /// Identifies the call in the event.
        call: CallId,
        /// The operation.
        op: StoreOp,
    },
    /// Ask a peer for the operator's configuration document; ends with
    /// `Event::ConfigFetched`, or without an event if the peer does not
    /// answer.
    FetchConfig {
        /// Address of the peer: the leader of the node's group.
        from: NodeAddr,
    },
    /// Forward a request to a peer: the owner of its key or, for services that
    /// are not partitioned by key, a member chosen by load or by the
    /// request's idempotency scope. Ends with `Event::PeerDone`.
    Forward {
        /// The request to forward.
        ticket: Ticket,
        /// Number of this attempt among those of the request, from 0.
        attempt: u8,
        /// Address of the peer.
        to: NodeAddr,
        /// The caller's deadline.
        deadline: Millis,
    },
    /// Send a request to this node's upstream; ends with
    /// `Event::UpstreamDone`.
    Dispatch {
        /// The request to send.
        ticket: Ticket,
        /// The key's shard and its fencing token; `None` for services that
        /// are not partitioned by key.
        fence: Option<(Shard, Fence)>,
        /// The caller's deadline.
        deadline: Millis,
    },
    /// Send the answer of a peer or of the upstream to the sender of the
    /// request, and remove the request from the shell's table.
    Answer {
        /// The answered request.
        ticket: Ticket,
        /// Number of the attempt that was answered; ignored if the answer
        /// came from the upstream. Either way it is the answer whose arrival
        /// was just reported; all other attempts have been aborted.
        attempt: u8,
        /// The idempotency scope to name in the answer.
        scope: Option<String>,
    },
    /// Answer a request with the kept answer of an earlier request that had
    /// the same idempotency key, and remove it from the shell's table.
    ReplayAnswer {
        /// The request to answer.
        ticket: Ticket,
        /// The earlier request, whose answer the shell has kept by
        /// `Effect::KeepAnswer`.
        of: Ticket,
        /// The idempotency scope to name in the answer.
        scope: Option<String>,
    },
    /// Keep a copy of a request's answer for `Effect::ReplayAnswer`; precedes
    /// the `Effect::Answer` of the request.
    KeepAnswer {
        /// The answered request.
        ticket: Ticket,
    },
    /// Discard a kept answer.
    DropAnswer {
        /// The request whose answer was kept.
        ticket: Ticket,
    },
    /// Refuse a request and remove it from the shell's table.
    Refuse {
        /// The request to refuse.
        ticket: Ticket,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Stop waiting for an attempt at a peer, and tell the peer so.
    AbortPeer {
        /// The forwarded request.
        ticket: Ticket,
        /// Number of the attempt to abort.
        attempt: u8,
    },
    /// Cancel a request at the upstream. No `Event::UpstreamDone` follows.
    AbortUpstream {
        /// The dispatched request.
        ticket: Ticket,
    },
    /// Tell an upstream that checks fencing tokens which shards it may serve,
    /// and until when. It replaces the previous grant as a whole.
    Grant {
        /// The shards and their fencing tokens.
        shards: Vec<(Shard, Fence)>,
        /// When the grant ends, on the VM's monotonic clock.
        until: Millis,
    },
    /// Write a log line.
    Notice(Notice),
    /// End the process: the node was asked to stop, and no work is left that
    /// it could finish or hand over.
    Exit,
}

/// An operation on an object in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOp {
    /// Read an object.
    Read {
        /// Name of the object.
        name: String,
    },
    /// Wait for a bounded time until an object has a version above `after`.
    Watch {
        /// Name of the object.
        name: String,
        /// The latest version that the node has seen; 0 for none.
        after: u64,
    },
    /// Update an object on condition that it still has version `expect`.
    Update {
        /// Name of the object.
        name: String,
        /// The version that the new value is based on; 0 to create the
        /// object.
        expect: u64,
        /// The object's new value.
        value: Vec<u8>,
    },
}

/// A change of the node's state that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// This node became the leader of its group.
    Leading {
        /// The group that it leads.
        group: GroupId,
        /// The epoch that began with its leadership.
        epoch: Epoch,
    },
    /// This node is no longer the leader of its group.
    SteppedDown {
        /// The group that it led.
        group: GroupId,
        /// The last epoch in which it led.
        epoch: Epoch,
    },
    /// This leader's authority to grant leases ended before it was renewed.
    AuthorityLost {
        /// The group that the node leads.
        group: GroupId,
    },
    /// The standbys in the record of the group changed.
    StandbysChanged {
        /// The group that the node leads.
        group: GroupId,
        /// The new standbys.
        nodes: Vec<NodeAddr>,
    },
    /// A member joined this leader's group.
    MemberJoined {
        /// Address of the new member.
        node: NodeAddr,
    },
    /// A member of this leader's group stopped sending heartbeats and its
    /// lease ended.
    MemberLost {
        /// Address of the lost member.
        node: NodeAddr,
    },
    /// This member's lease ended while it held shards.
    LeaseEnded {
        /// Number of shards that it held.
        shards: usize,
    },
    /// A configuration came into force.
    ConfigApplied {
        /// Store version of its document.
        version: u64,
    },
    /// A configuration document or group record is invalid and was ignored.
    Rejected {
        /// Name of the store object.
        name: String,
        /// What is wrong with the object.
        error: String,
    },
    /// Requests with a certain fingerprint are refused from now on, since
    /// they crash upstreams.
    Quarantined {
        /// The fingerprint of the refused requests.
        fingerprint: Fingerprint,
    },
    /// The upstream has crashed or cannot be reached.
    UpstreamDown,
    /// The upstream is reachable again.
    UpstreamUp,
}
