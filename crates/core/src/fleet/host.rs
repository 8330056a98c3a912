//! The upstream beside this node, as its announcements show it.
//!
//! An upstream announces itself every second or so and is answered with the
//! key ranges that it is to hold, and for how long. [`Host`] knows which
//! ranges the upstream may hold at any moment: what an answer promised is
//! counted until it has run out or the upstream has said that it released
//! it.

use crate::clock::Millis;
use crate::fleet::lease::longest;
use crate::fleet::table::Life;

/// Longest term that an answer to an announcement grants, in milliseconds.
/// Announcements come every 0.87 s, so two in a row may be lost.
pub const HOLD: u64 = 3_000;

/// Room for ranges in an answer to an announcement, in bytes. An upstream
/// takes answers of at most 4 KiB; the rest is for what is around them.
const ANSWER_ROOM: usize = 3_900;

/// Most bytes of a range in an answer, without its token.
const RANGE_BYTES: usize = 32;

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Takes work.
    #[default]
    Ready,
    /// Is about to leave and takes no new work.
    Draining,
    /// Has left.
    Left,
}

/// A range that an upstream says it holds or still works on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Fencing token under which it holds the range.
    pub fence: u64,
}

/// A range that an upstream has released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Released {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Token that lets the next owner start warm.
    pub handover: String,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// Which life of which upstream.
    pub life: Life,
    /// Its service.
    pub service: String,
    /// Address at which it takes requests.
    pub address: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Its state.
    pub phase: Phase,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: u64,
    /// Increases with each announcement of a life.
    pub sequence: u64,
    /// Ranges that it holds or still works on.
    pub holds: Vec<Held>,
    /// Ranges that it has released.
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
    /// Token of the earlier owner's release.
    pub handover: Option<String>,
}

/// The answer to an announcement: all that the upstream is to hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// The ranges; none renews nothing.
    pub ranges: Option<Vec<Granted>>,
    /// Term in milliseconds, counted from when the announcement was sent.
    pub hold_ms: u64,
}

impl Grant {
    /// A grant of as many of `ranges` as an answer has room for.
    #[must_use]
    pub fn of(ranges: Vec<Granted>, hold_ms: u64) -> Self {
        let mut room = ANSWER_ROOM;
        let mut fitting = Vec::with_capacity(ranges.len());
        for range in ranges {
            let token = range.handover.as_ref().map_or(0, String::len);
            let size = RANGE_BYTES + token;
            if size > room {
                break;
            }
            room -= size;
            fitting.push(range);
        }
        Self { ranges: Some(fitting), hold_ms }
    }
}

/// How an announcement was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// It is the latest of the present life.
    Current,
    /// It is the first of a new life.
    NewLife,
    /// It is late, or of an earlier life; it says nothing new.
    Stale,
}

/// A range that the upstream may hold.
#[derive(Clone, Copy, Debug)]
struct Promise {
    first: u16,
    last: u16,
    /// When the term has surely ended.
    until: Millis,
}

/// The upstream beside this node.
#[derive(Clone, Debug)]
pub struct Host {
    life: Option<Life>,
    phase: Phase,
    /// Since when the present life is known to leave.
    leaving: Option<Millis>,
    slots: u16,
    sequence: u64,
    seen: Millis,
    cold_until: Millis,
    /// Found unreachable since the last announcement.
    down: bool,
    granted: Vec<Granted>,
    /// When the present grant ends for the purpose of sending requests.
    grant_ends: Millis,
    promises: Vec<Promise>,
    released: Vec<Released>,
}

impl Host {
    /// A host that has not announced itself. An earlier process of this node
    /// may have granted it any range shortly before `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let until = now.plus(longest(HOLD));
        Self {
            life: None,
            phase: Phase::Ready,
            leaving: None,
            slots: 0,
            sequence: 0,
            seen: now,
            cold_until: now,
            down: false,
            granted: Vec::new(),
            grant_ends: now,
            promises: vec![Promise { first: 0, last: u16::MAX, until }],
            released: Vec::new(),
        }
    }

    /// Takes an announcement.
    pub fn announced(&mut self, said: &Announcement, now: Millis) -> Taken {
        let taken = self.classify(said);
        match taken {
            Taken::Stale => return taken,
            Taken::NewLife => {
                // The earlier life has ended: the new one has its address.
                self.life = Some(said.life.clone());
                self.phase = Phase::Ready;
                self.leaving = None;
                self.granted.clear();
                self.promises.clear();
                self.released.clear();
            }
            Taken::Current => {}
        }
        self.sequence = said.sequence;
        self.seen = now;
        self.down = false;
        self.slots = said.slots;
        if self.phase != Phase::Left {
            self.phase = said.phase;
        }
        if self.phase != Phase::Ready {
            self.leaving.get_or_insert(now);
        }
        self.cold_until = now.plus(said.cold_ms);
        self.confirm(said, now);
        taken
    }

    fn classify(&self, said: &Announcement) -> Taken {
        let Some(life) = &self.life else { return Taken::NewLife };
        if *life == said.life {
            let newer = said.sequence > self.sequence;
            return if newer { Taken::Current } else { Taken::Stale };
        }
        if said.life.born > life.born { Taken::NewLife } else { Taken::Stale }
    }

    /// Drops promises that the upstream no longer holds.
    fn confirm(&mut self, said: &Announcement, now: Millis) {
        let granted = self.granted.iter().map(|g| (g.first, g.last));
        let held = said.holds.iter().map(|h| (h.first, h.last));
        let kept: Vec<(u16, u16)> = granted.chain(held).collect();
        let old = std::mem::take(&mut self.promises);
        for promise in old {
            if promise.until <= now {
                continue;
            }
            for &(first, last) in &kept {
                self.promise(Promise {
                    first: first.max(promise.first),
                    last: last.min(promise.last),
                    until: promise.until,
                });
            }
        }
        // A range that an earlier process granted runs out at the latest
        // when a grant made just now would.
        let until = now.plus(longest(HOLD));
        for held in &said.holds {
            let Held { first, last, .. } = *held;
            let mut known = self.promises.iter();
            if !known.any(|p| p.first <= first && last <= p.last) {
                self.promises.push(Promise { first, last, until });
            }
        }
        for released in &said.released {
            if !self.released.contains(released) {
                self.released.push(released.clone());
            }
        }
    }

    /// Notes a range that the upstream may hold.
    fn promise(&mut self, new: Promise) {
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

    /// The upstream said that it is gone. One that did not say before that
    /// it leaves still serves for a while.
    pub fn left(&mut self, id: &str, now: Millis) {
        if self.life.as_ref().is_some_and(|life| life.id == id) {
            self.down |= self.phase == Phase::Draining;
            self.phase = Phase::Left;
            self.leaving.get_or_insert(now);
        }
    }

    /// The upstream refused a connection.
    pub fn unreachable(&mut self) {
        self.down = true;
    }

    /// Notes what the answer to the latest announcement promises.
    pub fn answered(&mut self, grant: &Grant, now: Millis) {
        let Some(ranges) = &grant.ranges else { return };
        self.granted.clone_from(ranges);
        self.grant_ends = now.plus(grant.hold_ms);
        let until = now.plus(longest(grant.hold_ms));
        for range in ranges {
            let (first, last) = (range.first, range.last);
            self.promise(Promise { first, last, until });
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

    /// Whether the upstream has been given a key and its term still runs.
    #[must_use]
    pub fn holds(&self, key: u16, now: Millis) -> bool {
        let mut granted = self.granted.iter();
        now < self.grant_ends
            && granted.any(|g| g.first <= key && key <= g.last)
    }

    /// The token with which the upstream released all of `first..=last`.
    #[must_use]
    pub fn handover(&self, first: u16, last: u16) -> Option<&str> {
        let mut released = self.released.iter().rev();
        released
            .find(|r| r.first <= first && last <= r.last)
            .map(|r| r.handover.as_str())
    }

    /// Bounds of released ranges, at which a moving range may be split so
    /// that each part has its token.
    #[must_use]
    pub fn releases(&self) -> &[Released] {
        &self.released
    }

    /// The present life.
    #[must_use]
    pub fn life(&self) -> Option<&Life> {
        self.life.as_ref()
    }

    /// Whether requests may be sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_up() && self.phase == Phase::Ready
    }

    /// Whether the upstream runs, as far as is known.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.life.is_some() && !self.down
    }

    /// Since when the upstream is known to leave.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Millis> {
        self.leaving
    }

    /// When the latest announcement arrived.
    #[must_use]
    pub fn announced_at(&self) -> Millis {
        self.seen
    }

    /// Whether the upstream said that it leaves or has left.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.phase != Phase::Ready
    }

    /// Whether the upstream has left.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Time since the last announcement, in milliseconds.
    #[must_use]
    pub fn silence(&self, now: Millis) -> u64 {
        now.since(self.seen)
    }

    /// Whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// The upstream says that it is cold for `left` more milliseconds, or is
    /// to be treated so.
    pub fn chill(&mut self, left: u64, now: Millis) {
        self.cold_until = self.cold_until.max(now.plus(left));
    }

    /// Requests that the upstream runs at once.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }
}
