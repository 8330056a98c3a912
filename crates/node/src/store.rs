//! The store's HTTP object API.

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

use crate::http::{ExchangeError, Response, exchange, request_line};
use crate::ports::{Local, Store};
use crate::wire::{Conn, put_header};

/// Time for a read or an update.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Longest that a watch waits at the store, in milliseconds.
const WATCH_WAIT: u64 = 20_000;

/// Time for a watch: its wait and the time for a call.
const WATCH_LIMIT: Duration = Duration::from_secs(22);

/// Idle connections that are kept. The node reads rarely, so a few suffice
/// for the requests that a change of leader causes.
const IDLE_MAX: usize = 4;

/// A client of the store.
#[derive(Clone, Debug)]
pub struct HttpStore {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    idle: RefCell<Vec<Conn>>,
}

/// Why a call has no response.
enum CallError {
    /// The store did not take the request.
    Unsent,
    /// The request may have arrived.
    Unanswered,
}

impl HttpStore {
    /// A client of the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let inner = Inner { addr, idle: RefCell::default() };
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
                read(self.get(&path, CALL_LIMIT).await, 0)
            }
            StoreOp::Watch { name, after } => {
                let path =
                    format!("/objects/{name}?after={after}&wait={WATCH_WAIT}");
                read(self.get(&path, WATCH_LIMIT).await, after)
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
        let result = timeout(CALL_LIMIT, call).await;
        written(result.unwrap_or(Err(CallError::Unanswered)))
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
        if response.keep && idle.len() < IDLE_MAX {
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
        stream.map(Conn::new).map_err(|_| CallError::Unsent)
    }
}

fn version(response: &Response) -> Option<u64> {
    let tag = response.headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

fn read(result: Result<Response, CallError>, after: u64) -> StoreOutcome {
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

/// An update is `Unavailable` only when it cannot have taken effect: it was
/// not sent, or the store rejected it as such. A 5xx response says nothing
/// about its effect.
fn written(result: Result<Response, CallError>) -> StoreOutcome {
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
