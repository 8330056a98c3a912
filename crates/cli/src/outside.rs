//! What the command uses outside its process, as trait objects.

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
    /// The value.
    pub value: Vec<u8>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The object does not have the expected version.
    Conflict,
    /// The call was not sent.
    NotSent(String),
    /// A read had no usable answer.
    Unread(String),
    /// An update was sent and its answer was lost: it may take effect.
    Lost(String),
    /// The store refused the call for good.
    Rejected(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => {
                f.write_str("the object has another version by now")
            }
            Self::NotSent(why) => write!(f, "store is not reachable: {why}"),
            Self::Unread(why) => write!(f, "store did not answer: {why}"),
            Self::Lost(why) => {
                write!(f, "answer to the update was lost: {why}")
            }
            Self::Rejected(why) => write!(f, "store refused: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The store, with conditional updates.
pub trait Store {
    /// Reads an object; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// `NotSent`, `Unread` or `Rejected`.
    fn read(&self, name: &str) -> Result<Option<Object>, StoreError>;

    /// Updates an object that has version `expect`, or creates it if
    /// `expect` is 0, and returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict`, `NotSent` and `Rejected` mean that nothing was changed.
    /// After `Lost` the update may have taken effect, or may yet do so.
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
    /// The call was not sent.
    NotSent(String),
    /// The call was sent, and no complete answer came.
    Lost(String),
    /// The answer is not the expected one.
    Invalid(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not reachable: {why}"),
            Self::Lost(why) => write!(f, "no answer: {why}"),
            Self::Invalid(why) => write!(f, "unexpected answer: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// The nodes, by the address on which each serves callers and operators.
pub trait Nodes {
    /// Asks all nodes for their status at once; answers are in the order of
    /// `nodes`.
    fn statuses(&self, nodes: &[SocketAddr])
    -> Vec<Result<Status, CallError>>;

    /// Asks a node where it would send a request.
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

    /// Asks a node to give up its work and stop.
    ///
    /// # Errors
    ///
    /// Any [`CallError`].
    fn drain(&self, node: SocketAddr) -> Result<(), CallError>;

    /// Whether a process accepts connections at this peer address.
    fn accepts(&self, addr: SocketAddr) -> bool;
}

/// Time, as far as the command waits.
pub trait Timer {
    /// Time since the command started.
    fn now(&self) -> Duration;

    /// Waits.
    fn pause(&self, span: Duration);
}

/// Everything outside the process.
#[derive(Clone, Copy)]
pub struct Outside<'a> {
    /// The store, for commands that use it.
    pub store: Option<&'a dyn Store>,
    /// The nodes.
    pub nodes: &'a dyn Nodes,
    /// Time.
    pub timer: &'a dyn Timer,
}

impl fmt::Debug for Outside<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outside").finish_non_exhaustive()
    }
}

impl Outside<'_> {
    /// The store.
    ///
    /// # Errors
    ///
    /// A usage failure if no store is given.
    pub fn store(&self) -> Result<&dyn Store, Failure> {
        self.store
            .ok_or_else(|| Failure::new(Exit::Usage, "--store is required"))
    }
}
