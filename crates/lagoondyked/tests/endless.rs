//! Answers without end, from the upstream, another node and the store at once.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_core::fleet::gossip::Gossip;
use lagoondyke_core::fleet::table::Instance;
use lagoondyke_platform_standin::deployment::{
    Addresses, configuration, free_gossip_port, headers,
};
use lagoondyke_platform_standin::proxy::{Mode, Proxy};
use lagoondyke_platform_standin::store::Store;
use lagoondyke_platform_standin::upstream::{History, Options, Upstream};
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::call_once;
use lagoondyke_standin::process::Process;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};

/// Memory of the smallest VM.
const MAX_MEMORY_KB: u64 = 160 * 1024;

/// Time limit for a call.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Time for which the answers have no end.
const ENDLESS_MS: u64 = 2_000;

/// Time within which the node serves again.
const RECOVERY_MS: u64 = 10_000;

/// Number of callers at once.
const CALLER_COUNT: usize = 120;

/// Number of slots of the other node's upstream, so that it gets many requests.
const PEER_SLOT_COUNT: u16 = 200;

/// Names of answers without end, how each begins, and how it goes on.
const FORMS: [(&str, &str, &str); 11] = [
    ("no answer", "", "x"),
    ("a status line", "HTTP/1.1 200 ", "OK"),
    ("a header", "HTTP/1.1 200 OK\r\na: ", "b"),
    ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    ("informational answers", "", "HTTP/1.1 103 Early\r\na: b\r\n\r\n"),
    ("a body of a length", LENGTH_HEAD, "x"),
    ("a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("one chunk", ONE_CHUNK_HEAD, "x"),
    ("chunks", CHUNKED_HEAD, "1\r\nx\r\n"),
    ("a chunk extension", EXTENSION_HEAD, "a=b;"),
    ("trailers", TRAILERS_HEAD, "a: b\r\n"),
];

const LENGTH_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n";

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const ONE_CHUNK_HEAD: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffff0\r\n";

const EXTENSION_HEAD: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";

const TRAILERS_HEAD: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";

/// Guards against a node that keeps what a faulty server sends without end, and
/// runs out of memory: all requests on its VM ended with it.
#[test]
fn answers_without_end_leave_a_node_within_its_memory() {
    block_on(async {
        let fleet = Fleet::start().await;
        for (name, begin, rest) in FORMS {
            fleet.set_mode(Mode::Endless(begin, rest));
            let end = monotonic_ms() + ENDLESS_MS;
            let callers = (0..CALLER_COUNT).map(|_| fleet.call_until(end));
            let callers: Vec<_> = callers.map(monoio::spawn).collect();
            for caller in callers {
                caller.await;
            }
            let peak_kb = fleet.peak_kb();
            println!("{name}: {peak_kb} kB");
            assert!(peak_kb <= MAX_MEMORY_KB, "{name}: {peak_kb} kB");
            fleet.set_mode(Mode::Forward);
            let end = monotonic_ms() + RECOVERY_MS;
            while !fleet.is_served().await {
                assert!(monotonic_ms() < end, "not served after {name}");
                sleep_ms(50).await;
            }
        }
    });
}

/// A node, and what answers it: its upstream, another node and the store, each
/// behind a proxy.
struct Fleet {
    node: Process,
    callers: SocketAddr,
    proxies: [Proxy; 3],
    _upstream: Rc<Upstream>,
}

impl Fleet {
    async fn start() -> Self {
        let (store, store_addr) = Store::start().expect("store");
        store.put("config", "main", configuration(1));
        let history = Rc::new(History::default());
        let addresses = Addresses::free(60).expect("addresses");
        let peer = Addresses::free(61).expect("addresses");
        let to_upstream = Proxy::start(addresses.upstream).expect("a proxy");
        let to_store = Proxy::start(store_addr).expect("a proxy");
        let to_peer =
            Proxy::start_on(peer.peers, addresses.upstream).expect("a proxy");
        let options = Options {
            id: "i-0".to_owned(),
            service: "u".to_owned(),
            addr: addresses.upstream,
            announced: to_upstream.addr(),
            node: addresses.announcements,
            keyed: false,
            direct: false,
            service_ms: 1,
            padding_bytes: 0,
        };
        let upstream =
            Upstream::start(options.clone(), &history).expect("upstream");
        let gossip = free_gossip_port(60..62).expect("a port");
        let store_addr = to_store.addr();
        let text = addresses.settings(60, gossip, &options, store_addr);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join("endless.jsonc");
        std::fs::write(&file, text).expect("settings");
        let program = Path::new(env!("CARGO_BIN_EXE_lagoondyked"));
        let args = [Path::new("--fleet"), &file];
        let (callers, time_limit) =
            (addresses.callers, Duration::from_millis(CALL_TIMEOUT_MS));
        let node =
            Process::start(program, args, callers, time_limit).expect("node");
        monoio::spawn(gossip_as_peer(
            peer.ip,
            addresses.ip,
            gossip,
            peer.peers,
        ));
        let proxies = [to_upstream, to_store, to_peer];
        let fleet = Self { node, callers, proxies, _upstream: upstream };
        while !fleet.is_served().await {
            sleep_ms(50).await;
        }
        fleet
    }

    fn set_mode(&self, mode: Mode) {
        for proxy in &self.proxies {
            proxy.set_mode(mode);
        }
    }

    async fn is_served(&self) -> bool {
        call(self.callers).await
    }

    /// Sends requests until `end`.
    fn call_until(&self, end: u64) -> impl Future<Output = ()> + 'static {
        let callers = self.callers;
        async move {
            while monotonic_ms() < end {
                call(callers).await;
            }
        }
    }

    /// The most memory that the node has had so far.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.node.id());
        let text = std::fs::read_to_string(path).expect("the node runs");
        let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let line = line.and_then(|l| l.trim().strip_suffix(" kB"));
        line.and_then(|kb| kb.parse().ok()).expect("a number")
    }
}

/// Sends a request; returns whether it was served.
async fn call(callers: SocketAddr) -> bool {
    let headers = headers("1", "7");
    let get = Method::GET;
    let call = call_once(callers, get, "/ui/", &headers, "", CALL_TIMEOUT_MS);
    call.await.is_ok_and(|reply| reply.ok())
}

/// Sends the gossip of another node, which takes requests at `addr`.
async fn gossip_as_peer(
    from: Ipv4Addr,
    to: Ipv4Addr,
    port: u16,
    addr: SocketAddr,
) {
    let socket = UdpSocket::bind((from, port)).expect("a socket");
    for count in 1.. {
        let gossip = Gossip {
            node: "n61".to_owned(),
            incarnation: 1,
            count,
            peer_port: addr.port(),
            domain: "d0".to_owned(),
            service: "u".to_owned(),
            instance: Some(Instance { id: "i-1".to_owned(), started_ms: 1 }),
            slots: PEER_SLOT_COUNT,
            mean_ms: 1,
            good: 1_000,
            capacity: 1_000.0,
            ..Gossip::default()
        };
        let bytes = gossip.encode().expect("a datagram");
        let _ = socket.send_to(&bytes, (to, port));
        sleep_ms(100).await;
    }
}
