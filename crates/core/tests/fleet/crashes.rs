//! Requests that crash upstreams are recognized wherever they return, and are
//! sent to no further upstream.

use lagoondyke_core::fleet::effect::{Effect, Notice};
use lagoondyke_core::fleet::event::{Event, Outcome};
use lagoondyke_core::fleet::gossip::MAX_GOSSIP_BYTES;
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_core::fleet::upstream::Phase;
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_core::verdict::{Reason, Refusal, Verdict};

use crate::requests::{Harness, dispatches, forwards, left, refusal, refused};

/// Fingerprint of the request that crashes upstreams.
const HARMFUL: Fingerprint = Fingerprint(66);

/// Time after which nodes no longer report the suspects of a crash.
const REPORTS_OVER_MS: u64 = 11_000;

/// Refusal of a harmful request.
const POISONED_NOT_RUN: (Reason, Verdict) =
    (Reason::Poisoned, Verdict::NotRun);

/// Time after which the next gossip is due.
const GOSSIP_INTERVAL_MS: u64 = 200;

/// A node that has been told of three crashes under the request, by one node
/// each.
fn told_of_three_crashes() -> Harness {
    let mut harness = Harness::new();
    for index in 1..=3 {
        harness.gossip_with(index, "k", &[HARMFUL]);
    }
    harness.fingerprint = Some(HARMFUL);
    harness
}

/// The reason for which a caller's request is refused; `None` if it is sent.
fn refusal_reason(harness: &mut Harness) -> Option<Reason> {
    harness.gossip(1, "k");
    let out = harness.caller_request("/k/", Some(3));
    let refused = refusal(&out).map(|refusal| refusal.reason);
    assert_eq!(refused.is_none(), forwards(&out).len() == 1);
    refused
}

/// Guards against a harmful request that is sent on when it returns after the
/// nodes have stopped to report the crashes.
#[test]
fn a_harmful_request_that_returns_late_is_refused() {
    let mut harness = told_of_three_crashes();
    harness.now += REPORTS_OVER_MS;
    for index in 1..=3 {
        harness.gossip(index, "k");
    }
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
}

/// Guards against crashes that lie so far apart that no two of them are
/// reported at the same time.
#[test]
fn crashes_that_lie_apart_add_up() {
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    for crashes in 1..=3 {
        assert_eq!(refusal_reason(&mut harness), None, "before {crashes}");
        harness.gossip_with(1, "k", &vec![HARMFUL; crashes]);
        harness.gossip_with(1, "k", &vec![HARMFUL; crashes]);
        harness.now += REPORTS_OVER_MS;
        harness.gossip(1, "k");
    }
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
}

/// Guards against crashes that count more than once, since reports arrive again
/// or leave out what an earlier one named.
#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    for _ in 0..3 {
        harness.gossip_with(1, "k", &[HARMFUL]);
        harness.gossip_with(2, "k", &[HARMFUL]);
        harness.now += REPORTS_OVER_MS;
        harness.gossip(1, "k");
        harness.gossip(2, "k");
    }
    assert_eq!(refusal_reason(&mut harness), None);
}

/// Guards against a crash that is not counted since one before it, which no
/// longer counts, was reported again in the meantime.
#[test]
fn a_crash_counts_after_the_one_before_it_has_expired() {
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    harness.gossip_with(1, "k", &[HARMFUL]);
    harness.now += 300_000;
    harness.gossip_with(1, "k", &[HARMFUL]);
    harness.now += 301_000;
    for index in 1..=3 {
        assert_eq!(refusal_reason(&mut harness), None, "before {index}");
        harness.gossip_with(index, "k", &[HARMFUL]);
    }
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
}

/// Guards against a frequent harmless request that is refused since it was
/// running at several crashes.
#[test]
fn an_answered_request_is_not_harmful() {
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    for _ in 0..5 {
        let ticket = harness.next_ticket;
        assert_eq!(refusal_reason(&mut harness), None);
        harness.gossip_with(1, "k", &[HARMFUL]);
        harness.peer_done(ticket, Ok(200));
        harness.now += REPORTS_OVER_MS;
    }
    assert_eq!(refusal_reason(&mut harness), None);
}

/// What the node tells its peers with the next gossip.
fn reported_suspects(harness: &mut Harness) -> Vec<Fingerprint> {
    harness.now += GOSSIP_INTERVAL_MS;
    let out = harness.step(Event::Tick);
    let suspects = out.into_iter().find_map(|effect| match effect {
        Effect::Send { gossip, .. } => Some(gossip.suspects),
        _ => None,
    });
    suspects.expect("gossip is due")
}

/// Guards against a node that forgets harmful requests when it restarts: its
/// peers must tell it, also long after the crashes.
#[test]
fn a_node_that_restarts_is_told_of_harmful_requests() {
    let mut peer = told_of_three_crashes();
    peer.now += REPORTS_OVER_MS;
    let told = reported_suspects(&mut peer);
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    assert_eq!(refusal_reason(&mut harness), None);
    harness.gossip_with(2, "k", &told);
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
}

/// Guards against knowledge that never ends, since nodes go on to tell each
/// other what they were told.
#[test]
fn what_a_node_was_told_is_not_told_again() {
    let mut peer = told_of_three_crashes();
    let told = reported_suspects(&mut peer);
    let mut harness = Harness::new();
    harness.gossip_with(2, "k", &told);
    assert!(!told.is_empty());
    assert_eq!(reported_suspects(&mut harness), []);
}

/// Guards against a datagram that is dropped since it is too large: the node
/// would count as lost after its upstream has crashed.
#[test]
fn the_longest_report_fits_into_a_datagram() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 100);
    harness.peer_request(0, 5_000);
    harness.upstream_done(1, Ok(200));
    for index in 0..20 {
        harness.fingerprint = Some(Fingerprint(u64::MAX - index));
        for node in 1..=3 {
            let suspect = [Fingerprint(u64::MAX - index)];
            harness.gossip_with(node, "k", &suspect);
        }
    }
    for index in 100..200 {
        harness.fingerprint = Some(Fingerprint(u64::MAX - index));
        harness.peer_request(0, 5_000);
    }
    harness.step(Event::UpstreamDown);
    harness.now += GOSSIP_INTERVAL_MS;
    let out = harness.step(Event::Tick);
    let gossip = out.into_iter().find_map(|effect| match effect {
        Effect::Send { gossip, .. } => Some(gossip),
        _ => None,
    });
    let mut gossip = gossip.expect("gossip is due");
    assert_eq!(gossip.suspects.len(), 48 + 8 * 3);
    gossip.node = "n".repeat(64);
    gossip.domain = "d".repeat(64);
    gossip.service = "s".repeat(64);
    let upstream = Instance { id: "u".repeat(64), started_ms: u64::MAX };
    gossip.departed = Some(upstream.clone());
    gossip.table = u64::MAX;
    gossip.recalled = vec![("n".repeat(64), upstream); 3];
    gossip.fit();
    let bytes = gossip.encode().expect("gossip can be encoded");
    assert!(bytes.len() <= MAX_GOSSIP_BYTES, "{} bytes", bytes.len());
}
/// Guards against harmful requests that are forgotten when all nodes restart
/// at once: the store keeps them.
#[test]
fn a_fleet_that_restarts_as_a_whole_knows_harmful_requests() {
    let mut before = told_of_three_crashes();
    let record = before.written_record(5_000);
    let mut harness = Harness::with_incarnation(2);
    harness.read_record(record);
    harness.fingerprint = Some(HARMFUL);
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
    let told = reported_suspects(&mut harness);
    assert!(told.contains(&HARMFUL), "its peers are told");
}

/// A node whose upstream runs the harmful request for a peer.
fn running_it() -> Harness {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.announce(Phase::Ready, 4);
    harness.fingerprint = Some(HARMFUL);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness
}

/// Guards against the crash of a draining upstream that is not recorded.
#[test]
fn a_crash_while_draining_is_recorded() {
    let mut harness = running_it();
    harness.announce(Phase::Draining, 4);
    harness.step(Event::UpstreamDown);
    assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
}

/// Guards against a crash that is not recorded since the upstream is back
/// before anything finds it down.
#[test]
fn an_upstream_that_is_back_at_once_has_crashed() {
    let mut harness = running_it();
    harness.upstream_done(1, refused(Reason::ConnectionLost));
    harness.now += 3_000;
    harness.announce_instance("u0", 2);
    assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
}

/// Guards against a crash that counts twice: once when connections are
/// refused, and again when the next instance announces itself.
#[test]
fn a_crash_is_recorded_once() {
    let mut harness = running_it();
    harness.step(Event::UpstreamDown);
    harness.upstream_done(1, refused(Reason::ConnectionLost));
    harness.now += 800;
    harness.announce_instance("u0", 2);
    assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
}

/// Guards against an upstream that has left as planned and counts as crashed.
#[test]
fn an_upstream_that_has_left_has_not_crashed() {
    let mut harness = running_it();
    harness.upstream_done(1, Err(Refusal::new(Reason::AnswerCut, "")));
    harness.step(left());
    harness.now += 800;
    harness.announce_instance("u1", 2);
    assert_eq!(reported_suspects(&mut harness), []);
}

/// Guards against a request that is no suspect since its caller left, or since
/// part of its answer arrived, before the crash was noticed.
#[test]
fn a_request_that_ended_just_before_the_crash_is_a_suspect() {
    let cut = Refusal::new(Reason::AnswerCut, "by the test");
    let ends = [
        Event::Cancelled { ticket: Ticket(1) },
        Event::UpstreamDone {
            ticket: Ticket(1),
            outcome: Outcome { result: Err(cut), load: None, condition: None },
        },
    ];
    for end in ends {
        let mut harness = running_it();
        harness.step(end);
        harness.now += 50;
        harness.step(Event::UpstreamDown);
        assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
    }
}

/// Guards against a request that returns many times at once: each copy that a
/// crash ends is one that the request has crashed, and the third is known with
/// the crash rather than two crashes later.
#[test]
fn copies_that_end_at_one_crash_count_each() {
    for (copies, refused) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut harness = Harness::new();
        harness.announce(Phase::Ready, 4);
        harness.fingerprint = Some(HARMFUL);
        for _ in 0..copies {
            assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
        }
        harness.step(Event::UpstreamDown);
        let mut reported = reported_suspects(&mut harness);
        if refused {
            // A harmful request is named three times more.
            assert_eq!(reported, [HARMFUL; 6]);
        }
        reported.truncate(3);
        assert_eq!(reported, vec![HARMFUL; copies.min(3)]);
        harness.announce_instance("u1", 2);
        let sent = dispatches(&harness.peer_request(0, 5_000)) == 1;
        assert_eq!(sent, !refused, "{copies}");
        let mut other = Harness::new();
        other.fingerprint = Some(HARMFUL);
        other.gossip_with(1, "k", &reported);
        let reason = refusal_reason(&mut other);
        assert_eq!(reason.is_some(), refused, "{copies}");
    }
}

/// Guards against a harmless request of which many copies run at a crash: one
/// that was answered lately is no suspect.
#[test]
fn copies_of_an_answered_request_are_no_suspects() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    harness.fingerprint = Some(HARMFUL);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.upstream_done(1, Ok(200));
    for _ in 0..4 {
        assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    }
    harness.step(Event::UpstreamDown);
    assert_eq!(reported_suspects(&mut harness), []);
}

/// Guards against a failure that clears a request: an upstream may answer it
/// with an error before it crashes.
#[test]
fn a_failure_does_not_clear_a_request() {
    for (status, expected) in [(200, vec![]), (500, vec![HARMFUL])] {
        let mut harness = running_it();
        harness.upstream_done(1, Ok(status));
        assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
        harness.step(Event::UpstreamDown);
        assert_eq!(reported_suspects(&mut harness), expected, "{status}");
    }
}

/// Guards against a harmful request that reaches the upstream since the node
/// at which it arrived does not know of the crashes.
#[test]
fn a_harmful_request_of_a_peer_is_refused() {
    let mut harness = told_of_three_crashes();
    harness.announce(Phase::Ready, 4);
    let out = harness.peer_request(0, 5_000);
    assert_eq!(dispatches(&out), 0);
    let refused = refusal(&out).expect("the request crashes upstreams");
    assert_eq!((refused.reason, refused.verdict), POISONED_NOT_RUN);
}

/// Guards against a harmful request that is offered to one node after another
/// until one does not know of the crashes.
#[test]
fn a_request_that_a_peer_finds_harmful_goes_nowhere_else() {
    let mut harness = Harness::new();
    harness.gossip(1, "s");
    harness.gossip(2, "s");
    assert_eq!(forwards(&harness.caller_request("/s/", None)).len(), 1);
    let out = harness.peer_done(1, refused(Reason::Poisoned));
    assert_eq!(forwards(&out), []);
    let refused = refusal(&out).expect("the request crashes upstreams");
    assert_eq!((refused.reason, refused.verdict), POISONED_NOT_RUN);
}

/// Guards against a repeat that crashes another upstream: the request became
/// known as harmful while it ran.
#[test]
fn a_request_that_turns_out_to_be_harmful_is_not_repeated() {
    let mut harness = Harness::new();
    harness.gossip(1, "s");
    harness.gossip(2, "s");
    harness.fingerprint = Some(HARMFUL);
    assert_eq!(forwards(&harness.caller_request("/si/", None)).len(), 1);
    for index in 3..=5 {
        harness.gossip_with(index, "k", &[HARMFUL]);
    }
    let out = harness.peer_done(1, refused(Reason::ConnectionLost));
    assert_eq!(forwards(&out), []);
    let refused = refusal(&out).expect("it is not repeated");
    assert_eq!(refused.verdict, Verdict::MayHaveRun);
}

/// Guards against a crash whose log lines do not say which requests count as
/// its suspects, and why another one does not.
#[test]
fn a_crash_is_logged_with_its_suspects() {
    let mut harness = running_it();
    harness.fingerprint = Some(Fingerprint(1));
    harness.peer_request(0, 5_000);
    harness.upstream_done(2, Ok(200));
    harness.peer_request(0, 5_000);
    let out = harness.step(Event::UpstreamDown);
    let crash = out.into_iter().find_map(|effect| match effect {
        Effect::Notice(Notice::UpstreamCrashed { id, suspects, cleared }) => {
            Some((id, suspects, cleared))
        }
        _ => None,
    });
    let expected = ("u0".to_owned(), vec![HARMFUL], vec![Fingerprint(1)]);
    assert_eq!(crash, Some(expected));
}

/// Guards against a second crash that leaves no line at the nodes that are
/// told of it.
#[test]
fn the_second_crash_of_a_request_is_logged() {
    let mut harness = Harness::new();
    let crashes = |out: Vec<Effect>| {
        out.into_iter().find_map(|effect| match effect {
            Effect::Notice(Notice::CrashesCounted {
                request,
                crashes,
                node,
            }) => Some((request, crashes, node)),
            _ => None,
        })
    };
    assert_eq!(crashes(harness.gossip_with(1, "k", &[HARMFUL])), None);
    let second = crashes(harness.gossip_with(2, "k", &[HARMFUL]));
    assert_eq!(second, Some((HARMFUL, 2, "n2".to_owned())));
}

/// Time between the report of a crash and one that no longer is about it.
const MISSED_REPORTS_MS: u64 = REPORTS_OVER_MS - GOSSIP_INTERVAL_MS;

/// Time after which an upstream that has crashed is back.
const RESTART_MS: u64 = 3_000;

/// The node's upstream runs the request again as a new instance, and crashes.
fn crash_again(harness: &mut Harness, started_ms: u64) {
    harness.now += RESTART_MS;
    harness.announce_instance("u0", started_ms);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.step(Event::UpstreamDown);
    harness.upstream_done(harness.next_ticket - 1, refused(LOST));
}

/// How a request ends whose upstream crashes.
const LOST: Reason = Reason::ConnectionLost;

/// Guards against a crash without suspects: an announcement that the upstream
/// sent before it crashed is handled after the connection was lost.
#[test]
fn a_late_announcement_does_not_hide_a_crash() {
    let mut harness = running_it();
    harness.upstream_done(1, refused(LOST));
    harness.now += 100;
    harness.announce(Phase::Ready, 4);
    harness.now += 50;
    harness.step(Event::UpstreamDown);
    assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
}

/// Guards against a request that is no suspect since its caller left, although
/// the upstream may work on it until its time is over.
#[test]
fn a_request_whose_caller_left_is_a_suspect_until_its_deadline() {
    for (waited_ms, expected) in [(900, vec![HARMFUL]), (6_000, vec![])] {
        let mut harness = running_it();
        harness.step(Event::Cancelled { ticket: Ticket(1) });
        harness.now += waited_ms;
        harness.announce(Phase::Ready, 4);
        harness.fingerprint = Some(Fingerprint(1));
        assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
        harness.upstream_done(2, Ok(200));
        harness.step(Event::UpstreamDown);
        assert_eq!(reported_suspects(&mut harness), expected);
    }
}

/// Guards against two crashes at one node that count as one: the first is no
/// longer reported when the second is.
#[test]
fn a_second_crash_at_a_node_is_not_taken_for_the_first() {
    let mut peer = Harness::new();
    peer.gossip(1, "k");
    peer.fingerprint = Some(HARMFUL);
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    harness.gossip_with(2, "k", &[HARMFUL]);
    for crash in 1..=2 {
        assert_eq!(refusal_reason(&mut harness), None, "before {crash}");
        crash_again(&mut peer, crash);
        let told = reported_suspects(&mut peer);
        harness.gossip_with(3, "k", &told);
        peer.now += MISSED_REPORTS_MS;
        harness.now = peer.now;
    }
    assert_eq!(refusal_reason(&mut harness), Some(Reason::Poisoned));
}

/// Guards against a crash that a node never learns of, since it was cut off
/// while its peers reported the crash.
#[test]
fn a_node_that_was_cut_off_learns_of_a_crash() {
    let mut peer = running_it();
    peer.step(Event::UpstreamDown);
    peer.now += REPORTS_OVER_MS;
    let mut told = Vec::new();
    for _ in 0..10 {
        told.extend(reported_suspects(&mut peer));
    }
    assert!(told.contains(&HARMFUL));
}

/// Guards against a node that has just started, or is back after a cut, and
/// must wait for what it missed.
#[test]
fn a_node_that_is_heard_again_is_told_of_all_crashes() {
    let mut peer = running_it();
    peer.step(Event::UpstreamDown);
    peer.now += REPORTS_OVER_MS;
    reported_suspects(&mut peer);
    assert_eq!(reported_suspects(&mut peer), []);
    peer.gossip(2, "k");
    assert_eq!(reported_suspects(&mut peer), [HARMFUL]);
    peer.gossip(2, "k");
    assert_eq!(reported_suspects(&mut peer), []);
}

/// Guards against a repeated crash that is not reported, since the suspects of
/// others have displaced the first one.
#[test]
fn many_suspects_do_not_displace_a_request_that_crashed_before() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.fingerprint = Some(HARMFUL);
    crash_again(&mut harness, 1);
    for started_ms in 2..60 {
        harness.fingerprint = Some(Fingerprint(1_000 + started_ms));
        crash_again(&mut harness, started_ms);
    }
    harness.fingerprint = Some(HARMFUL);
    crash_again(&mut harness, 60);
    let told = reported_suspects(&mut harness);
    assert_eq!(told.iter().filter(|&&t| t == HARMFUL).count(), 2);
}

/// Guards against a request that counts as running at two crashes, when the
/// same instance refused connections twice.
#[test]
fn an_instance_that_refuses_connections_twice_has_crashed_once() {
    let mut harness = running_it();
    harness.step(Event::UpstreamDown);
    harness.upstream_done(1, refused(LOST));
    harness.announce(Phase::Ready, 4);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.step(Event::UpstreamDown);
    assert_eq!(reported_suspects(&mut harness), [HARMFUL]);
}

/// Guards against a harmful request that is sent on since it was waiting for
/// an owner of its key when it became known as harmful.
#[test]
fn a_waiting_request_that_turns_out_to_be_harmful_is_not_sent() {
    let mut harness = Harness::new();
    harness.fingerprint = Some(HARMFUL);
    let out = harness.caller_request("/k/", Some(3));
    assert_eq!(forwards(&out), []);
    for index in 2..=4 {
        harness.gossip_with(index, "s", &[HARMFUL]);
    }
    harness.gossip(1, "k");
    harness.now += 300;
    let out = harness.step(Event::Tick);
    assert_eq!(forwards(&out), []);
    let refused = refusal(&out).expect("the request crashes upstreams");
    assert_eq!((refused.reason, refused.verdict), POISONED_NOT_RUN);
}

/// Guards against a harmful request that runs since it was queued for the
/// upstream when it became known as harmful.
#[test]
fn a_queued_request_that_turns_out_to_be_harmful_does_not_run() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.fingerprint = Some(HARMFUL);
    let out = harness.peer_request(0, 5_000);
    assert_eq!((dispatches(&out), refusal(&out)), (0, None));
    for index in 1..=3 {
        harness.gossip_with(index, "k", &[HARMFUL]);
    }
    let out = harness.upstream_done(1, Ok(200));
    assert_eq!(dispatches(&out), 0);
    let refused = refusal(&out).expect("the request crashes upstreams");
    assert_eq!((refused.reason, refused.verdict), POISONED_NOT_RUN);
}
