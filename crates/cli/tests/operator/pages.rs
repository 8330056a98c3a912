//! Guards against documentation that names tests which do not exist.

use std::fs;
use std::path::Path;

/// Appends the text of all Rust files below `dir`.
fn append_sources(dir: &Path, text: &mut String) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            *text += &fs::read_to_string(path).unwrap();
        }
    }
}

#[test]
fn tests_named_on_the_page_of_guarantees_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/guarantees.md")).unwrap();
    let mut tests = String::new();
    for entry in fs::read_dir(root.join("crates")).unwrap() {
        let dir = entry.unwrap().path().join("tests");
        if dir.exists() {
            append_sources(&dir, &mut tests);
        }
    }
    for dir in ["platform/tests", "platform/standin/tests"] {
        let dir = root.join(dir);
        if dir.exists() {
            append_sources(&dir, &mut tests);
        }
    }
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let last = rows.filter_map(|line| line.rsplit('|').nth(1));
    let mut count = 0;
    for name in last.flat_map(|cell| cell.split('`').skip(1).step_by(2)) {
        let test = format!("#[test]\nfn {name}()");
        assert!(tests.contains(&test), "there is no test {name}");
        count += 1;
    }
    assert!(count > 30, "the page names only {count} tests");
}
