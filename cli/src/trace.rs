//! A request's way through nodes and runners, from the log lines of the nodes.

use std::fmt;

use serde_json::{Map, Value};

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Where it was read: the file, and what stands before the line.
    pub source: String,
    /// Its time, as the node wrote it; such texts are in the order of their times.
    pub time: String,
    /// What it says.
    pub message: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    fn request(&self) -> Option<&str> {
        self.fields.get("request")?.as_str()
    }

    fn fingerprint(&self) -> Option<&str> {
        self.fields.get("fingerprint")?.as_str()
    }
}

/// Reads the lines of one file. What is no log line of ours is passed over: collectors put their
/// own before and between.
pub fn read(file: &str, text: &str) -> Vec<Line> {
    text.lines().filter_map(|line| read_line(file, line)).collect()
}

fn read_line(file: &str, line: &str) -> Option<Line> {
    let (before, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let mut text = |name: &str| fields.remove(name)?.as_str().map(str::to_owned);
    let (time, message) = (text("time")?, text("message")?);
    for name in ["level", "target"] {
        text(name);
    }
    // Collectors put the node's name before the line, often behind a time of their own.
    let node = before.split_whitespace().last().unwrap_or_default();
    let source = [file, node].iter().filter(|part| !part.is_empty()).copied().collect::<Vec<_>>();
    Some(Line { source: source.join(" "), time, message, fields })
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The decisions that touched it, in order of time.
    pub request_lines: Vec<Line>,
    /// What the nodes that had it came to believe shortly before its end.
    pub state_lines: Vec<Line>,
    /// The runners that ended under the same request, in whichever attempt, and what came of it.
    pub terminations: Vec<Line>,
    /// Where runners were closed to it: what runners had said of themselves, in answers to whichever
    /// requests.
    pub announcements: Vec<Line>,
}

/// How many lines of belief are shown: those nearest to the end.
const MOST_BELIEFS: usize = 12;
/// The lines that tell of runners that ended under a request.
const ENDS: [&str; 2] = ["runner ended under a request", "quarantine changes"];
/// How many of them are shown: the first ones, which caused the rest.
const MOST_ENDS: usize = 24;
/// The lines that tell what runners say of themselves.
const SIGNALS: [&str; 4] = [
    "rate limit set",
    "rate limit lifted",
    "runner leaves by its own word",
    "backing off from a runner",
];
/// The reasons of refusals that follow from it.
const CLOSED: [&str; 3] = ["rate_limited", "backing_off", "no_runner"];
/// How many of these lines are shown: those nearest to the end.
const MOST_SIGNALS: usize = 24;

impl Trace {
    /// Finds the lines of a request; none if no line names it.
    pub fn for_request(id: &str, mut lines: Vec<Line>) -> Option<Self> {
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let request_lines: Vec<Line> =
            lines.iter().filter(|line| line.request() == Some(id)).cloned().collect();
        let end = request_lines.last()?.time.clone();
        let here = |line: &&Line| request_lines.iter().any(|w| w.source == line.source);
        let belief = |line: &&Line| line.request().is_none() && line.time <= end;
        let mut state_lines: Vec<Line> =
            lines.iter().filter(here).filter(belief).rev().take(MOST_BELIEFS).cloned().collect();
        state_lines.reverse();
        let fingerprints: Vec<&str> = request_lines.iter().filter_map(Line::fingerprint).collect();
        let of_it = |line: &&Line| line.fingerprint().is_some_and(|f| fingerprints.contains(&f));
        let ends = |line: &&Line| ENDS.contains(&line.message.as_str());
        let terminations =
            lines.iter().filter(ends).filter(of_it).take(MOST_ENDS).cloned().collect();
        let announcements = if request_lines.iter().any(is_closed) {
            announcements(&lines, &end)
        } else {
            Vec::new()
        };
        Some(Self { request_lines, state_lines, terminations, announcements })
    }
}

/// Whether a line refuses a request since runners are closed to it.
fn is_closed(line: &Line) -> bool {
    let reason = line.fields.get("reason").and_then(Value::as_str);
    reason.is_some_and(|reason| CLOSED.contains(&reason))
}

/// What runners had said of themselves until `end`, at all nodes: one may have heard it of another.
fn announcements(lines: &[Line], end: &str) -> Vec<Line> {
    let told = |line: &&Line| SIGNALS.contains(&line.message.as_str()) && line.time.as_str() <= end;
    let mut announcements: Vec<Line> =
        lines.iter().filter(told).rev().take(MOST_SIGNALS).cloned().collect();
    announcements.reverse();
    announcements
}

/// Writes lines of other requests, each behind the request's id.
fn write_others(f: &mut fmt::Formatter<'_>, title: &str, lines: &[Line]) -> fmt::Result {
    if lines.is_empty() {
        return Ok(());
    }
    writeln!(f, "{title}:")?;
    for line in lines {
        if let Some(request) = line.request().filter(|request| !request.is_empty()) {
            write!(f, "  {request}")?;
        }
        write_line(f, line)?;
    }
    Ok(())
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &Line) -> fmt::Result {
    write!(f, "  {}  {}  {}", line.time, line.source, line.message)?;
    for (name, value) in line.fields.iter().filter(|(name, _)| *name != "request") {
        match value {
            Value::String(text) if text.is_empty() => {}
            Value::String(text) => write!(f, "  {name}={text}")?,
            other => write!(f, "  {name}={other}")?,
        }
    }
    writeln!(f)
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "the request's way:")?;
        self.request_lines.iter().try_for_each(|line| write_line(f, line))?;
        writeln!(f, "what its nodes had come to believe before:")?;
        self.state_lines.iter().try_for_each(|line| write_line(f, line))?;
        let ended = "runners that ended under the same request, in any attempt";
        write_others(f, ended, &self.terminations)?;
        let told = "what runners had said of themselves, in answers to other requests";
        write_others(f, told, &self.announcements)
    }
}
