//! Tests of the callers' HTTP server: which requests it refuses and how.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use lagoondyke_node::run::raise_descriptor_limit;
use lagoondyke_node::serve::Limits;
use serde_json::Value;

use crate::common::{Node, read_http, start_node};

fn exchange(node: &Node, request: &[u8]) -> (u16, String, String) {
    let mut stream = TcpStream::connect(node.callers).expect("connect");
    // A refusal may arrive before all of the request is written.
    let _ = stream.write_all(request);
    let text = read_http(&mut stream);
    let (head, body) = text.split_once("\r\n\r\n").expect("head");
    let status = head.split(' ').nth(1).expect("status");
    (status.parse().expect("status"), head.to_owned(), body.to_owned())
}

/// Guards against malformed or oversized requests that are forwarded, and
/// against refusals whose problem document does not say that the request has
/// not run.
#[test]
fn invalid_requests_are_refused_as_not_run() {
    let node = start_node(Limits::default());
    let post = "POST /x HTTP/1.1\r\nlagoondyke-service: s\r\n";
    let long_head = format!("{post}a: {}\r\n\r\n", "x".repeat(33 * 1024));
    let many_headers = format!("{post}{}\r\n", "a: b\r\n".repeat(200));
    let cases = [
        ("no service", "GET / HTTP/1.1\r\n\r\n", 400),
        ("not HTTP", "hello\r\n\r\n", 400),
        ("long head", &long_head, 431),
        ("many headers", &many_headers, 431),
        ("long body", &format!("{post}content-length: 1048577\r\n\r\n"), 413),
        (
            "long chunk",
            &format!(
                "{post}transfer-encoding: chunked\r\n\r\n\
          100001\r\n{}",
                "x".repeat(0x10_0001)
            ),
            413,
        ),
        (
            "bad chunk",
            &format!("{post}transfer-encoding: chunked\r\n\r\nxyz"),
            400,
        ),
        ("bad coding", &format!("{post}transfer-encoding: gzip\r\n\r\n"), 400),
        ("bad length", &format!("{post}content-length: -1\r\n\r\n"), 400),
        (
            "two lengths",
            &format!(
                "{post}content-length: 1\r\n\
          content-length: 2\r\n\r\n12"
            ),
            400,
        ),
        (
            "length and coding",
            &format!(
                "{post}content-length: 1\r\n\
          transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            400,
        ),
        (
            "bad deadline",
            &format!("{post}lagoondyke-deadline: x\r\n\r\n"),
            400,
        ),
        (
            "long deadline",
            &format!("{post}lagoondyke-deadline: 60001\r\n\r\n"),
            400,
        ),
        (
            "non-ASCII path",
            "GET /\u{e9} HTTP/1.1\r\nlagoondyke-service: s\r\n\r\n",
            400,
        ),
        (
            "reserved path",
            "GET /lagoondyke/grants HTTP/1.1\r\n\
          lagoondyke-service: s\r\n\r\n",
            400,
        ),
        (
            "encoded reserved path",
            "GET /x/..//%6Cagoondyke/grants HTTP/1.1\r\n\
          lagoondyke-service: s\r\n\r\n",
            400,
        ),
    ];
    for (name, request, expected) in cases {
        let (status, head, body) = exchange(&node, request.as_bytes());
        assert_eq!(status, expected, "{name}: {body}");
        assert!(head.contains("application/problem+json"), "{name}: {head}");
        let problem: Value = serde_json::from_str(&body).expect(name);
        assert_eq!(problem["verdict"], "not-run", "{name}");
        assert_eq!(problem["reason"], "bad-request", "{name}");
        assert_eq!(problem["status"], expected, "{name}");
    }
}

/// Guards against operator endpoints that a caller's service header overrides,
/// and against a readiness check that succeeds before the node can serve.
#[test]
fn operator_endpoints_answer() {
    let node = start_node(Limits::default());
    let get = |path: &str| {
        exchange(&node, format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
    };
    assert_eq!(get("/lagoondyke/health").0, 200);
    assert_eq!(get("/lagoondyke/ready").0, 503);
    assert_eq!(get("/lagoondyke/none").0, 404);
    let (status, _, body) = get("/lagoondyke/status");
    assert_eq!(status, 200);
    let parsed: Value = serde_json::from_str(&body).expect("status");
    assert_eq!(parsed["config"], 0);
    assert_eq!(get("/lagoondyke/owner/s").0, 400);
    let target = "/lagoondyke/owner/s HTTP/1.1\r\nlagoondyke-key: k";
    let request = format!("GET {target}\r\n\r\n");
    let (status, _, body) = exchange(&node, request.as_bytes());
    assert_eq!(status, 200);
    let location: Value = serde_json::from_str(&body).expect("located");
    assert_eq!(
        (&location["known"], &location["owner"]),
        (&false.into(), &Value::Null)
    );
}

/// Guards against callers that exhaust the node's file descriptors.
#[test]
fn connections_beyond_the_limit_are_refused() {
    // Both ends of each connection are in this process, so it needs twice the
    // descriptors of a node.
    raise_descriptor_limit();
    let node = start_node(Limits::default());
    let mut open = Vec::new();
    for _ in 0..lagoondyke_node::serve::MAX_CONNECTION_COUNT {
        let mut stream = TcpStream::connect(node.callers).expect("connect");
        // Once it answers, the node has counted the connection.
        let request = b"GET /lagoondyke/health HTTP/1.1\r\n\r\n";
        stream.write_all(request).expect("write");
        assert!(read_http(&mut stream).contains("running"));
        open.push(stream);
    }
    let mut extra = TcpStream::connect(node.callers).expect("connect");
    let refusal = read_http(&mut extra);
    assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert_eq!(extra.read(&mut [0]).unwrap_or(0), 0);
}

/// Guards against callers that occupy connections by sending slowly or
/// nothing.
#[test]
fn slow_senders_are_refused() {
    let short = Duration::from_millis(20);
    let limits = Limits {
        head_timeout: short,
        body_timeout: short,
        ..Limits::default()
    };
    let node = start_node(limits);
    let head = "GET / HTTP/1.1\r\nhost";
    let body = "PUT / HTTP/1.1\r\nlagoondyke-service: s\r\n\
                content-length: 2\r\n\r\n1";
    for request in [head, body] {
        let (status, _, body) = exchange(&node, request.as_bytes());
        assert_eq!(status, 408, "{body}");
        assert!(body.contains("\"not-run\""), "{body}");
    }
    let limits = Limits { idle_timeout: short, ..Limits::default() };
    let node = self::start_node(limits);
    let mut idle = TcpStream::connect(node.callers).expect("connect");
    assert_eq!(idle.read(&mut [0]).expect("end of the stream"), 0);
}

/// Guards against malformed input that the metrics do not count.
#[test]
fn malformed_input_is_counted() {
    let node = start_node(Limits::default());
    for request in [
        "hello\r\n\r\n",
        "PUT / HTTP/1.1\r\ntransfer-encoding: \
        x\r\n\r\n",
    ] {
        exchange(&node, request.as_bytes());
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.send_to(b"\x01junk", node.addr).expect("send");
    let mut peer = TcpStream::connect(node.addr).expect("connect");
    peer.write_all(&[255; 8]).expect("write");
    assert_eq!(peer.read(&mut [0]).unwrap_or(0), 0);
    let expected = [
        "{socket=\"caller\"} 2",
        "{socket=\"control\"} 1",
        "{socket=\"peer\"} 1",
    ];
    // A datagram gets no answer, so the metrics are polled until they count
    // it.
    loop {
        let request = b"GET /metrics HTTP/1.1\r\n\r\n";
        let (_, _, text) = exchange(&node, request);
        let found = |end: &str| {
            text.contains(&format!("lagoondyke_malformed_total{end}"))
        };
        if expected.into_iter().all(found) {
            break;
        }
    }
}
