//! A server crashes just after its node was restarted, while it runs three equal
//! requests that are harmless. Later all processes are killed.

use crate::deployment::{DOWN_MS, Deployment, configuration};
use crate::fleet::Node;
use crate::record::sleep;
use crate::server::{Options, Server, wall_ms};
use crate::{Case, Verdict};

const FIRST: &str = "/pufi791/2f";
const ADDED: &str = "/lohu930/2f";

/// Time in which a configuration must be in force (`config_apply_ms`), and time
/// after which machines are in touch again (`contact_ms`).
const APPLY_MS: u64 = 2_000;
const TOUCH_MS: u64 = 3_000;

/// The platform asks for readiness once a second.
const READY_INTERVAL_MS: u64 = 1_000;

const COUNT_MS: u64 = 10_000;

/// Time after the last disruption in which nothing is counted.
const CALM_MS: u64 = 12_000;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let first = ("/pufi791/", "idempotent");
    let mut all = match Deployment::start_slow(case, 4, &[first]) {
        Ok(all) => all,
        Err(error) => return Verdict::NotRun(error),
    };
    sleep(4_000);
    let routes = [first, ("/lohu930/", "idempotent")];
    all.store.put("config", "main", &configuration(9, &routes, false));
    record.line("configuration r9 adds a route to /lohu930/");
    sleep(APPLY_MS);
    all.send_requests(100, ("GET", FIRST));
    all.send_requests(33, ("GET", ADDED));
    sleep(6_000);

    // The node is killed and restarted. The platform sends its clients no work
    // until it has asked it again. Its server's beat comes in this time.
    let old = all.servers[0].clone();
    if case.trouble {
        crate::deployment::wait_beat(&old);
        sleep(old.options.beat_ms - 500);
        all.answers.skip(Some(all.nodes[0].outbound));
        all.nodes[0].kill();
        sleep(DOWN_MS);
        all.nodes[0].start();
        let started = record.now();
        old.runs_of(ADDED);
        let mut seen = 0;
        while seen < 3 && record.now() < started + READY_INTERVAL_MS {
            seen += old.runs_of(ADDED);
            sleep(2);
        }
        record
            .line(format!("{seen} equal requests run at {}", old.options.id));
        old.crash();
        if seen < 3 {
            return Verdict::NotRun("the server ran too few".to_owned());
        }
        sleep((started + READY_INTERVAL_MS).saturating_sub(record.now()));
        all.answers.skip(None);
        let options = Options { id: "i-0b".to_owned(), ..old.options.clone() };
        let again = Server::start(options, wall_ms(), 0, &all.history, record);
        if again.is_err() {
            return Verdict::NotRun("the server does not return".to_owned());
        }
    }
    sleep(6_000);
    all.nodes.iter_mut().for_each(Node::kill);
    sleep(DOWN_MS);
    all.nodes.iter_mut().for_each(Node::start);
    sleep(CALM_MS + TOUCH_MS);
    let begin = record.now();
    sleep(COUNT_MS + 5_000);
    let first = all.answers.count(FIRST, begin, begin + COUNT_MS);
    let added = all.answers.count(ADDED, begin, begin + COUNT_MS);
    let text = format!(
        "first route: {} of {} served; added route: {} of {} served (by status \
         {:?})",
        first.served, first.sent, added.served, added.sent, added.by_status
    );
    if added.sent >= 20 && added.share() < first.share() / 4.0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
