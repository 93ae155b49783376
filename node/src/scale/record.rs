//! The capacity record of a service in the platform's store.

use std::sync::Arc;

use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::ServiceId;
use sardinepick_lib::scale::record::{Record, newest};
use sardinepick_platform::capacity::{CAPACITY_KIND, decode, encode};
use sardinepick_platform::store::{Object, ResponseError};

use crate::era_tracker::EraTracker;
use crate::serve::metrics::Metrics;
use crate::serve::store::{Client, Purpose, StoreError};

/// Reads and writes records.
pub struct Records {
    /// The store.
    pub store: Arc<Client>,
    /// The era of the store.
    pub era_tracker: Arc<EraTracker>,
    /// Metrics.
    pub metrics: Metrics,
}

/// A record as last read or written.
#[derive(Debug)]
pub struct Loaded {
    /// The store's era at that time.
    era: Era,
    /// The object's revision; `None` if there is no object.
    at: Option<Point>,
    /// The record in force.
    pub record: Option<Record>,
    /// Whether the store has this record.
    is_stored: bool,
}

/// Why a record was not written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteError {
    /// Another node has written one in the meantime.
    Conflict,
    /// The store did not confirm the write, which may have succeeded.
    Unconfirmed,
}

impl Records {
    /// Returns whether a loaded record has to be read again because the store came back from a copy.
    pub fn is_outdated(&self, loaded: &Loaded) -> bool {
        loaded.era != self.era_tracker.era()
    }

    /// Reads the record of a service. `memory` is the last record that this node has read or written;
    /// it takes precedence over an older copy. `None` if the store fails.
    pub async fn read(&self, service: &ServiceId, memory: Option<&Record>) -> Option<Loaded> {
        let found = self.store.get(Purpose::Capacity, CAPACITY_KIND, service.as_str()).await;
        let object = match found {
            Ok(object) => object,
            Err(error) => {
                self.count("read_failed");
                log::info!(service:% = service, error:% = error; "failed to read the capacity record");
                return None;
            }
        };
        self.count("read");
        let stored = object.as_ref().and_then(|object| self.decode(service, object));
        let record = newest(memory.cloned(), stored.clone());
        let is_stored = record == stored;
        let at = object.map(|object| object.at);
        log::info!(
            service:% = service, revision:? = at, stored = is_stored,
            required:? = record.as_ref().map(|record| record.required);
            "capacity record read"
        );
        let era = at.map_or(self.era_tracker.era(), |at| at.era);
        Some(Loaded { era, at, record, is_stored })
    }

    fn decode(&self, service: &ServiceId, object: &Object) -> Option<Record> {
        match decode(&object.content) {
            Ok(record) => Some(record),
            Err(error) => {
                self.count("undecodable");
                log::warn!(
                    service:% = service, revision:% = object.at, error:% = error;
                    "capacity record cannot be decoded; it is replaced"
                );
                None
            }
        }
    }

    /// Writes `record` in place of the loaded one, unless the store has it already.
    ///
    /// # Errors
    /// The record has to be read again.
    pub async fn write(
        &self,
        service: &ServiceId,
        loaded: &mut Loaded,
        record: Record,
    ) -> Result<(), WriteError> {
        if loaded.is_stored && loaded.record.as_ref() == Some(&record) {
            return Ok(());
        }
        // Revisions grow faster than serial numbers, so a record that follows an undecodable object
        // has a higher one than that object had.
        let floor = loaded.at.map_or(0, Point::number);
        let record = Record { serial: (record.serial + 1).max(floor), ..record };
        let content = encode(&record);
        let (kind, name) = (CAPACITY_KIND, service.as_str());
        let written = match loaded.at {
            None => self.store.create(Purpose::Capacity, kind, name, &content).await,
            Some(was) => self.store.replace(Purpose::Capacity, kind, name, was, &content).await,
        };
        match written {
            Ok(object) => {
                self.count("written");
                log::info!(
                    service:% = service, revision:% = object.at, serial = record.serial,
                    required = record.required, initial = record.initial,
                    load:? = record.evidence.map(|evidence| evidence.load);
                    "capacity record written"
                );
                let (era, at) = (object.at.era, Some(object.at));
                *loaded = Loaded { era, at, record: Some(record), is_stored: true };
                Ok(())
            }
            Err(StoreError::Refused {
                refused: ResponseError::Conflict(_) | ResponseError::NotFound,
                ..
            }) => {
                self.count("conflict");
                log::info!(service:% = service; "another node has written the capacity record");
                Err(WriteError::Conflict)
            }
            Err(error) => {
                self.count("unconfirmed");
                log::info!(
                    service:% = service, error:% = error;
                    "outcome of writing the capacity record is unknown"
                );
                Err(WriteError::Unconfirmed)
            }
        }
    }

    fn count(&self, outcome: &str) {
        self.metrics.capacity_records.with_label_values(&[outcome]).inc();
    }
}
