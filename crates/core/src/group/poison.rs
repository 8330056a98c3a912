//! Requests that crash upstreams, as a leader counts them.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::{Fingerprint, NodeAddr};

/// Crashes after which requests of a kind are refused.
const CRASHES: u32 = 2;

/// Time for which they are refused, and for which crashes are remembered,
/// in milliseconds.
const TERM: u64 = 600_000;

/// Most kinds that are refused at once. Plans carry the list, and each
/// entry takes up to 10 bytes of a datagram.
const KINDS: usize = 16;

/// Crashes by the requests that were in flight.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    reported: BTreeMap<NodeAddr, BTreeMap<Fingerprint, u32>>,
    crashes: BTreeMap<Fingerprint, (u32, Millis)>,
    list: Vec<Fingerprint>,
}

impl Poison {
    /// Kinds of requests to refuse.
    pub(crate) fn list(&self) -> &[Fingerprint] {
        &self.list
    }

    /// Takes a member's list of suspects; an entry that was in its last
    /// report is not counted again. Returns newly refused kinds.
    pub(crate) fn report(
        &mut self,
        node: NodeAddr,
        suspects: &[Fingerprint],
        now: Millis,
    ) -> Vec<Fingerprint> {
        let mut counts: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        for &suspect in suspects {
            *counts.entry(suspect).or_default() += 1;
        }
        let old = self.reported.entry(node).or_default();
        for (suspect, &count) in &counts {
            let before = old.get(suspect).copied().unwrap_or(0);
            if count > before {
                let crashes = self.crashes.entry(*suspect).or_insert((0, now));
                *crashes = (crashes.0 + count - before, now);
            }
        }
        *old = counts;
        self.refresh(now)
    }

    /// Takes over what an earlier leader had declared harmful.
    pub(crate) fn inherit(&mut self, list: &[Fingerprint], now: Millis) {
        for &kind in list {
            self.crashes.entry(kind).or_insert((CRASHES, now));
        }
        self.refresh(now);
    }

    /// Drops entries whose term is over. Returns newly refused kinds.
    pub(crate) fn refresh(&mut self, now: Millis) -> Vec<Fingerprint> {
        self.crashes.retain(|_, c| now.since(c.1) < TERM);
        let mut harmful: Vec<(Millis, Fingerprint)> = self
            .crashes
            .iter()
            .filter(|(_, c)| c.0 >= CRASHES)
            .map(|(&kind, c)| (c.1, kind))
            .collect();
        harmful.sort();
        harmful.reverse();
        harmful.truncate(KINDS);
        let mut list: Vec<Fingerprint> =
            harmful.into_iter().map(|(_, kind)| kind).collect();
        list.sort();
        let new =
            list.iter().copied().filter(|k| !self.list.contains(k)).collect();
        self.list = list;
        new
    }

    /// Forgets a member that was lost; its crashes still count.
    pub(crate) fn forget(&mut self, node: NodeAddr) {
        self.reported.remove(&node);
    }
}
