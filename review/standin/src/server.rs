//! A stand-in for an application server, as the platform's pages describe one:
//! it sends heartbeats, holds keys by their answers, and runs requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use http::{Method, StatusCode};
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::server::{Call, Handler, Reply, serve};
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};
use monoio::net::TcpListener;
use serde_json::{Value, json};

use crate::large;
use crate::record::Record;

/// Interval between heartbeats.
pub const BEAT_MS: u64 = 870;

/// Interval between heartbeats until a release is done.
const RELEASE_BEAT_MS: u64 = 100;

/// Time limit for the answer to a heartbeat.
const BEAT_TIMEOUT_MS: u64 = 1_000;

/// Body of a request that crashes each server that begins to run it.
pub const CRASHING_BODY: &str = "crash";

/// Options of a server.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Where it sends its heartbeats.
    pub node: SocketAddr,
    pub keyed: bool,
    /// Whether it gets bodies of over 8 MB.
    pub large: bool,
    /// Requests that run at once, and a quarter of those that wait.
    pub slots: usize,
    pub work_ms: u64,
    /// Time that requests on idempotent routes take.
    pub idempotent_ms: u64,
}

/// Keys that a server holds.
#[derive(Clone, Debug)]
pub struct Held {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub until: u64,
    pub leaving: bool,
    inflight: Rc<Cell<u32>>,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    pub options: Options,
    pub born: u64,
    pub sequence: Cell<u64>,
    up: Cell<bool>,
    /// Whether it is to come back after a crash.
    pub returns: Cell<bool>,
    /// When requests arrived that were not answered with 421.
    arrivals: RefCell<Vec<u64>>,
    /// Whether it has reported its exit, after which it sends no heartbeats.
    left: Cell<bool>,
    /// Whether it is leaving and has not said that it drains.
    abrupt: Cell<bool>,
    pub held: RefCell<Vec<Held>>,
    seen: RefCell<Vec<(u16, u16, u64)>>,
    released: RefCell<Vec<Value>>,
    places: Cell<usize>,
    /// When a request began to run, by its id; shared by all servers.
    runs: Rc<RefCell<BTreeMap<String, Vec<(String, u64)>>>>,
    record: Rc<Record>,
}

/// The runs of all requests: the server and the time of each.
pub type Runs = Rc<RefCell<BTreeMap<String, Vec<(String, u64)>>>>;

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis() as u64)
}

impl Server {
    pub fn start(
        options: Options,
        runs: &Runs,
        record: &Rc<Record>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(options.addr)?;
        let server = Rc::new(Self {
            options,
            born: unix_ms(),
            sequence: Cell::new(0),
            up: Cell::new(true),
            returns: Cell::new(false),
            arrivals: RefCell::default(),
            left: Cell::new(false),
            abrupt: Cell::new(false),
            held: RefCell::default(),
            seen: RefCell::default(),
            released: RefCell::default(),
            places: Cell::new(0),
            runs: Rc::clone(runs),
            record: Rc::clone(record),
        });
        let (http, beats) = (Rc::clone(&server), Rc::clone(&server));
        monoio::spawn(async move {
            let handler = Rc::new(Http(Rc::clone(&http)));
            if http.options.large {
                return large::serve(listener, handler).await;
            }
            monoio::select! {
                _ = serve(listener, handler) => {}
                () = http.until_down() => {}
            }
        });
        monoio::spawn(async move { beats.beat_repeatedly().await });
        Ok(server)
    }

    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Ends the server at once.
    pub fn crash(&self) {
        self.up.set(false);
        self.held.borrow_mut().clear();
    }

    /// Has it send no more heartbeats, and returns the body of one that it
    /// sends now on a slow way.
    pub fn last_beat(&self) -> Value {
        self.left.set(true);
        self.sequence.set(self.sequence.get() + 1);
        self.beat_body()
    }

    /// Has it leave without saying that it drains: it goes on as before.
    pub fn leave_abruptly(&self) {
        self.abrupt.set(true);
    }

    /// Path of its calls of this name.
    pub fn call_path(&self, call: &str) -> String {
        format!("/api/rpc?call=instances.{call}&of={}", self.options.id)
    }

    /// Number of requests that it runs or has waiting.
    pub fn places(&self) -> usize {
        self.places.get()
    }

    /// When requests arrived that were not answered with 421.
    pub fn arrivals(&self) -> Vec<u64> {
        self.arrivals.borrow().clone()
    }

    /// The ranges that it holds now.
    pub fn holds(&self) -> Vec<Held> {
        let now = monotonic_ms();
        let held = self.held.borrow();
        held.iter().filter(|range| range.until > now).cloned().collect()
    }

    async fn until_down(&self) {
        while self.up.get() {
            sleep_ms(5).await;
        }
    }

    async fn beat_repeatedly(&self) {
        while self.up.get() {
            if self.left.get() {
                return;
            }
            let begin = monotonic_ms();
            let releasing = self.beat().await;
            let pause = if releasing { RELEASE_BEAT_MS } else { BEAT_MS };
            sleep_ms((begin + pause).saturating_sub(monotonic_ms())).await;
        }
    }

    /// The body of its next heartbeat.
    fn beat_body(&self) -> Value {
        let holds = self.holds();
        let holds: Vec<Value> =
            holds.iter().map(|h| json!([h.first, h.last, h.fence])).collect();
        let Options { service, addr, zone, .. } = &self.options;
        json!({
            "service": service, "address": addr.to_string(), "zone": zone,
            "version": "v1", "capacity": self.options.slots, "state": "ready",
            "warmup_left_ms": 0, "sequence": self.sequence.get(),
            "born": self.born, "holds": holds,
            "released": *self.released.borrow(),
        })
    }

    /// Sends a heartbeat; returns whether a release is not done yet.
    async fn beat(&self) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let body = self.beat_body();
        let reported = self.released.borrow().len();
        let sent = monotonic_ms();
        let path = format!(
            "/api/rpc?call=instances.heartbeat&of={}",
            self.options.id
        );
        let json = [("content-type", "application/json")];
        let (node, text) = (self.options.node, body.to_string());
        let call =
            call_once(node, Method::POST, &path, &json, text, BEAT_TIMEOUT_MS);
        let reply = call.await;
        if !self.up.get() {
            return false;
        }
        let id = &self.options.id;
        let sequence = self.sequence.get();
        let Ok(reply) = reply else {
            self.record.add(format!("beat {id} #{sequence}: no answer"));
            return false;
        };
        let code = reply.code();
        if !reply.ok() || reply.body.len() > 4_096 {
            self.record.add(format!("beat {id} #{sequence}: {code}"));
            return false;
        }
        self.released.borrow_mut().drain(..reported);
        let grant: Value = reply.parse_json().unwrap_or(Value::Null);
        self.record.add(format!(
            "beat {id} #{sequence} holds {} -> {code} {grant}",
            body["holds"]
        ));
        self.apply(&grant, sent)
    }

    /// Applies the answer to the heartbeat that was sent at `sent`.
    fn apply(&self, grant: &Value, sent: u64) -> bool {
        let Some(rows) = grant["holds"].as_array() else { return false };
        let until = sent + grant["hold_ms"].as_u64().unwrap_or(0);
        let mut ranges = Vec::new();
        let old = self.holds();
        for row in rows {
            let key = |i: usize| row[i].as_u64().unwrap_or(0) as u16;
            let fence = row[2].as_u64().unwrap_or(0);
            let (first, last) = (key(0), key(1));
            let higher = |s: &&(u16, u16, u64)| {
                s.2 > fence && s.0 <= last && first <= s.1
            };
            if self.seen.borrow().iter().find(higher).is_some() {
                self.record.add(format!(
                    "{} refuses {first}-{last} under {fence}",
                    self.options.id
                ));
                continue;
            }
            self.seen.borrow_mut().push((first, last, fence));
            let same = old.iter().find(|h| h.first <= first && last <= h.last);
            let inflight =
                same.map(|h| Rc::clone(&h.inflight)).unwrap_or_default();
            let leaving = false;
            ranges.push(Held { first, last, fence, until, leaving, inflight });
        }
        let mut releasing = false;
        for range in old {
            for (first, last) in uncovered(&range, &ranges) {
                releasing = true;
                if range.inflight.get() > 0 {
                    let leaving = true;
                    let part = Held { first, last, leaving, ..range.clone() };
                    ranges.push(part);
                    continue;
                }
                let token = format!("{:x}{first:04x}{last:04x}", range.fence);
                self.released.borrow_mut().push(json!([first, last, token]));
            }
        }
        *self.held.borrow_mut() = ranges;
        releasing
    }

    fn held_for(&self, key: u16) -> Option<Held> {
        let fits = |h: &Held| h.first <= key && key <= h.last && !h.leaving;
        self.holds().into_iter().find(fits)
    }

    fn load(&self) -> String {
        let slots = self.options.slots;
        let running = self.places.get().min(slots);
        format!("{running},{},{slots},100", self.places.get() - running)
    }

    /// Answers a health check, which counts as no request.
    fn health(&self) -> Reply {
        let load = self.load();
        Reply::empty(StatusCode::OK)
            .with_header("instance-id", &self.options.id)
            .with_header("warmup-ms", "0")
            .with_header("server-load", load)
    }

    async fn answer(&self, call: &Call) -> Option<Reply> {
        if call.uri.path() == "/healthz" {
            return Some(self.health());
        }
        let id = call.header("request-id").unwrap_or_default().to_owned();
        let own = self.options.id.as_str();
        let refused = |status: StatusCode| {
            self.record.add(format!("server {own} {id}: {status}, not run"));
            Some(
                Reply::empty(status)
                    .with_header("not-executed", "1")
                    .with_header("request-id", &id),
            )
        };
        if id.is_empty() {
            return refused(StatusCode::BAD_REQUEST);
        }
        let expected = call.header("expected-instance");
        if expected.is_some_and(|expected| expected != own) {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        let key = call.header("shard-key").and_then(|k| k.parse().ok());
        let held = key.and_then(|key| self.held_for(key));
        if self.options.keyed && held.is_none() {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        self.arrivals.borrow_mut().push(monotonic_ms());
        if self.places.get() >= 5 * self.options.slots {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        let _place = Count::take(&self.places);
        let inflight = held.as_ref().map(|h| Rc::clone(&h.inflight));
        let _work = inflight.as_ref().map(|count| Work::take(count));
        let now = self.record.now();
        let run = (own.to_owned(), now);
        self.runs.borrow_mut().entry(id.clone()).or_default().push(run);
        self.record.add(format!("server {own} runs {id} key {key:?}"));
        let idempotent = call.uri.path().ends_with("i/2f");
        let work = if idempotent {
            self.options.idempotent_ms
        } else {
            self.options.work_ms
        };
        if call.body.as_ref() == CRASHING_BODY.as_bytes() {
            self.record.add(format!(
                "server {own} CRASHES by {id}; {} others are lost",
                self.places.get() - 1
            ));
            self.crash();
            return None;
        }
        sleep_ms(work).await;
        let load = self.load();
        let text = format!("answer to {id}");
        let reply = Reply::text(StatusCode::OK, text)
            .with_header("request-id", &id)
            .with_header("response-signature", format!("{own}.{id}"))
            .with_header("server-load", load);
        // A server that is leaving closes its connections.
        let leaving = self.left.get() || self.abrupt.get();
        let close = |reply: Reply| reply.with_header("connection", "close");
        Some(if leaving { close(reply) } else { reply })
    }
}

/// Counts a request while it is at the server.
struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn take(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a request for the keys of a range while it runs.
struct Work<'a>(&'a Cell<u32>);

impl<'a> Work<'a> {
    fn take(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The parts of `old` that none of `ranges` covers.
fn uncovered(old: &Held, ranges: &[Held]) -> Vec<(u16, u16)> {
    let mut parts = vec![(u32::from(old.first), u32::from(old.last))];
    for range in ranges {
        let (first, last) = (u32::from(range.first), u32::from(range.last));
        let mut left = Vec::new();
        for (begin, end) in parts {
            if last < begin || end < first {
                left.push((begin, end));
                continue;
            }
            if begin < first {
                left.push((begin, first - 1));
            }
            if last < end {
                left.push((last + 1, end));
            }
        }
        parts = left;
    }
    parts.into_iter().map(|(a, b)| (a as u16, b as u16)).collect()
}

struct Http(Rc<Server>);

impl Handler for Http {
    async fn handle(&self, call: Call) -> Option<Reply> {
        if !self.0.is_up() {
            return None;
        }
        let reply = self.0.answer(&call).await;
        reply.filter(|_| self.0.is_up())
    }
}
