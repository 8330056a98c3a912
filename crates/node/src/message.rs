//! Requests and answers as the shell keeps them, and the header names of
//! the protocol.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, StatusCode};
use lagoondyke_core::event::{Arrival, Source};
use lagoondyke_core::id::{Fingerprint, KeyHash, Shard, Ticket};
use lagoondyke_core::verdict::Refusal;
use xxhash_rust::xxh3::Xxh3Default;

/// Request header: name of the service.
pub const SERVICE_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-service");
/// Request header: the key, by whose hash the owner is found.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("lagoondyke-key");
/// Request header: milliseconds left until the deadline.
pub const DEADLINE_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-deadline");
/// Request header: name of the partner on whose behalf the request runs.
pub const PARTNER_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-partner");
/// Request header for the upstream: the shard's fencing token.
pub const FENCE_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-fence");
/// Request header for the upstream: number of the key's shard.
pub const SHARD_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-shard");
/// Request header for the upstream, and header of its answer: names the
/// exchange on its connection. An answer that names another one is dropped.
pub const REQUEST_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-request");
/// Response header: the node beside the upstream that answered.
pub const NODE_HEADER: HeaderName = HeaderName::from_static("lagoondyke-node");
/// Request header: the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName =
    HeaderName::from_static("idempotency-key");
/// Request and response header: the idempotency scope.
pub const IDEMPOTENCY_SCOPE_HEADER: HeaderName =
    HeaderName::from_static("idempotency-scope");
/// Request header: W3C trace context.
pub const TRACEPARENT_HEADER: HeaderName =
    HeaderName::from_static("traceparent");

/// A request from a caller or a peer, to be run by an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the service that the request is for.
    pub service: String,
    /// Hash of the key; `None` if the caller named no key.
    pub key: Option<KeyHash>,
    /// Time left until the deadline when the request arrived.
    pub timeout_ms: u64,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key: requests with the same one are to run
    /// only once.
    pub idempotency_key: Option<String>,
    /// The idempotency scope that the caller sent.
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs; `None` if the caller
    /// named none.
    pub partner: Option<String>,
    /// Identifies equal requests, to find those that crash upstreams.
    pub fingerprint: Fingerprint,
    /// HTTP method; the upstream gets the same.
    pub method: Method,
    /// Path and query of the URL, in visible ASCII characters.
    pub path: String,
    /// Headers, without those that `Connection` lists.
    pub headers: HeaderMap,
    /// The whole body; empty if there is none.
    pub body: Bytes,
    /// W3C `traceparent` of the sending hop; `None` if the request is not
    /// traced.
    pub trace: Option<String>,
}

impl Call {
    /// Describes this request to the reducer, which sees neither headers nor
    /// body.
    #[must_use]
    pub fn arrival(&self, ticket: Ticket, source: Source) -> Arrival {
        Arrival {
            ticket,
            source,
            service: self.service.clone(),
            key: self.key,
            timeout_ms: self.timeout_ms,
            idempotent: self.idempotent,
            idempotency_key: self.idempotency_key.clone(),
            scope: self.scope.clone(),
            partner: self.partner.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// The complete answer of an upstream.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code, which may be an error.
    pub status: StatusCode,
    /// Headers, without those that `Connection` lists.
    pub headers: HeaderMap,
    /// The whole body; empty if there is none.
    pub body: Bytes,
    /// The owner's idempotency scope, for later requests of the caller;
    /// `None` if the owner sent none.
    pub scope: Option<String>,
    /// The shard under which the request ran; `None` if its service is not
    /// partitioned by key.
    pub shard: Option<Shard>,
    /// The node beside the upstream that answered.
    pub node: Rc<str>,
}

/// How a request ended: with an answer of the upstream or a refusal.
pub type Reply = Result<Answer, Refusal>;

/// Whether a method is idempotent by RFC 9110. `TRACE` counts as not
/// idempotent.
#[must_use]
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET
            | Method::HEAD
            | Method::PUT
            | Method::DELETE
            | Method::OPTIONS
    )
}

/// Hashes what identifies equal requests, to find those that crash upstreams.
/// Headers are left out.
#[must_use]
pub fn fingerprint(
    service: &str,
    method: &Method,
    path: &str,
    key: Option<KeyHash>,
    body: &[u8],
) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    // Without the lengths, a byte moved from one field to the next would
    // give the same hash.
    for part in [service, method.as_str(), path] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&key.map_or(0, |key| key.0).to_le_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

/// Whether a header is passed on. Headers that concern a single connection are
/// not, nor are those that each node sets itself.
#[must_use]
pub fn is_passed_on(name: &HeaderName) -> bool {
    !matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "transfer-encoding"
            | "te"
            | "trailer"
            | "upgrade"
            | "expect"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "idempotency-scope"
            | "lagoondyke-deadline"
            | "lagoondyke-fence"
            | "lagoondyke-node"
            | "lagoondyke-request"
            | "lagoondyke-shard"
            | "traceparent"
    )
}

/// Removes the headers that `Connection` lists, since they concern a single
/// connection.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let Some(list) = headers.get(header::CONNECTION) else { return };
    let names = list.to_str().unwrap_or_default().to_owned();
    for name in names.split(',').map(str::trim) {
        if !matches!(name, "close" | "keep-alive") {
            headers.remove(name);
        }
    }
}
