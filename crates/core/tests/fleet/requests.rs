//! Answers and refusals that callers get, as a single reducer decides them.

use std::net::SocketAddr;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::account::KeyDigest;
use lagoondyke_core::fleet::config::{Config, Route, Service, Target};
use lagoondyke_core::fleet::effect::{Effect, Op};
use lagoondyke_core::fleet::event::{
    Arrival, Call, Condition, Document, Event, Item, ObjectKind, Order,
    Outcome, Source, StoreOutcome, Value,
};
use lagoondyke_core::fleet::gossip::Gossip;
use lagoondyke_core::fleet::settings::Settings;
use lagoondyke_core::fleet::table::{Instance, Share, Table};
use lagoondyke_core::fleet::upstream::{Announcement, Phase};
use lagoondyke_core::id::{Fingerprint, Ticket};
use lagoondyke_core::verdict::{Reason, Refusal, Verdict};

use crate::support::settings;

/// Handle of the upstream's report of its exit.
pub const EXIT: Ticket = Ticket(1 << 41);

/// One node, `n0`, of the service `s` beside the keyed service `k`, whose
/// keys belong to `n1`.
pub struct Harness {
    pub fleet: Fleet,
    pub now: u64,
    /// Fingerprint of all further requests; the number of its ticket if
    /// `None`.
    pub fingerprint: Option<Fingerprint>,
    /// Key of a client account that the requests carry.
    pub credential: Option<KeyDigest>,
    /// Ticket of the next request. Tickets count from 1 in order of arrival.
    pub next_ticket: u64,
    /// Number of gossip messages and announcements so far, as their sequence
    /// number.
    message_count: u64,
}

impl Harness {
    pub fn new() -> Self {
        Self::with(settings(0))
    }

    /// A node that has just started and knows no document.
    pub fn unconfigured(settings: Settings) -> Self {
        Self::started(settings, 1)
    }

    fn started(settings: Settings, incarnation: u64) -> Self {
        Self {
            fleet: Fleet::new(settings, incarnation, 7, Millis(1_000)),
            now: 1_000,
            fingerprint: None,
            credential: None,
            next_ticket: 1,
            message_count: 0,
        }
    }

    pub fn with(settings: Settings) -> Self {
        Self::unconfigured(settings).configured()
    }

    /// A process of the node with this incarnation.
    pub fn with_incarnation(incarnation: u64) -> Self {
        Self::started(settings(0), incarnation).configured()
    }

    /// How long ago the configuration was known to be the latest one.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.fleet.config_age_ms(Millis(self.now))
    }

    /// A node that knows another node of the service "s".
    pub fn new_with_peer() -> Self {
        let mut harness = Self::new();
        harness.gossip(1, "s");
        harness
    }

    /// The store reports a new version of the configuration.
    pub fn apply_config(&mut self, config: Config) -> Vec<Effect> {
        let document = Document::Config(Box::new(config));
        self.step(Event::Document(document))
    }

    /// A node that has not read its record in the store.
    pub fn unread() -> Self {
        Self::started(settings(0), 1).with_documents()
    }

    /// The record that an effect writes to the store.
    pub fn stored(effect: &Effect) -> Option<Item> {
        let Effect::Store { call: Call::Renew, op } = effect else {
            return None;
        };
        let Op::Update { name, value, .. } = op else { return None };
        let (name, value) = (name.clone(), Some(value.clone()));
        Some(Item { name, revision: 1 << 20, value })
    }

    /// The node once it knows the configuration, the tables and its record.
    fn configured(self) -> Self {
        let mut harness = self.with_documents();
        let call = Call::ReadRecord;
        let outcome = StoreOutcome::Missing;
        harness.step(Event::StoreDone { call, outcome });
        harness
    }

    /// The node once it knows the configuration and the tables.
    fn with_documents(mut self) -> Self {
        let call = Call::List(ObjectKind::Config);
        let outcome = listed("main", Value::Config(Box::new(config())));
        self.step(Event::StoreDone { call, outcome });
        let share = Share { node: "n1".to_owned(), slots: 1 };
        let call = Call::List(ObjectKind::Tables);
        let outcome = listed("k", Value::Table(Table::proportional(&[share])));
        self.step(Event::StoreDone { call, outcome });
        self
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.fleet.step(event, Millis(self.now), &mut out);
        out
    }

    /// The last record that the node writes to the store in this time, in
    /// which the store answers its calls for the record.
    pub fn written_record(&mut self, ms: u64) -> Item {
        let mut record = None;
        let end = self.now + ms;
        while self.now < end {
            self.now += 100;
            for effect in self.step(Event::Tick) {
                let Effect::Store { call, op } = effect else { continue };
                let outcome = match (&call, op) {
                    (Call::ReadRecord, _) => StoreOutcome::Missing,
                    (Call::Renew, Op::Update { name, value, .. }) => {
                        let (revision, value) = (self.now, Some(value));
                        let item = Item { name, revision, value };
                        record = Some(item.clone());
                        StoreOutcome::Done(item)
                    }
                    _ => continue,
                };
                self.step(Event::StoreDone { call, outcome });
            }
        }
        record.expect("the record is written")
    }

    /// The node reads this record, which an earlier process has written.
    pub fn read_record(&mut self, record: Item) -> Vec<Effect> {
        let outcome = StoreOutcome::Done(record);
        self.step(Event::StoreDone { call: Call::ReadRecord, outcome })
    }

    pub fn gossip(&mut self, index: usize, service: &str) -> Vec<Effect> {
        self.gossip_with(index, service, &[])
    }

    pub fn gossip_with(
        &mut self,
        index: usize,
        service: &str,
        suspects: &[Fingerprint],
    ) -> Vec<Effect> {
        self.message_count += 1;
        let gossip = Box::new(Gossip {
            suspects: suspects.to_vec(),
            node: format!("n{index}"),
            count: self.message_count,
            peer_port: 3,
            domain: "d1".to_owned(),
            service: service.to_owned(),
            instance: Some(Instance {
                id: format!("u{index}"),
                started_ms: 1,
            }),
            slots: 4,
            mean_ms: 100,
            good: 1_000,
            ..Gossip::default()
        });
        let from = settings(index).gossip_addr();
        self.step(Event::Gossip { from, gossip })
    }

    /// Gossip of a node that knows a table of its service of this revision.
    pub fn gossip_table(&mut self, index: usize, service: &str, table: u64) {
        self.message_count += 1;
        let gossip = Box::new(Gossip {
            node: format!("n{index}"),
            count: self.message_count,
            service: service.to_owned(),
            instance: Some(Instance {
                id: format!("u{index}"),
                started_ms: 1,
            }),
            slots: 4,
            table,
            ..Gossip::default()
        });
        let from = settings(index).gossip_addr();
        self.step(Event::Gossip { from, gossip });
    }

    pub fn announce(&mut self, phase: Phase, slots: u16) -> Vec<Effect> {
        let instance = Instance { id: "u0".to_owned(), started_ms: 1 };
        self.announce_state(instance, phase, slots)
    }

    /// The upstream announces itself as this instance.
    pub fn announce_instance(
        &mut self,
        id: &str,
        started_ms: u64,
    ) -> Vec<Effect> {
        let instance = Instance { id: id.to_owned(), started_ms };
        self.announce_state(instance, Phase::Ready, 4)
    }

    fn announce_state(
        &mut self,
        instance: Instance,
        phase: Phase,
        slots: u16,
    ) -> Vec<Effect> {
        self.message_count += 1;
        let announcement = Box::new(Announcement {
            instance,
            service: "s".to_owned(),
            address: settings(0).upstream.to_string(),
            slots,
            phase,
            sequence: self.message_count,
            ..Announcement::default()
        });
        let ticket = Ticket(1 << 40 | self.message_count);
        self.step(Event::Announced { ticket, announcement })
    }

    /// A request of a caller, with a deadline in 2 s.
    pub fn caller_request(
        &mut self,
        path: &str,
        key: Option<u16>,
    ) -> Vec<Effect> {
        self.caller_request_within(path, key, 2_000)
    }

    pub fn caller_request_within(
        &mut self,
        path: &str,
        key: Option<u16>,
        budget: u64,
    ) -> Vec<Effect> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.step(Event::Request(Arrival {
            ticket,
            source: Source::Caller,
            id: format!("r{}", ticket.0),
            host: "h".to_owned(),
            path: path.to_owned(),
            key,
            budget,
            credential: self.credential,
            fingerprint: self.fingerprint.unwrap_or(Fingerprint(ticket.0)),
            order: None,
        }))
    }

    /// A request that a peer forwards to this node's upstream.
    pub fn peer_request(&mut self, priority: u8, budget: u64) -> Vec<Effect> {
        self.peer_request_within(priority, budget, budget)
    }

    pub fn peer_request_within(
        &mut self,
        priority: u8,
        budget: u64,
        objective: u64,
    ) -> Vec<Effect> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.step(Event::Request(Arrival {
            ticket,
            source: Source::Peer,
            id: format!("r{}", ticket.0),
            host: "h".to_owned(),
            path: "/s/".to_owned(),
            key: None,
            budget,
            credential: self.credential,
            fingerprint: self.fingerprint.unwrap_or(Fingerprint(ticket.0)),
            order: Some(Order {
                service: "s".to_owned(),
                key: None,
                priority,
                idempotent: false,
                budget,
                objective,
                origin: "k".to_owned(),
                account: None,
            }),
        }))
    }

    pub fn peer_done(
        &mut self,
        ticket: u64,
        result: Result<u16, Refusal>,
    ) -> Vec<Effect> {
        let ticket = Ticket(ticket);
        let outcome = Outcome { result, load: None, condition: None };
        self.step(Event::PeerDone { ticket, outcome })
    }

    pub fn upstream_done(
        &mut self,
        ticket: u64,
        result: Result<u16, Refusal>,
    ) -> Vec<Effect> {
        let ticket = Ticket(ticket);
        let condition = result.is_ok().then(Condition::default);
        let outcome = Outcome { result, load: None, condition };
        self.step(Event::UpstreamDone { ticket, outcome })
    }
}

/// Time for which a draining upstream takes requests.
fn drain_ms() -> u64 {
    settings(0).bounds.drain_ms.expect("a bound") as u64
}

fn listed(name: &str, value: Value) -> StoreOutcome {
    let name = name.to_owned();
    let items = vec![Item { name, revision: 5, value: Some(value) }];
    StoreOutcome::Listed { items, revision: 5 }
}

pub fn config() -> Config {
    let mut config = Config { version: 1, ..Config::default() };
    let service =
        |keyed| Service { keyed, warmup_rate: 5.0, ..Service::default() };
    config.services.insert("s".to_owned(), service(false));
    config.services.insert("k".to_owned(), service(true));
    let route = |service: &str, idempotent| Route {
        open: false,
        name: format!("{service}-{idempotent}"),
        prefix: format!("/{service}{}/", if idempotent { "i" } else { "" }),
        targets: vec![Target { service: service.to_owned(), weight: 1.0 }],
        idempotent,
        timeout_ms: 1_000,
        objective_ms: 500,
        priority: 1,
        attempts: 2,
    };
    let slow = Route {
        prefix: "/slow/".to_owned(),
        timeout_ms: 10_000,
        ..route("k", false)
    };
    let routes = vec![
        slow,
        route("s", false),
        route("s", true),
        route("k", false),
        route("k", true),
    ];
    config.hosts.insert("h".to_owned(), routes);
    config
}

/// The upstream's report of its exit.
pub fn left() -> Event {
    Event::UpstreamLeft { ticket: EXIT, id: "u0".to_owned() }
}

pub fn forwards(out: &[Effect]) -> Vec<SocketAddr> {
    let to = out.iter().filter_map(|effect| match effect {
        Effect::Forward { to, .. } => Some(*to),
        _ => None,
    });
    to.collect()
}

pub fn dispatches(out: &[Effect]) -> usize {
    out.iter().filter(|e| matches!(e, Effect::Dispatch { .. })).count()
}

pub fn refusal(out: &[Effect]) -> Option<&Refusal> {
    out.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

pub fn refused(reason: Reason) -> Result<u16, Refusal> {
    Err(Refusal::new(reason, "by the test"))
}

/// Guards against a request that is sent over and over to an owner that
/// refuses it: 40 waiting requests caused 30,000 sends in 3 s.
#[test]
fn a_request_that_its_owner_refuses_is_not_sent_in_a_loop() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    let mut sends = forwards(&harness.caller_request("/k/", Some(3))).len();
    assert_eq!(sends, 1);
    for _ in 0..40 {
        harness.now += 25;
        let out = harness.peer_done(1, refused(Reason::NoOwner));
        sends += forwards(&out).len();
        sends += forwards(&harness.gossip(1, "k")).len();
        sends += forwards(&harness.step(Event::Tick)).len();
    }
    assert!(sends <= 8, "{sends} sends in a second");
}

/// Guards against waiting requests that are all sent again at each change of
/// the table, and that are sent to an owner whose upstream is not up yet:
/// after a restart of the whole fleet, nodes with a tenth of a core did
/// nothing else.
#[test]
fn changes_of_other_ranges_resend_no_request() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request("/k/", Some(3));
    harness.peer_done(1, refused(Reason::NoOwner));
    let share = Share { node: "n1".to_owned(), slots: 1 };
    let mut table = Table::proportional(&[share]);
    let mut sends = 0;
    for revision in 6..26 {
        table.claims.insert("n2".to_owned(), revision);
        let value = Some(Value::Table(table.clone()));
        let name = "k".to_owned();
        let items = vec![Item { name, revision, value }];
        let outcome = StoreOutcome::Changed { items, revision };
        let call = Call::Watch { kind: ObjectKind::Tables, after: 5 };
        sends +=
            forwards(&harness.step(Event::StoreDone { call, outcome })).len();
    }
    assert_eq!(sends, 0);
    table.assign((0, 9), 2, "n2", None, None);
    harness.gossip(2, "k");
    let value = Some(Value::Table(table));
    let items = vec![Item { name: "k".to_owned(), revision: 30, value }];
    let outcome = StoreOutcome::Changed { items, revision: 30 };
    let call = Call::Watch { kind: ObjectKind::Tables, after: 5 };
    let out = harness.step(Event::StoreDone { call, outcome });
    assert_eq!(forwards(&out).len(), 1, "sent to the new owner at once");
}

/// Guards against a refusal with the verdict `not-run` of a request that was
/// sent and not answered.
#[test]
fn a_request_that_may_have_run_is_never_said_not_to_have_run() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request("/k/", Some(3));
    let out = harness.peer_done(1, refused(Reason::ConnectionLost));
    let verdict = refusal(&out).map(|refusal| refusal.verdict);
    assert_eq!(verdict, Some(Verdict::MayHaveRun));
    assert!(forwards(&out).is_empty());
}

/// Guards against a retry that is refused with `not-run` although the first
/// attempt may have run.
#[test]
fn a_repeat_that_is_refused_may_have_run() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request("/ki/", Some(3));
    let out = harness.peer_done(1, refused(Reason::ConnectionLost));
    assert_eq!(forwards(&out).len(), 1, "idempotent requests are retried");
    let out = harness.peer_done(1, refused(Reason::Overloaded));
    let verdict = refusal(&out).map(|refusal| refusal.verdict);
    assert_eq!(verdict, Some(Verdict::MayHaveRun));
}

/// Guards against a request that is refused as `not-run` at its deadline
/// although another node may still run it.
#[test]
fn a_request_without_an_answer_in_time_may_have_run() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request("/k/", Some(3));
    harness.now += 1_200;
    let out = harness.step(Event::Tick);
    let refusal = refusal(&out).expect("the route's timeout has passed");
    assert_eq!(refusal.reason, Reason::DeadlineAfter);
    assert!(out.iter().any(|e| matches!(e, Effect::Abort { .. })));
}

/// Guards against requests that are sent to a draining upstream although the
/// settings state no time for which it still serves (`drain_ms`).
#[test]
fn an_upstream_that_leaves_gets_no_more_requests() {
    let mut bounded = settings(0);
    bounded.bounds.drain_ms = None;
    let mut harness = Harness::with(bounded);
    harness.announce(Phase::Ready, 1);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 0, "queued");
    let out = harness.announce(Phase::Draining, 1);
    let refusal = refusal(&out).expect("queued requests are refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let out = harness.upstream_done(1, Ok(200));
    assert_eq!(dispatches(&out), 0);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 0);
}

/// Guards against requests that are sent to a draining upstream after the
/// stated time, and against refusals while it still serves.
#[test]
fn an_upstream_that_leaves_serves_for_the_stated_time() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    assert_eq!(dispatches(&harness.peer_request(0, 9_000)), 1);
    assert_eq!(dispatches(&harness.peer_request(0, 9_000)), 0, "queued");
    let out = harness.announce(Phase::Draining, 1);
    assert!(refusal(&out).is_none(), "the queue is still served");
    assert_eq!(dispatches(&harness.upstream_done(1, Ok(200))), 1);
    assert_eq!(dispatches(&harness.peer_request(0, 9_000)), 0, "queued");
    harness.now += drain_ms();
    let out = harness.step(Event::Tick);
    let refusal = refusal(&out).expect("queued requests are refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(dispatches(&harness.upstream_done(2, Ok(200))), 0);
    assert_eq!(dispatches(&harness.peer_request(0, 9_000)), 0);
}

/// Guards against more requests to a cold upstream than its warm-up rate.
#[test]
fn a_cold_upstream_gets_its_stated_rate() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 100);
    let ticket = Ticket(99);
    harness.peer_request(0, 5_000);
    let cold = Condition { cold_ms: Some(3_000), ..Condition::default() };
    let outcome =
        Outcome { result: Ok(200), load: None, condition: Some(cold) };
    harness.step(Event::UpstreamDone { ticket: Ticket(1), outcome });
    let _ = ticket;
    let mut sent = 0;
    for _ in 0..50 {
        sent += dispatches(&harness.peer_request(0, 1_000));
        harness.now += 10;
    }
    assert!(sent <= 5, "{sent} in half a second");
}

/// Guards against requests that wait in the queue until their deadline.
#[test]
fn requests_that_cannot_end_in_time_are_refused_at_once() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    let mut refusals = 0;
    for _ in 0..20 {
        let out = harness.peer_request(1, 600);
        let Some(refusal) = refusal(&out) else { continue };
        assert_eq!(refusal.reason, Reason::Overloaded);
        assert!(refusal.retry_after.is_some());
        refusals += 1;
    }
    assert!((14..=18).contains(&refusals), "{refusals} of 20");
}

/// Guards against a queue in which each request is answered, but after its
/// objective, which makes the answer worth less than a third. The offered load
/// is twice the upstream's capacity.
#[test]
fn under_overload_served_requests_are_in_time() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 2);
    let (work, objective) = (150, 600);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut arrived = std::collections::BTreeMap::new();
    let (mut early, mut late) = (0, 0);
    for round in 0..400 {
        harness.now += 10;
        if round % 4 == 0 {
            arrived.insert(harness.next_ticket, harness.now);
            let out = harness.peer_request_within(1, 2_000, objective);
            add_dispatches(&out, harness.now + work, &mut running);
        }
        let done: Vec<u64> = running
            .iter()
            .filter(|entry| entry.1 <= harness.now)
            .map(|entry| entry.0)
            .collect();
        running.retain(|entry| entry.1 > harness.now);
        for ticket in done {
            let time = harness.now - arrived[&ticket];
            if time <= objective {
                early += 1;
            } else {
                late += 1;
            }
            let out = harness.upstream_done(ticket, Ok(200));
            add_dispatches(&out, harness.now + work, &mut running);
        }
    }
    assert!(late * 20 <= early, "{late} late, {early} in time");
    assert!(early >= 44, "{early} of about 50 that two slots run in 4 s");
}

fn add_dispatches(out: &[Effect], end: u64, running: &mut Vec<(u64, u64)>) {
    for effect in out {
        if let Effect::Dispatch { ticket, .. } = effect {
            running.push((ticket.0, end));
        }
    }
}

/// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn urgent_requests_go_first() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    harness.peer_request(1, 5_000);
    harness.peer_request(2, 5_000);
    harness.peer_request(0, 5_000);
    let out = harness.upstream_done(1, Ok(200));
    let next = out.iter().find_map(|effect| match effect {
        Effect::Dispatch { ticket, .. } => Some(ticket.0),
        _ => None,
    });
    assert_eq!(next, Some(3));
}

/// Guards against a path that is refused as unknown before the node has a
/// configuration: until then it cannot know whether the path has a route.
#[test]
fn a_node_without_configuration_refuses_without_a_404() {
    let mut harness = Harness::unconfigured(settings(0));
    let out = harness.caller_request("/k/", Some(3));
    assert_eq!(refusal(&out).map(|r| r.reason), Some(Reason::NoOwner));
    let mut harness = Harness::new();
    let out = harness.caller_request("/none/", None);
    assert_eq!(refusal(&out).map(|r| r.reason), Some(Reason::UnknownService));
}

/// Guards against a stopping node that accepts requests until its stop time is
/// over and then closes their connections.
#[test]
fn a_node_that_stops_refuses_late_requests_and_ends_the_others() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request("/k/", Some(3));
    harness.step(Event::Stop);
    harness.now += 100;
    assert_eq!(forwards(&harness.caller_request("/k/", Some(4))).len(), 1);
    harness.now += 2_300;
    let out = harness.caller_request("/k/", Some(5));
    assert_eq!(refusal(&out).map(|r| r.verdict), Some(Verdict::NotRun));
    let exits = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::Exit));
    harness.peer_done(1, Ok(200));
    harness.peer_done(2, Ok(200));
    assert!(exits(&harness.step(Event::Tick)));
}

/// Guards against a stop that closes the connection of an unanswered request,
/// be it at an upstream or waiting for an owner of its key.
#[test]
fn a_stop_answers_every_request_before_the_process_ends() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.caller_request_within("/slow/", Some(3), 10_000);
    harness.step(Event::Stop);
    harness.now += 1_700;
    harness.gossip(1, "k");
    harness.caller_request_within("/slow/", Some(4), 10_000);
    harness.peer_done(2, refused(Reason::NoOwner));
    let mut answers = Vec::new();
    while harness.now < 1_000 + 6_000 {
        harness.now += 25;
        let out = harness.step(Event::Tick);
        for effect in &out {
            match effect {
                Effect::Refuse { ticket, refusal } => {
                    answers.push((*ticket, refusal.verdict));
                }
                Effect::Forward { ticket, .. } if ticket.0 == 2 => {
                    harness.peer_done(2, refused(Reason::NoOwner));
                }
                _ => {}
            }
        }
        if out.iter().any(|effect| matches!(effect, Effect::Exit)) {
            break;
        }
    }
    answers.sort_unstable_by_key(|answer| answer.0);
    let expected =
        [(Ticket(1), Verdict::MayHaveRun), (Ticket(2), Verdict::NotRun)];
    assert_eq!(answers, expected);
}

/// Guards against a request that is taken late in a stop with more time than
/// the process has: it is passed on, and cut at the end without an answer.
#[test]
fn a_request_in_a_stop_has_no_more_time_than_the_process() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    harness.step(Event::Stop);
    harness.now += 2_000;
    harness.gossip(1, "k");
    let out = harness.caller_request_within("/slow/", Some(3), 10_000);
    let budget = out.iter().find_map(|effect| match effect {
        Effect::Forward { order, .. } => Some(order.budget),
        _ => None,
    });
    // The grace period has 6 s. Remaining requests are refused 0.4 s before
    // its end, and an answer takes its time to arrive.
    let budget = budget.expect("the request is forwarded");
    assert!(budget <= 6_000 - 2_000 - 400 - 100, "{budget} ms");
}

/// Guards against a request that is passed on although its answer would come
/// after the process has ended; it may run only once.
#[test]
fn a_request_that_a_stop_leaves_no_time_is_refused_at_once() {
    let mut short = settings(0);
    short.bounds.stop_s = Some(1.5);
    let mut harness = Harness::with(short);
    harness.gossip(1, "k");
    harness.step(Event::Stop);
    harness.now += 900;
    harness.gossip(1, "k");
    let out = harness.caller_request_within("/k/", Some(3), 10_000);
    let refusal = out.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("the request is refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
}

fn dispatched(out: &[Effect]) -> Option<Ticket> {
    dispatched_tickets(out).first().copied()
}

pub fn dispatched_tickets(out: &[Effect]) -> Vec<Ticket> {
    let tickets = out.iter().filter_map(|effect| match effect {
        Effect::Dispatch { ticket, .. } => Some(*ticket),
        _ => None,
    });
    tickets.collect()
}

/// Guards against a burst that makes all requests late: if they were served in
/// the order of deadlines, requests that are late already would delay others
/// that can still be in time.
#[test]
fn requests_that_can_be_in_time_go_before_late_ones() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    assert!(dispatched(&harness.peer_request(1, 5_000)).is_some());
    harness.peer_request_within(1, 4_000, 0);
    harness.peer_request_within(1, 5_000, 2_000);
    let out = harness.upstream_done(1, Ok(200));
    assert_eq!(dispatched(&out), Some(Ticket(3)), "in time");
    let out = harness.upstream_done(3, Ok(200));
    assert_eq!(dispatched(&out), Some(Ticket(2)), "late, but not refused");
}

/// Guards against late requests that wait for most of their time and are then
/// refused.
#[test]
fn late_requests_are_refused_at_once_without_room() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 1);
    harness.peer_request(1, 5_000);
    let mut refused = 0;
    for _ in 0..10 {
        let out = harness.peer_request_within(1, 2_000, 0);
        refused += usize::from(refusal(&out).is_some());
    }
    assert!((5..10).contains(&refused), "{refused} of 10 are refused at once");
    harness.now += 1_000;
    let out = harness.step(Event::Tick);
    let expired = out.iter().filter(|e| matches!(e, Effect::Refuse { .. }));
    assert_eq!(expired.count(), 10 - refused, "half of their time has passed");
}

/// Guards against a caller that retries after a refusal and is treated as if
/// its objective started anew: its answer is late in any case.
#[test]
fn the_objective_counts_from_the_callers_first_attempt() {
    let mut harness = Harness::new();
    harness.gossip(1, "k");
    let mut objective = |budget| {
        let out = harness.caller_request_within("/k/", Some(3), budget);
        out.iter().find_map(|effect| match effect {
            Effect::Forward { order, .. } => Some(order.objective),
            _ => None,
        })
    };
    for budget in [2_000, 1_700, 1_900] {
        assert_eq!(objective(budget), Some(500), "a first attempt");
    }
    assert_eq!(objective(1_200), Some(0), "a retry");
    assert_eq!(objective(1_800), Some(500), "another caller");
}

/// Guards against frequent renewals by nodes that own no keys: they were a
/// fourth of all renewals.
#[test]
fn a_node_of_a_service_without_keys_renews_rarely() {
    let mut harness = Harness::new();
    let mut renewals = 0;
    for revision in 10..810 {
        harness.now += 25;
        for effect in harness.step(Event::Tick) {
            let Effect::Store { call, op } = effect else { continue };
            let outcome = match (&call, op) {
                (Call::ReadRecord, _) => StoreOutcome::Missing,
                (Call::Renew, Op::Update { name, value, .. }) => {
                    renewals += 1;
                    let value = Some(value);
                    StoreOutcome::Done(Item { name, revision, value })
                }
                _ => continue,
            };
            harness.step(Event::StoreDone { call, outcome });
        }
    }
    assert!((2..=3).contains(&renewals), "{renewals} renewals in 20 s");
}

/// Guards against a request that crashes one upstream after another. Here
/// three nodes report that it was at their upstream when that crashed.
#[test]
fn a_request_that_crashed_upstreams_is_refused_everywhere() {
    let mut harness = Harness::new();
    let suspect = Fingerprint(harness.next_ticket);
    for index in 1..=3 {
        let out = harness.gossip_with(index, "k", &[suspect]);
        assert!(refusal(&out).is_none());
    }
    let out = harness.caller_request("/k/", Some(3));
    let refused = refusal(&out).expect("the request crashes upstreams");
    assert_eq!(refused.reason, Reason::Poisoned);
    let out = harness.caller_request("/k/", Some(3));
    assert_eq!(forwards(&out).len(), 1, "another one is not");
}

/// Guards against a crash that is not reported to the other nodes: they must
/// learn which requests were at the upstream.
#[test]
fn requests_at_a_crash_are_reported_to_the_other_nodes() {
    let mut harness = Harness::new();
    harness.announce(Phase::Ready, 4);
    assert_eq!(dispatches(&harness.peer_request(0, 5_000)), 1);
    harness.step(Event::UpstreamDown);
    harness.gossip(1, "k");
    harness.now += 1_000;
    let suspects =
        harness.step(Event::Tick).into_iter().find_map(
            |effect| match effect {
                Effect::Send { gossip, .. } => Some(gossip.suspects),
                _ => None,
            },
        );
    assert_eq!(suspects, Some(vec![Fingerprint(1)]));
}

/// Guards against an upstream that had left and is in use again after a
/// restart of its node, as it still announces itself as ready.
#[test]
fn an_upstream_that_left_is_not_used_after_a_restart_of_the_node() {
    for announces_first in [false, true] {
        let mut before = Harness::new();
        before.announce(Phase::Ready, 4);
        before.written_record(2_000);
        before.step(left());
        let record = before.written_record(200);
        let mut harness = Harness::with_incarnation(2);
        if announces_first {
            harness.announce(Phase::Ready, 4);
        }
        harness.read_record(record);
        harness.announce(Phase::Ready, 4);
        let out = harness.peer_request(0, 5_000);
        assert_eq!(dispatches(&out), 0, "{announces_first}");
        // The record that this process writes says the same.
        let record = harness.written_record(2_000);
        let mut again = Harness::with_incarnation(3);
        again.read_record(record);
        again.announce(Phase::Ready, 4);
        assert_eq!(dispatches(&again.peer_request(0, 5_000)), 0);
        // The next instance is another upstream, even with the same name.
        again.announce_instance("u0", 2);
        assert_eq!(dispatches(&again.peer_request(0, 5_000)), 1);
    }
}
