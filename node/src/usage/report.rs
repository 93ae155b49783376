//! Settling finished windows in the store's ledger, and reporting them to the platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::Window;
use sardinepick_lib::usage::collection::Verdict;
use sardinepick_lib::usage::ledger::{Ledger, Reported, Settled};
use sardinepick_lib::usage::tally::RETAINED_WINDOWS;
use sardinepick_lib::usage::window::Windows;
use sardinepick_platform::duty::{Reply, USAGE_KIND, report_usage};
use sardinepick_platform::store::ResponseError;
use tokio::time::sleep;

use super::Usage;
use crate::duty::caller::{Caller, Outcome};
use crate::duty::lease::DutyLease;
use crate::duty::view::Views;
use crate::era_tracker::EraTracker;
use crate::serve::metrics::Metrics;
use crate::serve::store::{Client, Purpose, StoreError};

/// How often due windows are checked for.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// How long after its end a window is settled, so that the counts of all nodes have arrived and
/// small clock differences do no harm.
const SETTLE_DELAY: Duration = Duration::from_millis(750);
/// The delay before a failed report is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The name of the ledger object.
const LEDGER: &str = "ledger";
/// The maximum number of windows settled in one write, for instance after an outage of the store:
/// slightly fewer than nodes retain, since they drop the oldest.
const MAX_SETTLED_AT_ONCE: u64 = RETAINED_WINDOWS - 4;

/// The ledger as last read from or written to the store.
#[derive(Debug)]
struct LoadedLedger {
    /// The store's era at that time.
    era: Era,
    at: Option<Point>,
    ledger: Ledger,
}

/// The state of the loaded ledger after an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LedgerState {
    /// It is current.
    Current,
    /// It has to be read again.
    Stale,
    /// The store was restored from a backup, and this node's ledger is newer than the copy's.
    EraChanged,
}

/// Reports usage while this node holds the duties.
pub struct Reporter {
    /// The counts.
    pub usage: Arc<Usage>,
    /// The nodes.
    pub views: Views,
    /// The lease.
    pub duty_lease: Arc<DutyLease>,
    /// Calls to the platform.
    pub caller: Arc<Caller>,
    /// The store.
    pub store: Arc<Client>,
    /// The era of the store.
    pub era_tracker: Arc<EraTracker>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Reporter {
    /// Reports until the process ends.
    pub async fn run(self) {
        let Some(windows) = self.usage.windows else { return };
        let (mut loaded, mut reported) = (None, Reported::default());
        let mut retry_at: Option<Instant> = None;
        loop {
            sleep(CHECK_PERIOD).await;
            self.duty_lease.request();
            if !self.caller.may_call() {
                // Another holder may change the ledger meanwhile.
                loaded = None;
                continue;
            }
            if loaded.is_none() {
                loaded = self.read(windows, &reported).await;
            }
            let Some(ledger) = &mut loaded else { continue };
            if ledger.era != self.era_tracker.era()
                && self.rebase(ledger).await != LedgerState::Current
            {
                continue;
            }
            match self.settle(windows, ledger).await {
                LedgerState::Current => {}
                LedgerState::Stale => {
                    loaded = None;
                    continue;
                }
                LedgerState::EraChanged => continue,
            }
            if retry_at.is_some_and(|until| self.clock.now() < until) {
                continue;
            }
            retry_at = self.report(windows, &mut ledger.ledger, &mut reported).await;
        }
    }

    fn estimated_time(&self) -> Duration {
        self.usage.time_at(self.clock.now())
    }

    /// Reads the ledger; `None` if the store fails. A ledger that cannot be decoded does not tell
    /// which windows were reported, so windows that ended before are not reported.
    async fn read(&self, windows: Windows, reported: &Reported) -> Option<LoadedLedger> {
        let object = match self.store.get(Purpose::Usage, USAGE_KIND, LEDGER).await {
            Ok(object) => object,
            Err(error) => {
                log::info!(error:% = error; "failed to read settled usage");
                return None;
            }
        };
        let current = windows.at(self.estimated_time());
        let (era, was_restored) = (self.era_tracker.era(), self.era_tracker.was_restored());
        let Some(object) = object else {
            // The first holder also settles the windows that ended while it acquired the duties.
            let before = windows.at(self.estimated_time().saturating_sub(windows.length() * 2));
            let next = if was_restored { current } else { before };
            return Some(LoadedLedger { era, at: None, ledger: Ledger::starting_at(next) });
        };
        let era = object.at.era;
        let at = Some(object.at);
        let mut ledger: Ledger = serde_json::from_slice(&object.content).unwrap_or_else(|error| {
            log::error!(
                revision:% = object.at, error:% = error;
                "settled usage cannot be decoded; starting a new ledger"
            );
            Ledger::starting_at(current.next())
        });
        reported.remove_from(&mut ledger);
        log::info!(
            next:% = ledger.next, waiting = ledger.waiting.len(), revision:% = object.at;
            "settled usage read"
        );
        if !ledger.is_complete(era, was_restored) && ledger.next < current {
            log::error!(
                from:% = ledger.next, to:% = current, era:% = era;
                "windows of usage are passed over: the store's copy may lack some that were reported"
            );
            self.record_outcome(ledger.next, "in_doubt");
            ledger.next = current;
        }
        Some(LoadedLedger { era, at, ledger })
    }

    /// Carries this node's ledger over to a new era of the store, whose copy of the ledger is
    /// older. This node has held the duties throughout.
    async fn rebase(&self, loaded: &mut LoadedLedger) -> LedgerState {
        let object = match self.store.get(Purpose::Usage, USAGE_KIND, LEDGER).await {
            Ok(object) => object,
            Err(error) => {
                log::info!(error:% = error; "failed to read settled usage");
                return LedgerState::EraChanged;
            }
        };
        let era = object.as_ref().map_or(self.era_tracker.era(), |object| object.at.era);
        log::warn!(
            next:% = loaded.ledger.next, was:% = loaded.era, era:% = era;
            "settled usage goes on in another era"
        );
        (loaded.era, loaded.at) = (era, object.map(|object| object.at));
        LedgerState::Current
    }

    /// Settles the windows that have ended, and writes the ledger.
    async fn settle(&self, windows: Windows, loaded: &mut LoadedLedger) -> LedgerState {
        let ended = windows.at(self.estimated_time().saturating_sub(SETTLE_DELAY));
        if loaded.ledger.next >= ended {
            return LedgerState::Current;
        }
        let mut next = loaded.ledger.clone();
        // Nodes retain counts for a limited number of windows.
        let first = Window(ended.0.saturating_sub(MAX_SETTLED_AT_ONCE)).max(next.next);
        if first > next.next {
            log::error!(from:% = next.next, to:% = first; "windows of usage are too old to report");
            next.next = first;
        }
        let lifetimes = (self.views)().lifetimes;
        let mut changed = false;
        while next.next < ended {
            let window = next.next;
            let total = self.usage.total(windows, window, &lifetimes);
            let after = self.estimated_time().saturating_sub(windows.end(window));
            match total.verdict(after) {
                Verdict::Settle => {}
                Verdict::Wait => break,
                Verdict::Skip => {
                    log::error!(
                        window:% = window, nodes = total.nodes, missing = total.missing,
                        after_ms = after.as_millis() as u64;
                        "window of usage is not reported: counts are missing"
                    );
                    self.record_outcome(window, "incomplete");
                    next.skip(window);
                    continue;
                }
            }
            let requests: u64 = total.counts.values().sum();
            let accounts = total.counts.len();
            let Some((settled, given_up)) = next.settle(window, total.counts) else { continue };
            if let Some(given_up) = given_up {
                log::error!(window:% = given_up.window; "window of usage is given up");
                self.record_outcome(given_up.window, "given_up");
            }
            next = settled;
            changed = true;
            log::info!(
                window:% = window, requests = requests, accounts = accounts, missing = total.missing;
                "window of usage settled"
            );
        }
        if !changed {
            loaded.ledger = next;
            return LedgerState::Current;
        }
        next.era = Some(loaded.era);
        let content = serde_json::json!(next);
        let written = match loaded.at {
            None => self.store.create(Purpose::Usage, USAGE_KIND, LEDGER, &content).await,
            Some(was) => {
                self.store.replace(Purpose::Usage, USAGE_KIND, LEDGER, was, &content).await
            }
        };
        match written {
            Ok(object) => {
                *loaded = LoadedLedger { era: object.at.era, at: Some(object.at), ledger: next };
                LedgerState::Current
            }
            Err(error) if self.era_tracker.era() != loaded.era => {
                log::info!(error:% = error; "usage not settled: the store's era changed");
                LedgerState::EraChanged
            }
            Err(StoreError::Refused {
                refused: ResponseError::Conflict(_) | ResponseError::NotFound,
                ..
            }) => {
                log::info!(next:% = next.next; "another node has settled usage");
                LedgerState::Stale
            }
            Err(error) => {
                // The write may have succeeded, or may still do so; reading the ledger again shows
                // which.
                log::info!(error:% = error; "outcome of settling usage is unknown");
                LedgerState::Stale
            }
        }
    }

    /// Reports the oldest settled window. Returns when to retry if the report failed.
    async fn report(
        &self,
        windows: Windows,
        ledger: &mut Ledger,
        reported: &mut Reported,
    ) -> Option<Instant> {
        let Settled { window, counts } = ledger.due()?.clone();
        let late = self.estimated_time().saturating_sub(windows.end(window));
        let outcome = self
            .caller
            .call("usage", |address, authority| report_usage(address, authority, window, &counts))
            .await;
        let accounts = counts.len();
        match outcome {
            Outcome::Replied(Reply::Accepted) => {
                log::info!(
                    window:% = window, accounts = accounts, after_ms = late.as_millis() as u64;
                    "usage reported"
                );
                self.record_outcome(window, "reported");
                ledger.mark_reported(window);
                reported.note(window);
                None
            }
            Outcome::Replied(Reply::Refused) => {
                log::error!(window:% = window, accounts = accounts; "usage report rejected by the platform");
                self.record_outcome(window, "refused");
                ledger.mark_reported(window);
                reported.note(window);
                None
            }
            Outcome::Replied(Reply::Busy | Reply::Unavailable)
            | Outcome::NoAnswer
            | Outcome::NotHolder => {
                log::info!(
                    window:% = window, outcome:? = outcome, after_ms = late.as_millis() as u64;
                    "usage not reported yet"
                );
                Some(self.clock.now() + RETRY_DELAY)
            }
        }
    }

    fn record_outcome(&self, window: Window, outcome: &'static str) {
        self.metrics.usage_windows.with_label_values(&[outcome]).inc();
        self.usage.note_window(window, outcome);
    }
}
