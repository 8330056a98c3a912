//! Graceful stop of a node of a fleet, as its callers see it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_platform_standin::deployment::{
    Addresses, configuration, free_gossip_port, headers,
};
use lagoondyke_platform_standin::store::Store;
use lagoondyke_platform_standin::upstream::{History, Options, Upstream};
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::process::Process;
use lagoondyke_standin::time::sleep_ms;

/// Time limit for a call, far longer than any takes.
const CALL_TIMEOUT_MS: u64 = 60_000;

/// Size of an answer, larger than the kernel buffers of a connection.
const ANSWER_BYTES: usize = 12 * 1024 * 1024;

/// Time after the signal for which the caller reads nothing. At its end the
/// node accepts no more requests, and the grace period of 6 s has not ended.
const READ_DELAY_MS: u64 = 3_500;

/// Guards against a truncated answer: the node exits while it has yet to write
/// the last bytes to a slow caller.
#[test]
fn a_stop_waits_until_a_slow_caller_has_its_answer() {
    block_on(async {
        let (mut node, callers) = start_node(40, 1, ANSWER_BYTES).await;
        let mut caller = send_request(callers, "1", "/ui/");
        sleep_ms(500).await;
        node.terminate().expect("signal");
        sleep_ms(READ_DELAY_MS).await;
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).expect("an answer");
        let text = String::from_utf8_lossy(&answer);
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.len(), "answer to 1".len() + ANSWER_BYTES);
    });
}

/// Size of an answer that fits into the kernel buffers of a connection.
const BUFFERED_BYTES: usize = 1024 * 1024;

/// Guards against an answer that is lost although it was written: the node
/// exits, and bytes of its caller that arrive later reset the connection.
#[test]
fn a_stop_waits_until_the_last_answers_have_arrived() {
    block_on(async {
        let (mut node, callers) = start_node(41, 500, BUFFERED_BYTES).await;
        node.terminate().expect("signal");
        // The last time at which requests are accepted is 2.3 s.
        sleep_ms(2_000).await;
        let mut caller = send_request(callers, "1", "/ui/");
        // The answer is written after 0.5 s, when nothing else is left to do.
        sleep_ms(750).await;
        // A pipelined request, which may get no answer.
        let _ = caller.write_all(b"GET /ui/ HTTP/1.1\r\n");
        sleep_ms(250).await;
        let mut answer = Vec::new();
        let end = caller.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let whole = "answer to 1".len() + BUFFERED_BYTES;
        assert_eq!(body.len(), whole, "{end:?}");
    });
}

/// Guards against a connection that is closed as idle in a stop while its
/// request is being received.
#[test]
fn a_stop_waits_for_the_rest_of_a_request() {
    block_on(async {
        let (mut node, callers) = start_node(42, 1, 0).await;
        let mut caller = TcpStream::connect(callers).expect("a connection");
        node.terminate().expect("signal");
        sleep_ms(1_200).await;
        let lines = headers("1", "7")
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let head = format!(
            "POST /ui/ HTTP/1.1\r\ncontent-length: 4\r\n{}\r\nbo",
            lines.concat()
        );
        caller.write_all(head.as_bytes()).expect("the head is sent");
        sleep_ms(950).await;
        caller.write_all(b"dy").expect("the rest is sent");
        // The upstream runs on this thread, which the read blocks.
        sleep_ms(300).await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

/// Starts a node of a service without keys on the VM with this index, and
/// waits until it serves. Its upstream takes `service_ms` for a request and
/// appends `padding` bytes to each answer.
async fn start_node(
    index: usize,
    service_ms: u64,
    padding: usize,
) -> (Process, SocketAddr) {
    let (store, store_addr) = Store::start().expect("store");
    store.put("config", "main", configuration(1));
    let history = Rc::new(History::default());
    let addresses = Addresses::free(index).expect("addresses");
    let options = Options {
        id: "i-0".to_owned(),
        service: "u".to_owned(),
        addr: addresses.upstream,
        announced: addresses.upstream,
        node: addresses.announcements,
        keyed: false,
        direct: false,
        service_ms,
        padding_bytes: padding,
    };
    Upstream::start(options.clone(), &history).expect("upstream");
    let gossip = free_gossip_port(index..index + 1).expect("a port");
    let text = addresses.settings(index, gossip, &options, store_addr);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("stop-{index}.jsonc"));
    std::fs::write(&file, text).expect("settings");
    let program = Path::new(env!("CARGO_BIN_EXE_lagoondyked"));
    let args = [Path::new("--fleet"), &file];
    let (callers, time_limit) =
        (addresses.callers, Duration::from_millis(CALL_TIMEOUT_MS));
    let node =
        Process::start(program, args, callers, time_limit).expect("node");
    loop {
        let headers = headers("0", "7");
        let get = Method::GET;
        let call =
            call_once(callers, get, "/ui/", &headers, "", CALL_TIMEOUT_MS);
        if call.await.is_ok_and(|reply| reply.ok()) {
            return (node, callers);
        }
        sleep_ms(50).await;
    }
}

/// Sends a request and reads nothing.
fn send_request(callers: SocketAddr, id: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let lines =
        headers(id, "7").map(|(name, value)| format!("{name}: {value}\r\n"));
    let head = format!("GET {path} HTTP/1.1\r\n{}\r\n", lines.concat());
    stream.write_all(head.as_bytes()).expect("the request is sent");
    stream
}
