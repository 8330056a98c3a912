//! A limit that several connections share on the memory of what they read.
//!
//! A faulty server may send bytes without end on many connections at once. What
//! a node reads from its upstream, from other nodes and from the store has a
//! budget each, so that together they stay within the memory of the smallest VM
//! (160 MB), and a faulty upstream does not keep the node from the store.

use std::cell::Cell;
use std::rc::Rc;

use crate::wire::WireError;

/// Bytes that may still be buffered. Clones share them.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Rc<Cell<usize>>,
}

impl Budget {
    /// A budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { left: Rc::new(Cell::new(bytes)) }
    }
}

/// Bytes that one message has taken from a budget, until dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Option<Budget>,
    held: usize,
}

impl Reservation {
    /// A reservation of nothing; without a budget there is no limit.
    pub(crate) fn new(budget: Option<Budget>) -> Self {
        Self { budget, held: 0 }
    }

    /// Grows the reservation to `size` bytes, unless it is larger.
    pub(crate) fn grow_to(&mut self, size: usize) -> Result<(), WireError> {
        let Some(budget) = &self.budget else { return Ok(()) };
        let more = size.saturating_sub(self.held);
        let left = budget.left.get().checked_sub(more);
        budget.left.set(left.ok_or(WireError::BudgetExceeded)?);
        self.held += more;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.left.set(budget.left.get() + self.held);
        }
    }
}
