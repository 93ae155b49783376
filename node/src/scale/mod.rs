//! Ordering runners from the platform while this node holds the duties.
//!
//! Every node observes the load. The holder reads the capacity record of a service before its first
//! order, writes a changed requirement before it orders by it, and writes accepted orders afterwards.

mod record;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::ServiceId;
use sardinepick_lib::scale::initial::assured;
use sardinepick_lib::scale::need::{CapacityEstimator, Policy, RequiredCapacity};
use sardinepick_lib::scale::plan::{Kind, Order, Planner, Scaling, Supply};
use sardinepick_lib::scale::record::Record;
use sardinepick_platform::duty::{DesiredCount, Reply, order_runners};
use tokio::time::sleep;

use crate::duty::caller::{Caller, Outcome};
use crate::duty::lease::DutyLease;
use crate::serve::metrics::Metrics;
use crate::usage::Usage;

pub use record::Records;
use record::{Loaded, WriteError};

/// How often the required number of runners is evaluated.
const EVALUATION_PERIOD: Duration = Duration::from_millis(400);

/// A service whose runners are scaled, as this node knows it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Scaling bounds and prices.
    pub scaling: Scaling,
    /// Its runners, in the order of the prices.
    pub supply: Vec<Supply>,
    /// Its load, as a number of fully busy runners.
    pub busy: f64,
}

/// Returns the services whose runners are scaled; `None` while this node's information may be
/// stale.
pub type Services = Arc<dyn Fn() -> Option<Vec<Service>> + Send + Sync>;

/// Keeps the number of runners in line with demand.
pub struct Scaler {
    /// The services.
    pub services: Services,
    /// The lease.
    pub duty_lease: Arc<DutyLease>,
    /// Calls to the platform.
    pub caller: Arc<Caller>,
    /// The policy that determines the number of runners.
    pub policy: Policy,
    /// The capacity records.
    pub records: Records,
    /// The true time.
    pub usage: Arc<Usage>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

struct ServiceState {
    estimator: CapacityEstimator,
    planner: Planner,
    /// The record; `None` if it has to be read.
    loaded: Option<Loaded>,
    /// The last record that this node has read or written.
    memory: Option<Record>,
    /// Whether the record has been read since this node became the holder.
    has_read: bool,
}

impl ServiceState {
    fn new(policy: Policy) -> Self {
        Self {
            estimator: CapacityEstimator::new(policy),
            planner: Planner::default(),
            loaded: None,
            memory: None,
            has_read: false,
        }
    }

    /// Forgets what another holder may change.
    fn end_holding(&mut self) {
        self.planner = Planner::default();
        self.loaded = None;
        self.has_read = false;
    }
}

impl Scaler {
    /// Orders runners until the process ends.
    pub async fn run(self) {
        let mut states: HashMap<ServiceId, ServiceState> = HashMap::new();
        loop {
            sleep(EVALUATION_PERIOD).await;
            let Some(services) = (self.services)() else { continue };
            states.retain(|name, _| services.iter().any(|service| service.name == *name));
            for service in services {
                let state = states
                    .entry(service.name.clone())
                    .or_insert_with(|| ServiceState::new(self.policy));
                self.evaluate(&service, state).await;
            }
        }
    }

    async fn evaluate(&self, service: &Service, state: &mut ServiceState) {
        self.duty_lease.request();
        let now = self.clock.now();
        state.estimator.observe(now, service.busy, assured(&service.supply));
        if !self.caller.may_call() {
            state.end_holding();
            self.export_metrics(service, None);
            return;
        }
        self.load(service, state, now).await;
        if !state.has_read {
            return;
        }
        let Some(required) = self.require(service, state, now).await else { return };
        self.export_metrics(service, Some(required));
        let orders = state.planner.plan(now, &service.scaling, &service.supply, required);
        let mut accepted = Vec::new();
        for order in orders {
            if self.send_order(service, required, &order, &mut state.planner, now).await {
                accepted.push(order);
            }
        }
        self.record_orders(service, state, &accepted).await;
    }

    /// Reads the record if it is not known, and takes it over.
    async fn load(&self, service: &Service, state: &mut ServiceState, now: Instant) {
        if state.loaded.as_ref().is_some_and(|loaded| !self.records.is_outdated(loaded)) {
            return;
        }
        state.loaded = self.records.read(&service.name, state.memory.as_ref()).await;
        let Some(loaded) = &state.loaded else { return };
        if let Some(record) = &loaded.record {
            state.estimator.adopt(now, self.usage.time_at(now), record);
            if !state.has_read {
                state.planner.adopt(now, &service.scaling, record);
            }
            state.memory = Some(record.clone());
        }
        state.has_read = true;
    }

    /// Returns the requirement, after writing it if it has changed; `None` if another node has
    /// written one. While the store fails, the last known requirement stays in force and nothing is
    /// released.
    async fn require(
        &self,
        service: &Service,
        state: &mut ServiceState,
        now: Instant,
    ) -> Option<RequiredCapacity> {
        let required = state.estimator.required(now);
        let time = self.usage.time_at(now);
        let Some(record) = state.estimator.record(now, time, state.memory.as_ref()) else {
            return Some(required);
        };
        match self.write(service, state, record).await {
            Ok(()) => Some(required),
            Err(WriteError::Conflict) => None,
            Err(WriteError::Unconfirmed) => {
                let Some(memory) = &state.memory else {
                    return Some(RequiredCapacity { is_stable: false, ..required });
                };
                state.estimator.adopt(now, time, memory);
                let count = memory.required;
                let load = required.load.min(count);
                Some(RequiredCapacity { count, load, is_stable: false })
            }
        }
    }

    /// Writes a record, unless it is stored already.
    async fn write(
        &self,
        service: &Service,
        state: &mut ServiceState,
        record: Record,
    ) -> Result<(), WriteError> {
        let Some(loaded) = &mut state.loaded else { return Err(WriteError::Unconfirmed) };
        let result = self.records.write(&service.name, loaded, record).await;
        match result {
            Ok(()) => state.memory.clone_from(&loaded.record),
            Err(_) => state.loaded = None,
        }
        result
    }

    /// Records accepted orders. If the write fails, they are recorded with the next change; the next
    /// holder would at worst repeat them, which changes nothing.
    async fn record_orders(&self, service: &Service, state: &mut ServiceState, orders: &[Order]) {
        let Some(mut record) = state.memory.clone().filter(|_| !orders.is_empty()) else { return };
        for order in orders {
            let data_centre = &service.scaling.prices[order.data_centre].0;
            record.set_order(data_centre, order.kind, order.count);
        }
        if let Err(error) = self.write(service, state, record).await {
            log::info!(service:% = service.name, error:? = error; "accepted orders not recorded");
        }
    }

    /// Exports the requirement, if this node is the holder, and the number of runners.
    fn export_metrics(&self, service: &Service, required: Option<RequiredCapacity>) {
        let ready = |kind: usize| service.supply.iter().map(|s| s.ready[kind]).sum();
        let (needed, load) = required.map_or((0, 0), |required| (required.count, required.load));
        let values =
            [("needed", needed), ("load", load), ("regular", ready(0)), ("reclaimable", ready(1))];
        for (what, count) in values {
            let gauge =
                self.metrics.scaled_runners.with_label_values(&[service.name.as_str(), what]);
            gauge.set(i64::from(count));
        }
    }

    /// Places an order. Returns whether it was accepted.
    async fn send_order(
        &self,
        service: &Service,
        required: RequiredCapacity,
        order: &Order,
        planner: &mut Planner,
        now: Instant,
    ) -> bool {
        let data_centre = &service.scaling.prices[order.data_centre].0;
        let supply = service.supply[order.data_centre];
        let demand = DesiredCount {
            service: &service.name,
            data_centre,
            count: order.count,
            reclaimable: order.kind == Kind::Reclaimable,
        };
        let outcome = self
            .caller
            .call("runners", |address, authority| order_runners(address, authority, demand))
            .await;
        log::info!(
            service:% = service.name, data_centre:% = data_centre, kind:? = order.kind,
            count = order.count, ready:? = supply.ready, serving:? = supply.serving,
            need = required.count, load = required.load, busy = service.busy, outcome:? = outcome; "runners ordered"
        );
        match outcome {
            Outcome::Replied(Reply::Accepted) => {}
            Outcome::Replied(Reply::Unavailable) => planner.record_unavailable(now, order),
            Outcome::Replied(Reply::Refused | Reply::Busy)
            | Outcome::NoAnswer
            | Outcome::NotHolder => planner.record_failed(order),
        }
        outcome == Outcome::Replied(Reply::Accepted)
    }
}
