//! The head object and the operation log: the configuration in force and its history.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::record::Key;
use crate::hash::Digest;
use crate::id::{Generation, Name};

/// The number of recent changes listed in the head itself, so that the outcome of a change whose
/// response was lost can be determined with one read. At 1,800 changes per day they cover more than half
/// an hour on average.
pub const MAX_RECENT_CHANGES: usize = 48;

/// The idempotency key of a change, chosen by its author. A repeated change is never applied twice.
///
/// It is written as `generation.text`, with the generation in force when it was created. The change can
/// have been applied only after that generation, which bounds the search for it in the log.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct ChangeId {
    made_at: Generation,
    text: SmolStr,
}

/// The maximum length of a change id in bytes.
pub const MAX_CHANGE_ID: usize = 64;

/// An invalid change id.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a change id is a generation, '.', and letters or digits, at most {MAX_CHANGE_ID} bytes")]
pub struct ChangeIdError;

impl ChangeId {
    /// The generation that was in force when the change was requested.
    pub fn made_at(&self) -> Generation {
        self.made_at
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.made_at, self.text)
    }
}

impl FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(id: &str) -> Result<Self, ChangeIdError> {
        let (generation, text) = id.split_once('.').ok_or(ChangeIdError)?;
        let made_at = generation.parse().map_err(|_| ChangeIdError)?;
        let is_valid_text = !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric());
        if !is_valid_text || id.len() > MAX_CHANGE_ID {
            return Err(ChangeIdError);
        }
        Ok(Self { made_at, text: SmolStr::new(text) })
    }
}

impl TryFrom<SmolStr> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(id: SmolStr) -> Result<Self, ChangeIdError> {
        id.parse()
    }
}

impl From<ChangeId> for SmolStr {
    fn from(id: ChangeId) -> SmolStr {
        SmolStr::new(id.to_string())
    }
}

/// The single object that determines which configuration is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The generation in force.
    pub generation: Generation,
    /// The chunk with the operation that created this generation.
    pub operation: Digest,
    /// The chunk with the root of the configuration.
    pub root: Digest,
    /// The most recent changes, oldest first.
    pub recent: VecDeque<Applied>,
    /// The number of sweeps of unused chunks. A sweep writes the head before it removes anything, so that
    /// writers that read the head before the sweep have to read it again.
    #[serde(default)]
    pub sweeps: u64,
}

/// An applied change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The id of the change.
    pub change: ChangeId,
    /// The generation that it created.
    pub generation: Generation,
    /// The author of the change.
    pub author: Name,
    /// The objects that it wrote.
    pub wrote: Vec<Key>,
}

/// An entry of the operation log, stored in an immutable chunk of its own.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The generation that it created.
    pub generation: Generation,
    /// The previous operation; `None` for the first one.
    pub parent: Option<Digest>,
    /// The root that it created.
    pub root: Digest,
    /// The id of the change.
    pub change: ChangeId,
    /// The author of the change.
    pub author: Name,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The text of the command.
    pub text: SmolStr,
    /// The objects that it wrote.
    pub wrote: Vec<Key>,
}

impl Head {
    /// The head after `operation`, which is stored in chunk `digest`.
    pub fn advance(&self, operation: &Operation, digest: Digest) -> Self {
        let mut recent = self.recent.clone();
        recent.push_back(Applied {
            change: operation.change.clone(),
            generation: operation.generation,
            author: operation.author.clone(),
            wrote: operation.wrote.clone(),
        });
        while recent.len() > MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        Self {
            generation: operation.generation,
            operation: digest,
            root: operation.root,
            recent,
            sweeps: self.sweeps,
        }
    }

    /// The entry of `change`, if it is among the recent changes.
    pub fn applied(&self, change: &ChangeId) -> Option<&Applied> {
        self.recent.iter().find(|a| &a.change == change)
    }

    /// The changes after `base`; `None` if the head no longer lists all of them.
    pub fn since(&self, base: Generation) -> Option<impl Iterator<Item = &Applied>> {
        let oldest = self.recent.front().map_or(self.generation.next(), |a| a.generation);
        (oldest <= base.next()).then(|| self.recent.iter().filter(move |a| a.generation > base))
    }
}
