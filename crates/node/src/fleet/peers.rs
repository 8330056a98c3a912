//! Requests for other nodes, and documents from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use lagoondyke_core::fleet::combine::Proposal;
use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::{
    Document, Kind, Load, Order, Outcome, Stored,
};
use lagoondyke_core::verdict::{Reason, Refusal};
use monoio::time::timeout;
use serde::de::DeserializeOwned;

use crate::fleet::message::{
    Answer, Call, LOAD, ORDER, PREFIX, REFUSAL, Reply,
};
use crate::fleet::pool::Pool;
use crate::http::{ExchangeError, Response, request_line};
use crate::message::is_passed_on;
use crate::wire::put_header;

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// Time for a call that is no caller's request.
const CONTROL_LIMIT: Duration = Duration::from_millis(1_500);

/// Largest answer, in bytes.
const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// Idle time after which a connection is not used again, in milliseconds;
/// less than the time after which the other node closes it.
const REUSE: u64 = 10_000;

/// Path at which a node takes the changes that another one proposes.
pub const PROPOSALS: &str = "/lagoondyke/proposals";

/// Path at which a node calls the store for another one.
pub const STORE: &str = "/lagoondyke/store";

/// Path of documents, followed by their kind.
pub const DOCUMENTS: &str = "/lagoondyke/documents/";

/// A client of other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    pool: Pool,
}

impl Default for Peers {
    fn default() -> Self {
        Self { pool: Pool::new(CONNECT_LIMIT, ANSWER_MAX) }
    }
}

impl Peers {
    /// Has another node run a request. Dropping the future cancels it there.
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
                let own = name.as_str().starts_with(PREFIX);
                if own || !is_passed_on(name) {
                    continue;
                }
                put_header(out, name.as_str(), value.as_bytes());
            }
            put_header(out, ORDER.as_str(), &order);
        };
        let body = call.body.clone();
        let result = self.pool.call(to, REUSE, &call.method, body, head).await;
        let (reply, load) = match result {
            Ok(response) => {
                let load = header(&response.headers, &LOAD);
                (reply(response), load)
            }
            Err(error) => (Err(refusal(&error)), None),
        };
        let result = match &reply {
            Ok(answer) => Ok(answer.status.as_u16()),
            Err(refusal) => Err(refusal.clone()),
        };
        (reply, Outcome { result, load, cold_ms: None })
    }

    /// Asks another node for a document; `None` if it does not answer with
    /// one.
    pub async fn fetch(
        &self,
        from: SocketAddr,
        kind: Kind,
    ) -> Option<Document> {
        let path = format!("{DOCUMENTS}{}", kind_name(kind));
        let response =
            self.control(from, Method::GET, &path, Bytes::new()).await?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Proposes changes of a table to another node; whether it took them
    /// shows in the table.
    pub async fn propose(&self, to: SocketAddr, proposal: &Proposal) {
        let body = serde_json::to_vec(proposal).unwrap_or_default();
        self.control(to, Method::POST, PROPOSALS, body.into()).await;
    }

    /// Has another node call the store.
    pub async fn relay(&self, to: SocketAddr, op: &Op) -> Stored {
        let body = serde_json::to_vec(op).unwrap_or_default();
        let response = self.control(to, Method::POST, STORE, body.into());
        let stored = response
            .await
            .and_then(|response| serde_json::from_slice(&response.body).ok());
        // The node may have made the call and lost the answer.
        stored.unwrap_or(Stored::Unknown)
    }

    /// Makes a call that is no caller's request.
    async fn control(
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
        let call = self.pool.call(to, REUSE, &method, body, head);
        let response = timeout(CONTROL_LIMIT, call).await.ok()?.ok()?;
        response.status.is_success().then_some(response)
    }
}

/// Name of a kind of documents in paths.
#[must_use]
pub fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Config => "config",
        Kind::Domains => "domains",
        Kind::Nodes => "nodes",
        Kind::Tables => "tables",
    }
}

/// The kind with a name in paths.
#[must_use]
pub fn kind_of(name: &str) -> Option<Kind> {
    let kinds = [Kind::Config, Kind::Domains, Kind::Tables];
    kinds.into_iter().find(|&kind| kind_name(kind) == name)
}

/// A header's value, from JSON.
pub fn header<T: DeserializeOwned>(
    headers: &HeaderMap,
    name: &http::HeaderName,
) -> Option<T> {
    serde_json::from_slice::<T>(headers.get(name)?.as_bytes()).ok()
}

fn reply(response: Response) -> Reply {
    let Response { status, mut headers, body, .. } = response;
    if headers.contains_key(&REFUSAL) {
        let refusal = serde_json::from_slice::<Refusal>(&body);
        return Err(refusal.unwrap_or_else(|_| {
            let detail = "the refusal of the owner's node is malformed";
            Refusal::new(Reason::AnswerCut, detail)
        }));
    }
    if headers.remove(&LOAD).is_none() {
        let detail = "the answer does not come from the owner's node";
        return Err(Refusal::new(Reason::AnswerCut, detail));
    }
    Ok(Answer { status, headers, body })
}

fn refusal(error: &ExchangeError) -> Refusal {
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

/// The load header of an answer.
#[must_use]
pub fn load_line(load: Load) -> Vec<u8> {
    serde_json::to_vec(&load).unwrap_or_default()
}
