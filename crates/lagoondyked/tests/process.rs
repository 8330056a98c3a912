//! A node as a process: stops, the check of its settings, and its traces.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use http::Method;
use lagoondyke_core::status::Status;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::process::{Process, free_addr};
use lagoondyke_standin::{block_on, store, upstream};
use serde_json::Value;

const BINARY: &str = env!("CARGO_BIN_EXE_lagoondyked");

/// Time limit for a call, far longer than any takes.
const CALL_TIMEOUT_MS: u64 = 60_000;

const CONFIG: &str = "{\"operator\":\"o\",\"domains\":{\"d\":{}},\
    \"services\":{\"s\":{\"keyed\":true,\"shards\":8}}}";

const HEADERS: [(&str, &str); 3] = [
    ("lagoondyke-service", "s"),
    ("lagoondyke-key", "k"),
    ("lagoondyke-deadline", "60000"),
];

/// A running node; dropping it removes its files.
struct Node {
    process: Process,
    /// Address on which it accepts requests of callers.
    callers: SocketAddr,
    /// Its settings file.
    file: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("traces"));
    }
}

/// Starts a node with its own store, and waits until it holds a lease.
async fn start_node(upstream: SocketAddr) -> Node {
    let store = store::start(0).expect("store");
    let name = "/objects/config/o";
    let create = [("if-none-match", "*")];
    let put =
        call_once(store, Method::PUT, name, &create, CONFIG, CALL_TIMEOUT_MS);
    assert!(put.await.expect("store").ok());
    let (addr, callers) = (free_addr().unwrap(), free_addr().unwrap());
    let base = format!("{}/{addr}", env!("CARGO_TARGET_TMPDIR"));
    let text = format!(
        "{{\"addr\":\"{addr}\",\"listen\":\"{callers}\",\"domain\":\"d\",\
         \"operator\":\"o\",\"service\":\"s\",\"store\":\"{store}\",\
         \"upstream\":{{\"name\":\"u\",\"addr\":\"{upstream}\",\
         \"slots\":4,\"connections\":10}},\
         \"log\":{{\"traces\":\"{base}.traces\"}}}}"
    );
    let file = PathBuf::from(format!("{base}.json"));
    std::fs::write(&file, text).expect("settings");
    let args = [Path::new("--settings"), &file];
    let time_limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let process = Process::start(Path::new(BINARY), args, callers, time_limit)
        .expect("node");
    let node = Node { process, callers, file };
    while !get(&node, "/lagoondyke/ready").await.ok() {
        pause().await;
    }
    node
}

async fn get(node: &Node, path: &str) -> lagoondyke_standin::server::Reply {
    let call =
        call_once(node.callers, Method::GET, path, &[], "", CALL_TIMEOUT_MS);
    call.await.expect("the node answers")
}

async fn get_status(node: &Node) -> Status {
    get(node, "/lagoondyke/status").await.parse_json().expect("status")
}

async fn pause() {
    monoio::time::sleep(Duration::from_millis(5)).await;
}

/// Waits until the upstream runs a request.
async fn wait_until_busy(node: &Node) {
    while get_status(node).await.busy == 0 {
        pause().await;
    }
}

/// Waits until the process has exited, and returns its exit status.
async fn wait_for_exit(node: &mut Node) -> Option<i32> {
    loop {
        if let Some(status) = node.process.status().expect("status") {
            return status.code();
        }
        pause().await;
    }
}

/// Guards against a graceful stop that aborts a request in flight.
#[test]
fn a_stop_finishes_requests_in_flight() {
    block_on(async {
        let options =
            upstream::Options { service_ms: 500, ..Default::default() };
        let mut node = start_node(upstream::start(options).unwrap()).await;
        let callers = node.callers;
        let request = monoio::spawn(async move {
            let (post, body) = (Method::POST, "body");
            call_once(callers, post, "/work", &HEADERS, body, CALL_TIMEOUT_MS)
                .await
        });
        wait_until_busy(&node).await;
        node.process.terminate().expect("signal");
        let reply = request.await.expect("an answer");
        assert!(reply.has_status(200), "{reply:?}");
        assert_eq!(reply.body, "body");
        assert_eq!(wait_for_exit(&mut node).await, Some(0));
    });
}

/// Guards against a node that cannot be stopped while its upstream hangs.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    block_on(async {
        let options =
            upstream::Options { service_ms: 60_000, ..Default::default() };
        let mut node = start_node(upstream::start(options).unwrap()).await;
        let callers = node.callers;
        let request = monoio::spawn(async move {
            let get = Method::GET;
            call_once(callers, get, "/work", &HEADERS, "", CALL_TIMEOUT_MS)
                .await
        });
        wait_until_busy(&node).await;
        node.process.terminate().expect("signal");
        // A second signal could be missed while the first is being handled.
        while !get_status(&node).await.leaving {
            pause().await;
        }
        node.process.terminate().expect("signal");
        assert_eq!(wait_for_exit(&mut node).await, Some(1));
        assert!(request.await.is_err());
    });
}

/// Guards against a settings error that is reported without its position.
#[test]
fn check_names_the_place_of_an_error() {
    let file = format!("{}/check.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, "{\n  // one\n  \"adr\": 1\n}").expect("settings");
    let output = Command::new(BINARY)
        .args(["--check", "--settings", &file])
        .output()
        .expect("node");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("line 3, column 3"), "{text}");
}

/// Guards against a request that keeps running after its caller has closed
/// the connection.
#[test]
fn a_caller_that_leaves_cancels_its_request() {
    block_on(async {
        let options =
            upstream::Options { service_ms: 60_000, ..Default::default() };
        let node = start_node(upstream::start(options).unwrap()).await;
        let get = Method::GET;
        let request = call_once(
            node.callers,
            get,
            "/work",
            &HEADERS,
            "",
            CALL_TIMEOUT_MS,
        );
        monoio::select! {
            _ = request => panic!("the request has no answer"),
            () = wait_until_busy(&node) => {}
        }
        // The upstream would answer only after 60 s.
        while get_status(&node).await.busy > 0 {
            pause().await;
        }
    });
}

/// Guards against spans that are lost at a stop, and against spans that are
/// not part of the caller's trace.
#[test]
fn spans_continue_the_callers_trace() {
    block_on(async {
        let options = upstream::Options::default();
        let mut node = start_node(upstream::start(options).unwrap()).await;
        let trace = "0af7651916cd43dd8448eb211c80319c";
        let parent = format!("00-{trace}-b7ad6b7169203331-01");
        let mut headers = HEADERS.to_vec();
        headers.push(("traceparent", &parent));
        let (get, callers) = (Method::GET, node.callers);
        let call =
            call_once(callers, get, "/work", &headers, "", CALL_TIMEOUT_MS);
        assert!(call.await.expect("an answer").has_status(200));
        node.process.terminate().expect("signal");
        assert_eq!(wait_for_exit(&mut node).await, Some(0));
        let file = node.file.with_extension("traces");
        let text = std::fs::read_to_string(file).expect("traces");
        let mut spans = Vec::new();
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).expect("JSON");
            let scope = &line["resourceSpans"][0]["scopeSpans"][0];
            spans.extend(scope["spans"].as_array().expect("spans").clone());
        }
        let find = |name: &str| {
            let mut all = spans.iter();
            all.find(|span| span["name"] == name).expect("span").clone()
        };
        let (ingress, dispatch) = (find("ingress"), find("dispatch"));
        assert_eq!(ingress["traceId"], trace);
        assert_eq!(ingress["parentSpanId"], "b7ad6b7169203331");
        assert_eq!(dispatch["traceId"], trace);
        assert_eq!(dispatch["parentSpanId"], ingress["spanId"]);
    });
}
