//! Open-loop and closed-loop load.

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

/// Time beyond its deadline after which a caller gives up, in milliseconds.
const GRACE: u64 = 1_000;

/// How a caller chooses the target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// One after the other.
    RoundRobin,
    /// At random.
    Random,
}

/// A load to put on targets.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses that take requests.
    pub targets: Vec<SocketAddr>,
    /// How one is chosen.
    pub pick: Pick,
    /// Requests per second; 0 for a closed loop.
    pub rate: f64,
    /// Workers of a closed loop, per thread.
    pub workers: usize,
    /// Length, in milliseconds.
    pub span: u64,
    /// Largest number of requests in all, if limited.
    pub most: u64,
    /// The header `Lagoondyke-Service`.
    pub service: String,
    /// Keys to choose from evenly.
    pub keys: Vec<u32>,
    /// Share of requests for the first key.
    pub hot: f64,
    /// Whether every second request is a POST without an idempotency key.
    pub posts: bool,
    /// Size of the body, in bytes.
    pub body: usize,
    /// The header `Lagoondyke-Deadline`, in milliseconds.
    pub deadline: u64,
    /// Partners to choose from evenly.
    pub partners: Vec<String>,
    /// Threads.
    pub threads: u64,
    /// Connections per thread and target.
    pub connections: usize,
    /// Start of each request's id.
    pub tag: String,
    /// Seed of all choices.
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            pick: Pick::RoundRobin,
            rate: 100.0,
            workers: 1,
            span: 10_000,
            most: u64::MAX,
            service: String::new(),
            keys: (0..200).collect(),
            hot: 0.0,
            posts: true,
            body: 64,
            deadline: 5_000,
            partners: Vec::new(),
            threads: 1,
            connections: 256,
            tag: "r".to_owned(),
            seed: 1,
        }
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// A complete answer of the upstream.
    Answered,
    /// A refusal with the verdict not-run.
    NotRun,
    /// A refusal with the verdict may-have-run.
    MayHaveRun,
    /// No complete answer.
    Lost,
    /// No target accepted a connection, so nothing was sent.
    Unsent,
}

/// One request as its caller saw it. Instants are microseconds of
/// `CLOCK_MONOTONIC`.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of the request, the end of its id.
    pub n: u64,
    /// Its key.
    pub key: u32,
    /// Whether it must not run twice.
    pub post: bool,
    /// Index of its partner.
    pub partner: usize,
    /// When it was to be sent.
    pub due: u64,
    /// When its answer, refusal or failure was known.
    pub done: u64,
    /// What the caller was told.
    pub told: Told,
    /// The header `X-Upstream` of the answer.
    pub upstream: Option<Box<str>>,
    /// The reason of a refusal, or what failed.
    pub reason: String,
}

/// A load that is running.
#[derive(Debug)]
pub struct Running {
    threads: Vec<JoinHandle<io::Result<Vec<Sample>>>>,
}

impl Running {
    /// Waits for the end of the load and returns all samples, in the order
    /// of their intended times.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread could not set up its sockets.
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
        samples.sort_by_key(|s| s.due);
        Ok(samples)
    }
}

impl Load {
    /// Starts the load on threads of its own.
    #[must_use]
    pub fn start(&self) -> Running {
        let start = monotonic_us() + 20_000;
        let mut threads = Vec::new();
        for index in 0..self.threads {
            let load = self.clone();
            threads.push(std::thread::spawn(move || {
                block_on(drive(load, index, start))
            }));
        }
        Running { threads }
    }

    /// Runs the load to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread could not set up its sockets.
    pub fn run(&self) -> io::Result<Vec<Sample>> {
        self.start().join()
    }

    /// Requests of an open loop in all.
    fn count(&self) -> u64 {
        let count = self.rate * self.span as f64 / 1_000.0;
        (count as u64).min(self.most)
    }

    /// Intended time of request `n`, in microseconds after the start.
    fn due(&self, n: u64) -> u64 {
        (n as f64 * 1e6 / self.rate) as u64
    }
}

async fn drive(load: Load, index: u64, start: u64) -> io::Result<Vec<Sample>> {
    let caller = Rc::new(Caller::new(load, index));
    if caller.load.rate > 0.0 {
        open_loop(&caller, index, start).await?;
    } else {
        closed_loop(&caller, index, start).await;
    }
    Ok(caller.samples.take())
}

/// Sends each request at its intended time. The runtime's timers have
/// millisecond steps, so a thread of its own keeps time and wakes this one
/// through a socket.
async fn open_loop(
    caller: &Rc<Caller>,
    index: u64,
    start: u64,
) -> io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let addr = socket.local_addr()?;
    let load = caller.load.clone();
    let pacer = std::thread::spawn(move || pace(&load, index, start, addr));
    let (count, step) = (caller.load.count(), caller.load.threads);
    let (mut n, mut calls) = (index, Vec::new());
    let mut buffer = vec![0_u8; 16];
    while n < count {
        monoio::select! {
            (result, back) = socket.recv_from(buffer) => {
                result?;
                buffer = back;
            }
            // A wake-up is lost if the socket's buffer is full.
            () = sleep_ms(50) => buffer = vec![0_u8; 16],
        }
        let now = monotonic_us();
        while n < count && start + caller.load.due(n) <= now {
            let due = start + caller.load.due(n);
            let caller = Rc::clone(caller);
            calls.push(monoio::spawn(async move {
                caller.request(n, due).await;
            }));
            n += step;
        }
    }
    for call in calls {
        call.await;
    }
    pacer.join().expect("the pacer does not panic")
}

/// Sends a datagram to `addr` at the intended time of each request.
fn pace(
    load: &Load,
    index: u64,
    start: u64,
    addr: SocketAddr,
) -> io::Result<()> {
    let socket = StdSocket::bind("127.0.0.1:0")?;
    let mut n = index;
    while n < load.count() {
        let wait = (start + load.due(n)).saturating_sub(monotonic_us());
        if wait > 0 {
            std::thread::sleep(Duration::from_micros(wait));
        }
        let now = monotonic_us();
        while n < load.count() && start + load.due(n) <= now {
            n += load.threads;
        }
        // A full buffer means that the load thread is awake already.
        let _ = socket.send_to(&[0], addr);
    }
    Ok(())
}

/// Keeps a fixed number of requests in flight.
async fn closed_loop(caller: &Rc<Caller>, index: u64, start: u64) {
    let end = start + caller.load.span * 1_000;
    let next = Rc::new(Cell::new(index));
    let mut workers = Vec::new();
    for _ in 0..caller.load.workers {
        let (caller, next) = (Rc::clone(caller), Rc::clone(&next));
        workers.push(monoio::spawn(async move {
            while monotonic_us() < end {
                let n = next.replace(next.get() + caller.load.threads);
                if n >= caller.load.most {
                    return;
                }
                caller.request(n, monotonic_us()).await;
            }
        }));
    }
    for worker in workers {
        worker.await;
    }
}

/// The callers of one thread.
#[derive(Debug)]
struct Caller {
    load: Load,
    pools: Vec<Pool>,
    rng: RefCell<Pcg64Mcg>,
    samples: RefCell<Vec<Sample>>,
}

impl Caller {
    fn new(load: Load, index: u64) -> Self {
        let mut pools = Vec::new();
        for &addr in &load.targets {
            pools.push(Pool::new(addr, load.connections));
        }
        let rng = Pcg64Mcg::seed_from_u64(load.seed ^ (index << 32));
        let (rng, samples) = (RefCell::new(rng), RefCell::default());
        Self { load, pools, rng, samples }
    }

    /// The key, the partner's index and the first target of request `n`.
    fn choose(&self, n: u64) -> (u32, usize, usize) {
        let load = &self.load;
        let mut rng = self.rng.borrow_mut();
        let key = if rng.random::<f64>() < load.hot {
            load.keys[0]
        } else {
            load.keys[rng.random_range(0..load.keys.len())]
        };
        let partner = rng.random_range(0..load.partners.len().max(1));
        let target = match load.pick {
            Pick::RoundRobin => (n % self.pools.len() as u64) as usize,
            Pick::Random => rng.random_range(0..self.pools.len()),
        };
        (key, partner, target)
    }

    async fn request(&self, n: u64, due: u64) {
        let (key, partner, target) = self.choose(n);
        let post = self.load.posts && n % 2 == 1;
        let limit = Duration::from_millis(self.load.deadline + GRACE);
        let call = self.attempt(n, key, partner, post, target);
        let answer = monoio::time::timeout(limit, call)
            .await
            .unwrap_or(Err(CallError::Timeout));
        let upstream = answer
            .as_ref()
            .ok()
            .and_then(|reply| reply.header("x-upstream").map(Box::from));
        let (told, reason) = told(&answer);
        let done = monotonic_us();
        self.samples.borrow_mut().push(Sample {
            n,
            key,
            post,
            partner,
            due,
            done,
            told,
            upstream,
            reason,
        });
    }

    /// Sends a request. While connections are refused, which leaves nothing
    /// sent, the next target is tried.
    async fn attempt(
        &self,
        n: u64,
        key: u32,
        partner: usize,
        post: bool,
        first: usize,
    ) -> Result<Reply, CallError> {
        let id = format!("{}-{n}", self.load.tag);
        let key = key_name(key);
        let deadline = self.load.deadline.to_string();
        let mut headers = vec![
            ("lagoondyke-service", &*self.load.service),
            ("lagoondyke-key", &*key),
            ("lagoondyke-deadline", &*deadline),
            ("x-request-id", &*id),
        ];
        if let Some(name) = self.load.partners.get(partner) {
            headers.push(("lagoondyke-partner", name));
        }
        let method = if post { Method::POST } else { Method::PUT };
        let mut refused = CallError::Connect("no target".to_owned());
        for index in 0..self.pools.len() {
            let pool = &self.pools[(first + index) % self.pools.len()];
            let mut lent = match pool.take().await {
                Ok(lent) => lent,
                Err(e) => {
                    refused = e;
                    continue;
                }
            };
            let body = vec![b'x'; self.load.body];
            let client = lent.client();
            let reply = client.call(method, "/orders", &headers, body).await?;
            lent.give_back();
            return Ok(reply);
        }
        Err(refused)
    }
}

/// The header `Lagoondyke-Key` of a key.
#[must_use]
pub fn key_name(key: u32) -> String {
    format!("key-{key}")
}

/// The members of a problem document that matter here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    verdict: Option<String>,
    reason: Option<String>,
    title: Option<String>,
    detail: Option<String>,
}

/// What an answer tells the caller, and the reason of a refusal.
fn told(answer: &Result<Reply, CallError>) -> (Told, String) {
    let reply = match answer {
        Ok(reply) if reply.ok() => return (Told::Answered, String::new()),
        Ok(reply) => reply,
        Err(e @ CallError::Connect(_)) => {
            return (Told::Unsent, e.to_string());
        }
        Err(e) => return (Told::Lost, e.to_string()),
    };
    let problem: Problem = reply.parse().unwrap_or_default();
    let told = match problem.verdict.as_deref() {
        Some("not-run") => Told::NotRun,
        // An upstream asked directly refuses by status only.
        None if reply.is(503) || reply.is(412) => Told::NotRun,
        _ => Told::MayHaveRun,
    };
    let reason = problem.reason.or(problem.title).unwrap_or_default();
    let detail = problem.detail.unwrap_or_default();
    (told, format!("{} {reason}: {detail}", reply.code()))
}

/// Latencies of answered requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Median, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// Longest, in milliseconds.
    pub most: f64,
}

/// Latency of the answered requests among `samples`, from their intended
/// send times.
///
/// # Panics
///
/// Never panics: the histogram resizes itself.
#[must_use]
pub fn latency<'a>(samples: impl IntoIterator<Item = &'a Sample>) -> Latency {
    let mut hist = Histogram::<u64>::new(3).expect("3 digits are valid");
    for sample in samples {
        if sample.told == Told::Answered {
            hist += sample.done.saturating_sub(sample.due);
        }
    }
    let ms = |us: u64| us as f64 / 1_000.0;
    Latency {
        p50: ms(hist.value_at_quantile(0.5)),
        p99: ms(hist.value_at_quantile(0.99)),
        most: ms(hist.max()),
    }
}

/// Number of requests whose callers were told `told`.
#[must_use]
pub fn count(samples: &[Sample], told: Told) -> usize {
    samples.iter().filter(|s| s.told == told).count()
}

/// The most frequent reasons of refusals and failures, with their counts.
#[must_use]
pub fn reasons(samples: &[Sample]) -> Vec<(String, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    for sample in samples.iter().filter(|s| s.told != Told::Answered) {
        *counts.entry(sample.reason.clone()).or_insert(0) += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(6);
    counts
}
