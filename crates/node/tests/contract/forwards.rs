//! Forwarded requests over connections that have gone silent. A connection on
//! which nothing is read stands in for a silent one: what exceeds the receive
//! buffer, which is small here, is not acknowledged.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use lagoondyke_core::fleet::event::Order;
use lagoondyke_core::verdict::Reason;
use lagoondyke_node::fleet::message::Call;
use lagoondyke_node::fleet::peers::{ForwardResult, PeerClient};
use lagoondyke_node::fleet::ports::RequestMeta;

use crate::common::{accept, read_http, run, server};

/// Size of a body that a receive buffer does not hold, but a send buffer does.
const LARGE_BYTES: usize = 40 * 1024;

/// Size of a receive buffer. The system doubles it.
const RECEIVE_BUFFER_BYTES: libc::c_int = 4 * 1024;

/// Size of a body that takes longer to send than a connection may be silent.
const SLOW_BYTES: usize = 8 * 1024 * 1024;

const ANSWER: &str = "HTTP/1.1 200 OK\r\nlagoondyke-load: \
    {\"inflight\":0,\"mean_ms\":1}\r\ncontent-length: 2\r\n\r\nok";

const CONFIRMED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

const DENIED: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";

/// Like [`server`], with small receive buffers.
fn small_server<T: Send + 'static>(
    script: impl FnOnce(TcpListener) -> T + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    // SAFETY: the descriptor is open, and the value is of the size given.
    let code = unsafe {
        libc::setsockopt(
            listener.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_RCVBUF,
            std::ptr::from_ref(&RECEIVE_BUFFER_BYTES).cast(),
            size_of_val(&RECEIVE_BUFFER_BYTES) as libc::socklen_t,
        )
    };
    assert_eq!(code, 0, "the size of the buffer is set");
    let addr = listener.local_addr().expect("address");
    (addr, std::thread::spawn(move || script(listener)))
}

/// Forwards a request with a body of this size, which must not run twice.
fn forward(to: SocketAddr, size: usize) -> ForwardResult {
    let call = Call {
        method: Method::POST,
        path: "/p/".to_owned(),
        host: "h".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; size]),
        meta: RequestMeta {
            id: "r1".to_owned(),
            timeout_ms: 5_000,
            key: None,
            credential: None,
        },
        order: None,
    };
    let order = Order {
        service: "s".to_owned(),
        key: None,
        priority: 0,
        idempotent: false,
        budget: 5_000,
        objective: 1_000,
        origin: "o".to_owned(),
        account: None,
    };
    run(async move {
        let client = PeerClient::default();
        client.forward(to, Rc::new(call), order).await
    })
}

/// Reads a request with a large body; returns its head, in lower case.
fn read_large(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    let mut body = vec![0; LARGE_BYTES];
    stream.read_exact(&mut body).expect("a body");
    String::from_utf8(head).expect("text").to_lowercase()
}

/// The id under which a request may be withdrawn.
fn forward_id(head: &str) -> String {
    let name = "lagoondyke-forward: ";
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.expect("an id").to_owned()
}

/// Guards against a request that waits for a silent connection until it is
/// lost, although it has not arrived and could be sent again.
#[test]
fn a_request_on_a_silent_connection_is_sent_again() {
    let (addr, thread) = small_server(|listener| {
        let silent = accept(&listener);
        let mut stream = accept(&listener);
        let withdrawal = read_http(&mut stream);
        stream.write_all(CONFIRMED.as_bytes()).expect("send");
        let head = read_large(&mut stream);
        stream.write_all(ANSWER.as_bytes()).expect("send");
        drop(silent);
        (withdrawal, head)
    });
    let result = forward(addr, LARGE_BYTES);
    assert_eq!(result.reply.expect("an answer").body, "ok");
    assert_eq!(result.resends, 1);
    let (withdrawal, head) = thread.join().expect("server");
    assert!(withdrawal.starts_with("post /lagoondyke/withdrawals "));
    let (_, withdrawn) = withdrawal.split_once("\r\n\r\n").expect("a body");
    // The second copy is another request to the node, which drops the first.
    assert_ne!(withdrawn, forward_id(&head));
}

/// Guards against a request that runs twice: the node does not confirm that
/// the first copy has not arrived, or does not answer.
#[test]
fn a_request_that_may_have_arrived_is_not_sent_again() {
    for answer in [DENIED, "", "HTTP/1.1 404 Not Found\r\n\r\n"] {
        let (addr, thread) = small_server(move |listener: TcpListener| {
            let mut slow = accept(&listener);
            let mut stream = accept(&listener);
            read_http(&mut stream);
            stream.write_all(answer.as_bytes()).expect("send");
            if answer.is_empty() {
                drop(stream);
            }
            read_large(&mut slow);
            slow.write_all(ANSWER.as_bytes()).expect("send");
            listener.set_nonblocking(true).expect("a listener");
            std::thread::sleep(Duration::from_millis(50));
            listener.accept().is_ok()
        });
        let result = forward(addr, LARGE_BYTES);
        assert_eq!(result.reply.expect("an answer").body, "ok", "{answer}");
        assert_eq!(result.resends, 0, "{answer}");
        assert!(!thread.join().expect("server"), "{answer}");
    }
}

/// Guards against a withdrawal of each request that runs for long, although
/// the other side has acknowledged it.
#[test]
fn a_request_that_is_acknowledged_is_not_withdrawn() {
    let (addr, thread) = server(|listener: TcpListener| {
        let mut stream = accept(&listener);
        read_http(&mut stream);
        std::thread::sleep(Duration::from_millis(800));
        stream.write_all(ANSWER.as_bytes()).expect("send");
        listener.set_nonblocking(true).expect("a listener");
        listener.accept().is_ok()
    });
    let result = forward(addr, 10);
    assert_eq!(result.reply.expect("an answer").body, "ok");
    assert!(!thread.join().expect("server"), "there was a withdrawal");
}

/// Guards against a large request that is withdrawn while it is still being
/// sent, as the send queue is as full as before.
#[test]
fn a_request_that_takes_long_to_send_is_not_withdrawn() {
    let (addr, thread) = server(|listener: TcpListener| {
        let mut stream = accept(&listener);
        let mut chunk = vec![0; 128 * 1024];
        let mut count = 0;
        while count < SLOW_BYTES {
            count += stream.read(&mut chunk).expect("a body");
            std::thread::sleep(Duration::from_millis(10));
        }
        stream.write_all(ANSWER.as_bytes()).expect("send");
        listener.set_nonblocking(true).expect("a listener");
        listener.accept().is_ok()
    });
    let result = forward(addr, SLOW_BYTES);
    assert_eq!(result.reply.expect("an answer").body, "ok");
    assert!(!thread.join().expect("server"), "there was a withdrawal");
}

/// Guards against a request that is sent again and again while every
/// connection is silent.
#[test]
fn a_request_is_sent_again_a_few_times_only() {
    let (addr, thread) = small_server(|listener: TcpListener| {
        let mut silent = vec![accept(&listener)];
        let mut withdrawals = 0;
        // Each withdrawal comes over a new connection, over which the request
        // is sent again, and not read.
        listener.set_nonblocking(true).expect("a listener");
        let end = std::time::Instant::now() + Duration::from_secs(4);
        while std::time::Instant::now() < end {
            let Ok((mut stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            read_http(&mut stream);
            withdrawals += 1;
            stream.write_all(CONFIRMED.as_bytes()).expect("send");
            silent.push(stream);
        }
        withdrawals
    });
    let result = forward(addr, LARGE_BYTES);
    let refusal = result.reply.expect_err("there is no answer");
    assert_eq!(refusal.reason, Reason::ConnectionLost);
    assert_eq!(result.resends, 2);
    assert_eq!(thread.join().expect("server"), 2);
}
