//! The era of the platform's store, as one node knows it from the store's answers and other nodes.

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

/// How often the log tells of eras that are not believed.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Why an answer is not used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EraError {
    /// It is of an era that is over.
    #[error("the answer is of era {shown}, which ended when {known} began")]
    Former {
        /// The era that it names.
        shown: Era,
        /// The present one.
        known: Era,
    },
    /// Its era is not believed yet.
    #[error("the answer is of era {shown}, more than one after {known}, and is not believed yet")]
    Unconfirmed {
        /// The era that it names.
        shown: Era,
        /// The present one.
        known: Era,
    },
}

/// What is known of the store's era.
pub struct Tracker {
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    present: Mutex<CurrentEra>,
    /// Whether an answer of the store has ever named an era.
    is_named: AtomicBool,
    logged: Mutex<Option<Instant>>,
    changed: watch::Sender<Era>,
}

impl Tracker {
    /// A tracker to which no era has been shown.
    pub fn new(clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let changed = watch::Sender::new(Era::default());
        Self {
            clock,
            metrics,
            present: Mutex::default(),
            is_named: AtomicBool::new(false),
            logged: Mutex::default(),
            changed,
        }
    }

    fn present(&self) -> MutexGuard<'_, CurrentEra> {
        lock(&self.present)
    }

    /// The present era.
    pub fn era(&self) -> Era {
        self.present().era()
    }

    /// Since when the present era has been known; none if none is.
    pub fn since(&self) -> Option<Instant> {
        self.present().since()
    }

    /// Until when an entry that is missing now is doubted, as who wrote it writes it again after the
    /// store has come back from a copy.
    pub fn doubt(&self, now: Instant) -> Option<Instant> {
        self.present().grace_until(now, DOUBT)
    }

    /// Whether the store has come back from a copy in this process's life.
    pub fn has_come_back(&self) -> bool {
        self.present().was_restored()
    }

    /// Tells of each change of the era.
    pub fn changes(&self) -> watch::Receiver<Era> {
        self.changed.subscribe()
    }

    /// Takes in the headers of an answer, and gives the era of what it says. An answer that names none,
    /// or names it so that it cannot be read, is taken to be of the present one.
    ///
    /// # Errors
    /// The answer must not be used.
    pub fn note_answer(&self, headers: &HeaderMap) -> Result<Era, EraError> {
        match read_era(headers) {
            Ok(Some(shown)) => {
                self.is_named.store(true, Ordering::Relaxed);
                self.note(shown, "store")
            }
            Ok(None) => {
                self.begin_unnamed();
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

    /// Takes in the era that another node knows.
    pub fn note_told(&self, shown: Era, node: &str) {
        // What another node says late is no fault of the store.
        if shown > self.era() {
            let _ = self.note(shown, node);
        }
    }

    /// Takes in that a list is as of an earlier revision than an answer before it, in one era. A store
    /// that names no eras has come back from a copy then; all nodes that see it take the next era for
    /// the present one.
    pub fn note_fall(&self, was: Point, as_of: Point) {
        self.count("revision_fell");
        let is_named = self.is_named.load(Ordering::Relaxed);
        if self.is_log_due() {
            log::warn!(was:% = was, as_of:% = as_of, named = is_named; "store's revision fell");
        }
        if !is_named {
            self.begin_unnamed();
            // Another part of this node may have seen it first.
            let _ = self.note(Era(was.era.0 + 1), "revisions");
        }
    }

    /// Has the era of a store that names none be the present one, if none is known.
    fn begin_unnamed(&self) {
        let mut present = self.present();
        if present.since().is_none() {
            present.observe(Era::default(), self.clock.now());
        }
    }

    fn note(&self, shown: Era, source: &str) -> Result<Era, EraError> {
        let (known, sight) = {
            let mut present = self.present();
            let known = present.era();
            (known, present.observe(shown, self.clock.now()))
        };
        match sight {
            EraChange::Same => return Ok(shown),
            EraChange::First => {
                self.count("first");
                log::info!(era:% = shown, source = source; "store's era known");
            }
            EraChange::Later { before } => {
                self.count("later");
                log::warn!(
                    era:% = shown, before:% = before, source = source;
                    "store came back from a copy"
                );
            }
            EraChange::Earlier => {
                self.count("former");
                if self.is_log_due() {
                    log::warn!(era:% = shown, known:% = known; "answer of a former era not used");
                }
                return Err(EraError::Former { shown, known });
            }
            EraChange::Unconfirmed => {
                self.count("unconfirmed");
                if self.is_log_due() {
                    log::warn!(era:% = shown, known:% = known; "store's era not believed yet");
                }
                return Err(EraError::Unconfirmed { shown, known });
            }
        }
        self.metrics.era.set(i64::from(shown.0));
        // Two changes close together may come here in the other order.
        self.changed.send_if_modified(|known| {
            let is_later = shown > *known;
            *known = shown.max(*known);
            is_later
        });
        Ok(shown)
    }

    fn count(&self, outcome: &str) {
        self.metrics.eras.with_label_values(&[outcome]).inc();
    }

    fn is_log_due(&self) -> bool {
        let now = self.clock.now();
        let mut logged = lock(&self.logged);
        let due = logged.is_none_or(|at| now >= at + LOG_PERIOD);
        if due {
            *logged = Some(now);
        }
        due
    }
}
