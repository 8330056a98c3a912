//! Contract of the stand-in for an upstream: slots, cold phases, fences,
//! cancellation, the record file and crashes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use lagoondyke_standin::block_on;
use lagoondyke_standin::client::{CallError, Client, call_once};
use lagoondyke_standin::process::{Process, free_addr};
use lagoondyke_standin::server::Reply;
use lagoondyke_standin::time::{monotonic_ms, sleep_ms};
use lagoondyke_standin::upstream::{self, Load, Options, Outcome, Run, Runs};

/// Time-out of a call that must be answered.
const CALL_TIMEOUT_MS: u64 = 20_000;

type Answer = Result<Reply, CallError>;

/// Runs a test with a time-out, so that it fails instead of waiting forever.
fn run_test(test: impl Future<Output = ()>) {
    let test_timeout = Duration::from_millis(3 * CALL_TIMEOUT_MS);
    block_on(async { monoio::time::timeout(test_timeout, test).await })
        .expect("the test did not end in time");
}

async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<bytes::Bytes>,
) -> Answer {
    call_once(addr, method, path, headers, body, CALL_TIMEOUT_MS).await
}

async fn get_runs(addr: SocketAddr) -> Vec<Run> {
    let reply = call(addr, Method::GET, "/admin/runs", &[], "").await;
    reply.unwrap().parse_json::<Runs>().unwrap().runs.into()
}

async fn put(addr: SocketAddr, path: &str, body: impl Into<bytes::Bytes>) {
    let reply = call(addr, Method::PUT, path, &[], body).await.unwrap();
    assert!(reply.has_status(204), "{path}: {reply:?}");
}

async fn get_load(addr: SocketAddr) -> Load {
    let reply = call(addr, Method::GET, "/admin/load", &[], "").await;
    reply.unwrap().parse_json().unwrap()
}

/// Sends `n` requests while the upstream is stalled, and ends the stall when
/// each of them runs, waits or has been refused. Returns how many ran at once
/// and how many were refused.
async fn burst(addr: SocketAddr, n: usize) -> (usize, usize) {
    put(addr, "/admin/stall", format!(r#"{{"ms": {CALL_TIMEOUT_MS}}}"#)).await;
    let refused_count = Rc::new(Cell::new(0));
    let mut calls = Vec::new();
    for _ in 0..n {
        let refused_count = Rc::clone(&refused_count);
        calls.push(monoio::spawn(async move {
            let reply = call(addr, Method::POST, "/x", &[], "").await;
            let code = reply.unwrap().code();
            refused_count.set(refused_count.get() + usize::from(code == 503));
            assert!(code == 200 || code == 503, "{code}");
        }));
    }
    let busy = loop {
        let load = get_load(addr).await;
        if load.busy + load.queued + refused_count.get() == n {
            break load.busy;
        }
        sleep_ms(2).await;
    };
    put(addr, "/admin/stall", r#"{"ms": 0}"#).await;
    for call in calls {
        call.await;
    }
    (busy, refused_count.get())
}

/// Guards against answers to the wrong request and against runs that are not
/// recorded.
#[test]
fn echo_and_record() {
    run_test(async {
        let options = Options { name: "u1".into(), ..Options::default() };
        let addr = upstream::start(options).unwrap();
        let mut client = Client::connect(addr).await.unwrap();
        for n in 1..=3_u64 {
            let (id, body) = (format!("id-{n}"), format!("body {n}"));
            let headers = [("x-request-id", &*id), ("lagoondyke-key", "k")];
            let reply = client
                .call(Method::POST, "/orders", &headers, body.clone())
                .await
                .unwrap();
            assert_eq!((reply.code(), &reply.body[..]), (200, body.as_ref()));
            assert_eq!(reply.header("x-upstream"), Some("u1"));
            assert_eq!(reply.header("x-sequence"), Some(&*n.to_string()));
        }
        let runs = get_runs(addr).await;
        let ids: Vec<_> = runs.iter().map(|r| &*r.id).collect();
        assert_eq!(ids, ["id-1", "id-2", "id-3"]);
        for run in runs {
            assert_eq!((&*run.key, run.outcome), ("k", Outcome::Completed));
            assert!(run.end.unwrap() >= run.start);
        }
    });
}

/// Guards against an upstream that runs more requests at once than it has
/// slots, which would hide faults of the router's admission control.
#[test]
fn slots_and_queue_bound_work() {
    let table = [
        // slots, queue, cold, requests, at once, refused
        (3, 4, false, 7, 3, 0),
        (3, 4, false, 12, 3, 5),
        (3, 4, true, 7, 1, 2),
    ];
    for (slots, queue, cold, sent, at_once, refused) in table {
        let case = format!("{slots} slots, queue {queue}, cold {cold}");
        run_test(async {
            let addr = upstream::start(Options {
                slots,
                queue,
                cold_ms: if cold { CALL_TIMEOUT_MS } else { 0 },
                ..Options::default()
            })
            .unwrap();
            let seen = burst(addr, sent).await;
            assert_eq!(seen, (at_once, refused), "{case}");
        });
    }
}

/// Guards against a cold phase that never ends or cannot begin again.
#[test]
fn cold_phase_begins_and_ends() {
    run_test(async {
        let addr = upstream::start(Options {
            cold_ms: CALL_TIMEOUT_MS,
            ..Options::default()
        })
        .unwrap();
        let table = [("", 1), (r#"{"ms": 0}"#, 3), ("", 1)];
        for (cold, at_once) in table {
            put(addr, "/admin/cold", cold).await;
            assert_eq!(burst(addr, 3).await, (at_once, 0), "{cold}");
        }
    });
}

/// Guards against an upstream that accepts requests of a former owner.
#[test]
fn fences() {
    let grant = |duration_ms: u64, shards: &str| {
        let until = monotonic_ms() + duration_ms;
        format!(r#"{{"until": {until}, "shards": {shards}}}"#)
    };
    let table = [
        ("no grant", None, "7", "2.5", 412),
        (
            "granted",
            Some(grant(CALL_TIMEOUT_MS, "[[7,2,5]]")),
            "7",
            "2.5",
            200,
        ),
        ("other shard", None, "8", "2.5", 412),
        ("newer than granted", None, "7", "2.6", 412),
        ("malformed", None, "7", "2", 412),
        (
            "new grant",
            Some(grant(CALL_TIMEOUT_MS, "[[7,3,1]]")),
            "7",
            "3.1",
            200,
        ),
        ("older than seen", None, "7", "2.5", 412),
        (
            "withdrawn",
            Some(grant(CALL_TIMEOUT_MS, "[[8,3,1]]")),
            "7",
            "3.1",
            412,
        ),
        ("expired", Some(grant(0, "[[7,3,1]]")), "7", "3.1", 412),
    ];
    run_test(async {
        let options = Options { fenced: true, ..Options::default() };
        let addr = upstream::start(options).unwrap();
        for (case, grant, shard, fence, code) in table {
            if let Some(body) = grant {
                put(addr, "/lagoondyke/grants", body).await;
            }
            let headers =
                [("lagoondyke-shard", shard), ("lagoondyke-fence", fence)];
            let reply = call(addr, Method::POST, "/x", &headers, "").await;
            assert_eq!(reply.unwrap().code(), code, "{case}");
        }
        let old = grant(CALL_TIMEOUT_MS, "[[7,2,9]]");
        let path = "/lagoondyke/grants";
        let reply = call(addr, Method::PUT, path, &[], old).await.unwrap();
        assert!(reply.has_status(412), "an older grant is refused");
        assert_eq!(get_runs(addr).await.len(), 2);
    });
}

/// Guards against work that continues after its client closed the connection
/// or its deadline passed.
#[test]
fn cancellation_and_deadline() {
    run_test(async {
        let addr = upstream::start(Options::default()).unwrap();
        put(addr, "/admin/stall", format!(r#"{{"ms": {CALL_TIMEOUT_MS}}}"#))
            .await;
        let deadline = [("lagoondyke-deadline", "50")];
        let reply = call(addr, Method::POST, "/x", &deadline, "").await;
        assert!(reply.unwrap().has_status(504));
        let running = async {
            while get_load(addr).await.busy == 0 {
                sleep_ms(2).await;
            }
        };
        monoio::select! {
            answer = call(addr, Method::POST, "/x", &[], "") => {
                panic!("answered while stalled: {answer:?}");
            }
            () = running => {}
        }
        let cancelled = |r: &Run| r.outcome == Outcome::Cancelled;
        loop {
            let runs = get_runs(addr).await;
            if runs.len() == 2 && runs.iter().all(cancelled) {
                break;
            }
            sleep_ms(5).await;
        }
    });
}

/// Guards against runs that a kill removes from the record file: a checker
/// would then miss that a key had two owners.
#[test]
fn record_survives_a_kill() {
    let path = Path::new(env!("CARGO_BIN_EXE_standin-upstream"));
    let name = format!("standin-record-{}", std::process::id());
    let record = std::env::temp_dir().join(name);
    let addr = free_addr().unwrap();
    let file = record.to_str().unwrap();
    let args = ["--listen", &addr.to_string(), "--record", file];
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let mut process = Process::start(path, args, addr, timeout).unwrap();
    run_test(async {
        let id = [("x-request-id", "done")];
        assert!(call(addr, Method::GET, "/", &id, "").await.unwrap().ok());
        put(addr, "/admin/stall", format!(r#"{{"ms": {CALL_TIMEOUT_MS}}}"#))
            .await;
        let cut_off = [("x-request-id", "cut")];
        let lost = monoio::spawn(async move {
            call(addr, Method::GET, "/", &cut_off, "").await
        });
        while get_load(addr).await.busy == 0 {
            sleep_ms(2).await;
        }
        process.kill().unwrap();
        assert!(matches!(lost.await, Err(CallError::Lost(_))));
    });
    let runs = upstream::read_record(&record).unwrap();
    std::fs::remove_file(&record).unwrap();
    let seen: Vec<_> = runs.iter().map(|r| (&*r.id, r.outcome)).collect();
    let expected = [("done", Outcome::Completed), ("cut", Outcome::Running)];
    assert_eq!(seen, expected);
}

/// Guards against runs without a recorded end after a crash. They would seem
/// to go on, and a checker would take the next owner's run of the key for that
/// of a second owner.
#[test]
fn record_has_the_end_of_runs_that_a_crash_cuts_off() {
    let path = Path::new(env!("CARGO_BIN_EXE_standin-upstream"));
    let name = format!("standin-crash-{}", std::process::id());
    let record = std::env::temp_dir().join(name);
    let addr = free_addr().unwrap();
    let file = record.to_str().unwrap();
    let listen = addr.to_string();
    let args = ["--listen", &listen, "--record", file, "--crash-on", "M"];
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let _process = Process::start(path, args, addr, timeout).unwrap();
    run_test(async {
        put(addr, "/admin/stall", format!(r#"{{"ms": {CALL_TIMEOUT_MS}}}"#))
            .await;
        let cut_off = [("x-request-id", "cut")];
        let lost = monoio::spawn(async move {
            call(addr, Method::GET, "/", &cut_off, "").await
        });
        while get_load(addr).await.busy == 0 {
            sleep_ms(2).await;
        }
        let crash = [("x-crash", "M")];
        let result = call(addr, Method::GET, "/", &crash, "").await;
        assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
        assert!(matches!(lost.await, Err(CallError::Lost(_))));
    });
    let runs = upstream::read_record(&record).unwrap();
    std::fs::remove_file(&record).unwrap();
    let seen: Vec<_> = runs.iter().map(|r| (&*r.id, r.outcome)).collect();
    assert_eq!(seen, [("cut", Outcome::Cancelled)]);
    assert!(runs[0].end.is_some());
}

/// Guards against a program that crashes on other requests than intended or
/// does not crash, and against a suspended process that is not resumed.
#[test]
fn process_crashes_suspends_and_resumes() {
    let path = Path::new(env!("CARGO_BIN_EXE_standin-upstream"));
    let addr = free_addr().unwrap();
    let args = ["--listen", &addr.to_string(), "--crash-on", "M"];
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let mut process = Process::start(path, args, addr, timeout).unwrap();
    run_test(async {
        let other = [("x-crash", "other")];
        assert!(call(addr, Method::GET, "/", &other, "").await.unwrap().ok());
        process.suspend().unwrap();
        let suspended = call_once(addr, Method::GET, "/", &[], "", 100).await;
        assert_eq!(suspended.unwrap_err(), CallError::Timeout);
        process.resume().unwrap();
        assert!(call(addr, Method::GET, "/", &[], "").await.unwrap().ok());
        let crash = [("x-crash", "M")];
        let lost = call(addr, Method::GET, "/", &crash, "").await;
        assert!(matches!(lost, Err(CallError::Lost(_))), "{lost:?}");
    });
    let end = monotonic_ms() + CALL_TIMEOUT_MS;
    while process.status().unwrap().is_none() {
        assert!(monotonic_ms() < end, "the program did not exit");
        std::thread::sleep(Duration::from_millis(5));
    }
}
