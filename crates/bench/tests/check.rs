//! The checker must find what it is there to find; each row breaks one
//! guarantee or keeps them all.

use lagoondyke_bench::check::{Faults, Record, faults, longest_unserved};
use lagoondyke_bench::load::{Sample, Told};
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

fn sample(n: u64, key: u32, due: u64, done: u64, told: Told) -> Sample {
    Sample {
        n,
        key,
        post: true,
        partner: 0,
        due,
        done,
        told,
        upstream: None,
        reason: String::new(),
    }
}

/// Records of two upstreams, the first of which was killed at `kill`.
fn records(first: Vec<Run>, kill: u64, second: Vec<Run>) -> Vec<Record> {
    let record = |name: &str, runs, kills| Record {
        name: name.to_owned(),
        runs,
        kills,
    };
    vec![record("a", first, vec![kill]), record("b", second, vec![])]
}

#[test]
fn faults_are_found() {
    let clean = Faults::default();
    let owners = Faults { owners: 1, ..clean };
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
            owners,
        ),
        (
            "overlap that ends in a kill",
            records(
                vec![run(0, 10, None, 1)],
                25,
                vec![run(1, 20, Some(30), 2)],
            ),
            Faults { missing: 1, ..owners },
        ),
        (
            "killed before the other began",
            records(
                vec![run(0, 10, None, 1)],
                15,
                vec![run(1, 20, Some(30), 2)],
            ),
            Faults { missing: 1, ..clean },
        ),
        (
            "old fence after a new one",
            records(
                vec![run(0, 40, Some(50), 1)],
                99,
                vec![run(1, 20, Some(30), 2)],
            ),
            owners,
        ),
        (
            "run twice",
            records(
                vec![run(0, 10, Some(20), 1)],
                99,
                vec![run(0, 20, Some(30), 2), run(1, 30, Some(40), 2)],
            ),
            Faults { doubles: 1, ..clean },
        ),
        (
            "answered without a run",
            records(vec![], 99, vec![run(1, 20, Some(30), 2)]),
            Faults { missing: 1, ..clean },
        ),
        (
            "refused as not-run, but ran",
            records(
                vec![run(0, 10, Some(20), 1)],
                99,
                vec![run(1, 20, Some(30), 2), run(2, 30, Some(40), 2)],
            ),
            Faults { untrue: 1, ..clean },
        ),
    ];
    let samples = [
        sample(0, 5, 0, 0, Told::Answered),
        sample(1, 5, 0, 0, Told::Answered),
        sample(2, 5, 0, 0, Told::NotRun),
    ];
    for (case, records, expected) in table {
        assert_eq!(faults(&records, &samples, "r", true), expected, "{case}");
        let unkeyed = Faults { owners: 0, ..expected };
        assert_eq!(faults(&records, &samples, "r", false), unkeyed, "{case}");
    }
}

/// Guards against an outage that is hidden because only failed requests, or
/// only answered ones, are looked at.
#[test]
fn unserved_time_spans_failures_and_waits() {
    let ms = |n: u64| n * 1_000;
    let ok = |due, done| sample(0, 1, ms(due), ms(done), Told::Answered);
    let no = |due, done| sample(0, 1, ms(due), ms(done), Told::NotRun);
    let other = |due, done| sample(0, 2, ms(due), ms(done), Told::Answered);
    let table = [
        ("served", vec![ok(0, 5), ok(100, 106)], 6.0),
        ("waited", vec![ok(0, 5), ok(100, 900)], 800.0),
        ("refused", vec![ok(0, 5), no(100, 101), ok(700, 705)], 605.0),
        ("never again", vec![ok(0, 5), no(100, 101), other(0, 400)], 400.0),
        ("overtaken", vec![ok(0, 500), ok(10, 20)], 20.0),
    ];
    for (case, samples, expected) in table {
        let found = longest_unserved(&samples);
        assert!((found - expected).abs() < 0.001, "{case}: {found}");
    }
}

/// Guards against an experiment that passes although a bound fails.
#[test]
fn one_failed_bound_fails_the_report() {
    let mut report = Report::new("x", 1);
    report.show("without a bound", 1e9, "");
    report.bound("holds", 3.0, "s", Bound::Most(3.0));
    report.compare_bound("holds", 3.0, "s", 1.0, Bound::Least(3.0));
    assert!(report.ok(), "{}", report.table());
    report.bound("fails", 3.1, "s", Bound::Most(3.0));
    assert!(!report.ok());
    assert!(report.table().contains("FAILED"), "{}", report.table());
}
