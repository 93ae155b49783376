//! The number of runners that the load of a service requires.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How the required number of runners is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The number of runners at the start of the deployment.
    InitialCount,
    /// The peak load within a sliding window, plus headroom.
    Peak,
}

/// The length of the sliding window. Load bursts arrive every few seconds, faster than a runner boots,
/// so the capacity for them has to be in place beforehand.
const PEAK_WINDOW: Duration = Duration::from_secs(30);
/// How long the load must have been observed before fewer runners than at the start can be required.
const MIN_OBSERVATION: Duration = Duration::from_secs(12);
/// How long the number of runners must not have risen for it to count as the initial one. At the start
/// of a deployment runners come up one after the other.
const STABLE_AFTER: Duration = Duration::from_secs(2);
/// The share of a runner's time that the peak load may take.
const MAX_UTILISATION: f64 = 0.6;

/// The capacity that a service requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequiredCapacity {
    /// The number of runners.
    pub count: u32,
    /// Whether the number is known well enough to release runners.
    pub is_stable: bool,
}

/// Estimates the capacity that one service requires.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    policy: Policy,
    /// When load was first observed.
    load_since: Option<Instant>,
    /// The peaks within the window, each lower than the one before.
    peaks: VecDeque<(Instant, f64)>,
    /// The number of runners at the start.
    initial: u32,
    /// When `initial` last rose.
    initial_since: Option<Instant>,
}

impl CapacityEstimator {
    /// An estimator for a service that has not been observed yet.
    pub fn new(policy: Policy) -> Self {
        Self { policy, load_since: None, peaks: VecDeque::new(), initial: 0, initial_since: None }
    }

    /// Updates the estimate and returns it. `busy` is the load as the number of runners that it would
    /// keep fully busy, `serving` the number of runners that take work.
    pub fn update(&mut self, now: Instant, busy: f64, serving: u32) -> RequiredCapacity {
        let is_settled = |at: Instant| now.saturating_duration_since(at) >= STABLE_AFTER;
        let is_stable = self.initial_since.is_some_and(is_settled);
        if serving > self.initial && !is_stable {
            (self.initial, self.initial_since) = (serving, Some(now));
        }
        if busy > 0.0 {
            self.load_since.get_or_insert(now);
        }
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= busy) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, busy));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > PEAK_WINDOW)
        {
            self.peaks.pop_front();
        }
        let initial = f64::from(self.initial);
        let is_observed =
            self.load_since.is_some_and(|at| now.saturating_duration_since(at) >= MIN_OBSERVATION);
        let peak = self.peaks.front().map_or(0.0, |(_, peak)| *peak) / MAX_UTILISATION;
        let count = match self.policy {
            Policy::InitialCount => initial,
            Policy::Peak if is_observed => peak,
            Policy::Peak => peak.max(initial),
        };
        RequiredCapacity { count: count.ceil() as u32, is_stable }
    }
}
