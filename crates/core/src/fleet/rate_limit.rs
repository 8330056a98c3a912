//! Limit on the rate of requests that an upstream states.
//!
//! A token bucket: tokens are added at the stated rate, and each request takes
//! one. Only the node beside an upstream sends it requests, so that node alone
//! can enforce the rate.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::rate_limit::RateLimit;
//!
//! // Two requests per second.
//! let mut limit = RateLimit::new(2.0, Millis(0));
//! assert_eq!(limit.wait_ms(1.0, Millis(0)), 500.0);
//! assert!(!limit.is_open(Millis(499)));
//! assert!(limit.is_open(Millis(500)));
//! limit.take(Millis(500));
//! assert_eq!(limit.wait_ms(2.0, Millis(500)), 1_000.0);
//! ```

use crate::clock::Millis;

/// Period whose tokens may accumulate while no requests arrive.
const BURST_SECS: f64 = 0.3;

/// Lowest rate that is applied, in requests per second. Only an answer shows
/// that the limit has ended, so some requests must be sent.
const MIN_RATE: f64 = 0.5;

/// A limit on a rate of requests.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Requests per second.
    rate: f64,
    /// Requests that may be sent now.
    tokens: f64,
    /// When tokens were last added.
    refilled: Millis,
    /// When the upstream last stated the limit.
    stated: Millis,
}

impl RateLimit {
    /// A limit of `rate` requests per second that was stated at `now`. It
    /// starts without tokens, since requests are running already.
    #[must_use]
    pub fn new(rate: f64, now: Millis) -> Self {
        let rate = rate.max(MIN_RATE);
        Self { rate, tokens: 0.0, refilled: now, stated: now }
    }

    /// Replaces the rate, which the upstream has stated again.
    pub fn restate(&mut self, rate: f64, now: Millis) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
        self.stated = now;
    }

    /// When the upstream last stated the limit.
    #[must_use]
    pub fn stated(&self) -> Millis {
        self.stated
    }

    /// Requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: Millis) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until the `position`th request from now may be sent, in
    /// milliseconds.
    #[must_use]
    pub fn wait_ms(&self, position: f64, now: Millis) -> f64 {
        let missing = (position - self.tokens_at(now)).max(0.0);
        missing * 1_000.0 / self.rate
    }

    fn refill(&mut self, now: Millis) {
        self.tokens = self.tokens_at(now);
        self.refilled = now;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let added = now.since(self.refilled) as f64 * self.rate / 1_000.0;
        let most = (self.rate * BURST_SECS).max(1.0);
        (self.tokens + added).min(most)
    }
}
