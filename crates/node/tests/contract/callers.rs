//! Contract of the callers' HTTP server: what it refuses and how.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;

use lagoondyke_core::settings::Settings;
use lagoondyke_node::logs;
use lagoondyke_node::run::{Sockets, start};
use serde_json::Value;

use crate::common::{closed, read_http, run};

/// A node whose store and upstream cannot be reached.
struct Node {
    callers: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("thread");
        assert!(thread.join().is_ok(), "the node panicked");
    }
}

fn node() -> Node {
    let text = format!(
        "{{\"addr\":\"127.0.0.1:1\",\"listen\":\"127.0.0.1:2\",\
         \"domain\":\"d\",\"operator\":\"o\",\"service\":\"s\",\
         \"upstream\":{{\"name\":\"u\",\"addr\":\"{}\",\"slots\":4,\
         \"connections\":10}},\"store\":\"{}\"}}",
        closed(),
        closed()
    );
    let mut settings = Settings::parse(text).expect("settings");
    // Settings files may not name port 0, which draws a free port here.
    settings.addr.0.set_port(0);
    settings.listen.set_port(0);
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let (sender, callers) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let sockets = Sockets::bind(&mut settings).expect("bind");
            sender.send(settings.listen).expect("send");
            let shell =
                start(settings, sockets, logs::silent()).expect("start");
            let watch = |shell: &lagoondyke_node::shell::Shell| {
                if flag.load(Ordering::Relaxed) {
                    shell.abandon();
                }
            };
            shell.run(watch).await;
        });
    });
    let callers = callers.recv().expect("address");
    Node { callers, stop, thread: Some(thread) }
}

fn ask(node: &Node, request: &[u8]) -> (u16, String, String) {
    let mut stream = TcpStream::connect(node.callers).expect("connect");
    // A refusal may arrive before all of the request is written.
    let _ = stream.write_all(request);
    let text = read_http(&mut stream);
    let (head, body) = text.split_once("\r\n\r\n").expect("head");
    let status = head.split(' ').nth(1).expect("status");
    (status.parse().expect("status"), head.to_owned(), body.to_owned())
}

/// Guards against malformed or oversized requests that are forwarded, and
/// against refusals without the problem document of a request that did not
/// run.
#[test]
fn unusable_requests_are_refused_as_not_run() {
    let node = node();
    let post = "POST /x HTTP/1.1\r\nlagoondyke-service: s\r\n";
    let long = format!("{post}a: {}\r\n\r\n", "x".repeat(33 * 1024));
    let many = format!("{post}{}\r\n", "a: b\r\n".repeat(200));
    let table = [
        ("no service", "GET / HTTP/1.1\r\n\r\n", 400),
        ("not HTTP", "hello\r\n\r\n", 400),
        ("long head", &long, 431),
        ("many headers", &many, 431),
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
            "other letters",
            "GET /\u{e9} HTTP/1.1\r\nlagoondyke-service: s\r\n\r\n",
            400,
        ),
        (
            "own path",
            "GET /lagoondyke/grants HTTP/1.1\r\n\
          lagoondyke-service: s\r\n\r\n",
            400,
        ),
        (
            "hidden path",
            "GET /x/..//%6Cagoondyke/grants HTTP/1.1\r\n\
          lagoondyke-service: s\r\n\r\n",
            400,
        ),
    ];
    for (name, request, expected) in table {
        let (status, head, body) = ask(&node, request.as_bytes());
        assert_eq!(status, expected, "{name}: {body}");
        assert!(head.contains("application/problem+json"), "{name}: {head}");
        let problem: Value = serde_json::from_str(&body).expect(name);
        assert_eq!(problem["verdict"], "not-run", "{name}");
        assert_eq!(problem["reason"], "bad-request", "{name}");
        assert_eq!(problem["status"], expected, "{name}");
    }
}

/// Guards against operator endpoints that a caller's service header shadows
/// or that say ready before the node can serve.
#[test]
fn operator_endpoints_answer() {
    let node = node();
    let get = |path: &str| {
        ask(&node, format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
    };
    assert_eq!(get("/lagoondyke/health").0, 200);
    assert_eq!(get("/lagoondyke/ready").0, 503);
    assert_eq!(get("/lagoondyke/none").0, 404);
    let (status, _, body) = get("/lagoondyke/status");
    assert_eq!(status, 200);
    let parsed: Value = serde_json::from_str(&body).expect("status");
    assert_eq!(parsed["config"], 0);
}

/// Guards against callers that exhaust the node's descriptors.
#[test]
fn connections_beyond_the_limit_are_turned_away() {
    let node = node();
    let mut open = Vec::new();
    for _ in 0..lagoondyke_node::serve::CONNECTIONS_MAX {
        let mut stream = TcpStream::connect(node.callers).expect("connect");
        // The answer shows that the connection has been counted.
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
