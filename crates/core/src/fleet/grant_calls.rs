//! Grants and releases by calls to the local upstream.
//!
//! The node calls the upstream for each of its ranges, and again before the
//! grant ends. The time of a grant counts from when the call arrives, and a
//! call without an answer may be applied late. So the node decides on the
//! duration with the latest arrival in mind, and a range is handed over only
//! when it has been released and no call without an answer can have an effect
//! any more.
//!
//! A call may reach another instance than the one that announced itself, which
//! must not get keys under the token of the earlier one. So a connection for
//! grants is opened only shortly after an announcement.

use crate::clock::Millis;
use crate::fleet::balance::subtract;
use crate::fleet::effect::{Effect, Notice};
use crate::fleet::event::CallOutcome;
use crate::fleet::reducer::Fleet;
use crate::fleet::rules;
use crate::fleet::settings::GrantMode;
use crate::fleet::table::Instance;
use crate::fleet::upstream::{Granted, Held, MAX_CALL_MS, MAX_GRANT_MS};
use crate::id::Ticket;

/// Time after an announcement in which a connection for grants may be opened.
/// An instance that has just announced itself cannot have ended and been
/// replaced within it.
const CONNECT_WINDOW_MS: u64 = 300;

/// Remaining time of a grant at which it is renewed after an announcement.
const RENEW_LEFT_MS: u64 = 2_300;

/// Remaining time of a grant at which it is renewed at any time, since the
/// renewal after an announcement has failed.
const RENEW_LATE_LEFT_MS: u64 = 1_800;

/// Shortest grant worth a call.
const MIN_GRANT_MS: u64 = 200;

/// Delay before a call that had no effect is repeated.
const RETRY_MS: u64 = 100;

/// Delay before a grant is repeated that the upstream rejected, as it has seen
/// a higher token: until then the table is read again.
const REJECTED_RETRY_MS: u64 = 500;

/// Time after which a release without an answer is sent again. The upstream
/// answers when the work on the keys has ended.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// A call of the node to its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamCall {
    /// Have it hold a range.
    Grant {
        /// The range, with its tokens.
        range: Granted,
        /// Duration in milliseconds, from when the call arrives.
        hold_ms: u64,
    },
    /// Have it release a range.
    Release(Held),
}

impl UpstreamCall {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Grant { .. } => "grant",
            Self::Release(_) => "release",
        }
    }

    /// Fencing token of the range.
    #[must_use]
    pub fn fence(&self) -> u64 {
        match self {
            Self::Grant { range, .. } => range.fence,
            Self::Release(held) => held.fence,
        }
    }

    /// First and last key.
    #[must_use]
    pub fn keys(&self) -> (u16, u16) {
        match self {
            Self::Grant { range, .. } => (range.first, range.last),
            Self::Release(held) => (held.first, held.last),
        }
    }
}

/// A call that has not ended.
#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    call: UpstreamCall,
    /// The instance that was to be called.
    instance: Option<Instance>,
    issued: Millis,
    /// When a grant has expired at the latest.
    until: Millis,
}

/// A range that is not called for until `due`.
#[derive(Clone, Copy, Debug)]
struct Pause {
    first: u16,
    last: u16,
    due: Millis,
}

/// Calls to the upstream that are outstanding or planned.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantCalls {
    pending: Vec<Pending>,
    /// Ranges that the upstream is to release.
    releases: Vec<Held>,
    pauses: Vec<Pause>,
    /// Number of calls so far.
    count: u64,
}

impl GrantCalls {
    /// Whether a call for any of these keys is outstanding. Calls on different
    /// connections may overtake each other.
    fn is_busy(&self, first: u16, last: u16) -> bool {
        self.pending.iter().any(|pending| {
            let keys = pending.call.keys();
            keys.0 <= last && first <= keys.1
        })
    }

    fn is_paused(&self, first: u16, last: u16, now: Millis) -> bool {
        let mut pauses = self.pauses.iter();
        pauses.any(|p| now < p.due && p.first <= last && first <= p.last)
    }

    fn pause(&mut self, (first, last): (u16, u16), due: Millis) {
        self.pauses.push(Pause { first, last, due });
    }

    /// Forgets planned releases, since the upstream has been replaced.
    pub(super) fn on_new_instance(&mut self) {
        self.releases.clear();
        self.pauses.clear();
    }
}

impl Fleet {
    /// Sends the grants, renewals and releases that are due, if the upstream
    /// is told its ranges in calls.
    pub(super) fn call_upstream(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        if self.settings.grants != GrantMode::Direct {
            return;
        }
        self.calls.pauses.retain(|pause| now < pause.due);
        let Some(wanted) = self.granted_ranges(now) else { return };
        self.plan_releases(&wanted, now);
        self.send_releases(now, out);
        self.send_grants(wanted, now, out);
    }

    /// Plans to release the ranges that the upstream is no longer to hold, and
    /// sends no more requests for them.
    fn plan_releases(&mut self, wanted: &[Granted], now: Millis) {
        let mut surplus = Vec::new();
        for held in self.upstream.granted() {
            let kept = wanted.iter().map(|range| (range.first, range.last));
            let whole = (held.first, held.last);
            for (first, last) in subtract(&[whole], kept) {
                surplus.push(Held { first, last, ..held });
            }
        }
        for held in surplus {
            self.upstream.drop_holdings(held.first, held.last);
            self.calls.releases.push(held);
        }
        let upstream = &self.upstream;
        self.calls
            .releases
            .retain(|held| upstream.may_hold(held.first, held.last, now));
    }

    fn send_releases(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.upstream.is_up() {
            return;
        }
        for held in self.calls.releases.clone() {
            if self.calls.is_busy(held.first, held.last)
                || self.calls.is_paused(held.first, held.last, now)
            {
                continue;
            }
            let call = UpstreamCall::Release(held);
            self.send_call(call, RELEASE_TIMEOUT_MS, now, now, out);
        }
    }

    fn send_grants(
        &mut self,
        wanted: Vec<Granted>,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let longest_ms = MAX_GRANT_MS.min(self.settings.bounds.hold_ms());
        let left_ms = self.right_ms(now);
        let hold_ms =
            rules::call_duration_ms(left_ms, MAX_CALL_MS, longest_ms);
        if hold_ms < MIN_GRANT_MS {
            return;
        }
        let limit_ms = if now < self.connect_until() {
            RENEW_LEFT_MS
        } else {
            RENEW_LATE_LEFT_MS
        };
        for range in wanted {
            let Granted { first, last, fence, .. } = range;
            let held = Held { first, last, fence };
            let ends = self.upstream.granted_until(held);
            let left_ms = ends.map_or(0, |ends| ends.since(now));
            if left_ms > limit_ms
                || hold_ms < left_ms + MIN_GRANT_MS
                || self.calls.is_busy(first, last)
                || self.calls.is_paused(first, last, now)
            {
                continue;
            }
            let effect_ms = rules::call_effect_ms(hold_ms, MAX_CALL_MS);
            let until = now.plus(effect_ms);
            self.upstream.begin_grant(first, last, until);
            let call = UpstreamCall::Grant { range, hold_ms };
            self.send_call(call, MAX_CALL_MS, until, now, out);
        }
    }

    fn send_call(
        &mut self,
        call: UpstreamCall,
        timeout_ms: u64,
        until: Millis,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        self.calls.count += 1;
        let ticket = Ticket(self.calls.count);
        let instance = self.upstream.instance().cloned();
        let upstream = instance.as_ref().map(|instance| instance.id.clone());
        let expires = now.plus(timeout_ms);
        let connect_until = match call {
            UpstreamCall::Grant { .. } => self.connect_until(),
            // To another instance, which does not hold the range, it does
            // nothing.
            UpstreamCall::Release(_) => expires,
        };
        out.push(Effect::CallUpstream {
            ticket,
            upstream: upstream.unwrap_or_default(),
            call: call.clone(),
            expires,
            connect_until,
        });
        let issued = now;
        self.calls.pending.push(Pending {
            ticket,
            call,
            instance,
            issued,
            until,
        });
    }

    /// Until when a new connection leads to the instance that has announced
    /// itself.
    fn connect_until(&self) -> Millis {
        self.upstream.announced_at().plus(CONNECT_WINDOW_MS)
    }

    /// Handles the end of a call to the upstream. One that was made to an
    /// earlier instance says nothing about what the present one holds.
    pub(super) fn on_call_done(
        &mut self,
        ticket: Ticket,
        outcome: CallOutcome,
        now: Millis,
        out: &mut Vec<Effect>,
    ) {
        let calls = &mut self.calls;
        let known = calls.pending.iter().position(|p| p.ticket == ticket);
        let Some(index) = known else { return };
        let pending = calls.pending.swap_remove(index);
        let current = pending.instance.as_ref() == self.upstream.instance();
        let (first, last) = pending.call.keys();
        if outcome.has_failed() {
            out.push(Effect::Notice(Notice::CallFailed {
                call: pending.call.clone(),
                outcome: outcome.clone(),
                age_ms: now.since(pending.issued),
            }));
        }
        match &pending.call {
            UpstreamCall::Grant { range, hold_ms } => {
                let ends = pending.issued.plus(*hold_ms);
                let until = pending.until;
                let due = match outcome {
                    CallOutcome::Done { .. } if current => {
                        self.upstream.confirm_grant(range, ends, until);
                        self.on_owners_changed(now, out);
                        self.dispatch_queued(now, out);
                        now
                    }
                    // At once after a time-out, but not after a reset.
                    CallOutcome::Done { .. } | CallOutcome::Unknown => {
                        pending.issued.plus(RETRY_MS)
                    }
                    CallOutcome::Rejected => {
                        self.upstream.cancel_grant(first, last, until);
                        now.plus(REJECTED_RETRY_MS)
                    }
                    CallOutcome::Unsent => {
                        self.upstream.cancel_grant(first, last, until);
                        now.plus(RETRY_MS)
                    }
                };
                self.calls.pause((first, last), due);
            }
            UpstreamCall::Release(held) => match outcome {
                CallOutcome::Done { handover } if current => {
                    self.calls.releases.retain(|other| other != held);
                    self.upstream.confirm_release(first, last, handover);
                    self.reconcile(now, out);
                }
                _ => self.calls.pause((first, last), now.plus(RETRY_MS)),
            },
        }
        self.call_upstream(now, out);
    }

    /// Number of calls to the upstream that have not ended, and the age of the
    /// oldest in milliseconds.
    #[must_use]
    pub fn pending_calls(&self, now: Millis) -> (usize, u64) {
        let pending = &self.calls.pending;
        let ages = pending.iter().map(|pending| now.since(pending.issued));
        (pending.len(), ages.max().unwrap_or(0))
    }
}
