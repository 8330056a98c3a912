//! The loop around the fleet's reducer.

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
use lagoondyke_core::fleet::settings::Settings;
use lagoondyke_core::fleet::upstream::{Announcement, Grant};
use lagoondyke_core::id::Ticket;
use lagoondyke_core::verdict::{Reason, Refusal};
use local_sync::oneshot::{self, Receiver, Sender};

use crate::clock;
use crate::fleet::gossip::Gossiper;
use crate::fleet::message::{Answer, Call, Reply};
use crate::fleet::metrics::Metrics;
use crate::fleet::notices::Notices;
use crate::fleet::peers::Peers;
use crate::fleet::ports::{Dialect, Store};
use crate::fleet::upstream::{Dispatch, Upstream};

/// The adapters that a shell performs effects with.
pub struct Ports {
    /// The object store.
    pub store: Rc<dyn Store>,
    /// How callers and upstreams speak.
    pub dialect: Rc<dyn Dialect>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// A handle of the loop; clones share it.
#[derive(Clone, Debug)]
pub struct Shell {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    ports: Ports,
    upstream: Upstream,
    peers: Peers,
    gossiper: Gossiper,
    notices: Notices,
    metrics: Metrics,
    fleet: RefCell<Fleet>,
    queue: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    exited: Cell<bool>,
    next: Cell<u64>,
    requests: RefCell<HashMap<Ticket, Entry>>,
    answers: RefCell<HashMap<Ticket, Sender<Grant>>>,
    unwritten: Rc<Cell<usize>>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

/// An answer that has not been written to its connection as a whole; counted
/// until it is dropped.
#[derive(Debug)]
pub struct Unwritten {
    count: Rc<Cell<usize>>,
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// A request that has not ended.
struct Entry {
    call: Rc<Call>,
    source: Source,
    since: Instant,
    done: Sender<Reply>,
    /// Dropping it cancels the attempt.
    abort: Option<Sender<()>>,
    /// Tells the present attempt from an aborted one.
    attempt: u32,
    answer: Option<Answer>,
}

impl Shell {
    /// A shell around `fleet`.
    #[must_use]
    pub fn new(
        settings: Settings,
        fleet: Fleet,
        ports: Ports,
        gossiper: Gossiper,
        notices: Notices,
        metrics: Metrics,
    ) -> Self {
        let dialect = Rc::clone(&ports.dialect);
        let inner = Inner {
            upstream: Upstream::new(settings.upstream, dialect),
            settings,
            ports,
            peers: Peers::default(),
            gossiper,
            notices,
            metrics,
            fleet: RefCell::new(fleet),
            queue: RefCell::default(),
            running: Cell::new(false),
            exited: Cell::new(false),
            next: Cell::new(1),
            requests: RefCell::default(),
            answers: RefCell::default(),
            unwritten: Rc::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The node's settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// How callers and upstreams speak.
    #[must_use]
    pub fn dialect(&self) -> &dyn Dialect {
        self.inner.ports.dialect.as_ref()
    }

    /// The node's log.
    #[must_use]
    pub fn notices(&self) -> &Notices {
        &self.inner.notices
    }

    /// The node's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Whether callers may be sent to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.fleet.borrow().is_ready()
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.inner.fleet.borrow().is_stopping()
    }

    /// Whether the reducer has asked for the end of the process.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.inner.exited.get()
    }

    /// Counts an answer as unwritten while the returned value lives.
    #[must_use]
    pub fn unwritten(&self) -> Unwritten {
        let count = Rc::clone(&self.inner.unwritten);
        count.set(count.get() + 1);
        Unwritten { count }
    }

    /// Whether all answers have been written.
    #[must_use]
    pub fn has_written(&self) -> bool {
        self.inner.unwritten.get() == 0
    }

    /// What a caller may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let fleet = self.inner.fleet.borrow();
        fleet.config().map(|config| config.limits).unwrap_or_default()
    }

    /// A document for a peer.
    #[must_use]
    pub fn document(&self, kind: ObjectKind) -> Option<Document> {
        self.inner.fleet.borrow().document(kind)
    }

    /// Load of the upstream, for answers to peers.
    #[must_use]
    pub fn load(&self) -> Load {
        self.inner.fleet.borrow().load(clock::since_boot())
    }

    /// All metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        let outstanding = self.inner.fleet.borrow().outstanding();
        self.inner.metrics.outstanding(outstanding);
        self.inner.metrics.render()
    }

    /// Delivers ticks until the node exits; `poll` is called before each.
    pub async fn run(&self, mut poll: impl FnMut(&Self)) {
        while !self.has_exited() {
            poll(self);
            self.post(Event::Tick);
            monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    fn ticket(&self) -> Ticket {
        let next = self.inner.next.get();
        self.inner.next.set(next + 1);
        Ticket(next)
    }

    /// Takes a request; the receiver gets its reply.
    pub fn submit(
        &self,
        call: Call,
        source: Source,
    ) -> (Ticket, Receiver<Reply>) {
        let ticket = self.ticket();
        let (done, reply) = oneshot::channel();
        let call = Rc::new(call);
        let arrival = call.arrival(ticket, source);
        let entry = Entry {
            call,
            source,
            since: Instant::now(),
            done,
            abort: None,
            attempt: 0,
            answer: None,
        };
        self.inner.requests.borrow_mut().insert(ticket, entry);
        self.post(Event::Request(arrival));
        (ticket, reply)
    }

    /// Says that whoever sent a request went away.
    pub fn cancel(&self, ticket: Ticket) {
        if self.inner.requests.borrow().contains_key(&ticket) {
            self.post(Event::Cancelled { ticket });
        }
    }

    /// Takes an announcement; the receiver gets the answer.
    #[must_use]
    pub fn announce(&self, said: Announcement) -> Receiver<Grant> {
        let ticket = self.ticket();
        let (done, grant) = oneshot::channel();
        self.inner.answers.borrow_mut().insert(ticket, done);
        let announcement = Box::new(said);
        self.post(Event::Announced { ticket, announcement });
        grant
    }

    /// Passes an event to the reducer and performs its effects. Events that
    /// arise meanwhile are passed on in order before this returns.
    pub fn post(&self, event: Event) {
        let inner = &self.inner;
        inner.queue.borrow_mut().push_back(event);
        if inner.running.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let event = inner.queue.borrow_mut().pop_front();
            let Some(event) = event else { break };
            let now = clock::since_boot();
            inner.fleet.borrow_mut().step(event, now, &mut effects);
            for effect in effects.drain(..) {
                self.perform(effect);
            }
        }
        inner.running.set(false);
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, gossip } => {
                self.inner.gossiper.send(to, &gossip);
            }
            Effect::Store { call, op } => self.store(call, op),
            Effect::Fetch { from, kind } => {
                let shell = self.clone();
                monoio::spawn(async move {
                    let document = shell.inner.peers.fetch(from, kind).await;
                    if let Some(document) = document {
                        shell.post(Event::Document(document));
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
                let done = self.inner.answers.borrow_mut().remove(&ticket);
                // The upstream may have gone away since.
                let _ = done.map(|done| done.send(grant));
            }
            Effect::Forward { ticket, to, order } => {
                self.forward(ticket, to, order);
            }
            Effect::Dispatch {
                ticket,
                upstream,
                budget,
                origin,
                idempotent,
            } => {
                let dispatch =
                    Dispatch { upstream, budget, origin, idempotent };
                self.dispatch(ticket, dispatch);
            }
            Effect::Answer { ticket } => self.answer(ticket),
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
            Effect::Notice(notice) => self.inner.notices.log(&notice),
            Effect::Exit => self.inner.exited.set(true),
        }
    }

    fn store(&self, call: StoreCall, op: Op) {
        self.inner.metrics.store_call(&op);
        let answer = self.inner.ports.store.call(op);
        let shell = self.clone();
        monoio::spawn(async move {
            let outcome = answer.await;
            shell.post(Event::StoreDone { call, outcome });
        });
    }

    /// Calls the store for a peer.
    pub async fn relay(&self, op: Op) -> StoreOutcome {
        if !op.is_relayed() {
            return StoreOutcome::Unavailable;
        }
        self.inner.metrics.store_call(&op);
        self.inner.ports.store.call(op).await
    }

    /// Starts an attempt of a request.
    fn begin(&self, ticket: Ticket) -> Option<(Rc<Call>, u32, Receiver<()>)> {
        let mut requests = self.inner.requests.borrow_mut();
        let entry = requests.get_mut(&ticket)?;
        let (abort, aborted) = oneshot::channel();
        entry.abort = Some(abort);
        entry.attempt += 1;
        entry.answer = None;
        Some((Rc::clone(&entry.call), entry.attempt, aborted))
    }

    /// Keeps the answer of an attempt; false if it was aborted.
    fn ended(&self, ticket: Ticket, attempt: u32, reply: Reply) -> bool {
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
        let Some((call, attempt, aborted)) = self.begin(ticket) else {
            return;
        };
        let shell = self.clone();
        monoio::spawn(async move {
            let run = shell.inner.peers.forward(to, call, order);
            monoio::select! {
                (reply, outcome) = run => {
                    if shell.ended(ticket, attempt, reply) {
                        shell.post(Event::PeerDone { ticket, outcome });
                    }
                }
                _ = aborted => {}
            }
        });
    }

    fn dispatch(&self, ticket: Ticket, dispatch: Dispatch) {
        let Some((call, attempt, aborted)) = self.begin(ticket) else {
            return;
        };
        let shell = self.clone();
        let since = Instant::now();
        monoio::spawn(async move {
            let run = shell.inner.upstream.run(call, dispatch);
            monoio::select! {
                ran = run => {
                    shell.inner.metrics.ran(&ran.outcome, since);
                    if ran.down {
                        shell.post(Event::UpstreamDown);
                    }
                    let outcome = ran.outcome;
                    if shell.ended(ticket, attempt, ran.reply) {
                        shell.post(Event::UpstreamDone { ticket, outcome });
                    }
                }
                _ = aborted => {}
            }
        });
    }

    fn answer(&self, ticket: Ticket) {
        let mut requests = self.inner.requests.borrow_mut();
        let entry = requests.get_mut(&ticket);
        let answer = entry.and_then(|entry| entry.answer.take());
        drop(requests);
        let lost = || {
            let detail = "the answer is no longer known";
            Refusal::new(Reason::ConnectionLost, detail)
        };
        self.finish(ticket, answer.ok_or_else(lost));
    }

    /// Ends a request: replies, and cancels an attempt that still runs.
    fn finish(&self, ticket: Ticket, reply: Reply) {
        let entry = self.inner.requests.borrow_mut().remove(&ticket);
        let Some(entry) = entry else { return };
        if entry.source == Source::Caller {
            self.inner.metrics.replied(&reply, entry.since);
        }
        // The caller may have gone away.
        let _ = entry.done.send(reply);
    }
}
