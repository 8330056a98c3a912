//! Load balancing of requests for services without keys.

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

/// 4 members in domain 0, which is that of the ingress, and 4 in domain 1.
fn member_list() -> MemberList {
    let members = (0..8).map(|n| member(n, u32::from(n) / 4)).collect();
    MemberList::new(members, 0, Millis(0))
}

/// A balancer that has recorded answers of each member after 10 ms.
fn balancer() -> Balancer {
    let mut balancer = Balancer::new(1);
    for round in 0..100 {
        for number in 0..8 {
            balancer.record_start(addr(number));
            balancer.record_answer(addr(number), 10, Millis(round));
        }
    }
    balancer
}

/// How often each member is chosen for 1,000 requests that end at once.
fn counts(balancer: &mut Balancer, now: u64) -> [usize; 8] {
    let mut counts = [0; 8];
    for _ in 0..1_000 {
        let to = balancer.choose(&member_list(), &[], Millis(now)).unwrap();
        counts[usize::from(to.0.port())] += 1;
    }
    counts
}

#[test]
fn the_own_domain_is_preferred_until_it_is_overloaded() {
    let mut balancer = balancer();
    let local: usize = counts(&mut balancer, 100)[..4].iter().sum();
    assert_eq!(local, 1_000);
    for number in 0..4 {
        balancer.record_start(addr(number));
    }
    let local: usize = counts(&mut balancer, 100)[..4].iter().sum();
    assert_eq!(local, 0, "a score of twice that of the other domain");
}

/// Guards against requests to a member that has just become slow. Its reported
/// load would show this half a second later.
#[test]
fn a_straggler_is_avoided_from_its_first_slow_answer() {
    let mut balancer = balancer();
    balancer.record_start(addr(0));
    balancer.record_answer(addr(0), 100, Millis(100));
    assert_eq!(counts(&mut balancer, 100)[0], 0);
    let later = counts(&mut balancer, 5_000)[0];
    assert!(later > 0, "a member that is avoided is tried again");
}

/// Guards against a member that is never avoided because it does not answer at
/// all.
#[test]
fn requests_given_up_count_as_slow() {
    let mut balancer = balancer();
    balancer.record_start(addr(0));
    balancer.record_abort(addr(0), 100, Millis(100));
    assert_eq!(counts(&mut balancer, 100)[0], 0);
    balancer.record_start(addr(1));
    balancer.record_abort(addr(1), 2, Millis(100));
    assert!(counts(&mut balancer, 100)[1] > 0, "2 ms do not count as slow");
}

#[test]
fn a_member_that_failed_is_avoided_temporarily() {
    let mut balancer = balancer();
    balancer.record_start(addr(0));
    balancer.record_failure(addr(0), Millis(100));
    assert_eq!(counts(&mut balancer, 150)[0], 0);
    assert!(counts(&mut balancer, 250)[0] > 0);
}

/// Guards against a choice by concurrency limits: a limit grows only with use,
/// so a new member would get no requests.
#[test]
fn a_member_with_a_low_limit_gets_its_share() {
    let mut members: Vec<MapMember> = (0..4).map(|n| member(n, 0)).collect();
    members[0].limit = 1;
    let member_list = MemberList::new(members, 0, Millis(0));
    let mut balancer = balancer();
    let mut counts = [0; 4];
    for _ in 0..40 {
        let to = balancer.choose(&member_list, &[], Millis(100)).unwrap();
        balancer.record_start(to);
        counts[usize::from(to.0.port())] += 1;
    }
    assert!((8..=12).contains(&counts[0]), "{counts:?}");
}

#[test]
fn excluded_members_are_never_chosen() {
    let mut balancer = balancer();
    let all: Vec<NodeAddr> = (0..8).map(addr).collect();
    for left in 0..8 {
        let except: Vec<NodeAddr> =
            all.iter().copied().filter(|&a| a != addr(left)).collect();
        let to = balancer.choose(&member_list(), &except, Millis(100));
        assert_eq!(to, Some(addr(left)));
    }
    assert_eq!(balancer.choose(&member_list(), &all, Millis(100)), None);
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
