//! The request path, driven event by event in simulated time.

mod dedupe;
mod flow;
mod support;
