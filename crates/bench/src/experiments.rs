//! The experiments, and what they share.

mod basic;
mod capacity;
mod cost;
mod loss;
mod quickstart;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use lagoondyke_standin::time::monotonic_ms;

use crate::check::{Record, Violations, find_violations};
use crate::cluster::{Cluster, Directories};
use crate::load::{
    CallOutcome, Sample, TargetPolicy, Workload, count_outcome, latency,
    top_reasons,
};
use crate::report::{Bound, Report};

/// Longest time for which a key may go unserved while members are lost, the
/// store is down or a domain is taken out of service.
pub const MAX_UNSERVED_MS: f64 = 3_000.0;

/// Time within which a domain that is taken out of service must stop getting
/// new work.
pub const MAX_DOMAIN_OUT_MS: f64 = 3_000.0;

/// Time within which a new configuration must be in force at all nodes.
pub const MAX_CONFIG_APPLY_MS: f64 = 4_000.0;

/// Settings common to all experiments, from the command line.
#[derive(Clone, Debug)]
pub struct Context {
    /// Where programs are found and records are kept.
    pub dirs: Directories,
    /// Directory of the example settings.
    pub examples: PathBuf,
    /// Seed of the load's random choices.
    pub seed: u64,
    /// Divides the duration of loads that can be shortened, for a quick
    /// trial; 0 counts as 1.
    pub time_divisor: u64,
}

impl Context {
    /// The duration `ms` of a load, divided by `time_divisor`.
    #[must_use]
    fn scaled_ms(&self, ms: u64) -> u64 {
        ms / self.time_divisor.max(1)
    }

    /// A load without targets at `share` of the capacity of `plan`.
    fn load(&self, plan: &crate::cluster::Plan, share: f64) -> Workload {
        Workload {
            rate: plan.capacity() * share,
            service: plan.service.to_owned(),
            seed: self.seed,
            ..Workload::default()
        }
    }
}

/// Runs an experiment on clusters of its own. Returns an error if it could
/// not be run; a bound that does not hold is reported as a figure.
pub type Experiment = fn(&Context) -> io::Result<Report>;

/// All experiments by the names used on the command line, in the order in
/// which `all` runs them.
pub const ALL: &[(&str, Experiment)] = &[
    ("quickstart", quickstart::quickstart),
    ("steady", basic::steady),
    ("straggler", capacity::straggler),
    ("cold-start", capacity::cold_start),
    ("zone-out", basic::zone_out),
    ("owner-loss", loss::owner_loss),
    ("store-outage", loss::store_outage),
    ("poison", loss::poison),
    ("overload", capacity::overload),
    ("path-cost", cost::path_cost),
];

/// Sleeps until `ms` milliseconds after `start`, a time in milliseconds of
/// `CLOCK_MONOTONIC`.
fn wait_until(start: u64, ms: u64) {
    let remaining_ms = (start + ms).saturating_sub(monotonic_ms());
    std::thread::sleep(Duration::from_millis(remaining_ms));
}

/// The same load sent to the upstreams directly, which callers choose by
/// `policy`, as the baseline on the same cluster.
fn direct_baseline(
    cluster: &Cluster,
    load: &Workload,
    policy: TargetPolicy,
) -> Workload {
    Workload {
        targets: cluster.upstreams(),
        policy,
        id_prefix: format!("{}-direct-{policy:?}", load.id_prefix),
        ..load.clone()
    }
}

/// Adds the number of requests by outcome, and for each guarantee the number
/// of violations with the bound 0.
fn add_guarantees(
    report: &mut Report,
    records: &[Record],
    samples: &[Sample],
    id_prefix: &str,
    keyed: bool,
) {
    let Violations {
        owner_conflicts,
        duplicate_runs,
        missing_runs,
        false_refusals,
    } = find_violations(records, samples, id_prefix, keyed);
    add_outcome_counts(report, samples);
    let mut forbid = |name: &str, value: usize| {
        report.add_bounded(name, value as f64, "", Bound::Most(0.0));
    };
    if keyed {
        forbid("keys with two owners", owner_conflicts);
    }
    forbid("non-idempotent requests run twice", duplicate_runs);
    forbid("answered requests without a run", missing_runs);
    forbid("not-run refusals that ran", false_refusals);
}

/// Adds the number of requests by outcome, and the most frequent reasons of
/// those that were not answered.
fn add_outcome_counts(report: &mut Report, samples: &[Sample]) {
    report.add_figure("sent", samples.len() as f64, "");
    for (name, outcome) in [
        ("answered", CallOutcome::Answered),
        ("refused not-run", CallOutcome::NotRun),
        ("refused may-have-run", CallOutcome::MayHaveRun),
        ("connection lost", CallOutcome::Lost),
        ("no connection", CallOutcome::Unsent),
    ] {
        report.add_figure(name, count_outcome(samples, outcome) as f64, "");
    }
    for (reason, count) in top_reasons(samples) {
        report.add_note(format!("{count} times: {reason}"));
    }
}

/// Adds the latency of answered requests and the number of the others, each
/// compared with the baseline's.
fn add_latency(report: &mut Report, samples: &[Sample], base: &[Sample]) {
    let (routed, direct) = (latency(samples), latency(base));
    let unanswered = |s: &[Sample]| {
        (s.len() - count_outcome(s, CallOutcome::Answered)) as f64
    };
    let (refused, base_refused) = (unanswered(samples), unanswered(base));
    report.add_compared("requests not answered", refused, "", base_refused);
    report.add_compared("latency p50", routed.p50_ms, "ms", direct.p50_ms);
    report.add_compared("latency p99", routed.p99_ms, "ms", direct.p99_ms);
}
