//! `verbena-soak`, the command line of the soak test.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use soak::{MAX_RECOVERY_S, Options, Report, run, seed_dir};

/// The exit code when a rule was broken.
const EXIT_RULE_BROKEN: u8 = 3;
/// The exit code when a run could not be carried out.
const EXIT_RUN_FAILED: u8 = 1;
/// The number of callers of each daemon in a run of faults.
const DEFAULT_CALLERS: u64 = 4;
/// The number of callers of each daemon in a run of planned stops: more than servers have room for.
const OVERLOAD_CALLERS: u64 = 48;
/// The least number of servers with which each service has one.
const MIN_SERVERS: u64 = 3;
/// The maximum number of servers, each of which has a link of each daemon.
const MAX_SERVERS: u64 = 256;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(async {
            // On a signal, dropping the run kills the daemons that it started.
            let mut terminate = signal(SignalKind::terminate())?;
            tokio::select! {
                result = dispatch(&matches) => result,
                _ = terminate.recv() => Err("stopped by a signal".into()),
                _ = tokio::signal::ctrl_c() => Err("stopped by a signal".into()),
            }
        }),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("verbena-soak: {error}");
            ExitCode::from(EXIT_RUN_FAILED)
        }
    }
}

fn command() -> Command {
    let out = Arg::new("out")
        .long("out")
        .value_name("DIR")
        .default_value("target/soak")
        .value_parser(value_parser!(PathBuf))
        .help("The folder for logs and reports of seeds");
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let previous = Arg::new("previous")
        .long("previous")
        .value_name("PATH")
        .value_parser(parse_program)
        .help("Starts with this earlier verbena-edge, then replaces it daemon by daemon");
    Command::new("verbena-soak")
        .about("Runs real daemons while faults are injected around them")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs one or more seeds")
                .arg(out.clone())
                .arg(number("seed", "1", "The first seed"))
                .arg(number("seeds", "1", "The number of seeds to run, one after the other"))
                .arg(number("for", "30", "How long faults are injected, in seconds"))
                .arg(
                    number("recover", "15", "How long service has to recover, in seconds")
                        .value_parser(value_parser!(u64).range(..=MAX_RECOVERY_S)),
                )
                .arg(previous.clone())
                .arg(number("daemons", "4", "The number of daemons"))
                .arg(
                    Arg::new("callers")
                        .long("callers")
                        .value_name("N")
                        .value_parser(value_parser!(u64))
                        .help("The number of callers of each daemon [default: 4, or 48 with --planned-stops]"),
                )
                .arg(
                    Arg::new("servers")
                        .long("servers")
                        .value_name("N")
                        .value_parser(value_parser!(u64).range(MIN_SERVERS..=MAX_SERVERS))
                        .conflicts_with("planned-stops")
                        .help("The number of servers; --own-links adds four [default: 3 more than daemons, at least 7]"),
                )
                .arg(
                    Arg::new("planned-stops")
                        .long("planned-stops")
                        .action(ArgAction::SetTrue)
                        .conflicts_with_all(["own-links", "previous"])
                        .help("Stops daemons under overload instead of injecting faults"),
                )
                .arg(
                    Arg::new("keep")
                        .long("keep")
                        .action(ArgAction::SetTrue)
                        .help("Keeps the logs of all seeds, not only of failed ones"),
                )
                .arg(
                    Arg::new("safety-only")
                        .long("safety-only")
                        .action(ArgAction::SetTrue)
                        .help("Does not check how soon service recovers"),
                )
                .arg(
                    Arg::new("queue-grants")
                        .long("queue-grants")
                        .action(ArgAction::SetTrue)
                        .conflicts_with("planned-stops")
                        .help("Has all servers queue grants and leave some unanswered throughout"),
                )
                .arg(
                    Arg::new("own-links")
                        .long("own-links")
                        .action(ArgAction::SetTrue)
                        .help("Gives each daemon links of its own to the servers; they fail too"),
                ),
        )
        .subcommand(
            Command::new("replay")
                .about("Runs a seed again with the options in its folder")
                .arg(Arg::new("folder").required(true).value_parser(value_parser!(PathBuf)))
                .arg(previous.help("The earlier verbena-edge of an upgrade, if it was moved")),
        )
        .subcommand(Command::new("list").about("Prints the reports in the output folder").arg(out))
        .after_help("Exit codes: 0 if no rule was broken, 3 if one was, 1 if a run failed.")
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    match matches.subcommand() {
        Some(("run", matches)) => run_seeds(matches).await,
        Some(("replay", matches)) => {
            let dir = get_arg::<PathBuf>(matches, "folder")?;
            let text = std::fs::read(dir.join("options.json"))?;
            let mut options: Options = serde_json::from_slice(&text)?;
            options.previous = matches.get_one("previous").cloned().or(options.previous);
            let report = run(options, &daemon_program()?, &dir).await?;
            Ok(write_report(&report, &dir)?)
        }
        Some(("list", matches)) => list(&get_arg::<PathBuf>(matches, "out")?),
        _ => Err("unknown command, expected run, replay or list".into()),
    }
}

async fn run_seeds(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let out = get_arg::<PathBuf>(matches, "out")?;
    let first = get_arg::<u64>(matches, "seed")?;
    let planned_stops = matches.get_flag("planned-stops");
    let default_callers = if planned_stops { OVERLOAD_CALLERS } else { DEFAULT_CALLERS };
    let callers = matches.get_one("callers").copied().unwrap_or(default_callers);
    let mut code = ExitCode::SUCCESS;
    for seed in first..first + get_arg::<u64>(matches, "seeds")? {
        let options = Options {
            seed,
            for_s: get_arg::<u64>(matches, "for")?,
            daemons: usize::try_from(get_arg::<u64>(matches, "daemons")?.max(1))?,
            callers: usize::try_from(callers)?,
            checks_recovery: !matches.get_flag("safety-only"),
            planned_stops,
            own_links: matches.get_flag("own-links"),
            queues_grants: matches.get_flag("queue-grants"),
            servers: matches.get_one::<u64>("servers").copied().map(usize::try_from).transpose()?,
            recovery_s: get_arg::<u64>(matches, "recover")?,
            previous: matches.get_one("previous").cloned(),
        };
        let dir = seed_dir(&out, seed);
        if dir.exists() {
            std::fs::remove_dir_all(&dir)?;
        }
        let report = run(options, &daemon_program()?, &dir).await?;
        if !report.broken.is_empty() {
            code = ExitCode::from(EXIT_RULE_BROKEN);
        }
        write_report(&report, &dir)?;
        if report.broken.is_empty() && !matches.get_flag("keep") {
            std::fs::remove_dir_all(&dir)?;
        }
    }
    Ok(code)
}

/// Prints the report, writes it to the folder, and returns the exit code.
fn write_report(report: &Report, dir: &Path) -> Result<ExitCode, BoxError> {
    println!("{}", serde_json::to_string(report)?);
    std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(report)?)?;
    let has_passed = report.broken.is_empty();
    Ok(if has_passed { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) })
}

/// Prints the reports of all seeds in the output folder.
fn list(out: &Path) -> Result<ExitCode, BoxError> {
    for entry in std::fs::read_dir(out)? {
        let report = entry?.path().join("report.json");
        if let Ok(text) = std::fs::read_to_string(&report) {
            println!("{}: {text}", report.display());
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the path of the daemon's program, which is built into the same folder as this one.
fn daemon_program() -> Result<PathBuf, BoxError> {
    let program = std::env::current_exe()?.with_file_name("verbena-edge");
    if program.exists() {
        return Ok(program);
    }
    Err(format!("{} is missing, expected it from a build of the platform crate", program.display())
        .into())
}

/// Returns the absolute path of a program, which a replay from another folder finds too.
fn parse_program(path: &str) -> Result<PathBuf, String> {
    let absolute = Path::new(path).canonicalize().map_err(|error| error.to_string())?;
    if absolute.is_file() { Ok(absolute) } else { Err("expected a program".to_owned()) }
}

/// Returns the value of an argument.
fn get_arg<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T, BoxError> {
    matches
        .get_one::<T>(name)
        .cloned()
        .ok_or_else(|| format!("argument {name} is missing, expected a value").into())
}
