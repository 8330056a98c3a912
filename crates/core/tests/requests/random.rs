//! Random events against a model of what may have run.

use std::collections::{BTreeMap, BTreeSet};

use lagoondyke_core::clock::Millis;
use lagoondyke_core::effect::Effect;
use lagoondyke_core::event::{Arrival, Outcome};
use lagoondyke_core::id::{Fingerprint, KeyHash};
use lagoondyke_core::route::Lookup;
use lagoondyke_core::verdict::{Reason, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::members::known_latency;
use crate::support::{
    Bed, answered, failed, from_peer, get, grant, member, node,
};

/// Where an attempt is: at a peer by its number, or at the own upstream.
type Hop = Option<u8>;

struct Asked {
    arrival: Arrival,
    open: BTreeSet<Hop>,
    /// An attempt may have run.
    ran: bool,
}

/// What the shell and the upstreams know.
struct Model {
    bed: Bed,
    random: Pcg64Mcg,
    asked: BTreeMap<u64, Asked>,
    /// Idempotency keys that may have run at the own upstream.
    tokens: BTreeSet<String>,
    next: u64,
    ended: u64,
}

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
        let mut bed = Bed::warm();
        bed.routes.members = vec![member(1), member(2)];
        known_latency(&mut bed);
        Self {
            bed,
            random: Pcg64Mcg::seed_from_u64(seed),
            asked: BTreeMap::new(),
            tokens: BTreeSet::new(),
            next: 0,
            ended: 0,
        }
    }

    fn pick(&mut self, most: usize) -> usize {
        self.random.random_range(0..most)
    }

    fn arrive(&mut self) {
        let ticket = self.next;
        self.next += 1;
        let kind = self.pick(4);
        let key = self.pick(5).to_string();
        let mut arrival = Arrival {
            timeout_ms: [1, 20, 200, 3_000][self.pick(4)],
            key: Some(KeyHash::of(&key)),
            idempotent: kind < 2,
            ..get(ticket)
        };
        if kind == 3 {
            let token = self.pick(40);
            arrival.idempotency_key = Some(token.to_string());
            arrival.key = Some(KeyHash::of("k"));
            arrival.scope = Some("7.0".into());
            arrival.fingerprint = Fingerprint(token as u64);
        }
        if kind == 1 {
            arrival.service = "udlaan".into();
        } else if self.pick(3) == 0 {
            arrival = from_peer(arrival);
        }
        let (open, ran) = (BTreeSet::new(), false);
        let asked = Asked { arrival: arrival.clone(), open, ran };
        self.asked.insert(ticket, asked);
        let out = self.bed.arrive(arrival);
        self.check(&out);
    }

    /// Ends a random attempt that is open.
    fn end(&mut self) {
        let open: Vec<(u64, Hop)> = self
            .asked
            .iter()
            .flat_map(|(&t, a)| a.open.iter().map(move |&hop| (t, hop)))
            .collect();
        if open.is_empty() {
            return;
        }
        let (ticket, hop) = open[self.pick(open.len())];
        let outcome = match self.pick(8) {
            reason @ 0..6 => failed(REASONS[reason]),
            _ => answered(),
        };
        let not_run = matches!(&outcome, Outcome::Failed(refusal)
            if refusal.verdict == Verdict::NotRun);
        let asked = self.asked.get_mut(&ticket).unwrap();
        asked.open.remove(&hop);
        asked.ran |= !not_run;
        if hop.is_none() && !not_run {
            self.tokens.extend(asked.arrival.idempotency_key.clone());
        }
        let out = match hop {
            Some(number) => self.bed.peer(ticket, number, outcome),
            None => self.bed.upstream(ticket, outcome),
        };
        self.check(&out);
    }

    /// Changes something outside of the requests.
    fn disturb(&mut self) {
        let group = &mut self.bed.group;
        let routes = &mut self.bed.routes;
        let until = self.bed.now + 1_500;
        let mut out = Vec::new();
        match self.random.random_range(0..10) {
            0 => group.grant = Err(Reason::Moving),
            1 => group.grant = Err(Reason::NotOwner),
            2 => routes.owner = Lookup::Wait,
            3 => routes.owner = Lookup::Owner(node(1)),
            4 => routes.members = vec![member(1), member(2)],
            5 => routes.members = Vec::new(),
            6 => {
                out =
                    self.bed.with(|r, _, now, out| r.upstream_down(now, out));
            }
            7 => {
                out = self.bed.with(|r, _, now, out| r.upstream_up(now, out));
            }
            _ => group.grant = Ok(grant(3, until)),
        }
        self.check(&out);
    }

    fn tick(&mut self, span: u64) {
        let out = self.bed.tick_after(span);
        self.check(&out);
    }

    fn check(&mut self, out: &[Effect]) {
        for effect in out {
            self.check_one(effect);
        }
    }

    fn check_one(&mut self, effect: &Effect) {
        match effect {
            Effect::Forward { ticket, attempt, .. } => {
                self.sent(ticket.0, Some(*attempt));
            }
            Effect::Dispatch { ticket, .. } => {
                assert!(self.bed.group.grant.is_ok(), "{effect:?}");
                self.sent(ticket.0, None);
                let token = &self.asked[&ticket.0].arrival.idempotency_key;
                let again =
                    token.as_ref().is_some_and(|t| self.tokens.contains(t));
                assert!(!again, "{token:?} runs twice");
            }
            Effect::AbortPeer { ticket, attempt } => {
                self.aborted(ticket.0, Some(*attempt));
            }
            Effect::AbortUpstream { ticket } => self.aborted(ticket.0, None),
            Effect::Answer { ticket, .. }
            | Effect::ReplayAnswer { ticket, .. } => {
                self.over(ticket.0);
            }
            Effect::Refuse { ticket, refusal } => {
                let ran = self.over(ticket.0).ran;
                let not_run = refusal.verdict == Verdict::NotRun;
                assert!(!(ran && not_run), "{refusal:?} is not true");
            }
            _ => {}
        }
    }

    fn sent(&mut self, ticket: u64, hop: Hop) {
        let asked = self.asked.get_mut(&ticket).expect("the request is open");
        let first = asked.open.is_empty() && !asked.ran;
        assert!(first || asked.arrival.idempotent, "{ticket} runs twice");
        assert!(asked.open.insert(hop), "{ticket} is there already");
        assert!(asked.open.len() <= 2, "{ticket}");
    }

    fn aborted(&mut self, ticket: u64, hop: Hop) {
        let asked = self.asked.get_mut(&ticket).expect("the request is open");
        assert!(asked.open.remove(&hop), "{ticket}/{hop:?} is not open");
        asked.ran = true;
        if hop.is_none() {
            self.tokens.extend(asked.arrival.idempotency_key.clone());
        }
    }

    fn over(&mut self, ticket: u64) -> Asked {
        let asked = self.asked.remove(&ticket).expect("ended once");
        assert!(
            asked.open.is_empty(),
            "{ticket} is still at {:?}",
            asked.open
        );
        self.ended += 1;
        asked
    }
}

/// Whatever happens, each request ends once, a non-idempotent one runs at
/// most once, and a refusal that says `not-run` is true.
#[test]
fn random_events_keep_the_guarantees() {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for _ in 0..2_000 {
            match model.pick(20) {
                0..8 => model.arrive(),
                8..15 => model.end(),
                15 => model.disturb(),
                16 if !model.asked.is_empty() => {
                    let ticket = *model.asked.keys().next().unwrap();
                    let out = model.bed.cancel(ticket);
                    model.check(&out);
                }
                _ => {
                    let span = model.pick(40) as u64;
                    model.tick(span);
                }
            }
        }
        model.tick(60_000);
        assert!(model.bed.requests.is_empty(), "seed {seed}");
        assert_eq!(model.ended, model.next, "seed {seed}");
        let load = model.bed.requests.load(Millis(model.bed.now));
        assert_eq!((load.busy, load.shards.len()), (0, 0));
    }
}
