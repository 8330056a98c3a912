//! Detection of requests that crash upstreams.
//!
//! A crash makes suspects of the requests that were in flight. They are
//! reported to the group's leader, which declares a request harmful after two
//! crashes; this process also refuses on its own a request that was in flight
//! at two crashes here. A request that the upstream answered within the last
//! minute is no suspect, since a frequent harmless request is in flight at
//! every crash.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::id::Fingerprint;
//! use lagoondyke_core::request::poison::Suspects;
//!
//! let mut suspects = Suspects::new();
//! suspects.record_answer(Fingerprint(1), Millis(0));
//! for crash in [1_000, 9_000] {
//!     let in_flight = [Fingerprint(1), Fingerprint(2)];
//!     suspects.record_crash(in_flight, Millis(crash));
//! }
//! assert!(!suspects.is_harmful(Fingerprint(1), Millis(9_000)));
//! assert!(suspects.is_harmful(Fingerprint(2), Millis(9_000)));
//! ```

use std::collections::{BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::request::recent_answers::RecentAnswers;

/// Number of crashes after which a request is harmful.
const HARMFUL_CRASH_COUNT: usize = 2;

/// How long a crash counts against its suspects.
const CRASH_RETENTION_MS: u64 = 600_000;

/// How long the suspects of a crash are reported: long enough for a new leader
/// to be elected, short enough to keep heartbeats small.
const REPORT_PERIOD_MS: u64 = 10_000;

/// Limit on the suspects that are remembered, and on the lost connections. All
/// suspects would take 480 of the 1,200 bytes that a datagram may have; a
/// heartbeat carries 16 of them at most.
const MAX_SUSPECT_COUNT: usize = 48;

/// How long before a crash a lost connection is attributed to it. The crash
/// itself is noticed later, by a probe.
const LOST_WINDOW_MS: u64 = 1_000;

/// Requests that may have crashed this node's upstream.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Suspects with the time of their crash, the oldest first.
    crashes: VecDeque<(Fingerprint, Millis)>,
    /// Requests whose connection was lost since the last crash.
    lost: VecDeque<(Fingerprint, Millis)>,
    answers: RecentAnswers,
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

impl Suspects {
    /// A record without suspects or answers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            crashes: VecDeque::new(),
            lost: VecDeque::new(),
            answers: RecentAnswers::new(),
        }
    }

    /// Records that the upstream answered a request, which clears it.
    pub fn record_answer(&mut self, request: Fingerprint, now: Millis) {
        self.answers.record(request, now);
        if !self.crashes.is_empty() {
            self.crashes.retain(|crash| crash.0 != request);
        }
    }

    /// Records that the connection was lost on which a request ran.
    pub fn record_lost(&mut self, request: Fingerprint, now: Millis) {
        if self.lost.len() >= MAX_SUSPECT_COUNT {
            self.lost.pop_front();
        }
        self.lost.push_back((request, now));
    }

    /// Records a crash of the upstream while these requests were in flight.
    /// Returns the suspects, each once.
    pub fn record_crash(
        &mut self,
        in_flight: impl IntoIterator<Item = Fingerprint>,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let since = Millis(now.0.saturating_sub(LOST_WINDOW_MS));
        let lost = std::mem::take(&mut self.lost);
        let lost = lost.into_iter().filter(|lost| lost.1 >= since);
        let lost = lost.map(|lost| lost.0);
        let mut all: Vec<Fingerprint> = in_flight.into_iter().collect();
        all.extend(lost);
        all.sort();
        all.dedup();
        all.retain(|&request| !self.answers.contains(request, now));
        self.crashes.extend(all.iter().map(|&request| (request, now)));
        let excess = self.crashes.len().saturating_sub(MAX_SUSPECT_COUNT);
        self.crashes.drain(..excess);
        all
    }

    /// The suspects of recent crashes, the latest first. A request occurs once
    /// for each of its crashes, the recent and earlier ones, so that a leader
    /// that has missed a report learns the number from the next.
    #[must_use]
    pub fn report(&self, now: Millis) -> Vec<Fingerprint> {
        let latest_first = || self.crashes.iter().rev();
        let recent: BTreeSet<Fingerprint> = latest_first()
            .take_while(|crash| now.since(crash.1) <= REPORT_PERIOD_MS)
            .map(|crash| crash.0)
            .collect();
        latest_first()
            .filter(|crash| now.since(crash.1) <= CRASH_RETENTION_MS)
            .map(|crash| crash.0)
            .filter(|request| recent.contains(request))
            .collect()
    }

    /// Whether a request was in flight at two recent crashes of this upstream.
    #[must_use]
    pub fn is_harmful(&self, request: Fingerprint, now: Millis) -> bool {
        let crashes = self.crashes.iter().filter(|crash| {
            crash.0 == request && now.since(crash.1) <= CRASH_RETENTION_MS
        });
        crashes.count() >= HARMFUL_CRASH_COUNT
    }
}
