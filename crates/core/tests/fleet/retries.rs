//! How often requests are sent once more, by service and number of nodes.

use lagoondyke_core::fleet::event::Event;
use lagoondyke_core::verdict::Reason;

use crate::requests::{Harness, forwards, refused};

/// Number of nodes of the service "s".
const NODES: std::ops::RangeInclusive<usize> = 1..=2;

/// Requests that are shed, and how many of them are sent once more.
fn sent_again(harness: &mut Harness, requests: usize) -> usize {
    let mut again = 0;
    for _ in 0..requests {
        for index in NODES {
            harness.gossip(index, "s");
        }
        let ticket = harness.next_ticket;
        let out = harness.caller_request("/si/", None);
        assert_eq!(forwards(&out).len(), 1);
        let out = harness.peer_done(ticket, refused(Reason::Shed));
        again += forwards(&out).len();
        if !forwards(&out).is_empty() {
            harness.peer_done(ticket, Ok(200));
        }
    }
    again
}

/// Guards against a service that gets more repeats than its requests allow,
/// since those of other services pay for them: with many services, 2,057 where
/// 1,709 were allowed.
#[test]
fn requests_for_other_services_pay_for_no_retries() {
    let mut harness = Harness::new();
    let before = sent_again(&mut harness, 20);
    for _ in 0..200 {
        harness.gossip(3, "k");
        let ticket = harness.next_ticket;
        assert_eq!(forwards(&harness.caller_request("/k/", Some(3))).len(), 1);
        harness.peer_done(ticket, Ok(200));
    }
    let after = sent_again(&mut harness, 5);
    // The node's burst of 2, and a tenth of the 25 requests for the service.
    assert!(before + after <= 2 + 25 / 10, "{before} and {after}");
}

/// Guards against nodes that each take the slack of the whole deployment: with
/// 80 nodes at 10 each, 800 where 204 are allowed.
#[test]
fn the_slack_is_divided_among_all_nodes() {
    for (others, expected) in [(3, 2), (49, 1)] {
        let mut harness = Harness::new();
        for index in 3..=others {
            harness.gossip(index, "k");
        }
        for index in NODES {
            harness.gossip(index, "s");
        }
        harness.step(Event::Tick);
        assert_eq!(sent_again(&mut harness, 5), expected, "{others}");
    }
}
