//! The operators' command, `lagoondyke`.
//!
//! [`args`] parses the command line into an [`args::Command`], and [`run()`]
//! executes it. The store, the nodes and the clock are trait objects in
//! [`environment::Environment`]; [`http`] implements them with HTTP/1.1.
//!
//! Updates of the store are conditional on the version that was read. If the
//! answer to an update is lost, the object is read back and compared; an
//! update is never sent twice.

pub mod apply;
pub mod args;
pub mod check;
pub mod domain;
pub mod edit;
pub mod environment;
pub mod exit;
pub mod group;
pub mod http;
pub mod render;
pub mod run;
pub mod wait;

pub use run::run;
