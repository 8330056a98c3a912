//! Stand-in of a server that owns keys: it announces itself in beats, holds the
//! rows that the answers name, runs requests for keys that it holds and rejects
//! all others. A history that all servers share shows who holds which keys.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::http::{Message, call, serve};
use crate::json::{Value, parse};
use crate::record::{Record, sleep};

/// A server waits for the answer to a beat for a second.
const BEAT_LIMIT_MS: u64 = 1_000;

/// Interval between beats while a release is to be reported.
const RELEASE_BEAT_MS: u64 = 100;

/// Keys of which the history is kept: one in this many.
const KEY_STEP: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    /// When the hold ends, by the clock of the record.
    pub until: u64,
}

/// What all servers have seen.
#[derive(Default)]
pub struct History {
    held: BTreeMap<String, Vec<Row>>,
    /// Since when two servers have held a key.
    shared_since: BTreeMap<usize, u64>,
    /// Longest time for which two servers held a key, and which.
    pub longest_shared: (u64, String),
    /// Number of runs of each request.
    pub runs: BTreeMap<String, u32>,
    /// When each server ran a request.
    pub run_times: BTreeMap<String, Vec<u64>>,
}

impl History {
    /// Looks at who holds what at `now`.
    pub fn check(&mut self, now: u64) {
        for key in (0..65_536).step_by(KEY_STEP) {
            let holds = |rows: &Vec<Row>| {
                rows.iter().any(|r| {
                    r.first <= key as u64
                        && key as u64 <= r.last
                        && r.until > now
                })
            };
            let held = self.held.iter().filter(|(_, rows)| holds(rows));
            let holders: Vec<&String> = held.map(|(id, _)| id).collect();
            if holders.len() < 2 {
                self.shared_since.remove(&key);
                continue;
            }
            let since = *self.shared_since.entry(key).or_insert(now);
            if now - since > self.longest_shared.0 {
                let who = format!("key {key}: {holders:?}");
                self.longest_shared = (now - since, who);
            }
        }
    }

    /// Number of keys that servers hold at `now`, of those that are looked at.
    pub fn count_held(&self, now: u64) -> usize {
        let all = || self.held.values().flatten().filter(|r| r.until > now);
        let keys = (0..65_536_u64).step_by(KEY_STEP);
        keys.filter(|k| all().any(|r| r.first <= *k && *k <= r.last)).count()
    }
}

pub const KEY_COUNT: usize = 65_536 / KEY_STEP;

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    /// Address of the node beside it.
    pub node: SocketAddr,
    pub beat_ms: u64,
    pub work_ms: u64,
    /// Whether its service is divided by key.
    pub sharded: bool,
    /// Number of requests that it runs at once.
    pub capacity: u64,
}

#[derive(Clone)]
pub struct Server {
    pub options: Options,
    pub born: u64,
    sequence: Arc<Mutex<u64>>,
    released: Arc<Mutex<Vec<String>>>,
    /// Targets of the requests that it began to run.
    begun: Arc<Mutex<Vec<String>>>,
    /// When the latest beat was acknowledged.
    pub acknowledged: Arc<Mutex<u64>>,
    ended: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    record: Record,
}

pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Server {
    /// Starts a server, whose first beat comes after `delay_ms`.
    pub fn start(
        options: Options,
        born: u64,
        delay_ms: u64,
        history: &Arc<Mutex<History>>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.addr)?;
        let server = Self {
            options,
            born,
            sequence: Arc::default(),
            released: Arc::default(),
            begun: Arc::default(),
            acknowledged: Arc::default(),
            ended: Arc::default(),
            history: Arc::clone(history),
            record: record.clone(),
        };
        let id = &server.options.id;
        record.line(format!("server {id} starts, born {born}"));
        let handler = server.clone();
        serve(listener, Arc::clone(&server.ended), move |call| {
            handler.answer(call)
        });
        let beats = server.clone();
        std::thread::spawn(move || {
            sleep(delay_ms);
            while !beats.has_ended() {
                let releasing = beats.beat();
                sleep(if releasing {
                    RELEASE_BEAT_MS
                } else {
                    beats.options.beat_ms
                });
            }
        });
        Ok(server)
    }

    /// Ends the server at once, without a word.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.history.lock().unwrap().held.remove(&self.options.id);
        self.record.line(format!("server {} crashes", self.options.id));
    }

    /// Reports its exit without having said that it drains, and serves on.
    /// Returns when the report was acknowledged.
    pub fn leave(&self) -> Option<u64> {
        let id = &self.options.id;
        let target = format!("/api/rpc?call=instances.deregister&of={id}");
        let report =
            Message::request("POST", &target).with("Host", self.options.node);
        let answer = call(self.options.node, &report, BEAT_LIMIT_MS).ok()?;
        if answer.status != 200 {
            return None;
        }
        let now = self.record.now();
        self.record.line(format!("the exit of {id} is acknowledged"));
        Some(now)
    }

    /// Number of runs of a target that began since this was last asked.
    pub fn runs_of(&self, target: &str) -> usize {
        let begun = std::mem::take(&mut *self.begun.lock().unwrap());
        begun.iter().filter(|other| *other == target).count()
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub fn rows(&self) -> Vec<Row> {
        let now = self.record.now();
        let mut history = self.history.lock().unwrap();
        let Some(rows) = history.held.get_mut(&self.options.id) else {
            return Vec::new();
        };
        rows.retain(|row| row.until > now);
        rows.clone()
    }

    /// A beat of this moment.
    pub fn next_beat(&self) -> Message {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let Options { id, service, addr, capacity, sharded, .. } =
            &self.options;
        let rows = self.rows();
        let holds: Vec<String> = rows
            .iter()
            .map(|r| format!("[{},{},{}]", r.first, r.last, r.fence))
            .collect();
        let released = self.released.lock().unwrap().join(",");
        let holds = holds.join(",");
        let lists = if *sharded {
            format!(",\"holds\":[{holds}],\"released\":[{released}]")
        } else {
            String::new()
        };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\
             \"zone\":\"aarhus\",\"version\":\"v1\",\"capacity\":{capacity},\
             \"state\":\"ready\",\"warmup_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{}{lists}}}",
            self.born
        );
        let target = format!("/api/rpc?call=instances.heartbeat&of={id}");
        let mut beat = Message::request("POST", &target)
            .with("Host", self.options.node)
            .with("Content-Type", "application/json");
        beat.body = body.into_bytes();
        beat
    }

    /// A beat of another writer that names this server's address: it has all
    /// fields but the two lists of rows.
    pub fn foreign_beat(&self) -> Message {
        let Options { service, addr, node, .. } = &self.options;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\
             \"zone\":\"aarhus\",\"version\":\"v1\",\"capacity\":18,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\
             \"sequence\":1,\"born\":{}}}",
            wall_ms()
        );
        let target = "/api/rpc?call=instances.heartbeat&of=i-9f20";
        let mut beat = Message::request("POST", target)
            .with("Host", node)
            .with("Content-Type", "application/json");
        beat.body = body.into_bytes();
        beat
    }

    /// Sends a beat and applies the answer. Returns whether a release has yet
    /// to be reported.
    fn beat(&self) -> bool {
        let sent = self.record.now();
        let beat = self.next_beat();
        let reported = self.released.lock().unwrap().len();
        let answer = call(self.options.node, &beat, BEAT_LIMIT_MS);
        let Ok(answer) = answer else { return false };
        let late = self.record.now() - sent > BEAT_LIMIT_MS;
        if self.has_ended() || late || answer.status != 200 {
            return false;
        }
        let id = &self.options.id;
        let text = answer.text();
        self.record.line(format!("beat of {id} answered: {text}"));
        self.released.lock().unwrap().drain(..reported);
        if let Some(holds) = parse(&text).as_ref()
            && holds.get("holds").is_some()
        {
            self.apply(holds, sent);
        }
        *self.acknowledged.lock().unwrap() = self.record.now();
        !self.released.lock().unwrap().is_empty()
    }

    /// Holds what the answer to a beat names, and releases all else.
    fn apply(&self, answer: &Value, sent: u64) {
        let hold_ms = answer.get("hold_ms").and_then(Value::number);
        let until = sent + hold_ms.unwrap_or(0);
        let mut rows = Vec::new();
        for row in answer.get("holds").map(Value::list).unwrap_or_default() {
            let number = |i: usize| row.list().get(i).and_then(Value::number);
            let (Some(first), Some(last), Some(fence)) =
                (number(0), number(1), number(2))
            else {
                continue;
            };
            rows.push(Row { first, last, fence, until });
        }
        let old = self.rows();
        let mut released = self.released.lock().unwrap();
        for row in &old {
            for (first, last) in missing(row, &rows) {
                let token = format!("{}-{first}-{}", self.born, row.fence);
                released.push(format!("[{first},{last},\"{token}\"]"));
            }
        }
        drop(released);
        let id = self.options.id.clone();
        self.history.lock().unwrap().held.insert(id, rows);
    }

    fn answer(&self, call: &Message) -> Option<Message> {
        if self.has_ended() {
            return None;
        }
        let id = &self.options.id;
        if call.path() == "/healthz" {
            return Some(Message::response(200, "").with("Instance-Id", id));
        }
        let request = call.header("request-id").unwrap_or_default().to_owned();
        let refused = |status: u16| {
            let answer = Message::response(status, "");
            Some(answer.with("Not-Executed", 1).with("Instance-Id", id))
        };
        if call.header("expected-instance") != Some(id) {
            return refused(421);
        }
        let key = call.header("shard-key").and_then(|k| k.parse::<u64>().ok());
        let holds = |key: u64| {
            let rows = self.rows();
            rows.iter().any(|r| r.first <= key && key <= r.last)
        };
        if self.options.sharded && !key.is_some_and(holds) {
            return refused(421);
        }
        let key = key.map(|k| k.to_string()).unwrap_or_default();
        let line = format!("{id} runs {request} {} key {key}", call.target);
        self.record.line(line);
        let mut history = self.history.lock().unwrap();
        *history.runs.entry(request.clone()).or_default() += 1;
        let times = history.run_times.entry(id.clone()).or_default();
        times.push(self.record.now());
        drop(history);
        self.begun.lock().unwrap().push(call.target.clone());
        sleep(self.options.work_ms);
        if self.has_ended() {
            return None;
        }
        let answer = Message::response(200, format!("answer to {request}"));
        let answer = answer.with("Request-Id", &request);
        Some(answer.with("Response-Signature", format!("{id}.{request}")))
    }
}

/// The parts of `row` that none of `rows` has.
fn missing(row: &Row, rows: &[Row]) -> Vec<(u64, u64)> {
    let mut sorted: Vec<&Row> = rows.iter().collect();
    sorted.sort_by_key(|r| r.first);
    let mut begin = row.first;
    let mut parts = Vec::new();
    for other in sorted {
        if other.last < begin || row.last < other.first {
            continue;
        }
        if begin < other.first {
            parts.push((begin, other.first - 1));
        }
        begin = other.last + 1;
    }
    if begin <= row.last {
        parts.push((begin, row.last));
    }
    parts
}
