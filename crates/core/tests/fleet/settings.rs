//! Parsing of a node's settings in fleet mode.

use lagoondyke_core::fleet::settings::{GrantMode, Settings};

const SETTINGS: &str = r#"{
    // Comments are allowed.
    "node": "n1",
    "ip": "10.0.0.1",
    "domain": "d",
    "service": "s",
    "upstream": "10.0.0.1:1",
    "callers": "10.0.0.1:2",
    "peers": "10.0.0.1:3",
    "health": "10.0.0.1:4",
    "announcements": "10.0.0.1:5",
    "gossip": 6,
    "metrics": 7,
    "store": "10.0.0.9:8",
    "bounds": {
        "stop_s": 6,
        "hold_ms": 10000,
        "retry_slack": 56,
        "retry_share": 0.2
    }
}"#;

/// Guards against a node that does not start because a bound is a fraction or
/// is not set.
#[test]
fn bounds_may_be_fractions_or_missing() {
    for (from, to) in [
        ("\"retry_slack\": 56", "\"retry_slack\": 35.27272727272727"),
        ("\"stop_s\": 6", "\"stop_s\": 6.5"),
        ("\"hold_ms\": 10000", "\"hold_ms\": null"),
        ("\"retry_share\": 0.2", "\"retry_share\": 0"),
    ] {
        let text = SETTINGS.replace(from, to);
        assert!(Settings::parse(text).is_ok(), "{to}");
    }
    let bounds = Settings::parse(SETTINGS).unwrap().bounds;
    assert_eq!(bounds.stop_ms(), 6_000);
    assert_eq!(bounds.hold_ms(), 10_000);
}

/// Guards against a node that grants keys in another way than its upstream
/// expects, and against old settings that are no longer accepted.
#[test]
fn keys_are_granted_as_the_settings_say() {
    let mode = |text: &str| Settings::parse(text).unwrap().grants;
    assert_eq!(mode(SETTINGS), GrantMode::Heartbeat);
    for (word, expected) in
        [("heartbeat", GrantMode::Heartbeat), ("direct", GrantMode::Direct)]
    {
        let field = format!("\"grants\": \"{word}\", \"gossip\"");
        assert_eq!(mode(&SETTINGS.replace("\"gossip\"", &field)), expected);
    }
}

/// Guards against settings that are accepted although a node cannot run with
/// them.
#[test]
fn settings_that_cannot_work_are_refused() {
    for (from, to, expected) in [
        ("10.0.0.1:3", "10.0.0.1:2", "must differ"),
        ("10.0.0.1:1", "10.0.0.1:2", "must differ"),
        ("10.0.0.1:4", "10.0.0.1:0", "port must not be 0"),
        ("\"gossip\": 6", "\"gossip\": 0", "1 to 65535"),
        ("\"stop_s\": 6", "\"stop_s\": -1", "stop_s"),
        ("\"stop_s\": 6", "\"stop_s\": \"6\"", "stop_s"),
        ("\"node\"", "\"nod\"", "nod"),
        ("\"gossip\"", "\"grants\": \"push\", \"gossip\"", "heartbeat"),
        ("\"ip\": \"10.0.0.1\"", "\"ip\": \"here\"", "ip"),
    ] {
        let text = SETTINGS.replacen(from, to, 1);
        let error = Settings::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}
