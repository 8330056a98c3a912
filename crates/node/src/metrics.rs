//! Metrics in the Prometheus text format.
//!
//! Each node has its own recorder, so that several nodes can run in one
//! process. Handles of hot metrics are made once; the others are looked up
//! by their labels.

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

/// Upper bounds of the latency buckets, in seconds. They are dense around
/// the 10 ms within which p99 is to stay.
const BUCKETS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.006, 0.008, 0.01, 0.015, 0.025,
    0.05, 0.25, 1.0, 5.0,
];

/// What one hop of a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopKind {
    /// The whole request, from its arrival from a caller.
    Caller,
    /// The whole request, from its arrival from a peer.
    Owner,
    /// A forwarded request.
    Peer,
    /// A dispatched request.
    Upstream,
}

/// A node's metrics.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    counters: RefCell<HashMap<[&'static str; 4], Counter>>,
    hops: [Histogram; 4],
    control: [Counter; 4],
    gauges: Gauges,
    unavailable: [Counter; 2],
    moves: Counter,
    spans: Counter,
    owners: RefCell<HashMap<Shard, NodeAddr>>,
    lost: Cell<usize>,
    sampled: Cell<Option<Millis>>,
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
    /// Metrics of a node that has done nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the recorder rejects the buckets.
    pub fn new() -> Result<Self, BuildError> {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS)?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        metrics::with_local_recorder(&recorder, describe);
        let hop = |name| histogram!("lagoondyke_hop_seconds", "hop" => name);
        let hops = || ["caller", "owner", "peer", "upstream"].map(hop);
        let hops = metrics::with_local_recorder(&recorder, hops);
        let control = metrics::with_local_recorder(&recorder, control);
        let gauges = metrics::with_local_recorder(&recorder, Gauges::new);
        let time = |view| {
            let name = "lagoondyke_unavailable_shard_milliseconds_total";
            counter!(name, "view" => view)
        };
        let times = || ["leader", "member"].map(time);
        let unavailable = metrics::with_local_recorder(&recorder, times);
        let moves = || counter!("lagoondyke_moves_total");
        let moves = metrics::with_local_recorder(&recorder, moves);
        let spans = || counter!("lagoondyke_spans_dropped_total");
        let spans = metrics::with_local_recorder(&recorder, spans);
        Ok(Self {
            recorder,
            handle,
            counters: RefCell::default(),
            hops,
            control,
            gauges,
            unavailable,
            moves,
            spans,
            owners: RefCell::default(),
            lost: Cell::new(0),
            sampled: Cell::new(None),
        })
    }

    /// All metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Adds one to a counter with up to two labels; unused ones are empty.
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

    /// Counts a request that ended, and its latency.
    pub fn ended(&self, source: Source, reply: &Reply, since: Instant) {
        let hop = match source {
            Source::Caller => HopKind::Caller,
            Source::Peer => HopKind::Owner,
        };
        self.hop(hop, since);
        let name = match source {
            Source::Caller => "lagoondyke_requests_total",
            Source::Peer => "lagoondyke_peer_requests_total",
        };
        let value = match reply {
            Ok(answer) => ["answered", class(answer.status.as_u16())],
            Err(refusal) => ["refused", refusal.reason.name()],
        };
        self.count(name, ["outcome", "reason"], value);
    }

    /// Notes the latency of a hop that began at `since`.
    pub fn hop(&self, hop: HopKind, since: Instant) {
        self.hops[hop as usize].record(since.elapsed().as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn store(&self, kind: &'static str, outcome: &StoreOutcome) {
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

    /// Counts input that could not be decoded.
    pub fn malformed(&self, socket: &'static str) {
        let name = "lagoondyke_malformed_total";
        self.count(name, ["socket", ""], [socket, ""]);
    }

    /// Counts a control datagram that arrived.
    pub fn received(&self, size: usize) {
        self.control[0].increment(1);
        self.control[1].increment(size as u64);
    }

    /// Counts a control datagram that was sent.
    pub fn sent(&self, size: usize) {
        self.control[2].increment(1);
        self.control[3].increment(size as u64);
    }

    /// Counts the shards of a plan that had another owner before.
    pub fn planned(&self, member: NodeAddr, plan: &Plan) {
        let mut owners = self.owners.borrow_mut();
        for &shard in plan.grants.iter().flat_map(|grant| &grant.shards) {
            let before = owners.insert(shard, member);
            if before.is_some_and(|before| before != member) {
                self.moves.increment(1);
            }
        }
    }

    /// Notes that a lease ended while shards were held.
    pub fn lease_ended(&self, shards: usize) {
        self.lost.set(shards);
    }

    /// Samples the state of the node. `led` is the number of shards of its
    /// group if it leads.
    pub fn sample(&self, status: &Status, led: usize, now: Millis) {
        let gauges = &self.gauges;
        gauges.queue.set(status.queued as f64);
        gauges.limit.set(status.limit as f64);
        gauges.busy.set(status.busy as f64);
        gauges.shards.set(status.shards as f64);
        gauges.config.set(status.config as f64);
        gauges.imbalance.set(imbalance(status));
        let span = self.sampled.replace(Some(now));
        let span = span.map_or(0, |before| now.since(before));
        if status.lease > 0 {
            self.lost.set(0);
        }
        let owned: usize = status.members.iter().map(|m| m.shards).sum();
        let unowned = if status.leads { led.saturating_sub(owned) } else { 0 };
        self.unavailable[0].increment(span * unowned as u64);
        self.unavailable[1].increment(span * self.lost.get() as u64);
        self.handle.run_upkeep();
    }

    /// Notes the number of spans that were not recorded.
    pub fn spans_dropped(&self, spans: u64) {
        self.spans.absolute(spans);
    }

    /// Notes the number of requests that have not ended.
    pub fn outstanding(&self, requests: usize) {
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

/// Datagrams in, bytes in, datagrams out, bytes out.
fn control() -> [Counter; 4] {
    let datagrams = "lagoondyke_control_datagrams_total";
    let bytes = "lagoondyke_control_bytes_total";
    [
        counter!(datagrams, "direction" => "in"),
        counter!(bytes, "direction" => "in"),
        counter!(datagrams, "direction" => "out"),
        counter!(bytes, "direction" => "out"),
    ]
}

fn class(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

/// Busiest member over the mean of all members that have shards.
fn imbalance(status: &Status) -> f64 {
    let members = status.members.iter().filter(|member| member.shards > 0);
    let busy: Vec<u16> = members.map(|member| member.busy).collect();
    let sum: f64 = busy.iter().copied().map(f64::from).sum();
    let most = busy.iter().copied().max().unwrap_or(0);
    if sum == 0.0 {
        return 1.0;
    }
    f64::from(most) * busy.len() as f64 / sum
}

/// The kind of a call to the store.
#[must_use]
pub fn store_kind(op: &StoreOp) -> &'static str {
    match op {
        StoreOp::Read { .. } => "read",
        StoreOp::Watch { .. } => "watch",
        StoreOp::Update { .. } => "update",
    }
}

/// Interval between samples.
pub const SAMPLE: Duration = Duration::from_millis(250);

fn describe() {
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
