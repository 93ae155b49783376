//! Role assignment under a changing mix of work: when an engine should switch between prefill and
//! decode.
//!
//! A role change makes an engine unavailable for seconds and loses its cache, so it is the last
//! resort: mixed engines, routing and load shedding cost nothing. The decision compares possible
//! role counts by the work that they would complete within the horizon. It assumes the current mix
//! for as long as mixes have recently lasted and the mixes of the recent past after that, and
//! subtracts the cost of the changes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::config::object::Role;

/// Arriving work, as the number of engines that it would keep busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines needed for prompts.
    pub prefill: f64,
    /// Engines needed for output.
    pub decode: f64,
}

impl Demand {
    /// The sum of both.
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    fn blend(&mut self, other: Demand, gain: f64) {
        self.prefill += (other.prefill - self.prefill) * gain;
        self.decode += (other.decode - self.decode) * gain;
    }
}

/// The number of engines in each role.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RoleCounts {
    /// Engines that only process prompts.
    pub prefill: u32,
    /// Engines that only generate output.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

impl RoleCounts {
    /// The number of all engines.
    pub fn total(&self) -> u32 {
        self.prefill + self.decode + self.mixed
    }

    /// The number of role changes that lead to `other`.
    pub fn changes_to(&self, other: &RoleCounts) -> u32 {
        let increase = |from: u32, to: u32| to.saturating_sub(from);
        increase(self.prefill, other.prefill)
            + increase(self.decode, other.decode)
            + increase(self.mixed, other.mixed)
    }

    /// The number of engines in a role.
    pub fn of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// The counts after one engine has changed its role.
    pub fn changed(mut self, from: Role, to: Role) -> Self {
        *self.of_mut(from) -= 1;
        *self.of_mut(to) += 1;
        self
    }

    fn of_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}

/// The relative throughput of an engine that does both kinds of work: prompts and output in one
/// batch slow each other down.
pub const MIXED_EFFICIENCY: f64 = 0.85;

/// The part of `demand` that engines with these roles can serve, as a number of engines.
pub fn served_work(counts: RoleCounts, demand: Demand, mixed_efficiency: f64) -> f64 {
    if demand.total() <= 0.0 {
        return 0.0;
    }
    let prefill = f64::from(counts.prefill);
    let decode = f64::from(counts.decode);
    let mixed = f64::from(counts.mixed) * mixed_efficiency;
    let mut part: f64 = 1.0;
    if demand.prefill > 0.0 {
        part = part.min((prefill + mixed) / demand.prefill);
    }
    if demand.decode > 0.0 {
        part = part.min((decode + mixed) / demand.decode);
    }
    part = part.min((prefill + decode + mixed) / demand.total());
    part * demand.total()
}

/// An engine as input to the decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// The index among the service's runners.
    pub at: usize,
    /// The current role, or the one that it is changing to.
    pub role: Role,
    /// Whether it is unavailable because of a role change.
    pub changing: bool,
    /// Whether it is shutting down, drained or unreachable. Its capacity is not counted.
    pub leaving: bool,
    /// When its role last changed.
    pub changed: Option<Instant>,
}

/// The cost and the limits of role changes in one service.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCost {
    /// How long an engine is unavailable during a change.
    pub away: Duration,
    /// The cost of a change beyond the unavailability, as time of one engine.
    pub extra: Duration,
    /// The share of the engines that may be unavailable at once.
    pub away_limit: f64,
    /// The shortest time between two changes of one engine.
    pub dwell: Duration,
}

/// How often demand is sampled.
pub const SAMPLE_PERIOD: Duration = Duration::from_secs(1);
/// How many past samples are kept: ten minutes.
pub const SAMPLES: usize = 600;
/// The gain of the moving average that represents the current mix.
const CURRENT_GAIN: f64 = 0.2;
/// How much the share of prompts must change for the mix to count as a different one.
const MIX_SHIFT: f64 = 0.15;
/// The assumed duration of a mix until the end of one has been observed.
const INITIAL_MIX_DURATION: Duration = Duration::from_secs(60);
/// No change is made while the last demand sample is older.
pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(15);

/// An estimate of demand from admitted work.
#[derive(Clone, Debug)]
pub struct Estimate {
    current: Demand,
    samples: VecDeque<Demand>,
    reference_share: f64,
    reference_since: Option<Instant>,
    expected_duration: Duration,
    updated: Option<Instant>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            current: Demand::default(),
            samples: VecDeque::new(),
            reference_share: 0.5,
            reference_since: None,
            expected_duration: INITIAL_MIX_DURATION,
            updated: None,
        }
    }
}

impl Estimate {
    /// Adds the demand of one [`SAMPLE_PERIOD`].
    pub fn add_sample(&mut self, now: Instant, demand: Demand) {
        if self.updated.is_none() {
            self.current = demand;
        }
        self.updated = Some(now);
        self.current.blend(demand, CURRENT_GAIN);
        self.samples.push_back(demand);
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        self.update_expected_duration(now);
    }

    /// Updates the expected duration of a mix from the times between shifts.
    fn update_expected_duration(&mut self, now: Instant) {
        let total = self.current.total();
        if total <= 0.0 {
            return;
        }
        let share = self.current.prefill / total;
        let since = *self.reference_since.get_or_insert(now);
        if (share - self.reference_share).abs() > MIX_SHIFT {
            let held = now.saturating_duration_since(since);
            if held > SAMPLE_PERIOD * 5 {
                self.expected_duration = (self.expected_duration * 2 + held) / 3;
            }
            self.reference_share = share;
            self.reference_since = Some(now);
        }
    }

    /// How long the current mix is expected to last.
    pub fn remaining(&self, now: Instant) -> Duration {
        let held =
            self.reference_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A mix that has lasted longer than expected is assumed to continue for half as long again.
        self.expected_duration.saturating_sub(held).max(held / 2)
    }

    /// The current demand.
    pub fn current(&self) -> Demand {
        self.current
    }

    /// The time of the last sample.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    /// The mean work that engines with these roles would have served of the recent demand.
    fn mean_served(&self, counts: RoleCounts, efficiency: f64) -> f64 {
        if self.samples.is_empty() {
            return 0.0;
        }
        let step = self.samples.len().div_ceil(MAX_EVALUATED_SAMPLES);
        let evaluated = self.samples.iter().step_by(step);
        let count = evaluated.len();
        evaluated.map(|d| served_work(counts, *d, efficiency)).sum::<f64>() / count as f64
    }
}

/// How many past samples are evaluated for one candidate.
const MAX_EVALUATED_SAMPLES: usize = 60;

/// The reason of a decision.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No other role counts gain more than they cost.
    NotWorthIt,
    /// The maximum number of engines is unavailable already.
    AwayLimit,
    /// The last demand sample is too old.
    Stale,
    /// The engines that could change have changed too recently.
    Dwell,
    /// A change gains more than it costs.
    Gain,
}

/// A role change of one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The index among the service's runners.
    pub at: usize,
    /// The new role.
    pub to: Role,
}

/// A decision with its reason and its figures, which `explain` shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The changes to order now.
    pub changes: SmallVec<[Change; 4]>,
    /// The reason.
    pub why: Reason,
    /// The current role counts.
    pub current: RoleCounts,
    /// The best role counts found.
    pub target: RoleCounts,
    /// The gain of the target within the horizon, in engine seconds, before costs.
    pub gain: f64,
    /// The cost of the changes, in engine seconds.
    pub cost: f64,
}

/// How far ahead a decision looks.
pub const HORIZON: Duration = Duration::from_secs(300);

/// Decides on role changes at `now`. The result depends only on the arguments.
pub fn decide(
    now: Instant,
    engines: &[Engine],
    estimate: &Estimate,
    change_cost: ChangeCost,
    efficiency: f64,
) -> Decision {
    let usable: SmallVec<[&Engine; 32]> = engines.iter().filter(|e| !e.leaving).collect();
    let mut current = RoleCounts::default();
    for engine in &usable {
        *current.of_mut(engine.role) += 1;
    }
    let unchanged = |why| Decision {
        changes: SmallVec::new(),
        why,
        current,
        target: current,
        gain: 0.0,
        cost: 0.0,
    };
    let fresh =
        estimate.updated.is_some_and(|at| now.saturating_duration_since(at) <= MAX_DEMAND_AGE);
    if !fresh {
        return unchanged(Reason::Stale);
    }
    let away = usable.iter().filter(|e| e.changing).count();
    let max_away = (usable.len() as f64 * change_cost.away_limit).floor().max(1.0) as usize;
    let max_changes = max_away.saturating_sub(away);
    if max_changes == 0 {
        return unchanged(Reason::AwayLimit);
    }
    let search = Search::new(now, estimate, change_cost, efficiency);
    let best = search.best(current, max_changes as u32);
    if best.target == current {
        return unchanged(Reason::NotWorthIt);
    }
    let changes = pick_engines(now, &usable, current, best.target, change_cost);
    let why = if changes.is_empty() { Reason::Dwell } else { Reason::Gain };
    Decision { changes, why, current, target: best.target, gain: best.gain, cost: best.cost }
}

struct Search<'a> {
    estimate: &'a Estimate,
    change_cost: ChangeCost,
    efficiency: f64,
    current_s: f64,
    later_s: f64,
}

struct Best {
    target: RoleCounts,
    gain: f64,
    cost: f64,
}

impl<'a> Search<'a> {
    fn new(now: Instant, estimate: &'a Estimate, change_cost: ChangeCost, efficiency: f64) -> Self {
        let remaining = estimate.remaining(now).min(HORIZON).as_secs_f64();
        let current_s = (remaining - change_cost.away.as_secs_f64()).max(0.0);
        let later_s = (HORIZON.as_secs_f64() - remaining).max(0.0);
        Self { estimate, change_cost, efficiency, current_s, later_s }
    }

    /// The work served within the horizon.
    fn value(&self, counts: RoleCounts) -> f64 {
        let now = served_work(counts, self.estimate.current(), self.efficiency);
        let later = self.estimate.mean_served(counts, self.efficiency);
        now * self.current_s + later * self.later_s * LATER_WEIGHT
    }

    fn cost(&self, changes: u32) -> f64 {
        let per_change = self.change_cost.away + self.change_cost.extra;
        f64::from(changes) * per_change.as_secs_f64()
    }

    /// The best role counts that at most `max_changes` changes lead to.
    fn best(&self, current: RoleCounts, max_changes: u32) -> Best {
        let base = self.value(current);
        let mut best = Best { target: current, gain: 0.0, cost: 0.0 };
        for target in reachable(current, max_changes) {
            let gain = self.value(target) - base;
            let cost = self.cost(current.changes_to(&target));
            if gain - cost > best.gain - best.cost + MIN_NET_GAIN {
                best = Best { target, gain, cost };
            }
        }
        best
    }
}

/// The weight of work after the end of the current mix. It is below 1 because roles can still be
/// adapted by then.
const LATER_WEIGHT: f64 = 0.25;

/// Smaller differences, in engine seconds, are ignored.
const MIN_NET_GAIN: f64 = 0.5;

/// The numbers of engines to try moving. They grow geometrically, so that the search stays small
/// for large fleets.
fn steps(max_changes: u32) -> SmallVec<[u32; 16]> {
    let mut steps = SmallVec::new();
    let mut step = 1;
    while step <= max_changes {
        steps.push(step);
        step = (step * 3 / 2).max(step + 1);
    }
    if steps.last() != Some(&max_changes) {
        steps.push(max_changes);
    }
    steps
}

/// The role counts that differ from `current` by moves between two roles, or by moves from mixed to
/// both of the others.
fn reachable(current: RoleCounts, max_changes: u32) -> Vec<RoleCounts> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let mut found = Vec::new();
    for from in ROLES {
        for to in ROLES {
            if from == to {
                continue;
            }
            for step in steps(max_changes) {
                let Some(left) = current.of(from).checked_sub(step) else { break };
                let mut target = current;
                *target.of_mut(from) = left;
                *target.of_mut(to) += step;
                found.push(target);
            }
        }
    }
    for step in steps(max_changes / 2) {
        if step > 0 && current.mixed >= 2 * step {
            found.push(RoleCounts {
                prefill: current.prefill + step,
                decode: current.decode + step,
                mixed: current.mixed - 2 * step,
            });
        }
    }
    found
}

/// Selects the engines to change from the roles that have too many. Those whose last change was
/// longest ago come first; none changes within its dwell time.
fn pick_engines(
    now: Instant,
    engines: &[&Engine],
    current: RoleCounts,
    target: RoleCounts,
    change_cost: ChangeCost,
) -> SmallVec<[Change; 4]> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let mut new_roles: SmallVec<[Role; 8]> = SmallVec::new();
    for role in ROLES {
        let missing = target.of(role).saturating_sub(current.of(role));
        new_roles.extend(std::iter::repeat_n(role, missing as usize));
    }
    let may_change = |e: &&&Engine| {
        !e.changing
            && e.changed.is_none_or(|at| now.saturating_duration_since(at) >= change_cost.dwell)
    };
    let mut free: SmallVec<[&Engine; 16]> = SmallVec::new();
    for role in ROLES {
        let excess = current.of(role).saturating_sub(target.of(role)) as usize;
        let mut of_role: SmallVec<[&Engine; 16]> =
            engines.iter().filter(|e| e.role == role).filter(may_change).copied().collect();
        of_role.sort_by_key(|e| (e.changed, e.at));
        free.extend(of_role.into_iter().take(excess));
    }
    free.into_iter().zip(new_roles).map(|(e, to)| Change { at: e.at, to }).collect()
}
