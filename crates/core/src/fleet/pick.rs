//! Which upstream of a service without keys gets a request.
//!
//! Load: upstreams differ in speed by a factor of two and more, and slow
//! down for moments. The choice is by the time that a request is expected to
//! take: what is ahead of it and the mean time at that upstream, divided by
//! the share of answers that are good. Of two candidates drawn at random the
//! better one is taken, so that nodes with the same view do not all choose
//! the same upstream.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::pick::{Candidate, cost};
//!
//! let idle = Candidate {
//!     inflight: 0,
//!     slots: 10,
//!     mean_ms: 100.0,
//!     good: 1.0,
//!     near: true,
//! };
//! let busy = Candidate { inflight: 20, ..idle };
//! let failing = Candidate { good: 0.5, ..idle };
//! assert!(cost(&idle) < cost(&busy));
//! assert!(cost(&idle) < cost(&failing));
//! ```

use rand::Rng;

/// Least share of good answers that is assumed, so that an upstream that
/// fails is still tried.
const GOOD_MIN: f64 = 0.05;

/// Cost of crossing failure domains, relative to the mean time.
const FAR: f64 = 0.3;

/// An upstream that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests at the upstream or on their way.
    pub inflight: u32,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Share of good answers.
    pub good: f64,
    /// It lies in the failure domain of the request's origin.
    pub near: bool,
}

/// Expected time of a request, in milliseconds. Up to its slots an upstream
/// slows down gradually; beyond them a request waits.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let fill = f64::from(candidate.inflight + 1) / slots;
    let wait = (fill - 1.0).max(0.0);
    let far = if candidate.near { 0.0 } else { FAR };
    let time = candidate.mean_ms.max(1.0) * (1.0 + fill / 2.0 + wait + far);
    time / candidate.good.max(GOOD_MIN)
}

/// Index of the better of two candidates drawn at random.
pub fn pick(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    match candidates.len() {
        0 => None,
        1 => Some(0),
        size => {
            let one = random.random_range(0..size);
            let step = random.random_range(1..size);
            let two = (one + step) % size;
            let better = cost(&candidates[two]) < cost(&candidates[one]);
            Some(if better { two } else { one })
        }
    }
}
