//! Traces a request through nodes and runners from the nodes' log lines.

use std::fmt;

use serde_json::{Map, Value};

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The origin of the line: the file, and the node named before the line.
    pub source: String,
    /// The time as logged, in a format that sorts chronologically as text.
    pub time: String,
    /// The log message.
    pub message: String,
    /// All other fields.
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

/// Parses the log lines in the text of a file. Anything else is skipped, because log collectors add
/// lines and prefixes of their own.
pub fn parse_lines(file: &str, text: &str) -> Vec<Line> {
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
    // Log collectors prefix the line with the node's name, often after a timestamp of their own.
    let node = before.split_whitespace().last().unwrap_or_default();
    let source = [file, node].iter().filter(|part| !part.is_empty()).copied().collect::<Vec<_>>();
    Some(Line { source: source.join(" "), time, message, fields })
}

/// The log lines that explain what happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The lines about the request, in chronological order.
    pub request_lines: Vec<Line>,
    /// The lines by which its nodes logged changes of their own state shortly before its end.
    pub state_lines: Vec<Line>,
    /// The terminations of runners during any attempt of the same request, and the resulting
    /// quarantine changes.
    pub terminations: Vec<Line>,
    /// If runners were unavailable to the request: what runners had announced about themselves in
    /// responses to any request.
    pub announcements: Vec<Line>,
}

/// The maximum number of state lines shown; the latest are kept.
const MAX_STATE_LINES: usize = 12;
/// The messages about runners that terminated during a request.
const TERMINATION_MESSAGES: [&str; 2] = ["runner ended under a request", "quarantine changes"];
/// The maximum number of termination lines shown. The first are kept, because they caused the
/// others.
const MAX_TERMINATION_LINES: usize = 24;
/// The messages about what runners announce of themselves.
const ANNOUNCEMENT_MESSAGES: [&str; 4] = [
    "rate limit set",
    "rate limit lifted",
    "runner leaves by its own word",
    "backing off from a runner",
];
/// The refusal reasons that follow from such announcements.
const UNAVAILABLE_REASONS: [&str; 3] = ["rate_limited", "backing_off", "no_runner"];
/// The maximum number of announcement lines shown; the latest are kept.
const MAX_ANNOUNCEMENT_LINES: usize = 24;

impl Trace {
    /// Collects the lines that explain a request, or returns `None` if no line mentions it.
    pub fn for_request(id: &str, mut lines: Vec<Line>) -> Option<Self> {
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let request_lines: Vec<Line> =
            lines.iter().filter(|line| line.request() == Some(id)).cloned().collect();
        let end = request_lines.last()?.time.clone();
        let is_at_same_source =
            |line: &&Line| request_lines.iter().any(|w| w.source == line.source);
        let is_state = |line: &&Line| line.request().is_none() && line.time <= end;
        let mut state_lines: Vec<Line> = lines
            .iter()
            .filter(is_at_same_source)
            .filter(is_state)
            .rev()
            .take(MAX_STATE_LINES)
            .cloned()
            .collect();
        state_lines.reverse();
        let fingerprints: Vec<&str> = request_lines.iter().filter_map(Line::fingerprint).collect();
        let is_same_request =
            |line: &&Line| line.fingerprint().is_some_and(|f| fingerprints.contains(&f));
        let is_termination = |line: &&Line| TERMINATION_MESSAGES.contains(&line.message.as_str());
        let terminations = lines
            .iter()
            .filter(is_termination)
            .filter(is_same_request)
            .take(MAX_TERMINATION_LINES)
            .cloned()
            .collect();
        let announcements = if request_lines.iter().any(is_unavailable) {
            announcements(&lines, &end)
        } else {
            Vec::new()
        };
        Some(Self { request_lines, state_lines, terminations, announcements })
    }
}

/// Returns whether a line reports a refusal because runners are unavailable to the request.
fn is_unavailable(line: &Line) -> bool {
    let reason = line.fields.get("reason").and_then(Value::as_str);
    reason.is_some_and(|reason| UNAVAILABLE_REASONS.contains(&reason))
}

/// Returns what runners had announced until `end`. The lines of all nodes count, because nodes
/// forward announcements to each other.
fn announcements(lines: &[Line], end: &str) -> Vec<Line> {
    let is_announcement = |line: &&Line| {
        ANNOUNCEMENT_MESSAGES.contains(&line.message.as_str()) && line.time.as_str() <= end
    };
    let mut announcements: Vec<Line> =
        lines.iter().filter(is_announcement).rev().take(MAX_ANNOUNCEMENT_LINES).cloned().collect();
    announcements.reverse();
    announcements
}

/// Writes lines of other requests, each prefixed with the id of its request.
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
        let title = "runners that ended under the same request, in any attempt";
        write_others(f, title, &self.terminations)?;
        let title = "what runners had said of themselves, in answers to other requests";
        write_others(f, title, &self.announcements)
    }
}
