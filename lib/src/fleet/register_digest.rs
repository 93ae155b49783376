//! Hashes by which nodes compare their copies of the runner register.

use std::fmt;

use crate::hash::stable_hash;
use crate::history::Point;

/// A hash of the name and the position of an entry, which determine its content.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EntryHash(pub u64);

impl EntryHash {
    /// The hash of an entry.
    pub fn of(name: &str, at: Point) -> Self {
        let at = stable_hash(at.revision.0, &at.era.0.to_le_bytes());
        Self(stable_hash(at, name.as_bytes()))
    }
}

/// Half of an entry's hash, by which nodes name entries to each other in few bytes. If two entries of
/// a register share it, the digest shows that, and the whole register is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EntryKey(pub u32);

impl From<EntryHash> for EntryKey {
    fn from(hash: EntryHash) -> Self {
        Self(hash.0 as u32)
    }
}

/// A digest of all entries of a copy of the register. It does not depend on their order.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct RegisterDigest(pub u64);

impl RegisterDigest {
    /// Adds an entry, or removes one that was added.
    pub fn toggle(&mut self, entry: EntryHash) {
        self.0 ^= entry.0;
    }
}

impl fmt::Display for RegisterDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
