//! Requests that wait for a slot of the upstream.
//!
//! Load: more work arrives than the upstream runs at once. Urgent requests
//! go first, and of equally urgent ones that with the earliest deadline. A
//! request that is not likely to end within its objective is refused when it
//! arrives, so that its caller can go elsewhere or come back, and the others
//! are not late.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::queue::Queue;
//! use lagoondyke_core::id::Ticket;
//!
//! let mut queue = Queue::default();
//! queue.push(Ticket(1), 1, Millis(500));
//! queue.push(Ticket(2), 0, Millis(900));
//! queue.push(Ticket(3), 1, Millis(400));
//! assert_eq!(queue.ahead(1), 3);
//! assert_eq!(queue.ahead(0), 1);
//! let order: Vec<u64> =
//!     std::iter::from_fn(|| queue.pop()).map(|ticket| ticket.0).collect();
//! assert_eq!(order, [2, 3, 1]);
//! ```

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::id::Ticket;

/// Waiting requests by rank and deadline.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    order: BTreeSet<(u8, Millis, Ticket)>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, priority: u8, deadline: Millis) {
        self.order.insert((priority, deadline, ticket));
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.order.pop_first().map(|entry| entry.2)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.order.retain(|entry| entry.2 != ticket);
    }

    /// Requests that go before a new one of this rank.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> usize {
        self.order.iter().take_while(|entry| entry.0 <= priority).count()
    }

    /// Waiting requests, the next one first.
    pub fn iter(&self) -> impl Iterator<Item = Ticket> {
        self.order.iter().map(|entry| entry.2)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
