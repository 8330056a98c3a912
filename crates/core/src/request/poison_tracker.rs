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

/// Most fingerprints of a process whose reported crashes are remembered. It
/// must exceed what one report can name, or crashes would count again.
const MAX_REPORTED_COUNT: usize = 64;

/// Number of crashes, and a time, by the fingerprint of the request.
type Counts = BTreeMap<Fingerprint, (u32, Millis)>;

/// Counts crashes by the fingerprints of the requests that were in flight. `N`
/// identifies a process of a node that reports them.
#[derive(Debug)]
pub(crate) struct PoisonTracker<N> {
    /// Number of crashes after which requests of a fingerprint are refused.
    crash_limit: u32,
    /// The highest number of crashes that each process has reported, and when
    /// it first did.
    reported: BTreeMap<N, Counts>,
    crashes: Counts,
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

    /// Counts the crashes in the report of a node's process: a request occurs
    /// in it as often as it was running at crashes there. The highest count
    /// that the process has reported stands, so that reports may be lost,
    /// repeated or leave out crashes. Returns newly refused fingerprints.
    pub(crate) fn report(
        &mut self,
        process: N,
        suspects: &[Fingerprint],
        now: Millis,
    ) -> Vec<Fingerprint> {
        let mut counts: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        for &suspect in suspects {
            *counts.entry(suspect).or_default() += 1;
        }
        self.drop_expired(now);
        if counts.is_empty() {
            return self.select_refused();
        }
        let known = self.reported.entry(process).or_default();
        for (suspect, count) in counts {
            let highest = known.entry(suspect).or_insert((0, now));
            let new = count.saturating_sub(highest.0);
            if new == 0 {
                continue;
            }
            *highest = (count, now);
            let crashes = self.crashes.entry(suspect).or_insert((0, now));
            *crashes = (crashes.0 + new, now);
        }
        drop_oldest(known, MAX_REPORTED_COUNT);
        self.select_refused()
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

    /// Adopts the fingerprints that another tracker refuses.
    pub(crate) fn inherit(&mut self, refused: &[Fingerprint], now: Millis) {
        for &fingerprint in refused {
            self.crashes.entry(fingerprint).or_insert((self.crash_limit, now));
        }
        self.update_refused(now);
    }

    /// Forgets crashes whose time is over and selects the fingerprints to
    /// refuse. Returns newly refused ones.
    pub(crate) fn update_refused(&mut self, now: Millis) -> Vec<Fingerprint> {
        self.drop_expired(now);
        self.select_refused()
    }

    /// Selects the fingerprints to refuse, those with the latest crashes
    /// first. Returns newly refused ones.
    fn select_refused(&mut self) -> Vec<Fingerprint> {
        drop_oldest(&mut self.crashes, MAX_TRACKED_COUNT);
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

    /// Forgets crashes whose time is over.
    fn drop_expired(&mut self, now: Millis) {
        let counts =
            |count: &(u32, Millis)| now.since(count.1) < QUARANTINE_MS;
        self.crashes.retain(|_, count| counts(count));
        for known in self.reported.values_mut() {
            known.retain(|_, count| counts(count));
        }
        self.reported.retain(|_, known| !known.is_empty());
    }
}

/// Forgets the earliest entries beyond `max_len`.
fn drop_oldest(counts: &mut Counts, max_len: usize) {
    let excess = counts.len().saturating_sub(max_len);
    if excess == 0 {
        return;
    }
    let mut times: Vec<Millis> =
        counts.values().map(|count| count.1).collect();
    times.sort();
    let newest_dropped = times[excess - 1];
    counts.retain(|_, count| count.1 > newest_dropped);
}
