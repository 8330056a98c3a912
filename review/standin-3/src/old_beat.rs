//! A beat that arrives late, after its sender has crashed and another instance
//! has registered at its address, at a node that has just been restarted.

use crate::deployment::{DOWN_MS, Deployment, wait_beat};
use crate::http::call;
use crate::record::sleep;
use crate::server::{Options, Server, wall_ms};
use crate::{Case, Verdict};

/// Two servers may hold the same keys for half a second.
const SHARED_LIMIT_MS: u64 = 500;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let routes = [("/pufi791/", "non_idempotent")];
    let mut all = match Deployment::start(case, 3, &routes) {
        Ok(all) => all,
        Err(error) => return Verdict::NotRun(error),
    };
    all.send_requests(14, ("POST", "/pufi791/2f"));
    sleep(3_000);

    // The first server is shut down as planned: it drains, and its keys move. A
    // later beat of it is held up, and it crashes. It is back under another id
    // a second later, and takes its share of the load.
    let old = all.servers[0].clone();
    old.drain();
    while !old.rows().is_empty() {
        sleep(10);
    }
    sleep(500);
    let old_beat = old.next_beat("draining");
    record.line(format!("beat of i-0a is held up: {}", old_beat.text()));
    old.crash();
    sleep(1_000);
    wait_beat(&all.servers[1]);
    sleep(1_200);
    let options = Options { id: "i-0b".to_owned(), ..old.options.clone() };
    let server = Server::start(options, wall_ms(), 0, &all.history, record);
    let Ok(server) = server else {
        return Verdict::NotRun("the server does not start again".to_owned());
    };
    for _ in 0..1_500 {
        if !server.rows().is_empty() {
            break;
        }
        sleep(10);
    }
    if server.rows().is_empty() {
        return Verdict::NotRun("i-0b gets no keys".to_owned());
    }
    wait_beat(&server);

    // The node is killed after it has answered a beat.
    wait_beat(&server);
    all.nodes[0].kill();
    sleep(DOWN_MS);
    all.nodes[0].start();
    all.nodes[0].wait_listening();
    if case.trouble {
        let answer = call(all.nodes[0].control, &old_beat, 1_000);
        let answer = answer.map(|a| format!("{} {}", a.status, a.text()));
        record.line(format!("the late beat of i-0a arrives: {answer:?}"));
    }
    sleep(8_000);
    let history = all.history.lock().unwrap();
    let twice = history.runs.values().filter(|&&count| count > 1).count();
    let (shared_ms, who) = &history.longest_shared;
    let text = format!(
        "two servers held the same keys for {shared_ms} ms ({who}); \
         {twice} requests ran twice"
    );
    if *shared_ms > SHARED_LIMIT_MS {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
