//! True time, estimated from clocks of which some are off or stepped.
//!
//! A VM's time of day may jump by seconds while its process runs. So it is read once, at the start,
//! and carried on by the monotonic clock; after that only small differences are followed. A process
//! that started while its clock was off is put right by the other nodes: where the median of what
//! they take for the time is far from its own, it takes over the median.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::id::NodeId;

/// The largest difference to the VM's own clock that is followed; a larger one is a step.
const FOLLOWED: Duration = Duration::from_millis(50);
/// The part of such a difference that is taken over at each look.
const GAIN: f64 = 0.1;
/// The difference to the median of all nodes from which on it is taken over. It is well above the time
/// that a message takes, and small against a window of some seconds.
const FAR: f64 = 0.25;
/// The fewest other nodes whose median counts.
const FEWEST: usize = 2;
/// How long what another node said counts.
const VALID: Duration = Duration::from_secs(10);

/// A node's estimate of the true time.
#[derive(Clone, Debug)]
pub struct Estimate {
    at: Instant,
    /// The time at `at`, since the start of 1970.
    time: Duration,
    /// How far others are ahead of this node, in seconds, and when they said so.
    others: HashMap<NodeId, (f64, Instant)>,
}

impl Estimate {
    /// An estimate that trusts the VM's clock.
    pub fn new(now: Instant, wall: SystemTime) -> Self {
        let time = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { at: now, time, others: HashMap::new() }
    }

    /// The time at `now`, since the start of 1970.
    pub fn at(&self, now: Instant) -> Duration {
        self.time + now.saturating_duration_since(self.at)
    }

    /// Follows small differences to the VM's clock.
    pub fn observe_wall_clock(&mut self, now: Instant, wall: SystemTime) {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let ahead = wall - self.at(now).as_secs_f64();
        if ahead.abs() < FOLLOWED.as_secs_f64() {
            self.shift(now, ahead * GAIN);
        }
    }

    /// Takes what another node takes for the time. Gives by how many seconds this estimate was moved,
    /// if the median of all is far from it.
    pub fn observe_peer(&mut self, now: Instant, node: &NodeId, time: Duration) -> Option<f64> {
        let ahead = time.as_secs_f64() - self.at(now).as_secs_f64();
        self.others.insert(node.clone(), (ahead, now));
        self.others.retain(|_, (_, at)| now.saturating_duration_since(*at) < VALID);
        if self.others.len() < FEWEST {
            return None;
        }
        let mut all: Vec<f64> =
            self.others.values().map(|(ahead, _)| *ahead).chain([0.0]).collect();
        all.sort_unstable_by(f64::total_cmp);
        let median = all[all.len() / 2];
        if median.abs() < FAR {
            return None;
        }
        self.shift(now, median);
        for (ahead, _) in self.others.values_mut() {
            *ahead -= median;
        }
        Some(median)
    }

    fn shift(&mut self, now: Instant, seconds: f64) {
        let time = (self.at(now).as_secs_f64() + seconds).max(0.0);
        (self.at, self.time) = (now, Duration::from_secs_f64(time));
    }
}
