//! A node's copy of the register of runners in the platform's store.
//!
//! A few nodes watch the store, the others learn from them. A copy holds exactly what the store held
//! at the copy's version. A difference for another node is computed from the entries that the other
//! node has, not from its version: a node that has started since knows no earlier removal, and a
//! difference by version alone would leave removed runners in use.
//!
//! Entries that are missing since an outage of the store are retained beside the copy for a while.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::register_digest::{EntryHash, EntryKey, RegisterDigest};
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_platform::store::Object;
use smol_str::SmolStr;
use thiserror::Error;

/// How many recent changes are remembered to be announced: more than fit into a datagram.
const MAX_RECENT: usize = 128;

/// An entry that is missing from the store since an outage, as told to another node.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    /// The name of the entry.
    pub name: SmolStr,
    /// How long it is still used. It is a time left, not a period that each node starts anew: over
    /// several nodes a runner that has left would be used longer than the platform allows.
    pub left: Duration,
    /// The entry, for a node that has none.
    pub object: Option<Object>,
}

/// Changes of a copy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    /// Whether this is the complete register, so that entries not in it are removed.
    pub whole: bool,
    /// New or changed entries.
    pub entries: Vec<Object>,
    /// The names of removed entries.
    pub gone: Vec<SmolStr>,
    /// The keys of entries of the receiver that the sender does not have.
    pub absent: Vec<EntryKey>,
    /// Removed entries that are still used.
    pub doubts: Vec<Doubt>,
    /// The version of the copy with these changes.
    pub version: RegisterVersion,
    /// The digest of the copy with these changes; `None` if it comes from the store, or from a node
    /// of an earlier version of this program.
    pub digest: Option<RegisterDigest>,
}

/// A difference does not fit this node's copy: applied to it, the result is not the sender's copy.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("register at {from} would get the digest {digest} at {to}, the sender has {expected}")]
pub struct Mismatch {
    /// The version of the copy.
    pub from: RegisterVersion,
    /// The version of the difference.
    pub to: RegisterVersion,
    /// The digest that the copy would get.
    pub digest: RegisterDigest,
    /// The digest of the sender's copy.
    pub expected: RegisterDigest,
}

#[derive(Clone, Debug)]
struct Retained {
    object: Object,
    until: Instant,
}

/// A copy of the register.
#[derive(Clone, Debug, Default)]
pub struct RegisterReplica {
    entries: BTreeMap<SmolStr, Object>,
    digest: RegisterDigest,
    /// Entries that are missing from the store since an outage, and still used.
    retained: BTreeMap<SmolStr, Retained>,
    /// The names of changed entries, oldest first, each with the version of its change.
    recent: VecDeque<(RegisterVersion, SmolStr)>,
    /// The version after which `recent` has all changes.
    recent_since: RegisterVersion,
    version: RegisterVersion,
    known: bool,
}

fn hash(object: &Object) -> EntryHash {
    EntryHash::of(&object.name, object.at)
}

fn key(object: &Object) -> EntryKey {
    hash(object).into()
}

impl RegisterReplica {
    /// Returns whether the register has been read or received at all.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The version of the copy.
    pub fn version(&self) -> RegisterVersion {
        self.version
    }

    /// The digest of the copy.
    pub fn digest(&self) -> RegisterDigest {
        self.digest
    }

    /// The number of entries, including the retained ones.
    pub fn entries(&self) -> usize {
        self.entries.len() + self.retained.len()
    }

    /// The names of the entries that the store has at this version.
    pub fn names(&self) -> impl Iterator<Item = &SmolStr> {
        self.entries.keys()
    }

    /// The keys of all entries, by which another node computes the difference.
    pub fn keys(&self) -> Vec<EntryKey> {
        self.entries.values().map(key).collect()
    }

    /// Whether an answer of the store is used. One that is older than what other nodes have passed on
    /// since the call is not: the watch goes on from it, and the next answer brings what followed.
    pub fn uses_answer(&self, answer: &Difference, known_at_call: RegisterVersion) -> bool {
        let is_newer = !self.known || answer.version > self.version;
        let is_listed_again = answer.whole && answer.version == self.version;
        is_newer || is_listed_again || refutes(answer, known_at_call)
    }

    /// Whether this copy is older than a difference of another node.
    pub fn is_behind(&self, difference: &Difference) -> bool {
        !self.known || difference.version > self.version
    }

    /// Applies a difference, and returns the entries that it removes. The copy is unchanged if the
    /// result would differ from the sender's copy.
    ///
    /// # Errors
    /// The difference does not fit this copy.
    pub fn apply(&mut self, difference: &Difference) -> Result<Vec<Object>, Mismatch> {
        let changes = self.changes(difference);
        let mut digest = self.digest;
        for (name, object) in &changes {
            let hashes = [self.entries.get(name), object.as_ref()].into_iter().flatten().map(hash);
            hashes.for_each(|hash| digest.toggle(hash));
        }
        if let Some(expected) = difference.digest
            && digest != expected
        {
            return Err(Mismatch { from: self.version, to: difference.version, digest, expected });
        }
        let version = if !changes.is_empty() && difference.version <= self.version {
            // A node that has reached the present version would not ask for a change under it.
            self.version.next()
        } else {
            self.version.max(difference.version)
        };
        let was_known = std::mem::replace(&mut self.known, true);
        (self.digest, self.version) = (digest, version);
        if !was_known {
            self.recent_since = version;
        }
        Ok(self.replace(changes))
    }

    /// The entries that a difference replaces, with what replaces them.
    fn changes(&self, difference: &Difference) -> BTreeMap<SmolStr, Option<Object>> {
        let absent: HashSet<EntryKey> = difference.absent.iter().copied().collect();
        let dropped = self.entries.values().filter(|object| {
            difference.whole || (!absent.is_empty() && absent.contains(&key(object)))
        });
        let mut changes: BTreeMap<_, _> =
            dropped.map(|object| (object.name.clone(), None)).collect();
        let entries = difference.entries.iter();
        changes.extend(entries.map(|object| (object.name.clone(), Some(object.clone()))));
        changes.extend(difference.gone.iter().map(|name| (name.clone(), None)));
        changes.retain(|name, object| self.entries.get(name) != object.as_ref());
        changes
    }

    fn replace(&mut self, changes: BTreeMap<SmolStr, Option<Object>>) -> Vec<Object> {
        let mut removed = Vec::new();
        for (name, object) in changes {
            self.recent.push_back((self.version, name.clone()));
            self.retained.remove(&name);
            match object {
                Some(object) => drop(self.entries.insert(name, object)),
                None => removed.extend(self.entries.remove(&name)),
            }
        }
        while self.recent.len() > MAX_RECENT {
            if let Some((version, _)) = self.recent.pop_front() {
                self.recent_since = version;
            }
        }
        removed
    }

    /// Makes other nodes compare their copies with this one.
    pub fn advance(&mut self) {
        self.version = self.version.next();
    }

    /// Takes over the version of another node whose copy has the same digest.
    pub fn adopt(&mut self, version: RegisterVersion) {
        self.version = self.version.max(version);
    }

    /// Keeps a removed entry until the given time.
    pub fn retain(&mut self, object: Object, until: Instant) {
        self.retained.entry(object.name.clone()).or_insert(Retained { object, until });
    }

    /// Drops retained entries whose time is over.
    pub fn release(&mut self, names: &[SmolStr]) {
        for name in names {
            self.retained.remove(name);
        }
    }

    /// The difference for a node that has the entries with the keys `known`; the whole register
    /// if it has none.
    pub fn difference_for(&self, known: &HashSet<EntryKey>, now: Instant) -> Difference {
        let whole = known.is_empty();
        let mine: HashSet<EntryKey> = self.entries.values().map(key).collect();
        let new = self.entries.values().filter(|object| !known.contains(&key(object)));
        let doubts = self.retained.values().map(|retained| doubt(retained, whole, now));
        Difference {
            whole,
            entries: new.cloned().collect(),
            gone: Vec::new(),
            absent: known.difference(&mine).copied().collect(),
            doubts: doubts.collect(),
            version: self.version,
            digest: Some(self.digest),
        }
    }

    /// The changes since `since`, which this copy has had itself, for nodes that have all earlier
    /// ones. `None` if they are no longer remembered.
    pub fn recent_changes(&self, since: RegisterVersion, now: Instant) -> Option<Difference> {
        if since < self.recent_since {
            return None;
        }
        let names = self.recent.iter().filter(|(version, _)| *version > since);
        let names: BTreeSet<&SmolStr> = names.map(|(_, name)| name).collect();
        let mut difference =
            Difference { version: self.version, digest: Some(self.digest), ..Default::default() };
        for name in names {
            match self.entries.get(name) {
                Some(object) => difference.entries.push(object.clone()),
                None => difference.gone.push(name.clone()),
            }
            if let Some(retained) = self.retained.get(name) {
                difference.doubts.push(doubt(retained, false, now));
            }
        }
        Some(difference)
    }
}

fn doubt(retained: &Retained, with_object: bool, now: Instant) -> Doubt {
    Doubt {
        name: retained.object.name.clone(),
        left: retained.until.saturating_duration_since(now),
        object: with_object.then(|| retained.object.clone()),
    }
}

/// Whether a list shows that the version known at the time of the call was not the store's: its answers
/// are linearizable, so a list is not older than what was known before it.
pub fn refutes(answer: &Difference, known_at_call: RegisterVersion) -> bool {
    answer.whole && answer.version < known_at_call
}
