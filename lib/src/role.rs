//! Roles under a shifting mix: when an engine should change between prompts and output.
//!
//! A role change idles an engine for seconds and loses its cache, so it is the last resort: mixed
//! engines, routing and shedding cost nothing. The decision compares divisions of the engines by
//! the work they would do over the time ahead, under the mix of now for as long as mixes lately
//! held, and under the mixes of the recent past after that, less what the changes cost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::config::object::Role;

/// Work that arrives, in engines that it would keep busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines' worth of prompts.
    pub prefill: f64,
    /// Engines' worth of output.
    pub decode: f64,
}

impl Demand {
    /// All of it.
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    fn blend(&mut self, other: Demand, gain: f64) {
        self.prefill += (other.prefill - self.prefill) * gain;
        self.decode += (other.decode - self.decode) * gain;
    }
}

/// How many engines have each role.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RoleCounts {
    /// For prompts.
    pub prefill: u32,
    /// For output.
    pub decode: u32,
    /// For both.
    pub mixed: u32,
}

impl RoleCounts {
    /// All engines.
    pub fn total(&self) -> u32 {
        self.prefill + self.decode + self.mixed
    }

    /// The number of changes that lead from here to `other`.
    pub fn changes_to(&self, other: &RoleCounts) -> u32 {
        let gained = |from: u32, to: u32| to.saturating_sub(from);
        gained(self.prefill, other.prefill)
            + gained(self.decode, other.decode)
            + gained(self.mixed, other.mixed)
    }

    /// The engines of a role.
    pub fn of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// The division after one engine changes.
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

/// The part of an engine's work that is left when it does both kinds at once: prompts and output
/// in one batch slow each other.
pub const MIXED_EFFICIENCY: f64 = 0.85;

/// The work that `division` does of `demand`, in engines' worth.
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

/// An engine as the decision sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its place among the service's runners.
    pub at: usize,
    /// Its role, or the one that it is changing to.
    pub role: Role,
    /// It is away for a change.
    pub changing: bool,
    /// It is leaving, drained or unreachable: its capacity counts as gone already.
    pub leaving: bool,
    /// When it last changed.
    pub changed: Option<Instant>,
}

/// What one service pays for changes.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCost {
    /// How long an engine is away for a change.
    pub away: Duration,
    /// What a change costs beyond its time away, as time of one engine.
    pub extra: Duration,
    /// The share of the engines that may be away at once.
    pub away_limit: f64,
    /// The shortest time between two changes of one engine.
    pub dwell: Duration,
}

/// How often demand is sampled.
pub const SAMPLE_PERIOD: Duration = Duration::from_secs(1);
/// How many samples of the past are kept: ten minutes.
pub const SAMPLES: usize = 600;
/// The gain of the average by which a mix is taken to be the mix of now.
const CURRENT_GAIN: f64 = 0.2;
/// By how much the share of prompts must move for the mix to count as another.
const MIX_SHIFT: f64 = 0.15;
/// What is assumed of how long a mix holds before one has been seen to end.
const INITIAL_MIX_DURATION: Duration = Duration::from_secs(60);
/// No change is decided while what is known of the demand is older.
pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(15);

/// The estimate of demand from admitted work.
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
    /// Takes in the demand of one [`SAMPLE_PERIOD`].
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

    /// Learns how long a mix holds from the times between shifts.
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

    /// How long the mix of now is expected to go on.
    pub fn remaining(&self, now: Instant) -> Duration {
        let held =
            self.reference_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A mix that has outlived its expectation is expected to go on as long as it has.
        self.expected_duration.saturating_sub(held).max(held / 2)
    }

    /// The demand of now.
    pub fn current(&self) -> Demand {
        self.current
    }

    /// When demand was last heard of.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    /// The mean work that `division` would have done of the recent past.
    fn mean_served(&self, counts: RoleCounts, efficiency: f64) -> f64 {
        if self.samples.is_empty() {
            return 0.0;
        }
        let step = self.samples.len().div_ceil(MAX_EVALUATED_SAMPLES);
        let looked = self.samples.iter().step_by(step);
        let count = looked.len();
        looked.map(|d| served_work(counts, *d, efficiency)).sum::<f64>() / count as f64
    }
}

/// How many samples of the past are looked at for one division.
const MAX_EVALUATED_SAMPLES: usize = 60;

/// Why a decision came out as it did.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No other division gains more than it costs.
    NotWorthIt,
    /// As many engines are away as may be.
    AwayLimit,
    /// What is known of the demand is too old.
    Stale,
    /// The engines that could change did so too lately.
    Dwell,
    /// A change gains more than it costs.
    Gain,
}

/// One change of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The engine's place among the service's runners.
    pub at: usize,
    /// The role to take.
    pub to: Role,
}

/// A decision with its reason and figures, for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The changes to order now.
    pub changes: SmallVec<[Change; 4]>,
    /// Why.
    pub why: Reason,
    /// The division that is there.
    pub current: RoleCounts,
    /// The best division found.
    pub target: RoleCounts,
    /// What the target gains over the time ahead, in engine seconds, before costs.
    pub gain: f64,
    /// What the changes cost, in engine seconds.
    pub cost: f64,
}

/// How far ahead a decision looks.
pub const HORIZON: Duration = Duration::from_secs(300);

/// Decides on role changes at `now`. Pure: the same input gives the same decision.
pub fn decide(
    now: Instant,
    engines: &[Engine],
    estimate: &Estimate,
    price: ChangeCost,
    efficiency: f64,
) -> Decision {
    let usable: SmallVec<[&Engine; 32]> = engines.iter().filter(|e| !e.leaving).collect();
    let mut current = RoleCounts::default();
    for engine in &usable {
        *current.of_mut(engine.role) += 1;
    }
    let stay = |why| Decision {
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
        return stay(Reason::Stale);
    }
    let away = usable.iter().filter(|e| e.changing).count();
    let most_away = (usable.len() as f64 * price.away_limit).floor().max(1.0) as usize;
    let room = most_away.saturating_sub(away);
    if room == 0 {
        return stay(Reason::AwayLimit);
    }
    let search = Search::new(now, estimate, price, efficiency);
    let best = search.best(current, room as u32);
    if best.target == current {
        return stay(Reason::NotWorthIt);
    }
    let changes = pick_engines(now, &usable, current, best.target, price);
    let why = if changes.is_empty() { Reason::Dwell } else { Reason::Gain };
    Decision { changes, why, current, target: best.target, gain: best.gain, cost: best.cost }
}

struct Search<'a> {
    estimate: &'a Estimate,
    price: ChangeCost,
    efficiency: f64,
    near: f64,
    far: f64,
}

struct Best {
    target: RoleCounts,
    gain: f64,
    cost: f64,
}

impl<'a> Search<'a> {
    fn new(now: Instant, estimate: &'a Estimate, price: ChangeCost, efficiency: f64) -> Self {
        let remaining = estimate.remaining(now).min(HORIZON).as_secs_f64();
        let near = (remaining - price.away.as_secs_f64()).max(0.0);
        let far = (HORIZON.as_secs_f64() - remaining).max(0.0);
        Self { estimate, price, efficiency, near, far }
    }

    /// The work that `division` does over the time ahead.
    fn value(&self, counts: RoleCounts) -> f64 {
        let now = served_work(counts, self.estimate.current(), self.efficiency);
        let later = self.estimate.mean_served(counts, self.efficiency);
        now * self.near + later * self.far * LATER_WEIGHT
    }

    fn cost(&self, changes: u32) -> f64 {
        let one = self.price.away + self.price.extra;
        f64::from(changes) * one.as_secs_f64()
    }

    /// The best division that can be reached by at most `room` changes.
    fn best(&self, current: RoleCounts, room: u32) -> Best {
        let base = self.value(current);
        let mut best = Best { target: current, gain: 0.0, cost: 0.0 };
        for target in reachable(current, room) {
            let gain = self.value(target) - base;
            let cost = self.cost(current.changes_to(&target));
            if gain - cost > best.gain - best.cost + MIN_NET_GAIN {
                best = Best { target, gain, cost };
            }
        }
        best
    }
}

/// How much work after the mix of now counts, as it can still be adapted to.
const LATER_WEIGHT: f64 = 0.25;

/// Differences below this many engine seconds are taken for nothing.
const MIN_NET_GAIN: f64 = 0.5;

/// The step widths tried for the number of engines that move, for any size of fleet.
fn steps(room: u32) -> SmallVec<[u32; 16]> {
    let mut steps = SmallVec::new();
    let mut step = 1;
    while step <= room {
        steps.push(step);
        step = (step * 3 / 2).max(step + 1);
    }
    if steps.last() != Some(&room) {
        steps.push(room);
    }
    steps
}

/// The divisions that differ from `current` by moves between two roles, or from two into one.
fn reachable(current: RoleCounts, room: u32) -> Vec<RoleCounts> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let mut found = Vec::new();
    for from in ROLES {
        for to in ROLES {
            if from == to {
                continue;
            }
            for step in steps(room) {
                let Some(left) = current.of(from).checked_sub(step) else { break };
                let mut target = current;
                *target.of_mut(from) = left;
                *target.of_mut(to) += step;
                found.push(target);
            }
        }
    }
    for step in steps(room / 2) {
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

/// The engines that change: those of a role with too many, the ones that changed longest ago
/// first, none within its dwell time.
fn pick_engines(
    now: Instant,
    engines: &[&Engine],
    current: RoleCounts,
    target: RoleCounts,
    price: ChangeCost,
) -> SmallVec<[Change; 4]> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let mut wanted: SmallVec<[Role; 8]> = SmallVec::new();
    for role in ROLES {
        let more = target.of(role).saturating_sub(current.of(role));
        wanted.extend(std::iter::repeat_n(role, more as usize));
    }
    let rested = |e: &&&Engine| {
        !e.changing && e.changed.is_none_or(|at| now.saturating_duration_since(at) >= price.dwell)
    };
    let mut free: SmallVec<[&Engine; 16]> = SmallVec::new();
    for role in ROLES {
        let fewer = current.of(role).saturating_sub(target.of(role)) as usize;
        let mut of_role: SmallVec<[&Engine; 16]> =
            engines.iter().filter(|e| e.role == role).filter(rested).copied().collect();
        of_role.sort_by_key(|e| (e.changed, e.at));
        free.extend(of_role.into_iter().take(fewer));
    }
    free.into_iter().zip(wanted).map(|(e, to)| Change { at: e.at, to }).collect()
}
