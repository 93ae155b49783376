//! Positions in the change history of the platform's store.
//!
//! The store may be restored from a backup that lacks its last changes. Its revisions then go back
//! and are reused, so two revisions can only be compared within one era, which is the period
//! between two restores. This is the same rule as comparing log positions only within one epoch of
//! a replicated log.

use std::cmp::Ordering;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of an era of the store. It increases by one with each restore from a backup.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u32);

/// The largest accepted era. With it, [`Point::number`] stays within 32 bits for a store of a few
/// thousand changes.
pub const MAX_ERA: Era = Era(4_095);
/// How many changes a backup may lack without [`Point::number`] decreasing. This is 43 minutes at
/// 400 changes per second; backups are usually a few seconds old.
const MAX_LOST_CHANGES: u64 = 1 << 20;

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An error from parsing an [`Era`].
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EraError {
    /// The text is not a whole number.
    #[error("era is not a whole number: {0}")]
    Number(#[from] ParseIntError),
    /// The era is larger than [`MAX_ERA`].
    #[error("era is larger than {MAX_ERA}")]
    TooLarge,
}

impl FromStr for Era {
    type Err = EraError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let era = Self(text.parse()?);
        if era > MAX_ERA { Err(EraError::TooLarge) } else { Ok(era) }
    }
}

/// The number of a change within an era. It is not `Ord`: changes are ordered by [`Point`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The position of a change in the store's history, ordered by era and then by revision. The text
/// form is `ERA.REVISION`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Point {
    /// The era in which the change was made, or in which a restored backup contained it.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

impl Point {
    /// Creates the position of `revision` in `era`.
    pub fn new(era: Era, revision: u64) -> Self {
        Self { era, revision: Revision(revision) }
    }

    /// Returns a number that is larger than that of any earlier point, also across eras, unless a
    /// backup lacked more than 2^20 changes.
    pub fn number(self) -> u64 {
        u64::from(self.era.0) * MAX_LOST_CHANGES + self.revision.0
    }

    /// Creates a position in a store that does not report eras.
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

/// An error from parsing a [`Point`].
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PointError {
    /// The text does not consist of two parts separated by a dot.
    #[error("position is not of the form ERA.REVISION")]
    Format,
    /// The era is invalid.
    #[error(transparent)]
    Era(#[from] EraError),
    /// The revision is invalid.
    #[error("revision is not a whole number: {0}")]
    Revision(#[from] ParseIntError),
}

impl FromStr for Point {
    type Err = PointError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').ok_or(PointError::Format)?;
        Ok(Self { era: era.parse()?, revision: Revision(revision.parse()?) })
    }
}

/// How an era reported by the store or a peer relates to the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It equals the known era.
    Same,
    /// It is the first era that was reported.
    First,
    /// The store has been restored from a backup since.
    Later {
        /// The era that was known before.
        before: Era,
    },
    /// It is older than the known era, so what reported it is out of date.
    Earlier,
    /// It is more than one ahead and has been reported only once. A single corrupted header would
    /// otherwise make all later answers look out of date.
    Unconfirmed,
}

/// The current era as known to one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentEra {
    known: Option<(Era, Instant)>,
    /// An era more than one ahead that has been reported once.
    unconfirmed: Option<Era>,
    /// When this node last learned that the store had been restored.
    restored_at: Option<Instant>,
}

impl CurrentEra {
    /// Returns the current era, or the default era if none is known yet.
    pub fn era(&self) -> Era {
        self.known.map(|(era, _)| era).unwrap_or_default()
    }

    /// Returns when the current era became known.
    pub fn since(&self) -> Option<Instant> {
        self.known.map(|(_, since)| since)
    }

    /// Processes an era reported by the store or by another node.
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
                self.restored_at = Some(now);
                EraChange::Later { before: known }
            }
        }
    }

    /// Whether the store has been restored from a backup since the first known era.
    pub fn was_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Returns the end of the grace period of length `span` after a restore, if it is still
    /// running. Until then a missing entry may be one that the backup lacked and that its owner
    /// will write again.
    pub fn grace_until(&self, now: Instant, span: Duration) -> Option<Instant> {
        self.restored_at.map(|at| at + span).filter(|until| *until > now)
    }
}
