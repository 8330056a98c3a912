//! A route is added whose paths are also those of calls between nodes.

use crate::deployment::{Deployment, configuration};
use crate::record::sleep;
use crate::{Case, Verdict};

const FIRST: &str = "/pufi791/2f";
const ADDED: &str = "/lagoondyke/documents/2f";
const ADDED_CALM: &str = "/lohu930/documents/2f";

/// Time in which a configuration must be in force (`config_apply_ms`), and time
/// after which the state is steady again (`contact_ms`).
const APPLY_MS: u64 = 2_000 + 3_000;

const COUNT_MS: u64 = 10_000;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let first = ("/pufi791/", "idempotent");
    let mut all = match Deployment::start(case, 6, &[first]) {
        Ok(all) => all,
        Err(error) => return Verdict::NotRun(error),
    };
    let (prefix, target) = if case.trouble {
        ("/lagoondyke/documents/", ADDED)
    } else {
        ("/lohu930/documents/", ADDED_CALM)
    };
    let routes = [first, (prefix, "idempotent")];
    all.store.put("config", "main", &configuration(9, &routes, true));
    record.line(format!("configuration r9 adds a route to {prefix}"));
    sleep(APPLY_MS);
    let begin = record.now();
    all.send_requests(50, ("GET", FIRST));
    all.send_requests(50, ("GET", target));
    sleep(COUNT_MS + 5_000);
    let first = all.answers.count(FIRST, begin, begin + COUNT_MS);
    let added = all.answers.count(target, begin, begin + COUNT_MS);
    if all.nodes.iter_mut().any(|node| node.has_ended()) {
        return Verdict::NotRun("a node has ended".to_owned());
    }
    let text = format!(
        "first route: {} of {} served; added route {prefix}: {} of {} served \
         (by status {:?})",
        first.served, first.sent, added.served, added.sent, added.by_status
    );
    if added.sent >= 20 && added.share() < first.share() / 4.0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
