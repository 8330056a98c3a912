//! What a hop costs in latency, processor time and memory.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use super::Context;
use crate::cluster::{Cluster, Plan};
use crate::load::{Latency, Load, Pick, Told, count, latency};
use crate::report::{Bound, Report};
use crate::usage;

/// Requests per second at one node in two years, from section 1.7.
const NODE_RATE: f64 = 2_700.0;

/// Latency that a node may add at the 99th percentile, in milliseconds.
const ADDED_P99: f64 = 1.0;

/// Length of a closed loop, in milliseconds.
const SATURATION: u64 = 6_000;

/// Rounds of the latency measurement, an odd number.
const ROUNDS: usize = 15;

/// Forwarded requests per second that a node must carry.
const FORWARDED: f64 = 25_000.0;

/// Compares direct calls with calls through the owner's node and calls that
/// another node forwards to it.
pub fn path_cost(context: &Context) -> io::Result<Report> {
    let plan = plan();
    let load = Load {
        rate: NODE_RATE,
        span: context.span(1_000),
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
    let paths = [
        aim(upstream, &near, "direct"),
        aim(node, &near, "one"),
        aim(node, &far, "two"),
    ];
    at_rate(&mut report, &cluster, &paths)?;
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

/// Two nodes whose upstreams cost next to nothing.
fn plan() -> Plan {
    Plan {
        domains: vec!["kalamaria", "ladadika"],
        fenced: false,
        slots: 400,
        connections: 500,
        service_ms: 0,
        extra: vec!["--connect-ms=0".to_owned()],
        record: false,
        ..Plan::vendor_portal()
    }
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

/// Measures the direct path, one hop and two hops in turn, several times.
/// The medians over the rounds are reported, so that work of others on the
/// machine, which lasts longer than a round, falls on all three alike.
fn at_rate(
    report: &mut Report,
    cluster: &Cluster,
    paths: &[Load; 3],
) -> io::Result<()> {
    let mut found = [const { Vec::new() }; 3];
    let mut cpu = [const { Vec::new() }; 3];
    let mut unanswered = 0;
    for _ in 0..ROUNDS {
        for (path, load) in paths.iter().enumerate() {
            let before = ingress(cluster)?;
            let samples = load.run()?;
            let used = ingress(cluster)?.cpu - before.cpu;
            cpu[path].push(used / samples.len() as f64 * 1e6);
            found[path].push(latency(&samples));
            unanswered += samples.len() - count(&samples, Told::Answered);
        }
    }
    let [base, hops @ ..] = &found;
    let middle = |of: fn(&Latency) -> f64, rounds: &[Latency]| {
        median(rounds.iter().map(of).collect())
    };
    for (path, hop) in hops.iter().enumerate() {
        let name = ["one hop", "two hops"][path];
        let title = |what: &str| format!("{name} at 2,700/s: {what}");
        for (what, of) in
            [("p50", (|l| l.p50) as fn(&Latency) -> f64), ("p99", |l| l.p99)]
        {
            let (ours, theirs) = (middle(of, hop), middle(of, base));
            report.compare(title(what), ours, "ms", theirs);
        }
        let pairs = hop.iter().zip(base);
        let added = median(pairs.map(|(h, b)| h.p99 - b.p99).collect());
        let bound = Bound::Most(ADDED_P99);
        report.bound(title("added p99"), added, "ms", bound);
        let cpu = median(cpu[path + 1].clone());
        report.show(title("cpu per request"), cpu, "us");
    }
    report.show("memory at 2,700/s", ingress(cluster)?.memory, "MiB");
    report.show("not answered at 2,700/s", unanswered as f64, "");
    Ok(())
}

/// The middle of an odd number of values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Answers per second of a closed loop, and its latency.
fn closed(load: &Load) -> io::Result<(f64, Latency)> {
    let load = Load {
        rate: 0.0,
        workers: 48,
        threads: 2,
        span: SATURATION,
        ..load.clone()
    };
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
    let seconds = SATURATION as f64 / 1_000.0;
    let cores = (after.cpu - before.cpu) / seconds;
    report.show(title("processor"), cores, "cores");
    report.show(title("memory"), after.memory, "MiB");
    Ok(())
}
