//! The interactive shell, with history and completion of keywords and of names fetched from a node.

use std::cell::RefCell;

use rustyline::completion::{Completer, Pair};
use rustyline::error::ReadlineError;
use rustyline::history::DefaultHistory;
use rustyline::{Context, Editor, Helper, Highlighter, Hinter, Validator};
use sardinepick_cli::client::{Client, Command, Outcome};
use sardinepick_cli::output::{self, Format};
use sardinepick_lib::config::record::{Field, Kind};
use sardinepick_lib::language::statement::{Column, Subject};
use strum::IntoEnumIterator as _;
use tokio::runtime::Runtime;

use crate::{CliError, colour};

const KEYWORDS: [&str; 20] = [
    "begin", "commit", "plan", "create", "set", "delete", "drain", "resume", "runner", "show",
    "count", "where", "and", "order by", "limit", "history", "undo", "explain", "service", "roles",
];

/// The subjects whose names are offered for completion.
const COMPLETED_SUBJECTS: [&str; 6] =
    ["services", "runners", "accounts", "policies", "models", "nodes"];

#[derive(Helper, Hinter, Highlighter, Validator)]
struct WordCompleter {
    words: RefCell<Vec<String>>,
}

impl Completer for WordCompleter {
    type Candidate = Pair;

    fn complete(
        &self,
        line: &str,
        position: usize,
        _: &Context<'_>,
    ) -> Result<(usize, Vec<Pair>), ReadlineError> {
        let head = &line[..position];
        let start = head.rfind([' ', ',', '=', '(']).map_or(0, |at| at + 1);
        let prefix = &head[start..];
        let words = self.words.borrow();
        let matching = words.iter().filter(|word| word.starts_with(prefix));
        let pair = |word: &String| Pair { display: word.clone(), replacement: word.clone() };
        Ok((start, matching.map(pair).collect()))
    }
}

/// Returns the keywords of the language and the current names of all subjects.
async fn words(client: &Client) -> Vec<String> {
    let mut words: Vec<String> = KEYWORDS.iter().map(ToString::to_string).collect();
    words.extend(Kind::iter().map(|k| k.to_string()));
    words.extend(Field::iter().map(|f| f.to_string()));
    words.extend(Subject::iter().map(|s| s.to_string()));
    words.extend(Column::iter().map(|c| c.to_string()));
    for subject in COMPLETED_SUBJECTS {
        let command = Command { text: format!("show {subject} (name)"), ..Command::default() };
        let Ok(outcomes) = client.command(&command).await else { continue };
        for outcome in outcomes.results {
            if let Outcome::Rows(rows) = outcome {
                words.extend(rows.rows.into_iter().flatten());
            }
        }
    }
    words.sort();
    words.dedup();
    words
}

/// Returns whether the text has a `begin` without `commit`, so that the statement continues on the
/// next line.
fn has_open_begin(text: &str) -> bool {
    let mut words = text.split([' ', ';', '\n']);
    words.clone().any(|w| w == "begin") && !words.any(|w| w == "commit")
}

/// Runs the shell until the end of input.
pub fn run(runtime: &Runtime, client: &Client, format: Format) -> Result<(), CliError> {
    let mut editor: Editor<WordCompleter, DefaultHistory> = Editor::new()?;
    let words = runtime.block_on(words(client));
    editor.set_helper(Some(WordCompleter { words: RefCell::new(words) }));
    let mut text = String::new();
    loop {
        let prompt = if text.is_empty() { "sardinepick> " } else { "        ...> " };
        let line = match editor.readline(prompt) {
            Ok(line) => line,
            Err(ReadlineError::Interrupted) => {
                text.clear();
                continue;
            }
            Err(ReadlineError::Eof) => return Ok(()),
            Err(error) => return Err(error.into()),
        };
        text.push_str(&line);
        text.push('\n');
        if has_open_begin(&text) {
            continue;
        }
        let whole = std::mem::take(&mut text);
        if whole.trim().is_empty() {
            continue;
        }
        editor.add_history_entry(whole.trim())?;
        let command = Command { text: whole, ..Command::default() };
        match runtime.block_on(client.command(&command)) {
            Ok(outcomes) => print!("{}", output::outcomes(&outcomes, format, colour())),
            Err(error) => eprintln!("{error}"),
        }
    }
}
