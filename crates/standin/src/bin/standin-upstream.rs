//! The program `standin-upstream`: a simulated upstream.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lagoondyke_standin::upstream::Options;
use monoio::net::TcpListener;

/// Runs an upstream for tests.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Name in answers; the address if absent
    #[bpaf(argument("NAME"))]
    name: Option<String>,
    /// Requests it runs at once
    #[bpaf(argument("N"), fallback(12))]
    slots: usize,
    /// Requests that may wait for a slot; twice the slots if absent
    #[bpaf(argument("N"))]
    queue: Option<usize>,
    /// Connections it keeps
    #[bpaf(argument("N"), fallback(100))]
    connections: usize,
    /// Cost of a new connection in milliseconds
    #[bpaf(argument("MS"), fallback(1))]
    connect_ms: u64,
    /// Mean service time in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    service_ms: u64,
    /// Length of a cold phase in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    cold_ms: u64,
    /// Slots during a cold phase
    #[bpaf(argument("N"), fallback(1))]
    cold_slots: usize,
    /// Check fences of requests
    fenced: bool,
    /// Check fences again when work ends
    zombie_check: bool,
    /// Exit on a request with this value of X-Crash
    #[bpaf(argument("MARK"))]
    crash_on: Option<String>,
    /// Seed of the spread of service times
    #[bpaf(argument("N"), fallback(0))]
    seed: u64,
    /// File that runs are appended to
    #[bpaf(argument("FILE"))]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    let a = arguments().run();
    let options = Options {
        name: a.name.unwrap_or_else(|| a.listen.to_string()),
        slots: a.slots,
        queue: a.queue.unwrap_or(a.slots * 2),
        connections: a.connections,
        connect_ms: a.connect_ms,
        service_ms: a.service_ms,
        cold_ms: a.cold_ms,
        cold_slots: a.cold_slots,
        fenced: a.fenced,
        recheck_fence: a.zombie_check,
        crash_on: a.crash_on,
        seed: a.seed,
        record: a.record,
    };
    let result = lagoondyke_standin::block_on(async {
        let listener = TcpListener::bind(a.listen)?;
        lagoondyke_standin::upstream::run(listener, options).await
    });
    if let Err(e) = result {
        eprintln!("standin-upstream: {}: {e}", a.listen);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
