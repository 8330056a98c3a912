//! Tests of the store adapter against a scripted store.

use crate::common::{accept, read_http, refusing_addr, run, send, server};
use lagoondyke_core::effect::StoreOp;
use lagoondyke_core::event::StoreOutcome;
use lagoondyke_node::ports::Store;
use lagoondyke_node::store::HttpStore;

fn read() -> StoreOp {
    StoreOp::Read { name: "a/b".to_owned() }
}

fn watch() -> StoreOp {
    StoreOp::Watch { name: "a/b".to_owned(), after: 4 }
}

fn update(expect: u64) -> StoreOp {
    let (name, value) = ("a/b".to_owned(), b"{}".to_vec());
    StoreOp::Update { name, expect, value }
}

/// Guards against an update that is repeated or reported as failed although it
/// may have taken effect, and against malformed answers that are taken for
/// values.
#[test]
fn responses_map_to_outcomes() {
    let value =
        "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 2\r\n\r\n{}";
    let found = StoreOutcome::Read { version: 5, value: b"{}".to_vec() };
    let created = "HTTP/1.1 201 Created\r\netag: \"1\"\r\n\
                   content-length: 0\r\n\r\n";
    let get = "get /objects/a/b http";
    let wait = "get /objects/a/b?after=4&wait=20000 http";
    let put = "put /objects/a/b http";
    let cases = [
        (read(), get, value, found.clone()),
        (
            read(),
            get,
            "HTTP/1.1 404 N\r\ncontent-length: 0\r\n\r\n",
            StoreOutcome::Missing,
        ),
        (
            read(),
            get,
            "HTTP/1.1 503 N\r\ncontent-length: 0\r\n\r\n",
            StoreOutcome::Unavailable,
        ),
        (read(), get, &value[..value.len() - 1], StoreOutcome::Unavailable),
        (
            read(),
            get,
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            StoreOutcome::Unavailable,
        ),
        (watch(), wait, value, found),
        (watch(), wait, "HTTP/1.1 304 N\r\n\r\n", StoreOutcome::Unchanged),
        (watch(), wait, "", StoreOutcome::Unavailable),
        (
            update(0),
            "if-none-match: *",
            created,
            StoreOutcome::Written { version: 1 },
        ),
        (
            update(4),
            "if-match: \"4\"",
            value,
            StoreOutcome::Written { version: 5 },
        ),
        (
            update(4),
            put,
            "HTTP/1.1 412 N\r\ncontent-length: 0\r\n\r\n",
            StoreOutcome::Conflict,
        ),
        (
            update(4),
            put,
            "HTTP/1.1 413 N\r\ncontent-length: 0\r\n\r\n",
            StoreOutcome::Unavailable,
        ),
        (
            update(4),
            put,
            "HTTP/1.1 503 N\r\ncontent-length: 0\r\n\r\n",
            StoreOutcome::Unknown,
        ),
        (update(4), put, &value[..20], StoreOutcome::Unknown),
        (update(4), put, "", StoreOutcome::Unknown),
    ];
    for (op, line, text, expected) in cases {
        let text = text.to_owned();
        let (addr, thread) = server(move |listener| {
            let mut stream = accept(&listener);
            let request = read_http(&mut stream);
            send(&mut stream, &text);
            request
        });
        let name = format!("{op:?}");
        let outcome = run(async { HttpStore::new(addr).call(op).await });
        let request = thread.join().expect("server");
        assert!(request.contains(line), "{line} in {request}");
        assert_eq!(outcome, expected, "{name}");
    }
}

/// Guards against an update that was never sent but whose outcome is reported
/// as unknown.
#[test]
fn a_store_that_refuses_connections_is_unavailable() {
    for op in [read(), watch(), update(4)] {
        let outcome =
            run(async { HttpStore::new(refusing_addr()).call(op).await });
        assert_eq!(outcome, StoreOutcome::Unavailable);
    }
}
