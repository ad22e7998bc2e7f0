//! The command line of the soak.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use soak::{Options, Report, folder, run};

/// The exit code when something was broken.
const BROKEN: u8 = 3;
/// The exit code for a run that could not be made.
const FAILED: u8 = 1;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(async {
            // Processes that were started end with this one, also when it is told to stop.
            let mut terminate = signal(SignalKind::terminate())?;
            tokio::select! {
                result = dispatch(&matches) => result,
                _ = terminate.recv() => Err("told to stop".into()),
                _ = tokio::signal::ctrl_c() => Err("told to stop".into()),
            }
        }),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("verbena-soak: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn command() -> Command {
    let out = Arg::new("out")
        .long("out")
        .value_name("DIR")
        .default_value("target/soak")
        .value_parser(value_parser!(PathBuf))
        .help("Where seeds leave their logs");
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("verbena-soak")
        .about("Runs the real programs while everything around them goes wrong")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs one seed or several")
                .arg(out.clone())
                .arg(number("seed", "1", "The first seed"))
                .arg(number("seeds", "1", "How many seeds, one after the other"))
                .arg(number("for", "30", "How long faults come, in seconds"))
                .arg(number("daemons", "4", "How many daemons"))
                .arg(number("callers", "4", "How many callers each daemon has"))
                .arg(
                    Arg::new("keep")
                        .long("keep")
                        .action(ArgAction::SetTrue)
                        .help("Keeps the logs of seeds that broke nothing, too"),
                )
                .arg(
                    Arg::new("safety-only")
                        .long("safety-only")
                        .action(ArgAction::SetTrue)
                        .help("Does not check how soon service is back"),
                ),
        )
        .subcommand(
            Command::new("replay")
                .about("Runs a seed again as a folder has it")
                .arg(Arg::new("folder").required(true).value_parser(value_parser!(PathBuf))),
        )
        .subcommand(Command::new("list").about("Lists the seeds that failed").arg(out))
        .after_help("Exit codes: 0 if nothing was broken, 3 if something was, 1 for a failure.")
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    match matches.subcommand() {
        Some(("run", matches)) => run_seeds(matches).await,
        Some(("replay", matches)) => {
            let dir = get::<PathBuf>(matches, "folder")?;
            let text = std::fs::read(dir.join("options.json"))?;
            let report = run(serde_json::from_slice(&text)?, &program()?, &dir).await?;
            Ok(tell(&report, &dir)?)
        }
        Some(("list", matches)) => list(&get::<PathBuf>(matches, "out")?),
        _ => Err("expected run, replay or list".into()),
    }
}

async fn run_seeds(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let out = get::<PathBuf>(matches, "out")?;
    let first = get::<u64>(matches, "seed")?;
    let mut code = ExitCode::SUCCESS;
    for seed in first..first + get::<u64>(matches, "seeds")? {
        let options = Options {
            seed,
            for_s: get::<u64>(matches, "for")?,
            daemons: usize::try_from(get::<u64>(matches, "daemons")?.max(1))?,
            callers: usize::try_from(get::<u64>(matches, "callers")?)?,
            checks_recovery: !matches.get_flag("safety-only"),
        };
        let dir = folder(&out, seed);
        if dir.exists() {
            std::fs::remove_dir_all(&dir)?;
        }
        let report = run(options, &program()?, &dir).await?;
        if !report.broken.is_empty() {
            code = ExitCode::from(BROKEN);
        }
        tell(&report, &dir)?;
        if report.broken.is_empty() && !matches.get_flag("keep") {
            std::fs::remove_dir_all(&dir)?;
        }
    }
    Ok(code)
}

fn tell(report: &Report, dir: &Path) -> Result<ExitCode, Failure> {
    println!("{}", serde_json::to_string(report)?);
    std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(report)?)?;
    let is_whole = report.broken.is_empty();
    Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) })
}

fn list(out: &Path) -> Result<ExitCode, Failure> {
    for entry in std::fs::read_dir(out)? {
        let report = entry?.path().join("report.json");
        if let Ok(text) = std::fs::read_to_string(&report) {
            println!("{}: {text}", report.display());
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the daemon's program, which is built beside this one.
fn program() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe()?.with_file_name("verbena-edge");
    if program.exists() {
        return Ok(program);
    }
    Err(format!("{} is missing, expected a build of the platform crate", program.display()).into())
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T, Failure> {
    matches.get_one::<T>(name).cloned().ok_or_else(|| format!("--{name} is missing").into())
}
