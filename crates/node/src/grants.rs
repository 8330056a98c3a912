//! Installation of fencing tokens at the upstream.
//!
//! Only the latest grant matters: if several grants arrive while one is being
//! sent, only the last of them is sent. Requests wait until their shard's
//! token is installed, since the upstream would reject them before.

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
use crate::http::{named_exchange, request_line};
use crate::wire::{Conn, put_header};

/// Time for the upstream to accept a grant.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a grant that failed is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Smallest extension of an otherwise unchanged grant that is sent. A leader
/// renews its own lease at each tick, 40 times a second.
const MIN_EXTENSION_MS: u64 = 250;

/// Largest response body to a grant.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Keeps the upstream's grant up to date; clones share the same grant.
#[derive(Clone, Debug)]
pub(crate) struct Grants {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    /// The grant that the upstream should have; `None` if no grant was made.
    latest: RefCell<Option<Grant>>,
    /// Incremented whenever `latest` must be sent again.
    version: Cell<u64>,
    /// The tokens that the upstream has confirmed.
    installed: RefCell<HashMap<Shard, Fence>>,
    /// Requests to wake when `installed` changes.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Whether the task that sends grants is running.
    sending: Cell<bool>,
    conn: RefCell<Option<Conn>>,
    /// Id of the last request on `conn`.
    last_request: Cell<u64>,
}

#[derive(Clone, Debug)]
struct Grant {
    shards: Vec<(Shard, Fence)>,
    until: Millis,
}

/// The body of a grant request to the upstream.
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
                latest: RefCell::default(),
                version: Cell::new(0),
                installed: RefCell::default(),
                waiters: RefCell::default(),
                sending: Cell::new(false),
                conn: RefCell::default(),
                last_request: Cell::new(0),
            }),
        }
    }

    /// Replaces and sends the grant, unless the shards are the same and the
    /// extension is shorter than [`MIN_EXTENSION_MS`].
    pub(crate) fn set(&self, shards: Vec<(Shard, Fence)>, until: Millis) {
        let is_short_extension =
            self.inner.latest.borrow().as_ref().is_some_and(|old| {
                let extension_ms = until.since(old.until);
                old.shards == shards && extension_ms < MIN_EXTENSION_MS
            });
        if is_short_extension {
            return;
        }
        *self.inner.latest.borrow_mut() = Some(Grant { shards, until });
        self.start_sending();
    }

    /// Sends the grant again after a restart of the upstream, which loses it.
    pub(crate) fn reinstall(&self) {
        self.inner.installed.borrow_mut().clear();
        if self.inner.latest.borrow().is_some() {
            self.start_sending();
        }
    }

    /// Waits until this or a newer fencing token is installed for the shard.
    /// Returns at once if no grant was ever made, since the upstream does not
    /// check fencing tokens then.
    pub(crate) async fn wait_installed(&self, shard: Shard, fence: Fence) {
        let inner = &self.inner;
        while inner.latest.borrow().is_some() {
            let current = inner.installed.borrow().get(&shard).copied();
            if current.is_some_and(|current| current >= fence) {
                return;
            }
            let (waiter, changed) = oneshot::channel();
            inner.waiters.borrow_mut().push(waiter);
            let _ = changed.await;
        }
    }

    fn start_sending(&self) {
        let inner = &self.inner;
        inner.version.set(inner.version.get() + 1);
        if inner.sending.replace(true) {
            return;
        }
        let inner = Rc::clone(inner);
        monoio::spawn(async move { inner.send_latest().await });
    }
}

impl Inner {
    /// Sends the latest grant until it is installed or has expired.
    async fn send_latest(&self) {
        loop {
            let version = self.version.get();
            let Some(grant) = self.latest.borrow().clone() else { break };
            if grant.until <= clock::now() && !grant.shards.is_empty() {
                break;
            }
            let result = timeout(SEND_TIMEOUT, self.send(&grant)).await;
            if result == Ok(Some(())) {
                let shards = grant.shards.into_iter().collect();
                *self.installed.borrow_mut() = shards;
                self.waiters.borrow_mut().clear();
                if self.version.get() == version {
                    break;
                }
            } else {
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
        self.sending.set(false);
    }

    /// Sends a grant once; `None` if the upstream did not confirm it.
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
        let id = self.last_request.get() + 1;
        self.last_request.set(id);
        let response =
            named_exchange(&mut conn, id, &put, body, MAX_ANSWER_BYTES).await;
        let response = response.ok()?;
        if response.keep_alive {
            *self.conn.borrow_mut() = Some(conn);
        }
        response.status.is_success().then_some(())
    }

    async fn connect(&self) -> Option<Conn> {
        let idle = self.conn.borrow_mut().take();
        if let Some(mut conn) = idle
            && conn.is_idle().await
        {
            return Some(conn);
        }
        let stream = TcpStream::connect_addr(self.addr).await.ok()?;
        Some(Conn::new(stream))
    }
}
