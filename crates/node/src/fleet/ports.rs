//! Interfaces between a fleet's shell and the platform that it runs on.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, StatusCode};
use lagoondyke_core::fleet::account::KeyDigest;
use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::{CallOutcome, Condition, StoreOutcome};
use lagoondyke_core::fleet::grant_calls::UpstreamCall;
use lagoondyke_core::fleet::upstream::{Announcement, Grant};
use lagoondyke_core::verdict::Refusal;

pub use crate::ports::Local;

/// Client of the object store that holds the fleet's shared state.
pub trait Store {
    /// Performs one call. Failures are outcomes, too.
    fn call(&self, op: Op) -> Local<StoreOutcome>;
}

/// What the router reads from the headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMeta {
    /// Id of the request, for log lines and to match the upstream's answer;
    /// empty if the caller sent none.
    pub id: String,
    /// Time left until the caller's deadline.
    pub timeout_ms: u64,
    /// Key of the request, if it has one.
    pub key: Option<u16>,
    /// Digest of the client account's key, if it carries one.
    pub credential: Option<KeyDigest>,
}

/// What the node tells the upstream in the headers of a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchMeta<'a> {
    /// Name of the upstream that is to run the request.
    pub upstream: &'a str,
    /// Time left until the request must have ended.
    pub timeout_ms: u64,
    /// Service of the VM where the request arrived.
    pub origin: &'a str,
    /// Name of the client account, if the request has one.
    pub account: Option<&'a str>,
}

/// What the status and headers of an upstream's answer say about the
/// request and the upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMeta {
    /// Id of the answered request; `None` if the answer names none.
    pub id: Option<String>,
    /// Whether the upstream produced the answer, rather than an
    /// intermediary.
    pub from_upstream: bool,
    /// Whether the upstream reports that it has not run the request.
    pub not_run: bool,
    /// Whether another upstream has the address, or the upstream does not
    /// hold the key.
    pub misdirected: bool,
    /// What the upstream says of itself.
    pub condition: Condition,
}

/// A message of an upstream to the address for announcements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// The upstream reports its state.
    Announcement(Box<Announcement>),
    /// The upstream with this name has exited.
    Left(String),
}

/// The HTTP conventions of callers and upstreams: headers, status codes and
/// paths.
pub trait Dialect {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid header.
    fn request_meta(&self, headers: &HeaderMap)
    -> Result<RequestMeta, String>;

    /// Removes the headers with the key and the name of a client account, which
    /// an upstream is not shown, or only as the node sets them.
    fn remove_account(&self, headers: &mut HeaderMap);

    /// Whether [`Dialect::put_dispatch_meta`] writes this header, so that
    /// the caller's value is not passed on.
    fn replaces(&self, name: &HeaderName) -> bool;

    /// Appends `meta` to a request to the upstream, as header lines.
    fn put_dispatch_meta(&self, out: &mut BytesMut, meta: DispatchMeta<'_>);

    /// Decodes the status and headers of an upstream's answer.
    fn answer_meta(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMeta;

    /// Status and headers of the response that refuses a caller's request.
    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);

    /// Whether the path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Decodes a request to the address for announcements; `None` if it is
    /// no message of an upstream.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid in the message.
    fn decode_message(
        &self,
        path: &str,
        body: &[u8],
    ) -> Option<Result<UpstreamMessage, String>>;

    /// Encodes the body of the answer to an announcement.
    fn encode_grant(&self, grant: &Grant) -> Bytes;

    /// Appends the head of a call to the upstream with this name, without its
    /// length and the empty line, and returns the body. The method is POST.
    fn put_call(
        &self,
        out: &mut BytesMut,
        upstream: &str,
        call: &UpstreamCall,
    ) -> Bytes;

    /// Decodes the answer to a call to the upstream.
    fn call_outcome(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> CallOutcome;
}
