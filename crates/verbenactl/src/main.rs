//! The operators' command line.

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

/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);
const WATCH_EVERY: Duration = Duration::from_secs(1);

/// What a command ends with.
#[derive(Clone, Copy)]
enum End {
    Done,
    Unreachable,
    Fault(ErrorKind),
    Different,
}

/// Why a command did not do what it should.
struct Failure {
    end: End,
    message: String,
}

type Result<T> = std::result::Result<T, Failure>;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let end = match runtime {
        Ok(runtime) => runtime.block_on(run(&matches)),
        Err(error) => Err(unreachable(&error)),
    };
    match end {
        Ok(end) => end.to_code(),
        Err(failure) => {
            eprintln!("{}", failure.message);
            failure.end.to_code()
        }
    }
}

impl End {
    fn to_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Done => 0,
            Self::Unreachable => 1,
            Self::Fault(ErrorKind::Invalid) => 3,
            Self::Fault(ErrorKind::Conflict) => 4,
            Self::Fault(ErrorKind::Missing) => 5,
            Self::Fault(ErrorKind::Unavailable) => 6,
            Self::Fault(ErrorKind::Unknown) => 7,
            Self::Different => 8,
        })
    }
}

async fn run(matches: &ArgMatches) -> Result<End> {
    match matches.subcommand() {
        Some(("validate", matches)) => validate(matches),
        Some(("trace", matches)) => logs::trace_request(matches),
        Some(("believe", matches)) => logs::print_beliefs(matches),
        Some(("apply", matches)) => apply(matches).await,
        Some(("get", matches)) => get(matches).await,
        Some(("diff", matches)) => diff(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("status", matches)) => status(matches).await,
        Some(("explain", matches)) => explain(matches).await,
        Some(("dump", matches)) => dump(matches).await,
        Some(("completions", matches)) => Ok(completions(matches)),
        _ => Err(unreachable(&"no such command")),
    }
}

fn validate(matches: &ArgMatches) -> Result<End> {
    let (document, _) = read_document(matches)?;
    print(matches, &document.name, |name| {
        format!(
            "{name} is valid: {} servers, {} key groups, {} classes\n",
            document.servers.len(),
            document.key_groups.len(),
            document.classes.len()
        )
    });
    Ok(End::Done)
}

async fn apply(matches: &ArgMatches) -> Result<End> {
    let (_, text) = read_document(matches)?;
    let operator = matches.get_one::<String>("operator").cloned().unwrap_or_default();
    let edit = Edit { text, expected: get_revision(matches), operator };
    let accepted = connect(matches).await?.apply(limited(), edit).await;
    let accepted = settle(accepted)?;
    print(matches, &accepted, |accepted| {
        format!(
            "{} revision {} accepted, changed: {}\n",
            accepted.service,
            accepted.revision,
            accepted.changed.join(", ")
        )
    });
    Ok(End::Done)
}

async fn get(matches: &ArgMatches) -> Result<End> {
    let client = connect(matches).await?;
    let stored = settle(client.get(limited(), get_service(matches), get_revision(matches)).await)?;
    eprintln!("{} revision {}", stored.service, stored.revision);
    print(matches, &stored, |stored| stored.text.clone());
    Ok(End::Done)
}

async fn diff(matches: &ArgMatches) -> Result<End> {
    let (document, text) = read_document(matches)?;
    let client = connect(matches).await?;
    let stored = settle(client.get(limited(), document.name, None).await)?;
    let changed = changed_sections(&stored.text, &text);
    let end = if changed.is_empty() { End::Done } else { End::Different };
    print(matches, &changed, |changed| {
        if changed.is_empty() { String::new() } else { changed.join("\n") + "\n" }
    });
    Ok(end)
}

async fn history(matches: &ArgMatches) -> Result<End> {
    let client = connect(matches).await?;
    let past = settle(client.history(limited(), get_service(matches)).await)?;
    print(matches, &past, |past| show::history(past));
    Ok(End::Done)
}

async fn status(matches: &ArgMatches) -> Result<End> {
    let client = connect(matches).await?;
    loop {
        let answer = settle(client.status(limited()).await)?;
        print(matches, &answer, show::status);
        let is_settled = answer.services.values().all(|service| service.unsettled.is_empty());
        if is_settled {
            return Ok(End::Done);
        }
        if !matches.get_flag("watch") {
            return Ok(End::Different);
        }
        tokio::time::sleep(WATCH_EVERY).await;
    }
}

async fn explain(matches: &ArgMatches) -> Result<End> {
    let client = connect(matches).await?;
    let key = matches.get_one::<String>("key").cloned().unwrap_or_default();
    let answer = settle(client.explain(limited(), get_service(matches), key).await)?;
    print(matches, &answer, show::explanation);
    Ok(End::Done)
}

async fn dump(matches: &ArgMatches) -> Result<End> {
    let dump = settle(connect(matches).await?.dump(limited()).await)?;
    println!("{dump}");
    Ok(End::Done)
}

fn completions(matches: &ArgMatches) -> End {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = command::command();
        generate(*shell, &mut command, "verbenactl", &mut std::io::stdout());
    }
    End::Done
}

fn read_document(matches: &ArgMatches) -> Result<(Document, String)> {
    let invalid = |message: String| Failure { end: End::Fault(ErrorKind::Invalid), message };
    let path =
        matches.get_one::<PathBuf>("file").ok_or_else(|| invalid("expected a file".to_owned()))?;
    let text = std::fs::read_to_string(path)
        .map_err(|error| invalid(format!("{}: {error}", path.display())))?;
    let document = Document::from_ini(&path.display().to_string(), &text)
        .map_err(|report| invalid(report.current_context().to_string()))?;
    Ok((document, text))
}

async fn connect(matches: &ArgMatches) -> Result<OperatorClient> {
    let address = matches
        .get_one::<SocketAddr>("daemon")
        .ok_or_else(|| unreachable(&"expected the address of a daemon"))?;
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Json::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport =
        connecting.await.map_err(|error| unreachable(&format!("daemon {address}: {error}")))?;
    Ok(OperatorClient::new(tarpc::client::Config::default(), transport).spawn())
}

fn limited() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}

fn settle<T>(
    answer: std::result::Result<std::result::Result<T, Error>, tarpc::client::RpcError>,
) -> Result<T> {
    let answer = answer.map_err(|error| unreachable(&error))?;
    answer.map_err(|fault| Failure { end: End::Fault(fault.kind), message: fault.to_string() })
}

fn unreachable(error: &dyn std::fmt::Display) -> Failure {
    Failure { end: End::Unreachable, message: error.to_string() }
}

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
