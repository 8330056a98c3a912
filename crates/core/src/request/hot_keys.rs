//! Detection of the keys that receive most of a node's requests.
//!
//! This is the space-saving algorithm: a fixed number of keys is counted, and
//! a key that is not among them replaces the key with the smallest count and
//! inherits that count, which is recorded as its error. The count less the
//! error is a lower bound of the key's requests.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::id::KeyHash;
//! use lagoondyke_core::request::hot_keys::HotKeyCounter;
//!
//! let mut counter = HotKeyCounter::new(Millis(0));
//! for other in 0..900 {
//!     counter.count(KeyHash(1_000 + other));
//!     counter.count(KeyHash(7));
//! }
//! counter.tick(Millis(1_000));
//! assert_eq!(counter.hot().len(), 1);
//! assert_eq!(counter.hot()[0].key, KeyHash(7));
//! ```

use crate::clock::Millis;
use crate::control::HotKey;
use crate::id::KeyHash;

/// Number of keys that are counted. A key with more than a 64th of all
/// requests is certainly among them.
const TRACKED_KEY_COUNT: usize = 64;

/// Interval over which requests are counted.
const INTERVAL_MS: u64 = 1_000;

/// Limit on the keys that are reported.
const MAX_HOT_KEY_COUNT: usize = 8;

/// Lowest percentage of all requests that makes a key hot.
const MIN_HOT_PERCENT: u64 = 5;

/// Lowest rate of requests that makes a key hot. Moving a key with a lower
/// rate would relieve no node.
const MIN_HOT_PER_SEC: u64 = 20;

#[derive(Clone, Copy, Debug)]
struct Counter {
    key: KeyHash,
    count: u32,
    error: u32,
}

/// Counts requests by key, and reports hot keys after each interval.
#[derive(Clone, Debug)]
pub struct HotKeyCounter {
    counters: Vec<Counter>,
    total: u64,
    start: Millis,
    hot: Vec<HotKey>,
}

impl HotKeyCounter {
    /// A counter whose first interval starts at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            counters: Vec::with_capacity(TRACKED_KEY_COUNT),
            total: 0,
            start: now,
            hot: Vec::new(),
        }
    }

    /// Counts a request for `key`.
    pub fn count(&mut self, key: KeyHash) {
        self.total += 1;
        let known = self.counters.iter_mut().find(|c| c.key == key);
        if let Some(counter) = known {
            counter.count += 1;
            return;
        }
        if self.counters.len() < TRACKED_KEY_COUNT {
            self.counters.push(Counter { key, count: 1, error: 0 });
            return;
        }
        let smallest = self.counters.iter_mut().min_by_key(|c| c.count);
        let Some(smallest) = smallest else { return };
        let error = smallest.count;
        *smallest = Counter { key, count: error + 1, error };
    }

    /// Determines the hot keys if the interval is over, and starts the next
    /// one.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.start);
        if span < INTERVAL_MS {
            return;
        }
        let min_count = self.total * MIN_HOT_PERCENT / 100;
        self.hot.clear();
        for counter in &self.counters {
            let count = u64::from(counter.count - counter.error);
            let rate = count * 1_000 / span;
            if count < min_count || rate < MIN_HOT_PER_SEC {
                continue;
            }
            self.hot.push(HotKey { key: counter.key, rate: rate as u32 });
        }
        self.hot.sort_by_key(|h| (std::cmp::Reverse(h.rate), h.key));
        self.hot.truncate(MAX_HOT_KEY_COUNT);
        self.counters.clear();
        self.total = 0;
        self.start = now;
    }

    /// The hot keys of the last interval, the one with the highest rate first.
    #[must_use]
    pub fn hot(&self) -> &[HotKey] {
        &self.hot
    }
}
