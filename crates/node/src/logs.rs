//! Structured logs.

use lagoondyke_core::effect::Notice;
use lagoondyke_core::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::AsyncGuard;

/// Lines that wait for the terminal or pipe; further ones are dropped, so
/// that a blocked reader of the log never blocks the loop.
const QUEUE: usize = 4_096;

/// A logger to standard output. Lines are written by a thread of its own;
/// dropping the guard writes those that wait.
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
            start(std::sync::Mutex::new(drain).map(slog::Fuse), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            start(drain.fuse(), level)
        }
    }
}

fn start<D>(drain: D, level: Level) -> (Logger, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    (Logger::root(drain, o!()), guard)
}

/// A logger that discards all lines.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a notice of the reducer.
pub fn notice(log: &Logger, notice: &Notice) {
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
        other => local_notice(log, other),
    }
}

fn local_notice(log: &Logger, notice: &Notice) {
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
