//! Promises of a node that may take over.
//!
//! Any node answers promise requests, since a member must have promised
//! before the leader adds it to the record as a standby.

use crate::clock::Millis;
use crate::control::{Promise, PromiseRequest};
use crate::group::rules::{Answer, answer, promise_end};
use crate::id::Epoch;

/// What a node has promised.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standby {
    /// No takeover before this instant.
    pub(crate) bound: Millis,
    /// Whether a leader has asked this node for a promise.
    pub(crate) asked: bool,
}

impl Standby {
    /// A process that started at `now` may have made promises that it does
    /// not remember.
    pub(crate) fn new(now: Millis) -> Self {
        Self { bound: promise_end(now), asked: false }
    }

    /// Answers a leader's request; see [`answer`].
    pub(crate) fn ask(
        &mut self,
        request: &PromiseRequest,
        known: Epoch,
        informed: bool,
        taking: bool,
        now: Millis,
    ) -> Option<Promise> {
        let refused = match answer(request.epoch, known, informed, taking) {
            Answer::Silence => return None,
            Answer::Refuse => Some(known),
            Answer::Promise => {
                self.bound = self.bound.max(promise_end(now));
                self.asked = true;
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
