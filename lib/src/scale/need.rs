//! How many runners a load needs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// By what the number is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// As many as there were.
    InitialCount,
    /// By the peak of a sliding window, with headroom.
    Peak,
}

/// How long a peak counts. Bursts come every few seconds, faster than a runner starts, so what they
/// need has to be there before them.
const WINDOW: Duration = Duration::from_secs(30);
/// How long the load has to have been seen before fewer runners are needed than there were.
const SEEN: Duration = Duration::from_secs(12);
/// How long the number of runners has to have been no higher for it to be taken as what there is: at
/// the start of a deployment they come one after the other.
const STEADY: Duration = Duration::from_secs(2);
/// The part of a runner's time that the load may take at its peak.
const UTILISATION: f64 = 0.6;

/// What is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Needed {
    /// How many runners.
    pub count: u32,
    /// Whether that is known well enough for runners to be given back.
    pub steady: bool,
}

/// The need of one service.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    policy: Policy,
    /// When load was first seen.
    since: Option<Instant>,
    /// The peaks that count, each lower than the one before.
    peaks: VecDeque<(Instant, f64)>,
    /// How many runners there were at first, and since when that is known.
    found: u32,
    grown: Option<Instant>,
}

impl CapacityEstimator {
    /// The need of a service of which nothing has been seen.
    pub fn new(policy: Policy) -> Self {
        Self { policy, since: None, peaks: VecDeque::new(), found: 0, grown: None }
    }

    /// Takes in the load, in runners that would be busy all the time with it, and how many serve now.
    /// Gives how many are needed.
    pub fn update(&mut self, now: Instant, busy: f64, serving: u32) -> Needed {
        let is_steady = |at: Instant| now.saturating_duration_since(at) >= STEADY;
        let steady = self.grown.is_some_and(is_steady);
        if serving > self.found && !steady {
            (self.found, self.grown) = (serving, Some(now));
        }
        if busy > 0.0 {
            self.since.get_or_insert(now);
        }
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= busy) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, busy));
        while self.peaks.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > WINDOW)
        {
            self.peaks.pop_front();
        }
        let found = f64::from(self.found);
        let seen = self.since.is_some_and(|at| now.saturating_duration_since(at) >= SEEN);
        let peak = self.peaks.front().map_or(0.0, |(_, peak)| *peak) / UTILISATION;
        let need = match self.policy {
            Policy::InitialCount => found,
            Policy::Peak if seen => peak,
            Policy::Peak => peak.max(found),
        };
        Needed { count: need.ceil() as u32, steady }
    }
}
