//! Detection of hot keys from the rates that members report.
//!
//! Members report a few of their heaviest keys with each heartbeat, in
//! rotation. A key that no member has reported for `KEY_EXPIRY_MS` is no
//! longer hot.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::HotKey;
use crate::id::{KeyHash, NodeAddr};

/// Most hot keys with a shard of their own in one group. Each takes up to 13
/// bytes of its holder's plan and 17 of the group's map. Both are split over
/// as many datagrams as they need, so the bound limits the work of a leader
/// and the time to send one map, not the size of a datagram.
pub const MAX_PIN_COUNT: usize = 250;

/// Rate from which a key receives a shard of its own.
pub const HOT_RATE_PER_SEC: u32 = 50;

/// Rate below which a key is cold. Well below [`HOT_RATE_PER_SEC`], so that a
/// key does not alternate between hot and cold.
pub const COLD_RATE_PER_SEC: u32 = 10;

/// Time for which a key must be cold before it loses its shard.
const COLD_DURATION_MS: u64 = 30_000;

/// Time without a report after which a key is forgotten and counts as cold. A
/// member with 250 hot keys needs 32 s to report each of them.
const KEY_EXPIRY_MS: u64 = 60_000;

/// Time for which a key must be hot before it receives a shard.
const HOT_DURATION_MS: u64 = 2_000;

/// Most keys whose rates are tracked.
const MAX_TRACKED_KEY_COUNT: usize = 1_000;

/// A key's recent rate, in requests per second, at the member that last
/// reported it.
#[derive(Clone, Copy, Debug)]
struct KeyRate {
    rate: u32,
    node: NodeAddr,
    reported_at: Millis,
    /// Since when the rate has been at least [`HOT_RATE_PER_SEC`].
    hot_since: Option<Millis>,
    /// Since when the rate has been below [`COLD_RATE_PER_SEC`].
    cold_since: Option<Millis>,
}

/// Rates of the keys that members report.
#[derive(Debug, Default)]
pub(crate) struct KeyRates {
    keys: BTreeMap<KeyHash, KeyRate>,
}

impl KeyRates {
    /// Updates the rates from a member's report.
    pub(crate) fn report(
        &mut self,
        node: NodeAddr,
        reported: &[HotKey],
        now: Millis,
    ) {
        for key in reported {
            if self.keys.len() >= MAX_TRACKED_KEY_COUNT
                && !self.keys.contains_key(&key.key)
            {
                continue;
            }
            let new = KeyRate {
                rate: key.rate,
                node,
                reported_at: now,
                hot_since: None,
                cold_since: None,
            };
            let entry = self.keys.entry(key.key).or_insert(new);
            if entry.node != node {
                *entry = KeyRate { hot_since: entry.hot_since, ..new };
            }
            entry.reported_at = now;
            entry.rate = entry.rate.midpoint(key.rate);
            let since = |old: Option<Millis>| old.or(Some(now));
            entry.hot_since = since(entry.hot_since)
                .filter(|_| entry.rate >= HOT_RATE_PER_SEC);
            entry.cold_since = since(entry.cold_since)
                .filter(|_| entry.rate < COLD_RATE_PER_SEC);
        }
    }

    /// Forgets keys that no member has reported for [`KEY_EXPIRY_MS`].
    pub(crate) fn expire(&mut self, now: Millis) {
        self.keys.retain(|_, e| now.since(e.reported_at) < KEY_EXPIRY_MS);
    }

    /// The smoothed rate of a key in requests per second; 0 if it is not
    /// tracked.
    pub(crate) fn rate(&self, key: KeyHash) -> u32 {
        self.keys.get(&key).map_or(0, |e| e.rate)
    }

    /// Whether a key has been cold for [`COLD_DURATION_MS`] or is not tracked.
    pub(crate) fn is_cold(&self, key: KeyHash, now: Millis) -> bool {
        let Some(entry) = self.keys.get(&key) else { return true };
        entry.cold_since.is_some_and(|t| now.since(t) >= COLD_DURATION_MS)
    }

    /// Keys that have been hot for [`HOT_DURATION_MS`], in descending order of
    /// rate.
    pub(crate) fn hot_keys(&self, now: Millis) -> Vec<KeyHash> {
        let sustained = |e: &KeyRate| {
            e.hot_since.is_some_and(|t| now.since(t) >= HOT_DURATION_MS)
        };
        let mut ranked: Vec<(u32, KeyHash)> = self
            .keys
            .iter()
            .filter(|(_, e)| sustained(e))
            .map(|(&key, e)| (e.rate, key))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, key)| key).collect()
    }
}
