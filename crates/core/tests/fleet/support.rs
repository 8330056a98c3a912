//! Several reducers, a fake store, and fake upstreams that take grants.
//!
//! Time is simulated. The store can be down, turn single nodes away, lose
//! answers and perform writes late. Upstreams hold ranges for the term that
//! they were given, on a clock that runs 2 % slow.

use std::collections::{BTreeMap, BTreeSet};

use lagoondyke_core::clock::{Millis, TICK_INTERVAL_MS};
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::config::{Config, Service};
use lagoondyke_core::fleet::effect::{Effect, Op};
use lagoondyke_core::fleet::event::{
    Call, Event, Item, ObjectKind, StoreOutcome, Value,
};
use lagoondyke_core::fleet::settings::{Bounds, Settings};
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_core::fleet::upstream::{
    Announcement, Grant, Held, Phase, Released,
};
use lagoondyke_core::id::Ticket;
use lagoondyke_core::settings::LogSettings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Interval between announcements, in milliseconds.
const BEAT: u64 = 870;

/// Interval while a release is outstanding, in milliseconds.
const RELEASE_BEAT: u64 = 100;

/// Time of a call to the store and back, in milliseconds.
const STORE_TIME: u64 = 4;

/// Time of a datagram, in milliseconds.
const GOSSIP_TIME: u64 = 2;

/// Longest that a late write takes to be performed, in milliseconds.
const LATE_MAX: u64 = 6_000;

/// What the store does to calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// It takes no calls.
    pub down: bool,
    /// Share of writes that are performed without an answer, in percent.
    pub lost: u32,
    /// Such writes are performed late.
    pub late: bool,
}

/// A range that an upstream holds.
#[derive(Clone, Debug)]
struct Row {
    first: u16,
    last: u16,
    fence: u64,
    /// It works on the range until then, after it has been left out.
    busy: Option<u64>,
}

/// A fake upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub up: bool,
    pub phase: Phase,
    life: Instance,
    rows: Vec<Row>,
    until: u64,
    released: Vec<Released>,
    sequence: u64,
    due: u64,
}

struct Node {
    fleet: Option<Fleet>,
    /// Events wait until then.
    frozen: u64,
    /// Messages reach and leave it.
    linked: bool,
    /// The store turns it away.
    barred: bool,
    life: u64,
}

enum Due {
    Event(usize, u64, Event),
    Write { node: usize, life: u64, call: Option<Call>, op: Op },
    Grant(usize, u64, u64, Grant),
    Start(usize),
}

/// The whole world.
pub struct World {
    pub now: u64,
    pub trouble: Trouble,
    pub upstreams: Vec<Upstream>,
    nodes: Vec<Node>,
    due: BTreeMap<(u64, u64), Due>,
    order: u64,
    objects: BTreeMap<(ObjectKind, String), (u64, Value)>,
    revision: u64,
    watches: Vec<(usize, u64, ObjectKind, u64, u64)>,
    tickets: BTreeMap<(usize, Ticket), (u64, u64)>,
    random: Pcg64Mcg,
    fences: BTreeMap<u16, (u64, usize, u64)>,
    /// Calls to the store.
    pub calls: u32,
    /// Updates of the table that took effect, and that met another one.
    pub updates: (u32, u32),
    /// Broken promises, in words.
    pub faults: Vec<String>,
}

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
        bounds: Bounds {
            stop_s: Some(6.0),
            hold_ms: Some(10_000.0),
            retry_slack: Some(50.0),
            retry_share: Some(0.2),
            drain_ms: Some(2_000.0),
            evacuate_ms: Some(5_000.0),
            announce_ms: Some(BEAT as f64),
        },
        log: LogSettings::default(),
    }
}

impl World {
    /// `count` nodes of one service, all started at once.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut config = Config { version: 1, ..Config::default() };
        let service = Service { keyed: true, ..Service::default() };
        config.services.insert("s".to_owned(), service);
        let config = Value::Config(Box::new(config));
        let mut objects = BTreeMap::new();
        objects.insert((ObjectKind::Config, "main".to_owned()), (1, config));
        let mut world = Self {
            now: 10_000,
            trouble: Trouble::default(),
            upstreams: Vec::new(),
            nodes: Vec::new(),
            due: BTreeMap::new(),
            order: 0,
            objects,
            revision: 1,
            watches: Vec::new(),
            tickets: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            fences: BTreeMap::new(),
            calls: 0,
            updates: (0, 0),
            faults: Vec::new(),
        };
        for index in 0..count {
            world.nodes.push(Node {
                fleet: None,
                frozen: 0,
                linked: true,
                barred: false,
                life: 0,
            });
            world.upstreams.push(Upstream {
                up: false,
                phase: Phase::Ready,
                life: Instance::default(),
                rows: Vec::new(),
                until: 0,
                released: Vec::new(),
                sequence: 0,
                due: 0,
            });
            world.start_upstream(index);
            world.start_node(index);
        }
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random.random_range(0..below)
    }

    pub fn start_node(&mut self, index: usize) {
        let now = Millis(self.now);
        let seed = self.random.random();
        let node = &mut self.nodes[index];
        if node.fleet.is_some() {
            return;
        }
        node.life += 1;
        let incarnation = node.life * 100 + index as u64;
        node.fleet = Some(Fleet::new(settings(index), incarnation, seed, now));
        let life = node.life;
        self.after(0, Due::Event(index, life, Event::Tick));
    }

    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].fleet = None;
    }

    pub fn start_node_in(&mut self, index: usize, span: u64) {
        self.after(span, Due::Start(index));
    }

    pub fn freeze_node(&mut self, index: usize, span: u64) {
        self.nodes[index].frozen = self.now + span;
    }

    pub fn link_node(&mut self, index: usize, linked: bool) {
        self.nodes[index].linked = linked;
    }

    pub fn bar_node(&mut self, index: usize, barred: bool) {
        self.nodes[index].barred = barred;
    }

    pub fn start_upstream(&mut self, index: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.up = true;
        upstream.phase = Phase::Ready;
        let id = format!("u{index}");
        upstream.life = Instance { id, started_ms: now };
        upstream.rows.clear();
        upstream.released.clear();
        upstream.sequence = 0;
        upstream.due = now + index as u64 * 37;
    }

    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].up = false;
    }

    /// Runs for `span` milliseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.upstreams_step();
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.perform(due);
            }
            self.fire_watches();
            self.check();
        }
    }

    /// Ranges of each node in the table.
    pub fn ranges(&self) -> Vec<usize> {
        let key = (ObjectKind::Tables, "s".to_owned());
        let Some((_, Value::Table(table))) = self.objects.get(&key) else {
            return Vec::new();
        };
        let count = |index| table.ranges_of(&format!("n{index}")).count();
        (0..self.nodes.len()).map(count).collect()
    }

    /// Keys that some live upstream holds now, as a share of all.
    pub fn held(&self) -> f64 {
        let mut keys = BTreeSet::new();
        for upstream in self.upstreams.iter().filter(|u| u.up) {
            if upstream.until <= self.now {
                continue;
            }
            for row in upstream.rows.iter().filter(|r| r.busy.is_none()) {
                keys.extend((row.first..=row.last).step_by(64));
            }
        }
        keys.len() as f64 / 1_024.0
    }

    fn after(&mut self, span: u64, due: Due) {
        self.order += 1;
        self.due.insert((self.now + span, self.order), due);
    }

    fn perform(&mut self, due: Due) {
        match due {
            Due::Event(node, life, event) => self.deliver(node, life, event),
            Due::Write { node, life, call, op } => {
                let outcome = self.execute(op);
                if let Some(call) = call {
                    let event = Event::StoreDone { call, outcome };
                    self.after(STORE_TIME / 2, Due::Event(node, life, event));
                }
            }
            Due::Grant(index, born, sent, grant) => {
                self.granted(index, born, sent, &grant);
            }
            Due::Start(index) => self.start_node(index),
        }
    }

    fn deliver(&mut self, index: usize, life: u64, event: Event) {
        let node = &mut self.nodes[index];
        if node.life != life || node.fleet.is_none() {
            return;
        }
        if node.frozen > self.now {
            let span = node.frozen - self.now;
            self.after(span, Due::Event(index, life, event));
            return;
        }
        let tick = matches!(event, Event::Tick);
        let mut out = Vec::new();
        let now = Millis(self.now);
        if let Some(fleet) = &mut node.fleet {
            fleet.step(event, now, &mut out);
        }
        for effect in out {
            self.effect(index, effect);
        }
        if tick {
            self.after(TICK_INTERVAL_MS, Due::Event(index, life, Event::Tick));
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        let life = self.nodes[index].life;
        match effect {
            Effect::Send { to, gossip } => {
                if !self.nodes[index].linked {
                    return;
                }
                let from = settings(index).gossip_addr();
                for addr in to {
                    let std::net::IpAddr::V4(ip) = addr.ip() else { continue };
                    let other = usize::from(ip.octets()[3]) - 1;
                    if !self.nodes[other].linked {
                        continue;
                    }
                    let life = self.nodes[other].life;
                    let gossip = gossip.clone();
                    let event = Event::Gossip { from, gossip };
                    self.after(GOSSIP_TIME, Due::Event(other, life, event));
                }
            }
            Effect::Store { call, op } => self.call(index, call, op),
            Effect::Fetch { from, kind } => {
                let std::net::IpAddr::V4(ip) = from.ip() else { return };
                let other = usize::from(ip.octets()[3]) - 1;
                let linked =
                    self.nodes[index].linked && self.nodes[other].linked;
                let fleet = self.nodes[other].fleet.as_ref();
                let document = fleet.and_then(|fleet| fleet.document(kind));
                if let (true, Some(document)) = (linked, document) {
                    let event = Event::Document(document);
                    self.after(GOSSIP_TIME, Due::Event(index, life, event));
                }
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
                if !self.nodes[index].linked || !self.nodes[other].linked {
                    return;
                }
                let life = self.nodes[other].life;
                let late = self.trouble.late;
                let span = if late { self.random(LATE_MAX) } else { 0 };
                let event = Event::Proposal(proposal);
                let span = span + GOSSIP_TIME;
                self.after(span, Due::Event(other, life, event));
            }
            Effect::Acknowledge { ticket, grant } => {
                let sent = self.tickets.remove(&(index, ticket));
                let Some((born, sent)) = sent else { return };
                self.after(1, Due::Grant(index, born, sent, grant));
            }
            _ => {}
        }
    }

    fn call(&mut self, index: usize, call: Call, op: Op) {
        self.call_by(index, index, call, op);
    }

    /// A call of node `index` that `by` makes.
    fn call_by(&mut self, index: usize, by: usize, call: Call, op: Op) {
        self.calls += 1;
        let life = self.nodes[index].life;
        let node = &self.nodes[by];
        let linked = node.linked && self.nodes[index].linked;
        let up = node.fleet.is_some() && node.frozen <= self.now;
        if self.trouble.down || node.barred || !linked || !up {
            let outcome = match op {
                Op::Update { .. } if !linked => StoreOutcome::Unknown,
                _ => StoreOutcome::Unavailable,
            };
            let event = Event::StoreDone { call, outcome };
            self.after(300, Due::Event(index, life, event));
            return;
        }
        if let Op::Watch { kind, after, wait_ms } = op {
            let end = self.now + wait_ms;
            self.watches.push((index, life, kind, after, end));
            return;
        }
        let write = matches!(op, Op::Update { .. });
        let lost =
            write && self.random.random_range(0..100) < self.trouble.lost;
        if lost {
            let span = if self.trouble.late {
                self.random.random_range(1_000..LATE_MAX)
            } else {
                STORE_TIME / 2
            };
            let event =
                Event::StoreDone { call, outcome: StoreOutcome::Unknown };
            self.after(500, Due::Event(index, life, event));
            self.after(span, Due::Write { node: index, life, call: None, op });
            return;
        }
        let call = Some(call);
        self.after(STORE_TIME / 2, Due::Write { node: index, life, call, op });
    }

    fn item(&self, kind: ObjectKind, name: &str) -> Option<Item> {
        let (revision, value) = self.objects.get(&(kind, name.to_owned()))?;
        let value = Some(value.clone());
        Some(Item { name: name.to_owned(), revision: *revision, value })
    }

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
                StoreOutcome::Listed { items, revision: self.revision }
            }
            Op::Read { kind, name } => match self.item(kind, &name) {
                Some(item) => StoreOutcome::Done(item),
                None => StoreOutcome::Missing,
            },
            Op::Update { kind, name, expect, value } => {
                let current = self.item(kind, &name);
                let revision = current.as_ref().map_or(0, |i| i.revision);
                let table = kind == ObjectKind::Tables;
                if revision != expect {
                    self.updates.1 += u32::from(table);
                    return StoreOutcome::Conflict(current);
                }
                self.updates.0 += u32::from(table);
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

    fn fire_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (index, life, kind, after, end) in watches {
            let changed = |entry: &(&(ObjectKind, String), &(u64, Value))| {
                entry.0.0 == kind && entry.1.0 > after
            };
            let names: Vec<String> = self
                .objects
                .iter()
                .filter(changed)
                .map(|entry| entry.0.1.clone())
                .collect();
            let node = &self.nodes[index];
            let cut = self.trouble.down || node.barred || !node.linked;
            let outcome = if cut {
                StoreOutcome::Unavailable
            } else if !names.is_empty() || self.now >= end {
                let items = names.iter().filter_map(|n| self.item(kind, n));
                let items = items.collect();
                StoreOutcome::Changed { items, revision: self.revision }
            } else {
                self.watches.push((index, life, kind, after, end));
                continue;
            };
            let event = Event::StoreDone { call: Call::Watch(kind), outcome };
            self.after(STORE_TIME / 2, Due::Event(index, life, event));
        }
    }

    fn upstreams_step(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let upstream = &mut self.upstreams[index];
            if !upstream.up {
                continue;
            }
            let mut done = Vec::new();
            upstream.rows.retain(|row| {
                let over = row.busy.is_some_and(|busy| busy <= now);
                if over {
                    done.push((row.first, row.last, row.fence));
                }
                !over
            });
            for (first, last, fence) in done {
                let handover = format!("{index}-{first}-{fence}");
                upstream.released.push(Released { first, last, handover });
            }
            if upstream.until <= now {
                upstream.rows.clear();
            }
            if now >= upstream.due {
                self.announce(index);
            }
        }
    }

    fn announce(&mut self, index: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.sequence += 1;
        upstream.due = now + BEAT;
        let hold = |row: &Row| Held {
            first: row.first,
            last: row.last,
            fence: row.fence,
        };
        let announcement = Box::new(Announcement {
            instance: upstream.life.clone(),
            service: "s".to_owned(),
            address: settings(index).upstream.to_string(),
            slots: 10,
            phase: upstream.phase,
            cold_ms: 0,
            sequence: upstream.sequence,
            holds: upstream.rows.iter().map(hold).collect(),
            released: upstream.released.clone(),
        });
        let ticket = Ticket(self.order);
        self.order += 1;
        let born = upstream.life.started_ms;
        self.tickets.insert((index, ticket), (born, now));
        let life = self.nodes[index].life;
        let event = Event::Announced { ticket, announcement };
        self.after(1, Due::Event(index, life, event));
    }

    /// The upstream takes an answer, unless it is late.
    fn granted(&mut self, index: usize, born: u64, sent: u64, grant: &Grant) {
        let now = self.now;
        let work = self.random.random_range(0..400);
        let upstream = &mut self.upstreams[index];
        let timely = upstream.up
            && upstream.life.started_ms == born
            && now.saturating_sub(sent) < 1_000;
        if !timely {
            return;
        }
        upstream.released.clear();
        let Some(ranges) = &grant.ranges else { return };
        let until = sent + grant.hold_ms * 102 / 100;
        upstream.until = upstream.until.max(until);
        let mut rows: Vec<Row> = Vec::new();
        for range in ranges {
            rows.push(Row {
                first: range.first,
                last: range.last,
                fence: range.fence,
                busy: None,
            });
        }
        for old in std::mem::take(&mut upstream.rows) {
            for (first, last) in uncovered(&old, &rows) {
                let busy = Some(old.busy.unwrap_or(now + work));
                upstream.rows.push(Row { first, last, busy, ..old });
            }
        }
        let releasing = !upstream.rows.is_empty();
        upstream.rows.extend(rows);
        if releasing {
            upstream.due = upstream.due.min(now + RELEASE_BEAT);
        }
    }

    /// Checks that no key has two owners, and that tokens only rise.
    fn check(&mut self) {
        let now = self.now;
        let mut held: Vec<(u16, u16, usize, u64, u64)> = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.up || upstream.until <= now {
                continue;
            }
            let born = upstream.life.started_ms;
            for row in &upstream.rows {
                held.push((row.first, row.last, index, row.fence, born));
            }
        }
        held.sort_unstable();
        for (place, one) in held.iter().enumerate() {
            for two in &held[place + 1..] {
                if two.0 > one.1 {
                    break;
                }
                if one.2 != two.2 {
                    let fault = format!("{now}: two owners {one:?} {two:?}");
                    self.faults.push(fault);
                }
            }
        }
        for (first, last, index, fence, born) in held {
            for key in [first, last] {
                let known = self.fences.entry(key).or_insert((0, 0, 0));
                let other = (known.1, known.2) != (index, born);
                if other && fence <= known.0 {
                    let fault = format!("{now}: key {key} has token {fence}");
                    self.faults.push(fault);
                }
                if fence > known.0 {
                    *known = (fence, index, born);
                }
            }
        }
    }
}

/// Parts of a row that are in none of the new ones.
fn uncovered(old: &Row, rows: &[Row]) -> Vec<(u16, u16)> {
    let mut parts = vec![(u32::from(old.first), u32::from(old.last))];
    for row in rows {
        let (first, last) = (u32::from(row.first), u32::from(row.last));
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
