//! The upstream beside this node, over HTTP/1.1.
//!
//! Connections are kept open and reused. A probe connects every 200 ms; its
//! last connection is held, so that a crash with a fast restart is seen as
//! the end of an idle connection. After a lost request, a probe runs before
//! the loss is reported.

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

use crate::clock;
use crate::grants::Grants;
use crate::http::{ExchangeError, Response, exchange, request_line};
use crate::message::{
    Answer, DEADLINE, FENCE, Reply, SHARD, TRACE, drop_named,
};
use crate::ports::{Dispatch, Local, Report, Upstream};
use crate::problem;
use crate::wire::{Conn, put_header, put_headers, put_number};

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a connection to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Age in milliseconds up to which the end of the held connection means a
/// crash; an upstream may close older idle connections on its own.
const HELD_AGE: u64 = 1_000;

/// Connections outside the pool: the held one, a new probe and grants.
const RESERVED: u16 = 3;

/// A client of the upstream.
#[derive(Clone, Debug)]
pub struct HttpUpstream {
    inner: Rc<Inner>,
}

pub(crate) struct Inner {
    addr: SocketAddr,
    host: String,
    node: Rc<str>,
    idle: RefCell<Vec<Conn>>,
    permits: Semaphore,
    pub(crate) grants: Grants,
    report: RefCell<Option<Report>>,
    up: Cell<Option<bool>>,
    /// Probes so far; numbers the next one.
    probes: Cell<u64>,
    /// The latest probe that has ended.
    ended: Cell<u64>,
    held: RefCell<Option<(Conn, Millis)>>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl HttpUpstream {
    /// A client of the upstream of `settings`, beside the node `node`.
    #[must_use]
    pub fn new(settings: &UpstreamSettings, node: &str) -> Self {
        let limit = settings.connections.saturating_sub(RESERVED).max(1);
        let inner = Inner {
            addr: settings.addr,
            host: settings.addr.to_string(),
            node: node.into(),
            idle: RefCell::default(),
            permits: Semaphore::new(usize::from(limit)),
            grants: Grants::new(settings.addr),
            report: RefCell::default(),
            up: Cell::new(None),
            probes: Cell::new(0),
            ended: Cell::new(0),
            held: RefCell::default(),
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

    fn watch(&self, report: Report) {
        *self.inner.report.borrow_mut() = Some(report);
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
    Unsent,
    Exchange(ExchangeError),
}

impl Inner {
    async fn run(&self, dispatch: Dispatch) -> Reply {
        let left = dispatch.deadline.since(clock::now());
        let ready = timeout(Duration::from_millis(left), async {
            if let Some((shard, fence)) = dispatch.fence {
                self.grants.installed(shard, fence).await;
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
                Err(refusal(&error))
            }
        }
    }

    /// Runs the exchange on an idle connection, or on a new one if none is
    /// left that takes the request.
    async fn exchange(
        &self,
        dispatch: &Dispatch,
    ) -> Result<Response, RunError> {
        let call = &dispatch.call;
        loop {
            let (mut conn, fresh) = self.connect().await?;
            self.head(dispatch, conn.out());
            let (method, body) = (&call.method, call.body.clone());
            match exchange(&mut conn, method, body, MAX_BODY_BYTES).await {
                Ok(response) => {
                    if response.keep {
                        self.idle.borrow_mut().push(conn);
                    }
                    return Ok(response);
                }
                Err(ExchangeError::Unsent) if !fresh => {}
                Err(ExchangeError::Unsent) => return Err(RunError::Unsent),
                Err(error) => return Err(RunError::Exchange(error)),
            }
        }
    }

    async fn connect(&self) -> Result<(Conn, bool), RunError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut conn) = idle else { break };
            if conn.is_idle().await {
                return Ok((conn, false));
            }
        }
        let connect = TcpStream::connect_addr(self.addr);
        match timeout(CONNECT_LIMIT, connect).await {
            Ok(Ok(stream)) => Ok((Conn::new(stream), true)),
            _ => Err(RunError::Unsent),
        }
    }

    fn head(&self, dispatch: &Dispatch, out: &mut BytesMut) {
        let call = &dispatch.call;
        request_line(out, &call.method, &call.path);
        if !call.headers.contains_key(header::HOST) {
            put_header(out, "host", self.host.as_bytes());
        }
        put_headers(out, &call.headers);
        let left = dispatch.deadline.since(clock::now());
        put_number(out, DEADLINE.as_str(), left);
        if let Some((shard, fence)) = dispatch.fence {
            let fence = fence.to_string();
            put_header(out, FENCE.as_str(), fence.as_bytes());
            put_number(out, SHARD.as_str(), u64::from(shard.0));
        }
        if let Some(trace) = &dispatch.trace {
            put_header(out, TRACE.as_str(), trace.as_bytes());
        }
    }

    fn answer(&self, dispatch: &Dispatch, mut response: Response) -> Reply {
        let status = response.status;
        if status == StatusCode::PRECONDITION_FAILED
            && dispatch.fence.is_some()
            && problem::is_fence(&response.body)
        {
            let detail = "the upstream rejected the fencing token";
            return Err(Refusal::new(Reason::Fenced, detail));
        }
        drop_named(&mut response.headers);
        Ok(Answer {
            status,
            headers: response.headers,
            body: response.body,
            scope: None,
            shard: dispatch.fence.map(|(shard, _)| shard),
            node: Rc::clone(&self.node),
        })
    }

    /// Connects once and reports a change.
    async fn probe(&self) {
        let number = self.probes.get() + 1;
        self.probes.set(number);
        let connect = TcpStream::connect_addr(self.addr);
        let result = timeout(CONNECT_LIMIT, connect).await;
        // A probe that began before one that has ended says nothing new: a
        // connection made just before a crash would hide the crash.
        if number < self.ended.get() {
            return;
        }
        self.ended.set(number);
        match result {
            Ok(Ok(stream)) => self.reached(Conn::new(stream)).await,
            Ok(Err(_)) => {
                self.held.borrow_mut().take();
                self.set(false);
            }
            // A full accept queue says that the upstream is busy or paused.
            Err(_) => {}
        }
    }

    async fn reached(&self, conn: Conn) {
        let now = clock::now();
        let held = self.held.borrow_mut().replace((conn, now));
        if let Some((mut held, since)) = held
            && now.since(since) <= HELD_AGE
            && !held.is_idle().await
        {
            self.set(false);
        }
        self.set(true);
    }

    fn set(&self, up: bool) {
        let before = self.up.replace(Some(up));
        if before == Some(up) {
            return;
        }
        if !up {
            self.idle.borrow_mut().clear();
        } else if before == Some(false) {
            self.grants.restarted();
        }
        let report = self.report.borrow().clone();
        if let Some(report) = report {
            let event =
                if up { Event::UpstreamUp } else { Event::UpstreamDown };
            report(event);
        }
    }
}

fn refusal(error: &ExchangeError) -> Refusal {
    match error {
        ExchangeError::Cut => {
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
