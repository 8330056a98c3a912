//! Guards against invalid documents that are accepted, or rejected without
//! naming position, field and limit.

use lagoondyke_core::config::{Config, MAX_DOCUMENT_BYTES};
use lagoondyke_core::jsonc::JsoncError;
use lagoondyke_core::settings::{MAX_SETTINGS_BYTES, Settings};

const CONFIG: &str = r#"{
    "format": 1, // present format
    "operator": "jutland",
    "domains": { "aarhus": {}, "vejle": { "out": true } },
    "services": {
        "katalog": { "keyed": true, "shards": 16, "groups": 2 },
        /* any
           upstream */
        "udlaan": { "keyed": false, "shares": { "u1": 2 } }
    }
}
"#;

const SETTINGS: &str = r#"{
    "addr": "127.0.0.1:7101",
    "listen": "127.0.0.1:8101",
    "domain": "aarhus",
    "operator": "jutland",
    "service": "katalog",
    "upstream": { "name": "k1", "addr": "127.0.0.1:9101",
        "slots": 20, "connections": 120 },
    "store": "127.0.0.1:7000",
    "log": { "level": "info" },
    "format": 1
}
"#;

/// The error that parsing `base` gives once `from` is replaced by `to`.
fn error<T: std::fmt::Debug>(
    base: &str,
    (from, to): (&str, &str),
    parse: impl Fn(&[u8]) -> Result<T, JsoncError>,
) -> String {
    assert!(base.contains(from), "{from:?} is not in the base document");
    let text = base.replacen(from, to, 1);
    match parse(text.as_bytes()) {
        Ok(value) => panic!("{to:?} was accepted: {value:?}"),
        Err(e) => e.to_string(),
    }
}

fn config_error(from: &str, to: &str) -> String {
    error(CONFIG, (from, to), |text| Config::parse(text, None))
}

fn settings_error(from: &str, to: &str) -> String {
    error(SETTINGS, (from, to), |text| Settings::parse(text))
}

#[test]
fn base_texts_are_accepted() {
    let config = Config::parse(CONFIG, None).unwrap();
    assert_eq!(Config::parse(CONFIG, Some(&config)).unwrap(), config);
    assert_eq!(config.services["katalog"].groups, 2);
    assert_eq!(Settings::parse(SETTINGS).unwrap().upstream.slots, 20);
}

#[test]
fn malformed_configurations() {
    let cases = [
        (CONFIG, "", "line 1, column 1: text has no content"),
        (CONFIG, " // only\n", "line 1, column 1: text has no content"),
        (
            " } }\n    }\n}\n",
            "",
            "line 9, column 55: text ends too early: EOF while parsing an \
             object",
        ),
        (
            "\"keyed\": false,",
            "\"keyed\": false",
            "line 9, column 36: expected `,` or `}`",
        ),
        (
            "// present",
            "/ present",
            "line 2, column 18: `/` does not begin a comment",
        ),
        (
            "upstream */",
            "upstream",
            "line 11, column 2: text ends within a string or comment",
        ),
        ("}\n}\n", "}\n}\n[]", "line 12, column 1: trailing characters"),
        (
            "// present format",
            "# present",
            "line 2, column 18: key must be a string",
        ),
        (
            "\"u1\"",
            "\"\\ud800\"",
            "line 9, column 49: unexpected end of hex escape",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(config_error(from, to), expected, "{from} -> {to}");
    }
}

#[test]
fn unknown_missing_and_repeated_fields() {
    let cases = [
        (
            "\"shards\"",
            "\"shrads\"",
            "line 6, column 37: field services.katalog.shrads: unknown \
             field, did you mean \"shards\"?",
        ),
        (
            "\"out\"",
            "\"zzz\"",
            "line 4, column 43: field domains.vejle.zzz: unknown field, \
             known are out",
        ),
        (
            "\"operator\": \"jutland\",",
            "",
            "line 1, column 1: field operator: required field is missing",
        ),
        (
            "\"keyed\": false, ",
            "",
            "line 9, column 9: field services.udlaan.keyed: required field \
             is missing",
        ),
        (
            "\"vejle\"",
            "\"aarhus\"",
            "line 4, column 32: field domains.aarhus: is given twice, first \
             in line 4",
        ),
        (
            "\"udlaan\"",
            "\"k\\u0061talog\"",
            "line 9, column 9: field services.katalog: is given twice, first \
             in line 6",
        ),
        (
            "\"shards\": 16",
            "\"keyed\": true",
            "line 6, column 37: field services.katalog.keyed: is given \
             twice, first in line 6",
        ),
        (
            "\"u1\": 2",
            "\"u1\": 2, \"u1\": 3",
            "line 9, column 58: field services.udlaan.shares.u1: is given \
             twice, first in line 9",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(config_error(from, to), expected, "{from} -> {to}");
    }
}

#[test]
fn values_out_of_limits() {
    let name = "is not a name: 1 to 63 lowercase letters, digits and dashes";
    let long = "a".repeat(64);
    let cases = [
        (
            "\"shards\": 16",
            "\"shards\": 2049",
            "line 6, column 37: field services.katalog.shards: must be at \
             most 1024 for each of the 2 groups, is 2049",
        ),
        (
            "\"shards\": 16",
            "\"shards\": 32769",
            "line 6, column 37: field services.katalog.shards: must be a \
             whole number from 1 to 32768, is 32769",
        ),
        (
            "\"shards\": 16",
            "\"shards\": 99999999999999999999999999",
            "line 6, column 37: field services.katalog.shards: must be a \
             whole number from 1 to 32768, is 99999999999999999999999999",
        ),
        (
            "\"shards\": 16",
            "\"shards\": 0",
            "line 6, column 37: field services.katalog.shards: must be a \
             whole number from 1 to 32768, is 0",
        ),
        (
            "\"shards\": 16",
            "\"shards\": \"16\"",
            "line 6, column 37: field services.katalog.shards: invalid type: \
             string \"16\", expected a whole number",
        ),
        (
            "\"groups\": 2",
            "\"groups\": 17",
            "line 6, column 51: field services.katalog.groups: must be at \
             most the number of shards, 16, is 17",
        ),
        (
            "\"u1\": 2",
            "\"u1\": 1001",
            "line 9, column 49: field services.udlaan.shares.u1: must be a \
             whole number from 1 to 1000, is 1001",
        ),
        (
            "\"u1\": 2",
            "\"u1\": -1.5",
            "line 9, column 49: field services.udlaan.shares.u1: must be a \
             whole number from 1 to 1000, is -1.5",
        ),
        (
            "\"aarhus\": {}",
            "\"aarhus\": { \"out\": true }",
            "line 4, column 5: field domains: all domains are out of \
             service; at least one must remain",
        ),
        (
            "\"format\": 1",
            "\"format\": 2",
            "line 2, column 5: field format: this version reads format 1, \
             text has 2",
        ),
        (
            "\"format\": 1",
            "\"format\": 0",
            "line 2, column 5: field format: this version reads format 1, \
             text has 0",
        ),
        (
            "\"jutland\"",
            "\"Jutland\"",
            &format!("line 3, column 5: field operator: \"Jutland\" {name}"),
        ),
        (
            "\"katalog\"",
            "\"\"",
            &format!("line 6, column 9: field services.: \"\" {name}"),
        ),
        (
            "\"aarhus\"",
            "/* å */ \"århus\"",
            &format!(
                "line 4, column 26: field domains.århus: \"århus\" {name}"
            ),
        ),
        (
            "katalog",
            &long,
            &format!(
                "line 6, column 9: field services.{long}: \"{long}\" {name}"
            ),
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(config_error(from, to), expected, "{from} -> {to}");
    }
}

#[test]
fn too_many_entries() {
    let list = |count: usize, value: &str| {
        let entries = (0..count).map(|i| format!("\"n{i}\": {value}"));
        entries.collect::<Vec<_>>().join(", ")
    };
    let shares = "\"u1\": 2";
    let domains = "\"aarhus\": {}";
    let services = "\"katalog\": { \"keyed\": true, \"shards\": 16, \
                    \"groups\": 2 }";
    let keyed = "{ \"keyed\": true }";
    // `CONFIG` has another domain and another service besides.
    for (from, entry, most, field) in [
        (shares, "1", 1_000, "services.udlaan.shares"),
        (domains, "{}", 63, "domains"),
        (services, keyed, 999, "services"),
    ] {
        let good = CONFIG.replacen(from, &list(most, entry), 1);
        Config::parse(&good, None).unwrap();
        let message = config_error(from, &list(most + 1, entry));
        let limit = if most == 63 { 64 } else { 1_000 };
        let expected = format!(
            "field {field}: has {} entries, limit is {limit}",
            limit + 1
        );
        assert!(message.ends_with(&expected), "{message}");
    }
}

#[test]
fn sizes_over_the_limit() {
    let at_limit = |text: &str, limit: usize| {
        format!("{text}{}", " ".repeat(limit - text.len()))
    };
    let text = at_limit(CONFIG, MAX_DOCUMENT_BYTES);
    Config::parse(&text, None).unwrap();
    assert_eq!(
        Config::parse(text + " ", None).unwrap_err().to_string(),
        "text has 1000001 bytes, limit is 1000000"
    );
    let text = at_limit(SETTINGS, MAX_SETTINGS_BYTES);
    Settings::parse(&text).unwrap();
    assert_eq!(
        Settings::parse(text + " ").unwrap_err().to_string(),
        "text has 65537 bytes, limit is 65536"
    );
}

#[test]
fn fixed_fields_cannot_change() {
    let current = Config::parse(CONFIG, None).unwrap();
    let fixed = "it is fixed when the service is created";
    let cases = [
        (
            "\"shards\": 16",
            "\"shards\": 32",
            format!(
                "line 6, column 37: field services.katalog.shards: cannot \
                 change from 16 to 32; {fixed}"
            ),
        ),
        (
            ", \"groups\": 2",
            "",
            format!(
                "line 6, column 9: field services.katalog.groups: cannot \
                 change from 2 to 1; {fixed}"
            ),
        ),
        (
            "\"keyed\": false",
            "\"keyed\": true",
            format!(
                "line 9, column 21: field services.udlaan.keyed: cannot \
                 change from false to true; {fixed}"
            ),
        ),
        (
            "\"jutland\"",
            "\"jylland\"",
            "line 3, column 5: field operator: document in force is of \
             \"jutland\", not of \"jylland\""
                .to_owned(),
        ),
    ];
    for (from, to, expected) in cases {
        let parse = |text: &[u8]| Config::parse(text, Some(&current));
        assert_eq!(error(CONFIG, (from, to), parse), expected);
        let text = CONFIG.replacen(from, to, 1);
        Config::parse(text, None).expect("valid as a first document");
    }
}

#[test]
fn wrong_settings() {
    let cases = [
        (
            "127.0.0.1:8101",
            "127.0.0.1:7101",
            "line 3, column 5: field listen: must differ from addr, \
             127.0.0.1:7101",
        ),
        (
            "127.0.0.1:8101",
            "0.0.0.0:7101",
            "line 3, column 5: field listen: must differ from addr, \
             127.0.0.1:7101",
        ),
        (
            "127.0.0.1:7101",
            "127.0.0.1:0",
            "line 2, column 5: field addr: port must be 1 to 65535, is 0",
        ),
        (
            "127.0.0.1:7101",
            "0.0.0.0:7101",
            "line 2, column 5: field addr: must be an address that others \
             can connect to, is 0.0.0.0:7101",
        ),
        (
            "127.0.0.1:7000",
            "localhost:7000",
            "line 9, column 5: field store: must be an IP address and port \
             such as \"10.0.0.1:7101\"",
        ),
        (
            "127.0.0.1:9101",
            "127.0.0.1:8101",
            "line 7, column 33: field upstream.addr: must differ from the \
             node's own addresses",
        ),
        (
            "\"slots\": 20",
            "\"slots\": 10001",
            "line 8, column 9: field upstream.slots: must be a whole number \
             from 1 to 10000, is 10001",
        ),
        (
            "\"connections\": 120",
            "\"connections\": 0",
            "line 8, column 22: field upstream.connections: must be a whole \
             number from 1 to 65535, is 0",
        ),
        (
            "\"level\": \"info\"",
            "\"level\": \"warn\"",
            "line 10, column 14: field log.level: unknown value, did you mean \
             \"warning\"?",
        ),
        (
            "\"level\": \"info\"",
            "\"traces\": \"\"",
            "line 10, column 14: field log.traces: must name a file",
        ),
        (
            "\"upstream\"",
            "\"upsteam\"",
            "line 7, column 5: field upsteam: unknown field, did you mean \
             \"upstream\"?",
        ),
        (
            "\"service\": \"katalog\"",
            "\"service\": \"kata_log\"",
            "line 6, column 5: field service: \"kata_log\" is not a name: 1 \
             to 63 lowercase letters, digits and dashes",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(settings_error(from, to), expected);
    }
}

#[test]
fn text_that_is_not_utf8() {
    let text = CONFIG.replace("present", "\u{1}");
    let text: Vec<u8> =
        text.bytes().map(|b| if b == 1 { 0xff } else { b }).collect();
    assert_eq!(
        Config::parse(text, None).unwrap_err().to_string(),
        "line 2, column 21: text is not UTF-8"
    );
}
