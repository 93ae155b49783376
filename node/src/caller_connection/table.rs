//! The open connections of a listener: how many there may be, and which one is closed for another.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus::IntGauge;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::caller_connection::eviction::{Candidate, choose};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::activity::Activity;
use crate::lock::lock;

/// How often a connection that waits for another one to end asks again.
const POLL_PERIOD: Duration = Duration::from_millis(50);

struct Entry {
    address: IpAddr,
    weight: u32,
    activity: Arc<Activity>,
    evicted: Arc<Notify>,
    is_evicted: bool,
}

#[derive(Default)]
struct State {
    last: u64,
    used: u32,
    open: HashMap<u64, Entry>,
}

struct Shared {
    limit: u32,
    state: Mutex<State>,
    freed: Notify,
    clock: Arc<dyn Clock>,
    count: IntGauge,
}

/// The open connections of a listener.
#[derive(Clone)]
pub struct Table(Arc<Shared>);

/// An open connection, until it is dropped.
pub struct Slot {
    table: Table,
    number: u64,
    evicted: Arc<Notify>,
    pub(super) activity: Arc<Activity>,
}

impl Table {
    /// A table for connections of up to this weight together, whose number `count` shows.
    pub fn new(limit: u32, clock: Arc<dyn Clock>, count: IntGauge) -> Self {
        let (state, freed) = (Mutex::default(), Notify::new());
        Self(Arc::new(Shared { limit, state, freed, clock, count }))
    }

    /// Opens a connection. If there are too many, another one is closed, or one ends, first.
    pub async fn open(&self, address: IpAddr, weight: u32) -> Slot {
        loop {
            if let Some(slot) = self.try_open(address, weight) {
                return slot;
            }
            tokio::select! {
                () = self.0.freed.notified() => {}
                () = sleep(POLL_PERIOD) => {}
            }
        }
    }

    fn try_open(&self, address: IpAddr, weight: u32) -> Option<Slot> {
        let mut state = lock(&self.0.state);
        // A connection that is heavier than all together may be open alone.
        if state.used.saturating_add(weight) > self.0.limit && !state.open.is_empty() {
            self.evict(&mut state);
            return None;
        }
        state.last += 1;
        state.used = state.used.saturating_add(weight);
        let number = state.last;
        let evicted = Arc::<Notify>::default();
        let activity = Arc::new(Activity::new(self.0.clock.clone()));
        let entry = Entry {
            address,
            weight,
            activity: activity.clone(),
            evicted: evicted.clone(),
            is_evicted: false,
        };
        state.open.insert(number, entry);
        self.0.count.inc();
        Some(Slot { table: self.clone(), number, evicted, activity })
    }

    /// Chooses a connection and signals it, unless one that was chosen has not ended yet.
    fn evict(&self, state: &mut State) {
        if state.open.values().any(|entry| entry.is_evicted) {
            return;
        }
        let candidate = |(number, entry): (&u64, &Entry)| Candidate {
            number: *number,
            address: entry.address,
            state: entry.activity.state(),
        };
        let candidates: Vec<Candidate> = state.open.iter().map(candidate).collect();
        let chosen = choose(&candidates, self.0.clock.now());
        if let Some(entry) = chosen.and_then(|number| state.open.get_mut(&number)) {
            log::info!(caller:% = entry.address, open = candidates.len(); "connection evicted");
            entry.is_evicted = true;
            entry.evicted.notify_one();
        }
    }
}

impl Slot {
    /// Waits until the connection is to be closed for another one.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Keeps the connection: a request has arrived meanwhile.
    pub(super) fn keep(&self) {
        if let Some(entry) = lock(&self.table.0.state).open.get_mut(&self.number) {
            entry.is_evicted = false;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let shared = &self.table.0;
        let mut state = lock(&shared.state);
        if let Some(entry) = state.open.remove(&self.number) {
            state.used = state.used.saturating_sub(entry.weight);
            shared.count.dec();
        }
        drop(state);
        shared.freed.notify_one();
    }
}
