//! The number of runners at the start of a deployment.

use std::time::{Duration, Instant};

use super::plan::Supply;

/// How long the number of runners must not have risen for it to count as the initial one. At the start
/// of a deployment runners come up one after the other.
const STABLE_AFTER: Duration = Duration::from_secs(2);

/// Determines the initial number of runners of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialCount {
    count: u32,
    /// When `count` last rose.
    since: Option<Instant>,
}

impl InitialCount {
    /// Updates the number with the number of runners that take work, until it is stable.
    pub fn observe(&mut self, now: Instant, serving: u32) {
        if serving > self.count && !self.is_stable(now) {
            (self.count, self.since) = (serving, Some(now));
        }
    }

    /// The number.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether the number has not risen for some time.
    pub fn is_stable(&self, now: Instant) -> bool {
        self.since.is_some_and(|at| now.saturating_duration_since(at) >= STABLE_AFTER)
    }
}

/// Returns the number of runners that serve while the reclaimable ones of one data centre are away.
/// Reclaimable runners are ordered on top of the requirement to cover this loss, so a count that
/// included all of them would take the surplus for required.
pub fn assured(supply: &[Supply]) -> u32 {
    let serving: u32 = supply.iter().flat_map(|s| s.serving).sum();
    serving - supply.iter().map(|s| s.serving[1]).max().unwrap_or_default()
}
