//! Promises not to take over, as a node makes them to its group's leader.
//!
//! Any node answers promise requests, since a member must have promised before
//! the leader adds it to the record as a standby.

use crate::clock::Millis;
use crate::control::{Promise, PromiseRequest};
use crate::group::rules::{PromiseDecision, decide_promise, promise_end};
use crate::id::Epoch;

/// The promises that a node has made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standby {
    /// The node must not take over before this instant.
    pub(crate) promised_until: Millis,
    /// Whether this process has made a promise to a leader.
    pub(crate) has_promised: bool,
}

impl Standby {
    /// A process that starts at `now` may have made promises that it does not
    /// remember, and is bound as if it had made one at its start.
    pub(crate) fn new(now: Millis) -> Self {
        Self { promised_until: promise_end(now), has_promised: false }
    }

    /// Answers a leader's request; see [`decide_promise`]. `None` means that
    /// the request is ignored.
    pub(crate) fn answer_request(
        &mut self,
        request: &PromiseRequest,
        known: Epoch,
        record_read: bool,
        takeover_pending: bool,
        now: Millis,
    ) -> Option<Promise> {
        let refused = match decide_promise(
            request.epoch,
            known,
            record_read,
            takeover_pending,
        ) {
            PromiseDecision::Ignore => return None,
            PromiseDecision::Refuse => Some(known),
            PromiseDecision::Promise => {
                self.promised_until =
                    self.promised_until.max(promise_end(now));
                self.has_promised = true;
                None
            }
        };
        Some(Promise {
            group: request.group,
            epoch: request.epoch,
            echo: request.sent,
            refused,
        })
    }
}
