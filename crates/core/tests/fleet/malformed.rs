//! Messages with values that no sound sender produces: they must not end the
//! process or make it unable to serve.

use lagoondyke_core::fleet::event::{Event, Outcome};
use lagoondyke_core::fleet::gossip::{Gossip, Versions};
use lagoondyke_core::fleet::table::Instance;
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
