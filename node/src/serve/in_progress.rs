//! The requests that a node has in progress, and the report of those that it still has when it
//! stops.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use prometheus::{IntCounterVec, IntGauge};
use sardinepick_lib::id::RunnerId;
use smallvec::SmallVec;
use smol_str::SmolStr;
use strum::{EnumCount, EnumIter, IntoEnumIterator as _, IntoStaticStr};

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// The maximum number of requests that are logged at one step of a stop, so that the report of a
/// loaded node leaves room in the queue of the log.
const MAX_LISTED: usize = 64;

/// How far a request has advanced.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Its head has been read: its key is being checked, its body read or its stream looked up.
    ReadingBody,
    /// No runner has it.
    Waiting,
    /// A runner runs it, or may; nothing has been sent to the caller.
    Running,
    /// The head of its response has been sent to the caller.
    Streaming,
}

/// A step of a stop.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// The node has closed its listener.
    Close,
    /// Service is about to end: the requests that are left are refused, or their streams cut.
    ServiceEnd,
    /// The node no longer waits for responses to be sent.
    Abort,
    /// The process exits.
    Exit,
}

/// What is known of a request in progress.
#[derive(Clone, Debug)]
struct Entry {
    arrived: Instant,
    id: SmolStr,
    route: SmolStr,
    /// `None` until the request has been admitted.
    deadline: Option<Instant>,
    is_read: bool,
    /// The runners that have been called, without those that have certainly not run the request.
    runners: SmallVec<[RunnerId; 2]>,
    is_head_sent: bool,
    events: u64,
    bytes: u64,
}

impl Entry {
    fn state(&self) -> State {
        match (self.is_head_sent, self.runners.is_empty(), self.is_read) {
            (true, ..) => State::Streaming,
            (false, false, _) => State::Running,
            (false, true, true) => State::Waiting,
            (false, true, false) => State::ReadingBody,
        }
    }
}

/// Records how a request in progress advances.
#[derive(Clone, Debug)]
pub struct Progress(Arc<Mutex<Entry>>);

impl Progress {
    fn new(arrived: Instant, id: SmolStr) -> Self {
        Self(Arc::new(Mutex::new(Entry {
            arrived,
            id,
            route: SmolStr::default(),
            deadline: None,
            is_read: false,
            runners: SmallVec::new(),
            is_head_sent: false,
            events: 0,
            bytes: 0,
        })))
    }

    /// Records the route and the deadline of the request.
    pub fn note_admitted(&self, route: &SmolStr, deadline: Instant) {
        let mut entry = lock(&self.0);
        entry.route = route.clone();
        entry.deadline = Some(deadline);
    }

    /// Records that the request has been read.
    pub fn note_read(&self) {
        lock(&self.0).is_read = true;
    }

    /// Records that a runner is called to run the request.
    pub fn note_call(&self, runner: &RunnerId) {
        lock(&self.0).runners.push(runner.clone());
    }

    /// Records that a call to a runner has certainly not run the request.
    pub fn note_not_run(&self, runner: &RunnerId) {
        let mut entry = lock(&self.0);
        if let Some(at) = entry.runners.iter().rposition(|called| called == runner) {
            entry.runners.remove(at);
        }
    }

    /// Records that the head of the response has been sent.
    pub fn note_head(&self) {
        lock(&self.0).is_head_sent = true;
    }

    /// Records that an event of this size has been handed to the caller's connection.
    pub fn note_event(&self, bytes: usize) {
        let mut entry = lock(&self.0);
        entry.events += 1;
        entry.bytes += bytes as u64;
    }
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct InProgress {
    table: Table,
    key: u64,
    progress: Progress,
}

impl InProgress {
    /// The handle that records how the request advances.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        lock(&self.table.entries).requests.remove(&self.key);
        self.table.count.dec();
    }
}

#[derive(Debug, Default)]
struct Entries {
    next_key: u64,
    /// By order of arrival.
    requests: BTreeMap<u64, Progress>,
}

/// The requests in progress.
#[derive(Clone, Debug)]
pub struct Table {
    entries: Arc<Mutex<Entries>>,
    count: IntGauge,
}

impl Table {
    /// An empty table, whose size `count` shows.
    pub fn new(count: IntGauge) -> Self {
        Self { entries: Arc::default(), count }
    }

    /// Adds a request whose head has been read.
    pub fn begin(&self, arrived: Instant, id: SmolStr) -> InProgress {
        let progress = Progress::new(arrived, id);
        self.count.inc();
        let mut entries = lock(&self.entries);
        let key = entries.next_key;
        entries.next_key += 1;
        entries.requests.insert(key, progress.clone());
        InProgress { table: self.clone(), key, progress }
    }

    fn snapshot(&self) -> Vec<Entry> {
        let requests: Vec<_> = lock(&self.entries).requests.values().cloned().collect();
        requests.iter().map(|progress| lock(&progress.0).clone()).collect()
    }
}

/// What a stopping node has open apart from requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open {
    /// Connections of callers.
    pub connections: i64,
    /// Connections forwarded for other nodes.
    pub relays: usize,
}

/// The report of a stop.
#[derive(Clone, Debug)]
pub struct Report {
    table: Table,
    /// Requests still in progress, by step and state.
    counts: IntCounterVec,
    /// When the stop began.
    began: Instant,
}

impl Report {
    /// The report of a stop that has begun at `began`.
    pub fn new(table: &Table, metrics: &Metrics, began: Instant) -> Self {
        Self { table: table.clone(), counts: metrics.stop_requests.clone(), began }
    }

    /// Logs and counts the requests still in progress at `step`, the latest first, since a node is
    /// least likely to finish those.
    pub fn note(&self, step: Step, open: Open, now: Instant) {
        let entries = self.table.snapshot();
        let name: &str = step.into();
        let mut counts = [0_u64; State::COUNT];
        for entry in &entries {
            counts[entry.state() as usize] += 1;
        }
        for (state, count) in State::iter().zip(counts) {
            self.counts.with_label_values(&[name, state.into()]).inc_by(count);
        }
        let count_of = |state: State| counts[state as usize];
        log::info!(
            step = name, at_ms = signed_millis(now, self.began), requests = entries.len(),
            reading_body = count_of(State::ReadingBody), waiting = count_of(State::Waiting),
            running = count_of(State::Running), streaming = count_of(State::Streaming),
            unlisted = entries.len().saturating_sub(MAX_LISTED),
            connections = open.connections, relays = open.relays; "stop advanced"
        );
        for entry in entries.iter().rev().take(MAX_LISTED) {
            self.log(name, entry, now);
        }
    }

    fn log(&self, step: &str, entry: &Entry, now: Instant) {
        let state: &str = entry.state().into();
        log::info!(
            request:% = entry.id, route:% = entry.route, step = step, state = state,
            arrived_ms = signed_millis(entry.arrived, self.began),
            left_ms = entry.deadline.map(|deadline| signed_millis(deadline, now)),
            runner = entry.runners.last().map(RunnerId::as_str).unwrap_or_default(),
            head_sent = entry.is_head_sent, events = entry.events,
            bytes = entry.bytes; "still in progress at stop"
        );
    }
}

/// Milliseconds from `since` to `at`; negative if that is earlier.
fn signed_millis(at: Instant, since: Instant) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    match at.checked_duration_since(since) {
        Some(after) => millis(after),
        None => -millis(since.saturating_duration_since(at)),
    }
}
