//! Random events, checked against a model of which requests may have run.

use std::collections::{BTreeMap, BTreeSet};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::{Arrival, Outcome};
use lagoondyke_core::id::{Fingerprint, KeyHash};
use lagoondyke_core::route::Lookup;
use lagoondyke_core::verdict::{Reason, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{
    Harness, answered, failed, from_peer, get, grant, member, node,
};
use crate::unkeyed::record_latencies;

/// An attempt of a request: its number if it is at a peer, `None` if it is at
/// the node's own upstream.
type Attempt = Option<u8>;

/// A request that has not ended.
struct OpenRequest {
    arrival: Arrival,
    /// Attempts in flight.
    attempts: BTreeSet<Attempt>,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
}

/// What the shell and the upstreams would know.
struct Model {
    harness: Harness,
    rng: Pcg64Mcg,
    /// Requests that have not ended, by ticket.
    requests: BTreeMap<u64, OpenRequest>,
    /// Idempotency keys of requests that may have run at the node's own
    /// upstream.
    idempotency_keys: BTreeSet<String>,
    /// Ticket of the next request.
    next_ticket: u64,
    /// Requests that have ended.
    ended: u64,
}

/// Reasons with which an attempt fails.
const REASONS: [Reason; 6] = [
    Reason::NotOwner,
    Reason::Moving,
    Reason::ConnectFailed,
    Reason::Overloaded,
    Reason::ConnectionLost,
    Reason::AnswerCut,
];

impl Model {
    fn new(seed: u64) -> Self {
        let mut harness = Harness::warm();
        harness.routes.members = vec![member(1), member(2)];
        record_latencies(&mut harness);
        Self {
            harness,
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: BTreeMap::new(),
            idempotency_keys: BTreeSet::new(),
            next_ticket: 0,
            ended: 0,
        }
    }

    fn random_below(&mut self, limit: usize) -> usize {
        self.rng.random_range(0..limit)
    }

    /// A random request arrives.
    fn arrive(&mut self) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let kind = self.random_below(4);
        let key = self.random_below(5).to_string();
        let mut arrival = Arrival {
            timeout_ms: [1, 20, 200, 3_000][self.random_below(4)],
            key: Some(KeyHash::of(&key)),
            idempotent: kind < 2,
            ..get(ticket)
        };
        if kind == 3 {
            let idempotency_key = self.random_below(40);
            arrival.idempotency_key = Some(idempotency_key.to_string());
            arrival.key = Some(KeyHash::of("k"));
            arrival.scope = Some("7.0".into());
            arrival.fingerprint = Fingerprint(idempotency_key as u64);
        }
        if kind == 1 {
            arrival.service = "udlaan".into();
        } else if self.random_below(3) == 0 {
            arrival = from_peer(arrival);
        }
        let (attempts, may_have_run) = (BTreeSet::new(), false);
        let request =
            OpenRequest { arrival: arrival.clone(), attempts, may_have_run };
        self.requests.insert(ticket, request);
        let out = self.harness.arrive(arrival);
        self.check(&out);
    }

    /// Ends a random attempt in flight with a random outcome.
    fn end_attempt(&mut self) {
        let open: Vec<(u64, Attempt)> = self
            .requests
            .iter()
            .flat_map(|(&t, a)| {
                a.attempts.iter().map(move |&attempt| (t, attempt))
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let (ticket, attempt) = open[self.random_below(open.len())];
        let outcome = match self.random_below(8) {
            reason @ 0..6 => failed(REASONS[reason]),
            _ => answered(),
        };
        let not_run = matches!(&outcome, Outcome::Failed(refusal)
            if refusal.verdict == Verdict::NotRun);
        let request = self.requests.get_mut(&ticket).unwrap();
        request.attempts.remove(&attempt);
        request.may_have_run |= !not_run;
        if attempt.is_none() && !not_run {
            self.idempotency_keys
                .extend(request.arrival.idempotency_key.clone());
        }
        let out = match attempt {
            Some(number) => self.harness.peer_done(ticket, number, outcome),
            None => self.harness.upstream_done(ticket, outcome),
        };
        self.check(&out);
    }

    /// Changes the grant, the routes or the state of the upstream at random.
    fn change_state(&mut self) {
        let group = &mut self.harness.group;
        let routes = &mut self.harness.routes;
        let until = self.harness.now + 1_500;
        let mut out = Vec::new();
        match self.rng.random_range(0..10) {
            0 => group.grant = Err(Reason::Moving),
            1 => group.grant = Err(Reason::NotOwner),
            2 => routes.owner = Lookup::Wait,
            3 => routes.owner = Lookup::Owner(node(1)),
            4 => routes.members = vec![member(1), member(2)],
            5 => routes.members = Vec::new(),
            6 => {
                out = self
                    .harness
                    .with(|r, _, now, out| r.upstream_down(now, out));
            }
            7 => {
                out = self
                    .harness
                    .with(|r, _, now, out| r.upstream_up(now, out));
            }
            _ => group.grant = Ok(grant(3, until)),
        }
        self.check(&out);
    }

    fn tick(&mut self, span_ms: u64) {
        let out = self.harness.tick_after(span_ms);
        self.check(&out);
    }

    fn check(&mut self, out: &[Effect]) {
        for effect in out {
            self.check_one(effect);
        }
    }

    /// Applies an effect to the model and asserts that it is allowed.
    fn check_one(&mut self, effect: &Effect) {
        match effect {
            Effect::Forward { ticket, attempt, .. } => {
                self.started(ticket.0, Some(*attempt));
            }
            Effect::Dispatch { ticket, .. } => {
                assert!(self.harness.group.grant.is_ok(), "{effect:?}");
                self.started(ticket.0, None);
                let idempotency_key =
                    &self.requests[&ticket.0].arrival.idempotency_key;
                let ran_before = idempotency_key
                    .as_ref()
                    .is_some_and(|t| self.idempotency_keys.contains(t));
                assert!(!ran_before, "{idempotency_key:?} runs twice");
            }
            Effect::AbortPeer { ticket, attempt } => {
                self.aborted(ticket.0, Some(*attempt));
            }
            Effect::AbortUpstream { ticket } => self.aborted(ticket.0, None),
            Effect::Answer { ticket, .. }
            | Effect::ReplayAnswer { ticket, .. } => {
                self.request_ended(ticket.0);
            }
            Effect::Refuse { ticket, refusal } => {
                let may_have_run = self.request_ended(ticket.0).may_have_run;
                let not_run = refusal.verdict == Verdict::NotRun;
                assert!(
                    !(may_have_run && not_run),
                    "{refusal:?} of a request that may have run"
                );
            }
            _ => {}
        }
    }

    /// An attempt starts. A non-idempotent request must not run twice.
    fn started(&mut self, ticket: u64, attempt: Attempt) {
        let request =
            self.requests.get_mut(&ticket).expect("the request has not ended");
        let first = request.attempts.is_empty() && !request.may_have_run;
        assert!(first || request.arrival.idempotent, "{ticket} runs twice");
        assert!(
            request.attempts.insert(attempt),
            "{ticket} has this attempt in flight already"
        );
        assert!(request.attempts.len() <= 2, "{ticket}");
    }

    /// The node aborts an attempt, which may have run.
    fn aborted(&mut self, ticket: u64, attempt: Attempt) {
        let request =
            self.requests.get_mut(&ticket).expect("the request has not ended");
        assert!(
            request.attempts.remove(&attempt),
            "{ticket}/{attempt:?} is not in flight"
        );
        request.may_have_run = true;
        if attempt.is_none() {
            self.idempotency_keys
                .extend(request.arrival.idempotency_key.clone());
        }
    }

    /// A request ends. No attempt may be in flight any more.
    fn request_ended(&mut self, ticket: u64) -> OpenRequest {
        let request = self
            .requests
            .remove(&ticket)
            .expect("the request has not ended before");
        assert!(
            request.attempts.is_empty(),
            "{ticket} ended with attempts in flight: {:?}",
            request.attempts
        );
        self.ended += 1;
        request
    }
}

/// Guards against requests that never end or end twice, non-idempotent
/// requests that run twice, and refusals as `not-run` of requests that may
/// have run. Events and outcomes are random.
#[test]
fn random_events_keep_the_guarantees() {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for _ in 0..2_000 {
            match model.random_below(20) {
                0..8 => model.arrive(),
                8..15 => model.end_attempt(),
                15 => model.change_state(),
                16 if !model.requests.is_empty() => {
                    let ticket = *model.requests.keys().next().unwrap();
                    let out = model.harness.cancel(ticket);
                    model.check(&out);
                }
                _ => {
                    let span_ms = model.random_below(40) as u64;
                    model.tick(span_ms);
                }
            }
        }
        model.tick(60_000);
        assert!(model.harness.requests.is_empty(), "seed {seed}");
        assert_eq!(model.ended, model.next_ticket, "seed {seed}");
        let load = model.harness.requests.load(Millis(model.harness.now));
        assert_eq!((load.busy, load.shards.len()), (0, 0));
    }
}
