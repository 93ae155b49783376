//! The windows that have been settled, as the platform's store keeps them.
//!
//! A window's counts are written here before they are reported for the first time, and never change
//! after that. A write takes effect only on the revision it was made from, so of two nodes that take
//! themselves for the reporter one settles a window, and both report what it has written.
//!
//! A store that comes back from a copy shows a ledger without the windows that were settled last, which
//! may have been reported. Who settled them knows and goes on; anybody else passes over all that had
//! ended, as a second sum of a window would be a false one.

use serde::{Deserialize, Serialize};

use super::window::Counts;
use crate::history::Era;
use crate::id::Window;

/// The most windows that wait to be reported; the oldest is given up for a new one.
pub const MOST_WAITING: usize = 16;

/// A settled window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The window.
    pub window: Window,
    /// Its counts.
    pub counts: Counts,
}

/// The ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The first window that is not settled.
    pub next: Window,
    /// Settled windows that are not known to have been reported, oldest first.
    pub waiting: Vec<Settled>,
    /// The era of the store in which this was written; none of a version that did not say it.
    #[serde(default)]
    pub era: Option<Era>,
}

impl Ledger {
    /// A ledger in which nothing is settled that ends before `next` begins.
    pub fn starting_at(next: Window) -> Self {
        Self { next, waiting: Vec::new(), era: None }
    }

    /// Whether this is all that has been settled, in the era `present`: a ledger that was written before
    /// the store came back from a copy may lack windows. `has_come_back` is whether it is known to have.
    pub fn is_complete(&self, present: Era, has_come_back: bool) -> bool {
        self.era.map_or(!has_come_back, |era| era == present)
    }

    /// The ledger with a window settled; none if that is settled already. Gives up the oldest of too
    /// many that wait.
    pub fn settle(&self, window: Window, counts: Counts) -> Option<(Self, Option<Settled>)> {
        if window < self.next {
            return None;
        }
        let mut ledger = self.clone();
        ledger.next = window.next();
        ledger.waiting.push(Settled { window, counts });
        let given_up = (ledger.waiting.len() > MOST_WAITING).then(|| ledger.waiting.remove(0));
        Some((ledger, given_up))
    }

    /// Passes over a window that cannot be reported.
    pub fn skip(&mut self, window: Window) {
        self.next = self.next.max(window.next());
    }

    /// The next to be reported.
    pub fn due(&self) -> Option<&Settled> {
        self.waiting.first()
    }

    /// Notes that a window has been reported.
    pub fn mark_reported(&mut self, window: Window) {
        self.waiting.retain(|settled| settled.window != window);
    }
}
