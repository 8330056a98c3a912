//! Choice of the group that a starting node joins, among those of its service.
//!
//! A node considers a few candidate groups, chosen by the hash of its address
//! so that a restarted process considers the same ones. It returns to a group
//! whose record names its address, else joins one that has no leader, else the
//! one with the fewest members.

use crate::clock::Millis;
use crate::control::{Control, GroupMap, Locate};
use crate::effect::{Effect, StoreOp};
use crate::event::StoreOutcome;
use crate::id::{CallId, GroupId, KeyHash, NodeAddr, Subsystem};
use crate::record::{Record, Tenure, object_name};

/// Number of candidate groups. Two would suffice for balance; a third makes it
/// unlikely that a group of a small service stays empty.
const CANDIDATE_COUNT: u16 = 3;

/// Pause before a failed read of a record is repeated.
const RETRY_DELAY_MS: u64 = 250;

/// Time allowed for the candidates' leaders to answer with their maps.
const MAP_TIMEOUT_MS: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GroupState {
    Unread,
    /// There is no record, or its last leader gave the group up.
    Leaderless,
    /// The record names this node as leader or standby.
    NamesNode,
    Led(NodeAddr),
}

#[derive(Debug)]
struct Candidate {
    index: u16,
    call: Option<CallId>,
    state: GroupState,
    member_count: Option<usize>,
}

/// The search for a group to join.
#[derive(Debug)]
pub(crate) struct GroupSearch {
    addr: NodeAddr,
    service: String,
    candidates: Vec<Candidate>,
    call_count: u32,
    retry_at: Millis,
    asked_at: Option<Millis>,
}

impl GroupSearch {
    /// A search among the `groups` groups of a service. `call_count` is the
    /// number of store calls made so far; further calls are numbered from
    /// there.
    pub(crate) fn new(
        addr: NodeAddr,
        service: &str,
        groups: u16,
        call_count: u32,
        now: Millis,
    ) -> Self {
        let hash = KeyHash::of(addr.to_string());
        let mut indexes = vec![hash.shard(groups).0];
        let mut next = hash;
        while indexes.len() < usize::from(CANDIDATE_COUNT.min(groups)) {
            next = KeyHash::of(next.0.to_le_bytes());
            let index = next.shard(groups).0;
            if !indexes.contains(&index) {
                indexes.push(index);
            }
        }
        let candidate = |index| Candidate {
            index,
            call: None,
            state: GroupState::Unread,
            member_count: None,
        };
        Self {
            addr,
            service: service.into(),
            candidates: indexes.into_iter().map(candidate).collect(),
            call_count,
            retry_at: now,
            asked_at: None,
        }
    }

    /// Proceeds with the search. Returns the index of the group to join once
    /// it is known.
    pub(crate) fn advance(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<u16> {
        if let [only] = self.candidates.as_slice() {
            return Some(only.index);
        }
        if self.candidates.iter().any(|c| c.state == GroupState::Unread) {
            self.read_records(now, out);
            return None;
        }
        for preferred in [GroupState::NamesNode, GroupState::Leaderless] {
            let mut candidates = self.candidates.iter();
            if let Some(candidate) = candidates.find(|c| c.state == preferred)
            {
                return Some(candidate.index);
            }
        }
        let Some(asked_at) = self.asked_at else {
            self.asked_at = Some(now);
            self.request_maps(out);
            return None;
        };
        let waiting = self.candidates.iter().any(|c| c.member_count.is_none());
        if waiting && now.since(asked_at) < MAP_TIMEOUT_MS {
            return None;
        }
        let member_count =
            |c: &&Candidate| c.member_count.unwrap_or(usize::MAX);
        self.candidates.iter().min_by_key(member_count).map(|c| c.index)
    }

    /// Number of store calls made so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.call_count
    }

    /// Handles the outcome of reading a candidate's record.
    pub(crate) fn store_done(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
    ) {
        let mut candidates = self.candidates.iter_mut();
        let Some(candidate) = candidates.find(|c| c.call == Some(call)) else {
            return;
        };
        candidate.call = None;
        candidate.state = match outcome {
            StoreOutcome::Missing => GroupState::Leaderless,
            StoreOutcome::Read { value, .. } => {
                // Treat a group whose record cannot be decoded as led.
                Record::decode(&value)
                    .map_or(GroupState::Led(self.addr), |r| {
                        group_state(&r, self.addr)
                    })
            }
            _ => {
                self.retry_at = now.plus(RETRY_DELAY_MS);
                GroupState::Unread
            }
        };
    }

    /// Notes the number of members in a leader's map.
    pub(crate) fn map_received(&mut self, map: &GroupMap) {
        for candidate in &mut self.candidates {
            if GroupId::of(&self.service, candidate.index) == map.group {
                candidate.member_count = Some(map.members.len());
            }
        }
    }

    fn read_records(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.retry_at {
            return;
        }
        for candidate in &mut self.candidates {
            if candidate.state != GroupState::Unread
                || candidate.call.is_some()
            {
                continue;
            }
            self.call_count += 1;
            let call = CallId {
                subsystem: Subsystem::Group,
                number: self.call_count,
            };
            candidate.call = Some(call);
            let name = object_name(&self.service, candidate.index);
            out.push(Effect::Store { call, op: StoreOp::Read { name } });
        }
    }

    fn request_maps(&self, out: &mut Vec<Effect>) {
        for candidate in &self.candidates {
            let GroupState::Led(to) = candidate.state else { continue };
            let group = GroupId::of(&self.service, candidate.index);
            let message = Control::Locate(Locate { group, known: 0 });
            out.push(Effect::Send { to, message });
        }
    }
}

fn group_state(record: &Record, addr: NodeAddr) -> GroupState {
    if record.leader == addr || record.standbys.contains(&addr) {
        GroupState::NamesNode
    } else if record.tenure == Tenure::Vacant {
        GroupState::Leaderless
    } else {
        GroupState::Led(record.leader)
    }
}
