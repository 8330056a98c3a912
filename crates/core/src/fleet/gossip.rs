//! Gossip datagrams, and the directory of nodes known from them.
//!
//! A node sends its state to each node that it knows. The interval grows with
//! the number of nodes, so that the cost for a node is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::lease::PeerLease;
use crate::fleet::table::Instance;
use crate::id::Fingerprint;

/// Shortest interval between two datagrams to the same node.
const MIN_GOSSIP_INTERVAL_MS: u64 = 200;

/// Share of the interval per known node. Limits a node to 125 datagrams per
/// second.
const GOSSIP_INTERVAL_PER_NODE_MS: u64 = 8;

/// Number of missed datagrams after which a node gets no new work.
const SILENT_MISSED_COUNT: u64 = 4;

/// Number of missed datagrams after which a node is considered lost.
const LOST_MISSED_COUNT: u64 = 7;

/// Silence after which a node is removed from the directory.
const FORGET_AFTER_MS: u64 = 60_000;

/// Largest size of an encoded datagram.
pub const MAX_GOSSIP_BYTES: usize = 1_200;

/// Version of the encoding: the first byte of each datagram.
const ENCODING_VERSION: u8 = 3;

/// Versions of the documents that a node has; 0 for none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Versions {
    /// Version of the configuration, which a restore of the store does not
    /// change.
    pub config: u64,
    /// Revision of the set of failure domains that are out of service.
    pub domains: u64,
    /// Revision of the latest table.
    pub tables: u64,
}

/// State of one node, as sent to the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// Name of the node.
    pub node: String,
    /// Random id of the node's process.
    pub incarnation: u64,
    /// Sequence number of the datagram within the process.
    pub count: u64,
    /// Port for requests of other nodes.
    pub peer_port: u16,
    /// Its failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// Current instance of the upstream, if it serves requests.
    #[serde(rename = "life")]
    pub instance: Option<Instance>,
    /// Whether the process is about to stop, or its upstream accepts no work
    /// other than requests for the keys that it has.
    pub leaving: bool,
    /// Milliseconds until the upstream's next announcement.
    pub announce_ms: u32,
    /// Number of requests at the upstream or queued for it.
    pub inflight: u16,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u16,
    /// Mean run time of a request at the upstream, in milliseconds.
    pub mean_ms: u32,
    /// Share of answers that are not failures, in per mille.
    pub good: u16,
    /// Load on the node's keys, in requests per second.
    pub rate: f32,
    /// Capacity of the upstream, in requests per second.
    pub capacity: f32,
    /// Revision of the lease record and remaining validity in milliseconds;
    /// `None` without a lease.
    pub lease: Option<(u64, u32)>,
    /// Versions of the documents that the node has.
    pub versions: Versions,
    /// Revision of the latest table of its service that the node knows.
    pub table: u64,
    /// The upstream, if it is leaving.
    pub departed: Option<Instance>,
    /// Nodes whose process is a new one, and the upstream that was leaving at
    /// the process before it.
    pub recalled: Vec<(String, Instance)>,
    /// Requests that were running at its upstream when it crashed.
    pub suspects: Vec<Fingerprint>,
}

impl Gossip {
    /// Leaves out recalled exits that a datagram has no room for. The nodes are
    /// told again in the next ones.
    pub fn fit(&mut self) {
        let is_large = |gossip: &Self| {
            gossip.encode().is_ok_and(|bytes| bytes.len() > MAX_GOSSIP_BYTES)
        };
        while !self.recalled.is_empty() && is_large(self) {
            self.recalled.pop();
        }
    }

    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![ENCODING_VERSION])
    }

    /// Decodes a datagram; `None` if it is malformed or of another version.
    ///
    /// # Example
    ///
    /// ```
    /// use lagoondyke_core::fleet::gossip::Gossip;
    ///
    /// let gossip = Gossip { node: "n1".to_owned(), ..Gossip::default() };
    /// let bytes = gossip.encode().unwrap();
    /// assert_eq!(Gossip::decode(&bytes), Some(gossip));
    /// assert_eq!(Gossip::decode(&bytes[..5]), None);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, rest) = bytes.split_first()?;
        if version != ENCODING_VERSION || bytes.len() > MAX_GOSSIP_BYTES {
            return None;
        }
        let (gossip, rest) = postcard::take_from_bytes::<Self>(rest).ok()?;
        rest.is_empty().then_some(gossip)
    }
}

/// Another node, as known from its gossip.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Source address of its datagrams.
    pub addr: SocketAddr,
    /// Its latest state.
    pub gossip: Gossip,
    /// When its latest state arrived.
    pub last_seen: Millis,
    /// Its lease, as it last reported.
    pub lease: Option<PeerLease>,
    /// When its upstream is expected to announce itself next.
    pub next_announcement: Millis,
    /// Requests forwarded to it that its reported load does not include yet.
    pub unreported: u16,
    /// When a connection to it last failed; `None` once gossip from it
    /// arrives.
    pub failed_at: Option<Millis>,
}

impl Peer {
    /// Address at which it accepts requests of other nodes.
    #[must_use]
    pub fn request_addr(&self) -> SocketAddr {
        SocketAddr::new(self.addr.ip(), self.gossip.peer_port)
    }
}

/// Directory of all known nodes.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    peers: BTreeMap<String, Peer>,
    /// Addresses of nodes from which no gossip has arrived, and when they were
    /// added.
    seeds: BTreeMap<SocketAddr, Millis>,
}

impl Directory {
    /// Applies a datagram; returns `false` if it is late or a duplicate.
    pub fn update(
        &mut self,
        addr: SocketAddr,
        gossip: Gossip,
        now: Millis,
    ) -> bool {
        self.seeds.remove(&addr);
        let lease = gossip.lease.map(|(revision, left)| {
            PeerLease::from_gossip(revision, u64::from(left), now)
        });
        let next_announcement = now.plus(u64::from(gossip.announce_ms));
        let Some(peer) = self.peers.get_mut(&gossip.node) else {
            let node = gossip.node.clone();
            let peer = Peer {
                addr,
                gossip,
                last_seen: now,
                lease,
                next_announcement,
                unreported: 0,
                failed_at: None,
            };
            self.peers.insert(node, peer);
            return true;
        };
        let same = peer.gossip.incarnation == gossip.incarnation;
        if same && gossip.count <= peer.gossip.count {
            return false;
        }
        peer.lease = lease.or(peer.lease);
        peer.addr = addr;
        peer.next_announcement = next_announcement;
        peer.gossip = gossip;
        peer.last_seen = now;
        peer.failed_at = None;
        true
    }

    /// Adds an address at which a node may be reached.
    pub fn add_seed(&mut self, addr: SocketAddr, now: Millis) {
        if !self.peers.values().any(|peer| peer.addr == addr) {
            self.seeds.entry(addr).or_insert(now);
        }
    }

    /// Removes nodes and addresses that have been silent for too long.
    pub fn tick(&mut self, now: Millis) {
        self.peers
            .retain(|_, peer| now.since(peer.last_seen) < FORGET_AFTER_MS);
        self.seeds.retain(|_, since| now.since(*since) < FORGET_AFTER_MS);
    }

    /// Interval between two datagrams to the same node, in milliseconds.
    #[must_use]
    pub fn interval_ms(&self) -> u64 {
        MIN_GOSSIP_INTERVAL_MS
            .max(GOSSIP_INTERVAL_PER_NODE_MS * self.peers.len() as u64)
    }

    /// All addresses that receive gossip datagrams.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.peers.values().map(|peer| peer.addr);
        known.chain(self.seeds.keys().copied())
    }

    /// The node of this name, if known.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// The node of this name, if known.
    pub fn get_mut(&mut self, node: &str) -> Option<&mut Peer> {
        self.peers.get_mut(node)
    }

    /// All known nodes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().map(|(node, peer)| (node.as_str(), peer))
    }

    /// Whether gossip from a node has arrived recently.
    #[must_use]
    pub fn is_live(&self, node: &str, now: Millis) -> bool {
        let silent_ms = SILENT_MISSED_COUNT * self.interval_ms();
        self.get(node)
            .is_some_and(|peer| now.since(peer.last_seen) < silent_ms)
    }

    /// Whether a node is considered lost. The silence of a node from which no
    /// gossip has ever arrived counts from `since`.
    #[must_use]
    pub fn is_lost(&self, node: &str, since: Millis, now: Millis) -> bool {
        let heard = self.get(node).map_or(since, |peer| peer.last_seen);
        now.since(heard) >= LOST_MISSED_COUNT * self.interval_ms()
    }
}
