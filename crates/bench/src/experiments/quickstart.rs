//! A tour within a minute: two domains, a loss, and a domain taken out.

use std::fs;
use std::io;

use lagoondyke_core::config::Config;
use lagoondyke_core::id::NodeAddr;
use lagoondyke_core::settings::Settings;
use lagoondyke_standin::process::free_addr;
use lagoondyke_standin::time::monotonic_ms;

use super::{Context, DOMAIN_OUT, SERVED_AGAIN, add_truth, wait_until};
use crate::check::{Record, last_start, longest_unserved};
use crate::cluster::{Cluster, Plan};
use crate::load::{Load, Sample};
use crate::report::{Bound, Report};

/// Requests, spread over the whole load.
const REQUESTS: u64 = 1_000;

/// Length of the load, in milliseconds.
const SPAN: u64 = 20_000;

/// When a node and its upstream are killed, in milliseconds of the load.
const KILL: u64 = 5_000;

/// When a domain is taken out, in milliseconds of the load.
const OUT: u64 = 12_000;

/// Sends 1,000 requests for 200 keys through four nodes while one node and
/// its upstream are killed and a domain is taken out of service.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started.
pub fn quickstart(context: &Context) -> io::Result<Report> {
    let mut cluster = start(context)?;
    let load = Load {
        targets: cluster.nodes(),
        rate: REQUESTS as f64 * 1_000.0 / SPAN as f64,
        span: SPAN,
        most: REQUESTS,
        service: "vendor-portal".to_owned(),
        seed: context.seed,
        ..Load::default()
    };
    let victim = cluster.leader()?;
    let domain = cluster.members[victim].settings.domain.clone();
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, KILL);
    cluster.kill(victim)?;
    wait_until(start, OUT);
    let out = cluster.set_out(&domain, true)?;
    let samples = running.join()?;
    cluster.keep_samples(&samples)?;
    let records = cluster.records()?;
    let leaving: Vec<_> =
        cluster.in_domain(&domain).iter().map(|&i| &records[i]).collect();
    let mut report = Report::new("quickstart", context.seed);
    fill(&mut report, &records, &samples, &load.tag);
    add_domain_out(&mut report, &leaving, out);
    report.note(format!(
        "killed {} and its upstream, then took {domain} out",
        cluster.members[victim].settings.upstream.name
    ));
    Ok(report)
}

/// Starts the nodes of the example settings on free ports, with an upstream
/// each.
fn start(context: &Context) -> io::Result<Cluster> {
    let plan = Plan {
        domains: vec!["kalamaria", "kalamaria", "ladadika", "ladadika"],
        service_ms: 5,
        ..Plan::vendor_portal()
    };
    let file = context.examples.join("thessaloniki.jsonc");
    if !file.exists() {
        return Cluster::start(plan, &context.place);
    }
    let bad = |e: &dyn std::fmt::Display| io::Error::other(e.to_string());
    let config = Config::parse(fs::read(file)?, None).map_err(|e| bad(&e))?;
    let (mut all, store) = (Vec::new(), free_addr()?);
    for name in ["kalamaria-1", "kalamaria-2", "ladadika-1", "ladadika-2"] {
        let file = context.examples.join(format!("node-{name}.jsonc"));
        let mut one = Settings::parse(fs::read(file)?).map_err(|e| bad(&e))?;
        // The ports of the examples may be in use for a trial by hand.
        one.addr = NodeAddr(free_addr()?);
        one.listen = free_addr()?;
        one.upstream.addr = free_addr()?;
        one.store = store;
        all.push(one);
    }
    let fenced =
        config.services.get("vendor-portal").is_some_and(|s| s.fenced);
    let plan = Plan { fenced, ..plan };
    Cluster::start_with(plan, &context.place, store, all, config)
}

fn fill(
    report: &mut Report,
    records: &[Record],
    samples: &[Sample],
    tag: &str,
) {
    add_truth(report, records, samples, tag, true);
    let longest = longest_unserved(samples);
    let bound = Bound::Most(SERVED_AGAIN);
    report.bound("longest time a key was not served", longest, "ms", bound);
}

fn add_domain_out(report: &mut Report, leaving: &[&Record], out: u64) {
    // Without work before, the next figure would say nothing.
    let before = leaving.iter().flat_map(|r| &r.runs);
    let before = before.filter(|r| r.start + 1_000 > out && r.start < out);
    let (before, bound) = (before.count() as f64, Bound::Least(1.0));
    report.bound("domain out: runs in the second before", before, "", bound);
    let last = last_start(leaving.iter().copied(), out, u64::MAX);
    let bound = Bound::Most(DOMAIN_OUT);
    report.bound(
        "domain out: time to last new work",
        last as f64,
        "ms",
        bound,
    );
}
