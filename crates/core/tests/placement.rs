//! Properties of the placement of shards on members, checked with random
//! shares and owners.

use lagoondyke_core::group::placement::{place, quotas};
use quickcheck::{Gen, QuickCheck};

/// Checks a property of random shares and owners; the seed is fixed.
fn check(property: fn(Vec<u8>, Vec<u8>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 1))
        .tests(500)
        .quickcheck(property);
}

/// Weights of the members from 0 to 7, and the owner of each shard as an index
/// of a member, if that member exists.
fn to_placement_input(
    shares: &[u8],
    owners: &[u8],
) -> (Vec<u32>, Vec<Option<usize>>) {
    let weights: Vec<u32> = shares.iter().map(|w| u32::from(w % 8)).collect();
    let owner = |o: &u8| {
        let o = usize::from(*o);
        (o < weights.len()).then_some(o)
    };
    let owners = owners.iter().map(owner).collect();
    (weights, owners)
}

/// Guards against shards without an owner although a member has a weight.
#[test]
fn every_shard_is_placed_in_proportion() {
    check(|shares: Vec<u8>, owners: Vec<u8>| {
        let (weights, owners) = to_placement_input(&shares, &owners);
        let placed = place(&owners, &weights);
        let total: u32 = weights.iter().sum();
        if total == 0 {
            return placed.iter().all(Option::is_none);
        }
        weights.iter().enumerate().all(|(i, &w)| {
            let count = placed.iter().filter(|&&o| o == Some(i)).count();
            let scaled = owners.len() * w as usize;
            let least = scaled / total as usize;
            let most = scaled.div_ceil(total as usize);
            (least..=most).contains(&count)
        }) && placed.iter().all(Option::is_some)
    });
}

/// Guards against moves that are not needed for balance.
#[test]
fn only_shards_beyond_their_owners_quota_move() {
    check(|shares: Vec<u8>, owners: Vec<u8>| {
        let (weights, owners) = to_placement_input(&shares, &owners);
        let mut counts = vec![0; weights.len()];
        for &owner in owners.iter().flatten() {
            counts[owner] += 1;
        }
        let quotas = quotas(owners.len(), &weights, &counts);
        let excess: usize = (counts.iter().zip(&quotas))
            .map(|(&count, &quota)| usize::saturating_sub(count, quota))
            .sum();
        let placed = place(&owners, &weights);
        let moved = owners.iter().zip(&placed);
        excess
            == moved.filter(|(old, new)| old.is_some() && old != new).count()
    });
}

/// Guards against placements that change again and again without a change of
/// members.
#[test]
fn a_placement_is_left_as_it_is() {
    check(|shares: Vec<u8>, owners: Vec<u8>| {
        let (weights, owners) = to_placement_input(&shares, &owners);
        let placed = place(&owners, &weights);
        place(&placed, &weights) == placed
    });
}
