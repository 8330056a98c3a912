//! Retry budget and back-off.
//!
//! A [`RetryBudget`] admits extra attempts in proportion to first attempts, so
//! that a failing fleet sees at most that proportion of additional load. It is
//! used for retries and for hedged requests.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::request::retry::RetryBudget;
//!
//! let mut budget = RetryBudget::new(10, 2);
//! assert!(budget.try_withdraw() && budget.try_withdraw());
//! assert!(!budget.try_withdraw(), "the burst is used up");
//! for _ in 0..10 {
//!     budget.deposit();
//! }
//! assert!(budget.try_withdraw(), "10 requests earn one attempt at 10%");
//! ```

/// Retries per 100 requests that the budget admits in the long run.
pub const RETRY_PERCENT: u32 = 10;

/// Retries that a full budget admits before the percentage applies.
pub const RETRY_BURST_COUNT: u32 = 10;

/// Token bucket of extra attempts. The credit is counted in hundredths of an
/// attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    max_credit: u32,
    credit: u32,
}

impl RetryBudget {
    /// A full budget that gains `percent` extra attempts per 100 requests and
    /// holds `burst` at most.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        let max_credit = burst * 100;
        Self { percent, max_credit, credit: max_credit }
    }

    /// Has the budget hold `burst` attempts at most from now on.
    pub fn set_burst(&mut self, burst: u32) {
        self.max_credit = burst * 100;
        self.credit = self.credit.min(self.max_credit);
    }

    /// Adds the credit for a first attempt.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + self.percent).min(self.max_credit);
    }

    /// Takes the credit for one extra attempt; returns false if there is too
    /// little.
    pub fn try_withdraw(&mut self) -> bool {
        if self.credit < 100 {
            return false;
        }
        self.credit -= 100;
        true
    }
}

/// Time before a request looks for its owner again.
///
/// The first of consecutive failures does not wait, since a fresh map may
/// already be known. Later ones wait longer, up to 250 ms, so that even the
/// longest deadline of 60 s needs fewer than 255 attempts.
///
/// # Example
///
/// ```
/// use lagoondyke_core::request::retry::backoff_ms;
///
/// assert_eq!((backoff_ms(0), backoff_ms(1), backoff_ms(40)), (0, 25, 250));
/// ```
#[must_use]
pub fn backoff_ms(failures: u8) -> u64 {
    (u64::from(failures) * 25).min(250)
}
