//! Inputs of the fleet's reducer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::account::KeyDigest;
use crate::fleet::config::Config;
use crate::fleet::gossip::Gossip;
use crate::fleet::lease::Record;
use crate::fleet::proposal::Proposal;
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;
use crate::fleet::upstream::Announcement;
use crate::id::{Fingerprint, Ticket};
use crate::verdict::Refusal;

pub use crate::event::Source;

/// Kinds of objects in the store.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub enum ObjectKind {
    /// The operator's configuration.
    Config,
    /// Failure domains that are out of service, one object each.
    Domains,
    /// Records of nodes, with their leases.
    Nodes,
    /// Tables of key ranges, by service.
    Tables,
}

/// The decoded value of an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// The operator's configuration.
    Config(Box<Config>),
    /// The failure domain named by the object is out of service.
    Out,
    /// A node's record.
    Node(Record),
    /// A service's table.
    Table(Table),
    /// The value cannot be decoded; contains the error.
    Unusable(String),
}

/// An object of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Name of the object.
    pub name: String,
    /// Revision of its last change, qualified by the store's era; see
    /// [`crate::fleet::revision`].
    pub revision: u64,
    /// Its value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// Purpose of a store call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Lists all objects of a kind.
    List(ObjectKind),
    /// Watches for changes of a kind.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Revision after which changes are reported.
        after: u64,
    },
    /// Renews this node's lease.
    Renew,
    /// Reads this node's record.
    ReadRecord,
    /// Updates the table of this service.
    Edit(String),
    /// Reads the record of this other node.
    Inspect(String),
    /// Revokes the lease of this other node.
    Revoke(String),
    /// A call that a peer makes for this node.
    Relayed(Box<Call>),
}

/// Outcome of a store call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreOutcome {
    /// All objects of a kind.
    Listed {
        /// The objects.
        items: Vec<Item>,
        /// Revision of the store.
        revision: u64,
    },
    /// Objects that changed, earliest first; empty if the wait ended without a
    /// change.
    Changed {
        /// The objects.
        items: Vec<Item>,
        /// Revision of the store.
        revision: u64,
    },
    /// The store has dropped the history that the watch needs, so a listing is
    /// required.
    Compacted,
    /// The current object: the read or the update succeeded.
    Done(Item),
    /// The condition of the update failed; contains the current object, if
    /// there is one.
    Conflict(Option<Item>),
    /// There is no such object.
    Missing,
    /// The store did not accept the call, so an update has no effect.
    Unavailable,
    /// There was no answer; an update may have taken effect or may still do
    /// so.
    Unknown,
}

/// A document in the form in which nodes fetch it from each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Document {
    /// The configuration.
    Config(Box<Config>),
    /// The store revision and the failure domains that are out of service.
    Domains(u64, BTreeSet<String>),
    /// Tables by service, with their revisions.
    Tables(Vec<(String, u64, Table)>),
}

/// How a call to the upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream has done what it was asked for.
    Done {
        /// Handover token of the released keys, if there is one.
        handover: Option<String>,
    },
    /// The upstream refused the call, which has no effect.
    Rejected,
    /// The call was not sent.
    Unsent,
    /// There was no answer: the call may have taken effect, or may do so
    /// later.
    Unknown,
}

impl CallOutcome {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "answered",
            Self::Rejected => "refused",
            Self::Unsent => "unsent",
            Self::Unknown => "unanswered",
        }
    }

    /// Whether the call has reached the upstream without being confirmed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        matches!(self, Self::Rejected | Self::Unknown)
    }
}

/// An event outside the reducer that it must handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`crate::clock::TICK_INTERVAL_MS`] milliseconds have passed.
    Tick,
    /// A store call ended.
    StoreDone {
        /// Purpose of the call.
        call: Call,
        /// How it ended, with the objects that it returned.
        outcome: StoreOutcome,
    },
    /// A gossip datagram arrived.
    Gossip {
        /// Source address.
        from: SocketAddr,
        /// State of the sending node.
        gossip: Box<Gossip>,
    },
    /// A document arrived from a peer.
    Document(Document),
    /// A peer has said how long ago its configuration was the latest one.
    ConfigAge {
        /// When it was asked.
        asked: Millis,
        /// Version of the configuration.
        version: u64,
        /// Age of its proof when it answered, in milliseconds.
        age_ms: u64,
    },
    /// Another node proposes changes to the service's table.
    Proposal(Box<Proposal>),
    /// The upstream announced itself.
    Announced {
        /// Handle to answer it.
        ticket: Ticket,
        /// State that the upstream reports.
        announcement: Box<Announcement>,
    },
    /// A call to the upstream ended.
    CallDone {
        /// Handle of the call.
        ticket: Ticket,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The upstream reported its exit.
    UpstreamLeft {
        /// Handle to answer the report.
        ticket: Ticket,
        /// Name of the upstream.
        id: String,
    },
    /// A request arrived from a caller or a peer.
    Request(Arrival),
    /// A forwarded request ended.
    PeerDone {
        /// Handle of the request.
        ticket: Ticket,
        /// Status of the answer, or why there is none.
        outcome: Outcome,
    },
    /// A dispatched request ended.
    UpstreamDone {
        /// Handle of the request.
        ticket: Ticket,
        /// Status of the answer, or why there is none.
        outcome: Outcome,
    },
    /// The upstream refused a connection: it crashed.
    UpstreamDown,
    /// The sender of a request disconnected.
    Cancelled {
        /// Handle of the request.
        ticket: Ticket,
    },
    /// The settings file has changed.
    Reloaded(Box<Settings>),
    /// The process was asked to stop.
    Stop,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Handle of the request in the shell.
    pub ticket: Ticket,
    /// Whether a caller or a peer sent it.
    pub source: Source,
    /// The request's id for log lines.
    pub id: String,
    /// Host name of the request, for routing.
    pub host: String,
    /// Path and query of the request.
    pub path: String,
    /// Key of the request, if it has one.
    pub key: Option<u16>,
    /// Time left until the caller's deadline, in milliseconds.
    pub budget: u64,
    /// Fingerprint by which requests that crash upstreams are recognized.
    pub fingerprint: Fingerprint,
    /// Digest of the client account's key that the request carries.
    pub credential: Option<KeyDigest>,
    /// Instructions of the ingress node, for a request from a peer.
    pub order: Option<Order>,
}

/// What the ingress node tells the owner's node about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Name of the service.
    pub service: String,
    /// Key, for services partitioned by key.
    pub key: Option<u16>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time left until the request must have ended, in milliseconds.
    pub budget: u64,
    /// Time left in which an answer has its full value, in milliseconds.
    pub objective: u64,
    /// Service of the VM where the request arrived.
    pub origin: String,
    /// Name of the client account, if the request has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

/// Load of an upstream, as its node reports it with each answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests at the upstream or queued for it.
    pub inflight: u16,
    /// Mean run time of a request, in milliseconds.
    pub mean_ms: u32,
}

/// Outcome of a dispatched or forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// HTTP status of the complete answer that the shell holds, or why there
    /// is none.
    pub result: Result<u16, Refusal>,
    /// Load of the upstream at that time, as reported by a peer.
    pub load: Option<Load>,
    /// What the upstream says of itself; `None` without an answer from it.
    pub condition: Option<Condition>,
}

/// What an upstream says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Remaining time for which it is cold, in milliseconds.
    pub cold_ms: Option<u64>,
    /// Requests per second that it takes from all nodes together; `None` if it
    /// names no limit.
    pub rate_limit: Option<f64>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of requests that it runs or has waiting beside the answered one;
    /// `None` if it does not say.
    pub inflight: Option<usize>,
}
