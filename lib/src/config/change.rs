//! A change to the configuration: a batch of edits that is applied atomically.
//!
//! A change is prepared against the snapshot that its author read. When other changes have been applied
//! since, it is rebased onto them unless one of them wrote what this change read or wrote. The idea that
//! an overlap in time alone need not abort a transaction is that of MaaT (Mahmoud et al., VLDB 2014),
//! applied here to a single head object; docs/design/configuration.md has the measurement.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::head::{Applied, Head};
use super::object::ObjectError;
use super::record::{Assignment, Field, Key, Kind, Record};
use super::snapshot::Snapshot;
use crate::id::{Generation, Name};

/// One edit of one object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Creates an object.
    Create {
        /// The object.
        key: Key,
        /// Its fields.
        fields: Vec<Assignment>,
    },
    /// Sets fields of an existing object.
    Set {
        /// The object.
        key: Key,
        /// The fields to set.
        fields: Vec<Assignment>,
    },
    /// Deletes an object.
    Delete {
        /// The object.
        key: Key,
    },
    /// Restores an object to an earlier state, or deletes it if it did not exist then. Only undo creates
    /// these.
    Restore {
        /// The object.
        key: Key,
        /// The earlier state; `None` if the object did not exist.
        record: Option<Arc<Record>>,
    },
}

impl Edit {
    /// The object that is edited.
    pub fn key(&self) -> &Key {
        match self {
            Edit::Create { key, .. }
            | Edit::Set { key, .. }
            | Edit::Delete { key }
            | Edit::Restore { key, .. } => key,
        }
    }
}

/// Why a change is rejected. No part of a rejected change takes effect.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The object to create already exists.
    #[error("{0} exists already")]
    Exists(Key),
    /// The object to edit does not exist.
    #[error("{0} does not exist")]
    Absent(Key),
    /// The resulting configuration would be invalid.
    #[error("the change leaves the configuration wrong: {}", join_errors(.0))]
    Invalid(Vec<ObjectError>),
    /// Another change wrote what this one read or wrote.
    #[error("{key} was changed by {author} in generation {generation} after you looked")]
    Conflict {
        /// The object that both changes touch.
        key: Key,
        /// The author of the other change.
        author: Name,
        /// The generation of the other change.
        generation: Generation,
    },
    /// The head no longer lists all changes since the base, so conflicts cannot be detected.
    #[error("generation {0} is too old to change; look again and repeat the command")]
    TooOld(Generation),
}

fn join_errors(errors: &[ObjectError]) -> String {
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    messages.join("; ")
}

/// The read set and write set of a change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Footprint {
    /// The objects that the validity of the change depends on.
    pub read: BTreeSet<Key>,
    /// The objects that the change writes.
    pub wrote: BTreeSet<Key>,
}

impl Footprint {
    /// The first object written by `other` that this footprint contains.
    pub fn overlap(&self, other: &Applied) -> Option<Key> {
        other.wrote.iter().find(|k| self.read.contains(k) || self.wrote.contains(k)).cloned()
    }
}

/// A change that has been applied to a snapshot but not yet committed to the head.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// The configuration after the change.
    pub snapshot: Snapshot,
    /// What the change reads and writes.
    pub footprint: Footprint,
}

/// Applies `edits` to `base`.
///
/// # Errors
/// The first edit that cannot be applied, or all validation errors of the result.
pub fn prepare(base: &Snapshot, edits: &[Edit]) -> Result<Prepared, ChangeError> {
    let mut records = base.records.clone();
    let mut footprint = Footprint::default();
    for edit in edits {
        apply(&mut records, edit)?;
        footprint.wrote.insert(edit.key().clone());
    }
    let generation = base.generation.next();
    let snapshot =
        Snapshot::build(generation, records, Some(base)).map_err(ChangeError::Invalid)?;
    for key in &footprint.wrote {
        let Some(object) = snapshot.object(key.kind, &key.name) else { continue };
        footprint.read.extend(object.references().into_iter().map(|(_, target)| target));
    }
    Ok(Prepared { snapshot, footprint })
}

fn apply(records: &mut BTreeMap<Key, Arc<Record>>, edit: &Edit) -> Result<(), ChangeError> {
    match edit {
        Edit::Create { key, fields } => {
            if records.contains_key(key) {
                return Err(ChangeError::Exists(key.clone()));
            }
            let mut record = Record::new(key.clone());
            assign(&mut record, fields);
            records.insert(key.clone(), Arc::new(record));
        }
        Edit::Set { key, fields } => {
            let Some(record) = records.get_mut(key) else {
                return Err(ChangeError::Absent(key.clone()));
            };
            assign(Arc::make_mut(record), fields);
        }
        Edit::Delete { key } => {
            if records.remove(key).is_none() {
                return Err(ChangeError::Absent(key.clone()));
            }
        }
        Edit::Restore { key, record: Some(record) } => {
            records.insert(key.clone(), record.clone());
        }
        Edit::Restore { key, record: None } => {
            records.remove(key);
        }
    }
    Ok(())
}

fn assign(record: &mut Record, fields: &[Assignment]) {
    for assignment in fields {
        record.set(assignment.field, assignment.value.clone());
    }
}

/// Checks that no change between `base` and `head` touches `footprint`. The result of a rebased change is
/// validated again as a whole, so this check protects the author's intent rather than validity.
///
/// # Errors
/// [`ChangeError::Conflict`] with the other change, or [`ChangeError::TooOld`].
pub fn check_conflict(
    footprint: &Footprint,
    base: Generation,
    head: &Head,
) -> Result<(), ChangeError> {
    let Some(others) = head.since(base) else {
        return Err(ChangeError::TooOld(base));
    };
    for other in others {
        if let Some(key) = footprint.overlap(other) {
            return Err(ChangeError::Conflict {
                key,
                author: other.author.clone(),
                generation: other.generation,
            });
        }
    }
    Ok(())
}

/// The edits that turn `from` into `to`, one for each object that differs.
pub fn difference(from: &Snapshot, to: &Snapshot) -> Vec<Edit> {
    let keys: BTreeSet<&Key> = from.records.keys().chain(to.records.keys()).collect();
    let differs = |key: &&Key| from.records.get(*key) != to.records.get(*key);
    keys.into_iter()
        .filter(differs)
        .map(|key| Edit::Restore { key: key.clone(), record: to.records.get(key).cloned() })
        .collect()
}

/// The edit that sets the admission state of a runner.
pub fn admission(runner: Name, state: super::object::Admission) -> Edit {
    let key = Key { kind: Kind::Runner, name: runner };
    let value = SmolStr::new_static(state.into());
    Edit::Set { key, fields: vec![Assignment { field: Field::State, value }] }
}
