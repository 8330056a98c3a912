//! The event loop around the reducer.
//!
//! [`Shell::post`] passes an event to the reducer and performs the returned
//! effects in order before it returns. The shell also keeps the table of
//! requests that have not ended, with their bodies, indexed by ticket.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lagoondyke_core::clock::{Millis, TICK_INTERVAL_MS};
use lagoondyke_core::control::Control;
use lagoondyke_core::effect::{Effect, Notice, StoreOp};
use lagoondyke_core::event::{Event, Outcome, Source};
use lagoondyke_core::id::{CallId, Fence, KeyHash, NodeAddr, Shard, Ticket};
use lagoondyke_core::node::Node;
use lagoondyke_core::settings::Settings;
use lagoondyke_core::status::{KeyLocation, Status};
use lagoondyke_core::verdict::{Reason, Refusal, Verdict};
use local_sync::oneshot;
use slab::Slab;
use slog::Logger;

use crate::clock;
use crate::logs;
use crate::message::{Answer, Call, Reply};
use crate::metrics::{HopKind, Metrics, SAMPLE_INTERVAL, store_kind};
use crate::ports::{self, Dispatch, Forward, Local, Peers, Store, Upstream};
use crate::trace::{Span, Tracer};

/// Receives the reply to a request; called at most once.
pub type OnReply = Box<dyn FnOnce(Reply)>;

/// The adapters through which a shell performs effects.
pub struct Ports {
    /// The object store with the configuration and the group records.
    pub store: Rc<dyn Store>,
    /// The upstream beside this node.
    pub upstream: Rc<dyn Upstream>,
    /// Connections to other nodes, for forwarded requests and
    /// configuration documents.
    pub peers: Rc<dyn Peers>,
    /// The UDP socket for control datagrams to other nodes.
    pub control: Rc<dyn ports::Control>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// The log, the metrics and the traces of a node.
#[derive(Debug)]
pub struct Telemetry {
    /// Receives the log lines of the shell and the reducer's notices.
    pub log: Logger,
    /// The metrics that `/metrics` renders.
    pub metrics: Rc<Metrics>,
    /// Records one span per hop of a request, or none if tracing is off.
    pub tracer: Tracer,
}

/// A handle to the event loop; clones share the same loop.
#[derive(Clone, Debug)]
pub struct Shell {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    name: Rc<str>,
    ports: Ports,
    log: Logger,
    metrics: Rc<Metrics>,
    tracer: Tracer,
    node: RefCell<Node>,
    queue: RefCell<VecDeque<Event>>,
    /// Buffer for the effects of one event; empty between calls of `post`
    /// and kept to reuse its allocation.
    effects: RefCell<Vec<Effect>>,
    /// Whether a call of `post` is draining `queue`.
    processing: Cell<bool>,
    stopping: Cell<bool>,
    exited: Cell<bool>,
    requests: RefCell<Slab<Entry>>,
    /// Answers kept for replay, by the ticket of their request.
    kept_answers: RefCell<HashMap<Ticket, Answer>>,
    last_generation: Cell<u32>,
    last_attempt: Cell<u64>,
    /// Sum of the amounts passed to `add_unwritten` and not yet removed.
    unwritten: Cell<usize>,
}

/// A request in the table: one that has not ended.
struct Entry {
    /// Upper half of the ticket. It differs between requests that use the
    /// same slot of the table one after the other.
    generation: u32,
    call: Rc<Call>,
    source: Source,
    arrived: Instant,
    span: Option<Span>,
    /// `None` once the request has been cancelled by [`Shell::cancel`].
    on_reply: Option<OnReply>,
    attempts: Vec<Attempt>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("attempts", &self.attempts)
            .finish_non_exhaustive()
    }
}

/// Where an attempt is sent: to a peer, with the attempt's number, or to this
/// node's upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Peer(u8),
    Upstream,
}

/// An attempt to run a request. Dropping `abort` cancels it.
#[derive(Debug)]
struct Attempt {
    target: Target,
    /// Unique in the process. It distinguishes this attempt from an aborted
    /// one with the same target.
    id: u64,
    abort: Option<oneshot::Sender<()>>,
    answer: Option<Answer>,
}

/// The ticket of the request at `index` of the table: the generation in the
/// upper half, the index in the lower.
fn make_ticket(generation: u32, index: usize) -> Ticket {
    Ticket(u64::from(generation) << 32 | index as u64)
}

/// Generation and index of a ticket, the inverse of [`make_ticket`].
fn split_ticket(ticket: Ticket) -> (u32, usize) {
    ((ticket.0 >> 32) as u32, (ticket.0 & 0xffff_ffff) as usize)
}

impl Shell {
    /// Creates a shell around `node`. No event is processed before the first
    /// call of [`Shell::post`] or [`Shell::run`].
    #[must_use]
    pub fn new(
        settings: Settings,
        node: Node,
        ports: Ports,
        telemetry: Telemetry,
    ) -> Self {
        let Telemetry { log, metrics, tracer } = telemetry;
        let inner = Inner {
            name: settings.addr.to_string().into(),
            settings,
            ports,
            log,
            metrics,
            tracer,
            node: RefCell::new(node),
            queue: RefCell::default(),
            effects: RefCell::default(),
            processing: Cell::new(false),
            stopping: Cell::new(false),
            exited: Cell::new(false),
            requests: RefCell::default(),
            kept_answers: RefCell::default(),
            last_generation: Cell::new(0),
            last_attempt: Cell::new(0),
            unwritten: Cell::new(0),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The node's settings, with the ports that were bound for port 0.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// The node's name in the header `Lagoondyke-Node`: its peer address.
    #[must_use]
    pub fn name(&self) -> Rc<str> {
        Rc::clone(&self.inner.name)
    }

    /// The node's logger, for adapters and the signal handling.
    pub fn log(&self) -> &Logger {
        &self.inner.log
    }

    /// The node's present state, as reported to operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.inner.node.borrow().status(clock::now())
    }

    /// Where this node would send a request for a key. If the owner is not
    /// known, this starts the look-up, and a later call gives its result.
    #[must_use]
    pub fn locate(&self, service: &str, key: KeyHash) -> KeyLocation {
        let location = self.inner.node.borrow().locate(service, key);
        if location.owner.is_none() {
            let service = service.to_owned();
            self.post(Event::OwnerQueried { service, key });
        }
        location
    }

    /// The configuration document in force and its store version, which is 0
    /// while there is none.
    #[must_use]
    pub fn config_document(&self) -> (u64, Vec<u8>) {
        let node = self.inner.node.borrow();
        let (version, text) = node.document();
        (version, text.to_vec())
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Whether the node has ended, by `Effect::Exit` of the reducer or by
    /// [`Shell::force_exit`].
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.inner.exited.get()
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.inner.requests.borrow().len()
    }

    /// Starts a graceful stop; further calls have no effect.
    pub fn stop(&self) {
        if !self.inner.stopping.replace(true) {
            slog::info!(self.inner.log, "stop requested");
            self.post(Event::Stop);
        }
    }

    /// Makes [`Shell::run`] return without a graceful stop. Requests in
    /// progress are lost.
    pub fn force_exit(&self) {
        self.inner.exited.set(true);
    }

    /// Adds output that waits to be written, so that [`Shell::flush`] waits
    /// for it. Connections of peers count bytes, those of callers responses.
    pub fn add_unwritten(&self, amount: usize) {
        let unwritten = &self.inner.unwritten;
        unwritten.set(unwritten.get() + amount);
    }

    /// Removes output that has been written or discarded, in the unit in which
    /// it was added.
    pub fn remove_unwritten(&self, amount: usize) {
        let unwritten = &self.inner.unwritten;
        unwritten.set(unwritten.get().saturating_sub(amount));
    }

    /// Waits until all answers have been written, for at most `limit_ms`, and
    /// closes the trace file.
    pub async fn flush(&self, limit_ms: u64) {
        let end = clock::now().plus(limit_ms);
        while self.inner.unwritten.get() > 0 && clock::now() < end {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        self.inner.tracer.close();
    }

    /// The node's metrics, for adapters that record their own.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Counts and logs input that could not be decoded. `socket` is the label
    /// of the metric.
    pub fn report_malformed(
        &self,
        socket: &'static str,
        error: &dyn fmt::Display,
    ) {
        self.inner.metrics.count_malformed(socket);
        slog::debug!(self.inner.log, "malformed input";
            "socket" => socket, "error" => error.to_string());
    }

    /// Updates the metrics that are sampled from the node's state.
    pub fn sample(&self) {
        let now = clock::now();
        let inner = &self.inner;
        let node = inner.node.borrow();
        let services = node.config().map(|config| &config.services);
        let spec = services.and_then(|all| all.get(&inner.settings.service));
        let group_shards =
            spec.map_or(0, |spec| spec.shards / spec.groups.max(1));
        inner.metrics.sample(
            &node.status(now),
            usize::from(group_shards),
            now,
        );
        inner.metrics.set_outstanding(self.outstanding());
        inner.metrics.set_dropped_spans(inner.tracer.dropped());
    }

    /// Delivers ticks and the upstream's state changes to the reducer until
    /// the node exits. `poll` is called before each tick.
    pub async fn run(&self, mut poll: impl FnMut(&Self)) {
        let shell = self.clone();
        let on_event = Rc::new(move |event| shell.post(event));
        self.inner.ports.upstream.watch(on_event);
        let mut last_sample = Instant::now();
        while !self.has_exited() {
            poll(self);
            self.post(Event::Tick);
            if last_sample.elapsed() >= SAMPLE_INTERVAL {
                last_sample = Instant::now();
                self.sample();
            }
            monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    /// Passes a new request to the reducer. `on_reply` is called with the
    /// reply, possibly before this returns, unless the request is cancelled.
    pub fn submit(
        &self,
        call: Call,
        source: Source,
        on_reply: OnReply,
    ) -> Ticket {
        let generation = self.inner.last_generation.get().wrapping_add(1);
        self.inner.last_generation.set(generation);
        let call = Rc::new(call);
        let entry = Entry {
            generation,
            call: Rc::clone(&call),
            source,
            arrived: Instant::now(),
            span: self.start_span(source, call.trace.as_deref()),
            on_reply: Some(on_reply),
            attempts: Vec::new(),
        };
        let index = self.inner.requests.borrow_mut().insert(entry);
        let ticket = make_ticket(generation, index);
        if self.has_exited() {
            let detail = "the node has stopped";
            self.finish(ticket, Err(Refusal::new(Reason::NoOwner, detail)));
            return ticket;
        }
        self.post(Event::Arrived(call.arrival(ticket, source)));
        ticket
    }

    fn start_span(&self, source: Source, trace: Option<&str>) -> Option<Span> {
        let name = match source {
            Source::Caller => "ingress",
            Source::Peer => "owner",
        };
        self.inner.tracer.start(name, trace)
    }

    /// Tells the reducer that the sender of a request has cancelled it or has
    /// disconnected. No reply is delivered any more.
    pub fn cancel(&self, ticket: Ticket) {
        let mut known = false;
        self.with_request(ticket, |entry| {
            known = true;
            entry.on_reply = None;
        });
        if known {
            self.post(Event::Cancelled { ticket });
        }
    }

    /// Passes an event to the reducer and performs its effects. Events that
    /// are posted meanwhile are queued and processed in order before the
    /// outermost call returns.
    pub fn post(&self, event: Event) {
        let inner = &self.inner;
        inner.queue.borrow_mut().push_back(event);
        if inner.processing.replace(true) {
            return;
        }
        let mut effects = inner.effects.take();
        loop {
            let event = inner.queue.borrow_mut().pop_front();
            let Some(event) = event else { break };
            let now = clock::now();
            inner.node.borrow_mut().step(event, now, &mut effects);
            for effect in effects.drain(..) {
                self.perform(effect);
            }
        }
        inner.effects.replace(effects);
        inner.processing.set(false);
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Control::Lease(lease) = &message
                    && let Some(plan) = &lease.plan
                {
                    self.inner.metrics.count_moves(to, plan);
                }
                self.inner.ports.control.send(to, &message);
            }
            Effect::Store { call, op } => self.call_store(call, op),
            Effect::FetchConfig { from } => self.fetch_config(from),
            Effect::Grant { shards, until } => {
                self.inner.ports.upstream.grant(shards, until);
            }
            Effect::Notice(notice) => {
                if let Notice::LeaseEnded { shards } = notice {
                    self.inner.metrics.lease_ended(shards);
                }
                logs::log_notice(&self.inner.log, &notice);
            }
            Effect::Exit => self.inner.exited.set(true),
            other => self.perform_request(other),
        }
    }

    fn perform_request(&self, effect: Effect) {
        match effect {
            Effect::Forward { ticket, attempt, to, deadline } => {
                self.forward(ticket, attempt, to, deadline);
            }
            Effect::Dispatch { ticket, fence, deadline } => {
                self.dispatch(ticket, fence, deadline);
            }
            Effect::Answer { ticket, attempt, scope } => {
                self.send_answer(ticket, attempt, scope);
            }
            Effect::ReplayAnswer { ticket, of, scope } => {
                self.replay_answer(ticket, of, scope);
            }
            Effect::KeepAnswer { ticket } => self.keep_answer(ticket),
            Effect::DropAnswer { ticket } => {
                self.inner.kept_answers.borrow_mut().remove(&ticket);
            }
            Effect::Refuse { ticket, refusal } => {
                self.finish(ticket, Err(refusal));
            }
            Effect::AbortPeer { ticket, attempt } => {
                self.abort_attempt(ticket, Target::Peer(attempt));
            }
            Effect::AbortUpstream { ticket } => {
                self.abort_attempt(ticket, Target::Upstream);
            }
            _ => {}
        }
    }

    fn call_store(&self, call: CallId, op: StoreOp) {
        let kind = store_kind(&op);
        let outcome = self.inner.ports.store.call(op);
        let shell = self.clone();
        monoio::spawn(async move {
            let outcome = outcome.await;
            shell.inner.metrics.count_store_call(kind, &outcome);
            shell.post(Event::StoreDone { call, outcome });
        });
    }

    fn fetch_config(&self, from: NodeAddr) {
        let operator = self.inner.settings.operator.clone();
        let fetched = self.inner.ports.peers.fetch_config(from, operator);
        let shell = self.clone();
        monoio::spawn(async move {
            if let Some((version, document)) = fetched.await {
                shell.post(Event::ConfigFetched { version, document });
            }
        });
    }

    /// Runs `change` on a request; `None` if the request has ended.
    fn with_request<T>(
        &self,
        ticket: Ticket,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        let (generation, index) = split_ticket(ticket);
        let mut requests = self.inner.requests.borrow_mut();
        let entry = requests.get_mut(index)?;
        (entry.generation == generation).then(|| change(entry))
    }

    fn forward(
        &self,
        ticket: Ticket,
        attempt: u8,
        to: NodeAddr,
        deadline: Millis,
    ) {
        let Some((call, span)) =
            self.with_request(ticket, Entry::call_and_span)
        else {
            return self.fail_unknown(ticket, Target::Peer(attempt));
        };
        let span = span.map(|span| span.child("forward"));
        let trace = traceparent(span.as_ref(), &call);
        let forward = Forward { to, call, deadline, trace };
        let reply = self.inner.ports.peers.forward(forward);
        self.start_attempt(ticket, Target::Peer(attempt), span, reply);
    }

    fn dispatch(
        &self,
        ticket: Ticket,
        fence: Option<(Shard, Fence)>,
        deadline: Millis,
    ) {
        let Some((call, span)) =
            self.with_request(ticket, Entry::call_and_span)
        else {
            return self.fail_unknown(ticket, Target::Upstream);
        };
        let span = span.map(|span| span.child("dispatch"));
        let trace = traceparent(span.as_ref(), &call);
        let dispatch = Dispatch { call, fence, deadline, trace };
        let reply = self.inner.ports.upstream.run(dispatch);
        self.start_attempt(ticket, Target::Upstream, span, reply);
    }

    /// Reports an attempt as failed because its request has ended and is no
    /// longer in the table.
    fn fail_unknown(&self, ticket: Ticket, target: Target) {
        let detail = "the request is no longer known";
        let mut refusal = Refusal::new(Reason::Cancelled, detail);
        refusal.verdict = Verdict::NotRun;
        self.report_outcome(ticket, target, Outcome::Failed(refusal));
    }

    /// Runs an attempt in its own task until it ends or is aborted.
    fn start_attempt(
        &self,
        ticket: Ticket,
        target: Target,
        span: Option<Span>,
        reply: Local<Reply>,
    ) {
        let (abort, aborted) = oneshot::channel::<()>();
        let id = self.inner.last_attempt.get() + 1;
        self.inner.last_attempt.set(id);
        let abort = Some(abort);
        let attempt = Attempt { target, id, abort, answer: None };
        self.with_request(ticket, |entry| entry.attempts.push(attempt));
        let shell = self.clone();
        let started = Instant::now();
        let kind = match target {
            Target::Peer(_) => HopKind::Peer,
            Target::Upstream => HopKind::Upstream,
        };
        monoio::spawn(async move {
            monoio::select! {
                biased;
                _ = aborted => shell.end_span(span, None),
                reply = reply => {
                    shell.inner.metrics.record_hop(kind, started);
                    shell.end_span(span, Some(&reply));
                    shell.attempt_done(ticket, id, reply);
                }
            }
        });
    }

    /// Ends a span. `reply` is `None` if the attempt was aborted.
    fn end_span(&self, span: Option<Span>, reply: Option<&Reply>) {
        let Some(span) = span else { return };
        let mut attributes = Vec::new();
        match reply {
            None => attributes.push(("lagoondyke.aborted", "true".to_owned())),
            Some(Ok(answer)) => {
                let status = answer.status.as_str().to_owned();
                attributes.push(("http.response.status_code", status));
                attributes.push(("lagoondyke.node", answer.node.to_string()));
            }
            Some(Err(refusal)) => {
                let reason = refusal.reason.name().to_owned();
                attributes.push(("lagoondyke.reason", reason));
            }
        }
        let failed = !matches!(reply, Some(Ok(_)));
        self.inner.tracer.end(span, attributes, failed);
    }

    fn attempt_done(&self, ticket: Ticket, id: u64, reply: Reply) {
        let ended =
            self.with_request(ticket, |entry| entry.end_attempt(id, reply));
        // An attempt that was aborted as it ended is no longer listed, and
        // the reducer expects no event for it.
        let Some((target, outcome)) = ended.flatten() else { return };
        self.report_outcome(ticket, target, outcome);
    }

    fn report_outcome(
        &self,
        ticket: Ticket,
        target: Target,
        outcome: Outcome,
    ) {
        self.post(match target {
            Target::Peer(attempt) => {
                Event::PeerDone { ticket, attempt, outcome }
            }
            Target::Upstream => Event::UpstreamDone { ticket, outcome },
        });
    }

    fn abort_attempt(&self, ticket: Ticket, target: Target) {
        self.with_request(ticket, |entry| {
            entry.attempts.retain(|attempt| attempt.target != target);
        });
    }

    fn send_answer(&self, ticket: Ticket, attempt: u8, scope: Option<String>) {
        let answer = self
            .with_request(ticket, |entry| entry.take_answer(attempt))
            .flatten();
        let reply = answer.map(|mut answer| {
            answer.scope = scope.or(answer.scope);
            answer
        });
        let detail = "the answer is no longer known";
        let lost = || Refusal::new(Reason::ConnectionLost, detail);
        self.finish(ticket, reply.ok_or_else(lost));
    }

    fn replay_answer(
        &self,
        ticket: Ticket,
        of: Ticket,
        scope: Option<String>,
    ) {
        let answer = self.inner.kept_answers.borrow().get(&of).cloned();
        let reply = answer.map(|answer| Answer { scope, ..answer });
        let lost = || {
            let detail = "the recorded answer is no longer known";
            Refusal::new(Reason::AlreadyRan, detail)
        };
        self.finish(ticket, reply.ok_or_else(lost));
    }

    fn keep_answer(&self, ticket: Ticket) {
        let copy = self
            .with_request(ticket, |entry| entry.answer().cloned())
            .flatten();
        if let Some(answer) = copy {
            self.inner.kept_answers.borrow_mut().insert(ticket, answer);
        }
    }

    /// Ends a request: delivers the reply and removes the request from the
    /// table, which cancels attempts that are still running.
    fn finish(&self, ticket: Ticket, reply: Reply) {
        let known = self.with_request(ticket, |_| ()).is_some();
        if !known {
            return;
        }
        let (_, index) = split_ticket(ticket);
        let entry = self.inner.requests.borrow_mut().remove(index);
        self.inner.metrics.request_ended(entry.source, &reply, entry.arrived);
        self.end_span(entry.span, Some(&reply));
        if let Some(on_reply) = entry.on_reply {
            on_reply(reply);
        }
    }
}

/// The `traceparent` for the next hop: that of `span`, or without a span the
/// one that came with the request.
fn traceparent(span: Option<&Span>, call: &Call) -> Option<String> {
    span.map(Span::traceparent).or_else(|| call.trace.clone())
}

impl Entry {
    /// The request and its span, as the next attempt needs them.
    fn call_and_span(&mut self) -> (Rc<Call>, Option<Span>) {
        (Rc::clone(&self.call), self.span.clone())
    }

    /// Records the end of an attempt; `None` if it was aborted.
    fn end_attempt(
        &mut self,
        id: u64,
        reply: Reply,
    ) -> Option<(Target, Outcome)> {
        let mut attempts = self.attempts.iter_mut();
        let attempt = attempts.find(|attempt| attempt.id == id)?;
        attempt.abort = None;
        let outcome = match reply {
            Err(refusal) => Outcome::Failed(refusal),
            Ok(answer) => {
                let status = answer.status.as_u16();
                let body_bytes = answer.body.len();
                attempt.answer = Some(answer);
                Outcome::Answered { status, body_bytes }
            }
        };
        Some((attempt.target, outcome))
    }

    /// Takes the answer to send: that of the upstream if there is one, else
    /// that of the peer attempt with this number.
    fn take_answer(&mut self, number: u8) -> Option<Answer> {
        let mut answer = None;
        for attempt in &mut self.attempts {
            let matches = attempt.target == Target::Peer(number);
            if attempt.target == Target::Upstream
                || matches && answer.is_none()
            {
                answer = attempt.answer.take().or(answer);
            }
        }
        answer
    }

    fn answer(&self) -> Option<&Answer> {
        self.attempts.iter().find_map(|attempt| attempt.answer.as_ref())
    }
}
