//! Placement of shards on members.
//!
//! Each member receives a number of shards proportional to its agreed share.
//! Shards stay where they are unless a member exceeds its quota.

/// Number of shards that each member should own. `weights` are agreed
/// shares and `counts` the shards that each owns now. Where a quota is not
/// a whole number, a member that already owns the larger number keeps it,
/// so that rounding alone never moves a shard.
///
/// # Example
///
/// ```
/// use lagoondyke_core::group::place::quotas;
///
/// assert_eq!(quotas(8, &[1, 1, 2], &[0, 0, 0]), vec![2, 2, 4]);
/// assert_eq!(quotas(3, &[1, 1], &[1, 2]), vec![1, 2]);
/// ```
#[must_use]
pub fn quotas(shards: usize, weights: &[u32], counts: &[usize]) -> Vec<usize> {
    let total: u64 = weights.iter().map(|&w| u64::from(w)).sum();
    if total == 0 {
        return vec![0; weights.len()];
    }
    let exact = |i: usize| shards as u64 * u64::from(weights[i]);
    let mut quotas: Vec<usize> =
        (0..weights.len()).map(|i| (exact(i) / total) as usize).collect();
    let spare = shards - quotas.iter().sum::<usize>();
    let mut order: Vec<usize> =
        (0..weights.len()).filter(|&i| exact(i) % total > 0).collect();
    order.sort_by_key(|&i| {
        let keeps = counts[i] > quotas[i];
        (!keeps, std::cmp::Reverse(exact(i) % total), i)
    });
    for &i in order.iter().take(spare) {
        quotas[i] += 1;
    }
    quotas
}

/// The owner that each shard should have, as an index into `weights`;
/// `owners` names the present ones. `None` only if no member has weight.
///
/// # Example
///
/// ```
/// use lagoondyke_core::group::place::place;
///
/// let moved = place(&[Some(0), Some(0), Some(0), None], &[1, 1]);
/// assert_eq!(moved, vec![Some(0), Some(0), Some(1), Some(1)]);
/// ```
#[must_use]
pub fn place(owners: &[Option<usize>], weights: &[u32]) -> Vec<Option<usize>> {
    let mut counts = vec![0; weights.len()];
    for &owner in owners.iter().flatten() {
        counts[owner] += 1;
    }
    let mut left = quotas(owners.len(), weights, &counts);
    let mut wanted: Vec<Option<usize>> = vec![None; owners.len()];
    for (slot, &owner) in wanted.iter_mut().zip(owners) {
        let Some(owner) = owner else { continue };
        if left[owner] == 0 {
            continue;
        }
        left[owner] -= 1;
        *slot = Some(owner);
    }
    for slot in &mut wanted {
        if slot.is_some() {
            continue;
        }
        let most = (0..left.len()).rev().max_by_key(|&i| left[i]);
        let Some(i) = most.filter(|&i| left[i] > 0) else { continue };
        left[i] -= 1;
        *slot = Some(i);
    }
    wanted
}
