//! What an upstream states about itself in its answers binds its node.

use lagoondyke_core::fleet::effect::Effect;
use lagoondyke_core::fleet::event::{Condition, Event, Outcome};
use lagoondyke_core::fleet::gossip::Gossip;
use lagoondyke_core::fleet::upstream::Phase;
use lagoondyke_core::id::Ticket;
use lagoondyke_core::verdict::Reason;

use crate::requests::{
    Harness, dispatched_tickets, dispatches, forwards, left, refusal,
};

/// Time that a request takes at the upstream.
const RUN_MS: u64 = 100;

/// Window in which requests to a limited upstream are counted.
const WINDOW_MS: u64 = 4_000;

/// An upstream with this limit, in requests per second.
fn limited(rate: f64) -> Condition {
    Condition { rate_limit: Some(rate), ..Condition::default() }
}

/// The node after its upstream has answered a request under this condition.
fn answered(condition: Condition) -> Harness {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 20);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.now += RUN_MS;
    answer(&mut harness, 1, condition);
    harness
}

/// The upstream answers a request.
fn answer(
    harness: &mut Harness,
    ticket: u64,
    condition: Condition,
) -> Vec<Effect> {
    let ticket = Ticket(ticket);
    let condition = Some(condition);
    let outcome = Outcome { result: Ok(200), load: None, condition };
    harness.step(Event::UpstreamDone { ticket, outcome })
}

/// Times at which requests reach the upstream if one arrives each 10 ms for
/// `span` milliseconds.
fn sent_under_load(
    harness: &mut Harness,
    condition: Condition,
    span: u64,
) -> Vec<u64> {
    let end = harness.now + span;
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut sent = Vec::new();
    while harness.now < end {
        harness.now += 10;
        let now = harness.now;
        let mut out = harness.peer_request(0, 2_000);
        out.extend(harness.step(Event::Tick));
        let (ended, rest) = running.into_iter().partition(|r| r.1 <= now);
        running = rest;
        for (ticket, _) in ended {
            out.extend(answer(harness, ticket, condition));
        }
        for ticket in dispatched_tickets(&out) {
            running.push((ticket.0, now + RUN_MS));
            sent.push(now);
        }
    }
    sent
}

/// Most requests in any window.
fn most_in_window(sent: &[u64]) -> usize {
    let count = |begin: u64| {
        sent.iter()
            .filter(|&&at| begin <= at && at < begin + WINDOW_MS)
            .count()
    };
    sent.iter().map(|&begin| count(begin)).max().unwrap_or(0)
}

/// Guards against an upstream that gets more requests than the limit that it
/// names, and against one that gets far fewer.
#[test]
fn an_upstream_gets_as_many_requests_as_it_names() {
    for rate in [0.7, 2.0, 8.7, 40.0] {
        let mut harness = answered(limited(rate));
        let sent = sent_under_load(&mut harness, limited(rate), 20_000);
        let window_secs = WINDOW_MS as f64 / 1_000.0;
        let allowed = 1.5 * rate * window_secs + 5.0;
        assert!(most_in_window(&sent) as f64 <= allowed, "limit {rate}");
        let rate_sent = sent.len() as f64 / 20.0;
        assert!(rate_sent >= 0.9 * rate, "{rate_sent} of {rate} a second");
    }
}

/// Guards against requests that wait for an upstream with a limit until it is
/// too late for them.
#[test]
fn what_a_limit_leaves_no_room_for_is_refused_at_once() {
    let mut harness = answered(limited(2.0));
    let mut refused = 0;
    for _ in 0..10 {
        let out = harness.peer_request(0, 1_000);
        let Some(refusal) = refusal(&out) else { continue };
        assert_eq!(refusal.reason, Reason::Overloaded);
        let after = refusal.retry_after.expect("a time to come back");
        assert!(after >= 400, "the next is sent after half a second");
        refused += 1;
    }
    assert!(refused >= 9, "{refused} refused");
}

/// Guards against a limit that an answer from before it ends: answers may
/// overtake each other.
#[test]
fn only_a_later_answer_ends_a_limit() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 20);
    harness.peer_request(0, 9_000);
    harness.peer_request(0, 9_000);
    harness.now += RUN_MS;
    answer(&mut harness, 1, limited(1.0));
    answer(&mut harness, 2, Condition::default());
    let sent = |harness: &mut Harness| {
        (0..5)
            .map(|_| dispatches(&harness.peer_request(0, 1_000)))
            .sum::<usize>()
    };
    assert_eq!(sent(&mut harness), 0, "sent before the limit was named");
    harness.now += 1_000;
    assert_eq!(dispatches(&harness.peer_request(0, 1_000)), 1);
    let ticket = harness.next_ticket - 1;
    harness.now += RUN_MS;
    answer(&mut harness, ticket, Condition::default());
    assert_eq!(sent(&mut harness), 5, "sent after it, and no longer named");
}

/// Guards against the limit of an instance that has ended.
#[test]
fn a_new_instance_has_no_limit() {
    let mut harness = answered(limited(1.0));
    assert_eq!(dispatches(&harness.peer_request(0, 1_000)), 0);
    harness.announce_instance("u9", 5);
    assert_eq!(dispatches(&harness.peer_request(0, 1_000)), 1);
}

/// Guards against an upstream with a limit that others choose since it looks
/// idle, and that gets more keys than it can serve.
#[test]
fn other_nodes_learn_of_a_limit() {
    let mut harness = answered(limited(8.0));
    let before = gossip(&mut answered(Condition::default()));
    let under_limit = gossip(&mut harness);
    assert_eq!(before.slots, 20);
    assert_eq!(under_limit.slots, 2, "8 a second, each of 150 ms");
    assert!(under_limit.capacity <= 8.0);
}

fn gossip(harness: &mut Harness) -> Gossip {
    harness.gossip(1, "k");
    harness.now += 200;
    let out = harness.step(Event::Tick);
    let gossip = out.into_iter().find_map(|effect| match effect {
        Effect::Send { gossip, .. } => Some(*gossip),
        _ => None,
    });
    gossip.expect("gossip is due")
}

/// Guards against a burst by a node that has restarted and does not know the
/// limit of its upstream, while other nodes send it their requests.
#[test]
fn a_new_process_sends_few_requests_before_the_first_answer() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 20);
    let mut sent = Vec::new();
    for _ in 0..20 {
        sent.extend(dispatched_tickets(&harness.peer_request(0, 5_000)));
    }
    assert_eq!(sent.len(), 4);
    harness.now += RUN_MS;
    let out = answer(&mut harness, sent[0].0, limited(2.0));
    assert_eq!(dispatches(&out), 0, "the limit is known");
}

/// Time for which an upstream that leaves is sent requests, by the settings of
/// the tests.
const DRAIN_MS: u64 = 2_000;

/// An upstream that says that it is leaving.
fn leaving() -> Condition {
    Condition { leaving: true, ..Condition::default() }
}

/// Guards against requests to an upstream that says in its answers that it is
/// leaving, and whose announcements do not say so.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_more_requests() {
    for announcing in [false, true] {
        let mut harness = answered(leaving());
        let left_at = harness.now;
        let mut late = 0;
        while harness.now < left_at + 3 * DRAIN_MS {
            harness.now += 100;
            if announcing {
                harness.announce(Phase::Ready, 20);
            }
            let sent = dispatches(&harness.peer_request(0, 900));
            if harness.now >= left_at + DRAIN_MS {
                late += sent;
            }
        }
        assert_eq!(late, 0, "announcing: {announcing}");
    }
}

/// Guards against callers of this node who are sent to a leaving upstream
/// while others can take their requests.
#[test]
fn new_requests_go_to_other_upstreams_at_once() {
    let mut harness = answered(leaving());
    harness.gossip(2, "s");
    for _ in 0..10 {
        assert_eq!(forwards(&harness.caller_request("/s/", None)).len(), 1);
    }
}

/// Guards against an upstream that gets nothing from the moment at which it
/// reports its exit, although it serves for a while: some report it first, and
/// say in their answers that they are leaving.
#[test]
fn an_upstream_that_reports_its_exit_first_still_serves() {
    let mut harness = answered(leaving());
    harness.step(left());
    harness.now += 500;
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 1);
    harness.now += DRAIN_MS;
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 0);
}

/// Guards against what an earlier instance said in an answer that arrives when
/// the next instance has announced itself already.
#[test]
fn an_answer_of_an_earlier_instance_says_nothing_of_the_next() {
    let mut harness = answered(Condition::default());
    let ticket = harness.next_ticket;
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.now += RUN_MS;
    harness.announce_instance("u9", 5);
    let condition = Condition { rate_limit: Some(1.0), ..leaving() };
    answer(&mut harness, ticket, condition);
    harness.now += 2 * DRAIN_MS;
    for _ in 0..4 {
        assert_eq!(dispatches(&harness.peer_request(0, 900)), 1);
    }
}

/// Guards against an upstream that leaves and whose next instance gets no
/// requests.
#[test]
fn a_new_instance_is_not_leaving() {
    let mut harness = answered(leaving());
    harness.now += 2 * DRAIN_MS;
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 0);
    harness.announce_instance("u9", 5);
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 1);
}

/// Guards against a node that restarts while its upstream leaves and sends it
/// requests for the drain time once more: other nodes have passed on the
/// answers in which the upstream said so.
#[test]
fn a_new_process_sends_nothing_to_an_upstream_that_is_leaving() {
    let mut harness = Harness::new();
    harness.announce(Phase::Draining, 20);
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 0);
    harness.announce_instance("u9", 5);
    assert_eq!(dispatches(&harness.peer_request(0, 900)), 1);
}
