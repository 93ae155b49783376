//! What one holder of the duties records for the next: the requirement of a service, its evidence and
//! the last orders.
//!
//! The record is kept in the platform's store and only written when the requirement or an order
//! changes. A write succeeds only against the revision that it is based on. The serial number
//! increases with each write, so that after a restore of the store from a backup the node that wrote
//! last can tell that its record is newer than the copy's.

use std::time::Duration;

use crate::id::DataCentre;
use crate::scale::plan::Kind;

/// The load that a requirement is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The peak load as a number of fully busy runners.
    pub load: f64,
    /// How long the load had been observed.
    pub observed: Duration,
    /// The end of the observation, since the Unix epoch.
    pub at: Duration,
}

/// The last order that was accepted for one kind in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedOrder {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The kind of runner.
    pub kind: Kind,
    /// The number of runners.
    pub count: u32,
}

/// The record of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Increases with each write.
    pub serial: u64,
    /// The number of runners at the start of the deployment.
    pub initial: u32,
    /// The required number of runners.
    pub required: u32,
    /// The evidence for the requirement; `None` if it is the initial number.
    pub evidence: Option<Evidence>,
    /// The last accepted orders, one per data centre and kind.
    pub orders: Vec<RecordedOrder>,
}

impl Record {
    /// A record that requires the number of runners at the start of the deployment.
    pub fn initial(count: u32) -> Self {
        Self { serial: 0, initial: count, required: count, evidence: None, orders: Vec::new() }
    }

    /// Records an accepted order.
    pub fn set_order(&mut self, data_centre: &DataCentre, kind: Kind, count: u32) {
        let is_same = |o: &&mut RecordedOrder| o.data_centre == *data_centre && o.kind == kind;
        match self.orders.iter_mut().find(is_same) {
            Some(order) => order.count = count,
            None => {
                self.orders.push(RecordedOrder { data_centre: data_centre.clone(), kind, count });
            }
        }
    }

    /// Returns the count of the last accepted order.
    pub fn order(&self, data_centre: &DataCentre, kind: Kind) -> Option<u32> {
        let is_same = |o: &&RecordedOrder| o.data_centre == *data_centre && o.kind == kind;
        self.orders.iter().find(is_same).map(|order| order.count)
    }
}

/// Returns which of the record in this node's memory and the stored one is in force. The stored one
/// has the lower serial number only if it comes from a backup, or was not written by a node.
pub fn newest(memory: Option<Record>, stored: Option<Record>) -> Option<Record> {
    match (memory, stored) {
        (Some(memory), Some(stored)) if memory.serial > stored.serial => Some(memory),
        (memory, stored) => stored.or(memory),
    }
}
