//! Entry point of the `lagoondyke` command.

use std::process::ExitCode;

use lagoondyke_cli::environment::Environment;
use lagoondyke_cli::http::{Clock, HttpNodes, HttpStore};
use lagoondyke_cli::{args, run};

fn main() -> ExitCode {
    let command = match args::options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return args::report(&failure),
    };
    let store = command.store().map(HttpStore::new);
    let env = Environment {
        store: store.as_ref().map(|s| s as _),
        nodes: &HttpNodes,
        timer: &Clock::start(),
    };
    match run(&command, &env, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("lagoondyke: {failure}");
            ExitCode::from(failure.exit as u8)
        }
    }
}
