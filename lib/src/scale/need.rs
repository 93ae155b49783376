//! The number of runners that a service requires.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use strum::EnumString;

use super::initial::InitialCount;
use super::record::{Evidence, Record};

/// How the required number of runners is determined.
#[derive(Clone, Copy, Debug, Default, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The number of runners at the start of the deployment.
    #[default]
    Initial,
    /// The peak load within a sliding window, plus headroom.
    Measured,
}

/// The length of the sliding window: two periods of the slowest alternation of the kinds of requests,
/// which changes direction every 15 s (docs/LOAD.md). Load bursts arrive every few seconds, faster
/// than a runner boots, so the capacity for them has to be in place beforehand.
pub const WINDOW: Duration = Duration::from_secs(60);
/// How long the load must have been observed before the requirement is lowered (docs/LOAD.md).
pub const MIN_OBSERVATION: Duration = Duration::from_secs(12);
/// The quantile of the load that counts as its peak. One sample in twenty is 3 s of the window:
/// shorter than a burst, and long enough to leave out single samples that are too high because a node
/// extrapolates the load of all nodes from its own.
const PEAK_QUANTILE: f64 = 0.95;
/// The share of the runners' time that the peak load may take. Large fleets could run at a higher
/// utilisation with short waits; the rest covers uneven placement.
const MAX_UTILISATION: f64 = 0.75;
/// The runners above the load, in square roots of the load. With two, about one request in forty waits
/// for random arrivals (Erlang's formula for many servers), whatever the size of the fleet.
const SAFETY: f64 = 2.0;
/// The share of the runners by which the requirement is lowered at most per [`LOWERING_PERIOD`].
const MAX_LOWERING: f64 = 0.1;
/// The minimum time between two reductions of the requirement.
const LOWERING_PERIOD: Duration = Duration::from_secs(2);
/// The share of the requirement below which a difference does not lower it, so that the noise of one
/// node's view does not cause writes and orders.
const DEAD_BAND: f64 = 0.05;

/// The share of the requirement that the load is assumed to need while none has been observed, as for
/// plain services, whose load is not known as busy runners.
const UNKNOWN_LOAD: f64 = 0.8;

/// The capacity that a service requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequiredCapacity {
    /// The number of runners.
    pub count: u32,
    /// The number of runners that the load needs; at most `count`.
    pub load: u32,
    /// Whether the number is known well enough to release runners.
    pub is_stable: bool,
}

/// Estimates the capacity that one service requires. Every node observes; only the holder of the
/// duties takes over a record and asks for the requirement.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    policy: Policy,
    initial: InitialCount,
    samples: VecDeque<(Instant, f64)>,
    /// When load was first observed.
    load_since: Option<Instant>,
    /// The evidence of earlier holders, and until when it counts.
    earlier: Option<(Instant, Evidence)>,
    /// The initial and the required number of runners that are on record.
    recorded: Option<(u32, u32)>,
    lowered_at: Option<Instant>,
}

impl CapacityEstimator {
    /// An estimator for a service that has not been observed yet.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            initial: InitialCount::default(),
            samples: VecDeque::new(),
            load_since: None,
            earlier: None,
            recorded: None,
            lowered_at: None,
        }
    }

    /// Records an observation. `busy` is the load as the number of runners that it would keep fully
    /// busy, `assured` the number of runners that are assured to take work ([`super::initial::assured`]).
    pub fn observe(&mut self, now: Instant, busy: f64, assured: u32) {
        self.initial.observe(now, assured);
        if busy > 0.0 {
            self.load_since.get_or_insert(now);
        }
        self.samples.push_back((now, busy));
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.samples.front().is_some_and(|(at, _)| is_old(*at)) {
            self.samples.pop_front();
        }
        if self.earlier.is_some_and(|(until, _)| now >= until) {
            self.earlier = None;
        }
    }

    /// Takes over a record. `time` is the time since the Unix epoch at `now`. Evidence older than the
    /// window is ignored.
    pub fn adopt(&mut self, now: Instant, time: Duration, record: &Record) {
        self.recorded = Some((record.initial, record.required));
        let left = |evidence: &Evidence| WINDOW.checked_sub(time.saturating_sub(evidence.at));
        let left = record.evidence.as_ref().and_then(left);
        self.earlier = left.zip(record.evidence).map(|(left, evidence)| (now + left, evidence));
        // The holder before may have lowered the requirement a moment ago.
        self.lowered_at = Some(now);
    }

    /// Returns whether a record has been taken over or started.
    pub fn has_record(&self) -> bool {
        self.recorded.is_some()
    }

    /// Returns the requirement at `now`.
    pub fn required(&mut self, now: Instant) -> RequiredCapacity {
        let (initial, required, is_stable) = match self.recorded {
            Some((initial, required)) => (initial, required, true),
            None => (self.initial.count(), self.initial.count(), self.initial.is_stable(now)),
        };
        let load = match self.load_since {
            Some(_) => runners_for(self.peak()),
            None => (f64::from(required) * UNKNOWN_LOAD).ceil() as u32,
        };
        let count = match self.policy {
            Policy::Initial => initial,
            Policy::Measured => self.follow(now, required, load),
        };
        if is_stable {
            self.recorded = Some((initial, count));
        }
        RequiredCapacity { count, load: load.min(count), is_stable }
    }

    /// Returns the record that follows `last` with the current requirement.
    pub fn record(&self, now: Instant, time: Duration, last: Option<&Record>) -> Option<Record> {
        let (initial, required) = self.recorded?;
        let last = last.cloned().unwrap_or_else(|| Record::initial(initial));
        if last.required == required && last.initial == initial {
            return Some(last);
        }
        let evidence = (self.policy == Policy::Measured).then(|| Evidence {
            load: self.peak(),
            observed: self.observed(now),
            at: time,
        });
        Some(Record { initial, required, evidence, ..last })
    }

    /// The requirement that follows `required` under the load that needs `load` runners.
    fn follow(&mut self, now: Instant, required: u32, load: u32) -> u32 {
        if load >= required {
            return load;
        }
        let dead_band = (f64::from(required) * DEAD_BAND).ceil() as u32;
        let is_due =
            self.lowered_at.is_none_or(|at| now.saturating_duration_since(at) >= LOWERING_PERIOD);
        if self.observed(now) < MIN_OBSERVATION || required - load < dead_band || !is_due {
            return required;
        }
        self.lowered_at = Some(now);
        let step = (f64::from(required) * MAX_LOWERING) as u32;
        load.max(required - step.max(1))
    }

    /// How long the load has been observed, by earlier holders too.
    fn observed(&self, now: Instant) -> Duration {
        let own = self.load_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        own + self.earlier.map_or(Duration::ZERO, |(_, evidence)| evidence.observed)
    }

    /// The peak load within the window. A rise that is too short for the quantile counts as far as
    /// the runners must be able to carry it without headroom.
    fn peak(&self) -> f64 {
        let mut loads: Vec<f64> = self.samples.iter().map(|(_, load)| *load).collect();
        let Some(latest) = loads.last().copied() else { return 0.0 };
        let at = ((loads.len() - 1) as f64 * PEAK_QUANTILE).ceil() as usize;
        let (_, quantile, _) = loads.select_nth_unstable_by(at, f64::total_cmp);
        let earlier = self.earlier.map_or(0.0, |(_, evidence)| evidence.load);
        quantile.max(latest * MAX_UTILISATION).max(earlier)
    }
}

/// The number of runners that serve `load` with short waits; at least one.
fn runners_for(load: f64) -> u32 {
    (load / MAX_UTILISATION).max(load + SAFETY * load.sqrt()).ceil().max(1.0) as u32
}
