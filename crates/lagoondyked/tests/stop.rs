//! A planned stop of a fleet's node, seen by its callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_platform_standin::site::{
    Addresses, configuration, free_port, headers,
};
use lagoondyke_platform_standin::store::Store;
use lagoondyke_platform_standin::upstream::{Options, Record, Upstream};
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::process::Process;
use lagoondyke_standin::time::sleep_ms;

/// Time for a call; far longer than any takes.
const LIMIT: u64 = 60_000;

/// Bytes of an answer: more than the kernel buffers of a connection.
const LARGE: usize = 12 * 1024 * 1024;

/// Time after the signal for which the caller reads nothing, in
/// milliseconds: the node takes no more requests by then, and the grace
/// period of 6 s is not over.
const PAUSE: u64 = 3_500;

/// Guards against an answer that is cut off because the node ends while its
/// last bytes are still to be written.
#[test]
fn a_stop_waits_until_a_slow_caller_has_its_answer() {
    block_on(async {
        let (mut node, callers) = node().await;
        let mut caller = request(callers, "1", "/ui/");
        sleep_ms(500).await;
        node.terminate().expect("signal");
        sleep_ms(PAUSE).await;
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).expect("an answer");
        let text = String::from_utf8_lossy(&answer);
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.len(), "answer to 1".len() + LARGE);
    });
}

/// Starts a node of a service without keys, and waits until it serves.
async fn node() -> (Process, SocketAddr) {
    let (store, store_addr) = Store::start().expect("store");
    store.put("config", "main", configuration(1));
    let record = Rc::new(Record::default());
    let addresses = Addresses::free(40).expect("addresses");
    let options = Options {
        id: "i-0".to_owned(),
        service: "u".to_owned(),
        addr: addresses.upstream,
        announced: addresses.upstream,
        node: addresses.announcements,
        keyed: false,
        work: 1,
        padding: LARGE,
    };
    Upstream::start(options.clone(), &record).expect("upstream");
    let gossip = free_port(1).expect("a port");
    let text = addresses.settings(40, gossip, &options, store_addr);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("stop.jsonc");
    std::fs::write(&file, text).expect("settings");
    let program = Path::new(env!("CARGO_BIN_EXE_lagoondyked"));
    let args = [Path::new("--fleet"), &file];
    let (callers, limit) = (addresses.callers, Duration::from_millis(LIMIT));
    let node = Process::start(program, args, callers, limit).expect("node");
    loop {
        let headers = headers("0", "7");
        let get = Method::GET;
        let call = call_once(callers, get, "/ui/", &headers, "", LIMIT);
        if call.await.is_ok_and(|reply| reply.ok()) {
            return (node, callers);
        }
        sleep_ms(50).await;
    }
}

/// Sends a request and reads nothing.
fn request(callers: SocketAddr, id: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let lines =
        headers(id, "7").map(|(name, value)| format!("{name}: {value}\r\n"));
    let head = format!("GET {path} HTTP/1.1\r\n{}\r\n", lines.concat());
    stream.write_all(head.as_bytes()).expect("the request is sent");
    stream
}
