//! Contract tests of the node's adapters, over real sockets against scripted
//! counterparts.

mod callers;
mod common;
mod forwards;
mod memory;
mod peer_frames;
mod store;
mod upstream;
