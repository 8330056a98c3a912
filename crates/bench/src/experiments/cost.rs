//! Cost of a hop through a node: latency, processor time and memory.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use super::Context;
use crate::cluster::{Cluster, Plan};
use crate::load::{
    CallOutcome, Latency, TargetPolicy, Workload, count_outcome, latency,
};
use crate::report::{Bound, Report};
use crate::usage;

/// Rate that one node is expected to serve in two years, from section 1.7.
const NODE_RATE_PER_SEC: f64 = 2_700.0;

/// Latency at the 99th percentile that a hop may add to a direct call.
const MAX_ADDED_P99_MS: f64 = 1.0;

/// Duration of a closed loop that saturates a path.
const SATURATION_MS: u64 = 6_000;

/// Rounds of the latency measurement; odd, so that the median is the value of
/// one round.
const ROUND_COUNT: usize = 15;

/// Rate at which a node must be able to forward requests to another node.
const MIN_FORWARDED_PER_SEC: f64 = 25_000.0;

/// Compares direct calls to an upstream with calls through the owner's node
/// (one hop) and calls that another node forwards to the owner's (two hops).
pub fn path_cost(context: &Context) -> io::Result<Report> {
    let plan = two_node_plan();
    let load = Workload {
        rate: NODE_RATE_PER_SEC,
        duration_ms: context.scaled_ms(1_000),
        keys: (0..1_000).collect(),
        posts: false,
        service: plan.service.to_owned(),
        seed: context.seed,
        ..Workload::default()
    };
    let cluster = Cluster::start(plan, &context.dirs)?;
    let (local, remote) = keys_by_owner(&cluster, &load)?;
    let node = cluster.members[0].settings.listen;
    let upstream = cluster.members[0].settings.upstream.addr;
    let load_to = |addr: SocketAddr, keys: &[u32], id_prefix: &str| Workload {
        targets: vec![addr],
        keys: keys.to_vec(),
        id_prefix: id_prefix.to_owned(),
        ..load.clone()
    };
    let mut report = Report::new("path-cost", context.seed);
    let paths = [
        load_to(upstream, &local, "direct"),
        load_to(node, &local, "one"),
        load_to(node, &remote, "two"),
    ];
    measure_at_rate(&mut report, &cluster, &paths)?;
    let direct_rate =
        run_closed_loop(&load_to(upstream, &local, "direct-most"))?.0;
    for (name, keys, bound) in [
        ("one hop", &local, None),
        ("two hops", &remote, Some(MIN_FORWARDED_PER_SEC)),
    ] {
        let load = load_to(node, keys, "most");
        measure_saturation(
            &mut report,
            &cluster,
            name,
            &load,
            bound,
            direct_rate,
        )?;
    }
    report.add_note("two hops: caller, ingress, owner's node, upstream");
    report.add_note("processor time is of the ingress node");
    Ok(report)
}

/// Two nodes with upstreams that answer at once, so that the nodes' cost
/// dominates.
fn two_node_plan() -> Plan {
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

/// Finds out by requests which keys the first member owns, and which the
/// second.
fn keys_by_owner(
    cluster: &Cluster,
    load: &Workload,
) -> io::Result<(Vec<u32>, Vec<u32>)> {
    let load = Workload {
        targets: cluster.nodes(),
        duration_ms: 2_000,
        id_prefix: "find".to_owned(),
        policy: TargetPolicy::RoundRobin,
        ..load.clone()
    };
    let mut owner_by_key = HashMap::new();
    for sample in load.run()? {
        if let Some(name) = sample.upstream {
            owner_by_key.insert(sample.key, name);
        }
    }
    let first = &cluster.members[0].settings.upstream.name;
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for (key, name) in owner_by_key {
        let keys = if *name == **first { &mut local } else { &mut remote };
        keys.push(key);
    }
    local.sort_unstable();
    remote.sort_unstable();
    if local.is_empty() || remote.is_empty() {
        let text = format!(
            "a node owns no key: {} and {} keys owned",
            local.len(),
            remote.len()
        );
        return Err(io::Error::other(text));
    }
    Ok((local, remote))
}

/// Usage of the first member's node, at which all requests enter.
fn ingress_usage(cluster: &Cluster) -> io::Result<usage::Usage> {
    let node = cluster.members[0].node.as_ref();
    usage::process_usage(
        node.map_or(0, lagoondyke_standin::process::Process::id),
    )
}

/// Measures the direct path, one hop and two hops in turn, in several rounds,
/// and reports medians over the rounds. Interference by other processes of
/// the machine lasts longer than a round and so affects all three paths
/// alike.
fn measure_at_rate(
    report: &mut Report,
    cluster: &Cluster,
    paths: &[Workload; 3],
) -> io::Result<()> {
    let mut latencies = [const { Vec::new() }; 3];
    let mut cpu = [const { Vec::new() }; 3];
    let mut unanswered = 0;
    for _ in 0..ROUND_COUNT {
        for (path, load) in paths.iter().enumerate() {
            let before = ingress_usage(cluster)?;
            let samples = load.run()?;
            let used = ingress_usage(cluster)?.cpu_secs - before.cpu_secs;
            cpu[path].push(used / samples.len() as f64 * 1e6);
            latencies[path].push(latency(&samples));
            unanswered +=
                samples.len() - count_outcome(&samples, CallOutcome::Answered);
        }
    }
    let [base, hops @ ..] = &latencies;
    let median_of = |of: fn(&Latency) -> f64, rounds: &[Latency]| {
        median(rounds.iter().map(of).collect())
    };
    for (path, hop) in hops.iter().enumerate() {
        let name = ["one hop", "two hops"][path];
        let title = |what: &str| format!("{name} at 2,700/s: {what}");
        for (what, of) in [
            ("p50", (|l| l.p50_ms) as fn(&Latency) -> f64),
            ("p99", |l| l.p99_ms),
        ] {
            let (routed, direct) = (median_of(of, hop), median_of(of, base));
            report.add_compared(title(what), routed, "ms", direct);
        }
        let pairs = hop.iter().zip(base);
        let added = median(pairs.map(|(h, b)| h.p99_ms - b.p99_ms).collect());
        let bound = Bound::Most(MAX_ADDED_P99_MS);
        report.add_bounded(title("added p99"), added, "ms", bound);
        let cpu = median(cpu[path + 1].clone());
        report.add_figure(title("cpu per request"), cpu, "us");
    }
    report.add_figure(
        "memory at 2,700/s",
        ingress_usage(cluster)?.memory_mib,
        "MiB",
    );
    report.add_figure("not answered at 2,700/s", unanswered as f64, "");
    Ok(())
}

/// The median of an odd number of values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Runs a closed loop and returns its answers per second and its latency.
fn run_closed_loop(load: &Workload) -> io::Result<(f64, Latency)> {
    let load = Workload {
        rate: 0.0,
        workers: 48,
        threads: 2,
        duration_ms: SATURATION_MS,
        ..load.clone()
    };
    let samples = load.run()?;
    let answered = count_outcome(&samples, CallOutcome::Answered) as f64;
    Ok((answered * 1_000.0 / load.duration_ms as f64, latency(&samples)))
}

/// Measures a path with as many requests as it can carry. The number of
/// answers is compared with `direct_rate`, that of direct calls, and must
/// reach `bound`, if there is one.
fn measure_saturation(
    report: &mut Report,
    cluster: &Cluster,
    name: &str,
    load: &Workload,
    bound: Option<f64>,
    direct_rate: f64,
) -> io::Result<()> {
    let before = ingress_usage(cluster)?;
    let (rate, latencies) = run_closed_loop(load)?;
    let after = ingress_usage(cluster)?;
    let title = |what: &str| format!("{name} at saturation: {what}");
    match bound {
        Some(min_rate) => report.add_compared_bounded(
            title("answers"),
            rate,
            "/s",
            direct_rate,
            Bound::Least(min_rate),
        ),
        None => report.add_compared(title("answers"), rate, "/s", direct_rate),
    }
    report.add_figure(title("p50"), latencies.p50_ms, "ms");
    report.add_figure(title("p99"), latencies.p99_ms, "ms");
    let seconds = SATURATION_MS as f64 / 1_000.0;
    let cores = (after.cpu_secs - before.cpu_secs) / seconds;
    report.add_figure(title("processor"), cores, "cores");
    report.add_figure(title("memory"), after.memory_mib, "MiB");
    Ok(())
}
