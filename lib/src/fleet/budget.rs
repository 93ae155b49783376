//! One node's share of the retry budget that all nodes spend together.
//!
//! The users bound the arrivals beyond each request's first, per service, in any window of time and
//! over all nodes. No call is made to agree on it: each node spends only what its own requests
//! earn, and its part of the allowance. A node that starts has forgotten what its process spent
//! before; it gets no allowance for one window, so that a restart cannot spend a window twice.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The bounds, as the users' settings give them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals allowed besides.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the bounds that is spent. The rest covers requests that are counted in another
/// window than ours, and calls that arrive after they were given up.
const SPENT_PART: f64 = 0.7;

/// One service's share at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    bounds: Bounds,
    began: Instant,
    requests: VecDeque<Instant>,
    extras: VecDeque<Instant>,
}

impl Budget {
    /// A share that begins at `began`, the start of the process.
    pub fn new(bounds: Bounds, began: Instant) -> Self {
        Self { bounds, began, requests: VecDeque::new(), extras: VecDeque::new() }
    }

    /// Notes a request.
    pub fn note_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one extra arrival; false if the share is spent. `nodes` is how many nodes share the
    /// allowance, those that may be cut off included.
    pub fn take(&mut self, now: Instant, nodes: usize) -> bool {
        self.forget(now);
        let grown = now.saturating_duration_since(self.began) >= self.bounds.window;
        let allowance = if grown { self.bounds.allowance / nodes.max(1) as f64 } else { 0.0 };
        let earned = self.requests.len() as f64 * self.bounds.ratio;
        let granted = ((earned + allowance) * SPENT_PART) as usize > self.extras.len();
        if granted {
            self.extras.push_back(now);
        }
        granted
    }

    fn forget(&mut self, now: Instant) {
        let window = self.bounds.window;
        let old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.extras.front().is_some_and(old) {
            self.extras.pop_front();
        }
    }
}
