//! Upstreams with reduced capacity, and more load than the upstreams can
//! serve.

use std::collections::BTreeMap;
use std::io;

use lagoondyke_standin::time::monotonic_ms;

use super::{
    Context, add_guarantees, add_latency, direct_baseline, wait_until,
};
use crate::cluster::{Cluster, Plan};
use crate::load::{
    CallOutcome, Sample, TargetPolicy, Workload, count_outcome,
};
use crate::report::{Bound, Report};

/// Change of a cluster under load, such as a slowdown of an upstream.
type Disturbance<'a> = &'a dyn Fn(&Cluster) -> io::Result<()>;

/// Runs a load and applies the disturbance to the cluster after a fifth of
/// the load's duration.
fn run_disturbed(
    cluster: &Cluster,
    load: &Workload,
    disturbance: Disturbance<'_>,
) -> io::Result<Vec<Sample>> {
    let start = monotonic_ms();
    let running = load.start();
    wait_until(start, load.duration_ms / 5);
    disturbance(cluster)?;
    running.join()
}

/// One of three upstreams is ten times slower during half of the load.
pub fn straggler(context: &Context) -> io::Result<Report> {
    let plan = Plan::udlaan();
    let load = Workload {
        duration_ms: context.scaled_ms(10_000),
        ..context.load(&plan, 0.3)
    };
    let cluster = Cluster::start(plan, &context.dirs)?;
    let load = Workload { targets: cluster.nodes(), ..load };
    let slow = format!(r#"{{"ms": {}, "factor": 10}}"#, load.duration_ms / 2);
    let disturbance =
        |cluster: &Cluster| cluster.put_admin(1, "/admin/stall", slow.clone());
    let samples = run_disturbed(&cluster, &load, &disturbance)?;
    cluster.save_samples(&samples)?;
    let base = direct_baseline(&cluster, &load, TargetPolicy::RoundRobin);
    let base_samples = run_disturbed(&cluster, &base, &disturbance)?;
    let records = cluster.records()?;
    let mut report = Report::new("straggler", context.seed);
    add_guarantees(&mut report, &records, &samples, &load.id_prefix, false);
    add_latency(&mut report, &samples, &base_samples);
    report.add_note("baseline: callers choose upstreams round robin");
    Ok(report)
}

/// One of four upstreams loses most of its capacity, as after a restart,
/// while its health endpoint shows no sign of it.
pub fn cold_start(context: &Context) -> io::Result<Report> {
    let extra = ["--cold-ms=3000", "--cold-slots=1"].map(str::to_owned);
    let plan = Plan { extra: extra.to_vec(), ..Plan::depot_ledger() };
    let load = Workload { duration_ms: 12_000, ..context.load(&plan, 0.5) };
    let cluster = Cluster::start(plan, &context.dirs)?;
    // Upstreams also start cold, for 3 s; wait until that phase is over.
    std::thread::sleep(std::time::Duration::from_secs(4));
    let load = Workload { targets: cluster.nodes(), ..load };
    let disturbance =
        |cluster: &Cluster| cluster.put_admin(1, "/admin/cold", "");
    let before = refusal_counts(&cluster)?;
    let samples = run_disturbed(&cluster, &load, &disturbance)?;
    cluster.save_samples(&samples)?;
    let after_load = refusal_counts(&cluster)?;
    std::thread::sleep(std::time::Duration::from_secs(4));
    let before_base = refusal_counts(&cluster)?;
    let base = direct_baseline(&cluster, &load, TargetPolicy::RoundRobin);
    let base_samples = run_disturbed(&cluster, &base, &disturbance)?;
    let after_base = refusal_counts(&cluster)?;
    let records = cluster.records()?;
    let mut report = Report::new("cold-start", context.seed);
    add_guarantees(&mut report, &records, &samples, &load.id_prefix, false);
    add_latency(&mut report, &samples, &base_samples);
    report.add_compared_bounded(
        "overloads of the cold upstream",
        after_load.1 - before.1,
        "",
        after_base.1 - before_base.1,
        Bound::Most(0.0),
    );
    report.add_compared(
        "requests refused by upstreams",
        after_load.0 - before.0,
        "",
        after_base.0 - before_base.0,
    );
    report.add_note("baseline: callers choose upstreams round robin");
    Ok(report)
}

/// Number of requests that the upstreams refused because their queues were
/// full, and how often that happened to a cold upstream.
fn refusal_counts(cluster: &Cluster) -> io::Result<(f64, f64)> {
    let loads = cluster.upstream_loads()?;
    let refused = loads.iter().map(|l| l.refused).sum::<u64>();
    let collapses = loads.iter().map(|l| l.collapses).sum::<u64>();
    Ok((refused as f64, collapses as f64))
}

/// Twice the load that the upstreams can serve, sent evenly by two partners
/// with agreed shares of three to one.
pub fn overload(context: &Context) -> io::Result<Report> {
    let partners = [("settlement", 3), ("stalls", 1)];
    let partners = partners.map(|(name, share)| (name.to_owned(), share));
    let plan =
        Plan { partners: BTreeMap::from(partners), ..Plan::depot_ledger() };
    let capacity = plan.capacity();
    let load = Workload {
        duration_ms: context.scaled_ms(10_000),
        partners: plan.partners.keys().cloned().collect(),
        deadline_ms: 500,
        ..context.load(&plan, 2.0)
    };
    let cluster = Cluster::start(plan, &context.dirs)?;
    let load = Workload { targets: cluster.nodes(), ..load };
    let samples = load.run()?;
    cluster.save_samples(&samples)?;
    let base = direct_baseline(&cluster, &load, TargetPolicy::Random);
    let base_samples = base.run()?;
    let records = cluster.records()?;
    let mut report = Report::new("overload", context.seed);
    add_guarantees(&mut report, &records, &samples, &load.id_prefix, false);
    add_latency(&mut report, &samples, &base_samples);
    let seconds = load.duration_ms as f64 / 1_000.0;
    let goodput = |samples: &[Sample]| {
        count_outcome(samples, CallOutcome::Answered) as f64
            / seconds
            / capacity
    };
    report.add_compared(
        "answered / capacity",
        goodput(&samples),
        "",
        goodput(&base_samples),
    );
    let ratio = partner_ratio(&samples);
    let base_ratio = partner_ratio(&base_samples);
    report.add_compared(
        "answers of partners (agreed 3)",
        ratio,
        "",
        base_ratio,
    );
    report.add_note("baseline: callers choose an upstream at random");
    Ok(report)
}

/// Answers to the first partner divided by those to the second: 3 if
/// capacity is divided as agreed.
fn partner_ratio(samples: &[Sample]) -> f64 {
    let answered = |partner| {
        let of = |s: &&Sample| {
            s.partner == partner && s.outcome == CallOutcome::Answered
        };
        samples.iter().filter(of).count() as f64
    };
    answered(0) / answered(1).max(1.0)
}
