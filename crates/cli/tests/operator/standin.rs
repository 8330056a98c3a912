//! Guards against a client that does not follow the store's protocol: runs
//! commands against the stand-in store and its faults.

use std::net::SocketAddr;
use std::sync::mpsc;

use http::Method;
use lagoondyke_cli::apply::apply;
use lagoondyke_cli::domain;
use lagoondyke_cli::environment::{Environment, Store};
use lagoondyke_cli::exit::Exit;
use lagoondyke_cli::http::HttpStore;
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::store::{self, Counts};

use crate::support::FakeNodes;

const DOCUMENT: &str = include_str!("../../../../examples/jutland.jsonc");
const NAME: &str = "config/jutland";

/// Starts a store on a thread that ends with the test process.
fn start_store() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async move {
            sender.send(store::start(1).unwrap()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Calls the store's administrative API and returns the counts, if any.
fn call_admin(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Counts {
    let body = body.to_owned();
    let call = call_once(addr, method, path, &[], body, 5_000);
    let reply = block_on(call).unwrap();
    assert!(reply.ok(), "{reply:?}");
    serde_json::from_slice(&reply.body).unwrap_or_default()
}

fn set_faults(addr: SocketAddr, body: &str) {
    call_admin(addr, Method::PUT, "/admin/faults", body);
}

#[test]
fn updates_of_the_stand_in_store() {
    let addr = start_store();
    let store = HttpStore::new(addr);
    let nodes = FakeNodes::default();
    let env =
        Environment { store: Some(&store), nodes: &nodes, timer: &nodes };
    let try_apply = |text: &str, expect| {
        let result = apply(text.as_bytes(), expect, &env, &mut Vec::new());
        result.map_err(|e| e.exit)
    };
    let hedged = DOCUMENT.replace("\"hedge\": true", "\"hedge\": false");
    assert_eq!(store.read(NAME), Ok(None));
    assert_eq!(try_apply(DOCUMENT, Some(1)), Err(Exit::Conflict));
    assert_eq!(try_apply(DOCUMENT, Some(0)), Ok(1));
    assert_eq!(try_apply(&hedged, Some(0)), Err(Exit::Conflict));
    set_faults(addr, r#"{"lose_answers": 1}"#);
    assert_eq!(try_apply(&hedged, Some(1)), Ok(2));
    let set_vejle = |out_of_service| {
        let mut out = Vec::new();
        domain::set("jutland", "vejle", out_of_service, &env, &mut out)
    };
    assert_eq!(set_vejle(true), Ok(3));
    assert_eq!(set_vejle(false), Ok(4));
    let object = store.read(NAME).unwrap().unwrap();
    let text = String::from_utf8(object.value).unwrap();
    let vejle = "\"vejle\": { \"out\": false }";
    assert_eq!(text, hedged.replace("\"vejle\": {}", vejle));
    let counts = call_admin(addr, Method::GET, "/admin/counts", "");
    assert_eq!(counts.put, 4, "each change is sent once");
    set_faults(addr, r#"{"down": true}"#);
    assert_eq!(try_apply(DOCUMENT, None), Err(Exit::Unreachable));
}
