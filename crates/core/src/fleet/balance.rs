//! Which keys an overloaded owner gives away.
//!
//! Load: busy keys lie close to one another, and which keys are busy changes
//! within seconds. The owner of a busy range compares its load with what the
//! upstreams of the service bear together, and gives away just the excess,
//! in pieces that are as narrow as possible.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::clock::Millis;
//! use lagoondyke_core::fleet::balance::{Member, plan};
//! use lagoondyke_core::fleet::heat::Heat;
//!
//! let member = |node: &str, rate| Member {
//!     node: node.to_owned(),
//!     rate,
//!     capacity: 50.0,
//!     open: true,
//! };
//! let mut heat = Heat::new(Millis(0));
//! for key in 0..100 {
//!     heat.add(key, Millis(0));
//! }
//! let all = [member("a", 50.0), member("b", 0.0)];
//! let moves = plan("a", &all, &[(0, 65_535)], &heat);
//! assert_eq!(moves.len(), 1);
//! assert_eq!(moves[0].to, "b");
//! assert_eq!((moves[0].first, moves[0].last), (0, 37));
//! ```

use crate::fleet::heat::Heat;

/// Load relative to the fair share above which keys are given away.
const EXCESS: f64 = 1.35;

/// Share of its capacity below which an owner keeps its keys regardless.
const BUSY: f64 = 0.6;

/// Smallest load that is worth a move, in requests per second.
const WORTH: f64 = 1.0;

/// Share of the fair load up to which a receiver is filled.
const FILL: f64 = 0.95;

/// An upstream of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node beside it.
    pub node: String,
    /// Requests per second for its keys.
    pub rate: f64,
    /// Requests per second that it can run.
    pub capacity: f64,
    /// It can receive keys.
    pub open: bool,
}

/// Keys that go to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// The receiver.
    pub to: String,
}

/// A stretch of keys and its load.
#[derive(Clone, Copy, Debug)]
struct Piece {
    first: u16,
    last: u16,
    rate: f64,
}

/// What `node` gives away of its `ranges`.
#[must_use]
pub fn plan(
    node: &str,
    members: &[Member],
    ranges: &[(u16, u16)],
    heat: &Heat,
) -> Vec<Move> {
    let Some(own) = members.iter().find(|m| m.node == node) else {
        return Vec::new();
    };
    let rate: f64 = members.iter().map(|m| m.rate).sum();
    let capacity: f64 = members.iter().map(|m| m.capacity).sum();
    let fair = rate / capacity.max(1.0);
    let load = own.rate / own.capacity.max(0.1);
    if load < fair * EXCESS || load < BUSY {
        return Vec::new();
    }
    let mut excess = own.rate - fair * own.capacity;
    let mut rooms: Vec<(f64, &str)> = members
        .iter()
        .filter(|m| m.node != node && m.open)
        .map(|m| (fair * m.capacity * FILL - m.rate, m.node.as_str()))
        .filter(|room| room.0 >= WORTH)
        .collect();
    rooms.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    let mut left: Vec<(u16, u16)> = ranges.to_vec();
    let mut moves = Vec::new();
    for (room, to) in rooms {
        if excess < WORTH {
            break;
        }
        let Some(piece) = narrowest(&left, heat, room.min(excess)) else {
            continue;
        };
        excess -= piece.rate;
        let Piece { first, last, .. } = piece;
        left = without(&left, [(first, last)]);
        moves.push(Move { first, last, to: to.to_owned() });
    }
    moves
}

/// The piece whose load comes closest to `wanted` from below; of those that
/// come within a fifth, the one with the fewest keys.
fn narrowest(
    ranges: &[(u16, u16)],
    heat: &Heat,
    wanted: f64,
) -> Option<Piece> {
    let mut best: Option<Piece> = None;
    for &(first, last) in ranges {
        let keys: Vec<(u16, f64)> = heat.within(first, last).collect();
        let (mut begin, mut sum) = (0, 0.0);
        for end in 0..keys.len() {
            sum += keys[end].1;
            while sum > wanted && begin <= end {
                sum -= keys[begin].1;
                begin += 1;
            }
            if begin > end {
                sum = 0.0;
                continue;
            }
            let (first, last) = (keys[begin].0, keys[end].0);
            let piece = Piece { first, last, rate: sum };
            if best.is_none_or(|best| better(piece, best, wanted)) {
                best = Some(piece);
            }
        }
    }
    best.filter(|piece| piece.rate >= WORTH)
}

fn better(one: Piece, other: Piece, wanted: f64) -> bool {
    let close = |piece: Piece| piece.rate >= wanted * 0.8;
    match (close(one), close(other)) {
        (true, false) => true,
        (false, true) => false,
        (true, true) => one.last - one.first < other.last - other.first,
        (false, false) => one.rate > other.rate,
    }
}

/// The parts of `ranges` that lie outside of all `holes`.
pub(crate) fn without(
    ranges: &[(u16, u16)],
    holes: impl IntoIterator<Item = (u16, u16)>,
) -> Vec<(u16, u16)> {
    let mut left = ranges.to_vec();
    for (begin, end) in holes {
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
