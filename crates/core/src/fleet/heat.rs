//! Load by key, with exponential decay.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::heat::Heat;
//!
//! let mut heat = Heat::new(Millis(0));
//! for at in 0..40 {
//!     heat.add(7, Millis(at * 100));
//! }
//! let rate = heat.rate(Millis(4_000));
//! assert!((6.0..=11.0).contains(&rate), "10 a second, is {rate}");
//! ```

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Time constant of the decay, in milliseconds. Shorter than the few seconds
/// for which a set of keys stays busy, longer than the gaps between requests.
const DECAY: u64 = 2_000;

/// Interval at which weights are decayed, in milliseconds.
const STEP: u64 = 250;

/// Weight below which a key is forgotten, in requests per second.
const FORGOTTEN: f64 = 0.01;

/// Requests per second by key.
#[derive(Clone, Debug)]
pub struct Heat {
    keys: BTreeMap<u16, f64>,
    total: f64,
    since: Millis,
}

impl Heat {
    /// No load yet.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { keys: BTreeMap::new(), total: 0.0, since: now }
    }

    /// A request for a key arrived.
    pub fn add(&mut self, key: u16, now: Millis) {
        self.decay(now);
        let weight = 1_000.0 / DECAY as f64;
        *self.keys.entry(key).or_default() += weight;
        self.total += weight;
    }

    /// Requests per second for all keys.
    pub fn rate(&mut self, now: Millis) -> f64 {
        self.decay(now);
        self.total
    }

    /// Requests per second for keys in `first..=last`, in key order.
    pub fn within(
        &self,
        first: u16,
        last: u16,
    ) -> impl Iterator<Item = (u16, f64)> {
        self.keys.range(first..=last).map(|(&key, &weight)| (key, weight))
    }

    /// Forgets keys that are no longer this node's.
    pub fn retain(&mut self, keep: impl Fn(u16) -> bool) {
        self.keys.retain(|&key, _| keep(key));
        self.total = self.keys.values().sum();
    }

    fn decay(&mut self, now: Millis) {
        let age = now.since(self.since);
        if age < STEP {
            return;
        }
        self.since = now;
        let factor = (-(age as f64) / DECAY as f64).exp();
        for weight in self.keys.values_mut() {
            *weight *= factor;
        }
        self.keys.retain(|_, weight| *weight >= FORGOTTEN);
        self.total = self.keys.values().sum();
    }
}
