//! Starting what carries out the duties that one node at a time has.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::scale::plan::Supply;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::duty::caller::Caller;
use crate::duty::view::Views;
use crate::scale::{Scaler, Service, Services};
use crate::serve::shared::Shared;
use crate::usage::exchange::Exchange;
use crate::usage::report::Reporter;

/// How often the lease is looked after.
const PERIOD: Duration = Duration::from_millis(200);

/// Starts the duties. Gives what sends this node's counts, for a last time as it stops.
pub fn start(shared: &Arc<Shared>, socket: Arc<UdpSocket>) -> Exchange {
    let views: Views = {
        let shared = shared.clone();
        Arc::new(move || shared.view())
    };
    let (usage, tenure, metrics) =
        (shared.usage.clone(), shared.tenure.clone(), shared.metrics.clone());
    let exchange =
        Exchange { usage: usage.clone(), views: views.clone(), socket, metrics: metrics.clone() };
    tokio::spawn(keep(shared.clone()));
    let Some(platform) = shared.settings.platform else { return exchange };
    let caller = Caller::new(
        shared.me.id.clone(),
        platform,
        shared.connections.clone(),
        tenure.clone(),
        metrics.clone(),
    );
    let caller = Arc::new(caller);
    let services: Services = {
        let shared = shared.clone();
        Arc::new(move || services(&shared))
    };
    let scaler = Scaler {
        services,
        tenure: tenure.clone(),
        caller: caller.clone(),
        clock: shared.clock.clone(),
        metrics: metrics.clone(),
    };
    tokio::spawn(scaler.run());
    let reporter = Reporter {
        usage,
        views,
        tenure,
        caller,
        store: shared.store.clone(),
        history: shared.history.clone(),
        clock: shared.clock.clone(),
        metrics,
    };
    tokio::spawn(exchange.clone().run());
    tokio::spawn(reporter.run());
    exchange
}

/// Looks after the lease until the process ends.
async fn keep(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        let view = shared.view();
        let leads = shared.is_ready() && view.is_first(&shared.me.id);
        let is_gone = |holder: &_| view.is_gone(holder);
        if !shared.tenure.keep(leads, is_gone).await {
            // Another node takes the duties over.
            shared.note_unserved();
        }
    }
}

/// The services whose runners are ordered; none while the store is away, or the register not known.
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
            let place = scaling.prices.iter().position(|(dc, _)| *dc == runner.entry.data_centre);
            let Some(place) = place.filter(|_| !runner.is_leaving()) else {
                continue;
            };
            let kind = usize::from(runner.entry.reclaimable);
            supply[place].ready[kind] += 1;
            supply[place].serving[kind] += u32::from(runner.takes_work(now));
        }
        let busy = shared.demand().get(&service.name).map_or(0.0, |demand| demand.busy(nodes));
        Some(Service { name: service.name.clone(), scaling, supply, busy })
    });
    Some(scaled.collect())
}
