//! Requests and answers as a fleet's shell keeps them.

use std::rc::Rc;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};
use lagoondyke_core::fleet::event::{Arrival, Order, Source};
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_core::verdict::Refusal;
use xxhash_rust::xxh3::Xxh3Default;

use crate::fleet::ports::Asked;

/// Header between nodes with the [`Order`] of a request, as JSON.
pub const ORDER: HeaderName = HeaderName::from_static("lagoondyke-order");

/// Header between nodes with the load of the upstream, as JSON.
pub const LOAD: HeaderName = HeaderName::from_static("lagoondyke-load");

/// Header between nodes that marks a refusal; the body is the [`Refusal`] as
/// JSON.
pub const REFUSAL: HeaderName = HeaderName::from_static("lagoondyke-refusal");

/// Prefix of the headers between nodes; those of callers are dropped.
pub const PREFIX: &str = "lagoondyke-";

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Host name.
    pub host: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the headers say.
    pub asked: Asked,
    /// What the ingress decided, for a request from a peer.
    pub order: Option<Order>,
}

impl Call {
    /// The event that describes this request to the reducer.
    #[must_use]
    pub fn arrival(&self, ticket: Ticket, source: Source) -> Arrival {
        Arrival {
            ticket,
            source,
            id: self.asked.id.clone(),
            host: self.host.clone(),
            path: self.path.clone(),
            key: self.asked.key,
            budget: self.asked.budget,
            fingerprint: self.fingerprint(),
            order: self.order.clone(),
        }
    }

    /// Identity of the request for poison detection.
    fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3Default::new();
        for part in [self.method.as_str(), &self.host, &self.path] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        let key = self.asked.key.map_or(u32::MAX, u32::from);
        hash.update(&key.to_le_bytes());
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How a request ended.
pub type Reply = Result<Answer, Refusal>;

/// A request that is sent on: the request, and what goes with it.
#[derive(Clone, Debug)]
pub struct Outgoing<T> {
    /// The request.
    pub call: Rc<Call>,
    /// What goes with it.
    pub with: T,
}
