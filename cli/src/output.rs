//! Answers as tables for people and as JSON for programs.

use std::fmt::Write as _;

use strum::{Display, EnumString};

use crate::client::{Applied, Outcome, Outcomes, Rows};

/// How answers are written.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
}

/// Whether colour may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Colour {
    /// On a terminal.
    Yes,
    /// Elsewhere.
    No,
}

const BOLD: &str = "\x1b[1m";
const YELLOW: &str = "\x1b[33m";
const PLAIN: &str = "\x1b[0m";

/// Writes the results of a command.
pub fn outcomes(outcomes: &Outcomes, format: Format, colour: Colour) -> String {
    match format {
        Format::Json => {
            let mut text = serde_json::to_string_pretty(outcomes).expect("results are JSON");
            text.push('\n');
            text
        }
        Format::Table => outcomes
            .results
            .iter()
            .map(|outcome| one(outcome, colour))
            .collect::<Vec<_>>()
            .join("\n"),
    }
}

fn one(outcome: &Outcome, colour: Colour) -> String {
    match outcome {
        Outcome::Rows(rows) => table(rows, colour),
        Outcome::Applied(applied) => change(applied, colour),
    }
}

fn change(applied: &Applied, colour: Colour) -> String {
    let mut text = format!(
        "generation {} applied on {} of {} nodes (change {})\n",
        applied.generation, applied.applied, applied.nodes, applied.change_id
    );
    if !applied.waiting_for.is_empty() {
        let line = format!("not yet reached: {}", applied.waiting_for.join(", "));
        let _ = match colour {
            Colour::Yes => writeln!(text, "{YELLOW}{line}{PLAIN}"),
            Colour::No => writeln!(text, "{line}"),
        };
    }
    text
}

fn table(rows: &Rows, colour: Colour) -> String {
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
        Colour::Yes => format!("{BOLD}{head}{PLAIN}\n"),
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
