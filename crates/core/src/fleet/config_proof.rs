//! Proof that the configuration of this node was current a short time ago.
//!
//! A key of a client account that was taken away must stop everywhere within a
//! bound, also at a node that is cut off, frozen or restarted. So a node serves
//! requests with keys only while it can prove that its configuration was the
//! latest one less than that bound ago.
//!
//! A proof begins with a listing of the configuration in the store, and holds
//! from when the listing was sent. Nodes that do not list ask another one,
//! which answers with the age of its own proof. The age counts from when the
//! question was sent, so that neither a slow answer nor a freeze makes a proof
//! look younger than it is, and no clocks are compared.
//!
//! The live nodes of a failure domain form a tree by their names: the first one
//! lists, and each asks the one above it. A node whose question fails asks
//! another one, and lists the configuration itself before its proof ends.

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::ObjectKind;
use crate::fleet::lease::{extend_for_drift, shorten_for_drift};
use crate::fleet::reducer::Fleet;

/// Number of nodes that ask one node.
const MAX_ASKING_COUNT: usize = 32;

/// Part of the bound after which a proof is renewed.
const RENEWAL_RATIO: u64 = 5;

/// Part of the bound at which a node that has not renewed its proof lists the
/// configuration itself.
const LISTING_PARTS: (u64, u64) = (3, 5);

/// Shortest interval between questions, in milliseconds.
const MIN_QUESTION_INTERVAL_MS: u64 = 200;

/// What this node knows of the configuration's age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConfigProof {
    /// Time at which the configuration in force was the latest one; `None` if
    /// it was never proved.
    current_at: Option<Millis>,
    /// When the latest question was sent.
    asked_at: Option<Millis>,
    /// Number of questions since the last answer that proved anything.
    unanswered: u32,
    /// Whether a listing has been requested since then.
    listing: bool,
    /// Whether the log says that there is a proof.
    proved: bool,
}

impl ConfigProof {
    fn confirm(&mut self, at: Millis) {
        self.current_at = Some(self.current_at.map_or(at, |old| old.max(at)));
        self.unanswered = 0;
        self.listing = false;
    }
}

impl Fleet {
    /// Time since which the configuration in force may have been replaced, in
    /// milliseconds; `None` if it was never known to be the latest one.
    #[must_use]
    pub fn config_age_ms(&self, now: Millis) -> Option<u64> {
        self.config_proof.current_at.map(|at| now.since(at))
    }

    /// Whether the configuration in force was the latest one less than
    /// [`Bounds::revoke_ms`] ago, by any clock. Without that bound no proof is
    /// needed.
    ///
    /// [`Bounds::revoke_ms`]: crate::fleet::settings::Bounds::revoke_ms
    #[must_use]
    pub fn is_config_proved(&self, now: Millis) -> bool {
        let Some(bound_ms) = self.settings.bounds.revoke_ms() else {
            return true;
        };
        let age_ms = self.config_age_ms(now);
        age_ms.is_some_and(|age_ms| age_ms < shorten_for_drift(bound_ms))
    }

    /// Records that the store has listed the configuration in force in answer
    /// to a call that was sent at `sent`. After a restore the store may hold an
    /// earlier one than other nodes do, until the operator writes it again.
    pub(super) fn on_config_listed(&mut self, sent: Millis) {
        let ours = self.versions.config;
        let heard = self.feed(ObjectKind::Config).map_or(0, |f| f.heard);
        if self.config.is_some() && heard <= ours {
            self.config_proof.confirm(sent);
        }
    }

    /// Records the answer to a question that was sent at `asked`: `version` was
    /// the latest one at most `age_ms` before the answer.
    pub(super) fn on_config_proof(
        &mut self,
        asked: Millis,
        version: u64,
        age_ms: u64,
    ) {
        if age_ms > asked.0 {
            return;
        }
        if self.config.is_none() || self.versions.config < version {
            // The document arrives by itself; the next answer proves it.
            return;
        }
        let age_ms = extend_for_drift(age_ms);
        if let Some(at) = asked.0.checked_sub(age_ms) {
            self.config_proof.confirm(Millis(at));
        }
    }

    /// Renews the proof, if accounts need one.
    pub(super) fn renew_config_proof(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let Some(bound_ms) = self.settings.bounds.revoke_ms() else { return };
        let has_accounts =
            self.config.as_ref().is_some_and(|c| !c.accounts.is_empty());
        if !has_accounts {
            return;
        }
        let proved = self.is_config_proved(now);
        if proved != self.config_proof.proved {
            self.config_proof.proved = proved;
            out.push(Effect::Notice(Notice::ConfigProof { proved }));
        }
        let age_ms = self.config_age_ms(now).unwrap_or(u64::MAX);
        let interval_ms =
            (bound_ms / RENEWAL_RATIO).max(MIN_QUESTION_INTERVAL_MS);
        let (part, parts) = LISTING_PARTS;
        if age_ms >= bound_ms / parts * part && !self.config_proof.listing {
            self.config_proof.listing = true;
            if let Some(feed) = self.feed(ObjectKind::Config) {
                feed.current = false;
            }
        }
        let asked_at = self.config_proof.asked_at;
        let paused = asked_at.is_some_and(|at| now.since(at) < interval_ms);
        if age_ms < interval_ms || paused {
            return;
        }
        let Some(from) = self.node_to_ask(now) else { return };
        self.config_proof.asked_at = Some(now);
        self.config_proof.unanswered += 1;
        out.push(Effect::AskConfigAge { from, asked: now });
    }

    /// Address of the node that is asked next; `None` at the top of the tree,
    /// which lists.
    fn node_to_ask(&self, now: Millis) -> Option<std::net::SocketAddr> {
        let own = self.settings.node.as_str();
        let domain = &self.settings.domain;
        let live: Vec<_> = self
            .directory
            .iter()
            .filter(|(node, _)| self.directory.is_live(node, now))
            .collect();
        let mut ours = live.iter().filter(|(_, p)| p.gossip.domain == *domain);
        let rank = ours.clone().filter(|(node, _)| *node < own).count();
        let above = rank.checked_sub(1)? / MAX_ASKING_COUNT;
        let tried = self.config_proof.unanswered as usize;
        let (_, peer) = if tried == 0 {
            ours.nth(above)?
        } else {
            // Another one each time, also of other domains.
            live.get((rank + tried) % live.len().max(1))?
        };
        Some(peer.request_addr())
    }
}
