//! All outputs of the reducer, as data.
//!
//! The shell performs effects in order. Where an effect has an outcome, the
//! shell reports it as an [`crate::event::Event`].

use crate::clock::Millis;
use crate::control::Control;
use crate::id::{
    CallId, Epoch, Fence, Fingerprint, GroupId, NodeAddr, Shard, Ticket,
};
use crate::verdict::Refusal;

/// Something the shell is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a control datagram.
    Send {
        /// The receiver.
        to: NodeAddr,
        /// The message.
        message: Control,
    },
    /// Call the store; ends with `Event::Stored`.
    Store {
        /// Identifies the call in the event.
        call: CallId,
        /// What to do.
        op: StoreOp,
    },
    /// Ask a peer for the operator's configuration document; ends with
    /// `Event::Fetched`, or silently if the peer does not answer.
    FetchConfig {
        /// The peer.
        from: NodeAddr,
    },
    /// Send a request to its owner's node; ends with `Event::PeerDone`.
    Forward {
        /// The request.
        ticket: Ticket,
        /// Numbers the attempts of this request, from 0.
        attempt: u8,
        /// The owner's node.
        to: NodeAddr,
        /// When the caller's deadline passes.
        deadline: Millis,
    },
    /// Give a request to this node's upstream; ends with
    /// `Event::UpstreamDone`.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// Fence and shard, for services that are partitioned by key.
        fence: Option<(Shard, Fence)>,
        /// When the caller's deadline passes.
        deadline: Millis,
    },
    /// Give the answer of attempt `attempt` (or of the upstream) to whoever
    /// sent the request, and forget the request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The attempt whose answer is wanted; ignored if the answer came
        /// from the upstream. Either way it is the answer whose arrival was
        /// just reported; all other attempts have been aborted.
        attempt: u8,
        /// The idempotency scope to name in the answer.
        scope: Option<String>,
    },
    /// Give a recorded answer of an earlier request with the same
    /// idempotency key, and forget the request.
    Replay {
        /// The request.
        ticket: Ticket,
        /// The request whose answer the shell kept by `Effect::Keep`.
        of: Ticket,
        /// The idempotency scope to name in the answer.
        scope: Option<String>,
    },
    /// Keep a copy of the answer of this request for `Effect::Replay`;
    /// precedes the request's `Effect::Answer`.
    Keep {
        /// The request.
        ticket: Ticket,
    },
    /// Drop a kept answer.
    Drop {
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
    /// Stop waiting for an attempt at a peer, and tell the peer.
    AbortPeer {
        /// The request.
        ticket: Ticket,
        /// The attempt.
        attempt: u8,
    },
    /// Cancel the request at the upstream. No `Event::UpstreamDone` follows.
    AbortUpstream {
        /// The request.
        ticket: Ticket,
    },
    /// Tell a fenced upstream which shards it may serve until when. It
    /// replaces the previous grant as a whole.
    Grant {
        /// Shards and their fences.
        shards: Vec<(Shard, Fence)>,
        /// When the grant ends, on the VM's monotonic clock.
        until: Millis,
    },
    /// Something worth a log line.
    Notice(Notice),
    /// All work is done and the process may end.
    Exit,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOp {
    /// Read an object.
    Read {
        /// The object's name.
        name: String,
    },
    /// Wait until an object has a version above `after`.
    Watch {
        /// The object's name.
        name: String,
        /// The version known; 0 if none.
        after: u64,
    },
    /// Update an object if it still has version `expect`.
    Update {
        /// The object's name.
        name: String,
        /// The version expected; 0 to create the object.
        expect: u64,
        /// The new value.
        value: Vec<u8>,
    },
}

/// An event worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// This node now leads a group.
    Leading {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// This node no longer leads a group.
    SteppedDown {
        /// The group.
        group: GroupId,
        /// The last epoch it led.
        epoch: Epoch,
    },
    /// A leader's authority ended and has not been renewed.
    AuthorityLost {
        /// The group.
        group: GroupId,
    },
    /// The record's standbys changed.
    Standbys {
        /// The group.
        group: GroupId,
        /// The standbys now.
        nodes: Vec<NodeAddr>,
    },
    /// A member joined this leader's group.
    Joined {
        /// The member.
        node: NodeAddr,
    },
    /// A member of this leader's group was lost.
    Lost {
        /// The member.
        node: NodeAddr,
    },
    /// This member's lease ended while it held shards.
    LeaseEnded {
        /// Shards it held.
        shards: usize,
    },
    /// A configuration came into force.
    Config {
        /// Its version.
        version: u64,
    },
    /// A document or record could not be used.
    Rejected {
        /// The store object.
        name: String,
        /// What is wrong with it.
        error: String,
    },
    /// Requests of this kind are refused since they crash upstreams.
    Quarantined {
        /// The kind of request.
        fingerprint: Fingerprint,
    },
    /// The upstream crashed or cannot be reached.
    UpstreamDown,
    /// The upstream is reachable again.
    UpstreamUp,
}
