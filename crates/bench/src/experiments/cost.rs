//! What a hop costs in latency, processor time and memory.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use super::{Context, add_counts};
use crate::cluster::{Cluster, Plan};
use crate::load::{Latency, Load, Pick, Sample, Told, count, latency};
use crate::report::{Bound, Report};
use crate::usage;

/// Requests per second at one node in two years, from section 1.7.
const NODE_RATE: f64 = 2_700.0;

/// Latency that a node may add at the 99th percentile, in milliseconds.
const ADDED_P99: f64 = 1.0;

/// Forwarded requests per second that a node must carry.
const FORWARDED: f64 = 25_000.0;

/// Compares direct calls with calls through the owner's node and calls that
/// another node forwards to it.
pub fn path_cost(context: &Context) -> io::Result<Report> {
    let plan = Plan {
        domains: vec!["kalamaria", "ladadika"],
        fenced: false,
        slots: 400,
        connections: 500,
        service_ms: 0,
        extra: vec!["--connect-ms=0".to_owned()],
        record: false,
        ..Plan::vendor_portal()
    };
    let load = Load {
        rate: NODE_RATE,
        span: context.span(8_000),
        keys: (0..1_000).collect(),
        posts: false,
        service: plan.service.to_owned(),
        seed: context.seed,
        ..Load::default()
    };
    let cluster = Cluster::start(plan, &context.place)?;
    let (near, far) = owners(&cluster, &load)?;
    let node = cluster.members[0].settings.listen;
    let upstream = cluster.members[0].settings.upstream.addr;
    let aim = |addr: SocketAddr, keys: &[u32], tag: &str| Load {
        targets: vec![addr],
        keys: keys.to_vec(),
        tag: tag.to_owned(),
        ..load.clone()
    };
    let mut report = Report::new("path-cost", context.seed);
    let base = latency(&aim(upstream, &near, "direct").run()?);
    for (name, keys) in [("one hop", &near), ("two hops", &far)] {
        let load = aim(node, keys, name.split(' ').next().unwrap_or(name));
        at_rate(&mut report, &cluster, name, &load, base)?;
    }
    let direct = closed(&aim(upstream, &near, "direct-most"))?.0;
    for (name, keys, bound) in
        [("one hop", &near, None), ("two hops", &far, Some(FORWARDED))]
    {
        let load = aim(node, keys, "most");
        at_most(&mut report, &cluster, name, &load, bound, direct)?;
    }
    report.note("two hops: caller, ingress, owner's node, upstream");
    report.note("processor time is of the ingress node");
    Ok(report)
}

/// The keys that the first member owns, and those that the second owns.
fn owners(cluster: &Cluster, load: &Load) -> io::Result<(Vec<u32>, Vec<u32>)> {
    let load = Load {
        targets: cluster.nodes(),
        span: 2_000,
        tag: "find".to_owned(),
        pick: Pick::RoundRobin,
        ..load.clone()
    };
    let mut by_key = HashMap::new();
    for sample in load.run()? {
        if let Some(name) = sample.upstream {
            by_key.insert(sample.key, name);
        }
    }
    let first = &cluster.members[0].settings.upstream.name;
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (key, name) in by_key {
        let side = if *name == **first { &mut near } else { &mut far };
        side.push(key);
    }
    near.sort_unstable();
    far.sort_unstable();
    if near.is_empty() || far.is_empty() {
        let text = format!("{} and {} keys owned", near.len(), far.len());
        return Err(io::Error::other(text));
    }
    Ok((near, far))
}

fn ingress(cluster: &Cluster) -> io::Result<usage::Usage> {
    let node = cluster.members[0].node.as_ref();
    usage::of(node.map_or(0, lagoondyke_standin::process::Process::id))
}

fn at_rate(
    report: &mut Report,
    cluster: &Cluster,
    name: &str,
    load: &Load,
    base: Latency,
) -> io::Result<()> {
    let before = ingress(cluster)?;
    let samples = load.run()?;
    let after = ingress(cluster)?;
    let found = latency(&samples);
    let title = |what: &str| format!("{name} at 2,700/s: {what}");
    report.compare(title("p50"), found.p50, "ms", base.p50);
    report.compare(title("p99"), found.p99, "ms", base.p99);
    let added = found.p99 - base.p99;
    report.bound(title("added p99"), added, "ms", Bound::Most(ADDED_P99));
    let cpu = (after.cpu - before.cpu) / samples.len() as f64 * 1e6;
    report.show(title("cpu per request"), cpu, "us");
    report.show(title("memory"), after.memory, "MiB");
    unanswered(report, &samples);
    Ok(())
}

/// Answers per second of a closed loop, and its latency.
fn closed(load: &Load) -> io::Result<(f64, Latency)> {
    let load = Load { rate: 0.0, workers: 48, threads: 2, ..load.clone() };
    let samples = load.run()?;
    let answered = count(&samples, Told::Answered) as f64;
    Ok((answered * 1_000.0 / load.span as f64, latency(&samples)))
}

fn at_most(
    report: &mut Report,
    cluster: &Cluster,
    name: &str,
    load: &Load,
    bound: Option<f64>,
    direct: f64,
) -> io::Result<()> {
    let before = ingress(cluster)?;
    let (rate, found) = closed(load)?;
    let after = ingress(cluster)?;
    let title = |what: &str| format!("{name} at saturation: {what}");
    match bound {
        Some(least) => report.compare_bound(
            title("answers"),
            rate,
            "/s",
            direct,
            Bound::Least(least),
        ),
        None => report.compare(title("answers"), rate, "/s", direct),
    }
    report.show(title("p50"), found.p50, "ms");
    report.show(title("p99"), found.p99, "ms");
    let seconds = load.span as f64 / 1_000.0;
    let cores = (after.cpu - before.cpu) / seconds;
    report.show(title("processor"), cores, "cores");
    report.show(title("memory"), after.memory, "MiB");
    Ok(())
}

fn unanswered(report: &mut Report, samples: &[Sample]) {
    if count(samples, Told::Answered) < samples.len() {
        add_counts(report, samples);
    }
}
