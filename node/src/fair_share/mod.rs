//! Fair shares at one node: the waiting work of the pools that it schedules, and the use of its own
//! requests, which it reports to the schedulers that let them start.
//!
//! The module decides neither where work runs nor when runners have room; the caller passes that
//! in. All state is lost with the node. Another scheduler then starts with even shares.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::{Decision, Firmness, Query, Step};
use sardinepick_lib::fleet::share::{
    Account, Bounds, Queue, Refused, Runner, Ticket, Usage, Weight, Work,
};
use sardinepick_lib::id::{NodeId, ServiceId};
use tokio::sync::{Notify, oneshot};

use crate::lock::lock;
use memory::Memory;

mod memory;
mod meter;

pub use meter::{Charge, Meter, PrefillMeter, StreamMeter};

/// After how long a node that was told to wait asks again (wire protocol).
pub const ASK_AGAIN: Duration = Duration::from_millis(100);
/// After this long without a question, waiting work counts as abandoned: its caller has left, or its
/// node asks another scheduler. Two lost questions are allowed for.
const ABANDONED_AFTER: Duration = Duration::from_millis(350);
/// The number of queries that are tried before the pool counts as full. A query that does not fit
/// for a reason of its own, such as its version, does not hold up the others.
const MAX_TRIES: usize = 3;
/// The longest time for which a charge awaits its correction. It covers the longest streams; a node
/// that has ended by then does not report.
const TICKET_TTL: Duration = Duration::from_secs(600);
/// The maximum number of charges that await their correction. The oldest remain as estimated.
const MAX_TICKETS: usize = 16_384;
/// The memory that waiting work takes besides its prompt parts and skipped runners, in bytes.
const WORK_BYTES: usize = 1_024;
/// The memory of one prompt part or skipped runner, in bytes.
const ITEM_BYTES: usize = 32;

/// A pool of runners of a service.
pub type PoolKey = (ServiceId, Pool);

/// The request of a node for a decision.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Asker {
    /// The node.
    pub node: NodeId,
    /// The number of its query.
    pub number: u64,
}

/// Where a decision goes.
#[derive(Debug)]
pub enum Reply {
    /// To another node.
    Peer(SocketAddr),
    /// To a task of this node.
    Here(oneshot::Sender<Decision>),
}

/// A query that waits.
#[derive(Debug)]
pub struct Waiting {
    /// Who asked.
    pub asker: Asker,
    /// Where the decision goes.
    pub reply: Reply,
    /// The query, as of `since`.
    pub query: Box<Query>,
    /// When it was asked first.
    pub since: Instant,
    /// What the request is expected to take.
    pub estimate: Estimate,
}

/// A final decision for a query that has waited.
#[derive(Debug)]
pub struct Verdict {
    /// The query.
    pub waiting: Waiting,
    /// The decision.
    pub decision: Decision,
}

/// What a request is expected to take.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Its use of runners.
    pub usage: Usage,
    /// The capacity of one runner.
    pub runner: Runner,
    /// The time from the start of its prefill to its first event.
    pub first_event: Duration,
}

#[derive(Debug)]
struct Open {
    pool: PoolKey,
    ticket: Ticket,
    runner: Runner,
    since: Instant,
}

#[derive(Debug, Default)]
struct State {
    queues: HashMap<PoolKey, Queue<Waiting>>,
    /// When the node of each waiting query last asked.
    asked: HashMap<Asker, Instant>,
    decided: Memory,
    /// Charges that await their correction.
    open: HashMap<Asker, Open>,
    /// The use of requests of this node that other schedulers have not been told yet.
    unsent: HashMap<SocketAddr, Vec<(u64, Usage)>>,
}

/// The fair shares of the pools that this node schedules.
pub struct FairShares {
    is_enabled: bool,
    me: NodeId,
    clock: Arc<dyn Clock>,
    numbers: AtomicU64,
    state: Mutex<State>,
    /// Signals that runners may have room, or that there is something to send.
    pub wake: Notify,
}

impl FairShares {
    /// Creates the state of node `me`.
    pub fn new(is_enabled: bool, me: NodeId, clock: Arc<dyn Clock>) -> Self {
        let (numbers, state, wake) = (AtomicU64::new(0), Mutex::default(), Notify::new());
        Self { is_enabled, me, clock, numbers, state, wake }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The account by which a request is scheduled: none where shares are disabled.
    pub fn account(&self, name: Option<&str>) -> Account {
        name.filter(|_| self.is_enabled).map_or(Account::NONE, Account::of)
    }

    /// Whether a query may have to wait for its account's turn. Work that has run is never delayed.
    pub fn applies(&self, query: &Query) -> bool {
        self.is_enabled
            && query.account != Account::NONE
            && query.step == Step::Start(Firmness::New)
    }

    /// An asker for a query of this node to itself.
    pub fn own_asker(&self) -> Asker {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        Asker { node: self.me.clone(), number }
    }

    /// What is known of a query that is asked again: its decision if that was made lately, or that it
    /// still waits.
    pub fn recall(&self, asker: &Asker, query: &Query) -> Option<Decision> {
        let now = self.clock.now();
        let mut state = self.state();
        if let Some(asked) = state.asked.get_mut(asker) {
            *asked = now;
            return Some(Decision::Waiting(ASK_AGAIN));
        }
        state.decided.get(asker, query, now)
    }

    /// Adds a query to the queue of its pool. Returns the queries that are refused because of it,
    /// which may be the query itself.
    pub fn submit(&self, pool: &PoolKey, waiting: Waiting) -> Vec<Verdict> {
        let now = self.clock.now();
        let mut state = self.state();
        let queue =
            state.queues.entry(pool.clone()).or_insert_with(|| Queue::new(Bounds::default()));
        let asker = waiting.asker.clone();
        let refused = queue.submit(work(waiting, now), now);
        // Inserted before the refusals, of which the query may be one.
        state.asked.insert(asker, now);
        state.refuse(refused, now)
    }

    /// Lets the next query start for which `place` finds a placement, and charges its account.
    pub fn release(
        &self,
        pool: &PoolKey,
        runners: usize,
        mut place: impl FnMut(&Query) -> Option<Decision>,
    ) -> Option<Verdict> {
        let now = self.clock.now();
        let mut state = self.state();
        let State { queues, asked, .. } = &mut *state;
        let queue = queues.get_mut(pool)?;
        queue.set_runners(runners);
        loop {
            let mut decision = None;
            let mut tries = 0;
            let released = queue.release(now, |work| {
                if is_abandoned(&work.item, asked, now) {
                    return true;
                }
                tries += 1;
                if tries > MAX_TRIES {
                    return false;
                }
                let waited = now.saturating_duration_since(work.item.since);
                decision = place(&work.item.query.after(waited));
                decision.is_some()
            })?;
            let waiting = released.work.item;
            asked.remove(&waiting.asker);
            let Some(decision) = decision else {
                queue.cancel(released.ticket, now);
                continue;
            };
            let runner = waiting.estimate.runner;
            let open = Open { pool: pool.clone(), ticket: released.ticket, runner, since: now };
            state.open(waiting.asker.clone(), open);
            return Some(state.decide(waiting, decision, now));
        }
    }

    /// Refuses what can no longer be in time, in all pools.
    pub fn expire(&self) -> Vec<Verdict> {
        let now = self.clock.now();
        let mut state = self.state();
        let expired = state.queues.values_mut().flat_map(|queue| queue.expire(now)).collect();
        state.refuse(expired, now)
    }

    /// Forgets what is no longer needed. To be called about once a second.
    pub fn forget(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        for queue in state.queues.values_mut() {
            queue.forget(now);
        }
        state.queues.retain(|_, queue| !queue.is_empty() || !queue.ledger().is_empty());
        state.open.retain(|_, open| now.saturating_duration_since(open.since) < TICKET_TTL);
        state.decided.forget(now);
    }

    /// The pools in which queries wait.
    pub fn waiting_pools(&self) -> Vec<PoolKey> {
        let state = self.state();
        let waiting = state.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Whether a query waits.
    pub fn is_waiting(&self, asker: &Asker) -> bool {
        self.state().asked.contains_key(asker)
    }

    /// Corrects the charge for a query to what its request used.
    pub fn settle(&self, asker: &Asker, usage: Usage) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(open) = state.open.remove(asker) else { return };
        let Some(queue) = state.queues.get_mut(&open.pool) else { return };
        if usage == Usage::default() {
            // It reached no runner, which says nothing of the costs that the account announces.
            queue.cancel(open.ticket, now);
        } else {
            queue.settle(open.ticket, usage.cost(open.runner), now);
        }
    }

    /// Reports what a request of this node used to the scheduler that let it start.
    fn note_used(&self, charge: &Charge, usage: Usage) {
        match charge.scheduler {
            None => {
                let asker = Asker { node: self.me.clone(), number: charge.number };
                self.settle(&asker, usage);
            }
            Some(peer) => {
                self.state().unsent.entry(peer).or_default().push((charge.number, usage));
                self.wake.notify_one();
            }
        }
    }

    /// The number of charges that await their correction.
    pub fn open_charges(&self) -> usize {
        self.state().open.len()
    }

    /// What an account used of late in the pools that this node schedules, in time of one runner.
    pub fn recent(&self, account: Account) -> Duration {
        let state = self.state();
        let used = state.queues.values().map(|queue| queue.ledger().recent(account).secs());
        Duration::from_secs_f64(used.sum())
    }

    /// Takes what has to be sent to schedulers.
    pub fn take_unsent(&self) -> HashMap<SocketAddr, Vec<(u64, Usage)>> {
        std::mem::take(&mut self.state().unsent)
    }
}

impl State {
    fn refuse(&mut self, refused: Vec<Refused<Waiting>>, now: Instant) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for Refused { work, reason, retry } in refused {
            let is_heard = !is_abandoned(&work.item, &self.asked, now);
            self.asked.remove(&work.item.asker);
            if is_heard {
                verdicts.push(self.decide(work.item, Decision::Refused { reason, retry }, now));
            }
        }
        verdicts
    }

    fn decide(&mut self, waiting: Waiting, decision: Decision, now: Instant) -> Verdict {
        if let Reply::Peer(_) = waiting.reply {
            self.decided.note(&waiting.asker, &waiting.query, decision.clone(), now);
        }
        Verdict { waiting, decision }
    }

    fn open(&mut self, asker: Asker, open: Open) {
        if self.open.len() < MAX_TICKETS {
            self.open.insert(asker, open);
        }
    }
}

/// Whether the node that asked has not asked again in time.
fn is_over(asked: Instant, now: Instant) -> bool {
    now.saturating_duration_since(asked) > ABANDONED_AFTER
}

fn is_abandoned(waiting: &Waiting, asked: &HashMap<Asker, Instant>, now: Instant) -> bool {
    match &waiting.reply {
        Reply::Here(sender) => sender.is_closed(),
        Reply::Peer(_) => asked.get(&waiting.asker).is_none_or(|at| is_over(*at, now)),
    }
}

/// The work of a query in the queue.
fn work(waiting: Waiting, now: Instant) -> Work<Waiting> {
    let Waiting { query, estimate, .. } = &waiting;
    let terms = &query.terms;
    let start_by = |within: Duration| {
        now + within.saturating_sub(estimate.first_event).min(Bounds::default().wait)
    };
    let waited = query.waited.min(Bounds::default().wait);
    let latest_start = start_by(terms.useful_within()).min(now + (Bounds::default().wait - waited));
    Work {
        account: query.account,
        weight: Weight::default(),
        rank: terms.class.rank().unwrap_or_default(),
        cost: estimate.usage.cost(estimate.runner),
        bytes: WORK_BYTES + (query.work.chain.0.len() + query.skip.len()) * ITEM_BYTES,
        due: start_by(terms.on_time_within()),
        latest_start,
        item: waiting,
    }
}
