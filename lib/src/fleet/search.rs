//! The search for other nodes by a node that hears too few of them.
//!
//! Nodes hear each other over few edges. After the loss of most nodes those that are left may share
//! none, and a node that hears no other cannot tell that the others have failed. So a node that
//! hears less than half of those that should send it heartbeats sends probes to all nodes that it
//! knows, present or silent, a few at a time. Nodes are placed on a ring by a hash of their ids, and
//! each node begins behind its own place: of two nodes that search, one reaches the other within
//! half a round.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::roster::PROBE_AFTER;

/// The number of nodes probed at a time.
pub const WIDTH: usize = 6;
/// The minimum time between two groups of probes, somewhat less than the heartbeat interval at
/// which they are sent: 550 nodes are probed in 18 s, at three quarters of the cost of the heartbeats.
const PERIOD: Duration = Duration::from_millis(180);
/// How long a node hears too few others before it searches: those that have failed are usually
/// reported as silent by then.
const DELAY: Duration = PROBE_AFTER;

/// The progress of a node's search.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Since when the node hears too few others.
    since: Option<Instant>,
    is_active: bool,
    /// The node's own place on the ring.
    mine: u64,
    /// The place of the last node probed.
    place: u64,
    probed_at: Option<Instant>,
}

impl Search {
    /// Creates the state of a node that has the place `mine` on the ring.
    pub(super) fn new(mine: u64) -> Self {
        Self { since: None, is_active: false, mine, place: mine, probed_at: None }
    }

    /// Records whether the node hears too few others. Returns whether a search begins.
    pub(super) fn note(&mut self, hears_too_few: bool, now: Instant) -> bool {
        let was_active = self.is_active;
        if hears_too_few {
            let since = *self.since.get_or_insert(now);
            self.is_active = now >= since + DELAY;
        } else {
            (self.since, self.is_active) = (None, false);
        }
        let begins = self.is_active && !was_active;
        if begins {
            self.place = self.mine;
        }
        begins
    }

    /// Whether the node searches.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Returns the places of the nodes to probe now, of all that could be.
    pub(super) fn next(
        &mut self,
        places: impl Iterator<Item = u64>,
        now: Instant,
    ) -> SmallVec<[u64; WIDTH]> {
        let is_due = self.probed_at.is_none_or(|at| now >= at + PERIOD);
        if !self.is_active || !is_due {
            return SmallVec::new();
        }
        self.probed_at = Some(now);
        let mut places: Vec<u64> = places.collect();
        // The distance from the node probed last, which itself comes at the end.
        places.sort_unstable_by_key(|place| place.wrapping_sub(self.place).wrapping_sub(1));
        places.truncate(WIDTH);
        self.place = places.last().copied().unwrap_or(self.place);
        places.into()
    }
}
