//! Queue of requests that wait for a free slot of the local upstream.
//!
//! Orders requests while more work arrives than the upstream can run at once.
//! Requests are served by priority. Within a priority, those that can still
//! meet their objective go first: in plain order of deadlines, a burst would
//! make all of them late. Requests that can no longer meet their objective use
//! the remaining room.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::queue::{Queue, QueuedRequest};
//! use lagoondyke_core::id::Ticket;
//!
//! let request = |ticket, priority, objective| QueuedRequest {
//!     ticket: Ticket(ticket),
//!     priority,
//!     objective: Millis(objective),
//!     deadline: Millis(2_000),
//! };
//! let mut queue = Queue::default();
//! queue.push(request(1, 1, 100));
//! queue.push(request(2, 1, 600));
//! queue.push(request(3, 0, 900));
//! queue.push(request(4, 1, 500));
//! let (now, time) = (Millis(0), 200);
//! let order: Vec<u64> = std::iter::from_fn(|| queue.pop(now, time))
//!     .map(|ticket| ticket.0)
//!     .collect();
//! assert_eq!(order, [3, 4, 2, 1]);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::id::Ticket;

/// A queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Handle of the request.
    pub ticket: Ticket,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time by which an answer has its full value.
    pub objective: Millis,
    /// Time after which an answer is useless.
    pub deadline: Millis,
}

/// Queue of requests, ordered by priority and time limit.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests that can still meet their objective, by priority and
    /// objective, with their deadlines.
    timely: BTreeMap<(u8, Millis, Ticket), Millis>,
    /// The others, by priority and deadline.
    late: BTreeSet<(u8, Millis, Ticket)>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) {
        let QueuedRequest { ticket, priority, objective, deadline } = request;
        self.timely.insert((priority, objective, ticket), deadline);
    }

    /// Removes and returns the next request, given a run time of `time` ms.
    pub fn pop(&mut self, now: Millis, time: u64) -> Option<Ticket> {
        self.demote_late(now, time);
        let timely = self.timely.first_key_value().map(|entry| entry.0.0);
        let late = self.late.first().map(|entry| entry.0);
        match (timely, late) {
            (Some(timely), late) if late.is_none_or(|late| timely <= late) => {
                self.timely.pop_first().map(|entry| entry.0.2)
            }
            _ => self.late.pop_first().map(|entry| entry.2),
        }
    }

    /// Moves requests that can no longer meet their objective behind the
    /// others.
    pub fn demote_late(&mut self, now: Millis, time: u64) {
        let end = now.plus(time);
        let late = &mut self.late;
        self.timely.retain(|&(priority, objective, ticket), &mut deadline| {
            let timely = objective >= end;
            if !timely {
                late.insert((priority, deadline, ticket));
            }
            timely
        });
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.timely.retain(|entry, _| entry.2 != ticket);
        self.late.retain(|entry| entry.2 != ticket);
    }

    /// Number of requests that precede a new one of this priority.
    #[must_use]
    pub fn count_ahead(&self, priority: u8, timely: bool) -> usize {
        let keys = self.timely.keys();
        let before = keys.take_while(|entry| entry.0 <= priority).count();
        let goes_before =
            |other: u8| other < priority || other == priority && !timely;
        let late = self.late.iter().take_while(|entry| goes_before(entry.0));
        before + late.count()
    }

    /// All queued requests; those that can still meet their objective first.
    pub fn iter(&self) -> impl Iterator<Item = Ticket> {
        let timely = self.timely.keys().map(|entry| entry.2);
        timely.chain(self.late.iter().map(|entry| entry.2))
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.timely.is_empty() && self.late.is_empty()
    }
}
