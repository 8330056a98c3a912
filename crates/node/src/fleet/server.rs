//! The HTTP server for callers and for other nodes.
//!
//! Pipelined requests of one connection run concurrently. Their responses are
//! written in the order of the requests.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};
use http::{Method, StatusCode};
use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::event::{Event, Order, Source};
use lagoondyke_core::id::Ticket;
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot::{self, Receiver};
use monoio::io::Splitable;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;

use crate::clock;
use crate::fleet::message::{
    Answer, Call, FORWARD_HEADER, INTERNAL_PREFIX, LOAD_HEADER, ORDER_HEADER,
    REFUSAL_HEADER, Reply,
};
use crate::fleet::peers::{
    AGE_PATH, DOCUMENTS_PATH, PROPOSALS_PATH, STORE_PATH, WITHDRAWALS_PATH,
    encode_load, json_header, kind_from_name,
};
use crate::fleet::ports::RequestMeta;
use crate::fleet::shell::{Shell, UnwrittenGuard};
use crate::message::remove_connection_headers;
use crate::run::accept;
use crate::wire::{
    Conn, WireError, keeps_alive, put_header, put_headers, put_number,
    request_framing,
};

/// Largest number of open connections of callers, and likewise of other nodes.
/// Further ones are closed at once. Both together leave room among the 4,100
/// descriptors of a VM.
const MAX_CONNECTION_COUNT: usize = 1_500;

/// Number of unanswered requests of a connection at which reading pauses.
const MAX_PIPELINE_COUNT: usize = 64;

/// Interval at which a connection with [`MAX_PIPELINE_COUNT`] unanswered
/// requests is checked again.
const PIPELINE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time allowed to write a response to its receiver.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which a connection stays open for reading after its last
/// response, unless the peer closes it before. Closing it with unread bytes
/// would send a reset, which could overtake the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which connections of other nodes are closed.
const PEER_IDLE_TIMEOUT_MS: u64 = 60_000;

/// Interval at which a connection is checked for being idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a stop signal from which connections are closed that have been
/// idle for a quarter of it. Before that, callers still use them.
const STOP_IDLE_DELAY_MS: u64 = 1_800;

/// Largest body of a request, whatever the configuration allows. Bodies are
/// held in memory, and a VM may have as little as 160 MB.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Starts to serve connections of callers or of other nodes, as `source` says,
/// until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell, source: Source) {
    let shell = shell.clone();
    let open_count = Rc::new(Cell::new(0_usize));
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let count = Rc::clone(&open_count);
            count.set(count.get() + 1);
            let shell = shell.clone();
            monoio::spawn(async move {
                if count.get() <= MAX_CONNECTION_COUNT {
                    serve(stream, shell, source).await;
                }
                count.set(count.get() - 1);
            });
        }
    });
}

/// State that the reader and the writer of a connection share.
#[derive(Debug)]
struct ConnState {
    /// Tickets of the requests whose responses are not being written yet,
    /// oldest first; `None` for a response that needed no ticket.
    unanswered: RefCell<VecDeque<Option<Ticket>>>,
    /// When a request head was last read or a response last written.
    last_active: Cell<Millis>,
    /// Whether the last response is being or has been written, so that no
    /// further request may be accepted.
    closing: Cell<bool>,
    /// Whether a request has begun to arrive and is not complete.
    receiving: Cell<bool>,
    /// When the reader first saw that the node is stopping.
    stop_seen: Cell<Option<Millis>>,
}

/// A response that may not be known yet.
enum Pending {
    /// Known once the reducer has decided.
    Reply(Receiver<Reply>),
    /// Known already.
    Ready(Response),
}

/// A response in the writer's queue.
struct QueuedResponse {
    pending: Pending,
    /// Whether the request allows another one on the connection.
    keep_alive: bool,
    /// Whether the request's method is HEAD, so that no body is sent.
    is_head: bool,
    unwritten: UnwrittenGuard,
}

/// A response to a caller or another node.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn serve(stream: TcpStream, shell: Shell, source: Source) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let state = Rc::new(ConnState {
        unanswered: RefCell::default(),
        last_active: Cell::new(clock::since_boot()),
        closing: Cell::new(false),
        receiving: Cell::new(false),
        stop_seen: Cell::new(None),
    });
    let (queue, responses) = unbounded::channel();
    let (read_ended, closed) = oneshot::channel();
    let writer =
        Writer { shell: shell.clone(), state: Rc::clone(&state), source };
    monoio::spawn(async move {
        writer.run(Conn::from_stream(write), responses, closed).await;
    });
    let reader = Reader { shell, state, source, queue };
    reader.run(Conn::from_stream(read)).await;
    // The writer may have ended before.
    let _ = read_ended.send(());
}

struct Reader {
    shell: Shell,
    state: Rc<ConnState>,
    source: Source,
    queue: Tx<QueuedResponse>,
}

impl Reader {
    async fn run(&self, mut conn: Conn<TcpOwnedReadHalf>) {
        monoio::select! {
            () = self.read(&mut conn) => {}
            () = self.until_idle() => {}
        }
        let unanswered =
            std::mem::take(&mut *self.state.unanswered.borrow_mut());
        for ticket in unanswered.into_iter().flatten() {
            self.shell.cancel(ticket);
        }
    }

    async fn read(&self, conn: &mut Conn<TcpOwnedReadHalf>) {
        loop {
            while self.state.unanswered.borrow().len() >= MAX_PIPELINE_COUNT {
                monoio::time::sleep(PIPELINE_POLL_INTERVAL).await;
            }
            let head = match conn.request_head().await {
                Ok(Some(head)) => head,
                Ok(None) | Err(WireError::Closed) => return,
                Err(error) => return self.reject(&error, conn).await,
            };
            if self.state.closing.get() {
                return self.discard_rest(conn).await;
            }
            self.state.last_active.set(clock::since_boot());
            self.state.receiving.set(true);
            let keep_alive = keeps_alive(head.version, &head.headers);
            // Boxed, so that an idle connection holds no memory for it.
            let request = Box::pin(self.request(head, keep_alive, conn));
            let result = request.await;
            self.state.receiving.set(false);
            match result {
                Ok(true) => {}
                Ok(false) => return self.discard_rest(conn).await,
                Err(WireError::Closed) => return,
                Err(error) => return self.reject(&error, conn).await,
            }
        }
    }

    /// Discards what still arrives until the caller closes its side. The
    /// caller may still be waiting for the last responses.
    async fn discard_rest(&self, conn: &mut Conn<TcpOwnedReadHalf>) {
        while let Ok(1..) = conn.discard().await {}
    }

    /// Reads the body of a request and handles it. Returns false if no
    /// further request may follow on the connection.
    async fn request(
        &self,
        head: RequestHead,
        keep_alive: bool,
        conn: &mut Conn<TcpOwnedReadHalf>,
    ) -> Result<bool, WireError> {
        let is_head = head.method == Method::HEAD;
        let framing = request_framing(&head.headers)?;
        let limits = self.shell.limits();
        let limit = limits.body_bytes.min(MAX_BODY_BYTES);
        if head.headers.contains_key(header::EXPECT) {
            self.push_response(
                None,
                Pending::Ready(continue_response()),
                true,
                false,
            );
        }
        let body = conn.body(framing, limit).await?;
        if self.state.closing.get() {
            return Ok(false);
        }
        if self.source == Source::Peer && head.uri.path() == STORE_PATH {
            let response = self.relay(&body).await;
            self.push_response(
                None,
                Pending::Ready(response),
                keep_alive,
                is_head,
            );
            return Ok(keep_alive);
        }
        let forward = match self.source {
            Source::Peer => json_header(&head.headers, &FORWARD_HEADER),
            Source::Caller => None,
        };
        let pending = match self.decode_call(head, body) {
            Ok(call) if forward.is_some_and(|id| !self.accepts(&call, id)) => {
                let detail = "the request was withdrawn";
                Pending::Ready(text_response(StatusCode::CONFLICT, detail))
            }
            Ok(call) => {
                let (ticket, reply) = self.shell.submit(call, self.source);
                self.push_response(
                    Some(ticket),
                    Pending::Reply(reply),
                    keep_alive,
                    is_head,
                );
                return Ok(keep_alive);
            }
            Err(response) => Pending::Ready(*response),
        };
        self.push_response(None, pending, keep_alive, is_head);
        Ok(keep_alive)
    }

    fn push_response(
        &self,
        ticket: Option<Ticket>,
        pending: Pending,
        keep_alive: bool,
        is_head: bool,
    ) {
        self.state.unanswered.borrow_mut().push_back(ticket);
        let unwritten = self.shell.count_unwritten();
        // Fails only once the writer has ended, when the connection is closing
        // anyway.
        let _ = self.queue.send(QueuedResponse {
            pending,
            keep_alive,
            is_head,
            unwritten,
        });
    }

    /// Decodes a request for the reducer. Returns the response as an error if
    /// the request does not reach the reducer.
    fn decode_call(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Call, Box<Response>> {
        let mut headers = head.headers;
        let path =
            head.uri.path_and_query().map(http::uri::PathAndQuery::as_str);
        let path = path.unwrap_or("/").to_owned();
        if self.source == Source::Peer
            && let Some(name) = path.strip_prefix(DOCUMENTS_PATH)
        {
            return Err(Box::new(self.document(name)));
        }
        if self.source == Source::Peer && path == AGE_PATH {
            return Err(Box::new(self.config_age()));
        }
        if self.source == Source::Peer && path == WITHDRAWALS_PATH {
            return Err(Box::new(self.withdrawal(&body)));
        }
        if self.source == Source::Peer && path == PROPOSALS_PATH {
            return Err(Box::new(self.proposal(&body)));
        }
        let order: Option<Order> = match self.source {
            Source::Peer => json_header(&headers, &ORDER_HEADER),
            Source::Caller => None,
        };
        remove_connection_headers(&mut headers);
        if self.source == Source::Caller {
            drop_internal(&mut headers);
        }
        let meta = self.shell.dialect().request_meta(&headers);
        let meta: RequestMeta = meta.map_err(|error| {
            self.shell.notice_log().malformed("caller", &error);
            Box::new(text_response(StatusCode::BAD_REQUEST, &error))
        })?;
        if self.shell.has_accounts() {
            self.shell.dialect().remove_account(&mut headers);
        }
        let host = headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().to_owned();
        let method = head.method;
        Ok(Call { method, path, host, headers, body, meta, order })
    }

    /// Calls the store on behalf of another node.
    async fn relay(&self, body: &[u8]) -> Response {
        let op = match serde_json::from_slice(body) {
            Ok(op) => op,
            Err(error) => return self.bad_request(&error),
        };
        let outcome = self.shell.relay(op).await;
        let body = serde_json::to_vec(&outcome).unwrap_or_default();
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        Response { status, headers, body: body.into() }
    }

    /// Whether a forwarded request is to be accepted.
    fn accepts(&self, call: &Call, id: u64) -> bool {
        let accepted = self.shell.accept_forward(id);
        if !accepted {
            self.shell.notice_log().withdrawn(&call.meta.id);
        }
        accepted
    }

    /// Withdraws a request that another node has forwarded.
    fn withdrawal(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(id) if self.shell.withdraw_forward(id) => {
                text_response(StatusCode::OK, "")
            }
            Ok(_) => text_response(StatusCode::CONFLICT, ""),
            Err(error) => self.bad_request(&error),
        }
    }

    /// Accepts changes to a table that another node proposes.
    fn proposal(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(proposal) => {
                self.shell.post(Event::Proposal(Box::new(proposal)));
                text_response(StatusCode::OK, "")
            }
            Err(error) => self.bad_request(&error),
        }
    }

    /// Rejects a call of another node that cannot be decoded.
    fn bad_request(&self, error: &serde_json::Error) -> Response {
        self.shell.notice_log().malformed("peer", error);
        text_response(StatusCode::BAD_REQUEST, &error.to_string())
    }

    fn document(&self, name: &str) -> Response {
        let document =
            kind_from_name(name).and_then(|k| self.shell.document(k));
        let body = document.and_then(|d| serde_json::to_vec(&d).ok());
        let Some(body) = body else {
            return text_response(
                StatusCode::NOT_FOUND,
                "there is no such document",
            );
        };
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        Response { status, headers, body: body.into() }
    }

    /// Says how long ago the configuration was the latest one.
    fn config_age(&self) -> Response {
        let age = self.shell.config_age();
        let Some(body) = age.and_then(|age| serde_json::to_vec(&age).ok())
        else {
            let detail = "the age of the configuration is not known";
            return text_response(StatusCode::NOT_FOUND, detail);
        };
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        Response { status, headers, body: body.into() }
    }

    /// Responds to a malformed or oversized request and ends the connection.
    async fn reject(
        &self,
        error: &WireError,
        conn: &mut Conn<TcpOwnedReadHalf>,
    ) {
        self.shell.notice_log().malformed("caller", error);
        let response = text_response(error.status(), &error.to_string());
        self.push_response(None, Pending::Ready(response), false, false);
        self.discard_rest(conn).await;
    }

    /// Waits until the connection has been idle for too long. The limit is
    /// shorter once the node has been stopping for [`STOP_IDLE_DELAY_MS`].
    async fn until_idle(&self) {
        loop {
            monoio::time::sleep(IDLE_POLL_INTERVAL).await;
            let state = &self.state;
            if !state.unanswered.borrow().is_empty() {
                continue;
            }
            let now = clock::since_boot();
            let idle_time = now.since(self.state.last_active.get());
            if self.shell.is_stopping() {
                let since = self.state.stop_seen.get().unwrap_or(now);
                self.state.stop_seen.set(Some(since));
                if now.since(since) >= STOP_IDLE_DELAY_MS
                    && idle_time >= STOP_IDLE_DELAY_MS / 4
                    && !state.receiving.get()
                {
                    return;
                }
            }
            let limit = match self.source {
                Source::Caller => self.shell.limits().idle_ms,
                Source::Peer => PEER_IDLE_TIMEOUT_MS,
            };
            if idle_time >= limit {
                return;
            }
        }
    }
}

/// Removes headers that only nodes may send each other.
fn drop_internal(headers: &mut HeaderMap) {
    let internal: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

fn continue_response() -> Response {
    Response {
        status: StatusCode::CONTINUE,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn text_response(status: StatusCode, detail: &str) -> Response {
    let body = Bytes::from(detail.to_owned());
    Response { status, headers: HeaderMap::new(), body }
}

struct Writer {
    shell: Shell,
    state: Rc<ConnState>,
    source: Source,
}

impl Writer {
    async fn run(
        &self,
        mut conn: Conn<TcpOwnedWriteHalf>,
        mut responses: Rx<QueuedResponse>,
        closed: Receiver<()>,
    ) {
        while let Some(queued) = responses.recv().await {
            let keep_alive = queued.keep_alive;
            let is_head = queued.is_head;
            let response = match queued.pending {
                Pending::Ready(response) => response,
                Pending::Reply(reply) => match reply.await {
                    Ok(reply) => self.response(reply),
                    // The request was cancelled, as the caller disconnected.
                    Err(_) => break,
                },
            };
            self.state.unanswered.borrow_mut().pop_front();
            let last = self.state.unanswered.borrow().is_empty();
            let is_final = self.shell.is_stopping() && last;
            let keep_alive = keep_alive && !is_final;
            if !keep_alive {
                self.state.closing.set(true);
            }
            put_head(conn.out(), &response, keep_alive, is_head);
            if !is_head {
                conn.out().extend_from_slice(&response.body);
            }
            self.state.last_active.set(clock::since_boot());
            let written = timeout(WRITE_TIMEOUT, conn.flush()).await;
            drop(queued.unwritten);
            if !matches!(written, Ok(Ok(()))) || !keep_alive {
                break;
            }
        }
        self.state.closing.set(true);
        // Once the process has ended, bytes that the peer still sends reset
        // the connection, and what it has not received yet is lost. Its close
        // shows that it has received everything.
        let unclosed = self.shell.count_unwritten();
        conn.shut_down().await;
        let _ = timeout(LINGER_TIMEOUT, closed).await;
        drop(unclosed);
    }

    fn response(&self, reply: Reply) -> Response {
        let mut response = match (reply, self.source) {
            (Ok(answer), _) => {
                let Answer { status, headers, body } = answer;
                Response { status, headers, body }
            }
            (Err(refusal), Source::Peer) => peer_refusal(&refusal),
            (Err(refusal), Source::Caller) => self.caller_refusal(&refusal),
        };
        if self.source == Source::Peer {
            let load = encode_load(self.shell.load());
            if let Ok(value) = load.try_into() {
                response.headers.insert(LOAD_HEADER, value);
            }
        }
        response
    }

    fn caller_refusal(&self, refusal: &Refusal) -> Response {
        let (status, headers) = self.shell.dialect().refusal_head(refusal);
        let body = Bytes::from(refusal.to_string());
        Response { status, headers, body }
    }
}

/// Encodes a refusal for another node.
fn peer_refusal(refusal: &Refusal) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert(REFUSAL_HEADER, header::HeaderValue::from_static("1"));
    let body = serde_json::to_vec(refusal).unwrap_or_default();
    let status = match refusal.reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response { status, headers, body: body.into() }
}

fn put_head(
    out: &mut BytesMut,
    response: &Response,
    keep_alive: bool,
    is_head: bool,
) {
    let status = response.status;
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.extend_from_slice(b" ");
    let reason = status.canonical_reason().unwrap_or("Unknown");
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
    if status.is_informational() {
        out.extend_from_slice(b"\r\n");
        return;
    }
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if !is_head && !bodiless.contains(&status) {
        put_number(out, "content-length", response.body.len() as u64);
    }
    if !keep_alive {
        put_header(out, "connection", b"close");
    }
    put_headers(out, &response.headers);
    out.extend_from_slice(b"\r\n");
}
