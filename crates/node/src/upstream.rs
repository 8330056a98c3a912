//! The HTTP/1.1 client of the upstream beside this node.
//!
//! Connections are kept open and reused. A probe connects to the upstream
//! every 200 ms. The connection of the last probe stays open, so that a
//! crash with a fast restart shows as the end of this idle connection. When
//! a request fails, a probe runs before the failure is reported, so that the
//! reducer learns of a crash before the requests that it cut off fail.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::{StatusCode, header};
use lagoondyke_core::clock::Millis;
use lagoondyke_core::event::Event;
use lagoondyke_core::id::{Fence, Shard};
use lagoondyke_core::peer::MAX_BODY_BYTES;
use lagoondyke_core::settings::UpstreamSettings;
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::semaphore::Semaphore;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::budget::Budget;
use crate::clock;
use crate::grants::Grants;
use crate::http::{ExchangeError, Response, named_exchange, request_line};
use crate::message::{
    Answer, DEADLINE_HEADER, FENCE_HEADER, Reply, SHARD_HEADER,
    TRACEPARENT_HEADER, remove_connection_headers,
};
use crate::ports::{Dispatch, Local, OnEvent, Upstream};
use crate::problem;
use crate::wire::{Conn, put_header, put_headers, put_number};

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most memory for the answers that are being read.
const MAX_ANSWERS_MEMORY: usize = 24 * 1024 * 1024;

/// Age up to which the end of the probe connection means a crash. An upstream
/// may close older idle connections on its own.
const MAX_PROBE_AGE_MS: u64 = 1_000;

/// Connections that are not available for requests: that of the last probe,
/// that of a probe in progress and that for grants.
const RESERVED_COUNT: u16 = 3;

/// A client of the upstream; clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpUpstream {
    inner: Rc<Inner>,
}

pub(crate) struct Inner {
    addr: SocketAddr,
    host: String,
    node: Rc<str>,
    idle: RefCell<Vec<Conn>>,
    budget: Budget,
    permits: Semaphore,
    /// Id of the last request that was sent, by which its answer is told from
    /// a late copy of another.
    last_request: Cell<u64>,
    pub(crate) grants: Grants,
    on_event: RefCell<Option<OnEvent>>,
    /// Whether the upstream is up; `None` before the first probe has ended.
    up: Cell<Option<bool>>,
    /// Number of the probe that was started last.
    last_started: Cell<u64>,
    /// The highest number of a probe that has ended.
    last_ended: Cell<u64>,
    /// The connection of the last probe, and when it was made.
    probe_conn: RefCell<Option<(Conn, Millis)>>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl HttpUpstream {
    /// Creates a client of the upstream in `settings`. `node` is the name of
    /// this node in answers.
    #[must_use]
    pub fn new(settings: &UpstreamSettings, node: &str) -> Self {
        let limit = settings.connections.saturating_sub(RESERVED_COUNT).max(1);
        let inner = Inner {
            addr: settings.addr,
            host: settings.addr.to_string(),
            node: node.into(),
            idle: RefCell::default(),
            budget: Budget::new(MAX_ANSWERS_MEMORY),
            permits: Semaphore::new(usize::from(limit)),
            last_request: Cell::new(0),
            grants: Grants::new(settings.addr),
            on_event: RefCell::default(),
            up: Cell::new(None),
            last_started: Cell::new(0),
            last_ended: Cell::new(0),
            probe_conn: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }
}

impl Upstream for HttpUpstream {
    fn run(&self, dispatch: Dispatch) -> Local<Reply> {
        let inner = Rc::clone(&self.inner);
        Box::pin(async move { inner.run(dispatch).await })
    }

    fn grant(&self, shards: Vec<(Shard, Fence)>, until: Millis) {
        self.inner.grants.set(shards, until);
    }

    fn watch(&self, on_event: OnEvent) {
        *self.inner.on_event.borrow_mut() = Some(on_event);
        let inner = Rc::clone(&self.inner);
        monoio::spawn(async move {
            loop {
                inner.probe().await;
                monoio::time::sleep(PROBE_INTERVAL).await;
            }
        });
    }
}

/// Why a dispatched request has no answer.
enum RunError {
    /// No connection took the request, so it has not run.
    Unsent,
    Exchange(ExchangeError),
}

impl Inner {
    async fn run(&self, dispatch: Dispatch) -> Reply {
        let left_ms = dispatch.deadline.since(clock::now());
        let ready = timeout(Duration::from_millis(left_ms), async {
            if let Some((shard, fence)) = dispatch.fence {
                self.grants.wait_installed(shard, fence).await;
            }
            self.permits.acquire().await
        });
        let Ok(Ok(_permit)) = ready.await else {
            let detail = "the upstream had no free connection, or has not \
                          taken the shard's fencing token, in time";
            return Err(Refusal::new(Reason::DeadlineBefore, detail));
        };
        match self.exchange(&dispatch).await {
            Ok(response) => self.answer(&dispatch, response),
            Err(RunError::Unsent) => {
                self.probe().await;
                let detail = "no connection to the upstream could be made";
                Err(Refusal::new(Reason::ConnectFailed, detail))
            }
            Err(RunError::Exchange(error)) => {
                self.probe().await;
                Err(exchange_refusal(&error))
            }
        }
    }

    /// Sends the request on an idle connection, or on a new one if no idle
    /// connection takes it, and reads the answer.
    async fn exchange(
        &self,
        dispatch: &Dispatch,
    ) -> Result<Response, RunError> {
        let call = &dispatch.call;
        loop {
            let (mut conn, is_new) = self.connect().await?;
            self.put_head(dispatch, conn.out());
            let (method, body) = (&call.method, call.body.clone());
            let id = self.last_request.get() + 1;
            self.last_request.set(id);
            match named_exchange(&mut conn, id, method, body, MAX_BODY_BYTES)
                .await
            {
                Ok(response) => {
                    if response.keep_alive {
                        self.idle.borrow_mut().push(conn);
                    }
                    return Ok(response);
                }
                Err(ExchangeError::Unsent) if !is_new => {}
                Err(ExchangeError::Unsent) => return Err(RunError::Unsent),
                Err(error) => return Err(RunError::Exchange(error)),
            }
        }
    }

    /// An idle connection, or a new one; the flag says that it is new.
    async fn connect(&self) -> Result<(Conn, bool), RunError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut conn) = idle else { break };
            if conn.is_idle().await {
                return Ok((conn, false));
            }
        }
        let connect = TcpStream::connect_addr(self.addr);
        match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => {
                let mut conn = Conn::new(stream);
                conn.set_budget(self.budget.clone());
                Ok((conn, true))
            }
            _ => Err(RunError::Unsent),
        }
    }

    fn put_head(&self, dispatch: &Dispatch, out: &mut BytesMut) {
        let call = &dispatch.call;
        request_line(out, &call.method, &call.path);
        if !call.headers.contains_key(header::HOST) {
            put_header(out, "host", self.host.as_bytes());
        }
        put_headers(out, &call.headers);
        let left_ms = dispatch.deadline.since(clock::now());
        put_number(out, DEADLINE_HEADER.as_str(), left_ms);
        if let Some((shard, fence)) = dispatch.fence {
            let fence = fence.to_string();
            put_header(out, FENCE_HEADER.as_str(), fence.as_bytes());
            put_number(out, SHARD_HEADER.as_str(), u64::from(shard.0));
        }
        if let Some(trace) = &dispatch.trace {
            put_header(out, TRACEPARENT_HEADER.as_str(), trace.as_bytes());
        }
    }

    fn answer(&self, dispatch: &Dispatch, mut response: Response) -> Reply {
        let status = response.status;
        if status == StatusCode::PRECONDITION_FAILED
            && dispatch.fence.is_some()
            && problem::is_fence_rejection(&response.body)
        {
            let detail = "the upstream rejected the fencing token";
            return Err(Refusal::new(Reason::Fenced, detail));
        }
        remove_connection_headers(&mut response.headers);
        Ok(Answer {
            status,
            headers: response.headers,
            body: response.body,
            scope: None,
            shard: dispatch.fence.map(|(shard, _)| shard),
            node: Rc::clone(&self.node),
        })
    }

    /// Connects once and reports whether the upstream went up or down.
    async fn probe(&self) {
        let number = self.last_started.get() + 1;
        self.last_started.set(number);
        let connect = TcpStream::connect_addr(self.addr);
        let result = timeout(CONNECT_TIMEOUT, connect).await;
        // The result of a probe is ignored if a later probe has ended
        // already: a connection made just before a crash would hide the crash.
        if number < self.last_ended.get() {
            return;
        }
        self.last_ended.set(number);
        match result {
            Ok(Ok(stream)) => self.connected(Conn::new(stream)).await,
            Ok(Err(_)) => {
                self.probe_conn.borrow_mut().take();
                self.set_up(false);
            }
            // A full accept queue means that the upstream is busy or paused,
            // not that it is down.
            Err(_) => {}
        }
    }

    /// Handles a probe that connected. The end of the previous probe's
    /// connection means that the upstream restarted in between.
    async fn connected(&self, conn: Conn) {
        let now = clock::now();
        let previous = self.probe_conn.borrow_mut().replace((conn, now));
        if let Some((mut previous, connected)) = previous
            && now.since(connected) <= MAX_PROBE_AGE_MS
            && !previous.is_idle().await
        {
            self.set_up(false);
        }
        self.set_up(true);
    }

    fn set_up(&self, up: bool) {
        let before = self.up.replace(Some(up));
        if before == Some(up) {
            return;
        }
        if !up {
            self.idle.borrow_mut().clear();
        } else if before == Some(false) {
            self.grants.reinstall();
        }
        let on_event = self.on_event.borrow().clone();
        if let Some(on_event) = on_event {
            let event =
                if up { Event::UpstreamUp } else { Event::UpstreamDown };
            on_event(event);
        }
    }
}

fn exchange_refusal(error: &ExchangeError) -> Refusal {
    match error {
        ExchangeError::Truncated => {
            let detail = "the upstream's answer ended before its end";
            Refusal::new(Reason::AnswerCut, detail)
        }
        ExchangeError::Malformed(what) => {
            let detail = format!("the upstream's answer is unusable: {what}");
            Refusal::new(Reason::AnswerCut, detail)
        }
        ExchangeError::Unsent | ExchangeError::Lost => {
            let detail = "the connection to the upstream was lost";
            Refusal::new(Reason::ConnectionLost, detail)
        }
    }
}
