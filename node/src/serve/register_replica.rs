//! The register of runners as a node knows it from the platform's store, in a form to pass on.
//!
//! A few nodes watch the store, the others learn from them. Changes since a given version are sent
//! as a difference, so that a fleet of hundreds of runners does not transfer its whole register at
//! each change.

use std::collections::{BTreeMap, VecDeque};

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::hash::stable_hash;
use sardinepick_platform::store::Object;
use smol_str::SmolStr;

/// How many removals are remembered. A node that is further behind is sent everything.
const MAX_REMOVED: usize = 512;

/// A set of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    /// Whether this is the complete state, so that entries not in it are removed.
    pub whole: bool,
    /// New or changed entries.
    pub entries: Vec<Object>,
    /// Removed entries.
    pub gone: Vec<SmolStr>,
    /// Entries that have been missing since a store outage, and may come back.
    pub doubted: Vec<SmolStr>,
    /// How new this is.
    pub version: RegisterVersion,
}

/// The register as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct RegisterReplica {
    /// The entries of the register, each with the version under which it became known.
    runners: BTreeMap<SmolStr, (RegisterVersion, Object)>,
    removed: VecDeque<(RegisterVersion, SmolStr)>,
    /// Entries in doubt, each with the version under which it became doubted. A node that is sent
    /// the state up to that version must be sent the doubt too. Otherwise it would consider itself
    /// up to date, never ask a node that knows of the removal, and keep using a runner that has
    /// left for as long as it answers.
    doubted: BTreeMap<SmolStr, RegisterVersion>,
    /// Removals up to this version may no longer be in `removed`.
    forgotten: RegisterVersion,
    /// How new the whole state is, for comparison between nodes. Two nodes may have the same state
    /// with different versions, if one has received a later answer from the store.
    version: RegisterVersion,
    known: bool,
}

impl RegisterReplica {
    /// Returns whether the register has been read or received at all.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// How new this is.
    pub fn version(&self) -> RegisterVersion {
        self.version
    }

    /// The number of entries.
    pub fn entries(&self) -> usize {
        self.runners.len()
    }

    /// A digest of the names and positions of all entries.
    pub fn digest(&self) -> u64 {
        let entries = self.runners.values();
        entries.fold(0, |digest, (_, object)| digest ^ entry_hash(object))
    }

    /// Applies changes, all at once: a node that is sent the state up to a version is sent
    /// everything that the version covers.
    pub fn apply(&mut self, entries: Vec<Object>, gone: &[SmolStr], version: RegisterVersion) {
        self.apply_with_doubts(entries, gone, &[], version);
    }

    /// Applies changes and newly doubted entries.
    pub fn apply_with_doubts(
        &mut self,
        entries: Vec<Object>,
        gone: &[SmolStr],
        doubted: &[SmolStr],
        version: RegisterVersion,
    ) {
        self.known = true;
        let changes = !(entries.is_empty() && gone.is_empty() && doubted.is_empty());
        // A node that has already reached the current version would not be sent a change under it.
        let version = if changes && version <= self.version {
            self.version.next()
        } else {
            self.version.max(version)
        };
        for name in entries.iter().map(|object| &object.name).chain(gone) {
            self.doubted.remove(name);
        }
        for name in doubted {
            self.doubted.entry(name.clone()).or_insert(version);
        }
        for object in entries {
            self.runners.insert(object.name.clone(), (version, object));
        }
        for name in gone {
            if self.runners.remove(name).is_some() {
                self.removed.push_back((version, name.clone()));
            }
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((version, _)) = self.removed.pop_front() {
                self.forgotten = version;
            }
        }
        self.version = version;
    }

    /// Removes expired entries, for which the store reports no change of its own.
    pub fn apply_expired(&mut self, gone: &[SmolStr]) {
        let version = self.version.next();
        self.apply(Vec::new(), gone, version);
    }

    /// Returns the changes for a node whose state is as new as `since`.
    pub fn since(&self, since: RegisterVersion) -> Difference {
        let whole = since.is_unknown() || since < self.forgotten;
        let newer = self.runners.values().filter(|(version, _)| whole || *version > since);
        // An entry that was removed and added again is not gone.
        let is_gone = |name: &SmolStr| !self.runners.contains_key(name);
        let gone = self
            .removed
            .iter()
            .filter(|(version, name)| !whole && *version > since && is_gone(name));
        let doubted = self.doubted.iter().filter(|(_, version)| whole || **version > since);
        Difference {
            whole,
            doubted: doubted.map(|(name, _)| name.clone()).collect(),
            entries: newer.map(|(_, object)| object.clone()).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
            version: self.version,
        }
    }
}

/// A hash of an entry's name and position, which determine its content.
fn entry_hash(object: &Object) -> u64 {
    let at = stable_hash(object.at.revision.0, &object.at.era.0.to_le_bytes());
    stable_hash(at, object.name.as_bytes())
}
