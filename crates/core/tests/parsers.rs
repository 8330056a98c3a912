//! Guards against input that makes a parser panic, accept a value that changes
//! when it is written and read again, or report a position outside the text.

use std::cell::Cell;

use lagoondyke_core::config::Config;
use lagoondyke_core::jsonc::{self, JsoncError};
use lagoondyke_core::record::Record;
use lagoondyke_core::settings::Settings;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASE_COUNT: u64 = 100_000;
const SEED: u64 = 0x1a60_0d4e;

/// Valid inputs, of which mutations are parsed.
const SAMPLES: [&[u8]; 4] = [
    include_bytes!("../../../examples/thessaloniki.jsonc"),
    include_bytes!("../../../examples/jutland.jsonc"),
    include_bytes!("../../../examples/node-ladadika-2.jsonc"),
    br#"{"epoch":3,"leader":"10.0.0.1:7","standbys":["[::1]:8"],"writer":9}"#,
];

/// Fragments that lead to many branches of a parser.
const FRAGMENTS: [&str; 20] = [
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    "\\u",
    "\\ud800",
    "//",
    "/*",
    "*/",
    "\n",
    "1e999",
    "-0",
    "null",
    "\"format\"",
    "\"domains\"",
    "\u{e5}",
];

/// Random bytes, random fragments, or a sample with a few mutations.
#[derive(Clone, Debug)]
struct Input(Vec<u8>);

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self(Vec::arbitrary(g)),
            1 => {
                let count = usize::arbitrary(g) % 40;
                let fragments =
                    (0..count).map(|_| *g.choose(&FRAGMENTS).unwrap());
                Self(fragments.collect::<String>().into_bytes())
            }
            _ => {
                let mut text = g.choose(&SAMPLES).unwrap().to_vec();
                for _ in 0..u8::arbitrary(g) % 4 {
                    mutate(&mut text, g);
                }
                Self(text)
            }
        }
    }
}

/// Truncates, cuts, duplicates, replaces or flips a bit of `text` at random.
fn mutate(text: &mut Vec<u8>, g: &mut Gen) {
    let at = usize::arbitrary(g) % (text.len() + 1);
    let end = (at + usize::arbitrary(g) % 30).min(text.len());
    match u8::arbitrary(g) % 5 {
        0 => text.truncate(at),
        1 => drop(text.drain(at..end)),
        2 => {
            let copy = text[at..end].to_vec();
            text.splice(at..at, copy);
        }
        3 => {
            let fragment = g.choose(&FRAGMENTS).unwrap().bytes();
            text.splice(at..end, fragment);
        }
        _ => {
            if let Some(byte) = text.get_mut(at) {
                *byte ^= 1 << (u8::arbitrary(g) % 8);
            }
        }
    }
}

/// Whether the position that an error reports is within the text.
fn is_position_inside(text: &[u8], error: &JsoncError) -> bool {
    let (JsoncError::Syntax { line, column, .. }
    | JsoncError::Value { line, column, .. }) = *error
    else {
        return false;
    };
    let lines: Vec<_> = text.split(|&b| b == b'\n').collect();
    let named = line.checked_sub(1).and_then(|i| lines.get(i));
    column >= 1 && named.is_some_and(|l| column <= l.len() + 1)
}

#[test]
fn no_input_panics_and_each_error_names_a_place() {
    let counts = [const { Cell::new(0_u64) }; 4];
    let [accepted, spans, records, rejected] = &counts;
    let add = |count: &Cell<u64>| count.set(count.get() + 1);
    let mut g = Gen::from_size_and_seed(200, SEED);
    for _ in 0..CASE_COUNT {
        let Input(text) = Input::arbitrary(&mut g);
        match Config::parse(&text, None) {
            Ok(config) => {
                add(accepted);
                let again = serde_json::to_vec(&config).unwrap();
                assert_eq!(Config::parse(again, Some(&config)), Ok(config));
            }
            Err(e) => {
                add(rejected);
                assert!(is_position_inside(&text, &e), "{e}: {text:?}");
            }
        }
        match Settings::parse(&text) {
            Ok(settings) => {
                add(accepted);
                let again = serde_json::to_vec(&settings).unwrap();
                assert_eq!(Settings::parse(again), Ok(settings));
            }
            Err(e) => {
                add(rejected);
                assert!(is_position_inside(&text, &e), "{e}: {text:?}");
            }
        }
        if let Ok(record) = Record::decode(&text) {
            add(records);
            assert_eq!(Record::decode(&record.encode()), Ok(record));
        }
        if let Ok(Some(span)) =
            jsonc::value_span(&text, text.len(), &["domains"])
        {
            add(spans);
            assert!(span.start < span.end && span.end <= text.len());
        }
    }
    println!(
        "seed {SEED:#x}: {CASE_COUNT} inputs, {} documents accepted, \
         {} rejected, {} records accepted, {} spans found",
        accepted.get(),
        rejected.get(),
        records.get(),
        spans.get()
    );
    // If nearly all inputs are rejected as malformed, the test checks little.
    for count in counts {
        assert!(count.get() > CASE_COUNT / 100, "too few cases of one kind");
    }
}

#[test]
fn blanking_comments_changes_no_value() {
    fn property(mut text: String, value: u64) -> bool {
        text = text.replace("*/", "* /");
        text.insert_str(0, "/*");
        text.push_str("*/ { \"a\" /**/ : ");
        text.push_str(&value.to_string());
        text.push_str(" // end\n}");
        let parsed = jsonc::parse::<std::collections::BTreeMap<String, u64>>(
            text.as_bytes(),
            text.len(),
        );
        parsed.is_ok_and(|map| map["a"] == value && map.len() == 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(2_000)
        .quickcheck(property as fn(String, u64) -> bool);
}
