//! Requests to other nodes by datagrams that wait for their answers.

use std::collections::HashMap;

use tokio::sync::oneshot;

/// Pending requests, by number.
#[derive(Debug)]
pub struct Pending<T> {
    registered: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self { registered: 0, waiting: HashMap::new() }
    }
}

impl<T> Pending<T> {
    /// Registers a request: its number, and where its answer comes.
    pub fn register(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (sender, answer) = oneshot::channel();
        self.registered += 1;
        self.waiting.insert(self.registered, sender);
        (self.registered, answer)
    }

    /// Resolves a request. An answer that comes late or twice is dropped.
    pub fn resolve(&mut self, number: u64, answer: T) {
        if let Some(waiting) = self.waiting.remove(&number) {
            // The waiter may have just given up.
            let _ = waiting.send(answer);
        }
    }

    /// Cancels a request.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.remove(&number);
    }
}
