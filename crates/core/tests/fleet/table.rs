//! Tables of key ranges as they are stored.

use lagoondyke_core::fleet::revision::qualify;
use lagoondyke_core::fleet::table::{
    Instance, MAX_FENCE, MAX_KEY, Share, Table, TableError,
};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

/// Moves of ranges in a service with 65 upstreams; each adds two ranges to the
/// table.
const MOVE_COUNT: u16 = 500;

/// Largest size of a table: all nodes receive the table after each change, and
/// five changes per second may use a tenth of a link of 10 Mbit/s.
const MAX_TABLE_BYTES: usize = 25_000;

/// An assignment of keys to another owner.
#[derive(Clone, Debug)]
struct Assignment {
    first: u16,
    last: u16,
    node: u8,
    /// Start time of the receiving instance.
    started: Option<u64>,
    handover: Option<u32>,
}

impl Arbitrary for Assignment {
    fn arbitrary(g: &mut Gen) -> Self {
        let (one, two) = (u16::arbitrary(g), u16::arbitrary(g));
        Self {
            first: one.min(two),
            last: one.max(two),
            node: u8::arbitrary(g) % 5,
            started: Option::arbitrary(g),
            handover: Option::arbitrary(g),
        }
    }
}

fn share(node: impl Into<String>) -> Share {
    Share { node: node.into(), slots: 12 }
}

fn instance(started: u64) -> Instance {
    Instance { id: format!("i-{started}"), started_ms: started }
}

quickcheck! {
    /// Guards against a table that differs after it was written and read.
    fn a_stored_table_reads_as_it_was(changes: Vec<Assignment>) -> TestResult {
        let mut table = Table::proportional(&[share("n0"), share("n1")]);
        for Assignment { first, last, node, started, handover } in changes {
            let node = format!("n{node}");
            let instance = started.map(instance);
            let token = handover.map(|token| token.to_string());
            let fence = table.fence + 1;
            let (instance, token) = (instance.as_ref(), token.as_deref());
            table.assign((first, last), fence, &node, instance, token);
        }
        let text = serde_json::to_string(&table).expect("json");
        let read: Table = serde_json::from_str(&text).expect("a table");
        TestResult::from_bool(read == table && read.check().is_ok())
    }
}

/// Guards against a table so large that sending its changes saturates the
/// links.
#[test]
fn a_table_of_many_ranges_is_small() {
    let shares: Vec<Share> =
        (0..65).map(|n| share(format!("sidecar-thessaloniki-{n}"))).collect();
    let mut table = Table::proportional(&shares);
    let step = MAX_KEY / MOVE_COUNT;
    for n in 0..MOVE_COUNT {
        let node = &shares[usize::from(n % 65)].node;
        let keys = (n * step, n * step + step / 2);
        let token = (n % 10 == 0).then_some("5c0e7a21d94b36f8");
        let started = 1_790_000_000_000 + u64::from(n % 65);
        let fence = table.fence + 1;
        table.assign(keys, fence, node, Some(&instance(started)), token);
    }
    assert!(table.ranges.len() > 2 * usize::from(MOVE_COUNT));
    let text = serde_json::to_string(&table).expect("json");
    assert!(text.len() < MAX_TABLE_BYTES, "{} bytes", text.len());
}

/// Guards against a truncated or inconsistent table that is accepted.
#[test]
fn invalid_tables_do_not_pass_the_check() {
    let cases = [
        ("no ranges", "[]", "[[\"a\",null]]"),
        ("keys before the first range", "[[7,1,0]]", "[[\"a\",null]]"),
        ("ranges out of order", "[[0,1,0],[9,1,0],[5,1,0]]", "[[\"a\",null]]"),
        (
            "two ranges at one key",
            "[[0,1,0],[9,1,0],[9,1,0]]",
            "[[\"a\",null]]",
        ),
        ("a range without an owner", "[[0,1,0],[9,1,1]]", "[[\"a\",null]]"),
        ("a token above the last", "[[0,2,0]]", "[[\"a\",null]]"),
    ];
    for (what, ranges, owners) in cases {
        let text = format!(
            "{{\"fence\":1,\"claims\":{{}},\"owners\":{owners},\
             \"ranges\":{ranges},\"handovers\":[]}}"
        );
        let table: Table = serde_json::from_str(&text).expect("a table");
        assert!(table.check().is_err(), "{what}: {table:?}");
    }
}

/// Guards against a table that cannot be changed: its highest fencing token
/// has no next one.
#[test]
fn a_table_without_a_next_token_does_not_pass_the_check() {
    let mut table = Table::proportional(&[share("a")]);
    for (fence, is_valid) in [(MAX_FENCE, true), (u64::MAX, false)] {
        table.fence = fence;
        assert_eq!(table.check().is_ok(), is_valid, "{fence}");
    }
    table.fence = MAX_FENCE + 1;
    assert!(table.check().is_err());
}

/// Guards against a table of another writer that names an era which the store
/// has not reached: no claim would ever be valid in it.
#[test]
fn a_table_of_a_later_era_is_invalid() {
    let share = Share { node: "a".to_owned(), slots: 1 };
    let mut table = Table::proportional(&[share]);
    table.begin_era(3);
    assert_eq!(table.check_at(3), Ok(()));
    assert_eq!(table.check_at(2), Err(TableError::Era { era: 3 }));
}

/// Guards against terms that are stored as numbers which other programs round,
/// and against ones that are of another era after they were read.
#[test]
fn terms_are_stored_within_their_era() {
    let share = Share { node: "a".to_owned(), slots: 1 };
    let mut table = Table::proportional(&[share]);
    table.begin_era(600);
    table.claims.insert("a".to_owned(), qualify(600, 7));
    let text = serde_json::to_string(&table).expect("JSON");
    assert!(text.contains(r#""claims":{"a":7}"#), "{text}");
    let read: Table = serde_json::from_str(&text).expect("a table");
    assert_eq!(read, table);
}
