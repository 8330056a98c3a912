//! Measures the CPU time of the fleet reducer by event and by number of nodes.
//!
//! Prints the mean time of an event in microseconds: a tick, a gossip message,
//! a caller's request that is forwarded by key (`caller`) or to a service
//! without keys (`any`), a peer's request that is dispatched to the local
//! upstream (`owner`), each with its answer, and a changed table.
//!
//! Run with `cargo run --release --example fleet`.

use std::net::SocketAddr;
use std::time::Instant;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::config::{Config, Route, Service, Target};
use lagoondyke_core::fleet::effect::Effect;
use lagoondyke_core::fleet::event::{
    Arrival, Call, Event, Item, ObjectKind, Order, Outcome, Source,
    StoreOutcome, Value,
};
use lagoondyke_core::fleet::gossip::Gossip;
use lagoondyke_core::fleet::lease::Record;
use lagoondyke_core::fleet::settings::{Bounds, GrantMode, Settings};
use lagoondyke_core::fleet::table::{Instance, MAX_KEY, Share, Table};
use lagoondyke_core::fleet::upstream::{Announcement, Phase};
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_core::settings::LogSettings;

/// Requests in flight while the events are timed.
const OPEN_REQUEST_COUNT: u64 = 60;

/// Events of each kind that are timed; a tenth as many changed tables.
const EVENT_COUNT: u64 = 5_000;

/// Ranges of each node in the table.
const NODE_RANGE_COUNT: usize = 8;

fn settings() -> Settings {
    let addr = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    Settings {
        node: "sidecar-0".to_owned(),
        ip: [10, 0, 0, 1].into(),
        domain: "d0".to_owned(),
        service: "k".to_owned(),
        upstream: addr(1),
        callers: addr(2),
        peers: addr(3),
        health: addr(4),
        announcements: addr(5),
        gossip: 6,
        metrics: 7,
        store: addr(8),
        grants: GrantMode::Heartbeat,
        bounds: Bounds {
            stop_s: Some(6.0),
            hold_ms: Some(10_000.0),
            retry_slack: Some(50.0),
            retry_share: Some(0.2),
            drain_ms: Some(2_000.0),
            evacuate_ms: Some(5_000.0),
            config_ms: Some(2_000.0),
            revoke_ms: None,
            announce_ms: Some(1_000.0),
        },
        log: LogSettings::default(),
    }
}

fn config() -> Config {
    let mut config = Config { version: 1, ..Config::default() };
    let route = |name: &str| Route {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target { service: name.to_owned(), weight: 1.0 }],
        timeout_ms: 60_000,
        objective_ms: 60_000,
        attempts: 2,
        ..Route::default()
    };
    for (name, keyed) in [("k", true), ("u", false)] {
        let service = Service { keyed, ..Service::default() };
        config.services.insert(name.to_owned(), service);
    }
    let routes = vec![route("k"), route("u")];
    config.hosts.insert("h".to_owned(), routes);
    config
}

/// The reducer of the node `sidecar-0`, and the events that are timed.
struct Harness {
    fleet: Fleet,
    now: u64,
    /// Ticket of the next request.
    next_ticket: u64,
    /// Number of gossip messages and announcements so far, as their sequence
    /// number.
    message_count: u64,
    /// Number of peers.
    nodes: usize,
    /// Revision of the table.
    revision: u64,
    /// A key that the peer `sidecar-1` owns.
    peer_key: u16,
}

impl Harness {
    /// A node that has claimed its ranges, with `nodes` peers. A fourth of
    /// them have an upstream of a service without keys.
    fn new(nodes: usize) -> Self {
        let fleet = Fleet::new(settings(), 1, 7, Millis(1_000));
        let mut harness = Self {
            fleet,
            now: 1_000,
            next_ticket: 1,
            message_count: 0,
            nodes,
            revision: 9,
            peer_key: 0,
        };
        let config = Value::Config(Box::new(config()));
        harness.listed(ObjectKind::Config, "main", config);
        let table = harness.table();
        let other = table.ranges_of("sidecar-1").next().expect("a range");
        harness.peer_key = other.first;
        harness.listed(ObjectKind::Tables, "k", Value::Table(table));
        for node in 1..=nodes {
            harness.gossip(node);
        }
        harness.step(Event::Tick);
        let record = Record { incarnation: 1, ..Record::default() };
        for (call, revision) in [(Call::ReadRecord, 1), (Call::Renew, 2)] {
            let name = "sidecar-0".to_owned();
            let value = Some(Value::Node(record.clone()));
            let outcome = StoreOutcome::Done(Item { name, revision, value });
            harness.step(Event::StoreDone { call, outcome });
        }
        harness.announce();
        harness
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.fleet.step(event, Millis(self.now), &mut out);
        out
    }

    fn listed(&mut self, kind: ObjectKind, name: &str, value: Value) {
        let name = name.to_owned();
        let items = vec![Item { name, revision: 5, value: Some(value) }];
        let outcome = StoreOutcome::Listed { items, revision: 5 };
        self.step(Event::StoreDone { call: Call::List(kind), outcome });
    }

    fn instance(node: usize) -> Instance {
        Instance { id: format!("i-{node}"), started_ms: 1 }
    }

    /// A table in which the owners' ranges alternate.
    fn table(&self) -> Table {
        let name = |node| format!("sidecar-{node}");
        let share = |node| Share { node: name(node), slots: 12 };
        let keyed = |node: &usize| node % 4 != 3;
        let owners: Vec<usize> = (0..=self.nodes).filter(keyed).collect();
        let shares: Vec<Share> = owners.iter().map(|&n| share(n)).collect();
        let mut table = Table::proportional(&shares);
        let ranges = owners.len() * NODE_RANGE_COUNT;
        for index in 0..ranges {
            let node = owners[index % owners.len()];
            let bound = |index| usize::from(MAX_KEY) * index / ranges;
            let keys = (bound(index) as u16, bound(index + 1) as u16);
            let fence = table.fence + 1;
            let instance = Self::instance(node);
            table.assign(keys, fence, &name(node), Some(&instance), None);
        }
        table.claims.insert("sidecar-0".to_owned(), 2);
        table
    }

    fn gossip(&mut self, node: usize) {
        self.message_count += 1;
        let keyed = node % 4 != 3;
        let gossip = Gossip {
            node: format!("sidecar-{node}"),
            count: self.message_count,
            peer_port: 3,
            domain: format!("d{}", node % 4),
            service: if keyed { "k" } else { "u" }.to_owned(),
            instance: Some(Self::instance(node)),
            slots: 12,
            mean_ms: 100,
            good: 1_000,
            rate: 10.0,
            capacity: 50.0,
            lease: Some((3, 5_000)),
            ..Gossip::default()
        };
        let from = SocketAddr::from(([10, 0, 1, node as u8], 6));
        let bytes = gossip.encode().expect("a datagram");
        let gossip = Box::new(Gossip::decode(&bytes).expect("a datagram"));
        self.step(Event::Gossip { from, gossip });
    }

    fn announce(&mut self) {
        self.message_count += 1;
        let announcement = Box::new(Announcement {
            instance: Self::instance(0),
            service: "k".to_owned(),
            address: settings().upstream.to_string(),
            slots: 1_000,
            phase: Phase::Ready,
            sequence: self.message_count,
            ..Announcement::default()
        });
        let ticket = Ticket(1 << 40 | self.message_count);
        self.step(Event::Announced { ticket, announcement });
    }

    /// A caller's request, which carries a key of `sidecar-1`.
    fn caller_request(&mut self, path: &str) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.step(Event::Request(Arrival {
            ticket,
            source: Source::Caller,
            id: format!("{:016x}", ticket.0),
            host: "h".to_owned(),
            path: path.to_owned(),
            key: Some(self.peer_key),
            budget: 60_000,
            fingerprint: Fingerprint(ticket.0),
            credential: None,
            order: None,
        }));
        ticket
    }

    /// A request that a peer forwards to the local upstream.
    fn peer_request(&mut self) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.step(Event::Request(Arrival {
            ticket,
            source: Source::Peer,
            id: format!("{:016x}", ticket.0),
            host: "h".to_owned(),
            path: "/k/".to_owned(),
            key: Some(1),
            budget: 60_000,
            fingerprint: Fingerprint(ticket.0),
            credential: None,
            order: Some(Order {
                service: "k".to_owned(),
                key: Some(1),
                priority: 1,
                idempotent: true,
                budget: 60_000,
                objective: 60_000,
                origin: "u".to_owned(),
                account: None,
            }),
        }));
        ticket
    }

    /// The answer to a request, from a peer or from the local upstream.
    fn done(&mut self, ticket: Ticket, peer: bool) {
        let outcome = Outcome { result: Ok(200), load: None, condition: None };
        self.step(if peer {
            Event::PeerDone { ticket, outcome }
        } else {
            Event::UpstreamDone { ticket, outcome }
        });
    }

    /// A changed table arrives.
    fn table_changed(&mut self, text: &str) {
        self.revision += 1;
        let table = serde_json::from_str(text).expect("a table");
        let value = Some(Value::Table(table));
        let (name, revision) = ("k".to_owned(), self.revision);
        let items = vec![Item { name, revision, value }];
        let outcome = StoreOutcome::Changed { items, revision };
        let after = self.revision - 1;
        let call = Call::Watch { kind: ObjectKind::Tables, after };
        self.step(Event::StoreDone { call, outcome });
    }
}

/// Microseconds that each of `rounds` calls takes on average.
fn time(rounds: u64, mut call: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn main() {
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "nodes", "tick", "gossip", "caller", "any", "owner", "table"
    );
    for nodes in [10, 40, 80, 160] {
        let mut harness = Harness::new(nodes);
        for _ in 0..OPEN_REQUEST_COUNT {
            harness.caller_request("/u/");
            harness.peer_request();
        }
        let tick = time(EVENT_COUNT, |_| {
            harness.now += 1;
            harness.step(Event::Tick);
        });
        let gossip =
            time(EVENT_COUNT, |n| harness.gossip(1 + n as usize % nodes));
        let caller = time(EVENT_COUNT, |_| {
            let ticket = harness.caller_request("/k/");
            harness.done(ticket, true);
        });
        let any = time(EVENT_COUNT, |_| {
            let ticket = harness.caller_request("/u/");
            harness.done(ticket, true);
        });
        let owner = time(EVENT_COUNT, |_| {
            let ticket = harness.peer_request();
            harness.done(ticket, false);
        });
        let text = serde_json::to_string(&harness.table()).expect("json");
        let table = time(EVENT_COUNT / 10, |_| harness.table_changed(&text));
        println!(
            "{nodes:>6} {tick:>8.2} {gossip:>8.2} {caller:>8.2} {any:>8.2} \
             {owner:>8.2} {table:>8.2}"
        );
    }
}
