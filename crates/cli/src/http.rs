//! Access to the store and the nodes over HTTP/1.1.
//!
//! Each call opens its own connection. Calls run on a monoio runtime whose
//! driver is chosen by type, so that `io_uring` is never used.

use std::net::{SocketAddr, TcpStream as BlockingTcpStream};
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

use crate::environment::{CallError, Nodes, Object, Store, StoreError, Timer};

/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit from the first byte sent to the last byte of the answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest accepted answer: the largest document and some margin.
pub const MAX_ANSWER_BYTES: usize = MAX_DOCUMENT_BYTES + 64 * 1024;

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_COUNT: usize = 64;

/// A call that is yet to be made.
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

    /// Adds a header.
    fn header(
        mut self,
        name: HeaderName,
        value: &str,
    ) -> Result<Self, CallError> {
        let value = HeaderValue::from_str(value).map_err(|_| {
            CallError::NotSent(format!("{value:?} is not a header value"))
        })?;
        self.headers.insert(name, value);
        Ok(self)
    }

    /// Makes the call and blocks until it has ended.
    fn run(self) -> Result<Answer, CallError> {
        let mut answers = run_all(vec![self])?;
        answers
            .pop()
            .unwrap_or_else(|| Err(CallError::AnswerLost(String::new())))
    }

    /// Connects and makes the call, within the time limits.
    async fn exchange(self) -> Result<Answer, CallError> {
        let addr = self.addr;
        let connect = TcpStream::connect(addr);
        let stream = match monoio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                return Err(CallError::NotSent(format!("{addr}: {e}")));
            }
            Err(_) => {
                let message =
                    format!("{addr}: no connection in {CONNECT_TIMEOUT:?}");
                return Err(CallError::NotSent(message));
            }
        };
        let result =
            monoio::time::timeout(ANSWER_TIMEOUT, self.call_over(stream))
                .await;
        result.unwrap_or_else(|_| {
            let message = format!("{addr}: no answer in {ANSWER_TIMEOUT:?}");
            Err(CallError::AnswerLost(message))
        })
    }

    /// Sends the request over `stream` and reads the answer.
    async fn call_over(self, stream: TcpStream) -> Result<Answer, CallError> {
        let addr = self.addr;
        let lost = |why: &dyn std::fmt::Display| {
            CallError::AnswerLost(format!("{addr}: {why}"))
        };
        let request = self.into_request()?;
        let mut codec = ClientCodec::new(stream);
        codec.send_and_flush(request).await.map_err(|e| lost(&e))?;
        let answer = match codec.next().await {
            Some(answer) => answer.map_err(|e| lost(&e))?,
            None => return Err(lost(&"connection was closed")),
        };
        let (head, decoder) = answer.into_parts();
        let length = head.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
        if length.is_some_and(|n: usize| n > MAX_ANSWER_BYTES) {
            return Err(lost(&"answer is too large"));
        }
        let mut payload = decoder.with_io(codec);
        let mut body = Vec::new();
        while let Some(data) = payload.next_data().await {
            body.extend_from_slice(&data.map_err(|e| lost(&e))?);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(lost(&"answer is too large"));
            }
        }
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.into(),
        })
    }

    fn into_request(self) -> Result<http::Request<Payload>, CallError> {
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

/// Makes all calls, a bounded number of them concurrently. The answers are in
/// the order of the calls.
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
            for call in calls.by_ref().take(MAX_CONCURRENT_COUNT) {
                tasks.push(monoio::spawn(call.exchange()));
            }
            for task in tasks {
                answers.push(task.await);
            }
        }
        answers
    }))
}

/// Decodes the JSON body of an answer with status 200.
fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, CallError> {
    if answer.status != 200 {
        return Err(CallError::Invalid(describe(answer)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| CallError::Invalid(e.to_string()))
}

/// Status of an answer and the beginning of its body, for messages.
fn describe(answer: &Answer) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let start: String = body.trim().chars().take(200).collect();
    if start.is_empty() {
        return format!("status {}", answer.status);
    }
    format!("status {}: {start}", answer.status)
}

/// HTTP client of the store.
#[derive(Clone, Copy, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
}

impl HttpStore {
    /// Creates a client of the store whose HTTP API is at `addr`.
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
                e => StoreError::ReadFailed(e.to_string()),
            })?;
        match answer.status {
            200 => {}
            404 => return Ok(None),
            400..500 => return Err(StoreError::Rejected(describe(&answer))),
            _ => return Err(StoreError::ReadFailed(describe(&answer))),
        }
        let Some(version) = etag_version(&answer.headers) else {
            let message = "answer has no version in its ETag";
            return Err(StoreError::ReadFailed(message.to_owned()));
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
            e => StoreError::AnswerLost(e.to_string()),
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
            200 | 201 => etag_version(&answer.headers).ok_or_else(|| {
                StoreError::AnswerLost("answer has no version".to_owned())
            }),
            412 => Err(StoreError::Conflict),
            400..500 => Err(StoreError::Rejected(describe(&answer))),
            // A store that reports an internal error may still have written
            // the value.
            _ => Err(StoreError::AnswerLost(describe(&answer))),
        }
    }
}

/// The version that the `ETag` of an answer contains.
fn etag_version(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(ETAG)?.to_str().ok()?;
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

/// HTTP client of the nodes.
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
        // The key is sent in a header, as in requests, so it needs no escapes.
        let key_header = HeaderName::from_static("lagoondyke-key");
        let path = format!("/lagoondyke/owner/{service}");
        let answer = Call::new(node, Method::GET, path)
            .header(key_header, key)?
            .run()?;
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
        BlockingTcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).is_ok()
    }
}

/// Monotonic clock of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose time is 0 now.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }
}

impl Timer for Clock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&self, duration: Duration) {
        std::thread::sleep(duration);
    }
}
