//! The planned stop of this node, as known to everything that promises a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::shutdown::{Claim, Schedule};
use tokio::sync::watch;
use tokio::time::sleep;

/// Whether this node stops, and when.
pub struct Shutdown {
    schedule: watch::Sender<Option<Schedule>>,
    aborted: AtomicU64,
    clock: Arc<dyn Clock>,
}

impl Shutdown {
    /// A node that does not stop yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { schedule: watch::Sender::default(), aborted: AtomicU64::default(), clock }
    }

    /// Begins the stop.
    pub fn begin(&self, schedule: Schedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// The deadline of a request that has this one by itself.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.schedule.borrow().map_or(deadline, |schedule| deadline.min(schedule.service_end()))
    }

    /// Whether this node can serve a request whole that begins now. `claim` is called if it stops.
    pub fn accepts(&self, claim: impl FnOnce(Instant) -> Claim) -> bool {
        let schedule = *self.schedule.borrow();
        let now = self.clock.now();
        schedule.is_none_or(|schedule| schedule.accepts(&claim(now), now))
    }

    /// Whether service has ended.
    pub fn is_service_over(&self) -> bool {
        self.schedule.borrow().is_some_and(|schedule| schedule.service_end() <= self.clock.now())
    }

    /// Records that a request that may have run has ended without an answer. Counts it if service
    /// is over.
    pub fn note_unserved(&self) {
        if self.is_service_over() {
            self.aborted.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of requests that the end of service has aborted.
    pub fn aborted(&self) -> u64 {
        self.aborted.load(Ordering::Relaxed)
    }

    /// Waits until service has ended.
    pub async fn service_ended(&self) {
        self.reached(Schedule::service_end).await;
    }

    /// Waits until each handler has to have responded.
    pub async fn response_due(&self) {
        self.reached(Schedule::response_due).await;
    }

    async fn reached(&self, moment: fn(&Schedule) -> Instant) {
        let mut schedules = self.schedule.subscribe();
        let schedule = match schedules.wait_for(Option::is_some).await {
            Ok(schedule) => *schedule,
            Err(_) => None,
        };
        let Some(schedule) = schedule else { return std::future::pending().await };
        // Timers stand still while the machine is suspended, the clock does not.
        loop {
            let left = moment(&schedule).saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}
