//! Which member serves a request of a service without keys.
//!
//! Of two random members, the one with the lower score is chosen: average
//! latency as this ingress sees it, times its own outstanding requests.
//! Outstanding requests rise as soon as a member slows down, whereas
//! reported load shows it late. Members in the ingress's own failure domain
//! go first as long as they are not much worse. A member's limit has no part
//! in its score: it grows only with use, so a member that is chosen by its
//! limit would never leave its cold start.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::control::MapMember;
//! use lagoondyke_core::id::{Incarnation, NodeAddr};
//! use lagoondyke_core::request::choose::{Chooser, Roster};
//!
//! let member = |port| MapMember {
//!     addr: NodeAddr(([127, 0, 0, 1], port).into()),
//!     incarnation: Incarnation(1),
//!     domain: 0,
//!     limit: 4,
//! };
//! let now = Millis(0);
//! let roster = Roster::new(vec![member(1), member(2)], 0, now);
//! let mut chooser = Chooser::new(1);
//! let first = chooser.choose(&roster, &[], now).unwrap();
//! chooser.started(first);
//! let second = chooser.choose(&roster, &[], now).unwrap();
//! assert_ne!(first, second, "the first has a request outstanding");
//! ```

use std::collections::HashMap;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::control::MapMember;
use crate::id::NodeAddr;

/// How much worse than a remote member a member of the own domain may be.
const NEAR_FACTOR: f64 = 1.5;

/// How much worse a member looks for a while after it failed.
const SHUN_FACTOR: f64 = 8.0;

/// How long a member looks worse after it failed, in milliseconds.
const SHUN: u64 = 100;

/// Time in which half of a high latency is forgotten, in milliseconds. A
/// member that is avoided would otherwise never be tried again.
const HALF_LIFE: f64 = 500.0;

/// Weight of a sample above and below the average. Slowness must show at
/// once, since it lasts for moments only.
const RISE: f64 = 0.5;
const FALL: f64 = 0.1;

/// Latency taken for members without samples, in milliseconds.
const UNKNOWN: f64 = 1.0;

/// Members with statistics beyond those of a roster before old ones are
/// forgotten.
const SPARE: usize = 1_024;

/// The members of a service, those of the own failure domain first.
#[derive(Clone, Debug)]
pub struct Roster {
    members: Vec<MapMember>,
    near: usize,
    /// When it was read from the routing cache.
    pub at: Millis,
}

impl Roster {
    /// The members of a service as known at `at`, to an ingress in the
    /// failure domain with the hash `domain`.
    #[must_use]
    pub fn new(mut members: Vec<MapMember>, domain: u32, at: Millis) -> Self {
        members.sort_by_key(|m| m.domain != domain);
        let near = members.partition_point(|m| m.domain == domain);
        Self { members, near, at }
    }

    /// All members.
    #[must_use]
    pub fn members(&self) -> &[MapMember] {
        &self.members
    }
}

/// What an ingress knows of a member.
#[derive(Clone, Copy, Debug)]
struct Peer {
    outstanding: u32,
    /// Average latency in milliseconds.
    latency: f64,
    /// When `latency` last changed.
    seen: Millis,
    /// It failed and looks worse until then.
    shun: Millis,
}

/// Chooses members.
#[derive(Clone, Debug)]
pub struct Chooser {
    peers: HashMap<NodeAddr, Peer>,
    random: Pcg64Mcg,
}

impl Chooser {
    /// A chooser that knows no member. `seed` seeds its random choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { peers: HashMap::new(), random: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// A member for a new request, none of `except`; `None` if there is no
    /// other.
    pub fn choose(
        &mut self,
        roster: &Roster,
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<NodeAddr> {
        let (near, far) = roster.members.split_at(roster.near);
        let near = self.better_of_two(near, except, now);
        let far = self.better_of_two(far, except, now);
        match (near, far) {
            (Some((near, to)), Some((far, _)))
                if near <= NEAR_FACTOR * far =>
            {
                Some(to)
            }
            (near, far) => far.or(near).map(|(_, to)| to),
        }
    }

    /// A request was sent to a member.
    pub fn started(&mut self, to: NodeAddr) {
        self.peer(to).outstanding += 1;
    }

    /// A request at a member ended without a sign of its state.
    pub fn ended(&mut self, to: NodeAddr) {
        let peer = self.peer(to);
        peer.outstanding = peer.outstanding.saturating_sub(1);
    }

    /// A request at a member was answered after `latency` milliseconds.
    pub fn answered(&mut self, to: NodeAddr, latency: u64, now: Millis) {
        self.ended(to);
        let peer = self.peer(to);
        let sample = latency as f64;
        let known = decayed(peer.latency, now.since(peer.seen));
        let weight = if sample > known { RISE } else { FALL };
        peer.latency = known + (sample - known) * weight;
        peer.seen = now;
    }

    /// A request at a member was given up after `age` milliseconds: its
    /// latency would have been at least that.
    pub fn given_up(&mut self, to: NodeAddr, age: u64, now: Millis) {
        if age as f64 > self.peer(to).latency {
            self.answered(to, age, now);
        } else {
            self.ended(to);
        }
    }

    /// A request at a member failed.
    pub fn failed(&mut self, to: NodeAddr, now: Millis) {
        self.ended(to);
        self.peer(to).shun = now.plus(SHUN);
    }

    /// Forgets members that are not in use, if there are many.
    pub fn tidy(&mut self, members: usize) {
        if self.peers.len() > members + SPARE {
            self.peers.retain(|_, p| p.outstanding > 0);
        }
    }

    fn peer(&mut self, to: NodeAddr) -> &mut Peer {
        self.peers.entry(to).or_insert(Peer {
            outstanding: 0,
            latency: UNKNOWN,
            seen: Millis(0),
            shun: Millis(0),
        })
    }

    fn score(&self, member: &MapMember, now: Millis) -> f64 {
        let Some(peer) = self.peers.get(&member.addr) else {
            return UNKNOWN;
        };
        let latency = decayed(peer.latency, now.since(peer.seen));
        let shunned = now < peer.shun;
        let factor = if shunned { SHUN_FACTOR } else { 1.0 };
        latency * f64::from(peer.outstanding + 1) * factor
    }

    fn better_of_two(
        &mut self,
        members: &[MapMember],
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<(f64, NodeAddr)> {
        let usable = |m: &&MapMember| !except.contains(&m.addr);
        let first = self.draw(members, usable)?;
        let one = (self.score(first, now), first.addr);
        let other = |m: &&MapMember| usable(m) && m.addr != first.addr;
        let Some(second) = self.draw(members, other) else {
            return Some(one);
        };
        let two = (self.score(second, now), second.addr);
        Some(if two.0 < one.0 { two } else { one })
    }

    /// A random member among those that are usable.
    fn draw<'a>(
        &mut self,
        members: &'a [MapMember],
        usable: impl Fn(&&MapMember) -> bool,
    ) -> Option<&'a MapMember> {
        if members.is_empty() {
            return None;
        }
        let from = self.random.random_range(0..members.len());
        let (before, after) = members.split_at(from);
        after.iter().chain(before).find(usable)
    }
}

fn decayed(latency: f64, idle: u64) -> f64 {
    let left = latency * (-(idle as f64) / HALF_LIFE).exp2();
    left.max(latency.min(UNKNOWN))
}

/// Time after which a request is slow: the 95th percentile of a service's
/// latency over the last few seconds.
#[derive(Clone, Debug)]
pub struct SlowTime {
    now: Histogram<u32>,
    since: Millis,
    value: Option<u64>,
}

/// Span of a histogram, in milliseconds.
const SPAN: u64 = 2_000;

/// Fewest samples for a 95th percentile.
const SAMPLES: u64 = 200;

/// Longest latency that is told apart, in milliseconds.
const LATENCY_MAX: u64 = 60_000;

impl SlowTime {
    /// No latency is known at `now`.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants within its range.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX, 2);
        let histogram = histogram.expect("the bounds are valid");
        Self { now: histogram, since: now, value: None }
    }

    /// Takes the latency of a request in milliseconds.
    pub fn record(&mut self, latency: u64, now: Millis) {
        self.now.saturating_record(latency.clamp(1, LATENCY_MAX));
        let full = self.now.len() >= SAMPLES;
        if full && (self.value.is_none() || now.since(self.since) >= SPAN) {
            self.value = Some(self.now.value_at_quantile(0.95));
            self.now.reset();
            self.since = now;
        }
    }

    /// Milliseconds after which a request is slow, once known.
    #[must_use]
    pub fn value(&self) -> Option<u64> {
        self.value
    }
}
