//! Fleet mode: nodes without a leader that share state through an object
//! store.
//!
//! Two kinds of objects need agreement: one [`table::Table`] of key ranges for
//! each partitioned service, and one [`lease`] record for each node. Both are
//! changed by conditional updates only. A node grants its ranges to its local
//! upstream for short periods that never outlast its own lease, so that a
//! range can be given to another node as soon as both have expired.
//!
//! Nodes exchange their load, and the document versions that they know, by
//! [`gossip`]. A node that the store rejects, or that cannot reach it, still
//! learns of new documents from its peers.
//!
//! [`Fleet`] is the reducer: it takes an [`event::Event`] and the current time
//! and appends [`effect::Effect`]s. `docs/platform.md` describes the protocol.

pub mod account;
mod announce;
pub mod balance;
pub mod config;
mod config_proof;
mod crash_memory;
mod departures;
mod documents;
pub mod effect;
pub mod event;
mod exit;
pub mod gossip;
pub mod grant_calls;
pub mod key_load;
pub mod lease;
mod local_crashes;
mod moves;
pub mod occupancy;
mod peer_sync;
pub mod pick;
pub mod proposal;
pub mod queue;
pub mod rate_limit;
mod reconcile;
mod reducer;
mod renewal;
pub mod request;
mod restore;
mod retries;
pub mod revision;
pub mod rules;
pub mod settings;
pub mod table;
mod takeover;
pub mod upstream;
pub mod warmup;
pub mod withdrawal;

pub use reducer::Fleet;
