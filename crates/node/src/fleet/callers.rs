//! The HTTP server for callers and for other nodes.
//!
//! Requests of one connection run side by side; their answers are written in
//! the order of the requests.

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
use local_sync::oneshot::Receiver;
use monoio::io::Splitable;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_http::common::request::RequestHead;

use crate::clock;
use crate::fleet::message::{
    Answer, Call, LOAD, ORDER, PREFIX, REFUSAL, Reply,
};
use crate::fleet::peers::{
    DOCUMENTS, PROPOSALS, STORE, header, kind_of, load_line,
};
use crate::fleet::ports::Asked;
use crate::fleet::shell::{Shell, Unwritten};
use crate::message::remove_connection_headers;
use crate::run::accept;
use crate::wire::{
    Conn, WireError, keeps_alive, put_header, put_headers, put_number,
    request_framing,
};

/// Most connections of callers, and of other nodes. Both together leave room
/// among the 4,100 descriptors of a VM.
const CONNECTIONS_MAX: usize = 1_500;

/// Most requests of one connection that are read ahead.
const AHEAD_MAX: usize = 64;

/// Pause before a connection with too many requests is read on.
const AHEAD_PAUSE: Duration = Duration::from_millis(5);

/// Time for a caller to take an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// Time for which the rest of a caller's bytes is read after the last
/// answer, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_secs(1);

/// Idle time of connections of other nodes, in milliseconds.
const PEER_IDLE: u64 = 60_000;

/// Interval at which an idle connection is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Time after a stop signal from which idle connections are closed, in
/// milliseconds. Before that, callers still use them.
const STOP_IDLE: u64 = 1_800;

/// Largest body of a request, whatever the configuration allows, in bytes.
/// Bodies are held in memory, and a VM has as little as 160 MB.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// Serves connections until the process ends.
pub fn listen(listener: TcpListener, shell: &Shell, source: Source) {
    let shell = shell.clone();
    let open = Rc::new(Cell::new(0_usize));
    monoio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let count = Rc::clone(&open);
            count.set(count.get() + 1);
            let shell = shell.clone();
            monoio::spawn(async move {
                if count.get() <= CONNECTIONS_MAX {
                    serve(stream, shell, source).await;
                }
                count.set(count.get() - 1);
            });
        }
    });
}

/// What the two directions of a connection share.
#[derive(Debug)]
struct Shared {
    /// Requests that were read and are not answered, the oldest first.
    open: RefCell<VecDeque<Option<Ticket>>>,
    /// When something was last read or written.
    active: Cell<Millis>,
    /// The last answer is being or has been written.
    closed: Cell<bool>,
    stopped: Cell<Option<Millis>>,
}

/// An answer that is due.
enum Due {
    /// Once the reducer has decided.
    Reply(Receiver<Reply>),
    /// At once.
    Now(Response),
}

struct Slot {
    due: Due,
    keep: bool,
    is_head: bool,
    unwritten: Unwritten,
}

/// A response as it is written.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn serve(stream: TcpStream, shell: Shell, source: Source) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let shared = Rc::new(Shared {
        open: RefCell::default(),
        active: Cell::new(clock::since_boot()),
        closed: Cell::new(false),
        stopped: Cell::new(None),
    });
    let (queue, due) = unbounded::channel();
    let writer =
        Writer { shell: shell.clone(), shared: Rc::clone(&shared), source };
    monoio::spawn(
        async move { writer.run(Conn::from_stream(write), due).await },
    );
    let reader = Reader { shell, shared, source, queue };
    reader.run(Conn::from_stream(read)).await;
}

struct Reader {
    shell: Shell,
    shared: Rc<Shared>,
    source: Source,
    queue: Tx<Slot>,
}

impl Reader {
    async fn run(&self, mut conn: Conn<TcpOwnedReadHalf>) {
        monoio::select! {
            () = self.read(&mut conn) => {}
            () = self.idle() => {}
        }
        let open = std::mem::take(&mut *self.shared.open.borrow_mut());
        for ticket in open.into_iter().flatten() {
            self.shell.cancel(ticket);
        }
    }

    async fn read(&self, conn: &mut Conn<TcpOwnedReadHalf>) {
        loop {
            while self.shared.open.borrow().len() >= AHEAD_MAX {
                monoio::time::sleep(AHEAD_PAUSE).await;
            }
            let head = match conn.request_head().await {
                Ok(Some(head)) => head,
                Ok(None) | Err(WireError::Closed) => return,
                Err(error) => return self.reject(&error, conn).await,
            };
            if self.shared.closed.get() {
                return self.drain(conn).await;
            }
            self.shared.active.set(clock::since_boot());
            let keep = keeps_alive(head.version, &head.headers);
            // Boxed, so that an idle connection does not hold its room.
            let request = Box::pin(self.request(head, keep, conn));
            match request.await {
                Ok(true) => {}
                Ok(false) => return self.drain(conn).await,
                Err(WireError::Closed) => return,
                Err(error) => return self.reject(&error, conn).await,
            }
        }
    }

    /// Reads the rest, until the caller closes its side: it waits for the
    /// last answers then.
    async fn drain(&self, conn: &mut Conn<TcpOwnedReadHalf>) {
        while let Ok(1..) = conn.discard().await {}
    }

    /// Reads one request and passes it on; false if it is the last one.
    async fn request(
        &self,
        head: RequestHead,
        keep: bool,
        conn: &mut Conn<TcpOwnedReadHalf>,
    ) -> Result<bool, WireError> {
        let is_head = head.method == Method::HEAD;
        let framing = request_framing(&head.headers)?;
        let limits = self.shell.limits();
        let limit = limits.body_bytes.min(BODY_MAX);
        if head.headers.contains_key(header::EXPECT) {
            self.push(None, Due::Now(interim()), true, false);
        }
        let body = conn.body(framing, limit).await?;
        if self.shared.closed.get() {
            return Ok(false);
        }
        if self.source == Source::Peer && head.uri.path() == STORE {
            let response = self.relay(&body).await;
            self.push(None, Due::Now(response), keep, is_head);
            return Ok(keep);
        }
        let due = match self.call(head, body) {
            Ok(call) => {
                let (ticket, reply) = self.shell.submit(call, self.source);
                self.push(Some(ticket), Due::Reply(reply), keep, is_head);
                return Ok(keep);
            }
            Err(response) => Due::Now(*response),
        };
        self.push(None, due, keep, is_head);
        Ok(keep)
    }

    fn push(
        &self,
        ticket: Option<Ticket>,
        due: Due,
        keep: bool,
        is_head: bool,
    ) {
        self.shared.open.borrow_mut().push_back(ticket);
        let unwritten = self.shell.unwritten();
        // The writer ends only after the reader or the connection.
        let _ = self.queue.send(Slot { due, keep, is_head, unwritten });
    }

    /// The request for the reducer, or an answer that needs none.
    fn call(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Call, Box<Response>> {
        let mut headers = head.headers;
        let path =
            head.uri.path_and_query().map(http::uri::PathAndQuery::as_str);
        let path = path.unwrap_or("/").to_owned();
        if self.source == Source::Peer
            && let Some(name) = path.strip_prefix(DOCUMENTS)
        {
            return Err(Box::new(self.document(name)));
        }
        if self.source == Source::Peer && path == PROPOSALS {
            return Err(Box::new(self.proposal(&body)));
        }
        let order: Option<Order> = match self.source {
            Source::Peer => header(&headers, &ORDER),
            Source::Caller => None,
        };
        remove_connection_headers(&mut headers);
        if self.source == Source::Caller {
            drop_internal(&mut headers);
        }
        let asked = self.shell.dialect().asked(&headers);
        let asked: Asked = asked.map_err(|error| {
            self.shell.notices().malformed("caller", &error);
            Box::new(plain(StatusCode::BAD_REQUEST, &error))
        })?;
        let host = headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().to_owned();
        let method = head.method;
        Ok(Call { method, path, host, headers, body, asked, order })
    }

    /// Calls the store for another node.
    async fn relay(&self, body: &[u8]) -> Response {
        let op = match serde_json::from_slice(body) {
            Ok(op) => op,
            Err(error) => return self.unusable(&error),
        };
        let stored = self.shell.relay(op).await;
        let body = serde_json::to_vec(&stored).unwrap_or_default();
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        Response { status, headers, body: body.into() }
    }

    /// Takes the changes that another node proposes.
    fn proposal(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(proposal) => {
                self.shell.post(Event::Proposed(Box::new(proposal)));
                plain(StatusCode::OK, "")
            }
            Err(error) => self.unusable(&error),
        }
    }

    /// Refuses a call of another node that cannot be read.
    fn unusable(&self, error: &serde_json::Error) -> Response {
        self.shell.notices().malformed("peer", error);
        plain(StatusCode::BAD_REQUEST, &error.to_string())
    }

    fn document(&self, name: &str) -> Response {
        let document = kind_of(name).and_then(|k| self.shell.document(k));
        let body = document.and_then(|d| serde_json::to_vec(&d).ok());
        let Some(body) = body else {
            return plain(StatusCode::NOT_FOUND, "there is no such document");
        };
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        Response { status, headers, body: body.into() }
    }

    /// Ends the connection because of what the caller sent.
    async fn reject(
        &self,
        error: &WireError,
        conn: &mut Conn<TcpOwnedReadHalf>,
    ) {
        self.shell.notices().malformed("caller", error);
        let response = plain(error.status(), &error.to_string());
        self.push(None, Due::Now(response), false, false);
        self.drain(conn).await;
    }

    /// Returns when the connection has been idle for too long, or the node
    /// is about to stop.
    async fn idle(&self) {
        loop {
            monoio::time::sleep(LOOK).await;
            if !self.shared.open.borrow().is_empty() {
                continue;
            }
            let now = clock::since_boot();
            let quiet = now.since(self.shared.active.get());
            if self.shell.is_stopping() {
                let since = self.shared.stopped.get().unwrap_or(now);
                self.shared.stopped.set(Some(since));
                if now.since(since) >= STOP_IDLE && quiet >= STOP_IDLE / 4 {
                    return;
                }
            }
            let limit = match self.source {
                Source::Caller => self.shell.limits().idle_ms,
                Source::Peer => PEER_IDLE,
            };
            if quiet >= limit {
                return;
            }
        }
    }
}

/// Removes headers that only nodes send each other.
fn drop_internal(headers: &mut HeaderMap) {
    let own: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

fn interim() -> Response {
    Response {
        status: StatusCode::CONTINUE,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn plain(status: StatusCode, detail: &str) -> Response {
    let body = Bytes::from(detail.to_owned());
    Response { status, headers: HeaderMap::new(), body }
}

struct Writer {
    shell: Shell,
    shared: Rc<Shared>,
    source: Source,
}

impl Writer {
    async fn run(&self, mut conn: Conn<TcpOwnedWriteHalf>, mut due: Rx<Slot>) {
        while let Some(slot) = due.recv().await {
            let keep = slot.keep;
            let is_head = slot.is_head;
            let response = match slot.due {
                Due::Now(response) => response,
                Due::Reply(reply) => match reply.await {
                    Ok(reply) => self.response(reply),
                    // The request was cancelled: the caller went away.
                    Err(_) => break,
                },
            };
            self.shared.open.borrow_mut().pop_front();
            let last = self.shared.open.borrow().is_empty();
            let ends = self.shell.is_stopping() && last;
            let keep = keep && !ends;
            if !keep {
                self.shared.closed.set(true);
            }
            put_head(conn.out(), &response, keep, is_head);
            if !is_head {
                conn.out().extend_from_slice(&response.body);
            }
            self.shared.active.set(clock::since_boot());
            let written = timeout(WRITE_LIMIT, conn.flush()).await;
            drop(slot.unwritten);
            if !matches!(written, Ok(Ok(()))) || !keep {
                break;
            }
        }
        self.shared.closed.set(true);
        conn.shut_down().await;
        monoio::time::sleep(LINGER).await;
    }

    fn response(&self, reply: Reply) -> Response {
        let mut response = match (reply, self.source) {
            (Ok(answer), _) => {
                let Answer { status, headers, body } = answer;
                Response { status, headers, body }
            }
            (Err(refusal), Source::Peer) => internal(&refusal),
            (Err(refusal), Source::Caller) => self.refused(&refusal),
        };
        if self.source == Source::Peer {
            let load = load_line(self.shell.load());
            if let Ok(value) = load.try_into() {
                response.headers.insert(LOAD, value);
            }
        }
        response
    }

    fn refused(&self, refusal: &Refusal) -> Response {
        let (status, headers) = self.shell.dialect().refusal(refusal);
        let body = Bytes::from(refusal.to_string());
        Response { status, headers, body }
    }
}

/// A refusal as other nodes read it.
fn internal(refusal: &Refusal) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert(REFUSAL, header::HeaderValue::from_static("1"));
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
    keep: bool,
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
    if !keep {
        put_header(out, "connection", b"close");
    }
    put_headers(out, &response.headers);
    out.extend_from_slice(b"\r\n");
}
