//! Checks of announced rate limits, based on the requests that reached the runners.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::runner::Runner;

/// The length of the window in which requests to a rate-limited runner are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The time after an announcement from which the rate limit must be respected.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// The most requests that a runner with a limit of `rate` requests per second may get in `window`.
pub fn max_requests(rate: f64, window: Duration) -> usize {
    (rate * window.as_secs_f64() * 1.5) as usize + 5
}

/// Describes the violation if a runner with a limit of `rate` requests per second got more requests
/// than allowed in any window that starts at or after `since`.
pub fn limit_violation(runner: &Runner, rate: f64, since: Instant) -> Option<String> {
    let mut arrivals: Vec<Instant> = runner.received().iter().filter_map(|seen| seen.at).collect();
    arrivals.retain(|at| *at >= since);
    arrivals.sort_unstable();
    let counts = arrivals.iter().map(|from| {
        arrivals.iter().filter(|at| (*from..*from + LIMIT_WINDOW).contains(at)).count()
    });
    let most = counts.max()?;
    let allowed = max_requests(rate, LIMIT_WINDOW);
    (most > allowed)
        .then(|| format!("limit: {most} requests in 4 s reached {}, {allowed} allowed", runner.id))
}
