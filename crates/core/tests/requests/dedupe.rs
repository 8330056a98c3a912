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
    Bed, answered, brief, failed, from_peer, grant, member, post,
};

fn payment(ticket: u64, token: &str, scope: Option<&str>) -> Arrival {
    Arrival {
        idempotency_key: Some(token.into()),
        scope: scope.map(Into::into),
        fingerprint: Fingerprint(1),
        ..post(ticket)
    }
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let mut bed = Bed::owner();
    let out = bed.arrive(payment(1, "a", None));
    let Effect::Refuse { refusal, .. } = &out[0] else { panic!("{out:?}") };
    assert_eq!(refusal.reason, Reason::ScopeRequired);
    assert_eq!(refusal.scope.as_deref(), Some("7.0"));

    let scope = Some("7.0");
    let out = bed.arrive(payment(2, "a", scope));
    assert_eq!(brief(&out), ["dispatch 2 shard 3"]);
    let out = bed.arrive(from_peer(payment(3, "a", scope)));
    assert_eq!(brief(&out), ["refuse 3 in-progress MayHaveRun"]);
    let out = bed.upstream(2, answered());
    assert!(matches!(out[0], Effect::KeepAnswer { ticket: Ticket(2) }));
    assert!(matches!(&out[1], Effect::Answer { scope: Some(s), .. }
        if s == "7.0"));
    let out = bed.arrive(payment(4, "a", scope));
    assert!(matches!(out[0], Effect::ReplayAnswer { of: Ticket(2), .. }));
    assert!(bed.requests.is_empty());
}

/// What a repeat is told depends on how the first request ended.
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
        let mut bed = Bed::owner();
        bed.arrive(from_peer(payment(1, "a", Some("7.0"))));
        bed.upstream(1, outcome);
        let out = bed.arrive(from_peer(payment(2, "a", Some("7.0"))));
        assert_eq!(brief(&out), [expected]);
    }
}

#[test]
fn cancelled_and_lapsed_work_is_not_run_again() {
    for lapse in [false, true] {
        let mut bed = Bed::owner();
        bed.arrive(payment(1, "a", Some("7.0")));
        if lapse {
            bed.group.grant = Err(Reason::NoOwner);
            bed.tick_at(25);
            bed.group.grant = Ok(grant(3, 60_000));
        } else {
            bed.cancel(1);
        }
        let out = bed.arrive(payment(2, "a", Some("7.0")));
        assert_eq!(brief(&out), ["refuse 2 already-ran MayHaveRun"]);
    }
}

#[test]
fn scopes_and_keys_that_do_not_fit_are_refused() {
    let mut bed = Bed::warm();
    bed.arrive(payment(1, "a", Some("7.0")));
    let other = Fingerprint(2);
    let other = Arrival { fingerprint: other, ..payment(2, "a", Some("7.0")) };
    let table = [
        (other, "refuse 2 bad-request NotRun"),
        (payment(2, "b", Some("8.0")), "refuse 2 scope-unknown MayHaveRun"),
        (payment(2, "b", Some("7.1")), "refuse 2 scope-unknown MayHaveRun"),
        (payment(2, "b", Some("seven")), "refuse 2 bad-request NotRun"),
    ];
    for (arrival, expected) in table {
        assert_eq!(brief(&bed.arrive(arrival)), [expected]);
    }
    let partner = Some("partner".into());
    let out = bed.arrive(Arrival { partner, ..payment(2, "a", Some("7.0")) });
    assert_eq!(brief(&out), ["dispatch 2 shard 3"], "another partner's key");
}

#[test]
fn the_ingress_passes_on_the_owners_scope() {
    let mut bed = Bed::ingress();
    bed.arrive(payment(1, "a", None));
    let mut outcome = failed(Reason::ScopeRequired);
    if let Outcome::Failed(refusal) = &mut outcome {
        refusal.scope = Some("9.4".into());
    }
    let out = bed.peer(1, 0, outcome);
    assert!(matches!(&out[0], Effect::Refuse { refusal, .. }
        if refusal.scope.as_deref() == Some("9.4")));
}

#[test]
fn without_keys_the_scope_selects_the_node() {
    let ask = |scope: &str| Arrival {
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
        let mut bed = Bed::new();
        bed.routes.members = vec![member(1), member(2)];
        let mut out = bed.arrive(ask(scope));
        out.extend(bed.tick_at(500));
        assert_eq!(brief(&out), [expected]);
    }
}

const SMALL: Limits = Limits {
    records: 16,
    generations: 4,
    kept_bytes: 4_096,
    answer_bytes: 1_000,
};

/// Random keys, scopes and outcomes: nothing that may have run under a
/// scope runs again under that scope, whatever is forgotten in between.
#[test]
fn forgotten_records_never_let_a_request_run_twice() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut table = DedupeTable::new(Incarnation(7), SMALL);
    let mut out = Vec::new();
    let mut ran = std::collections::HashSet::new();
    let mut flying = Vec::new();
    for ticket in 0..20_000 {
        let (_, now) = parse_scope(table.scope()).unwrap();
        let back = random.random_range(0..6);
        let scope = format!("7.{}", now.saturating_sub(back));
        let ask = DedupeRequest {
            id: random.random_range(0..40),
            fingerprint: Fingerprint(0),
            ticket: Ticket(ticket),
        };
        if table.begin(ask, Some(&scope), &mut out) == Decision::Run {
            let used = (ask.id, scope);
            assert!(!ran.contains(&used), "{used:?} runs twice");
            flying.push((ask, used));
        }
        if flying.len() < 5 {
            continue;
        }
        let place = random.random_range(0..flying.len());
        let (ask, used) = flying.swap_remove(place);
        let end = match random.random_range(0..3) {
            0 => Completion::NotRun,
            1 => Completion::MayHaveRun,
            _ => Completion::Answered { size: random.random_range(0..2_000) },
        };
        table.complete(ask, end, &mut out);
        if end != Completion::NotRun {
            ran.insert(used);
        }
        assert!(table.len() <= SMALL.records);
    }
    let keeps = out.iter().filter(|e| matches!(e, Effect::KeepAnswer { .. }));
    let drops = out.iter().filter(|e| matches!(e, Effect::DropAnswer { .. }));
    let left = keeps.count() - drops.count();
    assert!(left <= SMALL.kept_bytes / 512, "{left} answers are kept");
}

/// Guards against losing a record that was made anew in a later generation.
#[test]
fn a_key_that_ran_late_is_not_forgotten_early() {
    let mut table = DedupeTable::new(Incarnation(7), SMALL);
    let mut out = Vec::new();
    let ask = |id, ticket| DedupeRequest {
        id,
        fingerprint: Fingerprint(0),
        ticket: Ticket(ticket),
    };
    let mut run = |table: &mut DedupeTable, id, scope: &str| {
        table.begin(ask(id, 1), Some(scope), &mut out)
    };
    assert_eq!(run(&mut table, 100, "7.0"), Decision::Run);
    assert_eq!(run(&mut table, 1, "7.0"), Decision::Run);
    table.complete(ask(100, 1), Completion::NotRun, &mut Vec::new());
    for id in 2..=4 {
        run(&mut table, id, "7.0");
    }
    assert_eq!(run(&mut table, 100, "7.1"), Decision::Run);
    table.complete(ask(100, 1), Completion::MayHaveRun, &mut Vec::new());
    for id in 10..=20 {
        run(&mut table, id, "7.1");
    }
    assert!(matches!(run(&mut table, 5, "7.0"), Decision::Refuse(_)));
    assert!(matches!(run(&mut table, 100, "7.1"), Decision::Refuse(_)));
}

/// Refusals at admission must not push out records of requests that ran.
#[test]
fn requests_that_did_not_run_take_no_room() {
    let mut table = DedupeTable::new(Incarnation(7), SMALL);
    for ticket in 0..1_000 {
        let ticket = Ticket(ticket);
        let ask = DedupeRequest {
            id: ticket.0.into(),
            fingerprint: Fingerprint(0),
            ticket,
        };
        let opened = table.begin(ask, Some("7.0"), &mut Vec::new());
        assert_eq!(opened, Decision::Run);
        table.complete(ask, Completion::NotRun, &mut Vec::new());
    }
    assert_eq!(table.scope(), "7.0");
}
