//! The HTTP server for callers and operators.

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

use crate::http::COPY_MAX;
use crate::message::{
    Answer, Call, DEADLINE, KEY, NODE, PARTNER, Reply, SCOPE, SERVICE, TOKEN,
    TRACE, drop_named, fingerprint, is_idempotent,
};
use crate::ops;
use crate::problem;
use crate::run::accept;
use crate::shell::Shell;
use crate::wire::{
    Conn, WireError, keeps_alive, put_header, put_headers, put_number,
    request_framing,
};

/// Most connections from callers at once.
pub const CONNECTIONS_MAX: usize = 1_024;

/// Time for which a refused caller's remaining bytes are read, so that the
/// reset for unread bytes does not overtake the refusal.
const LINGER: Duration = Duration::from_secs(1);

/// Deadline of requests that name none, in milliseconds.
const DEADLINE_DEFAULT: u64 = 5_000;

/// Longest deadline, in milliseconds.
const DEADLINE_MAX: u64 = 60_000;

/// Times that a caller may take, and what peers may hold open.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For which a connection may be idle between requests.
    pub idle: Duration,
    /// To send a request head.
    pub head: Duration,
    /// To send a request body.
    pub body: Duration,
    /// To take an answer.
    pub write: Duration,
    /// Connections of peers whose requests are taken. Each peer keeps one.
    pub peers: usize,
    /// Requests of one such connection that have no answer yet.
    pub pending: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle: Duration::from_mins(1),
            head: Duration::from_secs(10),
            body: Duration::from_secs(30),
            write: Duration::from_secs(30),
            peers: 1_024,
            pending: 4_096,
        }
    }
}

/// A response as the server writes it.
#[derive(Debug)]
pub struct Served {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, without length and connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The node that answers or refuses.
    pub node: Option<Rc<str>>,
    /// The idempotency scope to name.
    pub scope: Option<String>,
}

/// A request that is refused before the reducer sees it.
#[derive(Debug)]
struct Rejected {
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
                if count.get() > CONNECTIONS_MAX {
                    turn_away(stream, &shell, limits).await;
                } else {
                    serve(stream, &shell, limits).await;
                }
                count.set(count.get() - 1);
            });
        }
    });
}

async fn turn_away(stream: TcpStream, shell: &Shell, limits: Limits) {
    let detail = "the node has no room for another connection";
    let mut refusal = Refusal::new(Reason::Overloaded, detail);
    refusal.retry_after = Some(1_000);
    let mut conn = Conn::new(stream);
    conn.limit_writes(limits.write);
    let response = refused(shell, refusal);
    let _ = write(&mut conn, &response, Version::HTTP_11, false, true).await;
    drain(&mut conn).await;
}

async fn serve(stream: TcpStream, shell: &Shell, limits: Limits) {
    let mut conn = Conn::new(stream);
    conn.limit_writes(limits.write);
    loop {
        if !conn.has_unread() {
            match timeout(limits.idle, conn.fill()).await {
                Ok(Ok(1..)) => {}
                _ => return,
            }
        }
        let head = match timeout(limits.head, conn.request_head()).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                shell.malformed("caller", &error);
                if matches!(error, WireError::Closed) {
                    return;
                }
                return reject(conn, shell, rejected(&error)).await;
            }
            Err(_) => {
                return reject(conn, shell, late("request head")).await;
            }
        };
        if !request(&mut conn, head, shell, limits.body).await {
            return;
        }
    }
}

/// Handles one request; false if the connection cannot carry another.
async fn request(
    conn: &mut Conn,
    head: RequestHead,
    shell: &Shell,
    limit: Duration,
) -> bool {
    let body = match body(conn, &head, limit).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            shell.malformed("caller", &"the request body was cut off");
            return false;
        }
        Err(rejection) => {
            shell.malformed("caller", &rejection.detail);
            let response = rejection.response(shell);
            let version = head.version;
            let _ = write(conn, &response, version, false, true).await;
            drain(conn).await;
            return false;
        }
    };
    let version = head.version;
    let is_head = head.method == Method::HEAD;
    let wanted = keeps_alive(version, &head.headers);
    let response = match ops::answer(shell, &head) {
        Some(response) => response,
        None => match call(head, body) {
            Ok(call) => match run(conn, shell, call).await {
                Some(Ok(answer)) => served(answer),
                Some(Err(refusal)) => refused(shell, refusal),
                None => return false,
            },
            Err(rejection) => rejection.response(shell),
        },
    };
    // A node that is about to stop asks callers to connect elsewhere.
    let keep = wanted && !shell.is_stopping();
    shell.queued(1);
    let written = write(conn, &response, version, keep, !is_head).await;
    shell.written(1);
    written && keep
}

/// Reads the body; `None` if the caller went away.
async fn body(
    conn: &mut Conn,
    head: &RequestHead,
    limit: Duration,
) -> Result<Option<Bytes>, Rejected> {
    let framing =
        request_framing(&head.headers).map_err(|error| rejected(&error))?;
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
        Ok(Err(error)) => Err(rejected(&error)),
        Err(_) => Err(late("request body")),
    }
}

/// Runs a request; `None` if the caller went away meanwhile.
async fn run(conn: &mut Conn, shell: &Shell, call: Call) -> Option<Reply> {
    let (sender, mut reply) = oneshot::channel();
    let done = Box::new(move |reply| {
        let _ = sender.send(reply);
    });
    let ticket = shell.submit(call, Source::Caller, done);
    if let Ok(reply) = reply.try_recv() {
        return Some(reply);
    }
    monoio::select! {
        reply = reply => Some(reply.unwrap_or_else(|_| Err(forgotten()))),
        () = gone(conn) => {
            shell.cancel(ticket);
            None
        }
    }
}

fn forgotten() -> Refusal {
    Refusal::new(Reason::Cancelled, "the request was given up")
}

/// Waits until the caller closes its connection. Bytes of a next request
/// stay in the buffer; the connection is not watched further then.
async fn gone(conn: &mut Conn) {
    while !conn.has_unread() {
        if let Ok(0) | Err(_) = conn.watch().await {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// The request for the reducer.
fn call(head: RequestHead, body: Bytes) -> Result<Call, Rejected> {
    let bad = |detail: &str| Rejected {
        status: StatusCode::BAD_REQUEST,
        detail: detail.to_owned(),
    };
    let mut headers = head.headers;
    let service = text(&headers, &SERVICE)?
        .ok_or_else(|| bad("the header Lagoondyke-Service is missing"))?;
    let path = head.uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    let path = path.unwrap_or("/").to_owned();
    if head.method == Method::CONNECT || ops::is_reserved(&path) {
        return Err(bad("the method or path is not forwarded"));
    }
    // The owner's node accepts no other paths.
    if !path.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad("the path is not ASCII"));
    }
    let budget = budget(&headers)?;
    let key = headers.get(&KEY).map(|key| KeyHash::of(key.as_bytes()));
    let token = text(&headers, &TOKEN)?;
    let scope = text(&headers, &SCOPE)?;
    let partner = text(&headers, &PARTNER)?;
    let trace = text(&headers, &TRACE).unwrap_or_default();
    drop_named(&mut headers);
    let method = head.method;
    let fingerprint = fingerprint(&service, &method, &path, key, &body);
    Ok(Call {
        service,
        key,
        budget,
        idempotent: is_idempotent(&method),
        token,
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

/// Milliseconds left until the deadline that the caller names.
fn budget(headers: &HeaderMap) -> Result<u64, Rejected> {
    let Some(text) = text(headers, &DEADLINE)? else {
        return Ok(DEADLINE_DEFAULT);
    };
    let budget = text.parse().ok().filter(|&ms| ms <= DEADLINE_MAX);
    budget.ok_or_else(|| Rejected {
        status: StatusCode::BAD_REQUEST,
        detail: format!("Lagoondyke-Deadline is not 0 to {DEADLINE_MAX}"),
    })
}

fn text(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<String>, Rejected> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() => Ok(Some(text.to_owned())),
        _ => Err(Rejected {
            status: StatusCode::BAD_REQUEST,
            detail: format!("the header {name} is empty or not ASCII"),
        }),
    }
}

fn rejected(error: &WireError) -> Rejected {
    let status = error.status();
    Rejected { status, detail: error.to_string() }
}

fn late(what: &str) -> Rejected {
    Rejected {
        status: StatusCode::REQUEST_TIMEOUT,
        detail: format!("the {what} was not sent in time"),
    }
}

impl Rejected {
    fn response(&self, shell: &Shell) -> Served {
        let mut refusal =
            Refusal::new(Reason::BadRequest, self.detail.as_str());
        refusal.verdict = Verdict::NotRun;
        let mut served = refused(shell, refusal.clone());
        served.status = self.status;
        served.body = problem::document(&refusal, self.status);
        served
    }
}

async fn reject(mut conn: Conn, shell: &Shell, rejection: Rejected) {
    let response = rejection.response(shell);
    write(&mut conn, &response, Version::HTTP_11, false, true).await;
    drain(&mut conn).await;
}

async fn drain(conn: &mut Conn) {
    conn.finish().await;
    let rest = async { while let Ok(1..) = conn.discard().await {} };
    let _ = timeout(LINGER, rest).await;
}

fn served(answer: Answer) -> Served {
    Served {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        node: Some(answer.node),
        scope: answer.scope,
    }
}

fn refused(shell: &Shell, refusal: Refusal) -> Served {
    let status = StatusCode::from_u16(refusal.reason.status())
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut headers = HeaderMap::new();
    let media = header::HeaderValue::from_static(problem::MEDIA_TYPE);
    headers.insert(header::CONTENT_TYPE, media);
    if let Some(seconds) = problem::retry_after(&refusal) {
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    let body = problem::document(&refusal, status);
    let node = Some(shell.name());
    Served { status, headers, body, node, scope: refusal.scope }
}

/// Writes a response; false if the caller did not take it.
async fn write(
    conn: &mut Conn,
    response: &Served,
    version: Version,
    keep: bool,
    with_body: bool,
) -> bool {
    put_head(conn.out(), response, version, keep, with_body);
    let body = if with_body { &response.body[..] } else { &[] };
    let copied = body.len() <= COPY_MAX;
    if copied {
        conn.out().extend_from_slice(body);
    }
    let limit = conn.write_limit();
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
    response: &Served,
    version: Version,
    keep: bool,
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
    if !keep {
        put_header(out, "connection", b"close");
    } else if version != Version::HTTP_11 {
        put_header(out, "connection", b"keep-alive");
    }
    put_headers(out, &response.headers);
    if let Some(node) = &response.node {
        put_header(out, NODE.as_str(), node.as_bytes());
    }
    let clean = |text: &&String| text.bytes().all(|b| b.is_ascii_graphic());
    if let Some(scope) = response.scope.as_ref().filter(clean) {
        put_header(out, SCOPE.as_str(), scope.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
}
