//! Tests of the checks that decide whether an experiment passes: violations
//! of the guarantees, unserved time, and bounds.

use lagoondyke_bench::check::{
    Record, Violations, find_violations, longest_unserved_ms,
};
use lagoondyke_bench::load::{CallOutcome, Sample};
use lagoondyke_bench::report::{Bound, Report};
use lagoondyke_standin::upstream::{Outcome, Run};

/// A run of request `n` from `start` to `end`, with the fence 1.`sequence`.
fn run(n: u64, start: u64, end: Option<u64>, sequence: u32) -> Run {
    Run {
        id: format!("r-{n}"),
        key: String::new(),
        shard: Some(7),
        fence: format!("1.{sequence}"),
        start,
        end,
        outcome: end.map_or(Outcome::Running, |_| Outcome::Completed),
    }
}

fn sample(
    number: u64,
    key: u32,
    due_us: u64,
    done_us: u64,
    outcome: CallOutcome,
) -> Sample {
    Sample {
        number,
        key,
        is_post: true,
        partner: 0,
        due_us,
        done_us,
        outcome,
        upstream: None,
        reason: String::new(),
    }
}

/// Records of two upstreams, the first of which was killed at `kill_time`.
fn records(first: Vec<Run>, kill_time: u64, second: Vec<Run>) -> Vec<Record> {
    let record = |name: &str, runs, kill_times| Record {
        name: name.to_owned(),
        runs,
        kill_times,
    };
    vec![record("a", first, vec![kill_time]), record("b", second, vec![])]
}

/// Guards against a check that overlooks a violation, reports one where there
/// is none, or looks for conflicts of owners in a service without owners.
#[test]
fn violations_are_found() {
    let clean = Violations::default();
    let owner_conflicts = Violations { owner_conflicts: 1, ..clean };
    let table = [
        (
            "one owner after the other",
            records(
                vec![run(0, 10, Some(20), 1)],
                99,
                vec![run(1, 20, Some(30), 2)],
            ),
            clean,
        ),
        (
            "overlap",
            records(
                vec![run(0, 10, Some(21), 1)],
                99,
                vec![run(1, 20, Some(30), 2)],
            ),
            owner_conflicts,
        ),
        (
            "overlap that ends in a kill",
            records(
                vec![run(0, 10, None, 1)],
                25,
                vec![run(1, 20, Some(30), 2)],
            ),
            Violations { missing_runs: 1, ..owner_conflicts },
        ),
        (
            "killed before the other began",
            records(
                vec![run(0, 10, None, 1)],
                15,
                vec![run(1, 20, Some(30), 2)],
            ),
            Violations { missing_runs: 1, ..clean },
        ),
        (
            "old fence after a new one",
            records(
                vec![run(0, 40, Some(50), 1)],
                99,
                vec![run(1, 20, Some(30), 2)],
            ),
            owner_conflicts,
        ),
        (
            "run twice",
            records(
                vec![run(0, 10, Some(20), 1)],
                99,
                vec![run(0, 20, Some(30), 2), run(1, 30, Some(40), 2)],
            ),
            Violations { duplicate_runs: 1, ..clean },
        ),
        (
            "answered without a run",
            records(vec![], 99, vec![run(1, 20, Some(30), 2)]),
            Violations { missing_runs: 1, ..clean },
        ),
        (
            "refused as not-run, but ran",
            records(
                vec![run(0, 10, Some(20), 1)],
                99,
                vec![run(1, 20, Some(30), 2), run(2, 30, Some(40), 2)],
            ),
            Violations { false_refusals: 1, ..clean },
        ),
    ];
    let samples = [
        sample(0, 5, 0, 0, CallOutcome::Answered),
        sample(1, 5, 0, 0, CallOutcome::Answered),
        sample(2, 5, 0, 0, CallOutcome::NotRun),
    ];
    for (case, records, expected) in table {
        assert_eq!(
            find_violations(&records, &samples, "r", true),
            expected,
            "{case}"
        );
        let unkeyed = Violations { owner_conflicts: 0, ..expected };
        assert_eq!(
            find_violations(&records, &samples, "r", false),
            unkeyed,
            "{case}"
        );
    }
}

/// Guards against an outage that goes unnoticed because only failed requests,
/// or only answered ones, are looked at.
#[test]
fn unserved_time_spans_failures_and_waits() {
    let ms = |n: u64| n * 1_000;
    let ok =
        |due, done| sample(0, 1, ms(due), ms(done), CallOutcome::Answered);
    let no = |due, done| sample(0, 1, ms(due), ms(done), CallOutcome::NotRun);
    let other =
        |due, done| sample(0, 2, ms(due), ms(done), CallOutcome::Answered);
    let table = [
        ("served", vec![ok(0, 5), ok(100, 106)], 6.0),
        ("waited", vec![ok(0, 5), ok(100, 900)], 800.0),
        ("refused", vec![ok(0, 5), no(100, 101), ok(700, 705)], 605.0),
        ("never again", vec![ok(0, 5), no(100, 101), other(0, 400)], 400.0),
        ("overtaken", vec![ok(0, 500), ok(10, 20)], 20.0),
    ];
    for (case, samples, expected) in table {
        let found = longest_unserved_ms(&samples);
        assert!((found - expected).abs() < 0.001, "{case}: {found}");
    }
}

/// Guards against a report that passes although a bound does not hold.
#[test]
fn one_failed_bound_fails_the_report() {
    let mut report = Report::new("x", 1);
    report.add_figure("without a bound", 1e9, "");
    report.add_bounded("holds", 3.0, "s", Bound::Most(3.0));
    report.add_compared_bounded("holds", 3.0, "s", 1.0, Bound::Least(3.0));
    assert!(report.passes(), "{}", report.table());
    report.add_bounded("fails", 3.1, "s", Bound::Most(3.0));
    assert!(!report.passes());
    assert!(report.table().contains("FAILED"), "{}", report.table());
}
