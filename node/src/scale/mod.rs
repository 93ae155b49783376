//! Ordering runners while this node holds the duties.

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
use crate::duty::tenure::Tenure;
use crate::serve::metrics::Metrics;

/// How often the need is looked at.
const PERIOD: Duration = Duration::from_millis(400);
/// By what the number of runners is chosen.
const POLICY: Policy = Policy::InitialCount;

/// A service whose runners are ordered, as this node knows it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Bounds and prices.
    pub scaling: Scaling,
    /// Its runners, by the places of the prices.
    pub supply: Vec<Supply>,
    /// Its load, in runners that would be busy all the time.
    pub busy: f64,
}

/// Gives the services whose runners are ordered; none while what this node knows may be out of date.
pub type Services = Arc<dyn Fn() -> Option<Vec<Service>> + Send + Sync>;

/// The numbers of runners that are ordered.
pub struct Scaler {
    /// The services.
    pub services: Services,
    /// The lease.
    pub tenure: Arc<Tenure>,
    /// Calls to the platform.
    pub caller: Arc<Caller>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

struct Scaled {
    need: CapacityEstimator,
    planner: Planner,
}

impl Scaler {
    /// Orders runners until the process ends.
    pub async fn run(self) {
        let mut scaled: HashMap<ServiceId, Scaled> = HashMap::new();
        loop {
            sleep(PERIOD).await;
            let Some(services) = (self.services)() else { continue };
            scaled.retain(|name, _| services.iter().any(|service| service.name == *name));
            for service in services {
                let one = scaled.entry(service.name.clone()).or_insert_with(|| Scaled {
                    need: CapacityEstimator::new(POLICY),
                    planner: Planner::default(),
                });
                self.turn(&service, one).await;
            }
        }
    }

    async fn turn(&self, service: &Service, one: &mut Scaled) {
        self.tenure.want();
        let now = self.clock.now();
        let serving = service.supply.iter().flat_map(|s| s.serving).sum();
        let need = one.need.update(now, service.busy, serving);
        self.show(service, need.count);
        if !self.caller.may_call() {
            // Whoever holds the duties meanwhile orders other numbers.
            one.planner = Planner::default();
            return;
        }
        for order in one.planner.plan(now, &service.scaling, &service.supply, need) {
            self.give(service, need.count, &order, &mut one.planner, now).await;
        }
    }

    fn show(&self, service: &Service, need: u32) {
        let ready = |kind: usize| service.supply.iter().map(|s| s.ready[kind]).sum();
        for (what, count) in [("needed", need), ("regular", ready(0)), ("reclaimable", ready(1))] {
            let gauge = self.metrics.scaled.with_label_values(&[service.name.as_str(), what]);
            gauge.set(i64::from(count));
        }
    }

    async fn give(
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
