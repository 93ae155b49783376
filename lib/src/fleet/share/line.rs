//! The waiting work of one account.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{Cost, Work};

/// Whether work can still be on time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timing {
    OnTime,
    Overdue,
}

/// The place of work in its line: on time before overdue, then by the time left.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    pub(super) timing: Timing,
    /// When it is overdue or, if it already is, no longer useful.
    pub(super) until: Instant,
    /// The sequence number of the work in its queue.
    pub(super) arrival: u64,
}

impl Place {
    pub(super) fn of<T>(work: &Work<T>, timing: Timing, arrival: u64) -> Self {
        let until = match timing {
            Timing::OnTime => work.due.min(work.latest_start),
            Timing::Overdue => work.latest_start,
        };
        Self { timing, until, arrival }
    }
}

/// The waiting work of one account with the same ranks, in order.
#[derive(Clone, Debug)]
pub(super) struct Line<T> {
    works: BTreeMap<Place, Work<T>>,
    cost: Cost,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self { works: BTreeMap::new(), cost: Cost::ZERO }
    }
}

impl<T> Line<T> {
    pub(super) fn insert(&mut self, place: Place, work: Work<T>) {
        self.cost = self.cost + work.cost;
        self.works.insert(place, work);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Work<T>> {
        let work = self.works.remove(&place)?;
        self.cost = if self.works.is_empty() { Cost::ZERO } else { self.cost - work.cost };
        Some(work)
    }

    /// The place of the last work, the work itself, and the cost of all work before it.
    pub(super) fn last(&self) -> Option<(Place, &Work<T>, Cost)> {
        let (place, work) = self.works.last_key_value()?;
        Some((*place, work, self.cost - work.cost))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Place, &Work<T>)> {
        self.works.iter().map(|(place, work)| (*place, work))
    }

    pub(super) fn len(&self) -> usize {
        self.works.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    pub(super) fn cost(&self) -> Cost {
        self.cost
    }
}
