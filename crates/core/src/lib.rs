//! The decision logic of the lagoondyke router, without I/O.
//!
//! This crate decides which node owns a key, which upstreams take work,
//! which configuration is in force, and what happens to each request. One
//! reducer, [`node::Node`], takes an [`event::Event`] and the present time
//! and returns [`effect::Effect`]s as data. The shell, the I/O layer in
//! `lagoondyke-node`, performs the effects and reports their outcomes as new
//! events. This crate opens no socket and reads no clock, so each decision
//! is tested with plain values.
//!
//! The protocol is described in `docs/design.md`.

pub mod clock;
pub mod config;
pub mod control;
pub mod effect;
pub mod event;
pub mod fleet;
pub mod group;
pub mod id;
pub mod jsonc;
pub mod node;
pub mod peer;
pub mod record;
pub mod request;
pub mod route;
pub mod settings;
pub mod status;
pub mod verdict;
