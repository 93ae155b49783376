//! The head object and the operation log: which configuration is in force, and how it came to be.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::record::Key;
use crate::hash::Digest;
use crate::id::{Generation, Name};

/// How many of the newest changes the head names itself, so that a lost answer is settled by one
/// read. At 1,800 changes a day these reach back more than half an hour on average.
pub const RECENT: usize = 48;

/// The identity of one change, made by whoever asks for it. Repeating it never applies it twice.
///
/// It is written `generation.text`, with the generation that was in force when it was made: the
/// change can have been applied only after that, which bounds how far the log is searched for it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct ChangeId {
    made_at: Generation,
    text: SmolStr,
}

/// The longest change id, in bytes.
pub const MAX_CHANGE_ID: usize = 64;

/// Text that is not a change id.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a change id is a generation, '.', and letters or digits, at most {MAX_CHANGE_ID} bytes")]
pub struct ChangeIdError;

impl ChangeId {
    /// The generation that was in force when the change was asked for.
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
        let fits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric());
        if !fits || id.len() > MAX_CHANGE_ID {
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

/// The single object that says which configuration is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The generation in force.
    pub generation: Generation,
    /// The chunk with the operation that made it.
    pub operation: Digest,
    /// The chunk with the root.
    pub root: Digest,
    /// The newest changes, oldest first.
    pub recent: VecDeque<Applied>,
    /// How often unused chunks have been swept. A sweep writes the head before it removes anything,
    /// so that a writer which looked before it has to look again.
    #[serde(default)]
    pub sweeps: u64,
}

/// A change that was applied.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The change.
    pub change: ChangeId,
    /// The generation that it made.
    pub generation: Generation,
    /// Who asked for it.
    pub author: Name,
    /// The objects that it wrote.
    pub wrote: Vec<Key>,
}

/// One entry of the operation log, in a chunk of its own that is never changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The generation that it made.
    pub generation: Generation,
    /// The operation before it; none for the first.
    pub parent: Option<Digest>,
    /// The root that it made.
    pub root: Digest,
    /// The change.
    pub change: ChangeId,
    /// Who asked for it.
    pub author: Name,
    /// The time of day, in milliseconds since 1970.
    pub at: u64,
    /// The text of the command.
    pub text: SmolStr,
    /// The objects that it wrote.
    pub wrote: Vec<Key>,
}

impl Head {
    /// The head that follows this one through `operation`, kept in chunk `digest`.
    pub fn advance(&self, operation: &Operation, digest: Digest) -> Self {
        let mut recent = self.recent.clone();
        recent.push_back(Applied {
            change: operation.change.clone(),
            generation: operation.generation,
            author: operation.author.clone(),
            wrote: operation.wrote.clone(),
        });
        while recent.len() > RECENT {
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

    /// The application of `change`, if it is among the newest.
    pub fn applied(&self, change: &ChangeId) -> Option<&Applied> {
        self.recent.iter().find(|a| &a.change == change)
    }

    /// The newest changes after `base`; none if they reach further back than the head remembers.
    pub fn since(&self, base: Generation) -> Option<impl Iterator<Item = &Applied>> {
        let oldest = self.recent.front().map_or(self.generation.next(), |a| a.generation);
        (oldest <= base.next()).then(|| self.recent.iter().filter(move |a| a.generation > base))
    }
}
