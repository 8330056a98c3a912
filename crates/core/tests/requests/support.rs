//! Stand-ins for ownership and routing, and short ways to drive requests.

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

/// Ownership that answers what the test sets.
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

/// Routing that answers what the test sets.
#[derive(Debug)]
pub struct FakeRoutes {
    pub owner: Lookup,
    pub members: Vec<MapMember>,
    pub stale: usize,
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
        self.stale += 1;
    }
}

/// One node's request path with its stand-ins.
pub struct Bed {
    pub requests: Requests,
    pub group: FakeGroup,
    pub routes: FakeRoutes,
    pub config: Option<Config>,
    pub now: u64,
}

pub const SLOTS: u16 = 4;

pub fn node(number: u16) -> NodeAddr {
    NodeAddr(([127, 0, 0, 1], 9_000 + number).into())
}

/// Node `number` as a member, with 10 + `number` as its process.
pub fn member(number: u16) -> MapMember {
    MapMember {
        addr: node(number),
        incarnation: Incarnation(10 + u32::from(number)),
        domain: 0,
        limit: 4,
    }
}

pub fn grant(shard: u16, until: u64) -> Grant {
    let fence = Fence { epoch: Epoch(1), sequence: 1 };
    Grant { shard: Shard(shard), fence, until: Millis(until) }
}

/// A caller's GET for a key of `katalog` with a budget of 5 s.
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

pub fn from_peer(arrival: Arrival) -> Arrival {
    Arrival { source: Source::Peer, ..arrival }
}

pub fn answered() -> Outcome {
    Outcome::Answered { status: 200, body_bytes: 10 }
}

pub fn failed(reason: Reason) -> Outcome {
    Outcome::Failed(Refusal::new(reason, "set by the test"))
}

impl Bed {
    /// Node 0, beside an upstream of `katalog`, which owns nothing.
    pub fn new() -> Self {
        let local = LocalNode {
            addr: node(0),
            incarnation: Incarnation(7),
            domain: "aarhus".into(),
            service: "katalog".into(),
            slots: SLOTS,
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
                stale: 0,
            },
            config: Some(serde_json::from_str(text).unwrap()),
            now: 0,
        }
    }

    /// A node that owns every key for 60 s.
    pub fn owner() -> Self {
        let mut bed = Self::new();
        bed.group.grant = Ok(grant(3, 60_000));
        bed.group.lease = Some(Millis(60_000));
        bed
    }

    /// An owner whose upstream has been in use up to its slots. Answers
    /// took 10 ms.
    pub fn warm() -> Self {
        let mut bed = Self::owner();
        let mut ticket = 1_000_000;
        let mut rounds = 0;
        while bed.limit() < SLOTS || rounds < 100 {
            rounds += 1;
            let tickets = ticket..ticket + u64::from(bed.limit());
            ticket = tickets.end;
            for t in tickets.clone() {
                assert_eq!(bed.arrive(get(t)).len(), 1);
            }
            bed.now += 10;
            for t in tickets {
                bed.upstream(t, answered());
            }
        }
        bed
    }

    pub fn limit(&self) -> u16 {
        self.requests.load(Millis(self.now)).limit
    }

    /// A node that knows node 1 as the owner of every key.
    pub fn ingress() -> Self {
        let mut bed = Self::new();
        bed.routes.owner = Lookup::Owner(node(1));
        bed
    }

    pub fn with(
        &mut self,
        act: impl FnOnce(&mut Requests, View<'_>, Millis, &mut Vec<Effect>),
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        let view = View {
            config: self.config.as_ref(),
            group: &self.group,
            routes: &mut self.routes,
        };
        act(&mut self.requests, view, Millis(self.now), &mut out);
        out
    }

    pub fn arrive(&mut self, arrival: Arrival) -> Vec<Effect> {
        self.with(|r, view, now, out| r.arrived(arrival, view, now, out))
    }

    pub fn peer(&mut self, of: u64, try_: u8, how: Outcome) -> Vec<Effect> {
        self.with(|r, view, now, out| {
            r.peer_done(Ticket(of), try_, how, view, now, out);
        })
    }

    pub fn upstream(&mut self, of: u64, how: Outcome) -> Vec<Effect> {
        self.with(|r, view, now, out| {
            r.upstream_done(Ticket(of), how, view, now, out);
        })
    }

    pub fn cancel(&mut self, of: u64) -> Vec<Effect> {
        self.with(|r, view, now, out| r.cancelled(Ticket(of), view, now, out))
    }

    pub fn tick_after(&mut self, span: u64) -> Vec<Effect> {
        self.tick_at(self.now + span)
    }

    pub fn tick_at(&mut self, now: u64) -> Vec<Effect> {
        self.now = now;
        self.with(Requests::tick)
    }
}

/// The effects in a short form that is easy to compare.
pub fn brief(effects: &[Effect]) -> Vec<String> {
    effects.iter().map(one).collect()
}

fn one(effect: &Effect) -> String {
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
