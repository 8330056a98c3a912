//! What the upstream beside a node may hold.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::lease::extend_for_drift;
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_core::fleet::upstream::{
    Announcement, GRANT_MAX_MS, Grant, Granted, Held, LocalUpstream, Phase,
    Recency, Released,
};

fn life(born: u64) -> Instance {
    Instance { id: "u".to_owned(), started_ms: born }
}

fn said(sequence: u64, holds: &[(u16, u16)]) -> Announcement {
    let held = |&(first, last): &(u16, u16)| Held { first, last, fence: 1 };
    Announcement {
        instance: life(1),
        slots: 10,
        sequence,
        holds: holds.iter().map(held).collect(),
        ..Announcement::default()
    }
}

fn grant(rows: &[(u16, u16)]) -> Grant {
    let row = |&(first, last): &(u16, u16)| Granted {
        first,
        last,
        fence: 1,
        handover: None,
    };
    let ranges = Some(rows.iter().map(row).collect());
    Grant { ranges, hold_ms: GRANT_MAX_MS }
}

/// Guards against a moving range that waits for the term of the whole range
/// that it was split from, although the upstream has released it.
#[test]
fn a_released_part_of_a_range_is_free_at_once() {
    let mut host = LocalUpstream::new(Millis(0));
    host.apply_announcement(&said(1, &[]), Millis(10));
    host.record_grant(&grant(&[(0, 999)]), Millis(10));
    host.apply_announcement(&said(2, &[(0, 999)]), Millis(800));
    host.record_grant(&grant(&[(0, 499)]), Millis(800));
    assert!(host.may_hold(500, 999, Millis(850)));
    host.apply_announcement(&said(3, &[(0, 499)]), Millis(900));
    assert!(!host.may_hold(500, 999, Millis(900)));
    assert!(host.may_hold(0, 499, Millis(900)));
}

/// Guards against a range that is given away while its upstream still works
/// on it, or while the answer that leaves it out may have been lost.
#[test]
fn a_range_is_held_until_it_is_released_or_its_term_is_over() {
    let mut host = LocalUpstream::new(Millis(0));
    host.apply_announcement(&said(1, &[]), Millis(10));
    host.record_grant(&grant(&[(0, 99)]), Millis(10));
    host.record_grant(&grant(&[]), Millis(20));
    host.apply_announcement(&said(2, &[(0, 99)]), Millis(500));
    assert!(host.may_hold(5, 5, Millis(500)), "still at work");
    let end = 10 + extend_for_drift(GRANT_MAX_MS);
    assert!(host.may_hold(5, 5, Millis(end - 1)));
    assert!(!host.may_hold(
        5,
        5,
        Millis(500 + extend_for_drift(GRANT_MAX_MS))
    ));
}

/// Guards against a process that does not know what an earlier one granted.
#[test]
fn a_new_process_assumes_that_everything_is_held() {
    let host = LocalUpstream::new(Millis(1_000));
    assert!(host.may_hold(7, 7, Millis(1_000 + GRANT_MAX_MS)));
    assert!(!host.may_hold(
        7,
        7,
        Millis(1_000 + extend_for_drift(GRANT_MAX_MS))
    ));
    let mut host = LocalUpstream::new(Millis(1_000));
    host.apply_announcement(&said(5, &[(100, 200)]), Millis(1_100));
    assert!(!host.may_hold(7, 7, Millis(1_100)));
    assert!(host.may_hold(150, 150, Millis(1_100)));
}

/// Guards against late announcements, and those of an earlier life, that
/// change what is known of the present one.
#[test]
fn late_announcements_change_nothing() {
    let mut host = LocalUpstream::new(Millis(0));
    let newer = Announcement { instance: life(9), ..said(1, &[]) };
    assert_eq!(
        host.apply_announcement(&newer, Millis(1)),
        Recency::NewInstance
    );
    let old = Announcement { phase: Phase::Draining, ..said(7, &[]) };
    assert_eq!(host.apply_announcement(&old, Millis(2)), Recency::Stale);
    let again = Announcement { phase: Phase::Draining, ..newer.clone() };
    assert_eq!(host.apply_announcement(&again, Millis(3)), Recency::Stale);
    assert!(host.is_ready());
    let last = Announcement { sequence: 2, phase: Phase::Draining, ..newer };
    assert_eq!(host.apply_announcement(&last, Millis(4)), Recency::Current);
    assert!(!host.is_ready());
}

/// Guards against a token that is used for keys it was not given for.
#[test]
fn a_token_is_used_only_for_the_keys_that_were_released_with_it() {
    let mut host = LocalUpstream::new(Millis(0));
    let mut first = said(1, &[]);
    first.released.push(Released {
        first: 10,
        last: 20,
        handover: "t".to_owned(),
    });
    host.apply_announcement(&first, Millis(1));
    assert_eq!(host.handover(12, 20), Some("t"));
    assert_eq!(host.handover(12, 21), None);
    host.record_grant(&grant(&[(15, 15)]), Millis(2));
    assert_eq!(host.handover(12, 14), None, "granted again since");
}
