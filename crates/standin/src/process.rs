//! Child processes of tests and experiments, and free ports for them.

use std::ffi::OsStr;
use std::fs::File;
use std::io::{self, Read, Seek};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two attempts to connect to a starting program.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process. It is killed when the value is dropped or when the thread
/// that started it ends.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program at `path` and waits until `addr` accepts
    /// connections. Its standard output is discarded. Its standard error goes
    /// to that of this process if the environment variable `LAGOONDYKE_OUTPUT`
    /// is set; otherwise it is only shown in the error of a program that ends
    /// early.
    ///
    /// # Errors
    ///
    /// Returns an error if another program listens on `addr` already, or if
    /// the program cannot be started, ends early or does not accept
    /// connections within `timeout`.
    pub fn start<S: AsRef<OsStr>>(
        path: &Path,
        args: impl IntoIterator<Item = S>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Self> {
        // A program that already listens there would be mistaken for the one
        // started below.
        if TcpStream::connect_timeout(&addr, timeout).is_ok() {
            let text = format!("{}: {addr} is already in use", path.display());
            return Err(io::Error::new(io::ErrorKind::AddrInUse, text));
        }
        let mut command = Command::new(path);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null());
        // A file rather than a pipe: a program is not blocked when nobody
        // reads what it writes.
        let mut stderr = None;
        if std::env::var_os("LAGOONDYKE_OUTPUT").is_none() {
            let file = memory_file()?;
            command.stderr(file.try_clone()?);
            stderr = Some(file);
        }
        set_death_signal(&mut command);
        let fork_guard = lock_forks();
        let child = command.spawn().map_err(|e| {
            io::Error::new(e.kind(), format!("{}: {e}", path.display()))
        })?;
        drop(fork_guard);
        let mut process = Self { child };
        process.wait_for_port(path, addr, timeout, stderr)?;
        Ok(process)
    }

    fn wait_for_port(
        &mut self,
        path: &Path,
        addr: SocketAddr,
        timeout: Duration,
        stderr: Option<File>,
    ) -> io::Result<()> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                let output = stderr.map_or(Ok(String::new()), read_all)?;
                return Err(io::Error::other(format!(
                    "{} exited before it accepted connections: {status} {}",
                    path.display(),
                    output.trim_end()
                )));
            }
            if TcpStream::connect_timeout(&addr, timeout).is_ok() {
                return Ok(());
            }
            if start.elapsed() > timeout {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!(
                        "{} does not accept connections on {addr}",
                        path.display()
                    ),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The operating system's process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Suspends the process (SIGSTOP) until [`Process::resume`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn suspend(&mut self) -> io::Result<()> {
        self.signal(libc::SIGSTOP)
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(libc::SIGCONT)
    }

    /// Asks the process to shut down (SIGTERM) and does not wait for it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(libc::SIGTERM)
    }

    /// The exit status, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    fn signal(&mut self, signal: libc::c_int) -> io::Result<()> {
        // Once the child has been reaped, its process id may belong to
        // another process.
        if self.child.try_wait()?.is_some() {
            return Err(io::Error::other("the process has ended"));
        }
        let pid = self.child.id().cast_signed();
        // SAFETY: the call takes no pointers; the id is that of our own
        // child, which is not reaped before this call.
        let code = unsafe { libc::kill(pid, signal) };
        if code == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    }
}

/// Creates an empty file in memory. No child inherits it unless it is passed
/// on.
fn memory_file() -> io::Result<File> {
    // SAFETY: the name is a valid C string, which the kernel copies.
    let fd =
        unsafe { libc::memfd_create(c"stderr".as_ptr(), libc::MFD_CLOEXEC) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just created and has no other owner.
    Ok(unsafe { File::from_raw_fd(fd) })
}

/// Reads a file from its beginning. Bytes that are not UTF-8 are replaced.
fn read_all(mut file: File) -> io::Result<String> {
    let mut bytes = Vec::new();
    file.rewind()?;
    file.read_to_end(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Has the kernel kill the child when the thread that started it ends, so
/// that a killed test leaves no processes behind.
fn set_death_signal(command: &mut Command) {
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

/// First port that [`free_addr`] returns. The kernel assigns ports from 32768
/// up to outgoing connections. It could assign a port of that range to such a
/// connection before the program that is to listen there has started, and a
/// client that connects to the port could be connected to itself.
const FIRST_PORT: u16 = 16_000;

/// Number of ports that [`free_addr`] returns one after the other.
const PORT_COUNT: u16 = 16_000;

/// Index, relative to the offset of this process, of the port that
/// [`free_addr`] tries next.
static NEXT_PORT_INDEX: AtomicU16 = AtomicU16::new(0);

/// Held while a child is forked, and while a socket is open that no child may
/// inherit. A forked child keeps all descriptors until it execs, so a port
/// that is bound at that moment would stay in use.
static FORK_LOCK: Mutex<()> = Mutex::new(());

fn lock_forks() -> MutexGuard<'static, ()> {
    // The mutex guards no data, so a panic while it was held does no harm.
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address whose port was free for TCP and UDP when it was
/// checked. Within a process, no port is returned again before all others
/// have been tried.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_addr() -> io::Result<SocketAddr> {
    let ip = Ipv4Addr::LOCALHOST;
    Ok(SocketAddr::from((ip, free_port(&[ip])?)))
}

/// Returns a port that was free for TCP and UDP on each of the given loopback
/// addresses when it was checked. The ports are those of [`free_addr`]: one
/// that this returns is not returned for other addresses either.
///
/// # Errors
///
/// Returns an error if no port is free on all addresses.
pub fn free_port(ips: &[Ipv4Addr]) -> io::Result<u16> {
    // Spread the first ports of processes that run at the same time, so that
    // they do not return the same ones.
    let offset = (std::process::id().wrapping_mul(977)) as u16;
    let _fork_guard = lock_forks();
    for _ in 0..PORT_COUNT {
        let index = NEXT_PORT_INDEX.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(index) % PORT_COUNT;
        let is_free = |ip: &Ipv4Addr| {
            let addr = (*ip, port);
            TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
}
