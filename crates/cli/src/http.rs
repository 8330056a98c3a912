//! The store and the nodes over HTTP/1.1.
//!
//! Each call has its own connection. Calls run on a monoio runtime whose
//! driver is chosen by type, so that `io_uring` is never used.

use std::net::{SocketAddr, TcpStream as Probe};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Version};
use lagoondyke_core::config::MAX_DOCUMENT_BYTES;
use lagoondyke_core::jsonc::is_name;
use lagoondyke_core::status::{KeyLocation, Status};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::{LegacyDriver, RuntimeBuilder};
use monoio_http::common::body::Body;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::payload::{FixedPayload, Payload};
use serde::de::DeserializeOwned;

use crate::outside::{CallError, Nodes, Object, Store, StoreError, Timer};

/// Longest time to connect.
pub const CONNECT: Duration = Duration::from_secs(2);

/// Longest time from the first byte sent to the last byte of the answer.
pub const ANSWER: Duration = Duration::from_secs(5);

/// Largest answer that is read, in bytes: a document with some room.
pub const ANSWER_MAX: usize = MAX_DOCUMENT_BYTES + 64 * 1024;

/// Nodes that are asked for their status at once.
const PARALLEL: usize = 64;

/// A call and where it goes.
#[derive(Clone, Debug)]
struct Call {
    addr: SocketAddr,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// A complete answer.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    fn new(addr: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            addr,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Sets a header.
    fn header(
        mut self,
        name: HeaderName,
        value: &str,
    ) -> Result<Self, CallError> {
        let value = HeaderValue::from_str(value).map_err(|_| {
            CallError::NotSent(format!("{value:?} does not fit a header"))
        })?;
        self.headers.insert(name, value);
        Ok(self)
    }

    /// Makes the call and blocks until it has ended.
    fn run(self) -> Result<Answer, CallError> {
        let mut answers = run_all(vec![self])?;
        answers.pop().unwrap_or_else(|| Err(CallError::Lost(String::new())))
    }

    async fn exchange(self) -> Result<Answer, CallError> {
        let addr = self.addr;
        let connect = TcpStream::connect(addr);
        let stream = match monoio::time::timeout(CONNECT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                return Err(CallError::NotSent(format!("{addr}: {e}")));
            }
            Err(_) => {
                let message = format!("{addr}: no connection in {CONNECT:?}");
                return Err(CallError::NotSent(message));
            }
        };
        let sent = monoio::time::timeout(ANSWER, self.send(stream)).await;
        sent.unwrap_or_else(|_| {
            let message = format!("{addr}: no answer in {ANSWER:?}");
            Err(CallError::Lost(message))
        })
    }

    async fn send(self, stream: TcpStream) -> Result<Answer, CallError> {
        let addr = self.addr;
        let lost = |why: &dyn std::fmt::Display| {
            CallError::Lost(format!("{addr}: {why}"))
        };
        let request = self.request()?;
        let mut codec = ClientCodec::new(stream);
        codec.send_and_flush(request).await.map_err(|e| lost(&e))?;
        let answer = match codec.next().await {
            Some(answer) => answer.map_err(|e| lost(&e))?,
            None => return Err(lost(&"connection was closed")),
        };
        let (head, decoder) = answer.into_parts();
        let length = head.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
        if length.is_some_and(|n: usize| n > ANSWER_MAX) {
            return Err(lost(&"answer is too large"));
        }
        let mut payload = decoder.with_io(codec);
        let mut body = Vec::new();
        while let Some(data) = payload.next_data().await {
            body.extend_from_slice(&data.map_err(|e| lost(&e))?);
            if body.len() > ANSWER_MAX {
                return Err(lost(&"answer is too large"));
            }
        }
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.into(),
        })
    }

    fn request(self) -> Result<http::Request<Payload>, CallError> {
        let payload = if self.body.is_empty() {
            Payload::None
        } else {
            Payload::Fixed(FixedPayload::new(self.body))
        };
        let mut request = http::Request::builder()
            .method(self.method)
            .uri(self.path)
            .version(Version::HTTP_11)
            .header(HOST, self.addr.to_string())
            .body(payload)
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        request.headers_mut().extend(self.headers);
        Ok(request)
    }
}

/// Makes all calls, a bounded number of them at once.
fn run_all(
    calls: Vec<Call>,
) -> Result<Vec<Result<Answer, CallError>>, CallError> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    Ok(runtime.block_on(async {
        let mut answers = Vec::with_capacity(calls.len());
        let mut calls = calls.into_iter().peekable();
        while calls.peek().is_some() {
            let mut tasks = Vec::new();
            for call in calls.by_ref().take(PARALLEL) {
                tasks.push(monoio::spawn(call.exchange()));
            }
            for task in tasks {
                answers.push(task.await);
            }
        }
        answers
    }))
}

/// Decodes the JSON of a successful answer.
fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, CallError> {
    if answer.status != 200 {
        return Err(CallError::Invalid(describe(answer)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| CallError::Invalid(e.to_string()))
}

/// Status and beginning of the body of an answer.
fn describe(answer: &Answer) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let start: String = body.trim().chars().take(200).collect();
    if start.is_empty() {
        return format!("status {}", answer.status);
    }
    format!("status {}: {start}", answer.status)
}

/// The store at an address.
#[derive(Clone, Copy, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
}

impl HttpStore {
    /// The store whose HTTP API is at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    fn call(self, method: Method, name: &str) -> Call {
        Call::new(self.addr, method, format!("/objects/{name}"))
    }
}

impl Store for HttpStore {
    fn read(&self, name: &str) -> Result<Option<Object>, StoreError> {
        let answer =
            self.call(Method::GET, name).run().map_err(|e| match e {
                CallError::NotSent(why) => StoreError::NotSent(why),
                e => StoreError::Unread(e.to_string()),
            })?;
        match answer.status {
            200 => {}
            404 => return Ok(None),
            400..500 => return Err(StoreError::Rejected(describe(&answer))),
            _ => return Err(StoreError::Unread(describe(&answer))),
        }
        let Some(version) = version(&answer.headers) else {
            let message = "answer has no version in its ETag";
            return Err(StoreError::Unread(message.to_owned()));
        };
        Ok(Some(Object { version, value: answer.body.into() }))
    }

    fn update(
        &self,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        let fail = |e| match e {
            CallError::NotSent(why) => StoreError::NotSent(why),
            e => StoreError::Lost(e.to_string()),
        };
        let mut call = self.call(Method::PUT, name);
        call.body = Bytes::copy_from_slice(value);
        let call = if expect == 0 {
            call.header(IF_NONE_MATCH, "*")
        } else {
            call.header(IF_MATCH, &format!("\"{expect}\""))
        };
        let answer = call.and_then(Call::run).map_err(fail)?;
        match answer.status {
            200 | 201 => version(&answer.headers).ok_or_else(|| {
                StoreError::Lost("answer has no version".to_owned())
            }),
            412 => Err(StoreError::Conflict),
            400..500 => Err(StoreError::Rejected(describe(&answer))),
            // A store that reports a fault of its own may still have
            // written the value.
            _ => Err(StoreError::Lost(describe(&answer))),
        }
    }
}

/// The version in an answer's `ETag`.
fn version(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(ETAG)?.to_str().ok()?;
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

/// The nodes, each at its own address.
#[derive(Clone, Copy, Debug)]
pub struct HttpNodes;

impl Nodes for HttpNodes {
    fn statuses(
        &self,
        nodes: &[SocketAddr],
    ) -> Vec<Result<Status, CallError>> {
        let mut calls = Vec::new();
        for &node in nodes {
            calls.push(Call::new(node, Method::GET, "/lagoondyke/status"));
        }
        match run_all(calls) {
            Ok(answers) => answers.into_iter().map(|a| decode(&a?)).collect(),
            Err(e) => vec![Err(e); nodes.len()],
        }
    }

    fn locate(
        &self,
        node: SocketAddr,
        service: &str,
        key: &str,
    ) -> Result<KeyLocation, CallError> {
        if !is_name(service) {
            let message = format!("{service:?} does not name a service");
            return Err(CallError::NotSent(message));
        }
        // The key is in a header, as in requests, so it needs no escapes.
        let keyed = HeaderName::from_static("lagoondyke-key");
        let path = format!("/lagoondyke/owner/{service}");
        let answer =
            Call::new(node, Method::GET, path).header(keyed, key)?.run()?;
        decode(&answer)
    }

    fn drain(&self, node: SocketAddr) -> Result<(), CallError> {
        let path = "/lagoondyke/drain";
        let answer = Call::new(node, Method::PUT, path).run()?;
        match answer.status {
            200..300 => Ok(()),
            _ => Err(CallError::Invalid(describe(&answer))),
        }
    }

    fn accepts(&self, addr: SocketAddr) -> bool {
        Probe::connect_timeout(&addr, CONNECT).is_ok()
    }
}

/// The clock of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }
}

impl Timer for Clock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn pause(&self, span: Duration) {
        std::thread::sleep(span);
    }
}
