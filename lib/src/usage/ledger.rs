//! The ledger of settled windows in the platform's store.
//!
//! The counts of a window are written to the ledger before its first report and never change
//! afterwards. A write succeeds only against the revision that it is based on. If two nodes both act
//! as reporter, only one of them settles a window, and both report the counts that it wrote.
//!
//! When the store is restored from a backup, the ledger can lack the windows that were settled
//! last, which may already have been reported. The node that settled them still has them and
//! continues. Any other node skips all windows that had ended by then, because a second, different
//! total for a window would be wrong.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::window::Counts;
use crate::history::Era;
use crate::id::Window;

/// The maximum number of settled windows that wait to be reported. Beyond that the oldest is dropped.
pub const MAX_WAITING: usize = 16;

/// A settled window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The window.
    pub window: Window,
    /// The final counts of the window.
    pub counts: Counts,
}

/// The settled windows and the position up to which windows are settled.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The first window that is not settled.
    pub next: Window,
    /// Settled windows that are not known to have been reported, oldest first.
    pub waiting: Vec<Settled>,
    /// The store era in which this ledger was written; `None` for ledgers written by versions that
    /// did not record it.
    #[serde(default)]
    pub era: Option<Era>,
}

impl Ledger {
    /// An empty ledger whose first window to settle is `next`.
    pub fn starting_at(next: Window) -> Self {
        Self { next, waiting: Vec::new(), era: None }
    }

    /// Whether the ledger contains everything that was settled up to era `present`. A ledger that
    /// was written before the store was restored from a backup may lack windows. `was_restored`
    /// says whether the store is known to have been restored.
    pub fn is_complete(&self, present: Era, was_restored: bool) -> bool {
        self.era.map_or(!was_restored, |era| era == present)
    }

    /// Settles a window. Returns the new ledger and the window that was dropped because too many were
    /// waiting, or `None` if `window` is already settled.
    pub fn settle(&self, window: Window, counts: Counts) -> Option<(Self, Option<Settled>)> {
        if window < self.next {
            return None;
        }
        let mut ledger = self.clone();
        ledger.next = window.next();
        ledger.waiting.push(Settled { window, counts });
        let dropped = (ledger.waiting.len() > MAX_WAITING).then(|| ledger.waiting.remove(0));
        Some((ledger, dropped))
    }

    /// Skips a window that cannot be reported.
    pub fn skip(&mut self, window: Window) {
        self.next = self.next.max(window.next());
    }

    /// The next window to report.
    pub fn due(&self) -> Option<&Settled> {
        self.waiting.first()
    }

    /// Removes a window that has been reported.
    pub fn mark_reported(&mut self, window: Window) {
        self.waiting.retain(|settled| settled.window != window);
    }
}

/// The windows that this process has reported last. The ledger in the store has each until the next
/// window is settled.
#[derive(Clone, Debug, Default)]
pub struct Reported(VecDeque<Window>);

impl Reported {
    /// Records that the platform has answered the report of a window.
    pub fn note(&mut self, window: Window) {
        if self.0.len() >= MAX_WAITING {
            self.0.pop_front();
        }
        self.0.push_back(window);
    }

    /// Removes the reported windows from a ledger that has been read.
    pub fn remove_from(&self, ledger: &mut Ledger) {
        self.0.iter().for_each(|window| ledger.mark_reported(*window));
    }
}
