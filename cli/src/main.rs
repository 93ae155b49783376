//! `sardinepick`, the command line of operators and callers.

mod shell;

use std::io::{IsTerminal as _, Read as _, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use sardinepick_cli::account::RequestSummary;
use sardinepick_cli::client::{Client, ClientError, Command, Outcome, Outcomes, Rows};
use sardinepick_cli::output::{self, Colour, Format};
use sardinepick_cli::{serving, trace};
use sardinepick_lib::hash::Digest;
use serde_json::Value;
use thiserror::Error;

/// The exit code for a usage error, as in BSD's sysexits.
const EXIT_USAGE: u8 = 64;
/// The exit code for an unreachable node.
const EXIT_UNAVAILABLE: u8 = 69;
/// The exit code for a command that may or may not have been executed.
const EXIT_UNKNOWN_EFFECT: u8 = 75;
/// The exit code for a change that has been made but is not confirmed on all nodes.
const EXIT_NOT_ON_ALL_NODES: u8 = 3;

const USAGE_TEXT: &str = "\
Usage: sardinepick [OPTIONS] COMMAND

Commands:
    run TEXT       run statements of the operators' language; '-' reads them from standard
                   input
    shell          run statements interactively, with history and completion of names
    addresses      look up the addresses that callers should use
    state          print the state of a node
    duties         print the holder of the duties and the usage windows the node has ended;
                   --node is the metrics address of a node that serves
    accounts       print the client accounts that a serving node knows, without their keys
    change ID      print whether a change has been applied
    explain ID [FILE...]
                   trace a request through the log lines of nodes, from files or standard input
    account [FILE...]
                   summarize requests by route, class and time, from log lines
    key            read a key from standard input and print its SHA-256 for the configuration
";

#[derive(Debug, Error)]
enum CliError {
    #[error("{0}; see --help")]
    Usage(String),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Shell(#[from] rustyline::error::ReadlineError),
    #[error("no log line mentions request {0:?}")]
    UnknownRequest(String),
    #[error("no log line is about a request")]
    NoRequestLines,
    #[error("the change is in effect but not yet confirmed on all nodes")]
    NotOnAllNodes,
}

impl CliError {
    fn code(&self) -> ExitCode {
        match self {
            CliError::Usage(_) => ExitCode::from(EXIT_USAGE),
            CliError::Client(ClientError::Unreachable { .. }) => ExitCode::from(EXIT_UNAVAILABLE),
            CliError::Client(ClientError::ConnectionLost { .. }) => {
                ExitCode::from(EXIT_UNKNOWN_EFFECT)
            }
            CliError::Client(ClientError::Refused { code, .. }) if code == "unknown" => {
                ExitCode::from(EXIT_UNKNOWN_EFFECT)
            }
            CliError::NotOnAllNodes => ExitCode::from(EXIT_NOT_ON_ALL_NODES),
            CliError::UnknownRequest(_)
            | CliError::NoRequestLines
            | CliError::Client(_)
            | CliError::Io(_)
            | CliError::Shell(_) => ExitCode::FAILURE,
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "n",
        "node",
        "a node; if given more than once, the nodes are tried in turn",
        "ADDR",
    );
    options.optopt("k", "key-file", "a file that contains the operator's key", "FILE");
    options.optopt("o", "output", "table or json", "FORMAT");
    options.optopt("", "change-id", "the id of a change, to repeat it safely", "ID");
    options.optopt("", "base", "the generation that the change is based on", "GENERATION");
    options.optopt("", "wait-ms", "how long to wait for all nodes", "MILLISECONDS");
    options.optopt("", "data-centre", "the data centre whose nodes a look-up prefers", "NAME");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("sardinepick: {error}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE_TEXT));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("sardinepick {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run_command(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("sardinepick: {failure}");
            failure.code()
        }
    }
}

fn run_command(matches: &Matches) -> Result<(), CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let Some((command, rest)) = matches.free.split_first() else {
        return Err(CliError::Usage("a command is needed".to_owned()));
    };
    match (command.as_str(), rest) {
        ("key", []) => print_key(),
        ("explain", [id, files @ ..]) => explain(id, files),
        ("account", files) => account(files),
        ("run", [text]) => runtime.block_on(run(matches, text)),
        ("shell", []) => shell::run(&runtime, &client(matches)?, format(matches)?),
        ("addresses", []) => {
            let data_centre = matches.opt_str("data-centre");
            let query = data_centre.map(|d| format!("?data_centre={d}")).unwrap_or_default();
            runtime.block_on(print_json(matches, &format!("/v1/addresses{query}")))
        }
        ("state", []) => runtime.block_on(print_json(matches, "/admin/v1/state")),
        ("duties", []) => runtime.block_on(print_rows(matches, serving::duties)),
        ("accounts", []) => runtime.block_on(print_rows(matches, serving::accounts)),
        ("change", [id]) => {
            runtime.block_on(print_json(matches, &format!("/admin/v1/changes/{id}")))
        }
        _ => Err(CliError::Usage(format!("{:?} is not a command", matches.free.join(" ")))),
    }
}

/// Reads log lines from files, or from standard input if there are none.
fn log_lines(files: &[String]) -> Result<Vec<trace::Line>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file)?;
        lines.extend(trace::parse_lines(file, &String::from_utf8_lossy(&text)));
    }
    if files.is_empty() {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text)?;
        lines.extend(trace::parse_lines("", &String::from_utf8_lossy(&text)));
    }
    Ok(lines)
}

/// Prints a summary of the requests in log lines.
fn account(files: &[String]) -> Result<(), CliError> {
    let summary = RequestSummary::from_lines(log_lines(files)?);
    if summary.is_empty() {
        return Err(CliError::NoRequestLines);
    }
    print_text(&summary.to_string())
}

/// Writes to standard output. A closed pipe is not an error, because readers like `head` close it
/// early.
fn print_text(text: &str) -> Result<(), CliError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        written => Ok(written?),
    }
}

/// Prints the trace of a request from log lines.
fn explain(id: &str, files: &[String]) -> Result<(), CliError> {
    match trace::Trace::for_request(id, log_lines(files)?) {
        Some(trace) => print_text(&trace.to_string()),
        None => Err(CliError::UnknownRequest(id.to_owned())),
    }
}

fn print_key() -> Result<(), CliError> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    let key = key.trim();
    if key.is_empty() {
        return Err(CliError::Usage("no key on standard input".to_owned()));
    }
    println!("{}", Digest::of(key.as_bytes()));
    Ok(())
}

fn client(matches: &Matches) -> Result<Client, CliError> {
    let usage = |text: String| CliError::Usage(text);
    let nodes: Vec<SocketAddr> = matches
        .opt_strs("node")
        .iter()
        .map(|n| n.parse().map_err(|_| usage(format!("{n:?} is no IP address with a port"))))
        .collect::<Result<_, _>>()?;
    if nodes.is_empty() {
        return Err(usage("--node ADDR is needed".to_owned()));
    }
    let key = match matches.opt_str("key-file") {
        Some(file) => std::fs::read_to_string(file)?.trim().to_owned(),
        None => String::new(),
    };
    Ok(Client::new(nodes, key))
}

fn format(matches: &Matches) -> Result<Format, CliError> {
    match matches.opt_str("output") {
        None => Ok(Format::default()),
        Some(text) => text
            .parse()
            .map_err(|_| CliError::Usage(format!("--output must be table or json, not {text:?}"))),
    }
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>, CliError> {
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| CliError::Usage(format!("--{name} must be a whole number, not {text:?}")))
}

fn colour() -> Colour {
    if std::io::stdout().is_terminal() { Colour::Yes } else { Colour::No }
}

async fn run(matches: &Matches, text: &str) -> Result<(), CliError> {
    let text = if text == "-" {
        let mut read = String::new();
        std::io::stdin().read_to_string(&mut read)?;
        read
    } else {
        text.to_owned()
    };
    let command = Command {
        text,
        change_id: matches.opt_str("change-id"),
        base: number(matches, "base")?,
        wait_ms: number(matches, "wait-ms")?,
    };
    let outcomes = client(matches)?.command(&command).await?;
    print!("{}", output::outcomes(&outcomes, format(matches)?, colour()));
    let on_all_nodes = outcomes.results.iter().all(|outcome| match outcome {
        sardinepick_cli::client::Outcome::Applied(applied) => applied.applied == applied.nodes,
        sardinepick_cli::client::Outcome::Rows(_) => true,
    });
    if on_all_nodes { Ok(()) } else { Err(CliError::NotOnAllNodes) }
}

/// Prints part of a serving node's state as a table.
async fn print_rows(matches: &Matches, rows: fn(&Value) -> Rows) -> Result<(), CliError> {
    let state = client(matches)?.get(serving::STATE_PATH).await?;
    let results = vec![Outcome::Rows(rows(&state))];
    let outcomes = Outcomes { results, generation: 0 };
    print_text(&output::outcomes(&outcomes, format(matches)?, colour()))
}

async fn print_json(matches: &Matches, path: &str) -> Result<(), CliError> {
    let value = client(matches)?.get(path).await?;
    println!("{value:#}");
    Ok(())
}
