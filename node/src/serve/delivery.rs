//! Whether the request of a reservation has been sent.

use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::IntGauge;

/// Counts a reservation as undelivered until its request is sent over an established connection, or
/// it is dropped.
#[derive(Debug)]
pub struct Delivery {
    undelivered: IntGauge,
    is_sent: AtomicBool,
}

impl Delivery {
    /// A request that has not been sent yet.
    pub fn new(undelivered: &IntGauge) -> Self {
        undelivered.inc();
        Self { undelivered: undelivered.clone(), is_sent: AtomicBool::new(false) }
    }

    /// Whether the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Records that the request is sent.
    pub fn note_sent(&self) {
        if !self.is_sent.swap(true, Ordering::Relaxed) {
            self.undelivered.dec();
        }
    }

    /// Records that nothing of the request was sent after all.
    pub fn note_unsent(&self) {
        if self.is_sent.swap(false, Ordering::Relaxed) {
            self.undelivered.inc();
        }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.note_sent();
    }
}
