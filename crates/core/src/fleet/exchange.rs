//! What nodes tell each other: gossip, and documents that the store has not
//! delivered.

use crate::clock::Millis;
use crate::fleet::documents::version_of;
use crate::fleet::effect::Effect;
use crate::fleet::event::{Document, Kind};
use crate::fleet::gossip::Gossip;
use crate::fleet::reducer::Fleet;

/// Time for the watch to deliver a version that gossip has shown, before a
/// peer is asked for it, in milliseconds.
const FETCH_DELAY: u64 = 150;

/// Pause between two questions for a document, in milliseconds.
const FETCH_RETRY: u64 = 400;

impl Fleet {
    pub(super) fn gossip(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.gossip_due {
            return;
        }
        self.gossip_due = now.plus(self.directory.interval());
        self.gossip_count += 1;
        let left = self.lease.left(now) as u32;
        let lease = (left > 0).then_some((self.lease.revision, left));
        let accepting = self.host.is_ready() && !self.is_out();
        let life = self.host.life().filter(|_| self.is_serving(now));
        let announces = self.announces_in(now);
        let gossip = Gossip {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            count: self.gossip_count,
            peer_port: self.settings.peers.port(),
            domain: self.settings.domain.clone(),
            service: self.settings.service.clone(),
            life: life.cloned(),
            leaving: self.stop_at.is_some() || !accepting,
            announce_ms: announces as u32,
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

    /// Milliseconds until the upstream's next announcement.
    pub(super) fn announces_in(&self, now: Millis) -> u64 {
        let interval = self.settings.bounds.announce_ms();
        let age = now.since(self.host.announced_at());
        interval.saturating_sub(age)
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

    pub(super) fn heard(
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
    pub(super) fn catch_up(&mut self, now: Millis, out: &mut Vec<Effect>) {
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

    pub(super) fn fetched(
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
}
