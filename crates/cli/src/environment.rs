//! The store, the nodes and the clock, behind traits that tests replace.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lagoondyke_core::status::{KeyLocation, Status};

use crate::exit::{Exit, Failure};

/// An object of the store and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Grows with each update; never 0.
    pub version: u64,
    /// The value, byte for byte as it was written.
    pub value: Vec<u8>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The object does not have the expected version; nothing was changed.
    Conflict,
    /// The call was not sent, so it has no effect.
    NotSent(String),
    /// A read got no usable answer.
    ReadFailed(String),
    /// An update was sent and got no usable answer, so it may take effect.
    AnswerLost(String),
    /// The store rejected the call, and would reject it again.
    Rejected(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => {
                f.write_str("the object does not have the expected version")
            }
            Self::NotSent(why) => write!(f, "store is not reachable: {why}"),
            Self::ReadFailed(why) => write!(f, "store did not answer: {why}"),
            Self::AnswerLost(why) => {
                write!(f, "answer to the update was lost: {why}")
            }
            Self::Rejected(why) => write!(f, "store rejected the call: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A store of versioned objects with conditional updates.
pub trait Store {
    /// Reads an object; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// `NotSent`, `ReadFailed` or `Rejected`.
    fn read(&self, name: &str) -> Result<Option<Object>, StoreError>;

    /// Updates an object that has version `expect`, or creates it if
    /// `expect` is 0, and returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict`, `NotSent` and `Rejected` mean that nothing was changed.
    /// After `AnswerLost` the update may have taken effect, or may yet do so.
    fn update(
        &self,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<u64, StoreError>;
}

/// Why a call to a node failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The call was not sent, so it has no effect.
    NotSent(String),
    /// The call was sent and got no complete answer, so it may have an effect.
    AnswerLost(String),
    /// The answer has an error status or cannot be decoded.
    Invalid(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not reachable: {why}"),
            Self::AnswerLost(why) => write!(f, "no answer: {why}"),
            Self::Invalid(why) => write!(f, "unexpected answer: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// The nodes, each identified by the address on which it serves callers and
/// operators.
pub trait Nodes {
    /// Asks all nodes for their status concurrently. The answers are in the
    /// order of `nodes`.
    fn statuses(&self, nodes: &[SocketAddr])
    -> Vec<Result<Status, CallError>>;

    /// Asks a node where it would send a request with this key.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    fn locate(
        &self,
        node: SocketAddr,
        service: &str,
        key: &str,
    ) -> Result<KeyLocation, CallError>;

    /// Asks a node to hand over its shards, finish its requests and stop.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    fn drain(&self, node: SocketAddr) -> Result<(), CallError>;

    /// Whether a process accepts connections at `addr`, the peer address of a
    /// node.
    fn accepts(&self, addr: SocketAddr) -> bool;
}

/// Clock by which the command waits.
pub trait Timer {
    /// Time since the command started.
    fn now(&self) -> Duration;

    /// Blocks for `duration`.
    fn sleep(&self, duration: Duration);
}

/// Everything that a command uses outside its process.
#[derive(Clone, Copy)]
pub struct Environment<'a> {
    /// The store; `None` for commands that do not use it.
    pub store: Option<&'a dyn Store>,
    /// Access to the nodes.
    pub nodes: &'a dyn Nodes,
    /// Clock for waits and time limits.
    pub timer: &'a dyn Timer,
}

impl fmt::Debug for Environment<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Environment").finish_non_exhaustive()
    }
}

impl Environment<'_> {
    /// The store, for commands that require one.
    ///
    /// # Errors
    ///
    /// A usage failure if no store is given.
    pub fn store(&self) -> Result<&dyn Store, Failure> {
        self.store
            .ok_or_else(|| Failure::new(Exit::Usage, "--store is required"))
    }
}
