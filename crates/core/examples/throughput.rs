//! Measures the CPU time of the request path per request.
//!
//! Run with `cargo run --release --example throughput`.

use std::time::Instant;

use lagoondyke_core::clock::{Millis, TICK_INTERVAL_MS};
use lagoondyke_core::config::{Config, Service};
use lagoondyke_core::control::MapMember;
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::{Arrival, Outcome, Source};
use lagoondyke_core::group::Grant;
use lagoondyke_core::id::{
    Epoch, Fence, Fingerprint, Incarnation, KeyHash, NodeAddr, Shard, Ticket,
};
use lagoondyke_core::request::{
    LocalNode, Ownership, Requests, Routing, View,
};
use lagoondyke_core::route::Lookup;
use lagoondyke_core::verdict::Reason;

/// Requests of a measurement.
const REQUEST_COUNT: u64 = 1_000_000;
/// Requests that are outstanding at any time.
const OUTSTANDING_COUNT: u64 = 250;
/// Arrivals per millisecond of simulated time.
const ARRIVALS_PER_MS: u64 = 25;

/// A group in which this node owns all keys or none.
#[derive(Debug)]
struct StubGroup {
    owns: bool,
}

impl Ownership for StubGroup {
    fn grant(
        &self,
        _key: KeyHash,
        _spec: &Service,
        now: Millis,
    ) -> Result<Grant, Reason> {
        let fence = Fence { epoch: Epoch(1), sequence: 1 };
        let grant = Grant { shard: Shard(1), fence, until: now.plus(1_000) };
        if self.owns { Ok(grant) } else { Err(Reason::NotOwner) }
    }

    fn lease(&self, _now: Millis) -> Option<Millis> {
        None
    }

    fn poison(&self) -> &[Fingerprint] {
        &[]
    }
}

/// Routes that know the owner of each key.
#[derive(Debug)]
struct StubRoutes {
    members: Vec<MapMember>,
}

impl Routing for StubRoutes {
    fn owner(
        &mut self,
        _service: &str,
        _spec: &Service,
        key: KeyHash,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Lookup {
        let index = key.0 as usize % self.members.len();
        Lookup::Owner(self.members[index].addr)
    }

    fn members(
        &mut self,
        _service: &str,
        _spec: &Service,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Vec<MapMember> {
        self.members.clone()
    }

    fn invalidate(
        &mut self,
        _service: &str,
        _spec: &Service,
        _key: Option<KeyHash>,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) {
    }
}

fn member(number: u16) -> MapMember {
    MapMember {
        addr: NodeAddr(([127, 0, 0, 1], number).into()),
        incarnation: Incarnation(number.into()),
        domain: u32::from(number % 3),
        limit: 20,
    }
}

fn arrival(number: u64, service: &str) -> Arrival {
    Arrival {
        ticket: Ticket(number),
        source: Source::Caller,
        service: service.into(),
        key: Some(KeyHash::of(number.to_le_bytes())),
        timeout_ms: 5_000,
        idempotent: true,
        idempotency_key: None,
        scope: None,
        partner: None,
        fingerprint: Fingerprint(number),
    }
}

fn view<'a>(
    config: &'a Config,
    group: &'a StubGroup,
    routes: &'a mut StubRoutes,
) -> View<'a> {
    View { config: Some(config), group, routes }
}

/// Measures requests to a service, each answered after `outstanding` others
/// have arrived.
fn measure(title: &str, service: &str, owns: bool, outstanding: u64) {
    let text = r#"{"operator": "o", "domains": {}, "services": {
        "keyed": {"keyed": true}, "any": {"keyed": false, "hedge": true}}}"#;
    let config: Config =
        serde_json::from_str(text).expect("valid configuration");
    let local = LocalNode {
        addr: member(0).addr,
        incarnation: Incarnation(0),
        domain: "d".into(),
        service: "keyed".into(),
        slots: 500,
    };
    let mut requests = Requests::new(local, 1, Millis(0));
    let group = StubGroup { owns };
    let mut routes = StubRoutes { members: (1..1_000).map(member).collect() };
    let mut out = Vec::new();
    let mut refused = 0;
    let start = Instant::now();
    for number in 0..REQUEST_COUNT + outstanding {
        let now = Millis(number / ARRIVALS_PER_MS);
        if number.is_multiple_of(ARRIVALS_PER_MS * TICK_INTERVAL_MS) {
            let view = view(&config, &group, &mut routes);
            requests.tick(view, now, &mut out);
        }
        if number < REQUEST_COUNT {
            let view = view(&config, &group, &mut routes);
            requests.arrived(arrival(number, service), view, now, &mut out);
        }
        if let Some(done) = number.checked_sub(outstanding) {
            let done = Ticket(done);
            let outcome = Outcome::Answered { status: 200, body_bytes: 100 };
            let view = view(&config, &group, &mut routes);
            if owns {
                requests.upstream_done(done, outcome, view, now, &mut out);
            } else {
                requests.peer_done(done, 0, outcome, view, now, &mut out);
            }
        }
        let refusals = |e: &&Effect| matches!(e, Effect::Refuse { .. });
        refused += out.iter().filter(refusals).count();
        out.clear();
    }
    let nanos = start.elapsed().as_nanos() / u128::from(REQUEST_COUNT);
    println!("{title}: {nanos} ns per request, {refused} refused");
}

fn main() {
    measure("forwarded by key", "keyed", false, OUTSTANDING_COUNT);
    measure("forwarded by choice", "any", false, OUTSTANDING_COUNT);
    measure("forwarded, 10,000 outstanding", "keyed", false, 10_000);
    // At full load, a cold upstream would refuse most requests, so the cost of
    // a dispatch is measured with one request at a time.
    measure("dispatched", "keyed", true, 0);
}
