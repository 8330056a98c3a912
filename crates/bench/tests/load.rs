//! Load against stand-ins in the same process.

use std::net::{SocketAddr, TcpListener};

use lagoondyke_bench::load::{Load, Told, count};
use lagoondyke_standin::upstream::Options;
use lagoondyke_standin::{block_on, store, upstream};

/// Starts a stand-in on a thread of its own and returns its address.
fn serve(start: fn() -> std::io::Result<SocketAddr>) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        block_on(async {
            sender.send(start().unwrap()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

fn fast() -> std::io::Result<SocketAddr> {
    let options = Options { service_ms: 0, ..Options::default() };
    upstream::start(options)
}

fn full() -> std::io::Result<SocketAddr> {
    upstream::start(Options { queue: 0, ..Options::default() })
}

fn closed() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Guards against requests that are dropped, sent twice or counted as
/// something else than their callers were told.
#[test]
fn each_request_is_sent_once_and_classified() {
    let store = || store::start(1);
    let table = [
        ("open loop", fast as fn() -> _, 400.0, 1, Told::Answered),
        ("two threads", fast, 400.0, 2, Told::Answered),
        ("closed loop", fast, 0.0, 2, Told::Answered),
        ("refused by status", full, 400.0, 1, Told::NotRun),
        ("other status", store, 400.0, 1, Told::MayHaveRun),
        ("no listener", closed, 400.0, 1, Told::Unsent),
    ];
    for (case, start, rate, threads, told) in table {
        let load = Load {
            targets: vec![serve(start)],
            rate,
            threads,
            workers: 3,
            span: 60_000,
            most: 50,
            ..Load::default()
        };
        let samples = load.run().unwrap();
        assert_eq!(count(&samples, told), 50, "{case}: {samples:?}");
        let mut ids: Vec<_> = samples.iter().map(|s| s.n).collect();
        ids.sort_unstable();
        assert!(ids.iter().copied().eq(0..50), "{case}: {ids:?}");
    }
}
