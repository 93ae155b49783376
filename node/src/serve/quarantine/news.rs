//! What nodes tell each other of requests that are not run: with beats, and when they compare lists.

use sardinepick_lib::fleet::quarantine::{Entry, Stage};
use sardinepick_lib::id::NodeId;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::quarantine::{decode_entries, encode_entries};

use super::count::counts_first;
use super::{heed, keep, note_stage, set};
use crate::serve::shared::Shared;

/// Takes what another node tells of requests that are not run.
pub fn take(shared: &Shared, told: &[pb::Quarantined], from: &str) {
    let now = shared.clock.now();
    let entries = match decode_entries(told, now) {
        Ok(entries) => entries,
        Err(error) => {
            log::warn!(node = from, error:% = error; "quarantine of a node is not taken");
            return;
        }
    };
    for entry in entries {
        let was = {
            let mut state = shared.keeper.state();
            let was = state.quarantine.get(&entry.request).map(|entry| entry.stage);
            if !state.quarantine.take(entry.clone(), now) {
                continue;
            }
            was
        };
        heed(shared, &entry);
        note_stage(shared, &entry, "heard");
        // Two nodes that count may decide differently, and one of them have written it down.
        let lifted = was == Some(Stage::Confirmed) && entry.stage != Stage::Confirmed;
        if lifted && counts_first(shared, &entry.request) {
            keep(shared, entry.request);
        }
        if shared.keeper.state().quarantine.objects(&entry) {
            set(shared, &entry.request, Stage::Cleared, "answered since");
        }
        shared.beat_now.notify_one();
    }
}

/// What has not been told to other nodes yet, as far as one message carries it.
pub fn next(shared: &Shared) -> Vec<pb::Quarantined> {
    let news = shared.keeper.state().quarantine.take_news();
    encode_entries(&news, shared.clock.now())
}

/// Whether there is more to be told.
pub fn has_news(shared: &Shared) -> bool {
    shared.keeper.state().quarantine.has_news()
}

/// All that is known, for another node; what is refused comes first.
pub fn all(shared: &Shared) -> Vec<pb::Quarantined> {
    let mut all: Vec<Entry> = shared.keeper.state().quarantine.entries().cloned().collect();
    all.sort_by_key(|entry| entry.stage != Stage::Confirmed);
    encode_entries(&all, shared.clock.now())
}

/// A digest of all that is known.
pub fn digest(shared: &Shared) -> u64 {
    shared.keeper.state().quarantine.digest(shared.clock.now())
}

/// Compares another node's digest. True if lists should be compared.
pub fn note_digest(shared: &Shared, node: &NodeId, digest: u64) -> bool {
    shared.keeper.state().quarantine.note_digest(node, digest, shared.clock.now())
}
