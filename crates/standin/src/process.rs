//! Programs started by tests and experiments.

use std::ffi::OsStr;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two attempts to connect to a starting program.
const POLL: Duration = Duration::from_millis(5);

/// A running program, killed when the value is dropped or when the thread
/// that started it ends.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program at `path` and waits until `addr` accepts
    /// connections. Its output goes to this process's standard error if the
    /// variable `LAGOONDYKE_OUTPUT` is set, and nowhere otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if another program listens on `addr` already, or if
    /// the program cannot be started, ends early or does not accept
    /// connections within `limit`.
    pub fn start<S: AsRef<OsStr>>(
        path: &Path,
        args: impl IntoIterator<Item = S>,
        addr: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        // Otherwise the other program would be taken for this one.
        if TcpStream::connect_timeout(&addr, limit).is_ok() {
            let text = format!("{}: {addr} is in use", path.display());
            return Err(io::Error::new(io::ErrorKind::AddrInUse, text));
        }
        let mut command = Command::new(path);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null());
        if std::env::var_os("LAGOONDYKE_OUTPUT").is_none() {
            command.stderr(Stdio::null());
        }
        die_with_parent(&mut command);
        let forking = lock_sockets();
        let child = command.spawn().map_err(|e| {
            io::Error::new(e.kind(), format!("{}: {e}", path.display()))
        })?;
        drop(forking);
        let mut process = Self { child };
        process.wait_port(path, addr, limit)?;
        Ok(process)
    }

    fn wait_port(
        &mut self,
        path: &Path,
        addr: SocketAddr,
        limit: Duration,
    ) -> io::Result<()> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "{} ended at start: {status}",
                    path.display()
                )));
            }
            if TcpStream::connect_timeout(&addr, limit).is_ok() {
                return Ok(());
            }
            if start.elapsed() > limit {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{} does not accept {addr}", path.display()),
                ));
            }
            std::thread::sleep(POLL);
        }
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without warning and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Freezes the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn stop(&mut self) -> io::Result<()> {
        self.signal(libc::SIGSTOP)
    }

    /// Resumes a frozen process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(libc::SIGCONT)
    }

    /// Asks the process to end (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(libc::SIGTERM)
    }

    /// The exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    fn signal(&mut self, signal: libc::c_int) -> io::Result<()> {
        // A reaped process id may belong to another process by now.
        if self.child.try_wait()?.is_some() {
            return Err(io::Error::other("the process has ended"));
        }
        let id = self.child.id().cast_signed();
        // SAFETY: the call takes no pointers; the id is of our own child,
        // which is not reaped before this call.
        let code = unsafe { libc::kill(id, signal) };
        if code == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    }
}

/// Has the kernel kill the program when the thread that started it ends, so
/// that a killed test leaves nothing running.
fn die_with_parent(command: &mut Command) {
    let hook = || {
        // SAFETY: prctl with PR_SET_PDEATHSIG takes no pointers.
        let code =
            unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
        if code == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    };
    // SAFETY: the hook only makes one async-signal-safe system call.
    unsafe {
        command.pre_exec(hook);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// First port that [`free_addr`] gives out. The kernel takes the ports of
/// outgoing connections from 32768 up: a port from there may be taken again
/// before its program starts, or connect to itself.
const PORT_FIRST: u16 = 16_000;

/// Number of ports that [`free_addr`] gives out.
const PORT_COUNT: u16 = 16_000;

/// Ports given out by this process.
static PORTS: AtomicU16 = AtomicU16::new(0);

/// Held while a socket is open that no child may inherit, and while a child
/// is forked: it keeps all descriptors until it execs.
static SOCKETS: Mutex<()> = Mutex::new(());

fn lock_sockets() -> MutexGuard<'static, ()> {
    // The mutex guards no data that a panic could leave half changed.
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A loopback address with a port that was free for TCP and UDP a moment
/// ago. No port is given out twice by one process, until all have been.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_addr() -> io::Result<SocketAddr> {
    // Processes that run at the same time start far from each other.
    let offset = (std::process::id().wrapping_mul(977)) as u16;
    let _probing = lock_sockets();
    for _ in 0..PORT_COUNT {
        let number = PORTS.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + offset.wrapping_add(number) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
}
