//! Giving something large to many nodes that ask for it in the same instant.
//!
//! The load: a new configuration of up to a megabyte, which a few nodes have and all others ask them
//! for at once, over links of 10 Mbit/s. Copies that share a link end late together, and a copy that
//! is given up has cost as much as one that arrives. So a node gives few copies at a time while the
//! others wait, and whoever has just got one takes over half of those: with copies in turn n nodes
//! have it after the time of log2 n copies, with all at once after that of n.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// The fewest copies that a node gives at once: with one alone, a receiver whose path is cut would
/// hold up all others.
const FEWEST: usize = 2;
/// Bytes that a node gives at once; what 10 Mbit/s, the thinnest link of the users' sheets, carry in
/// 50 ms. Small copies need not wait for each other.
const AT_ONCE: usize = 64 << 10;

/// What becomes of a node that asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It is given its copy now.
    Given,
    /// It should ask this node, which has just got one.
    Elsewhere(SocketAddr),
}

/// The nodes that ask one node; `W` stands for one that waits.
#[derive(Debug)]
pub struct Fanout<W> {
    given: usize,
    waiting: VecDeque<W>,
}

impl<W> Default for Fanout<W> {
    fn default() -> Self {
        Self { given: 0, waiting: VecDeque::new() }
    }
}

impl<W> Fanout<W> {
    /// Takes in a node that asks for a copy of `bytes` bytes. True if it is given one now; its end
    /// is to be told by [`Fanout::end`]. Otherwise it waits.
    pub fn ask(&mut self, waiter: impl FnOnce() -> W, bytes: usize) -> bool {
        let now = self.given < most_at_once(bytes);
        if now {
            self.given += 1;
        } else {
            self.waiting.push_back(waiter());
        }
        now
    }

    /// Notes that a copy has ended, with the node that got it whole if one did, and gives the turns
    /// of those that need not wait any more. `bytes` is the size of the next copies.
    pub fn end(&mut self, receiver: Option<SocketAddr>, bytes: usize) -> Vec<(W, Turn)> {
        self.given = self.given.saturating_sub(1);
        let mut turns = Vec::new();
        let free = most_at_once(bytes).saturating_sub(self.given).min(self.waiting.len());
        self.given += free;
        turns.extend(self.waiting.drain(..free).map(|waiter| (waiter, Turn::Given)));
        if let Some(receiver) = receiver {
            let stay = self.waiting.len() / 2;
            let go = self.waiting.drain(stay..);
            turns.extend(go.map(|waiter| (waiter, Turn::Elsewhere(receiver))));
        }
        turns
    }

    /// Forgets those that wait no more.
    pub fn retain(&mut self, waits: impl FnMut(&W) -> bool) {
        self.waiting.retain(waits);
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn most_at_once(bytes: usize) -> usize {
    (AT_ONCE / bytes.max(1)).max(FEWEST)
}
