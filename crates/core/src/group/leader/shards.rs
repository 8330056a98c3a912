//! Placement of shards by the leader: claims, grants, planned moves and
//! losses.
//!
//! A shard is granted only when its former holder has released it or the
//! former holder's lease has certainly expired.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::config::Service;
use crate::control::{Heartbeat, MemberInfo};
use crate::effect::{Effect, Notice};
use crate::group::leader::{Leader, LeaderContext, MemberEntry, ShardState};
use crate::group::placement::place;
use crate::group::rules;
use crate::id::{Fence, NodeAddr, Shard};

/// Most shards that are moved at the same time for rebalancing. Bounds how
/// many keys wait for a move at the same moment.
const MAX_REBALANCE_COUNT: usize = 16;

impl Leader {
    /// Creates the group's shards, without owners.
    pub(super) fn create_shards(&mut self, spec: &Service) {
        if !spec.keyed {
            return;
        }
        self.shard_count = spec.shards;
        for shard in 0..spec.shards {
            if shard % spec.groups == self.id.index {
                self.shards.entry(Shard(shard)).or_default();
            }
        }
    }

    /// Frees the shards of members that cannot be reached, once their leases
    /// have expired, and removes the silent ones.
    pub(super) fn drop_lost_members(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let own = self.addr;
        let lost = |n: &NodeAddr, m: &MemberEntry| {
            *n != own
                && rules::lease_expired(m.latest_end, now)
                && (m.is_silent(now) || m.lease_unconfirmed(now))
        };
        let lost_members: Vec<NodeAddr> = self
            .members
            .iter()
            .filter(|(n, m)| {
                lost(n, m) && (m.is_silent(now) || self.owns_shards(**n))
            })
            .map(|(&n, _)| n)
            .collect();
        for node in lost_members {
            for state in self.shards.values_mut() {
                if state.owner == Some(node) {
                    *state = ShardState::free();
                }
            }
            self.mark_changed(node);
            if self.members.get(&node).is_some_and(|m| m.is_silent(now)) {
                self.members.remove(&node);
                out.push(Effect::Notice(Notice::MemberLost { node }));
            }
        }
    }

    /// Drains members whose failure domain is out of service.
    pub(super) fn update_domains(&mut self, ctx: LeaderContext<'_>) {
        let mut changed = Vec::new();
        for (&node, member) in &mut self.members {
            let Some(detail) = &member.detail else { continue };
            let domain = ctx.config.domains.get(&detail.domain);
            let out = domain.is_some_and(|d| d.out);
            if out == member.out_since.is_some() {
                continue;
            }
            member.out_since = out.then_some(ctx.now);
            changed.push(node);
        }
        for node in changed {
            self.mark_changed(node);
        }
    }

    /// Grants shards back to the members that claim them, once no lease of an
    /// earlier leader can be valid. Of several claims to a shard, that of the
    /// latest plan wins.
    pub(super) fn grant_claims(&mut self, now: Millis) {
        if now < self.prior_end {
            return;
        }
        let mut claims: Vec<(Fence, NodeAddr, MemberInfo)> = Vec::new();
        for (&node, member) in &self.members {
            let (Some(plan), Some(detail)) =
                (member.claimed_plan, &member.detail)
            else {
                continue;
            };
            claims.push((plan, node, detail.clone()));
        }
        claims.sort_by_key(|c| (c.0, c.1));
        self.plan_version += 1;
        let taken = self.owned_shards();
        for (_, node, detail) in claims {
            self.restore_pins(&detail);
            for shard in detail.held {
                if taken.contains(&shard) {
                    continue;
                }
                let Some(s) = self.shards.get_mut(&shard) else { continue };
                *s = ShardState::owned(node, self.plan_version);
            }
        }
        self.mark_all_changed();
    }

    fn owned_shards(&self) -> BTreeSet<Shard> {
        let owned = self.shards.iter().filter(|(_, s)| s.owner.is_some());
        owned.map(|(&shard, _)| shard).collect()
    }

    /// Immediately grants shards back to a member whose lease from an earlier
    /// leader is still valid.
    pub(super) fn grant_claim(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
        now: Millis,
    ) {
        let detail = self.members.get(&from).and_then(|m| m.detail.clone());
        let Some(detail) = detail else { return };
        let (plan, left) = (heartbeat.plan, heartbeat.lease);
        if !rules::may_reclaim(plan, left, self.epoch, self.prior_end, now) {
            return;
        }
        self.restore_pins(&detail);
        for shard in &detail.held {
            let state = self.shards.get(shard);
            if state.is_some_and(|s| s.owner.is_none() && !s.free) {
                self.grant(*shard, from);
            }
        }
    }

    /// Grants free shards and revokes those that should move.
    pub(super) fn place_shards(&mut self, ctx: LeaderContext<'_>) {
        let now = ctx.now;
        let (nodes, weights) = self.eligible_members(ctx);
        let positions: BTreeMap<NodeAddr, usize> =
            nodes.iter().enumerate().map(|(i, &n)| (n, i)).collect();
        let mut shards = Vec::new();
        let mut owners = Vec::new();
        for (&shard, state) in self.shards.range(..self.first_pin()) {
            let absent =
                state.owner.is_some_and(|n| !positions.contains_key(&n));
            if absent
                && state.revoked_version.is_none()
                && !self.owner_draining(state)
            {
                // A silent owner keeps its shards until its lease has expired.
                continue;
            }
            shards.push(shard);
            let stays =
                state.owner.filter(|_| state.revoked_version.is_none());
            owners.push(stays.and_then(|n| positions.get(&n).copied()));
        }
        let wanted = place(&owners, &weights);
        let mut moving = self
            .shards
            .values()
            .filter(|s| s.revoked_version.is_some())
            .count();
        for (shard, wanted) in shards.into_iter().zip(wanted) {
            let state = self.shards[&shard];
            let wanted = wanted.map(|i| nodes[i]);
            match (state.owner, wanted) {
                (None, Some(node))
                    if rules::may_grant(state.free, self.prior_end, now) =>
                {
                    self.grant(shard, node);
                }
                (Some(node), wanted)
                    if state.revoked_version.is_none()
                        && wanted != Some(node)
                        && (self.owner_draining(&state)
                            || moving < MAX_REBALANCE_COUNT) =>
                {
                    moving += 1;
                    self.revoke(shard, node);
                }
                _ => {}
            }
        }
    }

    /// Members that may receive shards, and their shares.
    pub(super) fn eligible_members(
        &self,
        ctx: LeaderContext<'_>,
    ) -> (Vec<NodeAddr>, Vec<u32>) {
        let mut nodes = Vec::new();
        let mut weights = Vec::new();
        for (&node, member) in &self.members {
            let Some(detail) = &member.detail else { continue };
            if member.is_draining()
                || member.is_silent(ctx.now)
                || member.lease_unconfirmed(ctx.now)
            {
                continue;
            }
            nodes.push(node);
            let share = ctx.spec.shares.get(&detail.upstream);
            weights.push(share.copied().unwrap_or(1));
        }
        (nodes, weights)
    }

    /// Whether the shard's owner is to give up all its shards.
    pub(super) fn owner_draining(&self, state: &ShardState) -> bool {
        let owner = state.owner.and_then(|n| self.members.get(&n));
        owner.is_some_and(MemberEntry::is_draining)
    }

    pub(super) fn grant(&mut self, shard: Shard, node: NodeAddr) {
        self.mark_changed(node);
        let state = ShardState::owned(node, self.plan_version);
        self.shards.insert(shard, state);
    }

    pub(super) fn revoke(&mut self, shard: Shard, node: NodeAddr) {
        self.mark_changed(node);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.revoked_version = Some(self.plan_version);
        }
    }

    /// Frees shards that their holder has released. The report must follow the
    /// plan that revoked the shard: an older one belongs to an earlier move.
    pub(super) fn free_released(
        &mut self,
        from: NodeAddr,
        heartbeat: &Heartbeat,
    ) {
        for shard in &heartbeat.released {
            let Some(state) = self.shards.get_mut(shard) else { continue };
            let after = state.revoked_version.is_some_and(|v| {
                rules::confirms_release(heartbeat.plan, self.epoch, v)
            });
            if state.owner != Some(from) || !after {
                continue;
            }
            *state = ShardState::free();
            self.mark_changed(from);
        }
    }
}
