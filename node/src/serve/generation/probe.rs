//! Whether the runner of a silent attempt is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use sardinepick_lib::fleet::reachability::Path;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::order::request_report;
use tokio::time::timeout;

use crate::serve::connection::Way;
use crate::serve::shared::Shared;

/// How long a runner has to answer a health check. Unlike a request, it waits for no slot.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a runner has sent something to this node since `since`; `None` if it is no longer known.
pub(super) fn has_answered(shared: &Shared, id: &RunnerId, since: Instant) -> Option<bool> {
    let register = shared.register();
    let runner = register.get(id)?;
    Some(runner.health.last_seen().is_some_and(|at| at > since))
}

/// Checks the health of a runner, and records the answer. Returns false if it has left or does not
/// answer, or if it turns out that this node reaches it only through a peer: then the connection of
/// the silent attempt is dead.
pub(super) async fn is_alive(shared: Arc<Shared>, id: RunnerId) -> bool {
    let Some((address, registration)) =
        shared.register().get(&id).map(|r| (r.entry.address, r.registration()))
    else {
        return false;
    };
    let was_closed = shared.connector.path(address) == Path::Closed;
    shared.connector.note_silent(address);
    let check = async {
        let report = request_report(&id, address);
        let answer = shared.connector.send(&id, address, report, None, || true).await.ok()?;
        let (status, way) = (answer.head.status, answer.way());
        answer.discard();
        Some((status, way))
    };
    let answer = timeout(PROBE_TIMEOUT, check).await.ok().flatten();
    let alive = answer.is_some_and(|(status, _)| status != StatusCode::MISDIRECTED_REQUEST);
    let was_cut = answer.is_some_and(|(_, way)| way == Way::Relayed) && !was_closed;
    if alive {
        let now = shared.clock.now();
        if let Some(runner) = shared.register().registered_mut(&registration) {
            runner.health.note_alive(now);
        }
    }
    let label = if alive { "answered" } else { "silent" };
    shared.metrics.runner_calls.with_label_values(&[id.as_str(), "probe", label]).inc();
    alive && !was_cut
}
