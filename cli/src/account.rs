//! Summarizes the requests in the nodes' log lines by route, by class and over time, to show what
//! limits them. [`crate::trace`] does this for a single request.

use std::collections::BTreeMap;
use std::fmt;

use sardinepick_lib::fleet::load::CLASSES;
use serde_json::Value;

use crate::trace::Line;

/// The interval that a row over time covers.
const ROW_INTERVAL_SECONDS: u32 = 2;
/// The minimum prompt length for the prefill share over time, in tokens. Shorter prompts take one
/// or two prefill chunks whether or not they are cached.
const LONG_PROMPT_TOKENS: f64 = 2_000.0;

/// The outcomes of a route's requests.
#[derive(Clone, Debug, Default, PartialEq)]
struct RouteRow {
    requests: u64,
    answered: u64,
    /// The number of all other requests, by outcome and reason.
    others: BTreeMap<String, u64>,
}

/// Predicted and observed times of a class, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassRow {
    placed: u64,
    /// Times to the first event: predicted, observed.
    first: Vec<(f64, f64)>,
    /// Prefill times at prefill runners: predicted, observed.
    read: Vec<(f64, f64)>,
}

/// Counts of an interval.
#[derive(Clone, Debug, Default, PartialEq)]
struct TimeRow {
    ended: u64,
    refused: u64,
    placed: u64,
    late: u64,
    /// The number of calls that runners rejected.
    turned_away: u64,
    /// The number of tokens of long prompts, and how many of them were not cached.
    prompt: f64,
    fresh: f64,
}

/// A summary of many requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSummary {
    routes: BTreeMap<String, RouteRow>,
    classes: BTreeMap<u64, ClassRow>,
    times: BTreeMap<String, TimeRow>,
}

/// The latest placement of each request: its class and the predicted time to the first event.
type Placements = BTreeMap<String, (u64, f64)>;

fn number_field(line: &Line, name: &str) -> Option<f64> {
    line.fields.get(name).and_then(Value::as_f64)
}

fn text_field<'a>(line: &'a Line, name: &str) -> &'a str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Returns the start of the interval that contains `time`, as text with a precision of seconds.
fn interval_start(time: &str) -> Option<String> {
    let (minute, second) = (time.get(..17)?, time.get(17..19)?.parse::<u32>().ok()?);
    Some(format!("{minute}{:02}", second / ROW_INTERVAL_SECONDS * ROW_INTERVAL_SECONDS))
}

impl RequestSummary {
    /// Summarizes log lines, which can be in any order.
    pub fn from_lines(mut lines: Vec<Line>) -> Self {
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let (mut summary, mut placements) = (Self::default(), Placements::new());
        for line in &lines {
            let Some(row) = interval_start(&line.time) else { continue };
            summary.add_line(line, row, &mut placements);
        }
        summary
    }

    /// Returns whether no line was about a request.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    fn add_line(&mut self, line: &Line, row: String, placements: &mut Placements) {
        let id = text_field(line, "request").to_owned();
        match line.message.as_str() {
            "placed" => self.add_placed(line, row, id, placements),
            "first event" => {
                let observed = number_field(line, "first_ms");
                if let (Some((class, predicted)), Some(observed)) = (placements.get(&id), observed)
                {
                    self.classes.entry(*class).or_default().first.push((*predicted, observed));
                }
            }
            "prompt read" => {
                let (predicted, observed) =
                    (number_field(line, "predicted_ms"), number_field(line, "held_ms"));
                if let (Some((class, _)), Some(predicted), Some(observed)) =
                    (placements.get(&id), predicted, observed)
                {
                    self.classes.entry(*class).or_default().read.push((predicted, observed));
                }
            }
            "runner did not run it" => self.times.entry(row).or_default().turned_away += 1,
            other => {
                if let Some(outcome) = other.strip_prefix("request ") {
                    self.add_ended(line, row, outcome);
                }
            }
        }
    }

    fn add_placed(&mut self, line: &Line, row: String, id: String, placements: &mut Placements) {
        let class = line.fields.get("class").and_then(Value::as_u64);
        let (Some(class), Some(first)) = (class, number_field(line, "first_ms")) else { return };
        placements.insert(id, (class, first));
        self.classes.entry(class).or_default().placed += 1;
        let time = self.times.entry(row).or_default();
        time.placed += 1;
        time.late += u64::from(class == LATE_CLASS);
        if let (Some(prompt), Some(fresh)) =
            (number_field(line, "prompt"), number_field(line, "fresh"))
            && prompt >= LONG_PROMPT_TOKENS
        {
            time.prompt += prompt;
            time.fresh += fresh;
        }
    }

    fn add_ended(&mut self, line: &Line, row: String, outcome: &str) {
        let time = self.times.entry(row).or_default();
        time.ended += 1;
        time.refused += u64::from(outcome == "refused");
        let route = self.routes.entry(text_field(line, "route").to_owned()).or_default();
        route.requests += 1;
        if outcome == "answered" {
            route.answered += 1;
            return;
        }
        let reason = text_field(line, "reason");
        let name =
            if reason.is_empty() { outcome.to_owned() } else { format!("{outcome}:{reason}") };
        *route.others.entry(name).or_default() += 1;
    }
}

/// The number of the class of late requests in the log lines.
const LATE_CLASS: u64 = CLASSES as u64 - 1;

/// Returns the value below which a `fraction` of the values lie, or `None` without values.
fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * fraction) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied()
}

/// Formats a number, or a dash for `None`.
fn format_cell(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}

fn share(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}

/// Returns the median and the 95th percentile of the ratio of observed to predicted times.
fn ratios(pairs: &[(f64, f64)]) -> (String, String) {
    let ratio = || pairs.iter().map(|(predicted, observed)| observed / predicted.max(1.0));
    (format_cell(quantile(ratio(), 0.5), 2), format_cell(quantile(ratio(), 0.95), 2))
}

impl fmt::Display for RequestSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<24} {:>9} {:>9}  others", "route", "requests", "answered")?;
        for (name, row) in &self.routes {
            let others: Vec<String> =
                row.others.iter().map(|(what, count)| format!("{what} {count}")).collect();
            let others = others.join(", ");
            writeln!(f, "{name:<24} {:>9} {:>9}  {others}", row.requests, row.answered)?;
        }
        writeln!(
            f,
            "\n{:<6} {:>8} {:>13} {:>18} {:>18}",
            "class", "placed", "first ms p50", "seen/predicted", "read/predicted"
        )?;
        for (class, row) in &self.classes {
            let first =
                format_cell(quantile(row.first.iter().map(|(_, observed)| *observed), 0.5), 0);
            let ((a, b), (c, d)) = (ratios(&row.first), ratios(&row.read));
            let (first_ratio, read_ratio) = (format!("{a} p95 {b}"), format!("{c} p95 {d}"));
            writeln!(
                f,
                "{class:<6} {:>8} {first:>13} {first_ratio:>18} {read_ratio:>18}",
                row.placed
            )?;
        }
        writeln!(
            f,
            "\n{:<19} {:>7} {:>8} {:>7} {:>5} {:>12} {:>11}",
            "from", "ended", "refused", "placed", "late", "turned away", "read again"
        )?;
        for (time, row) in &self.times {
            let late = format_cell(share(row.late as f64, row.placed as f64), 2);
            let again = format_cell(share(row.fresh, row.prompt), 2);
            writeln!(
                f,
                "{time:<19} {:>7} {:>8} {:>7} {late:>5} {:>12} {again:>11}",
                row.ended, row.refused, row.placed, row.turned_away
            )?;
        }
        Ok(())
    }
}
