//! A connection pool for each target of a load thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use lagoondyke_standin::client::{CallError, Client};
use lagoondyke_standin::time::sleep_ms;

/// Pool of connections to one target. It belongs to one thread.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    limit: usize,
    // Idle connections and those in use.
    open_count: Cell<usize>,
    idle: RefCell<Vec<Client>>,
}

impl Pool {
    /// An empty pool that opens at most `limit` connections to `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, limit: usize) -> Self {
        let (open_count, idle) = (Cell::default(), RefCell::default());
        Self { addr, limit, open_count, idle }
    }

    /// Takes an idle connection or opens a new one. While all connections
    /// are in use, checks every millisecond whether one was released.
    ///
    /// # Errors
    ///
    /// Returns an error if a new connection cannot be opened.
    pub async fn acquire(&self) -> Result<PooledClient<'_>, CallError> {
        loop {
            let client = self.idle.borrow_mut().pop();
            if let Some(client) = client {
                let pooled = PooledClient { pool: self, client: Some(client) };
                // The target may have closed it since its last use.
                if pooled.client.as_ref().is_some_and(Client::is_open) {
                    return Ok(pooled);
                }
                continue;
            }
            if self.open_count.get() < self.limit {
                break;
            }
            sleep_ms(1).await;
        }
        self.open_count.set(self.open_count.get() + 1);
        let mut pooled = PooledClient { pool: self, client: None };
        pooled.client = Some(Client::connect(self.addr).await?);
        Ok(pooled)
    }
}

/// A connection taken from a pool. Dropping it closes the connection;
/// [`PooledClient::release`] keeps it open for the next request.
#[derive(Debug)]
pub struct PooledClient<'a> {
    pool: &'a Pool,
    client: Option<Client>,
}

impl PooledClient<'_> {
    /// The connection to send a request on.
    ///
    /// # Panics
    ///
    /// Never panics: the connection is present until it is released.
    pub fn client(&mut self) -> &mut Client {
        self.client.as_mut().expect("present until released")
    }

    /// Returns the connection to the pool. Call it only after a complete
    /// answer: the connection must not carry the rest of one.
    pub fn release(mut self) {
        if let Some(client) = self.client.take() {
            self.pool.idle.borrow_mut().push(client);
            // Offsets the decrement in `drop`, which runs after this: the
            // connection stays open.
            self.pool.open_count.set(self.pool.open_count.get() + 1);
        }
    }
}

impl Drop for PooledClient<'_> {
    fn drop(&mut self) {
        self.pool.open_count.set(self.pool.open_count.get() - 1);
    }
}
