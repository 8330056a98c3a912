//! Guards against wrong exit statuses, and against answers that make the
//! HTTP client hang, panic or report a wrong outcome.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;
use std::time::Duration;

use crate::support::{FakeNodes, FakeStore, addr, environment};
use lagoondyke_cli::environment::{CallError, Nodes, Store, StoreError};
use lagoondyke_cli::exit::Exit;
use lagoondyke_cli::http::{HttpNodes, HttpStore};
use lagoondyke_cli::{args, run};
use lagoondyke_core::id::{KeyHash, NodeAddr, Shard};
use lagoondyke_core::status::{KeyLocation, MemberStatus, Status};

/// Answers one connection with each element of `answers` in turn, then refuses
/// connections. The thread returns the requests.
fn serve_answers(
    answers: Vec<Vec<u8>>,
) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let mut requests = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = vec![0; 4_096];
            let size = stream.read(&mut request).unwrap();
            request.truncate(size);
            requests.push(String::from_utf8(request).unwrap());
            // The client closes the connection if the answer is too large.
            let _ = stream.write_all(&answer);
        }
        requests
    });
    (addr, server)
}

/// An address that refuses connections. A port that was just closed could be
/// assigned to another test; this one is below the range of assigned ports.
fn refusing_addr() -> SocketAddr {
    addr(1)
}

fn answer(head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {head}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[test]
fn store_reads_and_updates() {
    let (addr, server) = serve_answers(vec![
        answer("200 OK\r\nETag: \"12\"", "{}"),
        answer("404 Not Found", "none"),
        answer("201 Created\r\nETag: \"1\"", ""),
        answer("200 OK\r\nETag: \"13\"", ""),
        answer("412 Precondition Failed", ""),
        answer("400 Bad Request", "value is not JSON"),
    ]);
    let store = HttpStore::new(addr);
    let object = store.read("config/jutland").unwrap().unwrap();
    assert_eq!((object.version, object.value.as_slice()), (12, &b"{}"[..]));
    assert_eq!(store.read("config/none"), Ok(None));
    assert_eq!(store.update("a/b", 0, b"x"), Ok(1));
    assert_eq!(store.update("a/b", 12, b"xy"), Ok(13));
    assert_eq!(store.update("a/b", 12, b"z"), Err(StoreError::Conflict));
    let refused = "status 400: value is not JSON".to_owned();
    let refused = Err(StoreError::Rejected(refused));
    assert_eq!(store.update("a/b", 12, b"z"), refused);
    let requests = server.join().unwrap();
    let first = requests[0].to_lowercase();
    assert!(first.starts_with("get /objects/config/jutland http/1.1\r\n"));
    assert!(first.contains(&format!("host: {addr}\r\n")), "{first}");
    assert!(requests[2].to_lowercase().contains("if-none-match: *\r\n"));
    assert!(requests[3].to_lowercase().contains("if-match: \"12\"\r\n"));
    assert!(requests[3].ends_with("\r\n\r\nxy"));
    let store = HttpStore::new(refusing_addr());
    assert!(matches!(store.read("a/b"), Err(StoreError::NotSent(_))));
    assert!(matches!(store.update("a", 1, b""), Err(StoreError::NotSent(_))));
}

#[test]
fn answers_that_leave_an_update_unknown() {
    let huge = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx";
    let cases = [
        Vec::new(),
        b"HTTP/1.1 200 OK\r\nContent-Le".to_vec(),
        b"HTTP/1.1 200 OK\r\nETag: \"9\"\r\nContent-Length: 9\r\n\r\nx"
            .to_vec(),
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_vec(),
        b"SSH-2.0-OpenSSH\r\n\r\n".to_vec(),
        huge.to_vec(),
        answer("200 OK", ""),
        answer("200 OK\r\nETag: \"x\"", ""),
        answer("200 OK\r\nETag: 9", ""),
        answer("500 Internal Server Error", ""),
        answer("503 Service Unavailable", "later"),
        answer("302 Found\r\nLocation: /", ""),
    ];
    for bytes in cases {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (addr, server) = serve_answers(vec![bytes.clone(), bytes]);
        let store = HttpStore::new(addr);
        let update = store.update("a/b", 1, b"x");
        assert!(matches!(update, Err(StoreError::AnswerLost(_))), "{text:?}");
        let read = store.read("a/b");
        assert!(matches!(read, Err(StoreError::ReadFailed(_))), "{text:?}");
        server.join().unwrap();
    }
}

#[test]
fn answers_of_nodes() {
    let status = Status { config: 4, ..Status::default() };
    let json = serde_json::to_string(&status).unwrap();
    let long = format!("[{}", " ".repeat(2_000_000));
    for (bytes, expected) in [
        (answer("200 OK", &json), Ok(status)),
        (answer("200 OK", "{"), Err("unexpected answer")),
        (answer("404 Not Found", "no"), Err("unexpected answer: status 404")),
        (answer("200 OK", &long), Err("no answer")),
        (Vec::new(), Err("no answer")),
    ] {
        let (addr, server) = serve_answers(vec![bytes]);
        let got = HttpNodes.statuses(&[addr]).pop().unwrap();
        match (got, expected) {
            (Ok(got), Ok(expected)) => assert_eq!(got, expected),
            (Err(got), Err(start)) => {
                assert!(got.to_string().starts_with(start), "{got}");
            }
            (got, expected) => panic!("{got:?}, expected {expected:?}"),
        }
        server.join().unwrap();
    }
    for (service, key) in [("katalog", "a\nb"), ("a b", "k"), ("../x", "k")] {
        let got = HttpNodes.locate(addr(9), service, key);
        assert!(matches!(got, Err(CallError::NotSent(_))));
    }
    let (addr, server) =
        serve_answers(vec![answer("200 OK", "{\"known\": true}")]);
    assert!(HttpNodes.locate(addr, "katalog", "a b").unwrap().known);
    let request = server.join().unwrap().remove(0).to_lowercase();
    assert!(request.starts_with("get /lagoondyke/owner/katalog http/1.1\r\n"));
    assert!(request.contains("lagoondyke-key: a b\r\n"), "{request}");
}

fn lagoondyke(line: &[&str]) -> Output {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    Command::new(env!("CARGO_BIN_EXE_lagoondyke"))
        .args(line)
        .current_dir(root)
        .env_remove("LAGOONDYKE_STORE")
        .output()
        .unwrap()
}

#[test]
fn exit_statuses() {
    let addr = refusing_addr().to_string();
    let good = "examples/jutland.jsonc";
    let cases: [(&[&str], i32, &str); 10] = [
        (&["--help"], 0, ""),
        (&["check", good], 0, ""),
        (&["check", "Cargo.toml"], 1, "1 of 1 files are not valid"),
        (&["show", "--store", &addr, "../x"], 2, "lowercase letters"),
        (&["check"], 2, "expected at least one file"),
        (&["apply", good], 2, "--store"),
        (&["apply", "--store", &addr, "--wait", good], 2, "--node ADDR"),
        (&["apply", "--store", &addr, good], 4, "store is not reachable"),
        (&["status", "--node", &addr], 4, "1 of 1 nodes did not answer"),
        (&["drain", "--node", &addr], 4, "not reachable"),
    ];
    for (line, code, message) in cases {
        let output = lagoondyke(line);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{line:?}: {errors}");
        assert!(errors.contains(message), "{line:?}: {errors}");
    }
    let document = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/jutland.jsonc"
    ));
    let (addr, server) = serve_answers(vec![
        answer("200 OK\r\nETag: \"3\"", &document.unwrap()),
        answer("200 OK\r\nETag: \"4\"", "{}"),
        answer("412 Precondition Failed", ""),
        answer("200 OK\r\nETag: \"5\"", "{}"),
    ]);
    let store = addr.to_string();
    let show = lagoondyke(&["show", "--store", &store, "jutland"]);
    assert_eq!(show.stderr, b"config/jutland: version 3\n");
    let output = lagoondyke(&["apply", "--store", &store, good]);
    assert_eq!(output.status.code(), Some(Exit::Conflict as i32));
    server.join().unwrap();
}

/// Guards against `zone` being parsed differently from `domain`.
#[test]
fn zone_means_domain() {
    let parse = |word| {
        let line = [
            word,
            "out",
            "--store",
            "127.0.0.1:7000",
            "--operator",
            "jutland",
            "vejle",
        ];
        args::options().run_inner(&line[..]).unwrap()
    };
    assert_eq!(parse("zone"), parse("domain"));
}

fn run_line(line: &[&str], nodes: &FakeNodes) -> (Option<Exit>, String) {
    let command = args::options().run_inner(line).unwrap();
    let store = FakeStore::default();
    let mut out = Vec::new();
    let result = run(&command, &environment(&store, nodes), &mut out);
    let text = String::from_utf8(out).unwrap();
    match result {
        Ok(()) => (None, text),
        Err(e) => (Some(e.exit), format!("{text}{e}")),
    }
}

/// Guards against `--wait` that ends while a node is behind or not reachable,
/// and against a time-out that does not name that node.
#[test]
fn apply_waits_until_all_nodes_have_the_version() {
    let at = |config| Ok(Status { config, ..Status::default() });
    let down = || Err(CallError::NotSent("refused".to_owned()));
    let line = [
        "apply",
        "--store",
        "127.0.0.1:7000",
        "--wait",
        "--limit=2",
        "--node=127.0.0.1:1,127.0.0.1:2",
        "../../examples/jutland.jsonc",
    ];
    let quick = vec![at(1)];
    for (other, exit, message) in [
        (
            vec![at(0), down(), at(1)],
            None,
            "in force at 2 of 2 nodes after 500",
        ),
        (vec![at(0)], Some(Exit::TimedOut), "127.0.0.1:2 has version 0"),
        (vec![down()], Some(Exit::TimedOut), "127.0.0.1:2 is not reachable"),
    ] {
        let answers = [(addr(1), quick.clone()), (addr(2), other)];
        let answers = BTreeMap::from(answers);
        let nodes = FakeNodes { answers, ..FakeNodes::default() };
        let (got, text) = run_line(&line, &nodes);
        assert_eq!(got, exit, "{text}");
        assert!(text.contains(message), "{text}");
    }
}

/// Guards against `drain --wait` that reports a node as stopped while it still
/// answers, or that waits longer than its limit.
#[test]
fn drain_waits_until_the_node_has_stopped() {
    let busy = Status { shards: 3, busy: 1, ..Status::default() };
    let gone = Err(CallError::NotSent("refused".to_owned()));
    let line = ["drain", "--node=127.0.0.1:1", "--wait", "--limit=1"];
    for (list, exit, message) in [
        (vec![Ok(busy.clone()), gone], None, "has stopped after 250 ms"),
        (vec![Ok(busy)], Some(Exit::TimedOut), "3 shards, 1 requests"),
    ] {
        let answers = BTreeMap::from([(addr(1), list)]);
        let nodes = FakeNodes { answers, ..FakeNodes::default() };
        let (got, text) = run_line(&line, &nodes);
        assert_eq!(got, exit, "{text}");
        assert!(text.contains(message), "{text}");
        assert_eq!(*nodes.drained.borrow(), [addr(1)]);
        assert!(nodes.time.get() <= Duration::from_secs(1));
    }
}

/// Guards against a status that omits a node without an answer or the members
/// of a leader, and against an exit status that hides the missing answer.
#[test]
fn status_as_table_and_json() {
    let member = MemberStatus {
        node: NodeAddr(addr(71)),
        domain: "vejle".to_owned(),
        shards: 16,
        busy: 2,
        limit: 20,
        silent: 120,
        leaving: false,
    };
    let leader = Status {
        domain: "vejle".to_owned(),
        service: "katalog".to_owned(),
        config: 4,
        leads: true,
        lease: 1_200,
        shards: 16,
        revoked: 1,
        upstream: true,
        members: vec![member],
        ..Status::default()
    };
    let answers = BTreeMap::from([(addr(1), vec![Ok(leader)])]);
    let nodes = FakeNodes { answers, ..FakeNodes::default() };
    let line = ["status", "--node=127.0.0.1:1", "--node=127.0.0.1:2"];
    let (exit, text) = run_line(&line, &nodes);
    assert_eq!(exit, Some(Exit::Unreachable));
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[1].contains("itself") && lines[1].ends_with("ready"));
    assert!(lines[1].contains("16 (-1)"), "{text}");
    assert_eq!(lines[2], "127.0.0.1:2  not reachable: refused");
    assert_eq!(
        lines[3],
        "2 nodes: 1 ready, 1 without an answer; configuration 4"
    );
    assert!(text.contains("127.0.0.1:71  vejle   16"), "{text}");
    let json = [&line[..2], &["--json"]].concat();
    let (exit, text) = run_line(&json, &nodes);
    assert_eq!(exit, None);
    let list: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(list[0]["status"]["members"][0]["silent"], 120);
}

/// Guards against an explanation that does not match the node's answer, and
/// against success when the key has no owner.
#[test]
fn owner_and_explanation() {
    let mut located = KeyLocation {
        config: 4,
        known: true,
        keyed: true,
        hash: KeyHash(255),
        shard: Shard(17),
        owner: Some(NodeAddr(addr(71))),
        ..KeyLocation::default()
    };
    let ask = |word, located: &KeyLocation| {
        let located = located.clone();
        let nodes = FakeNodes { located, ..FakeNodes::default() };
        run_line(&[word, "--node=127.0.0.1:1", "katalog", "k"], &nodes)
    };
    let owner = ask("owner", &located);
    assert_eq!(owner, (None, "127.0.0.1:71\n".to_owned()));
    let (_, text) = ask("explain", &located);
    assert!(text.contains("3. Key \"k\" has hash 00000000000000ff.\n"));
    assert!(text.contains("4. The hash falls into shard 17.\n"));
    assert!(text.ends_with("7. Node 127.0.0.1:71 owns the key.\n"), "{text}");
    located.owner = None;
    assert_eq!(ask("owner", &located).0, Some(Exit::Invalid));
    located.known = false;
    let (_, text) = ask("explain", &located);
    assert!(text.ends_with("2. It has no service \"katalog\".\n"), "{text}");
}
