//! Requests that crash upstreams, and keys that carry most of the work.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::Arrival;
use lagoondyke_core::id::{Fingerprint, KeyHash};
use lagoondyke_core::request::hot_keys::HotKeyCounter;
use lagoondyke_core::request::poison::Suspects;
use lagoondyke_core::verdict::Reason;

use crate::support::{
    Bed, answered, brief, failed, from_peer, get, grant, post,
};

const BAD: Fingerprint = Fingerprint(66);

fn bad(ticket: u64) -> Arrival {
    from_peer(Arrival { fingerprint: BAD, ..post(ticket) })
}

fn crash(bed: &mut Bed, ticket: u64, noticed_first: bool) -> Vec<Effect> {
    let lost = failed(Reason::ConnectionLost);
    let mut out = Vec::new();
    if !noticed_first {
        out.extend(bed.upstream(ticket, lost.clone()));
        bed.now += 200;
    }
    bed.with(|r, _, now, out| r.upstream_down(now, out));
    if noticed_first {
        out.extend(bed.upstream(ticket, lost));
    }
    bed.now += 1_000;
    bed.with(|r, _, now, out| r.upstream_up(now, out));
    out
}

fn suspects(bed: &Bed) -> Vec<Fingerprint> {
    bed.requests.load(Millis(bed.now)).suspects
}

/// The probe that notices a crash may come before or after the connection
/// is lost; either way the crash counts once.
#[test]
fn a_request_is_refused_after_two_crashes() {
    for noticed_first in [false, true] {
        let mut bed = Bed::owner();
        for round in 1..=2 {
            assert_eq!(bed.arrive(bad(round)).len(), 1);
            let out = crash(&mut bed, round, noticed_first);
            let refused = format!("refuse {round} connection-lost MayHaveRun");
            assert_eq!(brief(&out), [refused]);
            assert_eq!(suspects(&bed), vec![BAD; round as usize]);
        }
        let out = bed.arrive(bad(3));
        assert_eq!(brief(&out), ["refuse 3 poisoned NotRun"]);
        assert_eq!(brief(&bed.arrive(get(4))), ["dispatch 4 shard 3"]);
    }
}

#[test]
fn the_leaders_list_is_refused_at_every_member() {
    let mut bed = Bed::owner();
    bed.arrive(get(1));
    assert!(bed.arrive(bad(2)).is_empty(), "it is queued");
    bed.group.poison = vec![BAD];
    let expected = ["answer 1/0", "refuse 2 poisoned NotRun"];
    assert_eq!(brief(&bed.upstream(1, answered())), expected);
    bed.group.grant = Err(Reason::NotOwner);
    let caller = Arrival { fingerprint: BAD, ..get(3) };
    let out = bed.arrive(caller);
    assert_eq!(brief(&out), ["refuse 3 poisoned NotRun"]);
    bed.group.grant = Ok(grant(3, 60_000));
    assert_eq!(brief(&bed.arrive(get(4))), ["dispatch 4 shard 3"]);
}

/// A popular request is in flight at every crash, whatever causes it.
#[test]
fn requests_that_are_answered_are_no_suspects() {
    let mut bed = Bed::owner();
    let popular = |t| Arrival { fingerprint: Fingerprint(5), ..get(t) };
    bed.arrive(popular(1));
    bed.upstream(1, answered());
    bed.arrive(from_peer(popular(2)));
    crash(&mut bed, 2, true);
    assert_eq!(suspects(&bed), []);

    bed.arrive(bad(3));
    crash(&mut bed, 3, true);
    assert_eq!(suspects(&bed), [BAD]);
    bed.arrive(bad(4));
    bed.upstream(4, answered());
    assert_eq!(suspects(&bed), [], "it did not crash the upstream");
}

#[test]
fn suspects_are_bounded_and_forgotten() {
    let mut suspects = Suspects::new();
    for crash in 0..10 {
        let flying = (0..20).map(|n| Fingerprint(crash * 100 + n));
        suspects.record_crash(flying, Millis(crash * 100));
    }
    assert_eq!(suspects.report(Millis(1_000)).len(), 48);
    assert!(suspects.report(Millis(12_000)).is_empty());

    let mut suspects = Suspects::new();
    for crash in [0, 700_000, 1_400_000] {
        suspects.record_crash([BAD, BAD], Millis(crash));
        assert!(!suspects.is_harmful(BAD, Millis(crash)), "crashes are rare");
    }
    suspects.record_lost(BAD, Millis(1_500_000));
    suspects.record_crash([], Millis(1_502_000));
    assert!(!suspects.is_harmful(BAD, Millis(1_502_000)), "lost too early");
    suspects.record_lost(BAD, Millis(1_503_000));
    suspects.record_crash([], Millis(1_503_500));
    assert!(suspects.is_harmful(BAD, Millis(1_503_500)));
}

#[test]
fn heavy_keys_are_reported_with_their_rates() {
    let mut bed = Bed::owner();
    let key = |k: &str| Some(KeyHash::of(k));
    for ticket in 0..200 {
        let name = if ticket % 2 == 0 { "hot" } else { &ticket.to_string() };
        bed.now = ticket * 5;
        bed.arrive(Arrival { key: key(name), ..from_peer(get(ticket)) });
        bed.upstream(ticket, answered());
    }
    assert!(bed.requests.load(Millis(bed.now)).hot.is_empty());
    bed.tick_at(1_000);
    let hot = bed.requests.load(Millis(1_000)).hot;
    assert_eq!(
        (hot.len(), hot[0].key, hot[0].rate),
        (1, key("hot").unwrap(), 100)
    );
    bed.tick_at(2_000);
    assert!(bed.requests.load(Millis(2_000)).hot.is_empty());
}

/// A request that waits is placed many times but is one request.
#[test]
fn a_waiting_request_counts_once() {
    let mut bed = Bed::owner();
    bed.with(|r, _, now, out| r.upstream_down(now, out));
    for ticket in 0..30 {
        bed.arrive(get(ticket));
    }
    for ms in (25..=1_000).step_by(25) {
        bed.tick_at(ms);
    }
    assert_eq!(bed.requests.load(Millis(1_000)).hot[0].rate, 30);
}

/// Many light keys must neither push out a heavy one nor look heavy.
#[test]
fn light_keys_do_not_hide_heavy_ones() {
    let mut heavy = HotKeyCounter::new(Millis(0));
    for n in 0..10_000_u64 {
        let key = if n % 10 == 0 { 1 } else { 1_000 + n };
        heavy.count(KeyHash(key));
    }
    heavy.tick(Millis(1_000));
    let keys: Vec<u64> = heavy.hot().iter().map(|h| h.key.0).collect();
    assert_eq!(keys, [1]);
    assert!((850..=1_000).contains(&heavy.hot()[0].rate));
}
