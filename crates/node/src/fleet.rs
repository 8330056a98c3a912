//! Fleet mode: the I/O around the reducer of `lagoondyke_core::fleet`.
//!
//! Unlike [`crate::shell`], this shell leaves two interfaces open: the HTTP
//! conventions of callers and upstreams are a [`ports::Dialect`], and the
//! object store is a [`ports::Store`]. Another package may provide both.

pub mod endpoints;
pub mod gossip;
pub mod message;
pub mod metrics;
pub mod notice_log;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod run;
pub mod server;
pub mod shell;
pub mod upstream;
