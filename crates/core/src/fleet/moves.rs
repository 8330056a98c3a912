//! Planned moves of ranges from this node to others.
//!
//! Only the owner moves a range. It records the next owner, omits the range
//! from its grants to the upstream, and transfers the range once the upstream
//! has released it or the grant has expired. A move is never cancelled,
//! because a conditional update that transfers the range may still take effect
//! late.

use std::rc::Rc;

use crate::clock::Millis;
use crate::fleet::balance::{self, Member, Move};
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::proposal::Transfer;
use crate::fleet::reducer::Fleet;
use crate::fleet::settings::GrantMode;
use crate::fleet::table::{MAX_KEY, Range, Table};

/// Time after which a node's reported load includes a range that it received:
/// the time constant of the load average.
const LOAD_SETTLE_MS: u64 = 2_000;

/// Time from the end of the work on a range until its next owner knows of it:
/// an announcement and a table update.
const HANDOVER_MS: u64 = 200;

/// Most ranges of one upstream. Each takes up to 50 bytes of an announcement's
/// answer, which may have 4 KiB.
const MAX_RANGE_COUNT: usize = 56;

/// A node that can receive ranges.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) node: String,
    /// Spare capacity, in requests per second.
    pub(super) spare_rate: f64,
}

/// Planned moves from this node that have not been completed.
#[derive(Clone, Debug, Default)]
pub(super) struct Moves {
    list: Vec<Move>,
}

impl Moves {
    /// Whether no moves are planned.
    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether a key is planned to move.
    pub(super) fn contains(&self, key: u16) -> bool {
        self.list.iter().any(|m| m.first <= key && key <= m.last)
    }

    /// The parts of `first..=last` that are not planned to move.
    pub(super) fn unmoved(&self, first: u16, last: u16) -> Vec<(u16, u16)> {
        let keys = self.list.iter().map(|m| (m.first, m.last));
        balance::subtract(&[(first, last)], keys)
    }

    /// Drops the parts of moves whose ranges have a new owner.
    pub(super) fn prune(&mut self, table: &Table, node: &str) {
        let mut left = Vec::new();
        for m in self.list.drain(..) {
            for range in &table.ranges {
                if range.node != node || !range.overlaps(m.first, m.last) {
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
    /// Transfers of ranges that the upstream no longer holds to their next
    /// owners.
    pub(super) fn ready_transfers(
        &self,
        table: &Table,
        now: Millis,
    ) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        if self.moves.is_empty() {
            return transfers;
        }
        let targets = self.targets(now);
        for m in self.pending_pieces() {
            if self.upstream.may_hold(m.first, m.last, now) {
                continue;
            }
            let fits = |target: &&Target| target.node == m.to;
            let target = targets.iter().find(fits).or(targets.first());
            let Some(target) = target else { continue };
            let instance = self.instance_of(&target.node);
            let handover = self.upstream.handover(m.first, m.last);
            // A piece may span ranges with different fencing tokens.
            for range in table.ranges_of(&self.settings.node) {
                if !range.overlaps(m.first, m.last) {
                    continue;
                }
                transfers.push(Transfer {
                    first: range.first.max(m.first),
                    last: range.last.min(m.last),
                    fence: range.fence,
                    to: target.node.clone(),
                    instance: instance.clone(),
                    handover: handover.map(str::to_owned),
                });
            }
        }
        transfers
    }

    /// Planned moves, split at the bounds of released ranges, so that each
    /// part has its handover token.
    fn pending_pieces(&self) -> Vec<Move> {
        let mut pieces = Vec::new();
        for m in &self.moves.list {
            let whole = (m.first, m.last);
            let mut parts = Vec::new();
            for released in self.upstream.released() {
                let first = released.first.max(m.first);
                let last = released.last.min(m.last);
                if first <= last {
                    parts.push((first, last));
                }
            }
            let rest = balance::subtract(&[whole], parts.iter().copied());
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

    /// Plans to move all ranges away from an upstream that drains, is out of
    /// service or has gone.
    pub(super) fn plan_drain(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let gone = self.upstream_gone(now);
        let leaves = self.upstream.is_leaving() || self.is_domain_out();
        if !gone && !leaves {
            return;
        }
        let own = self.unmoved_ranges(table);
        if own.is_empty() {
            return;
        }
        let mut targets = self.targets(now);
        let timely: Vec<Target> = targets
            .iter()
            .filter(|target| self.announces_soon(&target.node, now))
            .cloned()
            .collect();
        let room: f64 = timely.iter().map(|target| target.spare_rate).sum();
        if room >= self.key_load.rate(now) && !timely.is_empty() {
            targets = timely;
        }
        let moves = self.divide(&own, &targets);
        self.add_moves(
            moves,
            "upstream is draining, out of service or gone",
            now,
            out,
        );
    }

    /// The node's ranges that are not planned to move.
    fn unmoved_ranges(&self, table: &Table) -> Vec<(u16, u16)> {
        let mut own = Vec::new();
        for range in table.ranges_of(&self.settings.node) {
            own.extend(self.moves.unmoved(range.first, range.last));
        }
        own
    }

    /// Plans moves when the upstream announces itself, since the answer omits
    /// the ranges that are to move.
    pub(super) fn plan_moves(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let known = self.tables.get(&self.settings.service);
        let may_move = self.is_claimed() && self.is_settled(now);
        let Some(known) = known.filter(|_| may_move) else { return };
        let table = Rc::clone(&known.table);
        self.plan_drain(&table, now, out);
        self.rebalance(&table, now, out);
    }

    /// Adds planned moves.
    fn add_moves(
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
            rate: self.key_load.rate(now) as u32,
            capacity: self.capacity(now) as u32,
        }));
        self.moves.list.extend(moves);
    }

    /// Plans moves of load above this node's fair share.
    fn rebalance(
        &mut self,
        table: &Table,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if !self.moves.list.is_empty() || !self.upstream.is_ready() {
            return;
        }
        let held: Vec<(u16, u16)> = table
            .ranges_of(&self.settings.node)
            .filter(|range| self.upstream.holds(range.first, now))
            .map(|range| (range.first, range.last))
            .collect();
        if held.is_empty() {
            return;
        }
        if table.ranges_of(&self.settings.node).count() > MAX_RANGE_COUNT {
            let least_loaded = self.least_loaded(table, now);
            let reason = "the upstream has too many ranges";
            return self.add_moves(
                least_loaded.into_iter().collect(),
                reason,
                now,
                out,
            );
        }
        let node = self.settings.node.clone();
        let mut members = self.members(table, now);
        for member in &mut members {
            member.can_receive &= self.announces_soon(&member.node, now);
        }
        let moves = balance::plan(&node, &members, &held, &self.key_load);
        self.add_moves(moves, "load above the fair share", now, out);
    }

    /// Whether another node's upstream announces itself soon after this node's
    /// upstream will have released a range that it is told to release now. The
    /// receiver gets the range only with the answer to an announcement, and
    /// until then no upstream serves it. One that is granted ranges in calls
    /// need not announce itself first.
    fn announces_soon(&self, node: &str, now: Millis) -> bool {
        if self.settings.grants == GrantMode::Direct {
            return true;
        }
        let Some(peer) = self.directory.get(node) else { return false };
        let interval = self.settings.bounds.announce_ms();
        let work = self.requests.mean(now) as u64;
        let release_at = now.plus(work + HANDOVER_MS);
        // The announcement interval is about the same on all nodes.
        let late = release_at.since(peer.next_announcement) % interval;
        let wait = if late > 0 { interval - late } else { 0 }
            + peer.next_announcement.since(release_at);
        wait <= interval / 2
    }

    /// The move of the least loaded range to the owner of an adjacent one,
    /// so that the two merge: the answer to an announcement has room for a
    /// limited number of ranges.
    fn least_loaded(&self, table: &Table, now: Millis) -> Option<Move> {
        let node = &self.settings.node;
        let mut least_loaded: Option<(f64, Move)> = None;
        for (index, range) in table.ranges.iter().enumerate() {
            if range.node != *node {
                continue;
            }
            let before = index.checked_sub(1).map(|p| &table.ranges[p]);
            let neighbours = [before, table.ranges.get(index + 1)];
            let mut owners = neighbours.into_iter().flatten();
            let fits = |other: &&Range| self.accepts_ranges(&other.node, now);
            let Some(owner) = owners.find(fits) else { continue };
            let (first, last) = (range.first, range.last);
            let weight = self.range_load(first, last);
            if least_loaded.as_ref().is_none_or(|(best, _)| weight < *best) {
                let to = owner.node.clone();
                least_loaded = Some((weight, Move { first, last, to }));
            }
        }
        least_loaded.map(|(_, m)| m)
    }

    /// This node, and the nodes that can receive ranges.
    fn members(&mut self, table: &Table, now: Millis) -> Vec<Member> {
        let mut members = vec![Member {
            node: self.settings.node.clone(),
            rate: self.key_load.rate(now),
            capacity: self.capacity(now),
            can_receive: true,
        }];
        for (name, peer) in self.directory.iter() {
            let settled = self
                .last_assigned
                .get(name)
                .is_none_or(|&at| now.since(at) >= LOAD_SETTLE_MS);
            if !settled || !self.accepts_ranges(name, now) {
                continue;
            }
            if table.ranges_of(name).count() >= MAX_RANGE_COUNT {
                continue;
            }
            members.push(Member {
                node: name.to_owned(),
                rate: f64::from(peer.gossip.rate),
                capacity: f64::from(peer.gossip.capacity),
                can_receive: true,
            });
        }
        members
    }

    /// Whether another node can receive ranges of this node's service.
    fn accepts_ranges(&self, node: &str, now: Millis) -> bool {
        let Some(peer) = self.directory.get(node) else { return false };
        let gossip = &peer.gossip;
        gossip.service == self.settings.service
            && gossip.instance.is_some()
            && !gossip.leaving
            && gossip.lease.is_some()
            && !self.domains_out.contains(&gossip.domain)
            && self.directory.is_live(node, now)
    }

    /// Nodes that can receive ranges, most spare capacity first.
    pub(super) fn targets(&self, now: Millis) -> Vec<Target> {
        let mut targets = Vec::new();
        for (node, peer) in self.directory.iter() {
            if !self.accepts_ranges(node, now) {
                continue;
            }
            let room = peer.gossip.capacity - peer.gossip.rate;
            let capacity = f64::from(room.max(1.0));
            targets
                .push(Target { node: node.to_owned(), spare_rate: capacity });
        }
        targets.sort_by(|a, b| {
            b.spare_rate.total_cmp(&a.spare_rate).then(a.node.cmp(&b.node))
        });
        targets
    }

    /// Divides ranges among targets in proportion to their spare capacity, by
    /// load where it is known and otherwise by number of keys.
    pub(super) fn divide(
        &self,
        ranges: &[(u16, u16)],
        targets: &[Target],
    ) -> Vec<Move> {
        let room: f64 = targets.iter().map(|t| t.spare_rate).sum();
        let weigh = |&(first, last): &(u16, u16)| self.range_load(first, last);
        let total: f64 = ranges.iter().map(weigh).sum();
        let piece_load = total / (2.0 * targets.len().max(1) as f64);
        let mut moves: Vec<Move> = Vec::new();
        let (mut index, mut filled) = (0, 0.0);
        for &(first, last) in ranges {
            for (first, last) in self.split_by_load(first, last, piece_load) {
                let Some(target) = targets.get(index) else { break };
                let to = target.node.clone();
                moves.push(Move { first, last, to });
                filled += self.range_load(first, last);
                let share = total * target.spare_rate / room;
                if filled >= share * 0.9 && index + 1 < targets.len() {
                    (index, filled) = (index + 1, 0.0);
                }
            }
        }
        moves
    }

    /// Load of a range. Each key adds a small constant, so that keys without
    /// requests count as well.
    fn range_load(&self, first: u16, last: u16) -> f64 {
        let load: f64 =
            self.key_load.within(first, last).map(|entry| entry.1).sum();
        load + (f64::from(last - first) + 1.0) / f64::from(MAX_KEY)
    }

    /// Splits a range after busy keys into pieces with a load of about
    /// `piece_load`.
    fn split_by_load(
        &self,
        first: u16,
        last: u16,
        piece_load: f64,
    ) -> Vec<(u16, u16)> {
        let mut pieces = Vec::new();
        let (mut begin, mut sum) = (first, 0.0);
        for (key, rate) in self.key_load.within(first, last) {
            sum += rate;
            if sum >= piece_load && key < last {
                pieces.push((begin, key));
                (begin, sum) = (key + 1, 0.0);
            }
        }
        pieces.push((begin, last));
        pieces
    }
}
