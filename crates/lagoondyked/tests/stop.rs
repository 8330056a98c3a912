//! Graceful stop of a node of a fleet, as its callers see it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_platform_standin::deployment::{
    Addresses, configuration, free_udp_port, headers,
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
        let (mut node, callers) = start_node().await;
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

/// Starts a node of a service without keys, and waits until it serves.
async fn start_node() -> (Process, SocketAddr) {
    let (store, store_addr) = Store::start().expect("store");
    store.put("config", "main", configuration(1));
    let history = Rc::new(History::default());
    let addresses = Addresses::free(40).expect("addresses");
    let options = Options {
        id: "i-0".to_owned(),
        service: "u".to_owned(),
        addr: addresses.upstream,
        announced: addresses.upstream,
        node: addresses.announcements,
        keyed: false,
        direct: false,
        service_ms: 1,
        padding_bytes: ANSWER_BYTES,
    };
    Upstream::start(options.clone(), &history).expect("upstream");
    let gossip = free_udp_port(1).expect("a port");
    let text = addresses.settings(40, gossip, &options, store_addr);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("stop.jsonc");
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
