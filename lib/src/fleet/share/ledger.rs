//! The recent use of accounts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Account, Cost, WINDOW, Weight};
use crate::fleet::rank::{LEVELS, Rank};

/// A use that decays exponentially, as the logarithm of its value at the epoch of the ledger. Since
/// all uses decay alike, their order does not change with time, and an index ordered by them stays
/// valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Level(f64);

impl Level {
    pub(super) const NONE: Level = Level(f64::NEG_INFINITY);

    fn of(cost: f64, at: Age) -> Self {
        Self(cost.ln() + at.0)
    }

    fn value(self, at: Age) -> f64 {
        (self.0 - at.0).exp()
    }

    fn plus(self, cost: f64, at: Age) -> Self {
        Self::of((self.value(at) + cost).max(0.0), at)
    }
}

impl Eq for Level {}

impl PartialOrd for Level {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Level {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The time since the epoch of the ledger, in units of [`WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
struct Age(f64);

/// The use of one account.
#[derive(Clone, Copy, Debug)]
struct Entry {
    weight: Weight,
    /// By route rank, the use for work of that rank and of more urgent ones, in relation to the
    /// weight.
    levels: [Level; RANKS],
    bias: Bias,
}

/// The ratio of the actual to the announced cost of an account's work, learned from work that has
/// ended. Without it an account that announces too much, as callers do that leave the length of the
/// answer open, would be held back until its charges are corrected.
#[derive(Clone, Copy, Debug)]
struct Bias {
    used: f64,
    announced: f64,
}

/// The gain of the bias: half of a lasting change is learned from seven requests.
const BIAS_GAIN: f64 = 0.1;
/// The range of the bias.
const BIAS_RANGE: (f64, f64) = (0.01, 100.0);
/// The announced and actual cost from which the bias starts, in seconds: that of a short prompt.
const BIAS_PRIOR: f64 = 0.05;

impl Default for Bias {
    fn default() -> Self {
        Self { used: BIAS_PRIOR, announced: BIAS_PRIOR }
    }
}

impl Bias {
    fn learn(&mut self, announced: Cost, used: Cost) {
        self.announced += (announced.secs() - self.announced) * BIAS_GAIN;
        self.used += (used.secs() - self.used) * BIAS_GAIN;
    }

    fn correct(self, announced: Cost) -> Cost {
        let ratio = (self.used / self.announced).clamp(BIAS_RANGE.0, BIAS_RANGE.1);
        Cost::from_secs(announced.secs() * ratio)
    }
}

/// The number of route ranks that are distinguished.
const RANKS: usize = LEVELS as usize;

impl Entry {
    fn new(weight: Weight) -> Self {
        Self { weight, levels: [Level::NONE; RANKS], bias: Bias::default() }
    }

    /// The use for all work.
    fn level(&self) -> Level {
        self.levels[RANKS - 1]
    }

    fn add(&mut self, route: Route, cost: f64, at: Age) {
        for level in &mut self.levels[usize::from(route.0)..] {
            *level = level.plus(cost / self.weight.factor(), at);
        }
    }
}

/// The rank of a route, limited to the levels that are distinguished.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Route(u8);

impl Route {
    pub(super) fn of(rank: Rank) -> Self {
        Self(rank.route_level())
    }

    pub(super) fn all() -> impl Iterator<Item = Route> + Clone {
        (0..LEVELS).map(Route)
    }
}

/// The use below which an account is forgotten, in seconds of a runner: a hundredth of the cost of
/// a short prompt.
const MIN_USE: f64 = 1e-4;

/// The longest time until an account is served again, in units of [`WINDOW`]: its use is then below
/// a hundredth.
const MAX_COOLDOWN: f64 = 5.0;

/// What each account used of late.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    epoch: Option<Instant>,
    age: Age,
    entries: HashMap<Account, Entry>,
    /// The highest level at which an account was served, decaying: what an account that always has
    /// work waiting gets.
    served: Option<Level>,
}

impl Ledger {
    /// Advances the time. A time before an earlier one counts as that one.
    fn advance(&mut self, now: Instant) -> Age {
        let epoch = *self.epoch.get_or_insert(now);
        let since = now.saturating_duration_since(epoch).as_secs_f64();
        let age = since / WINDOW.as_secs_f64();
        if age > self.age.0 {
            self.age = Age(age);
        }
        self.age
    }

    /// Charges an account for work that starts. The level before the charge counts as one at which
    /// accounts are served.
    pub(super) fn charge(
        &mut self,
        account: Account,
        (weight, route): (Weight, Route),
        announced: Cost,
        now: Instant,
    ) -> Charge {
        let at = self.advance(now);
        let entry = self.entries.entry(account).or_insert_with(|| Entry::new(weight));
        entry.weight = weight;
        self.served = self.served.max(Some(entry.levels[usize::from(route.0)]));
        let cost = entry.bias.correct(announced);
        entry.add(route, cost.secs(), at);
        Charge { account, weight, route, announced, cost, at: now }
    }

    /// Corrects a charge to the actual cost. A charge that was too low is made up in full, so that
    /// work that lasts longer than the window cannot escape it. One that was too high is refunded
    /// less what has been forgotten of it.
    pub(super) fn correct(&mut self, charge: &Charge, used: Cost, now: Instant) {
        let at = self.advance(now);
        let since = now.saturating_duration_since(charge.at).as_secs_f64() / WINDOW.as_secs_f64();
        let missing = (used - charge.cost).secs();
        let refund = (charge.cost - used).secs() * (-since).exp();
        let entry = self.entries.entry(charge.account).or_insert_with(|| Entry::new(charge.weight));
        entry.bias.learn(charge.announced, used);
        entry.add(charge.route, missing - refund, at);
    }

    /// Takes a charge back. Nothing is learned from it.
    pub(super) fn refund(&mut self, charge: &Charge, now: Instant) {
        let at = self.advance(now);
        if let Some(entry) = self.entries.get_mut(&charge.account) {
            entry.add(charge.route, -charge.cost.secs(), at);
        }
    }

    /// The use of an account for work of a route rank and of more urgent ones, in relation to its
    /// weight. Less urgent work does not count, so that an account's urgent work need not wait until
    /// earlier work of a lower rank is forgotten.
    pub(super) fn level(&self, account: Account, route: Route) -> Level {
        self.entries.get(&account).map_or(Level::NONE, |entry| entry.levels[usize::from(route.0)])
    }

    /// What an account used within about the last [`WINDOW`].
    pub fn recent(&self, account: Account) -> Cost {
        let entry = self.entries.get(&account);
        Cost::from_secs(entry.map_or(0.0, |e| e.level().value(self.age) * e.weight.factor()))
    }

    /// The rate at which an account that has work waiting is served, in seconds of a runner per
    /// second: as the most used of those that were served, or as itself if that is more.
    pub(super) fn rate(&self, account: Account, weight: Weight) -> f64 {
        let level = self.served.unwrap_or(Level::NONE).max(self.total(account));
        level.value(self.age) * weight.factor() / WINDOW.as_secs_f64()
    }

    /// How long it takes until the use of an account has decayed to the level at which accounts are
    /// served.
    pub(super) fn cooldown(&self, account: Account) -> Duration {
        let level = self.total(account).0;
        match self.served {
            Some(served) if level > served.0 && served != Level::NONE => {
                let windows = (level - served.0).min(MAX_COOLDOWN);
                WINDOW.mul_f64(windows)
            }
            _ => Duration::ZERO,
        }
    }

    fn total(&self, account: Account) -> Level {
        self.entries.get(&account).map_or(Level::NONE, Entry::level)
    }

    /// The number of accounts with recent use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no account has recent use.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The accounts that used most, at most `count`, heaviest first.
    pub fn heaviest(&self, count: usize) -> Vec<(Account, Cost)> {
        let mut all: Vec<(Account, Cost)> =
            self.entries.keys().map(|account| (*account, self.recent(*account))).collect();
        all.sort_by(|a, b| b.1.secs().total_cmp(&a.1.secs()).then(a.0.cmp(&b.0)));
        all.truncate(count);
        all
    }

    /// Forgets accounts whose use has decayed. To be called about once a second.
    pub fn forget(&mut self, now: Instant) {
        let at = self.advance(now);
        self.entries.retain(|_, entry| entry.level().value(at) * entry.weight.factor() >= MIN_USE);
    }
}

/// A charge that will be corrected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Charge {
    pub(super) account: Account,
    pub(super) weight: Weight,
    pub(super) route: Route,
    pub(super) announced: Cost,
    pub(super) cost: Cost,
    pub(super) at: Instant,
}
