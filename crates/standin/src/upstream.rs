//! Stand-in for an upstream. It simulates limited concurrency, cold starts,
//! stalls and crashes, and checks fences.
//!
//! A request for any path except those under `/admin/` and `/lagoondyke/` is
//! work: it occupies a slot for the service time, and its body is echoed.
//! Each run is recorded and returned by `GET /admin/runs`, so that a checker
//! can find overlapping runs of one key at two upstreams and repeated runs of
//! one id. `PUT /admin/stall` takes a [`Stall`]; `PUT /admin/cold` starts or
//! ends a cold phase; `PUT /admin/reset` discards the recorded runs; `GET
//! /admin/load` returns the present [`Load`].

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

/// Number of runs that are kept in memory. Older ones are dropped, and their
/// number is reported.
const MAX_RUN_COUNT: usize = 1_000_000;

/// Least age of the load that `GET /lagoondyke/load` reports. Until a sample
/// is that old, the upstream is reported as idle.
pub const LOAD_DELAY_MS: u64 = 2_000;

/// Interval at which the load is sampled.
const LOAD_SAMPLE_INTERVAL_MS: u64 = 100;

/// Ratio by which the service time is longer during a cold phase.
const COLD_SLOWDOWN_RATIO: u64 = 4;

/// Ratio by which the service time is longer after an overload during a cold
/// phase; it replaces [`COLD_SLOWDOWN_RATIO`].
const COLLAPSE_SLOWDOWN_RATIO: u64 = 10;

/// Time for which an overload during a cold phase slows the upstream down.
const COLLAPSE_MS: u64 = 2_000;

/// Interval at which stalled work checks whether the stall has ended.
const STALL_POLL_MS: u64 = 5;

/// Capacity, timing and checks of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, sent in the header `X-Upstream` of each answer to work.
    pub name: String,
    /// Number of requests that run at once when the upstream is warm.
    pub slots: usize,
    /// Number of requests that may wait for a slot; more are answered 503.
    pub queue: usize,
    /// Number of connections that are open at once; more are closed when
    /// they are accepted.
    pub connections: usize,
    /// Time before the first request of a new connection is read, in
    /// milliseconds.
    pub connect_ms: u64,
    /// Mean service time of a warm upstream, in milliseconds. The service
    /// time of each run is from 80% to 120% of it.
    pub service_ms: u64,
    /// Duration of a cold phase, in milliseconds, including the one after
    /// the start; 0 to start warm.
    pub cold_ms: u64,
    /// Number of requests that run at once during a cold phase; at least 1.
    pub cold_slots: usize,
    /// Whether work is refused with 412 unless its fence is covered by an
    /// unexpired grant.
    pub fenced: bool,
    /// Whether the fence is checked again when the work ends, so that work
    /// whose grant ended while the process was suspended is not acknowledged.
    pub recheck_fence: bool,
    /// A request with this value of the header `X-Crash` ends the process;
    /// none does if absent.
    pub crash_on: Option<String>,
    /// Seed of the random service times.
    pub seed: u64,
    /// File that runs are appended to, if any, so that the runs of a killed
    /// process can be checked; see [`read_record`].
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
            recheck_fence: false,
            crash_on: None,
            seed: 0,
            record: None,
        }
    }
}

/// The body of `PUT /admin/stall`: a period in which work is slow or does not
/// complete. It replaces an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Stall {
    /// Duration from now, in milliseconds; 0 ends a stall.
    pub ms: u64,
    /// Factor by which the service time is longer; 0 if no work completes
    /// until the end of the stall.
    pub factor: u64,
}

/// The body of `PUT /admin/cold`. Without a body, the phase lasts for the
/// `cold_ms` of the options.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdPhase {
    /// Duration of the phase from now, in milliseconds; 0 ends it.
    pub ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It has not ended, or no end was recorded before a kill.
    Running,
    /// It ran for its whole service time, and its answer was ready to be
    /// sent.
    Completed,
    /// It was cut off: its client closed the connection, its deadline passed,
    /// its grant ended or the process crashed.
    Cancelled,
}

/// One execution of a request, from the time at which it took a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Value of the header `X-Request-Id`; empty if absent.
    pub id: String,
    /// Value of the header `Lagoondyke-Key`; empty if absent.
    pub key: String,
    /// Value of the header `Lagoondyke-Shard`, if it is a number.
    pub shard: Option<u16>,
    /// Value of the header `Lagoondyke-Fence`; empty if absent.
    pub fence: String,
    /// When it took a slot, in milliseconds of `CLOCK_MONOTONIC`.
    pub start: u64,
    /// When it ended, in milliseconds of `CLOCK_MONOTONIC`; `None` while it
    /// runs.
    pub end: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
}

/// The answer of `GET /admin/runs`: runs since the start or the last reset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Name of the upstream.
    pub name: String,
    /// Number of runs that were dropped from memory, by a reset or as the
    /// oldest ones.
    pub dropped: u64,
    /// The runs, in the order of their starts.
    pub runs: VecDeque<Run>,
}

/// The body of `PUT /lagoondyke/grants`, which replaces all earlier grants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// When the grants expire, in milliseconds of `CLOCK_MONOTONIC`.
    pub until: u64,
    /// Each granted shard with the epoch and the sequence of its fence.
    pub shards: Vec<(u16, u32, u32)>,
}

/// The answer of `GET /lagoondyke/load`, and of `GET /admin/load` without the
/// delay.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Load {
    /// Number of requests that run.
    pub busy: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Number of requests that may run at once; fewer during a cold phase.
    pub slots: usize,
    /// Number of requests refused since the start because the queue was full.
    #[serde(default)]
    pub refused: u64,
    /// Number of those that were refused during a cold phase. Each slows the
    /// upstream down, and the phase then lasts for at least the `cold_ms` of
    /// the options from that time on.
    #[serde(default)]
    pub collapses: u64,
}

/// A line of the record file. Together, `process` and `number` identify a run
/// in a file that several processes have appended to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RecordLine {
    /// A run began.
    Start { process: u32, number: u64, run: Run },
    /// A run ended.
    End { process: u32, number: u64, end: u64, outcome: Outcome },
}

/// Reads the runs that the processes of an upstream appended to its record
/// file. An incomplete last line, cut off by a kill, is ignored.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a complete line is
/// malformed.
pub fn read_record(path: &Path) -> io::Result<Vec<Run>> {
    let text = std::fs::read_to_string(path)?;
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut runs = Vec::new();
    let mut run_indexes = BTreeMap::new();
    for line in complete.lines() {
        match serde_json::from_str(line)? {
            RecordLine::Start { process, number, run } => {
                run_indexes.insert((process, number), runs.len());
                runs.push(run);
            }
            RecordLine::End { process, number, end, outcome } => {
                let Some(&index) = run_indexes.get(&(process, number)) else {
                    continue;
                };
                let run: &mut Run = &mut runs[index];
                run.end = Some(end);
                run.outcome = outcome;
            }
        }
    }
    Ok(runs)
}

/// An upstream that keeps its state in memory. It runs on one thread.
#[derive(Debug)]
pub struct Upstream {
    options: Options,
    busy: Cell<usize>,
    connections: Cell<usize>,
    cold_until: Cell<u64>,
    collapsed_until: Cell<u64>,
    stall: Cell<Stall>,
    stall_until: Cell<u64>,
    next_ticket: Cell<u64>,
    // Waiting requests by ticket, which is their order of arrival.
    queue: RefCell<BTreeMap<u64, Option<Waker>>>,
    runs: RefCell<Runs>,
    grants: RefCell<Grants>,
    // Highest fence that was granted for each shard.
    highest_fences: RefCell<BTreeMap<u16, (u32, u32)>>,
    // With the times of the samples, the oldest first.
    load_samples: RefCell<VecDeque<(u64, Load)>>,
    // Number of completed runs, sent in the header `X-Sequence`.
    sequence: Cell<u64>,
    refused: Cell<u64>,
    collapses: Cell<u64>,
    record: Option<RefCell<File>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Serves a new upstream on `listener` until the runtime ends.
///
/// # Errors
///
/// Returns an error if the record file cannot be opened or the listener can
/// accept no more connections.
pub async fn run(listener: TcpListener, options: Options) -> io::Result<()> {
    let upstream = Rc::new(Upstream::new(options)?);
    monoio::spawn(sample_loads(Rc::clone(&upstream)));
    serve(listener, upstream).await
}

/// Serves a new upstream on a free loopback port as a task of the current
/// runtime, and returns its address.
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

async fn sample_loads(upstream: Rc<Upstream>) {
    loop {
        upstream.sample_load();
        sleep_ms(LOAD_SAMPLE_INTERVAL_MS).await;
    }
}

impl Upstream {
    /// An upstream whose cold phase, if it has one, begins now.
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
            next_ticket: Cell::default(),
            queue: RefCell::default(),
            runs: RefCell::new(Runs { name, ..Runs::default() }),
            grants: RefCell::default(),
            highest_fences: RefCell::default(),
            load_samples: RefCell::default(),
            sequence: Cell::default(),
            refused: Cell::default(),
            collapses: Cell::default(),
            record,
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            options,
        })
    }

    /// Appends a line to the record file, if there is one.
    fn write_record(&self, line: impl FnOnce() -> RecordLine) {
        let Some(file) = &self.record else { return };
        let mut text = serde_json::to_vec(&line())
            .expect("a record line encodes as JSON");
        text.push(b'\n');
        // Each line is written at once with one call, so that a kill cannot
        // lose a whole line. A checker would take a missing run for a fault
        // of the router.
        file.borrow_mut()
            .write_all(&text)
            .expect("the record file is writable");
    }

    fn is_cold(&self) -> bool {
        monotonic_ms() < self.cold_until.get()
    }

    fn slots(&self) -> usize {
        if self.is_cold() {
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

    /// Adds the present load to the samples. Of the samples that are old
    /// enough to be reported, only the newest is kept, at the front.
    fn sample_load(&self) {
        let now = monotonic_ms();
        let mut load_samples = self.load_samples.borrow_mut();
        load_samples.push_back((now, self.load()));
        while load_samples
            .get(1)
            .is_some_and(|(at, _)| at + LOAD_DELAY_MS <= now)
        {
            load_samples.pop_front();
        }
    }

    /// Takes a slot, after waiting in order of arrival if none is free.
    /// Returns `None` if the queue is full.
    async fn acquire_slot(&self) -> Option<SlotGuard<'_>> {
        if self.queue.borrow().len() >= self.options.queue {
            self.refused.set(self.refused.get() + 1);
            if self.is_cold() {
                self.collapses.set(self.collapses.get() + 1);
                // Overload slows a cold upstream down and keeps it cold.
                let now = monotonic_ms();
                self.collapsed_until.set(now + COLLAPSE_MS);
                let until = now + self.options.cold_ms;
                self.cold_until.set(until.max(self.cold_until.get()));
            }
            return None;
        }
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        self.queue.borrow_mut().insert(ticket, None);
        let queue_entry = QueueEntry { upstream: self, ticket };
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
        drop(queue_entry);
        Some(SlotGuard { upstream: self })
    }

    /// Wakes the request that is first in the queue, to check for a free slot.
    fn wake_first(&self) {
        let mut queue = self.queue.borrow_mut();
        if let Some(mut first) = queue.first_entry()
            && let Some(waker) = first.get_mut().take()
        {
            waker.wake();
        }
    }

    /// Draws the service time of a run in the present state of the upstream.
    fn draw_service_ms(&self) -> u64 {
        let now = monotonic_ms();
        let mut mean_ms = self.options.service_ms;
        if mean_ms == 0 {
            return 0;
        }
        if now < self.collapsed_until.get() {
            mean_ms *= COLLAPSE_SLOWDOWN_RATIO;
        } else if self.is_cold() {
            mean_ms *= COLD_SLOWDOWN_RATIO;
        }
        if now < self.stall_until.get() {
            mean_ms *= self.stall.get().factor.max(1);
        }
        // In tenths of the mean, rounded up, so that times of a few
        // milliseconds vary too.
        let tenths = self.rng.borrow_mut().random_range(8..=12);
        (mean_ms * tenths).div_ceil(10)
    }

    async fn simulate_service(&self) {
        sleep_ms(self.draw_service_ms()).await;
        // Poll, because a stall can be ended early.
        while self.stall.get().factor == 0
            && monotonic_ms() < self.stall_until.get()
        {
            sleep_ms(STALL_POLL_MS).await;
        }
    }

    /// Why a request's fence is refused; `None` if it is accepted.
    fn fence_error(&self, call: &Call) -> Option<&'static str> {
        if !self.options.fenced {
            return None;
        }
        let Some(shard) = parse_number(call.header("lagoondyke-shard")) else {
            return Some("the request names no shard");
        };
        let Some(fence) = parse_fence(call.header("lagoondyke-fence")) else {
            return Some("the request has no fence");
        };
        if self.highest_fences.borrow().get(&shard).is_some_and(|&h| fence < h)
        {
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

    /// Replaces the grants, unless one has an older fence than was granted for
    /// its shard before.
    fn set_grants(&self, grants: Grants) -> Reply {
        let mut highest_fences = self.highest_fences.borrow_mut();
        for &(shard, epoch, sequence) in &grants.shards {
            if highest_fences
                .get(&shard)
                .is_some_and(|&h| (epoch, sequence) < h)
            {
                return Reply::text(
                    StatusCode::PRECONDITION_FAILED,
                    "a fence is older than one seen for its shard",
                );
            }
        }
        for &(shard, epoch, sequence) in &grants.shards {
            highest_fences.insert(shard, (epoch, sequence));
        }
        *self.grants.borrow_mut() = grants;
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn set_cold(&self, duration_ms: u64) -> Reply {
        self.cold_until.set(monotonic_ms() + duration_ms);
        self.wake_first();
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn set_stall(&self, stall: Stall) -> Reply {
        self.stall.set(stall);
        self.stall_until.set(monotonic_ms() + stall.ms);
        Reply::empty(StatusCode::NO_CONTENT)
    }

    /// Answers a request under `/admin/`.
    fn handle_admin(&self, call: &Call) -> Reply {
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
                with_json(call, |cold: ColdPhase| self.set_cold(cold.ms))
            }
            (&Method::PUT, "/admin/stall") => {
                with_json(call, |stall| self.set_stall(stall))
            }
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    /// Answers a request under `/lagoondyke/`, the protocol between a node and
    /// its upstream.
    fn handle_protocol(&self, call: &Call) -> Reply {
        match (&call.method, call.uri.path()) {
            (&Method::PUT, "/lagoondyke/grants") => {
                with_json(call, |grants| self.set_grants(grants))
            }
            (&Method::GET, "/lagoondyke/load") => {
                let load_samples = self.load_samples.borrow();
                let reported = load_samples
                    .front()
                    .filter(|(at, _)| at + LOAD_DELAY_MS <= monotonic_ms());
                let slots = self.options.slots;
                let idle = Load { slots, ..Load::default() };
                Reply::json(&reported.map_or(idle, |&(_, load)| load))
            }
            // Health is always reported as ok on purpose: it must not reveal a
            // cold phase, a stall or an overload.
            (&Method::GET, "/lagoondyke/health") => {
                Reply::json(&BTreeMap::from([("status", "ok")]))
            }
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }

    /// Records that all runs in progress end now, because the process exits.
    fn record_crash(&self) {
        let end = monotonic_ms();
        let runs = self.runs.borrow();
        for (index, run) in runs.runs.iter().enumerate() {
            if run.end.is_some() {
                continue;
            }
            self.write_record(|| RecordLine::End {
                process: std::process::id(),
                number: runs.dropped + index as u64,
                end,
                outcome: Outcome::Cancelled,
            });
        }
    }

    /// Records the start of a run.
    fn begin_run(&self, call: &Call) -> RunGuard<'_> {
        let text = |name| call.header(name).unwrap_or("").to_owned();
        let run = Run {
            id: text("x-request-id"),
            key: text("lagoondyke-key"),
            shard: parse_number(call.header("lagoondyke-shard")),
            fence: text("lagoondyke-fence"),
            start: monotonic_ms(),
            end: None,
            outcome: Outcome::Running,
        };
        let mut runs = self.runs.borrow_mut();
        let number = runs.dropped + runs.runs.len() as u64;
        self.write_record(|| RecordLine::Start {
            process: std::process::id(),
            number,
            run: run.clone(),
        });
        runs.runs.push_back(run);
        if runs.runs.len() > MAX_RUN_COUNT {
            runs.runs.pop_front();
            runs.dropped += 1;
        }
        RunGuard { upstream: self, number, outcome: Outcome::Cancelled }
    }

    /// Waits for a slot, runs a request for work and returns its answer.
    async fn execute(&self, call: &Call) -> Reply {
        if let Some(error) = self.fence_error(call) {
            return Reply::text(StatusCode::PRECONDITION_FAILED, error);
        }
        let Some(_slot) = self.acquire_slot().await else {
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "full");
        };
        // The grant may have ended while the request waited for the slot.
        if let Some(error) = self.fence_error(call) {
            return Reply::text(StatusCode::PRECONDITION_FAILED, error);
        }
        let mut run = self.begin_run(call);
        self.simulate_service().await;
        if self.options.recheck_fence
            && let Some(error) = self.fence_error(call)
        {
            return Reply::text(StatusCode::PRECONDITION_FAILED, error);
        }
        run.outcome = Outcome::Completed;
        drop(run);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let mut reply = Reply::empty(StatusCode::OK)
            .with_header("x-sequence", sequence.to_string())
            .with_body(call.body.clone());
        if let Some(kind) = call.headers.get("content-type") {
            reply.headers.insert("content-type", kind.clone());
        }
        reply
    }

    /// Answers a request, without the header that names it.
    async fn reply(&self, call: &Call) -> Reply {
        let path = call.uri.path();
        if path.starts_with("/admin/") {
            return self.handle_admin(call);
        }
        if path.starts_with("/lagoondyke/") {
            return self.handle_protocol(call);
        }
        if let Some(mark) = call.header("x-crash")
            && self.options.crash_on.as_deref() == Some(mark)
        {
            self.record_crash();
            std::process::exit(70);
        }
        let reply =
            match parse_number::<u64>(call.header("lagoondyke-deadline")) {
                None => self.execute(call).await,
                Some(deadline_ms) => monoio::select! {
                    reply = self.execute(call) => reply,
                    () = sleep_ms(deadline_ms) => {
                        Reply::text(StatusCode::GATEWAY_TIMEOUT, "deadline")
                    }
                },
            };
        reply.with_header("x-upstream", &self.options.name)
    }
}

impl Handler for Upstream {
    async fn handle(&self, call: Call) -> Option<Reply> {
        let mut reply = self.reply(&call).await;
        if let Some(id) = call.headers.get("lagoondyke-request") {
            reply.headers.insert("lagoondyke-request", id.clone());
        }
        Some(reply)
    }

    async fn accept(&self) -> bool {
        if self.connections.get() >= self.options.connections {
            return false;
        }
        self.connections.set(self.connections.get() + 1);
        sleep_ms(self.options.connect_ms).await;
        true
    }

    fn on_close(&self) {
        self.connections.set(self.connections.get() - 1);
    }
}

/// Entry of a waiting request in the queue. Dropping it removes the entry.
struct QueueEntry<'a> {
    upstream: &'a Upstream,
    ticket: u64,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.upstream.queue.borrow_mut().remove(&self.ticket);
        self.upstream.wake_first();
    }
}

/// A slot in use. Dropping it frees the slot.
struct SlotGuard<'a> {
    upstream: &'a Upstream,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.upstream.busy.set(self.upstream.busy.get() - 1);
        self.upstream.wake_first();
    }
}

/// A run in progress. Dropping it records the end of the run, with
/// [`Outcome::Cancelled`] unless `outcome` was set before.
struct RunGuard<'a> {
    upstream: &'a Upstream,
    number: u64,
    outcome: Outcome,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let (number, outcome) = (self.number, self.outcome);
        let end = monotonic_ms();
        self.upstream.write_record(|| RecordLine::End {
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

/// Passes the body, parsed as JSON, to `respond` and returns its answer.
/// Answers 400 if the body is malformed.
fn with_json<T: DeserializeOwned>(
    call: &Call,
    respond: impl FnOnce(T) -> Reply,
) -> Reply {
    match serde_json::from_slice(&call.body) {
        Ok(value) => respond(value),
        Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

fn parse_number<T: std::str::FromStr>(text: Option<&str>) -> Option<T> {
    text?.parse().ok()
}

fn parse_fence(text: Option<&str>) -> Option<(u32, u32)> {
    let (epoch, sequence) = text?.split_once('.')?;
    Some((epoch.parse().ok()?, sequence.parse().ok()?))
}
