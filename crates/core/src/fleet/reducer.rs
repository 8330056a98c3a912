//! The fleet's reducer: state, store calls, gossip.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::fleet::config::Config;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{
    Call, Document, Event, Item, Kind, Load, Outcome, Stored, Value,
};
use crate::fleet::gossip::{Directory, Gossip, Versions};
use crate::fleet::heat::Heat;
use crate::fleet::host::{Announcement, Grant, Granted, HOLD, Host, Taken};
use crate::fleet::lease::{
    Lease, RENEWAL, RENEWAL_RETRY, Record, longest, shortened,
};
use crate::fleet::moves::Moves;
use crate::fleet::reconcile::Edit;
use crate::fleet::request::Requests;
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;
use crate::fleet::takeover::Loss;
use crate::id::Ticket;

/// Longest wait of a watch, in milliseconds. Gossip shows a version that a
/// watch has missed, so it need not be short.
const WATCH_WAIT: u64 = 25_000;

/// Pause after a failed call to the store, in milliseconds.
const STORE_RETRY: u64 = 250;

/// Interval between lists of the nodes' records, in milliseconds. They only
/// show addresses of nodes that have not been heard.
const NODES_INTERVAL: u64 = 10_000;

/// The same while the process is young and few nodes are known.
const NODES_INTERVAL_YOUNG: u64 = 1_000;

/// Age up to which the process is young, in milliseconds.
const YOUNG: u64 = 5_000;

/// Time for the watch to deliver a version that gossip has shown, before a
/// peer is asked for it, in milliseconds.
const FETCH_DELAY: u64 = 150;

/// Pause between two questions for a document, in milliseconds.
const FETCH_RETRY: u64 = 400;

/// Time after a stop signal for which the node keeps taking requests: two
/// questions for readiness, a second apart, and their answers, in
/// milliseconds.
const STOP_SERVE: u64 = 2_300;

/// Time before the end of the grace period at which the process ends with
/// requests outstanding, in milliseconds.
const STOP_SPARE: u64 = 400;

/// Time for which an upstream is treated as cold when its domain is taken
/// back into service, until it announces itself, in milliseconds.
const RETURN_COLD: u64 = 1_500;

/// Longest time that an announcement waits for a claim, in milliseconds. The
/// upstream waits for a second, and announces itself again only after that.
const PARKED_MAX: u64 = 400;

/// A kind of objects that the node follows.
#[derive(Clone, Copy, Debug)]
struct Feed {
    kind: Kind,
    /// Revision of the store that is known; none before the first list.
    known: Option<u64>,
    listing: bool,
    watching: bool,
    /// A list has been sent since this was set.
    fresh: bool,
    retry: Millis,
    /// A peer knows a later version since then.
    behind: Option<Millis>,
}

impl Feed {
    fn new(kind: Kind, now: Millis) -> Self {
        Self {
            kind,
            known: None,
            listing: false,
            watching: false,
            fresh: true,
            retry: now,
            behind: None,
        }
    }
}

/// A table and its revision.
#[derive(Clone, Debug)]
pub(super) struct Versioned {
    pub(super) revision: u64,
    pub(super) table: Table,
}

/// The renewal of the lease.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    pending: bool,
    sent: Millis,
    due: Millis,
    /// The record in the store has been read or written by this process.
    known: bool,
}

/// The state of one node in a fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) started: Millis,
    pub(super) config: Option<Rc<Config>>,
    pub(super) versions: Versions,
    pub(super) out: BTreeSet<String>,
    pub(super) tables: BTreeMap<String, Versioned>,
    pub(super) lease: Lease,
    /// The table has been written since the lease was gained, so that no
    /// takeover from before can succeed.
    pub(super) claimed: bool,
    pub(super) host: Host,
    pub(super) directory: Directory,
    pub(super) heat: Heat,
    pub(super) edit: Edit,
    pub(super) moves: Moves,
    /// When each node last got a range: its load does not show it yet.
    pub(super) received: BTreeMap<String, Millis>,
    pub(super) losses: BTreeMap<String, Loss>,
    pub(super) requests: Requests,
    pub(super) stop_at: Option<Millis>,
    feeds: [Feed; 3],
    renewal: Renewal,
    /// An announcement that waits for a claim, and since when.
    parked: Option<(Ticket, Millis)>,
    count: u64,
    gossip_count: u64,
    gossip_due: Millis,
    nodes_due: Millis,
    store_up: bool,
}

impl Fleet {
    /// A node that starts at `now`.
    ///
    /// `incarnation` and `seed` are drawn at random by the shell.
    #[must_use]
    pub fn new(
        settings: Settings,
        incarnation: u64,
        seed: u64,
        now: Millis,
    ) -> Self {
        let slack = settings.bounds.retry_slack.unwrap_or(0.0);
        let share = settings.bounds.retry_share.unwrap_or(0.0);
        Self {
            settings,
            incarnation,
            random: Pcg64Mcg::seed_from_u64(seed),
            started: now,
            config: None,
            versions: Versions::default(),
            out: BTreeSet::new(),
            tables: BTreeMap::new(),
            lease: Lease::default(),
            claimed: false,
            host: Host::new(now),
            directory: Directory::default(),
            heat: Heat::new(now),
            edit: Edit::new(now),
            moves: Moves::default(),
            received: BTreeMap::new(),
            losses: BTreeMap::new(),
            requests: Requests::new(share, slack),
            stop_at: None,
            feeds: [Kind::Config, Kind::Domains, Kind::Tables]
                .map(|kind| Feed::new(kind, now)),
            renewal: Renewal { due: now, ..Renewal::default() },
            parked: None,
            count: 0,
            gossip_count: 0,
            gossip_due: now,
            nodes_due: now,
            store_up: true,
        }
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Stored { call, outcome } => {
                self.stored(call, outcome, now, out);
            }
            Event::Heard { from, gossip } => {
                self.heard(from, *gossip, now);
            }
            Event::Fetched(document) => self.fetched(document, now, out),
            Event::Announced { ticket, announcement } => {
                self.announced(ticket, &announcement, now, out);
            }
            Event::Left { id } => {
                self.host.left(&id);
                out.push(Effect::Notice(Notice::UpstreamLeaving { id }));
                self.reconcile(now, out);
                self.empty_queue(now, out);
            }
            Event::Arrived(arrival) => self.arrived(arrival, now, out),
            Event::PeerDone { ticket, outcome } => {
                self.peer_done(ticket, outcome, now, out);
            }
            Event::UpstreamDone { ticket, outcome } => {
                self.upstream_done(ticket, outcome, now, out);
            }
            Event::UpstreamDown => self.upstream_down(now, out),
            Event::Cancelled { ticket } => self.cancelled(ticket, now, out),
            Event::Reloaded(settings) => self.reload(&settings, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Whether callers may be sent to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.stop_at.is_none()
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_at.is_some()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// A document for a peer that asks for it.
    #[must_use]
    pub fn document(&self, kind: Kind) -> Option<Document> {
        match kind {
            Kind::Config => {
                let config = self.config.as_ref()?;
                let config = Box::new(Config::clone(config));
                Some(Document::Config(self.versions.config, config))
            }
            Kind::Domains => {
                let out = self.out.clone();
                Some(Document::Domains(self.versions.domains, out))
            }
            Kind::Tables => {
                let tables = self.tables.iter().map(|(service, held)| {
                    (service.clone(), held.revision, held.table.clone())
                });
                Some(Document::Tables(tables.collect()))
            }
            Kind::Nodes => None,
        }
    }

    /// Load of the upstream, for answers to peers.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let inflight = self.requests.inflight();
        let mean_ms = self.requests.mean(now) as u32;
        Load { inflight, mean_ms }
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.directory.tick(now);
        self.follow(now, out);
        self.renew(now, out);
        self.list_nodes(now, out);
        self.gossip(now, out);
        self.catch_up(now, out);
        self.watch_losses(now, out);
        self.reconcile(now, out);
        self.check_parked(now, out);
        self.tick_requests(now, out);
        self.end(now, out);
    }

    /// Puts the bounds of new settings into force. The rest names addresses
    /// that are bound already.
    fn reload(&mut self, settings: &Settings, out: &mut Vec<Effect>) {
        self.settings.bounds = settings.bounds.clone();
        let partly = self.settings != *settings;
        out.push(Effect::Notice(Notice::Reloaded { partly }));
    }

    fn stop(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.stop_at.is_some() {
            return;
        }
        self.stop_at = Some(now);
        self.gossip_due = now;
        let requests = self.requests.len();
        out.push(Effect::Notice(Notice::Stopping { requests }));
    }

    /// Ends the process once nobody is sent here any more and all requests
    /// have ended, or the time given is over.
    fn end(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(since) = self.stop_at else { return };
        let age = now.since(since);
        let limit = self.settings.bounds.stop_ms().saturating_sub(STOP_SPARE);
        let idle = self.requests.is_empty() && age >= STOP_SERVE;
        if idle || age >= limit {
            out.push(Effect::Exit);
        }
    }

    /// Whether the node is so close to its end that it takes no new work
    /// from peers.
    pub(super) fn is_closing(&self, now: Millis) -> bool {
        self.stop_at.is_some_and(|at| now.since(at) >= STOP_SERVE)
    }

    // ---- documents of the store

    fn follow(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for feed in &mut self.feeds {
            if now < feed.retry {
                continue;
            }
            let kind = feed.kind;
            if (feed.known.is_none() || !feed.fresh) && !feed.listing {
                feed.listing = true;
                feed.fresh = true;
                let call = Call::List(kind);
                out.push(Effect::Store { call, op: Op::List { kind } });
            }
            let Some(after) = feed.known else { continue };
            if feed.watching {
                continue;
            }
            feed.watching = true;
            let call = Call::Watch(kind);
            let op = Op::Watch { kind, after, wait_ms: WATCH_WAIT };
            out.push(Effect::Store { call, op });
        }
    }

    fn feed(&mut self, kind: Kind) -> Option<&mut Feed> {
        self.feeds.iter_mut().find(|feed| feed.kind == kind)
    }

    /// Whether the tables have been listed since the lease was gained.
    pub(super) fn tables_current(&self) -> bool {
        let feed = self.feeds.iter().find(|f| f.kind == Kind::Tables);
        feed.is_some_and(|f| f.known.is_some() && f.fresh && !f.listing)
    }

    fn stored(
        &mut self,
        call: Call,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let up = !matches!(outcome, Stored::Unavailable | Stored::Unknown);
        if up != self.store_up {
            self.store_up = up;
            out.push(Effect::Notice(Notice::Store { up }));
        }
        match call {
            Call::List(Kind::Nodes) => self.nodes_listed(outcome, now),
            Call::List(kind) => self.listed(kind, outcome, now, out),
            Call::Watch(kind) => self.changed(kind, outcome, now, out),
            Call::Renew | Call::Recall => {
                self.renewed(outcome, now, out);
            }
            Call::Edit(service) | Call::Reread(service) => {
                self.edited(&service, outcome, now, out);
                self.check_parked(now, out);
            }
            Call::Inspect(node) => self.inspected(&node, outcome, now),
            Call::Revoke(node) => self.revoked(&node, &outcome, now, out),
        }
    }

    fn listed(
        &mut self,
        kind: Kind,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(feed) = self.feed(kind) else { return };
        feed.listing = false;
        let Stored::Listed { items, revision } = outcome else {
            feed.fresh = false;
            feed.retry = now.plus(STORE_RETRY);
            return;
        };
        feed.known = Some(feed.known.unwrap_or(0).max(revision));
        if kind == Kind::Domains {
            let names = items.into_iter().map(|item| item.name).collect();
            self.set_domains(names, revision, now, out);
            return;
        }
        for item in items {
            self.learn(item, false, now, out);
        }
        self.table_changed(now, out);
    }

    fn changed(
        &mut self,
        kind: Kind,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(feed) = self.feed(kind) else { return };
        feed.watching = false;
        match outcome {
            Stored::Changed { items, revision } => {
                feed.known = Some(feed.known.unwrap_or(0).max(revision));
                self.apply(kind, items, revision, now, out);
            }
            Stored::Compacted => feed.known = None,
            _ => {
                // Events may have been missed: a list shows them.
                feed.known = None;
                feed.retry = now.plus(STORE_RETRY);
            }
        }
    }

    fn apply(
        &mut self,
        kind: Kind,
        items: Vec<Item>,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if items.is_empty() {
            return;
        }
        if kind != Kind::Domains {
            for item in items {
                self.learn(item, false, now, out);
            }
            self.table_changed(now, out);
            return;
        }
        let mut names = self.out.clone();
        for item in items {
            match item.value {
                Some(_) => names.insert(item.name),
                None => names.remove(&item.name),
            };
        }
        self.set_domains(names, revision, now, out);
    }

    /// Learns the present state of an object.
    pub(super) fn learn(
        &mut self,
        item: Item,
        relayed: bool,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let revision = item.revision;
        match item.value {
            Some(Value::Config(config)) => {
                self.install(*config, revision, relayed, out);
            }
            Some(Value::Table(table)) => {
                self.learn_table(item.name, table, revision, now, out);
            }
            Some(Value::Unusable(error)) => {
                let name = item.name;
                out.push(Effect::Notice(Notice::Rejected { name, error }));
            }
            Some(Value::Out | Value::Node(_)) | None => {}
        }
    }

    fn install(
        &mut self,
        config: Config,
        revision: u64,
        relayed: bool,
        out: &mut Vec<Effect>,
    ) {
        let current = self.config.as_ref().map(|config| config.version);
        self.versions.config = self.versions.config.max(revision);
        if current.is_some_and(|current| config.version <= current) {
            return;
        }
        let version = config.version;
        self.config = Some(Rc::new(config));
        out.push(Effect::Notice(Notice::Config { version, relayed }));
    }

    fn learn_table(
        &mut self,
        service: String,
        table: Table,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let known = self.tables.get(&service);
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        if let Err(error) = table.check() {
            let error = error.to_string();
            let name = service;
            out.push(Effect::Notice(Notice::Rejected { name, error }));
            return;
        }
        self.versions.tables = self.versions.tables.max(revision);
        let own = table.of(&self.settings.node).count();
        out.push(Effect::Notice(Notice::Table {
            service: service.clone(),
            revision,
            own,
        }));
        let mine = &self.settings.node;
        if service == self.settings.service {
            self.moves.prune(&table, mine);
            self.heat.retain(|key| table.at(key).node == *mine);
            let old = self.tables.get(&service).map(|held| &held.table);
            for range in &table.ranges {
                let before = old.map(|old| &old.at(range.first).node);
                if before.is_some_and(|before| *before != range.node) {
                    self.received.insert(range.node.clone(), now);
                }
            }
        }
        self.tables.insert(service, Versioned { revision, table });
    }

    fn set_domains(
        &mut self,
        names: BTreeSet<String>,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if revision < self.versions.domains {
            return;
        }
        self.versions.domains = revision;
        if self.out == names {
            return;
        }
        let own = &self.settings.domain;
        if self.out.contains(own) && !names.contains(own) {
            self.host.chill(RETURN_COLD, now);
        }
        self.out = names;
        out.push(Effect::Notice(Notice::Domains {
            out: self.out.iter().cloned().collect(),
            revision,
        }));
        self.reconcile(now, out);
        self.empty_queue(now, out);
    }

    /// Whether this node's failure domain is out of service.
    pub(super) fn is_out(&self) -> bool {
        self.out.contains(&self.settings.domain)
    }

    fn list_nodes(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.nodes_due {
            return;
        }
        let young = now.since(self.started) < YOUNG;
        let pause = if young { NODES_INTERVAL_YOUNG } else { NODES_INTERVAL };
        self.nodes_due = now.plus(pause);
        let kind = Kind::Nodes;
        let call = Call::List(kind);
        out.push(Effect::Store { call, op: Op::List { kind } });
    }

    fn nodes_listed(&mut self, outcome: Stored, now: Millis) {
        let Stored::Listed { items, .. } = outcome else { return };
        for item in items {
            let Some(Value::Node(record)) = item.value else { continue };
            if item.name == self.settings.node || record.revoked {
                continue;
            }
            if let Ok(addr) = record.gossip.parse() {
                self.directory.seed(addr, now);
            }
        }
    }

    // ---- the lease

    fn renew(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.renewal.pending || now < self.renewal.due {
            return;
        }
        self.renewal.pending = true;
        self.renewal.sent = now;
        let (kind, name) = (Kind::Nodes, self.settings.node.clone());
        if !self.renewal.known {
            let op = Op::Read { kind, name };
            out.push(Effect::Store { call: Call::Recall, op });
            return;
        }
        self.count += 1;
        let value = Value::Node(Record {
            incarnation: self.incarnation,
            count: self.count,
            gossip: self.settings.gossip_addr().to_string(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            revoked: false,
        });
        let expect = self.lease.revision;
        let op = Op::Update { kind, name, expect, value };
        out.push(Effect::Store { call: Call::Renew, op });
    }

    fn renewed(
        &mut self,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.renewal.pending = false;
        self.renewal.due = now;
        match outcome {
            Stored::Done(item) => self.recorded(&item, now, out),
            Stored::Conflict(Some(item)) => {
                let own = self.wrote(&item);
                self.lease.revision = item.revision;
                if !own {
                    self.lose_lease(item.revision, out);
                }
            }
            Stored::Missing | Stored::Conflict(None) => {
                if self.renewal.known {
                    self.lose_lease(0, out);
                }
                self.renewal.known = true;
            }
            _ => self.renewal.due = now.plus(RENEWAL_RETRY),
        }
    }

    fn wrote(&self, item: &Item) -> bool {
        matches!(&item.value, Some(Value::Node(record))
            if record.incarnation == self.incarnation && !record.revoked)
    }

    fn recorded(&mut self, item: &Item, now: Millis, out: &mut Vec<Effect>) {
        if !self.wrote(item) {
            // The record of an earlier process, or one that was revoked.
            self.renewal.known = true;
            self.lease.revision = item.revision;
            return;
        }
        let fresh = !self.renewal.known || self.lease.left(now) == 0;
        self.lease.renewed(item.revision, self.renewal.sent);
        self.renewal.due = self.renewal.sent.plus(RENEWAL);
        if fresh {
            let revision = item.revision;
            out.push(Effect::Notice(Notice::LeaseGained { revision }));
        }
    }

    /// Another node has written the record: ranges may have been given to
    /// others, so the tables are read and claimed again.
    fn lose_lease(&mut self, revision: u64, out: &mut Vec<Effect>) {
        self.lease.lost();
        self.lease.revision = revision;
        self.claimed = false;
        if let Some(feed) = self.feed(Kind::Tables) {
            feed.fresh = false;
        }
        out.push(Effect::Notice(Notice::LeaseEnded));
    }

    // ---- gossip

    fn gossip(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.gossip_due {
            return;
        }
        self.gossip_due = now.plus(self.directory.interval());
        self.gossip_count += 1;
        let left = self.lease.left(now) as u32;
        let lease = (left > 0).then_some((self.lease.revision, left));
        let accepting = self.host.is_ready() && !self.is_out();
        let life = self.host.life().filter(|_| accepting);
        let gossip = Gossip {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            count: self.gossip_count,
            peer_port: self.settings.peers.port(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            life: life.cloned(),
            leaving: self.stop_at.is_some(),
            inflight: self.requests.inflight(),
            slots: self.host.slots(),
            mean_ms: self.requests.mean(now) as u32,
            good: (self.requests.good() * 1_000.0) as u16,
            rate: self.heat.rate(now) as f32,
            capacity: self.capacity(now) as f32,
            lease,
            versions: self.versions,
            suspects: self.requests.suspects(now),
        };
        let to = self.directory.addresses().collect();
        out.push(Effect::Send { to, gossip: Box::new(gossip) });
    }

    /// Requests per second that the upstream can run.
    pub(super) fn capacity(&self, now: Millis) -> f64 {
        let slots = f64::from(self.host.slots().max(1));
        let full = slots * 1_000.0 / self.requests.steady_mean().max(1.0);
        if self.host.is_cold(now) {
            return full.min(self.warmup_rate());
        }
        full
    }

    /// Requests per second that the upstream bears while it is cold.
    pub(super) fn warmup_rate(&self) -> f64 {
        let config = self.config.as_ref();
        let services = config.map(|config| &config.services);
        let own = services.and_then(|all| all.get(&self.settings.service));
        let rate = own.map_or(1.0, |service| service.warmup_rate);
        if rate <= 0.0 { f64::INFINITY } else { rate }
    }

    fn heard(
        &mut self,
        from: std::net::SocketAddr,
        gossip: Gossip,
        now: Millis,
    ) {
        if gossip.node == self.settings.node {
            return;
        }
        let versions = gossip.versions;
        let node = gossip.node.clone();
        if !self.directory.heard(from, gossip, now) {
            return;
        }
        self.losses.remove(&node);
        let own = self.versions;
        for (kind, theirs, ours) in [
            (Kind::Config, versions.config, own.config),
            (Kind::Domains, versions.domains, own.domains),
            (Kind::Tables, versions.tables, own.tables),
        ] {
            let Some(feed) = self.feed(kind) else { continue };
            if theirs <= ours {
                continue;
            }
            if feed.behind.is_none() {
                feed.behind = Some(now.plus(FETCH_DELAY));
            }
        }
    }

    /// Asks a peer for documents that the store has not delivered.
    fn catch_up(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for place in 0..self.feeds.len() {
            let feed = self.feeds[place];
            let Some(due) = feed.behind else { continue };
            if now < due {
                continue;
            }
            let kind = feed.kind;
            let ours = version_of(kind, &self.versions);
            let mut ahead = self.directory.iter().filter(|(node, peer)| {
                version_of(kind, &peer.said.versions) > ours
                    && self.directory.is_live(node, now)
            });
            let from = ahead.next().map(|(_, peer)| peer.requests());
            let Some(from) = from else {
                self.feeds[place].behind = None;
                continue;
            };
            self.feeds[place].behind = Some(now.plus(FETCH_RETRY));
            out.push(Effect::Fetch { from, kind });
        }
    }

    fn fetched(
        &mut self,
        document: Document,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match document {
            Document::Config(revision, config) => {
                self.install(*config, revision, true, out);
            }
            Document::Domains(revision, names) => {
                if revision > self.versions.domains {
                    self.set_domains(names, revision, now, out);
                }
            }
            Document::Tables(tables) => {
                for (service, revision, table) in tables {
                    self.learn_table(service, table, revision, now, out);
                }
                self.table_changed(now, out);
            }
        }
    }

    // ---- the upstream's announcements

    fn announced(
        &mut self,
        ticket: Ticket,
        said: &Announcement,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let ignored = self.misplaced(said);
        let taken = match ignored {
            Some(_) => Taken::Stale,
            None => self.host.announced(said, now),
        };
        if taken == Taken::Stale {
            let reason = ignored.unwrap_or("late, or of an earlier life");
            let upstream = said.life.id.clone();
            out.push(Effect::Notice(Notice::Ignored { upstream, reason }));
            let grant = Grant::default();
            out.push(Effect::Acknowledge { ticket, grant });
            return;
        }
        if taken == Taken::NewLife {
            self.requests.upstream_restarted();
            let id = said.life.id.clone();
            out.push(Effect::Notice(Notice::UpstreamStarted { id }));
            self.gossip_due = now;
        }
        if self.host.is_leaving() {
            self.empty_queue(now, out);
        }
        self.reconcile(now, out);
        if self.is_claiming() && self.host.is_ready() {
            self.answer_parked(now, out);
            self.parked = Some((ticket, now));
            return;
        }
        self.acknowledge(ticket, now, out);
    }

    fn acknowledge(
        &mut self,
        ticket: Ticket,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let grant = self.grant(now);
        self.host.answered(&grant, now);
        out.push(Effect::Acknowledge { ticket, grant });
        self.owners_changed(now, out);
        self.pump(now, out);
    }

    /// Whether the node has yet to claim its ranges for the present life of
    /// its upstream.
    fn is_claiming(&self) -> bool {
        let service = &self.settings.service;
        let Some(held) = self.tables.get(service) else {
            return self.config.is_none() || !self.tables_current();
        };
        let life = self.host.life();
        let mut own = held.table.of(&self.settings.node);
        !self.claimed || own.any(|range| range.life.as_ref() != life)
    }

    /// Answers an announcement that waits for a claim.
    fn answer_parked(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if let Some((ticket, _)) = self.parked.take() {
            self.acknowledge(ticket, now, out);
        }
    }

    /// Answers an announcement that has waited for a claim, once that is
    /// done or has taken too long.
    fn check_parked(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some((_, since)) = self.parked else { return };
        if !self.is_claiming() || now.since(since) >= PARKED_MAX {
            self.answer_parked(now, out);
        }
    }

    /// Why an announcement does not concern this node's upstream.
    fn misplaced(&self, said: &Announcement) -> Option<&'static str> {
        if said.address != self.settings.upstream.to_string() {
            return Some("its address is not that of the upstream");
        }
        if said.service != self.settings.service {
            return Some("its service is not that of the upstream");
        }
        None
    }

    /// What the upstream is to hold from now on.
    fn grant(&mut self, now: Millis) -> Grant {
        let left = self.lease.left(now);
        let longest_hold = HOLD.min(self.settings.bounds.hold_ms());
        let hold_ms = shortened(shortened(left)).min(longest_hold);
        let held = self.tables.get(&self.settings.service);
        if hold_ms == 0 || !self.claimed {
            return Grant::default();
        }
        let Some(held) = held else { return Grant::default() };
        let stays = !self.host.is_leaving() && !self.is_out();
        let mut granted = Vec::new();
        for range in held.table.of(&self.settings.node) {
            if !stays || range.life.as_ref() != self.host.life() {
                continue;
            }
            let staying = self.moves.staying(range.first, range.last);
            granted.extend(staying.into_iter().map(|(first, last)| {
                Granted {
                    first,
                    last,
                    fence: range.fence,
                    // The token matters only until the upstream has the range.
                    handover: range
                        .handover
                        .clone()
                        .filter(|_| !self.host.holds(first, now)),
                }
            }));
        }
        Grant::of(granted, hold_ms)
    }

    fn upstream_down(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.host.is_ready() {
            return;
        }
        self.host.unreachable();
        self.gossip_due = now;
        out.push(Effect::Notice(Notice::UpstreamDown));
        self.suspect(now);
        self.empty_queue(now, out);
    }

    /// The rest of the node follows a change of a table.
    fn table_changed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.reconcile(now, out);
        self.owners_changed(now, out);
    }

    fn peer_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.peer_ended(ticket, outcome, now, out);
        self.pump(now, out);
    }

    fn upstream_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Some(left) = outcome.cold_ms {
            self.host.chill(left, now);
        }
        self.run_ended(ticket, outcome, now, out);
        self.pump(now, out);
    }

    /// Time after which a silent upstream has surely lost its ranges.
    pub(super) fn upstream_gone(&self, now: Millis) -> bool {
        self.host.has_left() || self.host.silence(now) > longest(HOLD)
    }
}

fn version_of(kind: Kind, versions: &Versions) -> u64 {
    match kind {
        Kind::Config => versions.config,
        Kind::Domains => versions.domains,
        Kind::Tables => versions.tables,
        Kind::Nodes => 0,
    }
}
