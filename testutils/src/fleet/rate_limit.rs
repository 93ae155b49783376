//! The users' rules on what runners say of themselves, judged by what reached the runners.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::runner::Runner;

/// The window in which requests to a runner with a rate limit are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// How long after an announcement the rule on rate limits begins to hold.
pub const LIMIT_AFTER: Duration = Duration::from_secs(3);

/// What a runner with a limit of `rate` requests a second may get in `window`.
pub fn max_requests(rate: f64, window: Duration) -> usize {
    (rate * window.as_secs_f64() * 1.5) as usize + 5
}

/// Says where a runner with a limit of `rate` got more than the rule allows, from `since` on.
pub fn broken_limit(runner: &Runner, rate: f64, since: Instant) -> Option<String> {
    let mut arrived: Vec<Instant> = runner.received().iter().filter_map(|seen| seen.at).collect();
    arrived.retain(|at| *at >= since);
    arrived.sort_unstable();
    let windows = arrived
        .iter()
        .map(|from| arrived.iter().filter(|at| (*from..*from + LIMIT_WINDOW).contains(at)).count());
    let most = windows.max()?;
    let allowed = max_requests(rate, LIMIT_WINDOW);
    (most > allowed)
        .then(|| format!("limit: {most} requests in 4 s reached {}, {allowed} allowed", runner.id))
}
