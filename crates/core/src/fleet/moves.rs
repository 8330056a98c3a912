//! Planned moves: which ranges leave this node's upstream, and to whom.
//!
//! Only the owner moves a range. It notes the next owner, leaves the range
//! out of its answers to the upstream, and hands the range over once the
//! upstream has released it or its term is over. A move is never taken back:
//! a conditional update that hands the range over may be performed late.

use std::rc::Rc;

use crate::clock::Millis;
use crate::fleet::balance::{self, Member, Move};
use crate::fleet::combine::Give;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::reducer::Fleet;
use crate::fleet::table::{KEY_MAX, Range, Table};

/// Time after which a node's load shows a range that it got, in
/// milliseconds; the time constant of the load.
const SETTLE: u64 = 2_000;

/// Time from the end of the work on a range to when its next owner knows of
/// it, in milliseconds: an announcement, and an update of the table.
const HANDOVER_TIME: u64 = 200;

/// Most ranges of one upstream. Each takes up to 50 bytes of an answer to
/// an announcement, which may have 4 KiB.
const RANGES_MAX: usize = 56;

/// A node that can take ranges.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) node: String,
    /// Requests per second that it can still take.
    pub(super) capacity: f64,
}

/// Planned moves from this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Moves {
    list: Vec<Move>,
}

impl Moves {
    /// Whether no range is on its way to another node.
    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether a key is on its way to another node.
    pub(super) fn has(&self, key: u16) -> bool {
        self.list.iter().any(|m| m.first <= key && key <= m.last)
    }

    /// The parts of `first..=last` that stay.
    pub(super) fn staying(&self, first: u16, last: u16) -> Vec<(u16, u16)> {
        let keys = self.list.iter().map(|m| (m.first, m.last));
        balance::without(&[(first, last)], keys)
    }

    /// Forgets moves of ranges that have another owner now.
    pub(super) fn prune(&mut self, table: &Table, node: &str) {
        let mut left = Vec::new();
        for m in self.list.drain(..) {
            for range in &table.ranges {
                if range.node != node || !range.meets(m.first, m.last) {
                    continue;
                }
                let first = m.first.max(range.first);
                let last = m.last.min(range.last);
                left.push(Move { first, last, to: m.to.clone() });
            }
        }
        self.list = left;
    }
}

impl Fleet {
    /// Released ranges that go to their next owners.
    pub(super) fn hand_over(&self, table: &Table, now: Millis) -> Vec<Give> {
        let mut gives = Vec::new();
        if self.moves.is_empty() {
            return gives;
        }
        let targets = self.targets(now);
        for m in self.pieces_to_hand_over() {
            if self.host.may_hold(m.first, m.last, now) {
                continue;
            }
            let fits = |target: &&Target| target.node == m.to;
            let target = targets.iter().find(fits).or(targets.first());
            let Some(target) = target else { continue };
            let life = self.life_of(&target.node);
            let handover = self.host.handover(m.first, m.last);
            // A piece may lie in ranges with several tokens.
            for range in table.of(&self.settings.node) {
                if !range.meets(m.first, m.last) {
                    continue;
                }
                gives.push(Give {
                    first: range.first.max(m.first),
                    last: range.last.min(m.last),
                    fence: range.fence,
                    to: target.node.clone(),
                    life: life.clone(),
                    handover: handover.map(str::to_owned),
                });
            }
        }
        gives
    }

    /// Moves, split where the upstream released parts of a range.
    fn pieces_to_hand_over(&self) -> Vec<Move> {
        let mut pieces = Vec::new();
        for m in &self.moves.list {
            let whole = (m.first, m.last);
            let mut parts = Vec::new();
            for released in self.host.releases() {
                let first = released.first.max(m.first);
                let last = released.last.min(m.last);
                if first <= last {
                    parts.push((first, last));
                }
            }
            let rest = balance::without(&[whole], parts.iter().copied());
            parts.extend(rest);
            let to = &m.to;
            pieces.extend(parts.into_iter().map(|(first, last)| Move {
                first,
                last,
                to: to.clone(),
            }));
        }
        pieces
    }

    /// Plans moves of all ranges away from an upstream that leaves, is out
    /// of service or is gone.
    pub(super) fn drain(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let gone = self.upstream_gone(now);
        let leaves = self.host.is_leaving() || self.is_out();
        if !gone && !leaves {
            return;
        }
        let own = self.staying_ranges(table);
        if own.is_empty() {
            return;
        }
        let mut targets = self.targets(now);
        let timely: Vec<Target> = targets
            .iter()
            .filter(|target| self.is_timely(&target.node, now))
            .cloned()
            .collect();
        let room: f64 = timely.iter().map(|target| target.capacity).sum();
        if room >= self.heat.rate(now) && !timely.is_empty() {
            targets = timely;
        }
        let moves = self.divide(&own, &targets);
        self.plan(moves, "the upstream serves no longer", now, out);
    }

    /// The node's ranges without those that move.
    fn staying_ranges(&self, table: &Table) -> Vec<(u16, u16)> {
        let mut own = Vec::new();
        for range in table.of(&self.settings.node) {
            own.extend(self.moves.staying(range.first, range.last));
        }
        own
    }

    /// Plans moves when the upstream announces itself: the answer leaves out
    /// what is to move.
    pub(super) fn plan_moves(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let held = self.tables.get(&self.settings.service);
        let Some(held) = held.filter(|_| self.is_claimed()) else { return };
        let table = Rc::clone(&held.table);
        self.drain(&table, now, out);
        self.rebalance(&table, now, out);
    }

    /// Adds moves to those under way.
    fn plan(
        &mut self,
        moves: Vec<Move>,
        reason: &'static str,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if moves.is_empty() {
            return;
        }
        out.push(Effect::Notice(Notice::Moving {
            reason,
            ranges: moves.len(),
            rate: self.heat.rate(now) as u32,
            capacity: self.capacity(now) as u32,
        }));
        self.moves.list.extend(moves);
    }

    /// Plans moves of load above the fair share.
    fn rebalance(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.moves.list.is_empty() || !self.host.is_ready() {
            return;
        }
        let held: Vec<(u16, u16)> = table
            .of(&self.settings.node)
            .filter(|range| self.host.holds(range.first, now))
            .map(|range| (range.first, range.last))
            .collect();
        if held.is_empty() {
            return;
        }
        if table.of(&self.settings.node).count() > RANGES_MAX {
            let coldest = self.coldest(table, now);
            let reason = "the upstream has too many ranges";
            return self.plan(coldest.into_iter().collect(), reason, now, out);
        }
        let node = self.settings.node.clone();
        let mut members = self.members(table, now);
        for member in &mut members {
            member.open &= self.is_timely(&member.node, now);
        }
        let moves = balance::plan(&node, &members, &held, &self.heat);
        self.plan(moves, "load above the fair share", now, out);
    }

    /// Whether another node's upstream announces itself soon after this one
    /// has released a range that it is told to release now. It takes a range
    /// only then, and nobody serves it meanwhile.
    fn is_timely(&self, node: &str, now: Millis) -> bool {
        let Some(peer) = self.directory.get(node) else { return false };
        let interval = self.settings.bounds.announce_ms();
        let work = self.requests.mean(now) as u64;
        let released = now.plus(work + HANDOVER_TIME);
        // Announcements come at about the same interval everywhere.
        let late = released.since(peer.announces) % interval;
        let wait = if late > 0 { interval - late } else { 0 }
            + peer.announces.since(released);
        wait <= interval / 2
    }

    /// The least loaded range, to go to the owner of a neighbouring one, so
    /// that the two become one: an answer to an announcement has room for a
    /// limited number of ranges.
    fn coldest(&self, table: &Table, now: Millis) -> Option<Move> {
        let node = &self.settings.node;
        let mut coldest: Option<(f64, Move)> = None;
        for (place, range) in table.ranges.iter().enumerate() {
            if range.node != *node {
                continue;
            }
            let before = place.checked_sub(1).map(|p| &table.ranges[p]);
            let neighbours = [before, table.ranges.get(place + 1)];
            let mut owners = neighbours.into_iter().flatten();
            let fits = |other: &&Range| self.takes(&other.node, now);
            let Some(owner) = owners.find(fits) else { continue };
            let (first, last) = (range.first, range.last);
            let weight = self.weight(first, last);
            if coldest.as_ref().is_none_or(|(best, _)| weight < *best) {
                let to = owner.node.clone();
                coldest = Some((weight, Move { first, last, to }));
            }
        }
        coldest.map(|(_, m)| m)
    }

    /// This node's upstream, and those that can take ranges.
    fn members(&mut self, table: &Table, now: Millis) -> Vec<Member> {
        let mut members = vec![Member {
            node: self.settings.node.clone(),
            rate: self.heat.rate(now),
            capacity: self.capacity(now),
            open: true,
        }];
        for (name, peer) in self.directory.iter() {
            let settled = self
                .received
                .get(name)
                .is_none_or(|&at| now.since(at) >= SETTLE);
            if !settled || !self.takes(name, now) {
                continue;
            }
            if table.of(name).count() >= RANGES_MAX {
                continue;
            }
            members.push(Member {
                node: name.to_owned(),
                rate: f64::from(peer.said.rate),
                capacity: f64::from(peer.said.capacity),
                open: true,
            });
        }
        members
    }

    /// Whether another node's upstream takes ranges of the own service.
    fn takes(&self, node: &str, now: Millis) -> bool {
        let Some(peer) = self.directory.get(node) else { return false };
        let said = &peer.said;
        said.service == self.settings.service
            && said.life.is_some()
            && !said.leaving
            && said.lease.is_some()
            && !self.out.contains(&said.domain)
            && self.directory.is_live(node, now)
    }

    /// Nodes that can take ranges, the least loaded first.
    pub(super) fn targets(&self, now: Millis) -> Vec<Target> {
        let mut targets = Vec::new();
        for (node, peer) in self.directory.iter() {
            if !self.takes(node, now) {
                continue;
            }
            let room = peer.said.capacity - peer.said.rate;
            let capacity = f64::from(room.max(1.0));
            targets.push(Target { node: node.to_owned(), capacity });
        }
        targets.sort_by(|a, b| {
            b.capacity.total_cmp(&a.capacity).then(a.node.cmp(&b.node))
        });
        targets
    }

    /// Divides ranges among targets in proportion to their room, by load
    /// where it is known and else by the number of keys.
    pub(super) fn divide(
        &self,
        ranges: &[(u16, u16)],
        targets: &[Target],
    ) -> Vec<Move> {
        let room: f64 = targets.iter().map(|t| t.capacity).sum();
        let weigh = |&(first, last): &(u16, u16)| self.weight(first, last);
        let total: f64 = ranges.iter().map(weigh).sum();
        let grain = total / (2.0 * targets.len().max(1) as f64);
        let mut moves: Vec<Move> = Vec::new();
        let (mut place, mut filled) = (0, 0.0);
        for &(first, last) in ranges {
            for (first, last) in self.pieces(first, last, grain) {
                let Some(target) = targets.get(place) else { break };
                let to = target.node.clone();
                moves.push(Move { first, last, to });
                filled += self.weight(first, last);
                let share = total * target.capacity / room;
                if filled >= share * 0.9 && place + 1 < targets.len() {
                    (place, filled) = (place + 1, 0.0);
                }
            }
        }
        moves
    }

    /// Load of a range; a small part of it stands for keys without requests.
    fn weight(&self, first: u16, last: u16) -> f64 {
        let heat: f64 =
            self.heat.within(first, last).map(|entry| entry.1).sum();
        heat + (f64::from(last - first) + 1.0) / f64::from(KEY_MAX)
    }

    /// Splits a range into pieces of about `grain`, at busy keys.
    fn pieces(&self, first: u16, last: u16, grain: f64) -> Vec<(u16, u16)> {
        let mut pieces = Vec::new();
        let (mut begin, mut sum) = (first, 0.0);
        for (key, rate) in self.heat.within(first, last) {
            sum += rate;
            if sum >= grain && key < last {
                pieces.push((begin, key));
                (begin, sum) = (key + 1, 0.0);
            }
        }
        pieces.push((begin, last));
        pieces
    }
}
