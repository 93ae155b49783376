//! Simple ways to choose a runner, for comparison with [`crate::choose`].

use std::time::Instant;

use rand::{Rng, RngExt as _};

use crate::choose::{Settings, rank};
use crate::runner::{RunnerView, Work};

/// A random runner that takes work.
pub fn random<R: Rng>(views: &[RunnerView], now: Instant, rng: &mut R) -> Option<usize> {
    let usable = views.iter().filter(|v| v.takes_work(now)).count();
    if usable == 0 {
        return None;
    }
    let nth = rng.random_range(0..usable);
    (0..views.len()).filter(|at| views[*at].takes_work(now)).nth(nth)
}

/// The next runner after `last` in turn.
pub fn round_robin(views: &[RunnerView], now: Instant, last: &mut usize) -> Option<usize> {
    let candidates = (1..=views.len()).map(|step| (*last + step) % views.len());
    let found = candidates.into_iter().find(|at| views[*at].takes_work(now))?;
    *last = found;
    Some(found)
}

/// The runner with the least load by its last report.
pub fn least_reported(views: &[RunnerView], now: Instant) -> Option<usize> {
    (0..views.len())
        .filter(|at| views[*at].takes_work(now))
        .min_by_key(|at| views[*at].report.running + views[*at].report.waiting)
}

/// The runner of the best rank, without sampling, found by sorting all. [`crate::choose::choose`]
/// must agree with it where it compares all runners.
pub fn best_of_all<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    settings: Settings,
    rng: &mut R,
) -> Option<usize> {
    let mut ranked: Vec<(f64, usize)> = Vec::new();
    for (at, view) in views.iter().enumerate() {
        if view.takes_work(now) {
            ranked.push((rank(view, work, now, settings, rng.random()), at));
        }
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.first().map(|(_, at)| *at)
}
