//! A runtime, requests, scripted servers and a node for the contract tests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lagoondyke_core::clock::Millis;
use lagoondyke_core::id::Fingerprint;
use lagoondyke_core::settings::Settings;
use lagoondyke_node::message::Call;
use lagoondyke_node::run::{Sockets, start};
use lagoondyke_node::serve::Limits;
use lagoondyke_node::shell::Shell;
use lagoondyke_node::{clock, logs};
use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to completion on a runtime configured like the node's.
pub fn run<T>(future: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("runtime").block_on(future)
}

/// A request for a service that is not partitioned by key.
pub fn call(method: Method, path: &str, body: &'static [u8]) -> Rc<Call> {
    Rc::new(Call {
        service: "s".to_owned(),
        key: None,
        timeout_ms: 5_000,
        idempotent: false,
        idempotency_key: None,
        scope: None,
        partner: None,
        fingerprint: Fingerprint(1),
        method,
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body),
        trace: None,
    })
}

/// A deadline that no test reaches: a minute from now.
pub fn far_deadline() -> Millis {
    clock::now().plus(60_000)
}

/// Starts a server that runs `script` in a thread of its own; returns its
/// address and the handle with the script's result.
pub fn server<T: Send + 'static>(
    script: impl FnOnce(TcpListener) -> T + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    (addr, std::thread::spawn(move || script(listener)))
}

/// An address that refuses connections. A port that was just closed could be
/// assigned to another test, so this one is below the range from which ports
/// are assigned.
pub fn refusing_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 3))
}

/// Accepts connections until one sends something. Probes send nothing.
pub fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let (stream, _) = listener.accept().expect("accept");
        if stream.peek(&mut [0]).expect("peek") > 0 {
            return stream;
        }
    }
}

/// Reads one HTTP message with the body that `content-length` announces, or
/// what arrives until the connection ends. Returns it in lower case.
pub fn read_http(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next());
            let size = length.map_or(0, |size| size.parse().expect("size"));
            if body.len() >= size {
                return text;
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return text,
            Ok(size) => bytes.extend_from_slice(&chunk[..size]),
        }
    }
}

/// Writes all of `text`.
pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("write");
}

/// A running node whose store and upstream cannot be reached. Dropping it
/// stops the node and panics if the node has panicked.
pub struct Node {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers and control datagrams.
    pub addr: SocketAddr,
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

/// Starts a node on free ports.
pub fn start_node(limits: Limits) -> Node {
    let text = format!(
        "{{\"addr\":\"127.0.0.1:1\",\"listen\":\"127.0.0.1:2\",\
         \"domain\":\"d\",\"operator\":\"o\",\"service\":\"s\",\
         \"upstream\":{{\"name\":\"u\",\"addr\":\"{}\",\"slots\":4,\
         \"connections\":10}},\"store\":\"{}\"}}",
        refusing_addr(),
        refusing_addr()
    );
    let mut settings = Settings::parse(text).expect("settings");
    // The kernel assigns free ports for port 0, which settings files must not
    // contain.
    settings.addr.0.set_port(0);
    settings.listen.set_port(0);
    let stop = Arc::new(AtomicBool::new(false));
    let stop_flag = Arc::clone(&stop);
    let (sender, addresses) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        run(async move {
            let sockets = Sockets::bind(&mut settings).expect("bind");
            let addresses = (settings.listen, settings.addr.0);
            sender.send(addresses).expect("send");
            let shell = start(settings, sockets, logs::discard(), limits)
                .expect("start");
            let poll = |shell: &Shell| {
                if stop_flag.load(Ordering::Relaxed) {
                    shell.force_exit();
                }
            };
            shell.run(poll).await;
        });
    });
    let (callers, addr) = addresses.recv().expect("addresses");
    Node { callers, addr, stop, thread: Some(thread) }
}
