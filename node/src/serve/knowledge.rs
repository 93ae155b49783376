//! What a node knows from the platform's store, in a form that other nodes can be told.
//!
//! A few nodes watch the store, the others learn from them. What has changed since a node last heard
//! is told as a difference, so that a fleet of hundreds of runners does not send its whole register
//! about at each change.

use std::collections::{BTreeMap, VecDeque};

use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_platform::store::Object;
use smol_str::SmolStr;

/// How many removals are remembered. A node that is further behind is told everything.
const MOST_REMOVED: usize = 512;

/// What has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    /// Whether this is everything, and what is not in it is gone.
    pub whole: bool,
    /// Entries that are new or different.
    pub entries: Vec<Object>,
    /// Entries that are gone.
    pub gone: Vec<SmolStr>,
    /// Entries that are missing since the store was away, and may come back.
    pub doubted: Vec<SmolStr>,
    /// How new this is.
    pub mark: RegisterVersion,
}

/// What a node knows.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// The entries of the register of runners, each with the mark under which it became known.
    runners: BTreeMap<SmolStr, (RegisterVersion, Object)>,
    removed: VecDeque<(RegisterVersion, SmolStr)>,
    /// Entries in doubt, each with the mark under which it became so. Whoever is told up to that mark
    /// must be told of the doubt: it would else take itself to know all up to there, ask nobody who
    /// knows of the removal, and use a runner that has left for as long as it answers.
    doubted: BTreeMap<SmolStr, RegisterVersion>,
    /// Changes up to this one may be missing among the removed.
    forgotten: RegisterVersion,
    /// How new all of this is. Nodes compare it: what they know can be the same though one has heard
    /// from the store later.
    mark: RegisterVersion,
    known: bool,
}

impl Knowledge {
    /// Whether the register has been read or told at all.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// How new this is.
    pub fn mark(&self) -> RegisterVersion {
        self.mark
    }

    /// How many entries there are.
    pub fn entries(&self) -> usize {
        self.runners.len()
    }

    /// Takes in what has changed, all of it at once: whoever is told up to a mark is told all that
    /// it covers.
    pub fn take(&mut self, entries: Vec<Object>, gone: &[SmolStr], mark: RegisterVersion) {
        self.take_with_doubt(entries, gone, &[], mark);
    }

    /// Takes in what has changed, and what is in doubt now.
    pub fn take_with_doubt(
        &mut self,
        entries: Vec<Object>,
        gone: &[SmolStr],
        doubted: &[SmolStr],
        mark: RegisterVersion,
    ) {
        self.known = true;
        let changes = !(entries.is_empty() && gone.is_empty() && doubted.is_empty());
        // Whoever has reached the present mark would not be told of a change under it.
        let mark =
            if changes && mark <= self.mark { self.mark.next() } else { self.mark.max(mark) };
        for name in entries.iter().map(|object| &object.name).chain(gone) {
            self.doubted.remove(name);
        }
        for name in doubted {
            self.doubted.entry(name.clone()).or_insert(mark);
        }
        for object in entries {
            self.runners.insert(object.name.clone(), (mark, object));
        }
        for name in gone {
            if self.runners.remove(name).is_some() {
                self.removed.push_back((mark, name.clone()));
            }
        }
        while self.removed.len() > MOST_REMOVED {
            if let Some((mark, _)) = self.removed.pop_front() {
                self.forgotten = mark;
            }
        }
        self.mark = mark;
    }

    /// Takes in that entries did not come back, which the store has no change of its own for.
    pub fn take_lapsed(&mut self, gone: &[SmolStr]) {
        let mark = self.mark.next();
        self.take(Vec::new(), gone, mark);
    }

    /// What has changed for a node whose knowledge is as new as `since`.
    pub fn since(&self, since: RegisterVersion) -> Difference {
        let whole = since.is_unknown() || since < self.forgotten;
        let newer = self.runners.values().filter(|(mark, _)| whole || *mark > since);
        // An entry that went and came back is not gone.
        let is_gone = |name: &SmolStr| !self.runners.contains_key(name);
        let gone =
            self.removed.iter().filter(|(mark, name)| !whole && *mark > since && is_gone(name));
        let doubted = self.doubted.iter().filter(|(_, mark)| whole || **mark > since);
        Difference {
            whole,
            doubted: doubted.map(|(name, _)| name.clone()).collect(),
            entries: newer.map(|(_, object)| object.clone()).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
            mark: self.mark,
        }
    }
}
