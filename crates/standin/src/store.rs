//! The object store's API with faults on request.
//!
//! `GET /objects/<name>` answers with the value and its version as `ETag`;
//! with `?after=<version>&wait=<ms>` it waits for a newer version and
//! answers 304 if none comes. `PUT` needs `If-Match` or `If-None-Match: *`.
//! `GET /objects?prefix=` lists. `PUT /admin/faults` sets a [`Faults`],
//! `GET /admin/counts` returns a [`Counts`], and `PUT /admin/reset-counts`
//! sets the counts to zero.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::net::TcpListener;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::server::{Call, Handler, Reply, serve};
use crate::time::{monotonic_ms, sleep_ms, sleep_until_ms};

/// Largest value of an object, in bytes.
pub const VALUE_MAX: usize = 1_000_000;

/// Longest wait of a watch, in milliseconds.
pub const WAIT_MAX: u64 = 30_000;

/// Faults that the store shows.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes the connection of each call without an answer, and of each
    /// watch that is waiting.
    pub down: bool,
    /// Mean delay of each call, in milliseconds; the delay of one call is
    /// drawn evenly from half to one and a half of it.
    pub delay_ms: u64,
    /// Number of writes that take effect, but whose answers are lost.
    pub lose_answers: u32,
}

/// Calls since the start or the last reset, by kind.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default)]
pub struct Counts {
    /// Reads of one object.
    pub get: u64,
    /// Watches; one that waits counts once.
    pub watch: u64,
    /// Writes, whatever their outcome.
    pub put: u64,
    /// Listings.
    pub list: u64,
}

impl Counts {
    /// All calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.get + self.watch + self.put + self.list
    }
}

/// One line of a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// The object's name.
    pub name: String,
    /// Its version.
    pub version: u64,
}

#[derive(Debug)]
struct Object {
    version: u64,
    value: Bytes,
}

/// The store. All state is in memory and belongs to one thread.
#[derive(Debug)]
pub struct Store {
    objects: RefCell<BTreeMap<String, Object>>,
    faults: Cell<Faults>,
    counts: Cell<Counts>,
    waiting: RefCell<Vec<Waker>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Runs a store on `listener` until the runtime ends.
///
/// # Errors
///
/// Returns the listener's error if it cannot be used any more.
pub async fn run(listener: TcpListener, seed: u64) -> io::Result<()> {
    serve(listener, Rc::new(Store::new(seed))).await
}

/// Starts a store as a task of the present runtime on a free loopback port.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn start(seed: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    monoio::spawn(run(listener, seed));
    Ok(addr)
}

impl Store {
    /// An empty store; `seed` determines the spread of delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            objects: RefCell::default(),
            faults: Cell::default(),
            counts: Cell::default(),
            waiting: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn wake_watches(&self) {
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    fn admin(&self, call: &Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::PUT, "/admin/faults") => {
                match serde_json::from_slice(&call.body) {
                    Ok(faults) => {
                        self.faults.set(faults);
                        self.wake_watches();
                        Reply::empty(StatusCode::NO_CONTENT)
                    }
                    Err(e) => {
                        Reply::text(StatusCode::BAD_REQUEST, e.to_string())
                    }
                }
            }
            (&Method::GET, "/admin/faults") => Reply::json(&self.faults.get()),
            (&Method::GET, "/admin/counts") => Reply::json(&self.counts.get()),
            (&(Method::PUT | Method::POST), "/admin/reset-counts") => {
                self.counts.set(Counts::default());
                Reply::empty(StatusCode::NO_CONTENT)
            }
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn delay(&self) {
        let mean = self.faults.get().delay_ms;
        if mean > 0 {
            let range = mean / 2..=mean + mean / 2;
            let span = self.rng.borrow_mut().random_range(range);
            sleep_ms(span).await;
        }
    }

    fn list(&self, prefix: &str) -> Reply {
        let objects = self.objects.borrow();
        let mut found = Vec::new();
        for (name, object) in objects.range(prefix.to_owned()..) {
            if !name.starts_with(prefix) {
                break;
            }
            found.push(Listed { name: name.clone(), version: object.version });
        }
        Reply::json(&found)
    }

    fn get(&self, name: &str) -> Reply {
        match self.objects.borrow().get(name) {
            Some(object) => versioned(StatusCode::OK, object.version)
                .with("content-type", "application/json")
                .body(object.value.clone()),
            None => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn newer(&self, name: &str, after: u64) -> bool {
        let objects = self.objects.borrow();
        objects.get(name).is_some_and(|o| o.version > after)
    }

    /// Waits until the object is newer than `after` or the store is down.
    async fn changed(&self, name: &str, after: u64) {
        std::future::poll_fn(|context| {
            if self.newer(name, after) || self.faults.get().down {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    async fn watch(&self, name: &str, after: u64, wait: u64) -> Option<Reply> {
        let end = monotonic_ms() + wait.min(WAIT_MAX);
        monoio::select! {
            () = self.changed(name, after) => {}
            () = sleep_until_ms(end) => {}
        }
        if self.faults.get().down {
            return None;
        }
        if self.newer(name, after) {
            return Some(self.get(name));
        }
        Some(Reply::empty(StatusCode::NOT_MODIFIED))
    }

    fn put(&self, name: &str, call: &Call) -> Option<Reply> {
        if call.body.len() > VALUE_MAX {
            return Some(Reply::empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut objects = self.objects.borrow_mut();
        let found = objects.get(name).map(|o| o.version);
        match condition(call, found) {
            Ok(true) => {}
            Ok(false) => {
                let reply = Reply::empty(StatusCode::PRECONDITION_FAILED);
                return Some(reply);
            }
            Err(status) => return Some(Reply::empty(status)),
        }
        let version = found.unwrap_or(0) + 1;
        let value = call.body.clone();
        objects.insert(name.to_owned(), Object { version, value });
        drop(objects);
        self.wake_watches();
        let mut faults = self.faults.get();
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            self.faults.set(faults);
            return None;
        }
        let status =
            if version == 1 { StatusCode::CREATED } else { StatusCode::OK };
        Some(versioned(status, version))
    }

    async fn object(&self, name: &str, call: &Call) -> Option<Reply> {
        let after = call.query("after").map(str::parse::<u64>);
        match (&call.method, after) {
            (&Method::GET, None) => {
                self.count(|c| c.get += 1);
                self.ready().await?;
                Some(self.get(name))
            }
            (&Method::GET, Some(Ok(after))) => {
                self.count(|c| c.watch += 1);
                let wait = call.query("wait").unwrap_or("0").parse();
                self.ready().await?;
                match wait {
                    Ok(wait) => self.watch(name, after, wait).await,
                    Err(_) => Some(Reply::empty(StatusCode::BAD_REQUEST)),
                }
            }
            (&Method::GET, Some(Err(_))) => {
                Some(Reply::empty(StatusCode::BAD_REQUEST))
            }
            (&Method::PUT, _) => {
                self.count(|c| c.put += 1);
                self.ready().await?;
                self.put(name, call)
            }
            _ => Some(Reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    /// Waits for the set delay; `None` if the store is down.
    async fn ready(&self) -> Option<()> {
        self.delay().await;
        (!self.faults.get().down).then_some(())
    }
}

impl Handler for Store {
    async fn answer(&self, call: Call) -> Option<Reply> {
        let path = call.uri.path();
        if path.starts_with("/admin/") {
            return Some(self.admin(&call));
        }
        if path == "/objects" && call.method == Method::GET {
            self.count(|c| c.list += 1);
            self.ready().await?;
            return Some(self.list(call.query("prefix").unwrap_or("")));
        }
        match path.strip_prefix("/objects/") {
            Some(name) if !name.is_empty() => self.object(name, &call).await,
            _ => {
                self.ready().await?;
                Some(Reply::empty(StatusCode::NOT_FOUND))
            }
        }
    }
}

/// Whether the call's condition holds for the version `found`.
fn condition(call: &Call, found: Option<u64>) -> Result<bool, StatusCode> {
    if let Some(tag) = call.header("if-match") {
        let version = tag
            .strip_prefix('"')
            .and_then(|t| t.strip_suffix('"'))
            .and_then(|t| t.parse::<u64>().ok())
            .ok_or(StatusCode::BAD_REQUEST)?;
        return Ok(found == Some(version));
    }
    match call.header("if-none-match") {
        Some("*") => Ok(found.is_none()),
        Some(_) => Err(StatusCode::BAD_REQUEST),
        None => Err(StatusCode::PRECONDITION_REQUIRED),
    }
}

fn versioned(status: StatusCode, version: u64) -> Reply {
    Reply::empty(status).with("etag", format!("\"{version}\""))
}
