//! Admission control: which requests a node accepts, in which order they start, and which are
//! refused.
//!
//! When thousands of clients send requests in the same second, a FIFO queue answers each of them
//! too late: work for a client that has given up is lost for one that still waits. Therefore the
//! queue only holds requests that can finish before their deadlines, ordered by weighted fair
//! queuing on cost. The others are refused as soon as they are known to be late, with a randomized
//! time to retry.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

use crate::config::object::{Account, Priority};
use crate::id::{Name, RequestId};

/// The factor by which a priority changes a request's weight. A higher priority gets a larger
/// share, so no priority is starved.
fn priority_weight(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.25,
        Priority::Normal => 1.0,
        Priority::High => 4.0,
        Priority::Urgent => 16.0,
    }
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// The client account.
    pub account: Name,
    /// The priority.
    pub priority: Priority,
    /// When the answer becomes worthless.
    pub deadline: Instant,
    /// The expected service time at pace 1.
    pub cost: Duration,
}

/// Why a request is refused. A refused request has not been sent to a runner, so it was not run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The account exceeds its rate.
    Rate,
    /// The account has too many concurrent requests.
    Concurrency,
    /// The answer would come after the deadline.
    Late,
    /// The node's queue is full.
    Full,
}

/// A refusal with a time to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
}

/// The decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It starts at once.
    Start,
    /// It waits until [`AdmissionQueue::next`] starts or refuses it.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// A change of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It starts.
    Start(RequestId),
    /// It is refused.
    Refuse(RequestId, Refusal),
}

/// The use that one account makes of one node.
#[derive(Clone, Debug)]
struct AccountUsage {
    tokens: f64,
    refilled_at: Instant,
    under_way: u32,
    /// The virtual time at which the account's last request finishes.
    virtual_finish: f64,
}

/// The order in which waiting requests start: by virtual finish time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    virtual_finish: f64,
    id: RequestId,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.virtual_finish.total_cmp(&other.virtual_finish).then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    account: Name,
    deadline: Instant,
    cost: Duration,
}

/// The limits of an admission queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many requests may run at once.
    pub max_concurrent: u32,
    /// How many may wait.
    pub max_queued: usize,
    /// The part of an account's limits that this node may use, in thousandths.
    pub share: u32,
}

/// The longest retry time given with a refusal.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The shortest retry time given with a refusal.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How many of the next requests are searched for one that is about to become late.
const LOOK_AHEAD: usize = 8;

/// The admission queue of one service at one node.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: Limits,
    waiting: BTreeMap<Rank, Waiting>,
    usage: HashMap<Name, AccountUsage>,
    under_way: u32,
    queued: Duration,
    virtual_time: f64,
    /// The ratio of expected to actual service time, learned from finished requests.
    pace: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            usage: HashMap::new(),
            under_way: 0,
            queued: Duration::ZERO,
            virtual_time: 0.0,
            pace: 1.0,
        }
    }

    /// Changes the limits. Running requests are not affected.
    pub fn set(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// The number of running requests.
    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// The number of waiting and running requests of an account.
    pub fn account_under_way(&self, account: &Name) -> u32 {
        self.usage.get(account).map_or(0, |u| u.under_way)
    }

    /// Decides about a request. `draw` is a random number from 0 to 1 that spreads the retry times
    /// of refused requests.
    pub fn submit(
        &mut self,
        now: Instant,
        account: &Account,
        request: AdmissionRequest,
        draw: f64,
    ) -> Decision {
        if let Some(refusal) = self.check_account(now, account, draw) {
            return Decision::Refuse(refusal);
        }
        let rank = self.rank(account, &request);
        let at_once = self.under_way < self.limits.max_concurrent && self.waiting.is_empty();
        let ahead = if at_once { Duration::ZERO } else { self.work_ahead(rank) };
        if now + self.queue_time(ahead) + self.service_time(request.cost) > request.deadline {
            return Decision::Refuse(self.refusal(Reason::Late, draw));
        }
        if !at_once && self.waiting.len() >= self.limits.max_queued && self.is_last(rank) {
            return Decision::Refuse(self.refusal(Reason::Full, draw));
        }
        self.charge(account, rank);
        if at_once {
            self.start(rank, request.cost);
            return Decision::Start;
        }
        self.queued += request.cost;
        let waiting =
            Waiting { account: request.account, deadline: request.deadline, cost: request.cost };
        self.waiting.insert(rank, waiting);
        Decision::Wait
    }

    fn check_account(&mut self, now: Instant, account: &Account, draw: f64) -> Option<Refusal> {
        let share = f64::from(self.limits.share) / 1000.0;
        let rate = (f64::from(account.rate.0) * share).max(0.001);
        let burst = (f64::from(account.burst) * share).max(1.0);
        let limit = (f64::from(account.concurrency) * share).ceil().max(1.0) as u32;
        let usage = self.usage.entry(account.name.clone()).or_insert_with(|| AccountUsage {
            tokens: burst,
            refilled_at: now,
            under_way: 0,
            virtual_finish: 0.0,
        });
        let elapsed = now.saturating_duration_since(usage.refilled_at).as_secs_f64();
        usage.tokens = (usage.tokens + elapsed * rate).min(burst);
        usage.refilled_at = now;
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
        usage.virtual_finish = rank.virtual_finish;
    }

    /// The rank by weighted fair queuing: in virtual time, an account's next request finishes its
    /// cost divided by its weight after the previous one, counted from the current virtual time at
    /// the earliest.
    fn rank(&self, account: &Account, request: &AdmissionRequest) -> Rank {
        let weight = f64::from(account.weight.max(1)) * priority_weight(request.priority);
        let last = self.usage.get(&account.name).map_or(0.0, |u| u.virtual_finish);
        let begin = last.max(self.virtual_time);
        Rank { virtual_finish: begin + request.cost.as_secs_f64() / weight, id: request.id }
    }

    fn is_last(&self, rank: Rank) -> bool {
        self.waiting.last_key_value().is_none_or(|(last, _)| rank > *last)
    }

    /// The work that starts before `rank`. For a rank behind all others this is the queued total,
    /// which is the common case when the queue is long; other ranks need a sum.
    fn work_ahead(&self, rank: Rank) -> Duration {
        if self.is_last(rank) {
            return self.queued;
        }
        self.waiting.range(..rank).map(|(_, w)| w.cost).sum()
    }

    /// How long it takes to finish `work` with all slots.
    fn queue_time(&self, work: Duration) -> Duration {
        let slots = f64::from(self.limits.max_concurrent.max(1));
        work.div_f64(slots * self.pace)
    }

    fn service_time(&self, cost: Duration) -> Duration {
        cost.div_f64(self.pace)
    }

    fn refusal(&self, reason: Reason, draw: f64) -> Refusal {
        let queue_time_now = self.queue_time(self.queued).max(MIN_RETRY_AFTER);
        let retry_after =
            queue_time_now.mul_f64(1.0 + draw).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal { reason, retry_after }
    }

    fn start(&mut self, rank: Rank, cost: Duration) {
        self.under_way += 1;
        let begin = rank.virtual_finish - cost.as_secs_f64();
        self.virtual_time = self.virtual_time.max(begin);
    }

    /// Refuses waiting requests that can no longer finish in time, and starts others in free slots.
    /// Call it whenever a request ends, and on a timer.
    pub fn next(&mut self, now: Instant, mut draw: impl FnMut() -> f64) -> Vec<Event> {
        let mut events = Vec::new();
        self.refuse_late(now, &mut draw, &mut events);
        while self.under_way < self.limits.max_concurrent {
            let Some(rank) = self.select_next(now) else { break };
            let waiting = self.remove(rank);
            self.start(rank, waiting.cost);
            events.push(Event::Start(rank.id));
        }
        events
    }

    /// The next request to start: the first in rank, unless one close behind it would become late
    /// by waiting for it.
    fn select_next(&self, now: Instant) -> Option<Rank> {
        let (first, first_waiting) = self.waiting.first_key_value()?;
        let delay = self.queue_time(first_waiting.cost).max(MIN_RETRY_AFTER);
        let urgent = self
            .waiting
            .iter()
            .take(LOOK_AHEAD)
            .filter(|(_, w)| now + self.service_time(w.cost) + delay > w.deadline)
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
            let end = now + self.queue_time(ahead) + self.service_time(waiting.cost);
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

    /// Removes a waiting request whose client has disconnected. Returns `false` if it is not
    /// waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(rank) = self.waiting.keys().find(|r| r.id == id).copied() else {
            return false;
        };
        let waiting = self.remove(rank);
        self.release(&waiting.account);
        true
    }

    /// Records the end of a running request. `took` is its service time, `cost` the expected one.
    pub fn end(&mut self, account: &Name, cost: Duration, took: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        self.release(account);
        if let Some(took) = took {
            let observed = cost.as_secs_f64() / took.as_secs_f64().max(0.001);
            let observed = observed.clamp(MIN_PACE, MAX_PACE);
            self.pace += (observed - self.pace) * PACE_GAIN;
        }
    }

    /// Removes accounts that have no requests and have been idle long enough to refill their
    /// bucket.
    pub fn evict_idle(&mut self, now: Instant, idle: Duration) {
        self.usage
            .retain(|_, u| u.under_way > 0 || now.saturating_duration_since(u.refilled_at) < idle);
    }
}

/// The gain of the moving average of the pace.
const PACE_GAIN: f64 = 0.05;
/// The lowest accepted pace.
const MIN_PACE: f64 = 0.1;
/// The highest accepted pace.
const MAX_PACE: f64 = 10.0;
