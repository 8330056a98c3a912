//! Circuit breaker for an upstream that fails every request.
//!
//! The concurrency limit never falls below 1, so an upstream that fails each
//! request at once would fail hundreds a second. After a number of consecutive
//! failures the breaker opens: requests are refused without having run. At
//! intervals one request is let through as a probe.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::breaker::Breaker;
//!
//! let mut breaker = Breaker::new();
//! for _ in 0..10 {
//!     breaker.record_failure(Millis(0), Millis(1));
//! }
//! assert_eq!(breaker.allowance(12, Millis(2)), 0);
//! assert_eq!(breaker.allowance(12, Millis(600)), 1, "a probe");
//! breaker.record_answer(Millis(600));
//! assert_eq!(breaker.allowance(12, Millis(601)), 12);
//! ```

use crate::clock::Millis;

/// Consecutive failures that open the breaker. With 5, a loss of every fifth
/// request would open it twice a second by chance at 1,680 requests/s.
const OPEN_FAILURE_COUNT: u32 = 10;

/// Time from a failure until the next probe.
const PROBE_INTERVAL_MS: u64 = 500;

/// The circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    /// While open: when the last failure occurred that opened the breaker or
    /// kept it open.
    last_failure: Option<Millis>,
}

impl Breaker {
    /// A closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests that may be at the upstream at once: `limit` while
    /// closed, 0 while open, 1 when a probe is due.
    #[must_use]
    pub fn allowance(&self, limit: usize, now: Millis) -> usize {
        match self.last_failure {
            None => limit,
            Some(last_failure) => {
                usize::from(now.since(last_failure) >= PROBE_INTERVAL_MS)
            }
        }
    }

    /// Whether requests are refused now, since the breaker is open and no
    /// probe is due.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        self.allowance(1, now) == 0
    }

    /// Records an answer to a request that was dispatched at `started`.
    /// Answers to requests from before the breaker opened do not close it.
    pub fn record_answer(&mut self, started: Millis) {
        if self.last_failure.is_none_or(|last_failure| started >= last_failure)
        {
            *self = Self::default();
        }
    }

    /// Records a failure without an answer of a request that was dispatched at
    /// `started`. Failures of requests from before the breaker opened do not
    /// delay the next probe.
    pub fn record_failure(&mut self, started: Millis, now: Millis) {
        self.failures += 1;
        let counts = self
            .last_failure
            .is_none_or(|last_failure| started >= last_failure);
        if self.failures >= OPEN_FAILURE_COUNT && counts {
            self.last_failure = Some(now);
        }
    }
}
