//! All processes are killed and restarted. One reads in its record that its
//! server is leaving; a late beat of the instance before that one arrives first.

use crate::deployment::{DOWN_MS, Deployment, wait_beat};
use crate::fleet::Node;
use crate::http::call;
use crate::record::sleep;
use crate::server::{Options, Server, wall_ms};
use crate::{Case, Verdict};

/// After this time no request may reach the server (`drain_ms`).
const DRAIN_MS: u64 = 2_000;

/// Time after the restart from which the node is in touch, and a margin.
const TOUCH_MS: u64 = 3_500;

/// Time for which the server serves on.
const SERVES_ON_MS: u64 = 12_000;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let routes = [("/pufi791/", "non_idempotent")];
    let all = Deployment::start_unsharded(case, 4, &routes);
    let mut all = match all {
        Ok(all) => all,
        Err(error) => return Verdict::NotRun(error),
    };
    sleep(4_000);
    all.send_requests(20, ("POST", "/pufi791/2f"));
    sleep(3_000);

    // A beat of the first server is held up, and the server crashes. It is back
    // under another id.
    let old = all.servers[0].clone();
    let old_beat = old.next_beat();
    record.line(format!("beat of i-0a is held up: {}", old_beat.text()));
    old.crash();
    sleep(1_000);
    let options = Options { id: "i-0b".to_owned(), ..old.options.clone() };
    let server = Server::start(options, wall_ms(), 0, &all.history, record);
    let Ok(server) = server else {
        return Verdict::NotRun("the server does not start again".to_owned());
    };
    let runs = |begin: u64| {
        let history = all.history.lock().unwrap();
        let times = history.run_times.get("i-0b").cloned().unwrap_or_default();
        times.iter().filter(|&&at| begin <= at).count()
    };
    sleep(1_000);
    if runs(0) == 0 {
        return Verdict::NotRun("i-0b gets no requests".to_owned());
    }

    // It reports its exit. A second later all processes are killed.
    wait_beat(&server);
    let Some(acknowledged) = server.leave() else {
        return Verdict::NotRun("the exit is not acknowledged".to_owned());
    };
    sleep(1_000);
    all.nodes.iter_mut().for_each(Node::kill);
    sleep(DOWN_MS);
    all.nodes.iter_mut().for_each(Node::start);
    let started = record.now();
    all.nodes[0].wait_listening();
    if case.trouble {
        let answer = call(all.nodes[0].control, &old_beat, 1_000);
        let answer = answer.map(|a| format!("{} {}", a.status, a.text()));
        record.line(format!("the late beat of i-0a arrives: {answer:?}"));
    }
    sleep((acknowledged + SERVES_ON_MS).saturating_sub(record.now()));
    server.crash();
    record.line("server i-0b ends as it said");
    sleep(2_000);
    let begin = acknowledged + DRAIN_MS;
    let (late, in_touch) = (runs(begin), runs(begin.max(started + TOUCH_MS)));
    let text = format!(
        "{late} requests reached i-0b later than {DRAIN_MS} ms after its exit \
         was acknowledged, {in_touch} of them from a node in touch"
    );
    if in_touch > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
