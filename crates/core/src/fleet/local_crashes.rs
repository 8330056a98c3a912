//! Crashes of the local upstream, and the requests that may have caused them.
//!
//! The requests that were running at a crash are suspects, and so are those
//! that ended without an answer before it and may have run until it. When an
//! announcement arrives says nothing about that: the upstream may have sent it
//! before the crash. An answer does, since the upstream was up when it received
//! the request.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::request::recent_answers::RecentAnswers;

/// Number of crashes of the local upstream after which this node refuses a
/// request, whatever other nodes have counted.
const LOCAL_LIMIT_COUNT: usize = 2;

/// How long a crash counts against its suspects.
const CRASH_RETENTION_MS: u64 = 600_000;

/// How long the suspects of a crash are reported in each datagram.
const REPORT_PERIOD_MS: u64 = 10_000;

/// Most suspects that are remembered. All of them take 480 of the 1,200 bytes
/// that a datagram may have.
const MAX_SUSPECT_COUNT: usize = 48;

/// Most requests without an answer that are remembered.
const MAX_UNANSWERED_COUNT: usize = 64;

/// A request that has ended at the upstream without an answer.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    request: Fingerprint,
    ended: Millis,
    /// Until when the upstream may go on with it.
    deadline: Millis,
}

/// The suspects of a crash.
#[derive(Clone, Debug)]
pub(super) struct Suspects {
    /// The requests that may have caused it.
    pub(super) counted: Vec<Fingerprint>,
    /// The requests that are no suspects, since they were answered recently.
    pub(super) cleared: Vec<Fingerprint>,
}

/// Crashes of the local upstream.
#[derive(Debug, Default)]
pub(super) struct LocalCrashes {
    unanswered: VecDeque<Unanswered>,
    /// When the latest request was sent that the upstream has answered.
    alive_at: Millis,
    /// Suspects with the time of their crash, the oldest first.
    crashes: VecDeque<(Fingerprint, Millis)>,
}

impl LocalCrashes {
    /// Records that a new instance of the upstream has started.
    pub(super) fn begin_instance(&mut self) {
        self.unanswered.clear();
    }

    /// Records that the upstream has answered a request that was sent at
    /// `sent`.
    pub(super) fn record_alive(&mut self, sent: Millis) {
        self.alive_at = self.alive_at.max(sent);
    }

    /// Records that a request has ended without an answer.
    pub(super) fn record_unanswered(
        &mut self,
        request: Fingerprint,
        deadline: Millis,
        now: Millis,
    ) {
        let alive_at = self.alive_at;
        self.unanswered.retain(|old| old.may_run(alive_at, now));
        if self.unanswered.len() >= MAX_UNANSWERED_COUNT {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            request,
            ended: now,
            deadline,
        });
    }

    /// Records a crash of the upstream while these requests were running.
    pub(super) fn record_crash(
        &mut self,
        running: Vec<Fingerprint>,
        answers: &RecentAnswers,
        now: Millis,
    ) -> Suspects {
        let mut all = running;
        for unanswered in std::mem::take(&mut self.unanswered) {
            if unanswered.may_run(self.alive_at, now) {
                all.push(unanswered.request);
            }
        }
        all.sort();
        all.dedup();
        let (cleared, counted): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|&request| answers.contains(request, now));
        self.crashes.extend(counted.iter().map(|&request| (request, now)));
        let excess = self.crashes.len().saturating_sub(MAX_SUSPECT_COUNT);
        self.crashes.drain(..excess);
        Suspects { counted, cleared }
    }

    /// Forgets the crashes at which a request was running.
    pub(super) fn forget(&mut self, request: Fingerprint) {
        self.crashes.retain(|crash| crash.0 != request);
    }

    /// The suspects of recent crashes, the latest first; a request occurs once
    /// for each crash.
    pub(super) fn report(&self, now: Millis) -> Vec<Fingerprint> {
        let recent =
            |crash: &&(_, Millis)| now.since(crash.1) <= REPORT_PERIOD_MS;
        let crashes = self.crashes.iter().rev().take_while(recent);
        crashes.map(|crash| crash.0).collect()
    }

    /// Whether a request was running at so many crashes of this upstream that
    /// it must not be sent to it again.
    pub(super) fn is_harmful(
        &self,
        request: Fingerprint,
        now: Millis,
    ) -> bool {
        let crashes = self.crashes.iter().filter(|crash| {
            crash.0 == request && now.since(crash.1) <= CRASH_RETENTION_MS
        });
        crashes.count() >= LOCAL_LIMIT_COUNT
    }
}

impl Unanswered {
    /// Whether the upstream may have worked on the request until now: its time
    /// is not over, or nothing that was sent later has been answered.
    fn may_run(&self, alive_at: Millis, now: Millis) -> bool {
        self.deadline >= now || self.ended >= alive_at
    }
}
