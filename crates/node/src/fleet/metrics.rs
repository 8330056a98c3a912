//! Metrics of a node in a fleet, in the Prometheus text format.

use std::fmt;
use std::time::Instant;

use lagoondyke_core::fleet::effect::Op;
use lagoondyke_core::fleet::event::Outcome;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{
    BuildError, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::fleet::message::Reply;

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// A node's metrics.
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
    /// A recorder of its own, so that several nodes can run in one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the buckets are invalid.
    pub fn new() -> Result<Self, BuildError> {
        let recorder =
            PrometheusBuilder::new().set_buckets(&BUCKETS)?.build_recorder();
        let handle = recorder.handle();
        Ok(Self { recorder, handle })
    }

    /// All metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// A caller's request ended.
    pub fn replied(&self, reply: &Reply, since: Instant) {
        let end = match reply {
            Ok(answer) if answer.status.is_success() => "answered",
            Ok(_) => "failed-upstream",
            Err(refusal) => refusal.reason.name(),
        };
        let time = since.elapsed().as_secs_f64();
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_requests_total", "end" => end).increment(1);
            histogram!("lagoondyke_request_seconds").record(time);
        });
    }

    /// A request at the upstream ended.
    pub fn ran(&self, outcome: &Outcome, since: Instant) {
        let end = match &outcome.result {
            Ok(status) if *status < 400 => "answered",
            Ok(_) => "failed",
            Err(refusal) => refusal.reason.name(),
        };
        let time = since.elapsed().as_secs_f64();
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_runs_total", "end" => end).increment(1);
            histogram!("lagoondyke_run_seconds").record(time);
        });
    }

    /// A call to the store starts.
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

    /// Requests that have not ended.
    pub fn outstanding(&self, count: usize) {
        metrics::with_local_recorder(&self.recorder, || {
            gauge!("lagoondyke_requests_outstanding").set(count as f64);
        });
    }

    /// Input that could not be decoded.
    pub fn malformed(&self, source: &'static str) {
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_malformed_total", "source" => source)
                .increment(1);
        });
    }

    /// Log lines that were left out to bound the volume.
    pub fn lines_dropped(&self, count: u64) {
        metrics::with_local_recorder(&self.recorder, || {
            counter!("lagoondyke_log_lines_dropped_total").increment(count);
        });
    }
}
