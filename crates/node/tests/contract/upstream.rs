//! Tests of the upstream adapter against scripted upstreams.

use std::cell::RefCell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;

use crate::common::{
    accept, call, far_deadline, read_http, run, send, server,
};
use http::Method;
use lagoondyke_core::event::Event;
use lagoondyke_core::id::{Epoch, Fence, Shard};
use lagoondyke_core::settings::UpstreamSettings;
use lagoondyke_core::verdict::{Reason, Verdict};
use lagoondyke_node::message::Reply;
use lagoondyke_node::ports::{Dispatch, Local, Upstream};
use lagoondyke_node::upstream::HttpUpstream;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn upstream(addr: SocketAddr) -> HttpUpstream {
    let name = "u".to_owned();
    let (slots, connections) = (4, 10);
    let settings = UpstreamSettings { name, addr, slots, connections };
    HttpUpstream::new(&settings, "n")
}

fn dispatch(upstream: &HttpUpstream, fence: Option<u32>) -> Local<Reply> {
    let fence =
        fence.map(|sequence| (Shard(7), Fence { epoch: Epoch(3), sequence }));
    let call = call(Method::POST, "/x?y=1", b"body");
    let deadline = far_deadline();
    upstream.run(Dispatch { call, fence, deadline, trace: None })
}

/// Guards against wrong verdicts, and against a truncated answer that is passed
/// on as complete.
#[test]
fn failures_carry_the_right_verdict() {
    let cut = (Reason::AnswerCut, Verdict::MayHaveRun);
    let lost = (Reason::ConnectionLost, Verdict::MayHaveRun);
    let fence = "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 24\r\n\
                 \r\n{\"type\":\"urn:x:fenced\"}\n";
    let cases = [
        ("short body", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n1", cut),
        ("no length", "HTTP/1.1 200 OK\r\n\r\n123", cut),
        (
            "oversized",
            "HTTP/1.1 200 OK\r\ncontent-length: 1048577\r\n\r\n",
            cut,
        ),
        (
            "cut chunk",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12",
            cut,
        ),
        ("not HTTP", "hello\r\n\r\n", cut),
        ("cut head", "HTTP/1.1 200 OK\r\n", lost),
        ("no answer", "", lost),
        ("fence", fence, (Reason::Fenced, Verdict::NotRun)),
    ];
    for (name, text, expected) in cases {
        let (addr, thread) = server(move |listener| {
            let mut stream = accept(&listener);
            read_http(&mut stream);
            send(&mut stream, text);
        });
        let reply = run(async move {
            let upstream = upstream(addr);
            let fence = (name == "fence").then_some(1);
            dispatch(&upstream, fence).await
        });
        let refusal = reply.expect_err(name);
        assert_eq!((refusal.reason, refusal.verdict), expected, "{name}");
        thread.join().expect("server");
    }
    let addr = crate::common::refusing_addr();
    let reply = run(async { dispatch(&upstream(addr), None).await });
    let refusal = reply.expect_err("no upstream");
    assert_eq!(refusal.reason, Reason::ConnectFailed);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

/// Guards against a new connection for each request, and against a request
/// that fails because an idle connection was closed.
#[test]
fn connections_are_reused_and_closed_ones_replaced() {
    let (closed_sender, closed) = mpsc::channel();
    let (addr, thread) = server(move |listener| {
        let mut heads = Vec::new();
        for requests in [2, 1] {
            let mut stream = accept(&listener);
            for _ in 0..requests {
                heads.push(read_http(&mut stream));
                send(&mut stream, OK_RESPONSE);
            }
            drop(stream);
            closed_sender.send(()).expect("send");
        }
        heads
    });
    run(async {
        let upstream = upstream(addr);
        for number in 1..=3 {
            let answer = dispatch(&upstream, Some(9)).await;
            assert_eq!(answer.expect("an answer").body, "ok");
            if number == 2 {
                // The end of the stream has reached the socket by now. The
                // sleep lets the driver poll the socket.
                closed.recv().expect("closed");
                let pause = std::time::Duration::from_millis(1);
                monoio::time::sleep(pause).await;
            }
        }
    });
    let heads = thread.join().expect("server");
    for line in [
        "post /x?y=1 http/1.1",
        "lagoondyke-fence: 3.9",
        "lagoondyke-shard: 7",
        "lagoondyke-deadline: ",
        "\r\n\r\nbody",
    ] {
        assert!(heads[0].contains(line), "{line} in {}", heads[0]);
    }
}

/// Guards against a caller that gets the answer to another request: an
/// upstream writes a second copy of an answer late, on a connection that is in
/// use again.
#[test]
fn a_second_copy_of_an_answer_is_no_answer_to_the_next_request() {
    for copies in 1..=2 {
        let (addr, thread) = server(move |listener| {
            let mut stream = accept(&listener);
            let first = answer_to(&read_http(&mut stream), "1");
            send(&mut stream, &first);
            // The connection is in use again by now.
            let second = answer_to(&read_http(&mut stream), "2");
            for _ in 0..copies {
                send(&mut stream, &first);
            }
            send(&mut stream, &second);
        });
        run(async move {
            let upstream = upstream(addr);
            for body in ["1", "2"] {
                let answer = dispatch(&upstream, None).await;
                assert_eq!(answer.expect("an answer").body, body, "{copies}");
            }
        });
        thread.join().expect("server");
    }
}

/// An answer with this body that names the request with this head.
fn answer_to(head: &str, body: &str) -> String {
    let name = "lagoondyke-request: ";
    let line = head.lines().find(|line| line.starts_with(name));
    let line = line.unwrap_or("lagoondyke-request: none");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Guards against an upstream that keeps running a request whose caller has
/// disconnected.
#[test]
fn a_dropped_request_closes_its_connection() {
    let (arrival_sender, arrival) = mpsc::channel();
    let (addr, thread) = server(move |listener| {
        let mut stream = accept(&listener);
        read_http(&mut stream);
        arrival_sender.send(()).expect("send");
        stream.read(&mut [0]).unwrap_or(0)
    });
    run(async {
        let upstream = upstream(addr);
        let seen = async {
            while arrival.try_recv().is_err() {
                let pause = std::time::Duration::from_millis(1);
                monoio::time::sleep(pause).await;
            }
        };
        monoio::select! {
            _ = dispatch(&upstream, None) => panic!("there is no answer"),
            () = seen => {}
        }
    });
    assert_eq!(thread.join().expect("server"), 0);
}

/// Guards against a request that reaches the upstream before its fencing token
/// is installed.
#[test]
fn a_fence_is_installed_before_its_first_use() {
    let (addr, thread) = server(|listener| {
        let mut grants = accept(&listener);
        let mut seen = vec![read_http(&mut grants)];
        send(&mut grants, "HTTP/1.1 204 No Content\r\n\r\n");
        let mut stream = accept(&listener);
        seen.push(read_http(&mut stream));
        send(&mut stream, OK_RESPONSE);
        seen
    });
    run(async {
        let upstream = upstream(addr);
        let fence = Fence { epoch: Epoch(3), sequence: 9 };
        upstream.grant(vec![(Shard(7), fence)], far_deadline());
        dispatch(&upstream, Some(9)).await.expect("an answer");
    });
    let seen = thread.join().expect("server");
    assert!(seen[0].starts_with("put /lagoondyke/grants http/1.1"));
    assert!(seen[0].contains("\"shards\":[[7,3,9]]}"), "{}", seen[0]);
    assert!(seen[1].starts_with("post /x"));
}

/// Guards against a fencing token that counts as installed although the
/// upstream has not taken it: a late second copy of the answer to a grant is
/// taken for the answer to the next one.
#[test]
fn a_second_copy_of_an_answer_confirms_no_later_grant() {
    let (seen_sender, seen) = mpsc::channel();
    let (addr, thread) = server(move |listener| {
        let mut grants = accept(&listener);
        let first = answer_to(&read_http(&mut grants), "");
        send(&mut grants, &first);
        let second = answer_to(&read_http(&mut grants), "");
        send(&mut grants, &first);
        listener.set_nonblocking(true).expect("a listener");
        std::thread::sleep(std::time::Duration::from_millis(200));
        seen_sender.send(listener.accept().is_ok()).expect("send");
        send(&mut grants, &second);
    });
    run(async {
        let upstream = upstream(addr);
        for sequence in [8, 9] {
            let fence = Fence { epoch: Epoch(3), sequence };
            upstream.grant(vec![(Shard(7), fence)], far_deadline());
            let pause = std::time::Duration::from_millis(50);
            monoio::time::sleep(pause).await;
        }
        let run = dispatch(&upstream, Some(9));
        let time_limit = std::time::Duration::from_millis(500);
        let _ = monoio::time::timeout(time_limit, run).await;
    });
    let is_sent = seen.recv().expect("seen");
    assert!(!is_sent, "a request went out before its token was installed");
    thread.join().expect("server");
}

fn crash_on_request(listener: TcpListener) -> SocketAddr {
    let addr = listener.local_addr().expect("address");
    let mut stream = accept(&listener);
    read_http(&mut stream);
    drop((listener, stream));
    addr
}

/// Guards against a crash that is reported to the reducer only after the
/// requests in flight have failed, so that it cannot tell which requests may
/// have caused the crash.
#[test]
fn a_crash_is_reported_before_the_requests_it_ended() {
    let (addr, thread) = server(crash_on_request);
    let seen = Rc::new(RefCell::new(Vec::new()));
    let events = Rc::clone(&seen);
    run(async move {
        let upstream = upstream(addr);
        let sink = Rc::clone(&events);
        upstream.watch(Rc::new(move |event| {
            let name = match event {
                Event::UpstreamUp => "up",
                Event::UpstreamDown => "down",
                _ => "other",
            };
            sink.borrow_mut().push(name);
        }));
        // Otherwise, the first probe may run only after the crash.
        while events.borrow().is_empty() {
            let pause = std::time::Duration::from_millis(1);
            monoio::time::sleep(pause).await;
        }
        let reply = dispatch(&upstream, None).await;
        assert_eq!(reply.expect_err("lost").reason, Reason::ConnectionLost);
        events.borrow_mut().push("lost");
    });
    thread.join().expect("server");
    assert_eq!(*seen.borrow(), ["up", "down", "lost"]);
}
