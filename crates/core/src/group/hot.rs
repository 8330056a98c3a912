//! Which keys are hot, from the rates that members report.
//!
//! Members report a few of their heaviest keys with each heartbeat, in
//! turn. A key that no member reports for long is no longer hot.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::HotKey;
use crate::id::{KeyHash, NodeAddr};

/// Most hot keys with a shard of their own in one group. Each takes up to 13
/// bytes of its holder's plan and 17 of the group's map; both are split over
/// as many datagrams as they need, so the bound is on the work of a leader
/// and the time of one map, not on a datagram.
pub const PINS_MAX: usize = 250;

/// Rate from which a key receives a shard of its own, in requests a second.
pub const HOT_RATE: u32 = 50;

/// Rate below which a key is cold, in requests a second. Well below
/// [`HOT_RATE`], so that a key does not change to and fro.
pub const COLD_RATE: u32 = 10;

/// Time for which a key must be cold to lose its shard, in milliseconds.
const COLD_TIME: u64 = 30_000;

/// Silence about a key after which it is cold, in milliseconds. A member
/// with 250 hot keys needs 32 s to report each of them.
const UNSEEN: u64 = 60_000;

/// Time for which a key must be hot to receive a shard, in milliseconds.
const HOT_TIME: u64 = 2_000;

/// Most keys whose rates are kept.
const KEPT: usize = 1_000;

/// A key's recent rate.
#[derive(Clone, Copy, Debug)]
struct Warmth {
    rate: u32,
    node: NodeAddr,
    seen: Millis,
    /// Since when the rate is above the hot rate.
    hot: Option<Millis>,
    /// Since when the rate is below the cold rate.
    cold: Option<Millis>,
}

/// Rates of reported keys.
#[derive(Debug, Default)]
pub(crate) struct Heat {
    keys: BTreeMap<KeyHash, Warmth>,
}

impl Heat {
    /// Takes a member's report.
    pub(crate) fn report(
        &mut self,
        node: NodeAddr,
        hot: &[HotKey],
        now: Millis,
    ) {
        for key in hot {
            if self.keys.len() >= KEPT && !self.keys.contains_key(&key.key) {
                continue;
            }
            let new = Warmth {
                rate: key.rate,
                node,
                seen: now,
                hot: None,
                cold: None,
            };
            let warmth = self.keys.entry(key.key).or_insert(new);
            if warmth.node != node {
                *warmth = Warmth { hot: warmth.hot, ..new };
            }
            warmth.seen = now;
            warmth.rate = warmth.rate.midpoint(key.rate);
            let since = |old: Option<Millis>| old.or(Some(now));
            warmth.hot = since(warmth.hot).filter(|_| warmth.rate >= HOT_RATE);
            warmth.cold =
                since(warmth.cold).filter(|_| warmth.rate < COLD_RATE);
        }
    }

    /// Forgets keys that nobody reports.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.keys.retain(|_, w| now.since(w.seen) < UNSEEN);
    }

    /// The latest rate of a key, in requests a second.
    pub(crate) fn rate(&self, key: KeyHash) -> u32 {
        self.keys.get(&key).map_or(0, |w| w.rate)
    }

    /// Whether a key has been cold for long.
    pub(crate) fn is_cold(&self, key: KeyHash, now: Millis) -> bool {
        let Some(warmth) = self.keys.get(&key) else { return true };
        warmth.cold.is_some_and(|t| now.since(t) >= COLD_TIME)
    }

    /// Keys that have been hot for long enough, the hottest first.
    pub(crate) fn hot(&self, now: Millis) -> Vec<KeyHash> {
        let long =
            |w: &Warmth| w.hot.is_some_and(|t| now.since(t) >= HOT_TIME);
        let mut hot: Vec<(u32, KeyHash)> = self
            .keys
            .iter()
            .filter(|(_, w)| long(w))
            .map(|(&key, w)| (w.rate, key))
            .collect();
        hot.sort_unstable_by(|a, b| b.cmp(a));
        hot.into_iter().map(|(_, key)| key).collect()
    }
}
