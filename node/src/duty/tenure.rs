//! Holding the lease on the duties.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Epoch, Incarnation, NodeId};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};
use sardinepick_platform::duty::LEASE_KIND;
use sardinepick_platform::store::{Object, ResponseError};
use smol_str::SmolStr;

use crate::history::Tracker;
use crate::serve::metrics::Metrics;
use crate::serve::store::{Client, Purpose, StoreError};

/// The name of the lease, which is that of the first of the duties, orders to runners.
const LEASE: &str = "runners";
/// How long the lease holds without renewal. It bounds, with the margin, how long nobody acts after
/// the holder has fallen silent.
const TTL: Duration = Duration::from_secs(2);
/// How much longer than the turns of two holders a challenger waits, for clocks that run at different
/// speeds. Calls end within the term, so none is under way.
const TURN_MARGIN: Duration = Duration::from_millis(200);
/// How often a node that wants the lease reads it while another holds it.
const READ_PERIOD: Duration = Duration::from_millis(1_500);
/// How long the lease is kept after the last wish for it.
const KEPT: Duration = Duration::from_secs(5);
/// How many calls in a row may fail before the node counts as not served by the store.
const FAILURES: u32 = 2;
/// The holder that a lease object of another writer is taken to have: one that is not known, and whose
/// term has to run out.
const UNKNOWN: &str = "unknown";

#[derive(Debug)]
struct State {
    lease: Lease,
    wished: Option<Instant>,
    read: Option<Instant>,
    failures: u32,
}

/// This node's part in the lease on the duties.
pub struct Tenure {
    store: Arc<Client>,
    history: Arc<Tracker>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    term: Term,
    state: Mutex<State>,
}

/// Who holds the lease, for people.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The holder as last seen; empty where there is none.
    pub holder: SmolStr,
    /// The number of the holding.
    pub epoch: Epoch,
    /// What is left of this node's own term; nothing where it is not the holder.
    pub left: Duration,
}

impl Tenure {
    /// The part of a node, of which no lease is known yet. `turns` is how far apart the calls of two
    /// holders must be.
    pub fn new(
        store: Arc<Client>,
        history: Arc<Tracker>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        holder: Holder,
        turns: Duration,
    ) -> Self {
        let term = Term { ttl: TTL, margin: turns + TURN_MARGIN };
        let lease = Lease::new(holder);
        let state = State { lease, wished: None, read: None, failures: 0 };
        Self { store, history, clock, metrics, term, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that there is something to do for the holder.
    pub fn want(&self) {
        self.state().wished = Some(self.clock.now());
    }

    /// The number of this node's holding if a call made now that arrives within `call` lies in its
    /// term. It has to be looked at as the last thing before the call.
    pub fn authority_for(&self, call: Duration) -> Option<Epoch> {
        self.state().lease.authority_for(self.clock.now(), call)
    }

    /// Who holds the lease.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let state = self.state();
        let record = state.lease.record();
        let holder = record.and_then(|record| record.holder.as_ref());
        Status {
            holder: holder.map(|holder| SmolStr::new(holder.name.as_str())).unwrap_or_default(),
            epoch: record.map(|record| record.epoch).unwrap_or_default(),
            left: state
                .lease
                .holding(now)
                .map_or(Duration::ZERO, |(_, until)| until.saturating_duration_since(now)),
        }
    }

    /// Takes, renews or gives back the lease, whichever is due. `leads` is whether this node should
    /// have it, `is_gone` whether a holder's process is known to have ended. False if the store has
    /// failed it several times in a row.
    pub async fn keep(&self, leads: bool, is_gone: impl Fn(&Holder) -> bool) -> bool {
        let now = self.clock.now();
        let within = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let (wanted, settles) = {
            let mut state = self.state();
            self.note_era(&mut state.lease);
            let wanted = leads && within(state.wished, KEPT);
            let holds = state.lease.holding(now).is_some();
            let settles = state.lease.wants_settling();
            if !wanted && !holds && !settles {
                return true;
            }
            if !holds && !within(state.read, READ_PERIOD) {
                state.lease.want_read();
            }
            (wanted, settles)
        };
        if settles {
            self.read().await;
        }
        // A read is followed by what it allows.
        for _ in 0..2 {
            let action = {
                let now = self.clock.now();
                let mut state = self.state();
                self.note_era(&mut state.lease);
                state.lease.poll(now, self.term, wanted, &is_gone)
            };
            match action {
                Some(Action::Read) => self.read().await,
                Some(Action::Write { expected, record }) => self.write(expected, &record).await,
                None => break,
            }
        }
        self.state().failures < FAILURES
    }

    fn note_era(&self, lease: &mut Lease) {
        if let Some(since) = self.history.since() {
            lease.note_era(self.history.era(), since);
        }
    }

    async fn read(&self) {
        let result = self.store.get(Purpose::Lease, LEASE_KIND, LEASE).await;
        let now = self.clock.now();
        let mut state = self.state();
        self.note_era(&mut state.lease);
        state.read = Some(now);
        match result {
            Ok(found) => {
                state.failures = 0;
                let found = found.map(|object| decode(&object));
                state.lease.take_read(now, self.term, found);
            }
            Err(error) => {
                log::info!(error:% = error; "lease not read");
                state.failures += 1;
                state.lease.want_read();
            }
        }
    }

    async fn write(&self, expected: Option<Point>, record: &Record) {
        let content = serde_json::json!(record);
        let result = match expected {
            None => self.store.create(Purpose::Lease, LEASE_KIND, LEASE, &content).await,
            Some(was) => self.store.replace(Purpose::Lease, LEASE_KIND, LEASE, was, &content).await,
        };
        let now = self.clock.now();
        let mut state = self.state();
        let written = match result {
            Ok(object) => Written::Done(object.at),
            Err(StoreError::Refused {
                refused: ResponseError::Conflict(_) | ResponseError::NotFound,
                ..
            }) => Written::Conflict,
            Err(error) => {
                log::info!(error:% = error; "lease not known to be written");
                state.failures += 1;
                Written::Lost
            }
        };
        if written != Written::Lost {
            state.failures = 0;
        }
        let change = change(record, written);
        self.metrics.leases.with_label_values(&[change]).inc();
        if record.beat == 0 || record.holder.is_none() || !matches!(written, Written::Done(_)) {
            log::info!(
                epoch:% = record.epoch, renewals = record.beat, written:? = written;
                "lease {change}"
            );
        }
        state.lease.take_written(now, self.term, written);
    }
}

/// What became of the lease by a write, in one word.
fn change(record: &Record, written: Written) -> &'static str {
    match written {
        Written::Conflict => "lost to another",
        Written::Lost => "in doubt",
        Written::Done(_) if record.holder.is_none() => "given back",
        Written::Done(_) if record.beat == 0 => "taken",
        Written::Done(_) => "renewed",
    }
}

/// Reads the lease. One that cannot be read is held by nobody that is known, for a whole term, and has
/// a number that none before it can have had: each holding is a change of the store.
fn decode(object: &Object) -> (Point, Record) {
    let at = object.at;
    let record = serde_json::from_slice(&object.content).unwrap_or_else(|error| {
        log::error!(revision:% = at, error:% = error; "lease cannot be read; it is replaced");
        let name: NodeId = UNKNOWN.parse().expect("a right name");
        let holder = Some(Holder { name, incarnation: Incarnation(0) });
        Record { holder, epoch: Epoch(at.number()), ..Record::default() }
    });
    (at, record)
}
