//! Load balancing: chooses the keys that an overloaded owner moves.
//!
//! Busy keys are close to one another, and which keys are busy changes within
//! seconds. The owner of a busy range compares its load with the total
//! capacity of the service, and moves only the excess, in pieces with as few
//! keys as possible.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::balance::{Member, plan};
//! use lagoondyke_core::fleet::key_load::KeyLoad;
//!
//! let member = |node: &str, rate| Member {
//!     node: node.to_owned(),
//!     rate,
//!     capacity: 50.0,
//!     can_receive: true,
//! };
//! let mut key_load = KeyLoad::new(Millis(0));
//! for key in 0..100 {
//!     key_load.record(key, Millis(0));
//! }
//! let all = [member("a", 50.0), member("b", 0.0)];
//! let moves = plan("a", &all, &[(0, 65_535)], &key_load);
//! assert_eq!(moves.len(), 1);
//! assert_eq!(moves[0].to, "b");
//! assert_eq!((moves[0].first, moves[0].last), (0, 37));
//! ```

use crate::fleet::key_load::KeyLoad;

/// Ratio of a node's utilization to the average above which keys are moved.
const OVERLOAD_RATIO: f64 = 1.35;

/// Utilization below which an owner keeps its keys regardless of the average.
const MIN_UTILIZATION_RATIO: f64 = 0.6;

/// Smallest load that justifies a move.
const MIN_MOVE_PER_SEC: f64 = 1.0;

/// Share of its fair load up to which a receiver is filled.
const RECEIVER_FILL_RATIO: f64 = 0.95;

/// An upstream of the service, as seen by the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of its node.
    pub node: String,
    /// Current load on its keys, in requests per second.
    pub rate: f64,
    /// Capacity in requests per second.
    pub capacity: f64,
    /// Whether it can receive keys.
    pub can_receive: bool,
}

/// A planned move of keys to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Name of the receiving node.
    pub to: String,
}

/// A contiguous run of keys and its load.
#[derive(Clone, Copy, Debug)]
struct Piece {
    first: u16,
    last: u16,
    rate: f64,
}

/// Plans the moves of keys from `node`'s `ranges`; empty if it is not
/// overloaded.
#[must_use]
pub fn plan(
    node: &str,
    members: &[Member],
    ranges: &[(u16, u16)],
    key_load: &KeyLoad,
) -> Vec<Move> {
    let Some(own) = members.iter().find(|m| m.node == node) else {
        return Vec::new();
    };
    let rate: f64 = members.iter().map(|m| m.rate).sum();
    let capacity: f64 = members.iter().map(|m| m.capacity).sum();
    let fair = rate / capacity.max(1.0);
    let load = own.rate / own.capacity.max(0.1);
    if load < fair * OVERLOAD_RATIO || load < MIN_UTILIZATION_RATIO {
        return Vec::new();
    }
    let mut excess = own.rate - fair * own.capacity;
    let mut receivers: Vec<(f64, &str)> = members
        .iter()
        .filter(|m| m.node != node && m.can_receive)
        .map(|m| {
            (fair * m.capacity * RECEIVER_FILL_RATIO - m.rate, m.node.as_str())
        })
        .filter(|room| room.0 >= MIN_MOVE_PER_SEC)
        .collect();
    receivers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    let mut left: Vec<(u16, u16)> = ranges.to_vec();
    let mut moves = Vec::new();
    for (room, to) in receivers {
        if excess < MIN_MOVE_PER_SEC {
            break;
        }
        let Some(piece) = narrowest_piece(&left, key_load, room.min(excess))
        else {
            continue;
        };
        excess -= piece.rate;
        let Piece { first, last, .. } = piece;
        left = subtract(&left, [(first, last)]);
        moves.push(Move { first, last, to: to.to_owned() });
    }
    moves
}

/// The piece whose load comes closest to `target_rate` from below. Of the
/// pieces within 20 % of it, the one with the fewest keys.
fn narrowest_piece(
    ranges: &[(u16, u16)],
    key_load: &KeyLoad,
    target_rate: f64,
) -> Option<Piece> {
    let mut best: Option<Piece> = None;
    for &(first, last) in ranges {
        let keys: Vec<(u16, f64)> = key_load.within(first, last).collect();
        let (mut begin, mut sum) = (0, 0.0);
        for end in 0..keys.len() {
            sum += keys[end].1;
            while sum > target_rate && begin <= end {
                sum -= keys[begin].1;
                begin += 1;
            }
            if begin > end {
                sum = 0.0;
                continue;
            }
            let (first, last) = (keys[begin].0, keys[end].0);
            let piece = Piece { first, last, rate: sum };
            if best.is_none_or(|best| is_better(piece, best, target_rate)) {
                best = Some(piece);
            }
        }
    }
    best.filter(|piece| piece.rate >= MIN_MOVE_PER_SEC)
}

fn is_better(one: Piece, other: Piece, target_rate: f64) -> bool {
    let close = |piece: Piece| piece.rate >= target_rate * 0.8;
    match (close(one), close(other)) {
        (true, false) => true,
        (false, true) => false,
        (true, true) => one.last - one.first < other.last - other.first,
        (false, false) => one.rate > other.rate,
    }
}

/// The parts of `ranges` that overlap none of `removed`.
pub(crate) fn subtract(
    ranges: &[(u16, u16)],
    removed: impl IntoIterator<Item = (u16, u16)>,
) -> Vec<(u16, u16)> {
    let mut left = ranges.to_vec();
    for (begin, end) in removed {
        let mut parts = Vec::with_capacity(left.len() + 1);
        for (first, last) in left {
            if end < first || last < begin {
                parts.push((first, last));
                continue;
            }
            if first < begin {
                parts.push((first, begin - 1));
            }
            if end < last {
                parts.push((end + 1, last));
            }
        }
        left = parts;
    }
    left
}
