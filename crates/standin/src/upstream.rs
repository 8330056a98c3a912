//! An upstream with slots, cold start, stalls, crashes and fences.
//!
//! Every path except those under `/admin/` and `/lagoondyke/` is work: it
//! takes a slot for the service time and echoes the body. Each run is
//! recorded and returned by `GET /admin/runs`, so that a checker can find
//! overlapping runs of one key at two upstreams and runs of one id twice.
//! `PUT /admin/stall` takes a [`Stall`]; `PUT /admin/cold` starts a cold
//! phase; `PUT /admin/reset` forgets the recorded runs; `GET /admin/load`
//! returns the present [`Load`].

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Poll, Waker};

use http::{Method, StatusCode};
use monoio::net::TcpListener;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::server::{Call, Handler, Reply, serve};
use crate::time::{monotonic_ms, sleep_ms};

/// Most runs that are kept; older ones are dropped and counted.
const RUNS_MAX: usize = 1_000_000;

/// Age of the load that is reported, in milliseconds.
pub const LOAD_DELAY: u64 = 2_000;

/// Interval between two load samples, in milliseconds.
const LOAD_SAMPLE: u64 = 100;

/// Factor of the service time during a cold phase.
const COLD_FACTOR: u64 = 4;

/// Factor of the service time while collapsed.
const COLLAPSE_FACTOR: u64 = 10;

/// Time for which an overload during a cold phase lasts, in milliseconds.
const COLLAPSE_SPAN: u64 = 2_000;

/// Interval at which stalled work looks for the end of the stall, in
/// milliseconds.
const STALL_STEP: u64 = 5;

/// Properties of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, in the header `X-Upstream` of each answer.
    pub name: String,
    /// Requests it runs at once.
    pub slots: usize,
    /// Requests that may wait for a slot; more are answered 503.
    pub queue: usize,
    /// Connections it keeps; more are closed at once.
    pub connections: usize,
    /// Time that a new connection costs, in milliseconds.
    pub connect_ms: u64,
    /// Mean service time, in milliseconds; one run takes from 80% to 120%.
    pub service_ms: u64,
    /// Length of a cold phase, in milliseconds; 0 to start warm.
    pub cold_ms: u64,
    /// Slots during a cold phase.
    pub cold_slots: usize,
    /// Whether work needs a fence that is covered by an unexpired grant.
    pub fenced: bool,
    /// Whether a fence is checked again when the work ends, so that work
    /// that outlived its grant during a freeze is not acknowledged.
    pub zombie_check: bool,
    /// Value of the header `X-Crash` that ends the process.
    pub crash_on: Option<String>,
    /// Seed of the spread of service times.
    pub seed: u64,
    /// File that runs are appended to, so that a checker sees the runs of a
    /// killed process; see [`read_record`].
    pub record: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            slots: 12,
            queue: 24,
            connections: 100,
            connect_ms: 1,
            service_ms: 5,
            cold_ms: 0,
            cold_slots: 1,
            fenced: false,
            zombie_check: false,
            crash_on: None,
            seed: 0,
            record: None,
        }
    }
}

/// A period of no or slow service.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Stall {
    /// Its length, in milliseconds.
    pub ms: u64,
    /// Factor of the service time; 0 means that nothing completes.
    pub factor: u64,
}

/// The body of `PUT /admin/cold`; without a body, the phase has the length
/// that the options give.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Length of the phase from now, in milliseconds; 0 ends it.
    pub ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It has not ended.
    Running,
    /// It was answered.
    Completed,
    /// Its caller went away, its deadline passed or its grant ended.
    Cancelled,
}

/// One executed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The header `X-Request-Id`, or empty.
    pub id: String,
    /// The header `Lagoondyke-Key`, or empty.
    pub key: String,
    /// The header `Lagoondyke-Shard`.
    pub shard: Option<u16>,
    /// The header `Lagoondyke-Fence`, or empty.
    pub fence: String,
    /// When it took a slot, in milliseconds of `CLOCK_MONOTONIC`.
    pub start: u64,
    /// When it gave the slot back.
    pub end: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
}

/// The recorded runs of an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// The upstream's name.
    pub name: String,
    /// Runs that were dropped from the record.
    pub dropped: u64,
    /// The runs, in the order of their starts.
    pub runs: VecDeque<Run>,
}

/// The body of `PUT /lagoondyke/grants`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// End of the grant, in milliseconds of `CLOCK_MONOTONIC`.
    pub until: u64,
    /// Shard, epoch and sequence of each granted shard.
    pub shards: Vec<(u16, u32, u32)>,
}

/// The answer of `GET /lagoondyke/load`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Load {
    /// Requests that run.
    pub busy: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Requests that may run at once.
    pub slots: usize,
    /// Requests refused because the queue was full.
    #[serde(default)]
    pub refused: u64,
    /// Overloads during a cold phase.
    #[serde(default)]
    pub collapses: u64,
}

/// A line of the record file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Line {
    /// A run began.
    Start { process: u32, number: u64, run: Run },
    /// A run ended.
    End { process: u32, number: u64, end: u64, outcome: Outcome },
}

/// Reads the runs that an upstream appended to its record file. A last line
/// that was cut off by a kill is ignored.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has a malformed line.
pub fn read_record(path: &Path) -> io::Result<Vec<Run>> {
    let text = std::fs::read_to_string(path)?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut runs = Vec::new();
    let mut places = BTreeMap::new();
    for line in whole.lines() {
        match serde_json::from_str(line)? {
            Line::Start { process, number, run } => {
                places.insert((process, number), runs.len());
                runs.push(run);
            }
            Line::End { process, number, end, outcome } => {
                let Some(&place) = places.get(&(process, number)) else {
                    continue;
                };
                let run: &mut Run = &mut runs[place];
                run.end = Some(end);
                run.outcome = outcome;
            }
        }
    }
    Ok(runs)
}

/// An upstream. All state is in memory and belongs to one thread.
#[derive(Debug)]
pub struct Upstream {
    options: Options,
    busy: Cell<usize>,
    connections: Cell<usize>,
    cold_until: Cell<u64>,
    collapsed_until: Cell<u64>,
    stall: Cell<Stall>,
    stall_until: Cell<u64>,
    ticket: Cell<u64>,
    queue: RefCell<BTreeMap<u64, Option<Waker>>>,
    runs: RefCell<Runs>,
    grants: RefCell<Grants>,
    highest: RefCell<BTreeMap<u16, (u32, u32)>>,
    loads: RefCell<VecDeque<(u64, Load)>>,
    sequence: Cell<u64>,
    refused: Cell<u64>,
    collapses: Cell<u64>,
    record: Option<RefCell<File>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Runs an upstream on `listener` until the runtime ends.
///
/// # Errors
///
/// Returns an error if the record file cannot be opened or the listener
/// cannot be used any more.
pub async fn run(listener: TcpListener, options: Options) -> io::Result<()> {
    let upstream = Rc::new(Upstream::new(options)?);
    monoio::spawn(sample_load(Rc::clone(&upstream)));
    serve(listener, upstream).await
}

/// Starts an upstream as a task of the present runtime on a free loopback
/// port.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn start(options: Options) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    monoio::spawn(run(listener, options));
    Ok(addr)
}

async fn sample_load(upstream: Rc<Upstream>) {
    loop {
        upstream.sample();
        sleep_ms(LOAD_SAMPLE).await;
    }
}

impl Upstream {
    /// An upstream that starts cold if its options say so.
    ///
    /// # Errors
    ///
    /// Returns an error if the record file cannot be opened.
    pub fn new(options: Options) -> io::Result<Self> {
        let name = options.name.clone();
        let record = match &options.record {
            Some(path) => {
                let mut open = File::options();
                let file = open.create(true).append(true).open(path)?;
                Some(RefCell::new(file))
            }
            None => None,
        };
        Ok(Self {
            busy: Cell::default(),
            connections: Cell::default(),
            cold_until: Cell::new(monotonic_ms() + options.cold_ms),
            collapsed_until: Cell::default(),
            stall: Cell::default(),
            stall_until: Cell::default(),
            ticket: Cell::default(),
            queue: RefCell::default(),
            runs: RefCell::new(Runs { name, ..Runs::default() }),
            grants: RefCell::default(),
            highest: RefCell::default(),
            loads: RefCell::default(),
            sequence: Cell::default(),
            refused: Cell::default(),
            collapses: Cell::default(),
            record,
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            options,
        })
    }

    /// Appends a line to the record file, if there is one.
    fn write_record(&self, line: impl FnOnce() -> Line) {
        let Some(file) = &self.record else { return };
        let mut text = serde_json::to_vec(&line()).expect("a line encodes");
        text.push(b'\n');
        // One write call per line, so that a kill cannot lose a whole one.
        // A checker would accuse the router if runs were missing.
        file.borrow_mut().write_all(&text).expect("record is writable");
    }

    fn cold(&self) -> bool {
        monotonic_ms() < self.cold_until.get()
    }

    fn slots(&self) -> usize {
        if self.cold() {
            self.options.cold_slots.max(1)
        } else {
            self.options.slots
        }
    }

    fn load(&self) -> Load {
        Load {
            busy: self.busy.get(),
            queued: self.queue.borrow().len(),
            slots: self.slots(),
            refused: self.refused.get(),
            collapses: self.collapses.get(),
        }
    }

    /// Keeps the present load, and of older ones the newest that is old
    /// enough to be reported.
    fn sample(&self) {
        let now = monotonic_ms();
        let mut loads = self.loads.borrow_mut();
        loads.push_back((now, self.load()));
        while loads.get(1).is_some_and(|(at, _)| at + LOAD_DELAY <= now) {
            loads.pop_front();
        }
    }

    /// Waits for a slot in order of arrival; `None` if the queue is full.
    async fn slot(&self) -> Option<Slot<'_>> {
        if self.queue.borrow().len() >= self.options.queue {
            self.refused.set(self.refused.get() + 1);
            if self.cold() {
                self.collapses.set(self.collapses.get() + 1);
                // Work beyond a cold upstream's reach sets it back.
                let now = monotonic_ms();
                self.collapsed_until.set(now + COLLAPSE_SPAN);
                let until = now + self.options.cold_ms;
                self.cold_until.set(until.max(self.cold_until.get()));
            }
            return None;
        }
        let ticket = self.ticket.replace(self.ticket.get() + 1);
        self.queue.borrow_mut().insert(ticket, None);
        let place = Place { upstream: self, ticket };
        std::future::poll_fn(|context| {
            let mut queue = self.queue.borrow_mut();
            let first = queue.keys().next() == Some(&ticket);
            if first && self.busy.get() < self.slots() {
                return Poll::Ready(());
            }
            queue.insert(ticket, Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
        self.busy.set(self.busy.get() + 1);
        drop(place);
        Some(Slot { upstream: self })
    }

    fn wake_first(&self) {
        let mut queue = self.queue.borrow_mut();
        if let Some(mut first) = queue.first_entry()
            && let Some(waker) = first.get_mut().take()
        {
            waker.wake();
        }
    }

    fn service_time(&self) -> u64 {
        let now = monotonic_ms();
        let mut mean = self.options.service_ms;
        if mean == 0 {
            return 0;
        }
        if now < self.collapsed_until.get() {
            mean *= COLLAPSE_FACTOR;
        } else if self.cold() {
            mean *= COLD_FACTOR;
        }
        if now < self.stall_until.get() {
            mean *= self.stall.get().factor.max(1);
        }
        // In tenths of the mean, so that short times are spread as well.
        let tenths = self.rng.borrow_mut().random_range(8..=12);
        (mean * tenths).div_ceil(10)
    }

    async fn service(&self) {
        sleep_ms(self.service_time()).await;
        // In steps, because a stall can be lifted early.
        while self.stall.get().factor == 0
            && monotonic_ms() < self.stall_until.get()
        {
            sleep_ms(STALL_STEP).await;
        }
    }

    /// Why a request's fence is refused, if it is.
    fn fence_fault(&self, call: &Call) -> Option<&'static str> {
        if !self.options.fenced {
            return None;
        }
        let Some(shard) = number(call.header("lagoondyke-shard")) else {
            return Some("the request names no shard");
        };
        let Some(fence) = fence(call.header("lagoondyke-fence")) else {
            return Some("the request has no fence");
        };
        if self.highest.borrow().get(&shard).is_some_and(|&h| fence < h) {
            return Some("the fence is older than one seen for the shard");
        }
        let grants = self.grants.borrow();
        if monotonic_ms() >= grants.until {
            return Some("the grant has ended");
        }
        let (epoch, sequence) = fence;
        if !grants.shards.contains(&(shard, epoch, sequence)) {
            return Some("the fence is not granted");
        }
        None
    }

    fn grant(&self, grants: Grants) -> Reply {
        let mut highest = self.highest.borrow_mut();
        for &(shard, epoch, sequence) in &grants.shards {
            if highest.get(&shard).is_some_and(|&h| (epoch, sequence) < h) {
                return Reply::text(
                    StatusCode::PRECONDITION_FAILED,
                    "a fence is older than one seen for its shard",
                );
            }
        }
        for &(shard, epoch, sequence) in &grants.shards {
            highest.insert(shard, (epoch, sequence));
        }
        *self.grants.borrow_mut() = grants;
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn set_cold(&self, span: u64) -> Reply {
        self.cold_until.set(monotonic_ms() + span);
        self.wake_first();
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn set_stall(&self, stall: Stall) -> Reply {
        self.stall.set(stall);
        self.stall_until.set(monotonic_ms() + stall.ms);
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn admin(&self, call: &Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::GET, "/admin/runs") => Reply::json(&*self.runs.borrow()),
            (&Method::PUT, "/admin/reset") => {
                let mut runs = self.runs.borrow_mut();
                runs.dropped += runs.runs.len() as u64;
                runs.runs.clear();
                Reply::empty(StatusCode::NO_CONTENT)
            }
            (&Method::GET, "/admin/load") => Reply::json(&self.load()),
            (&Method::PUT, "/admin/cold") if call.body.is_empty() => {
                self.set_cold(self.options.cold_ms)
            }
            (&Method::PUT, "/admin/cold") => {
                read(call, |cold: Cold| self.set_cold(cold.ms))
            }
            (&Method::PUT, "/admin/stall") => {
                read(call, |stall| self.set_stall(stall))
            }
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn own(&self, call: &Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::PUT, "/lagoondyke/grants") => {
                read(call, |grants| self.grant(grants))
            }
            (&Method::GET, "/lagoondyke/load") => {
                let loads = self.loads.borrow();
                let old = loads
                    .front()
                    .filter(|(at, _)| at + LOAD_DELAY <= monotonic_ms());
                let slots = self.options.slots;
                let idle = Load { slots, ..Load::default() };
                Reply::json(&old.map_or(idle, |&(_, load)| load))
            }
            // Health is optimistic on purpose: it never shows a cold phase,
            // a stall or an overload.
            (&Method::GET, "/lagoondyke/health") => {
                Reply::json(&BTreeMap::from([("status", "ok")]))
            }
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    /// Records that all runs in progress end now.
    fn record_crash(&self) {
        let end = monotonic_ms();
        let runs = self.runs.borrow();
        for (index, run) in runs.runs.iter().enumerate() {
            if run.end.is_some() {
                continue;
            }
            self.write_record(|| Line::End {
                process: std::process::id(),
                number: runs.dropped + index as u64,
                end,
                outcome: Outcome::Cancelled,
            });
        }
    }

    fn begin(&self, call: &Call) -> RunGuard<'_> {
        let text = |name| call.header(name).unwrap_or("").to_owned();
        let run = Run {
            id: text("x-request-id"),
            key: text("lagoondyke-key"),
            shard: number(call.header("lagoondyke-shard")),
            fence: text("lagoondyke-fence"),
            start: monotonic_ms(),
            end: None,
            outcome: Outcome::Running,
        };
        let mut runs = self.runs.borrow_mut();
        let number = runs.dropped + runs.runs.len() as u64;
        self.write_record(|| Line::Start {
            process: std::process::id(),
            number,
            run: run.clone(),
        });
        runs.runs.push_back(run);
        if runs.runs.len() > RUNS_MAX {
            runs.runs.pop_front();
            runs.dropped += 1;
        }
        RunGuard { upstream: self, number, outcome: Outcome::Cancelled }
    }

    async fn work(&self, call: &Call) -> Reply {
        if let Some(fault) = self.fence_fault(call) {
            return Reply::text(StatusCode::PRECONDITION_FAILED, fault);
        }
        let Some(_slot) = self.slot().await else {
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "full");
        };
        // The grant may have ended while the request waited.
        if let Some(fault) = self.fence_fault(call) {
            return Reply::text(StatusCode::PRECONDITION_FAILED, fault);
        }
        let mut run = self.begin(call);
        self.service().await;
        if self.options.zombie_check
            && let Some(fault) = self.fence_fault(call)
        {
            return Reply::text(StatusCode::PRECONDITION_FAILED, fault);
        }
        run.outcome = Outcome::Completed;
        drop(run);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let mut reply = Reply::empty(StatusCode::OK)
            .with("x-sequence", sequence.to_string())
            .body(call.body.clone());
        if let Some(kind) = call.headers.get("content-type") {
            reply.headers.insert("content-type", kind.clone());
        }
        reply
    }
}

impl Handler for Upstream {
    async fn answer(&self, call: Call) -> Option<Reply> {
        let path = call.uri.path();
        if path.starts_with("/admin/") {
            return Some(self.admin(&call));
        }
        if path.starts_with("/lagoondyke/") {
            return Some(self.own(&call));
        }
        if let Some(mark) = call.header("x-crash")
            && self.options.crash_on.as_deref() == Some(mark)
        {
            self.record_crash();
            std::process::exit(70);
        }
        let reply = match number::<u64>(call.header("lagoondyke-deadline")) {
            None => self.work(&call).await,
            Some(span) => monoio::select! {
                reply = self.work(&call) => reply,
                () = sleep_ms(span) => {
                    Reply::text(StatusCode::GATEWAY_TIMEOUT, "deadline")
                }
            },
        };
        Some(reply.with("x-upstream", &self.options.name))
    }

    async fn accept(&self) -> bool {
        if self.connections.get() >= self.options.connections {
            return false;
        }
        self.connections.set(self.connections.get() + 1);
        sleep_ms(self.options.connect_ms).await;
        true
    }

    fn closed(&self) {
        self.connections.set(self.connections.get() - 1);
    }
}

/// A request's place in the queue.
struct Place<'a> {
    upstream: &'a Upstream,
    ticket: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.upstream.queue.borrow_mut().remove(&self.ticket);
        self.upstream.wake_first();
    }
}

/// A slot in use.
struct Slot<'a> {
    upstream: &'a Upstream,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.upstream.busy.set(self.upstream.busy.get() - 1);
        self.upstream.wake_first();
    }
}

/// A run in progress; records its end when dropped.
struct RunGuard<'a> {
    upstream: &'a Upstream,
    number: u64,
    outcome: Outcome,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let (number, outcome) = (self.number, self.outcome);
        let end = monotonic_ms();
        self.upstream.write_record(|| Line::End {
            process: std::process::id(),
            number,
            end,
            outcome,
        });
        let mut runs = self.upstream.runs.borrow_mut();
        let Some(index) = number.checked_sub(runs.dropped) else {
            return;
        };
        if let Some(run) = runs.runs.get_mut(index as usize) {
            run.end = Some(end);
            run.outcome = outcome;
        }
    }
}

/// Answers with what `then` makes of the body as JSON.
fn read<T: DeserializeOwned>(
    call: &Call,
    then: impl FnOnce(T) -> Reply,
) -> Reply {
    match serde_json::from_slice(&call.body) {
        Ok(value) => then(value),
        Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

fn number<T: std::str::FromStr>(text: Option<&str>) -> Option<T> {
    text?.parse().ok()
}

fn fence(text: Option<&str>) -> Option<(u32, u32)> {
    let (epoch, sequence) = text?.split_once('.')?;
    Some((epoch.parse().ok()?, sequence.parse().ok()?))
}
