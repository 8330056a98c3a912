//! The inputs of the reducer.
//!
//! The shell turns what happens on sockets and timers into these values. An
//! event carries only what the reducer needs to know of a request; its
//! headers and body stay in the shell's table of requests, under the
//! request's [`Ticket`].

use crate::control::Control;
use crate::id::{CallId, Fingerprint, KeyHash, NodeAddr, Ticket};
use crate::verdict::Refusal;

/// An input of [`crate::node::Node::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// [`crate::clock::TICK_INTERVAL_MS`] milliseconds have passed.
    Tick,
    /// A control datagram arrived and was decoded.
    Datagram {
        /// Address of the sending node.
        from: NodeAddr,
        /// The decoded message.
        message: Control,
    },
    /// A call to the store ended; the answer to `Effect::Store`.
    StoreDone {
        /// The call, as named in the effect.
        call: CallId,
        /// The call's result.
        outcome: StoreOutcome,
    },
    /// A peer sent the configuration document that `Effect::FetchConfig`
    /// asked for.
    ConfigFetched {
        /// Store version of the document; 0 if the peer has none.
        version: u64,
        /// The document's text.
        document: Vec<u8>,
    },
    /// A request arrived from a caller or from a peer that forwards it.
    Arrived(Arrival),
    /// An attempt to run a request at a peer ended; the answer to
    /// `Effect::Forward`.
    PeerDone {
        /// The forwarded request.
        ticket: Ticket,
        /// Number of the attempt, as in the effect.
        attempt: u8,
        /// The peer's answer or the reason for its absence.
        outcome: Outcome,
    },
    /// A request ended at this node's upstream; the answer to
    /// `Effect::Dispatch`.
    UpstreamDone {
        /// The dispatched request.
        ticket: Ticket,
        /// The upstream's answer or the reason for its absence.
        outcome: Outcome,
    },
    /// The caller or peer that sent the request went away and no longer
    /// waits for the answer.
    Cancelled {
        /// The request to give up.
        ticket: Ticket,
    },
    /// The upstream refuses connections, or all connections to it broke. It
    /// is taken to have crashed.
    UpstreamDown,
    /// The upstream accepts connections again after it was down.
    UpstreamUp,
    /// An operator asked for the owner of a key. Starts the look-up of an
    /// owner that is not known; [`crate::node::Node::locate`] gives the
    /// result.
    OwnerQueried {
        /// Name of the service.
        service: String,
        /// Hash of the key within the service.
        key: KeyHash,
    },
    /// The process was asked to stop. The node gives up its shards and its
    /// leadership, and ends with `Effect::Exit`.
    Stop,
}

/// What kind of sender a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A caller, over HTTP; this node is the request's ingress.
    Caller,
    /// Another node, whose routing cache has this node as the owner.
    Peer,
}

/// What the reducer needs to know of a request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The handle under which the shell keeps the request.
    pub ticket: Ticket,
    /// Whether a caller or a peer sent the request.
    pub source: Source,
    /// Name of the service that the request is for.
    pub service: String,
    /// Hash of the request's key; `None` if the caller named no key.
    pub key: Option<KeyHash>,
    /// Time left until the caller's deadline when the request arrived; 0 if
    /// it has passed.
    pub timeout_ms: u64,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key: requests with the same one are to run
    /// only once. Independent of the routing key in `key`.
    pub idempotency_key: Option<String>,
    /// The idempotency scope that the caller sent. It names the process, and
    /// the generation of its memory, that records whether a request with this
    /// idempotency key has run; see [`crate::request::dedupe`].
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs; `None` if the caller
    /// named none.
    pub partner: Option<String>,
    /// Identifies equal requests, to find those that crash upstreams.
    pub fingerprint: Fingerprint,
}

/// How a dispatched request or an attempt at a peer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer has arrived and is in the shell's table.
    Answered {
        /// HTTP status code of the answer, which may be an error.
        status: u16,
        /// Size of the answer's body.
        body_bytes: usize,
    },
    /// There is no answer, or none that can be used. The refusal says whether
    /// the request may have run.
    Failed(Refusal),
}

/// How a call to the store ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// A read found the object, or a watch saw a newer version of it.
    Read {
        /// The object's version.
        version: u64,
        /// The object's value at this version.
        value: Vec<u8>,
    },
    /// The object does not exist.
    Missing,
    /// A watch ended without a newer version.
    Unchanged,
    /// The conditional update took effect.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// The object had another version than the update expected, so the
    /// update had no effect.
    Conflict,
    /// The store did not accept the call; an update had no effect.
    Unavailable,
    /// The call was sent and no answer came; an update may have taken effect.
    Unknown,
}
