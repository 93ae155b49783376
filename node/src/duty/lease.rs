//! Acquiring, renewing and releasing the lease on the duties.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Epoch, Incarnation, NodeId};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};
use sardinepick_platform::duty::LEASE_KIND;
use sardinepick_platform::store::{Object, ResponseError};
use smol_str::SmolStr;

use crate::era_tracker::EraTracker;
use crate::serve::metrics::Metrics;
use crate::serve::store::{Client, Purpose, StoreError};

/// The name of the lease object: that of the first duty, orders to runners.
const LEASE: &str = "runners";
/// The term of the lease without renewal. Together with the margin it bounds how long no node
/// carries out the duties after the holder has failed.
const TTL: Duration = Duration::from_secs(2);
/// How much longer than the required gap between two holders' calls a challenger waits, to allow
/// for clock drift. Calls end within the term, so none is in flight then.
const CALL_GAP_MARGIN: Duration = Duration::from_millis(200);
/// How often a node that wants the lease reads it while another node holds it.
const READ_PERIOD: Duration = Duration::from_millis(1_500);
/// How long the lease is retained after it was last needed.
const WANTED_TTL: Duration = Duration::from_secs(5);
/// The number of consecutive failed calls after which the node counts as not served by the store.
const MAX_FAILURES: u32 = 2;
/// The holder assumed for a lease object that cannot be decoded: an unknown one, whose term has to
/// expire.
const UNKNOWN: &str = "unknown";

#[derive(Debug)]
struct State {
    lease: Lease,
    last_wanted: Option<Instant>,
    last_read: Option<Instant>,
    failures: u32,
}

/// This node's handle on the lease of the duties.
pub struct DutyLease {
    store: Arc<Client>,
    era_tracker: Arc<EraTracker>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    term: Term,
    state: Mutex<State>,
}

/// The state of the lease, for operators.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The holder as last read; empty if there is none.
    pub holder: SmolStr,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The rest of this node's term; zero if it is not the holder.
    pub left: Duration,
}

impl DutyLease {
    /// Creates a handle that knows nothing of the lease yet. `call_gap` is the required gap between
    /// the calls of two holders.
    pub fn new(
        store: Arc<Client>,
        era_tracker: Arc<EraTracker>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        holder: Holder,
        call_gap: Duration,
    ) -> Self {
        let term = Term { ttl: TTL, margin: call_gap + CALL_GAP_MARGIN };
        let lease = Lease::new(holder);
        let state = State { lease, last_wanted: None, last_read: None, failures: 0 };
        Self { store, era_tracker, clock, metrics, term, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that there is work for the holder.
    pub fn request(&self) {
        self.state().last_wanted = Some(self.clock.now());
    }

    /// The epoch of this node's lease, if a call that is made now and arrives within `call` falls
    /// into its term. Check it immediately before the call.
    pub fn authority_for(&self, call: Duration) -> Option<Epoch> {
        self.state().lease.authority_for(self.clock.now(), call)
    }

    /// The state of the lease.
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

    /// Acquires, renews or releases the lease, whichever is due. `leads` tells whether this node
    /// should hold it, `is_gone` whether a holder's process is known to have ended. Returns false
    /// if several consecutive calls to the store have failed.
    pub async fn maintain(&self, leads: bool, is_gone: impl Fn(&Holder) -> bool) -> bool {
        let now = self.clock.now();
        let within = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let (wanted, must_settle) = {
            let mut state = self.state();
            self.note_era(&mut state.lease);
            let wanted = leads && within(state.last_wanted, WANTED_TTL);
            let holds = state.lease.holding(now).is_some();
            let must_settle = state.lease.take_settling_read();
            if !wanted && !holds && !must_settle {
                return true;
            }
            if !holds && !within(state.last_read, READ_PERIOD) {
                state.lease.request_read();
            }
            (wanted, must_settle)
        };
        if must_settle {
            self.read().await;
        }
        // A read may be followed by a write that it makes possible.
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
        self.state().failures < MAX_FAILURES
    }

    fn note_era(&self, lease: &mut Lease) {
        if let Some(since) = self.era_tracker.since() {
            lease.set_era(self.era_tracker.era(), since);
        }
    }

    async fn read(&self) {
        let result = self.store.get(Purpose::Lease, LEASE_KIND, LEASE).await;
        let now = self.clock.now();
        let mut state = self.state();
        self.note_era(&mut state.lease);
        state.last_read = Some(now);
        match result {
            Ok(found) => {
                state.failures = 0;
                let found = found.map(|object| decode(&object));
                state.lease.on_read(now, self.term, found);
            }
            Err(error) => {
                log::info!(error:% = error; "failed to read the lease");
                state.failures += 1;
                state.lease.request_read();
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
                log::info!(error:% = error; "lease write has an unknown outcome");
                state.failures += 1;
                Written::Lost
            }
        };
        if written != Written::Lost {
            state.failures = 0;
        }
        let change = change(record, written);
        self.metrics.lease_changes.with_label_values(&[change]).inc();
        if record.beat == 0 || record.holder.is_none() || !matches!(written, Written::Done(_)) {
            log::info!(
                epoch:% = record.epoch, renewals = record.beat, written:? = written;
                "lease {change}"
            );
        }
        state.lease.on_written(now, self.term, written);
    }
}

/// The effect of a write on the lease, as a label.
fn change(record: &Record, written: Written) -> &'static str {
    match written {
        Written::Conflict => "lost to another",
        Written::Lost => "in doubt",
        Written::Done(_) if record.holder.is_none() => "given back",
        Written::Done(_) if record.beat == 0 => "taken",
        Written::Done(_) => "renewed",
    }
}

/// Decodes the lease. A lease that cannot be decoded counts as held by an unknown holder for a
/// whole term, with an epoch that no earlier holder can have had, since each acquisition changes
/// the store's revision.
fn decode(object: &Object) -> (Point, Record) {
    let at = object.at;
    let record = serde_json::from_slice(&object.content).unwrap_or_else(|error| {
        log::error!(revision:% = at, error:% = error; "lease cannot be read; it is replaced");
        let name: NodeId = UNKNOWN.parse().expect("UNKNOWN is a valid name");
        let holder = Some(Holder { name, incarnation: Incarnation(0) });
        Record { holder, epoch: Epoch(at.number()), ..Record::default() }
    });
    (at, record)
}
