//! All inputs of the fleet's reducer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::combine::Proposal;
use crate::fleet::config::Config;
use crate::fleet::gossip::Gossip;
use crate::fleet::host::Announcement;
use crate::fleet::lease::Record;
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;
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
pub enum Kind {
    /// The operator's configuration.
    Config,
    /// Failure domains that are out of service.
    Domains,
    /// Records of nodes.
    Nodes,
    /// Tables of key ranges, by service.
    Tables,
}

/// The decoded value of an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// The operator's configuration.
    Config(Box<Config>),
    /// A failure domain, named by the object, is out of service.
    Out,
    /// A node's record.
    Node(Record),
    /// A service's table.
    Table(Table),
    /// The value cannot be used.
    Unusable(String),
}

/// An object of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Its name.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value; none if it was deleted.
    pub value: Option<Value>,
}

/// What a call to the store was for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// List all objects of a kind.
    List(Kind),
    /// Wait for changes of a kind.
    Watch(Kind),
    /// Renew this node's lease; sent at the time given by its count.
    Renew,
    /// Read this node's record.
    Recall,
    /// Change a table.
    Edit(String),
    /// Read another node's record.
    Inspect(String),
    /// Revoke another node's lease.
    Revoke(String),
    /// A call that a peer makes for this node.
    Relayed(Box<Call>),
}

/// How a call to the store ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Stored {
    /// All objects of a kind.
    Listed {
        /// The objects.
        items: Vec<Item>,
        /// Revision of the store.
        revision: u64,
    },
    /// Objects that changed, the earliest first; none if nothing did.
    Changed {
        /// The objects.
        items: Vec<Item>,
        /// Revision of the store.
        revision: u64,
    },
    /// The history needed for a watch is gone.
    Compacted,
    /// The object as it is now: it was read, or the update took effect.
    Done(Item),
    /// The condition of the update did not hold.
    Conflict(Option<Item>),
    /// There is no such object.
    Missing,
    /// The store did not take the call.
    Unavailable,
    /// There is no answer; an update may take effect even later.
    Unknown,
}

/// A document as nodes pass it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Document {
    /// The configuration and its revision.
    Config(u64, Box<Config>),
    /// The failure domains that are out, and the store's revision.
    Domains(u64, BTreeSet<String>),
    /// Tables by service, with their revisions.
    Tables(Vec<(String, u64, Table)>),
}

/// Something that happened outside the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`crate::clock::TICK_INTERVAL_MS`] milliseconds have passed.
    Tick,
    /// A call to the store ended.
    Stored {
        /// What the call was for.
        call: Call,
        /// How it ended.
        outcome: Stored,
    },
    /// A datagram of another node arrived.
    Heard {
        /// Its sender.
        from: SocketAddr,
        /// What it says.
        gossip: Box<Gossip>,
    },
    /// A document of another node arrived.
    Fetched(Document),
    /// Another node proposes changes of the service's table.
    Proposed(Box<Proposal>),
    /// The upstream announced itself.
    Announced {
        /// Identifies the answer.
        ticket: Ticket,
        /// What it says.
        announcement: Box<Announcement>,
    },
    /// The upstream said that it is gone.
    Left {
        /// Its name.
        id: String,
    },
    /// A request arrived.
    Arrived(Arrival),
    /// A forwarded request ended.
    PeerDone {
        /// The request.
        ticket: Ticket,
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
    /// The upstream refused a connection: it crashed.
    UpstreamDown,
    /// Whoever sent a request went away.
    Cancelled {
        /// The request.
        ticket: Ticket,
    },
    /// The settings file has changed.
    Reloaded(Box<Settings>),
    /// The process was asked to stop.
    Stop,
}

/// The head of a request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The shell's handle of the request.
    pub ticket: Ticket,
    /// Who sent it.
    pub source: Source,
    /// The request's own id, for logs.
    pub id: String,
    /// Host name.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// The key.
    pub key: Option<u16>,
    /// Milliseconds left until the caller's deadline.
    pub budget: u64,
    /// Identity of the request for poison detection.
    pub fingerprint: Fingerprint,
    /// What the ingress decided, for a request from a peer.
    pub order: Option<Order>,
}

/// What the ingress tells the owner's node of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The key, for services partitioned by key.
    pub key: Option<u16>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// Milliseconds left until the request must have ended.
    pub budget: u64,
    /// Milliseconds left in which an answer has its full value.
    pub objective: u64,
    /// The service of the VM where the request came in.
    pub origin: String,
}

/// Load of an upstream, as its node reports it with each answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests at the upstream or waiting for it.
    pub inflight: u16,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: u32,
}

/// How a dispatched or forwarded request ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Status of the whole answer that is in the shell, or why there is
    /// none.
    pub result: Result<u16, Refusal>,
    /// Load of the upstream at that time, from a peer.
    pub load: Option<Load>,
    /// The upstream says that it is cold for this long, in milliseconds.
    pub cold_ms: Option<u64>,
}
