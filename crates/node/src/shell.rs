//! The loop around the reducer.
//!
//! [`Shell::post`] passes an event to the reducer and performs the effects
//! that it returns, in order, before it returns. Requests that have not
//! ended are kept here with their bodies, under their tickets.

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
use crate::metrics::{HopKind, Metrics, SAMPLE, store_kind};
use crate::ports::{self, Dispatch, Forward, Local, Peers, Store, Upstream};
use crate::trace::{Span, Tracer};

/// Takes the reply of a request; called once.
pub type Done = Box<dyn FnOnce(Reply)>;

/// The adapters that a shell performs effects with.
pub struct Ports {
    /// The object store.
    pub store: Rc<dyn Store>,
    /// The upstream beside this node.
    pub upstream: Rc<dyn Upstream>,
    /// Other nodes, for requests and documents.
    pub peers: Rc<dyn Peers>,
    /// Other nodes, for control datagrams.
    pub control: Rc<dyn ports::Control>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// Where a shell records what it does.
#[derive(Debug)]
pub struct Records {
    /// Log lines.
    pub log: Logger,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Spans.
    pub tracer: Tracer,
}

/// A handle of the loop; clones share it.
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
    /// Emptied between two runs; kept for its memory.
    effects: RefCell<Vec<Effect>>,
    running: Cell<bool>,
    stopping: Cell<bool>,
    exited: Cell<bool>,
    requests: RefCell<Slab<Entry>>,
    kept: RefCell<HashMap<Ticket, Answer>>,
    starts: Cell<u32>,
    serials: Cell<u64>,
    unwritten: Cell<usize>,
}

/// A request that has not ended.
struct Entry {
    generation: u32,
    call: Rc<Call>,
    source: Source,
    since: Instant,
    span: Option<Span>,
    done: Option<Done>,
    hops: Vec<Attempt>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("hops", &self.hops)
            .finish_non_exhaustive()
    }
}

/// Where an attempt runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hop {
    Peer(u8),
    Upstream,
}

/// An attempt of a request. Dropping `abort` cancels it.
#[derive(Debug)]
struct Attempt {
    hop: Hop,
    /// Tells this attempt from an aborted one of the same hop.
    serial: u64,
    abort: Option<oneshot::Sender<()>>,
    answer: Option<Answer>,
}

fn ticket(generation: u32, index: usize) -> Ticket {
    Ticket(u64::from(generation) << 32 | index as u64)
}

fn parts(ticket: Ticket) -> (u32, usize) {
    ((ticket.0 >> 32) as u32, (ticket.0 & 0xffff_ffff) as usize)
}

impl Shell {
    /// A shell around `node`.
    #[must_use]
    pub fn new(
        settings: Settings,
        node: Node,
        ports: Ports,
        records: Records,
    ) -> Self {
        let Records { log, metrics, tracer } = records;
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
            running: Cell::new(false),
            stopping: Cell::new(false),
            exited: Cell::new(false),
            requests: RefCell::default(),
            kept: RefCell::default(),
            starts: Cell::new(0),
            serials: Cell::new(0),
            unwritten: Cell::new(0),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The node's settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// The node's name in answers: its address.
    #[must_use]
    pub fn name(&self) -> Rc<str> {
        Rc::clone(&self.inner.name)
    }

    /// The node's log.
    pub fn log(&self) -> &Logger {
        &self.inner.log
    }

    /// The operator's view of the node.
    #[must_use]
    pub fn status(&self) -> Status {
        self.inner.node.borrow().status(clock::now())
    }

    /// Where this node would send a request for a key. The first question
    /// may only start the search for the owner.
    #[must_use]
    pub fn locate(&self, service: &str, key: KeyHash) -> KeyLocation {
        let at = self.inner.node.borrow().locate(service, key);
        if at.owner.is_none() {
            let service = service.to_owned();
            self.post(Event::OwnerQueried { service, key });
        }
        at
    }

    /// The configuration document in force and its version.
    #[must_use]
    pub fn document(&self) -> (u64, Vec<u8>) {
        let node = self.inner.node.borrow();
        let (version, text) = node.document();
        (version, text.to_vec())
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Whether the reducer has asked for the end of the process.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.inner.exited.get()
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.inner.requests.borrow().len()
    }

    /// Starts a graceful stop.
    pub fn stop(&self) {
        if !self.inner.stopping.replace(true) {
            slog::info!(self.inner.log, "stop requested");
            self.post(Event::Stop);
        }
    }

    /// Ends the loop at once, for a forced stop.
    pub fn abandon(&self) {
        self.inner.exited.set(true);
    }

    /// Notes that bytes of an answer wait to be written.
    pub fn queued(&self, size: usize) {
        let unwritten = &self.inner.unwritten;
        unwritten.set(unwritten.get() + size);
    }

    /// Notes that bytes of an answer have been written or given up.
    pub fn written(&self, size: usize) {
        let unwritten = &self.inner.unwritten;
        unwritten.set(unwritten.get().saturating_sub(size));
    }

    /// Waits until all answers have been written, at most `limit` ms.
    pub async fn flush(&self, limit: u64) {
        let end = clock::now().plus(limit);
        while self.inner.unwritten.get() > 0 && clock::now() < end {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        self.inner.tracer.close();
    }

    /// The node's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Counts input that could not be decoded.
    pub fn malformed(&self, socket: &'static str, error: &dyn fmt::Display) {
        self.inner.metrics.malformed(socket);
        slog::debug!(self.inner.log, "malformed input";
            "socket" => socket, "error" => error.to_string());
    }

    /// Samples the node's state for the metrics.
    pub fn sample(&self) {
        let now = clock::now();
        let inner = &self.inner;
        let node = inner.node.borrow();
        let services = node.config().map(|config| &config.services);
        let own = services.and_then(|all| all.get(&inner.settings.service));
        let led = own.map_or(0, |spec| spec.shards / spec.groups.max(1));
        inner.metrics.sample(&node.status(now), usize::from(led), now);
        inner.metrics.outstanding(self.outstanding());
        inner.metrics.spans_dropped(inner.tracer.dropped());
    }

    /// Delivers ticks, and reports of the upstream, until the node exits.
    pub async fn run(&self, mut poll: impl FnMut(&Self)) {
        let shell = self.clone();
        let report = Rc::new(move |event| shell.post(event));
        self.inner.ports.upstream.watch(report);
        let mut sampled = Instant::now();
        while !self.has_exited() {
            poll(self);
            self.post(Event::Tick);
            if sampled.elapsed() >= SAMPLE {
                sampled = Instant::now();
                self.sample();
            }
            monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    /// Takes a request; `done` is called with its reply.
    pub fn submit(&self, call: Call, source: Source, done: Done) -> Ticket {
        let generation = self.inner.starts.get().wrapping_add(1);
        self.inner.starts.set(generation);
        let call = Rc::new(call);
        let entry = Entry {
            generation,
            call: Rc::clone(&call),
            source,
            since: Instant::now(),
            span: self.span(source, call.trace.as_deref()),
            done: Some(done),
            hops: Vec::new(),
        };
        let index = self.inner.requests.borrow_mut().insert(entry);
        let ticket = ticket(generation, index);
        if self.has_exited() {
            let detail = "the node has stopped";
            self.finish(ticket, Err(Refusal::new(Reason::NoOwner, detail)));
            return ticket;
        }
        self.post(Event::Arrived(call.arrival(ticket, source)));
        ticket
    }

    fn span(&self, source: Source, trace: Option<&str>) -> Option<Span> {
        let name = match source {
            Source::Caller => "ingress",
            Source::Peer => "owner",
        };
        self.inner.tracer.start(name, trace)
    }

    /// Says that whoever sent a request went away.
    pub fn cancel(&self, ticket: Ticket) {
        let mut known = false;
        self.with(ticket, |entry| {
            known = true;
            entry.done = None;
        });
        if known {
            self.post(Event::Cancelled { ticket });
        }
    }

    /// Passes an event to the reducer and performs its effects. Events that
    /// arise meanwhile are passed on in order before this returns.
    pub fn post(&self, event: Event) {
        let inner = &self.inner;
        inner.queue.borrow_mut().push_back(event);
        if inner.running.replace(true) {
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
        inner.running.set(false);
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Control::Lease(lease) = &message
                    && let Some(plan) = &lease.plan
                {
                    self.inner.metrics.planned(to, plan);
                }
                self.inner.ports.control.send(to, &message);
            }
            Effect::Store { call, op } => self.store(call, op),
            Effect::FetchConfig { from } => self.fetch(from),
            Effect::Grant { shards, until } => {
                self.inner.ports.upstream.grant(shards, until);
            }
            Effect::Notice(notice) => {
                if let Notice::LeaseEnded { shards } = notice {
                    self.inner.metrics.lease_ended(shards);
                }
                logs::notice(&self.inner.log, &notice);
            }
            Effect::Exit => self.inner.exited.set(true),
            request => self.perform_request(request),
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
                self.answer(ticket, attempt, scope);
            }
            Effect::ReplayAnswer { ticket, of, scope } => {
                self.replay(ticket, of, scope);
            }
            Effect::KeepAnswer { ticket } => self.keep(ticket),
            Effect::DropAnswer { ticket } => {
                self.inner.kept.borrow_mut().remove(&ticket);
            }
            Effect::Refuse { ticket, refusal } => {
                self.finish(ticket, Err(refusal));
            }
            Effect::AbortPeer { ticket, attempt } => {
                self.abort(ticket, Hop::Peer(attempt));
            }
            Effect::AbortUpstream { ticket } => {
                self.abort(ticket, Hop::Upstream);
            }
            _ => {}
        }
    }

    fn store(&self, call: CallId, op: StoreOp) {
        let kind = store_kind(&op);
        let answer = self.inner.ports.store.call(op);
        let shell = self.clone();
        monoio::spawn(async move {
            let outcome = answer.await;
            shell.inner.metrics.store(kind, &outcome);
            shell.post(Event::StoreDone { call, outcome });
        });
    }

    fn fetch(&self, from: NodeAddr) {
        let operator = self.inner.settings.operator.clone();
        let answer = self.inner.ports.peers.fetch_config(from, operator);
        let shell = self.clone();
        monoio::spawn(async move {
            if let Some((version, document)) = answer.await {
                shell.post(Event::ConfigFetched { version, document });
            }
        });
    }

    /// Runs `change` on a request that has not ended.
    fn with<T>(
        &self,
        ticket: Ticket,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        let (generation, index) = parts(ticket);
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
        let Some((call, span)) = self.with(ticket, Entry::next) else {
            return self.gone(ticket, Hop::Peer(attempt));
        };
        let span = span.map(|span| span.child("forward"));
        let trace = header(span.as_ref(), &call);
        let forward = Forward { to, call, deadline, trace };
        let reply = self.inner.ports.peers.forward(forward);
        self.start(ticket, Hop::Peer(attempt), span, reply);
    }

    fn dispatch(
        &self,
        ticket: Ticket,
        fence: Option<(Shard, Fence)>,
        deadline: Millis,
    ) {
        let Some((call, span)) = self.with(ticket, Entry::next) else {
            return self.gone(ticket, Hop::Upstream);
        };
        let span = span.map(|span| span.child("dispatch"));
        let trace = header(span.as_ref(), &call);
        let dispatch = Dispatch { call, fence, deadline, trace };
        let reply = self.inner.ports.upstream.run(dispatch);
        self.start(ticket, Hop::Upstream, span, reply);
    }

    /// Reports the failure of an attempt of a request that is unknown here.
    fn gone(&self, ticket: Ticket, hop: Hop) {
        let detail = "the request is no longer known";
        let mut refusal = Refusal::new(Reason::Cancelled, detail);
        refusal.verdict = Verdict::NotRun;
        self.report(ticket, hop, Outcome::Failed(refusal));
    }

    /// Runs an attempt in its own task until it ends or is aborted.
    fn start(
        &self,
        ticket: Ticket,
        hop: Hop,
        span: Option<Span>,
        reply: Local<Reply>,
    ) {
        let (abort, aborted) = oneshot::channel::<()>();
        let serial = self.inner.serials.get() + 1;
        self.inner.serials.set(serial);
        let abort = Some(abort);
        let attempt = Attempt { hop, serial, abort, answer: None };
        self.with(ticket, |entry| entry.hops.push(attempt));
        let shell = self.clone();
        let since = Instant::now();
        let kind = match hop {
            Hop::Peer(_) => HopKind::Peer,
            Hop::Upstream => HopKind::Upstream,
        };
        monoio::spawn(async move {
            monoio::select! {
                biased;
                _ = aborted => shell.trace(span, None),
                reply = reply => {
                    shell.inner.metrics.hop(kind, since);
                    shell.trace(span, Some(&reply));
                    shell.attempt_done(ticket, serial, reply);
                }
            }
        });
    }

    /// Ends a span; without a reply its request was aborted.
    fn trace(&self, span: Option<Span>, reply: Option<&Reply>) {
        let Some(span) = span else { return };
        let mut fields = Vec::new();
        match reply {
            None => fields.push(("lagoondyke.aborted", "true".to_owned())),
            Some(Ok(answer)) => {
                let status = answer.status.as_str().to_owned();
                fields.push(("http.response.status_code", status));
                fields.push(("lagoondyke.node", answer.node.to_string()));
            }
            Some(Err(refusal)) => {
                let reason = refusal.reason.name().to_owned();
                fields.push(("lagoondyke.reason", reason));
            }
        }
        let failed = !matches!(reply, Some(Ok(_)));
        self.inner.tracer.end(span, fields, failed);
    }

    fn attempt_done(&self, ticket: Ticket, serial: u64, reply: Reply) {
        let ended = self.with(ticket, |entry| entry.end(serial, reply));
        // An attempt that was aborted while it ended reports nothing.
        let Some((hop, outcome)) = ended.flatten() else { return };
        self.report(ticket, hop, outcome);
    }

    fn report(&self, ticket: Ticket, hop: Hop, outcome: Outcome) {
        self.post(match hop {
            Hop::Peer(attempt) => Event::PeerDone { ticket, attempt, outcome },
            Hop::Upstream => Event::UpstreamDone { ticket, outcome },
        });
    }

    fn abort(&self, ticket: Ticket, hop: Hop) {
        self.with(ticket, |entry| {
            entry.hops.retain(|attempt| attempt.hop != hop);
        });
    }

    fn answer(&self, ticket: Ticket, attempt: u8, scope: Option<String>) {
        let answer = self.with(ticket, |entry| entry.take(attempt)).flatten();
        let reply = answer.map(|mut answer| {
            answer.scope = scope.or(answer.scope);
            answer
        });
        let missing = "the answer is no longer known";
        let lost = || Refusal::new(Reason::ConnectionLost, missing);
        self.finish(ticket, reply.ok_or_else(lost));
    }

    fn replay(&self, ticket: Ticket, of: Ticket, scope: Option<String>) {
        let kept = self.inner.kept.borrow().get(&of).cloned();
        let reply = kept.map(|answer| Answer { scope, ..answer });
        let lost = || {
            let detail = "the recorded answer is no longer known";
            Refusal::new(Reason::AlreadyRan, detail)
        };
        self.finish(ticket, reply.ok_or_else(lost));
    }

    fn keep(&self, ticket: Ticket) {
        let copy = self.with(ticket, |entry| entry.peek().cloned()).flatten();
        if let Some(answer) = copy {
            self.inner.kept.borrow_mut().insert(ticket, answer);
        }
    }

    /// Ends a request: replies and cancels attempts that still run.
    fn finish(&self, ticket: Ticket, reply: Reply) {
        let known = self.with(ticket, |_| ()).is_some();
        if !known {
            return;
        }
        let (_, index) = parts(ticket);
        let entry = self.inner.requests.borrow_mut().remove(index);
        self.inner.metrics.ended(entry.source, &reply, entry.since);
        self.trace(entry.span, Some(&reply));
        if let Some(done) = entry.done {
            done(reply);
        }
    }
}

/// The trace context for the next hop: this hop's, or as it came.
fn header(span: Option<&Span>, call: &Call) -> Option<String> {
    span.map(Span::header).or_else(|| call.trace.clone())
}

impl Entry {
    /// What the next attempt starts from.
    fn next(&mut self) -> (Rc<Call>, Option<Span>) {
        (Rc::clone(&self.call), self.span.clone())
    }

    /// Notes the end of an attempt; `None` if it was aborted.
    fn end(&mut self, serial: u64, reply: Reply) -> Option<(Hop, Outcome)> {
        let mut hops = self.hops.iter_mut();
        let attempt = hops.find(|attempt| attempt.serial == serial)?;
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
        Some((attempt.hop, outcome))
    }

    /// The answer that is wanted: of the upstream if it was asked, else of
    /// the attempt with this number.
    fn take(&mut self, number: u8) -> Option<Answer> {
        let mut wanted = None;
        for attempt in &mut self.hops {
            let fits = attempt.hop == Hop::Peer(number);
            if attempt.hop == Hop::Upstream || fits && wanted.is_none() {
                wanted = attempt.answer.take().or(wanted);
            }
        }
        wanted
    }

    fn peek(&self) -> Option<&Answer> {
        self.hops.iter().find_map(|attempt| attempt.answer.as_ref())
    }
}
