//! Requests that were at the upstream when it crashed.
//!
//! A crash makes suspects of the requests that were in flight. They are
//! reported to the group's leader, which declares a request harmful after
//! two crashes; this process also refuses on its own what it saw at two
//! crashes. A request that the upstream answered within the last minute is
//! no suspect: a popular harmless request is in flight at every crash.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::id::Fingerprint;
//! use lagoondyke_core::request::poison::Suspects;
//!
//! let mut suspects = Suspects::new();
//! suspects.passed(Fingerprint(1), Millis(0));
//! for crash in [1_000, 9_000] {
//!     let flying = [Fingerprint(1), Fingerprint(2)];
//!     suspects.crashed(flying, Millis(crash));
//! }
//! assert!(!suspects.harmful(Fingerprint(1), Millis(9_000)));
//! assert!(suspects.harmful(Fingerprint(2), Millis(9_000)));
//! ```

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::id::Fingerprint;

/// Crashes after which a request is harmful.
const CRASHES: usize = 2;

/// Time for which crashes are remembered, in milliseconds.
const TERM: u64 = 600_000;

/// Time for which a crash is reported, in milliseconds: long enough for a
/// new leader to be found, short enough to keep heartbeats small.
const REPORT: u64 = 10_000;

/// Most suspects that are remembered. They take up to 480 bytes of a
/// heartbeat, which may have 1,200.
const SUSPECTS_MAX: usize = 48;

/// Time before a crash in which lost connections belong to it, in
/// milliseconds. The crash itself is noticed by a probe.
const LOST: u64 = 1_000;

/// Time for which an answer clears a request, in milliseconds.
const PASSED: u64 = 60_000;

/// Places for requests that were answered; each takes 16 bytes.
const PLACES: usize = 4_096;

/// Requests that may have crashed the upstream.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Suspects with the time of the crash, the oldest first.
    crashes: VecDeque<(Fingerprint, Millis)>,
    /// Requests whose connection was lost since the last crash.
    lost: VecDeque<(Fingerprint, Millis)>,
    /// Requests that were answered, each at the place of its fingerprint.
    passed: Vec<Option<(Fingerprint, Millis)>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

impl Suspects {
    /// No suspects.
    #[must_use]
    pub fn new() -> Self {
        Self {
            crashes: VecDeque::new(),
            lost: VecDeque::new(),
            passed: vec![None; PLACES],
        }
    }

    /// The upstream answered a request.
    pub fn passed(&mut self, request: Fingerprint, now: Millis) {
        let place = request.0 as usize % PLACES;
        self.passed[place] = Some((request, now));
        if !self.crashes.is_empty() {
            self.crashes.retain(|crash| crash.0 != request);
        }
    }

    /// The connection on which a request ran was lost.
    pub fn lost(&mut self, request: Fingerprint, now: Millis) {
        if self.lost.len() >= SUSPECTS_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back((request, now));
    }

    /// The upstream crashed while these requests were in flight.
    pub fn crashed(
        &mut self,
        flying: impl IntoIterator<Item = Fingerprint>,
        now: Millis,
    ) {
        let recent = |lost: &(Fingerprint, Millis)| now.since(lost.1) <= LOST;
        let lost = std::mem::take(&mut self.lost);
        let lost = lost.into_iter().filter(recent).map(|lost| lost.0);
        let mut all: Vec<Fingerprint> = flying.into_iter().collect();
        all.extend(lost);
        all.sort();
        all.dedup();
        all.retain(|&request| !self.has_passed(request, now));
        self.crashes.extend(all.into_iter().map(|request| (request, now)));
        let excess = self.crashes.len().saturating_sub(SUSPECTS_MAX);
        self.crashes.drain(..excess);
    }

    /// The suspects of recent crashes, once for each crash.
    #[must_use]
    pub fn report(&self, now: Millis) -> Vec<Fingerprint> {
        let recent = |crash: &&(_, Millis)| now.since(crash.1) <= REPORT;
        let crashes = self.crashes.iter().rev().take_while(recent);
        crashes.map(|crash| crash.0).collect()
    }

    /// Whether a request was in flight at two crashes of this upstream.
    #[must_use]
    pub fn harmful(&self, request: Fingerprint, now: Millis) -> bool {
        let crashes = self
            .crashes
            .iter()
            .filter(|crash| crash.0 == request && now.since(crash.1) <= TERM);
        crashes.count() >= CRASHES
    }

    fn has_passed(&self, request: Fingerprint, now: Millis) -> bool {
        let place = request.0 as usize % PLACES;
        self.passed[place].is_some_and(|(passed, at)| {
            passed == request && now.since(at) <= PASSED
        })
    }
}
