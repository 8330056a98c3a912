//! Connections of a load thread to its targets.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use lagoondyke_standin::client::{CallError, Client};
use lagoondyke_standin::time::sleep_ms;

/// Idle connections to one target, and the number of all.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    most: usize,
    open: Cell<usize>,
    idle: RefCell<Vec<Client>>,
}

impl Pool {
    /// A pool of at most `most` connections to `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, most: usize) -> Self {
        let (open, idle) = (Cell::default(), RefCell::default());
        Self { addr, most, open, idle }
    }

    /// Takes an idle connection or opens one. Waits while all are in use.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be made.
    pub async fn take(&self) -> Result<Lent<'_>, CallError> {
        loop {
            let client = self.idle.borrow_mut().pop();
            if let Some(client) = client {
                let lent = Lent { pool: self, client: Some(client) };
                // The target may have closed it since its last use.
                if lent.client.as_ref().is_some_and(Client::is_open) {
                    return Ok(lent);
                }
                continue;
            }
            if self.open.get() < self.most {
                break;
            }
            sleep_ms(1).await;
        }
        self.open.set(self.open.get() + 1);
        let mut lent = Lent { pool: self, client: None };
        lent.client = Some(Client::connect(self.addr).await?);
        Ok(lent)
    }
}

/// A connection in use. It is closed when dropped, unless it is returned.
#[derive(Debug)]
pub struct Lent<'a> {
    pool: &'a Pool,
    client: Option<Client>,
}

impl Lent<'_> {
    /// The connection.
    ///
    /// # Panics
    ///
    /// Never panics: the connection is present until it is returned.
    pub fn client(&mut self) -> &mut Client {
        self.client.as_mut().expect("present until returned")
    }

    /// Returns the connection to the pool after a complete answer.
    pub fn give_back(mut self) {
        if let Some(client) = self.client.take() {
            self.pool.idle.borrow_mut().push(client);
            // The drop below counts a closed connection.
            self.pool.open.set(self.pool.open.get() + 1);
        }
    }
}

impl Drop for Lent<'_> {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
    }
}
