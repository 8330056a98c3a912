//! The keys that carry most of a node's requests.
//!
//! A space-saving counter: a fixed number of keys is counted, and a key that
//! is not among them takes the place and the count of the least one, which
//! is remembered as its error. The count less the error is certain.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::id::KeyHash;
//! use lagoondyke_core::request::heavy::Heavy;
//!
//! let mut heavy = Heavy::new(Millis(0));
//! for other in 0..900 {
//!     heavy.count(KeyHash(1_000 + other));
//!     heavy.count(KeyHash(7));
//! }
//! heavy.tick(Millis(1_000));
//! assert_eq!(heavy.hot().len(), 1);
//! assert_eq!(heavy.hot()[0].key, KeyHash(7));
//! ```

use crate::clock::Millis;
use crate::control::HotKey;
use crate::id::KeyHash;

/// Keys that are counted. A key with more than a 64th of all requests is
/// certainly among them.
const KEYS: usize = 64;

/// Interval over which requests are counted, in milliseconds.
const INTERVAL: u64 = 1_000;

/// Most keys that are reported.
const HOT_MAX: usize = 8;

/// Least share of all requests of a key that is reported, in percent.
const HOT_PERCENT: u64 = 5;

/// Least requests a second of a key that is reported: below, moving the key
/// would relieve nobody.
const HOT_RATE: u64 = 20;

#[derive(Clone, Copy, Debug)]
struct Counter {
    key: KeyHash,
    count: u32,
    error: u32,
}

/// Counts requests by key.
#[derive(Clone, Debug)]
pub struct Heavy {
    counters: Vec<Counter>,
    total: u64,
    since: Millis,
    hot: Vec<HotKey>,
}

impl Heavy {
    /// Nothing is counted at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            counters: Vec::with_capacity(KEYS),
            total: 0,
            since: now,
            hot: Vec::new(),
        }
    }

    /// Counts a request.
    pub fn count(&mut self, key: KeyHash) {
        self.total += 1;
        let known = self.counters.iter_mut().find(|c| c.key == key);
        if let Some(counter) = known {
            counter.count += 1;
            return;
        }
        if self.counters.len() < KEYS {
            self.counters.push(Counter { key, count: 1, error: 0 });
            return;
        }
        let least = self.counters.iter_mut().min_by_key(|c| c.count);
        let Some(least) = least else { return };
        let error = least.count;
        *least = Counter { key, count: error + 1, error };
    }

    /// Ends an interval that is over.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.since);
        if span < INTERVAL {
            return;
        }
        let least = self.total * HOT_PERCENT / 100;
        self.hot.clear();
        for counter in &self.counters {
            let count = u64::from(counter.count - counter.error);
            let rate = count * 1_000 / span;
            if count < least || rate < HOT_RATE {
                continue;
            }
            self.hot.push(HotKey { key: counter.key, rate: rate as u32 });
        }
        self.hot.sort_by_key(|h| (std::cmp::Reverse(h.rate), h.key));
        self.hot.truncate(HOT_MAX);
        self.counters.clear();
        self.total = 0;
        self.since = now;
    }

    /// The heaviest keys of the last interval, the heaviest first.
    #[must_use]
    pub fn hot(&self) -> &[HotKey] {
        &self.hot
    }
}
