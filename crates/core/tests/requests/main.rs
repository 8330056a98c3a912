//! The request path, driven event by event in simulated time.

mod dedupe;
mod lifecycle;
mod poison;
mod random;
mod support;
mod unkeyed;
