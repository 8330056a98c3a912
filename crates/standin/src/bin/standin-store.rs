//! The program `standin-store`: an in-memory object store.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use monoio::net::TcpListener;

/// Runs an in-memory object store for tests.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Seed of the spread of delays
    #[bpaf(argument("N"), fallback(0))]
    seed: u64,
}

fn main() -> ExitCode {
    let options = options().run();
    let result = lagoondyke_standin::block_on(async {
        let listener = TcpListener::bind(options.listen)?;
        lagoondyke_standin::store::run(listener, options.seed).await
    });
    if let Err(e) = result {
        eprintln!("standin-store: {}: {e}", options.listen);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
