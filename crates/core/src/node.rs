//! The reducer.
//!
//! [`Node::step`] is the only entry: it takes one event and the present
//! time, changes the state and appends effects. The node hands ownership to
//! [`crate::group`], the request path to [`crate::request`] and routing to
//! [`crate::route`], and itself keeps the configuration in force.

use crate::clock::Millis;
use crate::config::{Config, Service};
use crate::control::Control;
use crate::effect::{Effect, Notice, StoreOp};
use crate::event::{Event, StoreOutcome};
use crate::group::{self, Group, Load, NodeIdentity};
use crate::id::{CallId, CallOwner, Incarnation, KeyHash, NodeAddr};
use crate::request::{self, LocalNode, Requests};
use crate::route::Routes;
use crate::settings::Settings;
use crate::status::{Located, Status};

/// Pause before a failed read of the configuration is tried again, and
/// between two questions to the leader, in milliseconds.
const CONFIG_RETRY: u64 = 500;

/// The state of one node.
#[derive(Debug)]
pub struct Node {
    operator: String,
    group: Group,
    requests: Requests,
    routes: Routes,
    config: Option<Config>,
    version: u64,
    /// Latest version of a document that could not be used; not read again.
    refused: u64,
    text: Vec<u8>,
    blank: Config,
    calls: u32,
    pending: Option<CallId>,
    retry: Millis,
    stopping: bool,
}

impl Node {
    /// A node that starts at `now`.
    ///
    /// `incarnation` and `seed` are drawn at random by the shell.
    #[must_use]
    pub fn new(
        settings: &Settings,
        incarnation: Incarnation,
        seed: u64,
        now: Millis,
    ) -> Self {
        let seat = NodeIdentity {
            addr: settings.addr,
            incarnation,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            upstream: settings.upstream.name.clone(),
            slots: settings.upstream.slots,
        };
        let local = LocalNode {
            addr: settings.addr,
            incarnation,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            slots: settings.upstream.slots,
        };
        Self {
            operator: settings.operator.clone(),
            group: Group::new(seat, seed, now),
            requests: Requests::new(local, seed, now),
            routes: Routes::new(),
            config: None,
            version: 0,
            refused: 0,
            text: Vec::new(),
            blank: Config::default(),
            calls: 0,
            pending: None,
            retry: now,
            stopping: false,
        }
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Datagram { from, message } => {
                self.datagram(from, &message, now, out);
            }
            Event::Stored { call, outcome } => {
                self.stored(call, outcome, now, out);
            }
            Event::Fetched { version, document } => {
                self.install(version, document, out);
            }
            Event::Inquired { service, key } => {
                self.inquire(&service, key, now, out);
            }
            Event::Stop => self.stop(now, out),
            Event::UpstreamDown => self.requests.upstream_down(now, out),
            Event::UpstreamUp => self.requests.upstream_up(now, out),
            request => self.request(request, now, out),
        }
    }

    /// The configuration document in force and its version, for peers that
    /// ask for it; version 0 while there is none.
    #[must_use]
    pub fn document(&self) -> (u64, &[u8]) {
        (self.version, &self.text)
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// The operator's view at `now`.
    #[must_use]
    pub fn status(&self, now: Millis) -> Status {
        let mut status = Status {
            config: self.version,
            leaving: self.stopping,
            ..Status::default()
        };
        self.group.status(now, &mut status);
        self.requests.status(&mut status);
        status
    }

    /// Where this node would send a request for a key. An owner that is not
    /// known yet is looked up after [`Event::Inquired`].
    #[must_use]
    pub fn locate(&self, service: impl AsRef<str>, key: KeyHash) -> Located {
        let service = service.as_ref();
        let mut at = Located { config: self.version, ..Located::default() };
        let Some(spec) = spec(self.config.as_ref(), service) else {
            return at;
        };
        (at.known, at.keyed, at.hash) = (true, spec.keyed, key);
        if !spec.keyed {
            return at;
        }
        at.shard = key.shard(spec.shards);
        at.group = at.shard.group(spec.groups);
        self.routes.describe(service, spec, key, &mut at);
        at
    }

    fn inquire(
        &mut self,
        service: &str,
        key: KeyHash,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let spec = spec(self.config.as_ref(), service);
        let Some(spec) = spec.filter(|s| s.keyed) else { return };
        self.routes.owner(service, spec, key, now, out);
    }

    fn request(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        let view = request::View {
            config: self.config.as_ref(),
            group: &self.group,
            routes: &mut self.routes,
        };
        let requests = &mut self.requests;
        match event {
            Event::Arrived(arrival) => {
                requests.arrived(arrival, view, now, out);
            }
            Event::PeerDone { ticket, attempt, outcome } => {
                requests.peer_done(ticket, attempt, outcome, view, now, out);
            }
            Event::UpstreamDone { ticket, outcome } => {
                requests.upstream_done(ticket, outcome, view, now, out);
            }
            Event::Cancelled { ticket } => {
                requests.cancelled(ticket, view, now, out);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let load = self.requests.load(now);
        let view =
            group_view(self.config.as_ref(), &self.blank, self.version, &load);
        self.group.tick(view, now, out);
        self.routes.tick(now, out);
        let view = request::View {
            config: self.config.as_ref(),
            group: &self.group,
            routes: &mut self.routes,
        };
        self.requests.tick(view, now, out);
        self.refresh(now, out);
        let done = self.requests.is_empty() && self.group.has_left(now);
        if self.stopping && done {
            out.push(Effect::Exit);
        }
    }

    fn datagram(
        &mut self,
        from: NodeAddr,
        message: &Control,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if matches!(message, Control::Map(_) | Control::NotLeader(_)) {
            self.routes.datagram(from, message, now, out);
        }
        let load = self.requests.load(now);
        let view =
            group_view(self.config.as_ref(), &self.blank, self.version, &load);
        self.group.datagram(from, message, view, now, out);
    }

    fn stored(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match call.owner {
            CallOwner::Config => self.config_read(call, outcome, now, out),
            CallOwner::Route => self.routes.stored(call, outcome, now, out),
            CallOwner::Group => {
                let load = self.requests.load(now);
                let view = group_view(
                    self.config.as_ref(),
                    &self.blank,
                    self.version,
                    &load,
                );
                self.group.stored(call, outcome, view, now, out);
            }
        }
    }

    fn stop(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.group.leave(now, out);
    }

    /// Keeps the configuration current. A leader watches the store, a
    /// member asks its leader, and a node without either reads the store.
    fn refresh(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.retry {
            return;
        }
        let leads = self.group.leads();
        let after = self.version.max(self.refused);
        if self.pending.is_none() && (leads || self.version == 0) {
            let name = config_name(&self.operator);
            let op = if after == 0 {
                StoreOp::Read { name }
            } else {
                StoreOp::Watch { name, after }
            };
            self.calls += 1;
            let call = CallId { owner: CallOwner::Config, number: self.calls };
            self.pending = Some(call);
            out.push(Effect::Store { call, op });
        }
        if leads || self.group.leader_config() <= after {
            return;
        }
        if let Some(from) = self.group.leader() {
            out.push(Effect::FetchConfig { from });
            self.retry = now.plus(CONFIG_RETRY);
        }
    }

    fn config_read(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.pending != Some(call) {
            return;
        }
        self.pending = None;
        match outcome {
            StoreOutcome::Read { version, value } => {
                self.install(version, value, out);
            }
            StoreOutcome::Unchanged => {}
            _ => self.retry = now.plus(CONFIG_RETRY),
        }
    }

    /// Puts a document into force if it is newer than the one in force and
    /// valid as a whole.
    fn install(
        &mut self,
        version: u64,
        document: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        if version <= self.version.max(self.refused) {
            return;
        }
        let name = config_name(&self.operator);
        let config = match self.parse(&document) {
            Ok(config) => config,
            Err(error) => {
                self.refused = version;
                out.push(Effect::Notice(Notice::Rejected { name, error }));
                return;
            }
        };
        self.config = Some(config);
        self.version = version;
        self.text = document;
        out.push(Effect::Notice(Notice::Config { version }));
    }

    fn parse(&self, document: &[u8]) -> Result<Config, String> {
        let config = Config::parse(document, self.config.as_ref())
            .map_err(|e| e.to_string())?;
        if config.operator == self.operator {
            return Ok(config);
        }
        Err(format!(
            "document is of operator {:?}, expected {:?}",
            config.operator, self.operator
        ))
    }
}

/// Name of the store object that holds an operator's document.
#[must_use]
pub fn config_name(operator: impl AsRef<str>) -> String {
    format!("config/{}", operator.as_ref())
}

fn spec<'a>(config: Option<&'a Config>, service: &str) -> Option<&'a Service> {
    config?.services.get(service)
}

fn group_view<'a>(
    config: Option<&'a Config>,
    blank: &'a Config,
    version: u64,
    load: &'a Load,
) -> group::View<'a> {
    group::View { config: config.unwrap_or(blank), version, load }
}
