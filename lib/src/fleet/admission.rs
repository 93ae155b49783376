//! Admission control: decides whether a request starts now, and in which class, or is refused at
//! once.
//!
//! In bursts, the prompts of a few seconds need more prefill than the runners can do in time. Work
//! that can be on time starts in the class of its route's rank. Other work starts behind all of it,
//! on spare capacity, as long as its answer can still be useful. If that is out of reach too, the
//! request is refused at once, while the caller can still do something else, and the caller is told
//! when the backlog will be gone.
//!
//! Requests are not queued at the node. Work waits at the runner that will do it, ordered by class
//! over all nodes, so no node occupies a place that another could use better.

use std::time::Duration;

use rand::{Rng, RngExt as _};
use strum::{Display, IntoStaticStr};

use super::load::Class;
use super::route::Route;

/// How long a caller has waited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wait {
    /// The estimated wait before this attempt arrived; zero for a first attempt.
    pub before: Duration,
    /// The wait since this attempt arrived.
    pub here: Duration,
}

impl Wait {
    /// The total wait.
    pub fn total(self) -> Duration {
        self.before + self.here
    }
}

/// The admission parameters of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The class of the work if it can be on time.
    pub class: Class,
    /// The remaining time within which the answer is on time; `None` if it has passed.
    pub objective: Option<Duration>,
    /// The remaining time until the caller gives up.
    pub left: Duration,
    /// How long the caller waits without receiving anything.
    pub patience: Duration,
    /// Whether the caller is retrying after a refusal.
    pub is_retry: bool,
    /// The size of the work relative to the mean of its route.
    pub size: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The answer would come too late to be useful.
    Late,
    /// The service has no usable runner.
    NoRunner,
    /// The service has no usable runner of the version that the stream is bound to.
    NoRunnerOfVersion,
    /// The version that the stream is bound to is not known for sure.
    VersionUnknown,
    /// The route does not lead to the service that the stream is bound to.
    ServiceMoved,
    /// The node has no configuration yet.
    NoConfiguration,
    /// The API key may be newer than the node's configuration.
    KeyUnconfirmed,
    /// The retry budget is exhausted.
    Budget,
    /// All runners that were tried rejected the request.
    Shed,
    /// The rate limits of the runners allow no further request.
    RateLimited,
    /// The runners have rejected requests of this node and asked for a pause.
    BackingOff,
    /// Runners have crashed under the request, and another that was there too is being tried.
    Restricted,
    /// Runners crash on a part of the prompt.
    PartQuarantined,
    /// A part of the prompt is suspected of crashing runners, and another request with it runs.
    PartRestricted,
    /// The node, or its link, holds as much as it may.
    NodeFull,
    /// Its account has more work waiting than its share gets done in time.
    Share,
    /// The node stops before the answer is complete.
    Stopping,
}

/// The fraction of the objective that the predicted time to the first answer may take. The rest
/// covers the prediction error.
const ON_TIME_FRACTION: f64 = 0.9;
/// The fraction of the caller's remaining time that late work may take until its first answer.
const USEFUL_FRACTION: f64 = 0.85;
/// The fraction of that time that late work may wait before its prefill starts: on the first
/// attempt, and on a retry.
const LATE_WAIT_FRACTIONS: (f64, f64) = (0.2, 0.45);
/// The time by which work that arrives later and is served first prolongs the wait of late work,
/// relative to that wait: as long again, which is the case if it takes half of the capacity.
const OVERTAKING: f64 = 1.0;
/// How the bound on the wait depends on the size of the work relative to the mean of its route: a
/// constant and a slope. The largest tenth, from about twice the mean, is refused half as often as
/// with a bound that ignores the size.
const SIZE_FACTOR: (f64, f64) = (0.5, 0.45);
/// The range of that factor.
const SIZE_FACTOR_RANGE: (f64, f64) = (0.6, 1.6);
/// The minimum time for which a caller waits without receiving anything (this and the next two
/// constants: platform protocol).
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// The number of objectives for which a caller waits without receiving anything, if that is longer.
const PATIENCE_OBJECTIVES: u32 = 4;
/// The number of pauses between events, as allowed by the route, for which a caller waits without
/// receiving anything, if that is longer.
const PATIENCE_PAUSES: u32 = 8;

impl Terms {
    /// The terms of a request on `route` whose caller gives up in `left`, after `wait`. Whether an
    /// answer is on time is measured from the caller's first attempt.
    pub fn new(route: &Route, left: Duration, wait: Wait, size: f64) -> Self {
        let left = left.min(route.timeout);
        let patience = if route.kind.is_stream() {
            MIN_PATIENCE
                .max(route.objective * PATIENCE_OBJECTIVES)
                .max(route.pause * PATIENCE_PAUSES)
        } else {
            left
        };
        Self {
            class: Class::of(route.rank),
            objective: route.objective.checked_sub(wait.total()).filter(|o| !o.is_zero()),
            left,
            patience,
            is_retry: !wait.before.is_zero(),
            size,
        }
    }

    /// Whether work is on time if its first answer is predicted in `first` seconds.
    pub fn on_time(&self, first: f64) -> bool {
        self.objective.is_some_and(|o| first <= o.as_secs_f64() * ON_TIME_FRACTION)
    }

    /// How long work may take until its first answer to be useful.
    pub fn useful_within(&self) -> Duration {
        self.left.min(self.patience).mul_f64(USEFUL_FRACTION)
    }

    /// Within what time the first answer of work must be predicted for it to be on time.
    pub fn on_time_within(&self) -> Duration {
        self.objective.unwrap_or_default().mul_f64(ON_TIME_FRACTION)
    }

    /// The terms after `wait` more.
    pub fn after(&self, wait: Duration) -> Self {
        Self {
            objective: self.objective.and_then(|o| o.checked_sub(wait)).filter(|o| !o.is_zero()),
            left: self.left.saturating_sub(wait),
            patience: self.patience.saturating_sub(wait),
            ..*self
        }
    }

    /// Whether late work is still useful if its first answer is predicted in `first` seconds, of
    /// which it waits `wait` seconds.
    ///
    /// The wait has a tighter bound than the total, so that long prompts are admitted as often as
    /// short ones. With a bound on the total alone, short prompts would take all capacity and every
    /// long one would be refused. Retries are admitted before first attempts: a second refusal
    /// leaves the caller without an answer, a first one does not.
    pub fn is_useful(&self, first: f64, wait: f64) -> bool {
        let remaining = self.left.min(self.patience).as_secs_f64();
        let wait_fraction =
            if self.is_retry { LATE_WAIT_FRACTIONS.1 } else { LATE_WAIT_FRACTIONS.0 };
        let size_factor = (SIZE_FACTOR.0 + SIZE_FACTOR.1 * self.size)
            .clamp(SIZE_FACTOR_RANGE.0, SIZE_FACTOR_RANGE.1);
        first <= remaining * USEFUL_FRACTION && wait <= remaining * wait_fraction * size_factor
    }

    /// Whether late work is still useful by a forecast: its first answer is predicted in `first`
    /// seconds, of which it waits `wait` seconds.
    ///
    /// The bound is the expected time, not one that nine of ten answers meet: an answer that is
    /// late is worth more to a caller than a refusal, and the largest prompts, whose predictions
    /// are the longest, would be refused most.
    pub fn is_useful_by_forecast(&self, first: f64, wait: f64) -> bool {
        first + wait * OVERTAKING <= self.left.min(self.patience).as_secs_f64()
    }

    /// When a refused caller should retry: when the current backlog will be done, with jitter so
    /// that callers refused together do not return together, and early enough for the caller to
    /// still follow the advice.
    pub fn retry_delay<R: Rng>(&self, first: f64, rng: &mut R) -> Duration {
        let goal = self.objective.unwrap_or(self.left / 4).as_secs_f64() / 2.0;
        let delay = (first - goal).max(MIN_RETRY_DELAY) * rng.random_range(0.8..1.4);
        let max_delay = self.left.as_secs_f64() / 3.0;
        Duration::from_secs_f64(delay.min(max_delay).max(0.001))
    }
}

impl Terms {
    /// When a caller should retry that is refused because no runner accepts a request for `wait`:
    /// after that, with jitter as in [`Terms::retry_delay`].
    pub fn retry_delay_after<R: Rng>(&self, wait: Duration, rng: &mut R) -> Duration {
        let delay = wait.as_secs_f64().max(MIN_RETRY_DELAY) * rng.random_range(1.0..1.4);
        let max_delay = self.left.as_secs_f64() / 3.0;
        Duration::from_secs_f64(delay.min(max_delay).max(0.001))
    }
}

/// The shortest retry delay for a refused caller, in seconds: a few engine steps, so that the
/// situation can have changed.
const MIN_RETRY_DELAY: f64 = 0.1;

/// The urgency of a class as sent to a runner, from 0 (first) to 9.
pub fn urgency(class: Class) -> u8 {
    class.index() as u8
}

/// The mean size of work on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanSize {
    mean: f64,
    seen: u64,
}

/// The minimum gain of the mean size.
const SIZE_GAIN: f64 = 0.01;

impl MeanSize {
    /// Records the size of one request, in tokens, and returns it relative to the mean.
    pub fn note(&mut self, tokens: u64) -> f64 {
        self.seen += 1;
        let gain = (1.0 / self.seen as f64).max(SIZE_GAIN);
        self.mean += (tokens as f64 - self.mean) * gain;
        if self.mean > 0.0 { tokens as f64 / self.mean } else { 1.0 }
    }
}
