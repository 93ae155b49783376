//! Quarantined prompt parts in the platform's store, for the case that all nodes restart and none
//! is left to gossip them, and for nodes that reach the store and no other node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::fleet::part_quarantine::{Cause, Subject};
use sardinepick_platform::part_quarantine::{PART_KIND, decode, encode};
use tokio::time::sleep;

use super::{Coverage, PartQuarantine};
use crate::era_tracker::EraTracker;
use crate::lock::lock;
use crate::serve::store::{Purpose, StoreError};

/// How often a node that hears no other node reads the store.
const ISOLATED_PERIOD: Duration = Duration::from_secs(1);

impl PartQuarantine {
    /// Reads the stored entries unless all are known already.
    pub async fn read_once(self: Arc<Self>) {
        if !self.is_complete() {
            self.read().await;
        }
    }

    async fn read(&self) {
        let read = self.handles.store.list(Purpose::Quarantine, PART_KIND).await;
        let objects = match read {
            Ok((objects, _)) => objects,
            Err(error) => {
                log::info!(error:% = error; "quarantined prompt parts not read from the store");
                let asked = |coverage: &mut Coverage| *coverage = Coverage::Asked.max(*coverage);
                self.coverage.send_modify(asked);
                return;
            }
        };
        for object in objects {
            let now = self.handles.clock.now();
            match decode(&object.name, &object.content, now) {
                Ok(entry) => {
                    let changes = self.state().core.apply(entry, Cause::Stored, now);
                    self.note_changes(changes);
                }
                Err(error) => {
                    let labels = ["quarantined part", error.reason()];
                    self.handles.metrics.invalid_objects.with_label_values(&labels).inc();
                    log::warn!(part:% = object.name, error:% = error; "quarantined part skipped");
                }
            }
        }
        self.note_complete("store");
    }

    /// Reads the store again and again while this node hears none of the nodes that it knows of,
    /// until the process ends.
    pub async fn read_while_isolated(self: Arc<Self>, seeds: Vec<SocketAddr>) {
        loop {
            sleep(ISOLATED_PERIOD).await;
            let is_isolated = {
                let roster = lock(&self.handles.roster);
                let has_peers = roster.known() > 0 || !seeds.is_empty();
                has_peers && roster.ready_contacts().is_empty()
            };
            if is_isolated {
                self.read().await;
            }
        }
    }

    /// Writes the entries that the store should have again whenever the store has been restored from a
    /// backup, until the process ends. Each is written by its primary counting node only.
    pub async fn write_again(self: Arc<Self>, era_tracker: Arc<EraTracker>) {
        let mut eras = era_tracker.subscribe();
        while eras.changed().await.is_ok() {
            if !era_tracker.was_restored() {
                continue;
            }
            let stored: Vec<Subject> = {
                let state = self.state();
                let entries = state.core.entries().filter(|entry| entry.stage.is_stored());
                entries.map(|entry| entry.subject).collect()
            };
            let mine = stored.into_iter().filter(|subject| self.is_primary_counter(subject));
            let mine: Vec<Subject> = mine.collect();
            if !mine.is_empty() {
                let era = era_tracker.era();
                log::info!(parts = mine.len(), era:% = era; "prompt parts are written again");
                self.state().pending_writes.extend(mine);
                self.write_pending.notify_one();
            }
        }
    }

    /// Writes pending entries to the store until the process ends.
    pub async fn write_changes(self: Arc<Self>) {
        let mut failures = 0;
        loop {
            let subject = self.state().pending_writes.iter().next().copied();
            let Some(subject) = subject else {
                failures = 0;
                self.write_pending.notified().await;
                continue;
            };
            // Removed before the write, so that a change during the write is written again.
            self.state().pending_writes.remove(&subject);
            if let Err(error) = self.write(&subject).await {
                failures += 1;
                log::info!(
                    part:% = subject, failures = failures, error:% = error;
                    "prompt part not written to the store"
                );
                self.state().pending_writes.insert(subject);
                let draw: f64 = lock(&self.handles.rng).random();
                sleep(pause(failures, draw)).await;
            }
        }
    }

    async fn write(&self, subject: &Subject) -> Result<(), StoreError> {
        let entry = self.state().core.get(subject).cloned();
        let (store, name) = (&self.handles.store, subject.to_string());
        match entry.filter(|entry| entry.stage.is_stored()) {
            Some(entry) => store.put(Purpose::Quarantine, PART_KIND, &name, &encode(&entry)).await,
            None => store.remove(Purpose::Quarantine, PART_KIND, &name).await,
        }
    }
}
