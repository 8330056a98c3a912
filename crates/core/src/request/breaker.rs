//! Circuit breaker of an upstream that fails every request.
//!
//! The concurrency limit never falls below 1, so an upstream that loses
//! each request at once would lose hundreds a second. After
//! consecutive failures the breaker opens: requests are refused without
//! having run. From time to time one request is let through as a probe.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::breaker::Breaker;
//!
//! let mut breaker = Breaker::new();
//! for _ in 0..10 {
//!     breaker.failed(Millis(0), Millis(1));
//! }
//! assert_eq!(breaker.allowance(12, Millis(2)), 0);
//! assert_eq!(breaker.allowance(12, Millis(600)), 1, "a probe");
//! breaker.answered(Millis(600));
//! assert_eq!(breaker.allowance(12, Millis(601)), 12);
//! ```

use crate::clock::Millis;

/// Failures in a row that open the breaker. With 5, a loss of every fifth
/// request would open it twice a second by chance at 1,680 requests/s.
const FAILURES: u32 = 10;

/// Time between two probes, in milliseconds.
const PAUSE: u64 = 500;

/// The breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    /// While open: when the last request that counts failed.
    opened: Option<Millis>,
}

impl Breaker {
    /// A closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that may be at the upstream at once, of `limit`.
    #[must_use]
    pub fn allowance(&self, limit: usize, now: Millis) -> usize {
        match self.opened {
            None => limit,
            Some(opened) => usize::from(now.since(opened) >= PAUSE),
        }
    }

    /// Whether requests are refused now.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        self.allowance(1, now) == 0
    }

    /// A request that was dispatched at `started` was answered. Answers to
    /// requests from before the breaker opened do not close it.
    pub fn answered(&mut self, started: Millis) {
        if self.opened.is_none_or(|opened| started >= opened) {
            *self = Self::default();
        }
    }

    /// A request that was dispatched at `started` failed without an answer.
    pub fn failed(&mut self, started: Millis, now: Millis) {
        self.failures += 1;
        let counts = self.opened.is_none_or(|opened| started >= opened);
        if self.failures >= FAILURES && counts {
            self.opened = Some(now);
        }
    }
}
