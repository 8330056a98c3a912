//! Measures the cost of the control protocol at a leader and at a member.
//!
//! `cargo run --release -p lagoondyke-core --example slopes` prints, for one
//! leader with 25, 100 and 400 members and 256 shards: CPU time and bytes of
//! datagrams per second of simulated time, and the memory of the state. Then,
//! for an ingress that knows 25, 100 and 400 groups of 24 members and 64
//! shards: the bytes of the maps it fetched, the memory of its cache, and the
//! time of one look-up. `docs/CAPACITY.md` is based on these figures.

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

/// Simulated time before the measurement, in which the group settles.
const SETTLE_MS: u64 = 20_000;

/// Simulated time of the measurement.
const MEASUREMENT_MS: u64 = 20_000;

/// Members of each group in the ingress's cache.
const MEMBER_COUNT: u16 = 24;

/// Shards of each group in the ingress's cache.
const SHARD_COUNT: u16 = 64;

/// Look-ups whose time is measured.
const LOOKUP_COUNT: u64 = 1_000_000;

/// Passes calls on to the system's allocator and counts allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Resources that one node has used.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Time in the reducer and in encoding and decoding datagrams.
    busy: Duration,
    received_bytes: usize,
    sent_bytes: usize,
}

/// A node and what it has used.
struct Node {
    addr: NodeAddr,
    group: Group,
    usage: Usage,
}

/// A group of nodes whose datagrams arrive within the same tick, and a store
/// that answers at once.
struct Simulation {
    nodes: Vec<Node>,
    config: Config,
    load: Load,
    /// The group's record in the store, with its version.
    record: Option<(u64, Vec<u8>)>,
    now: Millis,
}

impl Simulation {
    fn new(members: usize) -> Self {
        let now = Millis(1_000);
        let node = |n: usize| {
            let port = 10_000 + n as u16;
            let addr = NodeAddr(([127, 0, 0, 1], port).into());
            let identity = NodeIdentity {
                addr,
                incarnation: Incarnation(n as u32 + 1),
                domain: ["aarhus", "vejle", "viborg"][n % 3].into(),
                service: SERVICE.into(),
                upstream: format!("u{n}"),
                slots: 20,
            };
            let group = Group::new(identity, n as u64, now);
            let usage = Usage::default();
            Node { addr, group, usage }
        };
        Self {
            nodes: (0..members).map(node).collect(),
            config: config(),
            load: Load { busy: 5, limit: 20, ..Load::default() },
            record: None,
            now,
        }
    }

    /// Runs `span` milliseconds of simulated time.
    fn run(&mut self, span: u64) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(TICK_INTERVAL_MS);
            for index in 0..self.nodes.len() {
                self.step(index, |group, view, now, out| {
                    group.tick(view, now, out);
                });
            }
        }
    }

    /// Steps one node and performs the effects, which may step others.
    fn step(
        &mut self,
        index: usize,
        event: impl FnOnce(&mut Group, View<'_>, Millis, &mut Vec<Effect>),
    ) {
        let view = View { config: &self.config, version: 1, load: &self.load };
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        let started = Instant::now();
        event(&mut node.group, view, self.now, &mut out);
        node.usage.busy += started.elapsed();
        for effect in out {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(index, to, &message),
            Effect::Store { call, op } => {
                let outcome = self.store(op);
                self.step(index, |group, view, now, out| {
                    group.store_done(call, outcome, view, now, out);
                });
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize, to: NodeAddr, message: &Control) {
        let started = Instant::now();
        let bytes = message.encode().expect("message fits a datagram");
        let node = &mut self.nodes[index];
        node.usage.busy += started.elapsed();
        node.usage.sent_bytes += bytes.len();
        let from = node.addr;
        let to = usize::from(to.0.port() - 10_000);
        let started = Instant::now();
        let message = Control::decode(&bytes).expect("valid datagram");
        let node = &mut self.nodes[to];
        node.usage.busy += started.elapsed();
        node.usage.received_bytes += bytes.len();
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

/// Size of a group's state in bytes, with its heap allocations.
fn memory(group: Group) -> usize {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    drop(group);
    before - ALLOCATED_BYTES.load(Ordering::Relaxed) + size_of::<Group>()
}

fn print(role: &str, members: usize, usage: Usage, memory: usize) {
    let seconds = MEASUREMENT_MS as f64 / 1_000.0;
    println!(
        "{role:<7} {members:>7} {:>10.1} {:>11.0} {:>10.0} {memory:>8}",
        usage.busy.as_secs_f64() * 1e6 / seconds,
        usage.received_bytes as f64 / seconds,
        usage.sent_bytes as f64 / seconds,
    );
}

fn main() {
    println!(
        "{:<7} {:>7} {:>10} {:>11} {:>10} {:>8}",
        "role", "members", "CPU us/s", "received B/s", "sent B/s", "state B"
    );
    for members in [25, 100, 400] {
        let mut sim = Simulation::new(members);
        sim.run(SETTLE_MS);
        for node in &mut sim.nodes {
            node.usage = Usage::default();
        }
        sim.run(MEASUREMENT_MS);
        // Standbys send more than other members, so the member that sends the
        // least is not one of them.
        let leads = |n: &Node| n.group.leads();
        let (mut leaders, mut others): (Vec<Node>, Vec<Node>) =
            sim.nodes.into_iter().partition(leads);
        others.sort_by_key(|n| n.usage.sent_bytes);
        let (leader, member) = (leaders.remove(0), others.remove(0));
        print("leader", members, leader.usage, memory(leader.group));
        print("member", members, member.usage, memory(member.group));
    }
    println!(
        "\n{:>7} {:>9} {:>9} {:>9} {:>9}",
        "groups", "map B", "cache B", "lookup ns", "found"
    );
    for groups in [25, 100, 400] {
        measure_ingress(groups);
    }
}

/// A group's map in which adjacent shards have different owners, so that it
/// has one run per shard.
fn map(group: GroupId) -> GroupMap {
    let member = |n: u16| MapMember {
        addr: NodeAddr(([127, 0, 0, 1], 10_000 + n).into()),
        incarnation: Incarnation(u32::MAX - u32::from(n)),
        domain: u32::MAX,
        limit: 20,
    };
    let run = |n| OwnerRun { count: 1, owner: Some(n % MEMBER_COUNT) };
    GroupMap {
        group,
        epoch: Epoch(3),
        version: 300,
        parts: 1,
        members: (0..MEMBER_COUNT).map(member).collect(),
        owners: (0..SHARD_COUNT).map(run).collect(),
        ..GroupMap::default()
    }
}

/// Fills an ingress's cache as requests to all groups would. Returns the size
/// of the maps in bytes.
fn fill_cache(
    routes: &mut Routes,
    spec: &Service,
    out: &mut Vec<Effect>,
) -> usize {
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
        routes.store_done(call, outcome, now, out);
        let message = Control::Map(map(GroupId::of(SERVICE, index)));
        bytes += message.encode().expect("map fits a datagram").len();
        routes.datagram(leader, &message, now, out);
        out.clear();
    }
    bytes
}

/// Measures an ingress that knows this number of groups.
fn measure_ingress(groups: u16) {
    let mut spec = config().services.remove(SERVICE).expect("service");
    (spec.groups, spec.shards) = (groups, groups * SHARD_COUNT);
    let mut out = Vec::new();
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let mut routes = Routes::new();
    let bytes = fill_cache(&mut routes, &spec, &mut out);
    let memory = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
    let started = Instant::now();
    let mut found = 0;
    for n in 0..LOOKUP_COUNT {
        let key = KeyHash(n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let at = routes.owner(SERVICE, &spec, key, Millis(1_000), &mut out);
        found += u64::from(matches!(at, Lookup::Owner(_)));
    }
    let nanos = started.elapsed().as_nanos() as f64 / LOOKUP_COUNT as f64;
    println!(
        "{groups:>7} {bytes:>9} {memory:>9} {nanos:>9.0} {:>9.2}",
        found as f64 / LOOKUP_COUNT as f64
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
