//! A beat of another writer, without the lists of rows, at nodes that have just
//! been restarted and do not know the configuration yet.

use crate::deployment::{DOWN_MS, Deployment, configuration};
use crate::fleet::Node;
use crate::http::call;
use crate::record::sleep;
use crate::{Case, Verdict};

const TARGET: &str = "/pufi791/2f";

/// The store is slow for so long, and answers take so many times as long.
const SLOW_MS: u64 = 4_500;
const SLOW_TIMES: u64 = 60;

/// Time after which the system must serve again (`recovery_s`).
const RECOVERY_MS: u64 = 15_000;

/// Time for which requests are counted.
const COUNT_MS: u64 = 10_000;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let routes = [("/pufi791/", "non_idempotent")];
    let mut all = match Deployment::start(case, 3, &routes) {
        Ok(all) => all,
        Err(error) => return Verdict::NotRun(error),
    };
    all.send_requests(25, ("POST", TARGET));
    sleep(2_000);
    let begin = record.now();
    sleep(5_000);
    let before = all.answers.count(TARGET, begin, begin + 4_000);
    record.line(format!("before the fault: {before:?}"));
    if before.share() < 0.25 {
        return Verdict::NotRun("requests are not served".to_owned());
    }

    // The final fault: a configuration is acknowledged, all processes are
    // killed, and the store is slow.
    all.store.put("config", "main", &configuration(9, &routes, true));
    record.line("configuration r9 is acknowledged; the store turns slow");
    all.store.set_slow(SLOW_TIMES);
    all.nodes.iter_mut().for_each(Node::kill);
    sleep(DOWN_MS);
    all.nodes.iter_mut().for_each(Node::start);
    for (node, server) in all.nodes.iter().zip(&all.servers) {
        node.wait_listening();
        if !case.trouble {
            continue;
        }
        let (beat, control) = (server.foreign_beat(), node.control);
        record.line(format!("foreign beat: {}", beat.text()));
        let record = record.clone();
        std::thread::spawn(move || {
            let answer = call(control, &beat, 1_000);
            let answer = answer.map(|a| format!("{} {}", a.status, a.text()));
            record.line(format!("answer to a foreign beat: {answer:?}"));
        });
    }
    sleep(SLOW_MS - DOWN_MS);
    all.store.set_slow(1);
    record.line("the store is as fast as before");
    sleep(RECOVERY_MS);
    let begin = record.now();
    sleep(COUNT_MS + 5_000);
    let after = all.answers.count(TARGET, begin, begin + COUNT_MS);
    let text = format!(
        "served before the final fault: {:.3}, from {} s after it: {:.3} \
         ({} requests, by status {:?})",
        before.share(),
        RECOVERY_MS / 1_000,
        after.share(),
        after.sent,
        after.by_status
    );
    if after.share() < 0.25 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
