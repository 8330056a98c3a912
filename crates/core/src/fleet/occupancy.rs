//! How many of its slots the upstream has left, beside the requests that the
//! node waits for.
//!
//! The two differ in both directions. An upstream may not answer a request
//! that it has no place for, or drop one: such a request is silent. It
//! occupies no slot, and a few of them would keep all others from being sent.
//! And an upstream may still work on requests that nobody waits for: those
//! whose caller has left, or that an earlier process of the node sent. What it
//! has no place for, it may never answer.
//!
//! An upstream that reports its load with its answers has as many requests as
//! it says. One that does not is taken to work on an abandoned request until
//! the deadline that it was told.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::occupancy::Occupancy;
//!
//! let mut occupancy = Occupancy::default();
//! // Four requests were sent at 0, and the upstream has one of them.
//! for now in [Millis(1_000), Millis(1_100)] {
//!     occupancy.on_answer(Some(1), [Millis(0); 4], now);
//! }
//! assert_eq!(occupancy.silent(), 3);
//! assert_eq!(occupancy.usable(6, Millis(1_100)), 9);
//! ```

use crate::clock::Millis;

/// Time after which a request that was sent shows in the load that the
/// upstream reports: longer than it takes to arrive there, and the report
/// here.
const REPORTED_AFTER_MS: u64 = 150;

/// Time after which a request that was abandoned no longer shows in that load,
/// unless the upstream works on it: its connection has been reset by then.
const DROPPED_AFTER_MS: u64 = 50;

/// Time for which a report of more requests than the node knows of counts. An
/// upstream that has no slots left for the node's requests reports nothing.
const REPORT_AGE_MS: u64 = 1_000;

/// Time without any answer, as a multiple of the mean run time, after which a
/// request is sent although all slots seem to be in use: the answer may show
/// that they are not.
const PROBE_MEAN_RATIO: f64 = 3.0;

/// Shortest such time.
const MIN_PROBE_MS: u64 = 600;

/// The upstream's use of its slots, as far as it differs from the requests
/// that the node waits for.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    /// Number of silent requests, as the latest two reports agree.
    silent: usize,
    /// Number of silent requests by the latest report alone.
    latest_silent: usize,
    /// Number of requests beyond those of the node, and when it was reported.
    surplus: Option<(usize, Millis)>,
    /// Requests without an answer for which the node no longer waits: since
    /// when, and when they have ended at the latest.
    abandoned: Vec<(Millis, Millis)>,
    answered: Option<Millis>,
    probed: Option<Millis>,
}

impl Occupancy {
    /// Records an answer. `reported` is the number of requests that the
    /// upstream says it has, `sent` when each of those was sent for which the
    /// node still waits.
    pub fn on_answer(
        &mut self,
        reported: Option<usize>,
        sent: impl IntoIterator<Item = Millis>,
        now: Millis,
    ) {
        self.answered = Some(now);
        let Some(reported) = reported else { return };
        let (mut old, mut all) = (0, 0);
        for sent in sent {
            all += 1;
            old += usize::from(now.since(sent) >= REPORTED_AFTER_MS);
        }
        let silent = old.saturating_sub(reported);
        // A report may have been made just before a request arrived.
        self.silent = silent.min(self.latest_silent);
        self.latest_silent = silent;
        self.surplus = Some((reported.saturating_sub(all), now));
        self.abandoned
            .retain(|(since, _)| now.since(*since) < DROPPED_AFTER_MS);
    }

    /// Records that the node no longer waits for a request, which the upstream
    /// gives up at `deadline`.
    pub fn on_abandoned(&mut self, deadline: Millis, now: Millis) {
        self.abandoned.retain(|(_, end)| *end > now);
        self.abandoned.push((now, deadline));
    }

    /// Records that the node now waits for `left` requests. Those that have
    /// ended may have been silent ones.
    pub fn on_ended(&mut self, left: usize) {
        self.silent = self.silent.min(left);
        self.latest_silent = self.latest_silent.min(left);
    }

    /// Number of requests that occupy no slot although they are not answered.
    #[must_use]
    pub fn silent(&self) -> usize {
        self.silent
    }

    /// Number of requests for which the node may wait at once, of an upstream
    /// with `slots` slots. At least one, so that there is an answer to learn
    /// from.
    #[must_use]
    pub fn usable(&self, slots: usize, now: Millis) -> usize {
        let surplus = match self.surplus {
            Some((count, at)) if now.since(at) < REPORT_AGE_MS => count,
            _ => 0,
        };
        let abandoned = self.abandoned.iter().filter(|(_, end)| *end > now);
        let taken = surplus + abandoned.count();
        (slots + self.silent).saturating_sub(taken).max(1)
    }

    /// Whether a request is to be sent although all slots seem to be in use,
    /// since nothing has been answered for long. `oldest` is when the oldest
    /// request was sent for which the node waits.
    #[must_use]
    pub fn may_probe(
        &self,
        oldest: Millis,
        mean_ms: f64,
        now: Millis,
    ) -> bool {
        let span = MIN_PROBE_MS.max((mean_ms * PROBE_MEAN_RATIO) as u64);
        let is_over =
            |at: Option<Millis>| at.is_none_or(|at| now.since(at) >= span);
        now.since(oldest) >= span
            && is_over(self.answered)
            && is_over(self.probed)
    }

    /// Records that a request is sent beyond the slots.
    pub fn on_probe(&mut self, now: Millis) {
        self.probed = Some(now);
    }
}
