//! Metrics in the Prometheus text format.
//!
//! Each node has its own recorder, so that several nodes can run in one
//! process. Handles of frequently updated metrics are created once; the other
//! metrics are looked up by their labels.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::control::Plan;
use lagoondyke_core::effect::StoreOp;
use lagoondyke_core::event::{Source, StoreOutcome};
use lagoondyke_core::id::{NodeAddr, Shard};
use lagoondyke_core::status::Status;
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{
    BuildError, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::message::Reply;

/// Upper bounds of the latency buckets. They are dense around 10 ms, the upper
/// limit for the p99 latency.
const LATENCY_BOUNDS_SECS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.006, 0.008, 0.01, 0.015, 0.025,
    0.05, 0.25, 1.0, 5.0,
];

/// The part of a request's path whose latency is measured; the `hop` label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopKind {
    /// From the arrival of a request from a caller to its reply.
    Caller,
    /// From the arrival of a request from a peer to its reply.
    Owner,
    /// From forwarding a request to a peer to its answer.
    Peer,
    /// From dispatching a request to the upstream to its answer.
    Upstream,
}

/// The metrics of one node.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    /// Counters by metric name, two label values and first label name.
    counters: RefCell<HashMap<[&'static str; 4], Counter>>,
    /// Latency histograms, indexed by [`HopKind`].
    hops: [Histogram; 4],
    /// The counters of [`control_counters`].
    control: [Counter; 4],
    gauges: Gauges,
    /// Shard-milliseconds without an owner, as seen by a leader and by a
    /// member that lost its lease.
    unavailable: [Counter; 2],
    moves: Counter,
    dropped_spans: Counter,
    /// The last owner of each shard in the plans that this node has sent.
    owners: RefCell<HashMap<Shard, NodeAddr>>,
    /// Number of shards held when the lease ended; 0 while there is a lease.
    lost_shards: Cell<usize>,
    last_sample: Cell<Option<Millis>>,
}

struct Gauges {
    queue: Gauge,
    limit: Gauge,
    busy: Gauge,
    shards: Gauge,
    config: Gauge,
    imbalance: Gauge,
    requests: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates the metrics of a node, with all counters at 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the recorder rejects the buckets.
    pub fn new() -> Result<Self, BuildError> {
        let builder =
            PrometheusBuilder::new().set_buckets(&LATENCY_BOUNDS_SECS)?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        metrics::with_local_recorder(&recorder, describe_metrics);
        let hop = |name| histogram!("lagoondyke_hop_seconds", "hop" => name);
        let hops = || ["caller", "owner", "peer", "upstream"].map(hop);
        let hops = metrics::with_local_recorder(&recorder, hops);
        let control =
            metrics::with_local_recorder(&recorder, control_counters);
        let gauges = metrics::with_local_recorder(&recorder, Gauges::new);
        let unavailable = |view| {
            let name = "lagoondyke_unavailable_shard_milliseconds_total";
            counter!(name, "view" => view)
        };
        let counters = || ["leader", "member"].map(unavailable);
        let unavailable = metrics::with_local_recorder(&recorder, counters);
        let moves = || counter!("lagoondyke_moves_total");
        let moves = metrics::with_local_recorder(&recorder, moves);
        let dropped_spans = || counter!("lagoondyke_spans_dropped_total");
        let dropped_spans =
            metrics::with_local_recorder(&recorder, dropped_spans);
        Ok(Self {
            recorder,
            handle,
            counters: RefCell::default(),
            hops,
            control,
            gauges,
            unavailable,
            moves,
            dropped_spans,
            owners: RefCell::default(),
            lost_shards: Cell::new(0),
            last_sample: Cell::new(None),
        })
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Increments a counter that has one or two labels. With one label, the
    /// second name and value are empty.
    fn count(
        &self,
        name: &'static str,
        label: [&'static str; 2],
        value: [&'static str; 2],
    ) {
        let key = [name, value[0], value[1], label[0]];
        let mut counters = self.counters.borrow_mut();
        let counter = counters.entry(key).or_insert_with(|| {
            metrics::with_local_recorder(&self.recorder, || {
                if label[1].is_empty() {
                    counter!(name, label[0] => value[0])
                } else {
                    counter!(
                        name, label[0] => value[0], label[1] => value[1]
                    )
                }
            })
        });
        counter.increment(1);
    }

    /// Counts a request that has ended and records its latency. `arrived` is
    /// the time of its arrival.
    pub fn request_ended(
        &self,
        source: Source,
        reply: &Reply,
        arrived: Instant,
    ) {
        let hop = match source {
            Source::Caller => HopKind::Caller,
            Source::Peer => HopKind::Owner,
        };
        self.record_hop(hop, arrived);
        let name = match source {
            Source::Caller => "lagoondyke_requests_total",
            Source::Peer => "lagoondyke_peer_requests_total",
        };
        let value = match reply {
            Ok(answer) => ["answered", status_class(answer.status.as_u16())],
            Err(refusal) => ["refused", refusal.reason.name()],
        };
        self.count(name, ["outcome", "reason"], value);
    }

    /// Records the latency of a hop that began at `started` and ends now.
    pub fn record_hop(&self, hop: HopKind, started: Instant) {
        self.hops[hop as usize].record(started.elapsed().as_secs_f64());
    }

    /// Counts a call to the store by its outcome. `kind` is from
    /// [`store_kind`].
    pub fn count_store_call(
        &self,
        kind: &'static str,
        outcome: &StoreOutcome,
    ) {
        let outcome = match outcome {
            StoreOutcome::Read { .. } => "read",
            StoreOutcome::Missing => "missing",
            StoreOutcome::Unchanged => "unchanged",
            StoreOutcome::Written { .. } => "written",
            StoreOutcome::Conflict => "conflict",
            StoreOutcome::Unavailable => "unavailable",
            StoreOutcome::Unknown => "unknown",
        };
        let labels = ["kind", "outcome"];
        let name = "lagoondyke_store_calls_total";
        self.count(name, labels, [kind, outcome]);
    }

    /// Counts input that could not be decoded. `socket` is the label.
    pub fn count_malformed(&self, socket: &'static str) {
        let name = "lagoondyke_malformed_total";
        self.count(name, ["socket", ""], [socket, ""]);
    }

    /// Counts a control datagram of `size` bytes that arrived.
    pub fn control_received(&self, size: usize) {
        self.control[0].increment(1);
        self.control[1].increment(size as u64);
    }

    /// Counts a control datagram of `size` bytes that was sent.
    pub fn control_sent(&self, size: usize) {
        self.control[2].increment(1);
        self.control[3].increment(size as u64);
    }

    /// Counts the shards that a plan for `member` takes from another owner.
    pub fn count_moves(&self, member: NodeAddr, plan: &Plan) {
        let mut owners = self.owners.borrow_mut();
        for &shard in plan.grants.iter().flat_map(|grant| &grant.shards) {
            let before = owners.insert(shard, member);
            if before.is_some_and(|before| before != member) {
                self.moves.increment(1);
            }
        }
    }

    /// Records that this node's lease ended while it held `shards` shards.
    /// They count as unavailable until it has a lease again.
    pub fn lease_ended(&self, shards: usize) {
        self.lost_shards.set(shards);
    }

    /// Updates the gauges, and the time without owner since the last call.
    /// `group_shards` is the number of shards of the node's group; it matters
    /// only if the node leads the group.
    pub fn sample(&self, status: &Status, group_shards: usize, now: Millis) {
        let gauges = &self.gauges;
        gauges.queue.set(status.queued as f64);
        gauges.limit.set(status.limit as f64);
        gauges.busy.set(status.busy as f64);
        gauges.shards.set(status.shards as f64);
        gauges.config.set(status.config as f64);
        gauges.imbalance.set(imbalance(status));
        let last_sample = self.last_sample.replace(Some(now));
        let elapsed_ms = last_sample.map_or(0, |last| now.since(last));
        if status.lease > 0 {
            self.lost_shards.set(0);
        }
        let owned: usize = status.members.iter().map(|m| m.shards).sum();
        let unowned =
            if status.leads { group_shards.saturating_sub(owned) } else { 0 };
        self.unavailable[0].increment(elapsed_ms * unowned as u64);
        self.unavailable[1]
            .increment(elapsed_ms * self.lost_shards.get() as u64);
        self.handle.run_upkeep();
    }

    /// Sets the total number of spans that were not recorded.
    pub fn set_dropped_spans(&self, spans: u64) {
        self.dropped_spans.absolute(spans);
    }

    /// Sets the number of requests that have not ended.
    pub fn set_outstanding(&self, requests: usize) {
        self.gauges.requests.set(requests as f64);
    }
}

impl Gauges {
    fn new() -> Self {
        Self {
            queue: gauge!("lagoondyke_queue"),
            limit: gauge!("lagoondyke_limit"),
            busy: gauge!("lagoondyke_busy"),
            shards: gauge!("lagoondyke_shards"),
            config: gauge!("lagoondyke_config_version"),
            imbalance: gauge!("lagoondyke_imbalance_ratio"),
            requests: gauge!("lagoondyke_requests"),
        }
    }
}

/// Counters of datagrams in, bytes in, datagrams out and bytes out.
fn control_counters() -> [Counter; 4] {
    let datagrams = "lagoondyke_control_datagrams_total";
    let bytes = "lagoondyke_control_bytes_total";
    [
        counter!(datagrams, "direction" => "in"),
        counter!(bytes, "direction" => "in"),
        counter!(datagrams, "direction" => "out"),
        counter!(bytes, "direction" => "out"),
    ]
}

/// The class of an HTTP status, as the `reason` label of an answer.
fn status_class(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

/// Requests at the busiest member over the mean of all members with shards; 1
/// if no member has requests.
fn imbalance(status: &Status) -> f64 {
    let members = status.members.iter().filter(|member| member.shards > 0);
    let busy: Vec<u16> = members.map(|member| member.busy).collect();
    let sum: f64 = busy.iter().copied().map(f64::from).sum();
    let busiest = busy.iter().copied().max().unwrap_or(0);
    if sum == 0.0 {
        return 1.0;
    }
    f64::from(busiest) * busy.len() as f64 / sum
}

/// The `kind` label of a call to the store.
#[must_use]
pub fn store_kind(op: &StoreOp) -> &'static str {
    match op {
        StoreOp::Read { .. } => "read",
        StoreOp::Watch { .. } => "watch",
        StoreOp::Update { .. } => "update",
    }
}

/// Interval between calls of [`Metrics::sample`].
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Registers the help texts.
fn describe_metrics() {
    let texts = [
        ("lagoondyke_requests_total", "Requests of callers that ended"),
        ("lagoondyke_peer_requests_total", "Requests of peers that ended"),
        ("lagoondyke_store_calls_total", "Calls to the store"),
        ("lagoondyke_malformed_total", "Input that could not be decoded"),
        ("lagoondyke_control_datagrams_total", "Control datagrams"),
        ("lagoondyke_control_bytes_total", "Bytes of control datagrams"),
        ("lagoondyke_spans_dropped_total", "Spans that were not recorded"),
        ("lagoondyke_moves_total", "Shards that a leader gave a new owner"),
        (
            "lagoondyke_unavailable_shard_milliseconds_total",
            "Time without an owner, summed over shards",
        ),
    ];
    for (name, text) in texts {
        metrics::describe_counter!(name, text);
    }
    let texts = [
        ("lagoondyke_queue", "Requests that wait for the upstream"),
        ("lagoondyke_limit", "Concurrency limit of the upstream"),
        ("lagoondyke_busy", "Requests at the upstream"),
        ("lagoondyke_requests", "Requests that have not ended"),
        ("lagoondyke_shards", "Shards that the node serves"),
        ("lagoondyke_config_version", "Version of the configuration"),
        (
            "lagoondyke_imbalance_ratio",
            "Requests at the busiest member over the mean, at a leader",
        ),
    ];
    for (name, text) in texts {
        metrics::describe_gauge!(name, text);
    }
    let text = "Time from the start to the end of a hop";
    metrics::describe_histogram!("lagoondyke_hop_seconds", text);
}
