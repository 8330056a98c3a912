//! Which ranges the upstream local to a node may hold.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::effect::{Effect, Notice};
use lagoondyke_core::fleet::event::Event;
use lagoondyke_core::fleet::lease::extend_for_drift;
use lagoondyke_core::fleet::settings::{GrantMode, Settings};
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_core::fleet::upstream::{
    Announcement, Grant, Granted, Held, LocalUpstream, MAX_GRANT_MS, Phase,
    Recency, Released,
};
use lagoondyke_core::id::Ticket;

use crate::requests::Harness;
use crate::support::settings;

fn instance(started: u64) -> Instance {
    Instance { id: "u".to_owned(), started_ms: started }
}

fn announcement(sequence: u64, holds: &[(u16, u16)]) -> Announcement {
    let held = |&(first, last): &(u16, u16)| Held { first, last, fence: 1 };
    Announcement {
        instance: instance(1),
        slots: 10,
        sequence,
        holds: holds.iter().map(held).collect(),
        ..Announcement::default()
    }
}

fn grant(ranges: &[(u16, u16)]) -> Grant {
    let granted = |&(first, last): &(u16, u16)| Granted {
        first,
        last,
        fence: 1,
        handover: None,
    };
    let ranges = Some(ranges.iter().map(granted).collect());
    Grant { ranges, hold_ms: MAX_GRANT_MS }
}

/// Guards against a moving range that stays with its owner until the grant of
/// the whole range that it was split from has expired, although the upstream
/// has released it.
#[test]
fn a_released_part_of_a_range_is_free_at_once() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    upstream.apply_announcement(&announcement(1, &[]), Millis(10));
    upstream.record_grant(&grant(&[(0, 999)]), Millis(10));
    upstream.apply_announcement(&announcement(2, &[(0, 999)]), Millis(800));
    upstream.record_grant(&grant(&[(0, 499)]), Millis(800));
    assert!(upstream.may_hold(500, 999, Millis(850)));
    upstream.apply_announcement(&announcement(3, &[(0, 499)]), Millis(900));
    assert!(!upstream.may_hold(500, 999, Millis(900)));
    assert!(upstream.may_hold(0, 499, Millis(900)));
}

/// Guards against a range that is transferred while its upstream still runs
/// requests for it, or while the answer that leaves it out may have been lost.
#[test]
fn a_range_is_held_until_it_is_released_or_its_grant_has_expired() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    upstream.apply_announcement(&announcement(1, &[]), Millis(10));
    upstream.record_grant(&grant(&[(0, 99)]), Millis(10));
    upstream.record_grant(&grant(&[]), Millis(20));
    upstream.apply_announcement(&announcement(2, &[(0, 99)]), Millis(500));
    assert!(upstream.may_hold(5, 5, Millis(500)), "requests for it still run");
    let end = 10 + extend_for_drift(MAX_GRANT_MS);
    assert!(upstream.may_hold(5, 5, Millis(end - 1)));
    assert!(!upstream.may_hold(
        5,
        5,
        Millis(500 + extend_for_drift(MAX_GRANT_MS))
    ));
}

/// Guards against a new node process that ignores the grants of an earlier
/// one, which it does not know.
#[test]
fn a_new_process_assumes_that_everything_is_held() {
    let upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(1_000));
    assert!(upstream.may_hold(7, 7, Millis(1_000 + MAX_GRANT_MS)));
    assert!(!upstream.may_hold(
        7,
        7,
        Millis(1_000 + extend_for_drift(MAX_GRANT_MS))
    ));
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(1_000));
    upstream
        .apply_announcement(&announcement(5, &[(100, 200)]), Millis(1_100));
    assert!(!upstream.may_hold(7, 7, Millis(1_100)));
    assert!(upstream.may_hold(150, 150, Millis(1_100)));
}

/// Guards against late announcements, and those of an earlier instance, that
/// change what is known of the current one.
#[test]
fn late_announcements_change_nothing() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    let newer = Announcement { instance: instance(9), ..announcement(1, &[]) };
    assert_eq!(
        upstream.apply_announcement(&newer, Millis(1)),
        Recency::NewInstance
    );
    let old = Announcement { phase: Phase::Draining, ..announcement(7, &[]) };
    assert_eq!(upstream.apply_announcement(&old, Millis(2)), Recency::Stale);
    let again = Announcement { phase: Phase::Draining, ..newer.clone() };
    assert_eq!(upstream.apply_announcement(&again, Millis(3)), Recency::Stale);
    assert!(upstream.is_ready());
    let last = Announcement { sequence: 2, phase: Phase::Draining, ..newer };
    assert_eq!(
        upstream.apply_announcement(&last, Millis(4)),
        Recency::Current
    );
    assert!(!upstream.is_ready());
}

/// Guards against a handover token that is used for keys it was not issued
/// for.
#[test]
fn a_token_is_used_only_for_the_keys_that_were_released_with_it() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    let mut first = announcement(1, &[]);
    first.released.push(Released {
        first: 10,
        last: 20,
        handover: "t".to_owned(),
    });
    upstream.apply_announcement(&first, Millis(1));
    assert_eq!(upstream.handover(12, 20), Some("t"));
    assert_eq!(upstream.handover(12, 21), None);
    upstream.record_grant(&grant(&[(15, 15)]), Millis(2));
    assert_eq!(upstream.handover(12, 14), None, "granted again since");
}

/// Guards against an upstream that is used again after it has left: it reports
/// its exit to a node that has just restarted, and announces itself once more
/// while it still serves.
#[test]
fn an_upstream_that_left_before_its_first_announcement_is_leaving() {
    for (sequence, leaves) in [(7, true), (1, false)] {
        let mut upstream =
            LocalUpstream::new(GrantMode::Heartbeat, Millis(1_000));
        upstream.set_left("u", Millis(1_400));
        let late = announcement(sequence, &[]);
        upstream.apply_announcement(&late, Millis(3_500));
        let since = leaves.then_some(Millis(1_400));
        assert_eq!(upstream.leaving_since(), since, "{sequence}");
        assert_eq!(upstream.is_ready(), !leaves, "{sequence}");
    }
}

/// Guards against two holders of a range: a later instance under a name that
/// the node does not know, as another writer may announce, ended what the
/// known one may still hold.
#[test]
fn an_unknown_instance_does_not_end_the_grants_of_the_known_one() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    upstream.apply_announcement(&announcement(1, &[]), Millis(10));
    upstream.record_grant(&grant(&[(0, 99)]), Millis(10));
    let unknown = Announcement {
        instance: Instance { id: "other".to_owned(), started_ms: 2 },
        ..announcement(1, &[])
    };
    let recency = upstream.apply_announcement(&unknown, Millis(50));
    assert_eq!(recency, Recency::NewInstance);
    let end = 10 + extend_for_drift(MAX_GRANT_MS);
    assert!(upstream.may_hold(5, 5, Millis(end - 1)));
    let unknown = Announcement { sequence: 2, ..unknown };
    upstream.apply_announcement(&unknown, Millis(900));
    assert!(upstream.may_hold(5, 5, Millis(end - 1)));
    assert!(!upstream.may_hold(5, 5, Millis(end)));
}

/// Guards against an announcement of another writer that names no ranges,
/// which was taken for one of an upstream that holds keys.
#[test]
fn an_upstream_of_a_service_with_keys_lists_its_ranges() {
    for (service, unlisted, ignored) in
        [("k", true, true), ("k", false, false), ("s", true, false)]
    {
        let settings = Settings { service: service.to_owned(), ..settings(0) };
        let announcement = Announcement {
            service: service.to_owned(),
            address: settings.upstream.to_string(),
            unlisted,
            ..announcement(1, &[])
        };
        let out = Harness::with(settings).step(Event::Announced {
            ticket: Ticket(9),
            announcement: Box::new(announcement),
        });
        let is_ignored = out.iter().any(|effect| {
            matches!(effect, Effect::Notice(Notice::Ignored { .. }))
        });
        assert_eq!(is_ignored, ignored, "{service} {unlisted}");
    }
}

/// Guards against keys that stay with their node for the rest of a grant,
/// although the instance that held them has started again under its name.
#[test]
fn a_restart_under_the_same_name_ends_the_grants_before() {
    let mut upstream = LocalUpstream::new(GrantMode::Heartbeat, Millis(0));
    upstream.apply_announcement(&announcement(1, &[]), Millis(10));
    upstream.record_grant(&grant(&[(0, 99)]), Millis(10));
    let again = Announcement { instance: instance(2), ..announcement(1, &[]) };
    upstream.apply_announcement(&again, Millis(50));
    assert!(!upstream.may_hold(5, 5, Millis(50)));
}
