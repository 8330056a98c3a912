//! Metrics of a node in a fleet, in the Prometheus text format.

use std::fmt;
use std::time::Instant;

use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::{CallOutcome, Outcome};
use lagoondyke_core::fleet::grant_calls::UpstreamCall;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{
    BuildError, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::fleet::message::Reply;

/// Upper bounds of the latency buckets.
const LATENCY_BOUNDS_SECS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// The metrics of one node, with a recorder of their own, so that several
/// nodes can run in one process.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Metrics {
    /// Creates the recorder, with no values.
    ///
    /// # Errors
    ///
    /// Returns an error if the buckets are invalid.
    pub fn new() -> Result<Self, BuildError> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BOUNDS_SECS)?
            .build_recorder();
        let handle = recorder.handle();
        Ok(Self { recorder, handle })
    }

    /// Renders all metrics in the text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Records the end of a caller's request that arrived at `started`.
    pub fn request_ended(&self, reply: &Reply, started: Instant) {
        let end = match reply {
            Ok(answer) if answer.status.is_success() => "answered",
            Ok(_) => "failed-upstream",
            Err(refusal) => refusal.reason.name(),
        };
        let seconds = started.elapsed().as_secs_f64();
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_requests_total", "end" => end).increment(1);
            histogram!("lagoondyke_request_seconds").record(seconds);
        });
    }

    /// Records the end of a request that was sent to the upstream at
    /// `started`.
    pub fn run_ended(&self, outcome: &Outcome, started: Instant) {
        let end = match &outcome.result {
            Ok(status) if *status < 400 => "answered",
            Ok(_) => "failed",
            Err(refusal) => refusal.reason.name(),
        };
        let seconds = started.elapsed().as_secs_f64();
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_runs_total", "end" => end).increment(1);
            histogram!("lagoondyke_run_seconds").record(seconds);
        });
    }

    /// Counts a call to the upstream about the keys that it holds.
    pub fn key_call_ended(&self, call: &UpstreamCall, outcome: &CallOutcome) {
        let (kind, end) = (call.name(), outcome.name());
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_key_calls_total", "kind" => kind,
                "end" => end)
            .increment(1);
        });
    }

    /// Sets the number of calls to the upstream about its keys that have not
    /// ended, and the age of the oldest.
    pub fn set_key_calls(&self, count: usize, oldest_ms: u64) {
        let seconds = oldest_ms as f64 / 1_000.0;
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_key_calls_outstanding").set(count as f64);
            gauge!("lagoondyke_key_call_oldest_seconds").set(seconds);
        });
    }

    /// Counts a call to the store.
    pub fn store_call(&self, op: &Op) {
        let kind = match op {
            Op::List { .. } => "list",
            Op::Watch { .. } => "watch",
            Op::Read { .. } => "read",
            Op::Update { .. } => "update",
        };
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_store_calls_total", "kind" => kind)
                .increment(1);
        });
    }

    /// Sets the number of requests that have not ended.
    pub fn set_outstanding(&self, count: usize) {
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_requests_outstanding").set(count as f64);
        });
    }

    /// Sets the era of the store, which rises when it is restored from a copy.
    pub fn set_store_era(&self, era: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_store_era").set(era as f64);
        });
    }

    /// Sets the version of the configuration in force and its revision in the
    /// store; both are 0 if there is none.
    pub fn set_config(&self, version: u64, revision: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_config_version").set(version as f64);
            gauge!("lagoondyke_config_revision").set(revision as f64);
        });
    }

    /// Sets the time since which the configuration may have been replaced, if
    /// it is known.
    pub fn set_config_age(&self, age_ms: Option<u64>) {
        let Some(age_ms) = age_ms else { return };
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_config_age_seconds")
                .set(age_ms as f64 / 1_000.0);
        });
    }

    /// Counts an input from `source` that could not be decoded.
    pub fn malformed(&self, source: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_malformed_total", "source" => source)
                .increment(1);
        });
    }

    /// Counts log lines that the rate limit dropped.
    pub fn lines_dropped(&self, count: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_log_lines_dropped_total").increment(count);
        });
    }
}
