//! Structured logging to standard output.

use lagoondyke_core::effect::Notice;
use lagoondyke_core::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::AsyncGuard;

/// Largest number of lines that wait to be written. Further lines are dropped,
/// so that a terminal or pipe that blocks never blocks the event loop.
const MAX_QUEUED_LINE_COUNT: usize = 4_096;

/// Creates a logger to standard output, which writes in a separate thread.
/// Dropping the guard writes the lines that are still queued.
pub fn logger(settings: &LogSettings) -> (Logger, AsyncGuard) {
    let level = match settings.level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    };
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout());
            start_logger(std::sync::Mutex::new(drain).map(slog::Fuse), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            start_logger(drain.fuse(), level)
        }
    }
}

/// Starts the writing thread on `drain`.
fn start_logger<D>(drain: D, level: Level) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINE_COUNT)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!()), guard)
}

/// Creates a logger that discards all lines, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a notice of the reducer.
pub fn log_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::Leading { group, epoch } => slog::info!(log, "leads group";
            "group" => group.index, "epoch" => epoch.0),
        Notice::SteppedDown { group, epoch } => {
            slog::info!(log, "no longer leads group";
                "group" => group.index, "epoch" => epoch.0);
        }
        Notice::AuthorityLost { group } => slog::warn!(log,
            "authority ended without renewal"; "group" => group.index),
        Notice::StandbysChanged { group, nodes } => {
            let nodes: Vec<_> =
                nodes.iter().map(ToString::to_string).collect();
            slog::info!(log, "standbys changed";
                "group" => group.index, "nodes" => nodes.join(" "));
        }
        Notice::MemberJoined { node } => {
            slog::info!(log, "member joined"; "node" => %node);
        }
        Notice::MemberLost { node } => {
            slog::warn!(log, "member lost"; "node" => %node);
        }
        other => log_node_notice(log, other),
    }
}

/// Logs the notices that are not about the node's group.
fn log_node_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::LeaseEnded { shards } => slog::warn!(log,
            "lease ended while shards were held"; "shards" => shards),
        Notice::ConfigApplied { version } => slog::info!(log,
            "configuration in force"; "version" => version),
        Notice::Rejected { name, error } => slog::error!(log,
            "object cannot be used"; "name" => name, "error" => error),
        Notice::Quarantined { fingerprint } => slog::warn!(log,
            "requests are refused since they crash upstreams";
            "fingerprint" => format!("{:016x}", fingerprint.0)),
        Notice::UpstreamDown => {
            slog::warn!(log, "upstream cannot be reached");
        }
        Notice::UpstreamUp => slog::info!(log, "upstream can be reached"),
        _ => {}
    }
}
