//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

const AFTER_HELP: &str = "\
Exit codes:
  0  done; for status: everything has settled
  1  a daemon could not be reached or did not answer
  2  the command line is not valid
  3  the document is not valid
  4  conflict: another edit came first
  5  no such service, revision or key
  6  the store did not take the call; nothing was changed
  7  the store did not answer: look with get before trying again
  8  status: something has not settled; diff: the texts differ";

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    Command::new("verbenactl")
        .about("Edits the documents of services and watches them settle")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP)
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .short('d')
                .value_name("ADDRESS")
                .default_value("127.0.0.1:8201")
                .value_parser(value_parser!(SocketAddr))
                .global(true)
                .help("The operators' address of any daemon"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_name("FORM")
                .default_value("text")
                .value_parser(["text", "json"])
                .global(true)
                .help("How results are printed"),
        )
        .subcommand(
            Command::new("validate").about("Checks a document without sending it").arg(file()),
        )
        .subcommand(
            Command::new("trace")
                .about("Prints one request's way through daemons' logs, in time order")
                .arg(Arg::new("request").value_name("REQUEST-ID").required(true))
                .arg(logs()),
        )
        .subcommand(
            Command::new("believe")
                .about("Prints what daemons believed at a time, by their logs")
                .arg(
                    Arg::new("at")
                        .long("at")
                        .value_name("MS")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("The time, in milliseconds since 1970, as in the logs"),
                )
                .arg(logs()),
        )
        .subcommand(
            Command::new("apply")
                .about("Replaces a service's document")
                .arg(file())
                .arg(revision("The revision that was edited; left out for a new service"))
                .arg(
                    Arg::new("operator")
                        .long("operator")
                        .value_name("NAME")
                        .env("USER")
                        .default_value("unknown")
                        .help("Who edits"),
                ),
        )
        .subcommand(
            Command::new("get")
                .about("Prints a service's document")
                .arg(service())
                .arg(revision("An earlier revision")),
        )
        .subcommand(
            Command::new("diff")
                .about("Names the sections in which a file differs from the document in force")
                .arg(file()),
        )
        .subcommand(Command::new("history").about("Lists accepted edits").arg(service()))
        .subcommand(
            Command::new("status")
                .about("Shows what is in force, who holds what, and what has not settled")
                .arg(
                    Arg::new("watch")
                        .long("watch")
                        .action(ArgAction::SetTrue)
                        .help("Prints again every second until everything has settled"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Says where a key's requests go, and why")
                .arg(service())
                .arg(Arg::new("key").value_name("KEY").required(true).help("The key")),
        )
        .subcommand(Command::new("dump").about("Prints the daemon's whole state as JSON"))
        .subcommand(
            Command::new("completions").about("Prints a shell's completions").arg(
                Arg::new("shell")
                    .value_name("SHELL")
                    .required(true)
                    .value_parser(value_parser!(Shell))
                    .help("The shell"),
            ),
        )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE.ini")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The document")
}

fn service() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true).help("The service")
}

fn revision(help: &'static str) -> Arg {
    Arg::new("revision")
        .long("revision")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

fn logs() -> Arg {
    Arg::new("logs")
        .value_name("FILE")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Log files, one a daemon")
}
