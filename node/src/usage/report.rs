//! Settling finished windows in the store, and reporting them to the platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::Window;
use sardinepick_lib::usage::collection::Verdict;
use sardinepick_lib::usage::ledger::{Ledger, Settled};
use sardinepick_lib::usage::tally::RETAINED_WINDOWS;
use sardinepick_lib::usage::window::Windows;
use sardinepick_platform::duty::{Reply, USAGE_KIND, report_usage};
use sardinepick_platform::store::ResponseError;
use tokio::time::sleep;

use super::Usage;
use crate::duty::caller::{Caller, Outcome};
use crate::duty::tenure::Tenure;
use crate::duty::view::Views;
use crate::history::Tracker;
use crate::serve::metrics::Metrics;
use crate::serve::store::{Client, Purpose, StoreError};

/// How often it is looked whether a window is due.
const PERIOD: Duration = Duration::from_millis(200);
/// How long after the end of a window it is settled: the counts of all nodes have come by then, and
/// clocks that are a little apart do no harm.
const SETTLING: Duration = Duration::from_millis(750);
/// The pause after a report that was not taken.
const PAUSE: Duration = Duration::from_millis(500);
/// The name of the ledger.
const LEDGER: &str = "ledger";
/// The most windows that are settled in one write, as after an outage of the store: some fewer than
/// nodes keep, since they drop the oldest.
const MOST_AT_ONCE: u64 = RETAINED_WINDOWS - 4;

/// The ledger as the store has it.
#[derive(Debug)]
struct Known {
    /// The era in which it was read or written.
    era: Era,
    at: Option<Point>,
    ledger: Ledger,
}

/// What became of looking after the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kept {
    /// It is as it is known.
    Known,
    /// It has to be read anew.
    Unknown,
    /// The store came back from a copy; what this node knows is newer than what that shows.
    Crossed,
}

/// Reports usage while this node holds the duties.
pub struct Reporter {
    /// The counts.
    pub usage: Arc<Usage>,
    /// The nodes.
    pub views: Views,
    /// The lease.
    pub tenure: Arc<Tenure>,
    /// Calls to the platform.
    pub caller: Arc<Caller>,
    /// The store.
    pub store: Arc<Client>,
    /// The era of the store.
    pub history: Arc<Tracker>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Reporter {
    /// Reports until the process ends.
    pub async fn run(self) {
        let Some(windows) = self.usage.windows else { return };
        let mut known = None;
        let mut paused: Option<Instant> = None;
        loop {
            sleep(PERIOD).await;
            self.tenure.want();
            if !self.caller.may_call() {
                // Whoever holds the duties meanwhile may change the ledger.
                known = None;
                continue;
            }
            if known.is_none() {
                known = self.read(windows).await;
            }
            let Some(ledger) = &mut known else { continue };
            if ledger.era != self.history.era() && self.rebase(ledger).await != Kept::Known {
                continue;
            }
            match self.settle(windows, ledger).await {
                Kept::Known => {}
                Kept::Unknown => {
                    known = None;
                    continue;
                }
                Kept::Crossed => continue,
            }
            if paused.is_some_and(|until| self.clock.now() < until) {
                continue;
            }
            paused = self.report(windows, &mut ledger.ledger).await;
        }
    }

    fn time(&self) -> Duration {
        self.usage.time_at(self.clock.now())
    }

    /// Reads the ledger; none if the store does not give it. One of another writer says nothing of what
    /// has been reported, so nothing that ended before is.
    async fn read(&self, windows: Windows) -> Option<Known> {
        let object = match self.store.get(Purpose::Usage, USAGE_KIND, LEDGER).await {
            Ok(object) => object,
            Err(error) => {
                log::info!(error:% = error; "settled usage not read");
                return None;
            }
        };
        let current = windows.at(self.time());
        let (era, has_come_back) = (self.history.era(), self.history.has_come_back());
        let Some(object) = object else {
            // The first holder settles what has ended while it came to hold the duties.
            let before = windows.at(self.time().saturating_sub(windows.length() * 2));
            let next = if has_come_back { current } else { before };
            return Some(Known { era, at: None, ledger: Ledger::starting_at(next) });
        };
        let era = object.at.era;
        let at = Some(object.at);
        let mut ledger: Ledger = serde_json::from_slice(&object.content).unwrap_or_else(|error| {
            log::error!(
                revision:% = object.at, error:% = error;
                "settled usage cannot be read; it begins anew"
            );
            Ledger::starting_at(current.next())
        });
        log::info!(
            next:% = ledger.next, waiting = ledger.waiting.len(), revision:% = object.at;
            "settled usage read"
        );
        if !ledger.is_complete(era, has_come_back) && ledger.next < current {
            log::error!(
                from:% = ledger.next, to:% = current, era:% = era;
                "windows of usage are passed over: the store's copy may lack some that were reported"
            );
            self.note(ledger.next, "in_doubt");
            ledger.next = current;
        }
        Some(Known { era, at, ledger })
    }

    /// Has what this node knows of the ledger go on in another era of the store, in which a copy shows
    /// less of it. This node has held the duties all the while.
    async fn rebase(&self, known: &mut Known) -> Kept {
        let object = match self.store.get(Purpose::Usage, USAGE_KIND, LEDGER).await {
            Ok(object) => object,
            Err(error) => {
                log::info!(error:% = error; "settled usage not read");
                return Kept::Crossed;
            }
        };
        let era = object.as_ref().map_or(self.history.era(), |object| object.at.era);
        log::warn!(
            next:% = known.ledger.next, was:% = known.era, era:% = era;
            "settled usage goes on in another era"
        );
        (known.era, known.at) = (era, object.map(|object| object.at));
        Kept::Known
    }

    /// Settles windows that have ended.
    async fn settle(&self, windows: Windows, known: &mut Known) -> Kept {
        let ended = windows.at(self.time().saturating_sub(SETTLING));
        if known.ledger.next >= ended {
            return Kept::Known;
        }
        let mut next = known.ledger.clone();
        // Counts are kept for some windows only.
        let first = Window(ended.0.saturating_sub(MOST_AT_ONCE)).max(next.next);
        if first > next.next {
            log::error!(from:% = next.next, to:% = first; "windows of usage are too old to report");
            next.next = first;
        }
        let lives = (self.views)().lives;
        let mut changed = false;
        while next.next < ended {
            let window = next.next;
            let total = self.usage.total(windows, window, &lives);
            let after = self.time().saturating_sub(windows.end(window));
            match total.verdict(after) {
                Verdict::Settle => {}
                Verdict::Wait => break,
                Verdict::Skip => {
                    log::error!(
                        window:% = window, nodes = total.nodes, missing = total.missing,
                        after_ms = after.as_millis() as u64;
                        "window of usage is not reported: counts are missing"
                    );
                    self.note(window, "incomplete");
                    next.skip(window);
                    continue;
                }
            }
            let requests: u64 = total.counts.values().sum();
            let accounts = total.counts.len();
            let Some((settled, given_up)) = next.settle(window, total.counts) else { continue };
            if let Some(given_up) = given_up {
                log::error!(window:% = given_up.window; "window of usage is given up");
                self.note(given_up.window, "given_up");
            }
            next = settled;
            changed = true;
            log::info!(
                window:% = window, requests = requests, accounts = accounts, missing = total.missing;
                "window of usage settled"
            );
        }
        if !changed {
            known.ledger = next;
            return Kept::Known;
        }
        next.era = Some(known.era);
        let content = serde_json::json!(next);
        let written = match known.at {
            None => self.store.create(Purpose::Usage, USAGE_KIND, LEDGER, &content).await,
            Some(was) => {
                self.store.replace(Purpose::Usage, USAGE_KIND, LEDGER, was, &content).await
            }
        };
        match written {
            Ok(object) => {
                *known = Known { era: object.at.era, at: Some(object.at), ledger: next };
                Kept::Known
            }
            Err(error) if self.history.era() != known.era => {
                log::info!(error:% = error; "usage not settled in the era that it was read in");
                Kept::Crossed
            }
            Err(StoreError::Refused {
                refused: ResponseError::Conflict(_) | ResponseError::NotFound,
                ..
            }) => {
                log::info!(next:% = next.next; "another node has settled usage");
                Kept::Unknown
            }
            Err(error) => {
                // It may have been written, or be written later; what is there decides.
                log::info!(error:% = error; "usage not known to be settled");
                Kept::Unknown
            }
        }
    }

    /// Reports the oldest settled window. Gives until when to wait if it was not taken.
    async fn report(&self, windows: Windows, ledger: &mut Ledger) -> Option<Instant> {
        let Settled { window, counts } = ledger.due()?.clone();
        let late = self.time().saturating_sub(windows.end(window));
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
                self.note(window, "reported");
                ledger.mark_reported(window);
                None
            }
            Outcome::Replied(Reply::Refused) => {
                log::error!(window:% = window, accounts = accounts; "usage refused for good");
                self.note(window, "refused");
                ledger.mark_reported(window);
                None
            }
            Outcome::Replied(Reply::Busy | Reply::Unavailable)
            | Outcome::NoAnswer
            | Outcome::NotHolder => {
                log::info!(
                    window:% = window, outcome:? = outcome, after_ms = late.as_millis() as u64;
                    "usage not reported yet"
                );
                Some(self.clock.now() + PAUSE)
            }
        }
    }

    fn note(&self, window: Window, outcome: &'static str) {
        self.metrics.windows.with_label_values(&[outcome]).inc();
        self.usage.note_window(window, outcome);
    }
}
