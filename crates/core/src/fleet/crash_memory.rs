//! Memory of the requests that crash upstreams.
//!
//! A node reports to its peers which requests were running when its upstream
//! crashed. Each node counts these reports and remembers them for longer than
//! they are repeated, since a request may return at any node long after the
//! crash. A request that was running at [`CRASH_LIMIT_COUNT`] crashes is
//! harmful. An answer clears a request, because a frequent one is running at
//! many crashes.

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::request::poison::Suspects;
use crate::request::poison_tracker::PoisonTracker;

/// Number of upstream crashes, over all nodes, after which a request is
/// harmful.
const CRASH_LIMIT_COUNT: u32 = 3;

/// Identifies the process of a node: its name and incarnation.
type Process = (String, u64);

/// Requests that may have crashed upstreams, here and at other nodes.
#[derive(Debug)]
pub(super) struct CrashMemory {
    /// Crashes of the local upstream.
    own: Suspects,
    /// Crashes of all upstreams.
    tracker: PoisonTracker<Process>,
}

impl CrashMemory {
    pub(super) fn new() -> Self {
        let tracker = PoisonTracker::new(CRASH_LIMIT_COUNT);
        Self { own: Suspects::new(), tracker }
    }

    /// Records that an upstream, here or at another node, answered a request.
    pub(super) fn record_answer(&mut self, request: Fingerprint, now: Millis) {
        self.own.record_answer(request, now);
        self.tracker.forget(request);
    }

    /// Records that the connection was lost on which a request ran.
    pub(super) fn record_lost(&mut self, request: Fingerprint, now: Millis) {
        self.own.record_lost(request, now);
    }

    /// Records a crash of the local upstream while these requests were
    /// running. Returns the requests that are now harmful.
    pub(super) fn record_crash(
        &mut self,
        running: Vec<Fingerprint>,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let suspects = self.own.record_crash(running, now);
        self.tracker.record(suspects, now)
    }

    /// Counts the crashes that a node reports. Returns the requests that are
    /// now harmful.
    pub(super) fn record_report(
        &mut self,
        process: Process,
        suspects: &[Fingerprint],
        now: Millis,
    ) -> Vec<Fingerprint> {
        if suspects.is_empty() && !self.tracker.has_report(&process) {
            return Vec::new();
        }
        let mut unanswered = suspects.to_vec();
        unanswered.retain(|&s| !self.own.answered_recently(s, now));
        self.tracker.report(process, &unanswered, now)
    }

    /// The requests that were running at recent crashes of the local upstream.
    pub(super) fn report(&self, now: Millis) -> Vec<Fingerprint> {
        self.own.report(now)
    }

    /// Whether a request must not be sent to an upstream.
    pub(super) fn is_harmful(
        &self,
        request: Fingerprint,
        now: Millis,
    ) -> bool {
        self.own.is_harmful(request, now)
            || self.tracker.is_harmful(request, now)
    }
}
