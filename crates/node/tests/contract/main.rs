//! Contract tests of the node's adapters.

mod callers;
mod common;
mod peer_frames;
mod store;
mod upstream;
