//! Requests that crash upstreams, and keys that receive most requests.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::id::{Fingerprint, KeyHash};
use lagoondyke_core::request::hot_keys::HotKeyCounter;
use lagoondyke_core::request::poison::Suspects;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Harness, answered, brief, failed, from_peer, get, grant, post,
};

/// Fingerprint of the request that crashes the upstream.
const HARMFUL: Fingerprint = Fingerprint(66);

/// A peer's POST that crashes the upstream.
fn harmful(ticket: u64) -> Arrival {
    from_peer(Arrival { fingerprint: HARMFUL, ..post(ticket) })
}

/// The upstream crashes while it runs a request, and comes back. With
/// `probe_first` the health probe fails before the connection is lost.
fn crash(
    harness: &mut Harness,
    ticket: u64,
    probe_first: bool,
) -> Vec<Effect> {
    let lost = failed(Reason::ConnectionLost);
    let mut out = Vec::new();
    if !probe_first {
        out.extend(harness.upstream_done(ticket, lost.clone()));
        harness.now += 200;
    }
    harness.with(|r, _, now, out| r.upstream_down(now, out));
    if probe_first {
        out.extend(harness.upstream_done(ticket, lost));
    }
    harness.now += 1_000;
    harness.with(|r, _, now, out| r.upstream_up(now, out));
    out
}

fn suspects(harness: &Harness) -> Vec<Fingerprint> {
    harness.requests.load(Millis(harness.now)).suspects
}

/// Guards against crashes that count twice or not at all: the health probe may
/// fail before or after the connection is lost.
#[test]
fn a_request_is_refused_after_two_crashes() {
    for probe_first in [false, true] {
        let mut harness = Harness::owner();
        for round in 1..=2 {
            assert_eq!(harness.arrive(harmful(round)).len(), 1);
            let out = crash(&mut harness, round, probe_first);
            let refused = format!("refuse {round} connection-lost MayHaveRun");
            assert_eq!(brief(&out), [refused]);
            assert_eq!(suspects(&harness), vec![HARMFUL; round as usize]);
        }
        let out = harness.arrive(harmful(3));
        assert_eq!(brief(&out), ["refuse 3 poisoned NotRun"]);
        assert_eq!(brief(&harness.arrive(get(4))), ["dispatch 4 shard 3"]);
    }
}

/// Guards against a leader that takes a second crash for the first one, which
/// is no longer reported by itself.
#[test]
fn a_crash_is_reported_with_earlier_ones_of_the_request() {
    let mut harness = Harness::owner();
    harness.arrive(harmful(1));
    crash(&mut harness, 1, true);
    harness.now += 11_000;
    assert_eq!(suspects(&harness), []);
    harness.arrive(harmful(2));
    crash(&mut harness, 2, true);
    assert_eq!(suspects(&harness), [HARMFUL, HARMFUL]);
}

#[test]
fn the_leaders_list_is_refused_at_every_member() {
    let mut harness = Harness::owner();
    harness.arrive(get(1));
    assert!(harness.arrive(harmful(2)).is_empty(), "it is queued");
    harness.group.poison = vec![HARMFUL];
    let expected = ["answer 1/0", "refuse 2 poisoned NotRun"];
    assert_eq!(brief(&harness.upstream_done(1, answered())), expected);
    harness.group.grant = Err(Reason::NotOwner);
    let caller = Arrival { fingerprint: HARMFUL, ..get(3) };
    let out = harness.arrive(caller);
    assert_eq!(brief(&out), ["refuse 3 poisoned NotRun"]);
    harness.group.grant = Ok(grant(3, 60_000));
    assert_eq!(brief(&harness.arrive(get(4))), ["dispatch 4 shard 3"]);
}

/// Guards against refusals of a frequent harmless request, which is in flight
/// at every crash.
#[test]
fn requests_that_are_answered_are_no_suspects() {
    let mut harness = Harness::owner();
    let popular = |t| Arrival { fingerprint: Fingerprint(5), ..get(t) };
    harness.arrive(popular(1));
    harness.upstream_done(1, answered());
    harness.arrive(from_peer(popular(2)));
    crash(&mut harness, 2, true);
    assert_eq!(suspects(&harness), []);

    harness.arrive(harmful(3));
    crash(&mut harness, 3, true);
    assert_eq!(suspects(&harness), [HARMFUL]);
    harness.arrive(harmful(4));
    harness.upstream_done(4, answered());
    assert_eq!(suspects(&harness), [], "it did not crash the upstream");
}

#[test]
fn suspects_are_bounded_and_expire() {
    let mut suspects = Suspects::new();
    for crash in 0..10 {
        let in_flight = (0..20).map(|n| Fingerprint(crash * 100 + n));
        suspects.record_crash(in_flight, Millis(crash * 100));
    }
    assert_eq!(suspects.report(Millis(1_000)).len(), 48);
    assert!(suspects.report(Millis(12_000)).is_empty());

    let mut suspects = Suspects::new();
    for crash in [0, 700_000, 1_400_000] {
        suspects.record_crash([HARMFUL, HARMFUL], Millis(crash));
        assert!(
            !suspects.is_harmful(HARMFUL, Millis(crash)),
            "crashes are rare"
        );
    }
    suspects.record_lost(HARMFUL, Millis(1_500_000));
    suspects.record_crash([], Millis(1_502_000));
    assert!(
        !suspects.is_harmful(HARMFUL, Millis(1_502_000)),
        "lost too early"
    );
    suspects.record_lost(HARMFUL, Millis(1_503_000));
    suspects.record_crash([], Millis(1_503_500));
    assert!(suspects.is_harmful(HARMFUL, Millis(1_503_500)));
}

#[test]
fn heavy_keys_are_reported_with_their_rates() {
    let mut harness = Harness::owner();
    let key = |k: &str| Some(KeyHash::of(k));
    for ticket in 0..200 {
        let name = if ticket % 2 == 0 { "hot" } else { &ticket.to_string() };
        harness.now = ticket * 5;
        harness.arrive(Arrival { key: key(name), ..from_peer(get(ticket)) });
        harness.upstream_done(ticket, answered());
    }
    assert!(harness.requests.load(Millis(harness.now)).hot.is_empty());
    harness.tick_at(1_000);
    let hot = harness.requests.load(Millis(1_000)).hot;
    assert_eq!(
        (hot.len(), hot[0].key, hot[0].rate),
        (1, key("hot").unwrap(), 100)
    );
    harness.tick_at(2_000);
    assert!(harness.requests.load(Millis(2_000)).hot.is_empty());
}

/// Guards against a rate that counts a waiting request at each tick, when its
/// placement is tried again.
#[test]
fn a_waiting_request_counts_once() {
    let mut harness = Harness::owner();
    harness.with(|r, _, now, out| r.upstream_down(now, out));
    for ticket in 0..30 {
        harness.arrive(get(ticket));
    }
    for ms in (25..=1_000).step_by(25) {
        harness.tick_at(ms);
    }
    assert_eq!(harness.requests.load(Millis(1_000)).hot[0].rate, 30);
}

/// Guards against many keys with few requests that displace a hot key from the
/// counter or are reported as hot.
#[test]
fn light_keys_do_not_hide_heavy_ones() {
    let mut counter = HotKeyCounter::new(Millis(0));
    for n in 0..10_000_u64 {
        let key = if n % 10 == 0 { 1 } else { 1_000 + n };
        counter.count(KeyHash(key));
    }
    counter.tick(Millis(1_000));
    let keys: Vec<u64> = counter.hot().iter().map(|h| h.key.0).collect();
    assert_eq!(keys, [1]);
    assert!((850..=1_000).contains(&counter.hot()[0].rate));
}
