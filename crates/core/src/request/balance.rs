//! Load balancing of requests for services without keys.
//!
//! Of two random members, the one with the lower score is chosen. The score is
//! the average latency as this ingress observes it, times the ingress's own
//! outstanding requests. Outstanding requests rise as soon as a member slows
//! down, whereas reported load shows it late. Members in the ingress's own
//! failure domain are preferred as long as they are not much worse. A member's
//! concurrency limit has no part in its score: the limit grows only with use,
//! so a member that is chosen by its limit would never leave its cold start.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::control::MapMember;
//! use lagoondyke_core::id::{Incarnation, NodeAddr};
//! use lagoondyke_core::request::balance::{Balancer, MemberList};
//!
//! let member = |port| MapMember {
//!     addr: NodeAddr(([127, 0, 0, 1], port).into()),
//!     incarnation: Incarnation(1),
//!     domain: 0,
//!     limit: 4,
//! };
//! let now = Millis(0);
//! let list = MemberList::new(vec![member(1), member(2)], 0, now);
//! let mut balancer = Balancer::new(1);
//! let first = balancer.choose(&list, &[], now).unwrap();
//! balancer.record_start(first);
//! let second = balancer.choose(&list, &[], now).unwrap();
//! assert_ne!(first, second, "the first has a request outstanding");
//! ```

use std::collections::HashMap;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Millis;
use crate::control::MapMember;
use crate::id::NodeAddr;

/// Ratio of scores up to which a member of the own failure domain is preferred
/// to a remote one.
const LOCAL_PREFERENCE_RATIO: f64 = 1.5;

/// Factor on a member's score for a while after it failed.
const FAILURE_PENALTY_RATIO: f64 = 8.0;

/// How long [`FAILURE_PENALTY_RATIO`] applies after a failure.
const FAILURE_PENALTY_MS: u64 = 100;

/// Time in which the latency recorded for an unused member halves. A member
/// that is avoided would otherwise never be tried again.
const LATENCY_HALF_LIFE_MS: f64 = 500.0;

/// Weight of a sample above and below the average. Slow phases must show at
/// once, since they last for moments only.
const LATENCY_RISE_RATIO: f64 = 0.5;
const LATENCY_FALL_RATIO: f64 = 0.1;

/// Latency assumed for members without samples.
const DEFAULT_LATENCY_MS: f64 = 1.0;

/// Number of members with statistics beyond those in use before old ones are
/// removed.
const SPARE_PEER_COUNT: usize = 1_024;

/// The members of a service, those of the own failure domain first.
#[derive(Clone, Debug)]
pub struct MemberList {
    members: Vec<MapMember>,
    local_count: usize,
    /// When the list was read from the routing cache.
    pub read_at: Millis,
}

impl MemberList {
    /// The members of a service as known at `read_at`, for an ingress in the
    /// failure domain with the hash `domain`.
    #[must_use]
    pub fn new(
        mut members: Vec<MapMember>,
        domain: u32,
        read_at: Millis,
    ) -> Self {
        members.sort_by_key(|m| m.domain != domain);
        let local_count = members.partition_point(|m| m.domain == domain);
        Self { members, local_count, read_at }
    }

    /// All members, those of the own failure domain first.
    #[must_use]
    pub fn members(&self) -> &[MapMember] {
        &self.members
    }
}

/// What an ingress has observed of a member.
#[derive(Clone, Copy, Debug)]
struct PeerStats {
    outstanding: u32,
    /// Moving average of the latency, in milliseconds.
    latency: f64,
    /// When `latency` was last updated.
    updated_at: Millis,
    /// Its score is raised until then, since it failed.
    penalty_end: Millis,
}

/// Chooses a member for each request, by what this ingress observed.
#[derive(Clone, Debug)]
pub struct Balancer {
    peers: HashMap<NodeAddr, PeerStats>,
    random: Pcg64Mcg,
}

impl Balancer {
    /// A balancer without statistics. `seed` seeds its random choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { peers: HashMap::new(), random: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Chooses a member for a new request, none of `except`; `None` if there
    /// is no other.
    pub fn choose(
        &mut self,
        list: &MemberList,
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<NodeAddr> {
        let (local, remote) = list.members.split_at(list.local_count);
        let local = self.better_of_two(local, except, now);
        let remote = self.better_of_two(remote, except, now);
        match (local, remote) {
            (Some((local, to)), Some((remote, _)))
                if local <= LOCAL_PREFERENCE_RATIO * remote =>
            {
                Some(to)
            }
            (local, remote) => remote.or(local).map(|(_, to)| to),
        }
    }

    /// Records that a request was sent to a member.
    pub fn record_start(&mut self, to: NodeAddr) {
        self.peer(to).outstanding += 1;
    }

    /// Records the end of a request that says nothing about the member's
    /// state.
    pub fn record_end(&mut self, to: NodeAddr) {
        let peer = self.peer(to);
        peer.outstanding = peer.outstanding.saturating_sub(1);
    }

    /// Records that a member answered a request after `latency` milliseconds.
    pub fn record_answer(&mut self, to: NodeAddr, latency: u64, now: Millis) {
        self.record_end(to);
        let peer = self.peer(to);
        let sample = latency as f64;
        let average = decayed(peer.latency, now.since(peer.updated_at));
        let weight = if sample > average {
            LATENCY_RISE_RATIO
        } else {
            LATENCY_FALL_RATIO
        };
        peer.latency = average + (sample - average) * weight;
        peer.updated_at = now;
    }

    /// Records that a request at a member was aborted after `age`
    /// milliseconds: its latency would have been at least that.
    pub fn record_abort(&mut self, to: NodeAddr, age: u64, now: Millis) {
        if age as f64 > self.peer(to).latency {
            self.record_answer(to, age, now);
        } else {
            self.record_end(to);
        }
    }

    /// Records the failure of a request at a member.
    pub fn record_failure(&mut self, to: NodeAddr, now: Millis) {
        self.record_end(to);
        self.peer(to).penalty_end = now.plus(FAILURE_PENALTY_MS);
    }

    /// Removes statistics of members without outstanding requests, if there
    /// are many more than `members`.
    pub fn remove_idle(&mut self, members: usize) {
        if self.peers.len() > members + SPARE_PEER_COUNT {
            self.peers.retain(|_, p| p.outstanding > 0);
        }
    }

    fn peer(&mut self, to: NodeAddr) -> &mut PeerStats {
        self.peers.entry(to).or_insert(PeerStats {
            outstanding: 0,
            latency: DEFAULT_LATENCY_MS,
            updated_at: Millis(0),
            penalty_end: Millis(0),
        })
    }

    fn score(&self, member: &MapMember, now: Millis) -> f64 {
        let Some(peer) = self.peers.get(&member.addr) else {
            return DEFAULT_LATENCY_MS;
        };
        let latency = decayed(peer.latency, now.since(peer.updated_at));
        let penalized = now < peer.penalty_end;
        let factor = if penalized { FAILURE_PENALTY_RATIO } else { 1.0 };
        latency * f64::from(peer.outstanding + 1) * factor
    }

    fn better_of_two(
        &mut self,
        members: &[MapMember],
        except: &[NodeAddr],
        now: Millis,
    ) -> Option<(f64, NodeAddr)> {
        let usable = |m: &&MapMember| !except.contains(&m.addr);
        let first = self.pick_random(members, usable)?;
        let one = (self.score(first, now), first.addr);
        let other = |m: &&MapMember| usable(m) && m.addr != first.addr;
        let Some(second) = self.pick_random(members, other) else {
            return Some(one);
        };
        let two = (self.score(second, now), second.addr);
        Some(if two.0 < one.0 { two } else { one })
    }

    /// A random member among those that are usable.
    fn pick_random<'a>(
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
    let left = latency * (-(idle as f64) / LATENCY_HALF_LIFE_MS).exp2();
    left.max(latency.min(DEFAULT_LATENCY_MS))
}

/// Threshold above which a request is slow: the 95th percentile of a service's
/// latency over the last few seconds.
#[derive(Clone, Debug)]
pub struct SlowThreshold {
    current: Histogram<u32>,
    start: Millis,
    value: Option<u64>,
}

/// Time over which a histogram is collected.
const SLOW_WINDOW_MS: u64 = 2_000;

/// Fewest samples for a 95th percentile.
const MIN_SAMPLE_COUNT: u64 = 200;

/// Upper bound of the histogram; longer latencies count as this one.
const MAX_LATENCY_MS: u64 = 60_000;

impl SlowThreshold {
    /// A threshold without samples, whose first window starts at `now`.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants within its range.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2);
        let histogram = histogram.expect("the bounds are valid");
        Self { current: histogram, start: now, value: None }
    }

    /// Records the latency of a request in milliseconds.
    pub fn record(&mut self, latency: u64, now: Millis) {
        self.current.saturating_record(latency.clamp(1, MAX_LATENCY_MS));
        let full = self.current.len() >= MIN_SAMPLE_COUNT;
        if full
            && (self.value.is_none()
                || now.since(self.start) >= SLOW_WINDOW_MS)
        {
            self.value = Some(self.current.value_at_quantile(0.95));
            self.current.reset();
            self.start = now;
        }
    }

    /// The threshold in milliseconds; `None` before there are enough samples.
    #[must_use]
    pub fn value(&self) -> Option<u64> {
        self.value
    }
}
