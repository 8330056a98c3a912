//! Stand-in for an application server, and the ledger of what servers hold
//! and run.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Handler, Message, answer};
use crate::json::Json;
use crate::record::Record;

/// Number of keys.
const KEY_COUNT: usize = 65_536;

/// Time after which a heartbeat without an answer has failed.
const BEAT_LIMIT: Duration = Duration::from_secs(1);

/// Interval of heartbeats while keys are being released.
const RELEASE_BEAT_MS: u64 = 100;

/// Interval at which the ledger compares what servers hold.
const COMPARE_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which two servers may hold the same keys (RULES.md, OWNER).
const MAX_OVERLAP_MS: u64 = 500;

/// Work takes this many times as long while a server is cold.
const COLD_FACTOR: u64 = 2;

/// A cold server crashes above this many times the rate that it tolerates.
const CRASH_FACTOR: f64 = 2.0;

/// How a server of a day is set up.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Address of the node's `control_plane`.
    pub node: SocketAddr,
    pub keyed: bool,
    pub slots: usize,
    pub beat_ms: u64,
    pub work_ms: u64,
    /// Requests a second that it tolerates while it is cold.
    pub cold_per_s: f64,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub server: String,
    pub request: String,
    pub key: Option<usize>,
    pub cold: bool,
}

/// What servers have held and run.
pub struct Ledger {
    pub record: Arc<Record>,
    /// Highest token of each key by server.
    tokens: Mutex<HashMap<usize, BTreeMap<String, u64>>>,
    servers: Mutex<Vec<Arc<Server>>>,
    pub runs: Mutex<Vec<Run>>,
    /// Broken rules.
    pub broken: Mutex<Vec<String>>,
}

impl Ledger {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let ledger = Arc::new(Self {
            record: Arc::clone(record),
            tokens: Mutex::default(),
            servers: Mutex::default(),
            runs: Mutex::default(),
            broken: Mutex::default(),
        });
        let compared = Arc::clone(&ledger);
        thread::spawn(move || compared.compare());
        ledger
    }

    pub fn broke(&self, text: String) {
        self.record.show(&format!("BROKEN  {text}"));
        lock(&self.broken).push(text);
    }

    /// Checks the tokens of keys that a server takes.
    fn take(&self, server: &str, taken: &[(usize, u64)]) {
        let mut tokens = lock(&self.tokens);
        let mut low: Option<(usize, usize, u64, String, u64)> = None;
        for &(key, token) in taken {
            let known = tokens.entry(key).or_default();
            let others = known.iter().filter(|(id, _)| *id != server);
            let highest = others.max_by_key(|(_, token)| **token);
            if let Some((other, &highest)) = highest
                && token <= highest
            {
                match &mut low {
                    Some(low) => low.1 = key,
                    None => {
                        low = Some((key, key, token, other.clone(), highest));
                    }
                }
            }
            let own = known.entry(server.to_owned()).or_default();
            *own = (*own).max(token);
        }
        drop(tokens);
        if let Some((first, last, token, other, highest)) = low {
            self.broke(format!(
                "OWNER: {server} takes keys from {first} to {last} with \
                 token {token}, and {other} had key {first} with token \
                 {highest}"
            ));
        }
    }

    /// Looks for keys that two servers hold at the same time.
    fn compare(&self) {
        let mut since: HashMap<(usize, String, String), u64> = HashMap::new();
        let mut reported = Vec::new();
        loop {
            thread::sleep(COMPARE_INTERVAL);
            let servers = lock(&self.servers).clone();
            let held: Vec<(String, Vec<u64>)> =
                servers.iter().map(|s| (s.plan.id.clone(), s.held())).collect();
            let now = self.record.now();
            let mut seen = HashMap::new();
            for (i, (one, ours)) in held.iter().enumerate() {
                for (other, theirs) in &held[i + 1..] {
                    for key in 0..KEY_COUNT {
                        if ours[key] > 0 && theirs[key] > 0 {
                            let pair = (key, one.clone(), other.clone());
                            let at = since.get(&pair).copied().unwrap_or(now);
                            seen.insert(pair, at);
                        }
                    }
                }
            }
            for ((key, one, other), at) in &seen {
                let pair = (one.clone(), other.clone());
                if now - at > MAX_OVERLAP_MS && !reported.contains(&pair) {
                    reported.push(pair);
                    let runs = lock(&self.runs);
                    let by = |id: &String| {
                        let runs = runs.iter().filter(|r| r.at >= *at);
                        let same = runs.filter(|r| r.server == *id);
                        same.filter(|r| {
                            r.key.is_some_and(|k| {
                                let p = (k, one.clone(), other.clone());
                                seen.contains_key(&p)
                            })
                        })
                        .count()
                    };
                    let (first, second) = (by(one), by(other));
                    drop(runs);
                    let count = seen.len();
                    self.broke(format!(
                        "OWNER: {one} and {other} hold the same {count} keys, \
                         such as {key}, for over {MAX_OVERLAP_MS} ms; \
                         requests that they began on them meanwhile: \
                         {first} and {second}"
                    ));
                }
            }
            since = seen;
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

#[derive(Default)]
struct State {
    /// Token of each key that is held; 0 for none.
    hold: Vec<u64>,
    until: u64,
    /// Token of each key that is left, but still worked on.
    leaving: Vec<u64>,
    /// Highest token seen of each key.
    seen: Vec<u64>,
    working: HashMap<usize, usize>,
    released: Vec<(usize, usize, String)>,
    sequence: u64,
    running: usize,
    cold_until: u64,
    draining: bool,
    handover: u64,
}

pub struct Server {
    pub plan: Plan,
    born: u64,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    /// Cleared when the server ends.
    up: AtomicBool,
    pub beats: AtomicU64,
    /// Whether the next heartbeat follows soon, as keys are being released.
    pub releasing: AtomicBool,
}

impl Server {
    pub fn start(plan: Plan, ledger: &Arc<Ledger>) -> Arc<Self> {
        let listener = TcpListener::bind(plan.addr);
        let listener = listener.unwrap_or_else(|error| {
            eprintln!("{}: {error}", plan.addr);
            std::process::exit(2)
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = State {
            hold: vec![0; KEY_COUNT],
            leaving: vec![0; KEY_COUNT],
            seen: vec![0; KEY_COUNT],
            ..State::default()
        };
        let server = Arc::new(Self {
            plan,
            born: born.map_or(0, |since| since.as_millis() as u64),
            ledger: Arc::clone(ledger),
            state: Mutex::new(state),
            up: AtomicBool::new(true),
            beats: AtomicU64::new(0),
            releasing: AtomicBool::new(false),
        });
        lock(&ledger.servers).push(Arc::clone(&server));
        http::serve(listener, Arc::clone(&server));
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.beat_for_good());
        server
    }

    fn now(&self) -> u64 {
        self.ledger.record.now()
    }

    /// Token of each key that the server holds or still works on.
    pub fn held(&self) -> Vec<u64> {
        let now = self.now();
        let mut state = lock(&self.state);
        if !self.up.load(Ordering::Relaxed) {
            return vec![0; KEY_COUNT];
        }
        expire(&mut state, now);
        let mut held = state.hold.clone();
        for (own, leaving) in held.iter_mut().zip(&state.leaving) {
            *own = (*own).max(*leaving);
        }
        held
    }

    /// Ends the server as a crash does: open connections break, and nothing
    /// more is answered or announced.
    pub fn crash(&self, why: &str) {
        self.up.store(false, Ordering::Relaxed);
        let running = lock(&self.state).running;
        let id = &self.plan.id;
        self.ledger.record.show(&format!(
            "{id} crashes: {why}; {running} requests were running"
        ));
    }

    /// Crashes a cold server that gets requests at a rate well above the one
    /// that it tolerates.
    fn check_rate(&self, now: u64) {
        let runs = lock(&self.ledger.runs);
        let recent = runs.iter().rev().take_while(|run| run.at + 1_000 > now);
        let count = recent.filter(|r| r.cold && r.server == self.plan.id);
        let count = count.count() as f64;
        drop(runs);
        if count > CRASH_FACTOR * self.plan.cold_per_s {
            self.crash(&format!("{count} requests within a second while cold"));
        }
    }

    /// Reports the server's exit; returns whether that was acknowledged. It
    /// goes on to serve, and to send heartbeats, until [`Server::exit`].
    pub fn report_exit(&self) -> bool {
        let id = &self.plan.id;
        let target = format!("/api/rpc?call=instances.deregister&of={id}");
        let request = Message {
            line: format!("POST {target} HTTP/1.1"),
            headers: vec![
                ("Host".to_owned(), self.plan.node.to_string()),
                ("Content-Type".to_owned(), "application/json".to_owned()),
            ],
            body: format!("{{\"born\":{}}}", self.born).into_bytes(),
        };
        let reply = http::call_once(self.plan.node, BEAT_LIMIT, &request);
        let status = reply.map_or(0, |reply| reply.status());
        self.ledger.record.show(&format!(
            "{id} reports its exit and is answered {status}"
        ));
        (200..300).contains(&status)
    }

    /// Has the server say from now on that it drains.
    pub fn drain(&self) {
        lock(&self.state).draining = true;
        self.ledger.record.show(&format!("{} drains", self.plan.id));
    }

    /// A heartbeat that the server sends now, and that is held up.
    pub fn held_up_beat(&self) -> Message {
        let (body, _) = self.beat_body(self.now());
        let id = &self.plan.id;
        self.ledger.record.show(&format!("{id} sends a heartbeat: {body}"));
        self.beat_message(body)
    }

    /// Has a heartbeat arrive that was held up.
    pub fn arrive(&self, beat: &Message) -> bool {
        let reply = http::call_once(self.plan.node, BEAT_LIMIT, beat);
        let status = reply.map_or(0, |reply| reply.status());
        if status > 0 {
            self.ledger.record.show(&format!(
                "the heartbeat of {} arrives and is answered {status}",
                self.plan.id
            ));
        }
        status > 0
    }

    /// Ends the server.
    pub fn exit(&self) {
        self.up.store(false, Ordering::Relaxed);
        self.ledger.record.show(&format!("{} exits", self.plan.id));
    }

    /// Makes the server cold for a while.
    pub fn turn_cold(&self, span_ms: u64) {
        let now = self.now();
        lock(&self.state).cold_until = now + span_ms;
        let id = &self.plan.id;
        self.ledger.record.show(&format!("{id} is cold for {span_ms} ms"));
    }

    fn beat_for_good(&self) {
        while self.up.load(Ordering::Relaxed) {
            let releasing = self.beat();
            self.releasing.store(releasing, Ordering::Relaxed);
            self.beats.fetch_add(1, Ordering::Relaxed);
            let pause = if releasing { RELEASE_BEAT_MS } else { self.plan.beat_ms };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends a heartbeat and applies its answer. Returns whether keys are yet
    /// to be released, or their release to be reported.
    fn beat(&self) -> bool {
        let sent = self.now();
        let (body, reported) = self.beat_body(sent);
        let request = self.beat_message(body);
        let reply = http::call_once(self.plan.node, BEAT_LIMIT, &request);
        let now = self.now();
        let Ok(reply) = reply else { return false };
        let late = now - sent > BEAT_LIMIT.as_millis() as u64;
        if late || !(200..300).contains(&reply.status()) {
            return false;
        }
        lock(&self.state).released.drain(..reported);
        match Json::parse(&reply.body) {
            Some(grant) => self.apply(&grant, sent),
            None => false,
        }
    }

    fn beat_message(&self, body: String) -> Message {
        let id = &self.plan.id;
        let target = format!("/api/rpc?call=instances.heartbeat&of={id}");
        Message {
            line: format!("POST {target} HTTP/1.1"),
            headers: vec![
                ("Host".to_owned(), self.plan.node.to_string()),
                ("Content-Type".to_owned(), "application/json".to_owned()),
            ],
            body: body.into_bytes(),
        }
    }

    fn beat_body(&self, now: u64) -> (String, usize) {
        let mut state = lock(&self.state);
        expire(&mut state, now);
        state.sequence += 1;
        let mut held = state.hold.clone();
        for (own, leaving) in held.iter_mut().zip(&state.leaving) {
            *own = (*own).max(*leaving);
        }
        let rows: Vec<String> = runs_of(&held)
            .into_iter()
            .map(|(first, last, token)| format!("[{first},{last},{token}]"))
            .collect();
        let released: Vec<String> = state
            .released
            .iter()
            .map(|(first, last, token)| format!("[{first},{last},\"{token}\"]"))
            .collect();
        let lists = if self.plan.keyed {
            format!(
                ",\"holds\":[{}],\"released\":[{}]",
                rows.join(","),
                released.join(",")
            )
        } else {
            String::new()
        };
        let Plan { service, addr, zone, slots, .. } = &self.plan;
        let phase = if state.draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\
             \"zone\":\"{zone}\",\"version\":\"v1\",\"capacity\":{slots},\
             \"state\":\"{phase}\",\"warmup_left_ms\":{},\"sequence\":{},\
             \"born\":{}{lists}}}",
            state.cold_until.saturating_sub(now),
            state.sequence,
            self.born
        );
        (body, state.released.len())
    }

    /// Applies the answer to a heartbeat that was sent at `sent`.
    fn apply(&self, grant: &Json, sent: u64) -> bool {
        if *grant.get("holds") == Json::Null {
            return false;
        }
        let now = self.now();
        let mut state = lock(&self.state);
        expire(&mut state, now);
        let mut new = vec![0_u64; KEY_COUNT];
        for row in grant.get("holds").list() {
            let number = |i: usize| row.at(i).number().unwrap_or(0);
            let (first, last) = (number(0) as usize, number(1) as usize);
            let token = number(2);
            if first > last || last >= KEY_COUNT {
                continue;
            }
            // A row is not accepted if a higher token was seen on a key.
            if state.seen[first..=last].iter().any(|seen| *seen > token) {
                let id = &self.plan.id;
                self.ledger.record.line(&format!(
                    "{id} refuses keys {first} to {last} with token {token}"
                ));
                continue;
            }
            new[first..=last].fill(token);
        }
        let mut taken = Vec::new();
        let mut left = vec![0_u64; KEY_COUNT];
        for key in 0..KEY_COUNT {
            let old = state.hold[key];
            if new[key] > 0 {
                state.seen[key] = new[key];
                if old == 0 || old != new[key] {
                    taken.push((key, new[key]));
                }
                state.leaving[key] = 0;
            } else if old > 0 {
                if state.working.get(&key).copied().unwrap_or(0) > 0 {
                    state.leaving[key] = old;
                } else {
                    left[key] = old;
                }
            }
        }
        state.hold = new;
        state.until = sent + grant.get("hold_ms").number().unwrap_or(0);
        self.release(&mut state, &left);
        let releasing = !state.released.is_empty()
            || state.leaving.iter().any(|token| *token > 0);
        drop(state);
        if !taken.is_empty() {
            let mut tokens = vec![0; KEY_COUNT];
            for &(key, token) in &taken {
                tokens[key] = token;
            }
            for (first, last, token) in runs_of(&tokens) {
                let id = &self.plan.id;
                self.ledger.record.line(&format!(
                    "{id} takes keys {first} to {last} with token {token}"
                ));
            }
            self.ledger.take(&self.plan.id, &taken);
        }
        releasing
    }

    fn release(&self, state: &mut State, left: &[u64]) {
        for (first, last, token) in runs_of(left) {
            state.handover += 1;
            let mark = format!("{:08x}{first:04x}", state.handover);
            state.released.push((first, last, mark));
            let id = &self.plan.id;
            self.ledger.record.line(&format!(
                "{id} releases keys {first} to {last}, token {token}"
            ));
        }
    }

    /// The headers of an answer that tell the server's load.
    fn load(&self, state: &State) -> String {
        let slots = self.plan.slots;
        let running = state.running.min(slots);
        format!("{running},{},{slots},100", state.running - running)
    }

    fn health(&self) -> Message {
        let now = self.now();
        let state = lock(&self.state);
        let left = state.cold_until.saturating_sub(now).to_string();
        let load = self.load(&state);
        let status = if state.draining { 503 } else { 200 };
        let headers = [
            ("Instance-Id", self.plan.id.as_str()),
            ("Server-Load", load.as_str()),
            ("Warmup-Ms", left.as_str()),
        ];
        answer(status, &headers, "")
    }

    /// Begins the run of a request, unless it is refused.
    fn begin(&self, request: &Message) -> Result<Option<usize>, Message> {
        let refused = |status| answer(status, &[("Not-Executed", "1")], "");
        let id = request.header("request-id");
        let Some(id) = id else { return Err(refused(400)) };
        if request.header("expected-instance") != Some(&self.plan.id) {
            let headers = [("Instance-Id", self.plan.id.as_str())];
            return Err(answer(421, &headers, ""));
        }
        let now = self.now();
        let mut state = lock(&self.state);
        expire(&mut state, now);
        let key = request.header("shard-key").and_then(|k| k.parse().ok());
        let key: Option<usize> = key.filter(|_| self.plan.keyed);
        if self.plan.keyed && key.is_none_or(|key| state.hold[key] == 0) {
            return Err(refused(421));
        }
        if state.running >= 2 * self.plan.slots {
            return Err(refused(503));
        }
        state.running += 1;
        if let Some(key) = key {
            *state.working.entry(key).or_default() += 1;
        }
        let cold = state.cold_until > now;
        drop(state);
        let server = self.plan.id.clone();
        let request = id.to_owned();
        let run = Run { at: now, server, request, key, cold };
        self.ledger.record.line(&format!(
            "{} runs {}{}{}",
            run.server,
            run.request,
            key.map(|key| format!(", key {key}")).unwrap_or_default(),
            if cold { ", cold" } else { "" }
        ));
        lock(&self.ledger.runs).push(run);
        if cold {
            self.check_rate(now);
        }
        Ok(key)
    }

    fn end(&self, key: Option<usize>) -> String {
        let mut state = lock(&self.state);
        let load = self.load(&state);
        state.running -= 1;
        let Some(key) = key else { return load };
        let left = state.working.get_mut(&key).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            state.working.remove(&key);
            let token = std::mem::take(&mut state.leaving[key]);
            if token > 0 {
                let mut left = vec![0; KEY_COUNT];
                left[key] = token;
                self.release(&mut state, &left);
            }
        }
        load
    }
}

/// Drops holds that have expired. An expired hold is not reported.
fn expire(state: &mut State, now: u64) {
    if now >= state.until {
        state.hold.fill(0);
        state.leaving.fill(0);
    }
}

/// Runs of keys with the same token.
fn runs_of(tokens: &[u64]) -> Vec<(usize, usize, u64)> {
    let mut runs: Vec<(usize, usize, u64)> = Vec::new();
    for (key, &token) in tokens.iter().enumerate() {
        if token == 0 {
            continue;
        }
        match runs.last_mut() {
            Some(run) if run.1 + 1 == key && run.2 == token => run.1 = key,
            _ => runs.push((key, key, token)),
        }
    }
    runs
}

impl Handler for Server {
    fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    fn handle(&self, request: &Message) -> Option<Message> {
        if !self.up.load(Ordering::Relaxed) {
            return None;
        }
        if request.path() == "/healthz" {
            return Some(self.health());
        }
        let key = match self.begin(request) {
            Ok(key) => key,
            Err(refusal) => return Some(refusal),
        };
        let is_cold = lock(&self.state).cold_until > self.now();
        let factor = if is_cold { COLD_FACTOR } else { 1 };
        thread::sleep(Duration::from_millis(self.plan.work_ms * factor));
        let load = self.end(key);
        if !self.up.load(Ordering::Relaxed) {
            return None;
        }
        let id = request.header("request-id").unwrap_or_default();
        let headers = [
            ("Request-Id", id),
            ("Response-Signature", self.plan.id.as_str()),
            ("Server-Load", load.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        Some(answer(200, &headers, &format!("answer to {id}")))
    }
}
