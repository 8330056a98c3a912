//! A tour of less than a minute: four nodes in two domains, the loss of a
//! member, and a domain taken out of service.

use std::fs;
use std::io;

use lagoondyke_core::config::Config;
use lagoondyke_core::id::NodeAddr;
use lagoondyke_core::settings::Settings;
use lagoondyke_standin::process::free_addr;
use lagoondyke_standin::time::monotonic_ms;

use super::{
    Context, MAX_DOMAIN_OUT_MS, MAX_UNSERVED_MS, add_guarantees, wait_until,
};
use crate::check::{Record, last_start_ms, longest_unserved_ms};
use crate::cluster::{Cluster, Plan};
use crate::load::{Sample, Workload};
use crate::report::{Bound, Report};

/// Number of requests, spread evenly over the load.
const REQUEST_COUNT: u64 = 1_000;

/// Duration of the load.
const LOAD_MS: u64 = 20_000;

/// Time after the start of the load at which a node and its upstream are
/// killed.
const KILL_AT_MS: u64 = 5_000;

/// Time after the start of the load at which a domain is taken out of
/// service.
const DOMAIN_OUT_AT_MS: u64 = 12_000;

/// Sends 1,000 requests for 200 keys through four nodes while the leading
/// node and its upstream are killed and its domain is taken out of service.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started or a process cannot be
/// controlled.
pub fn quickstart(context: &Context) -> io::Result<Report> {
    let mut cluster = start_cluster(context)?;
    let load = Workload {
        targets: cluster.nodes(),
        rate: REQUEST_COUNT as f64 * 1_000.0 / LOAD_MS as f64,
        duration_ms: LOAD_MS,
        max_requests: REQUEST_COUNT,
        service: "vendor-portal".to_owned(),
        seed: context.seed,
        ..Workload::default()
    };
    let victim = cluster.leader()?;
    let domain = cluster.members[victim].settings.domain.clone();
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, KILL_AT_MS);
    cluster.kill(victim)?;
    wait_until(start, DOMAIN_OUT_AT_MS);
    let out_ms = cluster.set_domain_out(&domain, true)?;
    let samples = running.join()?;
    cluster.save_samples(&samples)?;
    let records = cluster.records()?;
    let out_records: Vec<_> =
        cluster.domain_members(&domain).iter().map(|&i| &records[i]).collect();
    let mut report = Report::new("quickstart", context.seed);
    add_load_figures(&mut report, &records, &samples, &load.id_prefix);
    add_domain_out(&mut report, &out_records, out_ms);
    report.add_note(format!(
        "killed {} and its upstream, then took {domain} out",
        cluster.members[victim].settings.upstream.name
    ));
    Ok(report)
}

/// Starts the nodes of the example settings, each with an upstream, on free
/// ports. Without the examples it starts a cluster of the same size.
fn start_cluster(context: &Context) -> io::Result<Cluster> {
    let plan = Plan {
        domains: vec!["kalamaria", "kalamaria", "ladadika", "ladadika"],
        service_ms: 5,
        ..Plan::vendor_portal()
    };
    let path = context.examples.join("thessaloniki.jsonc");
    if !path.exists() {
        return Cluster::start(plan, &context.dirs);
    }
    let invalid = |e: &dyn std::fmt::Display| io::Error::other(e.to_string());
    let config =
        Config::parse(fs::read(path)?, None).map_err(|e| invalid(&e))?;
    let (mut settings_list, store) = (Vec::new(), free_addr()?);
    for name in ["kalamaria-1", "kalamaria-2", "ladadika-1", "ladadika-2"] {
        let path = context.examples.join(format!("node-{name}.jsonc"));
        let mut settings =
            Settings::parse(fs::read(path)?).map_err(|e| invalid(&e))?;
        // A user who tries out the examples may run nodes on their ports.
        settings.addr = NodeAddr(free_addr()?);
        settings.listen = free_addr()?;
        settings.upstream.addr = free_addr()?;
        settings.store = store;
        settings_list.push(settings);
    }
    let fenced =
        config.services.get("vendor-portal").is_some_and(|s| s.fenced);
    let plan = Plan { fenced, ..plan };
    Cluster::start_with(plan, &context.dirs, store, settings_list, config)
}

fn add_load_figures(
    report: &mut Report,
    records: &[Record],
    samples: &[Sample],
    id_prefix: &str,
) {
    add_guarantees(report, records, samples, id_prefix, true);
    let longest = longest_unserved_ms(samples);
    let bound = Bound::Most(MAX_UNSERVED_MS);
    report.add_bounded(
        "longest time a key was not served",
        longest,
        "ms",
        bound,
    );
}

fn add_domain_out(report: &mut Report, out_records: &[&Record], out_ms: u64) {
    // If the domain ran nothing before, the time to the last new work below
    // would hold trivially.
    let runs_before = out_records.iter().flat_map(|r| &r.runs);
    let runs_before =
        runs_before.filter(|r| r.start + 1_000 > out_ms && r.start < out_ms);
    let (runs_before, bound) = (runs_before.count() as f64, Bound::Least(1.0));
    report.add_bounded(
        "domain out: runs in the second before",
        runs_before,
        "",
        bound,
    );
    let last = last_start_ms(out_records.iter().copied(), out_ms, u64::MAX);
    let bound = Bound::Most(MAX_DOMAIN_OUT_MS);
    report.add_bounded(
        "domain out: time to last new work",
        last as f64,
        "ms",
        bound,
    );
}
