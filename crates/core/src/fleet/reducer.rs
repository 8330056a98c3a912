//! The fleet's reducer: the state of one node and the dispatch of its events.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::fleet::config::Config;
use crate::fleet::config_proof::ConfigProof;
use crate::fleet::departures::Departures;
use crate::fleet::documents::{Feed, VersionedTable};
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Document, Event, Load, ObjectKind, Outcome};
use crate::fleet::exit::WaitingExits;
use crate::fleet::gossip::{Directory, Versions};
use crate::fleet::grant_calls::GrantCalls;
use crate::fleet::key_load::KeyLoad;
use crate::fleet::lease::{Lease, extend_for_drift};
use crate::fleet::moves::Moves;
use crate::fleet::proposal::PendingProposals;
use crate::fleet::reconcile::Edit;
use crate::fleet::renewal::Renewal;
use crate::fleet::request::Requests;
use crate::fleet::restore::Restore;
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;
use crate::fleet::takeover::Takeover;
use crate::fleet::upstream::{LocalUpstream, MAX_GRANT_MS};
use crate::id::Ticket;

/// Time after a stop signal during which the node still accepts requests:
/// enough for two readiness probes, one second apart, and their answers.
const STOP_ACCEPT_MS: u64 = 2_300;

/// Time before the end of the stop period at which requests that are still
/// outstanding are refused, so that the process can exit in time.
const STOP_MARGIN_MS: u64 = 400;

/// Time before that in which the answers to requests that arrived during the
/// stop period must have come, so that they arrive at their callers.
const STOP_ANSWER_MS: u64 = 200;

/// Interval at which ownership is checked without an event. A check compares
/// the whole table, which has hundreds of ranges, so it does not run on each
/// tick.
const REVIEW_INTERVAL_MS: u64 = 100;

/// The state of one node in a fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) started: Millis,
    pub(super) config: Option<Rc<Config>>,
    pub(super) versions: Versions,
    /// Store revision of the configuration in force.
    pub(super) config_revision: u64,
    pub(super) domains_out: BTreeSet<String>,
    /// Store revision at which the set of domains out of service was last
    /// confirmed.
    pub(super) domains_checked: u64,
    /// The domains out of service as the store last showed them.
    pub(super) domains_listed: BTreeSet<String>,
    /// Domains that were out of service before a restore of the store. They
    /// stay so until the operator has had the time to write them again.
    pub(super) domains_kept: BTreeSet<String>,
    /// When this node learned that its failure domain is out of service.
    pub(super) out_since: Option<Millis>,
    pub(super) tables: BTreeMap<String, VersionedTable>,
    pub(super) lease: Lease,
    /// Lease term: the record revision at which the lease was acquired; 0
    /// without a lease.
    pub(super) term: u64,
    pub(super) upstream: LocalUpstream,
    pub(super) calls: GrantCalls,
    pub(super) directory: Directory,
    pub(super) key_load: KeyLoad,
    pub(super) edit: Edit,
    pub(super) pending_proposals: PendingProposals,
    pub(super) moves: Moves,
    /// When each node was last assigned a range: its reported load does not
    /// include that range yet.
    pub(super) last_assigned: BTreeMap<String, Millis>,
    pub(super) takeovers: BTreeMap<String, Takeover>,
    pub(super) requests: Requests,
    /// When the node was first asked to stop.
    pub(super) stopping_since: Option<Millis>,
    pub(super) feeds: [Feed; 3],
    pub(super) renewal: Renewal,
    pub(super) restore: Restore,
    pub(super) departures: Departures,
    /// Announcement whose answer waits until the node has claimed its ranges,
    /// and when it arrived.
    pub(super) waiting_announcement: Option<(Ticket, Millis)>,
    pub(super) config_proof: ConfigProof,
    pub(super) waiting_exits: WaitingExits,
    pub(super) renewal_count: u64,
    pub(super) gossip_count: u64,
    pub(super) gossip_due: Millis,
    pub(super) nodes_due: Millis,
    review_due: Millis,
    pub(super) store_up: bool,
}

impl Fleet {
    /// Creates the state of a node that starts at `now`.
    ///
    /// `incarnation` and `seed` are random numbers drawn by the caller.
    #[must_use]
    pub fn new(
        settings: Settings,
        incarnation: u64,
        seed: u64,
        now: Millis,
    ) -> Self {
        let slack = settings.bounds.retry_slack.unwrap_or(0.0);
        let share = settings.bounds.retry_share.unwrap_or(0.0);
        let mode = settings.grants;
        Self {
            settings,
            incarnation,
            random: Pcg64Mcg::seed_from_u64(seed),
            started: now,
            config: None,
            versions: Versions::default(),
            config_revision: 0,
            domains_out: BTreeSet::new(),
            domains_checked: 0,
            domains_listed: BTreeSet::new(),
            domains_kept: BTreeSet::new(),
            out_since: None,
            tables: BTreeMap::new(),
            lease: Lease::default(),
            term: 0,
            upstream: LocalUpstream::new(mode, now),
            calls: GrantCalls::default(),
            directory: Directory::default(),
            key_load: KeyLoad::new(now),
            edit: Edit::new(now),
            pending_proposals: PendingProposals::default(),
            moves: Moves::default(),
            last_assigned: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            requests: Requests::new(share, slack),
            stopping_since: None,
            feeds: [
                ObjectKind::Config,
                ObjectKind::Domains,
                ObjectKind::Tables,
            ]
            .map(|kind| Feed::new(kind, now)),
            renewal: Renewal { due: now, ..Renewal::default() },
            restore: Restore::default(),
            departures: Departures::default(),
            waiting_announcement: None,
            config_proof: ConfigProof::default(),
            waiting_exits: WaitingExits::new(),
            renewal_count: 0,
            gossip_count: 0,
            gossip_due: now,
            nodes_due: now,
            review_due: now,
            store_up: true,
        }
    }

    /// Handles one event at `now` and appends the resulting effects to `out`.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::StoreDone { call, outcome } => {
                self.on_store_done(call, outcome, now, out);
            }
            Event::Gossip { from, gossip } => {
                self.on_gossip(from, *gossip, now, out);
            }
            Event::ConfigAge { asked, version, age_ms } => {
                self.on_config_proof(asked, version, age_ms);
            }
            Event::Document(document) => self.on_document(document, now, out),
            Event::Proposal(proposal) => self.on_proposal(*proposal, now, out),
            Event::Announced { ticket, announcement } => {
                self.on_announcement(ticket, &announcement, now, out);
            }
            Event::CallDone { ticket, outcome } => {
                self.on_call_done(ticket, outcome, now, out);
            }
            Event::UpstreamLeft { ticket, id } => {
                self.on_upstream_left(ticket, id, now, out);
            }
            Event::Request(arrival) => self.on_request(arrival, now, out),
            Event::PeerDone { ticket, outcome } => {
                self.on_peer_done(ticket, outcome, now, out);
            }
            Event::UpstreamDone { ticket, outcome } => {
                self.on_upstream_done(ticket, outcome, now, out);
            }
            Event::UpstreamDown => self.on_upstream_down(now, out),
            Event::Cancelled { ticket } => self.on_cancelled(ticket, now, out),
            Event::Reloaded(settings) => self.reload(&settings, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Whether the readiness probe succeeds, so that callers are routed to
    /// this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.stopping_since.is_none()
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// The configuration in force; `None` until one has been received.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// The latest known era of the store; 0 before its first answer, or if it
    /// does not name eras.
    #[must_use]
    pub fn store_era(&self) -> u64 {
        self.restore.era()
    }

    /// Store revision of the configuration in force; 0 if there is none, or if
    /// it came from a peer.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// The document of this kind for a peer that fetches it; `None` if this
    /// node has none, or for kinds that peers do not pass on.
    #[must_use]
    pub fn document(&self, kind: ObjectKind) -> Option<Document> {
        match kind {
            ObjectKind::Config => {
                let config = self.config.as_ref()?;
                let config = Box::new(Config::clone(config));
                Some(Document::Config(config))
            }
            ObjectKind::Domains => {
                let out = self.domains_out.clone();
                Some(Document::Domains(self.versions.domains, out))
            }
            ObjectKind::Tables => {
                let tables = self.tables.iter().map(|(service, stored)| {
                    let table = Table::clone(&stored.table);
                    (service.clone(), stored.revision, table)
                });
                Some(Document::Tables(tables.collect()))
            }
            ObjectKind::Nodes => None,
        }
    }

    /// Load of the local upstream, which is sent to peers with each answer.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let inflight = self.requests.inflight();
        let mean_ms = self.requests.mean(now) as u32;
        Load { inflight, mean_ms }
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.directory.tick(now);
        self.end_restore(now, out);
        self.check_documents(now);
        self.follow_feeds(now, out);
        self.renew(now, out);
        self.list_nodes(now, out);
        self.gossip(now, out);
        self.fetch_missing_documents(now, out);
        self.renew_config_proof(now, out);
        if now >= self.review_due {
            self.review_due = now.plus(REVIEW_INTERVAL_MS);
            self.track_lost_nodes(now, out);
            self.reconcile(now, out);
            self.call_upstream(now, out);
        }
        if !self.pending_proposals.is_empty() {
            self.reconcile(now, out);
        }
        self.check_waiting_announcement(now, out);
        self.answer_exits(now, out);
        self.tick_requests(now, out);
        self.finish_stop(now, out);
    }

    /// Applies the bounds of new settings. All other settings need a restart,
    /// since their addresses are already bound.
    fn reload(&mut self, settings: &Settings, out: &mut Vec<Effect>) {
        self.settings.bounds = settings.bounds.clone();
        let partly = self.settings != *settings;
        out.push(Effect::Notice(Notice::Reloaded { partly }));
    }

    fn stop(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.gossip_due = now;
        let requests = self.requests.len();
        out.push(Effect::Notice(Notice::Stopping { requests }));
    }

    /// Exits once no new requests are routed here and all requests have ended.
    /// Shortly before the stop period is over, refuses the remaining requests,
    /// so that no connection closes without an answer.
    fn finish_stop(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(since) = self.stopping_since else { return };
        let age = now.since(since);
        let limit =
            self.settings.bounds.stop_ms().saturating_sub(STOP_MARGIN_MS);
        if age >= limit {
            self.expire_all(now, out);
        }
        if self.requests.is_empty() && age >= STOP_ACCEPT_MS {
            out.push(Effect::Exit);
        }
    }

    /// Whether the node is so late in its stop period that it accepts no new
    /// work.
    pub(super) fn is_closing(&self, now: Millis) -> bool {
        self.stopping_since.is_some_and(|at| now.since(at) >= STOP_ACCEPT_MS)
    }

    /// Time in which a request that arrives now must have ended, so that its
    /// answer arrives before the process ends; `u64::MAX` unless the node is
    /// stopping.
    pub(super) fn stop_left_ms(&self, now: Millis) -> u64 {
        let Some(since) = self.stopping_since else { return u64::MAX };
        let margin_ms = STOP_MARGIN_MS + STOP_ANSWER_MS;
        let limit = self.settings.bounds.stop_ms().saturating_sub(margin_ms);
        limit.saturating_sub(now.since(since))
    }

    /// Updates everything that depends on a table after it has changed.
    pub(super) fn on_table_changed(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.reconcile(now, out);
        self.call_upstream(now, out);
        self.on_owners_changed(now, out);
    }

    pub(super) fn on_peer_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.on_forward_ended(ticket, outcome, now, out);
        self.dispatch_queued(now, out);
    }

    pub(super) fn on_upstream_done(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.apply_condition(ticket, &outcome, now, out);
        self.on_run_ended(ticket, outcome, now, out);
        self.dispatch_queued(now, out);
    }

    /// Whether requests may be sent to the local upstream. While it drains, or
    /// its failure domain is out of service, they may be for a limited time,
    /// in which its keys are handed over. A process that has not read its
    /// node's record, or only one from before a restore of the store, may not
    /// know that the upstream is leaving.
    pub(super) fn is_serving(&self, now: Millis) -> bool {
        let bounds = &self.settings.bounds;
        let over = |since: Option<Millis>, span: u64| {
            since.is_some_and(|since| now.since(since) >= span)
        };
        self.renewal.record_known
            && now >= self.renewal.recall_until
            && self.upstream.is_up()
            && !self.upstream.was_leaving_at_start()
            && !over(self.upstream.leaving_since(), bounds.drain_ms())
            && !over(self.out_since, bounds.evacuate_ms())
    }

    /// Whether the upstream has left, or has been silent for so long that it
    /// is considered lost.
    pub(super) fn upstream_gone(&self, now: Millis) -> bool {
        self.upstream.has_left()
            || self.upstream.silence_ms(now) > extend_for_drift(MAX_GRANT_MS)
    }
}
