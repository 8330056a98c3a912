//! Memory of the requests that crash upstreams.
//!
//! A node reports to its peers how many copies of each request were running
//! when its upstream crashed. Each node adds up the highest numbers that the
//! others have reported, since a request may return at any node long after a
//! crash. A request of which crashes have ended [`CRASH_LIMIT_COUNT`] copies is
//! harmful. An answer clears a request, because a frequent one is running at
//! many crashes.
//!
//! A node that finds a request harmful names it in its reports as often as the
//! limit says, so that nodes that have restarted since the crashes learn of
//! it. What a node has only been told it does not report, or no request would
//! ever be forgotten. Its record in the store names them as well, for a restart
//! of all nodes at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::fleet::lease::HarmfulRequest;
use crate::fleet::local_crashes::{LocalCrashes, Suspects};
use crate::id::Fingerprint;
use crate::request::poison_tracker::{PoisonTracker, QUARANTINE_MS};
use crate::request::recent_answers::RecentAnswers;

/// Number of copies ended by crashes, over all nodes, after which a request is
/// harmful.
const CRASH_LIMIT_COUNT: u32 = 3;

/// Most harmful requests that are remembered.
const MAX_HARMFUL_COUNT: usize = 64;

/// Most harmful requests that a report names. A datagram has 1,200 bytes, and
/// each takes up to 30 of them.
const MAX_REPORTED_COUNT: usize = 8;

/// One of so many reports names the suspects of all crashes that count, for
/// nodes that were cut off, frozen or not yet started when they were recent.
const COMPLETE_REPORT_COUNT: u32 = 10;

/// Identifies the process of a node: its name and incarnation.
type Process = (String, u64);

/// A request that must not be sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Harmful {
    /// When it is forgotten.
    until: Millis,
    /// Whether this node has counted the crashes, rather than being told of
    /// the result.
    counted: bool,
}

/// What follows from a crash here or at another node.
#[derive(Clone, Debug, Default)]
pub(super) struct Finding {
    /// Requests that were running at more crashes than known before, with the
    /// number, where that is two or more.
    pub(super) counted: Vec<(Fingerprint, u32)>,
    /// Requests that are now harmful.
    pub(super) harmful: Vec<Fingerprint>,
}

/// Requests that may have crashed upstreams, here and at other nodes.
#[derive(Debug)]
pub(super) struct CrashMemory {
    own: LocalCrashes,
    answers: RecentAnswers,
    /// Crashes of all upstreams.
    tracker: PoisonTracker<Process>,
    harmful: BTreeMap<Fingerprint, Harmful>,
    /// Whether this node has found a request harmful that its record in the
    /// store does not name yet.
    unrecorded: bool,
    /// Number of reports since the last one that named all crashes.
    incomplete_reports: u32,
}

impl CrashMemory {
    pub(super) fn new() -> Self {
        let tracker = PoisonTracker::new(CRASH_LIMIT_COUNT);
        Self {
            own: LocalCrashes::default(),
            answers: RecentAnswers::new(),
            tracker,
            harmful: BTreeMap::new(),
            unrecorded: false,
            incomplete_reports: 0,
        }
    }

    /// Records that an upstream, here or at another node, answered a request
    /// with this status. A failure does not clear the request, since an
    /// upstream may fail it before it crashes.
    pub(super) fn record_answer(
        &mut self,
        request: Fingerprint,
        status: u16,
        now: Millis,
    ) {
        if status >= 500 {
            return;
        }
        self.answers.record(request, now);
        self.own.forget(request);
        self.tracker.forget(request);
        self.harmful.remove(&request);
    }

    /// Records that a new instance of the local upstream has started.
    pub(super) fn begin_instance(&mut self) {
        self.own.begin_instance();
    }

    /// Records that the local upstream has answered a request that was sent at
    /// `sent`.
    pub(super) fn record_alive(&mut self, sent: Millis) {
        self.own.record_alive(sent);
    }

    /// Records that a request ended at the local upstream without an answer.
    /// The upstream may go on with it until `deadline`.
    pub(super) fn record_unanswered(
        &mut self,
        request: Fingerprint,
        deadline: Millis,
        now: Millis,
    ) {
        self.own.record_unanswered(request, deadline, now);
    }

    /// Records a crash of the local upstream while these requests were
    /// running.
    pub(super) fn record_crash(
        &mut self,
        running: Vec<Fingerprint>,
        now: Millis,
    ) -> (Suspects, Finding) {
        let suspects = self.own.record_crash(running, &self.answers, now);
        let harmful = self.tracker.record(suspects.counted.clone(), now);
        let unique: BTreeSet<_> = suspects.counted.iter().copied().collect();
        let counted = self.counts_of(unique.into_iter());
        let harmful = self.add_harmful(harmful, true, now);
        (suspects, Finding { counted, harmful })
    }

    /// The number of crashes of each of these requests, where it is two or
    /// more.
    fn counts_of(
        &self,
        requests: impl Iterator<Item = Fingerprint>,
    ) -> Vec<(Fingerprint, u32)> {
        let counts = requests.map(|r| (r, self.tracker.count(r)));
        counts.filter(|&(_, count)| count >= 2).collect()
    }

    /// Counts the crashes that a node reports.
    pub(super) fn record_report(
        &mut self,
        process: Process,
        suspects: &[Fingerprint],
        now: Millis,
    ) -> Finding {
        if suspects.is_empty() {
            return Finding::default();
        }
        let mut suspects = suspects.to_vec();
        suspects.retain(|&s| !self.answers.contains(s, now));
        let occurrences = |request: Fingerprint| {
            suspects.iter().filter(|&&s| s == request).count()
        };
        let (told, counted): (Vec<_>, Vec<_>) =
            suspects.iter().partition(|&&suspect| {
                occurrences(suspect) >= CRASH_LIMIT_COUNT as usize
            });
        let before: BTreeMap<Fingerprint, u32> =
            counted.iter().map(|&s| (s, self.tracker.count(s))).collect();
        let reached = self.tracker.report(process, &counted, now);
        let mut counted = self.counts_of(before.keys().copied());
        counted.retain(|(request, count)| *count > before[request]);
        let mut harmful = self.add_harmful(reached, true, now);
        harmful.extend(self.add_harmful(told, false, now));
        Finding { counted, harmful }
    }

    /// Adds harmful requests and returns those that were not known.
    fn add_harmful(
        &mut self,
        requests: Vec<Fingerprint>,
        counted: bool,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let until = now.plus(QUARANTINE_MS);
        let mut new = Vec::new();
        for request in requests {
            let known = self.harmful.get(&request);
            if known
                .is_some_and(|old| old.until > now && old.counted >= counted)
            {
                continue;
            }
            self.harmful.insert(request, Harmful { until, counted });
            self.unrecorded |= counted;
            new.push(request);
        }
        self.drop_excess(now);
        new
    }

    /// Forgets the requests whose time is over, and the earliest ones beyond
    /// [`MAX_HARMFUL_COUNT`].
    fn drop_excess(&mut self, now: Millis) {
        self.harmful.retain(|_, entry| entry.until > now);
        while self.harmful.len() > MAX_HARMFUL_COUNT {
            let oldest = self.harmful.iter().min_by_key(|(_, h)| h.until);
            let Some((&oldest, _)) = oldest else { break };
            self.harmful.remove(&oldest);
        }
    }

    /// Has the next report name all crashes, since a node may have missed
    /// earlier reports.
    pub(super) fn complete_next_report(&mut self) {
        self.incomplete_reports = COMPLETE_REPORT_COUNT;
    }

    /// What the other nodes are told: the requests that were running at
    /// crashes of the local upstream, each once for each crash, and those that
    /// this node has found harmful, as often as [`CRASH_LIMIT_COUNT`]. Most
    /// reports name only the suspects of recent crashes.
    pub(super) fn report(&mut self, now: Millis) -> Vec<Fingerprint> {
        let complete = self.incomplete_reports + 1 >= COMPLETE_REPORT_COUNT;
        self.incomplete_reports =
            if complete { 0 } else { self.incomplete_reports + 1 };
        let mut report = self.own.report(complete, now);
        for (_, request) in self.found_harmful(now) {
            let times = CRASH_LIMIT_COUNT as usize;
            report.extend(std::iter::repeat_n(request, times));
        }
        report
    }

    /// The requests that this node has found harmful and when each is
    /// forgotten, the latest first, at most [`MAX_REPORTED_COUNT`].
    fn found_harmful(&self, now: Millis) -> Vec<(Millis, Fingerprint)> {
        let mut found: Vec<(Millis, Fingerprint)> = Vec::new();
        for (&request, entry) in &self.harmful {
            if entry.counted && entry.until > now {
                found.push((entry.until, request));
            }
        }
        found.sort();
        found.reverse();
        found.truncate(MAX_REPORTED_COUNT);
        found
    }

    /// The requests that this node has found harmful, for its record in the
    /// store, with the time for which they are still refused.
    pub(super) fn recorded(&self, now: Millis) -> Vec<HarmfulRequest> {
        let found = self.found_harmful(now).into_iter();
        let recorded = found.map(|(until, request)| {
            let left_ms = until.since(now);
            HarmfulRequest { request, left_ms }
        });
        recorded.collect()
    }

    /// Adopts the requests in a node's record. They were counted before the
    /// node restarted, so they are reported as if this process had counted
    /// them.
    pub(super) fn adopt_record(
        &mut self,
        recorded: &[HarmfulRequest],
        now: Millis,
    ) {
        for &HarmfulRequest { request, left_ms } in recorded {
            let until = now.plus(left_ms.min(QUARANTINE_MS));
            let entry = Harmful { until, counted: true };
            self.harmful.entry(request).or_insert(entry);
        }
        self.drop_excess(now);
    }

    /// Whether the node's record does not name all requests that the node has
    /// found harmful.
    pub(super) fn is_unrecorded(&self) -> bool {
        self.unrecorded
    }

    /// Notes that the node's record is being written.
    pub(super) fn set_recorded(&mut self) {
        self.unrecorded = false;
    }

    /// Whether a request must not be sent to an upstream.
    pub(super) fn is_harmful(
        &self,
        request: Fingerprint,
        now: Millis,
    ) -> bool {
        self.own.is_harmful(request, now)
            || self.harmful.get(&request).is_some_and(|h| h.until > now)
    }
}
