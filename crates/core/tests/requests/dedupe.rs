//! Requests with idempotency keys.

use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::{Arrival, Outcome};
use lagoondyke_core::id::{Fingerprint, Incarnation, Ticket};
use lagoondyke_core::request::dedupe::{
    Completion, Decision, DedupeRequest, DedupeTable, Limits, parse_scope,
};
use lagoondyke_core::verdict::Reason;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{
    Harness, answered, brief, failed, from_peer, grant, member, post,
};

/// A POST with an idempotency key.
fn payment(
    ticket: u64,
    idempotency_key: &str,
    scope: Option<&str>,
) -> Arrival {
    Arrival {
        idempotency_key: Some(idempotency_key.into()),
        scope: scope.map(Into::into),
        fingerprint: Fingerprint(1),
        ..post(ticket)
    }
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let mut harness = Harness::owner();
    let out = harness.arrive(payment(1, "a", None));
    let Effect::Refuse { refusal, .. } = &out[0] else { panic!("{out:?}") };
    assert_eq!(refusal.reason, Reason::ScopeRequired);
    assert_eq!(refusal.scope.as_deref(), Some("7.0"));

    let scope = Some("7.0");
    let out = harness.arrive(payment(2, "a", scope));
    assert_eq!(brief(&out), ["dispatch 2 shard 3"]);
    let out = harness.arrive(from_peer(payment(3, "a", scope)));
    assert_eq!(brief(&out), ["refuse 3 in-progress MayHaveRun"]);
    let out = harness.upstream_done(2, answered());
    assert!(matches!(out[0], Effect::KeepAnswer { ticket: Ticket(2) }));
    assert!(matches!(&out[1], Effect::Answer { scope: Some(s), .. }
        if s == "7.0"));
    let out = harness.arrive(payment(4, "a", scope));
    assert!(matches!(out[0], Effect::ReplayAnswer { of: Ticket(2), .. }));
    assert!(harness.requests.is_empty());
}

/// Guards against a second run of a request that may have run, and against
/// refusals of a repeat although the first request did not run.
#[test]
fn a_repeat_runs_only_if_the_first_did_not() {
    let run = "dispatch 2 shard 3";
    let ran = "refuse 2 already-ran MayHaveRun";
    let large = Outcome::Answered { status: 200, body_bytes: 1_000_000 };
    let table = [
        (large, ran),
        (failed(Reason::ConnectionLost), ran),
        (failed(Reason::AnswerCut), ran),
        (failed(Reason::ConnectFailed), run),
        (failed(Reason::Fenced), run),
    ];
    for (outcome, expected) in table {
        let mut harness = Harness::owner();
        harness.arrive(from_peer(payment(1, "a", Some("7.0"))));
        harness.upstream_done(1, outcome);
        let out = harness.arrive(from_peer(payment(2, "a", Some("7.0"))));
        assert_eq!(brief(&out), [expected]);
    }
}

#[test]
fn cancelled_and_lapsed_work_is_not_run_again() {
    for lease_ends in [false, true] {
        let mut harness = Harness::owner();
        harness.arrive(payment(1, "a", Some("7.0")));
        if lease_ends {
            harness.group.grant = Err(Reason::NoOwner);
            harness.tick_at(25);
            harness.group.grant = Ok(grant(3, 60_000));
        } else {
            harness.cancel(1);
        }
        let out = harness.arrive(payment(2, "a", Some("7.0")));
        assert_eq!(brief(&out), ["refuse 2 already-ran MayHaveRun"]);
    }
}

#[test]
fn scopes_and_keys_that_do_not_fit_are_refused() {
    let mut harness = Harness::warm();
    harness.arrive(payment(1, "a", Some("7.0")));
    let other = Fingerprint(2);
    let other = Arrival { fingerprint: other, ..payment(2, "a", Some("7.0")) };
    let table = [
        (other, "refuse 2 bad-request NotRun"),
        (payment(2, "b", Some("8.0")), "refuse 2 scope-unknown MayHaveRun"),
        (payment(2, "b", Some("7.1")), "refuse 2 scope-unknown MayHaveRun"),
        (payment(2, "b", Some("seven")), "refuse 2 bad-request NotRun"),
    ];
    for (arrival, expected) in table {
        assert_eq!(brief(&harness.arrive(arrival)), [expected]);
    }
    let partner = Some("partner".into());
    let out =
        harness.arrive(Arrival { partner, ..payment(2, "a", Some("7.0")) });
    assert_eq!(brief(&out), ["dispatch 2 shard 3"], "another partner's key");
}

#[test]
fn the_ingress_passes_on_the_owners_scope() {
    let mut harness = Harness::ingress();
    harness.arrive(payment(1, "a", None));
    let mut outcome = failed(Reason::ScopeRequired);
    if let Outcome::Failed(refusal) = &mut outcome {
        refusal.scope = Some("9.4".into());
    }
    let out = harness.peer_done(1, 0, outcome);
    assert!(matches!(&out[0], Effect::Refuse { refusal, .. }
        if refusal.scope.as_deref() == Some("9.4")));
}

#[test]
fn without_keys_the_scope_selects_the_node() {
    let request = |scope: &str| Arrival {
        key: None,
        service: "udlaan".into(),
        ..payment(1, "a", Some(scope))
    };
    for (scope, expected) in [
        ("11.0", "forward 1/0 1"),
        ("12.5", "forward 1/0 2"),
        ("13.0", "refuse 1 scope-unknown MayHaveRun"),
        ("x", "refuse 1 bad-request NotRun"),
    ] {
        let mut harness = Harness::new();
        harness.routes.members = vec![member(1), member(2)];
        let mut out = harness.arrive(request(scope));
        out.extend(harness.tick_at(500));
        assert_eq!(brief(&out), [expected]);
    }
}

/// Limits that a test exceeds with few requests.
const SMALL_LIMITS: Limits = Limits {
    records: 16,
    generations: 4,
    kept_bytes: 4_096,
    answer_bytes: 1_000,
};

/// Guards against a request that runs again under a scope under which it may
/// have run, because its record was evicted in between. Keys, scopes and
/// outcomes are random.
#[test]
fn evicted_records_never_let_a_request_run_twice() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut table = DedupeTable::new(Incarnation(7), SMALL_LIMITS);
    let mut out = Vec::new();
    let mut ran = std::collections::HashSet::new();
    let mut in_flight = Vec::new();
    for ticket in 0..20_000 {
        let (_, generation) = parse_scope(table.scope()).unwrap();
        let age = random.random_range(0..6);
        let scope = format!("7.{}", generation.saturating_sub(age));
        let request = DedupeRequest {
            id: random.random_range(0..40),
            fingerprint: Fingerprint(0),
            ticket: Ticket(ticket),
        };
        if table.begin(request, Some(&scope), &mut out) == Decision::Run {
            let run = (request.id, scope);
            assert!(!ran.contains(&run), "{run:?} runs twice");
            in_flight.push((request, run));
        }
        if in_flight.len() < 5 {
            continue;
        }
        let index = random.random_range(0..in_flight.len());
        let (request, run) = in_flight.swap_remove(index);
        let completion = match random.random_range(0..3) {
            0 => Completion::NotRun,
            1 => Completion::MayHaveRun,
            _ => Completion::Answered {
                body_bytes: random.random_range(0..2_000),
            },
        };
        table.complete(request, completion, &mut out);
        if completion != Completion::NotRun {
            ran.insert(run);
        }
        assert!(table.len() <= SMALL_LIMITS.records);
    }
    let keeps = out.iter().filter(|e| matches!(e, Effect::KeepAnswer { .. }));
    let drops = out.iter().filter(|e| matches!(e, Effect::DropAnswer { .. }));
    let left = keeps.count() - drops.count();
    assert!(left <= SMALL_LIMITS.kept_bytes / 512, "{left} answers are kept");
}

/// Guards against the loss of a record that was created again in a later
/// generation when its first generation is evicted.
#[test]
fn a_key_that_ran_late_is_not_evicted_early() {
    let mut table = DedupeTable::new(Incarnation(7), SMALL_LIMITS);
    let mut out = Vec::new();
    let request = |id, ticket| DedupeRequest {
        id,
        fingerprint: Fingerprint(0),
        ticket: Ticket(ticket),
    };
    let mut run = |table: &mut DedupeTable, id, scope: &str| {
        table.begin(request(id, 1), Some(scope), &mut out)
    };
    assert_eq!(run(&mut table, 100, "7.0"), Decision::Run);
    assert_eq!(run(&mut table, 1, "7.0"), Decision::Run);
    table.complete(request(100, 1), Completion::NotRun, &mut Vec::new());
    for id in 2..=4 {
        run(&mut table, id, "7.0");
    }
    assert_eq!(run(&mut table, 100, "7.1"), Decision::Run);
    table.complete(request(100, 1), Completion::MayHaveRun, &mut Vec::new());
    for id in 10..=20 {
        run(&mut table, id, "7.1");
    }
    assert!(matches!(run(&mut table, 5, "7.0"), Decision::Refuse(_)));
    assert!(matches!(run(&mut table, 100, "7.1"), Decision::Refuse(_)));
}

/// Guards against refusals at admission that evict the records of requests
/// that ran.
#[test]
fn requests_that_did_not_run_take_no_room() {
    let mut table = DedupeTable::new(Incarnation(7), SMALL_LIMITS);
    for ticket in 0..1_000 {
        let ticket = Ticket(ticket);
        let request = DedupeRequest {
            id: ticket.0.into(),
            fingerprint: Fingerprint(0),
            ticket,
        };
        let decision = table.begin(request, Some("7.0"), &mut Vec::new());
        assert_eq!(decision, Decision::Run);
        table.complete(request, Completion::NotRun, &mut Vec::new());
    }
    assert_eq!(table.scope(), "7.0");
}
