//! A forwarded request is accepted at most once, and never after it has been
//! withdrawn.

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::withdrawal::{Arrivals, MAX_WITHDRAWAL_AGE_MS};
use quickcheck::quickcheck;

/// Start of the process; far enough from 0 for the earlier process.
const START_MS: u64 = 100_000;

/// Guards against a request that runs twice: it is sent again because the node
/// says that it has not arrived, and the first copy arrives later.
#[test]
fn a_withdrawn_request_is_not_accepted_later() {
    let mut arrivals = Arrivals::new(Millis(START_MS));
    let now = START_MS + 10_000;
    assert!(arrivals.withdraw(7, Millis(now)));
    for late_ms in [0, 10, 10_000, 10_000_000] {
        assert!(!arrivals.accept(7, Millis(now + late_ms)), "{late_ms}");
    }
    assert!(arrivals.accept(8, Millis(now)));
}

/// Guards against a request that was accepted by an earlier process of the
/// node, and that the new one says has not arrived.
#[test]
fn a_process_that_has_just_started_confirms_no_withdrawal() {
    let mut arrivals = Arrivals::new(Millis(START_MS));
    for age_ms in [0, MAX_WITHDRAWAL_AGE_MS, 2 * MAX_WITHDRAWAL_AGE_MS] {
        assert!(!arrivals.withdraw(7, Millis(START_MS + age_ms)), "{age_ms}");
    }
}

/// Guards against a long-running node whose memory grows with each request.
#[test]
fn arrivals_are_forgotten_and_withdrawals_limited() {
    let mut arrivals = Arrivals::new(Millis(START_MS));
    for id in 0..100_000 {
        let now = Millis(START_MS + 10_000 + id);
        assert!(arrivals.accept(id, now));
        assert!(arrivals.withdraw(1_000_000 + id, now));
    }
    let size = format!("{arrivals:?}").len();
    assert!(size < 400_000, "{size}");
}

/// Guards against any order of copies and withdrawals in which a request is
/// accepted twice, or accepted and confirmed as withdrawn, while its sender
/// still counts the confirmation.
#[test]
fn no_order_gives_a_request_two_outcomes() {
    quickcheck(has_one_outcome as fn(Vec<(bool, u8, u8)>) -> bool);
}

/// Whether the node contradicts itself in none of the steps: whether a copy
/// arrives or a withdrawal, of which request, and after which time.
fn has_one_outcome(steps: Vec<(bool, u8, u8)>) -> bool {
    let mut now = START_MS + 10_000;
    let mut arrivals = Arrivals::new(Millis(START_MS));
    let mut accepted = std::collections::BTreeMap::new();
    let mut withdrawn = std::collections::BTreeSet::new();
    for (is_copy, id, ms) in steps {
        now += u64::from(ms);
        let id = u64::from(id % 4);
        if is_copy {
            if arrivals.accept(id, Millis(now)) {
                let before = accepted.insert(id, now);
                let is_recent =
                    before.is_some_and(|at| now - at < MAX_WITHDRAWAL_AGE_MS);
                if is_recent || withdrawn.contains(&id) {
                    return false;
                }
            }
        } else if arrivals.withdraw(id, Millis(now)) {
            let is_recent = accepted
                .get(&id)
                .is_some_and(|at| now - at < MAX_WITHDRAWAL_AGE_MS);
            if is_recent {
                return false;
            }
            withdrawn.insert(id);
        }
    }
    true
}
