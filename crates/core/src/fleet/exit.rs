//! Exits that the local upstream reports, and their acknowledgement.
//!
//! An acknowledged exit must outlast this process: the upstream serves for a
//! while after its report, and reports it only once. So a report is
//! acknowledged when the node's record in the store names the upstream as
//! leaving. While the store does not take the record, the report is refused,
//! which promises nothing; the upstream gets no new requests either way.
//!
//! A restore of the store may take the exit out of the record. The node then
//! writes it again; if the node has ended, its peers tell the next process.

use crate::clock::Millis;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::reducer::Fleet;
use crate::fleet::table::Instance;
use crate::id::Ticket;

/// Longest time that a report waits for the record. The upstream waits for one
/// second.
const MAX_EXIT_WAIT_MS: u64 = 800;

/// Reports that wait for the node's record, with the time of their arrival.
pub(super) type WaitingExits = Vec<(Ticket, Millis)>;

impl Fleet {
    pub(super) fn on_upstream_left(
        &mut self,
        ticket: Ticket,
        id: String,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.upstream.set_left(&id, now);
        out.push(Effect::Notice(Notice::UpstreamLeaving { id }));
        self.reconcile(now, out);
        self.refuse_queued(now, out);
        self.waiting_exits.push((ticket, now));
        self.answer_exits(now, out);
    }

    /// Applies what a peer remembers of an earlier process of this node.
    pub(super) fn recall_exit(
        &mut self,
        recalled: Vec<(String, Instance)>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let own = &self.settings.node;
        let instance = recalled.into_iter().find(|(node, _)| node == own);
        let Some((_, instance)) = instance else { return };
        if self.upstream.leaving_instance().as_ref() == Some(&instance) {
            return;
        }
        let id = instance.id.clone();
        out.push(Effect::Notice(Notice::ExitRecalled { id }));
        self.adopt_leaving(Some(&instance), now, out);
    }

    /// Acknowledges the reports whose exit is recorded, and refuses those that
    /// have waited too long.
    pub(super) fn answer_exits(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.waiting_exits.is_empty() {
            return;
        }
        let leaving = self.upstream.leaving_instance();
        // Without one, the report was of an instance that has been replaced.
        let recorded =
            leaving.is_none() || leaving == self.renewal.stored_leaving;
        for (ticket, since) in std::mem::take(&mut self.waiting_exits) {
            let expired = now.since(since) >= MAX_EXIT_WAIT_MS;
            if !recorded && !expired {
                self.waiting_exits.push((ticket, since));
                continue;
            }
            if !recorded {
                let id = leaving.clone().unwrap_or_default().id;
                out.push(Effect::Notice(Notice::ExitUnrecorded { id }));
            }
            out.push(Effect::AnswerExit { ticket, recorded });
        }
    }
}
