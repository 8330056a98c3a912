//! The operators' command, `lagoondyke`.
//!
//! [`args`] turns the command line into a [`args::Command`], and [`run`]
//! carries it out. Everything outside the process is behind the trait
//! objects of [`outside::Outside`]; [`http`] implements them with HTTP/1.1.
//!
//! Updates of the store are conditional on the version that was read. If the
//! answer to an update is lost, the object is read back and compared; an
//! update is never sent twice.

pub mod apply;
pub mod args;
pub mod check;
pub mod domain;
pub mod edit;
pub mod exit;
pub mod group;
pub mod http;
pub mod outside;
pub mod render;
pub mod run;
pub mod watch;

pub use run::run;
