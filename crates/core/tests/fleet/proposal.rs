//! Changes of a table that one node writes for others, late or twice.

use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
use lagoondyke_core::fleet::table::{Instance, Share, Table};

const TERM: u64 = 20;

fn life(born: u64) -> Instance {
    Instance { id: "i-1".to_owned(), started_ms: born }
}

/// Two nodes with half of the keys each; `a` has claimed its half.
fn table() -> Table {
    let share = |node: &str| Share { node: node.to_owned(), slots: 1 };
    let mut table = Table::proportional(&[share("a"), share("b")]);
    let node = "a".to_owned();
    let life = Some(life(5));
    Proposal { node, term: TERM, instance: life, transfers: Vec::new() }
        .apply(&mut table);
    table
}

fn give(first: u16, last: u16, fence: u64) -> Transfer {
    let to = "b".to_owned();
    Transfer { first, last, fence, to, ..Transfer::default() }
}

fn proposal(term: u64, gives: Vec<Transfer>) -> Proposal {
    Proposal {
        node: "a".to_owned(),
        term,
        instance: Some(life(5)),
        transfers: gives,
    }
}

/// Guards against a change of an earlier process or lease: its node may have
/// granted the keys again since.
#[test]
fn a_change_under_an_earlier_term_is_not_made() {
    let mut table = table();
    let before = table.clone();
    proposal(TERM - 1, vec![give(0, 9, 1)]).apply(&mut table);
    assert_eq!(table, before);
}

/// Guards against a change that is made although its keys are no longer the
/// node's, or were given away and came back.
#[test]
fn a_change_of_keys_that_have_moved_is_not_made() {
    let cases = [
        ("keys of another node", give(40_000, 40_009, 1)),
        ("keys of two nodes", give(32_760, 32_770, 1)),
        ("keys that came back with another token", give(0, 9, 2)),
        ("no keys", give(9, 0, 1)),
    ];
    for (what, give) in cases {
        let mut table = table();
        let before = table.clone();
        proposal(TERM, vec![give]).apply(&mut table);
        assert_eq!(table, before, "{what}");
    }
}

/// Guards against a change that is made twice: the keys may have been given
/// on in between.
#[test]
fn a_change_is_made_once() {
    let mut table = table();
    let change = proposal(TERM, vec![give(0, 9, 1), give(100, 200, 1)]);
    change.apply(&mut table);
    assert_eq!(table.range_at(9).node, "b");
    assert_eq!(table.range_at(150).node, "b");
    assert_eq!(table.range_at(9).fence, 2);
    table.check().expect("a whole table");
    let before = table.clone();
    change.apply(&mut table);
    assert_eq!(table, before);
}

/// Guards against a late claim that takes the ranges from the upstream's
/// present life, and against a present one that is held up by a clock that
/// was set back.
#[test]
fn a_late_claim_keeps_the_present_life() {
    let mut table = table();
    let late = |term| Proposal {
        instance: Some(life(4)),
        ..proposal(term, Vec::new())
    };
    late(TERM).apply(&mut table);
    assert_eq!(table.range_at(0).instance, Some(life(5)));
    assert_eq!(table.range_at(0).fence, 1);
    late(TERM + 1).apply(&mut table);
    assert_eq!(table.range_at(0).instance, Some(life(4)));
    assert_eq!(table.range_at(0).fence, 2);
}
