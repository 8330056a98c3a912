//! The router process that runs beside each upstream.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use bpaf::Bpaf;
use lagoondyke_core::fleet;
use lagoondyke_core::settings::Settings;
use lagoondyke_node::fleet::run;
use lagoondyke_node::fleet::shell::Ports;
use lagoondyke_node::logs;
use lagoondyke_node::run::{
    Signals, Sockets, raise_descriptor_limit, start, until_stopped,
};
use lagoondyke_node::serve::Limits;
use lagoondyke_platform::dialect::PlatformDialect;
use lagoondyke_platform::store::PlatformStore;
use monoio::{LegacyDriver, RuntimeBuilder};

/// Routes requests to the owner of their key, beside one upstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    #[bpaf(external)]
    mode: Mode,
    /// Check the settings file and exit
    check: bool,
}

/// What the node is part of.
#[derive(Bpaf, Clone, Debug)]
enum Mode {
    /// A group of nodes that elect a leader
    Group {
        /// Settings file of the node (JSON with comments)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// A fleet whose shared state lives in the platform's store
    Fleet {
        /// Settings file of a node on the platform (JSON with comments)
        #[bpaf(argument("FILE"))]
        fleet: PathBuf,
    },
}

fn main() -> ExitCode {
    let options = options().run();
    let result = match options.mode {
        Mode::Group { settings } => match load(&settings, Settings::parse) {
            Ok(_) if options.check => return ExitCode::SUCCESS,
            Ok(settings) => serve_group(settings),
            Err(error) => return fail(&error),
        },
        Mode::Fleet { fleet: file } => {
            match load(&file, fleet::settings::Settings::parse) {
                Ok(_) if options.check => return ExitCode::SUCCESS,
                Ok(settings) => serve_fleet(settings, &file),
                Err(error) => return fail(&error),
            }
        }
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => fail(&error.to_string()),
    }
}

/// Prints an error and returns the exit status of a failure.
fn fail(error: &str) -> ExitCode {
    eprintln!("lagoondyked: {error}");
    ExitCode::FAILURE
}

/// Reads and parses a settings file. Errors name the file.
fn load<T, E: Display>(
    file: &Path,
    parse: impl Fn(Vec<u8>) -> Result<T, E>,
) -> Result<T, String> {
    let text = std::fs::read(file)
        .map_err(|error| format!("{}: {error}", file.display()))?;
    parse(text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Runs a node of a fleet until it has stopped.
fn serve_fleet(
    settings: fleet::settings::Settings,
    file: &Path,
) -> std::io::Result<i32> {
    raise_descriptor_limit();
    let signals = Signals::new()?;
    let (log, _guard) = logs::logger(&settings.log);
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async move {
        let ports = Ports {
            store: Rc::new(PlatformStore::new(settings.store)),
            dialect: Rc::new(PlatformDialect),
        };
        let shell = run::start(settings, ports, log)?;
        run::until_stopped(&shell, &signals, file).await;
        Ok(0)
    })
}

/// Runs a node of a group until it has stopped; returns its exit status.
fn serve_group(mut settings: Settings) -> std::io::Result<i32> {
    raise_descriptor_limit();
    let signals = Signals::new()?;
    let (log, _guard) = logs::logger(&settings.log);
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async move {
        let sockets = Sockets::bind(&mut settings)?;
        let shell = start(settings, sockets, log, Limits::default())?;
        Ok(until_stopped(&shell, &signals).await)
    })
}
