//! The shell: statements line by line, with history and completion of names from the live system.

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

use crate::{Failure, colour};

const KEYWORDS: [&str; 20] = [
    "begin", "commit", "plan", "create", "set", "delete", "drain", "resume", "runner", "show",
    "count", "where", "and", "order by", "limit", "history", "undo", "explain", "service", "roles",
];

/// The subjects whose names are completed.
const NAMED: [&str; 6] = ["services", "runners", "accounts", "policies", "models", "nodes"];

#[derive(Helper, Hinter, Highlighter, Validator)]
struct Words {
    words: RefCell<Vec<String>>,
}

impl Completer for Words {
    type Candidate = Pair;

    fn complete(
        &self,
        line: &str,
        position: usize,
        _: &Context<'_>,
    ) -> Result<(usize, Vec<Pair>), ReadlineError> {
        let head = &line[..position];
        let start = head.rfind([' ', ',', '=', '(']).map_or(0, |at| at + 1);
        let begun = &head[start..];
        let words = self.words.borrow();
        let fits = words.iter().filter(|word| word.starts_with(begun));
        let pair = |word: &String| Pair { display: word.clone(), replacement: word.clone() };
        Ok((start, fits.map(pair).collect()))
    }
}

/// The words of the language and the names that the system knows now.
async fn words(client: &Client) -> Vec<String> {
    let mut words: Vec<String> = KEYWORDS.iter().map(ToString::to_string).collect();
    words.extend(Kind::iter().map(|k| k.to_string()));
    words.extend(Field::iter().map(|f| f.to_string()));
    words.extend(Subject::iter().map(|s| s.to_string()));
    words.extend(Column::iter().map(|c| c.to_string()));
    for subject in NAMED {
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

/// Whether a text has an open `begin`, so that more lines belong to it.
fn is_open(text: &str) -> bool {
    let mut words = text.split([' ', ';', '\n']);
    words.clone().any(|w| w == "begin") && !words.any(|w| w == "commit")
}

/// Runs the shell until its input ends.
pub fn run(runtime: &Runtime, client: &Client, format: Format) -> Result<(), Failure> {
    let mut editor: Editor<Words, DefaultHistory> = Editor::new()?;
    let words = runtime.block_on(words(client));
    editor.set_helper(Some(Words { words: RefCell::new(words) }));
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
        if is_open(&text) {
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
