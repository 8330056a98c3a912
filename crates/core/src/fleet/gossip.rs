//! What nodes tell each other in datagrams, and who is known to be alive.
//!
//! A node sends its state to each node that it knows. The interval grows
//! with the number of nodes, so that a node's cost stays bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fleet::lease::Known;
use crate::fleet::table::Life;
use crate::id::Fingerprint;

/// Shortest interval between two datagrams to a node, in milliseconds.
const INTERVAL_MIN: u64 = 200;

/// Part of the interval for each known node, in milliseconds. With it a node
/// sends at most 125 datagrams a second.
const INTERVAL_STEP: u64 = 8;

/// Missed datagrams after which a node is not sent new work.
const MISSED_QUIET: u64 = 4;

/// Missed datagrams after which a node is taken to be lost.
const MISSED_LOST: u64 = 7;

/// Silence after which a node is forgotten, in milliseconds.
const FORGOTTEN: u64 = 60_000;

/// Largest datagram, in bytes.
pub const DATAGRAM_MAX: usize = 1_200;

/// Version of the encoding, the first byte of a datagram.
const VERSION: u8 = 2;

/// Versions of the documents that a node has.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct Versions {
    /// Revision of the configuration.
    pub config: u64,
    /// Revision of the failure domains that are out.
    pub domains: u64,
    /// Revision of the latest table.
    pub tables: u64,
}

/// The state of one node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// The node's name.
    pub node: String,
    /// Its process.
    pub incarnation: u64,
    /// Numbers the datagrams of a process.
    pub count: u64,
    /// Port for requests of other nodes.
    pub peer_port: u16,
    /// Its failure domain.
    pub domain: String,
    /// The service of its upstream.
    pub service: String,
    /// The upstream's present life, if it serves.
    pub life: Option<Life>,
    /// The process is about to stop, or its upstream takes no new work beside
    /// requests for the keys that it has.
    pub leaving: bool,
    /// Milliseconds until the upstream's next announcement.
    pub announce_ms: u32,
    /// Requests at the upstream or waiting for it.
    pub inflight: u16,
    /// Requests that the upstream runs at once.
    pub slots: u16,
    /// Mean time of a request at the upstream, in milliseconds.
    pub mean_ms: u32,
    /// Share of answers that are not failures, in per mille.
    pub good: u16,
    /// Requests per second for the node's keys.
    pub rate: f32,
    /// Requests per second that the upstream can run.
    pub capacity: f32,
    /// Revision of the lease and the milliseconds that it lasts.
    pub lease: Option<(u64, u32)>,
    /// What the node knows.
    pub versions: Versions,
    /// Requests that were at its upstream when it crashed.
    pub suspects: Vec<Fingerprint>,
}

impl Gossip {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![VERSION])
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
        if version != VERSION || bytes.len() > DATAGRAM_MAX {
            return None;
        }
        let (gossip, rest) = postcard::take_from_bytes::<Self>(rest).ok()?;
        rest.is_empty().then_some(gossip)
    }
}

/// Another node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where its datagrams come from.
    pub addr: SocketAddr,
    /// What it last said.
    pub said: Gossip,
    /// When it said so.
    pub heard: Millis,
    /// Its lease, as it said or as the store showed.
    pub lease: Option<Known>,
    /// When its upstream announces itself next, as it said.
    pub announces: Millis,
    /// Requests sent to it since, that have not ended.
    pub sent: u16,
    /// When it last refused or lost a request for lack of a connection.
    pub broken: Option<Millis>,
}

impl Peer {
    /// Address for requests.
    #[must_use]
    pub fn requests(&self) -> SocketAddr {
        SocketAddr::new(self.addr.ip(), self.said.peer_port)
    }
}

/// All nodes that are known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    peers: BTreeMap<String, Peer>,
    /// Addresses of nodes that have not been heard yet.
    seeds: BTreeMap<SocketAddr, Millis>,
}

impl Directory {
    /// Takes a datagram; false if it is late or of an ended process.
    pub fn heard(
        &mut self,
        addr: SocketAddr,
        said: Gossip,
        now: Millis,
    ) -> bool {
        self.seeds.remove(&addr);
        let told = said.lease.map(|(revision, left)| {
            Known::told(revision, u64::from(left), now)
        });
        let announces = now.plus(u64::from(said.announce_ms));
        let Some(peer) = self.peers.get_mut(&said.node) else {
            let node = said.node.clone();
            let peer = Peer {
                addr,
                said,
                heard: now,
                lease: told,
                announces,
                sent: 0,
                broken: None,
            };
            self.peers.insert(node, peer);
            return true;
        };
        let same = peer.said.incarnation == said.incarnation;
        if same && said.count <= peer.said.count {
            return false;
        }
        peer.lease = told.or(peer.lease);
        peer.addr = addr;
        peer.announces = announces;
        peer.said = said;
        peer.heard = now;
        peer.broken = None;
        true
    }

    /// Learns of an address at which a node may be.
    pub fn seed(&mut self, addr: SocketAddr, now: Millis) {
        if !self.peers.values().any(|peer| peer.addr == addr) {
            self.seeds.entry(addr).or_insert(now);
        }
    }

    /// Forgets nodes and addresses that have been silent for long.
    pub fn tick(&mut self, now: Millis) {
        self.peers.retain(|_, peer| now.since(peer.heard) < FORGOTTEN);
        self.seeds.retain(|_, since| now.since(*since) < FORGOTTEN);
    }

    /// Interval between two datagrams to a node, in milliseconds.
    #[must_use]
    pub fn interval(&self) -> u64 {
        INTERVAL_MIN.max(INTERVAL_STEP * self.peers.len() as u64)
    }

    /// All addresses that datagrams go to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.peers.values().map(|peer| peer.addr);
        known.chain(self.seeds.keys().copied())
    }

    /// A node by name.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// A node by name.
    pub fn get_mut(&mut self, node: &str) -> Option<&mut Peer> {
        self.peers.get_mut(node)
    }

    /// All nodes by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().map(|(node, peer)| (node.as_str(), peer))
    }

    /// Whether a node has been heard of lately.
    #[must_use]
    pub fn is_live(&self, node: &str, now: Millis) -> bool {
        let quiet = MISSED_QUIET * self.interval();
        self.get(node).is_some_and(|peer| now.since(peer.heard) < quiet)
    }

    /// Whether a node must be taken to be lost. A node that was never heard
    /// of counts from `since`.
    #[must_use]
    pub fn is_lost(&self, node: &str, since: Millis, now: Millis) -> bool {
        let heard = self.get(node).map_or(since, |peer| peer.heard);
        now.since(heard) >= MISSED_LOST * self.interval()
    }
}
