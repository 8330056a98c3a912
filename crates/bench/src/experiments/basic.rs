//! Service without faults, and a domain that is taken out of service and
//! returned to it.

use std::io;

use lagoondyke_standin::time::monotonic_ms;

use super::{
    Context, MAX_CONFIG_APPLY_MS, MAX_DOMAIN_OUT_MS, MAX_UNSERVED_MS,
    add_guarantees, add_latency, direct_baseline, wait_until,
};
use crate::check::{Record, imbalance, last_start_ms, longest_unserved_ms};
use crate::cluster::{Cluster, Plan};
use crate::load::{TargetPolicy, Workload};
use crate::report::{Bound, Report};

/// The records with only the runs of requests whose id is `id_prefix`, `-`
/// and a number, as one workload sends them. Other workloads on the same
/// cluster may have ids that start alike.
fn runs_with_prefix(records: &[Record], id_prefix: &str) -> Vec<Record> {
    let prefix = format!("{id_prefix}-");
    let mut filtered = records.to_vec();
    for record in &mut filtered {
        record.runs.retain(|run| {
            run.id
                .strip_prefix(&prefix)
                .is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()))
        });
    }
    filtered
}

/// Duration of the load before the measured one.
const WARMUP_MS: u64 = 3_000;

/// Load spread evenly over keys at half of the capacity. The baseline, on the
/// same cluster after it, is callers that choose upstreams at random.
pub fn steady(context: &Context) -> io::Result<Report> {
    // Callers of the baseline send no fences, so upstreams must not require
    // them.
    let plan = Plan { fenced: false, ..Plan::vendor_portal() };
    let load = Workload {
        duration_ms: context.scaled_ms(10_000),
        keys: (0..2_000).collect(),
        ..context.load(&plan, 0.5)
    };
    let cluster = Cluster::start(plan, &context.dirs)?;
    let load = Workload { targets: cluster.nodes(), ..load };
    // Concurrency limits begin at 1 when a node starts. The cold-start
    // experiment covers that phase, so a load that is not measured precedes
    // this one.
    let warm = Workload {
        duration_ms: WARMUP_MS,
        id_prefix: "warm".to_owned(),
        ..load.clone()
    };
    warm.run()?;
    let before = cluster.counts()?;
    let samples = load.run()?;
    cluster.save_samples(&samples)?;
    let after = cluster.counts()?;
    let base = direct_baseline(&cluster, &load, TargetPolicy::Random);
    let base_samples = base.run()?;
    let records = cluster.records()?;
    let (node_records, base_records) = (
        runs_with_prefix(&records, &load.id_prefix),
        runs_with_prefix(&records, &base.id_prefix),
    );
    let mut report = Report::new("steady", context.seed);
    add_guarantees(
        &mut report,
        &node_records,
        &samples,
        &load.id_prefix,
        true,
    );
    add_latency(&mut report, &samples, &base_samples);
    report.add_compared(
        "imbalance: most runs / mean",
        imbalance(&node_records),
        "",
        imbalance(&base_records),
    );
    report.add_compared(
        "keys that ran at several upstreams",
        moved_key_count(&node_records),
        "",
        moved_key_count(&base_records),
    );
    let calls = (after.total() - before.total()) as f64;
    let seconds = load.duration_ms as f64 / 1_000.0;
    report.add_figure("store calls per second", calls / seconds, "/s");
    report.add_note("baseline: callers choose an upstream at random");
    Ok(report)
}

/// Number of keys that ran at more than one upstream.
fn moved_key_count(records: &[Record]) -> f64 {
    let mut upstreams = std::collections::BTreeMap::new();
    for (index, record) in records.iter().enumerate() {
        for run in record.runs.iter().filter(|r| !r.key.is_empty()) {
            let set: &mut std::collections::BTreeSet<_> =
                upstreams.entry(&run.key).or_default();
            set.insert(index);
        }
    }
    upstreams.values().filter(|set| set.len() > 1).count() as f64
}

/// A domain is taken out of service under load and returned 6 s later.
pub fn zone_out(context: &Context) -> io::Result<Report> {
    let plan = Plan::vendor_portal();
    let load = Workload { duration_ms: 16_000, ..context.load(&plan, 0.4) };
    let mut cluster = Cluster::start(plan, &context.dirs)?;
    let load = Workload { targets: cluster.nodes(), ..load };
    let domain = "kalamaria";
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, 3_000);
    let out_ms = cluster.set_domain_out(domain, true)?;
    let version = cluster.config_version()?;
    let apply_ms = cluster.wait_for_config(version, out_ms)?;
    wait_until(start, 9_000);
    let back_ms = cluster.set_domain_out(domain, false)?;
    let samples = running.join()?;
    cluster.save_samples(&samples)?;
    let records = cluster.records()?;
    let out_records: Vec<_> =
        cluster.domain_members(domain).iter().map(|&i| &records[i]).collect();
    let mut report = Report::new("zone-out", context.seed);
    add_guarantees(&mut report, &records, &samples, &load.id_prefix, true);
    let last_ms =
        last_start_ms(out_records.iter().copied(), out_ms, back_ms) as f64;
    let bound = Bound::Most(MAX_DOMAIN_OUT_MS);
    report.add_bounded(
        "domain out: time to last new work",
        last_ms,
        "ms",
        bound,
    );
    let bound = Bound::Most(MAX_CONFIG_APPLY_MS);
    let value = apply_ms as f64;
    report.add_bounded(
        "configuration in force at all nodes",
        value,
        "ms",
        bound,
    );
    let bound = Bound::Most(MAX_UNSERVED_MS);
    let value = longest_unserved_ms(&samples);
    report.add_bounded(
        "longest time a key was not served",
        value,
        "ms",
        bound,
    );
    let runs = out_records.iter().flat_map(|r| &r.runs);
    let first = runs.map(|r| r.start).filter(|&s| s >= back_ms).min();
    match first {
        Some(first) => {
            let value = (first - back_ms) as f64;
            report.add_figure("domain back: time to new work", value, "ms");
        }
        None => report.add_note("the domain got no new work when it was back"),
    }
    report.add_note("no baseline: direct callers know no domains");
    Ok(report)
}
