//! Tests of the peer protocol over real sockets: the client against scripted
//! peers, and a node against scripted frames.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::common::{call, far_deadline, run, server, start_node};
use http::Method;
use lagoondyke_core::id::NodeAddr;
use lagoondyke_core::peer::{AnswerFrame, Frame, decode, encode};
use lagoondyke_core::verdict::{Reason, Verdict};
use lagoondyke_node::clock;
use lagoondyke_node::frames::request_frame;
use lagoondyke_node::message::Reply;
use lagoondyke_node::peers::TcpPeers;
use lagoondyke_node::ports::{Forward, Local, Peers};
use lagoondyke_node::serve::Limits;

type Script = fn(u64) -> Vec<u8>;

fn read_frame(stream: &mut TcpStream) -> Option<(Frame, Vec<u8>)> {
    let mut size = [0; 4];
    stream.read_exact(&mut size).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
    stream.read_exact(&mut bytes).ok()?;
    let (frame, body) = decode(&bytes).expect("frame");
    Some((frame, body.to_vec()))
}

fn request_id(stream: &mut TcpStream) -> u64 {
    match read_frame(stream) {
        Some((Frame::Request(request), _)) => request.id,
        other => panic!("expected a request, got {other:?}"),
    }
}

fn answer_bytes(id: u64, body: &[u8]) -> Vec<u8> {
    let (headers, scope, shard) = (Vec::new(), None, None);
    let frame = AnswerFrame { id, status: 200, headers, scope, shard };
    encode(&Frame::Answer(frame), body).expect("encode")
}

fn forward(peers: &TcpPeers, to: std::net::SocketAddr) -> Local<Reply> {
    let call = call(Method::POST, "/x", b"body");
    let (to, deadline) = (NodeAddr(to), far_deadline());
    peers.forward(Forward { to, call, deadline, trace: None })
}

fn refusal_of(reply: Reply) -> (Reason, Verdict) {
    let refusal = reply.expect_err("a refusal");
    (refusal.reason, refusal.verdict)
}

/// Guards against answers that reach the wrong request when a peer answers out
/// of order or with the id of no request.
#[test]
fn answers_out_of_order_reach_their_requests() {
    let (addr, peer) = server(|listener| {
        let (mut stream, _) = listener.accept().expect("accept");
        let mut ids = Vec::new();
        for _ in 0..3 {
            ids.push(request_id(&mut stream));
        }
        let mut bytes = answer_bytes(999, b"nobody");
        for (index, id) in ids.iter().enumerate().rev() {
            bytes.extend(answer_bytes(*id, index.to_string().as_bytes()));
        }
        stream.write_all(&bytes).expect("write");
    });
    let bodies = run(async {
        let peers = TcpPeers::new();
        let (a, b, c) = monoio::join!(
            forward(&peers, addr),
            forward(&peers, addr),
            forward(&peers, addr)
        );
        [a, b, c].map(|reply| reply.expect("an answer").body)
    });
    assert_eq!(bodies, ["0", "1", "2"]);
    peer.join().expect("peer");
}

/// Guards against a wrong verdict when the peer or its connection fails.
#[test]
fn failures_carry_the_right_verdict() {
    let lost = (Reason::ConnectionLost, Verdict::MayHaveRun);
    let cases: [(&str, Script, (Reason, Verdict)); 4] = [
        ("closed", |_| Vec::new(), lost),
        ("cut answer", |id| answer_bytes(id, b"123456")[..12].to_vec(), lost),
        ("oversized", |_| u32::MAX.to_be_bytes().to_vec(), lost),
        ("malformed", |_| vec![0, 0, 0, 5, 0, 0, 0, 1, 250], lost),
    ];
    for (name, script, expected) in cases {
        let (addr, peer) = server(move |listener| {
            let (mut stream, _) = listener.accept().expect("accept");
            let id = request_id(&mut stream);
            stream.write_all(&script(id)).expect("write");
        });
        let reply = run(async { forward(&TcpPeers::new(), addr).await });
        assert_eq!(refusal_of(reply), expected, "{name}");
        peer.join().expect("peer");
    }
    let addr = crate::common::refusing_addr();
    let reply = run(async { forward(&TcpPeers::new(), addr).await });
    assert_eq!(refusal_of(reply), (Reason::ConnectFailed, Verdict::NotRun));
}

/// Guards against a peer that keeps running a request whose caller has
/// disconnected, and against a lost connection that is never reopened.
#[test]
fn a_dropped_request_is_cancelled_and_a_lost_connection_is_reopened() {
    let (addr, peer) = server(|listener| {
        let (mut stream, _) = listener.accept().expect("accept");
        let id = request_id(&mut stream);
        let next = request_id(&mut stream);
        stream.write_all(&answer_bytes(next, b"second")).expect("write");
        let (frame, _) = read_frame(&mut stream).expect("frame");
        assert_eq!(frame, Frame::Cancel { id });
        drop(stream);
        let (mut stream, _) = listener.accept().expect("accept");
        let id = request_id(&mut stream);
        stream.write_all(&answer_bytes(id, b"third")).expect("write");
    });
    run(async {
        let peers = TcpPeers::new();
        let first = forward(&peers, addr);
        let second = forward(&peers, addr);
        monoio::select! {
            biased;
            _ = first => panic!("the first request has no answer"),
            reply = second => {
                assert_eq!(reply.expect("an answer").body, "second");
            }
        }
        loop {
            // Until the client detects the loss, requests fail on the old
            // connection.
            match forward(&peers, addr).await {
                Ok(answer) => break assert_eq!(answer.body, "third"),
                Err(refusal) => {
                    assert_eq!(refusal.reason, Reason::ConnectionLost);
                }
            }
        }
    });
    peer.join().expect("peer");
}

fn send_frame(stream: &mut TcpStream, frame: &Frame) {
    let bytes = encode(frame, b"").expect("encode");
    stream.write_all(&bytes).expect("write");
}

/// Guards against peers that exhaust a node's descriptors and memory, and
/// against refusals at the limits that do not say that the request has not
/// run.
#[test]
fn requests_of_peers_beyond_the_limits_are_refused_as_not_run() {
    let cases = [
        ("connections", Limits { peer_connections: 1, ..Limits::default() }),
        ("requests", Limits { peer_requests: 0, ..Limits::default() }),
    ];
    for (name, limits) in cases {
        let node = start_node(limits);
        let _first = TcpStream::connect(node.addr).expect("connect");
        let mut stream = TcpStream::connect(node.addr).expect("connect");
        let call = call(Method::GET, "/x", b"");
        let (to, deadline) = (NodeAddr(node.addr), far_deadline());
        let forward = Forward { to, call, deadline, trace: None };
        let frame = request_frame(7, &forward, clock::now());
        send_frame(&mut stream, &frame);
        match read_frame(&mut stream) {
            Some((Frame::Refused { id: 7, refusal }, _)) => {
                assert_eq!(refusal.reason, Reason::Overloaded, "{name}");
                assert_eq!(refusal.verdict, Verdict::NotRun, "{name}");
            }
            other => panic!("{name}: expected a refusal, got {other:?}"),
        }
    }
}

/// Guards against one malformed request that closes the connection and thereby
/// fails all other requests on it.
#[test]
fn a_malformed_request_is_refused_by_itself() {
    let node = start_node(Limits::default());
    let mut stream = TcpStream::connect(node.addr).expect("connect");
    for path in ["", "/\u{e9}", "/a b"] {
        let call = call(Method::GET, path, b"");
        let (to, deadline) = (NodeAddr(node.addr), far_deadline());
        let forward = Forward { to, call, deadline, trace: None };
        let frame = request_frame(7, &forward, clock::now());
        send_frame(&mut stream, &frame);
        match read_frame(&mut stream) {
            Some((Frame::Refused { id: 7, refusal }, _)) => {
                assert_eq!(refusal.reason, Reason::BadRequest);
                assert_eq!(refusal.verdict, Verdict::NotRun);
            }
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
    let operator = "o".to_owned();
    send_frame(&mut stream, &Frame::FetchConfig { id: 8, operator });
    let (frame, body) = read_frame(&mut stream).expect("an answer");
    assert_eq!(frame, Frame::Config { id: 8, version: 0 });
    assert!(body.is_empty());
}

/// Guards against requests that wait for a hung peer until their deadline, and
/// against a slow peer that is taken for a hung one.
#[test]
fn only_an_unresponsive_peer_is_given_up() {
    let (hung, peer) = server(|listener| {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("accept");
            while read_frame(&mut stream).is_some() {}
        }
        let (mut stream, _) = listener.accept().expect("accept");
        match read_frame(&mut stream) {
            Some((Frame::Ping { id }, _)) => {
                send_frame(&mut stream, &Frame::Pong { id });
            }
            other => panic!("expected a ping, got {other:?}"),
        }
        let id = request_id(&mut stream);
        stream.write_all(&answer_bytes(id, b"thawed")).expect("write");
    });
    run(async {
        let peers = TcpPeers::new();
        let lost = (Reason::ConnectionLost, Verdict::MayHaveRun);
        assert_eq!(refusal_of(forward(&peers, hung).await), lost);
        let unsent = (Reason::ConnectFailed, Verdict::NotRun);
        assert_eq!(refusal_of(forward(&peers, hung).await), unsent);
        let reply = forward(&peers, hung).await;
        assert_eq!(reply.expect("an answer").body, "thawed");
    });
    peer.join().expect("peer");
    let (slow, peer) = server(|listener| {
        let (mut stream, _) = listener.accept().expect("accept");
        let request = request_id(&mut stream);
        // Four intervals between pings are longer than the time after which a
        // hung peer is given up.
        for _ in 0..4 {
            match read_frame(&mut stream) {
                Some((Frame::Ping { id }, _)) => {
                    send_frame(&mut stream, &Frame::Pong { id });
                }
                other => panic!("expected a ping, got {other:?}"),
            }
        }
        stream.write_all(&answer_bytes(request, b"slow")).expect("write");
    });
    let reply = run(async { forward(&TcpPeers::new(), slow).await });
    assert_eq!(reply.expect("an answer").body, "slow");
    peer.join().expect("peer");
}
