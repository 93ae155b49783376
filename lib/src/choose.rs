//! The choice of a runner for a request, by predicted completion.
//!
//! Load reports are late, so every node sees the same runner as idle at the same time; nodes that
//! all send there at once swamp it, and with reports a second old the naive choice by the last
//! report is far worse than no choice at all (docs/design/choosing.md has the figures). Four things
//! prevent this:
//!
//! - A node's own part of a runner's load is known exactly and without delay. It counts as often as
//!   there are nodes that share the runner, since what one node does, all do on average.
//! - The part of others is smoothed over a time much longer than any delay, so that it tells lasting
//!   differences between runners and not the waves that the nodes themselves make.
//! - A random part of one request's wait is added to each rank. Own numbers are small and often
//!   equal, and without it all nodes would break their ties in the same way.
//! - Where there are many runners only a few taken at random are compared, with those that probably
//!   have the prompt cached.

use std::time::Instant;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::hash::stable_hash;
use crate::runner::{Load, RunnerView, Work};

/// How many runners are compared besides those with the prompt cached.
pub const SAMPLE_SIZE: usize = 4;

/// How many runners are taken for a prefix by hash, so that prompts with the same start meet.
pub const PREFIX_CANDIDATES: usize = 2;

/// Up to this number of runners all are compared.
pub const COMPARE_ALL: usize = 32;

/// What the choice depends on besides the runners.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many nodes send work to each of these runners.
    pub nodes_per_runner: u32,
    /// How many runners are compared.
    pub sample: usize,
    /// How long a request stays at a runner on average, in seconds.
    pub residence: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { nodes_per_runner: 1, sample: SAMPLE_SIZE, residence: INITIAL_RESIDENCE }
    }
}

/// What is assumed of a request's stay until some have ended, in seconds.
const INITIAL_RESIDENCE: f64 = 2.0;

/// The gain with which the average stay follows what is seen.
const RESIDENCE_GAIN: f64 = 0.02;

impl Settings {
    /// Learns from a request that stayed for `stay` seconds.
    pub fn observe_residence(&mut self, stay: f64) {
        self.residence += (stay - self.residence) * RESIDENCE_GAIN;
    }
}

/// The predicted course of a request at one runner, in seconds from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Until the first token.
    pub first_token: f64,
    /// Until the last token.
    pub last_token: f64,
}

/// A choice with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The place of the runner in the slice it was chosen from.
    pub at: usize,
    /// What is predicted of it.
    pub prediction: Prediction,
}

/// Predicts the course of `work` at `view`.
pub fn predict(view: &RunnerView, work: &Work, now: Instant, setting: Settings) -> Prediction {
    let load = Load {
        requests: f64::from(view.in_flight) + view.others.requests,
        backlog: view.own_backlog as f64 + view.others.backlog,
    };
    predict_with_load(view, load, work, now, setting)
}

/// The course of `work` at a runner that has `load`.
fn predict_with_load(
    view: &RunnerView,
    load: Load,
    work: &Work,
    now: Instant,
    setting: Settings,
) -> Prediction {
    let prefill_rate = f64::from(view.report.prefill_rate.0.max(1));
    let decode_rate = f64::from(view.report.decode_rate.0.max(1));
    let cached = if view.has_cached(work.prefix, now) { work.cached.0 } else { 0 };
    let prompt = f64::from(work.prompt.0.saturating_sub(cached));

    // A request that finds all slots taken waits until one of them is done.
    let slots = f64::from(view.slots.max(1));
    let output_time = f64::from(work.output.0) / decode_rate;
    let rounds = ((load.requests + 1.0 - slots) / slots).max(0.0);
    let slot_wait = rounds * setting.residence;

    // More requests in a batch slow each other a little even while slots are free.
    let batch_slowdown = (load.requests / slots).min(1.0) * BATCH_SLOWDOWN * output_time;
    let first_token = (load.backlog + prompt) / prefill_rate + slot_wait;
    Prediction { first_token, last_token: first_token + output_time + batch_slowdown }
}

/// The rank of a runner for `work`, in seconds; the lowest is chosen. `draw` is a random number
/// from 0 to 1.
pub fn rank(view: &RunnerView, work: &Work, now: Instant, setting: Settings, draw: f64) -> f64 {
    let sharers = f64::from(setting.nodes_per_runner);
    let load = Load {
        requests: f64::from(view.in_flight) * sharers + view.others.requests,
        backlog: view.own_backlog as f64 * sharers + view.others.backlog,
    };
    let unit = setting.residence / f64::from(view.slots.max(1)) * sharers;
    predict_with_load(view, load, work, now, setting).last_token + draw * unit * RANK_JITTER
}

/// The random part of a rank, in waits that one request of each sharer makes for others.
const RANK_JITTER: f64 = 0.25;

/// By how much a full batch is slower than an empty one; breaks ties in favour of empty runners.
const BATCH_SLOWDOWN: f64 = 0.25;

/// Chooses a runner for `work`, or none if none takes work. `skip` are places that were tried.
pub fn choose<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    setting: Settings,
    excluded: &[usize],
    rng: &mut R,
) -> Option<Choice> {
    let sample = candidates(views, work, now, setting, excluded, rng);
    let found = best(views, work, now, setting, sample.iter().copied(), rng);
    if found.is_some() {
        return found;
    }
    // The sample had no usable runner; none is overlooked as long as one is left.
    let usable = |at: &usize| views[*at].takes_work(now) && !excluded.contains(at);
    best(views, work, now, setting, (0..views.len()).filter(usable), rng)
}

fn best<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    setting: Settings,
    candidates: impl Iterator<Item = usize>,
    rng: &mut R,
) -> Option<Choice> {
    let ranked = candidates.map(|at| (rank(&views[at], work, now, setting, rng.random()), at));
    let (_, at) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice { at, prediction: predict(&views[at], work, now, setting) })
}

type Candidates = SmallVec<[usize; COMPARE_ALL]>;

fn candidates<R: Rng>(
    views: &[RunnerView],
    work: &Work,
    now: Instant,
    setting: Settings,
    excluded: &[usize],
    rng: &mut R,
) -> Candidates {
    let usable = |at: usize| views[at].takes_work(now) && !excluded.contains(&at);
    if views.len() <= COMPARE_ALL.max(setting.sample) {
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
    for _ in 0..setting.sample {
        let at = rng.random_range(0..views.len());
        if usable(at) && !candidates.contains(&at) {
            candidates.push(at);
        }
    }
    candidates
}
