//! Hot keys with shards of their own.
//!
//! A hot key's shard is first granted to the holder of its hashed shard, in
//! one plan, and then moves like any other shard. Whoever is granted the
//! hashed shard learns of the pin in the same plan, so a key never has a
//! holder by each of its two shards.

use crate::clock::Millis;
use crate::control::{MemberInfo, PinnedKey};
use crate::group::hot::PINS_MAX;
use crate::group::leader::{Facts, Leader, Slot};
use crate::group::parts::pin;
use crate::group::rules;
use crate::id::{KeyHash, NodeAddr, Shard};

/// Interval at which pins are reconsidered, in milliseconds. Longer than the
/// time in which a move shows in the members' loads.
const TEND: u64 = 3_000;

/// Shortest time between two moves of a key, in milliseconds.
const REST: u64 = 20_000;

/// Time for which a key stays after a move that did not help: the key alone
/// makes up the load, wherever it is. In milliseconds.
const FUTILE: u64 = 300_000;

/// Difference of two members' loads from which a key moves, in per mille of
/// their limits.
const MARGIN: u32 = 250;

/// A hot key's shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pinned {
    pub(super) shard: Shard,
    /// Not moved before this instant.
    rest: Millis,
    /// Its holder's load before the last move.
    before: Option<u32>,
    /// The member that receives the shard once it is released.
    to: Option<NodeAddr>,
    /// The key is cold and returns to its hashed shard.
    ends: bool,
}

impl Leader {
    /// The least id of hot keys' shards.
    pub(super) fn first_pin(&self) -> Shard {
        Shard(self.shards)
    }

    /// Pins that concern a member's shards.
    pub(super) fn pins_of(&self, node: NodeAddr) -> Vec<PinnedKey> {
        let holds = |s: Shard| {
            self.slots.get(&s).is_some_and(|s| s.owner == Some(node))
        };
        let mut pins = Vec::new();
        for (key, pinned) in &self.pins {
            if holds(pinned.shard) || holds(key.shard(self.shards)) {
                pins.push(pin((key, &pinned.shard)));
            }
        }
        pins
    }

    /// Recreates pins that a member reported. Their shards have no owner
    /// until a member reports to hold them.
    pub(super) fn note_pins(&mut self, detail: &MemberInfo) {
        for &PinnedKey { key, shard } in &detail.pins {
            if shard < self.first_pin() || self.shards == 0 {
                continue;
            }
            let taken = self.slots.contains_key(&shard);
            if taken || self.pins.contains_key(&key) {
                continue;
            }
            self.slots.insert(shard, Slot::default());
            self.next_pin = self.next_pin.max(shard.0);
            self.pins.insert(key, Pinned::new(shard, Millis(0)));
        }
    }

    /// Places hot keys' shards, and from time to time pins, unpins and
    /// moves hot keys.
    pub(super) fn tend_pins(&mut self, facts: Facts<'_>) {
        if self.shards == 0 {
            return;
        }
        let keys: Vec<KeyHash> = self.pins.keys().copied().collect();
        for key in keys {
            self.place_pin(key, facts.now);
        }
        if facts.now < self.next_tend {
            return;
        }
        self.next_tend = facts.now.plus(TEND);
        self.heat.forget(facts.now);
        self.pin_hot(facts);
        self.unpin_cold(facts.now);
        self.move_hot(facts);
    }

    /// Keeps a hot key's shard with a member that may serve it. A shard
    /// without a holder is dissolved, and the key returns to the holder of
    /// its hashed shard.
    fn place_pin(&mut self, key: KeyHash, now: Millis) {
        let Some(&pinned) = self.pins.get(&key) else { return };
        let Some(&slot) = self.slots.get(&pinned.shard) else { return };
        let hashed = self.slots.get(&key.shard(self.shards)).copied();
        let home = hashed.filter(|h| h.revoked.is_none());
        let home = home.and_then(|h| h.owner);
        match slot.owner {
            None if rules::may_give(slot.free, self.orphan, now) => {
                match pinned.to {
                    Some(to) if !pinned.ends && self.fit(to, now) => {
                        self.give(pinned.shard, to);
                        self.set(key, |p| p.to = None);
                    }
                    _ => self.unpin(key),
                }
            }
            Some(owner) if slot.revoked.is_none() => {
                if pinned.ends && home == Some(owner) {
                    self.unpin(key);
                } else if pinned.ends || self.leaves(&slot) {
                    self.revoke(pinned.shard, owner);
                }
            }
            _ => {}
        }
    }

    fn fit(&self, node: NodeAddr, now: Millis) -> bool {
        let peer = self.peers.get(&node);
        peer.is_some_and(|p| !p.draining() && !p.quiet(now) && !p.deaf(now))
    }

    fn set(&mut self, key: KeyHash, change: impl FnOnce(&mut Pinned)) {
        if let Some(pinned) = self.pins.get_mut(&key) {
            change(pinned);
        }
    }

    /// Dissolves the shard of a key. It is free, or held by the holder of
    /// the hashed shard, which then serves the key by that one.
    fn unpin(&mut self, key: KeyHash) {
        let Some(pinned) = self.pins.remove(&key) else { return };
        let shards = [pinned.shard, key.shard(self.shards)];
        let owners = shards.map(|s| self.slots.get(&s).and_then(|s| s.owner));
        self.slots.remove(&pinned.shard);
        for owner in owners.into_iter().flatten() {
            self.touch(owner);
        }
    }

    /// Gives shards to keys that became hot, with the present holder.
    fn pin_hot(&mut self, facts: Facts<'_>) {
        let now = facts.now;
        for key in self.heat.hot(now) {
            if self.pins.len() >= PINS_MAX || self.pins.contains_key(&key) {
                continue;
            }
            let hashed = key.shard(self.shards);
            let Some(slot) = self.slots.get(&hashed) else { continue };
            let Some(owner) = slot.owner.filter(|_| slot.revoked.is_none())
            else {
                continue;
            };
            let Some(shard) = self.next_shard(facts.spec.groups) else {
                return;
            };
            self.give(shard, owner);
            self.pins.insert(key, Pinned::new(shard, now));
        }
    }

    /// An unused id for a hot key's shard. Ids are used in turn, so that a
    /// late request of a former pin is not mistaken for one of a new pin.
    fn next_shard(&mut self, groups: u16) -> Option<Shard> {
        let index = self.id.index;
        let least = u32::from(self.shards).div_ceil(u32::from(groups))
            * u32::from(groups)
            + u32::from(index);
        let mut next = u32::from(self.next_pin);
        for _ in 0..=PINS_MAX {
            next = if next < least { least } else { next + u32::from(groups) };
            if next >= u32::from(u16::MAX) {
                next = least;
            }
            let shard = Shard(u16::try_from(next).ok()?);
            if next < u32::from(u16::MAX) && !self.slots.contains_key(&shard) {
                self.next_pin = shard.0;
                return Some(shard);
            }
        }
        None
    }

    fn unpin_cold(&mut self, now: Millis) {
        let heat = &self.heat;
        let mut changed = false;
        for (&key, pinned) in &mut self.pins {
            if !pinned.ends && heat.is_cold(key, now) {
                pinned.ends = true;
                changed = true;
            }
        }
        self.dirty |= changed;
    }

    /// Moves one hot key from a loaded member to the least loaded one.
    fn move_hot(&mut self, facts: Facts<'_>) {
        let now = facts.now;
        let (nodes, _) = self.receivers(facts);
        let load = |n: NodeAddr| self.peers.get(&n).map_or(0, |p| p.load);
        let Some(to) = nodes.into_iter().min_by_key(|&n| load(n)) else {
            return;
        };
        let mut best: Option<(u32, u32, KeyHash, NodeAddr)> = None;
        for (&key, pinned) in &self.pins {
            let slot = self.slots.get(&pinned.shard);
            let Some(slot) = slot.filter(|s| s.revoked.is_none()) else {
                continue;
            };
            let Some(owner) = slot.owner else { continue };
            let over = load(owner).saturating_sub(load(to));
            if pinned.ends || now < pinned.rest || over < MARGIN {
                continue;
            }
            let rank = (load(owner), self.heat.rate(key), key, owner);
            best = best.max(Some(rank));
        }
        let Some((before, _, key, owner)) = best else { return };
        let Some(&pinned) = self.pins.get(&key) else { return };
        let futile = pinned.before.is_some_and(|b| before + MARGIN / 2 >= b);
        if futile {
            self.set(key, |p| {
                p.before = None;
                p.rest = now.plus(FUTILE);
            });
            return;
        }
        self.set(key, |p| {
            p.before = Some(before);
            p.rest = now.plus(REST);
            p.to = Some(to);
        });
        self.revoke(pinned.shard, owner);
    }
}

impl Pinned {
    fn new(shard: Shard, now: Millis) -> Self {
        Self { shard, rest: now, before: None, ends: false, to: None }
    }
}
