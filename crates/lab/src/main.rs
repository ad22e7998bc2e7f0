//! `verbena-lab`, the command line of the stand-ins, the load generator and the measurements.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use document::Name;
use indicatif::{ProgressBar, ProgressStyle};
use lab::{
    Association, Load, LoadOptions, MoveOptions, RuleChecker, StandIn, StandInConfig, Targets,
    f64_from_u64, measure_cost, measure_failover, measure_overload, measure_placement,
    measure_slopes, plot, run_move, serve_store,
};
use mimalloc::MiMalloc;
use store::{Faults, MemoryStore};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

type BoxError = Box<dyn std::error::Error>;

/// The exit code for a run in which a rule was broken.
const EXIT_RULE_BROKEN: u8 = 3;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.map_err(BoxError::from).and_then(|runtime| {
        runtime.block_on(async {
            match matches.subcommand() {
                Some(("store", matches)) => run_store(matches).await,
                Some(("upstream", matches)) => run_upstream(matches).await,
                Some(("load", matches)) => run_load(matches).await,
                Some(("move", matches)) => run_server_move(matches).await,
                Some(("measure", matches)) => run_measure(matches).await,
                _ => Ok(ExitCode::FAILURE),
            }
        })
    });
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("verbena-lab")
        .about("Stand-ins, load and measurements for verbenadrift")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("error")
                .value_parser(["debug", "info", "warn", "error"])
                .global(true)
                .help("Log level of the daemons in this process"),
        )
        .subcommand(store_command())
        .subcommand(upstream_command())
        .subcommand(load_command())
        .subcommand(move_command())
        .subcommand(measure_command())
        .after_help("Exit codes: 0 for success, 3 when a rule was broken, 1 for other errors.")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on")
}

fn text_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

fn store_command() -> Command {
    Command::new("store")
        .about("Stands in for the platform's key-value service")
        .arg(listen_arg())
        .arg(number_arg("delay-ms", "0", "Delay of every answer in milliseconds"))
        .arg(number_arg("lose-reply-every", "0", "Lose the reply to every N-th write; 0 for none"))
        .arg(number_arg("writes-per-s", "0", "Maximum number of writes per second; 0 for no limit"))
        .arg(number_arg("reads-per-s", "0", "Maximum number of reads per second; 0 for no limit"))
}

fn upstream_command() -> Command {
    Command::new("upstream")
        .about("Stands in for a server")
        .arg(listen_arg())
        .arg(text_arg("name", "Name of the server in the document").required(true))
        .arg(text_arg("service", "Service that the server belongs to").required(true))
        .arg(
            Arg::new("pooled")
                .long("pooled")
                .action(ArgAction::SetTrue)
                .help("The server owns no keys"),
        )
        .arg(
            Arg::new("no-fence")
                .long("no-fence")
                .action(ArgAction::SetTrue)
                .help("The server does not check fence epochs"),
        )
        .arg(number_arg("slots", "4", "Maximum number of requests that run at once"))
        .arg(number_arg("connections", "120", "Maximum number of connections"))
        .arg(number_arg("run-ms", "2", "Duration of a request in milliseconds"))
        .arg(number_arg(
            "cold-ms",
            "50",
            "Extra duration of the first request of a cold shard in milliseconds",
        ))
        .arg(number_arg("prepare-ms", "40", "Time to prepare a shard in milliseconds"))
}

fn load_command() -> Command {
    Command::new("load")
        .about("Sends open-loop load to daemons")
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("ADDRESS")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses on which the daemons accept callers"),
        )
        .arg(text_arg("keyed", "Keyed service to send requests to"))
        .arg(text_arg("pooled", "Pooled service to send requests to"))
        .arg(number_arg("rate", "500", "Requests per second"))
        .arg(number_arg("duration", "10", "Seconds for which load is sent"))
        .arg(number_arg("keys", "10000", "Number of keys"))
        .arg(skew_arg())
        .arg(number_arg("seed", "1", "Seed of the random choices"))
        .arg(json_file_arg())
}

fn move_command() -> Command {
    Command::new("move")
        .about("Replaces three quarters of the servers under load, in one process")
        .arg(number_arg("duration", "12", "Seconds for which load is sent"))
        .arg(number_arg("rate", "1200", "Requests per second"))
        .arg(number_arg("seed", "1", "Seed of the random choices"))
        .arg(association_arg())
        .arg(
            Arg::new("rendezvous")
                .long("rendezvous")
                .action(ArgAction::SetTrue)
                .help("Place shards by rendezvous hashing, the baseline"),
        )
        .arg(json_file_arg())
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE.svg")
                .value_parser(value_parser!(PathBuf))
                .help("File to draw a timeline to as SVG"),
        )
}

fn measure_command() -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(number_arg("seed", "1", "Seed of the random choices"))
            .arg(association_arg())
            .arg(json_file_arg())
    };
    Command::new("measure")
        .about("Runs one measurement and prints its rows")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subcommand("placement", "Shares and churn of both placement policies"))
        .subcommand(subcommand("failover", "Time without a serving owner after each fault"))
        .subcommand(subcommand("overload", "Answers when requests exceed the capacity of a server"))
        .subcommand(subcommand(
            "cost",
            "Throughput and latency of a daemon and of a plain forwarder",
        ))
        .subcommand(subcommand("slopes", "How costs grow with size"))
}

fn association_arg() -> Arg {
    Arg::new("association")
        .long("association")
        .value_name("NAME")
        .default_value("mittelland")
        .value_parser(["mittelland", "sapporo"])
        .help("Association whose services are used")
}

fn get_association(matches: &ArgMatches) -> Association {
    match matches.get_one::<String>("association").map(String::as_str) {
        Some("sapporo") => Association::Sapporo,
        _ => Association::Mittelland,
    }
}

fn init_logs(matches: &ArgMatches) -> Result<(), BoxError> {
    let level = matches.get_one::<String>("log").map_or("error", String::as_str);
    telemetry::init_logs(level, telemetry::LogFormat::Text).map_err(|r| r.to_string().into())
}

async fn run_measure(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    init_logs(matches)?;
    let to_text = |report| format!("{report:?}");
    let (rows, matches) = match matches.subcommand() {
        Some(("placement", matches)) => (measure_placement(), matches),
        Some(("failover", matches)) => {
            let seed = get_number(matches, "seed");
            let measured = measure_failover(get_association(matches), seed).await;
            (measured.map_err(to_text)?, matches)
        }
        Some(("overload", matches)) => {
            (measure_overload(get_number(matches, "seed")).await.map_err(to_text)?, matches)
        }
        Some(("cost", matches)) => (measure_cost().await.map_err(to_text)?, matches),
        Some(("slopes", matches)) => (measure_slopes(), matches),
        _ => return Ok(ExitCode::FAILURE),
    };
    print!("{rows}");
    write_json(matches, &rows)?;
    Ok(ExitCode::SUCCESS)
}

fn skew_arg() -> Arg {
    Arg::new("skew")
        .long("skew")
        .value_name("EXPONENT")
        .default_value("0.99")
        .value_parser(value_parser!(f64))
        .help("Zipf exponent of the keys; 0 for uniform")
}

fn json_file_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("File to write the result to as JSON")
}

fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn get_name(matches: &ArgMatches, name: &str) -> Option<Name> {
    matches.get_one::<String>(name).map(|text| Name::from(text.as_str()))
}

async fn bind(matches: &ArgMatches) -> Result<TcpListener, BoxError> {
    let address = matches
        .get_one::<SocketAddr>("listen")
        .ok_or("--listen is missing, expected an address")?;
    TcpListener::bind(address)
        .await
        .map_err(|error| format!("--listen {address}: {error}, expected a free address").into())
}

async fn run_store(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let listener = bind(matches).await?;
    let store = MemoryStore::default();
    store.set_faults(Faults {
        is_down: false,
        delay_ms: get_number(matches, "delay-ms"),
        lose_reply_every: get_number(matches, "lose-reply-every"),
        writes_per_s: get_number(matches, "writes-per-s"),
        reads_per_s: get_number(matches, "reads-per-s"),
        ..Faults::default()
    });
    println!("store listens on {}", listener.local_addr()?);
    serve_store(store, listener, CancellationToken::new()).await;
    Ok(ExitCode::SUCCESS)
}

async fn run_upstream(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let listener = bind(matches).await?;
    let config = StandInConfig {
        name: get_name(matches, "name")
            .ok_or("--name is missing, expected the name of the server")?,
        service: get_name(matches, "service")
            .ok_or("--service is missing, expected the name of the service")?,
        is_keyed: !matches.get_flag("pooled"),
        checks_fence: !matches.get_flag("no-fence"),
        slots: u32::try_from(get_number(matches, "slots"))?,
        connections: u32::try_from(get_number(matches, "connections"))?,
        run_ms: get_number(matches, "run-ms"),
        cold_ms: get_number(matches, "cold-ms"),
        prepare_ms: get_number(matches, "prepare-ms"),
        sheet_bytes: 64 << 10,
    };
    println!("{} listens on {}", config.name, listener.local_addr()?);
    let server = StandIn::new(config, Arc::new(RuleChecker::default()));
    server.serve(listener, CancellationToken::new()).await;
    Ok(ExitCode::SUCCESS)
}

async fn run_load(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("to").map(|all| all.copied().collect()).unwrap_or_default();
    let text = |name| matches.get_one::<String>(name).cloned();
    let options = LoadOptions {
        rate_per_s: f64_from_u64(get_number(matches, "rate")),
        duration_ms: get_number(matches, "duration") * 1_000,
        keys: u32::try_from(get_number(matches, "keys"))?,
        skew: matches.get_one::<f64>("skew").copied().unwrap_or(0.0),
        seed: get_number(matches, "seed"),
        keyed: text("keyed"),
        pooled: text("pooled"),
    };
    if options.keyed.is_none() && options.pooled.is_none() {
        return Err("expected --keyed SERVICE, --pooled SERVICE or both".into());
    }
    let targets = Targets::default();
    targets.set(&addresses);
    let duration_ms = options.duration_ms;
    let load = Load::new(options, targets, None);
    let bar = ProgressBar::new(duration_ms);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} ms {msg}")?);
    let sending = tokio::spawn(Arc::clone(&load).run());
    for elapsed_ms in (0..duration_ms).step_by(200) {
        bar.set_position(elapsed_ms);
        bar.set_message(format!("{} sent", load.sent()));
        sleep(Duration::from_millis(200)).await;
    }
    let report = sending.await?;
    bar.finish_and_clear();
    print!("{report}");
    write_json(matches, &report)?;
    Ok(ExitCode::SUCCESS)
}

async fn run_server_move(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    init_logs(matches)?;
    let options = MoveOptions {
        duration_ms: get_number(matches, "duration") * 1_000,
        rate_per_s: f64_from_u64(get_number(matches, "rate")),
        seed: get_number(matches, "seed"),
        association: get_association(matches),
        is_rendezvous: matches.get_flag("rendezvous"),
        prints_progress: true,
    };
    let report = run_move(&options).await.map_err(|report| format!("{report:?}"))?;
    println!("\n{report}");
    write_json(matches, &report)?;
    if let Some(file) = matches.get_one::<PathBuf>("plot") {
        plot(&report.timeline, "shards while servers leave and arrive", file)
            .map_err(|report| format!("{report:?}"))?;
    }
    Ok(if report.broken.is_none() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) })
}

fn write_json(matches: &ArgMatches, report: &impl serde::Serialize) -> Result<(), BoxError> {
    let Some(file) = matches.get_one::<PathBuf>("json") else { return Ok(()) };
    write_file(file, &serde_json::to_vec_pretty(report)?)
}

fn write_file(file: &Path, bytes: &[u8]) -> Result<(), BoxError> {
    std::fs::write(file, bytes).map_err(|error| format!("{}: {error}", file.display()).into())
}
