//! `sardinepick`, the command line of operators and callers.

mod shell;

use std::io::{IsTerminal as _, Read as _, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use sardinepick_cli::account::Account;
use sardinepick_cli::client::{Client, ClientError, Command, Outcome, Outcomes, Rows};
use sardinepick_cli::output::{self, Colour, Format};
use sardinepick_cli::{serving, trace};
use sardinepick_lib::hash::Digest;
use serde_json::Value;
use thiserror::Error;

/// The exit code for a wrong call, as in BSD's sysexits.
const USAGE: u8 = 64;
/// The exit code for a node that cannot be reached.
const UNAVAILABLE: u8 = 69;
/// The exit code for a command whose effect is not known.
const UNKNOWN: u8 = 75;
/// The exit code for a change that is in force, but not seen to be so on all nodes.
const NOT_EVERYWHERE: u8 = 3;

const BRIEF: &str = "\
Usage: sardinepick [OPTIONS] COMMAND

Commands:
    run TEXT       carries out statements of the operators' language; '-' reads them from
                   standard input
    shell          takes statements line by line, with history and completion of names
    addresses      looks up the addresses that callers should use
    state          dumps the state of a node
    duties         who has the duties of one node at a time, and the windows of usage that the
                   node has ended; --node is the metrics address of a node that serves
    accounts       the client accounts that a serving node knows, without their keys
    change ID      says whether a change has been applied
    explain ID [FILE...]
                   a request's way, from the log lines of nodes in files or standard input
    account [FILE...]
                   what many requests came to, by route, class and time, from log lines
    key            reads a key from standard input and prints its SHA-256 for the configuration
";

#[derive(Debug, Error)]
enum Failure {
    #[error("{0}; see --help")]
    Usage(String),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Shell(#[from] rustyline::error::ReadlineError),
    #[error("no log line names the request {0:?}")]
    NoRequest(String),
    #[error("no log line tells of a request")]
    NoRequests,
    #[error("the change is in force, but not yet seen on all nodes")]
    NotEverywhere,
}

impl Failure {
    fn code(&self) -> ExitCode {
        match self {
            Failure::Usage(_) => ExitCode::from(USAGE),
            Failure::Client(ClientError::Unreachable { .. }) => ExitCode::from(UNAVAILABLE),
            Failure::Client(ClientError::Lost { .. }) => ExitCode::from(UNKNOWN),
            Failure::Client(ClientError::Refused { code, .. }) if code == "unknown" => {
                ExitCode::from(UNKNOWN)
            }
            Failure::NotEverywhere => ExitCode::from(NOT_EVERYWHERE),
            Failure::NoRequest(_)
            | Failure::NoRequests
            | Failure::Client(_)
            | Failure::Io(_)
            | Failure::Shell(_) => ExitCode::FAILURE,
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("n", "node", "a node; given more than once, they are tried in turn", "ADDR");
    options.optopt("k", "key-file", "a file with the operator's key", "FILE");
    options.optopt("o", "output", "table or json", "FORMAT");
    options.optopt("", "change-id", "the identity of a change, for repeating it", "ID");
    options.optopt("", "base", "the generation that the change was made for", "GENERATION");
    options.optopt("", "wait-ms", "how long to wait for all nodes", "MILLISECONDS");
    options.optopt("", "data-centre", "whose nodes a look-up prefers", "NAME");
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
            return ExitCode::from(USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("sardinepick {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match start(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("sardinepick: {failure}");
            failure.code()
        }
    }
}

fn start(matches: &Matches) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let Some((command, rest)) = matches.free.split_first() else {
        return Err(Failure::Usage("a command is needed".to_owned()));
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
        _ => Err(Failure::Usage(format!("{:?} is not a command", matches.free.join(" ")))),
    }
}

/// Reads log lines from files, or without files from standard input.
fn log_lines(files: &[String]) -> Result<Vec<trace::Line>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file)?;
        lines.extend(trace::read(file, &String::from_utf8_lossy(&text)));
    }
    if files.is_empty() {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text)?;
        lines.extend(trace::read("", &String::from_utf8_lossy(&text)));
    }
    Ok(lines)
}

/// Prints what many requests came to, from log lines.
fn account(files: &[String]) -> Result<(), Failure> {
    let account = Account::of(log_lines(files)?);
    if account.is_empty() {
        return Err(Failure::NoRequests);
    }
    show(&account.to_string())
}

/// Writes to standard output. A reader that has seen enough, as behind `head`, is no failure.
fn show(text: &str) -> Result<(), Failure> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        written => Ok(written?),
    }
}

/// Prints a request's way from log lines.
fn explain(id: &str, files: &[String]) -> Result<(), Failure> {
    match trace::Trace::for_request(id, log_lines(files)?) {
        Some(trace) => show(&trace.to_string()),
        None => Err(Failure::NoRequest(id.to_owned())),
    }
}

fn print_key() -> Result<(), Failure> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Failure::Usage("standard input has no key".to_owned()));
    }
    println!("{}", Digest::of(key.as_bytes()));
    Ok(())
}

fn client(matches: &Matches) -> Result<Client, Failure> {
    let usage = |text: String| Failure::Usage(text);
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

fn format(matches: &Matches) -> Result<Format, Failure> {
    match matches.opt_str("output") {
        None => Ok(Format::default()),
        Some(text) => text
            .parse()
            .map_err(|_| Failure::Usage(format!("--output is table or json, not {text:?}"))),
    }
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| Failure::Usage(format!("--{name} is a whole number, not {text:?}")))
}

fn colour() -> Colour {
    if std::io::stdout().is_terminal() { Colour::Yes } else { Colour::No }
}

async fn run(matches: &Matches, text: &str) -> Result<(), Failure> {
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
    let everywhere = outcomes.results.iter().all(|outcome| match outcome {
        sardinepick_cli::client::Outcome::Applied(applied) => applied.applied == applied.nodes,
        sardinepick_cli::client::Outcome::Rows(_) => true,
    });
    if everywhere { Ok(()) } else { Err(Failure::NotEverywhere) }
}

/// Prints a part of a serving node's state as a table.
async fn print_rows(matches: &Matches, rows: fn(&Value) -> Rows) -> Result<(), Failure> {
    let state = client(matches)?.get(serving::STATE).await?;
    let results = vec![Outcome::Rows(rows(&state))];
    let outcomes = Outcomes { results, generation: 0 };
    show(&output::outcomes(&outcomes, format(matches)?, colour()))
}

async fn print_json(matches: &Matches, path: &str) -> Result<(), Failure> {
    let value = client(matches)?.get(path).await?;
    println!("{value:#}");
    Ok(())
}
