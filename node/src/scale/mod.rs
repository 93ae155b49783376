//! Ordering runners from the platform while this node holds the duties.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::ServiceId;
use sardinepick_lib::scale::need::{CapacityEstimator, Policy};
use sardinepick_lib::scale::plan::{Kind, Order, Planner, Scaling, Supply};
use sardinepick_platform::duty::{DesiredCount, Reply, order_runners};
use tokio::time::sleep;

use crate::duty::caller::{Caller, Outcome};
use crate::duty::lease::DutyLease;
use crate::serve::metrics::Metrics;

/// How often the required number of runners is evaluated.
const EVALUATION_PERIOD: Duration = Duration::from_millis(400);
/// The policy that determines the number of runners.
const POLICY: Policy = Policy::InitialCount;

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
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

struct ServiceState {
    need: CapacityEstimator,
    planner: Planner,
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
                let state = states.entry(service.name.clone()).or_insert_with(|| ServiceState {
                    need: CapacityEstimator::new(POLICY),
                    planner: Planner::default(),
                });
                self.evaluate(&service, state).await;
            }
        }
    }

    async fn evaluate(&self, service: &Service, state: &mut ServiceState) {
        self.duty_lease.request();
        let now = self.clock.now();
        let serving = service.supply.iter().flat_map(|s| s.serving).sum();
        let need = state.need.update(now, service.busy, serving);
        self.export_metrics(service, need.count);
        if !self.caller.may_call() {
            // Another holder may order other numbers meanwhile.
            state.planner = Planner::default();
            return;
        }
        for order in state.planner.plan(now, &service.scaling, &service.supply, need) {
            self.send_order(service, need.count, &order, &mut state.planner, now).await;
        }
    }

    fn export_metrics(&self, service: &Service, need: u32) {
        let ready = |kind: usize| service.supply.iter().map(|s| s.ready[kind]).sum();
        for (what, count) in [("needed", need), ("regular", ready(0)), ("reclaimable", ready(1))] {
            let gauge =
                self.metrics.scaled_runners.with_label_values(&[service.name.as_str(), what]);
            gauge.set(i64::from(count));
        }
    }

    async fn send_order(
        &self,
        service: &Service,
        need: u32,
        order: &Order,
        planner: &mut Planner,
        now: Instant,
    ) {
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
            count = order.count, ready:? = supply.ready, serving:? = supply.serving, need = need,
            busy = service.busy, outcome:? = outcome; "runners ordered"
        );
        match outcome {
            Outcome::Replied(Reply::Accepted) => {}
            Outcome::Replied(Reply::Unavailable) => planner.record_unavailable(now, order),
            Outcome::Replied(Reply::Refused | Reply::Busy)
            | Outcome::NoAnswer
            | Outcome::NotHolder => planner.record_failed(order),
        }
    }
}
