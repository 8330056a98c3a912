//! The request path, driven event by event in simulated time.

mod dedupe;
mod flow;
mod members;
mod poison;
mod random;
mod support;
