//! Stand-ins and cases of the third review. Usage: review-standin-3 CASE FOLDER
//!
//! Writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` in the environment leaves
//! out the disruption.

mod deployment;
mod fleet;
mod foreign_beat;
mod forgotten_exit;
mod harmless;
mod http;
mod json;
mod lost_exit;
mod own_paths;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::exit;

use record::Record;

/// How a case ended: what was seen.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// A running case.
pub struct Case {
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// Temporary folder for settings and logs.
    pub folder: std::path::PathBuf,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else { exit(2) };
    let record = Path::new(folder).join("record.txt");
    let Ok(record) = Record::create(&record) else { exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder =
        std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let case = Case { record: record.clone(), trouble, folder };
    let verdict = match name.as_str() {
        "foreign-beat" => foreign_beat::run(&case),
        "forgotten-exit" => forgotten_exit::run(&case),
        "harmless" => harmless::run(&case),
        "lost-exit" => lost_exit::run(&case),
        "own-paths" => own_paths::run(&case),
        _ => Verdict::NotRun(format!("there is no case {name}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&case.folder);
    }
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
