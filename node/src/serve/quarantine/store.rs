//! Keeping in the platform's store what is not run, for when all nodes start anew and none is left
//! that could tell the others.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt as _;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::fleet::quarantine::Stage;
use sardinepick_platform::quarantine::{QUARANTINE_KIND, decode, encode};
use tokio::time::sleep;

use super::{counts_first, heed, keep, note_stage};
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// Reads what the store keeps, once in the life of this process; what comes later other nodes tell.
pub async fn read_once(shared: Arc<Shared>) {
    if shared.keeper.is_read.swap(true, Ordering::Relaxed) {
        return;
    }
    let (objects, _) = match shared.store.list(Purpose::Quarantine, QUARANTINE_KIND).await {
        Ok(read) => read,
        Err(error) => {
            log::info!(error:% = error; "quarantine not read from the store");
            shared.keeper.is_read.store(false, Ordering::Relaxed);
            return;
        }
    };
    let now = shared.clock.now();
    for object in objects {
        match decode(&object.name, &object.content, now) {
            Ok(entry) if shared.keeper.state().quarantine.take(entry.clone(), now) => {
                heed(&shared, &entry);
                note_stage(&shared, &entry, "kept by the store");
                shared.beat_now.notify_one();
            }
            Ok(_) => {}
            Err(error) => {
                shared.metrics.foreign.with_label_values(&["quarantine", error.reason()]).inc();
                log::warn!(request:% = object.name, error:% = error; "quarantine entry is not taken");
            }
        }
    }
}

/// Has what is not run written again whenever the store has come back from a copy, until the process
/// ends. Of the nodes that know of a request one writes it.
pub async fn write_again(shared: Arc<Shared>) {
    let mut eras = shared.history.changes();
    while eras.changed().await.is_ok() {
        if !shared.history.has_come_back() {
            continue;
        }
        let confirmed: Vec<Fingerprint> = {
            let state = shared.keeper.state();
            let entries = state.quarantine.entries();
            entries.filter(|entry| entry.stage == Stage::Confirmed).map(|e| e.request).collect()
        };
        let mine = confirmed.into_iter().filter(|request| counts_first(&shared, request));
        let mut count = 0;
        for request in mine {
            keep(&shared, request);
            count += 1;
        }
        if count > 0 {
            log::info!(requests = count, era:% = shared.history.era(); "quarantine is written again");
        }
    }
}

/// Brings the store up to what was decided here, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut failures = 0;
    loop {
        let request = shared.keeper.state().unwritten.iter().next().copied();
        let Some(request) = request else {
            failures = 0;
            shared.keeper.decided.notified().await;
            continue;
        };
        // What changes meanwhile is written again.
        shared.keeper.state().unwritten.remove(&request);
        if let Err(error) = write(&shared, &request).await {
            failures += 1;
            log::info!(
                fingerprint:% = request, failures = failures, error:% = error;
                "quarantine not written to the store"
            );
            shared.keeper.state().unwritten.insert(request);
            let draw: f64 = shared.rng().random();
            sleep(pause(failures, draw)).await;
        }
    }
}

async fn write(shared: &Shared, request: &Fingerprint) -> Result<(), StoreError> {
    let entry = shared.keeper.state().quarantine.get(request).cloned();
    let name = request.to_string();
    match entry.filter(|entry| entry.stage == Stage::Confirmed) {
        Some(entry) => {
            shared.store.put(Purpose::Quarantine, QUARANTINE_KIND, &name, &encode(&entry)).await
        }
        None => shared.store.remove(Purpose::Quarantine, QUARANTINE_KIND, &name).await,
    }
}
