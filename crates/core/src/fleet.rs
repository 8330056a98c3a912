//! A fleet whose shared state lives in an object store.
//!
//! In this mode no node leads. What must be agreed on is one object per
//! partitioned service, the [`table::Table`] of key ranges, and one object
//! per node, its [`lease`]. Both change by conditional update only. A node
//! hands its ranges to the upstream beside it for short terms that never
//! outlast its own lease, so that a range can be given to another node as
//! soon as both have ended.
//!
//! Nodes tell each other their load, and which versions they know, by
//! [`gossip`]. A node that the store turns away still learns of new
//! documents from its peers.
//!
//! [`Fleet`] is the reducer: it takes an [`event::Event`] and the present
//! time and appends [`effect::Effect`]s. `docs/platform.md` describes the
//! protocol.

mod announce;
pub mod balance;
pub mod combine;
pub mod config;
mod documents;
pub mod effect;
pub mod event;
mod exchange;
pub mod gossip;
pub mod heat;
pub mod host;
pub mod lease;
mod moves;
pub mod pick;
pub mod queue;
mod reconcile;
mod reducer;
mod renewal;
pub mod request;
pub mod rules;
pub mod settings;
pub mod table;
mod takeover;
pub mod warmup;

pub use reducer::Fleet;
