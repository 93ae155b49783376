//! Gossip of prompt parts that crash runners, with heartbeats and when nodes compare their lists.

use sardinepick_lib::fleet::part_quarantine::{Cause, Entry, Stage};
use sardinepick_lib::id::NodeId;
use sardinepick_wire::beat::Parts;
use sardinepick_wire::part_quarantine::{decode_entries, encode_entries};

use super::{Coverage, PartQuarantine};

impl PartQuarantine {
    /// Applies the entries that another node sends.
    pub fn apply_gossip(&self, received: &Parts, from: &str) {
        if received.entries.is_empty() {
            return;
        }
        let now = self.handles.clock.now();
        let entries = match decode_entries(&received.entries, now) {
            Ok(entries) => entries,
            Err(error) => {
                log::warn!(node = from, error:% = error; "malformed gossip of prompt parts dropped");
                return;
            }
        };
        for entry in entries {
            let changes = self.state().core.apply(entry, Cause::Heard, now);
            self.note_changes(changes);
        }
    }

    /// Applies all entries of another node. If that node knew all that existed when it started, so
    /// does this one now.
    pub fn apply_all(&self, received: &Parts, from: &str) {
        self.apply_gossip(received, from);
        if received.is_complete {
            self.note_complete(from);
        }
    }

    /// Records that this node knows all entries that existed when it started.
    pub(super) fn note_complete(&self, from: &str) {
        if self.coverage.send_replace(Coverage::Complete) != Coverage::Complete {
            let parts = self.state().core.entries().count();
            log::info!(from = from, parts = parts; "quarantined prompt parts are known");
        }
    }

    /// Entries not gossiped yet, as many as fit into one message.
    pub fn take_pending(&self) -> Parts {
        let now = self.handles.clock.now();
        let updates = self.state().core.take_updates();
        Parts { entries: encode_entries(&updates, now), ..self.summary() }
    }

    /// Whether there are entries that have not been gossiped.
    pub fn has_pending(&self) -> bool {
        self.state().core.has_updates()
    }

    /// What each heartbeat says.
    pub fn summary(&self) -> Parts {
        let digest = self.state().core.digest(self.handles.clock.now());
        Parts { digest, is_complete: self.is_complete(), entries: Vec::new() }
    }

    /// All entries, for another node; quarantined parts come first.
    pub fn all(&self) -> Parts {
        let mut all: Vec<Entry> = self.state().core.entries().cloned().collect();
        all.sort_by_key(|entry| entry.stage != Stage::Quarantined);
        Parts { entries: encode_entries(&all, self.handles.clock.now()), ..self.summary() }
    }

    /// Compares what another node's heartbeat says with what this node knows. Returns whether the
    /// lists should be compared.
    pub fn note_summary(&self, node: &NodeId, received: &Parts) -> bool {
        let now = self.handles.clock.now();
        let is_same = received.digest == self.state().core.digest(now);
        if is_same && received.is_complete {
            self.note_complete(node.as_str());
        }
        self.state().core.note_digest(node, received.digest, now)
    }
}
