//! Which of a service's groups a starting node joins.
//!
//! A node considers a few groups, chosen by the hash of its address so that
//! a restarted process considers the same ones. It returns to a group whose
//! record names its address, else it joins one that has no leader, else the
//! one with the fewest members.

use crate::clock::Millis;
use crate::control::{Control, GroupMap, Locate};
use crate::effect::{Effect, StoreOp};
use crate::event::StoreOutcome;
use crate::id::{CallId, GroupId, KeyHash, NodeAddr, Subsystem};
use crate::record::{Record, Tenure, object_name};

/// Groups considered. Two would suffice for balance; a third makes it
/// unlikely that a group of a small service stays empty.
const OPTIONS: u16 = 3;

/// Pause before a failed read is repeated, in milliseconds.
const RETRY: u64 = 250;

/// Time allowed for leaders to answer with their maps, in milliseconds.
const ANSWER: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    Unread,
    /// No leader, or none that will return.
    Empty,
    /// The record names this node.
    Own,
    Led(NodeAddr),
}

#[derive(Debug)]
struct Choice {
    index: u16,
    call: Option<CallId>,
    found: Found,
    size: Option<usize>,
}

/// The search for a group.
#[derive(Debug)]
pub(crate) struct Join {
    addr: NodeAddr,
    service: String,
    choices: Vec<Choice>,
    calls: u32,
    retry: Millis,
    asked: Option<Millis>,
}

impl Join {
    /// A search among `groups` groups. `calls` numbers its store calls.
    pub(crate) fn new(
        addr: NodeAddr,
        service: &str,
        groups: u16,
        calls: u32,
        now: Millis,
    ) -> Self {
        let hash = KeyHash::of(addr.to_string());
        let mut indexes = vec![hash.shard(groups).0];
        let mut next = hash;
        while indexes.len() < usize::from(OPTIONS.min(groups)) {
            next = KeyHash::of(next.0.to_le_bytes());
            let index = next.shard(groups).0;
            if !indexes.contains(&index) {
                indexes.push(index);
            }
        }
        let choice = |index| Choice {
            index,
            call: None,
            found: Found::Unread,
            size: None,
        };
        Self {
            addr,
            service: service.into(),
            choices: indexes.into_iter().map(choice).collect(),
            calls,
            retry: now,
            asked: None,
        }
    }

    /// Takes the next step. Returns the group to join once it is known.
    pub(crate) fn advance(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> Option<u16> {
        if let [only] = self.choices.as_slice() {
            return Some(only.index);
        }
        if self.choices.iter().any(|c| c.found == Found::Unread) {
            self.read(now, out);
            return None;
        }
        for wanted in [Found::Own, Found::Empty] {
            let mut choices = self.choices.iter();
            if let Some(choice) = choices.find(|c| c.found == wanted) {
                return Some(choice.index);
            }
        }
        let Some(asked) = self.asked else {
            self.asked = Some(now);
            self.ask(out);
            return None;
        };
        let open = self.choices.iter().any(|c| c.size.is_none());
        if open && now.since(asked) < ANSWER {
            return None;
        }
        let size = |c: &&Choice| c.size.unwrap_or(usize::MAX);
        self.choices.iter().min_by_key(size).map(|c| c.index)
    }

    /// Number of the last store call.
    pub(crate) fn calls(&self) -> u32 {
        self.calls
    }

    /// Takes the outcome of a read.
    pub(crate) fn stored(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Millis,
    ) {
        let mut choices = self.choices.iter_mut();
        let Some(choice) = choices.find(|c| c.call == Some(call)) else {
            return;
        };
        choice.call = None;
        choice.found = match outcome {
            StoreOutcome::Missing => Found::Empty,
            StoreOutcome::Read { value, .. } => {
                // A record that cannot be decoded is led by someone.
                Record::decode(&value)
                    .map_or(Found::Led(self.addr), |r| found(&r, self.addr))
            }
            _ => {
                self.retry = now.plus(RETRY);
                Found::Unread
            }
        };
    }

    /// Takes a leader's map.
    pub(crate) fn map(&mut self, map: &GroupMap) {
        for choice in &mut self.choices {
            if GroupId::of(&self.service, choice.index) == map.group {
                choice.size = Some(map.members.len());
            }
        }
    }

    fn read(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if now < self.retry {
            return;
        }
        for choice in &mut self.choices {
            if choice.found != Found::Unread || choice.call.is_some() {
                continue;
            }
            self.calls += 1;
            let call =
                CallId { subsystem: Subsystem::Group, number: self.calls };
            choice.call = Some(call);
            let name = object_name(&self.service, choice.index);
            out.push(Effect::Store { call, op: StoreOp::Read { name } });
        }
    }

    fn ask(&self, out: &mut Vec<Effect>) {
        for choice in &self.choices {
            let Found::Led(to) = choice.found else { continue };
            let group = GroupId::of(&self.service, choice.index);
            let message = Control::Locate(Locate { group, known: 0 });
            out.push(Effect::Send { to, message });
        }
    }
}

fn found(record: &Record, addr: NodeAddr) -> Found {
    if record.leader == addr || record.standbys.contains(&addr) {
        Found::Own
    } else if record.tenure == Tenure::Vacant {
        Found::Empty
    } else {
        Found::Led(record.leader)
    }
}
