//! The choice of a member for services without keys.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::MapMember;
use lagoondyke_core::id::{Incarnation, NodeAddr};
use lagoondyke_core::request::balance::{Balancer, MemberList, SlowThreshold};

fn addr(number: u16) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], number).into())
}

fn member(number: u16, domain: u32) -> MapMember {
    let incarnation = Incarnation(1);
    MapMember { addr: addr(number), incarnation, domain, limit: 10 }
}

/// 4 members in domain 0, which is the ingress's own, and 4 in domain 1.
fn roster() -> MemberList {
    let members = (0..8).map(|n| member(n, u32::from(n) / 4)).collect();
    MemberList::new(members, 0, Millis(0))
}

/// A chooser that has seen each member answer in 10 ms.
fn chooser() -> Balancer {
    let mut chooser = Balancer::new(1);
    for round in 0..100 {
        for number in 0..8 {
            chooser.record_start(addr(number));
            chooser.record_answer(addr(number), 10, Millis(round));
        }
    }
    chooser
}

/// How often each member is chosen in 1,000 requests that end at once.
fn counts(chooser: &mut Balancer, now: u64) -> [usize; 8] {
    let mut counts = [0; 8];
    for _ in 0..1_000 {
        let to = chooser.choose(&roster(), &[], Millis(now)).unwrap();
        counts[usize::from(to.0.port())] += 1;
    }
    counts
}

#[test]
fn the_own_domain_is_preferred_until_it_is_overloaded() {
    let mut chooser = chooser();
    let near: usize = counts(&mut chooser, 100)[..4].iter().sum();
    assert_eq!(near, 1_000);
    for number in 0..4 {
        chooser.record_start(addr(number));
    }
    let near: usize = counts(&mut chooser, 100)[..4].iter().sum();
    assert_eq!(near, 0, "twice the score of the other domain");
}

/// Reported load would show this half a second later.
#[test]
fn a_straggler_is_avoided_from_its_first_slow_answer() {
    let mut chooser = chooser();
    chooser.record_start(addr(0));
    chooser.record_answer(addr(0), 100, Millis(100));
    assert_eq!(counts(&mut chooser, 100)[0], 0);
    let later = counts(&mut chooser, 5_000)[0];
    assert!(later > 0, "a member that is avoided is tried again");
}

/// A straggler may answer nothing at all.
#[test]
fn requests_given_up_count_as_slow() {
    let mut chooser = chooser();
    chooser.record_start(addr(0));
    chooser.record_abort(addr(0), 100, Millis(100));
    assert_eq!(counts(&mut chooser, 100)[0], 0);
    chooser.record_start(addr(1));
    chooser.record_abort(addr(1), 2, Millis(100));
    assert!(counts(&mut chooser, 100)[1] > 0, "2 ms say nothing");
}

#[test]
fn a_member_that_failed_is_avoided_for_a_moment() {
    let mut chooser = chooser();
    chooser.record_start(addr(0));
    chooser.record_failure(addr(0), Millis(100));
    assert_eq!(counts(&mut chooser, 150)[0], 0);
    assert!(counts(&mut chooser, 250)[0] > 0);
}

/// A limit grows only with use: choosing by limits starves a member that
/// is new.
#[test]
fn a_member_with_a_low_limit_gets_its_share() {
    let mut members: Vec<MapMember> = (0..4).map(|n| member(n, 0)).collect();
    members[0].limit = 1;
    let roster = MemberList::new(members, 0, Millis(0));
    let mut chooser = chooser();
    let mut counts = [0; 4];
    for _ in 0..40 {
        let to = chooser.choose(&roster, &[], Millis(100)).unwrap();
        chooser.record_start(to);
        counts[usize::from(to.0.port())] += 1;
    }
    assert!((8..=12).contains(&counts[0]), "{counts:?}");
}

#[test]
fn excluded_members_are_never_chosen() {
    let mut chooser = chooser();
    let all: Vec<NodeAddr> = (0..8).map(addr).collect();
    for left in 0..8 {
        let except: Vec<NodeAddr> =
            all.iter().copied().filter(|&a| a != addr(left)).collect();
        let to = chooser.choose(&roster(), &except, Millis(100));
        assert_eq!(to, Some(addr(left)));
    }
    assert_eq!(chooser.choose(&roster(), &all, Millis(100)), None);
}

#[test]
fn the_slow_time_follows_the_95th_percentile() {
    let mut slow = SlowThreshold::new(Millis(0));
    for sample in 0..199 {
        slow.record(sample % 100, Millis(sample));
        assert_eq!(slow.value(), None, "too few samples");
    }
    slow.record(99, Millis(199));
    let value = slow.value().unwrap();
    assert!((93..=96).contains(&value), "{value}");
    for ms in 200..5_000 {
        slow.record(5, Millis(ms));
    }
    assert_eq!(slow.value(), Some(5));
}
