//! How often failed requests are tried again.
//!
//! A [`Budget`] admits extra attempts as a share of first attempts, so that
//! a failing fleet sees at most that share of additional load. It is used
//! for retries and for hedged requests.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::request::retry::Budget;
//!
//! let mut budget = Budget::new(10, 2);
//! assert!(budget.spend() && budget.spend());
//! assert!(!budget.spend(), "the burst is used up");
//! for _ in 0..10 {
//!     budget.earn();
//! }
//! assert!(budget.spend(), "10 requests earn one attempt at 10%");
//! ```

/// Share of requests that may be retried, in percent.
pub const RETRY_PERCENT: u32 = 10;

/// Retries that may follow each other before the share applies.
pub const RETRY_BURST: u32 = 10;

/// Extra attempts that are left, in hundredths.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u32,
    most: u32,
    left: u32,
}

impl Budget {
    /// A full budget of `percent` extra attempts per 100 requests, of which
    /// `burst` can be saved up.
    #[must_use]
    pub fn new(percent: u32, burst: u32) -> Self {
        let most = burst * 100;
        Self { percent, most, left: most }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.left = (self.left + self.percent).min(self.most);
    }

    /// Takes one extra attempt, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 100 {
            return false;
        }
        self.left -= 100;
        true
    }
}

/// Pause before a request looks for its owner again, in milliseconds.
///
/// The first failure in a row does not wait, since a fresh map may already
/// be known. Later ones wait longer, up to 250 ms, so that even the longest
/// deadline of 60 s needs fewer than 255 attempts.
///
/// # Example
///
/// ```
/// use lagoondyke_core::request::retry::pause;
///
/// assert_eq!((pause(0), pause(1), pause(40)), (0, 25, 250));
/// ```
#[must_use]
pub fn pause(failures: u8) -> u64 {
    (u64::from(failures) * 25).min(250)
}
