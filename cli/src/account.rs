//! Where the time of many requests went, from the log lines of the nodes: by route, by class, and
//! over time. It answers what [`crate::trace`] answers for one request: what binds.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::trace::Line;

/// The length of one row over time, in seconds.
const ROW_SECONDS: u32 = 2;
/// The prompts whose reading is told over time, in tokens: shorter ones are read in one or two pieces
/// whether or not they are kept.
const LONG_PROMPT: f64 = 2_000.0;

/// What a route's requests came to.
#[derive(Clone, Debug, Default, PartialEq)]
struct RouteRow {
    requests: u64,
    answered: u64,
    /// All others, by outcome and reason.
    others: BTreeMap<String, u64>,
}

/// What was predicted and seen in one class, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassRow {
    placed: u64,
    /// First events: predicted, seen.
    first: Vec<(f64, f64)>,
    /// Readings at prefill runners: predicted, held.
    read: Vec<(f64, f64)>,
}

/// What happened in a few seconds.
#[derive(Clone, Debug, Default, PartialEq)]
struct TimeRow {
    ended: u64,
    refused: u64,
    placed: u64,
    late: u64,
    /// Calls that runners turned away.
    turned_away: u64,
    /// Tokens of long prompts, and those of them that were to be read.
    prompt: f64,
    fresh: f64,
}

/// The account of many requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    routes: BTreeMap<String, RouteRow>,
    classes: BTreeMap<u64, ClassRow>,
    times: BTreeMap<String, TimeRow>,
}

/// The latest placement of a request: its class and the first event predicted.
type Placed = BTreeMap<String, (u64, f64)>;

fn number(line: &Line, name: &str) -> Option<f64> {
    line.fields.get(name).and_then(Value::as_f64)
}

fn text<'a>(line: &'a Line, name: &str) -> &'a str {
    line.fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// The start of the row over time to which a time belongs; its text up to the second.
fn row_of(time: &str) -> Option<String> {
    let (minute, second) = (time.get(..17)?, time.get(17..19)?.parse::<u32>().ok()?);
    Some(format!("{minute}{:02}", second / ROW_SECONDS * ROW_SECONDS))
}

impl Account {
    /// Takes the account of log lines, in any order.
    pub fn of(mut lines: Vec<Line>) -> Self {
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let (mut account, mut placed) = (Self::default(), Placed::new());
        for line in &lines {
            let Some(row) = row_of(&line.time) else { continue };
            account.take(line, row, &mut placed);
        }
        account
    }

    /// Whether no line told of a request.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    fn take(&mut self, line: &Line, row: String, placed: &mut Placed) {
        let id = text(line, "request").to_owned();
        match line.message.as_str() {
            "placed" => self.placed(line, row, id, placed),
            "first event" => {
                let seen = number(line, "first_ms");
                if let (Some((class, predicted)), Some(seen)) = (placed.get(&id), seen) {
                    self.classes.entry(*class).or_default().first.push((*predicted, seen));
                }
            }
            "prompt read" => {
                let (predicted, held) = (number(line, "predicted_ms"), number(line, "held_ms"));
                if let (Some((class, _)), Some(p), Some(h)) = (placed.get(&id), predicted, held) {
                    self.classes.entry(*class).or_default().read.push((p, h));
                }
            }
            "runner did not run it" => self.times.entry(row).or_default().turned_away += 1,
            other => {
                if let Some(outcome) = other.strip_prefix("request ") {
                    self.ended(line, row, outcome);
                }
            }
        }
    }

    fn placed(&mut self, line: &Line, row: String, id: String, placed: &mut Placed) {
        let class = line.fields.get("class").and_then(Value::as_u64);
        let (Some(class), Some(first)) = (class, number(line, "first_ms")) else { return };
        placed.insert(id, (class, first));
        self.classes.entry(class).or_default().placed += 1;
        let time = self.times.entry(row).or_default();
        time.placed += 1;
        time.late += u64::from(class == LATE);
        if let (Some(prompt), Some(fresh)) = (number(line, "prompt"), number(line, "fresh"))
            && prompt >= LONG_PROMPT
        {
            time.prompt += prompt;
            time.fresh += fresh;
        }
    }

    fn ended(&mut self, line: &Line, row: String, outcome: &str) {
        let time = self.times.entry(row).or_default();
        time.ended += 1;
        time.refused += u64::from(outcome == "refused");
        let route = self.routes.entry(text(line, "route").to_owned()).or_default();
        route.requests += 1;
        if outcome == "answered" {
            route.answered += 1;
            return;
        }
        let reason = text(line, "reason");
        let name =
            if reason.is_empty() { outcome.to_owned() } else { format!("{outcome}:{reason}") };
        *route.others.entry(name).or_default() += 1;
    }
}

/// The class of late work, as the lines number it.
const LATE: u64 = 3;

/// The value below which `part` of the values lie; none where there are none.
fn quantile(values: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * part) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied()
}

/// Writes a number, or a dash where there is none.
fn cell(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}

fn share(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}

/// How far what was seen lies above what was predicted: the median and the 95th percentile of the
/// ratio.
fn ratios(pairs: &[(f64, f64)]) -> (String, String) {
    let ratio = || pairs.iter().map(|(predicted, seen)| seen / predicted.max(1.0));
    (cell(quantile(ratio(), 0.5), 2), cell(quantile(ratio(), 0.95), 2))
}

impl fmt::Display for Account {
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
            let first = cell(quantile(row.first.iter().map(|(_, seen)| *seen), 0.5), 0);
            let ((a, b), (c, d)) = (ratios(&row.first), ratios(&row.read));
            let (seen, read) = (format!("{a} p95 {b}"), format!("{c} p95 {d}"));
            writeln!(f, "{class:<6} {:>8} {first:>13} {seen:>18} {read:>18}", row.placed)?;
        }
        writeln!(
            f,
            "\n{:<19} {:>7} {:>8} {:>7} {:>5} {:>12} {:>11}",
            "from", "ended", "refused", "placed", "late", "turned away", "read again"
        )?;
        for (time, row) in &self.times {
            let late = cell(share(row.late as f64, row.placed as f64), 2);
            let again = cell(share(row.fresh, row.prompt), 2);
            writeln!(
                f,
                "{time:<19} {:>7} {:>8} {:>7} {late:>5} {:>12} {again:>11}",
                row.ended, row.refused, row.placed, row.turned_away
            )?;
        }
        Ok(())
    }
}
