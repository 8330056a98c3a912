//! The event loop around the fleet's reducer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lagoondyke_core::clock::TICK_INTERVAL_MS;
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::config::Limits;
use lagoondyke_core::fleet::effect::{Effect, Op};
use lagoondyke_core::fleet::event::{
    Call as StoreCall, Document, Event, Load, ObjectKind, Order, Source,
    StoreOutcome,
};
use lagoondyke_core::fleet::revision::number_of;
use lagoondyke_core::fleet::settings::Settings;
use lagoondyke_core::fleet::upstream::{Announcement, Grant};
use lagoondyke_core::fleet::withdrawal::Arrivals;
use lagoondyke_core::id::Ticket;
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::oneshot::{self, Receiver, Sender};

use crate::clock;
use crate::fleet::gossip::GossipSocket;
use crate::fleet::message::{Answer, Call, Reply};
use crate::fleet::metrics::Metrics;
use crate::fleet::notice_log::NoticeLog;
use crate::fleet::peers::{ConfigAge, PeerClient};
use crate::fleet::ports::{Dialect, Store};
use crate::fleet::upstream::{Dispatch, KeyCall, UpstreamClient};

/// The adapters that connect a shell to the platform.
pub struct Ports {
    /// Client of the object store.
    pub store: Rc<dyn Store>,
    /// HTTP conventions of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// A handle to the event loop. Clones share the same loop.
#[derive(Clone, Debug)]
pub struct Shell {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    ports: Ports,
    upstream: UpstreamClient,
    peers: PeerClient,
    gossip_socket: GossipSocket,
    notice_log: NoticeLog,
    metrics: Metrics,
    fleet: RefCell<Fleet>,
    events: RefCell<VecDeque<Event>>,
    processing: Cell<bool>,
    exited: Cell<bool>,
    next_ticket: Cell<u64>,
    requests: RefCell<HashMap<Ticket, PendingRequest>>,
    grants: RefCell<HashMap<Ticket, Sender<Grant>>>,
    exits: RefCell<HashMap<Ticket, Sender<bool>>>,
    arrivals: RefCell<Arrivals>,
    unwritten: Rc<Cell<usize>>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

/// Counts one answer as not yet completely written to its connection, until
/// dropped.
#[derive(Debug)]
pub struct UnwrittenGuard {
    count: Rc<Cell<usize>>,
}

impl Drop for UnwrittenGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// A request that has not ended yet.
struct PendingRequest {
    call: Rc<Call>,
    source: Source,
    started: Instant,
    reply_sender: Sender<Reply>,
    /// Dropping it cancels the attempt.
    abort: Option<Sender<()>>,
    /// Number of the current attempt, which distinguishes it from attempts
    /// that were aborted.
    attempt: u32,
    /// The answer of the last attempt, until the reducer decides on it.
    answer: Option<Answer>,
}

impl Shell {
    /// Creates a shell around `fleet`, which performs its effects with the
    /// adapters.
    #[must_use]
    pub fn new(
        settings: Settings,
        fleet: Fleet,
        ports: Ports,
        gossip_socket: GossipSocket,
        notice_log: NoticeLog,
        metrics: Metrics,
    ) -> Self {
        let dialect = Rc::clone(&ports.dialect);
        let inner = Inner {
            upstream: UpstreamClient::new(settings.upstream, dialect),
            settings,
            ports,
            peers: PeerClient::default(),
            gossip_socket,
            notice_log,
            metrics,
            fleet: RefCell::new(fleet),
            events: RefCell::default(),
            processing: Cell::new(false),
            exited: Cell::new(false),
            next_ticket: Cell::new(1),
            requests: RefCell::default(),
            grants: RefCell::default(),
            exits: RefCell::default(),
            arrivals: RefCell::new(Arrivals::new(clock::since_boot())),
            unwritten: Rc::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The settings with which the process was started; a reload does not
    /// change them here.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// HTTP conventions of callers and upstreams.
    #[must_use]
    pub fn dialect(&self) -> &dyn Dialect {
        self.inner.ports.dialect.as_ref()
    }

    /// The rate-limited log of the node.
    #[must_use]
    pub fn notice_log(&self) -> &NoticeLog {
        &self.inner.notice_log
    }

    /// The metrics of this node only, as several can run in one process.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Whether the readiness check succeeds, so that callers may be sent to
    /// this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.fleet.borrow().is_ready()
    }

    /// Whether the node has been asked to stop. Requests may still run.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.inner.fleet.borrow().is_stopping()
    }

    /// Whether the reducer has emitted [`Effect::Exit`].
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.inner.exited.get()
    }

    /// Counts an answer as unwritten until the returned guard is dropped.
    #[must_use]
    pub fn count_unwritten(&self) -> UnwrittenGuard {
        let count = Rc::clone(&self.inner.unwritten);
        count.set(count.get() + 1);
        UnwrittenGuard { count }
    }

    /// Whether all answers have been written to their connections.
    #[must_use]
    pub fn has_written_all(&self) -> bool {
        self.inner.unwritten.get() == 0
    }

    /// Limits on callers' requests and connections: those of the configuration
    /// in force, or the defaults if there is none.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let fleet = self.inner.fleet.borrow();
        fleet.config().map(|config| config.limits).unwrap_or_default()
    }

    /// Whether the configuration in force has client accounts.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        let fleet = self.inner.fleet.borrow();
        fleet.config().is_some_and(|config| !config.accounts.is_empty())
    }

    /// How long ago the configuration in force was the latest one, for a peer
    /// that asks; `None` if that is not known.
    #[must_use]
    pub fn config_age(&self) -> Option<ConfigAge> {
        let fleet = self.inner.fleet.borrow();
        let age_ms = fleet.config_age_ms(clock::since_boot())?;
        let version = fleet.config_version();
        Some(ConfigAge { version, age_ms })
    }

    /// The document of this kind, for a peer that fetches it; `None` if this
    /// node has none.
    #[must_use]
    pub fn document(&self, kind: ObjectKind) -> Option<Document> {
        self.inner.fleet.borrow().document(kind)
    }

    /// Current load of the upstream, which answers to peers report.
    #[must_use]
    pub fn load(&self) -> Load {
        self.inner.fleet.borrow().load(clock::since_boot())
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let fleet = self.inner.fleet.borrow();
        self.inner.metrics.set_outstanding(fleet.outstanding());
        let (calls, oldest_ms) = fleet.pending_calls(clock::since_boot());
        self.inner.metrics.set_key_calls(calls, oldest_ms);
        let version = fleet.config().map_or(0, |config| config.version);
        let revision = number_of(fleet.config_revision());
        self.inner.metrics.set_config(version, revision);
        self.inner.metrics.set_store_era(fleet.store_era());
        let age_ms = fleet.config_age_ms(clock::since_boot());
        self.inner.metrics.set_config_age(age_ms);
        self.inner.metrics.render()
    }

    /// Posts ticks until the node exits; calls `poll` before each.
    pub async fn run(&self, mut poll: impl FnMut(&Self)) {
        while !self.has_exited() {
            poll(self);
            self.post(Event::Tick);
            monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    fn next_ticket(&self) -> Ticket {
        let next = self.inner.next_ticket.get();
        self.inner.next_ticket.set(next + 1);
        Ticket(next)
    }

    /// Accepts a request; the receiver gets its reply.
    pub fn submit(
        &self,
        call: Call,
        source: Source,
    ) -> (Ticket, Receiver<Reply>) {
        let ticket = self.next_ticket();
        let (reply_sender, reply) = oneshot::channel();
        let call = Rc::new(call);
        let service = &self.inner.settings.service;
        let arrival = call.arrival(ticket, source, service);
        let entry = PendingRequest {
            call,
            source,
            started: Instant::now(),
            reply_sender,
            abort: None,
            attempt: 0,
            answer: None,
        };
        self.inner.requests.borrow_mut().insert(ticket, entry);
        self.post(Event::Request(arrival));
        (ticket, reply)
    }

    /// Records that a forwarded request has arrived. Returns false if it must
    /// not be accepted, as it has been withdrawn or has arrived before.
    #[must_use]
    pub fn accept_forward(&self, id: u64) -> bool {
        let now = clock::since_boot();
        self.inner.arrivals.borrow_mut().accept(id, now)
    }

    /// Withdraws a forwarded request. Returns whether it has not been accepted
    /// and will not be.
    #[must_use]
    pub fn withdraw_forward(&self, id: u64) -> bool {
        let now = clock::since_boot();
        self.inner.arrivals.borrow_mut().withdraw(id, now)
    }

    /// Reports that the sender of a request has disconnected. Has no effect
    /// if the request has ended.
    pub fn cancel(&self, ticket: Ticket) {
        if self.inner.requests.borrow().contains_key(&ticket) {
            self.post(Event::Cancelled { ticket });
        }
    }

    /// Accepts the upstream's report of its exit; the receiver learns whether
    /// it is acknowledged.
    #[must_use]
    pub fn report_exit(&self, id: String) -> Receiver<bool> {
        let ticket = self.next_ticket();
        let (sender, recorded) = oneshot::channel();
        self.inner.exits.borrow_mut().insert(ticket, sender);
        self.post(Event::UpstreamLeft { ticket, id });
        recorded
    }

    /// Accepts an announcement of the upstream; the receiver gets the answer.
    #[must_use]
    pub fn announce(&self, announcement: Announcement) -> Receiver<Grant> {
        let ticket = self.next_ticket();
        let (grant_sender, grant) = oneshot::channel();
        self.inner.grants.borrow_mut().insert(ticket, grant_sender);
        let announcement = Box::new(announcement);
        self.post(Event::Announced { ticket, announcement });
        grant
    }

    /// Passes an event to the reducer and performs its effects. Events posted
    /// by these effects are processed in order before this returns.
    pub fn post(&self, event: Event) {
        let inner = &self.inner;
        inner.events.borrow_mut().push_back(event);
        if inner.processing.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let event = inner.events.borrow_mut().pop_front();
            let Some(event) = event else { break };
            let now = clock::since_boot();
            inner.fleet.borrow_mut().step(event, now, &mut effects);
            for effect in effects.drain(..) {
                self.perform(effect);
            }
        }
        inner.processing.set(false);
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, gossip } => {
                self.inner.gossip_socket.send(to, &gossip);
            }
            Effect::Store { call, op } => self.call_store(call, op),
            Effect::Fetch { from, kind } => {
                let shell = self.clone();
                monoio::spawn(async move {
                    let document = shell.inner.peers.fetch(from, kind).await;
                    if let Some(document) = document {
                        shell.post(Event::Document(document));
                    }
                });
            }
            Effect::AskConfigAge { from, asked } => {
                let shell = self.clone();
                monoio::spawn(async move {
                    let age = shell.inner.peers.config_age(from).await;
                    if let Some(ConfigAge { version, age_ms }) = age {
                        let event =
                            Event::ConfigAge { asked, version, age_ms };
                        shell.post(event);
                    }
                });
            }
            Effect::Relay { to, call, op } => {
                let shell = self.clone();
                monoio::spawn(async move {
                    let outcome = shell.inner.peers.relay(to, &op).await;
                    shell.post(Event::StoreDone { call, outcome });
                });
            }
            Effect::Propose { to, proposal } => {
                let shell = self.clone();
                monoio::spawn(async move {
                    shell.inner.peers.propose(to, &proposal).await;
                });
            }
            Effect::Acknowledge { ticket, grant } => {
                let sender = self.inner.grants.borrow_mut().remove(&ticket);
                // The upstream may have disconnected in the meantime.
                let _ = sender.map(|sender| sender.send(grant));
            }
            Effect::AnswerExit { ticket, recorded } => {
                let sender = self.inner.exits.borrow_mut().remove(&ticket);
                let _ = sender.map(|sender| sender.send(recorded));
            }
            Effect::CallUpstream {
                ticket,
                upstream,
                call,
                expires,
                connect_until,
            } => {
                let call = KeyCall { upstream, call, expires, connect_until };
                self.call_upstream(ticket, call);
            }
            Effect::Forward { ticket, to, order } => {
                self.forward(ticket, to, order);
            }
            Effect::Dispatch {
                ticket,
                upstream,
                budget,
                origin,
                account,
                idempotent,
            } => {
                let dispatch = Dispatch {
                    upstream,
                    timeout_ms: budget,
                    origin,
                    account,
                    idempotent,
                };
                self.dispatch(ticket, dispatch);
            }
            Effect::Answer { ticket } => self.return_answer(ticket),
            Effect::Refuse { ticket, refusal } => {
                self.finish(ticket, Err(refusal));
            }
            Effect::Abort { ticket } => {
                let mut requests = self.inner.requests.borrow_mut();
                if let Some(entry) = requests.get_mut(&ticket) {
                    entry.abort = None;
                    entry.attempt += 1;
                }
            }
            Effect::Notice(notice) => self.inner.notice_log.log(&notice),
            Effect::Exit => self.inner.exited.set(true),
        }
    }

    fn call_upstream(&self, ticket: Ticket, call: KeyCall) {
        let shell = self.clone();
        monoio::spawn(async move {
            let outcome = shell.inner.upstream.call(&call).await;
            shell.inner.metrics.key_call_ended(&call.call, &outcome);
            shell.post(Event::CallDone { ticket, outcome });
        });
    }

    fn call_store(&self, call: StoreCall, op: Op) {
        self.inner.metrics.store_call(&op);
        let answer = self.inner.ports.store.call(op);
        let shell = self.clone();
        monoio::spawn(async move {
            let outcome = answer.await;
            shell.post(Event::StoreDone { call, outcome });
        });
    }

    /// Calls the store on behalf of a peer. A call that the peer must make
    /// itself is not made and ends as [`StoreOutcome::Unavailable`].
    pub async fn relay(&self, op: Op) -> StoreOutcome {
        if !op.is_relayed() {
            return StoreOutcome::Unavailable;
        }
        self.inner.metrics.store_call(&op);
        self.inner.ports.store.call(op).await
    }

    /// Starts an attempt of a request. The receiver completes when the
    /// attempt is aborted; `None` if the request has ended.
    fn start_attempt(
        &self,
        ticket: Ticket,
    ) -> Option<(Rc<Call>, u32, Receiver<()>)> {
        let mut requests = self.inner.requests.borrow_mut();
        let entry = requests.get_mut(&ticket)?;
        let (abort, aborted) = oneshot::channel();
        entry.abort = Some(abort);
        entry.attempt += 1;
        entry.answer = None;
        Some((Rc::clone(&entry.call), entry.attempt, aborted))
    }

    /// Ends an attempt and stores its answer. Returns false if the attempt
    /// was aborted or the request has ended, so that the result is dropped.
    fn finish_attempt(
        &self,
        ticket: Ticket,
        attempt: u32,
        reply: Reply,
    ) -> bool {
        let mut requests = self.inner.requests.borrow_mut();
        let Some(entry) = requests.get_mut(&ticket) else { return false };
        if entry.attempt != attempt {
            return false;
        }
        entry.abort = None;
        entry.answer = reply.ok();
        true
    }

    fn forward(&self, ticket: Ticket, to: std::net::SocketAddr, order: Order) {
        let Some((call, attempt, aborted)) = self.start_attempt(ticket) else {
            return;
        };
        let shell = self.clone();
        let id = call.meta.id.clone();
        monoio::spawn(async move {
            let run = shell.inner.peers.forward(to, call, order);
            monoio::select! {
                result = run => {
                    if result.resends > 0 {
                        let resends = result.resends;
                        shell.inner.notice_log.resent(&id, to, resends);
                    }
                    let outcome = result.outcome;
                    if shell.finish_attempt(ticket, attempt, result.reply) {
                        shell.post(Event::PeerDone { ticket, outcome });
                    }
                }
                _ = aborted => {}
            }
        });
    }

    fn dispatch(&self, ticket: Ticket, dispatch: Dispatch) {
        let Some((call, attempt, aborted)) = self.start_attempt(ticket) else {
            return;
        };
        let shell = self.clone();
        let started = Instant::now();
        monoio::spawn(async move {
            let run = shell.inner.upstream.run(call, dispatch);
            monoio::select! {
                result = run => {
                    shell.inner.metrics.run_ended(&result.outcome, started);
                    if result.down {
                        shell.post(Event::UpstreamDown);
                    }
                    let outcome = result.outcome;
                    if shell.finish_attempt(ticket, attempt, result.reply) {
                        shell.post(Event::UpstreamDone { ticket, outcome });
                    }
                }
                _ = aborted => {}
            }
        });
    }

    fn return_answer(&self, ticket: Ticket) {
        let mut requests = self.inner.requests.borrow_mut();
        let entry = requests.get_mut(&ticket);
        let answer = entry.and_then(|entry| entry.answer.take());
        drop(requests);
        let missing = || {
            let detail = "the answer is no longer known";
            Refusal::new(Reason::ConnectionLost, detail)
        };
        self.finish(ticket, answer.ok_or_else(missing));
    }

    /// Ends a request: sends the reply and cancels an attempt that is still
    /// running.
    fn finish(&self, ticket: Ticket, reply: Reply) {
        let entry = self.inner.requests.borrow_mut().remove(&ticket);
        let Some(entry) = entry else { return };
        if entry.source == Source::Caller {
            self.inner.metrics.request_ended(&reply, entry.started);
        }
        // The caller may have disconnected.
        let _ = entry.reply_sender.send(reply);
    }
}
