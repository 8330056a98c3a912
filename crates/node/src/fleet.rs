//! The shell around the reducer of a fleet.
//!
//! It differs from [`crate::shell`] in its borders: how callers, upstreams
//! and the store are spoken to is a [`ports::Dialect`] and a
//! [`ports::Store`], which another package may provide.

pub mod callers;
pub mod control;
pub mod gossip;
pub mod message;
pub mod metrics;
pub mod notices;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod run;
pub mod shell;
pub mod upstream;
