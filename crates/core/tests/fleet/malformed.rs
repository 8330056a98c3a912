//! Messages with values that no sound sender produces: they must not end the
//! process or make it unable to serve.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::config::{Config, Limits, Route, Service, Target};
use lagoondyke_core::fleet::event::{
    Call, Document, Event, Item, ObjectKind, Outcome, StoreOutcome, Value,
};
use lagoondyke_core::fleet::gossip::{Gossip, Versions};
use lagoondyke_core::fleet::lease::{HarmfulRequest, Record};
use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
use lagoondyke_core::fleet::table::{Instance, Share, Table};
use lagoondyke_core::fleet::upstream::{Announcement, Held, Phase, Released};
use lagoondyke_core::id::{Fingerprint, Ticket};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::requests::{Harness, forwards};
use crate::support::settings;

/// Number of messages that one node gets.
const MESSAGE_COUNT: u64 = 400;

/// A number that is often at an end of its range.
fn number(random: &mut Pcg64Mcg) -> u64 {
    match random.random_range(0..6) {
        0 => 0,
        1 => u64::MAX,
        2 => (1 << 53) - 1,
        3 => u64::from(u32::MAX),
        _ => random.random_range(0..2_000),
    }
}

fn key(random: &mut Pcg64Mcg) -> u16 {
    match random.random_range(0..4) {
        0 => 0,
        1 => u16::MAX,
        _ => random.random(),
    }
}

fn rate(random: &mut Pcg64Mcg) -> f32 {
    let rates = [0.0, -1.0, f32::NAN, f32::INFINITY, f32::MAX, 10.0];
    rates[random.random_range(0..rates.len())]
}

fn instance(random: &mut Pcg64Mcg) -> Instance {
    let id = format!("u{}", random.random_range(0..3));
    Instance { id, started_ms: number(random) }
}

fn gossip(random: &mut Pcg64Mcg) -> Gossip {
    let suspects = 0..random.random_range(0..4);
    Gossip {
        node: format!("n{}", random.random_range(1..4)),
        incarnation: random.random_range(0..2),
        count: number(random),
        peer_port: key(random),
        domain: "d1".to_owned(),
        service: ["s", "k"][random.random_range(0..2)].to_owned(),
        instance: random.random_bool(0.7).then(|| instance(random)),
        leaving: random.random_bool(0.2),
        announce_ms: number(random) as u32,
        inflight: key(random),
        slots: key(random),
        mean_ms: number(random) as u32,
        good: key(random),
        rate: rate(random),
        capacity: rate(random),
        lease: random
            .random_bool(0.5)
            .then(|| (number(random), number(random) as u32)),
        versions: Versions {
            config: number(random),
            domains: number(random),
            tables: number(random),
        },
        table: number(random),
        departed: random.random_bool(0.2).then(|| instance(random)),
        recalled: vec![(name(random), instance(random))],
        suspects: suspects.map(|_| Fingerprint(number(random))).collect(),
    }
}

fn announcement(random: &mut Pcg64Mcg) -> Announcement {
    let phases = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Left];
    let holds = 0..random.random_range(0..3);
    let released = 0..random.random_range(0..3);
    Announcement {
        instance: instance(random),
        service: "s".to_owned(),
        address: settings(0).upstream.to_string(),
        slots: key(random),
        phase: phases[random.random_range(0..phases.len())],
        cold_ms: number(random),
        unlisted: random.random_bool(0.1),
        sequence: number(random),
        holds: holds
            .map(|_| Held {
                first: key(random),
                last: key(random),
                fence: number(random),
            })
            .collect(),
        released: released
            .map(|_| Released {
                first: key(random),
                last: key(random),
                handover: "h".to_owned(),
            })
            .collect(),
    }
}

fn float(random: &mut Pcg64Mcg) -> f64 {
    let values = [0.0, 1.0, 5.0, -1.0, f64::NAN, f64::INFINITY, f64::MAX];
    values[random.random_range(0..values.len())]
}

fn name(random: &mut Pcg64Mcg) -> String {
    ["s", "k", "n0", "n1", "main", ""][random.random_range(0..6)].to_owned()
}

fn config(random: &mut Pcg64Mcg) -> Config {
    let mut config = Config { version: number(random), ..Config::default() };
    for name in ["s", "k"] {
        let service = Service {
            keyed: random.random(),
            connections: number(random) as u32,
            warmup_rate: float(random),
            warmup_ms: number(random),
        };
        config.services.insert(name.to_owned(), service);
    }
    let routes = ["/s/", "/k/", "/", ""].map(|prefix| {
        let targets = 0..random.random_range(0..3);
        Route {
            open: random.random_bool(0.5),
            name: prefix.to_owned(),
            prefix: prefix.to_owned(),
            targets: targets
                .map(|_| Target {
                    service: name(random),
                    weight: float(random),
                })
                .collect(),
            idempotent: random.random(),
            timeout_ms: number(random),
            objective_ms: number(random),
            priority: random.random(),
            attempts: random.random(),
        }
    });
    config.hosts.insert("h".to_owned(), routes.into());
    config.limits = Limits {
        head_bytes: number(random) as usize,
        body_bytes: number(random) as usize,
        head_ms: number(random),
        idle_ms: number(random),
    };
    config
}

fn table(random: &mut Pcg64Mcg) -> Table {
    let shares = ["n0", "n1", "n2"].map(|node| Share {
        node: node.to_owned(),
        slots: random.random_range(0..9),
    });
    let mut table = Table::proportional(&shares);
    table.fence = number(random);
    table.era = number(random);
    table.unsettled = random.random();
    for _ in 0..random.random_range(0..3) {
        table.claims.insert(name(random), number(random));
        let index = random.random_range(0..table.ranges.len());
        let range = &mut table.ranges[index];
        match random.random_range(0..6) {
            0 => range.first = key(random),
            1 => range.last = key(random),
            2 => range.fence = number(random),
            3 => range.instance = Some(instance(random)),
            4 => range.node = name(random),
            _ => range.handover = Some(String::new()),
        }
    }
    if random.random_bool(0.1) {
        table.ranges.pop();
    }
    table
}

fn record(random: &mut Pcg64Mcg) -> Record {
    let harmful = 0..random.random_range(0..3);
    Record {
        incarnation: random.random_range(0..3),
        era: random.random::<bool>().then(|| number(random)),
        count: number(random),
        gossip: ["10.0.0.2:6", "", "x"][random.random_range(0..3)].to_owned(),
        domain: "d".to_owned(),
        service: name(random),
        revoked: random.random(),
        harmful: harmful
            .map(|_| HarmfulRequest {
                request: Fingerprint(number(random)),
                left_ms: number(random),
            })
            .collect(),
        leaving: random.random::<bool>().then(|| instance(random)),
    }
}

fn item(random: &mut Pcg64Mcg) -> Item {
    let value = match random.random_range(0..6) {
        0 => Some(Value::Config(Box::new(config(random)))),
        1 => Some(Value::Out),
        2 => Some(Value::Node(record(random))),
        3 => Some(Value::Table(table(random))),
        4 => Some(Value::Unusable(String::new())),
        _ => None,
    };
    Item { name: name(random), revision: number(random), value }
}

fn store_outcome(random: &mut Pcg64Mcg) -> StoreOutcome {
    let count = random.random_range(0..3);
    let items: Vec<Item> = (0..count).map(|_| item(random)).collect();
    let revision = number(random);
    match random.random_range(0..8) {
        0 | 1 => StoreOutcome::Listed { items, revision },
        2 | 3 => StoreOutcome::Changed { items, revision },
        4 => StoreOutcome::Compacted,
        5 => StoreOutcome::Done(item(random)),
        6 => StoreOutcome::Conflict(items.into_iter().next()),
        _ => StoreOutcome::Unknown,
    }
}

fn store_call(random: &mut Pcg64Mcg) -> Call {
    let kinds = [
        ObjectKind::Config,
        ObjectKind::Domains,
        ObjectKind::Nodes,
        ObjectKind::Tables,
    ];
    let kind = kinds[random.random_range(0..kinds.len())];
    match random.random_range(0..8) {
        0 => Call::List(kind),
        1 => Call::Watch { kind, after: number(random) },
        2 => Call::Renew,
        3 => Call::ReadRecord,
        4 => Call::Edit(name(random)),
        5 => Call::Inspect(name(random)),
        6 => Call::Revoke(name(random)),
        _ => Call::Relayed(Box::new(Call::Renew)),
    }
}

fn document(random: &mut Pcg64Mcg) -> Document {
    let revision = number(random);
    match random.random_range(0..3) {
        0 => Document::Config(Box::new(config(random))),
        1 => Document::Domains(revision, ["d".to_owned()].into()),
        _ => Document::Tables(vec![(name(random), revision, table(random))]),
    }
}

fn proposal(random: &mut Pcg64Mcg) -> Proposal {
    let transfers = 0..random.random_range(0..3);
    Proposal {
        node: name(random),
        term: number(random),
        instance: random.random::<bool>().then(|| instance(random)),
        keeps: vec![(key(random), key(random))],
        transfers: transfers
            .map(|_| Transfer {
                first: key(random),
                last: key(random),
                fence: random.random_range(0..3),
                to: name(random),
                instance: random.random::<bool>().then(|| instance(random)),
                handover: random.random::<bool>().then(String::new),
            })
            .collect(),
    }
}

/// Guards against an answer of the store, a document of the operator or one of
/// a peer that ends the process.
#[test]
fn no_document_ends_the_process() {
    for seed in 100..160 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut harness = Harness::new();
        for count in 0..MESSAGE_COUNT {
            harness.now += random.random_range(0..300);
            let ticket = Ticket(1 << 50 | count);
            harness.step(match random.random_range(0..8) {
                0..3 => {
                    let call = store_call(&mut random);
                    let outcome = store_outcome(&mut random);
                    Event::StoreDone { call, outcome }
                }
                3 => Event::Document(document(&mut random)),
                4 => Event::Proposal(Box::new(proposal(&mut random))),
                5 => {
                    let announcement = Box::new(announcement(&mut random));
                    Event::Announced { ticket, announcement }
                }
                6 => {
                    let from = settings(random.random_range(1..4));
                    let gossip = Box::new(gossip(&mut random));
                    Event::Gossip { from: from.gossip_addr(), gossip }
                }
                _ => Event::Tick,
            });
            harness.caller_request("/k/", Some(random.random()));
            harness.caller_request("/s/", None);
        }
    }
}

/// Guards against one malformed message that ends the process: an overflow, a
/// division by zero or an index out of range.
#[test]
fn no_message_ends_the_process() {
    for seed in 0..60 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut harness = Harness::new();
        for count in 0..MESSAGE_COUNT {
            harness.now += random.random_range(0..300);
            let from = settings(random.random_range(1..4)).gossip_addr();
            let ticket = Ticket(1 << 50 | count);
            harness.step(match random.random_range(0..5) {
                0 | 1 => {
                    let gossip = Box::new(gossip(&mut random));
                    Event::Gossip { from, gossip }
                }
                2 => {
                    let announcement = Box::new(announcement(&mut random));
                    Event::Announced { ticket, announcement }
                }
                3 => Event::UpstreamDown,
                _ => Event::Tick,
            });
            harness.caller_request("/k/", Some(random.random()));
            harness.caller_request("/s/", None);
            let result = Ok(if random.random() { 200 } else { 500 });
            let outcome = Outcome { result, load: None, condition: None };
            let ticket = Ticket(random.random_range(0..=2 * count));
            harness.step(Event::UpstreamDone { ticket, outcome });
        }
    }
}

/// Guards against an answer about the configuration's age, or a report of an
/// exit, that ends the process, and against an age that overflows and proves
/// more than it says.
#[test]
fn no_age_of_the_configuration_ends_the_process() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let mut harness = Harness::new();
    for count in 0..MESSAGE_COUNT {
        harness.now += random.random_range(0..300);
        let asked = Millis(random.random_range(0..=harness.now));
        let age_ms = match count % 3 {
            0 => number(&mut random),
            1 => u64::MAX - number(&mut random),
            _ => u64::MAX / 41 * random.random_range(0..41),
        };
        let version = number(&mut random);
        let before = harness.config_age_ms();
        harness.step(Event::ConfigAge { asked, version, age_ms });
        if age_ms > harness.now {
            assert_eq!(harness.config_age_ms(), before, "{age_ms}");
        }
        let id = name(&mut random);
        let ticket = Ticket(1 << 50 | count);
        harness.step(Event::UpstreamLeft { ticket, id });
        let now = harness.now;
        harness = Harness::new();
        harness.now = now;
    }
}

/// Guards against a peer that no longer gets requests since one of its
/// datagrams had a count beyond all later ones.
#[test]
fn a_node_recovers_from_malformed_gossip_of_a_peer() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut harness = Harness::new();
    for _ in 0..50 {
        let from = settings(1).gossip_addr();
        let gossip = Gossip { node: "n1".to_owned(), ..gossip(&mut random) };
        harness.step(Event::Gossip { from, gossip: Box::new(gossip) });
    }
    harness.now += 61_000;
    harness.step(Event::Tick);
    harness.gossip(1, "k");
    assert_eq!(forwards(&harness.caller_request("/k/", Some(3))).len(), 1);
}
