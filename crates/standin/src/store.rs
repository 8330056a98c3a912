//! Stand-in for the object store, which can simulate faults.
//!
//! `GET /objects/<name>` answers with the value and its version as `ETag`;
//! with `?after=<version>&wait=<ms>` it is a watch: it waits for a newer
//! version and answers 304 if there is none in time. `PUT /objects/<name>`
//! requires `If-Match` or `If-None-Match: *`. `GET /objects?prefix=<prefix>`
//! lists objects. `PUT /admin/faults` replaces the simulated [`Faults`],
//! `GET /admin/faults` returns them, `GET /admin/counts` returns the
//! [`Counts`], and `PUT /admin/reset-counts` sets the counts to zero.

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

/// Largest value of an object; a larger one is answered 413.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest wait of a watch; a longer one is shortened to it.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Faults that the store simulates. Admin calls are exempt. Fields that
/// `PUT /admin/faults` omits are reset.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes the connection of each call without an answer, and of each
    /// watch that is waiting.
    pub down: bool,
    /// Mean delay of calls, in milliseconds. The delay of each call is
    /// uniformly distributed between 50% and 150% of it.
    pub delay_ms: u64,
    /// Number of writes, from now on, that take effect but are not answered.
    /// It counts down.
    pub lose_answers: u32,
}

/// Number of calls since the start or the last reset, by kind. Calls that a
/// simulated fault leaves without an answer count too.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default)]
pub struct Counts {
    /// Reads of one object.
    pub get: u64,
    /// Watches; each counts once, however long it waits.
    pub watch: u64,
    /// Writes, whatever their outcome.
    pub put: u64,
    /// Listings by prefix.
    pub list: u64,
}

impl Counts {
    /// Number of calls of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.get + self.watch + self.put + self.list
    }
}

/// An entry of a listing, which is sorted by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListEntry {
    /// Name of the object, without `/objects/`.
    pub name: String,
    /// Version of the object; 1 when it is created.
    pub version: u64,
}

#[derive(Debug)]
struct Object {
    version: u64,
    value: Bytes,
}

/// An object store that keeps its state in memory. It runs on one thread.
#[derive(Debug)]
pub struct Store {
    objects: RefCell<BTreeMap<String, Object>>,
    faults: Cell<Faults>,
    counts: Cell<Counts>,
    watchers: RefCell<Vec<Waker>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Serves a new store on `listener` until the runtime ends; `seed` determines
/// the delays of calls.
///
/// # Errors
///
/// Returns the error of the listener if it can accept no more connections.
pub async fn run(listener: TcpListener, seed: u64) -> io::Result<()> {
    serve(listener, Rc::new(Store::new(seed))).await
}

/// Serves a new store on a free loopback port as a task of the current
/// runtime, and returns its address.
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
    /// An empty store; `seed` determines the delays of calls.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            objects: RefCell::default(),
            faults: Cell::default(),
            counts: Cell::default(),
            watchers: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn wake_watchers(&self) {
        for waker in self.watchers.take() {
            waker.wake();
        }
    }

    /// Answers a request under `/admin/`.
    fn handle_admin(&self, call: &Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::PUT, "/admin/faults") => {
                match serde_json::from_slice(&call.body) {
                    Ok(faults) => {
                        self.faults.set(faults);
                        self.wake_watchers();
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

    async fn simulate_delay(&self) {
        let mean_ms = self.faults.get().delay_ms;
        if mean_ms > 0 {
            let range = mean_ms / 2..=mean_ms + mean_ms / 2;
            let sampled_ms = self.rng.borrow_mut().random_range(range);
            sleep_ms(sampled_ms).await;
        }
    }

    fn list(&self, prefix: &str) -> Reply {
        let objects = self.objects.borrow();
        let mut entries = Vec::new();
        for (name, object) in objects.range(prefix.to_owned()..) {
            if !name.starts_with(prefix) {
                break;
            }
            entries.push(ListEntry {
                name: name.clone(),
                version: object.version,
            });
        }
        Reply::json(&entries)
    }

    fn get(&self, name: &str) -> Reply {
        match self.objects.borrow().get(name) {
            Some(object) => reply_with_version(StatusCode::OK, object.version)
                .with_header("content-type", "application/json")
                .with_body(object.value.clone()),
            None => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn is_newer(&self, name: &str, after: u64) -> bool {
        let objects = self.objects.borrow();
        objects.get(name).is_some_and(|o| o.version > after)
    }

    /// Waits until the object has a version newer than `after`, or until the
    /// store is set to be down.
    async fn wait_for_newer(&self, name: &str, after: u64) {
        std::future::poll_fn(|context| {
            if self.is_newer(name, after) || self.faults.get().down {
                return Poll::Ready(());
            }
            self.watchers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait_ms: u64,
    ) -> Option<Reply> {
        let end_ms = monotonic_ms() + wait_ms.min(MAX_WAIT_MS);
        monoio::select! {
            () = self.wait_for_newer(name, after) => {}
            () = sleep_until_ms(end_ms) => {}
        }
        if self.faults.get().down {
            return None;
        }
        if self.is_newer(name, after) {
            return Some(self.get(name));
        }
        Some(Reply::empty(StatusCode::NOT_MODIFIED))
    }

    fn put(&self, name: &str, call: &Call) -> Option<Reply> {
        if call.body.len() > MAX_VALUE_BYTES {
            return Some(Reply::empty(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(name).map(|o| o.version);
        match check_condition(call, current) {
            Ok(true) => {}
            Ok(false) => {
                let reply = Reply::empty(StatusCode::PRECONDITION_FAILED);
                return Some(reply);
            }
            Err(status) => return Some(Reply::empty(status)),
        }
        let version = current.unwrap_or(0) + 1;
        let value = call.body.clone();
        objects.insert(name.to_owned(), Object { version, value });
        drop(objects);
        self.wake_watchers();
        let mut faults = self.faults.get();
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            self.faults.set(faults);
            return None;
        }
        let status =
            if version == 1 { StatusCode::CREATED } else { StatusCode::OK };
        Some(reply_with_version(status, version))
    }

    /// Answers a request for the object `name`.
    async fn handle_object(&self, name: &str, call: &Call) -> Option<Reply> {
        let after = call.query("after").map(str::parse::<u64>);
        match (&call.method, after) {
            (&Method::GET, None) => {
                self.count(|c| c.get += 1);
                self.apply_faults().await?;
                Some(self.get(name))
            }
            (&Method::GET, Some(Ok(after))) => {
                self.count(|c| c.watch += 1);
                let wait = call.query("wait").unwrap_or("0").parse();
                self.apply_faults().await?;
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
                self.apply_faults().await?;
                self.put(name, call)
            }
            _ => Some(Reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    /// Waits for the simulated delay. Returns `None` if the store is down,
    /// which closes the connection.
    async fn apply_faults(&self) -> Option<()> {
        self.simulate_delay().await;
        (!self.faults.get().down).then_some(())
    }
}

impl Handler for Store {
    async fn handle(&self, call: Call) -> Option<Reply> {
        let path = call.uri.path();
        if path.starts_with("/admin/") {
            return Some(self.handle_admin(&call));
        }
        if path == "/objects" && call.method == Method::GET {
            self.count(|c| c.list += 1);
            self.apply_faults().await?;
            return Some(self.list(call.query("prefix").unwrap_or("")));
        }
        match path.strip_prefix("/objects/") {
            Some(name) if !name.is_empty() => {
                self.handle_object(name, &call).await
            }
            _ => {
                self.apply_faults().await?;
                Some(Reply::empty(StatusCode::NOT_FOUND))
            }
        }
    }
}

/// Whether the condition of a write holds for the object's `current` version.
/// Returns the status to answer if the condition is missing or malformed.
fn check_condition(
    call: &Call,
    current: Option<u64>,
) -> Result<bool, StatusCode> {
    if let Some(tag) = call.header("if-match") {
        let version = tag
            .strip_prefix('"')
            .and_then(|t| t.strip_suffix('"'))
            .and_then(|t| t.parse::<u64>().ok())
            .ok_or(StatusCode::BAD_REQUEST)?;
        return Ok(current == Some(version));
    }
    match call.header("if-none-match") {
        Some("*") => Ok(current.is_none()),
        Some(_) => Err(StatusCode::BAD_REQUEST),
        None => Err(StatusCode::PRECONDITION_REQUIRED),
    }
}

fn reply_with_version(status: StatusCode, version: u64) -> Reply {
    Reply::empty(status).with_header("etag", format!("\"{version}\""))
}
