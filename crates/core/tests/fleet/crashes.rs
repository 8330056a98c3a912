//! Requests that crash upstreams are recognized wherever they return, and are
//! sent to no further upstream.

use lagoondyke_core::id::Fingerprint;
use lagoondyke_core::verdict::Reason;

use crate::requests::{Harness, forwards, refusal};

/// Fingerprint of the request that crashes upstreams.
const HARMFUL: Fingerprint = Fingerprint(66);

/// Time after which nodes no longer report the suspects of a crash.
const REPORTS_OVER_MS: u64 = 11_000;

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
    for crash in 0..3 {
        assert_eq!(refusal_reason(&mut harness), None, "after {crash}");
        harness.gossip_with(1, "k", &[HARMFUL]);
        harness.gossip_with(1, "k", &[HARMFUL]);
        harness.now += REPORTS_OVER_MS;
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
