//! Queue for the upstream with weighted fair sharing between partners.
//!
//! Each partner has a queue of its own, ordered by deadline. The partner that
//! has received the least service relative to its weight goes first (stride
//! scheduling), so that under overload partners are served in proportion to
//! their agreed shares. When the queue is full, the partner that takes the
//! most room relative to its weight loses its request with the latest
//! deadline.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::fair_queue::FairQueue;
//!
//! let mut queue = FairQueue::new();
//! for id in 0..4 {
//!     queue.push("big", 3, (Millis(100), id));
//!     queue.push("small", 1, (Millis(100), 10 + id));
//! }
//! let first: Vec<usize> =
//!     (0..4).filter_map(|_| queue.pop()).map(|(_, id)| id).collect();
//! let small = first.iter().filter(|&&id| id >= 10).count();
//! assert_eq!(small, 1, "one of four places goes to the smaller partner");
//! ```

use std::collections::BTreeSet;

use crate::clock::Millis;

/// Advance of `pass` for one request of a partner of weight 1.
const STRIDE: u64 = 1 << 20;

/// A queued request: its deadline and its index in `Requests`.
pub type QueuedRequest = (Millis, usize);

/// Queued requests of one partner.
#[derive(Clone, Debug)]
struct PartnerQueue {
    name: String,
    weight: u64,
    /// Service received so far: each request adds `STRIDE` / `weight`.
    pass: u64,
    items: BTreeSet<QueuedRequest>,
}

/// Requests that wait for a slot of the upstream.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Partners with queued requests, and partners that are ahead of their
    /// share. Both are few, so a linear search is enough.
    queues: Vec<PartnerQueue>,
    /// `pass` of the partner that was served last, before that service.
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that are expected to be served before a new one of
    /// the partner `name` with this deadline.
    #[must_use]
    pub fn requests_ahead(
        &self,
        name: &str,
        weight: u32,
        deadline: Millis,
    ) -> usize {
        let own = self.queues.iter().find(|p| p.name == name);
        let before = own.map_or(0, |p| {
            p.items.iter().take_while(|item| item.0 <= deadline).count()
        });
        let weight = u64::from(weight.max(1));
        let others = self.queues.iter().filter(|p| p.name != name);
        // While this partner's requests are served, each other partner is
        // served in proportion to its weight, as long as it has requests.
        let turns = before as u64 + 1;
        let rest = others
            .map(|p| (p.items.len() as u64).min(turns * p.weight / weight));
        before + rest.sum::<u64>() as usize
    }

    /// Queues a request of the partner `name`, whose weight is `weight` from
    /// now on.
    pub fn push(&mut self, name: &str, weight: u32, item: QueuedRequest) {
        let weight = u64::from(weight.max(1));
        let index = self.queues.iter().position(|p| p.name == name);
        let index = index.unwrap_or_else(|| {
            let items = BTreeSet::new();
            let name = name.to_owned();
            self.queues.push(PartnerQueue { name, weight, pass: 0, items });
            self.queues.len() - 1
        });
        let partner = &mut self.queues[index];
        partner.weight = weight;
        if partner.items.is_empty() {
            // A partner gains no credit while it has no requests.
            partner.pass = partner.pass.max(self.virtual_time);
        }
        self.len += usize::from(partner.items.insert(item));
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.queues.iter_mut().filter(|p| !p.items.is_empty());
        let partner = waiting.min_by_key(|p| p.pass)?;
        let item = partner.items.pop_first()?;
        self.virtual_time = partner.pass;
        partner.pass += STRIDE / partner.weight;
        self.len -= 1;
        self.remove_idle();
        Some(item)
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, name: &str, item: QueuedRequest) -> bool {
        let partner = self.queues.iter_mut().find(|p| p.name == name);
        let found = partner.is_some_and(|p| p.items.remove(&item));
        self.len -= usize::from(found);
        self.remove_idle();
        found
    }

    /// Removes and returns the request with the latest deadline of the partner
    /// that takes the most room relative to its weight, if that is more room
    /// than the partner `name` would take with one more request.
    pub fn evict_for(
        &mut self,
        name: &str,
        weight: u32,
    ) -> Option<QueuedRequest> {
        let weight = u64::from(weight.max(1));
        let own = self.queues.iter().find(|p| p.name == name);
        let own = own.map_or(0, |p| p.items.len()) as u64 + 1;
        let largest = self
            .queues
            .iter_mut()
            .max_by_key(|p| p.items.len() as u64 * STRIDE / p.weight)?;
        let room = largest.items.len() as u64 * STRIDE / largest.weight;
        if largest.name == name || room <= own * STRIDE / weight {
            return None;
        }
        let item = largest.items.pop_last()?;
        self.len -= 1;
        Some(item)
    }

    /// Removes partners without requests that are not ahead of their share.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues.retain(|p| !p.items.is_empty() || p.pass > virtual_time);
    }
}
