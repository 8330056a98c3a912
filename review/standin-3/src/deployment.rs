//! A small deployment: the store, nodes with a server beside each, and callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::Case;
use crate::fleet::{Node, gossip_port};
use crate::http::{Message, call};
use crate::record::{Record, sleep};
use crate::server::{History, KEY_COUNT, Options, Server, wall_ms};
use crate::store::Store;

/// Name of the service, which is divided by key.
pub const SERVICE: &str = "huvo11a";

pub const HOST: &str = "ficu95.example";

/// Interval between beats, as the site lindholm-flag has it.
pub const BEAT_MS: u64 = 1_500;

/// Time that a request takes.
const WORK_MS: u64 = 150;

/// Time that a request takes at the larger sites (`reserve`: 570 and 600 ms).
const SLOW_WORK_MS: u64 = 600;

/// Time for which the platform leaves a killed process down.
pub const DOWN_MS: u64 = 200;

/// A route of the configuration: prefix and kind.
pub type Route<'a> = (&'a str, &'a str);

/// The operator's configuration with these routes to [`SERVICE`].
pub fn configuration(
    version: u64,
    routes: &[Route<'_>],
    sharded: bool,
) -> String {
    let paths: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, (prefix, kind))| {
            format!(
                "{{\"name\":\"r-{number}\",\"path_prefix\":\"{prefix}\",\
                 \"route_type\":\"{kind}\",\"timeout_ms\":2000,\
                 \"target_latency_ms\":600,\"priority\":1,\
                 \"service\":\"{SERVICE}\",\"attempts\":2}}"
            )
        })
        .collect();
    let paths = paths.join(",");
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{{\
         \"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":120,\"protocol\":\"h1\",\"tls\":false,\
         \"warmup_s\":0.0,\"warmup_per_s\":0.0,\"sharded\":{sharded},\
         \"warm_s\":2.0,\"grants\":\"heartbeat\"}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{paths}]}}]}}"
    )
}

pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub history: Arc<Mutex<History>>,
    pub answers: Answers,
    record: Record,
}

impl Deployment {
    /// Starts everything, and waits until all keys are held.
    pub fn start(
        case: &Case,
        count: usize,
        routes: &[Route<'_>],
    ) -> Result<Self, String> {
        let all = Self::start_service(case, count, routes, true, WORK_MS)?;
        if !all.wait_all_held() {
            return Err("the keys are not held".to_owned());
        }
        Ok(all)
    }

    /// Starts everything with a service without keys.
    pub fn start_unsharded(
        case: &Case,
        count: usize,
        routes: &[Route<'_>],
    ) -> Result<Self, String> {
        Self::start_service(case, count, routes, false, WORK_MS)
    }

    /// Starts everything with a service without keys, whose work takes long.
    pub fn start_slow(
        case: &Case,
        count: usize,
        routes: &[Route<'_>],
    ) -> Result<Self, String> {
        Self::start_service(case, count, routes, false, SLOW_WORK_MS)
    }

    /// Starts everything.
    fn start_service(
        case: &Case,
        count: usize,
        routes: &[Route<'_>],
        sharded: bool,
        work_ms: u64,
    ) -> Result<Self, String> {
        let record = case.record.clone();
        let (store, store_addr) = Store::start().map_err(|e| e.to_string())?;
        let config = configuration(7, routes, sharded);
        store.put("config", "main", &config);
        let gossip = gossip_port(count);
        let mut nodes: Vec<Node> = (0..count)
            .map(|index| {
                let zone = ["aarhus", "vejle", "viborg"][index % 3];
                let place = (SERVICE, zone);
                let folder = &case.folder;
                Node::new(index, place, gossip, store_addr, folder, &record)
            })
            .collect();
        nodes.iter_mut().for_each(Node::start);
        nodes.iter().for_each(Node::wait_listening);
        let history = Arc::new(Mutex::new(History::default()));
        let mut servers = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            let options = Options {
                id: format!("i-{index}a"),
                service: SERVICE.to_owned(),
                addr: node.app,
                node: node.control,
                beat_ms: BEAT_MS,
                work_ms,
                sharded,
                capacity: 6,
            };
            // The beats of the servers are spread over their interval.
            let delay = index as u64 * 400 % BEAT_MS;
            let server =
                Server::start(options, wall_ms(), delay, &history, &record);
            servers.push(server.map_err(|e| e.to_string())?);
        }
        let answers = Answers::default();
        let all = Self { store, nodes, servers, history, answers, record };
        all.watch();
        Ok(all)
    }

    fn watch(&self) {
        let (history, record) =
            (Arc::clone(&self.history), self.record.clone());
        std::thread::spawn(move || {
            loop {
                history.lock().unwrap().check(record.now());
                sleep(5);
            }
        });
    }

    /// Waits until servers hold all keys.
    pub fn wait_all_held(&self) -> bool {
        for _ in 0..2_000 {
            let now = self.record.now();
            if self.history.lock().unwrap().count_held(now) == KEY_COUNT {
                return true;
            }
            sleep(10);
        }
        false
    }

    /// Sends a request every `gap_ms`, to each node in turn and for keys over
    /// the whole range.
    pub fn send_requests(
        &self,
        gap_ms: u64,
        (method, target): (&'static str, &'static str),
    ) {
        let callers: Vec<SocketAddr> =
            self.nodes.iter().map(|node| node.outbound).collect();
        let (record, answers) = (self.record.clone(), self.answers.clone());
        std::thread::spawn(move || {
            let mut number = 0_u64;
            loop {
                sleep(gap_ms);
                number += 1;
                let to = callers[number as usize % callers.len()];
                if *answers.skipped.lock().unwrap() == Some(to) {
                    continue;
                }
                let key = number * 7_919 % 65_536;
                let id = format!("{:08x}{number:08x}", target.len());
                let (record, answers) = (record.clone(), answers.clone());
                std::thread::spawn(move || {
                    let sent = record.now();
                    record.line(format!("sent {id} {method} {target} {key}"));
                    let mut request = Message::request(method, target)
                        .with("Host", HOST)
                        .with("Request-Id", &id)
                        .with("Deadline-Ms", 4_000)
                        .with("Shard-Key", key);
                    if method == "POST" {
                        request.body = b"reserve".to_vec();
                    }
                    let answer = call(to, &request, 5_000);
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("answered {id}: {status}"));
                    answers.add(target, sent, status);
                });
            }
        });
    }
}

/// Status of each answered request, by target, with the time at which it was
/// sent; 0 without an answer.
#[derive(Clone, Default)]
pub struct Answers {
    all: Arc<Mutex<BTreeMap<&'static str, Vec<(u64, u16)>>>>,
    /// Node that is sent no requests.
    skipped: Arc<Mutex<Option<SocketAddr>>>,
}

impl Answers {
    fn add(&self, target: &'static str, sent: u64, status: u16) {
        let mut all = self.all.lock().unwrap();
        all.entry(target).or_default().push((sent, status));
    }

    /// Sends no more requests to this node.
    pub fn skip(&self, node: Option<SocketAddr>) {
        *self.skipped.lock().unwrap() = node;
    }

    /// Number of requests that were sent between two times, how many of them
    /// got a 200, and the count of each status.
    pub fn count(&self, target: &str, begin: u64, end: u64) -> Count {
        let all = self.all.lock().unwrap();
        let mut count = Count::default();
        for &(sent, status) in all.get(target).into_iter().flatten() {
            if sent >= begin && sent < end {
                count.sent += 1;
                count.served += usize::from(status == 200);
                *count.by_status.entry(status).or_default() += 1;
            }
        }
        count
    }
}

#[derive(Clone, Debug, Default)]
pub struct Count {
    pub sent: usize,
    pub served: usize,
    pub by_status: BTreeMap<u16, usize>,
}

impl Count {
    pub fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Waits until the server's next beat is answered.
pub fn wait_beat(server: &Server) {
    let before = *server.acknowledged.lock().unwrap();
    while *server.acknowledged.lock().unwrap() == before {
        sleep(2);
    }
}
