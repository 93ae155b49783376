//! Estimates the initial deadline of a route's callers from the deadlines they send.
//!
//! A deadline states the caller's remaining time, not how long it has waited, and callers of one
//! route differ in how long they wait in total. Whether an answer is on time is measured from the
//! caller's first attempt, so retries after a refusal must be distinguished from callers that allow
//! less time from the start. Without the distinction, one third of all first attempts under light
//! load counted as late before they were started, and were queued behind all others.
//!
//! The deadlines of first attempts are concentrated on a few values; those of retries are spread
//! out below them, depending on when the caller was refused and how long it was told to wait.

use std::time::Duration;

/// The ratio of the deadlines of adjacent bins.
const BIN_FACTOR: f64 = 1.03;
/// The number of bins: from one millisecond to beyond one day.
const BINS: usize = 640;
/// The number of requests below which all are taken for first attempts: fewer do not show where
/// first attempts end.
const MIN_SAMPLES: f64 = 48.0;
/// The number of requests after which earlier ones have half the weight: about one second of
/// requests on a busy route of one node, so that a few seconds with many refusals are not mistaken
/// for first attempts.
const HALF_LIFE: f64 = 512.0;
/// The fraction of the peak density below which a bin does not belong to first attempts. Half of
/// all requests would have to be retries, spread over a third of their time, to reach it.
const MIN_DENSITY: f64 = 0.3;
/// The number of adjacent bins that are averaged, so that random gaps are ignored.
const SMOOTHED_BINS: usize = 2;

/// The distribution of the deadlines of one route.
#[derive(Clone, Debug)]
pub struct Deadlines {
    counts: Vec<f32>,
    total: f64,
    first: Option<FirstAttempts>,
    /// Requests since `first` was last computed.
    since_refresh: u32,
}

/// The deadlines of first attempts.
#[derive(Clone, Copy, Debug)]
struct FirstAttempts {
    /// The shortest one.
    shortest: Duration,
    /// The mean.
    mean: Duration,
}

/// The number of requests after which the deadlines of first attempts are computed again.
const REFRESH_INTERVAL: u32 = 32;

impl Default for Deadlines {
    fn default() -> Self {
        Self { counts: vec![0.0; BINS], total: 0.0, first: None, since_refresh: 0 }
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
    /// Records the deadline of a request and returns the estimated time that its caller has already
    /// waited: zero if it looks like a first attempt.
    pub fn note(&mut self, deadline: Duration) -> Duration {
        self.counts[bin(deadline)] += 1.0;
        self.total += 1.0;
        self.since_refresh += 1;
        if self.total >= HALF_LIFE * 2.0 {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        if self.since_refresh >= REFRESH_INTERVAL && self.total >= MIN_SAMPLES {
            self.since_refresh = 0;
            self.first = self.find_first_attempts();
        }
        match self.first {
            Some(first) if deadline < first.shortest => first.mean.saturating_sub(deadline),
            _ => Duration::ZERO,
        }
    }

    /// The mean count of the bins at `at` and just below it.
    fn density(&self, at: usize) -> f64 {
        let from = (at + 1).saturating_sub(SMOOTHED_BINS);
        let sum: f32 = self.counts[from..=at].iter().sum();
        f64::from(sum) / SMOOTHED_BINS as f64
    }

    /// Searches downwards from the peak for the first nearly empty bin.
    fn find_first_attempts(&self) -> Option<FirstAttempts> {
        let peak = (0..BINS).max_by(|a, b| self.density(*a).total_cmp(&self.density(*b)))?;
        let min_density = self.density(peak) * MIN_DENSITY;
        let end = (0..peak).rev().find(|at| self.density(*at) < min_density)? + 1;
        let (mut sum, mut count) = (0.0, 0.0);
        for at in end..BINS {
            let middle = lower_end(at).as_secs_f64() * (1.0 + BIN_FACTOR) / 2.0;
            sum += middle * f64::from(self.counts[at]);
            count += f64::from(self.counts[at]);
        }
        // A bin that is half empty may still begin with deadlines of first attempts.
        let shortest = lower_end(end.saturating_sub(1));
        (count > 0.0)
            .then(|| FirstAttempts { shortest, mean: Duration::from_secs_f64(sum / count) })
    }
}
