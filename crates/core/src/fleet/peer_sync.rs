//! Exchange of state between nodes: gossip, and documents that the store has
//! not delivered.

use crate::clock::Millis;
use crate::fleet::documents::version_of;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::{Document, ObjectKind};
use crate::fleet::gossip::Gossip;
use crate::fleet::rate_limit::RateLimit;
use crate::fleet::reducer::Fleet;
use crate::fleet::request::log_finding;

/// Time allowed for a watch to deliver a version that gossip has shown, before
/// it is fetched from a peer.
const FETCH_DELAY_MS: u64 = 150;

/// Delay before a document is fetched again.
const FETCH_RETRY_MS: u64 = 400;

impl Fleet {
    pub(super) fn gossip(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.gossip_due {
            return;
        }
        self.gossip_due = now.plus(self.directory.interval_ms());
        self.gossip_count += 1;
        let left = self.lease.remaining_ms(now) as u32;
        let lease = (left > 0).then_some((self.lease.revision, left));
        let accepting = self.upstream.is_ready() && !self.is_domain_out();
        let instance =
            self.upstream.instance().filter(|_| self.is_serving(now));
        let announce_ms = self.next_announcement_ms(now);
        let mut gossip = Gossip {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            count: self.gossip_count,
            peer_port: self.settings.peers.port(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            instance: instance.cloned(),
            leaving: self.stopping_since.is_some() || !accepting,
            announce_ms: announce_ms as u32,
            inflight: self.requests.inflight(),
            slots: self.usable_slots(now),
            mean_ms: self.requests.mean(now) as u32,
            good: (self.requests.success_ratio() * 1_000.0) as u16,
            rate: self.key_load.rate(now) as f32,
            capacity: self.capacity(now) as f32,
            lease,
            versions: self.versions,
            table: self.own_table_revision(),
            departed: self.upstream.leaving_instance(),
            recalled: self.departures.recalled(now),
            suspects: self.requests.crashes.report(now),
        };
        gossip.fit();
        let to = self.directory.addresses().collect();
        out.push(Effect::Send { to, gossip: Box::new(gossip) });
    }

    /// Time until the next announcement of the local upstream is expected, in
    /// milliseconds.
    pub(super) fn next_announcement_ms(&self, now: Millis) -> u64 {
        let interval = self.settings.bounds.announce_ms();
        let age = now.since(self.upstream.announced_at());
        interval.saturating_sub(age)
    }

    /// Number of requests that the local upstream runs concurrently when it is
    /// fully used. Under a limit on its rate it cannot use all its slots.
    pub(super) fn usable_slots(&self, now: Millis) -> u16 {
        let slots = self.upstream.slots();
        let Some(limit) = self.upstream.rate_limit() else { return slots };
        let mean_secs = self.requests.mean(now) / 1_000.0;
        let needed = (limit.rate() * mean_secs).ceil() as u16;
        needed.clamp(1, slots.max(1))
    }

    /// Capacity of the local upstream, in requests per second.
    pub(super) fn capacity(&self, now: Millis) -> f64 {
        let slots = f64::from(self.upstream.slots().max(1));
        let full = slots * 1_000.0 / self.requests.slow_mean().max(1.0);
        let limit = self.upstream.rate_limit().map(RateLimit::rate);
        let full = full.min(limit.unwrap_or(f64::INFINITY));
        if self.upstream.is_cold(now) {
            return full.min(self.warmup_rate());
        }
        full
    }

    /// Requests per second that the local upstream can take while it is cold;
    /// infinite if the service sets no limit.
    pub(super) fn warmup_rate(&self) -> f64 {
        let config = self.config.as_ref();
        let services = config.map(|config| &config.services);
        let own = services.and_then(|all| all.get(&self.settings.service));
        let rate = own.map_or(1.0, |service| service.warmup_rate);
        if rate <= 0.0 { f64::INFINITY } else { rate }
    }

    pub(super) fn on_gossip(
        &mut self,
        from: std::net::SocketAddr,
        gossip: Gossip,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if gossip.node == self.settings.node {
            return;
        }
        let versions = gossip.versions;
        let node = gossip.node.clone();
        let incarnation = gossip.incarnation;
        let process = (node.clone(), incarnation);
        let heard = self.directory.is_live(&node, now)
            && self
                .directory
                .get(&node)
                .is_some_and(|peer| peer.gossip.incarnation == incarnation);
        let suspects = gossip.suspects.clone();
        let (departed, recalled) =
            (gossip.departed.clone(), gossip.recalled.clone());
        let is_same_service = gossip.service == self.settings.service;
        let table = if is_same_service { gossip.table } else { 0 };
        if !self.directory.update(from, gossip, now) {
            return;
        }
        let crashes = &mut self.requests.crashes;
        // It has missed reports while it was away.
        if !heard {
            crashes.complete_next_report();
        }
        let finding = crashes.record_report(process, &suspects, now);
        log_finding(finding, &node, out);
        self.takeovers.remove(&node);
        if self.departures.record((&node, incarnation), departed, now) {
            self.gossip_due = now;
        }
        self.recall_exit(recalled, now, out);
        let is_behind = table > self.own_table_revision();
        for kind in
            [ObjectKind::Config, ObjectKind::Domains, ObjectKind::Tables]
        {
            let theirs = version_of(kind, &versions);
            let ours = self.known_revision(kind);
            let Some(feed) = self.feed(kind) else { continue };
            let lacks_table = kind == ObjectKind::Tables && is_behind;
            if theirs <= ours && !lacks_table {
                continue;
            }
            feed.heard = feed.heard.max(theirs);
            if feed.fetch_due.is_none() {
                feed.fetch_due = Some(now.plus(FETCH_DELAY_MS));
                feed.fetches = 0;
            }
        }
    }

    /// Fetches from peers the documents that the store has not delivered, and
    /// lists them in the store if the peers do not deliver them either: the
    /// only node that has a document may stop.
    pub(super) fn fetch_missing_documents(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        for index in 0..self.feeds.len() {
            let feed = self.feeds[index];
            let Some(due) = feed.fetch_due else { continue };
            if now < due {
                continue;
            }
            let kind = feed.kind;
            let ours = self.known_revision(kind);
            let mut ahead = self.directory.iter().filter(|(node, peer)| {
                (version_of(kind, &peer.gossip.versions) > ours
                    || kind == ObjectKind::Tables
                        && self.knows_later_table(peer))
                    && self.directory.is_live(node, now)
            });
            let Some((_, peer)) = ahead.next() else {
                self.feeds[index].fetch_due = None;
                self.feeds[index].list_if_behind(ours);
                continue;
            };
            let from = peer.request_addr();
            let heard = version_of(kind, &peer.gossip.versions);
            let feed = &mut self.feeds[index];
            feed.fetch_due = Some(now.plus(FETCH_RETRY_MS));
            if feed.fetches > 0 {
                feed.list_if_behind(ours);
            }
            feed.fetches += 1;
            out.push(Effect::Fetch { from, kind });
            // Tables change all the time, and their watch may be behind.
            if kind != ObjectKind::Tables {
                let notice = Notice::Outdated { kind, revision: ours, heard };
                out.push(Effect::Notice(notice));
            }
        }
    }

    pub(super) fn on_document(
        &mut self,
        document: Document,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        match document {
            Document::Config(config) => {
                self.apply_config(*config, None, out);
            }
            Document::Domains(revision, names) => {
                if revision > self.known_revision(ObjectKind::Domains) {
                    self.apply_domains(names, revision, now, out);
                }
            }
            Document::Tables(tables) => {
                for (service, revision, table) in tables {
                    self.apply_table(service, table, revision, now, out);
                }
                self.on_table_changed(now, out);
            }
        }
    }
}
