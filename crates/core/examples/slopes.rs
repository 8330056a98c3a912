//! Measures what control costs at a leader and at a member.
//!
//! `cargo run --release -p lagoondyke-core --example slopes` prints, for one
//! leader with 25, 100 and 400 members and 256 shards: CPU time and bytes of
//! datagrams per second of protocol time, and the memory of the state. Then,
//! for an ingress that knows 25, 100 and 400 groups of 24 members and 64
//! shards: the bytes of the maps it fetched, the memory of its cache, and the
//! time of one lookup. The numbers are input of `docs/CAPACITY.md`.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lagoondyke_core::clock::{Millis, TICK_INTERVAL_MS};
use lagoondyke_core::config::{Config, Domain, Service};
use lagoondyke_core::control::{Control, GroupMap, MapMember, OwnerRun};
use lagoondyke_core::effect::{Effect, StoreOp};
use lagoondyke_core::event::StoreOutcome;
use lagoondyke_core::group::{Group, Load, NodeIdentity, View};
use lagoondyke_core::id::{
    CallId, Epoch, GroupId, Incarnation, KeyHash, NodeAddr, Subsystem,
};
use lagoondyke_core::record::{Record, Tenure};
use lagoondyke_core::route::{Lookup, Routes};

const SERVICE: &str = "katalog";

/// Protocol time before measuring, in milliseconds.
const SETTLE: u64 = 20_000;

/// Protocol time measured, in milliseconds.
const MEASURE: u64 = 20_000;

/// Members and shards of a group in the ingress's cache.
const MEMBERS: u16 = 24;
const SHARDS: u16 = 64;

/// Lookups measured.
const LOOKUPS: u64 = 1_000_000;

/// Counts live bytes of the heap.
struct Counter;

static LIVE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static HEAP: Counter = Counter;

/// What one node used.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    busy: Duration,
    received: usize,
    sent: usize,
}

struct Host {
    addr: NodeAddr,
    group: Group,
    usage: Usage,
}

/// A group whose datagrams arrive within the same tick.
struct Bench {
    hosts: Vec<Host>,
    config: Config,
    load: Load,
    record: Option<(u64, Vec<u8>)>,
    now: Millis,
}

impl Bench {
    fn new(members: usize) -> Self {
        let now = Millis(1_000);
        let host = |n: usize| {
            let port = 10_000 + n as u16;
            let addr = NodeAddr(([127, 0, 0, 1], port).into());
            let seat = NodeIdentity {
                addr,
                incarnation: Incarnation(n as u32 + 1),
                domain: ["aarhus", "vejle", "viborg"][n % 3].into(),
                service: SERVICE.into(),
                upstream: format!("u{n}"),
                slots: 20,
            };
            let group = Group::new(seat, n as u64, now);
            let usage = Usage::default();
            Host { addr, group, usage }
        };
        Self {
            hosts: (0..members).map(host).collect(),
            config: config(),
            load: Load { busy: 5, limit: 20, ..Load::default() },
            record: None,
            now,
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(TICK_INTERVAL_MS);
            for node in 0..self.hosts.len() {
                self.step(node, |group, view, now, out| {
                    group.tick(view, now, out);
                });
            }
        }
    }

    /// Steps one node and performs the effects, recursively.
    fn step(
        &mut self,
        node: usize,
        event: impl FnOnce(&mut Group, View<'_>, Millis, &mut Vec<Effect>),
    ) {
        let view = View { config: &self.config, version: 1, load: &self.load };
        let mut out = Vec::new();
        let host = &mut self.hosts[node];
        let begun = Instant::now();
        event(&mut host.group, view, self.now, &mut out);
        host.usage.busy += begun.elapsed();
        for effect in out {
            self.perform(node, effect);
        }
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(node, to, &message),
            Effect::Store { call, op } => {
                let outcome = self.store(op);
                self.step(node, |group, view, now, out| {
                    group.stored(call, outcome, view, now, out);
                });
            }
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: NodeAddr, message: &Control) {
        let begun = Instant::now();
        let bytes = message.encode().expect("message fits a datagram");
        let host = &mut self.hosts[node];
        host.usage.busy += begun.elapsed();
        host.usage.sent += bytes.len();
        let from = host.addr;
        let to = usize::from(to.0.port() - 10_000);
        let begun = Instant::now();
        let message = Control::decode(&bytes).expect("valid datagram");
        let host = &mut self.hosts[to];
        host.usage.busy += begun.elapsed();
        host.usage.received += bytes.len();
        self.step(to, |group, view, now, out| {
            group.datagram(from, &message, view, now, out);
        });
    }

    fn store(&mut self, op: StoreOp) -> StoreOutcome {
        match op {
            StoreOp::Read { .. } | StoreOp::Watch { .. } => {
                match self.record.clone() {
                    Some((version, value)) => {
                        StoreOutcome::Read { version, value }
                    }
                    None => StoreOutcome::Missing,
                }
            }
            StoreOp::Update { expect, value, .. } => {
                if self.record.as_ref().map_or(0, |r| r.0) != expect {
                    return StoreOutcome::Conflict;
                }
                self.record = Some((expect + 1, value));
                StoreOutcome::Written { version: expect + 1 }
            }
        }
    }
}

/// Heap and own size of a node's state, in bytes.
fn memory(group: Group) -> usize {
    let before = LIVE.load(Ordering::Relaxed);
    drop(group);
    before - LIVE.load(Ordering::Relaxed) + size_of::<Group>()
}

fn print(role: &str, members: usize, usage: Usage, memory: usize) {
    let seconds = MEASURE as f64 / 1_000.0;
    println!(
        "{role:<7} {members:>7} {:>10.1} {:>11.0} {:>10.0} {memory:>8}",
        usage.busy.as_secs_f64() * 1e6 / seconds,
        usage.received as f64 / seconds,
        usage.sent as f64 / seconds,
    );
}

fn main() {
    println!(
        "{:<7} {:>7} {:>10} {:>11} {:>10} {:>8}",
        "role", "members", "CPU us/s", "received B/s", "sent B/s", "state B"
    );
    for members in [25, 100, 400] {
        let mut bench = Bench::new(members);
        bench.run(SETTLE);
        for host in &mut bench.hosts {
            host.usage = Usage::default();
        }
        bench.run(MEASURE);
        // A member that does not stand by sends the least.
        let leads = |h: &Host| h.group.leads();
        let (mut leaders, mut others): (Vec<Host>, Vec<Host>) =
            bench.hosts.into_iter().partition(leads);
        others.sort_by_key(|h| h.usage.sent);
        let (leader, member) = (leaders.remove(0), others.remove(0));
        print("leader", members, leader.usage, memory(leader.group));
        print("member", members, member.usage, memory(member.group));
    }
    println!(
        "\n{:>7} {:>9} {:>9} {:>9} {:>9}",
        "groups", "map B", "cache B", "lookup ns", "found"
    );
    for groups in [25, 100, 400] {
        ingress(groups);
    }
}

/// A group's map in which no two neighbouring shards have the same owner.
fn map(group: GroupId) -> GroupMap {
    let member = |n: u16| MapMember {
        addr: NodeAddr(([127, 0, 0, 1], 10_000 + n).into()),
        incarnation: Incarnation(u32::MAX - u32::from(n)),
        domain: u32::MAX,
        limit: 20,
    };
    let run = |n| OwnerRun { count: 1, owner: Some(n % MEMBERS) };
    GroupMap {
        group,
        epoch: Epoch(3),
        version: 300,
        parts: 1,
        members: (0..MEMBERS).map(member).collect(),
        owners: (0..SHARDS).map(run).collect(),
        ..GroupMap::default()
    }
}

/// Fills an ingress's cache as requests for all groups would.
fn learn(routes: &mut Routes, spec: &Service, out: &mut Vec<Effect>) -> usize {
    let leader = NodeAddr(([127, 0, 0, 1], 10_000).into());
    let record = Record {
        epoch: Epoch(3),
        leader,
        standbys: Vec::new(),
        writer: 1,
        tenure: Tenure::Led,
    };
    let now = Millis(1_000);
    let mut bytes = 0;
    for index in 0..spec.groups {
        let key = KeyHash(u64::from(index));
        routes.owner(SERVICE, spec, key, now, out);
        let number = u32::from(index) + 1;
        let call = CallId { subsystem: Subsystem::Route, number };
        let value = record.encode();
        let outcome = StoreOutcome::Read { version: 1, value };
        routes.stored(call, outcome, now, out);
        let message = Control::Map(map(GroupId::of(SERVICE, index)));
        bytes += message.encode().expect("map fits a datagram").len();
        routes.datagram(leader, &message, now, out);
        out.clear();
    }
    bytes
}

fn ingress(groups: u16) {
    let mut spec = config().services.remove(SERVICE).expect("service");
    (spec.groups, spec.shards) = (groups, groups * SHARDS);
    let mut out = Vec::new();
    let before = LIVE.load(Ordering::Relaxed);
    let mut routes = Routes::new();
    let bytes = learn(&mut routes, &spec, &mut out);
    let memory = LIVE.load(Ordering::Relaxed) - before;
    let begun = Instant::now();
    let mut found = 0;
    for n in 0..LOOKUPS {
        let key = KeyHash(n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let at = routes.owner(SERVICE, &spec, key, Millis(1_000), &mut out);
        found += u64::from(matches!(at, Lookup::Owner(_)));
    }
    let nanos = begun.elapsed().as_nanos() as f64 / LOOKUPS as f64;
    println!(
        "{groups:>7} {bytes:>9} {memory:>9} {nanos:>9.0} {:>9.2}",
        found as f64 / LOOKUPS as f64
    );
}

fn config() -> Config {
    let service = Service {
        keyed: true,
        shards: 256,
        groups: 1,
        fenced: false,
        shares: BTreeMap::new(),
        partners: BTreeMap::new(),
        hedge: false,
    };
    let domain = |d: &str| (d.to_string(), Domain::default());
    Config {
        operator: "jutland".into(),
        domains: ["aarhus", "vejle", "viborg"].map(domain).into(),
        services: [(SERVICE.to_string(), service)].into(),
    }
}
