//! The command line of the daemon, `verbenad`.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use mimalloc::MiMalloc;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};
use verbenad::{Daemon, Settings};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The exit code if the daemon cannot start with its settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// The exit code for a failure after the start.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_BAD_SETTINGS);
    };
    let daemon = match start(path) {
        Ok(daemon) => daemon,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run_until_signal(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn command() -> Command {
    Command::new("verbenad")
        .about("Routes requests to the servers that own their keys")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE.ini")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file of this instance"),
        )
        .after_help("Exit codes: 0 after a graceful stop, 1 for a failure, 2 for bad settings.")
}

/// The daemon cannot start; attachments name the settings file.
#[derive(Debug)]
struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the daemon cannot start with these settings")
    }
}

impl std::error::Error for StartError {}

fn start(path: &Path) -> Result<Daemon, Report<StartError>> {
    let text = std::fs::read_to_string(path)
        .attach_with(|| format!("cannot read {}, expected a readable file", path.display()))
        .change_context(StartError)?;
    let settings =
        Settings::from_ini(&path.display().to_string(), &text).change_context(StartError)?;
    telemetry::init_logs(&settings.log.level, settings.log.format).change_context(StartError)?;
    let daemon = Daemon::start(&settings)
        .attach_with(|| path.display().to_string())
        .change_context(StartError)?;
    Ok(daemon)
}

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
fn run_until_signal(daemon: Daemon) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}
