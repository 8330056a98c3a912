//! Measures what the request path costs per request.
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

const COUNT: u64 = 1_000_000;
/// Requests that are outstanding at a time.
const OUTSTANDING: u64 = 250;
/// Requests in a millisecond of simulated time.
const RATE: u64 = 25;

#[derive(Debug)]
struct Group {
    owns: bool,
}

impl Ownership for Group {
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

#[derive(Debug)]
struct Routes {
    members: Vec<MapMember>,
}

impl Routing for Routes {
    fn owner(
        &mut self,
        _service: &str,
        _spec: &Service,
        key: KeyHash,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Lookup {
        let place = key.0 as usize % self.members.len();
        Lookup::Owner(self.members[place].addr)
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
    group: &'a Group,
    routes: &'a mut Routes,
) -> View<'a> {
    View { config: Some(config), group, routes }
}

fn measure(title: &str, service: &str, owns: bool, outstanding: u64) {
    let text = r#"{"operator": "o", "domains": {}, "services": {
        "keyed": {"keyed": true}, "any": {"keyed": false, "hedge": true}}}"#;
    let config: Config = serde_json::from_str(text).expect("it is valid");
    let local = LocalNode {
        addr: member(0).addr,
        incarnation: Incarnation(0),
        domain: "d".into(),
        service: "keyed".into(),
        slots: 500,
    };
    let mut requests = Requests::new(local, 1, Millis(0));
    let group = Group { owns };
    let mut routes = Routes { members: (1..1_000).map(member).collect() };
    let mut out = Vec::new();
    let mut refused = 0;
    let start = Instant::now();
    for number in 0..COUNT + outstanding {
        let now = Millis(number / RATE);
        if number.is_multiple_of(RATE * TICK_INTERVAL_MS) {
            let view = view(&config, &group, &mut routes);
            requests.tick(view, now, &mut out);
        }
        if number < COUNT {
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
        let bad = |e: &&Effect| matches!(e, Effect::Refuse { .. });
        refused += out.iter().filter(bad).count();
        out.clear();
    }
    let nanos = start.elapsed().as_nanos() / u128::from(COUNT);
    println!("{title}: {nanos} ns per request, {refused} refused");
}

fn main() {
    measure("forwarded by key", "keyed", false, OUTSTANDING);
    measure("forwarded by choice", "any", false, OUTSTANDING);
    measure("forwarded, 10,000 outstanding", "keyed", false, 10_000);
    // A cold start at full load would refuse most; one request at a time
    // shows the cost of a dispatch.
    measure("dispatched", "keyed", true, 0);
}
