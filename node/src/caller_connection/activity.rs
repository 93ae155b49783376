//! What a caller's connection is doing.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::route::Limits;
use smol_str::SmolStr;

use crate::lock::lock;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// It waits for the first byte of a request, since this time.
    Idle(Instant),
    /// The head of a request is being read, since this time.
    ReadingHead(Instant),
    /// A request is in progress: its body is being read, or its response is not complete.
    Busy,
}

impl State {
    /// When the state has lasted as long as `limits` allow; `None` if it has no limit.
    pub fn expires_at(self, limits: Limits) -> Option<Instant> {
        match self {
            State::Idle(since) => Some(since + limits.idle_timeout),
            State::ReadingHead(since) => Some(since + limits.head_timeout),
            State::Busy => None,
        }
    }
}

/// A request whose response is not complete.
#[derive(Clone, Debug)]
pub(super) struct Unanswered {
    /// Its id.
    pub request: SmolStr,
    /// When its head had been read.
    pub began: Instant,
}

#[derive(Debug)]
struct Progress {
    state: State,
    unanswered: Option<Unanswered>,
}

/// The activity of one connection.
pub(super) struct Activity {
    progress: Mutex<Progress>,
    clock: Arc<dyn Clock>,
}

impl Activity {
    /// Creates the activity of a connection that has just been accepted.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let progress = Progress { state: State::Idle(clock.now()), unanswered: None };
        Self { progress: Mutex::new(progress), clock }
    }

    /// What the connection is doing.
    pub fn state(&self) -> State {
        lock(&self.progress).state
    }

    /// The last request, if its response is not complete.
    pub fn unanswered(&self) -> Option<(Unanswered, Duration)> {
        let unanswered = lock(&self.progress).unanswered.clone()?;
        let waited = self.clock.now().saturating_duration_since(unanswered.began);
        Some((unanswered, waited))
    }

    /// Records that bytes have been read.
    pub fn note_read(&self) {
        let mut progress = lock(&self.progress);
        if let State::Idle(_) = progress.state {
            progress.state = State::ReadingHead(self.clock.now());
        }
    }

    /// Records that the head of a request has been read.
    pub fn begin(self: &Arc<Self>, request: SmolStr) -> Arc<Exchange> {
        let began = self.clock.now();
        *lock(&self.progress) =
            Progress { state: State::Busy, unanswered: Some(Unanswered { request, began }) };
        Arc::new(Exchange(self.clone()))
    }
}

/// A request in progress, until the last reference is dropped.
pub(super) struct Exchange(Arc<Activity>);

impl Exchange {
    /// Records that the response is complete.
    pub fn note_answered(&self) {
        lock(&self.0.progress).unanswered = None;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        lock(&self.0.progress).state = State::Idle(self.0.clock.now());
    }
}
