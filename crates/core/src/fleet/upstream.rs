//! The upstream local to this node, as known from its announcements.
//!
//! An upstream announces itself about once a second and is answered with the
//! key ranges that it is to hold, and for how long. [`LocalUpstream`] tracks
//! which ranges the upstream may hold at any moment: a granted range counts
//! until the grant has expired or the upstream has reported its release.

use crate::clock::Millis;
use crate::fleet::event::Condition;
use crate::fleet::lease::extend_for_drift;
use crate::fleet::rate_limit::RateLimit;
use crate::fleet::table::Instance;

/// Longest duration of a grant. Announcements come every 0.87 s, so two in a
/// row may be lost.
pub const MAX_GRANT_MS: u64 = 3_000;

/// Space for ranges in the answer to an announcement. An upstream accepts
/// answers of at most 4 KiB; the rest is for the surrounding fields.
const GRANT_ROOM_BYTES: usize = 3_900;

/// Number of requests that are sent to the upstream before the first answer.
/// Sent beside the rate that it may have stated to an earlier process of this
/// node, they stay within the slack of 5 requests that the platform allows.
const MAX_UNANSWERED_COUNT: usize = 4;

/// Largest size of a range in an answer, without its handover token.
const MAX_RANGE_BYTES: usize = 32;

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Accepts work.
    #[default]
    Ready,
    /// Is about to exit and accepts no new work.
    Draining,
    /// Has exited.
    Left,
}

/// A range that an upstream reports to hold or to have requests running for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token under which it holds the range.
    pub fence: u64,
}

/// A range that an upstream reports to have released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Released {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Handover token, with which the next owner starts warm.
    pub handover: String,
}

/// An upstream's report of its state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// Identity of the upstream instance.
    pub instance: Instance,
    /// Name of its service.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: String,
    /// Number of requests that it can run concurrently.
    pub slots: u16,
    /// Whether it accepts work.
    pub phase: Phase,
    /// Remaining time for which it is cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u64,
    /// Sequence number within the instance, to detect late announcements.
    pub sequence: u64,
    /// Ranges that it holds or has requests running for.
    pub holds: Vec<Held>,
    /// Ranges that it has released, with their handover tokens.
    pub released: Vec<Released>,
}

/// A range in the answer to an announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token.
    pub fence: u64,
    /// Handover token from the earlier owner, if it released the range.
    pub handover: Option<String>,
}

/// The answer to an announcement: all ranges that the upstream is to hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// The ranges; `None` renews no grant.
    pub ranges: Option<Vec<Granted>>,
    /// Duration in milliseconds, counted from when the announcement was sent.
    pub hold_ms: u64,
}

impl Grant {
    /// A grant of as many of `ranges` as fit into an answer.
    #[must_use]
    pub fn of(ranges: Vec<Granted>, hold_ms: u64) -> Self {
        let mut room = GRANT_ROOM_BYTES;
        let mut fitting = Vec::with_capacity(ranges.len());
        for range in ranges {
            let token = range.handover.as_ref().map_or(0, String::len);
            let size = MAX_RANGE_BYTES + token;
            if size > room {
                break;
            }
            room -= size;
            fitting.push(range);
        }
        Self { ranges: Some(fitting), hold_ms }
    }
}

/// How an announcement relates to earlier ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recency {
    /// It is the latest of the current instance.
    Current,
    /// It is the first of a new instance.
    NewInstance,
    /// It arrived late or is from an earlier instance, and is ignored.
    Stale,
}

/// A range that the upstream may hold.
#[derive(Clone, Copy, Debug)]
struct Promise {
    first: u16,
    last: u16,
    /// When the grant has expired at the latest.
    until: Millis,
}

/// State of the upstream local to this node.
#[derive(Clone, Debug)]
pub struct LocalUpstream {
    instance: Option<Instance>,
    /// When the first announcement of the instance arrived.
    instance_since: Millis,
    phase: Phase,
    /// When the current instance was first known to be leaving, from an
    /// announcement or an answer.
    leaving: Option<Millis>,
    /// Whether it was leaving before this process first heard of it, so that
    /// the process cannot know since when.
    leaving_at_start: bool,
    slots: u16,
    sequence: u64,
    last_seen: Millis,
    cold_until: Millis,
    rate_limit: Option<RateLimit>,
    /// Whether any request has been answered since this node started.
    answered: bool,
    /// Whether it was found unreachable since the last announcement.
    down: bool,
    granted: Vec<Granted>,
    /// When the current grant expires, for deciding whether requests may be
    /// sent.
    grant_ends: Millis,
    promises: Vec<Promise>,
    released: Vec<Released>,
}

impl LocalUpstream {
    /// An upstream that has not announced itself. An earlier process of this
    /// node may have granted it any range shortly before `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let until = now.plus(extend_for_drift(MAX_GRANT_MS));
        Self {
            instance: None,
            instance_since: now,
            phase: Phase::Ready,
            leaving: None,
            leaving_at_start: false,
            slots: 0,
            sequence: 0,
            last_seen: now,
            cold_until: now,
            rate_limit: None,
            answered: false,
            down: false,
            granted: Vec::new(),
            grant_ends: now,
            promises: vec![Promise { first: 0, last: u16::MAX, until }],
            released: Vec::new(),
        }
    }

    /// Applies an announcement.
    pub fn apply_announcement(
        &mut self,
        announcement: &Announcement,
        now: Millis,
    ) -> Recency {
        let recency = self.recency_of(announcement);
        match recency {
            Recency::Stale => return recency,
            Recency::NewInstance => {
                // The earlier instance has ended: the new one uses its
                // address.
                self.leaving_at_start = self.instance.is_none()
                    && announcement.phase != Phase::Ready;
                self.instance = Some(announcement.instance.clone());
                self.instance_since = now;
                self.phase = Phase::Ready;
                self.leaving = None;
                self.rate_limit = None;
                self.granted.clear();
                self.promises.clear();
                self.released.clear();
            }
            Recency::Current => {}
        }
        self.sequence = announcement.sequence;
        self.last_seen = now;
        self.down = false;
        self.slots = announcement.slots;
        if self.phase != Phase::Left {
            self.phase = announcement.phase;
        }
        if self.phase != Phase::Ready {
            self.leaving.get_or_insert(now);
        }
        self.cold_until = now.plus(announcement.cold_ms);
        self.update_promises(announcement, now);
        recency
    }

    fn recency_of(&self, announcement: &Announcement) -> Recency {
        let Some(known) = &self.instance else { return Recency::NewInstance };
        if *known == announcement.instance {
            let newer = announcement.sequence > self.sequence;
            return if newer { Recency::Current } else { Recency::Stale };
        }
        if announcement.instance.started_ms > known.started_ms {
            Recency::NewInstance
        } else {
            Recency::Stale
        }
    }

    /// Drops promises of ranges that the upstream no longer holds, and adds
    /// ranges that it holds without a known promise.
    fn update_promises(&mut self, announcement: &Announcement, now: Millis) {
        let granted = self.granted.iter().map(|g| (g.first, g.last));
        let held = announcement.holds.iter().map(|h| (h.first, h.last));
        let kept: Vec<(u16, u16)> = granted.chain(held).collect();
        let old = std::mem::take(&mut self.promises);
        for promise in old {
            if promise.until <= now {
                continue;
            }
            for &(first, last) in &kept {
                self.add_promise(Promise {
                    first: first.max(promise.first),
                    last: last.min(promise.last),
                    until: promise.until,
                });
            }
        }
        // A grant by an earlier process of this node expires no later than one
        // made now would.
        let until = now.plus(extend_for_drift(MAX_GRANT_MS));
        for held in &announcement.holds {
            let Held { first, last, .. } = *held;
            let mut known = self.promises.iter();
            if !known.any(|p| p.first <= first && last <= p.last) {
                self.promises.push(Promise { first, last, until });
            }
        }
        for released in &announcement.released {
            if !self.released.contains(released) {
                self.released.push(released.clone());
            }
        }
    }

    /// Records a range that the upstream may hold.
    fn add_promise(&mut self, new: Promise) {
        if new.first > new.last {
            return;
        }
        let covers =
            |old: &Promise| old.first <= new.first && new.last <= old.last;
        let mut known = self.promises.iter_mut().filter(|old| covers(old));
        let known = known.find(|old| {
            old.until >= new.until
                || (old.first, old.last) == (new.first, new.last)
        });
        match known {
            Some(old) => old.until = old.until.max(new.until),
            None => self.promises.push(new),
        }
    }

    /// Records that the upstream has reported its exit. One that did not
    /// announce beforehand that it was draining still serves for a while.
    pub fn set_left(&mut self, id: &str, now: Millis) {
        if self.instance.as_ref().is_some_and(|instance| instance.id == id) {
            self.down |= self.phase == Phase::Draining;
            self.phase = Phase::Left;
            self.leaving.get_or_insert(now);
        }
    }

    /// Records that the upstream refused a connection.
    pub fn set_unreachable(&mut self) {
        self.down = true;
    }

    /// Records the grant in the answer to the latest announcement.
    pub fn record_grant(&mut self, grant: &Grant, now: Millis) {
        let Some(ranges) = &grant.ranges else { return };
        self.granted.clone_from(ranges);
        self.grant_ends = now.plus(grant.hold_ms);
        let until = now.plus(extend_for_drift(grant.hold_ms));
        for range in ranges {
            let (first, last) = (range.first, range.last);
            self.add_promise(Promise { first, last, until });
        }
        self.released.retain(|old| {
            !ranges
                .iter()
                .any(|new| new.first <= old.last && old.first <= new.last)
        });
    }

    /// Whether the upstream may hold a key of `first..=last`.
    #[must_use]
    pub fn may_hold(&self, first: u16, last: u16, now: Millis) -> bool {
        let mut promises = self.promises.iter();
        promises.any(|p| p.until > now && p.first <= last && first <= p.last)
    }

    /// Whether a key is granted to the upstream and the grant has not expired.
    #[must_use]
    pub fn holds(&self, key: u16, now: Millis) -> bool {
        let mut granted = self.granted.iter();
        now < self.grant_ends
            && granted.any(|g| g.first <= key && key <= g.last)
    }

    /// The handover token of the latest release that includes all of
    /// `first..=last`.
    #[must_use]
    pub fn handover(&self, first: u16, last: u16) -> Option<&str> {
        let mut released = self.released.iter().rev();
        released
            .find(|r| r.first <= first && last <= r.last)
            .map(|r| r.handover.as_str())
    }

    /// Released ranges. A moving range may be split at their bounds so that
    /// each part has its handover token.
    #[must_use]
    pub fn released(&self) -> &[Released] {
        &self.released
    }

    /// The current instance; `None` before the first announcement.
    #[must_use]
    pub fn instance(&self) -> Option<&Instance> {
        self.instance.as_ref()
    }

    /// Whether the upstream is up and accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_up() && !self.is_leaving()
    }

    /// Whether the upstream has announced itself and was not found unreachable
    /// since.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.instance.is_some() && !self.down
    }

    /// When the upstream was first known to be leaving; `None` if it is not.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Millis> {
        self.leaving
    }

    /// Whether the upstream has been leaving for an unknown time.
    #[must_use]
    pub fn was_leaving_at_start(&self) -> bool {
        self.leaving_at_start
    }

    /// When the latest announcement arrived.
    #[must_use]
    pub fn announced_at(&self) -> Millis {
        self.last_seen
    }

    /// Whether the upstream has said that it is draining or has exited, in an
    /// announcement or in an answer. An instance that is leaving does not come
    /// back.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether the upstream has reported its exit.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Time since the last announcement, in milliseconds.
    #[must_use]
    pub fn silence_ms(&self, now: Millis) -> u64 {
        now.since(self.last_seen)
    }

    /// Whether the upstream is cold, so that its request rate is limited.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Treats the upstream as cold for at least `left_ms` more milliseconds.
    pub fn set_cold(&mut self, left_ms: u64, now: Millis) {
        self.cold_until = self.cold_until.max(now.plus(left_ms));
    }

    /// Applies what the upstream says of itself in an answer to a request that
    /// was sent at `sent`, unless an earlier instance said it. Only an answer to a request that was sent after the
    /// limit was last stated can end it: answers may overtake each other.
    pub fn apply_condition(
        &mut self,
        condition: Condition,
        sent: Millis,
        now: Millis,
    ) {
        if sent < self.instance_since {
            return;
        }
        self.answered = true;
        if let Some(left_ms) = condition.cold_ms {
            self.set_cold(left_ms, now);
        }
        if condition.leaving {
            self.leaving.get_or_insert(now);
        }
        match (&mut self.rate_limit, condition.rate_limit) {
            (Some(limit), Some(rate)) => limit.restate(rate, now),
            (None, Some(rate)) => {
                self.rate_limit = Some(RateLimit::new(rate, now));
            }
            (Some(limit), None) if sent >= limit.stated() => {
                self.rate_limit = None;
            }
            (_, None) => {}
        }
    }

    /// The limit that the upstream states, if any.
    #[must_use]
    pub fn rate_limit(&self) -> Option<&RateLimit> {
        self.rate_limit.as_ref()
    }

    /// Counts a request that is sent to the upstream.
    pub fn record_sent(&mut self, now: Millis) {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(now);
        }
    }

    /// Number of requests that may run at the upstream concurrently. It is
    /// small until the first answer in this process, which says whether the
    /// upstream limits its rate.
    #[must_use]
    pub fn open_slots(&self) -> usize {
        let slots = usize::from(self.slots.max(1));
        if self.answered { slots } else { slots.min(MAX_UNANSWERED_COUNT) }
    }

    /// Number of requests that the upstream can run concurrently.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }
}
