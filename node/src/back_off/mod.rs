//! Back-off from runners that reject requests with `Retry-After`.
//!
//! A runner addresses it to the node whose request it rejects; other nodes do not back off.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use sardinepick_lib::clock::Clock;
use sardinepick_lib::decimal::DecimalError;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::Registration;

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// The back-off state of one node.
pub struct BackOffs {
    register: Arc<Mutex<Register>>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl BackOffs {
    /// Creates a state without back-off.
    pub fn new(register: Arc<Mutex<Register>>, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        Self { register, clock, metrics }
    }

    /// Records that a runner rejected `request`, and for how long the runner is to be avoided.
    pub fn note_refused(
        &self,
        registration: &Registration,
        request: &str,
        after: Result<Duration, DecimalError>,
    ) {
        let now = self.clock.now();
        let mut register = lock(&self.register);
        let Some(runner) = register.registered_mut(registration) else { return };
        let outcome = match &after {
            Ok(after) if runner.back_off.note(*after, now) => "begun",
            Ok(_) => "extended",
            Err(_) if runner.back_off.note_malformed() => "malformed",
            Err(_) => return,
        };
        drop(register);
        self.metrics.back_offs.with_label_values(&[outcome]).inc();
        match after {
            Ok(after) => log::info!(
                runner:% = registration.id, request = request, after_ms = after.as_millis() as u64;
                "backing off from a runner"
            ),
            Err(error) => log::warn!(
                runner:% = registration.id, request = request, error:% = error;
                "time to back off is not taken"
            ),
        }
    }
}
