//! Log lines of a fleet's node.
//!
//! Lines that requests and other input cause are rate-limited, and so are
//! those about objects of the store. Lines beyond the limit are dropped and
//! counted; the count is logged before the first such line after a refill.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::effect::Notice;
use lagoondyke_core::fleet::revision::number_of;
use lagoondyke_core::id::Fingerprint;
use lagoondyke_core::verdict::Verdict;
use slog::Logger;

use crate::clock;
use crate::fleet::peers::kind_name;

/// Number of rate-limited lines that are allowed per
/// [`REFILL_INTERVAL_MS`].
const BURST_LINE_COUNT: u32 = 60;

/// Shortest time between two refills of the limit to [`BURST_LINE_COUNT`]
/// lines. A line takes about 10 us of processor time, and a node may have as
/// little as a tenth of a core.
const REFILL_INTERVAL_MS: u64 = 3_000;

/// Writes the reducer's notices and reports of malformed input to a log.
pub struct NoticeLog {
    log: Logger,
    tokens: Cell<u32>,
    refilled: Cell<Millis>,
    dropped: Cell<u64>,
}

impl fmt::Debug for NoticeLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NoticeLog")
    }
}

impl NoticeLog {
    /// Creates a log that writes to `log`, with the full limit of lines.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            tokens: Cell::new(BURST_LINE_COUNT),
            refilled: Cell::new(clock::since_boot()),
            dropped: Cell::new(0),
        }
    }

    /// The underlying logger, without the rate limit.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// Whether another rate-limited line may be written. Counts the line as
    /// written if so, and otherwise as dropped.
    fn take_token(&self) -> bool {
        let now = clock::since_boot();
        if now.since(self.refilled.get()) >= REFILL_INTERVAL_MS {
            self.refilled.set(now);
            self.tokens.set(BURST_LINE_COUNT);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                slog::warn!(self.log, "log lines were left out";
                    "count" => dropped);
            }
        }
        if self.tokens.get() == 0 {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.tokens.set(self.tokens.get() - 1);
        true
    }

    /// Logs input from `source` that could not be decoded.
    pub fn malformed(&self, source: &'static str, error: &dyn fmt::Display) {
        if self.take_token() {
            slog::warn!(self.log, "malformed input";
                "source" => source, "error" => error.to_string());
        }
    }

    /// Logs that a forwarded request was withdrawn and sent again, since
    /// nothing on its connection was acknowledged.
    pub fn resent(&self, id: &str, to: SocketAddr, count: u32) {
        if self.take_token() {
            slog::info!(self.log, "forwarded request sent again";
                "id" => id, "to" => %to, "count" => count);
        }
    }

    /// Logs that a forwarded request has arrived after its withdrawal.
    pub fn withdrawn(&self, id: &str) {
        if self.take_token() {
            slog::info!(self.log, "withdrawn request dropped"; "id" => id);
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
                age_ms,
                node,
                config,
                request,
            } => {
                if self.take_token() {
                    slog::info!(log, "request failed";
                        "id" => id, "fingerprint" => hex(*request),
                        "decision" => decision,
                        "reason" => refusal.reason.name(),
                        "may_have_run" => refusal.verdict
                            == Verdict::MayHaveRun,
                        "detail" => &refusal.detail,
                        "retry_after_ms" => refusal.retry_after,
                        "service" => service, "node" => node,
                        "age_ms" => age_ms, "config" => config);
                }
            }
            Notice::Ignored { upstream, reason } => {
                if self.take_token() {
                    slog::warn!(log, "announcement ignored";
                        "upstream" => upstream, "reason" => reason);
                }
            }
            Notice::Rejected { name, error } => {
                if self.take_token() {
                    slog::error!(log, "object cannot be used";
                        "name" => name, "error" => error);
                }
            }
            Notice::Outdated { kind, revision, heard } => {
                if self.take_token() {
                    slog::warn!(log, "a peer has a later document";
                        "kind" => kind_name(*kind),
                        "revision" => number_of(*revision),
                        "heard" => number_of(*heard));
                }
            }
            Notice::CallFailed { call, outcome, age_ms } => {
                if self.take_token() {
                    let (first, last) = call.keys();
                    slog::warn!(log, "call to the upstream not confirmed";
                        "call" => call.name(), "first" => first,
                        "last" => last, "fence" => call.fence(),
                        "end" => outcome.name(), "age_ms" => age_ms);
                }
            }
            other => self.log_state(other),
        }
    }

    /// Logs a notice without a rate limit: a change of the node's own state
    /// or of its view of the fleet.
    fn log_state(&self, notice: &Notice) {
        let log = &self.log;
        match notice {
            Notice::Config { version, revision, relayed } => slog::info!(log,
                "configuration in force"; "version" => version,
                "revision" => number_of(*revision), "from_peer" => relayed),
            Notice::Domains { out, revision } => slog::info!(log,
                "failure domains out of service changed";
                "out" => out.join(" "), "revision" => number_of(*revision)),
            Notice::Table { service, revision, own } => slog::info!(log,
                "table in force"; "service" => service,
                "revision" => number_of(*revision), "own_ranges" => own),
            Notice::Edited { service, revision, reason } => {
                slog::info!(log, "table update sent"; "service" => service,
                    "expected_revision" => number_of(*revision), "reason" => reason);
            }
            Notice::Proposed { service, to, term, ranges } => {
                slog::info!(log, "table changes proposed";
                    "service" => service, "to" => %to,
                    "term" => number_of(*term),
                    "ranges" => ranges);
            }
            Notice::Moving { reason, ranges, rate, capacity } => {
                slog::info!(log, "moves of ranges planned"; "reason" => reason,
                    "ranges" => ranges, "rate" => rate,
                    "capacity" => capacity);
            }
            Notice::UpstreamStarted { id } => {
                slog::info!(log, "upstream announced itself"; "id" => id);
            }
            Notice::ConfigProof { proved: true } => {
                slog::info!(log, "requests with keys are served";
                    "reason" => "the configuration is proved current");
            }
            Notice::ConfigProof { proved: false } => {
                slog::warn!(log, "requests with keys are refused";
                    "reason" => "the configuration may be out of date");
            }
            Notice::ExitUnrecorded { id } => {
                slog::warn!(log, "exit of the upstream not acknowledged";
                    "id" => id, "reason" => "its record is not stored");
            }
            Notice::UpstreamLeaving { id } => {
                slog::info!(log, "upstream is draining or has exited";
                    "id" => id);
            }
            Notice::UpstreamDown => {
                slog::warn!(log, "upstream refuses connections");
            }
            Notice::UpstreamCrashed { id, suspects, cleared } => {
                slog::warn!(log, "upstream has crashed"; "id" => id,
                    "suspects" => hex_list(suspects),
                    "answered_recently" => hex_list(cleared));
            }
            Notice::CrashesCounted { request, crashes, node } => {
                slog::warn!(log, "request was running at several crashes";
                    "fingerprint" => hex(*request), "crashes" => crashes,
                    "reported_by" => node);
            }
            Notice::Limited { rate: Some(rate) } => {
                slog::warn!(log, "upstream limits its rate of requests";
                    "rate" => rate);
            }
            Notice::Limited { rate: None } => {
                slog::info!(log, "upstream names no limit any more");
            }
            Notice::Harmful { request } => {
                slog::warn!(log, "request crashes upstreams";
                    "fingerprint" => hex(*request));
            }
            Notice::Store { up: true } => {
                slog::info!(log, "store answers again");
            }
            Notice::Store { up: false } => {
                slog::warn!(log, "store does not answer");
            }
            Notice::Reloaded { partly } => slog::info!(log,
                "settings reloaded"; "restart_needed" => partly),
            Notice::Stopping { requests } => slog::info!(log,
                "stop requested"; "requests" => requests),
            other => self.log_lease(other),
        }
    }

    /// Logs a notice of leases, the node's own and those of others.
    fn log_lease(&self, notice: &Notice) {
        let log = &self.log;
        match notice {
            Notice::Relayed { to, left_ms } => {
                slog::info!(log, "lease renewal sent through a peer";
                    "to" => %to, "left_ms" => left_ms);
            }
            Notice::LeaseGained { revision } => {
                slog::info!(log, "lease acquired";
                    "revision" => number_of(*revision));
            }
            Notice::Restored { era } => {
                slog::warn!(log, "store was restored from an earlier copy";
                    "era" => era);
            }
            Notice::ExitRecalled { id } => {
                slog::warn!(log, "a peer knows that the upstream is leaving";
                    "id" => id);
            }
            Notice::LeaseEnded => slog::warn!(log, "lease lost"),
            Notice::NodeLost { node } => {
                slog::warn!(log, "node is silent"; "node" => node);
            }
            Notice::Revoked { node, wait_ms } => slog::warn!(log,
                "lease of a lost node revoked";
                "node" => node, "ends_in_ms" => wait_ms),
            _ => {}
        }
    }
}

/// A fingerprint as all log lines show it.
fn hex(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint.0)
}

/// Fingerprints with spaces between them.
fn hex_list(fingerprints: &[Fingerprint]) -> String {
    let all: Vec<String> = fingerprints.iter().copied().map(hex).collect();
    all.join(" ")
}
