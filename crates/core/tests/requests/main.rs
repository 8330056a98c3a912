//! The request path, driven event by event in simulated time.

mod flow;
mod support;
