//! Requests and answers in memory, and the headers that nodes exchange.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};
use lagoondyke_core::fleet::event::{Arrival, Order, Source};
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_core::verdict::Refusal;
use xxhash_rust::xxh3::Xxh3Default;

use crate::fleet::ports::RequestMeta;

/// Header of a request from another node: its [`Order`], as JSON.
pub const ORDER_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-order");

/// Header of a request from another node: the id by which the node may
/// withdraw it, a decimal number.
pub const FORWARD_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-forward");

/// Header of an answer to another node: the load of the upstream, as JSON.
/// An answer without it is not taken for one of a node.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("lagoondyke-load");

/// Header that marks an answer to another node as a refusal; the body is the
/// [`Refusal`], as JSON.
pub const REFUSAL_HEADER: HeaderName =
    HeaderName::from_static("lagoondyke-refusal");

/// Prefix of the headers that only nodes send each other. Headers of callers
/// with this prefix are removed.
pub const INTERNAL_PREFIX: &str = "lagoondyke-";

/// A complete request of a caller, or of another node on its behalf.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Value of the `Host` header; empty if there is none.
    pub host: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// What the dialect reads from the headers.
    pub meta: RequestMeta,
    /// Instructions of the ingress node, for a request from a peer.
    pub order: Option<Order>,
}

impl Call {
    /// The request as the reducer sees it, at a node beside an upstream of
    /// `service`.
    #[must_use]
    pub fn arrival(
        &self,
        ticket: Ticket,
        source: Source,
        service: &str,
    ) -> Arrival {
        let order = self.order.as_ref();
        let origin = order.map_or(service, |order| &order.origin);
        Arrival {
            ticket,
            source,
            id: self.meta.id.clone(),
            host: self.host.clone(),
            path: self.path.clone(),
            key: self.meta.key,
            budget: self.meta.timeout_ms,
            fingerprint: self.fingerprint(origin),
            credential: self.meta.credential,
            order: self.order.clone(),
        }
    }

    /// Hash of the calling service, method, host, path and body, by which
    /// requests that crash upstreams are recognized. Upstreams are told the
    /// calling service, and may treat its requests differently. The key is left
    /// out, since such a request may return for another one.
    fn fingerprint(&self, origin: &str) -> Fingerprint {
        let mut hash = Xxh3Default::new();
        let method = self.method.as_str();
        for part in [origin, method, &self.host, &self.path] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// How a request ended: with an answer, or refused.
pub type Reply = Result<Answer, Refusal>;

/// A request together with data for its next hop.
#[derive(Clone, Debug)]
pub struct Outgoing<T> {
    /// The request.
    pub call: Rc<Call>,
    /// Data for the next hop.
    pub with: T,
}
