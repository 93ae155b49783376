//! Starts the tasks for the duties that only one node at a time has.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::balance::Capacity;
use sardinepick_lib::scale::plan::Supply;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::duty::caller::Caller;
use crate::duty::view::Views;
use crate::scale::{Records, Scaler, Service, Services};
use crate::serve::shared::Shared;
use crate::usage::report::Reporter;
use crate::usage::sender::CountSender;

/// How often the duties lease is renewed or contended for.
const LEASE_PERIOD: Duration = Duration::from_millis(200);

/// Starts the tasks. Returns the sender of this node's usage counts, for a last round when the node
/// stops.
pub fn start(shared: &Arc<Shared>, socket: Arc<UdpSocket>) -> CountSender {
    let views: Views = {
        let shared = shared.clone();
        Arc::new(move || shared.view())
    };
    let (usage, duty_lease, metrics) =
        (shared.usage.clone(), shared.duty_lease.clone(), shared.metrics.clone());
    let count_sender = CountSender {
        usage: usage.clone(),
        views: views.clone(),
        socket,
        metrics: metrics.clone(),
    };
    tokio::spawn(maintain_lease(shared.clone()));
    let Some(platform) = shared.settings.platform else { return count_sender };
    let caller = Caller::new(
        shared.me.id.clone(),
        platform,
        shared.connections.clone(),
        duty_lease.clone(),
        metrics.clone(),
    );
    let caller = Arc::new(caller);
    let services: Services = {
        let shared = shared.clone();
        Arc::new(move || services(&shared))
    };
    let scaler = Scaler {
        services,
        duty_lease: duty_lease.clone(),
        caller: caller.clone(),
        policy: shared.settings.capacity_policy,
        records: Records {
            store: shared.store.clone(),
            era_tracker: shared.era_tracker.clone(),
            metrics: metrics.clone(),
        },
        usage: usage.clone(),
        clock: shared.clock.clone(),
        metrics: metrics.clone(),
    };
    tokio::spawn(scaler.run());
    let reporter = Reporter {
        usage,
        views,
        duty_lease,
        caller,
        store: shared.store.clone(),
        era_tracker: shared.era_tracker.clone(),
        clock: shared.clock.clone(),
        metrics,
    };
    tokio::spawn(count_sender.clone().run());
    tokio::spawn(reporter.run());
    count_sender
}

/// Maintains the duties lease until the process ends.
async fn maintain_lease(shared: Arc<Shared>) {
    loop {
        sleep(LEASE_PERIOD).await;
        let view = shared.view();
        let is_leader = shared.is_ready() && view.is_first(&shared.me.id);
        let is_gone = |holder: &_| view.is_gone(holder);
        if !shared.duty_lease.maintain(is_leader, is_gone).await {
            // Announced as not served by the store, so that another node takes over the duties.
            shared.note_unserved();
        }
    }
}

/// The services with scaling; `None` while the store is down or the register is not known.
fn services(shared: &Shared) -> Option<Vec<Service>> {
    let configuration = shared.configuration.load_full()?;
    let now = shared.clock.now();
    if !shared.is_ready() || shared.doubt().is_some() {
        return None;
    }
    let nodes = shared.roster().ready_contacts().len() + 1;
    let scaled = configuration.services().filter_map(|service| {
        let scaling = service.scaling.clone()?;
        let mut supply = vec![Supply::default(); scaling.prices.len()];
        for runner in shared.register().of(&service.name) {
            let index = scaling.prices.iter().position(|(dc, _)| *dc == runner.entry.data_centre);
            let Some(index) = index.filter(|_| !runner.is_leaving()) else {
                continue;
            };
            let kind = usize::from(runner.entry.reclaimable);
            supply[index].ready[kind] += 1;
            supply[index].serving[kind] += u32::from(runner.takes_work(now));
        }
        let busy = shared.demand().get(&service.name).map_or(0.0, |demand| {
            let capacity = Capacity::of(&shared.register(), &configuration, service, demand);
            demand.busy(nodes, &capacity)
        });
        Some(Service { name: service.name.clone(), scaling, supply, busy })
    });
    Some(scaled.collect())
}
