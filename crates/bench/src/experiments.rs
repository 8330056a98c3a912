//! The experiments by name.

mod basic;
mod cost;
mod loss;
mod quickstart;
mod strain;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use lagoondyke_standin::time::monotonic_ms;

use crate::check::{Faults, Record, faults};
use crate::cluster::{Cluster, Place};
use crate::load::{Load, Pick, Sample, Told, count, latency, reasons};
use crate::report::{Bound, Report};

/// Time within which a key is served again after a loss, in milliseconds.
pub const SERVED_AGAIN: f64 = 3_000.0;

/// Time within which a domain that is out gets no new work, in
/// milliseconds.
pub const DOMAIN_OUT: f64 = 3_000.0;

/// Time within which a configuration is in force, in milliseconds.
pub const CONFIG_IN_FORCE: f64 = 4_000.0;

/// What all experiments are given.
#[derive(Clone, Debug)]
pub struct Context {
    /// Directories of programs and records.
    pub place: Place,
    /// Directory of the example settings.
    pub examples: PathBuf,
    /// Seed of random choices.
    pub seed: u64,
    /// Divides the length of each load, for a quick trial.
    pub hurry: u64,
}

impl Context {
    /// A length of load in milliseconds, shortened in a hurry.
    #[must_use]
    fn span(&self, ms: u64) -> u64 {
        ms / self.hurry.max(1)
    }

    /// A load of an experiment's cluster at `share` of its capacity.
    fn load(&self, plan: &crate::cluster::Plan, share: f64) -> Load {
        Load {
            rate: plan.capacity() * share,
            service: plan.service.to_owned(),
            seed: self.seed,
            ..Load::default()
        }
    }
}

/// An experiment.
pub type Experiment = fn(&Context) -> io::Result<Report>;

/// All experiments by name.
pub const ALL: &[(&str, Experiment)] = &[
    ("quickstart", quickstart::quickstart),
    ("steady", basic::steady),
    ("straggler", strain::straggler),
    ("cold-start", strain::cold_start),
    ("zone-out", basic::zone_out),
    ("owner-loss", loss::owner_loss),
    ("store-outage", loss::store_outage),
    ("poison", loss::poison),
    ("overload", strain::overload),
    ("path-cost", cost::path_cost),
];

/// Sleeps until `ms` milliseconds after `start`, an instant of
/// `CLOCK_MONOTONIC` in milliseconds.
fn wait_until(start: u64, ms: u64) {
    let left = (start + ms).saturating_sub(monotonic_ms());
    std::thread::sleep(Duration::from_millis(left));
}

/// A load sent straight to the upstreams by a caller's own rule, as the
/// baseline of the same cluster.
fn direct(cluster: &Cluster, load: &Load, pick: Pick) -> Load {
    Load {
        targets: cluster.upstreams(),
        pick,
        tag: format!("{}-direct-{pick:?}", load.tag),
        ..load.clone()
    }
}

/// Adds counts by verdict and the bounds that follow from the guarantees.
fn add_truth(
    report: &mut Report,
    records: &[Record],
    samples: &[Sample],
    tag: &str,
    keyed: bool,
) {
    let Faults { owners, doubles, missing, untrue } =
        faults(records, samples, tag, keyed);
    add_counts(report, samples);
    let mut none = |name: &str, value: usize| {
        report.bound(name, value as f64, "", Bound::Most(0.0));
    };
    if keyed {
        none("keys with two owners", owners);
    }
    none("non-idempotent requests run twice", doubles);
    none("answered requests without a run", missing);
    none("not-run refusals that ran", untrue);
}

/// Adds counts by verdict.
fn add_counts(report: &mut Report, samples: &[Sample]) {
    report.show("sent", samples.len() as f64, "");
    for (name, told) in [
        ("answered", Told::Answered),
        ("refused not-run", Told::NotRun),
        ("refused may-have-run", Told::MayHaveRun),
        ("connection lost", Told::Lost),
        ("no connection", Told::Unsent),
    ] {
        report.show(name, count(samples, told) as f64, "");
    }
    for (reason, count) in reasons(samples) {
        report.note(format!("{count} times: {reason}"));
    }
}

/// Adds the latency of the answered `samples`, and the number of others,
/// beside those of a baseline.
fn add_latency(report: &mut Report, samples: &[Sample], base: &[Sample]) {
    let (ours, theirs) = (latency(samples), latency(base));
    let unanswered =
        |s: &[Sample]| (s.len() - count(s, Told::Answered)) as f64;
    let (refused, base_refused) = (unanswered(samples), unanswered(base));
    report.compare("requests not answered", refused, "", base_refused);
    report.compare("latency p50", ours.p50, "ms", theirs.p50);
    report.compare("latency p99", ours.p99, "ms", theirs.p99);
}
