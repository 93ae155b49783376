//! One node's share of the retry budget of a service.
//!
//! The platform bounds the extra arrivals at runners, which are those beyond each request's first,
//! per service, in any time window and over all nodes. The nodes do not coordinate: each spends
//! only what its own requests earn, plus its share of the allowance. A restarted node does not know
//! what its former process has spent, so it gets no allowance for one window; otherwise a restart
//! could spend a window's allowance twice.
//!
//! The platform counts the requests of a window, of the one before, or of the one half a window
//! before, whichever has most. A node does the same with its own requests, for every window that
//! has not ended: a node that looked at the last window alone could spend two bursts together that
//! are slightly less than a window apart, although no window of the platform contains both. Callers
//! pick nodes at random, so the maxima of the nodes add up to the platform's maximum.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The bounds in the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals allowed in addition.
    pub allowance: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The fraction of the bounds that is used. The rest covers requests that the platform counts in
/// another window than the node does, and calls that arrive after the node has given up on them.
const USABLE_FRACTION: f64 = 0.7;

/// The number of start times, spread over a window, at which the budget is checked. What is spent
/// between two of them is an eighth of a window's budget, less than the reserve.
const CHECKED_WINDOWS: u32 = 8;

/// One service's budget at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    bounds: Bounds,
    started_at: Instant,
    requests: VecDeque<Instant>,
    extras: VecDeque<Instant>,
    /// Extra arrivals that are reserved and not yet spent or released.
    reserved: usize,
}

impl Budget {
    /// Creates a budget for a process started at `started_at`.
    pub fn new(bounds: Bounds, started_at: Instant) -> Self {
        Self { bounds, started_at, requests: VecDeque::new(), extras: VecDeque::new(), reserved: 0 }
    }

    /// Records a request.
    pub fn note_request(&mut self, now: Instant) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one extra arrival. Returns false if the budget is exhausted. `nodes` is the number of
    /// nodes that share the allowance, including nodes that may be partitioned.
    pub fn take(&mut self, now: Instant, nodes: usize) -> bool {
        let granted = self.reserve(1, now, nodes);
        if granted {
            self.spend(now);
        }
        granted
    }

    /// Reserves `calls` extra arrivals, all or none, so that an attempt of several calls cannot run
    /// out of budget half way. Returns false if the budget does not have them. `nodes` is as for
    /// [`Budget::take`].
    pub fn reserve(&mut self, calls: usize, now: Instant, nodes: usize) -> bool {
        self.prune(now);
        let window_passed = now.saturating_duration_since(self.started_at) >= self.bounds.window;
        let allowance =
            if window_passed { self.bounds.allowance / nodes.max(1) as f64 } else { 0.0 };
        let mut ages =
            (1..=CHECKED_WINDOWS).map(|part| self.bounds.window * part / CHECKED_WINDOWS);
        let granted = ages.all(|age| self.fits(calls, now, age, allowance));
        if granted {
            self.reserved += calls;
        }
        granted
    }

    /// Spends one reserved extra arrival.
    pub fn spend(&mut self, now: Instant) {
        self.reserved -= 1;
        self.extras.push_back(now);
    }

    /// Returns `calls` reserved extra arrivals that will not happen.
    pub fn release(&mut self, calls: usize) {
        self.reserved -= calls;
    }

    /// Whether `calls` more extra arrivals fit into the window that started `age` ago. Reserved ones
    /// may arrive at any time, so they count in every window.
    fn fits(&self, calls: usize, now: Instant, age: Duration, allowance: f64) -> bool {
        let (window, half) = (self.bounds.window, self.bounds.window / 2);
        let spent = count_since(&self.extras, now, age) + self.reserved;
        let between = |from: Duration, to: Option<Duration>| {
            let later = to.map_or(0, |to| count_since(&self.requests, now, to));
            count_since(&self.requests, now, from) - later
        };
        let same = between(age, None);
        let half_before = between(age + half, age.checked_sub(half));
        let before = between(age + window, Some(age));
        let earned = same.max(half_before).max(before) as f64 * self.bounds.ratio;
        ((earned + allowance) * USABLE_FRACTION) as usize >= spent + calls
    }

    /// Drops entries that are too old for any open window.
    fn prune(&mut self, now: Instant) {
        drop_older(&mut self.requests, now, self.bounds.window * 2);
        drop_older(&mut self.extras, now, self.bounds.window);
    }
}

/// The number of entries of `times`, which is sorted, that are less than `age` old.
fn count_since(times: &VecDeque<Instant>, now: Instant, age: Duration) -> usize {
    let older = |at: &Instant| now.saturating_duration_since(*at) >= age;
    times.len() - times.partition_point(older)
}

fn drop_older(times: &mut VecDeque<Instant>, now: Instant, age: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > age) {
        times.pop_front();
    }
}
