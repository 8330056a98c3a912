//! Choice of the upstream for a request of a service without keys.
//!
//! Upstreams differ in speed by a factor of two and more, and slow down
//! temporarily. The choice is by the expected time of the request: the
//! requests ahead of it and the mean run time at that upstream, divided by its
//! share of successful answers. Of two random candidates the better one is
//! taken, so that nodes with the same information do not all choose the same
//! upstream.
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
//!     success_ratio: 1.0,
//!     same_domain: true,
//! };
//! let busy = Candidate { inflight: 20, ..idle };
//! let failing = Candidate { success_ratio: 0.5, ..idle };
//! assert!(cost(&idle) < cost(&busy));
//! assert!(cost(&idle) < cost(&failing));
//! ```

use rand::Rng;

/// Smallest success ratio that is assumed, so that a failing upstream is still
/// tried.
const MIN_SUCCESS_RATIO: f64 = 0.05;

/// Extra cost of crossing failure domains, relative to the mean run time.
const CROSS_DOMAIN_COST_RATIO: f64 = 0.3;

/// An upstream that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests at the upstream or on their way to it.
    pub inflight: u32,
    /// Concurrency limit of the upstream.
    pub slots: u16,
    /// Mean run time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Share of answers that are not failures, 0 to 1.
    pub success_ratio: f64,
    /// Whether it is in the failure domain of this node.
    pub same_domain: bool,
}

/// Expected time of a request, in milliseconds. An upstream slows down
/// gradually up to its concurrency limit; beyond it requests wait.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let fill = f64::from(candidate.inflight + 1) / slots;
    let wait = (fill - 1.0).max(0.0);
    let far =
        if candidate.same_domain { 0.0 } else { CROSS_DOMAIN_COST_RATIO };
    let time = candidate.mean_ms.max(1.0) * (1.0 + fill / 2.0 + wait + far);
    time / candidate.success_ratio.max(MIN_SUCCESS_RATIO)
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
