//! Placement of shards: claims, grants, planned moves and losses.
//!
//! A shard is granted only when its former holder has released it or the
//! latest instant of the former holder's lease has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Heartbeat, MemberInfo};
use crate::effect::{Effect, Notice};
use crate::group::leader::{Facts, Leader, Peer, Slot};
use crate::group::place::place;
use crate::group::rules;
use crate::id::{Fence, NodeAddr, Shard};

/// Shards in planned moves at once because of rebalancing. Bounds how many
/// keys wait for a move at the same moment.
const MOVES: usize = 16;

impl Leader {
    /// Creates the group's shards, without owners.
    pub(super) fn fill(&mut self, spec: &Service) {
        if !spec.keyed {
            return;
        }
        self.shards = spec.shards;
        for shard in 0..spec.shards {
            if shard % spec.groups == self.id.index {
                self.slots.entry(Shard(shard)).or_default();
            }
        }
    }

    /// Frees the shards of members that are not reached any more, once
    /// their leases have ended.
    pub(super) fn drop_lost(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let own = self.addr;
        let lost = |n: &NodeAddr, p: &Peer| {
            *n != own
                && rules::lapsed(p.latest, now)
                && (p.quiet(now) || p.deaf(now))
        };
        let gone: Vec<NodeAddr> = self
            .peers
            .iter()
            .filter(|(n, p)| lost(n, p) && (p.quiet(now) || self.owns(**n)))
            .map(|(&n, _)| n)
            .collect();
        for node in gone {
            for slot in self.slots.values_mut() {
                if slot.owner == Some(node) {
                    *slot = Slot::free();
                }
            }
            self.touch(node);
            if self.peers.get(&node).is_some_and(|p| p.quiet(now)) {
                self.peers.remove(&node);
                self.poison.forget(node);
                out.push(Effect::Notice(Notice::MemberLost { node }));
            }
        }
    }

    /// Treats members of a domain that is out of service as leaving.
    pub(super) fn note_domains(&mut self, facts: Facts<'_>) {
        let mut changed = Vec::new();
        for (&node, peer) in &mut self.peers {
            let Some(detail) = &peer.detail else { continue };
            let domain = facts.config.domains.get(&detail.domain);
            let out = domain.is_some_and(|d| d.out);
            if out == peer.out.is_some() {
                continue;
            }
            peer.out = out.then_some(facts.now);
            changed.push(node);
        }
        for node in changed {
            self.touch(node);
        }
    }

    /// Grants shards back to the members that reported to have held them,
    /// once no lease of an earlier leader can be valid. Of several reports,
    /// the latest plan wins.
    pub(super) fn take_claims(&mut self, now: Millis) {
        if now < self.orphan {
            return;
        }
        let mut claims: Vec<(Fence, NodeAddr, MemberInfo)> = Vec::new();
        for (&node, peer) in &self.peers {
            let (Some(plan), Some(detail)) = (peer.claim, &peer.detail) else {
                continue;
            };
            claims.push((plan, node, detail.clone()));
        }
        claims.sort_by_key(|c| (c.0, c.1));
        self.version += 1;
        let taken = self.owned();
        for (_, node, detail) in claims {
            self.note_pins(&detail);
            for shard in detail.held {
                if taken.contains(&shard) {
                    continue;
                }
                let Some(slot) = self.slots.get_mut(&shard) else { continue };
                *slot = Slot::owned(node, self.version);
            }
        }
        self.touch_all();
    }

    fn owned(&self) -> BTreeSet<Shard> {
        let owned = self.slots.iter().filter(|(_, s)| s.owner.is_some());
        owned.map(|(&shard, _)| shard).collect()
    }

    /// Grants shards back at once to a member whose lease by an earlier
    /// leader is valid.
    pub(super) fn take_claim(
        &mut self,
        from: NodeAddr,
        beat: &Heartbeat,
        now: Millis,
    ) {
        let detail = self.peers.get(&from).and_then(|p| p.detail.clone());
        let Some(detail) = detail else { return };
        let (plan, left) = (beat.plan, beat.lease);
        if !rules::keeps(plan, left, self.epoch, self.orphan, now) {
            return;
        }
        self.note_pins(&detail);
        for shard in &detail.held {
            let slot = self.slots.get(shard);
            if slot.is_some_and(|s| s.owner.is_none() && !s.free) {
                self.give(*shard, from);
            }
        }
    }

    /// Grants free shards and revokes those that should move.
    pub(super) fn move_shards(&mut self, facts: Facts<'_>) {
        let now = facts.now;
        let (nodes, weights) = self.receivers(facts);
        let at: BTreeMap<NodeAddr, usize> =
            nodes.iter().enumerate().map(|(i, &n)| (n, i)).collect();
        let mut shards = Vec::new();
        let mut owners = Vec::new();
        for (&shard, slot) in self.slots.range(..self.first_pin()) {
            let absent = slot.owner.is_some_and(|n| !at.contains_key(&n));
            if absent && slot.revoked.is_none() && !self.leaves(slot) {
                // A quiet owner keeps its shards until its lease has ended.
                continue;
            }
            shards.push(shard);
            let stays = slot.owner.filter(|_| slot.revoked.is_none());
            owners.push(stays.and_then(|n| at.get(&n).copied()));
        }
        let wanted = place(&owners, &weights);
        let mut moving =
            self.slots.values().filter(|s| s.revoked.is_some()).count();
        for (shard, wanted) in shards.into_iter().zip(wanted) {
            let slot = self.slots[&shard];
            let wanted = wanted.map(|i| nodes[i]);
            match (slot.owner, wanted) {
                (None, Some(node))
                    if rules::may_give(slot.free, self.orphan, now) =>
                {
                    self.give(shard, node);
                }
                (Some(node), wanted)
                    if slot.revoked.is_none()
                        && wanted != Some(node)
                        && (self.leaves(&slot) || moving < MOVES) =>
                {
                    moving += 1;
                    self.revoke(shard, node);
                }
                _ => {}
            }
        }
    }

    /// Members that may receive shards, and their shares.
    pub(super) fn receivers(
        &self,
        facts: Facts<'_>,
    ) -> (Vec<NodeAddr>, Vec<u32>) {
        let mut nodes = Vec::new();
        let mut weights = Vec::new();
        for (&node, peer) in &self.peers {
            let Some(detail) = &peer.detail else { continue };
            if peer.draining() || peer.quiet(facts.now) || peer.deaf(facts.now)
            {
                continue;
            }
            nodes.push(node);
            let share = facts.spec.shares.get(&detail.upstream);
            weights.push(share.copied().unwrap_or(1));
        }
        (nodes, weights)
    }

    /// Whether the owner of a slot is to give up its shards.
    pub(super) fn leaves(&self, slot: &Slot) -> bool {
        let owner = slot.owner.and_then(|n| self.peers.get(&n));
        owner.is_some_and(Peer::draining)
    }

    pub(super) fn give(&mut self, shard: Shard, node: NodeAddr) {
        self.touch(node);
        let slot = Slot::owned(node, self.version);
        self.slots.insert(shard, slot);
    }

    pub(super) fn revoke(&mut self, shard: Shard, node: NodeAddr) {
        self.touch(node);
        if let Some(slot) = self.slots.get_mut(&shard) {
            slot.revoked = Some(self.version);
        }
    }

    /// Frees shards that their holder has released. The report must follow
    /// the plan that revoked the shard: an older one is of an earlier move.
    pub(super) fn release(&mut self, from: NodeAddr, beat: &Heartbeat) {
        for shard in &beat.released {
            let Some(slot) = self.slots.get_mut(shard) else { continue };
            let after = slot
                .revoked
                .is_some_and(|v| rules::releases(beat.plan, self.epoch, v));
            if slot.owner != Some(from) || !after {
                continue;
            }
            *slot = Slot::free();
            self.touch(from);
        }
    }
}
