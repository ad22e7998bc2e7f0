//! `verbenactl`, the operators' command line client.
//!
//! `command` defines the command line, `logs` searches daemons' log files, and `show` formats
//! answers as text. This module runs the subcommands: each ends with an [`ExitStatus`], or with
//! a [`Failure`] that also carries the message to print.

mod command;
mod logs;
mod show;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use clap_complete::{Shell, generate};
use document::{Document, Name, Revision, changed_sections};
use mimalloc::MiMalloc;
use operator::{Edit, Error, ErrorKind, MAX_FRAME_BYTES, OperatorClient};
use serde::Serialize;
use tarpc::context::{self, Context};
use tarpc::tokio_serde::formats::Json;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The time limit of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of a command, which determines the exit code.
#[derive(Clone, Copy)]
enum ExitStatus {
    Success,
    /// The daemon could not be reached or did not answer.
    Unreachable,
    /// The daemon returned an error of this kind, or a local check failed with it.
    Error(ErrorKind),
    /// `diff` found different texts, or `status` found something that has not settled.
    DifferentOrUnsettled,
}

/// A failed command: its status and the message to print.
struct Failure {
    status: ExitStatus,
    message: String,
}

type Result<T> = std::result::Result<T, Failure>;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(&matches)),
        Err(error) => Err(as_unreachable(&error)),
    };
    match result {
        Ok(status) => status.to_exit_code(),
        Err(failure) => {
            eprintln!("{}", failure.message);
            failure.status.to_exit_code()
        }
    }
}

impl ExitStatus {
    fn to_exit_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Success => 0,
            Self::Unreachable => 1,
            Self::Error(ErrorKind::Invalid) => 3,
            Self::Error(ErrorKind::Conflict) => 4,
            Self::Error(ErrorKind::Missing) => 5,
            Self::Error(ErrorKind::Unavailable) => 6,
            Self::Error(ErrorKind::Unknown) => 7,
            Self::DifferentOrUnsettled => 8,
        })
    }
}

async fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    match matches.subcommand() {
        Some(("validate", matches)) => validate(matches),
        Some(("trace", matches)) => logs::trace_request(matches),
        Some(("believe", matches)) => logs::print_states(matches),
        Some(("apply", matches)) => apply(matches).await,
        Some(("get", matches)) => get(matches).await,
        Some(("diff", matches)) => diff(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("status", matches)) => status(matches).await,
        Some(("explain", matches)) => explain(matches).await,
        Some(("dump", matches)) => dump(matches).await,
        Some(("completions", matches)) => Ok(completions(matches)),
        _ => Err(as_unreachable(&"unknown command, expected one of those in --help")),
    }
}

fn validate(matches: &ArgMatches) -> Result<ExitStatus> {
    let (document, _) = read_document(matches)?;
    print(matches, &document.name, |name| {
        format!(
            "{name} is valid: {} servers, {} key groups, {} classes\n",
            document.servers.len(),
            document.key_groups.len(),
            document.classes.len()
        )
    });
    Ok(ExitStatus::Success)
}

async fn apply(matches: &ArgMatches) -> Result<ExitStatus> {
    let (_, text) = read_document(matches)?;
    let operator = matches.get_one::<String>("operator").cloned().unwrap_or_default();
    let edit = Edit { text, expected: get_revision(matches), operator };
    let accepted = connect(matches).await?.apply(call_context(), edit).await;
    let accepted = flatten_answer(accepted)?;
    print(matches, &accepted, |accepted| {
        format!(
            "{} revision {} accepted, changed: {}\n",
            accepted.service,
            accepted.revision,
            accepted.changed.join(", ")
        )
    });
    Ok(ExitStatus::Success)
}

async fn get(matches: &ArgMatches) -> Result<ExitStatus> {
    let client = connect(matches).await?;
    let stored = flatten_answer(
        client.get(call_context(), get_service(matches), get_revision(matches)).await,
    )?;
    eprintln!("{} revision {}", stored.service, stored.revision);
    print(matches, &stored, |stored| stored.text.clone());
    Ok(ExitStatus::Success)
}

async fn diff(matches: &ArgMatches) -> Result<ExitStatus> {
    let (document, text) = read_document(matches)?;
    let client = connect(matches).await?;
    let stored = flatten_answer(client.get(call_context(), document.name, None).await)?;
    let changed = changed_sections(&stored.text, &text);
    let status =
        if changed.is_empty() { ExitStatus::Success } else { ExitStatus::DifferentOrUnsettled };
    print(matches, &changed, |changed| {
        if changed.is_empty() { String::new() } else { changed.join("\n") + "\n" }
    });
    Ok(status)
}

async fn history(matches: &ArgMatches) -> Result<ExitStatus> {
    let client = connect(matches).await?;
    let edits = flatten_answer(client.history(call_context(), get_service(matches)).await)?;
    print(matches, &edits, |edits| show::history(edits));
    Ok(ExitStatus::Success)
}

async fn status(matches: &ArgMatches) -> Result<ExitStatus> {
    let client = connect(matches).await?;
    loop {
        let answer = flatten_answer(client.status(call_context()).await)?;
        print(matches, &answer, show::status);
        let is_settled = answer.services.values().all(|service| service.unsettled.is_empty());
        if is_settled {
            return Ok(ExitStatus::Success);
        }
        if !matches.get_flag("watch") {
            return Ok(ExitStatus::DifferentOrUnsettled);
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn explain(matches: &ArgMatches) -> Result<ExitStatus> {
    let client = connect(matches).await?;
    let key = matches.get_one::<String>("key").cloned().unwrap_or_default();
    let answer = flatten_answer(client.explain(call_context(), get_service(matches), key).await)?;
    print(matches, &answer, show::explanation);
    Ok(ExitStatus::Success)
}

async fn dump(matches: &ArgMatches) -> Result<ExitStatus> {
    let dump = flatten_answer(connect(matches).await?.dump(call_context()).await)?;
    println!("{dump}");
    Ok(ExitStatus::Success)
}

fn completions(matches: &ArgMatches) -> ExitStatus {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = command::command();
        generate(*shell, &mut command, "verbenactl", &mut std::io::stdout());
    }
    ExitStatus::Success
}

/// Reads and parses the document file; returns the document and its text.
fn read_document(matches: &ArgMatches) -> Result<(Document, String)> {
    let invalid =
        |message: String| Failure { status: ExitStatus::Error(ErrorKind::Invalid), message };
    let path = matches
        .get_one::<PathBuf>("file")
        .ok_or_else(|| invalid("no file given, expected the path of a document".to_owned()))?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| invalid(format!("cannot read {}: {error}", path.display())))?;
    let document = Document::from_ini(&path.display().to_string(), &text)
        .map_err(|report| invalid(report.current_context().to_string()))?;
    Ok((document, text))
}

async fn connect(matches: &ArgMatches) -> Result<OperatorClient> {
    let address = matches
        .get_one::<SocketAddr>("daemon")
        .ok_or_else(|| as_unreachable(&"no address given, expected the address of a daemon"))?;
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Json::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport =
        connecting.await.map_err(|error| as_unreachable(&format!("daemon {address}: {error}")))?;
    Ok(OperatorClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Returns a call context whose deadline is [`CALL_TIMEOUT`] from now.
fn call_context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

/// Converts the two error levels of a call, RPC and daemon, to a [`Failure`].
fn flatten_answer<T>(
    answer: std::result::Result<std::result::Result<T, Error>, tarpc::client::RpcError>,
) -> Result<T> {
    let answer = answer.map_err(|error| as_unreachable(&error))?;
    answer.map_err(|error| Failure {
        status: ExitStatus::Error(error.kind),
        message: error.to_string(),
    })
}

fn as_unreachable(error: &dyn std::fmt::Display) -> Failure {
    Failure { status: ExitStatus::Unreachable, message: error.to_string() }
}

/// Prints a value as JSON or as text, as `--output` says.
fn print<T: Serialize>(matches: &ArgMatches, value: &T, to_text: impl FnOnce(&T) -> String) {
    let is_json = matches.get_one::<String>("output").is_some_and(|form| form == "json");
    if is_json {
        println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
    } else {
        print!("{}", to_text(value));
    }
}

fn get_service(matches: &ArgMatches) -> Name {
    Name::from(matches.get_one::<String>("service").map_or("", String::as_str))
}

fn get_revision(matches: &ArgMatches) -> Option<Revision> {
    matches.get_one::<u64>("revision").copied().map(Revision)
}
