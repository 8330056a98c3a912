//! The HTTP/1.1 server for callers and operators.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, StatusCode, Version};
use lagoondyke_core::event::Source;
use lagoondyke_core::id::KeyHash;
use lagoondyke_core::peer::MAX_BODY_BYTES;
use lagoondyke_core::verdict::{Reason, Refusal, Verdict};
use local_sync::oneshot;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;

use crate::http::MAX_COPIED_BYTES;
use crate::message::{
    Answer, Call, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_SCOPE_HEADER, KEY_HEADER, NODE_HEADER, PARTNER_HEADER, Reply,
    SERVICE_HEADER, TRACEPARENT_HEADER, fingerprint, is_idempotent,
    remove_connection_headers,
};
use crate::ops;
use crate::problem;
use crate::run::accept;
use crate::shell::Shell;
use crate::wire::{
    Conn, WireError, keeps_alive, put_header, put_headers, put_number,
    request_framing,
};

/// Largest number of open connections from callers. Further ones are refused
/// and closed.
pub const MAX_CONNECTION_COUNT: usize = 1_024;

/// Time for which the remaining input of a refused caller is read. Closing a
/// socket with unread input resets the connection, and the reset could reach
/// the caller before it has read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the deadline of requests without the header
/// `Lagoondyke-Deadline`.
const DEFAULT_DEADLINE_MS: u64 = 5_000;

/// Largest value of the header `Lagoondyke-Deadline`, in milliseconds.
const DEADLINE_MAX: u64 = 60_000;

/// Time-outs for connections of callers, and limits for those of peers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// How long a caller may take to send a request head.
    pub head_timeout: Duration,
    /// How long a caller may take to send a request body.
    pub body_timeout: Duration,
    /// How long a caller may take to receive a response.
    pub write_timeout: Duration,
    /// Largest number of peer connections on which requests are accepted.
    /// Each peer keeps one.
    pub peer_connections: usize,
    /// Largest number of requests in progress on one peer connection.
    pub peer_requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_mins(1),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            peer_connections: 1_024,
            peer_requests: 4_096,
        }
    }
}

/// A response to a caller or operator.
#[derive(Debug)]
pub struct ServerResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, except those that the server adds itself, such as
    /// `Content-Length` and `Connection`.
    pub headers: HeaderMap,
    /// The body; not sent in response to `HEAD`.
    pub body: Bytes,
    /// The node beside the upstream that answered, or the node that refused;
    /// `None` for operator endpoints.
    pub node: Option<Rc<str>>,
    /// The idempotency scope for the caller's later requests.
    pub scope: Option<String>,
}

/// Why the server refuses a request before it reaches the reducer.
#[derive(Debug)]
struct Rejection {
    status: StatusCode,
    detail: String,
}

/// Serves callers until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell, limits: Limits) {
    let shell = shell.clone();
    let open = Rc::new(Cell::new(0_usize));
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let count = Rc::clone(&open);
            count.set(count.get() + 1);
            let shell = shell.clone();
            monoio::spawn(async move {
                if count.get() > MAX_CONNECTION_COUNT {
                    refuse_connection(stream, &shell, limits).await;
                } else {
                    serve_connection(stream, &shell, limits).await;
                }
                count.set(count.get() - 1);
            });
        }
    });
}

async fn refuse_connection(stream: TcpStream, shell: &Shell, limits: Limits) {
    let detail = "the node has no room for another connection";
    let mut refusal = Refusal::new(Reason::Overloaded, detail);
    refusal.retry_after = Some(1_000);
    let mut conn = Conn::new(stream);
    conn.set_write_timeout(limits.write_timeout);
    let response = refusal_response(shell, refusal);
    let _ =
        write_response(&mut conn, &response, Version::HTTP_11, false, true)
            .await;
    discard_input(&mut conn).await;
}

async fn serve_connection(stream: TcpStream, shell: &Shell, limits: Limits) {
    let mut conn = Conn::new(stream);
    conn.set_write_timeout(limits.write_timeout);
    loop {
        if !conn.has_unread() {
            match timeout(limits.idle_timeout, conn.fill()).await {
                Ok(Ok(1..)) => {}
                _ => return,
            }
        }
        let head = match timeout(limits.head_timeout, conn.request_head())
            .await
        {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                shell.report_malformed("caller", &error);
                if matches!(error, WireError::Closed) {
                    return;
                }
                return reject(conn, shell, rejection(&error)).await;
            }
            Err(_) => {
                return reject(conn, shell, timed_out("request head")).await;
            }
        };
        if !serve_request(&mut conn, head, shell, limits.body_timeout).await {
            return;
        }
    }
}

/// Serves one request; false if the connection cannot be used for another.
async fn serve_request(
    conn: &mut Conn,
    head: RequestHead,
    shell: &Shell,
    limit: Duration,
) -> bool {
    let body = match read_body(conn, &head, limit).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            shell.report_malformed("caller", &"the request body was cut off");
            return false;
        }
        Err(rejection) => {
            shell.report_malformed("caller", &rejection.detail);
            let response = rejection.response(shell);
            let version = head.version;
            let _ =
                write_response(conn, &response, version, false, true).await;
            discard_input(conn).await;
            return false;
        }
    };
    let version = head.version;
    let is_head = head.method == Method::HEAD;
    let keep_alive = keeps_alive(version, &head.headers);
    let response = match ops::handle(shell, &head) {
        Some(response) => response,
        None => match parse_call(head, body) {
            Ok(call) => match run_call(conn, shell, call).await {
                Some(Ok(answer)) => answer_response(answer),
                Some(Err(refusal)) => refusal_response(shell, refusal),
                None => return false,
            },
            Err(rejection) => rejection.response(shell),
        },
    };
    // A stopping node closes its connections so that callers connect to
    // another node.
    let keep_alive = keep_alive && !shell.is_stopping();
    shell.add_unwritten(1);
    let written =
        write_response(conn, &response, version, keep_alive, !is_head).await;
    shell.remove_unwritten(1);
    written && keep_alive
}

/// Reads the body; `None` if the connection was closed before its end.
async fn read_body(
    conn: &mut Conn,
    head: &RequestHead,
    limit: Duration,
) -> Result<Option<Bytes>, Rejection> {
    let framing =
        request_framing(&head.headers).map_err(|error| rejection(&error))?;
    let expects = head.headers.contains_key(header::EXPECT);
    if expects && !conn.has_unread() {
        let line = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        if conn.write(line).await.is_err() {
            return Ok(None);
        }
    }
    match timeout(limit, conn.body(framing, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(Some(body)),
        Ok(Err(WireError::Closed)) => Ok(None),
        Ok(Err(error)) => Err(rejection(&error)),
        Err(_) => Err(timed_out("request body")),
    }
}

/// Runs a request; `None` if the caller closed the connection meanwhile, which
/// cancels the request.
async fn run_call(
    conn: &mut Conn,
    shell: &Shell,
    call: Call,
) -> Option<Reply> {
    let (sender, mut reply) = oneshot::channel();
    let on_reply = Box::new(move |reply| {
        let _ = sender.send(reply);
    });
    let ticket = shell.submit(call, Source::Caller, on_reply);
    if let Ok(reply) = reply.try_recv() {
        return Some(reply);
    }
    monoio::select! {
        reply = reply => Some(reply.unwrap_or_else(|_| Err(abandoned()))),
        () = disconnected(conn) => {
            shell.cancel(ticket);
            None
        }
    }
}

fn abandoned() -> Refusal {
    Refusal::new(Reason::Cancelled, "the request was given up")
}

/// Waits until the caller closes its connection. If the caller sends its next
/// request instead, the input stays in the buffer and the end of the
/// connection is no longer watched for.
async fn disconnected(conn: &mut Conn) {
    while !conn.has_unread() {
        if let Ok(0) | Err(_) = conn.watch().await {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Checks a request's headers and converts it for the reducer.
fn parse_call(head: RequestHead, body: Bytes) -> Result<Call, Rejection> {
    let bad_request = |detail: &str| Rejection {
        status: StatusCode::BAD_REQUEST,
        detail: detail.to_owned(),
    };
    let mut headers = head.headers;
    let service =
        text_header(&headers, &SERVICE_HEADER)?.ok_or_else(|| {
            bad_request("the header Lagoondyke-Service is missing")
        })?;
    let path = head.uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    let path = path.unwrap_or("/").to_owned();
    if head.method == Method::CONNECT || ops::is_reserved(&path) {
        return Err(bad_request("the method or path is not forwarded"));
    }
    // The owner's node rejects a peer frame with any other path.
    if !path.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad_request("the path is not ASCII"));
    }
    let timeout_ms = timeout_ms(&headers)?;
    let key = headers.get(&KEY_HEADER).map(|key| KeyHash::of(key.as_bytes()));
    let idempotency_key = text_header(&headers, &IDEMPOTENCY_KEY_HEADER)?;
    let scope = text_header(&headers, &IDEMPOTENCY_SCOPE_HEADER)?;
    let partner = text_header(&headers, &PARTNER_HEADER)?;
    let trace = text_header(&headers, &TRACEPARENT_HEADER).unwrap_or_default();
    remove_connection_headers(&mut headers);
    let method = head.method;
    let fingerprint = fingerprint(&service, &method, &path, key, &body);
    Ok(Call {
        service,
        key,
        timeout_ms,
        idempotent: is_idempotent(&method),
        idempotency_key,
        scope,
        partner,
        fingerprint,
        method,
        path,
        headers,
        body,
        trace,
    })
}

/// Milliseconds until the deadline that the caller set, or the default.
fn timeout_ms(headers: &HeaderMap) -> Result<u64, Rejection> {
    let Some(text) = text_header(headers, &DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let timeout_ms = text.parse().ok().filter(|&ms| ms <= DEADLINE_MAX);
    timeout_ms.ok_or_else(|| Rejection {
        status: StatusCode::BAD_REQUEST,
        detail: format!("Lagoondyke-Deadline is not 0 to {DEADLINE_MAX}"),
    })
}

/// The value of a header; `None` if the header is missing.
fn text_header(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<String>, Rejection> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() => Ok(Some(text.to_owned())),
        _ => Err(Rejection {
            status: StatusCode::BAD_REQUEST,
            detail: format!("the header {name} is empty or not ASCII"),
        }),
    }
}

fn rejection(error: &WireError) -> Rejection {
    let status = error.status();
    Rejection { status, detail: error.to_string() }
}

fn timed_out(what: &str) -> Rejection {
    Rejection {
        status: StatusCode::REQUEST_TIMEOUT,
        detail: format!("the {what} was not sent in time"),
    }
}

impl Rejection {
    fn response(&self, shell: &Shell) -> ServerResponse {
        let mut refusal =
            Refusal::new(Reason::BadRequest, self.detail.as_str());
        refusal.verdict = Verdict::NotRun;
        let mut response = refusal_response(shell, refusal.clone());
        response.status = self.status;
        response.body = problem::document(&refusal, self.status);
        response
    }
}

async fn reject(mut conn: Conn, shell: &Shell, rejection: Rejection) {
    let response = rejection.response(shell);
    write_response(&mut conn, &response, Version::HTTP_11, false, true).await;
    discard_input(&mut conn).await;
}

/// Ends the output and discards further input, so that the caller can read the
/// response before the connection is reset.
async fn discard_input(conn: &mut Conn) {
    conn.shut_down().await;
    let rest = async { while let Ok(1..) = conn.discard().await {} };
    let _ = timeout(LINGER_TIMEOUT, rest).await;
}

fn answer_response(answer: Answer) -> ServerResponse {
    ServerResponse {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        node: Some(answer.node),
        scope: answer.scope,
    }
}

fn refusal_response(shell: &Shell, refusal: Refusal) -> ServerResponse {
    let status = StatusCode::from_u16(refusal.reason.status())
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut headers = HeaderMap::new();
    let media_type = header::HeaderValue::from_static(problem::MEDIA_TYPE);
    headers.insert(header::CONTENT_TYPE, media_type);
    if let Some(seconds) = problem::retry_after_secs(&refusal) {
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    let body = problem::document(&refusal, status);
    let node = Some(shell.name());
    ServerResponse { status, headers, body, node, scope: refusal.scope }
}

/// Writes a response; false if the connection failed or the caller did not
/// receive the response in time.
async fn write_response(
    conn: &mut Conn,
    response: &ServerResponse,
    version: Version,
    keep_alive: bool,
    with_body: bool,
) -> bool {
    put_head(conn.out(), response, version, keep_alive, with_body);
    let body = if with_body { &response.body[..] } else { &[] };
    let copied = body.len() <= MAX_COPIED_BYTES;
    if copied {
        conn.out().extend_from_slice(body);
    }
    let limit = conn.write_timeout();
    let sent = timeout(limit, async {
        let sent = conn.flush().await.is_ok();
        if copied || !sent {
            return sent;
        }
        conn.write(response.body.clone()).await.is_ok()
    });
    sent.await.unwrap_or(false)
}

fn put_head(
    out: &mut BytesMut,
    response: &ServerResponse,
    version: Version,
    keep_alive: bool,
    with_body: bool,
) {
    let status = response.status;
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.extend_from_slice(b" ");
    let reason = status.canonical_reason().unwrap_or("Unknown");
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if with_body && !bodiless.contains(&status) {
        put_number(out, "content-length", response.body.len() as u64);
    }
    if !keep_alive {
        put_header(out, "connection", b"close");
    } else if version != Version::HTTP_11 {
        put_header(out, "connection", b"keep-alive");
    }
    put_headers(out, &response.headers);
    if let Some(node) = &response.node {
        put_header(out, NODE_HEADER.as_str(), node.as_bytes());
    }
    let is_graphic =
        |text: &&String| text.bytes().all(|b| b.is_ascii_graphic());
    if let Some(scope) = response.scope.as_ref().filter(is_graphic) {
        put_header(out, IDEMPOTENCY_SCOPE_HEADER.as_str(), scope.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
}
