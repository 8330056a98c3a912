//! The I/O shell around the reducer of `lagoondyke-core`.
//!
//! One thread runs one event loop on monoio's legacy driver. Adapters turn
//! input from sockets and timers into events. [`shell::Shell`] passes each
//! event to the reducer and performs the effects that it returns. The shell
//! uses the adapters through the traits of [`ports`], so that another wire
//! format or a test double only takes another adapter.

pub mod budget;
pub mod clock;
pub mod control;
pub mod fleet;
pub mod frames;
mod grants;
pub mod http;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod ops;
pub mod peer_server;
pub mod peers;
pub mod ports;
pub mod problem;
pub mod run;
pub mod serve;
pub mod shell;
pub mod store;
pub mod trace;
pub mod upstream;
pub mod wire;
