//! The retry budget of a service.
//!
//! Without a bound every fault makes more requests, and a slow fleet is buried in its own
//! retries. The budget lets retries be a share of the first tries, with a small reserve so that a
//! service with little work can retry at all.

use std::time::{Duration, Instant};

use crate::unit::Percent;

/// The largest number of retries that can be saved up.
pub const MAX_SAVED: f64 = 100.0;

/// Retries a second that are granted whatever the number of first tries.
pub const RESERVE_RATE: f64 = 1.0;

/// The most that the reserve saves up.
pub const MAX_RESERVE: f64 = 10.0;

/// The retry budget of one service at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    share: Percent,
    saved: f64,
    reserve: f64,
    refilled_at: Instant,
}

impl Budget {
    /// A budget that grants retries for `share` of the first tries.
    pub fn new(share: Percent, now: Instant) -> Self {
        Self { share, saved: 0.0, reserve: MAX_RESERVE, refilled_at: now }
    }

    /// Changes the share, keeping what is saved.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + f64::from(self.share.0) / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let from = if self.saved >= 1.0 { &mut self.saved } else { &mut self.reserve };
        let granted = *from >= 1.0;
        if granted {
            *from -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: Instant) {
        let passed: Duration = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.reserve = (self.reserve + passed.as_secs_f64() * RESERVE_RATE).min(MAX_RESERVE);
    }
}
