//! The progress of a connection, shared by its socket, its requests and its timer.

use std::io;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::caller_connection::{ExchangeNumber, Progress, State, Unanswered};
use smol_str::SmolStr;

use crate::lock::lock;
use crate::observed::Observer;

/// The activity of one connection.
pub(super) struct Activity {
    progress: Mutex<Progress>,
    clock: Arc<dyn Clock>,
}

impl Activity {
    /// Creates the activity of a connection that has just been accepted.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { progress: Mutex::new(Progress::new(clock.now())), clock }
    }

    /// What the connection is doing.
    pub fn state(&self) -> State {
        lock(&self.progress).state()
    }

    /// The last request and how long ago it was read, if it has no complete response.
    pub fn unanswered(&self) -> Option<(Unanswered, Duration)> {
        let progress = lock(&self.progress);
        progress.unanswered(self.clock.now()).map(|(request, waited)| (request.clone(), waited))
    }

    /// Records that the head of a request has been read.
    pub fn begin(self: &Arc<Self>, request: SmolStr) -> Arc<Exchange> {
        let number = lock(&self.progress).begin(request, self.clock.now());
        Arc::new(Exchange { activity: self.clone(), number })
    }
}

impl Observer for Arc<Activity> {
    fn note_read(&mut self, bytes: usize) {
        if bytes > 0 {
            lock(&self.progress).note_read(self.clock.now());
        }
    }

    fn note_write(&mut self, written: &Poll<io::Result<usize>>) {
        let now = self.clock.now();
        match written {
            Poll::Ready(Ok(_)) => lock(&self.progress).note_sent(now),
            Poll::Ready(Err(_)) => {}
            // The bytes wait until the caller reads earlier ones.
            Poll::Pending => lock(&self.progress).note_blocked(now),
        }
    }
}

/// A request in progress, until the last reference is dropped.
pub(super) struct Exchange {
    activity: Arc<Activity>,
    number: ExchangeNumber,
}

impl Exchange {
    /// Records that the body of the request has been read to its end.
    pub fn note_body_read(&self) {
        lock(&self.activity.progress).note_body_read(self.number);
    }

    /// Records that the response is complete.
    pub fn note_answered(&self) {
        lock(&self.activity.progress).note_answered(self.number);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let now = self.activity.clock.now();
        lock(&self.activity.progress).end(self.number, now);
    }
}
