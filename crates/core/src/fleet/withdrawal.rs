//! Which forwarded requests have arrived at a node, and which have been
//! withdrawn by the node that sent them.
//!
//! A node that forwards a request gives it a random id. If the connection
//! seems to be silent, it asks over another connection whether the request has
//! arrived. If not, the request is withdrawn: it will not be accepted any
//! more, so that it may be sent again even if it must not run twice.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::withdrawal::Arrivals;
//!
//! let mut arrivals = Arrivals::new(Millis(0));
//! let now = Millis(60_000);
//! assert!(arrivals.accept(1, now));
//! assert!(!arrivals.withdraw(1, now), "it has arrived");
//! assert!(arrivals.withdraw(2, now));
//! assert!(!arrivals.accept(2, now), "it has been withdrawn");
//! ```

use std::collections::{BTreeSet, VecDeque};

use crate::clock::Millis;

/// Time since it was sent within which a request may be withdrawn, in
/// milliseconds. A later answer to a withdrawal does not count.
pub const MAX_WITHDRAWAL_AGE_MS: u64 = 2_000;

/// Time for which an arrival is remembered, in milliseconds. Longer than
/// [`MAX_WITHDRAWAL_AGE_MS`] by more than clocks may differ.
const ARRIVAL_MEMORY_MS: u64 = 5_000;

/// Number of withdrawn requests that are remembered. They are not forgotten
/// with time: a request may be read late from a connection.
const MAX_WITHDRAWN_COUNT: usize = 4_096;

/// The forwarded requests that have arrived or have been withdrawn.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// When the process started. It cannot know what an earlier process of
    /// the node has accepted.
    started: Millis,
    arrived: BTreeSet<u64>,
    /// When each request of `arrived` arrived, earliest first.
    order: VecDeque<(Millis, u64)>,
    withdrawn: BTreeSet<u64>,
    /// The requests of `withdrawn`, earliest first.
    withdrawn_order: VecDeque<u64>,
}

impl Arrivals {
    /// Creates the state of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            arrived: BTreeSet::new(),
            order: VecDeque::new(),
            withdrawn: BTreeSet::new(),
            withdrawn_order: VecDeque::new(),
        }
    }

    /// Records that a request has arrived. Returns false if it has been
    /// withdrawn or has arrived before, so that it must not be accepted.
    pub fn accept(&mut self, id: u64, now: Millis) -> bool {
        while let Some(&(at, earliest)) = self.order.front() {
            if now.since(at) < ARRIVAL_MEMORY_MS {
                break;
            }
            self.arrived.remove(&earliest);
            self.order.pop_front();
        }
        if self.withdrawn.contains(&id) || !self.arrived.insert(id) {
            return false;
        }
        self.order.push_back((now, id));
        true
    }

    /// Withdraws a request that was sent at most [`MAX_WITHDRAWAL_AGE_MS`]
    /// ago. Returns whether it can be guaranteed that this node has not
    /// accepted it and will not do so.
    pub fn withdraw(&mut self, id: u64, now: Millis) -> bool {
        let is_known = now.since(self.started) >= ARRIVAL_MEMORY_MS;
        if !is_known || self.arrived.contains(&id) {
            return false;
        }
        if self.withdrawn.insert(id) {
            self.withdrawn_order.push_back(id);
        }
        if self.withdrawn_order.len() > MAX_WITHDRAWN_COUNT
            && let Some(earliest) = self.withdrawn_order.pop_front()
        {
            self.withdrawn.remove(&earliest);
        }
        true
    }
}
