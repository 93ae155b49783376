//! Gossip of quarantined requests, with heartbeats and when nodes compare their full lists.

use sardinepick_lib::fleet::quarantine::{Entry, Stage};
use sardinepick_lib::id::NodeId;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::quarantine::{decode_entries, encode_entries};

use super::count::is_primary_counter;
use super::{note_stage, schedule_write, set_stage, update_suspects};
use crate::serve::shared::Shared;

/// Applies another node's entries.
pub fn apply(shared: &Shared, received: &[pb::Quarantined], from: &str) {
    let now = shared.clock.now();
    let entries = match decode_entries(received, now) {
        Ok(entries) => entries,
        Err(error) => {
            log::warn!(node = from, error:% = error; "malformed quarantine gossip dropped");
            return;
        }
    };
    for entry in entries {
        let was = {
            let mut state = shared.quarantine.state();
            let was = state.quarantine.get(&entry.request).map(|entry| entry.stage);
            if !state.quarantine.apply_entry(entry.clone(), now) {
                continue;
            }
            was
        };
        update_suspects(shared, &entry);
        note_stage(shared, &entry, "heard");
        // Two counting nodes may decide differently, and one of them may have written its decision
        // to the store.
        let is_stale = was.is_some_and(Stage::is_stored) && was != Some(entry.stage);
        if is_stale && is_primary_counter(shared, &entry.request) {
            schedule_write(shared, entry.request);
        }
        if shared.quarantine.state().quarantine.contradicts(&entry) {
            set_stage(shared, &entry.request, Stage::Cleared, "answered since");
        }
        shared.heartbeat_now.notify_one();
    }
}

/// Entries not gossiped yet, as many as fit into one message.
pub fn take_pending(shared: &Shared) -> Vec<pb::Quarantined> {
    let updates = shared.quarantine.state().quarantine.take_updates();
    encode_entries(&updates, shared.clock.now())
}

/// Whether there are entries that have not been gossiped.
pub fn has_pending(shared: &Shared) -> bool {
    shared.quarantine.state().quarantine.has_updates()
}

/// All entries, for another node; refused requests come first, then restricted ones.
pub fn all(shared: &Shared) -> Vec<pb::Quarantined> {
    let mut all: Vec<Entry> = shared.quarantine.state().quarantine.entries().cloned().collect();
    all.sort_by_key(|entry| (entry.stage != Stage::Confirmed, !entry.stage.is_stored()));
    encode_entries(&all, shared.clock.now())
}

/// A digest of all entries.
pub fn digest(shared: &Shared) -> u64 {
    shared.quarantine.state().quarantine.digest(shared.clock.now())
}

/// Compares another node's digest. Returns whether the full lists should be compared.
pub fn note_digest(shared: &Shared, node: &NodeId, digest: u64) -> bool {
    shared.quarantine.state().quarantine.note_digest(node, digest, shared.clock.now())
}
