//! An upstream gets what it has places for, whatever it does not answer.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::effect::Effect;
use lagoondyke_core::fleet::event::{Condition, Event, Outcome};
use lagoondyke_core::fleet::occupancy::Occupancy;
use lagoondyke_core::fleet::upstream::Phase;
use lagoondyke_core::id::Ticket;
use lagoondyke_core::verdict::Verdict;
use quickcheck::quickcheck;

use crate::requests::{Harness, dispatched_tickets, dispatches};

/// Number of slots of the upstream.
const SLOT_COUNT: u16 = 4;

/// Time that a request takes at the upstream.
const RUN_MS: u64 = 100;

/// The node after its upstream has answered a first request.
fn started() -> Harness {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, SLOT_COUNT);
    let out = harness.caller_request("/si/", None);
    let ticket = dispatched_tickets(&out)[0];
    harness.now += RUN_MS;
    answer(&mut harness, ticket, Some(0));
    harness
}

/// The upstream answers, and reports that it has `inflight` requests.
fn answer(
    harness: &mut Harness,
    ticket: Ticket,
    inflight: Option<usize>,
) -> Vec<Effect> {
    let condition = Some(Condition { inflight, ..Condition::default() });
    let outcome = Outcome { result: Ok(200), load: None, condition };
    harness.step(Event::UpstreamDone { ticket, outcome })
}

/// What callers and the upstream see of some load.
#[derive(Debug, Default)]
struct Seen {
    answered: usize,
    refused_as_run: usize,
    /// Requests that the upstream worked on at once, at most.
    most: usize,
}

/// Sends a request each `gap` milliseconds for 8 s. The upstream drops each
/// that `is_dropped` says, by the number of its dispatch, and reports its load
/// if `reports`.
fn play(
    path: &str,
    gap: u64,
    reports: bool,
    is_dropped: impl Fn(u64) -> bool,
) -> Seen {
    let mut harness = started();
    let end = harness.now + 8_000;
    let mut running: Vec<(Ticket, u64)> = Vec::new();
    let (mut seen, mut count, mut due) = (Seen::default(), 0, harness.now);
    while harness.now < end {
        harness.now += 5;
        let now = harness.now;
        let mut out = Vec::new();
        if now >= due {
            due = now + gap;
            out = harness.caller_request(path, None);
        }
        if now.is_multiple_of(25) {
            out.extend(harness.step(Event::Tick));
        }
        if now.is_multiple_of(800) {
            out.extend(harness.announce(Phase::Ready, SLOT_COUNT));
        }
        let (ended, left) = running.into_iter().partition(|r| r.1 <= now);
        running = left;
        let ended: Vec<(Ticket, u64)> = ended;
        for (ticket, _) in ended {
            let inflight = reports.then_some(running.len());
            out.extend(answer(&mut harness, ticket, inflight));
        }
        for effect in out {
            match effect {
                Effect::Dispatch { ticket, .. } => {
                    count += 1;
                    if !is_dropped(count) {
                        running.push((ticket, now + RUN_MS));
                    }
                }
                Effect::Abort { ticket } => {
                    running.retain(|other| other.0 != ticket);
                }
                Effect::Answer { .. } => seen.answered += 1,
                Effect::Refuse { refusal, .. }
                    if refusal.verdict == Verdict::MayHaveRun =>
                {
                    seen.refused_as_run += 1;
                }
                _ => {}
            }
        }
        seen.most = seen.most.max(running.len());
    }
    seen
}

/// Guards against an upstream that is taken to be full because it does not
/// answer some requests: the others waited behind them until their deadline.
#[test]
fn requests_without_an_answer_do_not_keep_others_waiting() {
    for path in ["/si/", "/s/"] {
        // 20 requests a second, of which half are dropped; the upstream could
        // run 40.
        let seen = play(path, 50, true, |count| count.is_multiple_of(2));
        println!("{path}: {seen:?}");
        assert!(seen.answered >= 72, "{path}: {seen:?}");
        assert!(seen.most <= usize::from(SLOT_COUNT), "{path}: {seen:?}");
    }
}

/// Guards against an upstream that gets no request any more, so that no answer
/// shows that it works again.
#[test]
fn an_upstream_that_was_silent_on_everything_is_tried_again() {
    let seen = play("/s/", 50, true, |count| count <= 4);
    // 160 requests, less those that arrived in the first 1.2 s.
    assert!(seen.answered >= 120, "{seen:?}");
}

/// Guards against more requests than slots where the upstream answers each.
#[test]
fn an_upstream_that_answers_gets_no_more_than_its_slots() {
    for reports in [true, false] {
        let seen = play("/si/", 15, reports, |_| false);
        assert!(seen.most <= usize::from(SLOT_COUNT), "{seen:?}");
        assert!(seen.answered >= 300, "{reports}: {seen:?}");
    }
}

/// Guards against requests for which the upstream has no place, since it still
/// works on those whose callers have left.
#[test]
fn requests_whose_callers_left_keep_their_places() {
    let mut harness = started();
    let mut left = Vec::new();
    for _ in 0..SLOT_COUNT {
        left.extend(dispatched_tickets(&harness.caller_request("/s/", None)));
    }
    assert_eq!(left.len(), usize::from(SLOT_COUNT));
    let mut sent = 0;
    for ticket in left {
        sent += dispatches(&harness.step(Event::Cancelled { ticket }));
    }
    for _ in 0..SLOT_COUNT {
        sent += dispatches(&harness.caller_request("/s/", None));
    }
    assert!(sent <= 1, "{sent} sent beside {SLOT_COUNT} that may still run");
    // Their deadline, 1.15 s after they arrived, has passed.
    harness.now += 1_200;
    harness.step(Event::Tick);
    let mut sent = 0;
    for _ in 0..SLOT_COUNT {
        sent += dispatches(&harness.caller_request("/s/", None));
    }
    assert!(sent >= usize::from(SLOT_COUNT) - 1, "{sent} sent");
}

/// Guards against requests beside those of an earlier process of the node,
/// which the upstream reports and this process knows nothing of.
#[test]
fn requests_that_the_upstream_reports_keep_their_places() {
    let mut harness = started();
    let out = harness.caller_request("/s/", None);
    let ticket = dispatched_tickets(&out)[0];
    harness.now += RUN_MS;
    answer(&mut harness, ticket, Some(3));
    let mut sent = 0;
    for _ in 0..SLOT_COUNT {
        sent += dispatches(&harness.caller_request("/s/", None));
    }
    assert_eq!(sent, 1);
}

quickcheck! {
    /// Guards against a count that exceeds what was sent, from which the
    /// number of usable slots is derived.
    fn counts_stay_within_what_was_sent(
        reports: Vec<(u8, u8, u8)>,
        slots: u8
    ) -> bool {
        let mut occupancy = Occupancy::default();
        let mut now = Millis(1_000);
        reports.into_iter().all(|(reported, sent, age)| {
            now = now.plus(u64::from(age));
            let times = vec![Millis(1_000); usize::from(sent)];
            occupancy.on_answer(Some(usize::from(reported)), times, now);
            occupancy.on_abandoned(now.plus(100), now);
            let usable = occupancy.usable(usize::from(slots), now);
            occupancy.silent() <= usize::from(sent)
                && usable >= 1
                && usable <= usize::from(slots).max(1) + usize::from(sent)
        })
    }
}
