//! Measures what a request of this node uses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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

    /// Records prefill.
    pub fn add_prefill(&self, duration: Duration) {
        self.add(Usage { prefill: duration.as_secs_f64(), ..Usage::default() });
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
