//! Generator of open-loop and closed-loop load, and what its callers saw.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use hdrhistogram::Histogram;
use http::Method;
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::CallError;
use lagoondyke_standin::server::Reply;
use lagoondyke_standin::time::{monotonic_us, sleep_ms};
use monoio::net::udp::UdpSocket;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::pool::Pool;

/// Time after a request's deadline for which its caller still waits for an
/// answer or a refusal.
const RESPONSE_GRACE_MS: u64 = 1_000;

/// How the target of a request is chosen. Another one is tried only while
/// connections are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPolicy {
    /// Each target in turn.
    RoundRobin,
    /// A target at random, all with the same probability.
    Random,
}

/// Requests to send to a set of targets.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Addresses of nodes, or of upstreams to bypass the nodes.
    pub targets: Vec<SocketAddr>,
    /// How the first target of a request is chosen.
    pub policy: TargetPolicy,
    /// Requests per second of all threads together, for an open loop; 0 for
    /// a closed loop.
    pub rate: f64,
    /// Requests that each thread of a closed loop keeps in flight.
    pub workers: usize,
    /// Time during which requests are sent.
    pub duration_ms: u64,
    /// Number of requests after which the load ends early; `u64::MAX` for no
    /// limit.
    pub max_requests: u64,
    /// Value of the header `Lagoondyke-Service`.
    pub service: String,
    /// Keys that requests are for, all with the same probability except for
    /// `hot_share`.
    pub keys: Vec<u32>,
    /// Share of requests, from 0 to 1, that go to the first key in addition
    /// to its even share of the others.
    pub hot_share: f64,
    /// Whether every second request is a POST without an idempotency key,
    /// which must not run twice; the others are PUTs.
    pub posts: bool,
    /// Size of each request's body.
    pub body_bytes: usize,
    /// Value of the header `Lagoondyke-Deadline`.
    pub deadline_ms: u64,
    /// Partners that requests are sent for, all with the same probability;
    /// if empty, requests name no partner.
    pub partners: Vec<String>,
    /// Number of threads that send.
    pub threads: u64,
    /// Connections that each thread opens to each target at most.
    pub connections: usize,
    /// Start of each request's id, followed by `-` and its number.
    pub id_prefix: String,
    /// Seed of the random choices of keys, partners and targets.
    pub seed: u64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            policy: TargetPolicy::RoundRobin,
            rate: 100.0,
            workers: 1,
            duration_ms: 10_000,
            max_requests: u64::MAX,
            service: String::new(),
            keys: (0..200).collect(),
            hot_share: 0.0,
            posts: true,
            body_bytes: 64,
            deadline_ms: 5_000,
            partners: Vec::new(),
            threads: 1,
            connections: 256,
            id_prefix: "r".to_owned(),
            seed: 1,
        }
    }
}

/// What a caller learned about its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The upstream answered with success.
    Answered,
    /// The request was refused with the verdict not-run.
    NotRun,
    /// The request was refused with the verdict may-have-run, or answered
    /// with another status without a verdict.
    MayHaveRun,
    /// No complete answer came in time, or the connection ended before.
    Lost,
    /// No target accepted a connection, so nothing was sent.
    Unsent,
}

/// One request as its caller saw it. Times are those of `CLOCK_MONOTONIC`.
/// The names of the fields are part of the file that `Cluster::save_samples`
/// writes.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of the request, which ends its id.
    pub number: u64,
    /// Number of its key; see [`key_name`].
    pub key: u32,
    /// Whether it was a POST without an idempotency key, which must not run
    /// twice.
    pub is_post: bool,
    /// Index of its partner in `Workload::partners`; 0 without partners.
    pub partner: usize,
    /// Intended send time; latency counts from it.
    pub due_us: u64,
    /// When its answer, refusal or failure was received.
    pub done_us: u64,
    /// What its caller learned.
    pub outcome: CallOutcome,
    /// The header `X-Upstream` of the answer, if there is one.
    pub upstream: Option<Box<str>>,
    /// Status, reason and detail of a refusal, or the error of a failed
    /// call; empty for an answered request.
    pub reason: String,
}

/// A load in progress on threads of its own.
#[derive(Debug)]
pub struct RunningLoad {
    threads: Vec<JoinHandle<io::Result<Vec<Sample>>>>,
}

impl RunningLoad {
    /// Waits for the end of the load. Returns all samples in the order of
    /// their intended send times.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread could not create or use its wake-up
    /// socket.
    ///
    /// # Panics
    ///
    /// Panics if a load thread panicked.
    pub fn join(self) -> io::Result<Vec<Sample>> {
        let mut samples = Vec::new();
        for thread in self.threads {
            let part = thread.join().expect("a load thread panicked");
            samples.append(&mut part?);
        }
        samples.sort_by_key(|s| s.due_us);
        Ok(samples)
    }
}

impl Workload {
    /// Starts the load on threads of its own, 20 ms from now, so that all
    /// threads are set up at the start.
    #[must_use]
    pub fn start(&self) -> RunningLoad {
        let start_us = monotonic_us() + 20_000;
        let mut threads = Vec::new();
        for index in 0..self.threads {
            let load = self.clone();
            threads.push(std::thread::spawn(move || {
                block_on(run_thread(load, index, start_us))
            }));
        }
        RunningLoad { threads }
    }

    /// Runs the load to its end and returns all samples in the order of their
    /// intended send times.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread could not create or use its wake-up
    /// socket.
    pub fn run(&self) -> io::Result<Vec<Sample>> {
        self.start().join()
    }

    /// Number of requests that all threads of an open loop send together.
    fn request_count(&self) -> u64 {
        let count = self.rate * self.duration_ms as f64 / 1_000.0;
        (count as u64).min(self.max_requests)
    }

    /// Intended send time of request `n`, relative to the start.
    fn due_us(&self, n: u64) -> u64 {
        (n as f64 * 1e6 / self.rate) as u64
    }
}

async fn run_thread(
    load: Workload,
    index: u64,
    start_us: u64,
) -> io::Result<Vec<Sample>> {
    let sender = Rc::new(RequestSender::new(load, index));
    if sender.load.rate > 0.0 {
        open_loop(&sender, index, start_us).await?;
    } else {
        closed_loop(&sender, index, start_us).await;
    }
    Ok(sender.samples.take())
}

/// Sends each request at its intended time. The runtime's timers have a
/// resolution of 1 ms, so a separate thread keeps time with microseconds and
/// wakes this one through a UDP socket.
async fn open_loop(
    sender: &Rc<RequestSender>,
    index: u64,
    start_us: u64,
) -> io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let addr = socket.local_addr()?;
    let load = sender.load.clone();
    let pacer = std::thread::spawn(move || {
        pace_requests(&load, index, start_us, addr)
    });
    let (count, thread_count) =
        (sender.load.request_count(), sender.load.threads);
    let (mut n, mut calls) = (index, Vec::new());
    let mut buffer = vec![0_u8; 16];
    while n < count {
        monoio::select! {
            (result, returned) = socket.recv_from(buffer) => {
                result?;
                buffer = returned;
            }
            // The wake-up datagram is lost if the socket's buffer is full, so
            // look at the clock from time to time.
            () = sleep_ms(50) => buffer = vec![0_u8; 16],
        }
        let now = monotonic_us();
        while n < count && start_us + sender.load.due_us(n) <= now {
            let due_us = start_us + sender.load.due_us(n);
            let sender = Rc::clone(sender);
            calls.push(monoio::spawn(async move {
                sender.send_request(n, due_us).await;
            }));
            n += thread_count;
        }
    }
    for call in calls {
        call.await;
    }
    pacer.join().expect("the pacing thread panicked")
}

/// Sends a datagram to `addr` at the intended send time of each request.
fn pace_requests(
    load: &Workload,
    index: u64,
    start_us: u64,
    addr: SocketAddr,
) -> io::Result<()> {
    let socket = StdSocket::bind("127.0.0.1:0")?;
    let mut n = index;
    while n < load.request_count() {
        let wait = (start_us + load.due_us(n)).saturating_sub(monotonic_us());
        if wait > 0 {
            std::thread::sleep(Duration::from_micros(wait));
        }
        let now = monotonic_us();
        while n < load.request_count() && start_us + load.due_us(n) <= now {
            n += load.threads;
        }
        // A full buffer holds other wake-ups, so this one is not needed.
        let _ = socket.send_to(&[0], addr);
    }
    Ok(())
}

/// Keeps a fixed number of requests in flight until the load ends.
async fn closed_loop(sender: &Rc<RequestSender>, index: u64, start_us: u64) {
    let end_us = start_us + sender.load.duration_ms * 1_000;
    let next = Rc::new(Cell::new(index));
    let mut workers = Vec::new();
    for _ in 0..sender.load.workers {
        let (sender, next) = (Rc::clone(sender), Rc::clone(&next));
        workers.push(monoio::spawn(async move {
            while monotonic_us() < end_us {
                let n = next.replace(next.get() + sender.load.threads);
                if n >= sender.load.max_requests {
                    return;
                }
                sender.send_request(n, monotonic_us()).await;
            }
        }));
    }
    for worker in workers {
        worker.await;
    }
}

/// Sends the requests of one thread and collects their samples.
#[derive(Debug)]
struct RequestSender {
    load: Workload,
    pools: Vec<Pool>,
    rng: RefCell<Pcg64Mcg>,
    samples: RefCell<Vec<Sample>>,
}

impl RequestSender {
    fn new(load: Workload, index: u64) -> Self {
        let mut pools = Vec::new();
        for &addr in &load.targets {
            pools.push(Pool::new(addr, load.connections));
        }
        let rng = Pcg64Mcg::seed_from_u64(load.seed ^ (index << 32));
        let (rng, samples) = (RefCell::new(rng), RefCell::default());
        Self { load, pools, rng, samples }
    }

    /// Draws the key, the partner's index and the first target's index for
    /// request `n`.
    fn draw(&self, n: u64) -> (u32, usize, usize) {
        let load = &self.load;
        let mut rng = self.rng.borrow_mut();
        let key = if rng.random::<f64>() < load.hot_share {
            load.keys[0]
        } else {
            load.keys[rng.random_range(0..load.keys.len())]
        };
        let partner = rng.random_range(0..load.partners.len().max(1));
        let target = match load.policy {
            TargetPolicy::RoundRobin => (n % self.pools.len() as u64) as usize,
            TargetPolicy::Random => rng.random_range(0..self.pools.len()),
        };
        (key, partner, target)
    }

    async fn send_request(&self, n: u64, due_us: u64) {
        let (key, partner, target) = self.draw(n);
        let is_post = self.load.posts && n % 2 == 1;
        let timeout =
            Duration::from_millis(self.load.deadline_ms + RESPONSE_GRACE_MS);
        let call = self.try_targets(n, key, partner, is_post, target);
        let answer = monoio::time::timeout(timeout, call)
            .await
            .unwrap_or(Err(CallError::Timeout));
        let upstream = answer
            .as_ref()
            .ok()
            .and_then(|reply| reply.header("x-upstream").map(Box::from));
        let (outcome, reason) = classify(&answer);
        let done_us = monotonic_us();
        self.samples.borrow_mut().push(Sample {
            number: n,
            key,
            is_post,
            partner,
            due_us,
            done_us,
            outcome,
            upstream,
            reason,
        });
    }

    /// Sends a request to `target`, or to the next target that accepts a
    /// connection. Only failed connects are retried: nothing was sent then.
    async fn try_targets(
        &self,
        n: u64,
        key: u32,
        partner: usize,
        is_post: bool,
        target: usize,
    ) -> Result<Reply, CallError> {
        let id = format!("{}-{n}", self.load.id_prefix);
        let key = key_name(key);
        let deadline = self.load.deadline_ms.to_string();
        let mut headers = vec![
            ("lagoondyke-service", &*self.load.service),
            ("lagoondyke-key", &*key),
            ("lagoondyke-deadline", &*deadline),
            ("x-request-id", &*id),
        ];
        if let Some(name) = self.load.partners.get(partner) {
            headers.push(("lagoondyke-partner", name));
        }
        let method = if is_post { Method::POST } else { Method::PUT };
        let mut connect_error = CallError::Connect("no target".to_owned());
        for index in 0..self.pools.len() {
            let pool = &self.pools[(target + index) % self.pools.len()];
            let mut pooled = match pool.acquire().await {
                Ok(pooled) => pooled,
                Err(e) => {
                    connect_error = e;
                    continue;
                }
            };
            let body = vec![b'x'; self.load.body_bytes];
            let client = pooled.client();
            let reply = client.call(method, "/orders", &headers, body).await?;
            pooled.release();
            return Ok(reply);
        }
        Err(connect_error)
    }
}

/// Value of the header `Lagoondyke-Key` for the key with this number.
#[must_use]
pub fn key_name(key: u32) -> String {
    format!("key-{key}")
}

/// The members of a refusal's problem document (RFC 9457) that samples
/// report.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    verdict: Option<String>,
    reason: Option<String>,
    title: Option<String>,
    detail: Option<String>,
}

/// Derives what the caller learned, and the reason unless it was answered.
fn classify(answer: &Result<Reply, CallError>) -> (CallOutcome, String) {
    let reply = match answer {
        Ok(r) if r.ok() => return (CallOutcome::Answered, String::new()),
        Ok(reply) => reply,
        Err(e @ CallError::Connect(_)) => {
            return (CallOutcome::Unsent, e.to_string());
        }
        Err(e) => return (CallOutcome::Lost, e.to_string()),
    };
    let problem: Problem = reply.parse_json().unwrap_or_default();
    let outcome = match problem.verdict.as_deref() {
        Some("not-run") => CallOutcome::NotRun,
        // An upstream that is called directly refuses with these statuses and
        // sends no problem document.
        None if reply.has_status(503) || reply.has_status(412) => {
            CallOutcome::NotRun
        }
        _ => CallOutcome::MayHaveRun,
    };
    let reason = problem.reason.or(problem.title).unwrap_or_default();
    let detail = problem.detail.unwrap_or_default();
    (outcome, format!("{} {reason}: {detail}", reply.code()))
}

/// Distribution of the latency of answered requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Latency of the answered requests among `samples`, counted from their
/// intended send times, so that a stalled target shows in it.
///
/// # Panics
///
/// Never panics: the histogram resizes itself.
#[must_use]
pub fn latency<'a>(samples: impl IntoIterator<Item = &'a Sample>) -> Latency {
    let mut hist =
        Histogram::<u64>::new(3).expect("3 significant digits are valid");
    for sample in samples {
        if sample.outcome == CallOutcome::Answered {
            hist += sample.done_us.saturating_sub(sample.due_us);
        }
    }
    let ms = |us: u64| us as f64 / 1_000.0;
    Latency {
        p50_ms: ms(hist.value_at_quantile(0.5)),
        p99_ms: ms(hist.value_at_quantile(0.99)),
        max_ms: ms(hist.max()),
    }
}

/// Number of requests with this outcome.
#[must_use]
pub fn count_outcome(samples: &[Sample], outcome: CallOutcome) -> usize {
    samples.iter().filter(|s| s.outcome == outcome).count()
}

/// The six most frequent reasons of refusals and failures with their counts,
/// the most frequent first.
#[must_use]
pub fn top_reasons(samples: &[Sample]) -> Vec<(String, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    for sample in samples.iter().filter(|s| s.outcome != CallOutcome::Answered)
    {
        *counts.entry(sample.reason.clone()).or_insert(0) += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(6);
    counts
}
