//! A pool of HTTP client connections, and exchanges over them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use lagoondyke_core::clock::Millis;
use monoio::net::TcpStream;
use monoio::time::timeout;

use crate::budget::Budget;
use crate::clock;
use crate::http::{ExchangeError, Response, receive, send};
use crate::wire::{Conn, SendQueue, set_option};

/// Largest number of idle connections kept for an address. A connection takes
/// memory on both sides, and a burst of requests opens many.
const MAX_IDLE_COUNT: usize = 12;

/// Idle time after which a connection is closed, which happens when another
/// one to the same address becomes idle.
const MAX_IDLE_AGE_MS: u64 = 5_000;

/// Time for which sent bytes may stay unacknowledged before the connection is
/// considered lost. A retransmission over the slowest link takes far less.
const USER_TIMEOUT_MS: libc::c_int = 1_500;

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL_SECS: libc::c_int = 1;

/// Number of unanswered probes after which a connection is considered lost.
const KEEPALIVE_PROBE_COUNT: libc::c_int = 3;

/// Idle connections by address, each with the time when it became idle.
type IdleConns = Rc<RefCell<HashMap<SocketAddr, Vec<(Conn, Millis)>>>>;

/// An HTTP client that reuses connections. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: IdleConns,
    connect_timeout: Duration,
    max_body: usize,
    budget: Budget,
}

/// An exchange over a connection of its own. Dropping it before
/// [`Exchange::finish`] resets the connection, which cancels the request.
#[derive(Debug)]
pub struct Exchange {
    conn: Option<Conn>,
    pool: Pool,
    addr: SocketAddr,
    method: Method,
    /// Whether the connection was opened for this exchange rather than
    /// reused.
    pub fresh: bool,
}

impl Pool {
    /// Creates a client that accepts response bodies of at most `max_body`
    /// bytes. The responses that are being read take at most `max_memory` bytes
    /// together.
    #[must_use]
    pub fn new(
        connect_timeout: Duration,
        max_body: usize,
        max_memory: usize,
    ) -> Self {
        let budget = Budget::new(max_memory);
        Self { idle: Rc::default(), connect_timeout, max_body, budget }
    }

    /// Closes all idle connections to an address.
    pub fn clear(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Starts an exchange over a connection that has been idle for at most
    /// `max_idle_ms`, or over a new one.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unsent`] if no connection can be made.
    pub async fn open(
        &self,
        addr: SocketAddr,
        max_idle_ms: u64,
    ) -> Result<Exchange, ExchangeError> {
        match self.reuse(addr, max_idle_ms).await {
            Some(exchange) => Ok(exchange),
            None => self.connect(addr).await,
        }
    }

    /// Starts an exchange over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unsent`] if no connection can be made.
    pub async fn connect(
        &self,
        addr: SocketAddr,
    ) -> Result<Exchange, ExchangeError> {
        let connect = TcpStream::connect_addr(addr);
        let Ok(Ok(stream)) = timeout(self.connect_timeout, connect).await
        else {
            return Err(ExchangeError::Unsent);
        };
        enable_keepalive(&stream);
        let mut conn = Conn::new(stream);
        conn.allow_unframed();
        conn.set_budget(self.budget.clone());
        Ok(self.new_exchange(conn, addr, true))
    }

    /// Starts an exchange over a connection that has been idle for at most
    /// `max_idle_ms`; `None` if there is none.
    pub async fn reuse(
        &self,
        addr: SocketAddr,
        max_idle_ms: u64,
    ) -> Option<Exchange> {
        let now = clock::since_boot();
        while let Some((mut conn, since)) = self.pop_idle(addr) {
            if now.since(since) <= max_idle_ms && conn.is_idle().await {
                return Some(self.new_exchange(conn, addr, false));
            }
        }
        None
    }

    fn pop_idle(&self, addr: SocketAddr) -> Option<(Conn, Millis)> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    fn new_exchange(
        &self,
        conn: Conn,
        addr: SocketAddr,
        fresh: bool,
    ) -> Exchange {
        let pool = self.clone();
        let method = Method::GET;
        Exchange { conn: Some(conn), pool, addr, method, fresh }
    }

    /// Sends a request and reads its response. `head` appends the request
    /// line and the headers, and may run more than once: if a reused
    /// connection fails before anything was sent, the request is sent over
    /// another one. `max_idle_ms` is as for [`Pool::open`].
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have arrived.
    pub async fn call(
        &self,
        addr: SocketAddr,
        max_idle_ms: u64,
        method: &Method,
        body: Bytes,
        head: impl Fn(&mut BytesMut),
    ) -> Result<Response, ExchangeError> {
        loop {
            let mut exchange = self.open(addr, max_idle_ms).await?;
            let fresh = exchange.fresh;
            match exchange.send(method, body.clone(), &head).await {
                Err(ExchangeError::Unsent) if !fresh => {}
                Ok(response) => {
                    exchange.finish(response.keep_alive);
                    return Ok(response);
                }
                Err(error) => return Err(error),
            }
        }
    }
}

impl Exchange {
    /// The send queue of the connection's socket; `None` once the exchange has
    /// finished.
    #[must_use]
    pub fn send_queue(&self) -> Option<SendQueue> {
        self.conn.as_ref().map(Conn::send_queue)
    }

    /// Sends the request and reads a response. `head` appends the request
    /// line and the headers.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have arrived.
    pub async fn send(
        &mut self,
        method: &Method,
        body: Bytes,
        head: impl Fn(&mut BytesMut),
    ) -> Result<Response, ExchangeError> {
        self.write(method, body, head).await?;
        self.receive_next().await
    }

    /// Sends the request as [`Exchange::send`] does, and reads nothing.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have arrived.
    pub async fn write(
        &mut self,
        method: &Method,
        body: Bytes,
        head: impl Fn(&mut BytesMut),
    ) -> Result<(), ExchangeError> {
        self.method = method.clone();
        let Some(conn) = &mut self.conn else {
            return Err(ExchangeError::Unsent);
        };
        head(conn.out());
        send(conn, method, body).await
    }

    /// Reads the response, or the next one if the one before belonged to an
    /// earlier request.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the head of the response arrived.
    pub async fn receive_next(&mut self) -> Result<Response, ExchangeError> {
        let limit = self.pool.max_body;
        let Some(conn) = &mut self.conn else {
            return Err(ExchangeError::Lost);
        };
        receive(conn, &self.method, limit).await
    }

    /// Ends the exchange. The connection becomes idle if `keep_alive` is set
    /// and nothing unread has arrived; otherwise it is closed.
    pub fn finish(mut self, keep_alive: bool) {
        let Some(mut conn) = self.conn.take() else { return };
        if !keep_alive || conn.has_unread() {
            return;
        }
        conn.release_buffers();
        let now = clock::since_boot();
        let mut by_addr = self.pool.idle.borrow_mut();
        let idle = by_addr.entry(self.addr).or_default();
        idle.retain(|(_, since)| now.since(*since) < MAX_IDLE_AGE_MS);
        if idle.len() < MAX_IDLE_COUNT {
            idle.push((conn, now));
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(conn) = &self.conn {
            conn.reset_on_close();
        }
    }
}

/// Has the kernel detect a connection whose other side no longer responds.
fn enable_keepalive(stream: &TcpStream) {
    let tcp = libc::IPPROTO_TCP;
    let on: libc::c_int = 1;
    set_option(stream, libc::SOL_SOCKET, libc::SO_KEEPALIVE, &on);
    set_option(stream, tcp, libc::TCP_KEEPIDLE, &KEEPALIVE_INTERVAL_SECS);
    set_option(stream, tcp, libc::TCP_KEEPINTVL, &KEEPALIVE_INTERVAL_SECS);
    set_option(stream, tcp, libc::TCP_KEEPCNT, &KEEPALIVE_PROBE_COUNT);
    set_option(stream, tcp, libc::TCP_USER_TIMEOUT, &USER_TIMEOUT_MS);
}
