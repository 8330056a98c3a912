//! Kept connections and exchanges as a client.

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

use crate::clock;
use crate::http::{ExchangeError, Response, exchange, receive};
use crate::wire::{Conn, set_option};

/// Idle connections kept for one address. A connection takes memory on both
/// sides, and a burst opens many.
const IDLE_MAX: usize = 12;

/// Idle time after which a connection is closed when another one becomes
/// idle, in milliseconds.
const IDLE_AGE: u64 = 5_000;

/// Time for which sent bytes may stay unacknowledged, in milliseconds. A
/// retransmission over the slowest link takes far less.
const UNACKNOWLEDGED: libc::c_int = 1_500;

/// Idle time before a connection is probed, and between probes, in seconds.
const KEEPALIVE: libc::c_int = 1;

/// Unanswered probes after which a connection is given up.
const KEEPALIVE_PROBES: libc::c_int = 3;

/// Idle connections by address, and since when they are idle.
type Idle = Rc<RefCell<HashMap<SocketAddr, Vec<(Conn, Millis)>>>>;

/// A client with kept connections; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Idle,
    connect: Duration,
    body_max: usize,
}

/// A connection that carries an exchange. Dropping it before the exchange
/// has ended resets the connection, which cancels the request.
#[derive(Debug)]
pub struct Exchange {
    conn: Option<Conn>,
    pool: Pool,
    addr: SocketAddr,
    method: Method,
    /// The connection was made for this exchange.
    pub fresh: bool,
}

impl Pool {
    /// A client that waits `connect` for a connection and takes bodies of at
    /// most `body_max` bytes.
    #[must_use]
    pub fn new(connect: Duration, body_max: usize) -> Self {
        Self { idle: Rc::default(), connect, body_max }
    }

    /// Closes all kept connections to an address.
    pub fn clear(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// A connection that has been idle for at most `age` ms, or a new one.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unsent`] if none can be made.
    pub async fn open(
        &self,
        addr: SocketAddr,
        age: u64,
    ) -> Result<Exchange, ExchangeError> {
        let now = clock::since_boot();
        loop {
            let Some((mut conn, since)) = self.kept(addr) else { break };
            if now.since(since) <= age && conn.is_idle().await {
                return Ok(self.begin(conn, addr, false));
            }
        }
        let connect = TcpStream::connect_addr(addr);
        let Ok(Ok(stream)) = timeout(self.connect, connect).await else {
            return Err(ExchangeError::Unsent);
        };
        keep_alive(&stream);
        let mut conn = Conn::new(stream);
        conn.allow_unframed();
        Ok(self.begin(conn, addr, true))
    }

    fn kept(&self, addr: SocketAddr) -> Option<(Conn, Millis)> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    fn begin(&self, conn: Conn, addr: SocketAddr, fresh: bool) -> Exchange {
        let pool = self.clone();
        let method = Method::GET;
        Exchange { conn: Some(conn), pool, addr, method, fresh }
    }

    /// Sends a request and reads its response. `head` writes the request
    /// line and the headers. A kept connection that turns out to be closed
    /// before anything was sent is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have arrived.
    pub async fn call(
        &self,
        addr: SocketAddr,
        age: u64,
        method: &Method,
        body: Bytes,
        head: impl Fn(&mut BytesMut),
    ) -> Result<Response, ExchangeError> {
        loop {
            let mut open = self.open(addr, age).await?;
            let fresh = open.fresh;
            match open.send(method, body.clone(), &head).await {
                Err(ExchangeError::Unsent) if !fresh => {}
                Ok(response) => {
                    open.finish(response.keep_alive);
                    return Ok(response);
                }
                Err(error) => return Err(error),
            }
        }
    }
}

impl Exchange {
    /// Sends the request and reads a response.
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
        let limit = self.pool.body_max;
        self.method = method.clone();
        let Some(conn) = &mut self.conn else {
            return Err(ExchangeError::Unsent);
        };
        head(conn.out());
        exchange(conn, method, body, limit).await
    }

    /// Reads another response: the one before belonged to an earlier
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error that says how far the response came.
    pub async fn again(&mut self) -> Result<Response, ExchangeError> {
        let limit = self.pool.body_max;
        let Some(conn) = &mut self.conn else {
            return Err(ExchangeError::Lost);
        };
        receive(conn, &self.method, limit).await
    }

    /// Ends the exchange; the connection is kept if it can carry another.
    pub fn finish(mut self, keep: bool) {
        let Some(mut conn) = self.conn.take() else { return };
        if !keep || conn.has_unread() {
            return;
        }
        conn.release_buffers();
        let now = clock::since_boot();
        let mut all = self.pool.idle.borrow_mut();
        let idle = all.entry(self.addr).or_default();
        idle.retain(|(_, since)| now.since(*since) < IDLE_AGE);
        if idle.len() < IDLE_MAX {
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

/// Lets the system notice a connection that has gone silent.
fn keep_alive(stream: &TcpStream) {
    let tcp = libc::IPPROTO_TCP;
    let on: libc::c_int = 1;
    set_option(stream, libc::SOL_SOCKET, libc::SO_KEEPALIVE, &on);
    set_option(stream, tcp, libc::TCP_KEEPIDLE, &KEEPALIVE);
    set_option(stream, tcp, libc::TCP_KEEPINTVL, &KEEPALIVE);
    set_option(stream, tcp, libc::TCP_KEEPCNT, &KEEPALIVE_PROBES);
    set_option(stream, tcp, libc::TCP_USER_TIMEOUT, &UNACKNOWLEDGED);
}
