//! Points in the history of the platform's store.
//!
//! The store may come back from a copy that lacks its last changes. Its revisions then go back and are
//! given out again, so a revision says what is newer only within one era: the time from one such
//! return to the next, as log positions are only compared within one epoch of a replicated log.

use std::cmp::Ordering;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of an era of the store; it rises by one with each return from a copy.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u32);

/// The largest era that is believed: the numbers of its points have 32 bits for a store of some
/// thousand changes.
pub const MAX_ERA: Era = Era(4_095);
/// How many changes a copy may lack without the numbers of points falling: 43 minutes of 400 changes a
/// second, while copies are some seconds old.
const MOST_LOST: u64 = 1 << 20;

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Text that is not an era.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EraError {
    /// It is no whole number.
    #[error("an era is a whole number: {0}")]
    Number(#[from] ParseIntError),
    /// It is larger than any that is believed.
    #[error("an era is at most {MAX_ERA}")]
    TooLarge,
}

impl FromStr for Era {
    type Err = EraError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let era = Self(text.parse()?);
        if era > MAX_ERA { Err(EraError::TooLarge) } else { Ok(era) }
    }
}

/// The number of a change within an era. Revisions have no order of their own: that of [`Point`] is
/// the order of changes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The place of a change in the store's history: by its era, then by its revision. Written as
/// `ERA.REVISION`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Point {
    /// The era in which the change was made, or shown again by a copy.
    pub era: Era,
    /// Its number within the era.
    pub revision: Revision,
}

impl Point {
    /// A point in an era.
    pub fn new(era: Era, revision: u64) -> Self {
        Self { era, revision: Revision(revision) }
    }

    /// A number that is larger than that of any earlier point, in this era or one before, unless a copy
    /// lacked more than 2^20 changes.
    pub fn number(self) -> u64 {
        u64::from(self.era.0) * MOST_LOST + self.revision.0
    }

    /// A point in the history of a store that names no eras.
    pub fn without_era(revision: u64) -> Self {
        Self::new(Era::default(), revision)
    }
}

impl Ord for Point {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.era, self.revision.0).cmp(&(other.era, other.revision.0))
    }
}

impl PartialOrd for Point {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Text that is not a point.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PointError {
    /// It has no dot between two numbers.
    #[error("a point is written as ERA.REVISION")]
    Form,
    /// Its era is none.
    #[error(transparent)]
    Era(#[from] EraError),
    /// Its revision is none.
    #[error("a revision is a whole number: {0}")]
    Revision(#[from] ParseIntError),
}

impl FromStr for Point {
    type Err = PointError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').ok_or(PointError::Form)?;
        Ok(Self { era: era.parse()?, revision: Revision(revision.parse()?) })
    }
}

/// What an era that was shown says beside the one that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It is the one that is known.
    Same,
    /// It is the first.
    First,
    /// The store has come back from a copy since.
    Later {
        /// The era that was known before.
        before: Era,
    },
    /// It is over: what shows it is older than what is known.
    Earlier,
    /// It is more than one later, and not believed before it is shown again: one torn header would
    /// else have all later answers taken for old ones.
    Unconfirmed,
}

/// The present era as one node knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentEra {
    known: Option<(Era, Instant)>,
    /// An era that is more than one later, shown once.
    unconfirmed: Option<Era>,
    /// When the store was last known to have come back from a copy.
    came_back: Option<Instant>,
}

impl CurrentEra {
    /// The present era; that of a store which names none until one is known.
    pub fn era(&self) -> Era {
        self.known.map(|(era, _)| era).unwrap_or_default()
    }

    /// Since when it has been known; none if none is.
    pub fn since(&self) -> Option<Instant> {
        self.known.map(|(_, since)| since)
    }

    /// Takes in an era that an answer of the store or another node has shown.
    pub fn observe(&mut self, shown: Era, now: Instant) -> EraChange {
        let Some((known, _)) = self.known else {
            self.known = Some((shown, now));
            return EraChange::First;
        };
        match shown.cmp(&known) {
            Ordering::Equal => {
                self.unconfirmed = None;
                EraChange::Same
            }
            Ordering::Less => EraChange::Earlier,
            Ordering::Greater => {
                let next = shown.0 == known.0 + 1;
                if !next && self.unconfirmed.replace(shown) != Some(shown) {
                    return EraChange::Unconfirmed;
                }
                self.unconfirmed = None;
                self.known = Some((shown, now));
                self.came_back = Some(now);
                EraChange::Later { before: known }
            }
        }
    }

    /// Whether the store has come back from a copy since the first era was known.
    pub fn was_restored(&self) -> bool {
        self.came_back.is_some()
    }

    /// Until when an entry that is missing now is doubted for `span` after a return from a copy, if
    /// it is: who wrote it writes it again.
    pub fn grace_until(&self, now: Instant, span: Duration) -> Option<Instant> {
        self.came_back.map(|at| at + span).filter(|until| *until > now)
    }
}
