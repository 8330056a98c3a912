//! All inputs of the reducer.
//!
//! The shell turns what happens on sockets and timers into these values. An
//! event describes a request by its head only; bodies stay in the shell,
//! under the request's [`Ticket`].

use crate::control::Control;
use crate::id::{CallId, Fingerprint, KeyHash, NodeAddr, Ticket};
use crate::verdict::Refusal;

/// Something that happened outside the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`crate::clock::TICK_INTERVAL_MS`] milliseconds have passed.
    Tick,
    /// A control datagram arrived.
    Datagram {
        /// Its sender.
        from: NodeAddr,
        /// The decoded message.
        message: Control,
    },
    /// A call to the store ended.
    Stored {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: StoreOutcome,
    },
    /// A document asked for by `Effect::FetchConfig` arrived.
    Fetched {
        /// Its store version; 0 if the peer has none.
        version: u64,
        /// The document's text.
        document: Vec<u8>,
    },
    /// A request arrived from a caller or a peer.
    Arrived(Arrival),
    /// A forwarded request ended.
    PeerDone {
        /// The request.
        ticket: Ticket,
        /// Which of its attempts; see `Effect::Forward`.
        attempt: u8,
        /// How it ended.
        outcome: Outcome,
    },
    /// A dispatched request ended.
    UpstreamDone {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller or peer that sent the request went away.
    Cancelled {
        /// The request.
        ticket: Ticket,
    },
    /// The upstream's connections were refused or all broke: it crashed.
    UpstreamDown,
    /// The upstream accepts connections again after it was down.
    UpstreamUp,
    /// An operator asks where a key of a service is; see
    /// [`crate::node::Node::locate`].
    Inquired {
        /// The service's name.
        service: String,
        /// The key's hash.
        key: KeyHash,
    },
    /// The process was asked to stop.
    Stop,
}

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A caller, over HTTP; this node is the request's ingress.
    Caller,
    /// Another node, which holds this node to be the owner.
    Peer,
}

/// The head of a request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The shell's handle of the request.
    pub ticket: Ticket,
    /// Who sent it.
    pub source: Source,
    /// The service's name.
    pub service: String,
    /// The key's hash; absent if the caller named no key.
    pub key: Option<KeyHash>,
    /// Milliseconds left until the caller's deadline.
    pub budget: u64,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub token: Option<String>,
    /// The caller's idempotency scope.
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs.
    pub partner: Option<String>,
    /// Identity of the request for poison detection.
    pub fingerprint: Fingerprint,
}

/// How a dispatched or forwarded request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer is in the shell.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Size of the answer's body in bytes.
        size: usize,
    },
    /// There is no answer.
    Failed(Refusal),
}

/// How a call to the store ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The object was read, or its watch fired.
    Read {
        /// Its version.
        version: u64,
        /// Its value.
        value: Vec<u8>,
    },
    /// There is no such object.
    Missing,
    /// A watch ended without a newer version.
    Unchanged,
    /// The conditional update took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The condition of the update did not hold; it had no effect.
    Conflict,
    /// The store did not take the call; an update had no effect.
    Unavailable,
    /// There is no answer; an update may have taken effect.
    Unknown,
}
