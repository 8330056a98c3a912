//! Documents in the store: watching them for changes, and applying those
//! changes.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::clock::Millis;
use crate::fleet::config::Config;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Item, ObjectKind, StoreOutcome, Value};
use crate::fleet::gossip::Versions;
use crate::fleet::reducer::Fleet;
use crate::fleet::revision::{era_of, number_of, qualify};
use crate::fleet::settings::Settings;
use crate::fleet::table::Table;

/// Longest wait of a watch call. It need not be short: gossip reveals versions
/// that the watch of one node has missed, and regular listings those that all
/// watches have missed.
const MAX_WATCH_WAIT_MS: u64 = 25_000;

/// Delay after a failed store call. Doubles with each further failure, since
/// rejected calls are billed as well.
const STORE_RETRY_MS: u64 = 250;

/// Delay between a change of the configuration or the domains and the next
/// watch. Changes in quick succession then cost a single call, and are still
/// applied within a fraction of the time allowed.
const CHANGE_PAUSE_MS: u64 = 300;

/// Most doublings of the delay. Any successful call ends the delay for all
/// feeds, and lease renewals are more frequent.
const MAX_STORE_RETRY_DOUBLING_COUNT: u32 = 3;

/// Interval between listings of the node records. They only provide addresses
/// of nodes that have not been heard of by gossip.
const NODES_INTERVAL_MS: u64 = 10_000;

/// Interval between listings of the node records during startup, when few
/// nodes are known.
const NODES_INTERVAL_STARTUP_MS: u64 = 1_000;

/// Time after the start of the process that counts as startup.
const STARTUP_MS: u64 = 5_000;

/// Time for which an upstream is treated as cold when its domain returns to
/// service. The next announcement gives the actual value.
const REENABLED_COLD_MS: u64 = 1_500;

/// State of watching one kind of objects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Feed {
    pub(super) kind: ObjectKind,
    /// Store revision up to which changes are known; `None` before the first
    /// listing.
    pub(super) revision: Option<u64>,
    pub(super) listing: bool,
    pub(super) watching: bool,
    /// Cleared to request another listing.
    pub(super) current: bool,
    /// When the latest listing was sent.
    list_sent: Millis,
    pub(super) retry_due: Millis,
    /// Consecutive failed calls.
    pub(super) failures: u32,
    /// When to fetch the document from a peer that has a later version; `None`
    /// if no peer has one.
    pub(super) fetch_due: Option<Millis>,
    /// Number of fetches since a peer was found to have a later version.
    pub(super) fetches: u32,
    /// Highest version that gossip has shown.
    pub(super) heard: u64,
    /// The value of `heard` when the latest listing was sent.
    list_heard: u64,
    /// Version up to which the latest listing cannot have missed a change.
    listed: u64,
}

impl Feed {
    pub(super) fn new(kind: ObjectKind, now: Millis) -> Self {
        Self {
            kind,
            revision: None,
            listing: false,
            watching: false,
            current: true,
            list_sent: now,
            retry_due: now,
            failures: 0,
            fetch_due: None,
            fetches: 0,
            heard: 0,
            list_heard: 0,
            listed: 0,
        }
    }

    /// Starts again after a restore of the store: with a listing, and without
    /// the watch, since the revision that it follows no longer means the same.
    pub(super) fn begin_era(&mut self, now: Millis) {
        self.revision = None;
        self.current = false;
        self.watching = false;
        (self.retry_due, self.failures) = (now, 0);
    }

    /// Requests a listing if gossip has shown a revision that is later than
    /// `ours` and that no listing can have missed.
    pub(super) fn list_if_behind(&mut self, ours: u64) {
        if self.heard > ours.max(self.listed) && !self.listing {
            self.current = false;
        }
    }

    fn failed(&mut self, now: Millis) {
        let doublings = self.failures.min(MAX_STORE_RETRY_DOUBLING_COUNT);
        self.retry_due = now.plus(STORE_RETRY_MS << doublings);
        self.failures += 1;
    }
}

/// A table and its revision in the store.
#[derive(Clone, Debug)]
pub(super) struct VersionedTable {
    pub(super) revision: u64,
    pub(super) table: Rc<Table>,
}

impl Fleet {
    pub(super) fn follow_feeds(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for feed in &mut self.feeds {
            if now < feed.retry_due {
                continue;
            }
            let kind = feed.kind;
            if (feed.revision.is_none() || !feed.current) && !feed.listing {
                feed.listing = true;
                feed.current = true;
                feed.list_sent = now;
                feed.list_heard = feed.heard;
                let call = Call::List(kind);
                out.push(Effect::Store { call, op: Op::List { kind } });
            }
            let Some(after) = feed.revision else { continue };
            if feed.watching {
                continue;
            }
            feed.watching = true;
            let call = Call::Watch { kind, after };
            let op = Op::Watch { kind, after, wait_ms: MAX_WATCH_WAIT_MS };
            out.push(Effect::Store { call, op });
        }
    }

    /// Lists the operator's documents at regular intervals if this is the node
    /// of its failure domain that checks them. A watch can stay silent or skip
    /// a change without an error, on all nodes at once. Tables need no check,
    /// since the node that writes one has it.
    pub(super) fn check_documents(&mut self, now: Millis) {
        let bounds = &self.settings.bounds;
        let (config_ms, domains_ms) =
            (bounds.config_check_ms(), bounds.domains_check_ms());
        let mut due = Vec::new();
        for (index, feed) in self.feeds.iter().enumerate() {
            let interval_ms = match feed.kind {
                ObjectKind::Config => config_ms,
                ObjectKind::Domains => domains_ms,
                ObjectKind::Nodes | ObjectKind::Tables => continue,
            };
            if !feed.listing && now.since(feed.list_sent) >= interval_ms {
                due.push(index);
            }
        }
        if due.is_empty() || !self.is_checking_node(now) {
            return;
        }
        for index in due {
            self.feeds[index].current = false;
        }
    }

    /// Whether this node is the first live one of its failure domain by name.
    /// With a node for each domain, a domain that is cut off from the others
    /// still learns of changes.
    fn is_checking_node(&self, now: Millis) -> bool {
        let Settings { node: own, domain, .. } = &self.settings;
        let mut earlier = self.directory.iter().filter(|(node, peer)| {
            *node < own.as_str() && peer.gossip.domain == *domain
        });
        !earlier.any(|(node, _)| self.directory.is_live(node, now))
    }

    pub(super) fn feed(&mut self, kind: ObjectKind) -> Option<&mut Feed> {
        self.feeds.iter_mut().find(|feed| feed.kind == kind)
    }

    /// Whether the tables have been listed since the lease was last lost.
    pub(super) fn are_tables_current(&self) -> bool {
        let feed = self.feeds.iter().find(|f| f.kind == ObjectKind::Tables);
        feed.is_some_and(|f| f.revision.is_some() && f.current && !f.listing)
    }

    pub(super) fn on_store_done(
        &mut self,
        call: Call,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let up = !matches!(
            outcome,
            StoreOutcome::Unavailable | StoreOutcome::Unknown
        );
        let outcome = if self.accepts_era(&outcome, now, out) {
            outcome
        } else {
            StoreOutcome::Unknown
        };
        if let Call::Relayed(_) = call {
            // Peers only read and write this node's own record for it.
            self.on_renewed(outcome, now, out);
            return self.answer_exits(now, out);
        }
        if up != self.store_up {
            self.store_up = up;
            for feed in self.feeds.iter_mut().filter(|_| up) {
                (feed.retry_due, feed.failures) = (now, 0);
            }
            out.push(Effect::Notice(Notice::Store { up }));
        }
        match call {
            Call::List(ObjectKind::Nodes) => self.on_node_list(outcome, now),
            Call::List(kind) => self.on_listed(kind, outcome, now, out),
            Call::Watch { kind, after } => {
                // It followed a revision of an earlier era.
                if era_of(after) == self.restore.era() {
                    self.on_changed(kind, outcome, now, out);
                }
            }
            Call::Renew | Call::ReadRecord => {
                self.on_renewed(outcome, now, out);
                self.answer_exits(now, out);
            }
            Call::Edit(service) => {
                self.on_edit_done(&service, outcome, now, out);
                self.check_waiting_announcement(now, out);
            }
            Call::Inspect(node) => self.on_inspected(&node, outcome, now),
            Call::Revoke(node) => self.on_revoked(&node, &outcome, now, out),
            Call::Relayed(_) => {}
        }
    }

    pub(super) fn on_listed(
        &mut self,
        kind: ObjectKind,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(feed) = self.feed(kind) else { return };
        feed.listing = false;
        let StoreOutcome::Listed { items, revision } = outcome else {
            feed.current = false;
            feed.failed(now);
            return;
        };
        feed.failures = 0;
        feed.listed = match kind {
            ObjectKind::Config => feed.list_heard,
            _ => revision,
        };
        feed.revision = Some(feed.revision.unwrap_or(0).max(revision));
        if kind == ObjectKind::Domains {
            let names = items.into_iter().map(|item| item.name);
            let names = names.filter(|name| !name.is_empty()).collect();
            self.apply_domains(names, revision, now, out);
            return;
        }
        let sent = feed.list_sent;
        let usable = !items
            .iter()
            .any(|item| matches!(item.value, Some(Value::Unusable(_))));
        for item in items {
            self.apply_item(item, now, out);
        }
        if kind == ObjectKind::Config && usable {
            self.on_config_listed(sent);
        }
        self.on_table_changed(now, out);
    }

    pub(super) fn on_changed(
        &mut self,
        kind: ObjectKind,
        outcome: StoreOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(feed) = self.feed(kind) else { return };
        feed.watching = false;
        match outcome {
            StoreOutcome::Changed { items, revision } => {
                feed.failures = 0;
                feed.revision = Some(feed.revision.unwrap_or(0).max(revision));
                if kind != ObjectKind::Tables && !items.is_empty() {
                    feed.retry_due = now.plus(CHANGE_PAUSE_MS);
                }
                self.apply_changes(kind, items, revision, now, out);
            }
            StoreOutcome::Compacted => feed.revision = None,
            _ => {
                // A watch may be interrupted at any time and resumes from the
                // known revision. If that fails too, a listing may still
                // succeed.
                if feed.failures > 0 {
                    feed.revision = None;
                }
                feed.failed(now);
            }
        }
    }

    pub(super) fn apply_changes(
        &mut self,
        kind: ObjectKind,
        items: Vec<Item>,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if items.is_empty() {
            return;
        }
        if kind != ObjectKind::Domains {
            for item in items {
                self.apply_item(item, now, out);
            }
            self.on_table_changed(now, out);
            return;
        }
        let mut names = self.domains_listed.clone();
        for item in items {
            match item.value {
                Some(_) => names.insert(item.name),
                None => names.remove(&item.name),
            };
        }
        self.apply_domains(names, revision, now, out);
    }

    /// Applies the current state of an object.
    pub(super) fn apply_item(
        &mut self,
        item: Item,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let revision = item.revision;
        match item.value {
            Some(Value::Config(config)) => {
                self.apply_config(*config, Some(revision), out);
            }
            Some(Value::Table(table)) => {
                self.apply_table(item.name, table, revision, now, out);
            }
            Some(Value::Unusable(error)) => {
                let name = item.name;
                out.push(Effect::Notice(Notice::Rejected { name, error }));
            }
            Some(Value::Out | Value::Node(_)) | None => {}
        }
    }

    /// Applies a configuration of this store revision, or of a peer.
    pub(super) fn apply_config(
        &mut self,
        config: Config,
        revision: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        let version = config.version;
        if self.config.is_some() && version <= self.versions.config {
            return;
        }
        self.versions.config = version;
        self.config = Some(Rc::new(config));
        let relayed = revision.is_none();
        let revision = revision.unwrap_or(0);
        self.config_revision = revision;
        out.push(Effect::Notice(Notice::Config {
            version,
            revision,
            relayed,
        }));
    }

    pub(super) fn apply_table(
        &mut self,
        service: String,
        table: Table,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Err(error) = table.check_at(era_of(revision)) {
            let error = error.to_string();
            let name = service;
            out.push(Effect::Notice(Notice::Rejected { name, error }));
            return;
        }
        self.observe_era(era_of(revision), now, out);
        self.restore.record_stored(&service, revision);
        // A table that a restore has brought back is as late as it was before.
        let revision = qualify(table.era, number_of(revision));
        let known = self.tables.get(&service);
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.versions.tables = self.versions.tables.max(revision);
        let own = table.ranges_of(&self.settings.node).count();
        out.push(Effect::Notice(Notice::Table {
            service: service.clone(),
            revision,
            own,
        }));
        let mine = &self.settings.node;
        if service == self.settings.service {
            self.moves.prune(&table, mine);
            self.key_load.retain(|key| table.range_at(key).node == *mine);
            let old = self.tables.get(&service).map(|stored| &stored.table);
            for range in &table.ranges {
                let before = old.map(|old| &old.range_at(range.first).node);
                if before.is_some_and(|before| *before != range.node) {
                    self.last_assigned.insert(range.node.clone(), now);
                }
            }
        }
        let table = Rc::new(table);
        self.tables.insert(service, VersionedTable { revision, table });
    }

    pub(super) fn apply_domains(
        &mut self,
        mut names: BTreeSet<String>,
        revision: u64,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if revision < self.known_revision(ObjectKind::Domains) {
            return;
        }
        self.domains_checked = revision;
        self.domains_listed.clone_from(&names);
        names.extend(self.domains_kept.iter().cloned());
        // A set that has not changed keeps its version, or each listing would
        // have all other nodes fetch it.
        if self.domains_out == names && self.versions.domains > 0 {
            return;
        }
        self.versions.domains = revision;
        if self.domains_out == names {
            return;
        }
        let own = &self.settings.domain;
        if self.domains_out.contains(own) && !names.contains(own) {
            self.upstream.set_cold(REENABLED_COLD_MS, now);
        }
        self.domains_out = names;
        self.out_since =
            self.is_domain_out().then_some(self.out_since.unwrap_or(now));
        out.push(Effect::Notice(Notice::Domains {
            out: self.domains_out.iter().cloned().collect(),
            revision,
        }));
        self.reconcile(now, out);
        self.refuse_queued(now, out);
    }

    /// Store revision up to which the documents of this kind are known.
    pub(super) fn known_revision(&self, kind: ObjectKind) -> u64 {
        let version = version_of(kind, &self.versions);
        match kind {
            ObjectKind::Domains => version.max(self.domains_checked),
            _ => version,
        }
    }

    /// Whether this node's failure domain is out of service.
    pub(super) fn is_domain_out(&self) -> bool {
        self.domains_out.contains(&self.settings.domain)
    }

    pub(super) fn list_nodes(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.nodes_due {
            return;
        }
        let starting = now.since(self.started) < STARTUP_MS;
        let pause = if starting {
            NODES_INTERVAL_STARTUP_MS
        } else {
            NODES_INTERVAL_MS
        };
        self.nodes_due = now.plus(pause);
        let kind = ObjectKind::Nodes;
        let call = Call::List(kind);
        out.push(Effect::Store { call, op: Op::List { kind } });
    }

    pub(super) fn on_node_list(&mut self, outcome: StoreOutcome, now: Millis) {
        let StoreOutcome::Listed { items, .. } = outcome else { return };
        for item in items {
            let Some(Value::Node(record)) = item.value else { continue };
            let crashes = &mut self.requests.crashes;
            crashes.adopt_record(&record.harmful, now);
            if item.name == self.settings.node || record.revoked {
                continue;
            }
            if let Ok(addr) = record.gossip.parse() {
                self.directory.add_seed(addr, now);
            }
        }
    }
}

/// The version of one kind of documents; 0 for records of nodes, which peers
/// do not pass on.
pub(super) fn version_of(kind: ObjectKind, versions: &Versions) -> u64 {
    match kind {
        ObjectKind::Config => versions.config,
        ObjectKind::Domains => versions.domains,
        ObjectKind::Tables => versions.tables,
        ObjectKind::Nodes => 0,
    }
}
