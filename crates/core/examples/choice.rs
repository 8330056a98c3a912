//! Compares rules for the choice of a member on a simulated service.
//!
//! 12 nodes in two failure domains are ingress and member at once. A member
//! runs 20 requests at a time, mostly in 2 to 6 ms, at 60% of its capacity.
//! One-way latency is 0.1 ms within a domain and 0.5 ms between domains.
//! Every 20 s on average, a member is 10 times slower for half a second.
//! Reported load is as old as heartbeats are, up to 500 ms.
//!
//! Run with `cargo run --release --example choice`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::MapMember;
use lagoondyke_core::id::{Incarnation, NodeAddr};
use lagoondyke_core::request::balance::{Balancer, MemberList, SlowThreshold};
use lagoondyke_core::request::retry::RetryBudget;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 12;
const SLOTS: usize = 20;
/// Simulated time is in microseconds.
const MS: u64 = 1_000;
const RUN: u64 = 30_000 * MS;
/// Mean time between arrivals: 60% of 12 · 20 requests per 4.24 ms.
const GAP: f64 = 4_240.0 / (0.6 * 240.0);

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Random,
    RoundRobin,
    Reported,
    Own,
    Hedged,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// An attempt reaches its member.
    Reach(usize),
    /// An attempt's work is done.
    Done(usize),
    /// An attempt's answer is back at the ingress.
    Back(usize),
    /// A request may be hedged.
    Slow(usize),
    Cancel(usize),
    Report,
    /// A member becomes slow.
    Straggle,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Sent,
    Queued,
    Running,
    Over,
}

struct Attempt {
    request: usize,
    to: usize,
    sent: u64,
    stage: Stage,
}

struct Request {
    ingress: usize,
    arrived: u64,
    attempts: Vec<usize>,
    answered: bool,
}

#[derive(Default)]
struct Member {
    running: usize,
    queue: VecDeque<usize>,
    slow_until: u64,
    reported: usize,
}

struct Ingress {
    chooser: Balancer,
    roster: MemberList,
    slow: SlowThreshold,
    budget: RetryBudget,
    next: usize,
}

struct World {
    rule: Rule,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    members: Vec<Member>,
    ingresses: Vec<Ingress>,
    random: Pcg64Mcg,
    latencies: Vec<u64>,
    hedges: usize,
}

fn addr(node: usize) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], node as u16).into())
}

fn domain(node: usize) -> u32 {
    (node % 2) as u32
}

fn network(a: usize, b: usize) -> u64 {
    match (a == b, domain(a) == domain(b)) {
        (true, _) => 0,
        (_, true) => MS / 10,
        (_, false) => MS / 2,
    }
}

impl World {
    fn new(rule: Rule) -> Self {
        let member = |n: usize| MapMember {
            addr: addr(n),
            incarnation: Incarnation(n as u32),
            domain: domain(n),
            limit: SLOTS as u16,
        };
        let members: Vec<MapMember> = (0..NODES).map(member).collect();
        let ingress = |n: usize| Ingress {
            chooser: Balancer::new(n as u64),
            roster: MemberList::new(members.clone(), domain(n), Millis(0)),
            slow: SlowThreshold::new(Millis(0)),
            budget: RetryBudget::new(5, 10),
            next: n,
        };
        let start = [Event::Arrival, Event::Report, Event::Straggle];
        Self {
            rule,
            now: 0,
            events: start.map(|e| Reverse((0, e))).into(),
            requests: Vec::new(),
            attempts: Vec::new(),
            members: (0..NODES).map(|_| Member::default()).collect(),
            ingresses: (0..NODES).map(ingress).collect(),
            random: Pcg64Mcg::seed_from_u64(3),
            latencies: Vec::new(),
            hedges: 0,
        }
    }

    fn after(&mut self, span: u64, event: Event) {
        self.events.push(Reverse((self.now + span, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let x: f64 = self.random.random();
        (-(1.0 - x).ln() * mean) as u64
    }

    fn millis(&self) -> Millis {
        Millis(self.now / MS)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > RUN {
                break;
            }
            self.now = now;
            match event {
                Event::Arrival => self.arrival(),
                Event::Reach(id) => self.reach(id),
                Event::Done(id) => self.done(id),
                Event::Back(id) => self.back(id),
                Event::Slow(request) => self.hedge(request),
                Event::Cancel(id) => self.cancel(id),
                Event::Report => {
                    for member in &mut self.members {
                        member.reported = member.running + member.queue.len();
                    }
                    self.after(500 * MS, Event::Report);
                }
                Event::Straggle => self.straggle(),
            }
        }
        self
    }

    fn straggle(&mut self) {
        let node = self.random.random_range(0..NODES);
        self.members[node].slow_until = self.now + 500 * MS;
        let gap = self.exponential(20_000_000.0 / NODES as f64);
        self.after(gap, Event::Straggle);
    }

    fn arrival(&mut self) {
        let ingress = self.random.random_range(0..NODES);
        let request = self.requests.len();
        self.requests.push(Request {
            ingress,
            arrived: self.now,
            attempts: Vec::new(),
            answered: false,
        });
        let to = self.choose(ingress, None);
        self.send(request, to);
        if self.rule == Rule::Hedged {
            self.ingresses[ingress].budget.deposit();
            if let Some(slow) = self.ingresses[ingress].slow.value() {
                self.after((slow + 1) * MS, Event::Slow(request));
            }
        }
        let gap = self.exponential(GAP);
        self.after(gap, Event::Arrival);
    }

    fn choose(&mut self, ingress: usize, except: Option<usize>) -> usize {
        let now = self.millis();
        let one = self.random.random_range(0..NODES);
        let two = self.random.random_range(0..NODES);
        let at = &mut self.ingresses[ingress];
        match self.rule {
            Rule::Random => one,
            Rule::RoundRobin => {
                at.next = (at.next + 1) % NODES;
                at.next
            }
            Rule::Reported => {
                let load = |n: usize| self.members[n].reported;
                if load(two) < load(one) { two } else { one }
            }
            Rule::Own | Rule::Hedged => {
                let except: Vec<NodeAddr> =
                    except.into_iter().map(addr).collect();
                let to = at.chooser.choose(&at.roster, &except, now);
                to.map_or(one, |to| usize::from(to.0.port()))
            }
        }
    }

    fn send(&mut self, request: usize, to: usize) {
        let id = self.attempts.len();
        let (sent, stage) = (self.now, Stage::Sent);
        self.attempts.push(Attempt { request, to, sent, stage });
        self.requests[request].attempts.push(id);
        let ingress = self.requests[request].ingress;
        self.ingresses[ingress].chooser.record_start(addr(to));
        self.after(network(ingress, to), Event::Reach(id));
    }

    fn reach(&mut self, id: usize) {
        if self.attempts[id].stage == Stage::Over {
            return;
        }
        self.attempts[id].stage = Stage::Queued;
        let to = self.attempts[id].to;
        self.members[to].queue.push_back(id);
        self.start(to);
    }

    fn start(&mut self, node: usize) {
        while self.members[node].running < SLOTS {
            let member = &mut self.members[node];
            let Some(id) = member.queue.pop_front() else { return };
            if self.attempts[id].stage != Stage::Queued {
                continue;
            }
            member.running += 1;
            let straggles = self.now < member.slow_until;
            self.attempts[id].stage = Stage::Running;
            let mut work = self.random.random_range(2 * MS..6 * MS);
            if self.random.random_range(0..50) == 0 {
                work *= 4;
            }
            if straggles {
                work *= 10;
            }
            self.after(work, Event::Done(id));
        }
    }

    fn done(&mut self, id: usize) {
        if self.attempts[id].stage != Stage::Running {
            return;
        }
        self.attempts[id].stage = Stage::Over;
        let Attempt { to, request, .. } = self.attempts[id];
        self.members[to].running -= 1;
        self.start(to);
        let ingress = self.requests[request].ingress;
        self.after(network(ingress, to), Event::Back(id));
    }

    fn back(&mut self, id: usize) {
        let now = self.millis();
        let Attempt { to, request, sent, .. } = self.attempts[id];
        let Request { ingress, arrived, answered, .. } =
            self.requests[request];
        if answered {
            return;
        }
        self.requests[request].answered = true;
        self.latencies.push(self.now - arrived);
        let at = &mut self.ingresses[ingress];
        let latency = now.since(Millis(sent / MS));
        at.chooser.record_answer(addr(to), latency, now);
        at.slow.record(latency, now);
        let others = std::mem::take(&mut self.requests[request].attempts);
        for other in others.into_iter().filter(|&other| other != id) {
            let Attempt { to, sent, .. } = self.attempts[other];
            let age = now.since(Millis(sent / MS));
            let at = &mut self.ingresses[ingress];
            at.chooser.record_abort(addr(to), age, now);
            self.after(network(ingress, to), Event::Cancel(other));
        }
    }

    fn hedge(&mut self, request: usize) {
        let Request { ingress, answered, .. } = self.requests[request];
        if answered || !self.ingresses[ingress].budget.try_withdraw() {
            return;
        }
        let first = self.requests[request].attempts[0];
        let first = self.attempts[first].to;
        let to = self.choose(ingress, Some(first));
        self.hedges += 1;
        self.send(request, to);
    }

    fn cancel(&mut self, id: usize) {
        let stage = self.attempts[id].stage;
        self.attempts[id].stage = Stage::Over;
        if stage == Stage::Running {
            let to = self.attempts[id].to;
            self.members[to].running -= 1;
            self.start(to);
        }
    }
}

fn main() {
    let rules = [
        ("random", Rule::Random),
        ("round robin", Rule::RoundRobin),
        ("reported load", Rule::Reported),
        ("own view", Rule::Own),
        ("own view, hedged", Rule::Hedged),
    ];
    println!("rule               p50 ms   p99 ms  p99.9 ms   hedged");
    for (name, rule) in rules {
        let mut world = World::new(rule).run();
        world.latencies.sort_unstable();
        let at = |per_mille: usize| {
            let place = world.latencies.len() * per_mille / 1_000;
            world.latencies[place] as f64 / MS as f64
        };
        let hedged = world.hedges as f64 * 100.0 / world.requests.len() as f64;
        println!(
            "{name:17} {:7.2}  {:7.2}  {:8.2}  {hedged:6.2}%",
            at(500),
            at(990),
            at(999),
        );
    }
}
