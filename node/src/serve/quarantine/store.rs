//! Persistence of the quarantine in the platform's store, for the case that all nodes restart and
//! none is left to gossip it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt as _;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_platform::quarantine::{QUARANTINE_KIND, decode, encode};
use tokio::time::sleep;

use super::{is_primary_counter, note_stage, schedule_write, update_suspects};
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// Reads the stored entries once per process; later changes arrive by gossip.
pub async fn read_once(shared: Arc<Shared>) {
    if shared.quarantine.store_read.swap(true, Ordering::Relaxed) {
        return;
    }
    let (objects, _) = match shared.store.list(Purpose::Quarantine, QUARANTINE_KIND).await {
        Ok(read) => read,
        Err(error) => {
            log::info!(error:% = error; "quarantine not read from the store");
            shared.quarantine.store_read.store(false, Ordering::Relaxed);
            return;
        }
    };
    let now = shared.clock.now();
    for object in objects {
        match decode(&object.name, &object.content, now) {
            Ok(entry) if shared.quarantine.state().quarantine.apply_entry(entry.clone(), now) => {
                update_suspects(&shared, &entry);
                note_stage(&shared, &entry, "kept by the store");
                shared.heartbeat_now.notify_one();
            }
            Ok(_) => {}
            Err(error) => {
                shared
                    .metrics
                    .invalid_objects
                    .with_label_values(&["quarantine", error.reason()])
                    .inc();
                log::warn!(request:% = object.name, error:% = error; "quarantine entry skipped");
            }
        }
    }
}

/// Writes the stored entries again whenever the store has been restored from a backup, until the
/// process ends. Each entry is written by its primary counter only.
pub async fn write_again(shared: Arc<Shared>) {
    let mut eras = shared.era_tracker.subscribe();
    while eras.changed().await.is_ok() {
        if !shared.era_tracker.was_restored() {
            continue;
        }
        let stored: Vec<Fingerprint> = {
            let state = shared.quarantine.state();
            let entries = state.quarantine.entries();
            entries.filter(|entry| entry.stage.is_stored()).map(|e| e.request).collect()
        };
        let mine = stored.into_iter().filter(|request| is_primary_counter(&shared, request));
        let mut count = 0;
        for request in mine {
            schedule_write(&shared, request);
            count += 1;
        }
        if count > 0 {
            log::info!(requests = count, era:% = shared.era_tracker.era(); "quarantine is written again");
        }
    }
}

/// Writes pending decisions to the store until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut failures = 0;
    loop {
        let request = shared.quarantine.state().pending_writes.iter().next().copied();
        let Some(request) = request else {
            failures = 0;
            shared.quarantine.write_pending.notified().await;
            continue;
        };
        // Removed before the write, so that a change during the write is written again.
        shared.quarantine.state().pending_writes.remove(&request);
        if let Err(error) = write(&shared, &request).await {
            failures += 1;
            log::info!(
                fingerprint:% = request, failures = failures, error:% = error;
                "quarantine not written to the store"
            );
            shared.quarantine.state().pending_writes.insert(request);
            let draw: f64 = shared.rng().random();
            sleep(pause(failures, draw)).await;
        }
    }
}

async fn write(shared: &Shared, request: &Fingerprint) -> Result<(), StoreError> {
    let entry = shared.quarantine.state().quarantine.get(request).cloned();
    let name = request.to_string();
    match entry.filter(|entry| entry.stage.is_stored()) {
        Some(entry) => {
            shared.store.put(Purpose::Quarantine, QUARANTINE_KIND, &name, &encode(&entry)).await
        }
        None => shared.store.remove(Purpose::Quarantine, QUARANTINE_KIND, &name).await,
    }
}
