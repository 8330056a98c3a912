//! Load generator and failure experiments.
//!
//! Load is open loop: requests are sent at their intended times whether or not
//! earlier ones were answered, and latency counts from the intended time. Only
//! the experiment that saturates a path uses a closed loop, which keeps a
//! fixed number of requests in flight. Each experiment starts its processes on
//! loopback, compares what callers saw with the runs that upstreams recorded,
//! and checks bounds. The bounds come from the design page, never from
//! measured figures.

pub mod check;
pub mod cluster;
pub mod experiments;
pub mod load;
pub mod pool;
pub mod report;
pub mod usage;
