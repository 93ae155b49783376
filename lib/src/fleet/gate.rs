//! The gate: whether a request starts now, and in which class, or is refused at once.
//!
//! The load it answers: bursts in which the prompts of a few seconds need more reading than the
//! runners can do in time. Work that can be on time starts in the class of its route's rank. Work
//! that cannot starts behind all of it, on what is left over, as long as an answer can still be of
//! use; if even that is out of reach, it is refused at once, while the caller can still do
//! something else, and is told when the backlog will have gone.
//!
//! Nothing waits at the node. Work waits at the runner that will do it, in the order of the
//! classes of all nodes together, so no node holds a place that another could use better.

use std::time::Duration;

use rand::{Rng, RngExt as _};
use strum::{Display, IntoStaticStr};

use super::load::Class;
use super::route::Route;

/// How long a caller has waited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wait {
    /// Before this attempt came, probably; nothing for a first one.
    pub before: Duration,
    /// Since it came.
    pub here: Duration,
}

impl Wait {
    /// In all.
    pub fn total(self) -> Duration {
        self.before + self.here
    }
}

/// What counts for a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The class if it can be on time.
    pub class: Class,
    /// What is left of the time within which it is on time; none if that is over.
    pub objective: Option<Duration>,
    /// What is left of the time that the caller waits.
    pub left: Duration,
    /// How long the caller bears to hear nothing.
    pub patience: Duration,
    /// Whether the caller comes back after a refusal.
    pub returned: bool,
    /// The size of the work against the mean of its route.
    pub size: f64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The answer would come too late to be of use.
    Late,
    /// No runner of the service is left.
    NoRunner,
    /// The node knows no configuration yet.
    NoConfiguration,
    /// The key may be newer than the configuration that the node knows.
    KeyUnconfirmed,
    /// The retry budget is spent.
    Budget,
    /// The runners that were tried refused it.
    Shed,
    /// The rate limits of the runners leave no room for it.
    RateLimited,
    /// The runners have refused requests of this node for a time.
    BackingOff,
}

/// The part of the objective that a predicted first answer may use up: the rest covers the
/// prediction's error.
const ON_TIME: f64 = 0.9;
/// The part of the caller's patience and time that late work may use up before its first answer.
const STILL_OF_USE: f64 = 0.85;
/// The part of it that late work may wait before its prompt is begun: when it comes first, and when
/// it comes back.
const LATE_WAIT: (f64, f64) = (0.2, 0.45);
/// How the bound on the wait grows with the size of the work against the mean of its route, and its
/// range. The largest tenth, from about twice the mean, is turned away half as often as it would be.
const LONG_WAIT: (f64, f64) = (0.5, 0.45);
/// The range of that factor.
const LONG_RANGE: (f64, f64) = (0.6, 1.6);
/// A caller bears to hear nothing for the longest of: this time,
const PATIENCE: Duration = Duration::from_secs(2);
/// so many objectives,
const PATIENCE_OBJECTIVES: u32 = 4;
/// so many of the pauses that its route allows (platform's protocol, for all three).
const PATIENCE_PAUSES: u32 = 8;

impl Terms {
    /// The terms of a request on `route` whose caller waits for `left` from now on, after `wait`.
    /// An answer is on time by the caller's first attempt.
    pub fn new(route: &Route, left: Duration, wait: Wait, size: f64) -> Self {
        let left = left.min(route.timeout);
        let patience = if route.kind.is_stream() {
            PATIENCE.max(route.objective * PATIENCE_OBJECTIVES).max(route.pause * PATIENCE_PAUSES)
        } else {
            left
        };
        Self {
            class: Class::of_rank(route.rank),
            objective: route.objective.checked_sub(wait.total()).filter(|o| !o.is_zero()),
            left,
            patience,
            returned: !wait.before.is_zero(),
            size,
        }
    }

    /// Judges work whose first answer is predicted in `first` seconds in its own class.
    pub fn on_time(&self, first: f64) -> bool {
        self.objective.is_some_and(|o| first <= o.as_secs_f64() * ON_TIME)
    }

    /// Judges late work: its first answer is predicted in `first` seconds, of which it would wait
    /// for `wait` seconds.
    ///
    /// The wait is bounded more narrowly than the whole, so that long prompts find a place as often
    /// as short ones; a bound on the whole alone would fill up with short ones and turn every long
    /// one away. Callers that come back go before those that come first: a second refusal leaves
    /// them without an answer, a first one does not.
    pub fn of_use(&self, first: f64, wait: f64) -> bool {
        let bearable = self.left.min(self.patience).as_secs_f64();
        let part = if self.returned { LATE_WAIT.1 } else { LATE_WAIT.0 };
        let for_size = (LONG_WAIT.0 + LONG_WAIT.1 * self.size).clamp(LONG_RANGE.0, LONG_RANGE.1);
        first <= bearable * STILL_OF_USE && wait <= bearable * part * for_size
    }

    /// When a refused caller should come back: when the work that waits now will be done, spread so
    /// that those refused together do not come back together, and within the time in which the
    /// caller still heeds it.
    pub fn come_back<R: Rng>(&self, first: f64, rng: &mut R) -> Duration {
        let goal = self.objective.unwrap_or(self.left / 4).as_secs_f64() / 2.0;
        let until = (first - goal).max(SHORTEST_RETURN) * rng.random_range(0.8..1.4);
        let most = self.left.as_secs_f64() / 3.0;
        Duration::from_secs_f64(until.min(most).max(0.001))
    }
}

impl Terms {
    /// When a caller should come back that is refused because no runner accepts a request for `wait`:
    /// after that, spread as in [`Terms::come_back`].
    pub fn come_back_after<R: Rng>(&self, wait: Duration, rng: &mut R) -> Duration {
        let until = wait.as_secs_f64().max(SHORTEST_RETURN) * rng.random_range(1.0..1.4);
        let most = self.left.as_secs_f64() / 3.0;
        Duration::from_secs_f64(until.min(most).max(0.001))
    }
}

/// The shortest time after which a refused caller is asked back, in seconds: a few steps of an
/// engine, so that it is not the same moment.
const SHORTEST_RETURN: f64 = 0.1;

/// How urgent work of a class is to a runner, from 0 (first) to 9. The gaps leave room for work
/// that goes on after a failure.
pub fn urgency(class: Class) -> u8 {
    if class == Class::LATE { 8 } else { 1 + 2 * class.index() as u8 }
}

/// The sizes of work on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sizes {
    mean: f64,
    seen: u64,
}

/// The least gain with which the mean size follows what is seen.
const SIZE_GAIN: f64 = 0.01;

impl Sizes {
    /// Takes in the size of one request, in tokens, and gives it against the mean.
    pub fn note(&mut self, tokens: u64) -> f64 {
        self.seen += 1;
        let gain = (1.0 / self.seen as f64).max(SIZE_GAIN);
        self.mean += (tokens as f64 - self.mean) * gain;
        if self.mean > 0.0 { tokens as f64 / self.mean } else { 1.0 }
    }
}
