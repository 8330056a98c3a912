//! A server reports its exit and serves on. Its node acknowledges that and is
//! killed, and the store comes back from a copy that does not have it.

use crate::deployment::{Deployment, wait_beat};
use crate::record::sleep;
use crate::{Case, Verdict};

/// Time for which the node's process is down.
const DOWN_MS: u64 = 2_000;

/// Time after the acknowledgement at which the drill begins, and for which the
/// store is away.
const DRILL_AFTER_MS: u64 = 500;
const AWAY_MS: u64 = 500;

/// Age of the copy from which the store comes back, beyond the rest.
const COPY_AGE_MS: u64 = 2_000;

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
    sleep(4_000);
    let server = all.servers[0].clone();
    let id = &server.options.id;
    let runs = |begin: u64, end: u64| {
        let history = all.history.lock().unwrap();
        let times = history.run_times.get(id).cloned().unwrap_or_default();
        times.iter().filter(|&&at| begin <= at && at < end).count()
    };
    if runs(0, record.now()) == 0 {
        return Verdict::NotRun("the server gets no requests".to_owned());
    }
    all.store.make_copy();
    record.line("a copy of the store is made");
    sleep(COPY_AGE_MS);
    wait_beat(&server);
    let Some(acknowledged) = server.leave() else {
        return Verdict::NotRun("the exit is not acknowledged".to_owned());
    };
    all.nodes[0].kill();
    sleep(DRILL_AFTER_MS);
    if case.trouble {
        record.line("the store goes away");
        all.store.drill(AWAY_MS);
        record.line("the store is back from the copy");
    } else {
        sleep(AWAY_MS);
    }
    sleep(DOWN_MS - DRILL_AFTER_MS - AWAY_MS);
    all.nodes[0].start();
    let started = record.now();
    sleep((acknowledged + SERVES_ON_MS).saturating_sub(record.now()));
    server.crash();
    record.line(format!("server {id} ends as it said"));
    sleep(2_000);
    let begin = acknowledged + DRAIN_MS;
    let late = runs(begin, u64::MAX);
    let in_touch = runs(begin.max(started + TOUCH_MS), u64::MAX);
    let text = format!(
        "{late} requests reached {id} later than {DRAIN_MS} ms after its exit \
         was acknowledged, {in_touch} of them from a node in touch"
    );
    if in_touch > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
