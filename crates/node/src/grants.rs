//! Installation of fencing tokens at the upstream.
//!
//! Only the latest grant matters: a grant that is replaced while another is
//! being sent is never sent. Requests wait until their shard's token is
//! installed, since the upstream would reject them before.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lagoondyke_core::clock::Millis;
use lagoondyke_core::id::{Fence, Shard};
use local_sync::oneshot;
use monoio::net::TcpStream;
use monoio::time::timeout;
use serde::Serialize;

use crate::clock;
use crate::http::{exchange, request_line};
use crate::wire::{Conn, put_header};

/// Time for the upstream to take a grant.
const LIMIT: Duration = Duration::from_secs(1);

/// Pause before a grant that failed is sent again.
const RETRY: Duration = Duration::from_millis(100);

/// Least extension of an unchanged grant that is worth sending, in
/// milliseconds. A leader renews its own lease at each tick, 40 times a
/// second.
const EXTENSION: u64 = 250;

/// Largest answer to a grant, in bytes.
const ANSWER_MAX: usize = 16 * 1024;

/// The grant that the upstream should have.
#[derive(Clone, Debug)]
pub(crate) struct Grants {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    wanted: RefCell<Option<Grant>>,
    /// Grows with each change of `wanted`.
    version: Cell<u64>,
    installed: RefCell<HashMap<Shard, Fence>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    sending: Cell<bool>,
    conn: RefCell<Option<Conn>>,
}

#[derive(Clone, Debug)]
struct Grant {
    shards: Vec<(Shard, Fence)>,
    until: Millis,
}

#[derive(Serialize)]
struct Document {
    until: u64,
    shards: Vec<(u16, u32, u32)>,
}

impl Grants {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            inner: Rc::new(Inner {
                addr,
                wanted: RefCell::default(),
                version: Cell::new(0),
                installed: RefCell::default(),
                waiting: RefCell::default(),
                sending: Cell::new(false),
                conn: RefCell::default(),
            }),
        }
    }

    /// Replaces the grant.
    pub(crate) fn set(&self, shards: Vec<(Shard, Fence)>, until: Millis) {
        let extends = self.inner.wanted.borrow().as_ref().is_some_and(|old| {
            let span = until.since(old.until);
            old.shards == shards && span < EXTENSION
        });
        if extends {
            return;
        }
        *self.inner.wanted.borrow_mut() = Some(Grant { shards, until });
        self.start();
    }

    /// The upstream restarted and has lost its grant.
    pub(crate) fn restarted(&self) {
        self.inner.installed.borrow_mut().clear();
        if self.inner.wanted.borrow().is_some() {
            self.start();
        }
    }

    /// Waits until the shard's fence is installed. Returns at once if no
    /// grant was ever made: the upstream does not check fences then.
    pub(crate) async fn installed(&self, shard: Shard, fence: Fence) {
        let inner = &self.inner;
        while inner.wanted.borrow().is_some() {
            let found = inner.installed.borrow().get(&shard).copied();
            if found.is_some_and(|found| found >= fence) {
                return;
            }
            let (done, changed) = oneshot::channel();
            inner.waiting.borrow_mut().push(done);
            let _ = changed.await;
        }
    }

    fn start(&self) {
        let inner = &self.inner;
        inner.version.set(inner.version.get() + 1);
        if inner.sending.replace(true) {
            return;
        }
        let inner = Rc::clone(inner);
        monoio::spawn(async move { inner.send_all().await });
    }
}

impl Inner {
    /// Sends the latest grant until it is installed or has ended.
    async fn send_all(&self) {
        loop {
            let version = self.version.get();
            let Some(grant) = self.wanted.borrow().clone() else { break };
            if grant.until <= clock::now() && !grant.shards.is_empty() {
                break;
            }
            let sent = timeout(LIMIT, self.send(&grant)).await;
            if sent == Ok(Some(())) {
                let shards = grant.shards.into_iter().collect();
                *self.installed.borrow_mut() = shards;
                self.waiting.borrow_mut().clear();
                if self.version.get() == version {
                    break;
                }
            } else {
                monoio::time::sleep(RETRY).await;
            }
        }
        self.sending.set(false);
    }

    async fn send(&self, grant: &Grant) -> Option<()> {
        let mut conn = self.connect().await?;
        let shards = grant.shards.iter();
        let document = Document {
            until: grant.until.0,
            shards: shards
                .map(|(s, f)| (s.0, f.epoch.0, f.sequence))
                .collect(),
        };
        let body = Bytes::from(serde_json::to_vec(&document).ok()?);
        let put = Method::PUT;
        let out = conn.out();
        request_line(out, &put, "/lagoondyke/grants");
        put_header(out, "host", self.addr.to_string().as_bytes());
        put_header(out, "content-type", b"application/json");
        let response = exchange(&mut conn, &put, body, ANSWER_MAX).await;
        let response = response.ok()?;
        if response.keep {
            *self.conn.borrow_mut() = Some(conn);
        }
        response.status.is_success().then_some(())
    }

    async fn connect(&self) -> Option<Conn> {
        let kept = self.conn.borrow_mut().take();
        if let Some(mut conn) = kept
            && conn.is_idle().await
        {
            return Some(conn);
        }
        let stream = TcpStream::connect_addr(self.addr).await.ok()?;
        Some(Conn::new(stream))
    }
}
