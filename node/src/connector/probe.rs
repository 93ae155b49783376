//! Probes of closed paths.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::reachability::PROBE_TIMEOUT;
use tokio::time::sleep;

use super::Connector;

/// How often it is checked whether a probe is due.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Probes the runners that are reached only through peers, one at a time, until the process ends.
pub async fn run(connector: Arc<Connector>) {
    loop {
        sleep(CHECK_PERIOD).await;
        let now = connector.now();
        let Some(address) = connector.reachability().next_probe(now) else { continue };
        let connections = &connector.handles.connections;
        let is_connected = connections.dial(address, PROBE_TIMEOUT).await.is_ok();
        let now = connector.now();
        connector.update(|reachability| {
            if is_connected {
                reachability.note_connected(address, now);
            } else {
                reachability.note_probe_failed(address, now);
            }
        });
        if is_connected {
            connector.close_unused_relays();
        }
        log::debug!(address:% = address, connected = is_connected; "closed path probed");
    }
}
