//! The queue for the upstream, shared fairly between partners.
//!
//! Each partner has a queue of its own, ordered by deadline. The partner
//! that has had the least service relative to its weight goes first (stride
//! scheduling), so that under overload partners are served in proportion to
//! their agreed shares. When the queue is full, the partner that takes the
//! most room relative to its weight loses its latest request.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::request::share::Queue;
//!
//! let mut queue = Queue::new();
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

/// Service of one request for a partner of weight 1.
const STRIDE: u64 = 1 << 20;

/// A queued request: its deadline and its id.
pub type Item = (Millis, usize);

/// Queued requests of one partner.
#[derive(Clone, Debug)]
struct Partner {
    name: String,
    weight: u64,
    /// Service so far, in units of `STRIDE` / weight.
    pass: u64,
    items: BTreeSet<Item>,
}

/// Requests that wait for the upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Partners with queued requests, and partners that are ahead of their
    /// share. Both are few, so they are searched in order.
    partners: Vec<Partner>,
    /// Service of the partner that was served last.
    clock: u64,
    len: usize,
}

impl Queue {
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

    /// Number of requests that are expected to be served before a new one
    /// of this partner with this deadline.
    #[must_use]
    pub fn ahead(&self, name: &str, weight: u32, deadline: Millis) -> usize {
        let own = self.partners.iter().find(|p| p.name == name);
        let before = own.map_or(0, |p| {
            p.items.iter().take_while(|item| item.0 <= deadline).count()
        });
        let weight = u64::from(weight.max(1));
        let others = self.partners.iter().filter(|p| p.name != name);
        // While the own requests are served, each other partner is served
        // in proportion to its weight, as long as it has requests.
        let turns = before as u64 + 1;
        let rest = others
            .map(|p| (p.items.len() as u64).min(turns * p.weight / weight));
        before + rest.sum::<u64>() as usize
    }

    /// Queues a request.
    pub fn push(&mut self, name: &str, weight: u32, item: Item) {
        let weight = u64::from(weight.max(1));
        let place = self.partners.iter().position(|p| p.name == name);
        let place = place.unwrap_or_else(|| {
            let items = BTreeSet::new();
            let name = name.to_owned();
            self.partners.push(Partner { name, weight, pass: 0, items });
            self.partners.len() - 1
        });
        let partner = &mut self.partners[place];
        partner.weight = weight;
        if partner.items.is_empty() {
            // Time without requests earns no service for later.
            partner.pass = partner.pass.max(self.clock);
        }
        self.len += usize::from(partner.items.insert(item));
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<Item> {
        let waiting = self.partners.iter_mut().filter(|p| !p.items.is_empty());
        let partner = waiting.min_by_key(|p| p.pass)?;
        let item = partner.items.pop_first()?;
        self.clock = partner.pass;
        partner.pass += STRIDE / partner.weight;
        self.len -= 1;
        self.tidy();
        Some(item)
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, name: &str, item: Item) -> bool {
        let partner = self.partners.iter_mut().find(|p| p.name == name);
        let found = partner.is_some_and(|p| p.items.remove(&item));
        self.len -= usize::from(found);
        self.tidy();
        found
    }

    /// Takes the latest request of the partner that takes the most room
    /// relative to its weight, if that is more room than the named partner
    /// would take with one more request.
    pub fn evict_for(&mut self, name: &str, weight: u32) -> Option<Item> {
        let weight = u64::from(weight.max(1));
        let own = self.partners.iter().find(|p| p.name == name);
        let own = own.map_or(0, |p| p.items.len()) as u64 + 1;
        let largest = self
            .partners
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

    /// Forgets partners without requests that are not ahead of their share.
    fn tidy(&mut self) {
        let clock = self.clock;
        self.partners.retain(|p| !p.items.is_empty() || p.pass > clock);
    }
}
