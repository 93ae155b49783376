//! Starting what carries out the duties that one node at a time has.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::duty::caller::Caller;
use crate::duty::view::Views;
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
    let reporter = Reporter {
        usage,
        views,
        tenure,
        caller: Arc::new(caller),
        store: shared.store.clone(),
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
