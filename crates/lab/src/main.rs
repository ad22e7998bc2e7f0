//! The command line of the stand-ins and tools.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use document::Name;
use indicatif::{ProgressBar, ProgressStyle};
use lab::{
    Association, Load, LoadOptions, MoveOptions, StandIn, StandInConfig, Targets, Witness,
    from_u64, measure_cost, measure_failover, measure_overload, measure_placement, measure_slopes,
    plot, run_move, serve_store,
};
use mimalloc::MiMalloc;
use store::{Faults, MemoryStore};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

type Failure = Box<dyn std::error::Error>;

/// The exit code when a rule was broken.
const BROKEN: u8 = 3;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.map_err(Failure::from).and_then(|runtime| {
        runtime.block_on(async {
            match matches.subcommand() {
                Some(("store", matches)) => run_store(matches).await,
                Some(("upstream", matches)) => run_upstream(matches).await,
                Some(("load", matches)) => run_load(matches).await,
                Some(("move", matches)) => run_main_job(matches).await,
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
                .help("What the daemons of this process log"),
        )
        .subcommand(store_command())
        .subcommand(upstream_command())
        .subcommand(load_command())
        .subcommand(move_command())
        .subcommand(measure_command())
        .after_help("Exit codes: 0 when all went well, 3 when a rule was broken, 1 otherwise.")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Where it listens")
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

fn store_command() -> Command {
    Command::new("store")
        .about("Stands in for the platform's key-value service")
        .arg(listen())
        .arg(number("delay-ms", "0", "How much later every call is answered"))
        .arg(number("lose-reply-every", "0", "Every how manieth write gets no answer; 0 for none"))
        .arg(number("writes-per-s", "0", "The most writes a second; 0 for no limit"))
        .arg(number("reads-per-s", "0", "The most reads a second; 0 for no limit"))
}

fn upstream_command() -> Command {
    Command::new("upstream")
        .about("Stands in for a server")
        .arg(listen())
        .arg(text("name", "The name in the document").required(true))
        .arg(text("service", "The service that it serves").required(true))
        .arg(Arg::new("pooled").long("pooled").action(ArgAction::SetTrue).help("It owns no keys"))
        .arg(
            Arg::new("no-fence")
                .long("no-fence")
                .action(ArgAction::SetTrue)
                .help("It does not check fence epochs"),
        )
        .arg(number("slots", "4", "How many requests it runs at once"))
        .arg(number("connections", "120", "How many connections it accepts"))
        .arg(number("run-ms", "2", "How long a request runs"))
        .arg(number("cold-ms", "50", "How much longer the first request of a cold shard runs"))
        .arg(number("prepare-ms", "40", "How long it takes to prepare a shard"))
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
                .help("The daemons' addresses for callers"),
        )
        .arg(text("keyed", "The keyed service that requests go to"))
        .arg(text("pooled", "The pooled service that requests go to"))
        .arg(number("rate", "500", "Requests a second"))
        .arg(number("duration", "10", "How many seconds it lasts"))
        .arg(number("keys", "10000", "How many keys there are"))
        .arg(skew())
        .arg(number("seed", "1", "The seed of all choices"))
        .arg(json_file())
}

fn move_command() -> Command {
    Command::new("move")
        .about("Runs the main job in one process: most servers leave, others arrive")
        .arg(number("duration", "12", "How many seconds load runs"))
        .arg(number("rate", "1200", "Requests a second"))
        .arg(number("seed", "1", "The seed of all choices"))
        .arg(association())
        .arg(
            Arg::new("rendezvous")
                .long("rendezvous")
                .action(ArgAction::SetTrue)
                .help("Places shards by rendezvous hashing, the baseline"),
        )
        .arg(json_file())
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE.svg")
                .value_parser(value_parser!(PathBuf))
                .help("Draws a timeline"),
        )
}

fn measure_command() -> Command {
    let leaf = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(number("seed", "1", "The seed of all choices"))
            .arg(association())
            .arg(json_file())
    };
    Command::new("measure")
        .about("Measures one matter and prints its rows")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(leaf("placement", "Shares and churn of both placement policies"))
        .subcommand(leaf("failover", "Time without a serving owner after each fault"))
        .subcommand(leaf("overload", "What is answered when more is asked than can be done"))
        .subcommand(leaf("cost", "A daemon beside a plain forwarder"))
        .subcommand(leaf("slopes", "How costs grow with size"))
}

fn association() -> Arg {
    Arg::new("association")
        .long("association")
        .value_name("NAME")
        .default_value("mittelland")
        .value_parser(["mittelland", "sapporo"])
        .help("Whose services are used")
}

fn get_association(matches: &ArgMatches) -> Association {
    match matches.get_one::<String>("association").map(String::as_str) {
        Some("sapporo") => Association::Sapporo,
        _ => Association::Mittelland,
    }
}

fn init_logs(matches: &ArgMatches) -> Result<(), Failure> {
    let level = matches.get_one::<String>("log").map_or("error", String::as_str);
    telemetry::init_logs(level, telemetry::LogFormat::Text).map_err(|r| r.to_string().into())
}

async fn run_measure(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    init_logs(matches)?;
    let text = |report| format!("{report:?}");
    let (rows, matches) = match matches.subcommand() {
        Some(("placement", matches)) => (measure_placement(), matches),
        Some(("failover", matches)) => {
            let seed = get(matches, "seed");
            let measured = measure_failover(get_association(matches), seed).await;
            (measured.map_err(text)?, matches)
        }
        Some(("overload", matches)) => {
            (measure_overload(get(matches, "seed")).await.map_err(text)?, matches)
        }
        Some(("cost", matches)) => (measure_cost().await.map_err(text)?, matches),
        Some(("slopes", matches)) => (measure_slopes(), matches),
        _ => return Ok(ExitCode::FAILURE),
    };
    print!("{rows}");
    write_json(matches, &rows)?;
    Ok(ExitCode::SUCCESS)
}

fn skew() -> Arg {
    Arg::new("skew")
        .long("skew")
        .value_name("EXPONENT")
        .default_value("0.99")
        .value_parser(value_parser!(f64))
        .help("How skewed keys are; 0 for not at all")
}

fn json_file() -> Arg {
    Arg::new("json")
        .long("json")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the result as JSON")
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(0)
}

fn get_name(matches: &ArgMatches, name: &str) -> Option<Name> {
    matches.get_one::<String>(name).map(|text| Name::from(text.as_str()))
}

async fn bind(matches: &ArgMatches) -> Result<TcpListener, Failure> {
    let address = matches.get_one::<SocketAddr>("listen").ok_or("--listen is missing")?;
    TcpListener::bind(address)
        .await
        .map_err(|error| format!("--listen {address}: {error}, expected a free address").into())
}

async fn run_store(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let listener = bind(matches).await?;
    let store = MemoryStore::default();
    store.set_faults(Faults {
        is_down: false,
        delay_ms: get(matches, "delay-ms"),
        lose_reply_every: get(matches, "lose-reply-every"),
        writes_per_s: get(matches, "writes-per-s"),
        reads_per_s: get(matches, "reads-per-s"),
        ..Faults::default()
    });
    println!("store listens on {}", listener.local_addr()?);
    serve_store(store, listener, CancellationToken::new()).await;
    Ok(ExitCode::SUCCESS)
}

async fn run_upstream(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let listener = bind(matches).await?;
    let config = StandInConfig {
        name: get_name(matches, "name").ok_or("--name is missing")?,
        service: get_name(matches, "service").ok_or("--service is missing")?,
        is_keyed: !matches.get_flag("pooled"),
        checks_fence: !matches.get_flag("no-fence"),
        slots: u32::try_from(get(matches, "slots"))?,
        connections: u32::try_from(get(matches, "connections"))?,
        run_ms: get(matches, "run-ms"),
        cold_ms: get(matches, "cold-ms"),
        prepare_ms: get(matches, "prepare-ms"),
        sheet_bytes: 64 << 10,
    };
    println!("{} listens on {}", config.name, listener.local_addr()?);
    let server = StandIn::new(config, Arc::new(Witness::default()));
    server.serve(listener, CancellationToken::new()).await;
    Ok(ExitCode::SUCCESS)
}

async fn run_load(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("to").map(|all| all.copied().collect()).unwrap_or_default();
    let text = |name| matches.get_one::<String>(name).cloned();
    let options = LoadOptions {
        rate_per_s: from_u64(get(matches, "rate")),
        length_ms: get(matches, "duration") * 1_000,
        keys: u32::try_from(get(matches, "keys"))?,
        skew: matches.get_one::<f64>("skew").copied().unwrap_or(0.0),
        seed: get(matches, "seed"),
        keyed: text("keyed"),
        pooled: text("pooled"),
    };
    if options.keyed.is_none() && options.pooled.is_none() {
        return Err("expected --keyed SERVICE, --pooled SERVICE or both".into());
    }
    let targets = Targets::default();
    targets.set(&addresses);
    let length_ms = options.length_ms;
    let load = Load::new(options, targets, None);
    let bar = ProgressBar::new(length_ms);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} ms {msg}")?);
    let sending = tokio::spawn(Arc::clone(&load).run());
    for elapsed_ms in (0..length_ms).step_by(200) {
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

async fn run_main_job(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    init_logs(matches)?;
    let options = MoveOptions {
        length_ms: get(matches, "duration") * 1_000,
        rate_per_s: from_u64(get(matches, "rate")),
        seed: get(matches, "seed"),
        association: get_association(matches),
        is_rendezvous: matches.get_flag("rendezvous"),
        is_live: true,
    };
    let report = run_move(&options).await.map_err(|report| format!("{report:?}"))?;
    println!("\n{report}");
    write_json(matches, &report)?;
    if let Some(file) = matches.get_one::<PathBuf>("plot") {
        plot(&report.timeline, "shards while servers leave and arrive", file)
            .map_err(|report| format!("{report:?}"))?;
    }
    Ok(if report.broken.is_none() { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) })
}

fn write_json(matches: &ArgMatches, report: &impl serde::Serialize) -> Result<(), Failure> {
    let Some(file) = matches.get_one::<PathBuf>("json") else { return Ok(()) };
    write_file(file, &serde_json::to_vec_pretty(report)?)
}

fn write_file(file: &Path, bytes: &[u8]) -> Result<(), Failure> {
    std::fs::write(file, bytes).map_err(|error| format!("{}: {error}", file.display()).into())
}
