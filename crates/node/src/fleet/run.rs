//! Starting a fleet's node: sockets, adapters, signals.

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
use crate::fleet::gossip::Gossiper;
use crate::fleet::metrics::Metrics;
use crate::fleet::notices::Notices;
use crate::fleet::shell::{Ports, Shell};
use crate::fleet::{callers, control};
use crate::run::Signals;

/// Time for the last answers to leave the machine once they are written.
const FLUSH: Duration = Duration::from_millis(60);

/// Interval at which a node that ends looks whether all answers are written.
const WRITE_LOOK: Duration = Duration::from_millis(5);

/// Time before the end of the grace period at which the process ends with
/// answers unwritten, in milliseconds.
const WRITE_SPARE: u64 = 150;

/// Interval at which the settings file is looked at, in milliseconds. It may
/// change without a signal.
const LOOK: u64 = 1_000;

/// Starts to serve; the caller then drives [`until_stopped`].
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
    let gossiper = Gossiper::new(socket)?;
    let incarnation = rand::random();
    slog::info!(log, "node starts";
        "node" => &settings.node, "domain" => &settings.domain,
        "service" => &settings.service,
        "upstream" => %settings.upstream, "incarnation" => incarnation);
    let seed = rand::random();
    let now = clock::since_boot();
    let fleet = Fleet::new(settings.clone(), incarnation, seed, now);
    let recorder = Metrics::new().map_err(io::Error::other)?;
    let notices = Notices::new(log);
    let shell = Shell::new(
        settings,
        fleet,
        ports,
        gossiper.clone(),
        notices,
        recorder,
    );
    gossiper.listen(&shell);
    callers::listen(callers, &shell, Source::Caller);
    callers::listen(peers, &shell, Source::Peer);
    for listener in [health, announcements, metrics] {
        control::listen(listener, &shell);
    }
    Ok(shell)
}

/// Runs a node until it has stopped. `file` holds its settings, which are
/// read again after SIGHUP and when they have changed.
pub async fn until_stopped(shell: &Shell, signals: &Signals, file: &Path) {
    let watcher = Watcher::new(file);
    let mut asked = None;
    let poll = |shell: &Shell| {
        let now = clock::since_boot();
        if signals.take_stop() {
            asked.get_or_insert(now);
            shell.post(Event::Stop);
        }
        if let Some(text) = watcher.changed(signals.take_reload(), now) {
            reload(shell, &text);
        }
    };
    shell.run(poll).await;
    // The last answers are with the writers of their connections, which may
    // be slow: a VM has as little as a tenth of a core.
    let grace = shell.settings().bounds.stop_ms();
    let asked = asked.unwrap_or_else(clock::since_boot);
    let end = asked.plus(grace.saturating_sub(WRITE_SPARE));
    while !shell.has_written() && clock::since_boot() < end {
        monoio::time::sleep(WRITE_LOOK).await;
    }
    monoio::time::sleep(FLUSH).await;
    slog::info!(shell.notices().logger(), "node has stopped");
}

fn reload(shell: &Shell, text: &[u8]) {
    match Settings::parse(text) {
        Ok(settings) => shell.post(Event::Reloaded(Box::new(settings))),
        Err(error) => slog::error!(shell.notices().logger(),
            "settings cannot be used"; "error" => error.to_string()),
    }
}

/// Notices changes of a file.
struct Watcher {
    file: PathBuf,
    text: RefCell<Vec<u8>>,
    due: Cell<Millis>,
}

impl Watcher {
    fn new(file: &Path) -> Self {
        let text = std::fs::read(file).unwrap_or_default();
        let due = Cell::new(clock::since_boot().plus(LOOK));
        Self { file: file.to_owned(), text: RefCell::new(text), due }
    }

    /// The new text, if the file has changed or `asked` is set.
    fn changed(&self, asked: bool, now: Millis) -> Option<Vec<u8>> {
        if !asked && now < self.due.get() {
            return None;
        }
        self.due.set(now.plus(LOOK));
        let text = std::fs::read(&self.file).ok()?;
        if !asked && *self.text.borrow() == text {
            return None;
        }
        self.text.replace(text.clone());
        Some(text)
    }
}
