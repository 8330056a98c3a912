//! The HTTP client for other nodes: forwarded requests, documents, proposals
//! and store calls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::{
    Document, Load, ObjectKind, Order, Outcome, StoreOutcome,
};
use lagoondyke_core::fleet::proposal::Proposal;
use lagoondyke_core::fleet::withdrawal::MAX_WITHDRAWAL_AGE_MS;
use lagoondyke_core::verdict::{Reason, Refusal};
use monoio::time::timeout;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::fleet::message::{
    Answer, Call, FORWARD_HEADER, INTERNAL_PREFIX, LOAD_HEADER, ORDER_HEADER,
    REFUSAL_HEADER, Reply,
};
use crate::fleet::pool::{Exchange, Pool};
use crate::http::{ExchangeError, Response, request_line};
use crate::message::is_passed_on;
use crate::wire::{SendQueue, put_header, put_number};

/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time allowed for a call between nodes that forwards no caller's request.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Most memory for the answers that are being read.
const MAX_ANSWERS_MEMORY: usize = 24 * 1024 * 1024;

/// Longest idle time after which a connection is reused. Less than the time
/// after which the other node closes it.
const MAX_IDLE_MS: u64 = 10_000;

/// Interval at which the send queue of a connection is looked at. A connection
/// whose other side acknowledges nothing from one look to the next is taken
/// for silent. A lost packet is sent again sooner than after two intervals.
const SEND_QUEUE_INTERVAL: Duration = Duration::from_millis(150);

/// Number of times that a forwarded request is withdrawn and sent again.
const MAX_RESEND_COUNT: u32 = 2;

/// Path at which a node is asked to withdraw a forwarded request.
pub const WITHDRAWALS_PATH: &str = "/lagoondyke/withdrawals";

/// Path at which a node accepts table changes that another one proposes.
pub const PROPOSALS_PATH: &str = "/lagoondyke/proposals";

/// Path at which a node calls the store on behalf of another one.
pub const STORE_PATH: &str = "/lagoondyke/store";

/// Path prefix of documents, followed by [`kind_name`].
pub const DOCUMENTS_PATH: &str = "/lagoondyke/documents/";

/// Path at which a node tells others how long ago its configuration was the
/// latest one.
pub const AGE_PATH: &str = "/lagoondyke/config-age";

/// How long ago a node's configuration was the latest one.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ConfigAge {
    /// Version of the configuration.
    pub version: u64,
    /// Age of the proof, in milliseconds.
    pub age_ms: u64,
}

/// A client of other nodes. Clones share its connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: Pool,
    /// Id of the next forwarded request. The first one is random, so that ids
    /// of different processes differ.
    next_id: Rc<Cell<u64>>,
}

/// How a forwarded request ended.
#[derive(Debug)]
pub struct ForwardResult {
    /// The answer or refusal for the sender of the request.
    pub reply: Reply,
    /// What the reducer needs.
    pub outcome: Outcome,
    /// Number of times that the request was withdrawn and sent again.
    pub resends: u32,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self {
            pool: Pool::new(
                CONNECT_TIMEOUT,
                MAX_ANSWER_BYTES,
                MAX_ANSWERS_MEMORY,
            ),
            next_id: Rc::new(Cell::new(rand::random())),
        }
    }
}

impl PeerClient {
    /// Forwards a request to the owner's node. Dropping the future cancels
    /// the request there.
    ///
    /// A connection may have gone silent without an error. A request of which
    /// nothing is acknowledged is withdrawn over another connection, and sent
    /// again if it has not arrived.
    pub async fn forward(
        &self,
        to: SocketAddr,
        call: Rc<Call>,
        order: Order,
    ) -> ForwardResult {
        let mut resends = 0;
        let result = self.try_forward(to, &call, &order, &mut resends).await;
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
        let outcome = Outcome { result, load, condition: None };
        ForwardResult { reply, outcome, resends }
    }

    async fn try_forward(
        &self,
        to: SocketAddr,
        call: &Call,
        order: &Order,
        resends: &mut u32,
    ) -> Result<Response, ExchangeError> {
        let started = clock::since_boot();
        loop {
            let mut exchange = self.pool.open(to, MAX_IDLE_MS).await?;
            let fresh = exchange.fresh;
            let age_ms = clock::since_boot().since(started);
            let order = Order {
                budget: order.budget.saturating_sub(age_ms),
                objective: order.objective.saturating_sub(age_ms),
                ..order.clone()
            };
            let may_resend = *resends < MAX_RESEND_COUNT;
            let sent = self.send(to, call, &order, &mut exchange, may_resend);
            match sent.await {
                Sent::Done(Ok(response)) => {
                    exchange.finish(response.keep_alive);
                    return Ok(response);
                }
                Sent::Done(Err(ExchangeError::Unsent)) if !fresh => {}
                Sent::Done(Err(error)) => return Err(error),
                Sent::Withdrawn => *resends += 1,
            }
        }
    }

    /// Sends a request over `exchange`, and withdraws it if the connection
    /// seems to be silent and `may_resend` is set.
    async fn send(
        &self,
        to: SocketAddr,
        call: &Call,
        order: &Order,
        exchange: &mut Exchange,
        may_resend: bool,
    ) -> Sent {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let order = serde_json::to_vec(order).unwrap_or_default();
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
            put_number(out, FORWARD_HEADER.as_str(), id);
        };
        let sent = clock::since_boot();
        let body = call.body.clone();
        if let Err(error) = exchange.write(&call.method, body, head).await {
            return Sent::Done(Err(error));
        }
        let send_queue = exchange.send_queue().filter(|_| may_resend);
        let mut run = pin!(exchange.receive_next());
        let Some(send_queue) = send_queue else {
            return Sent::Done(run.await);
        };
        monoio::select! {
            result = &mut run => return Sent::Done(result),
            () = until_stuck(send_queue) => {}
        }
        // Idle connections to the node may be silent as well.
        self.pool.clear(to);
        monoio::select! {
            result = &mut run => return Sent::Done(result),
            withdrawn = self.withdraw(to, id) => {
                let age_ms = clock::since_boot().since(sent);
                if withdrawn && age_ms < MAX_WITHDRAWAL_AGE_MS {
                    return Sent::Withdrawn;
                }
            }
        }
        Sent::Done(run.await)
    }

    /// Asks another node to withdraw a forwarded request, over a new
    /// connection. Returns whether the node has not accepted it and will not
    /// do so.
    async fn withdraw(&self, to: SocketAddr, id: u64) -> bool {
        let call = async {
            let mut exchange = self.pool.connect(to).await?;
            let head = |out: &mut BytesMut| {
                request_line(out, &Method::POST, WITHDRAWALS_PATH);
                put_header(out, "host", to.to_string().as_bytes());
            };
            let body = Bytes::from(id.to_string());
            let response = exchange.send(&Method::POST, body, head).await?;
            exchange.finish(response.keep_alive);
            Ok::<_, ExchangeError>(response.status.is_success())
        };
        let time_limit = Duration::from_millis(MAX_WITHDRAWAL_AGE_MS);
        matches!(timeout(time_limit, call).await, Ok(Ok(true)))
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

    /// Asks another node how long ago its configuration was the latest one;
    /// `None` on failure, or if it does not know.
    pub async fn config_age(&self, from: SocketAddr) -> Option<ConfigAge> {
        let response =
            self.control_call(from, Method::GET, AGE_PATH, Bytes::new());
        serde_json::from_slice(&response.await?.body).ok()
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

/// How the sending of a forwarded request ended.
enum Sent {
    /// There is a response, or there will be none.
    Done(Result<Response, ExchangeError>),
    /// The request has not arrived and will not be accepted.
    Withdrawn,
}

/// Completes once the other side has acknowledged nothing for a while of a
/// request that was written as a whole; never once it has acknowledged all.
async fn until_stuck(queue: SendQueue) {
    let mut before = usize::MAX;
    loop {
        monoio::time::sleep(SEND_QUEUE_INTERVAL).await;
        let count = queue.unacknowledged();
        if count == 0 {
            return std::future::pending().await;
        }
        if count >= before {
            return;
        }
        before = count;
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
