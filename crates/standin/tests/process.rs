//! Addresses for programs that tests start.

use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use lagoondyke_standin::process::{Process, free_addr};

/// Addresses that are tried while programs are started.
const ADDRS: usize = 10_000;

/// Threads that start programs.
const STARTERS: u16 = 4;

/// Guards against an address that is in use before its program starts: a
/// process that another test forks keeps all descriptors until it execs.
#[test]
fn a_free_address_stays_free_while_programs_start() {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..STARTERS {
            let done = &done;
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    start_and_end(number);
                }
            });
        }
        for _ in 0..ADDRS {
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

/// Starts a program that ends at once.
fn start_and_end(number: u16) {
    // Below the ports that are given out.
    let addr = SocketAddr::from(([127, 0, 0, 1], 15_000 + number));
    let none: [&str; 0] = [];
    let limit = Duration::from_secs(10);
    let started = Process::start(Path::new("/bin/true"), none, addr, limit);
    assert!(started.is_err(), "true accepts no connections");
}
