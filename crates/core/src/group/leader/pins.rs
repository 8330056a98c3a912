//! Pins: hot keys with a shard of their own.
//!
//! A hot key's shard is first granted to the holder of the key's hashed shard,
//! in one plan, and then moves like any other shard. Whoever is granted the
//! hashed shard learns of the pin in the same plan, so a key never has two
//! holders, one by each of its two shards.

use crate::clock::Millis;
use crate::control::{MemberInfo, PinnedKey};
use crate::group::hot::MAX_PIN_COUNT;
use crate::group::leader::{Leader, LeaderContext, ShardState};
use crate::group::parts::to_pin;
use crate::group::rules;
use crate::id::{KeyHash, NodeAddr, Shard};

/// Interval at which keys are pinned, unpinned and moved. Longer than the time
/// in which a move shows in the members' loads.
const PIN_REVIEW_INTERVAL_MS: u64 = 3_000;

/// Shortest time between two moves of a key.
const MOVE_COOLDOWN_MS: u64 = 20_000;

/// Time for which a key stays after a move that did not help, since the key
/// alone causes the load wherever it is.
const FUTILE_MOVE_COOLDOWN_MS: u64 = 300_000;

/// Difference between the loads of two members, in per mille of their limits,
/// from which a key moves.
const LOAD_MARGIN_PER_MILLE: u32 = 250;

/// State of a pinned key.
#[derive(Clone, Copy, Debug)]
pub(super) struct PinState {
    pub(super) shard: Shard,
    /// The key is not moved before this instant.
    cooldown_end: Millis,
    /// Its holder's load before the last move, in per mille of the limit.
    load_before: Option<u32>,
    /// The member that receives the shard once it is released.
    target: Option<NodeAddr>,
    /// The key is cold and returns to its hashed shard.
    retiring: bool,
}

impl Leader {
    /// The smallest shard id that is used for hot keys.
    pub(super) fn first_pin(&self) -> Shard {
        Shard(self.shard_count)
    }

    /// Pins whose own or hashed shard a member holds.
    pub(super) fn pins_of(&self, node: NodeAddr) -> Vec<PinnedKey> {
        let holds = |s: Shard| {
            self.shards.get(&s).is_some_and(|s| s.owner == Some(node))
        };
        let mut pins = Vec::new();
        for (key, pinned) in &self.pins {
            if holds(pinned.shard) || holds(key.shard(self.shard_count)) {
                pins.push(to_pin((key, &pinned.shard)));
            }
        }
        pins
    }

    /// Recreates the pins that a member reported. Their shards have no owner
    /// until a member claims them.
    pub(super) fn restore_pins(&mut self, detail: &MemberInfo) {
        for &PinnedKey { key, shard } in &detail.pins {
            if shard < self.first_pin() || self.shard_count == 0 {
                continue;
            }
            let taken = self.shards.contains_key(&shard);
            if taken || self.pins.contains_key(&key) {
                continue;
            }
            self.shards.insert(shard, ShardState::default());
            self.last_pin = self.last_pin.max(shard.0);
            self.pins.insert(key, PinState::new(shard, Millis(0)));
        }
    }

    /// Places the shards of pinned keys and, at every
    /// [`PIN_REVIEW_INTERVAL_MS`], pins, unpins and moves hot keys.
    pub(super) fn reconcile_pins(&mut self, ctx: LeaderContext<'_>) {
        if self.shard_count == 0 {
            return;
        }
        let keys: Vec<KeyHash> = self.pins.keys().copied().collect();
        for key in keys {
            self.place_pin_shard(key, ctx.now);
        }
        if ctx.now < self.next_review {
            return;
        }
        self.next_review = ctx.now.plus(PIN_REVIEW_INTERVAL_MS);
        self.key_rates.expire(ctx.now);
        self.pin_hot_keys(ctx);
        self.retire_cold_pins(ctx.now);
        self.move_hot_key(ctx);
    }

    /// Keeps a pinned key's shard with a member that may serve it. A shard
    /// without a holder and a new target is removed, and the key returns to
    /// the holder of its hashed shard.
    fn place_pin_shard(&mut self, key: KeyHash, now: Millis) {
        let Some(&pinned) = self.pins.get(&key) else { return };
        let Some(&state) = self.shards.get(&pinned.shard) else { return };
        let hashed = self.shards.get(&key.shard(self.shard_count)).copied();
        let hashed_owner = hashed.filter(|h| h.revoked_version.is_none());
        let hashed_owner = hashed_owner.and_then(|h| h.owner);
        match state.owner {
            None if rules::may_grant(state.free, self.prior_end, now) => {
                match pinned.target {
                    Some(to)
                        if !pinned.retiring && self.can_receive(to, now) =>
                    {
                        self.grant(pinned.shard, to);
                        self.change_pin(key, |p| p.target = None);
                    }
                    _ => self.unpin(key),
                }
            }
            Some(owner) if state.revoked_version.is_none() => {
                if pinned.retiring && hashed_owner == Some(owner) {
                    self.unpin(key);
                } else if pinned.retiring || self.owner_draining(&state) {
                    self.revoke(pinned.shard, owner);
                }
            }
            _ => {}
        }
    }

    fn can_receive(&self, node: NodeAddr, now: Millis) -> bool {
        let member = self.members.get(&node);
        member.is_some_and(|m| {
            !m.is_draining() && !m.is_silent(now) && !m.lease_unconfirmed(now)
        })
    }

    fn change_pin(
        &mut self,
        key: KeyHash,
        change: impl FnOnce(&mut PinState),
    ) {
        if let Some(pinned) = self.pins.get_mut(&key) {
            change(pinned);
        }
    }

    /// Removes the shard of a key. The shard is free, or held by the holder of
    /// the hashed shard, which then serves the key under that one.
    fn unpin(&mut self, key: KeyHash) {
        let Some(pinned) = self.pins.remove(&key) else { return };
        let shards = [pinned.shard, key.shard(self.shard_count)];
        let owners = shards.map(|s| self.shards.get(&s).and_then(|s| s.owner));
        self.shards.remove(&pinned.shard);
        for owner in owners.into_iter().flatten() {
            self.mark_changed(owner);
        }
    }

    /// Pins keys that became hot, each to a new shard at its present holder.
    fn pin_hot_keys(&mut self, ctx: LeaderContext<'_>) {
        let now = ctx.now;
        for key in self.key_rates.hot_keys(now) {
            if self.pins.len() >= MAX_PIN_COUNT || self.pins.contains_key(&key)
            {
                continue;
            }
            let hashed = key.shard(self.shard_count);
            let Some(state) = self.shards.get(&hashed) else { continue };
            let Some(owner) =
                state.owner.filter(|_| state.revoked_version.is_none())
            else {
                continue;
            };
            let Some(shard) = self.next_pin_shard(ctx.spec.groups) else {
                return;
            };
            self.grant(shard, owner);
            self.pins.insert(key, PinState::new(shard, now));
        }
    }

    /// An unused id for a hot key's shard. Ids are used in rotation, so that a
    /// late request of a former pin is not mistaken for one of a new pin.
    fn next_pin_shard(&mut self, groups: u16) -> Option<Shard> {
        let index = self.id.index;
        let first = u32::from(self.shard_count).div_ceil(u32::from(groups))
            * u32::from(groups)
            + u32::from(index);
        let mut next = u32::from(self.last_pin);
        for _ in 0..=MAX_PIN_COUNT {
            next = if next < first { first } else { next + u32::from(groups) };
            if next >= u32::from(u16::MAX) {
                next = first;
            }
            let shard = Shard(u16::try_from(next).ok()?);
            if next < u32::from(u16::MAX) && !self.shards.contains_key(&shard)
            {
                self.last_pin = shard.0;
                return Some(shard);
            }
        }
        None
    }

    fn retire_cold_pins(&mut self, now: Millis) {
        let key_rates = &self.key_rates;
        let mut changed = false;
        for (&key, pinned) in &mut self.pins {
            if !pinned.retiring && key_rates.is_cold(key, now) {
                pinned.retiring = true;
                changed = true;
            }
        }
        self.dirty |= changed;
    }

    /// Moves one hot key from a loaded member to the least loaded one.
    fn move_hot_key(&mut self, ctx: LeaderContext<'_>) {
        let now = ctx.now;
        let (nodes, _) = self.eligible_members(ctx);
        let load =
            |n: NodeAddr| self.members.get(&n).map_or(0, |m| m.load_permille);
        let Some(to) = nodes.into_iter().min_by_key(|&n| load(n)) else {
            return;
        };
        let mut best: Option<(u32, u32, KeyHash, NodeAddr)> = None;
        for (&key, pinned) in &self.pins {
            let state = self.shards.get(&pinned.shard);
            let Some(state) = state.filter(|s| s.revoked_version.is_none())
            else {
                continue;
            };
            let Some(owner) = state.owner else { continue };
            let excess = load(owner).saturating_sub(load(to));
            if pinned.retiring
                || now < pinned.cooldown_end
                || excess < LOAD_MARGIN_PER_MILLE
            {
                continue;
            }
            let rank = (load(owner), self.key_rates.rate(key), key, owner);
            best = best.max(Some(rank));
        }
        let Some((before, _, key, owner)) = best else { return };
        let Some(&pinned) = self.pins.get(&key) else { return };
        let futile = pinned
            .load_before
            .is_some_and(|b| before + LOAD_MARGIN_PER_MILLE / 2 >= b);
        if futile {
            self.change_pin(key, |p| {
                p.load_before = None;
                p.cooldown_end = now.plus(FUTILE_MOVE_COOLDOWN_MS);
            });
            return;
        }
        self.change_pin(key, |p| {
            p.load_before = Some(before);
            p.cooldown_end = now.plus(MOVE_COOLDOWN_MS);
            p.target = Some(to);
        });
        self.revoke(pinned.shard, owner);
    }
}

impl PinState {
    fn new(shard: Shard, now: Millis) -> Self {
        Self {
            shard,
            cooldown_end: now,
            load_before: None,
            retiring: false,
            target: None,
        }
    }
}
