//! The owner of an idempotency key.
//!
//! A request that must not run twice carries a key. Each key has exactly one owner for all time: it
//! is computed from the key and the *birth version*, which is the version of the owner table in
//! force when the client looked up addresses for its first attempt. The member list of a version
//! never changes after the platform's store has accepted it. So no two nodes can own the same key,
//! whatever they believe about each other, and neither leases nor clocks are needed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{Incarnation, Name, Version};

const KEY_SEED: u64 = 0x6f77_6e65;

/// A node process as owner of keys.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub name: Name,
    /// The incarnation of its process. A restarted node has lost its records, so it is a different
    /// member.
    pub incarnation: Incarnation,
    /// Its address for other nodes.
    pub address: SocketAddr,
}

/// The members of one version of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionMembers {
    /// The version.
    pub version: Version,
    /// Its members, sorted.
    pub members: Arc<Vec<Member>>,
}

/// The versions still in use, oldest first. They are kept in one object of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Stored", into = "Stored")]
pub struct Table {
    /// Consecutive versions with their members.
    pub versions: VecDeque<VersionMembers>,
}

/// How many versions are kept. A key with an older birth version is refused. A version is added at
/// most every [`MIN_VERSION_INTERVAL`], so a key is valid for at least two minutes.
pub const KEPT_VERSIONS: usize = 24;

/// The shortest time between two versions.
pub const MIN_VERSION_INTERVAL: Duration = Duration::from_secs(5);

/// The longest time between two versions. Without new versions, old records would never be dropped.
pub const MAX_VERSION_INTERVAL: Duration = Duration::from_secs(120);

/// The serialized table. Each member is stored once and the versions refer to members by index:
/// about 120 KB at 550 members and 24 versions. Full member lists would exceed the platform's limit
/// of one megabyte.
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

/// An error in a stored table: it refers to members that it does not contain, or its versions are
/// not consecutive. Contains the version.
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
    /// The newest version, or 0 for an empty table.
    pub fn newest(&self) -> Version {
        self.versions.back().map_or(Version(0), |r| r.version)
    }

    /// The oldest version kept.
    pub fn oldest(&self) -> Version {
        self.versions.front().map_or(Version(0), |r| r.version)
    }

    /// The members of a version.
    pub fn members_at(&self, version: Version) -> Option<&VersionMembers> {
        let first = self.oldest().0;
        let at = version.0.checked_sub(first)?;
        self.versions.get(usize::try_from(at).ok()?)
    }

    /// The owner of a key with birth version `version`.
    pub fn owner(&self, key: &str, version: Version) -> Option<&Member> {
        let hash = stable_hash(KEY_SEED, key.as_bytes());
        let members = &self.members_at(version)?.members;
        members.iter().max_by_key(|m| rendezvous_weight(hash, m.name.as_str().as_bytes()))
    }

    /// Returns the table with one more version.
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

    /// Returns only the versions after `since`.
    pub fn since(&self, since: Version) -> Self {
        Self { versions: self.versions.iter().filter(|r| r.version > since).cloned().collect() }
    }

    /// Adds newer versions from `other`. If they do not continue this table, `other` replaces it.
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
