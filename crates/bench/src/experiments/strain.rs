//! Stragglers, cold upstreams and more load than can be served.

use std::collections::BTreeMap;
use std::io;

use lagoondyke_standin::time::monotonic_ms;

use super::{Context, add_latency, add_truth, direct, wait_until};
use crate::cluster::{Cluster, Plan};
use crate::load::{Load, Pick, Sample, Told, count};
use crate::report::{Bound, Report};

/// Something that is done to a cluster under load.
type Disturb<'a> = &'a dyn Fn(&Cluster) -> io::Result<()>;

/// Runs a load and disturbs the cluster after a fifth of it.
fn disturbed(
    cluster: &Cluster,
    load: &Load,
    disturb: Disturb<'_>,
) -> io::Result<Vec<Sample>> {
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, load.span / 5);
    disturb(cluster)?;
    running.join()
}

/// One of three upstreams is ten times slower for a while.
pub fn straggler(context: &Context) -> io::Result<Report> {
    let plan = Plan::udlaan();
    let load = Load { span: context.span(10_000), ..context.load(&plan, 0.3) };
    let cluster = Cluster::start(plan, &context.place)?;
    let load = Load { targets: cluster.nodes(), ..load };
    let slow = format!(r#"{{"ms": {}, "factor": 10}}"#, load.span / 2);
    let disturb =
        |cluster: &Cluster| cluster.admin(1, "/admin/stall", slow.clone());
    let samples = disturbed(&cluster, &load, &disturb)?;
    cluster.keep_samples(&samples)?;
    let base = direct(&cluster, &load, Pick::RoundRobin);
    let base_samples = disturbed(&cluster, &base, &disturb)?;
    let records = cluster.records()?;
    let mut report = Report::new("straggler", context.seed);
    add_truth(&mut report, &records, &samples, &load.tag, false);
    add_latency(&mut report, &samples, &base_samples);
    report.note("baseline: callers choose upstreams round robin");
    Ok(report)
}

/// One of four upstreams turns cold without announcing it.
pub fn cold_start(context: &Context) -> io::Result<Report> {
    let extra = ["--cold-ms=3000", "--cold-slots=1"].map(str::to_owned);
    let plan = Plan { extra: extra.to_vec(), ..Plan::depot_ledger() };
    let load = Load { span: 12_000, ..context.load(&plan, 0.5) };
    let cluster = Cluster::start(plan, &context.place)?;
    // The first cold phase belongs to the start of the processes.
    std::thread::sleep(std::time::Duration::from_secs(4));
    let load = Load { targets: cluster.nodes(), ..load };
    let disturb = |cluster: &Cluster| cluster.admin(1, "/admin/cold", "");
    let before = refusals(&cluster)?;
    let samples = disturbed(&cluster, &load, &disturb)?;
    cluster.keep_samples(&samples)?;
    let between = refusals(&cluster)?;
    std::thread::sleep(std::time::Duration::from_secs(4));
    let again = refusals(&cluster)?;
    let base = direct(&cluster, &load, Pick::RoundRobin);
    let base_samples = disturbed(&cluster, &base, &disturb)?;
    let after = refusals(&cluster)?;
    let records = cluster.records()?;
    let mut report = Report::new("cold-start", context.seed);
    add_truth(&mut report, &records, &samples, &load.tag, false);
    add_latency(&mut report, &samples, &base_samples);
    report.compare_bound(
        "overloads of the cold upstream",
        between.1 - before.1,
        "",
        after.1 - again.1,
        Bound::Most(0.0),
    );
    report.compare(
        "requests refused by upstreams",
        between.0 - before.0,
        "",
        after.0 - again.0,
    );
    report.note("baseline: callers choose upstreams round robin");
    Ok(report)
}

/// Requests that all upstreams refused, and overloads while cold.
fn refusals(cluster: &Cluster) -> io::Result<(f64, f64)> {
    let loads = cluster.loads()?;
    let refused = loads.iter().map(|l| l.refused).sum::<u64>();
    let collapses = loads.iter().map(|l| l.collapses).sum::<u64>();
    Ok((refused as f64, collapses as f64))
}

/// Twice the load that the upstreams can serve, from two partners with
/// shares of three to one.
pub fn overload(context: &Context) -> io::Result<Report> {
    let partners = [("settlement", 3), ("stalls", 1)];
    let partners = partners.map(|(name, share)| (name.to_owned(), share));
    let plan =
        Plan { partners: BTreeMap::from(partners), ..Plan::depot_ledger() };
    let capacity = plan.capacity();
    let load = Load {
        span: context.span(10_000),
        partners: plan.partners.keys().cloned().collect(),
        deadline: 500,
        ..context.load(&plan, 2.0)
    };
    let cluster = Cluster::start(plan, &context.place)?;
    let load = Load { targets: cluster.nodes(), ..load };
    let samples = load.run()?;
    cluster.keep_samples(&samples)?;
    let base = direct(&cluster, &load, Pick::Random);
    let base_samples = base.run()?;
    let records = cluster.records()?;
    let mut report = Report::new("overload", context.seed);
    add_truth(&mut report, &records, &samples, &load.tag, false);
    add_latency(&mut report, &samples, &base_samples);
    let seconds = load.span as f64 / 1_000.0;
    let good = |samples: &[Sample]| {
        count(samples, Told::Answered) as f64 / seconds / capacity
    };
    report.compare(
        "answered / capacity",
        good(&samples),
        "",
        good(&base_samples),
    );
    let ratio = partner_ratio(&samples);
    let base_ratio = partner_ratio(&base_samples);
    report.compare("answers of partners (agreed 3)", ratio, "", base_ratio);
    report.note("baseline: callers choose an upstream at random");
    Ok(report)
}

/// Answers to the first partner divided by those to the second.
fn partner_ratio(samples: &[Sample]) -> f64 {
    let answered = |partner| {
        let of =
            |s: &&Sample| s.partner == partner && s.told == Told::Answered;
        samples.iter().filter(of).count() as f64
    };
    answered(0) / answered(1).max(1.0)
}
