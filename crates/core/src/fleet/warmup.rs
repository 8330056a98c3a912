//! Rate limit of a cold upstream.
//!
//! An upstream that has just started crashes if it receives requests above a
//! stated rate. Only its own node sends it requests, so that node alone can
//! enforce the rate.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::warmup::RateWindow;
//!
//! let mut window = RateWindow::default();
//! assert!(window.try_add(2.0, Millis(0)));
//! assert!(window.try_add(2.0, Millis(10)));
//! assert!(!window.try_add(2.0, Millis(900)), "two within a second");
//! assert!(window.try_add(2.0, Millis(1_101)));
//! ```

use std::collections::VecDeque;

use crate::clock::Millis;

/// Window in which requests are counted: one second, plus a tenth of a second
/// for differences in how long requests take to arrive.
const WINDOW_MS: u64 = 1_100;

/// Times of the requests sent within the window.
#[derive(Clone, Debug, Default)]
pub struct RateWindow {
    sent: VecDeque<Millis>,
}

impl RateWindow {
    /// Counts a request and returns `true` if this keeps the number of
    /// requests in the window within `rate`, which is taken to be at least 1.
    pub fn try_add(&mut self, rate: f64, now: Millis) -> bool {
        self.trim(now);
        if self.sent.len() as f64 + 1.0 > rate.max(1.0) {
            return false;
        }
        self.sent.push_back(now);
        true
    }

    /// Counts a request regardless of the rate: the upstream may become cold
    /// right after it.
    pub fn add(&mut self, now: Millis) {
        self.trim(now);
        self.sent.push_back(now);
    }

    fn trim(&mut self, now: Millis) {
        while let Some(&sent) = self.sent.front() {
            if now.since(sent) < WINDOW_MS {
                break;
            }
            self.sent.pop_front();
        }
    }
}
