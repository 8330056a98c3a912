//! The fleet's reducer: the state of a node, and where each event goes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::fleet::combine::Gathered;
use crate::fleet::config::Config;
use crate::fleet::documents::{Feed, Versioned};
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Document, Event, Kind, Load, Outcome};
use crate::fleet::gossip::{Directory, Versions};
use crate::fleet::heat::Heat;
use crate::fleet::host::{HOLD, Host};
use crate::fleet::lease::{Lease, longest};
use crate::fleet::moves::Moves;
use crate::fleet::reconcile::Edit;
use crate::fleet::renewal::Renewal;
use crate::fleet::request::Requests;
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;
use crate::fleet::takeover::Loss;
use crate::id::Ticket;

/// Time after a stop signal for which the node keeps taking requests: two
/// questions for readiness, a second apart, and their answers, in
/// milliseconds.
const STOP_SERVE: u64 = 2_300;

/// Time before the end of the grace period at which the process ends with
/// requests outstanding, in milliseconds.
const STOP_SPARE: u64 = 400;

/// Interval at which ownership is reviewed without an event, in milliseconds.
/// A review compares the whole table, which has hundreds of ranges.
const REVIEW_INTERVAL: u64 = 100;

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
    /// Since when the own failure domain is known to be out of service.
    pub(super) out_since: Option<Millis>,
    pub(super) tables: BTreeMap<String, Versioned>,
    pub(super) lease: Lease,
    /// The revision of the record with which the lease was gained; 0 without
    /// a lease.
    pub(super) term: u64,
    pub(super) host: Host,
    pub(super) directory: Directory,
    pub(super) heat: Heat,
    pub(super) edit: Edit,
    pub(super) gathered: Gathered,
    pub(super) moves: Moves,
    /// When each node last got a range: its load does not show it yet.
    pub(super) received: BTreeMap<String, Millis>,
    pub(super) losses: BTreeMap<String, Loss>,
    pub(super) requests: Requests,
    pub(super) stop_at: Option<Millis>,
    pub(super) feeds: [Feed; 3],
    pub(super) renewal: Renewal,
    /// An announcement that waits for a claim, and since when.
    pub(super) parked: Option<(Ticket, Millis)>,
    pub(super) count: u64,
    pub(super) gossip_count: u64,
    pub(super) gossip_due: Millis,
    pub(super) nodes_due: Millis,
    review_due: Millis,
    pub(super) store_up: bool,
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
            out_since: None,
            tables: BTreeMap::new(),
            lease: Lease::default(),
            term: 0,
            host: Host::new(now),
            directory: Directory::default(),
            heat: Heat::new(now),
            edit: Edit::new(now),
            gathered: Gathered::default(),
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
            review_due: now,
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
            Event::Proposed(proposal) => self.proposed(*proposal, now, out),
            Event::Announced { ticket, announcement } => {
                self.announced(ticket, &announcement, now, out);
            }
            Event::Left { id } => {
                self.host.left(&id, now);
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
                    let table = Table::clone(&held.table);
                    (service.clone(), held.revision, table)
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
        if now >= self.review_due {
            self.review_due = now.plus(REVIEW_INTERVAL);
            self.watch_losses(now, out);
            self.reconcile(now, out);
        }
        if !self.gathered.is_empty() {
            self.reconcile(now, out);
        }
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
    /// have ended, or the time given is over: then the others are refused, so
    /// that no connection ends without an answer.
    fn end(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(since) = self.stop_at else { return };
        let age = now.since(since);
        let limit = self.settings.bounds.stop_ms().saturating_sub(STOP_SPARE);
        if age >= limit {
            self.expire_all(now, out);
        }
        if self.requests.is_empty() && age >= STOP_SERVE {
            out.push(Effect::Exit);
        }
    }

    /// Whether the node is so close to its end that it takes no new work
    /// from peers.
    pub(super) fn is_closing(&self, now: Millis) -> bool {
        self.stop_at.is_some_and(|at| now.since(at) >= STOP_SERVE)
    }

    /// The rest of the node follows a change of a table.
    pub(super) fn table_changed(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.reconcile(now, out);
        self.owners_changed(now, out);
    }

    pub(super) fn peer_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.peer_ended(ticket, outcome, now, out);
        self.pump(now, out);
    }

    pub(super) fn upstream_done(
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

    /// Whether requests may be sent to the upstream: while it leaves, or its
    /// failure domain is out of service, only for a time, in which its keys
    /// are handed over.
    pub(super) fn is_serving(&self, now: Millis) -> bool {
        let bounds = &self.settings.bounds;
        let over = |since: Option<Millis>, span: u64| {
            since.is_some_and(|since| now.since(since) >= span)
        };
        self.host.is_up()
            && !over(self.host.leaving_since(), bounds.drain_ms())
            && !over(self.out_since, bounds.evacuate_ms())
    }

    /// Time after which a silent upstream has surely lost its ranges.
    pub(super) fn upstream_gone(&self, now: Millis) -> bool {
        self.host.has_left() || self.host.silence(now) > longest(HOLD)
    }
}
