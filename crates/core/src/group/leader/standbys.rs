//! The leader's authority: promises of its standbys, and their selection.

use std::collections::BTreeSet;

use crate::clock::{
    CLAIM_WINDOW_MS, Millis, PROMISE_INTERVAL_MS, PROMISE_TERM_MS,
    STANDBY_TIMEOUT_MS,
};
use crate::control::{Control, Promise, PromiseRequest};
use crate::effect::{Effect, Notice};
use crate::group::leader::Leader;
use crate::group::rules;
use crate::id::NodeAddr;
use crate::record::Record;

/// Number of standbys that the record should name.
const STANDBY_COUNT: usize = 2;

/// Promises of a standby or of a candidate for that role.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromiseState {
    asked_since: Millis,
    /// Send time of the latest request that it answered with a promise.
    last_answered: Option<Millis>,
}

impl Leader {
    /// When the leader's authority ends: every standby that the record may
    /// name must have promised not to take over until then.
    pub(crate) fn authority_end(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Millis {
        let answered =
            |n| self.promises.get(&n).and_then(|state| state.last_answered);
        let records = std::iter::once(record).chain(pending);
        rules::authority_end(self.addr, records, answered, now)
    }

    /// Handles an answer to a promise request. Returns whether the standby
    /// knows a later epoch.
    pub(crate) fn promise_received(
        &mut self,
        from: NodeAddr,
        promise: &Promise,
        now: Millis,
    ) -> bool {
        if promise.epoch != self.epoch {
            return false;
        }
        if promise.refused.is_some() {
            return true;
        }
        if let Some(state) = self.promises.get_mut(&from)
            && promise.echo <= now
            && promise.echo >= state.asked_since
        {
            state.last_answered = state.last_answered.max(Some(promise.echo));
        }
        false
    }

    /// Sends promise requests to standbys and candidates that are due.
    pub(crate) fn request_promises(
        &mut self,
        record: &Record,
        pending: &[Record],
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let mut wanted: BTreeSet<NodeAddr> = BTreeSet::new();
        for record in std::iter::once(record).chain(pending) {
            wanted.extend(&record.standbys);
        }
        let due = now >= self.next_request && self.should_request(now);
        wanted.extend(self.choose_standbys(record, now));
        self.promises.retain(|n, _| wanted.contains(n));
        for to in wanted {
            let new =
                !self.promises.contains_key(&to) && self.should_request(now);
            if !due && !new {
                continue;
            }
            self.promises.entry(to).or_insert(PromiseState {
                asked_since: now,
                last_answered: None,
            });
            let message = Control::PromiseRequest(PromiseRequest {
                group: self.id,
                epoch: self.epoch,
                sent: now,
            });
            out.push(Effect::Send { to, message });
        }
        if due {
            self.next_request = now.plus(PROMISE_INTERVAL_MS);
        }
    }

    /// Whether a node has recently answered promise requests.
    fn is_responsive(&self, node: NodeAddr, now: Millis) -> bool {
        let Some(state) = self.promises.get(&node) else { return false };
        now.since(state.last_answered.unwrap_or(state.asked_since))
            < self.answer_timeout_ms(now)
    }

    /// Time for which a node may leave promise requests unanswered. A new
    /// leader does not know which standbys were lost together with the old
    /// leader, and allows them less time for the first answer.
    fn answer_timeout_ms(&self, now: Millis) -> u64 {
        if now.since(self.started_at) < STANDBY_TIMEOUT_MS {
            CLAIM_WINDOW_MS
        } else {
            STANDBY_TIMEOUT_MS
        }
    }

    /// Selects the standbys that the record should name. Silent and leaving
    /// ones are replaced, and other failure domains than the leader's are
    /// preferred.
    fn choose_standbys(&self, record: &Record, now: Millis) -> Vec<NodeAddr> {
        let eligible = |n: &NodeAddr| {
            let member = self.members.get(n);
            member.is_some_and(|m| {
                m.detail.is_some() && !m.leaving && !m.is_silent(now)
            })
        };
        let keeps = |n: &NodeAddr| {
            let leaving = self.members.get(n).is_some_and(|m| m.leaving);
            let asked = self.promises.contains_key(n);
            (!asked || self.is_responsive(*n, now)) && !leaving
        };
        let out = |n: &NodeAddr| {
            self.members.get(n).is_some_and(|m| m.out_since.is_some())
        };
        let mut candidates: Vec<NodeAddr> =
            record.standbys.iter().copied().filter(keeps).collect();
        let kept_count = candidates.len();
        let others = self.members.keys().copied();
        candidates.extend(others.filter(|n| {
            *n != self.addr && !record.standbys.contains(n) && eligible(n)
        }));
        let mut chosen: Vec<NodeAddr> = Vec::new();
        let mut domains: Vec<Option<&str>> = vec![self.domain(self.addr)];
        while chosen.len() < STANDBY_COUNT {
            let rest = candidates.iter().enumerate();
            let rest = rest.filter(|(_, n)| !chosen.contains(n));
            let best = rest.min_by_key(|&(i, n)| {
                let same_domain = domains.contains(&self.domain(*n));
                let unasked = !self.promises.contains_key(n);
                (out(n), same_domain, i >= kept_count, unasked, i)
            });
            let Some((_, &node)) = best else { break };
            domains.push(self.domain(node));
            chosen.push(node);
        }
        chosen
    }

    fn domain(&self, node: NodeAddr) -> Option<&str> {
        let detail = self.members.get(&node)?.detail.as_ref()?;
        Some(detail.domain.as_str())
    }

    /// The record that the leader should write, if it differs from the present
    /// one. A node is added only once it has made its promise.
    pub(crate) fn wanted_record(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Option<Record> {
        let chosen = self.choose_standbys(record, now);
        let ready = |n: &NodeAddr| {
            record.standbys.contains(n)
                || self.promises.get(n).is_some_and(|state| {
                    state
                        .last_answered
                        .is_some_and(|s| now.since(s) < STANDBY_TIMEOUT_MS)
                })
        };
        let mut standbys: Vec<NodeAddr> =
            chosen.into_iter().filter(ready).collect();
        // A responsive standby stays until a better one has promised.
        for &old in &record.standbys {
            if standbys.len() < STANDBY_COUNT
                && !standbys.contains(&old)
                && self.promises.contains_key(&old)
                && self.is_responsive(old, now)
                && self.members.get(&old).is_none_or(|m| !m.leaving)
            {
                standbys.push(old);
            }
        }
        let same = standbys.len() == record.standbys.len()
            && standbys.iter().all(|n| record.standbys.contains(n));
        if same && pending.is_empty() {
            return None;
        }
        Some(Record { standbys, ..record.clone() })
    }

    /// The standby to which a leaving leader hands over the group.
    pub(crate) fn successor(
        &self,
        record: &Record,
        now: Millis,
    ) -> Option<NodeAddr> {
        let mut standbys = record.standbys.iter().copied();
        standbys.find(|&n| {
            self.is_responsive(n, now)
                && self.members.get(&n).is_some_and(|m| !m.leaving)
        })
    }

    /// Checks whether the leader has authority, and reports the loss once.
    /// Returns whether it has none.
    pub(crate) fn check_authority(
        &mut self,
        authority_end: Millis,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if now < authority_end {
            self.lost_since = None;
            return false;
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            if now.since(self.started_at) > CLAIM_WINDOW_MS {
                let group = self.id;
                out.push(Effect::Notice(Notice::AuthorityLost { group }));
            }
        }
        true
    }

    /// Whether to request promises now. A leader that has long been without
    /// authority cannot reach the store or its standbys. It lets promises
    /// expire at intervals, so that a standby that can reach the store takes
    /// over.
    fn should_request(&self, now: Millis) -> bool {
        let Some(lost) = self.lost_since else { return true };
        now.since(lost) % (2 * PROMISE_TERM_MS) < PROMISE_TERM_MS / 2
    }

    /// Adopts the record's standbys for members' plans. Returns whether they
    /// changed.
    pub(crate) fn update_standbys(&mut self, standbys: &[NodeAddr]) -> bool {
        if self.standbys == standbys {
            return false;
        }
        self.standbys = standbys.to_vec();
        self.mark_all_changed();
        true
    }
}
