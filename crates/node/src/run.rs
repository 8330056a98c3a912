//! Starting a node: sockets, adapters, signals.

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
use crate::control::Udp;
use crate::metrics::Metrics;
use crate::peer_server;
use crate::peers::TcpPeers;
use crate::serve::{self, Limits};
use crate::shell::{Ports, Records, Shell};
use crate::store::HttpStore;
use crate::trace::Tracer;
use crate::upstream::HttpUpstream;

/// Pause after a failed accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time for a graceful stop before the process ends regardless.
const STOP_LIMIT: u64 = 30_000;

/// Time for the last answers to be written after the reducer has ended.
const FLUSH_LIMIT: u64 = 2_000;

/// The sockets of a node, bound but not served yet.
#[derive(Debug)]
pub struct Sockets {
    /// Control datagrams.
    pub control: std::net::UdpSocket,
    /// Peer frames.
    pub peers: TcpListener,
    /// Callers and operators.
    pub callers: TcpListener,
}

impl Sockets {
    /// Binds the addresses of `settings`, and writes back the ports that
    /// were chosen for port 0. No address is shared with another process:
    /// one that is still bound means that its node still runs.
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

/// Accepts a connection; waits where accepting fails.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Raises the number of descriptors that the process may open to what the
/// system allows. Callers alone can take the usual limit of 1,024.
pub fn raise_descriptor_limit() {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: `limit` is a valid `rlimit` that outlives both calls. Where
    // they fail, accepting waits while there are too many connections.
    unsafe {
        if libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) == 0 {
            limit.rlim_cur = limit.rlim_max;
            libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit);
        }
    }
}

/// Starts to serve; the caller then drives [`Shell::run`].
///
/// # Errors
///
/// Returns an error if a socket cannot be registered with the driver.
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
    let control = Rc::new(Udp::new(sockets.control, Rc::clone(&metrics))?);
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
    let records = Records { log, metrics, tracer };
    let shell = Shell::new(settings, node, ports, records);
    control.listen(&shell);
    peer_server::listen(sockets.peers, &shell, limits);
    serve::listen(sockets.callers, &shell, limits);
    Ok(shell)
}

/// The signals of the process.
#[derive(Clone, Debug)]
pub struct Signals {
    flag: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Starts to note SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in
            [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT]
        {
            signal_hook::flag::register(signal, Arc::clone(&flag))?;
        }
        let reload = Arc::new(AtomicBool::new(false));
        let hup = signal_hook::consts::SIGHUP;
        signal_hook::flag::register(hup, Arc::clone(&reload))?;
        Ok(Self { flag, reload })
    }

    /// Whether SIGHUP has arrived since the last call.
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Whether a stop signal has arrived since the last call.
    #[must_use]
    pub fn take(&self) -> bool {
        self.flag.swap(false, Ordering::Relaxed)
    }
}

/// Runs a node until it has stopped; the result is the process's status.
pub async fn until_stopped(shell: &Shell, signals: &Signals) -> i32 {
    let mut stop_at = None;
    let forced = std::cell::Cell::new(false);
    let watch = |shell: &Shell| {
        let now = clock::now();
        let again = signals.take() && {
            let stopping = shell.is_stopping();
            shell.stop();
            stopping
        };
        if shell.is_stopping() {
            let limit = *stop_at.get_or_insert(now.plus(STOP_LIMIT));
            if again || now >= limit {
                forced.set(true);
                shell.abandon();
            }
        }
    };
    shell.run(watch).await;
    if forced.get() {
        slog::error!(shell.log(), "stop was forced";
            "requests" => shell.outstanding());
        return 1;
    }
    shell.flush(FLUSH_LIMIT).await;
    slog::info!(shell.log(), "node has stopped");
    0
}
