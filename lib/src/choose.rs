//! The choice of a runner for a request, by predicted completion.
//!
//! Load reports are late, so every node sees the same runner as idle at the same time; nodes that
//! all send there at once swamp it. Three things prevent this: each node adds to a report what it
//! has sent since, scaled by how many nodes share the runner; it compares only a few runners taken
//! at random, so that two nodes seldom compare the same ones; and it adds those that probably have
//! the prompt cached.

use std::time::Instant;

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::hash::place;
use crate::runner::{View, Work};

/// How many runners are compared besides those with the prompt cached.
pub const SAMPLE: usize = 4;

/// How many runners are taken for a prefix by hash, so that prompts with the same start meet.
pub const AFFINE: usize = 2;

/// Up to this number of runners all are compared.
pub const COMPARE_ALL: usize = 8;

/// What the choice depends on besides the runners.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// How many nodes send work to these runners.
    pub sharers: u32,
    /// How many runners are compared.
    pub sample: usize,
}

impl Default for Setting {
    fn default() -> Self {
        Self { sharers: 1, sample: SAMPLE }
    }
}

/// The predicted course of a request at one runner, in seconds from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Until the first token.
    pub first: f64,
    /// Until the last token.
    pub last: f64,
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
pub fn predict(view: &View, work: &Work, now: Instant, setting: Setting) -> Prediction {
    let report = &view.report;
    let age = view.age(now).map_or(0.0, |age| age.as_secs_f64());
    let prefill_rate = f64::from(report.prefill_rate.0.max(1));
    let decode_rate = f64::from(report.decode_rate.0.max(1));

    // Own dispatches since the report are known; those of the other sharers are taken to be alike.
    let sharers = f64::from(setting.sharers);
    let sent_tokens = f64::from(view.sent_tokens) * sharers;
    let sent = f64::from(view.sent) * sharers;
    let drained = age * prefill_rate;
    let backlog = (f64::from(report.backlog.0) + sent_tokens - drained).max(0.0);
    let cached = if view.has_cached(work.prefix, now) { work.cached.0 } else { 0 };
    let prompt = f64::from(work.prompt.0.saturating_sub(cached));

    // A request that finds all slots taken waits until one of them is done.
    let slots = f64::from(view.slots.max(1));
    let output_time = f64::from(work.output.0) / decode_rate;
    let finished = age * slots / output_time.max(0.05);
    let load = f64::from(report.running + report.waiting) + sent - finished.min(sent * 0.5);
    let load = load.max(f64::from(view.in_flight));
    let rounds = ((load + 1.0 - slots) / slots).max(0.0);
    let slot_wait = rounds * output_time;

    // More requests in a batch slow each other a little even while slots are free.
    let crowding = (load / slots).min(1.0) * CROWDING * output_time;
    let first = (backlog + prompt) / prefill_rate + slot_wait;
    Prediction { first, last: first + output_time + crowding }
}

/// By how much a full batch is slower than an empty one; breaks ties in favour of empty runners.
const CROWDING: f64 = 0.25;

/// Chooses a runner for `work`, or none if none takes work. `skip` are places that were tried.
pub fn choose<R: Rng>(
    views: &[View],
    work: &Work,
    now: Instant,
    setting: Setting,
    skip: &[usize],
    rng: &mut R,
) -> Option<Choice> {
    let candidates = candidates(views, work, now, setting, skip, rng);
    best(views, work, now, setting, &candidates)
        .or_else(|| best_of_all(views, work, now, setting, skip))
}

type Places = SmallVec<[usize; 16]>;

fn candidates<R: Rng>(
    views: &[View],
    work: &Work,
    now: Instant,
    setting: Setting,
    skip: &[usize],
    rng: &mut R,
) -> Places {
    let usable = |at: usize| views[at].takes_work(now) && !skip.contains(&at);
    if views.len() <= COMPARE_ALL.max(setting.sample) {
        return (0..views.len()).filter(|at| usable(*at)).collect();
    }
    let mut places = Places::new();
    if work.cached.0 > 0 {
        for turn in 0..AFFINE {
            let hash = place(turn as u64, &work.prefix.0.to_le_bytes());
            let at = (hash % views.len() as u64) as usize;
            if usable(at) && !places.contains(&at) {
                places.push(at);
            }
        }
    }
    for _ in 0..setting.sample {
        let at = rng.random_range(0..views.len());
        if usable(at) && !places.contains(&at) {
            places.push(at);
        }
    }
    places
}

fn best(
    views: &[View],
    work: &Work,
    now: Instant,
    setting: Setting,
    places: &[usize],
) -> Option<Choice> {
    let predicted = places
        .iter()
        .map(|at| Choice { at: *at, prediction: predict(&views[*at], work, now, setting) });
    predicted.min_by(|a, b| a.prediction.last.total_cmp(&b.prediction.last))
}

/// The fall-back when the sample has no usable runner: none is overlooked as long as one is left.
fn best_of_all(
    views: &[View],
    work: &Work,
    now: Instant,
    setting: Setting,
    skip: &[usize],
) -> Option<Choice> {
    (0..views.len())
        .filter(|at| views[*at].takes_work(now) && !skip.contains(at))
        .map(|at| Choice { at, prediction: predict(&views[at], work, now, setting) })
        .min_by(|a, b| a.prediction.last.total_cmp(&b.prediction.last))
}
