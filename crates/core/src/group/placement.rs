//! Placement of shards on members.
//!
//! Each member receives a number of shards proportional to its configured
//! share. Shards stay with their owner unless it exceeds its quota.

/// Number of shards that each member should own. `weights` are the members'
/// shares and `counts` the numbers of shards that they own now. Where a quota
/// is not a whole number, a member that already owns the rounded-up number
/// keeps it, so that rounding alone never moves a shard.
///
/// # Example
///
/// ```
/// use lagoondyke_core::group::placement::quotas;
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
    let remainder = shards - quotas.iter().sum::<usize>();
    let mut order: Vec<usize> =
        (0..weights.len()).filter(|&i| exact(i) % total > 0).collect();
    order.sort_by_key(|&i| {
        let owns_more = counts[i] > quotas[i];
        (!owns_more, std::cmp::Reverse(exact(i) % total), i)
    });
    for &i in order.iter().take(remainder) {
        quotas[i] += 1;
    }
    quotas
}

/// The owner that each shard should have, as an index into `weights`; `owners`
/// are the present ones. An entry is `None` only if no member has a positive
/// weight.
///
/// # Example
///
/// ```
/// use lagoondyke_core::group::placement::place;
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
    let mut remaining = quotas(owners.len(), weights, &counts);
    let mut wanted: Vec<Option<usize>> = vec![None; owners.len()];
    for (slot, &owner) in wanted.iter_mut().zip(owners) {
        let Some(owner) = owner else { continue };
        if remaining[owner] == 0 {
            continue;
        }
        remaining[owner] -= 1;
        *slot = Some(owner);
    }
    for slot in &mut wanted {
        if slot.is_some() {
            continue;
        }
        let target = (0..remaining.len()).rev().max_by_key(|&i| remaining[i]);
        let Some(i) = target.filter(|&i| remaining[i] > 0) else { continue };
        remaining[i] -= 1;
        *slot = Some(i);
    }
    wanted
}
