//! Tracking of the platform store's era on one node, from the store's responses and from other
//! nodes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::HeaderMap;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::history::{CurrentEra, Era, EraChange, Point};
use sardinepick_platform::store::read_era;
use thiserror::Error;
use tokio::sync::watch;

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// The minimum interval between log lines about eras that are rejected.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a response of the store is rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EraError {
    /// It is from an era that has ended.
    #[error("the response is from era {received}, which ended when era {known} began")]
    Former {
        /// The era that the response names.
        received: Era,
        /// The current era.
        known: Era,
    },
    /// It is more than one era ahead, and that era is not confirmed yet.
    #[error("the response is from era {received}, more than one after {known}, and is unconfirmed")]
    Unconfirmed {
        /// The era that the response names.
        received: Era,
        /// The current era.
        known: Era,
    },
}

/// The store's era as this node knows it.
pub struct EraTracker {
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    current: Mutex<CurrentEra>,
    /// Whether any response of the store has named an era.
    is_named: AtomicBool,
    last_logged: Mutex<Option<Instant>>,
    changed: watch::Sender<Era>,
}

impl EraTracker {
    /// Creates a tracker that knows no era.
    pub fn new(clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let changed = watch::Sender::new(Era::default());
        Self {
            clock,
            metrics,
            current: Mutex::default(),
            is_named: AtomicBool::new(false),
            last_logged: Mutex::default(),
            changed,
        }
    }

    fn current(&self) -> MutexGuard<'_, CurrentEra> {
        lock(&self.current)
    }

    /// The current era.
    pub fn era(&self) -> Era {
        self.current().era()
    }

    /// When the current era became known; `None` if none is known.
    pub fn since(&self) -> Option<Instant> {
        self.current().since()
    }

    /// Until when a missing entry may still reappear: after the store has been restored from a
    /// copy, the writer of an entry writes it again.
    pub fn doubt(&self, now: Instant) -> Option<Instant> {
        self.current().grace_until(now, DOUBT)
    }

    /// Whether the store has been restored from a backup since this process started.
    pub fn was_restored(&self) -> bool {
        self.current().was_restored()
    }

    /// A channel that receives each change of the era.
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.changed.subscribe()
    }

    /// Reads the era from the headers of a response. A response that names no era, or an unreadable
    /// one, counts as being from the current era.
    ///
    /// # Errors
    /// The response must not be used.
    pub fn note_answer(&self, headers: &HeaderMap) -> Result<Era, EraError> {
        match read_era(headers) {
            Ok(Some(received)) => {
                self.is_named.store(true, Ordering::Relaxed);
                self.note(received, "store")
            }
            Ok(None) => {
                self.ensure_initial_era();
                Ok(self.era())
            }
            Err(fault) => {
                self.count("unreadable");
                if self.is_log_due() {
                    log::warn!(error:% = fault, era:% = self.era(); "store's era cannot be read");
                }
                Ok(self.era())
            }
        }
    }

    /// Handles the era that another node knows.
    pub fn note_peer_era(&self, received: Era, node: &str) {
        // A node that lags behind is not a fault of the store.
        if received > self.era() {
            let _ = self.note(received, node);
        }
    }

    /// Handles a list response whose revision is lower than that of an earlier response in the same
    /// era. A store that names no eras has then been restored from a backup; all nodes that observe
    /// this advance to the next era.
    pub fn note_revision_fall(&self, was: Point, as_of: Point) {
        self.count("revision_fell");
        let is_named = self.is_named.load(Ordering::Relaxed);
        if self.is_log_due() {
            log::warn!(was:% = was, as_of:% = as_of, named = is_named; "store's revision fell");
        }
        if !is_named {
            self.ensure_initial_era();
            // Another task of this node may have observed it first.
            let _ = self.note(Era(was.era.0 + 1), "revisions");
        }
    }

    /// Sets the initial era of a store that names none, if no era is known.
    fn ensure_initial_era(&self) {
        let mut current = self.current();
        if current.since().is_none() {
            current.observe(Era::default(), self.clock.now());
        }
    }

    fn note(&self, received: Era, source: &str) -> Result<Era, EraError> {
        let (known, change) = {
            let mut current = self.current();
            let known = current.era();
            (known, current.observe(received, self.clock.now()))
        };
        match change {
            EraChange::Same => return Ok(received),
            EraChange::First => {
                self.count("first");
                log::info!(era:% = received, source = source; "store's era known");
            }
            EraChange::Later { before } => {
                self.count("later");
                log::warn!(
                    era:% = received, before:% = before, source = source;
                    "store came back from a copy"
                );
            }
            EraChange::Earlier => {
                self.count("former");
                if self.is_log_due() {
                    log::warn!(era:% = received, known:% = known; "answer of a former era not used");
                }
                return Err(EraError::Former { received, known });
            }
            EraChange::Unconfirmed => {
                self.count("unconfirmed");
                if self.is_log_due() {
                    log::warn!(era:% = received, known:% = known; "store's era not believed yet");
                }
                return Err(EraError::Unconfirmed { received, known });
            }
        }
        self.metrics.store_era.set(i64::from(received.0));
        // Two changes in quick succession may arrive here out of order.
        self.changed.send_if_modified(|known| {
            let is_later = received > *known;
            *known = received.max(*known);
            is_later
        });
        Ok(received)
    }

    fn count(&self, outcome: &str) {
        self.metrics.store_eras.with_label_values(&[outcome]).inc();
    }

    fn is_log_due(&self) -> bool {
        let now = self.clock.now();
        let mut last_logged = lock(&self.last_logged);
        let due = last_logged.is_none_or(|at| now >= at + LOG_INTERVAL);
        if due {
            *last_logged = Some(now);
        }
        due
    }
}
