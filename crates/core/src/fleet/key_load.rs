//! Load by key, as exponentially decaying request rates.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::key_load::KeyLoad;
//!
//! let mut key_load = KeyLoad::new(Millis(0));
//! for at in 0..40 {
//!     key_load.record(7, Millis(at * 100));
//! }
//! let rate = key_load.rate(Millis(4_000));
//! assert!((6.0..=11.0).contains(&rate), "10 a second, is {rate}");
//! ```

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Time constant of the decay. Shorter than the few seconds for which a set of
/// keys stays busy, longer than the gaps between requests.
const DECAY_TIME_MS: u64 = 2_000;

/// Interval at which the rates are decayed.
const DECAY_INTERVAL_MS: u64 = 250;

/// Rate below which a key is dropped.
const MIN_KEY_RATE_PER_SEC: f64 = 0.01;

/// Request rates by key, in requests per second.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    keys: BTreeMap<u16, f64>,
    total: f64,
    since: Millis,
}

impl KeyLoad {
    /// Creates an empty record that starts at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { keys: BTreeMap::new(), total: 0.0, since: now }
    }

    /// Counts a request for a key.
    pub fn record(&mut self, key: u16, now: Millis) {
        self.decay(now);
        let weight = 1_000.0 / DECAY_TIME_MS as f64;
        *self.keys.entry(key).or_default() += weight;
        self.total += weight;
    }

    /// Total request rate of all keys.
    pub fn rate(&mut self, now: Millis) -> f64 {
        self.decay(now);
        self.total
    }

    /// Request rates of the keys in `first..=last`, in key order.
    pub fn within(
        &self,
        first: u16,
        last: u16,
    ) -> impl Iterator<Item = (u16, f64)> {
        self.keys.range(first..=last).map(|(&key, &weight)| (key, weight))
    }

    /// Keeps only the keys for which `keep` returns `true`, to drop those that
    /// this node no longer owns.
    pub fn retain(&mut self, keep: impl Fn(u16) -> bool) {
        self.keys.retain(|&key, _| keep(key));
        self.total = self.keys.values().sum();
    }

    fn decay(&mut self, now: Millis) {
        let age = now.since(self.since);
        if age < DECAY_INTERVAL_MS {
            return;
        }
        self.since = now;
        let factor = (-(age as f64) / DECAY_TIME_MS as f64).exp();
        for weight in self.keys.values_mut() {
            *weight *= factor;
        }
        self.keys.retain(|_, weight| *weight >= MIN_KEY_RATE_PER_SEC);
        self.total = self.keys.values().sum();
    }
}
