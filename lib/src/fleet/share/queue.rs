//! The waiting work of a pool.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, EnumString, IntoStaticStr};

use super::ledger::{Charge, Level, Route};
use super::line::{Line, Place, Timing};
use super::{Account, Cost, Ledger, Weight};
use crate::fleet::rank::{LEVELS, Rank};

/// Work that may have to wait.
#[derive(Clone, Debug)]
pub struct Work<T> {
    /// The account.
    pub account: Account,
    /// The weight of the account's share.
    pub weight: Weight,
    /// The rank of the account and of the route.
    pub rank: Rank,
    /// The estimated cost.
    pub cost: Cost,
    /// The memory that it takes in the queue, in bytes.
    pub bytes: usize,
    /// When it must have started to be on time. After that it comes behind work of the same account
    /// and rank that can still be on time.
    pub due: Instant,
    /// When it must have started to be useful. After that it is refused.
    pub latest_start: Instant,
    /// What is to be done.
    pub item: T,
}

/// The bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The number of waiting requests.
    pub length: usize,
    /// Their memory.
    pub bytes: usize,
    /// How long one may wait.
    pub wait: Duration,
}

impl Default for Bounds {
    /// 1,024 requests are what a pool of 24 runners starts in several seconds. The memory is a
    /// fortieth of that of the smallest nodes. A caller waits 2 s without receiving anything.
    fn default() -> Self {
        Self { length: 1_024, bytes: 4 << 20, wait: Duration::from_secs(2) }
    }
}

/// The fraction of the length that one account may fill.
const MAX_ACCOUNT_FRACTION: usize = 4;
/// The number of accounts, and of requests of each, that are tried when a request does not fit.
const MAX_TRIED: (usize, usize) = (16, 4);
/// The shortest retry delay: a few engine steps, so that the situation can have changed.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest retry delay. Shares have changed by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// By how much the predicted wait must exceed the time left for work to be refused before that time
/// is over. The rate of an account varies by about this factor as others come and go.
const CERTAINTY: f64 = 2.0;

/// Why work is refused.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Its answer would come too late to be useful.
    Late,
    /// The account has more work waiting than it can get done in time.
    Share,
    /// The queue is full, and this was last in the order.
    Full,
}

/// Work that is refused.
#[derive(Clone, Debug)]
pub struct Refused<T> {
    /// The work.
    pub work: Work<T>,
    /// Why.
    pub reason: Reason,
    /// When the account can succeed.
    pub retry: Duration,
}

/// Work that starts now.
#[derive(Clone, Debug)]
pub struct Released<T> {
    /// The work.
    pub work: Work<T>,
    /// To be returned when it ends.
    pub ticket: Ticket,
}

/// The charge for work that has started.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use = "the charge must be corrected to the actual use when the work ends"]
pub struct Ticket(Charge);

/// A line of waiting work: the rank of its account, the account, and the rank of its route.
type Key = (u8, Account, Route);

/// The place of a line in the order.
type OrderKey = (u8, Level, Route, Account);

/// The waiting work of a pool, and the recent use of its accounts.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    ledger: Ledger,
    /// The time of runners that the pool has, in seconds per second.
    capacity: f64,
    lines: HashMap<Key, Line<T>>,
    /// The lines in the order in which they are served.
    order: BTreeSet<OrderKey>,
    /// All waiting work by the time at which it is overdue, or else no longer useful.
    deadlines: BTreeSet<(Instant, Place, Key)>,
    bytes: usize,
    arrivals: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ledger: Ledger::default(),
            capacity: 1.0,
            lines: HashMap::new(),
            order: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            bytes: 0,
            arrivals: 0,
        }
    }

    /// Sets the number of runners of the pool.
    pub fn set_runners(&mut self, runners: usize) {
        self.capacity = runners.max(1) as f64;
    }

    /// The recent use of accounts.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Adds work and returns what is refused because of it, which may be the work itself. Whether
    /// it starts at once is decided by the following calls of [`Queue::release`].
    pub fn submit(&mut self, work: Work<T>, now: Instant) -> Vec<Refused<T>> {
        let mut refused = self.expire(now);
        let key = (work.rank.account_level(), work.account, Route::of(work.rank));
        let mut work = work;
        work.latest_start = work.latest_start.min(now + self.bounds.wait);
        let timing = if work.due < now { Timing::Overdue } else { Timing::OnTime };
        let place = Place::of(&work, timing, self.arrivals);
        self.arrivals += 1;
        self.insert(key, place, work);
        self.shed_beyond_share(key, now, &mut refused);
        self.shed_beyond_bounds(&mut refused);
        refused
    }

    /// Removes the work that can no longer start in time to be useful. Work that is overdue is put
    /// behind work of its line that is not.
    pub fn expire(&mut self, now: Instant) -> Vec<Refused<T>> {
        let mut refused = Vec::new();
        while let Some((until, place, key)) = self.deadlines.first().copied()
            && until < now
        {
            match place.timing {
                Timing::Overdue => refused.extend(self.refuse(key, place, Reason::Late)),
                Timing::OnTime => {
                    let Some(work) = self.remove(key, place) else { continue };
                    let place = Place::of(&work, Timing::Overdue, place.arrival);
                    self.insert(key, place, work);
                }
            }
        }
        refused
    }

    /// Removes the first work in the order for which `fits` returns true, and charges its account.
    pub fn release(
        &mut self,
        now: Instant,
        mut fits: impl FnMut(&Work<T>) -> bool,
    ) -> Option<Released<T>> {
        let (key, place) =
            self.order.iter().take(MAX_TRIED.0).find_map(|(level, _, route, account)| {
                let key = (*level, *account, *route);
                let mut works = self.lines.get(&key)?.iter().take(MAX_TRIED.1);
                works.find(|(_, work)| fits(work)).map(|(place, _)| (key, place))
            })?;
        let work = self.remove(key, place)?;
        let (account, terms) = (work.account, (work.weight, key.2));
        let charge = self.reorder(account, |ledger| ledger.charge(account, terms, work.cost, now));
        Some(Released { work, ticket: Ticket(charge) })
    }

    /// Corrects the charge for work that has ended.
    pub fn settle(&mut self, ticket: Ticket, used: Cost, now: Instant) {
        self.reorder(ticket.0.account, |ledger| ledger.correct(&ticket.0, used, now));
    }

    /// Takes back the charge for work that was not started after all.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) {
        self.reorder(ticket.0.account, |ledger| ledger.refund(&ticket.0, now));
    }

    /// Forgets accounts that have used nothing of late. To be called about once a second.
    pub fn forget(&mut self, now: Instant) {
        self.ledger.forget(now);
        // The index holds the levels of the ledger, also those of forgotten accounts.
        self.order = self.lines.keys().map(|key| self.order_key(*key)).collect();
    }

    /// When an account that has this much work waiting can succeed with more.
    pub fn retry_delay(&self, account: Account, weight: Weight) -> Duration {
        let lines = keys_of(account).filter_map(|key| self.lines.get(&key));
        let waiting: Cost = lines.map(Line::cost).sum();
        let delay = waiting.secs() / self.rate(account, weight);
        let delay = Duration::from_secs_f64(delay.min(MAX_RETRY_DELAY.as_secs_f64()));
        (delay + self.ledger.cooldown(account)).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// The rate at which work of an account is released: its even share of the capacity, or what it
    /// has got of late if that is more.
    fn rate(&self, account: Account, weight: Weight) -> f64 {
        let accounts = self.ledger.len().max(self.lines.len()).max(1);
        let even = self.capacity * weight.factor() / accounts as f64;
        even.max(self.ledger.rate(account, weight)).max(f64::MIN_POSITIVE)
    }

    /// Refuses the last work of a line that it cannot get done in time.
    fn shed_beyond_share(&mut self, key: Key, now: Instant, refused: &mut Vec<Refused<T>>) {
        while let Some(line) = self.lines.get(&key)
            && let Some((place, work, ahead)) = line.last()
        {
            let left = work.latest_start.saturating_duration_since(now).as_secs_f64();
            let wait = ahead.secs() / self.rate(work.account, work.weight);
            let too_long = line.len() > self.bounds.length / MAX_ACCOUNT_FRACTION;
            if wait <= left * CERTAINTY && !too_long {
                return;
            }
            refused.extend(self.refuse(key, place, Reason::Share));
        }
    }

    /// Refuses the last work in the order until the bounds are kept.
    fn shed_beyond_bounds(&mut self, refused: &mut Vec<Refused<T>>) {
        while self.len() > self.bounds.length || self.bytes > self.bounds.bytes {
            let Some((level, _, route, account)) = self.order.last().copied() else { return };
            let key = (level, account, route);
            let Some((place, ..)) = self.lines.get(&key).and_then(Line::last) else { return };
            refused.extend(self.refuse(key, place, Reason::Full));
        }
    }

    fn refuse(&mut self, key: Key, place: Place, reason: Reason) -> Option<Refused<T>> {
        let work = self.remove(key, place)?;
        let retry = self.retry_delay(work.account, work.weight);
        Some(Refused { work, reason, retry })
    }

    fn insert(&mut self, key: Key, place: Place, work: Work<T>) {
        if !self.lines.contains_key(&key) {
            self.order.insert(self.order_key(key));
        }
        self.bytes += work.bytes;
        self.deadlines.insert((place.until, place, key));
        self.lines.entry(key).or_default().insert(place, work);
    }

    fn remove(&mut self, key: Key, place: Place) -> Option<Work<T>> {
        self.deadlines.remove(&(place.until, place, key));
        let line = self.lines.get_mut(&key)?;
        let work = line.remove(place)?;
        self.bytes -= work.bytes;
        if line.is_empty() {
            self.lines.remove(&key);
            self.order.remove(&self.order_key(key));
        }
        Some(work)
    }

    fn order_key(&self, (level, account, route): Key) -> OrderKey {
        (level, self.ledger.level(account, route), route, account)
    }

    /// Changes the use of an account and moves its lines in the order.
    fn reorder<R>(&mut self, account: Account, change: impl FnOnce(&mut Ledger) -> R) -> R {
        let keys = keys_of(account).filter(|key| self.lines.contains_key(key));
        let keys: SmallVec<[Key; 4]> = keys.collect();
        for key in &keys {
            self.order.remove(&self.order_key(*key));
        }
        let result = change(&mut self.ledger);
        for key in keys {
            self.order.insert(self.order_key(key));
        }
        result
    }
}

/// The possible lines of an account.
fn keys_of(account: Account) -> impl Iterator<Item = Key> {
    (0..LEVELS).flat_map(move |level| Route::all().map(move |route| (level, account, route)))
}
