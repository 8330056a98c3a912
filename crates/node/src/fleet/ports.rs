//! The borders of a fleet's shell.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, StatusCode};
use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::StoreOutcome;
use lagoondyke_core::fleet::upstream::{Announcement, Grant};
use lagoondyke_core::verdict::Refusal;

pub use crate::ports::Local;

/// The object store.
pub trait Store {
    /// Performs one call.
    fn call(&self, op: Op) -> Local<StoreOutcome>;
}

/// What the router needs of a caller's request, beside method and path.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Asked {
    /// The request's own id.
    pub id: String,
    /// Milliseconds left until the caller's deadline.
    pub budget: u64,
    /// The key.
    pub key: Option<u16>,
}

/// What the node says with a request for the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// The upstream that is to run it.
    pub upstream: &'a str,
    /// Milliseconds left until the request must have ended.
    pub budget: u64,
    /// The service of the VM where the request came in.
    pub origin: &'a str,
}

/// What an upstream says with an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Marks {
    /// The request that it answers.
    pub id: Option<String>,
    /// The upstream made the answer, rather than something on the way.
    pub genuine: bool,
    /// The upstream has not run the request.
    pub refused: bool,
    /// Another upstream has the address, or it does not hold the key.
    pub misdirected: bool,
    /// How much longer the upstream is cold, in milliseconds.
    pub cold_ms: Option<u64>,
}

/// A request to the address for announcements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Announced {
    /// An upstream says how it is.
    State(Box<Announcement>),
    /// An upstream says that it is gone.
    Left(String),
}

/// How callers and upstreams speak.
pub trait Dialect {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with them.
    fn asked(&self, headers: &HeaderMap) -> Result<Asked, String>;

    /// Whether a header of a caller's request is replaced by
    /// [`Dialect::sent`].
    fn replaces(&self, name: &HeaderName) -> bool;

    /// Appends the header lines that tell the upstream what the node says.
    fn sent(&self, out: &mut BytesMut, sent: Sent<'_>);

    /// Reads the head of an upstream's answer.
    fn marks(&self, status: StatusCode, headers: &HeaderMap) -> Marks;

    /// Status and headers with which a caller is refused.
    fn refusal(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);

    /// Whether a path asks whether the node is ready.
    fn is_ready(&self, path: &str) -> bool;

    /// Reads a request to the address for announcements; `None` if it is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with an announcement.
    fn announced(
        &self,
        path: &str,
        body: &[u8],
    ) -> Option<Result<Announced, String>>;

    /// The body of the answer to an announcement.
    fn granted(&self, grant: &Grant) -> Bytes;
}
