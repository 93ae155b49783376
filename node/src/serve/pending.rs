//! Requests to other nodes over UDP that wait for their answers.

use std::collections::HashMap;

use tokio::sync::oneshot;

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
