//! Held bytes of a node: what it may hold for callers and other nodes, and what waits.
//!
//! Bytes are counted in a [`Ledger`] before they are read. A [`Hold`] releases what it holds when it
//! is dropped.

mod hold;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus::IntGauge;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::holding::ledger::{Cause, Number};
use sardinepick_lib::fleet::holding::{Bounds, Full, Holder, Ledger, Purpose, Resources};
use strum::IntoEnumIterator as _;

use self::hold::Content;
use crate::lock::lock;
use crate::serve::metrics::Metrics;

pub use self::hold::{Hold, Taken};

/// How often what waits for space asks again. Each asking takes the lock for less than a
/// microsecond.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The ledger, and the contents of holdings that can be shed.
struct State {
    ledger: Ledger,
    contents: HashMap<Number, (Purpose, Arc<Content>)>,
}

/// What a bounded node shares among its holdings.
struct Shared {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    /// The gauges of held bytes.
    held: Vec<(Purpose, IntGauge)>,
}

/// What a node holds.
#[derive(Clone)]
pub struct Holding(Arc<Shared>);

impl Holding {
    /// The holdings of a node with these resources.
    pub fn new(resources: Resources, clock: &Arc<dyn Clock>, metrics: &Metrics) -> Self {
        let bounds = Bounds::of(resources);
        let gauge = |purpose: Purpose| {
            (purpose, metrics.held_bytes.with_label_values(&[<&str>::from(purpose)]))
        };
        log::info!(
            memory:% = resources.memory, descriptors = resources.descriptors,
            link_mbps:% = resources.link, held:% = bounds.total, stream:% = bounds.stream,
            connections = bounds.connections, lookups = bounds.lookups, peers = bounds.peers,
            waiting = bounds.waiting, link_waiting:% = bounds.link_full;
            "held bytes are bounded"
        );
        Self(Arc::new(Shared {
            state: Mutex::new(State { ledger: Ledger::new(bounds), contents: HashMap::new() }),
            clock: clock.clone(),
            metrics: metrics.clone(),
            held: Purpose::iter().map(gauge).collect(),
        }))
    }

    /// Updates the gauges that are not kept up to date with each change.
    pub fn update_gauges(&self) {
        let stalled = lock(&self.0.state).ledger.stalled_bodies(self.0.clock.now());
        self.0.metrics.stalled_bodies.set(i64::try_from(stalled).unwrap_or(i64::MAX));
    }

    /// The bounds.
    pub fn bounds(&self) -> Bounds {
        *lock(&self.0.state).ledger.bounds()
    }

    /// Whether new work is accepted.
    ///
    /// # Errors
    /// The node is full.
    pub fn admit(&self) -> Result<(), Full> {
        let shared = &self.0;
        let admitted = lock(&shared.state).ledger.admit(shared.clock.now());
        admitted.inspect_err(|full| shared.note_refused(full.cause))
    }

    /// Begins a holding without any bytes.
    pub fn begin(&self, holder: Holder) -> Hold {
        let shared = &self.0;
        let content = Arc::new(Content::default());
        let purpose = holder.purpose;
        let mut state = lock(&shared.state);
        let number = state.ledger.begin(holder, shared.clock.now());
        if purpose != Purpose::Transfer {
            state.contents.insert(number, (purpose, content.clone()));
        }
        Hold::new(shared.clone(), number, purpose, content)
    }
}

impl Shared {
    /// Changes the ledger and updates the metrics.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = lock(&self.state);
        let result = change(&mut state);
        for (purpose, gauge) in &self.held {
            let held = state.ledger.of_purpose(*purpose).0;
            gauge.set(i64::try_from(held).unwrap_or(i64::MAX));
        }
        self.metrics.waiting_bodies.set(state.ledger.waiting() as i64);
        result
    }

    fn note_refused(&self, cause: Cause) {
        self.metrics.holding_refusals.with_label_values(&[<&str>::from(cause)]).inc();
    }

    /// Discards the contents of holdings that are shed, and signals their tasks.
    fn shed(&self, state: &mut State, numbers: &[Number]) {
        for number in numbers {
            let size = state.ledger.of_holding(*number);
            let owner = state.ledger.owner(*number).map(ToString::to_string).unwrap_or_default();
            let Some((purpose, content)) = state.contents.get(number) else { continue };
            content.shed();
            self.metrics.holding_sheds.with_label_values(&[<&str>::from(*purpose)]).inc();
            log::info!(
                purpose:% = purpose, owner = owner, size:% = size, total:% = state.ledger.total();
                "slow peer shed"
            );
            state.ledger.clear(*number, self.clock.now());
        }
    }
}
