//! Distributes a large object to many nodes that request it at the same time.
//!
//! The case it handles is a new configuration of up to a megabyte, which a few nodes have and all
//! others request at once, over links of 10 Mbit/s. Copies that share a link all finish late, and
//! an aborted copy has cost as much as a complete one. So a node sends few copies at a time while
//! the other requesters wait, and each node that has received a copy takes over half of those: this
//! way n nodes have it after the time of log2 n copies, with all copies at once after that of n.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// The minimum number of concurrent copies: with a single one, a receiver that has become
/// unreachable would block all others.
const MIN_CONCURRENT: usize = 2;
/// The bytes that a node sends concurrently: what 10 Mbit/s, the slowest link in the reference
/// specification, carries in 50 ms. Small copies need not wait for each other.
const CONCURRENT_BYTES: usize = 64 << 10;

/// The response to a waiting requester.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// It is sent its copy now.
    Send,
    /// It should ask this node, which has just received a copy.
    Redirect(SocketAddr),
}

/// The nodes that request a copy from one node; `W` represents a waiting one.
#[derive(Debug)]
pub struct Fanout<W> {
    sending: usize,
    waiting: VecDeque<W>,
}

impl<W> Default for Fanout<W> {
    fn default() -> Self {
        Self { sending: 0, waiting: VecDeque::new() }
    }
}

impl<W> Fanout<W> {
    /// Handles a request for a copy of `bytes` bytes. Returns whether it is sent now; its end must
    /// then be reported with [`Fanout::end`]. Otherwise the requester waits.
    pub fn ask(&mut self, waiter: impl FnOnce() -> W, bytes: usize) -> bool {
        let now = self.sending < max_concurrent(bytes);
        if now {
            self.sending += 1;
        } else {
            self.waiting.push_back(waiter());
        }
        now
    }

    /// Records that a copy has ended, with the receiver if it was complete, and returns the
    /// responses to requesters that no longer need to wait. `bytes` is the size of the next copies.
    pub fn end(&mut self, receiver: Option<SocketAddr>, bytes: usize) -> Vec<(W, Response)> {
        self.sending = self.sending.saturating_sub(1);
        let mut responses = Vec::new();
        let free = max_concurrent(bytes).saturating_sub(self.sending).min(self.waiting.len());
        self.sending += free;
        responses.extend(self.waiting.drain(..free).map(|waiter| (waiter, Response::Send)));
        if let Some(receiver) = receiver {
            let kept = self.waiting.len() / 2;
            let redirected = self.waiting.drain(kept..);
            responses.extend(redirected.map(|waiter| (waiter, Response::Redirect(receiver))));
        }
        responses
    }

    /// Removes requesters that no longer wait.
    pub fn retain(&mut self, waits: impl FnMut(&W) -> bool) {
        self.waiting.retain(waits);
    }

    /// The number of waiting requesters.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn max_concurrent(bytes: usize) -> usize {
    (CONCURRENT_BYTES / bytes.max(1)).max(MIN_CONCURRENT)
}
