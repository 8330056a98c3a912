//! Stand-ins for the systems that lagoondyke talks to, the object store and
//! the upstreams, which speak their protocols and can simulate their faults.
//! They are fakes for tests and experiments; each runs in-process or as a
//! program of its own.

pub mod client;
pub mod process;
pub mod server;
pub mod store;
pub mod time;
pub mod upstream;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to completion on a new single-threaded runtime with timers.
///
/// # Panics
///
/// Panics if the operating system provides no poll instance.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system provides a poll instance")
        .block_on(future)
}
