//! Tables of key ranges as they are stored.

use lagoondyke_core::fleet::table::{Instance, KEY_MAX, Share, Table};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

/// Moves of a service with 65 upstreams; each leaves two ranges.
const MOVES: u16 = 500;

/// Room for a table, in bytes. All nodes receive each change of it, and five
/// changes a second may take a tenth of a link of 10 Mbit/s.
const ROOM: usize = 25_000;

/// A range that changes hands.
#[derive(Clone, Debug)]
struct Given {
    first: u16,
    last: u16,
    node: u8,
    life: Option<u64>,
    handover: Option<u32>,
}

impl Arbitrary for Given {
    fn arbitrary(g: &mut Gen) -> Self {
        let (one, two) = (u16::arbitrary(g), u16::arbitrary(g));
        Self {
            first: one.min(two),
            last: one.max(two),
            node: u8::arbitrary(g) % 5,
            life: Option::arbitrary(g),
            handover: Option::arbitrary(g),
        }
    }
}

fn share(node: impl Into<String>) -> Share {
    Share { node: node.into(), slots: 12 }
}

fn life(born: u64) -> Instance {
    Instance { id: format!("i-{born}"), started_ms: born }
}

quickcheck! {
    /// Guards against a table that reads otherwise than it was written.
    fn a_stored_table_reads_as_it_was(given: Vec<Given>) -> TestResult {
        let mut table = Table::proportional(&[share("n0"), share("n1")]);
        for Given { first, last, node, life: born, handover } in given {
            let node = format!("n{node}");
            let born = born.map(life);
            let token = handover.map(|token| token.to_string());
            let fence = table.fence + 1;
            let (life, token) = (born.as_ref(), token.as_deref());
            table.assign((first, last), fence, &node, life, token);
        }
        let text = serde_json::to_string(&table).expect("json");
        let read: Table = serde_json::from_str(&text).expect("a table");
        TestResult::from_bool(read == table && read.check().is_ok())
    }
}

/// Guards against a table so large that its changes fill the links.
#[test]
fn a_table_of_many_ranges_is_small() {
    let shares: Vec<Share> =
        (0..65).map(|n| share(format!("sidecar-thessaloniki-{n}"))).collect();
    let mut table = Table::proportional(&shares);
    let step = KEY_MAX / MOVES;
    for n in 0..MOVES {
        let node = &shares[usize::from(n % 65)].node;
        let keys = (n * step, n * step + step / 2);
        let token = (n % 10 == 0).then_some("5c0e7a21d94b36f8");
        let born = 1_790_000_000_000 + u64::from(n % 65);
        let fence = table.fence + 1;
        table.assign(keys, fence, node, Some(&life(born)), token);
    }
    assert!(table.ranges.len() > 2 * usize::from(MOVES));
    let text = serde_json::to_string(&table).expect("json");
    assert!(text.len() < ROOM, "{} bytes", text.len());
}

/// Guards against a cut or wrong table that is taken for a whole one.
#[test]
fn spoilt_tables_do_not_pass_the_check() {
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
