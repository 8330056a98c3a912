//! Starts a node: binds its sockets, connects the adapters, handles signals.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lagoondyke_core::id::{Incarnation, NodeAddr};
use lagoondyke_core::node::Node;
use lagoondyke_core::settings::Settings;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use slog::Logger;

use crate::clock;
use crate::control::UdpControl;
use crate::metrics::Metrics;
use crate::peer_server;
use crate::peers::TcpPeers;
use crate::serve::{self, Limits};
use crate::shell::{Ports, Shell, Telemetry};
use crate::store::HttpStore;
use crate::trace::Tracer;
use crate::upstream::HttpUpstream;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time for a graceful stop, after which the stop is forced.
const STOP_TIMEOUT_MS: u64 = 30_000;

/// Time for the last answers to be written after the reducer has ended.
const FLUSH_TIMEOUT_MS: u64 = 2_000;

/// The sockets of a node, bound but not yet served.
#[derive(Debug)]
pub struct Sockets {
    /// Receives and sends control datagrams, on the same port as `peers`.
    pub control: std::net::UdpSocket,
    /// Accepts connections from other nodes, which carry peer frames.
    pub peers: TcpListener,
    /// Accepts HTTP connections from callers and operators.
    pub callers: TcpListener,
}

impl Sockets {
    /// Binds the addresses of `settings`, and writes back the ports that
    /// were chosen for port 0. Addresses are bound exclusively, so that
    /// binding fails while another node still runs on one of them.
    ///
    /// # Errors
    ///
    /// Returns the error of the first socket that cannot be bound.
    pub fn bind(settings: &mut Settings) -> io::Result<Self> {
        let options = ListenerOpts::new().reuse_port(false);
        let peers = TcpListener::bind_with_config(settings.addr.0, &options)?;
        settings.addr = NodeAddr(peers.local_addr()?);
        let control = std::net::UdpSocket::bind(settings.addr.0)?;
        let callers =
            TcpListener::bind_with_config(settings.listen, &options)?;
        settings.listen = callers.local_addr()?;
        Ok(Self { control, peers, callers })
    }
}

/// Accepts a connection. After a failure, it tries again until it succeeds.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Raises the process's limit on open file descriptors to the hard limit. The
/// usual soft limit of 1,024 could be used up by callers alone.
pub fn raise_descriptor_limit() {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: `limit` is a valid `rlimit` that outlives both calls. If
    // they fail, the old limit stays, and `accept` waits for a descriptor.
    unsafe {
        if libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) == 0 {
            limit.rlim_cur = limit.rlim_max;
            libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit);
        }
    }
}

/// Starts to serve `sockets`. Events are processed once the caller runs
/// [`until_stopped`] or [`Shell::run`].
///
/// # Errors
///
/// Returns an error if the metrics recorder cannot be built, a socket cannot
/// be registered with the driver, or the trace file cannot be opened.
pub fn start(
    settings: Settings,
    sockets: Sockets,
    log: Logger,
    limits: Limits,
) -> io::Result<Shell> {
    let incarnation = Incarnation(rand::random());
    let node = Node::new(&settings, incarnation, rand::random(), clock::now());
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let metrics = Rc::new(metrics);
    let control =
        Rc::new(UdpControl::new(sockets.control, Rc::clone(&metrics))?);
    let name = settings.addr.to_string();
    let ports = Ports {
        store: Rc::new(HttpStore::new(settings.store)),
        upstream: Rc::new(HttpUpstream::new(&settings.upstream, &name)),
        peers: Rc::new(TcpPeers::new()),
        control: Rc::clone(&control) as Rc<dyn crate::ports::Control>,
    };
    slog::info!(log, "node starts";
        "addr" => %settings.addr, "listen" => %settings.listen,
        "incarnation" => incarnation.0);
    let tracer = match &settings.log.traces {
        Some(file) => Tracer::open(file, settings.addr.to_string())?,
        None => Tracer::default(),
    };
    let telemetry = Telemetry { log, metrics, tracer };
    let shell = Shell::new(settings, node, ports, telemetry);
    control.listen(&shell);
    peer_server::listen(sockets.peers, &shell, limits);
    serve::listen(sockets.callers, &shell, limits);
    Ok(shell)
}

/// The signals that the process has received.
#[derive(Clone, Debug)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM and SIGINT, which stop a node, and for
    /// SIGHUP, which makes a fleet's node reload its settings and has no
    /// effect on other nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in
            [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT]
        {
            signal_hook::flag::register(signal, Arc::clone(&stop))?;
        }
        let reload = Arc::new(AtomicBool::new(false));
        let hup = signal_hook::consts::SIGHUP;
        signal_hook::flag::register(hup, Arc::clone(&reload))?;
        Ok(Self { stop, reload })
    }

    /// Whether SIGHUP has arrived since the last call.
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Whether SIGTERM or SIGINT has arrived since the last call.
    #[must_use]
    pub fn take_stop(&self) -> bool {
        self.stop.swap(false, Ordering::Relaxed)
    }
}

/// Runs a node until it has stopped, and returns the exit status of the
/// process: 0 after a graceful stop, 1 after a forced one. A stop is forced by
/// a signal that arrives while the node is already stopping, or after
/// `STOP_TIMEOUT_MS`.
pub async fn until_stopped(shell: &Shell, signals: &Signals) -> i32 {
    let mut deadline = None;
    let forced = std::cell::Cell::new(false);
    let poll = |shell: &Shell| {
        let now = clock::now();
        let signal_again = signals.take_stop() && {
            let stopping = shell.is_stopping();
            shell.stop();
            stopping
        };
        if shell.is_stopping() {
            let limit = *deadline.get_or_insert(now.plus(STOP_TIMEOUT_MS));
            if signal_again || now >= limit {
                forced.set(true);
                shell.force_exit();
            }
        }
    };
    shell.run(poll).await;
    if forced.get() {
        slog::error!(shell.log(), "stop was forced";
            "requests" => shell.outstanding());
        return 1;
    }
    shell.flush(FLUSH_TIMEOUT_MS).await;
    slog::info!(shell.log(), "node has stopped");
    0
}
