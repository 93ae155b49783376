//! Gossip about runners that is yet to be sent with heartbeats: each change once as soon as it is known,
//! and again later, since datagrams are lost and nodes start late.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::runner::Tag;

/// The most changes that one beat tells.
pub const MOST_TOLD: usize = 16;
/// The most that a beat without new changes tells again.
const MOST_RETOLD: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Change {
    since: Instant,
    /// When it was told last; none if it is yet to be told.
    told: Option<Instant>,
}

/// The changes to be told, by the life of the runner.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    changes: HashMap<Tag, Change>,
}

impl Outbox {
    /// Has a change told with the next beat, and again with later ones.
    pub fn push(&mut self, runner: Tag, now: Instant) {
        self.changes.insert(runner, Change { since: now, told: None });
    }

    /// What the next beat tells, with the time since each change; with `again` also what beats before
    /// it have told. It counts as told.
    pub fn take(&mut self, again: bool, now: Instant) -> Vec<(Tag, Duration)> {
        let mut due: Vec<(Option<Instant>, Tag)> =
            self.changes.iter().map(|(tag, change)| (change.told, *tag)).collect();
        // What is yet to be told comes first, then what was told longest ago.
        due.sort_unstable_by_key(|(told, tag)| (*told, tag.0));
        let new = due.iter().filter(|(told, _)| told.is_none()).count();
        due.truncate(if again { new.max(MOST_RETOLD) } else { new }.min(MOST_TOLD));
        let mut taken = Vec::with_capacity(due.len());
        for (_, tag) in due {
            if let Some(change) = self.changes.get_mut(&tag) {
                change.told = Some(now);
                taken.push((tag, now.saturating_duration_since(change.since)));
            }
        }
        taken
    }

    /// Stops telling of a runner.
    pub fn forget(&mut self, runner: Tag) {
        self.changes.remove(&runner);
    }

    /// Whether there is a change that no beat has told yet.
    pub fn has_new(&self) -> bool {
        self.changes.values().any(|change| change.told.is_none())
    }
}
