//! Detection of requests that crash upstreams, from the reports of many nodes.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::Fingerprint;

/// Time for which such requests are refused after the last crash, and for
/// which crashes are remembered.
pub(crate) const QUARANTINE_MS: u64 = 600_000;

/// Most fingerprints that are refused at once. Plans carry the list, and each
/// entry takes up to 10 bytes of a datagram.
const MAX_QUARANTINE_COUNT: usize = 16;

/// Most fingerprints whose crashes are counted. Each takes about 50 bytes.
const MAX_TRACKED_COUNT: usize = 4_096;

/// Counts crashes by the fingerprints of the requests that were in flight. `N`
/// identifies a node that reports them.
#[derive(Debug)]
pub(crate) struct PoisonTracker<N> {
    /// Number of crashes after which requests of a fingerprint are refused.
    crash_limit: u32,
    reported: BTreeMap<N, BTreeMap<Fingerprint, u32>>,
    crashes: BTreeMap<Fingerprint, (u32, Millis)>,
    refused: Vec<Fingerprint>,
}

impl<N: Ord> PoisonTracker<N> {
    /// A tracker that refuses requests of a fingerprint after `crash_limit`
    /// crashes.
    pub(crate) fn new(crash_limit: u32) -> Self {
        Self {
            crash_limit,
            reported: BTreeMap::new(),
            crashes: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    /// Fingerprints of the requests to refuse, in ascending order.
    pub(crate) fn refused(&self) -> &[Fingerprint] {
        &self.refused
    }

    /// Counts the crashes in a node's list of suspects. Entries that were in
    /// its previous report are not counted again. Returns newly refused
    /// fingerprints.
    pub(crate) fn report(
        &mut self,
        node: N,
        suspects: &[Fingerprint],
        now: Millis,
    ) -> Vec<Fingerprint> {
        let mut counts: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        for &suspect in suspects {
            *counts.entry(suspect).or_default() += 1;
        }
        if counts.is_empty() {
            self.reported.remove(&node);
            return self.update_refused(now);
        }
        let previous = self.reported.entry(node).or_default();
        for (suspect, &count) in &counts {
            let before = previous.get(suspect).copied().unwrap_or(0);
            if count > before {
                let crashes = self.crashes.entry(*suspect).or_insert((0, now));
                *crashes = (crashes.0 + count - before, now);
            }
        }
        *previous = counts;
        self.update_refused(now)
    }

    /// Counts one crash for each of these requests. Returns newly refused
    /// fingerprints.
    pub(crate) fn record(
        &mut self,
        suspects: impl IntoIterator<Item = Fingerprint>,
        now: Millis,
    ) -> Vec<Fingerprint> {
        for suspect in suspects {
            let crashes = self.crashes.entry(suspect).or_insert((0, now));
            *crashes = (crashes.0 + 1, now);
        }
        self.update_refused(now)
    }

    /// Number of crashes at which a request was running.
    pub(crate) fn count(&self, request: Fingerprint) -> u32 {
        self.crashes.get(&request).map_or(0, |crashes| crashes.0)
    }

    /// Forgets the crashes at which a request was running.
    pub(crate) fn forget(&mut self, request: Fingerprint) {
        self.crashes.remove(&request);
    }

    /// Whether the last report of a node named any suspect.
    pub(crate) fn has_report(&self, node: &N) -> bool {
        self.reported.contains_key(node)
    }

    /// Adopts the fingerprints that another tracker refuses.
    pub(crate) fn inherit(&mut self, refused: &[Fingerprint], now: Millis) {
        for &fingerprint in refused {
            self.crashes.entry(fingerprint).or_insert((self.crash_limit, now));
        }
        self.update_refused(now);
    }

    /// Forgets crashes whose time is over and selects the fingerprints to
    /// refuse, those with the latest crashes first. Returns newly refused
    /// ones.
    pub(crate) fn update_refused(&mut self, now: Millis) -> Vec<Fingerprint> {
        self.crashes.retain(|_, c| now.since(c.1) < QUARANTINE_MS);
        self.drop_excess();
        let mut harmful: Vec<(Millis, Fingerprint)> = self
            .crashes
            .iter()
            .filter(|(_, c)| c.0 >= self.crash_limit)
            .map(|(&fingerprint, c)| (c.1, fingerprint))
            .collect();
        harmful.sort();
        harmful.reverse();
        harmful.truncate(MAX_QUARANTINE_COUNT);
        let mut refused: Vec<Fingerprint> =
            harmful.into_iter().map(|(_, fingerprint)| fingerprint).collect();
        refused.sort();
        let new = refused
            .iter()
            .copied()
            .filter(|f| !self.refused.contains(f))
            .collect();
        self.refused = refused;
        new
    }

    /// Forgets the earliest crashes beyond [`MAX_TRACKED_COUNT`].
    fn drop_excess(&mut self) {
        let excess = self.crashes.len().saturating_sub(MAX_TRACKED_COUNT);
        if excess == 0 {
            return;
        }
        let mut times: Vec<Millis> =
            self.crashes.values().map(|crash| crash.1).collect();
        times.sort();
        let newest_dropped = times[excess - 1];
        self.crashes.retain(|_, crash| crash.1 > newest_dropped);
    }

    /// Forgets the last report of a lost node; its crashes still count.
    pub(crate) fn forget_node(&mut self, node: &N) {
        self.reported.remove(node);
    }
}
