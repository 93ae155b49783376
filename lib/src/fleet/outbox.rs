//! Gossip about runners that is waiting to be sent with heartbeats. Each change is sent as soon as
//! it is known, and again later, as datagrams are lost and nodes start late.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::runner::Tag;

/// The maximum number of changes in one heartbeat.
pub const MAX_CHANGES: usize = 16;
/// The maximum number of changes that a heartbeat without new ones repeats.
const MAX_REPEATED: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Change {
    since: Instant,
    /// When it was last sent; `None` if it has not been sent.
    sent: Option<Instant>,
}

/// The changes to send, by the tag of the runner.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    changes: HashMap<Tag, Change>,
}

impl Outbox {
    /// Adds a change to the next heartbeat, and to later ones.
    pub fn push(&mut self, runner: Tag, now: Instant) {
        self.changes.insert(runner, Change { since: now, sent: None });
    }

    /// Takes the changes for the next heartbeat, with their age. With `include_sent`, includes
    /// changes that were sent before. They are marked as sent.
    pub fn take(&mut self, include_sent: bool, now: Instant) -> Vec<(Tag, Duration)> {
        let mut due: Vec<(Option<Instant>, Tag)> =
            self.changes.iter().map(|(tag, change)| (change.sent, *tag)).collect();
        // Changes that have not been sent come first, then those that were sent longest ago.
        due.sort_unstable_by_key(|(sent, tag)| (*sent, tag.0));
        let new = due.iter().filter(|(sent, _)| sent.is_none()).count();
        due.truncate(if include_sent { new.max(MAX_REPEATED) } else { new }.min(MAX_CHANGES));
        let mut taken = Vec::with_capacity(due.len());
        for (_, tag) in due {
            if let Some(change) = self.changes.get_mut(&tag) {
                change.sent = Some(now);
                taken.push((tag, now.saturating_duration_since(change.since)));
            }
        }
        taken
    }

    /// Removes the change of a runner.
    pub fn forget(&mut self, runner: Tag) {
        self.changes.remove(&runner);
    }

    /// Whether there is a change that has not been sent.
    pub fn has_new(&self) -> bool {
        self.changes.values().any(|change| change.sent.is_none())
    }
}
