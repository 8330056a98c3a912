//! Service without faults, and a domain that leaves and returns.

use std::io;

use lagoondyke_standin::time::monotonic_ms;

use super::{
    CONFIG_IN_FORCE, Context, DOMAIN_OUT, SERVED_AGAIN, add_latency,
    add_truth, direct, wait_until,
};
use crate::check::{Record, imbalance, last_start, longest_unserved};
use crate::cluster::{Cluster, Plan};
use crate::load::{Load, Pick};
use crate::report::{Bound, Report};

/// Only the runs of requests with ids that start with `tag-`.
fn of_tag(records: &[Record], tag: &str) -> Vec<Record> {
    let start = format!("{tag}-");
    let mut kept = records.to_vec();
    for record in &mut kept {
        record.runs.retain(|run| {
            run.id
                .strip_prefix(&start)
                .is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()))
        });
    }
    kept
}

/// Load before the measured one, in milliseconds.
const WARM: u64 = 3_000;

/// Even load at half of the capacity, against callers that choose upstreams
/// at random. The same cluster serves both, one after the other.
pub fn steady(context: &Context) -> io::Result<Report> {
    // Callers of the baseline have no fences, so upstreams check none.
    let plan = Plan { fenced: false, ..Plan::vendor_portal() };
    let load = Load {
        span: context.span(10_000),
        keys: (0..2_000).collect(),
        ..context.load(&plan, 0.5)
    };
    let cluster = Cluster::start(plan, &context.place)?;
    let load = Load { targets: cluster.nodes(), ..load };
    // Concurrency limits begin at 1 when a node starts; the cold-start
    // experiment shows that phase.
    let warm = Load { span: WARM, tag: "warm".to_owned(), ..load.clone() };
    warm.run()?;
    let before = cluster.counts()?;
    let samples = load.run()?;
    cluster.keep_samples(&samples)?;
    let after = cluster.counts()?;
    let base = direct(&cluster, &load, Pick::Random);
    let base_samples = base.run()?;
    let records = cluster.records()?;
    let (ours, theirs) =
        (of_tag(&records, &load.tag), of_tag(&records, &base.tag));
    let mut report = Report::new("steady", context.seed);
    add_truth(&mut report, &ours, &samples, &load.tag, true);
    add_latency(&mut report, &samples, &base_samples);
    report.compare(
        "imbalance: most runs / mean",
        imbalance(&ours),
        "",
        imbalance(&theirs),
    );
    report.compare(
        "keys that ran at several upstreams",
        moved_keys(&ours),
        "",
        moved_keys(&theirs),
    );
    let calls = (after.total() - before.total()) as f64;
    let seconds = load.span as f64 / 1_000.0;
    report.show("store calls per second", calls / seconds, "/s");
    report.note("baseline: callers choose an upstream at random");
    Ok(report)
}

/// Keys that ran at more than one upstream.
fn moved_keys(records: &[Record]) -> f64 {
    let mut places = std::collections::BTreeMap::new();
    for (index, record) in records.iter().enumerate() {
        for run in record.runs.iter().filter(|r| !r.key.is_empty()) {
            let set: &mut std::collections::BTreeSet<_> =
                places.entry(&run.key).or_default();
            set.insert(index);
        }
    }
    places.values().filter(|set| set.len() > 1).count() as f64
}

/// A domain is taken out of service under load and brought back.
pub fn zone_out(context: &Context) -> io::Result<Report> {
    let plan = Plan::vendor_portal();
    let load = Load { span: 16_000, ..context.load(&plan, 0.4) };
    let mut cluster = Cluster::start(plan, &context.place)?;
    let load = Load { targets: cluster.nodes(), ..load };
    let domain = "kalamaria";
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, 3_000);
    let out = cluster.set_out(domain, true)?;
    let version = cluster.config_version()?;
    let in_force = cluster.config_in_force(version, out)?;
    wait_until(start, 9_000);
    let back = cluster.set_out(domain, false)?;
    let samples = running.join()?;
    cluster.keep_samples(&samples)?;
    let records = cluster.records()?;
    let leaving: Vec<_> =
        cluster.in_domain(domain).iter().map(|&i| &records[i]).collect();
    let mut report = Report::new("zone-out", context.seed);
    add_truth(&mut report, &records, &samples, &load.tag, true);
    let last = last_start(leaving.iter().copied(), out, back) as f64;
    let bound = Bound::Most(DOMAIN_OUT);
    report.bound("domain out: time to last new work", last, "ms", bound);
    let bound = Bound::Most(CONFIG_IN_FORCE);
    let value = in_force as f64;
    report.bound("configuration in force at all nodes", value, "ms", bound);
    let bound = Bound::Most(SERVED_AGAIN);
    let value = longest_unserved(&samples);
    report.bound("longest time a key was not served", value, "ms", bound);
    let runs = leaving.iter().flat_map(|r| &r.runs);
    let first = runs.map(|r| r.start).filter(|&s| s >= back).min();
    match first {
        Some(first) => {
            let value = (first - back) as f64;
            report.show("domain back: time to new work", value, "ms");
        }
        None => report.note("the domain got no new work when it was back"),
    }
    report.note("no baseline: direct callers know no domains");
    Ok(report)
}
