//! The client of the store, over its HTTP object API.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, header};
use lagoondyke_core::config::MAX_DOCUMENT_BYTES;
use lagoondyke_core::effect::StoreOp;
use lagoondyke_core::event::StoreOutcome;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::budget::Budget;
use crate::http::{ExchangeError, Response, exchange, request_line};
use crate::ports::{Local, Store};
use crate::wire::{Conn, put_header};

/// Time for a read or an update.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the store lets a watch wait for a newer version.
const WATCH_WAIT_MS: u64 = 20_000;

/// Time for a watch: [`WATCH_WAIT_MS`] and [`CALL_TIMEOUT`].
const WATCH_TIMEOUT: Duration = Duration::from_secs(22);

/// Largest number of idle connections that are kept. The node rarely calls the
/// store, so a few are enough for the calls at a change of leader.
const MAX_IDLE_COUNT: usize = 4;

/// Most memory for the responses that are being read.
const MAX_RESPONSES_MEMORY: usize = 12 * 1024 * 1024;

/// A client of the store; clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    idle: RefCell<Vec<Conn>>,
    budget: Budget,
}

/// Why a call has no response.
enum CallError {
    /// The request was not sent, so it had no effect.
    Unsent,
    /// The request was sent, at least in part, and may have had an effect.
    Unanswered,
}

impl HttpStore {
    /// Creates a client of the store at `addr`. It connects at the first call.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let (idle, budget) =
            (RefCell::default(), Budget::new(MAX_RESPONSES_MEMORY));
        let inner = Inner { addr, idle, budget };
        Self { inner: Rc::new(inner) }
    }
}

impl Store for HttpStore {
    fn call(&self, op: StoreOp) -> Local<StoreOutcome> {
        let inner = Rc::clone(&self.inner);
        Box::pin(async move { inner.call(op).await })
    }
}

impl Inner {
    async fn call(&self, op: StoreOp) -> StoreOutcome {
        match op {
            StoreOp::Read { name } => {
                let path = format!("/objects/{name}");
                read_outcome(self.get(&path, CALL_TIMEOUT).await, 0)
            }
            StoreOp::Watch { name, after } => {
                let path = format!(
                    "/objects/{name}?after={after}&wait={WATCH_WAIT_MS}"
                );
                read_outcome(self.get(&path, WATCH_TIMEOUT).await, after)
            }
            StoreOp::Update { name, expect, value } => {
                self.update(&name, expect, value).await
            }
        }
    }

    async fn get(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let call = self.request(&Method::GET, path, None, Bytes::new());
        timeout(limit, call).await.unwrap_or(Err(CallError::Unanswered))
    }

    async fn update(
        &self,
        name: &str,
        expect: u64,
        value: Vec<u8>,
    ) -> StoreOutcome {
        let path = format!("/objects/{name}");
        let condition = match expect {
            0 => ("if-none-match", "*".to_owned()),
            _ => ("if-match", format!("\"{expect}\"")),
        };
        let condition = Some(condition);
        let call = self.request(&Method::PUT, &path, condition, value.into());
        let result = timeout(CALL_TIMEOUT, call).await;
        update_outcome(result.unwrap_or(Err(CallError::Unanswered)))
    }

    async fn request(
        &self,
        method: &Method,
        path: &str,
        condition: Option<(&str, String)>,
        body: Bytes,
    ) -> Result<Response, CallError> {
        let mut conn = self.connect().await?;
        let out = conn.out();
        request_line(out, method, path);
        put_header(out, "host", self.addr.to_string().as_bytes());
        if let Some((name, value)) = condition {
            put_header(out, name, value.as_bytes());
            put_header(out, "content-type", b"application/json");
        }
        let result =
            exchange(&mut conn, method, body, MAX_DOCUMENT_BYTES).await;
        let response = result.map_err(|error| match error {
            ExchangeError::Unsent => CallError::Unsent,
            _ => CallError::Unanswered,
        })?;
        let mut idle = self.idle.borrow_mut();
        if response.keep_alive && idle.len() < MAX_IDLE_COUNT {
            idle.push(conn);
        }
        Ok(response)
    }

    async fn connect(&self) -> Result<Conn, CallError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut conn) = idle else { break };
            if conn.is_idle().await {
                return Ok(conn);
            }
        }
        let stream = TcpStream::connect_addr(self.addr).await;
        let mut conn = Conn::new(stream.map_err(|_| CallError::Unsent)?);
        conn.set_budget(self.budget.clone());
        Ok(conn)
    }
}

/// The object version in the `ETag`.
fn version(response: &Response) -> Option<u64> {
    let tag = response.headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// The outcome of a read, or of a watch for versions above `after`.
fn read_outcome(
    result: Result<Response, CallError>,
    after: u64,
) -> StoreOutcome {
    let Ok(response) = result else { return StoreOutcome::Unavailable };
    match response.status {
        StatusCode::OK => match version(&response) {
            Some(version) if version <= after => StoreOutcome::Unchanged,
            Some(version) => {
                let value = response.body.to_vec();
                StoreOutcome::Read { version, value }
            }
            None => StoreOutcome::Unavailable,
        },
        StatusCode::NOT_FOUND => StoreOutcome::Missing,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => {
            StoreOutcome::Unchanged
        }
        _ => StoreOutcome::Unavailable,
    }
}

/// The outcome of an update. It is `Unavailable` only if the update cannot
/// have taken effect: it was not sent, or the store rejected it with a 4xx
/// status other than 412. After a 5xx response it may have taken effect.
fn update_outcome(result: Result<Response, CallError>) -> StoreOutcome {
    let response = match result {
        Ok(response) => response,
        Err(CallError::Unsent) => return StoreOutcome::Unavailable,
        Err(CallError::Unanswered) => return StoreOutcome::Unknown,
    };
    match response.status {
        StatusCode::OK | StatusCode::CREATED => version(&response)
            .map_or(StoreOutcome::Unknown, |version| StoreOutcome::Written {
                version,
            }),
        StatusCode::PRECONDITION_FAILED => StoreOutcome::Conflict,
        status if status.is_client_error() => StoreOutcome::Unavailable,
        _ => StoreOutcome::Unknown,
    }
}
