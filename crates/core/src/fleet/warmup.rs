//! What a cold upstream is sent.
//!
//! Load: an upstream that has just started crashes if it is sent more than
//! a stated rate. The node beside it is the only one that sends it requests,
//! so it alone keeps the rate.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::warmup::Window;
//!
//! let mut window = Window::default();
//! assert!(window.take(2.0, Millis(0)));
//! assert!(window.take(2.0, Millis(10)));
//! assert!(!window.take(2.0, Millis(900)), "two within a second");
//! assert!(window.take(2.0, Millis(1_101)));
//! ```

use std::collections::VecDeque;

use crate::clock::Millis;

/// Span within which requests are counted, in milliseconds: a second, and
/// a tenth for the time that a request takes to arrive.
const SPAN: u64 = 1_100;

/// Requests sent within the last second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Millis>,
}

impl Window {
    /// Takes one place if fewer than `rate` are taken in the last second.
    pub fn take(&mut self, rate: f64, now: Millis) -> bool {
        self.trim(now);
        if self.sent.len() as f64 + 1.0 > rate.max(1.0) {
            return false;
        }
        self.sent.push_back(now);
        true
    }

    /// Counts a request regardless of the rate: the upstream may turn cold
    /// right after it.
    pub fn note(&mut self, now: Millis) {
        self.trim(now);
        self.sent.push_back(now);
    }

    fn trim(&mut self, now: Millis) {
        while let Some(&sent) = self.sent.front() {
            if now.since(sent) < SPAN {
                break;
            }
            self.sent.pop_front();
        }
    }
}
