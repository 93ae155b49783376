//! The choice of a runner for a request, by predicted completion time.
//!
//! Load reports are delayed, so all nodes see the same runner as idle at the same time and overload
//! it if each of them sends work there. With reports that are one second old, choosing the least
//! loaded runner by its last report is far worse than choosing at random (figures in
//! docs/design/choosing.md). Four measures prevent this:
//!
//! - A node knows its own part of a runner's load exactly and without delay. It multiplies this
//!   part by the number of nodes that use the runner, because on average all of them act alike.
//! - The load of the other nodes is smoothed over a time much longer than the delay. It then
//!   reflects lasting differences between runners and not the oscillations caused by the nodes
//!   themselves.
//! - A random part of one request's wait is added to each rank. A node's own counts are small and
//!   often equal, and all nodes would otherwise break ties in the same way.
//! - In large fleets only a few random runners are compared, along with those that probably have
//!   the prompt cached.

use std::time::Instant;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::hash::stable_hash;
use crate::runner::{Load, RunnerView, Work};

/// How many random runners are compared.
pub const SAMPLE_SIZE: usize = 4;

/// How many runners are selected by the hash of a prefix, so that prompts with the same start go to
/// the same runners.
pub const PREFIX_CANDIDATES: usize = 2;

/// Up to this number of runners, all are compared.
pub const COMPARE_ALL: usize = 32;

/// Parameters of the choice other than the runners.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many nodes send work to each of these runners.
    pub nodes_per_runner: u32,
    /// How many random runners are compared.
    pub sample: usize,
    /// The average time that a request spends at a runner, in seconds.
    pub residence: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { nodes_per_runner: 1, sample: SAMPLE_SIZE, residence: INITIAL_RESIDENCE }
    }
}

/// The residence time assumed before any request has ended, in seconds.
const INITIAL_RESIDENCE: f64 = 2.0;

/// The gain of the moving average of the residence time.
const RESIDENCE_GAIN: f64 = 0.02;

impl Settings {
    /// Updates the average with a request that spent `residence` seconds at a runner.
    pub fn observe_residence(&mut self, residence: f64) {
        self.residence += (residence - self.residence) * RESIDENCE_GAIN;
    }
}

/// The predicted times of a request at one runner, in seconds from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time to the first token.
    pub first_token: f64,
    /// Time to the last token.
    pub last_token: f64,
}

/// A chosen runner with its prediction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The index in the slice of runners.
    pub at: usize,
    /// The prediction.
    pub prediction: Prediction,
}

/// Predicts the times of `work` at the runner of `view`.
pub fn predict(view: &RunnerView, work: &Work, now: Instant, settings: Settings) -> Prediction {
    let load = Load {
        requests: f64::from(view.in_flight) + view.others.requests,
        backlog: view.own_backlog as f64 + view.others.backlog,
    };
    predict_with_load(view, load, work, now, settings)
}

/// Predicts the times of `work` at a runner that has `load`.
fn predict_with_load(
    view: &RunnerView,
    load: Load,
    work: &Work,
    now: Instant,
    settings: Settings,
) -> Prediction {
    let prefill_rate = f64::from(view.report.prefill_rate.0.max(1));
    let decode_rate = f64::from(view.report.decode_rate.0.max(1));
    let cached = if view.has_cached(work.prefix, now) { work.cached.0 } else { 0 };
    let prompt = f64::from(work.prompt.0.saturating_sub(cached));

    // A request that finds all slots taken waits for one to become free.
    let slots = f64::from(view.slots.max(1));
    let output_time = f64::from(work.output.0) / decode_rate;
    let rounds = ((load.requests + 1.0 - slots) / slots).max(0.0);
    let slot_wait = rounds * settings.residence;

    // Requests in a batch slow each other a little even while slots are free.
    let batch_slowdown = (load.requests / slots).min(1.0) * BATCH_SLOWDOWN * output_time;
    let first_token = (load.backlog + prompt) / prefill_rate + slot_wait;
    Prediction { first_token, last_token: first_token + output_time + batch_slowdown }
}

/// The rank of a runner for `work`, in seconds; the lowest is chosen. `draw` is a random number
/// from 0 to 1.
pub fn rank(view: &RunnerView, work: &Work, now: Instant, settings: Settings, draw: f64) -> f64 {
    let nodes = f64::from(settings.nodes_per_runner);
    let load = Load {
        requests: f64::from(view.in_flight) * nodes + view.others.requests,
        backlog: view.own_backlog as f64 * nodes + view.others.backlog,
    };
    let unit = settings.residence / f64::from(view.slots.max(1)) * nodes;
    predict_with_load(view, load, work, now, settings).last_token + draw * unit * RANK_JITTER
}

/// The random part of a rank, in units of the wait that one request of each node adds.
const RANK_JITTER: f64 = 0.25;

/// How much slower a full batch is than an empty one. It breaks ties in favour of empty runners.
const BATCH_SLOWDOWN: f64 = 0.25;

/// Chooses a runner for `work`. Returns `None` if no runner takes work. `excluded` are the indices
/// of runners that have been tried already.
pub fn choose<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    settings: Settings,
    excluded: &[usize],
    rng: &mut R,
) -> Option<Choice> {
    let sample = candidates(views, work, now, settings, excluded, rng);
    let best_sampled = best(views, work, now, settings, sample.iter().copied(), rng);
    if best_sampled.is_some() {
        return best_sampled;
    }
    // The sample had no usable runner, so all are considered.
    let usable = |at: &usize| views[*at].takes_work(now) && !excluded.contains(at);
    best(views, work, now, settings, (0..views.len()).filter(usable), rng)
}

fn best<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    settings: Settings,
    candidates: impl Iterator<Item = usize>,
    rng: &mut R,
) -> Option<Choice> {
    let ranked = candidates.map(|at| (rank(&views[at], work, now, settings, rng.random()), at));
    let (_, at) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice { at, prediction: predict(&views[at], work, now, settings) })
}

type Candidates = SmallVec<[usize; COMPARE_ALL]>;

fn candidates<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    settings: Settings,
    excluded: &[usize],
    rng: &mut R,
) -> Candidates {
    let usable = |at: usize| views[at].takes_work(now) && !excluded.contains(&at);
    if views.len() <= COMPARE_ALL.max(settings.sample) {
        return (0..views.len()).filter(|at| usable(*at)).collect();
    }
    let mut candidates = Candidates::new();
    if work.cached.0 > 0 {
        for turn in 0..PREFIX_CANDIDATES {
            let hash = stable_hash(turn as u64, &work.prefix.0.to_le_bytes());
            let at = (hash % views.len() as u64) as usize;
            if usable(at) && !candidates.contains(&at) {
                candidates.push(at);
            }
        }
    }
    for _ in 0..settings.sample {
        let at = rng.random_range(0..views.len());
        if usable(at) && !candidates.contains(&at) {
            candidates.push(at);
        }
    }
    candidates
}
