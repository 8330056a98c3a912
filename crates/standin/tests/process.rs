//! Free addresses for the programs that tests start.

use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use lagoondyke_standin::process::{Process, free_addr};

/// Number of addresses that are checked while programs are started.
const ADDR_COUNT: usize = 10_000;

/// Number of threads that start programs.
const STARTER_COUNT: u16 = 4;

/// Guards against an address that is in use before its program starts. A
/// process that another thread forks inherits the socket that checks the
/// address and keeps it open until it execs.
#[test]
fn a_free_address_stays_free_while_programs_start() {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for index in 0..STARTER_COUNT {
            let done = &done;
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    start_short_lived(index);
                }
            });
        }
        for _ in 0..ADDR_COUNT {
            let addr = free_addr().expect("an address");
            let tcp = TcpStream::connect(addr).is_err();
            let udp = UdpSocket::bind(addr).is_ok();
            done.store(!tcp || !udp, Ordering::Relaxed);
            assert!(tcp, "{addr} accepts connections");
            assert!(udp, "{addr} is in use for UDP");
        }
        done.store(true, Ordering::Relaxed);
    });
}

/// Starts a program that exits at once.
fn start_short_lived(index: u16) {
    // Below the ports that `free_addr` returns.
    let addr = SocketAddr::from(([127, 0, 0, 1], 15_000 + index));
    let no_args: [&str; 0] = [];
    let timeout = Duration::from_secs(10);
    let started =
        Process::start(Path::new("/bin/true"), no_args, addr, timeout);
    assert!(started.is_err(), "true accepts no connections");
}

/// Guards against a start that fails without a trace of its cause.
#[test]
fn a_program_that_ends_early_leaves_its_error_message() {
    let addr = free_addr().expect("an address");
    let script = ["-c", "echo no such settings >&2; exit 3"];
    let timeout = Duration::from_secs(10);
    let error = Process::start(Path::new("/bin/sh"), script, addr, timeout)
        .expect_err("the program ends")
        .to_string();
    assert!(error.contains("no such settings"), "{error}");
    assert!(error.contains("exit status: 3"), "{error}");
}
