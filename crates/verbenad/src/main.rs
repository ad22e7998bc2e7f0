//! The command line of the daemon, `verbenad`.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use mimalloc::MiMalloc;
use spdlog::{error, warn};
use std::path::{Path, PathBuf};
use tokio::signal::unix::{Signal, SignalKind, signal};
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
    match run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(RunError::Start(report)) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
        Err(RunError::Signals(error)) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
        Err(RunError::Ended) => ExitCode::from(EXIT_FAILURE),
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

/// Why the process ends with a failure.
enum RunError {
    /// The daemon cannot start.
    Start(Report<StartError>),
    /// Signals cannot be received.
    Signals(std::io::Error),
    /// A thread or task has ended that the daemon cannot do without.
    Ended,
}

/// The signals that the process handles; others keep their default effect.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn receive() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                // By default, SIGHUP ends a process at once.
                _ = self.hangup.recv() => warn!("settings are read only at the start"),
            }
        }
    }
}

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

/// Runs the daemon until SIGTERM, SIGINT or the end of one of its threads, then stops it gracefully.
///
/// Signals are received before the daemon accepts callers. Later ones do not shorten the stop.
fn run(path: &Path) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(RunError::Signals)?.block_on(async {
        let mut signals = Signals::receive().map_err(RunError::Signals)?;
        let daemon = start(path).map_err(RunError::Start)?;
        let result = tokio::select! {
            () = signals.wait_for_stop() => Ok(()),
            () = daemon.ended() => {
                error!("a thread ended, stopping the process");
                Err(RunError::Ended)
            }
        };
        daemon.stop().await;
        result
    })
}
