//! A leader's authority: promises of standbys, and who stands by.

use std::collections::BTreeSet;

use crate::clock::{
    COLLECT, Millis, PROMISE, PROMISE_INTERVAL, STANDBY_SILENCE,
};
use crate::control::{Control, Promise, PromiseRequest};
use crate::effect::{Effect, Notice};
use crate::group::leader::Leader;
use crate::group::rules;
use crate::id::NodeAddr;
use crate::record::Record;

/// Number of standbys wanted in the record.
const STANDBYS: usize = 2;

/// A standby or candidate's promises.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    since: Millis,
    /// Send time of the latest request that was answered.
    answered: Option<Millis>,
}

impl Leader {
    /// When the leader's authority ends: all standbys that the record may
    /// name must have promised not to take over until then.
    pub(crate) fn authority(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Millis {
        let answered = |n| self.asks.get(&n).and_then(|a| a.answered);
        let records = std::iter::once(record).chain(pending);
        rules::authority(self.addr, records, answered, now)
    }

    /// Takes a standby's answer. Returns whether the standby knows of a
    /// later epoch.
    pub(crate) fn promised(
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
        if let Some(ask) = self.asks.get_mut(&from)
            && promise.echo <= now
            && promise.echo >= ask.since
        {
            ask.answered = ask.answered.max(Some(promise.echo));
        }
        false
    }

    /// Asks standbys and candidates for promises.
    pub(crate) fn ask(
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
        let due = now >= self.next_ask && self.asks_now(now);
        wanted.extend(self.choose(record, now));
        self.asks.retain(|n, _| wanted.contains(n));
        for to in wanted {
            let new = !self.asks.contains_key(&to) && self.asks_now(now);
            if !due && !new {
                continue;
            }
            self.asks.entry(to).or_insert(Ask { since: now, answered: None });
            let message = Control::PromiseRequest(PromiseRequest {
                group: self.id,
                epoch: self.epoch,
                sent: now,
            });
            out.push(Effect::Send { to, message });
        }
        if due {
            self.next_ask = now.plus(PROMISE_INTERVAL);
        }
    }

    /// Whether a node has answered promise requests lately.
    fn answers(&self, node: NodeAddr, now: Millis) -> bool {
        let Some(ask) = self.asks.get(&node) else { return false };
        now.since(ask.answered.unwrap_or(ask.since)) < self.patience(now)
    }

    /// A new leader does not know which standbys were lost together with
    /// the old leader, and allows them less time for the first answer.
    fn patience(&self, now: Millis) -> u64 {
        if now.since(self.began) < STANDBY_SILENCE {
            COLLECT
        } else {
            STANDBY_SILENCE
        }
    }

    /// The standbys that the record should name: silent and draining ones
    /// are replaced, and other domains are preferred.
    fn choose(&self, record: &Record, now: Millis) -> Vec<NodeAddr> {
        let fit = |n: &NodeAddr| {
            let peer = self.peers.get(n);
            peer.is_some_and(|p| {
                p.detail.is_some() && !p.leaving && !p.quiet(now)
            })
        };
        let stays = |n: &NodeAddr| {
            let leaving = self.peers.get(n).is_some_and(|p| p.leaving);
            let asked = self.asks.contains_key(n);
            (!asked || self.answers(*n, now)) && !leaving
        };
        let out =
            |n: &NodeAddr| self.peers.get(n).is_some_and(|p| p.out.is_some());
        let mut pool: Vec<NodeAddr> =
            record.standbys.iter().copied().filter(stays).collect();
        let kept = pool.len();
        let others = self.peers.keys().copied();
        pool.extend(others.filter(|n| {
            *n != self.addr && !record.standbys.contains(n) && fit(n)
        }));
        let mut chosen: Vec<NodeAddr> = Vec::new();
        let mut domains: Vec<Option<&str>> = vec![self.domain(self.addr)];
        while chosen.len() < STANDBYS {
            let rest = pool.iter().enumerate();
            let rest = rest.filter(|(_, n)| !chosen.contains(n));
            let best = rest.min_by_key(|&(i, n)| {
                let near = domains.contains(&self.domain(*n));
                let young = !self.asks.contains_key(n);
                (out(n), near, i >= kept, young, i)
            });
            let Some((_, &node)) = best else { break };
            domains.push(self.domain(node));
            chosen.push(node);
        }
        chosen
    }

    fn domain(&self, node: NodeAddr) -> Option<&str> {
        let detail = self.peers.get(&node)?.detail.as_ref()?;
        Some(detail.domain.as_str())
    }

    /// The record that the leader wants, if it differs from the present
    /// one. A node is added only once it has made its promise.
    pub(crate) fn wanted(
        &self,
        record: &Record,
        pending: &[Record],
        now: Millis,
    ) -> Option<Record> {
        let chosen = self.choose(record, now);
        let ready = |n: &NodeAddr| {
            record.standbys.contains(n)
                || self.asks.get(n).is_some_and(|a| {
                    a.answered.is_some_and(|s| now.since(s) < STANDBY_SILENCE)
                })
        };
        let mut standbys: Vec<NodeAddr> =
            chosen.into_iter().filter(ready).collect();
        // Until a better one has promised, an answering standby stays.
        for &old in &record.standbys {
            if standbys.len() < STANDBYS
                && !standbys.contains(&old)
                && self.asks.contains_key(&old)
                && self.answers(old, now)
                && self.peers.get(&old).is_none_or(|p| !p.leaving)
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

    /// The standby to which a leaving leader hands the group.
    pub(crate) fn heir(
        &self,
        record: &Record,
        now: Millis,
    ) -> Option<NodeAddr> {
        let mut standbys = record.standbys.iter().copied();
        standbys.find(|&n| {
            self.answers(n, now)
                && self.peers.get(&n).is_some_and(|p| !p.leaving)
        })
    }

    /// Notes whether there is authority and reports once that it ended.
    /// Returns whether there is none.
    pub(crate) fn check_authority(
        &mut self,
        authority: Millis,
        now: Millis,
        out: &mut Vec<Effect>,
    ) -> bool {
        if now < authority {
            self.lost = None;
            return false;
        }
        if self.lost.is_none() {
            self.lost = Some(now);
            if now.since(self.began) > COLLECT {
                let group = self.id;
                out.push(Effect::Notice(Notice::AuthorityLost { group }));
            }
        }
        true
    }

    /// Whether to ask for promises now. A leader that has had no authority
    /// for long cannot reach the store or its standbys. It lets promises
    /// expire from time to time, so that a standby that can reach the store
    /// takes over.
    fn asks_now(&self, now: Millis) -> bool {
        let Some(lost) = self.lost else { return true };
        now.since(lost) % (2 * PROMISE) < PROMISE / 2
    }

    /// Notes the standbys in the record, for members' plans.
    pub(crate) fn note_standbys(&mut self, standbys: &[NodeAddr]) -> bool {
        if self.standbys == standbys {
            return false;
        }
        self.standbys = standbys.to_vec();
        self.touch_all();
        true
    }
}
