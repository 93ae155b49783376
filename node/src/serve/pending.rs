//! Requests to other nodes over UDP that wait for their answers.

use std::collections::HashMap;

use tokio::sync::{mpsc, oneshot};

/// Pending requests by sequence number, each of which may be answered more than once.
#[derive(Debug)]
pub struct Conversations<T> {
    last_number: u64,
    open: HashMap<u64, mpsc::UnboundedSender<T>>,
}

impl<T> Default for Conversations<T> {
    fn default() -> Self {
        Self { last_number: 0, open: HashMap::new() }
    }
}

impl<T> Conversations<T> {
    /// Registers a request: returns its number and the receiver of its answers.
    pub fn register(&mut self) -> (u64, mpsc::UnboundedReceiver<T>) {
        let (sender, answers) = mpsc::unbounded_channel();
        self.last_number += 1;
        self.open.insert(self.last_number, sender);
        (self.last_number, answers)
    }

    /// Passes an answer on. One to a request that has ended is dropped.
    pub fn answer(&mut self, number: u64, answer: T) {
        if let Some(open) = self.open.get(&number) {
            // The receiver may have been dropped meanwhile.
            let _ = open.send(answer);
        }
    }

    /// Ends a request.
    pub fn end(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// Pending requests by sequence number.
#[derive(Debug)]
pub struct Pending<T> {
    last_number: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self { last_number: 0, waiting: HashMap::new() }
    }
}

impl<T> Pending<T> {
    /// Registers a request: returns its number and the receiver of its answer.
    pub fn register(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (sender, answer) = oneshot::channel();
        self.last_number += 1;
        self.waiting.insert(self.last_number, sender);
        (self.last_number, answer)
    }

    /// Resolves a request. A late or duplicate answer is dropped.
    pub fn resolve(&mut self, number: u64, answer: T) {
        if let Some(waiting) = self.waiting.remove(&number) {
            // The receiver may have been dropped meanwhile.
            let _ = waiting.send(answer);
        }
    }

    /// Cancels a request.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.remove(&number);
    }
}
