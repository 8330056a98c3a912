//! Log lines of a fleet's node.
//!
//! Lines about requests are bounded: a burst is logged in full, and then a
//! steady rate. What is left out is counted, and the count is logged.

use std::cell::Cell;
use std::fmt;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::effect::Notice;
use lagoondyke_core::verdict::Verdict;
use slog::Logger;

use crate::clock;

/// Lines about requests that may follow each other, and are gained back in
/// [`SPAN`].
const BURST: u32 = 60;

/// Time in which [`BURST`] lines are gained back, in milliseconds. A line
/// takes about 10 us of a core of which a node may have a tenth.
const SPAN: u64 = 3_000;

/// Writes notices to a log.
pub struct Notices {
    log: Logger,
    left: Cell<u32>,
    filled: Cell<Millis>,
    dropped: Cell<u64>,
}

impl fmt::Debug for Notices {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Notices")
    }
}

impl Notices {
    /// Writes to `log`.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            left: Cell::new(BURST),
            filled: Cell::new(clock::since_boot()),
            dropped: Cell::new(0),
        }
    }

    /// The log.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// Whether another line about a request may be written.
    fn admits(&self) -> bool {
        let now = clock::since_boot();
        if now.since(self.filled.get()) >= SPAN {
            self.filled.set(now);
            self.left.set(BURST);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                slog::warn!(self.log, "log lines were left out";
                    "count" => dropped);
            }
        }
        if self.left.get() == 0 {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.left.set(self.left.get() - 1);
        true
    }

    /// Logs input that could not be used.
    pub fn malformed(&self, source: &'static str, error: &dyn fmt::Display) {
        if self.admits() {
            slog::warn!(self.log, "malformed input";
                "source" => source, "error" => error.to_string());
        }
    }

    /// Logs a notice of the reducer.
    pub fn log(&self, notice: &Notice) {
        let log = &self.log;
        match notice {
            Notice::Failed {
                id,
                decision,
                service,
                refusal,
                age,
                node,
                config,
            } => {
                if self.admits() {
                    slog::info!(log, "request failed";
                        "id" => id, "decision" => decision,
                        "reason" => refusal.reason.name(),
                        "may_have_run" => refusal.verdict
                            == Verdict::MayHaveRun,
                        "detail" => &refusal.detail,
                        "retry_after_ms" => refusal.retry_after,
                        "service" => service, "node" => node,
                        "age_ms" => age, "config" => config);
                }
            }
            Notice::Ignored { upstream, reason } => {
                if self.admits() {
                    slog::warn!(log, "announcement ignored";
                        "upstream" => upstream, "reason" => reason);
                }
            }
            Notice::Rejected { name, error } => {
                if self.admits() {
                    slog::error!(log, "object cannot be used";
                        "name" => name, "error" => error);
                }
            }
            other => self.belief(other),
        }
    }

    /// Logs a change of what the node believes.
    fn belief(&self, notice: &Notice) {
        let log = &self.log;
        match notice {
            Notice::Config { version, relayed } => slog::info!(log,
                "configuration in force";
                "version" => version, "from_peer" => relayed),
            Notice::Domains { out, revision } => slog::info!(log,
                "failure domains out of service changed";
                "out" => out.join(" "), "revision" => revision),
            Notice::Table { service, revision, own } => slog::info!(log,
                "table in force"; "service" => service,
                "revision" => revision, "own_ranges" => own),
            Notice::Edited { service, revision, reason } => {
                slog::info!(log, "table update sent"; "service" => service,
                    "expected_revision" => revision, "reason" => reason);
            }
            Notice::Proposed { service, to, term, ranges } => {
                slog::info!(log, "table changes proposed";
                    "service" => service, "to" => %to, "term" => term,
                    "ranges" => ranges);
            }
            Notice::Moving { reason, ranges, rate, capacity } => {
                slog::info!(log, "ranges are to move"; "reason" => reason,
                    "ranges" => ranges, "rate" => rate,
                    "capacity" => capacity);
            }
            Notice::Relayed { to, left } => {
                slog::info!(log, "lease renewal sent through a peer";
                    "to" => %to, "left_ms" => left);
            }
            Notice::LeaseGained { revision } => {
                slog::info!(log, "lease gained"; "revision" => revision);
            }
            Notice::LeaseEnded => slog::warn!(log, "lease lost"),
            Notice::NodeLost { node } => {
                slog::warn!(log, "node is silent"; "node" => node);
            }
            Notice::Revoked { node, wait } => slog::warn!(log,
                "lease of a lost node revoked";
                "node" => node, "ends_in_ms" => wait),
            Notice::UpstreamStarted { id } => {
                slog::info!(log, "upstream announced itself"; "id" => id);
            }
            Notice::UpstreamLeaving { id } => {
                slog::info!(log, "upstream leaves"; "id" => id);
            }
            Notice::UpstreamDown => {
                slog::warn!(log, "upstream refuses connections");
            }
            Notice::Store { up: true } => {
                slog::info!(log, "store answers again");
            }
            Notice::Store { up: false } => {
                slog::warn!(log, "store does not answer");
            }
            Notice::Reloaded { partly } => slog::info!(log,
                "settings in force"; "restart_needed" => partly),
            Notice::Stopping { requests } => slog::info!(log,
                "stop requested"; "requests" => requests),
            _ => {}
        }
    }
}
