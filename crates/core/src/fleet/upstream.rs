//! The upstream local to this node, as known from its announcements.
//!
//! An upstream announces itself about once a second and is answered with the
//! key ranges that it is to hold, and for how long, or is told so in calls.
//! [`LocalUpstream`] tracks which ranges the upstream may hold at any moment:
//! a granted range counts until the grant has expired or the upstream has
//! reported its release.
//!
//! A call without an answer may be applied late, even after the upstream has
//! released the range, and by an instance that started meanwhile. Such a grant
//! counts until it has expired, whatever the upstream reports.

use crate::clock::Millis;
use crate::fleet::balance::subtract;
use crate::fleet::event::Condition;
use crate::fleet::lease::extend_for_drift;
use crate::fleet::rate_limit::RateLimit;
use crate::fleet::rules::call_effect_ms;
use crate::fleet::settings::GrantMode;
use crate::fleet::table::Instance;

/// Longest duration of a grant. Announcements come every 0.87 s, so two in a
/// row may be lost.
pub const MAX_GRANT_MS: u64 = 3_000;

/// Time from the decision to grant keys in a call until the call is given up.
/// One that has not arrived by then never will, as its connection is reset.
pub const MAX_CALL_MS: u64 = 400;

/// Space for ranges in the answer to an announcement. An upstream accepts
/// answers of at most 4 KiB; the rest is for the surrounding fields.
const GRANT_ROOM_BYTES: usize = 3_900;

/// Number of requests that are sent to the upstream before the first answer.
/// Sent beside the rate that it may have stated to an earlier process of this
/// node, they stay within the slack of 5 requests that the platform allows.
const MAX_UNANSWERED_COUNT: usize = 4;

/// Start time in the record of an upstream that reported its exit before this
/// process had an announcement of it.
const UNKNOWN_START_MS: u64 = 0;

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
    /// Whether it says nothing of ranges, as upstreams of a service that is
    /// not partitioned by key do.
    pub unlisted: bool,
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
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Promise {
    first: u16,
    last: u16,
    /// When the grant has expired at the latest.
    until: Millis,
    /// Whether the upstream has answered the grant, so that its report of a
    /// release ends it.
    answered: bool,
}

/// A range that is granted to the upstream, for deciding whether requests may
/// be sent.
#[derive(Clone, Debug)]
struct Holding {
    range: Granted,
    /// When the grant expires at the earliest.
    ends: Millis,
    /// Whether the upstream has shown that it may not hold the range: an
    /// earlier call that it applied late has replaced the grant.
    doubtful: bool,
}

impl Holding {
    /// The part of the holding within `first..=last`.
    fn part(&self, (first, last): (u16, u16)) -> Self {
        let range = Granted { first, last, ..self.range.clone() };
        Self { range, ends: self.ends, doubtful: self.doubtful }
    }
}

/// Whether a recorded upstream is this instance, as of its announcement with
/// this number. Without a recorded start time, an instance of the same name is
/// another one if it has just begun to count its announcements.
fn is_life_of(
    recorded: &Instance,
    instance: &Instance,
    sequence: u64,
) -> bool {
    recorded == instance
        || recorded.started_ms == UNKNOWN_START_MS
            && recorded.id == instance.id
            && sequence > 1
}

/// State of the upstream local to this node.
#[derive(Clone, Debug)]
pub struct LocalUpstream {
    mode: GrantMode,
    instance: Option<Instance>,
    /// When the first announcement of the instance arrived.
    instance_since: Millis,
    phase: Phase,
    /// When the current instance was first known to be leaving, from an
    /// announcement or an answer.
    leaving: Option<Millis>,
    /// Name of an upstream that reported its exit before this process had an
    /// announcement of it, and when.
    left_unknown: Option<(String, Millis)>,
    /// The upstream that was leaving at an earlier process of this node, before
    /// the first announcement to this one.
    left_earlier: Option<Instance>,
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
    holdings: Vec<Holding>,
    promises: Vec<Promise>,
    /// Promises to earlier instances under other names. That a later one
    /// announces itself does not prove that they have ended, so they count
    /// until they expire.
    earlier_promises: Vec<Promise>,
    released: Vec<Released>,
}

impl LocalUpstream {
    /// An upstream that has not announced itself. An earlier process of this
    /// node may have granted it any range shortly before `now`.
    #[must_use]
    pub fn new(mode: GrantMode, now: Millis) -> Self {
        let longest_ms = match mode {
            GrantMode::Heartbeat => extend_for_drift(MAX_GRANT_MS),
            GrantMode::Direct => call_effect_ms(MAX_GRANT_MS, MAX_CALL_MS),
        };
        let until = now.plus(longest_ms);
        let (first, last) = (0, u16::MAX);
        let answered = mode == GrantMode::Heartbeat;
        Self {
            mode,
            instance: None,
            instance_since: now,
            phase: Phase::Ready,
            leaving: None,
            left_unknown: None,
            left_earlier: None,
            leaving_at_start: false,
            slots: 0,
            sequence: 0,
            last_seen: now,
            cold_until: now,
            rate_limit: None,
            answered: false,
            down: false,
            holdings: Vec::new(),
            promises: vec![Promise { first, last, until, answered }],
            earlier_promises: Vec::new(),
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
                let instance = &announcement.instance;
                let renamed = self
                    .instance
                    .as_ref()
                    .is_some_and(|known| known.id != instance.id);
                let sequence = announcement.sequence;
                let left_earlier = self.left_earlier.take();
                let left_earlier = left_earlier
                    .is_some_and(|l| is_life_of(&l, instance, sequence));
                self.leaving_at_start = left_earlier
                    || self.instance.is_none()
                        && announcement.phase != Phase::Ready;
                self.instance = Some(instance.clone());
                self.instance_since = now;
                self.phase = Phase::Ready;
                self.leaving = self.left_before(announcement);
                if left_earlier {
                    self.leaving.get_or_insert(now);
                }
                self.rate_limit = None;
                self.holdings.clear();
                self.released.clear();
                // A call may have reached the new instance already.
                if self.mode == GrantMode::Heartbeat {
                    let old = std::mem::take(&mut self.promises);
                    self.earlier_promises.retain(|p| p.until > now);
                    if renamed {
                        self.earlier_promises.extend(old);
                    }
                }
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
        match self.mode {
            GrantMode::Heartbeat => self.update_promises(announcement, now),
            GrantMode::Direct => {
                self.promises.retain(|p| p.until > now);
                self.doubt_unreported(&announcement.holds);
            }
        }
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
        let granted = self.holdings.iter();
        let granted = granted.map(|h| (h.range.first, h.range.last));
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
                    ..promise
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
                let answered = true;
                self.promises.push(Promise { first, last, until, answered });
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
        let covers = |old: &Promise| {
            old.answered == new.answered
                && old.first <= new.first
                && new.last <= old.last
        };
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
            return;
        }
        if self.instance.is_none() {
            self.left_unknown.get_or_insert((id.to_owned(), now));
        }
    }

    /// When the announcing upstream reported its exit, if it did so before its
    /// first announcement to this process. One that has started again under its
    /// name counts its announcements anew.
    fn left_before(&mut self, announcement: &Announcement) -> Option<Millis> {
        let (id, at) = self.left_unknown.take()?;
        let same = announcement.instance.id == id;
        (same && announcement.sequence > 1).then_some(at)
    }

    /// Records that this instance was leaving at an earlier process of the
    /// node. Such an instance does not come back.
    pub fn set_left_earlier(&mut self, instance: Instance, now: Millis) {
        match &self.instance {
            None => self.left_earlier = Some(instance),
            Some(known)
                if is_life_of(&instance, known, self.sequence)
                    && !self.is_leaving() =>
            {
                self.leaving_at_start = true;
                self.leaving = Some(now);
            }
            Some(_) => {}
        }
    }

    /// The instance that is known to be leaving, also from an earlier process
    /// of the node.
    #[must_use]
    pub fn leaving_instance(&self) -> Option<Instance> {
        if self.is_leaving() {
            return self.instance.clone();
        }
        let earlier = self.left_earlier.as_ref();
        let Some((id, _)) = &self.left_unknown else {
            return earlier.cloned();
        };
        let earlier = earlier.filter(|earlier| earlier.id == *id).cloned();
        let started_ms = UNKNOWN_START_MS;
        earlier.or_else(|| Some(Instance { id: id.clone(), started_ms }))
    }

    /// Records that the upstream refused a connection.
    pub fn set_unreachable(&mut self) {
        self.down = true;
    }

    /// Records the grant in the answer to the latest announcement.
    pub fn record_grant(&mut self, grant: &Grant, now: Millis) {
        let Some(ranges) = &grant.ranges else { return };
        let ends = now.plus(grant.hold_ms);
        self.holdings.clear();
        let until = now.plus(extend_for_drift(grant.hold_ms));
        for range in ranges {
            let held = range.clone();
            let holding = Holding { range: held, ends, doubtful: false };
            self.holdings.push(holding);
            let (first, last, answered) = (range.first, range.last, true);
            self.add_promise(Promise { first, last, until, answered });
            self.forget_release(first, last);
        }
    }

    fn forget_release(&mut self, first: u16, last: u16) {
        self.released.retain(|old| last < old.first || old.last < first);
    }

    /// Records that a call is sent that can have the upstream hold
    /// `first..=last` until `until`.
    pub fn begin_grant(&mut self, first: u16, last: u16, until: Millis) {
        let answered = false;
        self.promises.push(Promise { first, last, until, answered });
    }

    /// Records that the upstream has answered a call that was sent with
    /// [`LocalUpstream::begin_grant`], and holds `range` until `ends` at
    /// least.
    pub fn confirm_grant(
        &mut self,
        range: &Granted,
        ends: Millis,
        until: Millis,
    ) {
        let Granted { first, last, .. } = *range;
        self.cancel_grant(first, last, until);
        let answered = true;
        self.add_promise(Promise { first, last, until, answered });
        self.forget_release(first, last);
        self.drop_holdings(first, last);
        let (range, doubtful) = (range.clone(), false);
        self.holdings.push(Holding { range, ends, doubtful });
    }

    /// Records that the upstream rejected a request since it does not hold the
    /// key.
    pub fn doubt_key(&mut self, key: u16) {
        for holding in &mut self.holdings {
            let range = &holding.range;
            holding.doubtful |= range.first <= key && key <= range.last;
        }
    }

    /// Compares the ranges that are granted with those that the upstream
    /// reports to hold.
    fn doubt_unreported(&mut self, reported: &[Held]) {
        for holding in &mut self.holdings {
            let whole = (holding.range.first, holding.range.last);
            let held = reported.iter().map(|held| (held.first, held.last));
            holding.doubtful |= !subtract(&[whole], held).is_empty();
        }
    }

    /// Records that a call that was sent with [`LocalUpstream::begin_grant`]
    /// has not arrived or was rejected, and never has an effect.
    pub fn cancel_grant(&mut self, first: u16, last: u16, until: Millis) {
        let sent = Promise { first, last, until, answered: false };
        let sent = self.promises.iter().position(|p| *p == sent);
        if let Some(index) = sent {
            self.promises.swap_remove(index);
        }
    }

    /// Stops sending requests for `first..=last`, which is to be released.
    pub fn drop_holdings(&mut self, first: u16, last: u16) {
        let mut left = Vec::with_capacity(self.holdings.len() + 1);
        for holding in &self.holdings {
            let whole = (holding.range.first, holding.range.last);
            for part in subtract(&[whole], [(first, last)]) {
                left.push(holding.part(part));
            }
        }
        self.holdings = left;
    }

    /// Records that the upstream has answered a call to release
    /// `first..=last`: all grants that it had answered before are over.
    pub fn confirm_release(
        &mut self,
        first: u16,
        last: u16,
        handover: Option<String>,
    ) {
        self.drop_holdings(first, last);
        let mut left = Vec::with_capacity(self.promises.len() + 1);
        for promise in &self.promises {
            if !promise.answered {
                left.push(*promise);
                continue;
            }
            let whole = (promise.first, promise.last);
            for (first, last) in subtract(&[whole], [(first, last)]) {
                left.push(Promise { first, last, ..*promise });
            }
        }
        self.promises = left;
        if let Some(handover) = handover {
            self.released.push(Released { first, last, handover });
        }
    }

    /// The ranges that are granted to the upstream, with their fencing tokens,
    /// whether or not the grants have expired.
    pub fn granted(&self) -> impl Iterator<Item = Held> {
        self.holdings.iter().map(|holding| {
            let Granted { first, last, fence, .. } = holding.range;
            Held { first, last, fence }
        })
    }

    /// Until when all keys of a range are granted under its fencing token;
    /// `None` if some are not, or may not be.
    #[must_use]
    pub fn granted_until(&self, range: Held) -> Option<Millis> {
        let Held { first, last, fence } = range;
        let mut ends: Option<Millis> = None;
        let mut missing = vec![(first, last)];
        for holding in &self.holdings {
            let held = &holding.range;
            if held.fence != fence || held.last < first || last < held.first {
                continue;
            }
            if holding.doubtful {
                return None;
            }
            missing = subtract(&missing, [(held.first, held.last)]);
            ends = Some(ends.map_or(holding.ends, |e| e.min(holding.ends)));
        }
        ends.filter(|_| missing.is_empty())
    }

    /// Whether the upstream may hold a key of `first..=last`.
    #[must_use]
    pub fn may_hold(&self, first: u16, last: u16, now: Millis) -> bool {
        let mut promises = self.promises.iter().chain(&self.earlier_promises);
        promises.any(|p| p.until > now && p.first <= last && first <= p.last)
    }

    /// Whether a key is granted to the upstream and the grant has not expired.
    #[must_use]
    pub fn holds(&self, key: u16, now: Millis) -> bool {
        let mut holdings = self.holdings.iter();
        holdings.any(|Holding { range, ends, .. }| {
            now < *ends && range.first <= key && key <= range.last
        })
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

    /// Name of the current instance; empty if there is none.
    #[must_use]
    pub fn instance_id(&self) -> String {
        self.instance.as_ref().map(|i| i.id.clone()).unwrap_or_default()
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
    /// was sent at `sent`, unless an earlier instance said it. Only an answer
    /// to a request that was sent after the limit was last stated can end it:
    /// answers may overtake each other.
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
