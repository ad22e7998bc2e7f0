//! The daemon's command line.

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use mimalloc::MiMalloc;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};
use verbenad::{Daemon, Settings};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;
/// The exit code for a failure while running.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(BAD_SETTINGS);
    };
    let daemon = match start(path) {
        Ok(started) => started,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match wait(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(FAILED)
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
                .help("The settings of this instance"),
        )
        .after_help("Exit codes: 0 after a graceful stop, 1 for a failure, 2 for bad settings.")
}

/// Settings that cannot be used.
#[derive(Debug)]
struct BadSettings;

impl std::fmt::Display for BadSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the daemon cannot start with these settings")
    }
}

impl std::error::Error for BadSettings {}

fn start(path: &Path) -> Result<Daemon, Report<BadSettings>> {
    let text = std::fs::read_to_string(path)
        .attach_with(|| format!("{}: expected a file that can be read", path.display()))
        .change_context(BadSettings)?;
    let settings =
        Settings::from_ini(&path.display().to_string(), &text).change_context(BadSettings)?;
    telemetry::init_logs(&settings.log.level, settings.log.format).change_context(BadSettings)?;
    let daemon = Daemon::start(&settings)
        .attach_with(|| path.display().to_string())
        .change_context(BadSettings)?;
    Ok(daemon)
}

/// Waits for a signal to stop, then stops gracefully.
fn wait(daemon: Daemon) -> std::io::Result<()> {
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
