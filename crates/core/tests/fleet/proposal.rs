//! Proposed changes of a table that are applied late or twice.

use lagoondyke_core::fleet::proposal::{Proposal, Transfer};
use lagoondyke_core::fleet::revision::{fence_floor, qualify};
use lagoondyke_core::fleet::table::{Instance, Share, Table};

/// Lease term under which `a` owns its half of the keys.
const TERM: u64 = 20;

fn instance(started: u64) -> Instance {
    Instance { id: "i-1".to_owned(), started_ms: started }
}

/// A table of two nodes with half of the keys each; `a` has claimed its half.
fn table() -> Table {
    let share = |node: &str| Share { node: node.to_owned(), slots: 1 };
    let mut table = Table::proportional(&[share("a"), share("b")]);
    let node = "a".to_owned();
    let claimant = Some(instance(5));
    Proposal { node, term: TERM, instance: claimant, ..Proposal::default() }
        .apply(&mut table);
    table
}

fn transfer(first: u16, last: u16, fence: u64) -> Transfer {
    let to = "b".to_owned();
    Transfer { first, last, fence, to, ..Transfer::default() }
}

fn proposal(term: u64, transfers: Vec<Transfer>) -> Proposal {
    Proposal {
        node: "a".to_owned(),
        term,
        instance: Some(instance(5)),
        transfers,
        ..Proposal::default()
    }
}

/// Guards against a transfer that was proposed by an earlier process or under
/// an earlier lease: the node may have granted the keys again since.
#[test]
fn a_change_under_an_earlier_term_is_not_made() {
    let mut table = table();
    let before = table.clone();
    proposal(TERM - 1, vec![transfer(0, 9, 1)]).apply(&mut table);
    assert_eq!(table, before);
}

/// Guards against a transfer that is applied although the node no longer owns
/// the keys, or has transferred them and got them back.
#[test]
fn a_change_of_keys_that_have_moved_is_not_made() {
    let cases = [
        ("keys of another node", transfer(40_000, 40_009, 1)),
        ("keys of two nodes", transfer(32_760, 32_770, 1)),
        ("keys that are back with another fencing token", transfer(0, 9, 2)),
        ("no keys", transfer(9, 0, 1)),
    ];
    for (what, transfer) in cases {
        let mut table = table();
        let before = table.clone();
        proposal(TERM, vec![transfer]).apply(&mut table);
        assert_eq!(table, before, "{what}");
    }
}

/// Guards against a transfer that is applied twice: the receiver may have
/// transferred the keys to a third node in between.
#[test]
fn a_change_is_made_once() {
    let mut table = table();
    let change =
        proposal(TERM, vec![transfer(0, 9, 1), transfer(100, 200, 1)]);
    change.apply(&mut table);
    assert_eq!(table.range_at(9).node, "b");
    assert_eq!(table.range_at(150).node, "b");
    assert_eq!(table.range_at(9).fence, 2);
    table.check().expect("a valid table");
    let before = table.clone();
    change.apply(&mut table);
    assert_eq!(table, before);
}

/// Guards against a late claim that takes the ranges from the current instance
/// of the upstream, and against a current claim that is ignored because the
/// upstream's clock was set back.
#[test]
fn a_late_claim_keeps_the_current_instance() {
    let mut table = table();
    let claim = |term| Proposal {
        instance: Some(instance(4)),
        ..proposal(term, Vec::new())
    };
    claim(TERM).apply(&mut table);
    assert_eq!(table.range_at(0).instance, Some(instance(5)));
    assert_eq!(table.range_at(0).fence, 1);
    claim(TERM + 1).apply(&mut table);
    assert_eq!(table.range_at(0).instance, Some(instance(4)));
    assert_eq!(table.range_at(0).fence, 2);
}

/// Guards against a proposal from before a restore of the store, whose term
/// says nothing of the present leases.
#[test]
fn a_proposal_of_another_era_changes_nothing() {
    let mut table = table();
    table.rebuild(2);
    let before = table.clone();
    for term in [TERM, qualify(1, TERM), qualify(3, TERM)] {
        proposal(term, vec![transfer(0, 9, 1)]).apply(&mut table);
        assert_eq!(table, before, "{term}");
    }
    proposal(qualify(2, TERM), Vec::new()).apply(&mut table);
    assert_eq!(table.claims["a"], qualify(2, TERM));
}

/// Guards against a token that was given out before a restore and is given out
/// again: only keys that were held without a break keep theirs.
#[test]
fn the_first_claim_after_a_restore_renews_tokens() {
    let mut table = table();
    let old = table.range_at(0).fence;
    table.rebuild(2);
    let keeps = vec![(0, 9)];
    let term = qualify(2, TERM);
    let claim = Proposal { keeps, ..proposal(term, Vec::new()) };
    claim.apply(&mut table);
    assert_eq!(table.range_at(9).fence, old);
    let renewed = table.range_at(10).fence;
    assert!(renewed > fence_floor(2), "{renewed}");
    // A later process of the node has them under the same tokens.
    let later = Proposal { term: term + 1, keeps: Vec::new(), ..claim };
    later.apply(&mut table);
    assert_eq!(table.range_at(9).fence, old);
    assert_eq!(table.range_at(10).fence, renewed);
    table.check().expect("a valid table");
}

/// Guards against tokens that a table had issued before it was lost in the same
/// era, and that are issued again.
#[test]
fn tokens_rise_if_a_table_is_rebuilt_twice_in_an_era() {
    let mut table = table();
    table.rebuild(2);
    let issued = table.fence + 1_000;
    table.rebuild(2);
    assert!(table.fence > issued);
}
