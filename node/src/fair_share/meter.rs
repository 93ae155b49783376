//! Measures what a request of this node uses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use sardinepick_lib::fleet::share::Usage;

use super::FairShares;
use crate::lock::lock;

/// The charge for a request at the scheduler that let it start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The scheduler; `None` for this node.
    pub scheduler: Option<SocketAddr>,
    /// The number of the query.
    pub number: u64,
}

/// Measures the use of one request. It is reported when the request is charged again and when the
/// meter is dropped, however the request ends.
pub struct Meter {
    shares: Arc<FairShares>,
    current: Mutex<Option<(Charge, Usage)>>,
}

impl Meter {
    /// Creates a meter that is not charged yet.
    pub fn new(shares: Arc<FairShares>) -> Self {
        Self { shares, current: Mutex::default() }
    }

    /// Records that a scheduler has charged the request.
    pub fn set(&self, charge: Charge) {
        let previous = lock(&self.current).replace((charge, Usage::default()));
        self.report(previous);
    }

    /// Starts to measure a prefill that is predicted to begin in `wait` seconds.
    pub fn prefill(self: &Arc<Self>, wait: f64) -> PrefillMeter {
        PrefillMeter { meter: self.clone(), wait, began: self.shares.clock.now() }
    }

    /// Starts to record a stream that holds `tokens` of memory, until the result is dropped.
    pub fn stream(self: &Arc<Self>, tokens: u64) -> StreamMeter {
        StreamMeter { meter: self.clone(), tokens, began: self.shares.clock.now() }
    }

    fn add(&self, more: Usage) {
        if let Some((_, usage)) = &mut *lock(&self.current) {
            usage.prefill += more.prefill;
            usage.decode += more.decode;
            usage.memory += more.memory;
        }
    }

    fn report(&self, charged: Option<(Charge, Usage)>) {
        if let Some((charge, usage)) = charged {
            self.shares.note_used(&charge, usage);
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let current = lock(&self.current).take();
        self.report(current);
    }
}

/// Measures a prefill. Work that is given up before its first event is charged for the time until
/// then, so that an account cannot use runners for free by leaving early.
pub struct PrefillMeter {
    meter: Arc<Meter>,
    wait: f64,
    began: Instant,
}

impl PrefillMeter {
    /// Records that the prefill has ended.
    pub fn record(self) {
        let now = self.meter.shares.clock.now();
        let held = now.saturating_duration_since(self.began).as_secs_f64();
        self.meter.add(Usage { prefill: (held - self.wait).max(0.0), ..Usage::default() });
    }
}

/// Records a stream while it runs.
pub struct StreamMeter {
    meter: Arc<Meter>,
    tokens: u64,
    began: Instant,
}

impl Drop for StreamMeter {
    fn drop(&mut self) {
        let now = self.meter.shares.clock.now();
        let decode = now.saturating_duration_since(self.began).as_secs_f64();
        let memory = self.tokens as f64 * decode;
        self.meter.add(Usage { prefill: 0.0, decode, memory });
    }
}
