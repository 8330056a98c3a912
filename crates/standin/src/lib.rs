//! Stand-ins for the systems that lagoondyke meets through their protocols:
//! the object store and the upstreams. They are small fakes for tests and
//! experiments; each runs in-process or as a program of its own.

pub mod client;
pub mod process;
pub mod server;
pub mod store;
pub mod time;
pub mod upstream;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to completion on a single-threaded runtime with timers.
///
/// # Panics
///
/// Panics if the operating system refuses the poll instance.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime needs a poll instance")
        .block_on(future)
}
