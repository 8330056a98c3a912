//! Start and stop of a fleet's node: sockets, adapters, signals.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lagoondyke_core::clock::Millis;
use lagoondyke_core::fleet::Fleet;
use lagoondyke_core::fleet::event::{Event, Source};
use lagoondyke_core::fleet::settings::Settings;
use monoio::net::{ListenerOpts, TcpListener};
use slog::Logger;

use crate::clock;
use crate::fleet::gossip::GossipSocket;
use crate::fleet::metrics::Metrics;
use crate::fleet::notice_log::NoticeLog;
use crate::fleet::shell::{Ports, Shell};
use crate::fleet::{endpoints, server};
use crate::run::Signals;

/// Pause between the last write to a socket and the end of the process, in
/// which the kernel transmits the written answers.
const FLUSH_PAUSE: Duration = Duration::from_millis(60);

/// Interval at which a node that has exited checks whether all answers are
/// written.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time before the end of the grace period at which the process ends even if
/// answers are unwritten.
const EXIT_MARGIN_MS: u64 = 150;

/// Interval at which the settings file is checked for changes, as it may
/// change without a signal.
const SETTINGS_POLL_INTERVAL_MS: u64 = 1_000;

/// Binds the node's addresses and starts to serve them. The caller must then
/// await [`until_stopped`], which delivers the ticks.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn start(
    settings: Settings,
    ports: Ports,
    log: Logger,
) -> io::Result<Shell> {
    let options = ListenerOpts::new().reuse_port(false).backlog(1_024);
    let bind = |addr| TcpListener::bind_with_config(addr, &options);
    let callers = bind(settings.callers)?;
    let peers = bind(settings.peers)?;
    let health = bind(settings.health)?;
    let announcements = bind(settings.announcements)?;
    let metrics_addr = (settings.ip, settings.metrics).into();
    let metrics = bind(metrics_addr)?;
    let socket = std::net::UdpSocket::bind(settings.gossip_addr())?;
    let gossip_socket = GossipSocket::new(socket)?;
    let incarnation = rand::random();
    slog::info!(log, "node starts";
        "node" => &settings.node, "domain" => &settings.domain,
        "service" => &settings.service,
        "upstream" => %settings.upstream, "incarnation" => incarnation);
    let seed = rand::random();
    let now = clock::since_boot();
    let fleet = Fleet::new(settings.clone(), incarnation, seed, now);
    let recorder = Metrics::new().map_err(io::Error::other)?;
    let notice_log = NoticeLog::new(log);
    let shell = Shell::new(
        settings,
        fleet,
        ports,
        gossip_socket.clone(),
        notice_log,
        recorder,
    );
    gossip_socket.listen(&shell);
    server::listen(callers, &shell, Source::Caller);
    server::listen(peers, &shell, Source::Peer);
    for listener in [health, announcements, metrics] {
        endpoints::listen(listener, &shell);
    }
    Ok(shell)
}

/// Runs a node until it has stopped. `file` is its settings file, which is
/// read again on SIGHUP and when it has changed.
pub async fn until_stopped(shell: &Shell, signals: &Signals, file: &Path) {
    let watcher = FileWatcher::new(file);
    let mut stop_time = None;
    let poll = |shell: &Shell| {
        let now = clock::since_boot();
        if signals.take_stop() {
            stop_time.get_or_insert(now);
            shell.post(Event::Stop);
        }
        if let Some(text) = watcher.changed(signals.take_reload(), now) {
            reload(shell, &text);
        }
    };
    shell.run(poll).await;
    // The last answers are queued at the writers of their connections, which
    // may be slow: a VM may have as little as a tenth of a core.
    let grace = shell.settings().bounds.stop_ms();
    let stop_time = stop_time.unwrap_or_else(clock::since_boot);
    let deadline = stop_time.plus(grace.saturating_sub(EXIT_MARGIN_MS));
    while !shell.has_written_all() && clock::since_boot() < deadline {
        monoio::time::sleep(WRITE_POLL_INTERVAL).await;
    }
    monoio::time::sleep(FLUSH_PAUSE).await;
    slog::info!(shell.notice_log().logger(), "node has stopped");
}

fn reload(shell: &Shell, text: &[u8]) {
    match Settings::parse(text) {
        Ok(settings) => shell.post(Event::Reloaded(Box::new(settings))),
        Err(error) => slog::error!(shell.notice_log().logger(),
            "invalid settings file ignored"; "error" => error.to_string()),
    }
}

/// Detects changes of a file by reading it.
struct FileWatcher {
    file: PathBuf,
    text: RefCell<Vec<u8>>,
    next_poll: Cell<Millis>,
}

impl FileWatcher {
    fn new(file: &Path) -> Self {
        let text = std::fs::read(file).unwrap_or_default();
        let next_poll =
            Cell::new(clock::since_boot().plus(SETTINGS_POLL_INTERVAL_MS));
        Self { file: file.to_owned(), text: RefCell::new(text), next_poll }
    }

    /// The content of the file if it has changed since the last read, or if
    /// `force` is set. Reads it once per interval unless forced.
    fn changed(&self, force: bool, now: Millis) -> Option<Vec<u8>> {
        if !force && now < self.next_poll.get() {
            return None;
        }
        self.next_poll.set(now.plus(SETTINGS_POLL_INTERVAL_MS));
        let text = std::fs::read(&self.file).ok()?;
        if !force && *self.text.borrow() == text {
            return None;
        }
        self.text.replace(text.clone());
        Some(text)
    }
}
