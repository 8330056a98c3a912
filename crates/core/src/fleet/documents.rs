//! Documents of the store: how the node follows them, and what it makes of
//! their changes.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::clock::Millis;
use crate::fleet::config::Config;
use crate::fleet::effect::{Effect, Notice, Op};
use crate::fleet::event::{Call, Item, Kind, Stored, Value};
use crate::fleet::gossip::Versions;
use crate::fleet::reducer::Fleet;
use crate::fleet::table::Table;

/// Longest wait of a watch, in milliseconds. Gossip shows a version that a
/// watch has missed, so it need not be short.
const WATCH_WAIT: u64 = 25_000;

/// Pause after a failed call to the store, in milliseconds. It doubles with
/// each further failure: refused calls are priced as well.
const STORE_RETRY: u64 = 250;

/// Pause after a change of the configuration or of the domains before the
/// next one is waited for, in milliseconds: changes in quick succession cost
/// one call together, and are in force within a fraction of their bound.
const CHANGE_PAUSE: u64 = 300;

/// Most doublings of the pause. A call that succeeds ends it for all feeds,
/// and the lease is renewed more often.
const STORE_RETRY_DOUBLINGS: u32 = 3;

/// Interval between lists of the nodes' records, in milliseconds. They only
/// show addresses of nodes that have not been heard.
const NODES_INTERVAL: u64 = 10_000;

/// The same while the process is young and few nodes are known.
const NODES_INTERVAL_YOUNG: u64 = 1_000;

/// Age up to which the process is young, in milliseconds.
const YOUNG: u64 = 5_000;

/// Time for which an upstream is treated as cold when its domain is taken
/// back into service, until it announces itself, in milliseconds.
const RETURN_COLD: u64 = 1_500;

/// A kind of objects that the node follows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Feed {
    pub(super) kind: Kind,
    /// Revision of the store that is known; none before the first list.
    pub(super) known: Option<u64>,
    pub(super) listing: bool,
    pub(super) watching: bool,
    /// A list has been sent since this was set.
    pub(super) fresh: bool,
    pub(super) retry: Millis,
    /// Calls that failed in a row.
    pub(super) failures: u32,
    /// A peer knows a later version since then.
    pub(super) behind: Option<Millis>,
}

impl Feed {
    pub(super) fn new(kind: Kind, now: Millis) -> Self {
        Self {
            kind,
            known: None,
            listing: false,
            watching: false,
            fresh: true,
            retry: now,
            failures: 0,
            behind: None,
        }
    }

    fn failed(&mut self, now: Millis) {
        let doublings = self.failures.min(STORE_RETRY_DOUBLINGS);
        self.retry = now.plus(STORE_RETRY << doublings);
        self.failures += 1;
    }
}

/// A table and its revision.
#[derive(Clone, Debug)]
pub(super) struct Versioned {
    pub(super) revision: u64,
    pub(super) table: Rc<Table>,
}

impl Fleet {
    pub(super) fn follow(&mut self, now: Millis, out: &mut Vec<Effect>) {
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

    pub(super) fn feed(&mut self, kind: Kind) -> Option<&mut Feed> {
        self.feeds.iter_mut().find(|feed| feed.kind == kind)
    }

    /// Whether the tables have been listed since the lease was gained.
    pub(super) fn tables_current(&self) -> bool {
        let feed = self.feeds.iter().find(|f| f.kind == Kind::Tables);
        feed.is_some_and(|f| f.known.is_some() && f.fresh && !f.listing)
    }

    pub(super) fn stored(
        &mut self,
        call: Call,
        outcome: Stored,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if let Call::Relayed(_) = call {
            // Only the node's own record is read and written for it.
            return self.renewed(outcome, now, out);
        }
        let up = !matches!(outcome, Stored::Unavailable | Stored::Unknown);
        if up != self.store_up {
            self.store_up = up;
            for feed in self.feeds.iter_mut().filter(|_| up) {
                (feed.retry, feed.failures) = (now, 0);
            }
            out.push(Effect::Notice(Notice::Store { up }));
        }
        match call {
            Call::List(Kind::Nodes) => self.nodes_listed(outcome, now),
            Call::List(kind) => self.listed(kind, outcome, now, out),
            Call::Watch(kind) => self.changed(kind, outcome, now, out),
            Call::Renew | Call::Recall => {
                self.renewed(outcome, now, out);
            }
            Call::Edit(service) => {
                self.edited(&service, outcome, now, out);
                self.check_parked(now, out);
            }
            Call::Inspect(node) => self.inspected(&node, outcome, now),
            Call::Revoke(node) => self.revoked(&node, &outcome, now, out),
            Call::Relayed(_) => {}
        }
    }

    pub(super) fn listed(
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
            feed.failed(now);
            return;
        };
        feed.failures = 0;
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

    pub(super) fn changed(
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
                feed.failures = 0;
                feed.known = Some(feed.known.unwrap_or(0).max(revision));
                if kind != Kind::Tables && !items.is_empty() {
                    feed.retry = now.plus(CHANGE_PAUSE);
                }
                self.apply(kind, items, revision, now, out);
            }
            Stored::Compacted => feed.known = None,
            _ => {
                // A watch may be cut off at any time and goes on from the
                // revision that is known. If that fails as well, a list may
                // still be had.
                if feed.failures > 0 {
                    feed.known = None;
                }
                feed.failed(now);
            }
        }
    }

    pub(super) fn apply(
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

    pub(super) fn install(
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

    pub(super) fn learn_table(
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
        let table = Rc::new(table);
        self.tables.insert(service, Versioned { revision, table });
    }

    pub(super) fn set_domains(
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
        self.out_since =
            self.is_out().then_some(self.out_since.unwrap_or(now));
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

    pub(super) fn list_nodes(&mut self, now: Millis, out: &mut Vec<Effect>) {
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

    pub(super) fn nodes_listed(&mut self, outcome: Stored, now: Millis) {
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
}

/// The version of a kind of documents.
pub(super) fn version_of(kind: Kind, versions: &Versions) -> u64 {
    match kind {
        Kind::Config => versions.config,
        Kind::Domains => versions.domains,
        Kind::Tables => versions.tables,
        Kind::Nodes => 0,
    }
}
