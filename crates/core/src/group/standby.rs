//! Promises of a node that may take over.
//!
//! Any node answers promise requests, since a member must have promised
//! before the leader adds it to the record as a standby.

use crate::clock::{GRAIN, Millis, PROMISE, with_drift};
use crate::control::{Promise, PromiseRequest};
use crate::id::Epoch;

/// Longest time by this VM's clock for which a leader may rely on a promise
/// or grant leases after this VM last heard of it, in milliseconds.
pub(crate) const SPAN: u64 = with_drift(PROMISE) + GRAIN;

/// What a node has promised.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standby {
    /// No takeover before this instant.
    until: Millis,
    /// Whether a leader has asked this node for a promise.
    asked: bool,
}

impl Standby {
    /// A process that started at `now` may have made promises that it does
    /// not remember.
    pub(crate) fn new(now: Millis) -> Self {
        Self { until: now.plus(SPAN), asked: false }
    }

    /// Whether the node is free to take over.
    pub(crate) fn free(&self, now: Millis) -> bool {
        now >= self.until
    }

    /// Whether a leader ever asked this node for a promise.
    pub(crate) fn asked(&self) -> bool {
        self.asked
    }

    /// Answers a leader's request. `known` is the latest epoch known here,
    /// `taking` that a write which makes this node the leader may take
    /// effect: a promise would then not be kept.
    pub(crate) fn ask(
        &mut self,
        request: &PromiseRequest,
        known: Epoch,
        taking: bool,
        now: Millis,
    ) -> Option<Promise> {
        let refused = (request.epoch < known).then_some(known);
        if refused.is_none() {
            if taking {
                return None;
            }
            self.until = self.until.max(now.plus(SPAN));
            self.asked = true;
        }
        Some(Promise {
            group: request.group,
            epoch: request.epoch,
            echo: request.sent,
            refused,
        })
    }
}
