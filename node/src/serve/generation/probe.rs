//! Whether the runner of a silent attempt is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::order::request_report;
use tokio::time::timeout;

use super::MAX_ANSWER_BYTES;
use crate::serve::connection::CONNECT_TIMEOUT;
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
/// answer.
pub(super) async fn is_alive(shared: Arc<Shared>, id: RunnerId) -> bool {
    let Some((address, registration)) =
        shared.register().get(&id).map(|r| (r.entry.address, r.registration()))
    else {
        return false;
    };
    let check = async {
        let report = request_report(&id, address);
        let answer = shared.connections.send(address, report, CONNECT_TIMEOUT).await.ok()?;
        let status = answer.head.status;
        answer.discard(MAX_ANSWER_BYTES).await;
        Some(status)
    };
    let status = timeout(PROBE_TIMEOUT, check).await.ok().flatten();
    let alive = status.is_some_and(|status| status != StatusCode::MISDIRECTED_REQUEST);
    if alive {
        let now = shared.clock.now();
        if let Some(runner) = shared.register().registered_mut(&registration) {
            runner.health.note_alive(now);
        }
    }
    let label = if alive { "answered" } else { "silent" };
    shared.metrics.runner_calls.with_label_values(&[id.as_str(), "probe", label]).inc();
    alive
}
