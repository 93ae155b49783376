//! Which node owns a request key.
//!
//! A request that must not run twice carries a key. Each key has exactly one owner in history: the
//! owner is worked out from the key and the *birth version*, the version of the owner table that
//! was in force when the caller looked up its addresses for the first attempt. The member list of
//! a version never changes once the platform's store has accepted it, so no two nodes can both
//! own a key, whatever they believe about each other, and no lease or clock is needed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{Incarnation, Name, Version};

const KEY_SEED: u64 = 0x6f77_6e65;

/// One life of a node, as the owner of keys.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub name: Name,
    /// Its life: a node that was started again has lost its records and is another member.
    pub incarnation: Incarnation,
    /// Where other nodes reach it.
    pub address: SocketAddr,
}

/// The members of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionMembers {
    /// The version.
    pub version: Version,
    /// Its members, sorted.
    pub members: Arc<Vec<Member>>,
}

/// The versions that are still of use, oldest first. Kept in one object of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Stored", into = "Stored")]
pub struct Table {
    /// The rolls, with versions that follow one another.
    pub versions: VecDeque<VersionMembers>,
}

/// How many versions are kept. A key whose birth version is older is refused. The table's writer
/// adds a version at most every [`MIN_VERSION_INTERVAL`], so a key lives for two minutes at the least.
pub const KEPT_VERSIONS: usize = 24;

/// The shortest time between two versions.
pub const MIN_VERSION_INTERVAL: Duration = Duration::from_secs(5);

/// The longest time between two versions: without new ones, old records would never be dropped.
pub const MAX_VERSION_INTERVAL: Duration = Duration::from_secs(120);

/// The table as it is written: each member once, and the rolls by their places. At 550 members and
/// 24 versions this is some 120 KB, where whole rolls would exceed the platform's megabyte.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Stored {
    members: Vec<Member>,
    rolls: Vec<StoredVersion>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredVersion {
    version: Version,
    members: Vec<u32>,
}

/// A stored table that names members it does not have, or whose versions do not follow one another.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("owner table is corrupt at version {0}")]
pub struct TableError(pub Version);

impl From<Table> for Stored {
    fn from(table: Table) -> Self {
        let mut indices: BTreeMap<&Member, u32> = BTreeMap::new();
        for member in table.versions.iter().flat_map(|r| r.members.iter()) {
            let next = indices.len() as u32;
            indices.entry(member).or_insert(next);
        }
        let stored = |r: &VersionMembers| StoredVersion {
            version: r.version,
            members: r.members.iter().map(|m| indices[m]).collect(),
        };
        let rolls = table.versions.iter().map(stored).collect();
        let mut indexed: Vec<(&Member, u32)> = indices.into_iter().collect();
        indexed.sort_by_key(|(_, index)| *index);
        Self { members: indexed.into_iter().map(|(m, _)| m.clone()).collect(), rolls }
    }
}

impl TryFrom<Stored> for Table {
    type Error = TableError;

    fn try_from(stored: Stored) -> Result<Self, TableError> {
        let mut versions: VecDeque<VersionMembers> = VecDeque::new();
        for entry in stored.rolls {
            let follows = versions.back().is_none_or(|last| last.version.next() == entry.version);
            let found = |at: &u32| stored.members.get(*at as usize).cloned();
            let members: Option<Vec<Member>> = entry.members.iter().map(found).collect();
            let members = members.filter(|_| follows).ok_or(TableError(entry.version))?;
            versions
                .push_back(VersionMembers { version: entry.version, members: Arc::new(members) });
        }
        Ok(Self { versions })
    }
}

impl Table {
    /// The newest version, or nought for an empty table.
    pub fn newest(&self) -> Version {
        self.versions.back().map_or(Version(0), |r| r.version)
    }

    /// The oldest version that is kept.
    pub fn oldest(&self) -> Version {
        self.versions.front().map_or(Version(0), |r| r.version)
    }

    /// The roll of a version.
    pub fn members_at(&self, version: Version) -> Option<&VersionMembers> {
        let first = self.oldest().0;
        let at = version.0.checked_sub(first)?;
        self.versions.get(usize::try_from(at).ok()?)
    }

    /// The owner of a key that was born under `version`.
    pub fn owner(&self, key: &str, version: Version) -> Option<&Member> {
        let hash = stable_hash(KEY_SEED, key.as_bytes());
        let members = &self.members_at(version)?.members;
        members.iter().max_by_key(|m| rendezvous_weight(hash, m.name.as_str().as_bytes()))
    }

    /// The table with one more version.
    pub fn with_next_version(&self, mut members: Vec<Member>) -> Self {
        members.sort();
        let mut versions = self.versions.clone();
        versions.push_back(VersionMembers {
            version: self.newest().next(),
            members: Arc::new(members),
        });
        while versions.len() > KEPT_VERSIONS {
            versions.pop_front();
        }
        Self { versions }
    }

    /// The versions after `since` only.
    pub fn since(&self, since: Version) -> Self {
        Self { versions: self.versions.iter().filter(|r| r.version > since).cloned().collect() }
    }

    /// Takes in newer versions. Those of `other` that do not follow on are left out, unless it
    /// goes back as far as a whole table does.
    pub fn merge(&self, other: &Table) -> Self {
        if other.newest() <= self.newest() {
            return self.clone();
        }
        if self.versions.is_empty() || other.oldest() > self.newest().next() {
            return other.clone();
        }
        let newer = other.since(self.newest());
        let mut versions = self.versions.clone();
        versions.extend(newer.versions);
        while versions.len() > KEPT_VERSIONS {
            versions.pop_front();
        }
        Self { versions }
    }

    /// The members of the newest version.
    pub fn members(&self) -> &[Member] {
        self.versions.back().map(|r| r.members.as_slice()).unwrap_or_default()
    }
}
