//! Guards against updates that are sent twice, that are reported with a wrong
//! outcome after a lost answer, or that undo the change of another operator.

use crate::support::{FakeNodes, FakeStore, Fault, addr, environment};
use lagoondyke_cli::apply::apply;
use lagoondyke_cli::exit::Exit;
use lagoondyke_cli::group::Reset;
use lagoondyke_cli::{domain, edit};
use lagoondyke_core::config::Config;
use lagoondyke_core::id::{Epoch, NodeAddr};
use lagoondyke_core::record::{Record, Tenure};
use quickcheck::{Arbitrary, Gen};

const NAME: &str = "config/jutland";
const SEED: u64 = 0x5e77_1e00;

/// A document that differs by `share` alone.
fn document(share: u32) -> Vec<u8> {
    format!(
        "{{ // share {share}\n \"operator\": \"jutland\",\n \
         \"domains\": {{ \"aarhus\": {{}}, \"vejle\": {{}} }},\n \
         \"services\": {{ \"katalog\": {{ \"keyed\": true, \
         \"shares\": {{ \"k1\": {share} }} }} }}\n}}\n"
    )
    .into_bytes()
}

fn try_apply(
    store: &FakeStore,
    text: &[u8],
    expect: Option<u64>,
) -> Result<u64, Exit> {
    let nodes = FakeNodes::default();
    let result =
        apply(text, expect, &environment(store, &nodes), &mut Vec::new());
    result.map_err(|e| e.exit)
}

#[test]
fn outcome_of_an_update_under_each_fault() {
    use Fault::{
        AnswerLost, Delayed, Down, LostThenRace, Race, ReadFails, RequestLost,
    };
    let others = |list: &[u32]| list.iter().map(|&n| document(n)).collect();
    // Faults, expected outcome, and the final share and version.
    let cases = [
        (&[][..], Ok(2), 9, 2),
        (&[AnswerLost], Ok(2), 9, 2),
        (&[AnswerLost, ReadFails, ReadFails], Ok(2), 9, 2),
        (&[Delayed(4)], Ok(2), 9, 2),
        (&[RequestLost], Err(Exit::Unknown), 1, 1),
        (&[Down], Err(Exit::Unreachable), 1, 1),
        (&[Race(others(&[5]))], Err(Exit::Conflict), 5, 2),
        (&[Race(others(&[5, 1]))], Err(Exit::Conflict), 1, 3),
        (&[LostThenRace(others(&[5]))], Err(Exit::Unknown), 5, 3),
        (&[LostThenRace(others(&[5, 9]))], Ok(4), 9, 4),
    ];
    for (faults, outcome, share, version) in cases {
        let store = FakeStore::with(NAME, &document(1), faults);
        let got = try_apply(&store, &document(9), None);
        assert_eq!(got, outcome, "{faults:?}");
        let object = store.get(NAME);
        assert_eq!(object.version, version, "{faults:?}");
        assert_eq!(object.value, document(share), "{faults:?}");
        assert_eq!(store.updates.get(), 1, "{faults:?}");
    }
}

#[test]
fn an_update_that_is_refused_after_a_lost_answer_is_a_conflict() {
    // Stands for a request that is delayed until another update has taken the
    // next version, and is then refused.
    let store = FakeStore::with(NAME, &document(1), &[Fault::RequestLost]);
    let nodes = FakeNodes::default();
    let text = document(9);
    let update =
        lagoondyke_cli::apply::Update { name: NAME, expect: 1, value: &text };
    store.write(NAME, &document(5));
    let failure = update.send(&environment(&store, &nodes)).unwrap_err();
    assert_eq!(failure.exit, Exit::Conflict);
    assert!(failure.message.contains("this update was refused"));
}

#[test]
fn expected_versions() {
    let cases = [
        (Some(1), Ok(2), 1),
        (Some(0), Err(Exit::Conflict), 0),
        (Some(2), Err(Exit::Conflict), 0),
        (None, Ok(2), 1),
    ];
    for (expect, outcome, updates) in cases {
        let store = FakeStore::with(NAME, &document(1), &[]);
        assert_eq!(try_apply(&store, &document(9), expect), outcome);
        assert_eq!(store.updates.get(), updates);
    }
    let empty = FakeStore::default();
    assert_eq!(try_apply(&empty, &document(9), Some(0)), Ok(1));
    assert_eq!(try_apply(&empty, &document(9), None), Ok(1));
    assert_eq!(empty.updates.get(), 1, "the same text is no update");
}

#[test]
fn documents_that_cannot_replace_the_current_one_are_not_sent() {
    let store = FakeStore::with(NAME, &document(1), &[]);
    let text = String::from_utf8(document(9)).unwrap();
    let unkeyed = text.replace("\"keyed\": true", "\"keyed\": false");
    let misspelt = text.replace("shares", "sharse");
    for wrong in [&unkeyed, &misspelt, "", "{"] {
        let got = try_apply(&store, wrong.as_bytes(), None);
        assert_eq!(got, Err(Exit::Invalid));
    }
    assert_eq!(store.updates.get(), 0);
    // A current document that is not valid must not block its replacement.
    let store = FakeStore::with(NAME, b"{ not valid", &[]);
    assert_eq!(try_apply(&store, &document(9), None), Ok(2));
}

#[test]
fn a_service_that_ran_before_is_noted() {
    let text = String::from_utf8(document(1)).unwrap();
    let two = text.replace(
        "\"services\": {",
        "\"services\": { \"udlaan\": { \"keyed\": false },",
    );
    for (ran, expected) in [(false, 0), (true, 1)] {
        let store = FakeStore::with(NAME, &document(1), &[]);
        if ran {
            store.write("groups/udlaan/0", b"{}");
        }
        let nodes = FakeNodes::default();
        let mut out = Vec::new();
        let env = environment(&store, &nodes);
        apply(two.as_bytes(), None, &env, &mut out).unwrap();
        let out = String::from_utf8(out).unwrap();
        let notes = out.matches("note: service udlaan ran before").count();
        assert_eq!(notes, expected, "{out}");
    }
}

fn random_fault(g: &mut Gen) -> Fault {
    let others = |g: &mut Gen| -> Vec<Vec<u8>> {
        let count = u8::arbitrary(g) % 3;
        (0..count).map(|_| document(u32::arbitrary(g) % 9 + 1)).collect()
    };
    match u8::arbitrary(g) % 7 {
        0 => Fault::AnswerLost,
        1 => Fault::RequestLost,
        2 => Fault::Delayed(u32::arbitrary(g) % 12),
        3 => Fault::Race(others(g)),
        4 => Fault::LostThenRace(others(g)),
        5 => Fault::Down,
        _ => Fault::ReadFails,
    }
}

#[test]
fn reports_are_true_under_random_faults_and_races() {
    let mut g = Gen::from_size_and_seed(50, SEED);
    let mut outcomes = std::collections::BTreeMap::new();
    for _ in 0..20_000 {
        let count = usize::arbitrary(&mut g) % 5;
        let faults: Vec<Fault> =
            (0..count).map(|_| random_fault(&mut g)).collect();
        let store = FakeStore::with(NAME, &document(100), &faults);
        let text = document(200);
        let got = try_apply(&store, &text, None);
        *outcomes.entry(format!("{got:?}")).or_insert(0) += 1;
        assert!(store.updates.get() <= 1, "{faults:?}: repeated");
        let written = store.written.borrow();
        let object = store.get(NAME);
        match got {
            Ok(version) => {
                assert!(written.contains(&version), "{faults:?}");
                assert_eq!(object.value, text, "{faults:?}");
            }
            Err(Exit::Unknown) => {}
            Err(exit) => {
                let known = [Exit::Conflict, Exit::Unreachable];
                assert!(known.contains(&exit), "{faults:?}: {exit:?}");
                assert!(written.is_empty(), "{faults:?}: written");
            }
        }
    }
    println!("seed {SEED:#x}: outcomes of 20000 runs: {outcomes:?}");
    assert!(outcomes.len() >= 4, "{outcomes:?}");
}

#[test]
fn domain_changes_keep_the_text_and_other_changes() {
    // Two other operators change the document first; their changes must
    // persist.
    let race = |n| Fault::Race(vec![document(n)]);
    let store = FakeStore::with(NAME, &document(1), &[race(5), race(6)]);
    let nodes = FakeNodes::default();
    let env = environment(&store, &nodes);
    let mut out = Vec::new();
    let set = |out_of_service, out: &mut Vec<u8>| {
        domain::set("jutland", "vejle", out_of_service, &env, out)
    };
    assert_eq!(set(true, &mut out), Ok(4));
    let text = String::from_utf8(store.get(NAME).value).unwrap();
    let before = String::from_utf8(document(6)).unwrap();
    let after =
        before.replace("\"vejle\": {}", "\"vejle\": { \"out\": true }");
    assert_eq!(text, after);
    assert_eq!(set(true, &mut out), Ok(4), "no update if it is out already");
    assert_eq!(set(false, &mut out), Ok(5));
    assert_eq!(
        String::from_utf8(store.get(NAME).value).unwrap(),
        after.replace("true }", "false }")
    );
    let failure = domain::set("jutland", "vejla", true, &env, &mut out);
    assert_eq!(
        failure.unwrap_err().message,
        "document has no domain \"vejla\", did you mean \"vejle\"?"
    );
    let last = domain::set("jutland", "aarhus", true, &env, &mut out);
    assert_eq!(last, Ok(6));
    let none = domain::set("jutland", "vejle", true, &env, &mut out);
    assert_eq!(none.unwrap_err().exit, Exit::Invalid, "no domain is left");
}

/// Guards against an edit that damages comments or changes more than the
/// domain.
#[test]
fn edits_keep_comments_of_any_layout() {
    let cases = [
        ("{}", "{ \"out\": true }"),
        ("{ }", "{ \"out\": true }"),
        ("{ /* a } */ }", "{ \"out\": true /* a } */ }"),
        ("{ // note\n }", "{ \"out\": true // note\n }"),
        ("{\"out\":/* no */false}", "{\"out\":/* no */true}"),
    ];
    for (before, after) in cases {
        let text = String::from_utf8(document(1)).unwrap();
        let wrap = |d: &str| {
            text.replace("\"vejle\": {}", &format!("\"vejle\" : {d}"))
        };
        let edited = edit::set_domain(wrap(before).as_bytes(), "vejle", true);
        let edited = edited.unwrap().unwrap();
        assert_eq!(String::from_utf8(edited.clone()).unwrap(), wrap(after));
        assert!(Config::parse(edited, None).unwrap().domains["vejle"].out);
    }
}

/// Guards against a second leader: a reset while a node of the group may still
/// run, or one that replaces a record which changed meanwhile.
#[test]
fn group_reset_demands_that_all_are_lost() {
    let record = Record {
        epoch: Epoch(7),
        leader: NodeAddr(addr(1)),
        standbys: vec![NodeAddr(addr(2)), NodeAddr(addr(3))],
        writer: 5,
        tenure: Tenure::Led,
    };
    let none: &[u16] = &[];
    // Nodes declared lost, nodes that still run, new leader, fault, outcome.
    let cases = [
        (&[1, 2, 3][..], none, 9, None, Ok(())),
        (&[3, 2, 1, 4], none, 9, Some(Fault::AnswerLost), Ok(())),
        (&[1, 2], none, 9, None, Err(Exit::Unsafe)),
        (&[], none, 9, None, Err(Exit::Unsafe)),
        (&[1, 2, 3], none, 3, None, Err(Exit::Unsafe)),
        (&[1, 2, 3], &[3], 9, None, Err(Exit::Unsafe)),
        (
            &[1, 2, 3],
            none,
            9,
            Some(Fault::Race(vec![record.encode()])),
            Err(Exit::Conflict),
        ),
    ];
    for (lost, alive, leader, fault, outcome) in cases {
        let faults: Vec<Fault> = fault.into_iter().collect();
        let name = "groups/katalog/0";
        let store = FakeStore::with(name, &record.encode(), &faults);
        let alive = alive.iter().map(|&p| addr(p)).collect();
        let nodes = FakeNodes { alive, ..FakeNodes::default() };
        let reset = Reset {
            service: "katalog".to_owned(),
            index: 0,
            leader: addr(leader),
            lost: lost.iter().map(|&p| addr(p)).collect(),
        };
        let got = reset.run(77, &environment(&store, &nodes), &mut Vec::new());
        assert_eq!(got.map_err(|e| e.exit), outcome, "{reset:?}");
        let now = Record::decode(&store.get(name).value).unwrap();
        if outcome.is_err() {
            assert_eq!(now, record);
            continue;
        }
        assert_eq!((now.epoch, now.leader.0), (Epoch(8), addr(leader)));
        assert!(now.standbys.is_empty());
        assert_eq!((now.writer, now.tenure), (77, Tenure::Ceded));
        assert_eq!(store.updates.get(), 1);
    }
}
