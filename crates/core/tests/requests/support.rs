//! Fakes of ownership and routing, and helpers that drive the request path.

use lagoondyke_core::clock::Millis;
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
use lagoondyke_core::verdict::{Reason, Refusal};

/// Ownership that returns what the test sets.
#[derive(Debug)]
pub struct FakeGroup {
    pub grant: Result<Grant, Reason>,
    pub lease: Option<Millis>,
    pub poison: Vec<Fingerprint>,
}

impl Ownership for FakeGroup {
    fn grant(
        &self,
        _key: KeyHash,
        _spec: &Service,
        _now: Millis,
    ) -> Result<Grant, Reason> {
        self.grant
    }

    fn lease(&self, _now: Millis) -> Option<Millis> {
        self.lease
    }

    fn poison(&self) -> &[Fingerprint] {
        &self.poison
    }
}

/// Routing that returns what the test sets.
#[derive(Debug)]
pub struct FakeRoutes {
    pub owner: Lookup,
    pub members: Vec<MapMember>,
    /// Calls of `invalidate` so far.
    pub invalidations: usize,
}

impl Routing for FakeRoutes {
    fn owner(
        &mut self,
        _service: &str,
        _spec: &Service,
        _key: KeyHash,
        _now: Millis,
        _out: &mut Vec<Effect>,
    ) -> Lookup {
        self.owner
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
        self.invalidations += 1;
    }
}

/// The request path of one node, on fakes of the rest of the node.
pub struct Harness {
    pub requests: Requests,
    pub group: FakeGroup,
    pub routes: FakeRoutes,
    /// The configuration in force, if any.
    pub config: Option<Config>,
    /// Time of the next event, in milliseconds.
    pub now: u64,
}

/// Requests that the node's upstream can run at once.
pub const SLOT_COUNT: u16 = 4;

pub fn node(number: u16) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], 9_000 + number).into())
}

/// Node `number` as a member, with the incarnation 10 + `number`.
pub fn member(number: u16) -> MapMember {
    MapMember {
        addr: node(number),
        incarnation: Incarnation(10 + u32::from(number)),
        domain: 0,
        limit: 4,
    }
}

/// A grant for a shard under a lease that ends at `until` milliseconds.
pub fn grant(shard: u16, until: u64) -> Grant {
    let fence = Fence { epoch: Epoch(1), sequence: 1 };
    Grant { shard: Shard(shard), fence, until: Millis(until) }
}

/// A caller's GET for a key of `katalog` with a timeout of 5 s.
pub fn get(ticket: u64) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        source: Source::Caller,
        service: "katalog".into(),
        key: Some(KeyHash::of("k")),
        timeout_ms: 5_000,
        idempotent: true,
        idempotency_key: None,
        scope: None,
        partner: None,
        fingerprint: Fingerprint(ticket),
    }
}

/// A caller's POST without an idempotency key.
pub fn post(ticket: u64) -> Arrival {
    Arrival { idempotent: false, ..get(ticket) }
}

/// The same request, forwarded by a peer.
pub fn from_peer(arrival: Arrival) -> Arrival {
    Arrival { source: Source::Peer, ..arrival }
}

pub fn answered() -> Outcome {
    Outcome::Answered { status: 200, body_bytes: 10 }
}

pub fn failed(reason: Reason) -> Outcome {
    Outcome::Failed(Refusal::new(reason, "set by the test"))
}

impl Harness {
    /// Node 0, with an upstream of `katalog` and no grant for any key.
    pub fn new() -> Self {
        let local = LocalNode {
            addr: node(0),
            incarnation: Incarnation(7),
            domain: "aarhus".into(),
            service: "katalog".into(),
            slots: SLOT_COUNT,
        };
        let text = r#"{"operator": "jutland", "domains": {}, "services": {
            "katalog": {"keyed": true},
            "udlaan": {"keyed": false, "hedge": true}}}"#;
        Self {
            requests: Requests::new(local, 1, Millis(0)),
            group: FakeGroup {
                grant: Err(Reason::NotOwner),
                lease: None,
                poison: Vec::new(),
            },
            routes: FakeRoutes {
                owner: Lookup::Wait,
                members: Vec::new(),
                invalidations: 0,
            },
            config: Some(serde_json::from_str(text).unwrap()),
            now: 0,
        }
    }

    /// Node 0, with grants for every key until 60 s.
    pub fn owner() -> Self {
        let mut harness = Self::new();
        harness.group.grant = Ok(grant(3, 60_000));
        harness.group.lease = Some(Millis(60_000));
        harness
    }

    /// An owner with a warm upstream: its concurrency limit has reached the
    /// slots, at a latency of 10 ms.
    pub fn warm() -> Self {
        let mut harness = Self::owner();
        let mut ticket = 1_000_000;
        let mut rounds = 0;
        while harness.limit() < SLOT_COUNT || rounds < 100 {
            rounds += 1;
            let tickets = ticket..ticket + u64::from(harness.limit());
            ticket = tickets.end;
            for t in tickets.clone() {
                assert_eq!(harness.arrive(get(t)).len(), 1);
            }
            harness.now += 10;
            for t in tickets {
                harness.upstream_done(t, answered());
            }
        }
        harness
    }

    /// The upstream's present concurrency limit.
    pub fn limit(&self) -> u16 {
        self.requests.load(Millis(self.now)).limit
    }

    /// Node 0 as an ingress that knows node 1 as the owner of every key.
    pub fn ingress() -> Self {
        let mut harness = Self::new();
        harness.routes.owner = Lookup::Owner(node(1));
        harness
    }

    /// Passes an event to the request path and returns the effects.
    pub fn with(
        &mut self,
        event: impl FnOnce(&mut Requests, View<'_>, Millis, &mut Vec<Effect>),
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        let view = View {
            config: self.config.as_ref(),
            group: &self.group,
            routes: &mut self.routes,
        };
        event(&mut self.requests, view, Millis(self.now), &mut out);
        out
    }

    pub fn arrive(&mut self, arrival: Arrival) -> Vec<Effect> {
        self.with(|r, view, now, out| r.arrived(arrival, view, now, out))
    }

    pub fn peer_done(
        &mut self,
        id: u64,
        attempt: u8,
        outcome: Outcome,
    ) -> Vec<Effect> {
        self.with(|r, view, now, out| {
            r.peer_done(Ticket(id), attempt, outcome, view, now, out);
        })
    }

    pub fn upstream_done(&mut self, id: u64, outcome: Outcome) -> Vec<Effect> {
        self.with(|r, view, now, out| {
            r.upstream_done(Ticket(id), outcome, view, now, out);
        })
    }

    pub fn cancel(&mut self, id: u64) -> Vec<Effect> {
        self.with(|r, view, now, out| r.cancelled(Ticket(id), view, now, out))
    }

    pub fn tick_after(&mut self, span_ms: u64) -> Vec<Effect> {
        self.tick_at(self.now + span_ms)
    }

    pub fn tick_at(&mut self, now: u64) -> Vec<Effect> {
        self.now = now;
        self.with(Requests::tick)
    }
}

/// The effects in a short form for comparison: the ticket, the attempt, the
/// number of the receiving node, the shard, and the reason and verdict of a
/// refusal.
pub fn brief(effects: &[Effect]) -> Vec<String> {
    effects.iter().map(brief_one).collect()
}

fn brief_one(effect: &Effect) -> String {
    match effect {
        Effect::Forward { ticket, attempt, to, .. } => {
            format!("forward {ticket}/{attempt} {}", to.0.port() - 9_000)
        }
        Effect::Dispatch { ticket, fence, .. } => match fence {
            Some((shard, _)) => format!("dispatch {ticket} shard {shard}"),
            None => format!("dispatch {ticket}"),
        },
        Effect::Answer { ticket, attempt, .. } => {
            format!("answer {ticket}/{attempt}")
        }
        Effect::Refuse { ticket, refusal } => format!(
            "refuse {ticket} {} {:?}",
            refusal.reason.name(),
            refusal.verdict
        ),
        Effect::AbortPeer { ticket, attempt } => {
            format!("abort {ticket}/{attempt}")
        }
        Effect::AbortUpstream { ticket } => format!("abort {ticket}"),
        other => format!("{other:?}"),
    }
}
