//! Compares load balancing rules on a simulated service.
//!
//! Each of 12 nodes in two failure domains is both ingress and member. A
//! member runs up to 20 requests at a time, mostly in 2 to 6 ms, and is loaded
//! to 60% of its capacity. Every 20 s on average, it is 10 times slower for
//! half a second. One-way latency is 0.1 ms within a domain and 0.5 ms between
//! domains. Reported load is up to 500 ms old, as with heartbeats.
//!
//! Prints percentiles of the latency from arrival to answer, and the hedged
//! share of requests.
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

/// Nodes of the service.
const NODE_COUNT: usize = 12;
/// Requests that a member runs concurrently.
const SLOT_COUNT: usize = 20;
/// Simulated time is counted in microseconds.
const US_PER_MS: u64 = 1_000;

/// Simulated time of a run.
const RUN_US: u64 = 30_000 * US_PER_MS;
/// Mean time between arrivals at 60% of the capacity, which is 12 · 20
/// requests per 4.24 ms, the mean run time.
const ARRIVAL_GAP_US: f64 = 4_240.0 / (0.6 * 240.0);

/// A rule by which an ingress chooses a member.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Random,
    RoundRobin,
    /// The lower reported load of two random members.
    Reported,
    /// The [`Balancer`], which uses what the ingress observes itself.
    Own,
    /// The [`Balancer`], with hedging of slow requests.
    Hedged,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// An attempt reaches its member.
    Received(usize),
    /// A member has run an attempt.
    Done(usize),
    /// An attempt's answer reaches the ingress.
    Answered(usize),
    /// A request may be hedged.
    HedgeDue(usize),
    /// A cancellation reaches an attempt's member.
    Cancel(usize),
    /// All members report their load.
    Report,
    /// A random member becomes slow.
    Slowdown,
}

/// Progress of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Sent,
    Queued,
    Running,
    Ended,
}

struct Attempt {
    request: usize,
    /// The member that runs it.
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
    /// Until when it is 10 times slower.
    slow_until: u64,
    /// Load in its last report.
    reported: usize,
}

struct Ingress {
    balancer: Balancer,
    members: MemberList,
    hedge_after: SlowThreshold,
    budget: RetryBudget,
    /// Last choice of round robin.
    last: usize,
}

struct Simulation {
    rule: Rule,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    members: Vec<Member>,
    ingresses: Vec<Ingress>,
    random: Pcg64Mcg,
    latencies: Vec<u64>,
    /// Number of hedged requests.
    hedges: usize,
}

fn addr(node: usize) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], node as u16).into())
}

fn domain(node: usize) -> u32 {
    (node % 2) as u32
}

/// One-way latency between two nodes, in microseconds.
fn network_latency(a: usize, b: usize) -> u64 {
    match (a == b, domain(a) == domain(b)) {
        (true, _) => 0,
        (_, true) => US_PER_MS / 10,
        (_, false) => US_PER_MS / 2,
    }
}

impl Simulation {
    fn new(rule: Rule) -> Self {
        let member = |n: usize| MapMember {
            addr: addr(n),
            incarnation: Incarnation(n as u32),
            domain: domain(n),
            limit: SLOT_COUNT as u16,
        };
        let members: Vec<MapMember> = (0..NODE_COUNT).map(member).collect();
        let ingress = |n: usize| Ingress {
            balancer: Balancer::new(n as u64),
            members: MemberList::new(members.clone(), domain(n), Millis(0)),
            hedge_after: SlowThreshold::new(Millis(0)),
            budget: RetryBudget::new(5, 10),
            last: n,
        };
        let start = [Event::Arrival, Event::Report, Event::Slowdown];
        Self {
            rule,
            now: 0,
            events: start.map(|e| Reverse((0, e))).into(),
            requests: Vec::new(),
            attempts: Vec::new(),
            members: (0..NODE_COUNT).map(|_| Member::default()).collect(),
            ingresses: (0..NODE_COUNT).map(ingress).collect(),
            random: Pcg64Mcg::seed_from_u64(3),
            latencies: Vec::new(),
            hedges: 0,
        }
    }

    fn schedule_after(&mut self, span: u64, event: Event) {
        self.events.push(Reverse((self.now + span, event)));
    }

    /// A random time with an exponential distribution.
    fn exponential(&mut self, mean: f64) -> u64 {
        let x: f64 = self.random.random();
        (-(1.0 - x).ln() * mean) as u64
    }

    fn millis(&self) -> Millis {
        Millis(self.now / US_PER_MS)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > RUN_US {
                break;
            }
            self.now = now;
            match event {
                Event::Arrival => self.arrival(),
                Event::Received(id) => self.receive(id),
                Event::Done(id) => self.done(id),
                Event::Answered(id) => self.on_answer(id),
                Event::HedgeDue(request) => self.hedge(request),
                Event::Cancel(id) => self.cancel(id),
                Event::Report => {
                    for member in &mut self.members {
                        member.reported = member.running + member.queue.len();
                    }
                    self.schedule_after(500 * US_PER_MS, Event::Report);
                }
                Event::Slowdown => self.slow_down(),
            }
        }
        self
    }

    /// Makes a random member slow for half a second.
    fn slow_down(&mut self) {
        let node = self.random.random_range(0..NODE_COUNT);
        self.members[node].slow_until = self.now + 500 * US_PER_MS;
        let gap = self.exponential(20_000_000.0 / NODE_COUNT as f64);
        self.schedule_after(gap, Event::Slowdown);
    }

    fn arrival(&mut self) {
        let ingress = self.random.random_range(0..NODE_COUNT);
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
            if let Some(wait) = self.ingresses[ingress].hedge_after.value() {
                self.schedule_after(
                    (wait + 1) * US_PER_MS,
                    Event::HedgeDue(request),
                );
            }
        }
        let gap = self.exponential(ARRIVAL_GAP_US);
        self.schedule_after(gap, Event::Arrival);
    }

    /// The member for an attempt, if possible not `except`.
    fn choose(&mut self, ingress: usize, except: Option<usize>) -> usize {
        let now = self.millis();
        let one = self.random.random_range(0..NODE_COUNT);
        let two = self.random.random_range(0..NODE_COUNT);
        let at = &mut self.ingresses[ingress];
        match self.rule {
            Rule::Random => one,
            Rule::RoundRobin => {
                at.last = (at.last + 1) % NODE_COUNT;
                at.last
            }
            Rule::Reported => {
                let load = |n: usize| self.members[n].reported;
                if load(two) < load(one) { two } else { one }
            }
            Rule::Own | Rule::Hedged => {
                let except: Vec<NodeAddr> =
                    except.into_iter().map(addr).collect();
                let to = at.balancer.choose(&at.members, &except, now);
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
        self.ingresses[ingress].balancer.record_start(addr(to));
        self.schedule_after(network_latency(ingress, to), Event::Received(id));
    }

    /// Queues an attempt at its member.
    fn receive(&mut self, id: usize) {
        if self.attempts[id].stage == Stage::Ended {
            return;
        }
        self.attempts[id].stage = Stage::Queued;
        let to = self.attempts[id].to;
        self.members[to].queue.push_back(id);
        self.start(to);
    }

    /// Starts queued attempts while the member has free slots.
    fn start(&mut self, node: usize) {
        while self.members[node].running < SLOT_COUNT {
            let member = &mut self.members[node];
            let Some(id) = member.queue.pop_front() else { return };
            if self.attempts[id].stage != Stage::Queued {
                continue;
            }
            member.running += 1;
            let slow = self.now < member.slow_until;
            self.attempts[id].stage = Stage::Running;
            let mut work =
                self.random.random_range(2 * US_PER_MS..6 * US_PER_MS);
            if self.random.random_range(0..50) == 0 {
                work *= 4;
            }
            if slow {
                work *= 10;
            }
            self.schedule_after(work, Event::Done(id));
        }
    }

    fn done(&mut self, id: usize) {
        if self.attempts[id].stage != Stage::Running {
            return;
        }
        self.attempts[id].stage = Stage::Ended;
        let Attempt { to, request, .. } = self.attempts[id];
        self.members[to].running -= 1;
        self.start(to);
        let ingress = self.requests[request].ingress;
        self.schedule_after(network_latency(ingress, to), Event::Answered(id));
    }

    /// Ends a request at its ingress and cancels its other attempts.
    fn on_answer(&mut self, id: usize) {
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
        let latency = now.since(Millis(sent / US_PER_MS));
        at.balancer.record_answer(addr(to), latency, now);
        at.hedge_after.record(latency, now);
        let others = std::mem::take(&mut self.requests[request].attempts);
        for other in others.into_iter().filter(|&other| other != id) {
            let Attempt { to, sent, .. } = self.attempts[other];
            let age = now.since(Millis(sent / US_PER_MS));
            let at = &mut self.ingresses[ingress];
            at.balancer.record_abort(addr(to), age, now);
            self.schedule_after(
                network_latency(ingress, to),
                Event::Cancel(other),
            );
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
        self.attempts[id].stage = Stage::Ended;
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
        let mut sim = Simulation::new(rule).run();
        sim.latencies.sort_unstable();
        let percentile = |per_mille: usize| {
            let index = sim.latencies.len() * per_mille / 1_000;
            sim.latencies[index] as f64 / US_PER_MS as f64
        };
        let hedged = sim.hedges as f64 * 100.0 / sim.requests.len() as f64;
        println!(
            "{name:17} {:7.2}  {:7.2}  {:8.2}  {hedged:6.2}%",
            percentile(500),
            percentile(990),
            percentile(999),
        );
    }
}
