//! How long callers of a route give at first, learned from what they send.
//!
//! A caller's deadline says what is left of its time, not how long it has waited: callers of one
//! route differ in how long they wait at all. An answer is on time by the caller's first attempt, so
//! whoever comes back after a refusal must be told from whoever gives less time from the start. Taken
//! for the same, a third of all first attempts on a calm day counted as late before they were begun,
//! and went behind all others.
//!
//! First attempts lie close together, at the same deadlines again and again; those that come back
//! are spread out below them, by when they were refused and how long they were told to wait.

use std::time::Duration;

/// How much longer the deadlines of one bin are than those of the bin below it, as a factor.
const BIN_FACTOR: f64 = 1.03;
/// The number of bins: from a millisecond to beyond a day.
const BINS: usize = 640;
/// Below this many requests all are taken for first attempts: fewer do not show where those end.
const FEWEST: f64 = 48.0;
/// The number of requests after which what was seen before counts half. A second's requests at a
/// busy route of one node, so that a few seconds of many refusals do not look like first attempts.
const HALF_AFTER: f64 = 512.0;
/// The share of the usual density below which a bin is not of first attempts. Half of all requests
/// would have to come back, spread over a third of their time, to reach it.
const LEAST_DENSITY: f64 = 0.3;
/// The bins next to each other whose mean is compared, so that chance leaves no gap.
const SMOOTHED: usize = 2;

/// The deadlines of one route.
#[derive(Clone, Debug)]
pub struct Deadlines {
    counts: Vec<f32>,
    total: f64,
    first: Option<First>,
    /// Requests since the first attempts were last looked for.
    unseen: u32,
}

/// The deadlines of first attempts.
#[derive(Clone, Copy, Debug)]
struct First {
    /// The shortest one.
    least: Duration,
    /// The usual one.
    mean: Duration,
}

/// After how many requests the first attempts are looked for again.
const REFRESHED: u32 = 32;

impl Default for Deadlines {
    fn default() -> Self {
        Self { counts: vec![0.0; BINS], total: 0.0, first: None, unseen: 0 }
    }
}

fn bin(deadline: Duration) -> usize {
    let ms = (deadline.as_secs_f64() * 1e3).max(1.0);
    ((ms.ln() / BIN_FACTOR.ln()) as usize).min(BINS - 1)
}

fn lower_end(bin: usize) -> Duration {
    Duration::from_secs_f64(BIN_FACTOR.powi(bin as i32) / 1e3)
}

impl Deadlines {
    /// Takes in the deadline of a request, and gives how long its caller has probably waited
    /// already: nothing if it looks like a first attempt.
    pub fn note(&mut self, deadline: Duration) -> Duration {
        self.counts[bin(deadline)] += 1.0;
        self.total += 1.0;
        self.unseen += 1;
        if self.total >= HALF_AFTER * 2.0 {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        if self.unseen >= REFRESHED && self.total >= FEWEST {
            self.unseen = 0;
            self.first = self.find_first();
        }
        match self.first {
            Some(first) if deadline < first.least => first.mean.saturating_sub(deadline),
            _ => Duration::ZERO,
        }
    }

    /// The mean count of the bins at `at` and just below it.
    fn density(&self, at: usize) -> f64 {
        let from = (at + 1).saturating_sub(SMOOTHED);
        let sum: f32 = self.counts[from..=at].iter().sum();
        f64::from(sum) / SMOOTHED as f64
    }

    /// Goes down from the fullest bin until the bins are nearly empty.
    fn find_first(&self) -> Option<First> {
        let peak = (0..BINS).max_by(|a, b| self.density(*a).total_cmp(&self.density(*b)))?;
        let least = self.density(peak) * LEAST_DENSITY;
        let end = (0..peak).rev().find(|at| self.density(*at) < least)? + 1;
        let (mut sum, mut count) = (0.0, 0.0);
        for at in end..BINS {
            let middle = lower_end(at).as_secs_f64() * (1.0 + BIN_FACTOR) / 2.0;
            sum += middle * f64::from(self.counts[at]);
            count += f64::from(self.counts[at]);
        }
        // A bin that is half empty may begin with deadlines of first attempts.
        let least = lower_end(end.saturating_sub(1));
        (count > 0.0).then(|| First { least, mean: Duration::from_secs_f64(sum / count) })
    }
}
