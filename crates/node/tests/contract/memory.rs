//! The memory of answers that are being read, over many connections at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use crate::common::{call, far_deadline, run, server};
use bytes::{Bytes, BytesMut};
use http::Method;
use lagoondyke_core::peer::{FrameError, MAX_FRAME_BYTES};
use lagoondyke_core::settings::UpstreamSettings;
use lagoondyke_node::budget::Budget;
use lagoondyke_node::fleet::pool::Pool;
use lagoondyke_node::frames::FrameReader;
use lagoondyke_node::http::{ExchangeError, request_line};
use lagoondyke_node::ports::{Dispatch, Upstream};
use lagoondyke_node::upstream::HttpUpstream;
use lagoondyke_node::wire::WireError;
use monoio::net::TcpStream;
use monoio::time::timeout;

/// Time for which an answer is waited for.
const WAIT: Duration = Duration::from_secs(2);

/// Number of exchanges at once over a pool.
const EXCHANGE_COUNT: usize = 40;

/// Memory of a pool's answers.
const POOL_MEMORY: usize = 256 * 1024;

/// Beginning of an answer in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that sends each caller `begin` and `size` more bytes, and
/// then nothing, while the connection is open.
fn stalling_server(
    begin: &str,
    rest: &'static str,
    size: usize,
) -> SocketAddr {
    let begin = begin.to_owned();
    let (addr, _) = server(move |listener: TcpListener| {
        while let Ok((mut stream, _)) = listener.accept() {
            let text = begin.clone() + &rest.repeat(size / rest.len());
            thread::spawn(move || {
                let mut buf = [0; 1024];
                let _ = stream.read(&mut buf);
                let _ = stream.write_all(text.as_bytes());
                while stream.read(&mut buf).is_ok_and(|size| size > 0) {}
            });
        }
    });
    addr
}

/// Guards against answers that take memory beyond what is set aside for all of
/// them, in whichever part of an answer it is.
#[test]
fn answers_that_are_read_share_a_limit_on_memory() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n";
    let chunk = format!("{CHUNKED}fffff\r\n");
    for (name, begin, rest, size) in [
        ("head", "HTTP/1.1 200 OK\r\na: ", "b", 20_000),
        ("body with a length", length, "x", 100_000),
        ("body until the end", "HTTP/1.1 200 OK\r\n\r\n", "x", 100_000),
        ("one chunk", &chunk, "x", 100_000),
        ("chunks", CHUNKED, "1\r\nx\r\n", 600_000),
    ] {
        let addr = stalling_server(begin, rest, size);
        let refused = run(async move {
            let pool = Pool::new(WAIT, 1_000_000, POOL_MEMORY);
            let exchanges = (0..EXCHANGE_COUNT).map(|_| {
                let pool = pool.clone();
                monoio::spawn(async move { is_refused(&pool, addr).await })
            });
            let exchanges: Vec<_> = exchanges.collect();
            let mut refused = 0;
            for exchange in exchanges {
                refused += usize::from(exchange.await);
            }
            refused
        });
        assert!(refused > EXCHANGE_COUNT / 2, "{name}: {refused} refused");
        assert!(refused < EXCHANGE_COUNT, "{name}: all are refused");
    }
}

/// Whether an exchange ends since there is no memory for its answer.
async fn is_refused(pool: &Pool, addr: SocketAddr) -> bool {
    let head = |out: &mut BytesMut| request_line(out, &Method::GET, "/");
    let call = pool.call(addr, 0, &Method::GET, Bytes::new(), head);
    matches!(
        timeout(WAIT, call).await,
        Ok(Err(ExchangeError::Malformed(WireError::BudgetExceeded)))
    )
}

/// Guards against a member of a group whose upstream fills its memory with
/// answers, each of which is within its limit.
#[test]
fn answers_of_a_groups_upstream_share_a_limit_on_memory() {
    let begin = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
    let addr = stalling_server(begin, "x", 900_000);
    let refused = run(async move {
        let name = "u".to_owned();
        let (slots, connections) = (60, 100);
        let settings = UpstreamSettings { name, addr, slots, connections };
        let upstream = HttpUpstream::new(&settings, "n");
        let requests = (0..60).map(|_| {
            let call = call(Method::POST, "/x", b"");
            let deadline = far_deadline();
            let dispatch =
                Dispatch { call, fence: None, deadline, trace: None };
            let reply = upstream.run(dispatch);
            monoio::spawn(async move { timeout(WAIT, reply).await })
        });
        let requests: Vec<_> = requests.collect();
        let mut refused = 0;
        for request in requests {
            let Ok(Err(refusal)) = request.await else { continue };
            refused += usize::from(refusal.detail.contains("memory"));
        }
        refused
    });
    assert!(refused > 20, "{refused} refused");
}

/// Guards against frames of peers that take memory beyond what is set aside
/// for all of them.
#[test]
fn frames_that_are_read_share_a_limit_on_memory() {
    let (addr, _) = server(|listener: TcpListener| {
        let (mut stream, _) = listener.accept().expect("accept");
        let mut frame = vec![0; MAX_FRAME_BYTES];
        let size = frame.len() as u32 - 4;
        frame[..4].copy_from_slice(&size.to_be_bytes());
        let _ = stream.write_all(&frame);
    });
    let result = run(async move {
        let stream = TcpStream::connect_addr(addr).await.expect("connect");
        let budget = Budget::new(POOL_MEMORY);
        let mut reader = FrameReader::new(stream).with_budget(budget);
        reader.next().await
    });
    assert!(
        matches!(result, Err(FrameError::TooLarge { size }) if size > POOL_MEMORY),
        "{result:?}"
    );
}
