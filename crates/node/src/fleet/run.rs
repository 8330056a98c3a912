//! Starting a fleet's node: sockets, adapters, signals.

use std::io;

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

/// Runs a node until it has stopped.
pub async fn until_stopped(shell: &Shell, signals: &Signals) {
    let poll = |shell: &Shell| {
        if signals.take() {
            shell.post(Event::Stop);
        }
    };
    shell.run(poll).await;
    slog::info!(shell.notices().logger(), "node has stopped");
}
