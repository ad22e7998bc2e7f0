//! The definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

const AFTER_HELP: &str = "\
Exit codes:
  0  success; for status: everything has settled
  1  a daemon could not be reached or did not answer
  2  the command line is not valid
  3  the document is not valid, or a file cannot be read
  4  conflict: another edit came first
  5  no such service, revision or key; for trace: no line about the request
  6  the store failed or refused the call, or the daemon is stopping; nothing was changed
  7  the store did not answer: check with get before trying again
  8  status: something has not settled; diff: the texts differ";

/// Returns the command line with all subcommands.
pub(crate) fn command() -> Command {
    Command::new("verbenactl")
        .about("Edits the documents of services and shows when they have settled")
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
                .help("The operator address of any daemon"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_name("FORM")
                .default_value("text")
                .value_parser(["text", "json"])
                .global(true)
                .help("The output format"),
        )
        .subcommand(
            Command::new("validate").about("Checks a document without sending it").arg(file_arg()),
        )
        .subcommand(
            Command::new("trace")
                .about("Prints the log lines of one request from all daemons, in time order")
                .arg(Arg::new("request").value_name("REQUEST-ID").required(true))
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("believe")
                .about("Prints the state of daemons at a given time, according to their logs")
                .arg(
                    Arg::new("at")
                        .long("at")
                        .value_name("MS")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("The time, in milliseconds since 1970, as in the logs"),
                )
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Replaces a service's document")
                .arg(file_arg())
                .arg(revision_arg("The revision that was edited; omit it for a new service"))
                .arg(
                    Arg::new("operator")
                        .long("operator")
                        .value_name("NAME")
                        .env("USER")
                        .default_value("unknown")
                        .help("The name recorded with the edit"),
                ),
        )
        .subcommand(
            Command::new("get")
                .about("Prints a service's document")
                .arg(service_arg())
                .arg(revision_arg("The revision to print; the current one if omitted")),
        )
        .subcommand(
            Command::new("diff")
                .about("Lists the sections in which a file differs from the stored document")
                .arg(file_arg()),
        )
        .subcommand(Command::new("history").about("Lists the accepted edits").arg(service_arg()))
        .subcommand(
            Command::new("status")
                .about("Shows documents in force, shards and grants, and what has not settled")
                .arg(
                    Arg::new("watch")
                        .long("watch")
                        .action(ArgAction::SetTrue)
                        .help("Prints the status every second until everything has settled"),
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows which server gets the requests for a key, and why")
                .arg(service_arg())
                .arg(Arg::new("key").value_name("KEY").required(true).help("The key")),
        )
        .subcommand(Command::new("dump").about("Prints the complete state of the daemon as JSON"))
        .subcommand(
            Command::new("completions").about("Prints completions for a shell").arg(
                Arg::new("shell")
                    .value_name("SHELL")
                    .required(true)
                    .value_parser(value_parser!(Shell))
                    .help("The shell"),
            ),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE.ini")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The file with the document")
}

fn service_arg() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true).help("The service")
}

fn revision_arg(help: &'static str) -> Arg {
    Arg::new("revision")
        .long("revision")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

fn logs_arg() -> Arg {
    Arg::new("logs")
        .value_name("FILE")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Log files, one per daemon")
}
