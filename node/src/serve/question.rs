//! Questions to other nodes by datagrams, and who waits for the answers.

use std::collections::HashMap;

use tokio::sync::oneshot;

/// Questions that are under way, by number.
#[derive(Debug)]
pub struct Questions<T> {
    asked: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self { asked: 0, waiting: HashMap::new() }
    }
}

impl<T> Questions<T> {
    /// A new question: its number, and where its answer comes.
    pub fn ask(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (sender, answer) = oneshot::channel();
        self.asked += 1;
        self.waiting.insert(self.asked, sender);
        (self.asked, answer)
    }

    /// Gives whoever waits the answer. One that comes late or twice finds nobody waiting.
    pub fn answer(&mut self, number: u64, answer: T) {
        if let Some(waiting) = self.waiting.remove(&number) {
            // Whoever has just given up does not hear it.
            let _ = waiting.send(answer);
        }
    }

    /// Gives a question up.
    pub fn give_up(&mut self, number: u64) {
        self.waiting.remove(&number);
    }
}
