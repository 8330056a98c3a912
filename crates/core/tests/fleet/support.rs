//! Simulation of several fleet reducers with a fake store and fake upstreams.
//!
//! Time is simulated. The store can be down, reject the calls of single nodes,
//! lose answers and perform writes late. Upstreams hold ranges for the
//! duration of their grant by a clock that runs 2 % slow.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lagoondyke_core::clock::{Millis, TICK_INTERVAL_MS};
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::account::{Account, KeyDigest};
use lagoondyke_core::fleet::config::{Config, Service};
use lagoondyke_core::fleet::effect::{Effect, Op};
use lagoondyke_core::fleet::event::{
    Call, CallOutcome, Document, Event, Item, ObjectKind, StoreOutcome, Value,
};
use lagoondyke_core::fleet::grant_calls::UpstreamCall;
use lagoondyke_core::fleet::lease::Record;
use lagoondyke_core::fleet::revision::{number_of, qualify};
use lagoondyke_core::fleet::settings::{Bounds, GrantMode, Settings};
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_core::fleet::upstream::{
    Announcement, Grant, Held, Phase, Released,
};
use lagoondyke_core::id::Ticket;
use lagoondyke_core::settings::LogSettings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Interval between announcements of an upstream.
const ANNOUNCE_INTERVAL_MS: u64 = 870;

/// Delay of the next announcement while a release is outstanding.
const RELEASE_ANNOUNCE_DELAY_MS: u64 = 100;

/// Time that a store call and its answer take together.
const STORE_ROUND_TRIP_MS: u64 = 4;

/// Time that a message to another node takes.
const MESSAGE_DELAY_MS: u64 = 2;

/// Time after the end of a watch at which its caller gives up.
const WATCH_MARGIN_MS: u64 = 1_500;

/// Longest delay of a late write or a late proposal.
const MAX_LATE_DELAY_MS: u64 = 6_000;

/// Faults of the store, and of proposals between nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// No call is accepted.
    pub down: bool,
    /// Share of writes that are performed without an answer, in percent.
    pub lost_percent: u32,
    /// Writes without an answer are performed late, and proposals arrive
    /// late.
    pub late: bool,
    /// What becomes of watches when there are changes to report.
    pub watches: WatchFault,
}

/// Faults of the calls to upstreams about their keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Share of calls that are not answered, in percent.
    pub unanswered_percent: u32,
    /// Calls without an answer are applied late.
    pub late: bool,
    /// Calls without an answer are never applied.
    pub lost: bool,
    /// Calls without an answer end at once, by a reset of their connection.
    pub reset: bool,
}

/// Fault of the store's watches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WatchFault {
    /// Watches report changes.
    #[default]
    None,
    /// Watches stay open and report nothing, but for those of this node.
    Silent(Option<usize>),
    /// Watches are answered without the changes, but with the revision of the
    /// latest one.
    Empty,
}

/// Objects of the store with their revisions.
type Objects = BTreeMap<(ObjectKind, String), (u64, Value)>;

/// A range that an upstream holds.
#[derive(Clone, Copy, Debug)]
struct HeldRange {
    first: u16,
    last: u16,
    fence: u64,
    /// When its grant expires by the upstream's own, slow clock.
    until: u64,
    /// When the last request for the range ends; set once a grant leaves the
    /// range out, or it is to be released.
    busy_until: Option<u64>,
}

/// The answer to a release, which is sent when the work on its keys has ended.
#[derive(Clone, Debug)]
struct ReleaseAnswer {
    at: u64,
    process: u64,
    ticket: Ticket,
    handover: String,
}

/// A fake upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The process is running.
    pub up: bool,
    /// State that it announces.
    pub phase: Phase,
    instance: Instance,
    ranges: Vec<HeldRange>,
    /// Tokens that it has seen, by range.
    seen: Vec<(u16, u16, u64)>,
    answers: Vec<ReleaseAnswer>,
    /// Releases to report in the next announcements.
    released: Vec<Released>,
    /// Number of announcements of the instance.
    sequence: u64,
    /// When it announces itself next.
    announce_at: u64,
}

struct Node {
    /// The reducer; `None` while the process is down.
    fleet: Option<Fleet>,
    /// Events are delayed until then.
    paused_until: u64,
    /// Whether the network connects it to the other nodes and the store.
    connected: bool,
    /// Whether the store rejects its calls.
    store_denied: bool,
    /// Number of the current process. Events for earlier ones are dropped.
    process: u64,
    /// Start time of the instance to which its connections for calls lead.
    connected_to: u64,
    /// Whether its latest gossip names an upstream that serves requests.
    offers: bool,
}

/// Something that happens at a simulated instant.
enum Task {
    /// An event reaches this process of a node.
    Event(usize, u64, Event),
    /// The store performs an operation. It answers only if there is a call.
    StoreOp { node: usize, process: u64, call: Option<Call>, op: Op },
    /// The upstream of a node receives the answer to an announcement. The
    /// numbers are the start time of the instance and when it announced.
    Grant(usize, u64, u64, Grant),
    /// The upstream of a node applies a call, which may have arrived earlier.
    Call(usize, UpstreamCallInfo),
    /// A node starts.
    Start(usize),
    /// A new instance of an upstream starts.
    StartUpstream(usize),
    /// Ends the instance of an upstream and starts a new one.
    ReplaceUpstream(usize),
}

/// A call to an upstream in flight.
#[derive(Clone, Debug)]
struct UpstreamCallInfo {
    process: u64,
    ticket: Ticket,
    call: UpstreamCall,
    /// Start time of the instance to which its connection leads.
    instance: u64,
    arrived: u64,
    answered: bool,
}

/// A fleet, its upstreams and the store.
pub struct Simulation {
    /// Simulated time, in milliseconds.
    pub now: u64,
    /// Faults at present.
    pub store_faults: StoreFaults,
    /// Faults of calls to upstreams.
    pub call_faults: CallFaults,
    /// Number of calls to upstreams.
    pub upstream_calls: u32,
    mode: GrantMode,
    /// Settings of the nodes, but for their names and addresses.
    revoke_ms: Option<f64>,
    /// Longest delay of an answer between nodes, in milliseconds.
    pub answer_delay: u64,
    /// When each version of the configuration was published.
    published: Vec<(u64, u64)>,
    /// Whether nodes get no answer when they fetch documents from each other.
    pub documents_lost: bool,
    /// The upstream of each node.
    pub upstreams: Vec<Upstream>,
    nodes: Vec<Node>,
    /// By time, then in the order of scheduling.
    schedule: BTreeMap<(u64, u64), Task>,
    /// Orders what happens at the same time, and numbers tickets.
    counter: u64,
    /// Objects of the store with their revisions.
    objects: Objects,
    /// Latest revision in the store, within its era.
    revision: u64,
    /// Era of the store, which rises with each restore.
    era: u64,
    /// The objects before the latest restore.
    lost: Objects,
    /// The copy of the store: its objects and its revision.
    copy: Option<(Objects, u64)>,
    /// Open watches: node, process, kind, the revision after which changes
    /// are reported, and when the watch ends without one.
    watches: Vec<(usize, u64, ObjectKind, u64, u64)>,
    /// Unanswered announcements: start time of the instance, and when it
    /// announced.
    tickets: BTreeMap<(usize, Ticket), (u64, u64)>,
    random: Pcg64Mcg,
    /// Highest fencing token of each key, and the upstream and start time of
    /// the instance that held the key with it.
    fences: BTreeMap<u16, (u64, usize, u64)>,
    /// Number of store calls, rejected ones included.
    pub calls: u32,
    /// Number of listings among them.
    pub lists: u32,
    /// Number of documents that nodes fetched from each other.
    pub fetches: u32,
    /// Number of updates of the table that succeeded, and of those that
    /// conflicted with another one.
    pub updates: (u32, u32),
    /// Violations of the guarantees, as messages.
    pub violations: Vec<String>,
}

/// Settings of node `index`, with a distinct address.
pub fn settings(index: usize) -> Settings {
    let ip = [10, 0, 0, index as u8 + 1];
    let addr = |port: u16| (ip, port).into();
    Settings {
        node: format!("n{index}"),
        ip: ip.into(),
        domain: format!("d{}", index % 3),
        service: "s".to_owned(),
        upstream: addr(1),
        callers: addr(2),
        peers: addr(3),
        health: addr(4),
        announcements: addr(5),
        gossip: 6,
        metrics: 7,
        store: addr(8),
        grants: GrantMode::default(),
        bounds: Bounds {
            stop_s: Some(6.0),
            hold_ms: Some(10_000.0),
            retry_slack: Some(50.0),
            retry_share: Some(0.2),
            drain_ms: Some(2_000.0),
            evacuate_ms: Some(5_000.0),
            config_ms: Some(2_000.0),
            announce_ms: Some(ANNOUNCE_INTERVAL_MS as f64),
            revoke_ms: None,
        },
        log: LogSettings::default(),
    }
}

impl Simulation {
    /// `count` nodes of one keyed service, all started at once with their
    /// upstreams.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_grants(GrantMode::Heartbeat, count, seed)
    }

    /// Like [`Simulation::new`]; the upstreams are told their ranges as `mode`
    /// says.
    pub fn with_grants(mode: GrantMode, count: usize, seed: u64) -> Self {
        let mut config = Config { version: 1, ..Config::default() };
        let service = Service { keyed: true, ..Service::default() };
        config.services.insert("s".to_owned(), service);
        let config = Value::Config(Box::new(config));
        let mut objects = BTreeMap::new();
        objects.insert((ObjectKind::Config, "main".to_owned()), (1, config));
        let mut sim = Self {
            now: 10_000,
            store_faults: StoreFaults::default(),
            call_faults: CallFaults::default(),
            upstream_calls: 0,
            mode,
            revoke_ms: None,
            answer_delay: 1,
            published: vec![(1, 0)],
            documents_lost: false,
            upstreams: Vec::new(),
            nodes: Vec::new(),
            schedule: BTreeMap::new(),
            counter: 0,
            objects,
            revision: 1,
            era: 1,
            lost: BTreeMap::new(),
            copy: None,
            watches: Vec::new(),
            tickets: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            fences: BTreeMap::new(),
            calls: 0,
            lists: 0,
            fetches: 0,
            updates: (0, 0),
            violations: Vec::new(),
        };
        sim.add_nodes(count);
        sim
    }

    /// Adds nodes with their upstreams, and starts them.
    fn add_nodes(&mut self, count: usize) {
        let sim = self;
        for index in 0..count {
            sim.nodes.push(Node {
                fleet: None,
                paused_until: 0,
                connected: true,
                store_denied: false,
                process: 0,
                connected_to: 0,
                offers: false,
            });
            sim.upstreams.push(Upstream {
                up: false,
                phase: Phase::Ready,
                instance: Instance::default(),
                ranges: Vec::new(),
                seen: Vec::new(),
                answers: Vec::new(),
                released: Vec::new(),
                sequence: 0,
                announce_at: 0,
            });
            sim.start_upstream(index);
            sim.start_node(index);
        }
    }

    /// Like [`Simulation::new`]; requests need keys, which are refused
    /// `revoke_ms` after they were taken away.
    pub fn with_accounts(count: usize, seed: u64, revoke_ms: u64) -> Self {
        let mut sim = Self::with_grants(GrantMode::Heartbeat, 0, seed);
        let key = (ObjectKind::Config, "main".to_owned());
        let Some((_, Value::Config(config))) = sim.objects.get_mut(&key)
        else {
            panic!("a configuration")
        };
        let account = Account { name: "a".to_owned(), ..Account::default() };
        config.accounts.add(account, [KeyDigest(1)]).expect("an account");
        sim.revoke_ms = Some(revoke_ms as f64);
        sim.add_nodes(count);
        sim
    }

    /// Versions of the configuration by which nodes would serve requests with
    /// keys now, although a later one was acknowledged `revoke_ms` ago.
    pub fn stale_nodes(&self, revoke_ms: u64) -> Vec<usize> {
        let before = self.now.saturating_sub(revoke_ms);
        let acknowledged = self.published.iter().filter(|p| p.1 <= before);
        let required = acknowledged.map(|p| p.0).max().unwrap_or(0);
        let mut stale = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(fleet) = &node.fleet else { continue };
            let version = fleet.config().map_or(0, |config| config.version);
            let runs = node.paused_until <= self.now;
            if runs && version < required && self.is_proved(index) {
                stale.push(index);
            }
        }
        stale
    }

    /// Whether a node serves requests with keys now.
    pub fn is_proved(&self, index: usize) -> bool {
        let fleet = self.nodes[index].fleet.as_ref();
        fleet.is_some_and(|fleet| {
            fleet.config().is_some()
                && fleet.is_config_proved(Millis(self.now))
        })
    }

    /// Whether upstreams are told their ranges in calls.
    pub fn grants_in_calls(&self) -> bool {
        self.mode == GrantMode::Direct
    }

    /// A random number less than `below`.
    pub fn random(&mut self, below: u64) -> u64 {
        self.random.random_range(0..below)
    }

    /// Starts a node unless it is running.
    pub fn start_node(&mut self, index: usize) {
        let now = Millis(self.now);
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        if node.fleet.is_some() {
            return;
        }
        node.process += 1;
        let incarnation = node.process * 100 + index as u64;
        // Its connections have ended with the earlier process.
        node.connected_to = 0;
        node.offers = false;
        let mut settings = Settings { grants: self.mode, ..settings(index) };
        settings.bounds.revoke_ms = self.revoke_ms;
        node.fleet = Some(Fleet::new(settings, incarnation, seed, now));
        let process = node.process;
        self.schedule_after(0, Task::Event(index, process, Event::Tick));
    }

    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].fleet = None;
    }

    /// Starts a node after `span` milliseconds.
    pub fn start_node_in(&mut self, index: usize, span: u64) {
        self.schedule_after(span, Task::Start(index));
    }

    /// Delays the events of a node until `span` milliseconds from now.
    pub fn pause_node(&mut self, index: usize, span: u64) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Connects a node to the network or cuts it off.
    pub fn set_connected(&mut self, index: usize, connected: bool) {
        self.nodes[index].connected = connected;
    }

    /// Sets whether the store rejects the calls of a node.
    pub fn set_store_denied(&mut self, index: usize, denied: bool) {
        self.nodes[index].store_denied = denied;
    }

    /// Starts a new instance of an upstream, which holds nothing.
    pub fn start_upstream(&mut self, index: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.up = true;
        upstream.phase = Phase::Ready;
        let id = format!("u{index}");
        upstream.instance = Instance { id, started_ms: now };
        upstream.ranges.clear();
        upstream.seen.clear();
        upstream.answers.clear();
        upstream.released.clear();
        upstream.sequence = 0;
        upstream.announce_at = now + index as u64 * 37;
    }

    /// Ends the instance of an upstream and starts a new one after `span`
    /// milliseconds.
    pub fn restart_upstream_in(&mut self, index: usize, span: u64) {
        self.kill_upstream(index);
        self.schedule_after(span, Task::StartUpstream(index));
    }

    /// Ends the instance of an upstream in `span` milliseconds, and starts a new
    /// one 350 ms after that.
    pub fn replace_upstream_after(&mut self, index: usize, span: u64) {
        self.schedule_after(span, Task::ReplaceUpstream(index));
    }

    /// Publishes a version of the configuration, as the operator does.
    pub fn publish_config(&mut self, version: u64) {
        let key = (ObjectKind::Config, "main".to_owned());
        let Some((_, Value::Config(config))) = self.objects.get(&key) else {
            return;
        };
        let config = Config { version, ..Config::clone(config) };
        self.revision += 1;
        let entry = (self.revision, Value::Config(Box::new(config)));
        self.objects.insert(key, entry);
        self.published.push((version, self.now));
    }

    /// Takes a failure domain out of service, as the operator does.
    pub fn take_domain_out(&mut self, domain: &str) {
        let key = (ObjectKind::Domains, domain.to_owned());
        self.revision += 1;
        self.objects.insert(key, (self.revision, Value::Out));
    }

    /// Puts a failure domain back into service, as the operator does.
    pub fn take_domain_back(&mut self, domain: &str) {
        self.revision += 1;
        self.objects.remove(&(ObjectKind::Domains, domain.to_owned()));
    }

    /// Makes a copy of the store, from which it can be restored.
    pub fn copy_store(&mut self) {
        self.copy = Some((self.objects.clone(), self.revision));
    }

    /// Brings the store back from the copy. The operator has written its
    /// documents again by then; what the nodes wrote is gone.
    pub fn restore_store(&mut self) {
        self.restore_store_bare();
        self.rewrite_documents();
    }

    /// Like [`Simulation::restore_store`], but the operator writes nothing.
    pub fn restore_store_bare(&mut self) {
        let Some((objects, revision)) = self.copy.clone() else { return };
        let current = std::mem::replace(&mut self.objects, objects);
        self.lost = current;
        self.revision = revision;
        self.era += 1;
    }

    /// The operator writes again what a restore has taken from its documents.
    pub fn rewrite_documents(&mut self) {
        let is_document = |kind: ObjectKind| {
            matches!(kind, ObjectKind::Config | ObjectKind::Domains)
        };
        for (key, (_, value)) in std::mem::take(&mut self.lost) {
            let same = self.objects.get(&key).is_some_and(|o| o.1 == value);
            if is_document(key.0) && !same {
                self.revision += 1;
                self.objects.insert(key, (self.revision, value));
            }
        }
    }

    /// Failure domains out of service, as each running node knows them.
    pub fn domains_out(&self) -> BTreeSet<Vec<String>> {
        let fleets = self.nodes.iter().filter_map(|n| n.fleet.as_ref());
        let known = fleets.filter_map(|f| f.document(ObjectKind::Domains));
        let names = known.map(|document| match document {
            Document::Domains(_, names) => names.into_iter().collect(),
            _ => Vec::new(),
        });
        names.collect()
    }

    /// Versions of the configuration that the running nodes have in force.
    pub fn config_versions(&self) -> BTreeSet<u64> {
        let fleets = self.nodes.iter().filter_map(|n| n.fleet.as_ref());
        let version =
            |fleet: &Fleet| fleet.config().map_or(0, |config| config.version);
        fleets.map(version).collect()
    }

    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].up = false;
    }

    /// The upstream of a node reports its exit, and goes on announcing itself
    /// as ready.
    pub fn report_exit(&mut self, index: usize) {
        let id = self.upstreams[index].instance.id.clone();
        let process = self.nodes[index].process;
        let event = Event::UpstreamLeft { ticket: Ticket(u64::MAX), id };
        self.deliver(index, process, event);
    }

    /// Whether a node's gossip has last named its upstream as one that serves
    /// requests.
    pub fn is_offered(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.fleet.is_some() && node.offers
    }

    /// The record of a node in the store.
    pub fn record(&self, index: usize) -> Option<Record> {
        let key = (ObjectKind::Nodes, format!("n{index}"));
        match self.objects.get(&key) {
            Some((_, Value::Node(record))) => Some(record.clone()),
            _ => None,
        }
    }

    /// Simulates `span` milliseconds and checks the guarantees after each.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.step_upstreams();
            while let Some(entry) = self.schedule.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let task = entry.remove();
                self.perform(task);
            }
            self.fire_watches();
            self.check();
        }
    }

    /// Number of ranges that each node has in the table.
    pub fn range_counts(&self) -> Vec<usize> {
        let key = (ObjectKind::Tables, "s".to_owned());
        let Some((_, Value::Table(table))) = self.objects.get(&key) else {
            return Vec::new();
        };
        let count = |index| table.ranges_of(&format!("n{index}")).count();
        (0..self.nodes.len()).map(count).collect()
    }

    /// Share of keys that running upstreams hold now; one in 64 keys is
    /// sampled.
    pub fn held_ratio(&self) -> f64 {
        let mut keys = BTreeSet::new();
        for upstream in self.upstreams.iter().filter(|u| u.up) {
            let held = |range: &&HeldRange| {
                range.until > self.now && range.busy_until.is_none()
            };
            for range in upstream.ranges.iter().filter(held) {
                keys.extend((range.first..=range.last).step_by(64));
            }
        }
        keys.len() as f64 / 1_024.0
    }

    fn schedule_after(&mut self, span: u64, task: Task) {
        self.counter += 1;
        self.schedule.insert((self.now + span, self.counter), task);
    }

    fn perform(&mut self, task: Task) {
        match task {
            Task::Event(n, process, event) => self.deliver(n, process, event),
            Task::StoreOp { node, process, call, op } => {
                let outcome = self.execute(op);
                if let Some(call) = call {
                    let event = Event::StoreDone { call, outcome };
                    self.schedule_after(
                        STORE_ROUND_TRIP_MS / 2,
                        Task::Event(node, process, event),
                    );
                }
            }
            Task::Grant(index, started_ms, sent, grant) => {
                self.receive_grant(index, started_ms, sent, &grant);
            }
            Task::Call(index, info) => self.receive_call(index, &info),
            Task::Start(index) => self.start_node(index),
            Task::StartUpstream(index) => self.start_upstream(index),
            Task::ReplaceUpstream(index) => {
                self.restart_upstream_in(index, 350);
            }
        }
    }

    /// Steps the reducer of a node. Drops the event if that process has ended,
    /// and delays it while the process is paused.
    fn deliver(&mut self, index: usize, process: u64, event: Event) {
        let node = &mut self.nodes[index];
        if node.process != process || node.fleet.is_none() {
            return;
        }
        if node.paused_until > self.now {
            let span = node.paused_until - self.now;
            self.schedule_after(span, Task::Event(index, process, event));
            return;
        }
        let is_tick = matches!(event, Event::Tick);
        let mut out = Vec::new();
        let now = Millis(self.now);
        if let Some(fleet) = &mut node.fleet {
            fleet.step(event, now, &mut out);
        }
        for effect in out {
            self.apply_effect(index, effect);
        }
        if is_tick {
            self.schedule_after(
                TICK_INTERVAL_MS,
                Task::Event(index, process, Event::Tick),
            );
        }
    }

    /// A node fetches a document from the one at `from`.
    fn fetch(&mut self, index: usize, from: SocketAddr, kind: ObjectKind) {
        self.fetches += 1;
        let std::net::IpAddr::V4(ip) = from.ip() else { return };
        let other = usize::from(ip.octets()[3]) - 1;
        let connected = self.nodes[index].connected
            && self.nodes[other].connected
            && !self.documents_lost;
        let fleet = self.nodes[other].fleet.as_ref();
        let document = fleet.and_then(|fleet| fleet.document(kind));
        let Some(document) = document.filter(|_| connected) else { return };
        let process = self.nodes[index].process;
        let event = Event::Document(document);
        let task = Task::Event(index, process, event);
        self.schedule_after(MESSAGE_DELAY_MS, task);
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        let process = self.nodes[index].process;
        match effect {
            Effect::Send { to, gossip } => {
                self.nodes[index].offers = gossip.instance.is_some();
                if !self.nodes[index].connected {
                    return;
                }
                let from = settings(index).gossip_addr();
                for addr in to {
                    let std::net::IpAddr::V4(ip) = addr.ip() else { continue };
                    let other = usize::from(ip.octets()[3]) - 1;
                    if !self.nodes[other].connected {
                        continue;
                    }
                    let process = self.nodes[other].process;
                    let gossip = gossip.clone();
                    let event = Event::Gossip { from, gossip };
                    self.schedule_after(
                        MESSAGE_DELAY_MS,
                        Task::Event(other, process, event),
                    );
                }
            }
            Effect::Store { call, op } => self.call(index, call, op),
            Effect::Fetch { from, kind } => self.fetch(index, from, kind),
            Effect::AskConfigAge { from, asked } => {
                let std::net::IpAddr::V4(ip) = from.ip() else { return };
                let other = usize::from(ip.octets()[3]) - 1;
                let node = &self.nodes[other];
                let reached = self.nodes[index].connected && node.connected;
                let fleet = node.fleet.as_ref().filter(|_| reached);
                let now = Millis(self.now);
                let age_ms = fleet.and_then(|f| f.config_age_ms(now));
                let Some(age_ms) = age_ms else { return };
                let version = fleet.map_or(0, Fleet::config_version);
                let event = Event::ConfigAge { asked, version, age_ms };
                // A slow answer is as old as it is slow.
                let span = MESSAGE_DELAY_MS + self.random(self.answer_delay);
                self.schedule_after(span, Task::Event(index, process, event));
            }
            Effect::Relay { to, call, op } => {
                let std::net::IpAddr::V4(ip) = to.ip() else { return };
                let other = usize::from(ip.octets()[3]) - 1;
                assert!(op.is_relayed(), "{op:?}");
                self.call_by(index, other, call, op);
            }
            Effect::Propose { to, proposal } => {
                let std::net::IpAddr::V4(ip) = to.ip() else { return };
                let other = usize::from(ip.octets()[3]) - 1;
                if !self.nodes[index].connected || !self.nodes[other].connected
                {
                    return;
                }
                let process = self.nodes[other].process;
                let late = self.store_faults.late;
                let span =
                    if late { self.random(MAX_LATE_DELAY_MS) } else { 0 };
                let event = Event::Proposal(proposal);
                let span = span + MESSAGE_DELAY_MS;
                self.schedule_after(span, Task::Event(other, process, event));
            }
            Effect::Acknowledge { ticket, grant } => {
                let sent = self.tickets.remove(&(index, ticket));
                let Some((started_ms, sent)) = sent else { return };
                self.schedule_after(
                    1,
                    Task::Grant(index, started_ms, sent, grant),
                );
            }
            Effect::CallUpstream {
                ticket,
                call,
                expires,
                connect_until,
                ..
            } => {
                self.call_upstream(
                    index,
                    ticket,
                    call,
                    expires,
                    connect_until,
                );
            }
            _ => {}
        }
    }

    /// Sends a call of a node to its upstream. Each node has one connection
    /// for calls, which ends with the instance that it leads to.
    fn call_upstream(
        &mut self,
        index: usize,
        ticket: Ticket,
        call: UpstreamCall,
        expires: Millis,
        connect_until: Millis,
    ) {
        self.upstream_calls += 1;
        let process = self.nodes[index].process;
        // The shell gives up a call that was not answered in time, also one
        // whose upstream has ended. The reducer ignores a second end.
        let outcome = CallOutcome::Unknown;
        let given_up = Event::CallDone { ticket, outcome };
        let span = expires.since(Millis(self.now)) + 1;
        self.schedule_after(span, Task::Event(index, process, given_up));
        let node = &mut self.nodes[index];
        let upstream = &self.upstreams[index];
        let started_ms = upstream.instance.started_ms;
        let open = upstream.up
            && (node.connected_to == started_ms
                || Millis(self.now) < connect_until);
        if !open {
            let outcome = CallOutcome::Unsent;
            let event = Event::CallDone { ticket, outcome };
            self.schedule_after(1, Task::Event(index, process, event));
            return;
        }
        node.connected_to = started_ms;
        let faults = self.call_faults;
        let unanswered =
            self.random.random_range(0..100) < faults.unanswered_percent;
        let info = UpstreamCallInfo {
            process,
            ticket,
            call,
            instance: started_ms,
            arrived: self.now + 1,
            answered: !unanswered,
        };
        if !unanswered {
            return self.schedule_after(1, Task::Call(index, info));
        }
        let event = Event::CallDone { ticket, outcome: CallOutcome::Unknown };
        let span = if faults.reset {
            node.connected_to = 0;
            1
        } else {
            expires.since(Millis(self.now))
        };
        self.schedule_after(span, Task::Event(index, process, event));
        if !faults.lost {
            let span =
                if faults.late { self.random(MAX_LATE_DELAY_MS) } else { 0 };
            self.schedule_after(1 + span, Task::Call(index, info));
        }
    }

    /// Applies a call at an upstream, unless the instance that received it has
    /// ended.
    fn receive_call(&mut self, index: usize, info: &UpstreamCallInfo) {
        let now = self.now;
        let work = self.random.random_range(0..400);
        let upstream = &mut self.upstreams[index];
        if !upstream.up || upstream.instance.started_ms != info.instance {
            return;
        }
        let (first, last) = info.call.keys();
        let fence = info.call.fence();
        let outcome = match &info.call {
            UpstreamCall::Grant { hold_ms, .. } => {
                let seen_higher = upstream
                    .seen
                    .iter()
                    .any(|s| s.2 > fence && s.0 <= last && first <= s.1);
                if seen_higher {
                    CallOutcome::Rejected
                } else {
                    upstream.seen.push((first, last, fence));
                    let until = info.arrived + hold_ms * 102 / 100;
                    upstream.hold(first, last, fence, until);
                    CallOutcome::Done { handover: None }
                }
            }
            UpstreamCall::Release(held) => {
                let end = upstream.start_release(*held, now + work);
                if info.answered {
                    let handover = format!("{index}-{first}-{fence}");
                    let (process, ticket) = (info.process, info.ticket);
                    let at = end;
                    upstream.answers.push(ReleaseAnswer {
                        at,
                        process,
                        ticket,
                        handover,
                    });
                }
                return;
            }
        };
        if info.answered {
            let ticket = info.ticket;
            let event = Event::CallDone { ticket, outcome };
            self.schedule_after(1, Task::Event(index, info.process, event));
        }
    }

    fn call(&mut self, index: usize, call: Call, op: Op) {
        self.call_by(index, index, call, op);
    }

    /// Calls the store for node `index` over the connection of node `by`.
    fn call_by(&mut self, index: usize, by: usize, call: Call, op: Op) {
        self.calls += 1;
        self.lists += u32::from(matches!(op, Op::List { .. }));
        let process = self.nodes[index].process;
        let node = &self.nodes[by];
        let connected = node.connected && self.nodes[index].connected;
        let up = node.fleet.is_some() && node.paused_until <= self.now;
        if self.store_faults.down || node.store_denied || !connected || !up {
            let outcome = match op {
                Op::Update { .. } if !connected => StoreOutcome::Unknown,
                _ => StoreOutcome::Unavailable,
            };
            let event = Event::StoreDone { call, outcome };
            self.schedule_after(300, Task::Event(index, process, event));
            return;
        }
        if let Op::Watch { kind, after, wait_ms } = op {
            let end = self.now + wait_ms;
            self.watches.push((index, process, kind, after, end));
            return;
        }
        let is_write = matches!(op, Op::Update { .. });
        let lost = is_write
            && self.random.random_range(0..100)
                < self.store_faults.lost_percent;
        if lost {
            let span = if self.store_faults.late {
                self.random.random_range(1_000..MAX_LATE_DELAY_MS)
            } else {
                STORE_ROUND_TRIP_MS / 2
            };
            let event =
                Event::StoreDone { call, outcome: StoreOutcome::Unknown };
            self.schedule_after(500, Task::Event(index, process, event));
            self.schedule_after(
                span,
                Task::StoreOp { node: index, process, call: None, op },
            );
            return;
        }
        let call = Some(call);
        self.schedule_after(
            STORE_ROUND_TRIP_MS / 2,
            Task::StoreOp { node: index, process, call, op },
        );
    }

    fn item(&self, kind: ObjectKind, name: &str) -> Option<Item> {
        let (revision, value) = self.objects.get(&(kind, name.to_owned()))?;
        let value = Some(value.clone());
        let revision = qualify(self.era, *revision);
        Some(Item { name: name.to_owned(), revision, value })
    }

    /// Performs an operation on the objects of the store.
    fn execute(&mut self, op: Op) -> StoreOutcome {
        match op {
            Op::List { kind } => {
                let of = |(key, _): &(&(ObjectKind, String), _)| key.0 == kind;
                let all = self.objects.iter().filter(of);
                let names: Vec<String> =
                    all.map(|(key, _)| key.1.clone()).collect();
                let items =
                    names.iter().filter_map(|name| self.item(kind, name));
                let items = items.collect();
                let revision = qualify(self.era, self.revision);
                StoreOutcome::Listed { items, revision }
            }
            Op::Read { kind, name } => match self.item(kind, &name) {
                Some(item) => StoreOutcome::Done(item),
                None => StoreOutcome::Missing,
            },
            Op::Update { kind, name, expect, value } => {
                let current = self.item(kind, &name);
                let revision = current.as_ref().map_or(0, |i| i.revision);
                let is_table = kind == ObjectKind::Tables;
                // The store compares the revisions that it has given out in
                // whatever era.
                if number_of(revision) != number_of(expect) {
                    self.updates.1 += u32::from(is_table);
                    return StoreOutcome::Conflict(current);
                }
                self.updates.0 += u32::from(is_table);
                self.revision += 1;
                let entry = (self.revision, value);
                self.objects.insert((kind, name.clone()), entry);
                match self.item(kind, &name) {
                    Some(item) => StoreOutcome::Done(item),
                    None => StoreOutcome::Missing,
                }
            }
            Op::Watch { .. } => StoreOutcome::Unavailable,
        }
    }

    /// Ends the watches that have changes to report, have reached their end or
    /// have lost their connection.
    fn fire_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (index, process, kind, after, end) in watches {
            let changed = |entry: &(&(ObjectKind, String), &(u64, Value))| {
                entry.0.0 == kind && entry.1.0 > number_of(after)
            };
            let names: Vec<String> = self
                .objects
                .iter()
                .filter(changed)
                .map(|entry| entry.0.1.clone())
                .collect();
            let node = &self.nodes[index];
            let unreachable =
                self.store_faults.down || node.store_denied || !node.connected;
            let outcome = if unreachable {
                StoreOutcome::Unavailable
            } else if number_of(after) > self.revision {
                StoreOutcome::Compacted
            } else if self.is_silent(index) && self.now < end + WATCH_MARGIN_MS
            {
                self.watches.push((index, process, kind, after, end));
                continue;
            } else if self.is_silent(index) {
                StoreOutcome::Unavailable
            } else if !names.is_empty() || self.now >= end {
                let mut items: Vec<Item> =
                    names.iter().filter_map(|n| self.item(kind, n)).collect();
                if self.store_faults.watches == WatchFault::Empty {
                    items.clear();
                }
                let revision = qualify(self.era, self.revision);
                StoreOutcome::Changed { items, revision }
            } else {
                self.watches.push((index, process, kind, after, end));
                continue;
            };
            let call = Call::Watch { kind, after };
            let event = Event::StoreDone { call, outcome };
            self.schedule_after(
                STORE_ROUND_TRIP_MS / 2,
                Task::Event(index, process, event),
            );
        }
    }

    /// Whether the watches of a node report nothing.
    fn is_silent(&self, index: usize) -> bool {
        match self.store_faults.watches {
            WatchFault::Silent(except) => except != Some(index),
            WatchFault::Empty | WatchFault::None => false,
        }
    }

    /// Releases ranges whose last request has ended, drops expired ones, and
    /// sends the announcements that are due.
    fn step_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let upstream = &mut self.upstreams[index];
            if !upstream.up {
                continue;
            }
            let mut done = Vec::new();
            upstream.ranges.retain(|range| {
                let ended = range.busy_until.is_some_and(|end| end <= now);
                if ended {
                    done.push(*range);
                }
                !ended
            });
            for HeldRange { first, last, fence, .. } in done {
                let handover = format!("{index}-{first}-{fence}");
                if self.mode == GrantMode::Heartbeat {
                    upstream.released.push(Released { first, last, handover });
                }
            }
            upstream.ranges.retain(|range| range.until > now);
            let (ended, waiting) = std::mem::take(&mut upstream.answers)
                .into_iter()
                .partition(|answer| answer.at <= now);
            upstream.answers = waiting;
            let ended: Vec<ReleaseAnswer> = ended;
            for answer in ended {
                let ReleaseAnswer { process, ticket, handover, .. } = answer;
                let outcome = CallOutcome::Done { handover: Some(handover) };
                let event = Event::CallDone { ticket, outcome };
                self.schedule_after(1, Task::Event(index, process, event));
            }
            let upstream = &mut self.upstreams[index];
            if now >= upstream.announce_at {
                self.announce(index);
            }
        }
    }

    /// Sends the announcement of an upstream to its node.
    fn announce(&mut self, index: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.sequence += 1;
        upstream.announce_at = now + ANNOUNCE_INTERVAL_MS;
        let to_held = |range: &HeldRange| Held {
            first: range.first,
            last: range.last,
            fence: range.fence,
        };
        let announcement = Box::new(Announcement {
            instance: upstream.instance.clone(),
            service: "s".to_owned(),
            address: settings(index).upstream.to_string(),
            slots: 10,
            phase: upstream.phase,
            cold_ms: 0,
            unlisted: false,
            sequence: upstream.sequence,
            holds: upstream.ranges.iter().map(to_held).collect(),
            released: upstream.released.clone(),
        });
        let ticket = Ticket(self.counter);
        self.counter += 1;
        let started_ms = upstream.instance.started_ms;
        self.tickets.insert((index, ticket), (started_ms, now));
        let process = self.nodes[index].process;
        let event = Event::Announced { ticket, announcement };
        self.schedule_after(1, Task::Event(index, process, event));
    }

    /// Applies the answer to an announcement, unless the upstream has
    /// restarted since or the answer came after a second or more.
    fn receive_grant(
        &mut self,
        index: usize,
        started_ms: u64,
        sent: u64,
        grant: &Grant,
    ) {
        let now = self.now;
        let work = self.random.random_range(0..400);
        let upstream = &mut self.upstreams[index];
        let timely = upstream.up
            && upstream.instance.started_ms == started_ms
            && now.saturating_sub(sent) < 1_000;
        if !timely {
            return;
        }
        upstream.released.clear();
        let Some(ranges) = &grant.ranges else { return };
        let until = sent + grant.hold_ms * 102 / 100;
        let known = upstream.ranges.iter().map(|range| range.until);
        let until = known.fold(until, u64::max);
        let mut granted: Vec<HeldRange> = Vec::new();
        for range in ranges {
            granted.push(HeldRange {
                first: range.first,
                last: range.last,
                fence: range.fence,
                until,
                busy_until: None,
            });
        }
        for old in std::mem::take(&mut upstream.ranges) {
            for (first, last) in uncovered(&old, &granted) {
                let busy_until = Some(old.busy_until.unwrap_or(now + work));
                upstream.ranges.push(HeldRange {
                    first,
                    last,
                    until,
                    busy_until,
                    ..old
                });
            }
        }
        let releasing = !upstream.ranges.is_empty();
        upstream.ranges.extend(granted);
        if releasing {
            upstream.announce_at =
                upstream.announce_at.min(now + RELEASE_ANNOUNCE_DELAY_MS);
        }
    }

    /// Checks that no key has two owners, and that a key gets a higher fencing
    /// token with each new owner.
    fn check(&mut self) {
        let now = self.now;
        let mut held: Vec<(u16, u16, usize, u64, u64)> = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.up {
                continue;
            }
            let started_ms = upstream.instance.started_ms;
            for range in upstream.ranges.iter().filter(|r| r.until > now) {
                held.push((
                    range.first,
                    range.last,
                    index,
                    range.fence,
                    started_ms,
                ));
            }
        }
        held.sort_unstable();
        for (position, one) in held.iter().enumerate() {
            for two in &held[position + 1..] {
                if two.0 > one.1 {
                    break;
                }
                if one.2 != two.2 {
                    let violation =
                        format!("{now}: two owners {one:?} {two:?}");
                    self.violations.push(violation);
                }
            }
        }
        for (first, last, index, fence, started_ms) in held {
            for key in [first, last] {
                let known = self.fences.entry(key).or_insert((0, 0, 0));
                let new_owner = (known.1, known.2) != (index, started_ms);
                if new_owner && fence <= known.0 {
                    let violation = format!(
                        "{now}: fencing token {fence} of key {key} is not new"
                    );
                    self.violations.push(violation);
                }
                if fence > known.0 {
                    *known = (fence, index, started_ms);
                }
            }
        }
    }
}

impl Upstream {
    /// Holds a range until `until`, instead of until the end of an earlier
    /// grant.
    fn hold(&mut self, first: u16, last: u16, fence: u64, until: u64) {
        let busy_until = None;
        let range = HeldRange { first, last, fence, until, busy_until };
        let mut ranges = Vec::new();
        for old in std::mem::take(&mut self.ranges) {
            let parts = uncovered(&old, std::slice::from_ref(&range));
            for (first, last) in parts {
                ranges.push(HeldRange { first, last, ..old });
            }
        }
        ranges.push(range);
        self.ranges = ranges;
    }

    /// Releases a range once its last request has ended, `end` at the latest,
    /// unless it holds the range under a higher token. Returns when.
    fn start_release(&mut self, gone: Held, end: u64) -> u64 {
        let mut ranges = Vec::new();
        let mut released_at = end;
        for old in std::mem::take(&mut self.ranges) {
            let (first, last) =
                (old.first.max(gone.first), old.last.min(gone.last));
            if first > last || old.fence > gone.fence {
                ranges.push(old);
                continue;
            }
            let busy = old.busy_until.unwrap_or(end);
            released_at = released_at.max(busy);
            let busy_until = Some(busy);
            let inside = HeldRange { first, last, busy_until, ..old };
            let parts = uncovered(&old, std::slice::from_ref(&inside));
            ranges.push(inside);
            for (first, last) in parts {
                ranges.push(HeldRange { first, last, ..old });
            }
        }
        self.ranges = ranges;
        released_at
    }
}

/// Parts of the range `old` that are in none of `ranges`.
fn uncovered(old: &HeldRange, ranges: &[HeldRange]) -> Vec<(u16, u16)> {
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
    parts.into_iter().map(|(f, l)| (f as u16, l as u16)).collect()
}
