//! Guards against example documents that the parsers no longer accept.

use std::fs;
use std::path::Path;

use lagoondyke_core::config::Config;
use lagoondyke_core::settings::Settings;

#[test]
fn every_example_is_accepted() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let (mut settings, mut configs) = (Vec::new(), 0);
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let text = fs::read(&path).unwrap();
        if name.starts_with("node-") {
            let parsed = Settings::parse(&text);
            settings.push(parsed.unwrap_or_else(|e| panic!("{name}: {e}")));
            continue;
        }
        Config::parse(&text, None).unwrap_or_else(|e| panic!("{name}: {e}"));
        configs += 1;
    }
    assert_eq!((settings.len(), configs), (4, 2));
    settings.sort_by_key(|s| s.addr);
    settings.dedup_by_key(|s| (s.addr, s.listen, s.upstream.addr));
    assert_eq!(settings.len(), 4, "two examples share an address");
}
