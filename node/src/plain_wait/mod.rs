//! Waiting of plain requests for a slot at a runner, bounded in number per node.

use std::time::Duration;

use sardinepick_lib::fleet::plain_wait::{Slots, Wait};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::serve::metrics::Metrics;

/// How many requests of this node wait at the same time. Beyond that the runners are not short of a
/// slot for a moment but overloaded, and waiting would only add rejected calls.
const MAX_WAITING: usize = 32;

/// The requests of this node that wait.
pub struct PlainWaits {
    places: Semaphore,
    metrics: Metrics,
}

impl PlainWaits {
    /// No request waits.
    pub fn new(metrics: Metrics) -> Self {
        Self { places: Semaphore::new(MAX_WAITING), metrics }
    }

    /// Waits until a slot may be free. Returns false at once if the answer would be late, or if too
    /// many requests wait.
    pub async fn wait(&self, wait: &mut Wait, left: Duration, slots: Slots, draw: f64) -> bool {
        let Some(duration) = wait.next(left, slots, draw) else {
            self.count("late");
            return false;
        };
        let Ok(_place) = self.places.try_acquire() else {
            self.count("too_many");
            return false;
        };
        self.count("waited");
        sleep(duration).await;
        true
    }

    fn count(&self, outcome: &str) {
        self.metrics.plain_waits.with_label_values(&[outcome]).inc();
    }
}
