//! The router process beside each upstream.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lagoondyke_core::settings::Settings;
use lagoondyke_node::logs;
use lagoondyke_node::run::{
    Signals, Sockets, raise_descriptor_limit, start, until_stopped,
};
use lagoondyke_node::serve::Limits;
use monoio::{LegacyDriver, RuntimeBuilder};

/// Routes requests to the owner of their key, beside one upstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file of the node (JSON with comments)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings file and exit
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(error: &str) -> ExitCode {
    eprintln!("lagoondyked: {error}");
    ExitCode::FAILURE
}

fn load(file: &PathBuf) -> Result<Settings, String> {
    let text = std::fs::read(file)
        .map_err(|error| format!("{}: {error}", file.display()))?;
    Settings::parse(text)
        .map_err(|error| format!("{}: {error}", file.display()))
}

fn serve(mut settings: Settings) -> std::io::Result<i32> {
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
