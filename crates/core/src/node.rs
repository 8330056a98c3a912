//! The reducer that holds the state of one node.
//!
//! [`Node::step`] is the only function that changes the state: it takes one
//! event and the present time, and appends effects. [`crate::group`] decides
//! on ownership, [`crate::request`] on the requests in progress and
//! [`crate::route`] on where requests are sent. The node itself loads the
//! configuration and decides which version of it is in force.

use crate::clock::Millis;
use crate::config::{Config, Service};
use crate::control::Control;
use crate::effect::{Effect, Notice, StoreOp};
use crate::event::{Event, StoreOutcome};
use crate::group::{self, Group, Load, NodeIdentity};
use crate::id::{CallId, Incarnation, KeyHash, NodeAddr, Subsystem};
use crate::request::{self, LocalNode, Requests};
use crate::route::Routes;
use crate::settings::Settings;
use crate::status::{KeyLocation, Status};

/// Pause after a failed read of the configuration from the store, and after
/// each request for it to the leader.
const CONFIG_RETRY_MS: u64 = 500;

/// The state of one node and of its part in the protocol.
#[derive(Debug)]
pub struct Node {
    operator: String,
    group: Group,
    requests: Requests,
    routes: Routes,
    /// The configuration in force; `None` until the first valid document.
    config: Option<Config>,
    /// Store version of the configuration in force; 0 while there is none.
    config_version: u64,
    /// Latest version of a document that was rejected. It is not read again.
    rejected_version: u64,
    /// Text of the configuration in force, as the store holds it.
    config_text: Vec<u8>,
    /// Stands in for the configuration while there is none.
    empty_config: Config,
    /// Calls to the store made so far with [`Subsystem::Config`].
    call_count: u32,
    /// The outstanding read or watch of the configuration.
    pending_call: Option<CallId>,
    /// The configuration is not asked for before this instant.
    refresh_at: Millis,
    stopping: bool,
}

impl Node {
    /// Creates a node that starts at `now`, without a configuration.
    ///
    /// The shell draws `incarnation` and `seed` at random.
    #[must_use]
    pub fn new(
        settings: &Settings,
        incarnation: Incarnation,
        seed: u64,
        now: Millis,
    ) -> Self {
        let identity = NodeIdentity {
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
            group: Group::new(identity, seed, now),
            requests: Requests::new(local, seed, now),
            routes: Routes::new(),
            config: None,
            config_version: 0,
            rejected_version: 0,
            config_text: Vec::new(),
            empty_config: Config::default(),
            call_count: 0,
            pending_call: None,
            refresh_at: now,
            stopping: false,
        }
    }

    /// Handles one event that happened at `now` and appends the resulting
    /// effects to `out`.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Datagram { from, message } => {
                self.datagram_received(from, &message, now, out);
            }
            Event::StoreDone { call, outcome } => {
                self.store_done(call, outcome, now, out);
            }
            Event::ConfigFetched { version, document } => {
                self.apply_config(version, document, out);
            }
            Event::OwnerQueried { service, key } => {
                self.look_up_owner(&service, key, now, out);
            }
            Event::Stop => self.stop(now, out),
            Event::UpstreamDown => self.requests.upstream_down(now, out),
            Event::UpstreamUp => self.requests.upstream_up(now, out),
            request => self.request_event(request, now, out),
        }
    }

    /// Store version and text of the configuration in force, for peers that
    /// ask for it. The version is 0 and the text empty while there is none.
    #[must_use]
    pub fn document(&self) -> (u64, &[u8]) {
        (self.config_version, &self.config_text)
    }

    /// The configuration in force, or `None` until the first valid document
    /// has arrived.
    #[must_use]
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// The node's state at `now`, for operators.
    #[must_use]
    pub fn status(&self, now: Millis) -> Status {
        let mut status = Status {
            config: self.config_version,
            leaving: self.stopping,
            ..Status::default()
        };
        self.group.status(now, &mut status);
        self.requests.status(&mut status);
        status
    }

    /// Where this node would send a request for a key, as far as its routing
    /// cache knows. This starts no look-up; [`Event::OwnerQueried`] does.
    #[must_use]
    pub fn locate(
        &self,
        service: impl AsRef<str>,
        key: KeyHash,
    ) -> KeyLocation {
        let service = service.as_ref();
        let mut at = KeyLocation {
            config: self.config_version,
            ..KeyLocation::default()
        };
        let Some(spec) = service_spec(self.config.as_ref(), service) else {
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

    /// Starts the look-up of a key's owner if the owner is not known.
    fn look_up_owner(
        &mut self,
        service: &str,
        key: KeyHash,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let spec = service_spec(self.config.as_ref(), service);
        let Some(spec) = spec.filter(|s| s.keyed) else { return };
        self.routes.owner(service, spec, key, now, out);
    }

    /// Handles an event of the life of a request.
    fn request_event(
        &mut self,
        event: Event,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
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
        let view = group_view(
            self.config.as_ref(),
            &self.empty_config,
            self.config_version,
            &load,
        );
        self.group.tick(view, now, out);
        self.routes.tick(now, out);
        let view = request::View {
            config: self.config.as_ref(),
            group: &self.group,
            routes: &mut self.routes,
        };
        self.requests.tick(view, now, out);
        self.refresh_config(now, out);
        let done = self.requests.is_empty() && self.group.has_left(now);
        if self.stopping && done {
            out.push(Effect::Exit);
        }
    }

    fn datagram_received(
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
        let view = group_view(
            self.config.as_ref(),
            &self.empty_config,
            self.config_version,
            &load,
        );
        self.group.datagram(from, message, view, now, out);
    }

    fn store_done(
        &mut self,
        id: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match id.subsystem {
            Subsystem::Config => self.config_done(id, outcome, now, out),
            Subsystem::Route => self.routes.store_done(id, outcome, now, out),
            Subsystem::Group => {
                let load = self.requests.load(now);
                let view = group_view(
                    self.config.as_ref(),
                    &self.empty_config,
                    self.config_version,
                    &load,
                );
                self.group.store_done(id, outcome, view, now, out);
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

    /// Keeps the configuration current. A leader watches the store and a
    /// member asks its leader. A node without a configuration reads the
    /// store as well, or watches it once it has rejected a document.
    fn refresh_config(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.refresh_at {
            return;
        }
        let leads = self.group.leads();
        let after = self.config_version.max(self.rejected_version);
        if self.pending_call.is_none() && (leads || self.config_version == 0) {
            let name = config_object_name(&self.operator);
            let op = if after == 0 {
                StoreOp::Read { name }
            } else {
                StoreOp::Watch { name, after }
            };
            self.call_count += 1;
            let call = CallId {
                subsystem: Subsystem::Config,
                number: self.call_count,
            };
            self.pending_call = Some(call);
            out.push(Effect::Store { call, op });
        }
        if leads || self.group.leader_config() <= after {
            return;
        }
        if let Some(from) = self.group.leader() {
            out.push(Effect::FetchConfig { from });
            self.refresh_at = now.plus(CONFIG_RETRY_MS);
        }
    }

    fn config_done(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.pending_call != Some(call) {
            return;
        }
        self.pending_call = None;
        match outcome {
            StoreOutcome::Read { version, value } => {
                self.apply_config(version, value, out);
            }
            StoreOutcome::Unchanged => {}
            _ => self.refresh_at = now.plus(CONFIG_RETRY_MS),
        }
    }

    /// Applies a document if it is valid and newer than the one in force
    /// and than the last one rejected. An invalid document leaves the
    /// configuration in force as it is.
    fn apply_config(
        &mut self,
        version: u64,
        document: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        if version <= self.config_version.max(self.rejected_version) {
            return;
        }
        let name = config_object_name(&self.operator);
        let config = match self.parse_config(&document) {
            Ok(config) => config,
            Err(error) => {
                self.rejected_version = version;
                out.push(Effect::Notice(Notice::Rejected { name, error }));
                return;
            }
        };
        self.config = Some(config);
        self.config_version = version;
        self.config_text = document;
        out.push(Effect::Notice(Notice::ConfigApplied { version }));
    }

    /// Parses a document and checks that it is of this node's operator.
    fn parse_config(&self, document: &[u8]) -> Result<Config, String> {
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

/// Name of the store object that holds an operator's configuration
/// document.
#[must_use]
pub fn config_object_name(operator: impl AsRef<str>) -> String {
    format!("config/{}", operator.as_ref())
}

fn service_spec<'a>(
    config: Option<&'a Config>,
    service: &str,
) -> Option<&'a Service> {
    config?.services.get(service)
}

/// What the group may read of the node. An empty configuration takes the
/// place of one that has not arrived yet.
fn group_view<'a>(
    config: Option<&'a Config>,
    empty: &'a Config,
    version: u64,
    load: &'a Load,
) -> group::View<'a> {
    group::View { config: config.unwrap_or(empty), version, load }
}
