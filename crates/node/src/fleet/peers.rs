//! The HTTP client for other nodes: forwarded requests, documents, proposals
//! and store calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::{
    Document, Load, ObjectKind, Order, Outcome, StoreOutcome,
};
use lagoondyke_core::fleet::proposal::Proposal;
use lagoondyke_core::verdict::{Reason, Refusal};
use monoio::time::timeout;
use serde::de::DeserializeOwned;

use crate::fleet::message::{
    Answer, Call, INTERNAL_PREFIX, LOAD_HEADER, ORDER_HEADER, REFUSAL_HEADER,
    Reply,
};
use crate::fleet::pool::Pool;
use crate::http::{ExchangeError, Response, request_line};
use crate::message::is_passed_on;
use crate::wire::put_header;

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time allowed for a call between nodes that forwards no caller's request.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest idle time after which a connection is reused. Less than the time
/// after which the other node closes it.
const MAX_IDLE_MS: u64 = 10_000;

/// Path at which a node accepts table changes that another one proposes.
pub const PROPOSALS_PATH: &str = "/lagoondyke/proposals";

/// Path at which a node calls the store on behalf of another one.
pub const STORE_PATH: &str = "/lagoondyke/store";

/// Path prefix of documents, followed by [`kind_name`].
pub const DOCUMENTS_PATH: &str = "/lagoondyke/documents/";

/// A client of other nodes. Clones share its connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: Pool,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self { pool: Pool::new(CONNECT_TIMEOUT, MAX_ANSWER_BYTES) }
    }
}

impl PeerClient {
    /// Forwards a request to the owner's node. Dropping the future cancels
    /// the request there.
    pub async fn forward(
        &self,
        to: SocketAddr,
        call: Rc<Call>,
        order: Order,
    ) -> (Reply, Outcome) {
        let order = serde_json::to_vec(&order).unwrap_or_default();
        let head = |out: &mut BytesMut| {
            request_line(out, &call.method, &call.path);
            for (name, value) in &call.headers {
                let internal = name.as_str().starts_with(INTERNAL_PREFIX);
                if internal || !is_passed_on(name) {
                    continue;
                }
                put_header(out, name.as_str(), value.as_bytes());
            }
            put_header(out, ORDER_HEADER.as_str(), &order);
        };
        let body = call.body.clone();
        let result =
            self.pool.call(to, MAX_IDLE_MS, &call.method, body, head).await;
        let (reply, load) = match result {
            Ok(response) => {
                let load = json_header(&response.headers, &LOAD_HEADER);
                (reply_of(response), load)
            }
            Err(error) => (Err(refusal_of(&error)), None),
        };
        let result = match &reply {
            Ok(answer) => Ok(answer.status.as_u16()),
            Err(refusal) => Err(refusal.clone()),
        };
        (reply, Outcome { result, load, condition: None })
    }

    /// Fetches a document from another node; `None` on failure.
    pub async fn fetch(
        &self,
        from: SocketAddr,
        kind: ObjectKind,
    ) -> Option<Document> {
        let path = format!("{DOCUMENTS_PATH}{}", kind_name(kind));
        let response =
            self.control_call(from, Method::GET, &path, Bytes::new()).await?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Proposes changes to a table to another node. Reports no result: the
    /// table itself shows whether they were applied.
    pub async fn propose(&self, to: SocketAddr, proposal: &Proposal) {
        let body = serde_json::to_vec(proposal).unwrap_or_default();
        self.control_call(to, Method::POST, PROPOSALS_PATH, body.into()).await;
    }

    /// Has another node call the store on behalf of this one.
    pub async fn relay(&self, to: SocketAddr, op: &Op) -> StoreOutcome {
        let body = serde_json::to_vec(op).unwrap_or_default();
        let response =
            self.control_call(to, Method::POST, STORE_PATH, body.into());
        let outcome = response
            .await
            .and_then(|response| serde_json::from_slice(&response.body).ok());
        // The other node may have made the call even if no outcome arrived.
        outcome.unwrap_or(StoreOutcome::Unknown)
    }

    /// Makes a call between nodes that forwards no caller's request; `None`
    /// unless it succeeds.
    async fn control_call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<Response> {
        let head = |out: &mut BytesMut| {
            request_line(out, &method, path);
            put_header(out, "host", to.to_string().as_bytes());
        };
        let call = self.pool.call(to, MAX_IDLE_MS, &method, body, head);
        let response = timeout(CONTROL_CALL_TIMEOUT, call).await.ok()?.ok()?;
        response.status.is_success().then_some(response)
    }
}

/// Name of a kind of documents in paths after [`DOCUMENTS_PATH`].
#[must_use]
pub fn kind_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Config => "config",
        ObjectKind::Domains => "domains",
        ObjectKind::Nodes => "nodes",
        ObjectKind::Tables => "tables",
    }
}

/// The kind of documents with this [`kind_name`]; `None` for an unknown name
/// and for records of nodes, which are not served.
#[must_use]
pub fn kind_from_name(name: &str) -> Option<ObjectKind> {
    let kinds = [ObjectKind::Config, ObjectKind::Domains, ObjectKind::Tables];
    kinds.into_iter().find(|&kind| kind_name(kind) == name)
}

/// Decodes a header's value from JSON; `None` if it is absent or invalid.
pub fn json_header<T: DeserializeOwned>(
    headers: &HeaderMap,
    name: &http::HeaderName,
) -> Option<T> {
    serde_json::from_slice::<T>(headers.get(name)?.as_bytes()).ok()
}

fn reply_of(response: Response) -> Reply {
    let Response { status, mut headers, body, .. } = response;
    if headers.contains_key(&REFUSAL_HEADER) {
        let refusal = serde_json::from_slice::<Refusal>(&body);
        return Err(refusal.unwrap_or_else(|_| {
            let detail = "the refusal of the owner's node is malformed";
            Refusal::new(Reason::AnswerCut, detail)
        }));
    }
    if headers.remove(&LOAD_HEADER).is_none() {
        let detail = "the answer does not come from the owner's node";
        return Err(Refusal::new(Reason::AnswerCut, detail));
    }
    Ok(Answer { status, headers, body })
}

fn refusal_of(error: &ExchangeError) -> Refusal {
    match error {
        ExchangeError::Unsent => {
            let detail = "no connection to the owner's node could be made";
            Refusal::new(Reason::ConnectFailed, detail)
        }
        ExchangeError::Lost => {
            let detail = "the connection to the owner's node was lost";
            Refusal::new(Reason::ConnectionLost, detail)
        }
        ExchangeError::Truncated | ExchangeError::Malformed(_) => {
            let detail = "the answer of the owner's node is malformed";
            Refusal::new(Reason::AnswerCut, detail)
        }
    }
}

/// Encodes the value of [`LOAD_HEADER`].
#[must_use]
pub fn encode_load(load: Load) -> Vec<u8> {
    serde_json::to_vec(&load).unwrap_or_default()
}
