//! Formatting of results as tables or JSON.

use std::fmt::Write as _;

use strum::{Display, EnumString};

use crate::client::{Applied, Outcome, Outcomes, Rows};

/// The output format.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Tables, for people.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
}

/// Whether to use colour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Colour {
    /// Use colour, for terminals.
    Yes,
    /// Use no colour.
    No,
}

const BOLD: &str = "\x1b[1m";
const YELLOW: &str = "\x1b[33m";
const RESET: &str = "\x1b[0m";

/// Formats the results of a command.
pub fn outcomes(outcomes: &Outcomes, format: Format, colour: Colour) -> String {
    match format {
        Format::Json => {
            let mut text =
                serde_json::to_string_pretty(outcomes).expect("results serialize to JSON");
            text.push('\n');
            text
        }
        Format::Table => outcomes
            .results
            .iter()
            .map(|outcome| format_outcome(outcome, colour))
            .collect::<Vec<_>>()
            .join("\n"),
    }
}

fn format_outcome(outcome: &Outcome, colour: Colour) -> String {
    match outcome {
        Outcome::Rows(rows) => format_table(rows, colour),
        Outcome::Applied(applied) => format_change(applied, colour),
    }
}

fn format_change(applied: &Applied, colour: Colour) -> String {
    let mut text = format!(
        "generation {} applied on {} of {} nodes (change {})\n",
        applied.generation, applied.applied, applied.nodes, applied.change_id
    );
    if !applied.waiting_for.is_empty() {
        let line = format!("not yet reached: {}", applied.waiting_for.join(", "));
        let _ = match colour {
            Colour::Yes => writeln!(text, "{YELLOW}{line}{RESET}"),
            Colour::No => writeln!(text, "{line}"),
        };
    }
    text
}

fn format_table(rows: &Rows, colour: Colour) -> String {
    let mut widths: Vec<usize> = rows.columns.iter().map(|c| c.chars().count()).collect();
    for row in &rows.rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &[String]| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}", width = *width))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let head = line(&rows.columns);
    let mut text = match colour {
        Colour::Yes => format!("{BOLD}{head}{RESET}\n"),
        Colour::No => format!("{head}\n"),
    };
    for row in &rows.rows {
        text.push_str(&line(row));
        text.push('\n');
    }
    if !rows.missing.is_empty() {
        let _ = writeln!(text, "did not answer: {}", rows.missing.join(", "));
    }
    text
}
