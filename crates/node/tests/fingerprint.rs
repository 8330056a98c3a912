//! Which requests count as the same when one of them crashes upstreams.

use bytes::Bytes;
use http::{HeaderMap, Method};
use lagoondyke_core::fleet::event::{Order, Source};
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_node::fleet::message::Call;
use lagoondyke_node::fleet::ports::RequestMeta;

/// A request for the key 7, with this id.
fn call(id: &str) -> Call {
    Call {
        method: Method::GET,
        path: "/a/b".to_owned(),
        host: "h".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        meta: RequestMeta {
            id: id.to_owned(),
            timeout_ms: 1_000,
            key: Some(7),
            credential: None,
        },
        order: None,
    }
}

/// Its fingerprint where it arrives beside an upstream of `service`.
fn arriving(call: &Call, service: &str) -> Fingerprint {
    call.arrival(Ticket(1), Source::Caller, service).fingerprint
}

/// Guards against a harmful request that is cleared by the answer to another
/// service's request, and against refusals of that service's requests.
#[test]
fn requests_of_different_services_are_different() {
    assert_ne!(arriving(&call("r1"), "s"), arriving(&call("r1"), "t"));
}

/// Guards against a harmful request that is not recognized when it returns: at
/// another node, in another attempt, or forwarded.
#[test]
fn a_request_that_returns_is_the_same() {
    let first = arriving(&call("r1"), "s");
    let mut later = call("r2");
    later.meta.timeout_ms = 300;
    later.headers.insert("a", "b".parse().expect("a header"));
    assert_eq!(arriving(&later, "s"), first);
    let order = Order {
        service: "u".to_owned(),
        key: Some(7),
        priority: 0,
        idempotent: true,
        budget: 100,
        objective: 100,
        origin: "s".to_owned(),
        account: None,
    };
    let forwarded = Call { order: Some(order), ..later };
    let arrival = forwarded.arrival(Ticket(1), Source::Peer, "u");
    assert_eq!(arrival.fingerprint, first);
}

/// Guards against harmless requests that are refused with a harmful one.
#[test]
fn requests_that_differ_in_content_are_different() {
    let first = arriving(&call("r1"), "s");
    let mut body = call("r1");
    body.body = Bytes::from_static(b"other");
    let mut moved = call("r1");
    moved.host = "h/a".to_owned();
    moved.path = "/b".to_owned();
    for other in [body, moved] {
        assert_ne!(arriving(&other, "s"), first);
    }
}

/// Guards against a harmful request that returns for another key each time and
/// is taken for a new one: what the platform promises to stay the same is the
/// path, the caller and the body.
#[test]
fn a_request_that_returns_for_another_key_is_the_same() {
    let first = arriving(&call("r1"), "s");
    let mut other = call("r2");
    for key in [Some(8), None] {
        other.meta.key = key;
        assert_eq!(arriving(&other, "s"), first);
    }
}
