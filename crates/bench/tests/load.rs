//! Load on stand-ins in the same process.

use std::net::{SocketAddr, TcpListener};

use lagoondyke_bench::load::{CallOutcome, Workload, count_outcome};
use lagoondyke_standin::upstream::Options;
use lagoondyke_standin::{block_on, store, upstream};

/// Runs a stand-in on a thread of its own and returns its address.
fn start_server(start: fn() -> std::io::Result<SocketAddr>) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        block_on(async {
            sender.send(start().unwrap()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

fn fast_upstream() -> std::io::Result<SocketAddr> {
    let options = Options { service_ms: 0, ..Options::default() };
    upstream::start(options)
}

fn full_upstream() -> std::io::Result<SocketAddr> {
    upstream::start(Options { queue: 0, ..Options::default() })
}

fn closed_port() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Guards against requests that are dropped, sent twice or counted under
/// another outcome than the one their callers saw.
#[test]
fn each_request_is_sent_once_and_classified() {
    let store = || store::start(1);
    let table = [
        (
            "open loop",
            fast_upstream as fn() -> _,
            400.0,
            1,
            CallOutcome::Answered,
        ),
        ("two threads", fast_upstream, 400.0, 2, CallOutcome::Answered),
        ("closed loop", fast_upstream, 0.0, 2, CallOutcome::Answered),
        ("refused by status", full_upstream, 400.0, 1, CallOutcome::NotRun),
        ("other status", store, 400.0, 1, CallOutcome::MayHaveRun),
        ("no listener", closed_port, 400.0, 1, CallOutcome::Unsent),
    ];
    for (case, start, rate, threads, outcome) in table {
        let load = Workload {
            targets: vec![start_server(start)],
            rate,
            threads,
            workers: 3,
            duration_ms: 60_000,
            max_requests: 50,
            ..Workload::default()
        };
        let samples = load.run().unwrap();
        assert_eq!(
            count_outcome(&samples, outcome),
            50,
            "{case}: {samples:?}"
        );
        let mut ids: Vec<_> = samples.iter().map(|s| s.number).collect();
        ids.sort_unstable();
        assert!(ids.iter().copied().eq(0..50), "{case}: {ids:?}");
    }
}
