//! Crashes of the local upstream, and the requests that may have caused them.
//!
//! The requests that were running at a crash are suspects, and so are those
//! that ended without an answer before it and may have run until it. When an
//! announcement arrives says nothing about that: the upstream may have sent it
//! before the crash. An answer does, since the upstream was up when it received
//! the request.
//!
//! For each suspect the number of its copies that crashes have ended is
//! counted, and reported as a whole. It only rises while the request is not
//! answered, so that a peer learns it from any report, whichever others it has
//! missed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::request::poison_tracker::QUARANTINE_MS;
use crate::request::recent_answers::RecentAnswers;

/// Number of crashes of the local upstream after which this node refuses a
/// request, whatever other nodes have counted.
const LOCAL_LIMIT_COUNT: u32 = 2;

/// Most copies of a request that one crash counts: with so many the request is
/// harmful.
const MAX_COPY_COUNT: u32 = 3;

/// How long the suspects of a crash are reported in each datagram.
const REPORT_PERIOD_MS: u64 = 10_000;

/// Most crashes of suspects that a report names. All of them take 480 of the
/// 1,200 bytes that a datagram may have.
const MAX_REPORTED_COUNT: usize = 48;

/// Most suspects that are remembered.
const MAX_SUSPECT_COUNT: usize = 256;

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

/// Crashes at which a request was running.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CrashCount {
    /// Number of its copies that were running.
    copies: u32,
    crashes: u32,
    latest: Millis,
}

/// The suspects of a crash.
#[derive(Clone, Debug)]
pub(super) struct Suspects {
    /// The requests that may have caused it, each once for each copy.
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
    counts: BTreeMap<Fingerprint, CrashCount>,
    /// The requests for which a crash of the current instance is counted. An
    /// instance that refuses connections has not always ended.
    counted: BTreeSet<Fingerprint>,
}

impl LocalCrashes {
    /// Records that a new instance of the upstream has started.
    pub(super) fn begin_instance(&mut self) {
        self.unanswered.clear();
        self.counted.clear();
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

    /// Records a crash of the upstream while these requests were running. A
    /// request is a suspect at one crash of an instance.
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
        let mut copies: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        for request in all {
            if !self.counted.contains(&request) {
                *copies.entry(request).or_default() += 1;
            }
        }
        self.counts.retain(|_, count| count.counts_at(now));
        let (mut counted, mut cleared) = (Vec::new(), Vec::new());
        for (request, copies) in copies {
            if answers.contains(request, now) {
                cleared.push(request);
                continue;
            }
            let copies = copies.min(MAX_COPY_COUNT);
            let new = CrashCount { copies: 0, crashes: 0, latest: now };
            let count = self.counts.entry(request).or_insert(new);
            count.copies += copies;
            count.crashes += 1;
            count.latest = now;
            counted.extend(std::iter::repeat_n(request, copies as usize));
        }
        self.drop_excess();
        self.counted.extend(&counted);
        Suspects { counted, cleared }
    }

    /// Forgets the suspects beyond [`MAX_SUSPECT_COUNT`], those with few
    /// crashes first and of these the earliest.
    fn drop_excess(&mut self) {
        while self.counts.len() > MAX_SUSPECT_COUNT {
            let least = self.counts.iter().min_by_key(|(_, count)| **count);
            let Some((&least, _)) = least else { break };
            self.counts.remove(&least);
        }
    }

    /// Forgets the crashes at which a request was running.
    pub(super) fn forget(&mut self, request: Fingerprint) {
        self.counts.remove(&request);
    }

    /// The suspects of recent crashes, or of all that count if `complete`. A
    /// request occurs once for each of its copies that crashes have ended, the
    /// recent and earlier ones; those with most come first, and of these the
    /// latest.
    pub(super) fn report(
        &self,
        complete: bool,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let mut reported: Vec<(CrashCount, Fingerprint)> = Vec::new();
        for (&request, &count) in &self.counts {
            let recent = now.since(count.latest) <= REPORT_PERIOD_MS;
            if recent || complete && count.counts_at(now) {
                reported.push((count, request));
            }
        }
        reported.sort_unstable();
        let mut report = Vec::new();
        for (count, request) in reported.into_iter().rev() {
            let copies = count.copies as usize;
            report.extend(std::iter::repeat_n(request, copies));
        }
        report.truncate(MAX_REPORTED_COUNT);
        report
    }

    /// Whether a request was running at so many crashes of this upstream that
    /// it must not be sent to it again.
    pub(super) fn is_harmful(
        &self,
        request: Fingerprint,
        now: Millis,
    ) -> bool {
        self.counts.get(&request).is_some_and(|count| {
            count.counts_at(now) && count.crashes >= LOCAL_LIMIT_COUNT
        })
    }
}

impl CrashCount {
    /// Whether the crashes still count.
    fn counts_at(&self, now: Millis) -> bool {
        now.since(self.latest) <= QUARANTINE_MS
    }
}

impl Unanswered {
    /// Whether the upstream may have worked on the request until now: its time
    /// is not over, or nothing that was sent later has been answered.
    fn may_run(&self, alive_at: Millis, now: Millis) -> bool {
        self.deadline >= now || self.ended >= alive_at
    }
}
