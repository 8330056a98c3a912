//! Requests and answers as the shell keeps them.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, StatusCode};
use lagoondyke_core::event::{Arrival, Source};
use lagoondyke_core::id::{Fingerprint, KeyHash, Shard, Ticket};
use lagoondyke_core::verdict::Refusal;
use xxhash_rust::xxh3::Xxh3Default;

/// Header that names the service of a request.
pub const SERVICE: HeaderName = HeaderName::from_static("lagoondyke-service");
/// Header that names the key of a request.
pub const KEY: HeaderName = HeaderName::from_static("lagoondyke-key");
/// Header with the milliseconds left until the deadline.
pub const DEADLINE: HeaderName =
    HeaderName::from_static("lagoondyke-deadline");
/// Header that names the partner on whose behalf a request runs.
pub const PARTNER: HeaderName = HeaderName::from_static("lagoondyke-partner");
/// Header with the fencing token, towards the upstream.
pub const FENCE: HeaderName = HeaderName::from_static("lagoondyke-fence");
/// Header with the shard, towards the upstream.
pub const SHARD: HeaderName = HeaderName::from_static("lagoondyke-shard");
/// Header of answers that names the node beside the answering upstream.
pub const NODE: HeaderName = HeaderName::from_static("lagoondyke-node");
/// Header with the caller's idempotency key.
pub const TOKEN: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the idempotency scope.
pub const SCOPE: HeaderName = HeaderName::from_static("idempotency-scope");
/// W3C trace context.
pub const TRACE: HeaderName = HeaderName::from_static("traceparent");

/// A request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service's name.
    pub service: String,
    /// The key's hash.
    pub key: Option<KeyHash>,
    /// Milliseconds left until the deadline when the request arrived.
    pub budget: u64,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub token: Option<String>,
    /// The caller's idempotency scope.
    pub scope: Option<String>,
    /// The partner on whose behalf the request runs.
    pub partner: Option<String>,
    /// Identity of the request for poison detection.
    pub fingerprint: Fingerprint,
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// W3C trace context of the sending hop.
    pub trace: Option<String>,
}

impl Call {
    /// The event that describes this request to the reducer.
    #[must_use]
    pub fn arrival(&self, ticket: Ticket, source: Source) -> Arrival {
        Arrival {
            ticket,
            source,
            service: self.service.clone(),
            key: self.key,
            timeout_ms: self.budget,
            idempotent: self.idempotent,
            idempotency_key: self.token.clone(),
            scope: self.scope.clone(),
            partner: self.partner.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// A whole answer of an upstream.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The owner's idempotency scope, if a peer named one.
    pub scope: Option<String>,
    /// The shard under which the request ran.
    pub shard: Option<Shard>,
    /// The node beside the upstream that answered.
    pub node: Rc<str>,
}

/// How a request ended.
pub type Reply = Result<Answer, Refusal>;

/// Whether a method is idempotent by its definition.
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

/// Identity of a request for poison detection.
#[must_use]
pub fn fingerprint(
    service: &str,
    method: &Method,
    path: &str,
    key: Option<KeyHash>,
    body: &[u8],
) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    // Lengths keep neighbouring fields apart.
    for part in [service, method.as_str(), path] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&key.map_or(0, |key| key.0).to_le_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

/// Whether a header is passed on: not one that concerns a single connection,
/// nor one that each node writes anew.
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
            | "lagoondyke-shard"
            | "traceparent"
    )
}

/// Removes the headers that `Connection` names.
pub fn drop_named(headers: &mut HeaderMap) {
    let Some(list) = headers.get(header::CONNECTION) else { return };
    let named = list.to_str().unwrap_or_default().to_owned();
    for name in named.split(',').map(str::trim) {
        if !matches!(name, "close" | "keep-alive") {
            headers.remove(name);
        }
    }
}
