//! An estimate of the true time of day, tolerant of clocks that are wrong or stepped.
//!
//! A VM's clock may jump by seconds while the process runs. It is therefore read once at the start
//! and continued with the monotonic clock; afterwards only small differences are followed. If a
//! process started while its clock was wrong, the other nodes correct it: when the median of all
//! estimates differs by much from its own, the node adopts the median.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::id::NodeId;

/// The largest difference to the VM's clock that is followed. A larger one is a step.
const MAX_SLEW: Duration = Duration::from_millis(50);
/// The part of such a difference that each observation corrects.
const SLEW_GAIN: f64 = 0.1;
/// The difference to the median, in seconds, at which the median is adopted. It is well above the
/// transit time of a message and small compared to a usage window of a few seconds.
const STEP_THRESHOLD_S: f64 = 0.25;
/// The minimum number of other nodes for a median.
const MIN_PEERS: usize = 2;
/// How long a time reported by another node is used.
const PEER_SAMPLE_TTL: Duration = Duration::from_secs(10);

/// A node's estimate of the true time.
#[derive(Clone, Debug)]
pub struct Estimate {
    at: Instant,
    /// The time at `at`, since the start of 1970.
    time: Duration,
    /// How far other nodes are ahead of this one, in seconds, and when they reported it.
    peers: HashMap<NodeId, (f64, Instant)>,
}

impl Estimate {
    /// Creates an estimate from the VM's clock.
    pub fn new(now: Instant, wall: SystemTime) -> Self {
        let time = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { at: now, time, peers: HashMap::new() }
    }

    /// The time at `now`, since the start of 1970.
    pub fn at(&self, now: Instant) -> Duration {
        self.time + now.saturating_duration_since(self.at)
    }

    /// Follows small differences to the VM's clock.
    pub fn observe_wall_clock(&mut self, now: Instant, wall: SystemTime) {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let ahead = wall - self.at(now).as_secs_f64();
        if ahead.abs() < MAX_SLEW.as_secs_f64() {
            self.adjust(now, ahead * SLEW_GAIN);
        }
    }

    /// Processes the time estimate of another node. If the median of all estimates differs by much
    /// from this one, adopts the median and returns the correction in seconds.
    pub fn observe_peer(&mut self, now: Instant, node: &NodeId, time: Duration) -> Option<f64> {
        let ahead = time.as_secs_f64() - self.at(now).as_secs_f64();
        self.peers.insert(node.clone(), (ahead, now));
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) < PEER_SAMPLE_TTL);
        if self.peers.len() < MIN_PEERS {
            return None;
        }
        let mut all: Vec<f64> = self.peers.values().map(|(ahead, _)| *ahead).chain([0.0]).collect();
        all.sort_unstable_by(f64::total_cmp);
        let median = all[all.len() / 2];
        if median.abs() < STEP_THRESHOLD_S {
            return None;
        }
        self.adjust(now, median);
        for (ahead, _) in self.peers.values_mut() {
            *ahead -= median;
        }
        Some(median)
    }

    fn adjust(&mut self, now: Instant, seconds: f64) {
        let time = (self.at(now).as_secs_f64() + seconds).max(0.0);
        (self.at, self.time) = (now, Duration::from_secs_f64(time));
    }
}
