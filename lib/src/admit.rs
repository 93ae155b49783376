//! Admission: which requests a node takes on, in which order, and which it refuses at once.
//!
//! When thousands of callers wake in the same second, a queue in order of arrival answers each of
//! them too late: the work done for a caller that has gone is lost for the one that still waits.
//! So the queue holds only what it can finish in time, in the order of weighted fair shares by
//! cost, and refuses the rest as soon as it is known to be late, with a time to come back that is
//! spread out.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

use crate::config::object::{Account, Priority};
use crate::id::{Name, RequestId};

/// What an entry weighs more for each priority. No class is starved: a higher one gets a larger
/// share, not all.
fn priority_weight(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.25,
        Priority::Normal => 1.0,
        Priority::High => 4.0,
        Priority::Urgent => 16.0,
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub account: Name,
    /// How urgent it is.
    pub priority: Priority,
    /// When its answer is worth nothing any more.
    pub deadline: Instant,
    /// The work it makes, in seconds of one place.
    pub cost: Duration,
}

/// Why a request is refused. All of these come before it is sent, so that it was not run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The account is beyond its rate.
    Rate,
    /// The account has too many requests under way.
    Concurrency,
    /// The answer would come too late.
    Late,
    /// The node's queue has no room.
    Full,
}

/// A refusal with the time after which to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, from now.
    pub retry_after: Duration,
}

/// The decision about an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It goes on at once.
    Start,
    /// It waits until [`AdmissionQueue::next`] gives it out or refuses it.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It goes on.
    Start(RequestId),
    /// It is refused.
    Refuse(RequestId, Refusal),
}

/// The limits of one account at one node.
#[derive(Clone, Debug)]
struct AccountUsage {
    tokens: f64,
    filled: Instant,
    under_way: u32,
    /// The virtual time at which the account's last request ends.
    finish: f64,
}

/// The order in which waiting requests start: by virtual finish time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    finish: f64,
    id: RequestId,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.finish.total_cmp(&other.finish).then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    account: Name,
    deadline: Instant,
    cost: Duration,
}

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many requests may be under way at once.
    pub max_concurrent: u32,
    /// How many may wait.
    pub max_queued: usize,
    /// The part of an account's limits that this node hands out, in thousandths.
    pub share: u32,
}

/// The longest time after which a refused caller is asked back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The shortest time after which a refused caller is asked back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How many of the next requests are looked through for one that is about to be late.
const LOOK_AHEAD: usize = 8;

/// The gate of one service at one node.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    setting: Limits,
    waiting: BTreeMap<Rank, Waiting>,
    usage: HashMap<Name, AccountUsage>,
    under_way: u32,
    queued: Duration,
    virtual_time: f64,
    /// Seconds of work that one place finishes in a second, learnt from what ends.
    pace: f64,
}

impl AdmissionQueue {
    /// An empty gate.
    pub fn new(setting: Limits) -> Self {
        Self {
            setting,
            waiting: BTreeMap::new(),
            usage: HashMap::new(),
            under_way: 0,
            queued: Duration::ZERO,
            virtual_time: 0.0,
            pace: 1.0,
        }
    }

    /// Changes the settings; what is under way stays so.
    pub fn set(&mut self, setting: Limits) {
        self.setting = setting;
    }

    /// How many requests wait.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// How many requests are under way.
    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// How many requests of an account wait or are under way.
    pub fn account_under_way(&self, account: &Name) -> u32 {
        self.usage.get(account).map_or(0, |u| u.under_way)
    }

    /// Judges an offer. `draw` is a random number from 0 to 1 that spreads the return of those
    /// that are refused.
    pub fn submit(
        &mut self,
        now: Instant,
        account: &Account,
        offer: AdmissionRequest,
        draw: f64,
    ) -> Decision {
        if let Some(refusal) = self.check_account(now, account, draw) {
            return Decision::Refuse(refusal);
        }
        let rank = self.rank(account, &offer);
        let at_once = self.under_way < self.setting.max_concurrent && self.waiting.is_empty();
        let ahead = if at_once { Duration::ZERO } else { self.work_ahead(rank) };
        if now + self.time_for(ahead) + self.own_time(offer.cost) > offer.deadline {
            return Decision::Refuse(self.refusal(Reason::Late, draw));
        }
        if !at_once && self.waiting.len() >= self.setting.max_queued && self.is_last(rank) {
            return Decision::Refuse(self.refusal(Reason::Full, draw));
        }
        self.charge(account, rank);
        if at_once {
            self.start(rank, offer.cost);
            return Decision::Start;
        }
        self.queued += offer.cost;
        let waiting =
            Waiting { account: offer.account, deadline: offer.deadline, cost: offer.cost };
        self.waiting.insert(rank, waiting);
        Decision::Wait
    }

    fn check_account(&mut self, now: Instant, account: &Account, draw: f64) -> Option<Refusal> {
        let share = f64::from(self.setting.share) / 1000.0;
        let rate = (f64::from(account.rate.0) * share).max(0.001);
        let burst = (f64::from(account.burst) * share).max(1.0);
        let limit = (f64::from(account.concurrency) * share).ceil().max(1.0) as u32;
        let usage = self.usage.entry(account.name.clone()).or_insert_with(|| AccountUsage {
            tokens: burst,
            filled: now,
            under_way: 0,
            finish: 0.0,
        });
        let passed = now.saturating_duration_since(usage.filled).as_secs_f64();
        usage.tokens = (usage.tokens + passed * rate).min(burst);
        usage.filled = now;
        if usage.under_way >= limit {
            return Some(self.refusal(Reason::Concurrency, draw));
        }
        if usage.tokens < 1.0 {
            let retry_after = Duration::from_secs_f64((1.0 - usage.tokens) / rate * (1.0 + draw));
            let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Some(Refusal { reason: Reason::Rate, retry_after });
        }
        None
    }

    fn charge(&mut self, account: &Account, rank: Rank) {
        let usage = self.usage.get_mut(&account.name).expect("checked before");
        usage.tokens -= 1.0;
        usage.under_way += 1;
        usage.finish = rank.finish;
    }

    /// The rank by weighted fair queuing: an account's next request ends, in virtual time, its
    /// cost by its weight after its last one, and never before now.
    fn rank(&self, account: &Account, offer: &AdmissionRequest) -> Rank {
        let weight = f64::from(account.weight.max(1)) * priority_weight(offer.priority);
        let last = self.usage.get(&account.name).map_or(0.0, |u| u.finish);
        let begin = last.max(self.virtual_time);
        Rank { finish: begin + offer.cost.as_secs_f64() / weight, id: offer.id }
    }

    fn is_last(&self, rank: Rank) -> bool {
        self.waiting.last_key_value().is_none_or(|(last, _)| rank > *last)
    }

    /// The work that starts before `rank`. A rank behind all others has all of it before it, which
    /// is the common case when the queue is long; others are summed up.
    fn work_ahead(&self, rank: Rank) -> Duration {
        if self.is_last(rank) {
            return self.queued;
        }
        self.waiting.range(..rank).map(|(_, w)| w.cost).sum()
    }

    /// How long the places need for `work`.
    fn time_for(&self, work: Duration) -> Duration {
        let places = f64::from(self.setting.max_concurrent.max(1));
        work.div_f64(places * self.pace)
    }

    fn own_time(&self, cost: Duration) -> Duration {
        cost.div_f64(self.pace)
    }

    fn refusal(&self, reason: Reason, draw: f64) -> Refusal {
        let clear = self.time_for(self.queued).max(MIN_RETRY_AFTER);
        let retry_after = clear.mul_f64(1.0 + draw).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal { reason, retry_after }
    }

    fn start(&mut self, rank: Rank, cost: Duration) {
        self.under_way += 1;
        let begin = rank.finish - cost.as_secs_f64();
        self.virtual_time = self.virtual_time.max(begin);
    }

    /// What becomes of waiting requests now: each that can no longer be on time is refused, and
    /// free places are filled. Call it whenever a place is freed, and on a timer.
    pub fn next(&mut self, now: Instant, mut draw: impl FnMut() -> f64) -> Vec<Event> {
        let mut events = Vec::new();
        self.refuse_late(now, &mut draw, &mut events);
        while self.under_way < self.setting.max_concurrent {
            let Some(rank) = self.select_next(now) else { break };
            let waiting = self.remove(rank);
            self.start(rank, waiting.cost);
            events.push(Event::Start(rank.id));
        }
        events
    }

    /// The next to start: the first in rank, unless one close behind it would become late by
    /// waiting for it.
    fn select_next(&self, now: Instant) -> Option<Rank> {
        let (first, head) = self.waiting.first_key_value()?;
        let turn = self.time_for(head.cost).max(MIN_RETRY_AFTER);
        let urgent = self
            .waiting
            .iter()
            .take(LOOK_AHEAD)
            .filter(|(_, w)| now + self.own_time(w.cost) + turn > w.deadline)
            .min_by_key(|(_, w)| w.deadline);
        Some(urgent.map_or(*first, |(rank, _)| *rank))
    }

    fn refuse_late(
        &mut self,
        now: Instant,
        draw: &mut impl FnMut() -> f64,
        events: &mut Vec<Event>,
    ) {
        let mut ahead = Duration::ZERO;
        let mut late = Vec::new();
        for (rank, waiting) in &self.waiting {
            let end = now + self.time_for(ahead) + self.own_time(waiting.cost);
            if end > waiting.deadline {
                late.push(*rank);
            } else {
                ahead += waiting.cost;
            }
        }
        for rank in late {
            let waiting = self.remove(rank);
            self.release(&waiting.account);
            events.push(Event::Refuse(rank.id, self.refusal(Reason::Late, draw())));
        }
    }

    fn remove(&mut self, rank: Rank) -> Waiting {
        let waiting = self.waiting.remove(&rank).expect("the rank was just seen");
        self.queued = self.queued.saturating_sub(waiting.cost);
        waiting
    }

    fn release(&mut self, account: &Name) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.under_way = usage.under_way.saturating_sub(1);
        }
    }

    /// Takes out a waiting request whose caller has gone. False if it does not wait.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(rank) = self.waiting.keys().find(|r| r.id == id).copied() else {
            return false;
        };
        let waiting = self.remove(rank);
        self.release(&waiting.account);
        true
    }

    /// Notes that a request under way has ended, after `took` where `cost` was expected.
    pub fn end(&mut self, account: &Name, cost: Duration, took: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        self.release(account);
        if let Some(took) = took {
            let seen = cost.as_secs_f64() / took.as_secs_f64().max(0.001);
            let seen = seen.clamp(MIN_PACE, MAX_PACE);
            self.pace += (seen - self.pace) * PACE_GAIN;
        }
    }

    /// Forgets accounts that have nothing under way and have had time to fill their bucket.
    pub fn evict_idle(&mut self, now: Instant, idle: Duration) {
        self.usage.retain(|_, u| u.under_way > 0 || now.saturating_duration_since(u.filled) < idle);
    }
}

/// How fast the pace follows what is seen.
const PACE_GAIN: f64 = 0.05;
/// The lowest pace that is believed.
const MIN_PACE: f64 = 0.1;
/// The highest pace that is believed.
const MAX_PACE: f64 = 10.0;
