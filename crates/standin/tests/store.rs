//! Contract of the object store's API: conditional updates, watches, listings,
//! and the faults that the stand-in simulates.

use std::net::SocketAddr;

use http::Method;
use lagoondyke_standin::client::{CallError, call_once};
use lagoondyke_standin::server::Reply;
use lagoondyke_standin::store::{self, Counts, ListEntry, MAX_VALUE_BYTES};
use lagoondyke_standin::{block_on, time};

/// Time-out of a call that must be answered.
const CALL_TIMEOUT_MS: u64 = 20_000;

type Answer = Result<Reply, CallError>;

/// Runs a test with a time-out, so that it fails instead of waiting forever.
fn run_test(test: impl Future<Output = ()>) {
    let test_timeout = std::time::Duration::from_millis(3 * CALL_TIMEOUT_MS);
    block_on(async { monoio::time::timeout(test_timeout, test).await })
        .expect("the test did not end in time");
}

async fn get(addr: SocketAddr, path: &str) -> Answer {
    call_once(addr, Method::GET, path, &[], "", CALL_TIMEOUT_MS).await
}

async fn put(
    addr: SocketAddr,
    path: &str,
    condition: Option<(&str, &str)>,
    body: impl Into<bytes::Bytes>,
) -> Answer {
    let headers = condition.as_slice();
    call_once(addr, Method::PUT, path, headers, body, CALL_TIMEOUT_MS).await
}

async fn set_faults(addr: SocketAddr, body: &'static str) {
    let reply = put(addr, "/admin/faults", None, body).await.unwrap();
    assert!(reply.has_status(204), "{reply:?}");
}

/// Guards against an update that ignores its condition: two leaders could then
/// hold one record.
#[test]
fn conditional_updates() {
    let any = Some(("if-none-match", "*"));
    let table = [
        ("missing condition", None, 428, None),
        ("match on a missing object", Some(("if-match", "\"1\"")), 412, None),
        ("create", any, 201, Some("\"1\"")),
        ("create again", any, 412, None),
        ("update", Some(("if-match", "\"1\"")), 200, Some("\"2\"")),
        ("stale update", Some(("if-match", "\"1\"")), 412, None),
        ("future update", Some(("if-match", "\"3\"")), 412, None),
        ("malformed tag", Some(("if-match", "2")), 400, None),
        ("condition on a tag", Some(("if-none-match", "\"2\"")), 400, None),
    ];
    run_test(async {
        let addr = store::start(1).unwrap();
        let path = "/objects/groups/katalog/3";
        assert!(get(addr, path).await.unwrap().has_status(404));
        for (case, condition, code, tag) in table {
            let reply = put(addr, path, condition, case).await.unwrap();
            assert_eq!(reply.code(), code, "{case}");
            assert_eq!(reply.header("etag"), tag, "{case}");
        }
        let reply = get(addr, path).await.unwrap();
        assert_eq!(reply.header("etag"), Some("\"2\""));
        assert_eq!(reply.body, "update");
    });
}

/// Guards against a limit on the size of values that differs from the one of
/// section 1.4.
#[test]
fn size_limit() {
    run_test(async {
        let addr = store::start(1).unwrap();
        for (size, code) in
            [(MAX_VALUE_BYTES, 201), (MAX_VALUE_BYTES + 1, 413)]
        {
            let path = format!("/objects/size/{size}");
            let any = Some(("if-none-match", "*"));
            let body = vec![b'1'; size];
            let reply = put(addr, &path, any, body).await.unwrap();
            assert_eq!(reply.code(), code, "{size} bytes");
        }
    });
}

/// Guards against a listing that omits objects with the prefix or returns
/// others.
#[test]
fn listing_is_by_prefix() {
    run_test(async {
        let addr = store::start(1).unwrap();
        for name in ["a/1", "a/2", "ab", "b/1"] {
            let path = format!("/objects/{name}");
            let any = Some(("if-none-match", "*"));
            assert!(put(addr, &path, any, "1").await.unwrap().ok());
        }
        let table = [("a/", vec!["a/1", "a/2"]), ("c", vec![])];
        for (prefix, names) in table {
            let path = format!("/objects?prefix={prefix}");
            let reply = get(addr, &path).await.unwrap();
            let found: Vec<ListEntry> = reply.parse_json().unwrap();
            let found: Vec<_> = found.iter().map(|l| &l.name).collect();
            assert_eq!(found, names, "{prefix}");
        }
    });
}

/// Guards against a watch that misses the write it waits for, and against a
/// waiting watch that is counted more than once.
#[test]
fn watch_returns_newer_versions() {
    run_test(async {
        let addr = store::start(1).unwrap();
        let path = "/objects/config/jutland";
        let watch = |after, wait| async move {
            let path = format!("{path}?after={after}&wait={wait}");
            get(addr, &path).await.unwrap()
        };
        assert!(watch(0, 20).await.has_status(304));
        let waiting = monoio::spawn(watch(0, CALL_TIMEOUT_MS));
        while counts(addr).await.watch < 2 {
            time::sleep_ms(1).await;
        }
        let any = Some(("if-none-match", "*"));
        assert!(put(addr, path, any, "first").await.unwrap().has_status(201));
        let reply = waiting.await;
        assert_eq!((reply.code(), &reply.body[..]), (200, &b"first"[..]));
        assert!(watch(0, 0).await.has_status(200));
        assert!(watch(1, 20).await.has_status(304));
        assert_eq!(counts(addr).await.watch, 4);
    });
}

async fn counts(addr: SocketAddr) -> Counts {
    get(addr, "/admin/counts").await.unwrap().parse_json().unwrap()
}

/// Guards against a store that answers while it is set to be down, and against
/// one that stays down when the fault is cleared.
#[test]
fn down_closes_calls_and_watches() {
    run_test(async {
        let addr = store::start(1).unwrap();
        let waiting = monoio::spawn(async move {
            let path = format!("/objects/x?after=0&wait={CALL_TIMEOUT_MS}");
            get(addr, &path).await
        });
        while counts(addr).await.watch < 1 {
            time::sleep_ms(1).await;
        }
        set_faults(addr, r#"{"down": true}"#).await;
        let is_lost =
            |answer: Answer| matches!(answer, Err(CallError::Lost(_)));
        assert!(is_lost(waiting.await), "a waiting watch is closed");
        let any = Some(("if-none-match", "*"));
        assert!(is_lost(put(addr, "/objects/x", any, "1").await));
        assert!(is_lost(get(addr, "/objects/x").await));
        set_faults(addr, r#"{"down": false}"#).await;
        assert!(get(addr, "/objects/x").await.unwrap().has_status(404));
    });
}

/// Guards against a lost answer whose write did not take effect: the recovery
/// of writers from a write that took effect would then go untested.
#[test]
fn lost_answers_take_effect() {
    run_test(async {
        let addr = store::start(1).unwrap();
        set_faults(addr, r#"{"lose_answers": 1}"#).await;
        let any = Some(("if-none-match", "*"));
        let answer = put(addr, "/objects/x", any, "one").await;
        assert!(matches!(answer, Err(CallError::Lost(_))), "{answer:?}");
        assert_eq!(get(addr, "/objects/x").await.unwrap().body, "one");
        let stale = put(addr, "/objects/x", any, "two").await.unwrap();
        assert!(stale.has_status(412));
        let first = Some(("if-match", "\"1\""));
        let reply = put(addr, "/objects/x", first, "two").await.unwrap();
        assert_eq!(reply.header("etag"), Some("\"2\""));
    });
}

/// Guards against calls that are counted under another kind or survive a
/// reset.
#[test]
fn counts_are_by_kind() {
    run_test(async {
        let addr = store::start(1).unwrap();
        for path in ["/objects/x", "/objects?prefix=x", "/objects/x"] {
            get(addr, path).await.unwrap();
        }
        put(addr, "/objects/x", None, "").await.unwrap();
        let expected = Counts { get: 2, watch: 0, put: 1, list: 1 };
        assert_eq!(counts(addr).await, expected);
        let reset = put(addr, "/admin/reset-counts", None, "").await;
        assert!(reset.unwrap().ok());
        assert_eq!(counts(addr).await, Counts::default());
    });
}
