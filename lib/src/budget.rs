//! The retry budget of a service.
//!
//! Without a limit every fault causes more requests, and retries overload a fleet that has become
//! slow. The budget limits retries to a share of the first attempts. A small reserve allows retries
//! in a service with little traffic.

use std::time::{Duration, Instant};

use crate::unit::Percent;

/// The largest number of retries that can accumulate.
pub const MAX_SAVED: f64 = 100.0;

/// Retries per second that are allowed regardless of first attempts.
pub const RESERVE_RATE: f64 = 1.0;

/// The largest number of retries that the reserve accumulates.
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
    /// Creates a budget that allows retries for `share` of the first attempts.
    pub fn new(share: Percent, now: Instant) -> Self {
        Self { share, saved: 0.0, reserve: MAX_RESERVE, refilled_at: now }
    }

    /// Changes the share and keeps the accumulated retries.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + f64::from(self.share.0) / 100.0).min(MAX_SAVED);
    }

    /// Takes one retry from the budget. Returns `false` if it is empty.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let source = if self.saved >= 1.0 { &mut self.saved } else { &mut self.reserve };
        let granted = *source >= 1.0;
        if granted {
            *source -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: Instant) {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.reserve = (self.reserve + elapsed.as_secs_f64() * RESERVE_RATE).min(MAX_RESERVE);
    }
}
