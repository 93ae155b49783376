//! The runners of one service as this node uses them: its gate, its views and its retry budget.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::admit::{AdmissionQueue, AdmissionRequest, Decision, Event, Limits, Refusal};
use sardinepick_lib::budget::Budget;
use sardinepick_lib::choose::{self, Prediction};
use sardinepick_lib::clock::Clock;
use sardinepick_lib::config::object::{Account, Runner, Service};
use sardinepick_lib::id::{Name, RequestId};
use sardinepick_lib::role::{Demand, Estimate};
use sardinepick_lib::runner::{Prefix, Report, RunnerView, Work};
use sardinepick_lib::unit::{Percent, Tokens};
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// By how much the requests that all nodes may have under way exceed the slots of their runners.
/// Load is never spread evenly over nodes, and a runner that always has a next request at hand does
/// not idle between two.
const OVERCOMMIT: u32 = 2;

/// The gain with which the length of outputs, as a part of what callers allow, is learnt.
const OUTPUT_GAIN: f64 = 0.02;

/// A pool that can be shared.
pub type Shared = Arc<Pool>;

/// The runners of one service at one node.
pub struct Pool {
    /// The service.
    pub service: Name,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

struct Place {
    address: SocketAddr,
    view: usize,
}

struct Inner {
    gate: AdmissionQueue,
    views: Vec<RunnerView>,
    places: HashMap<Name, Place>,
    setting: choose::Settings,
    budget: Budget,
    waiting: HashMap<RequestId, Waiter>,
    output_part: f64,
    arrived: Demand,
    nodes: u32,
    estimate: Estimate,
    rng: StdRng,
}

struct Waiter {
    account: Name,
    cost: Duration,
    sender: oneshot::Sender<Result<(), Refusal>>,
}

/// The state of a pool as operators see it.
#[derive(Clone, Debug)]
pub struct Peek {
    /// The runners.
    pub views: Vec<RunnerView>,
    /// Requests that wait.
    pub queue: usize,
    /// Requests under way.
    pub under_way: u32,
    /// The estimate of demand.
    pub estimate: Estimate,
}

impl Pool {
    /// A pool without runners.
    pub fn new(service: Name, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let now = clock.now();
        let gate = AdmissionQueue::new(Limits { max_concurrent: 0, max_queued: 0, share: 1000 });
        let inner = Inner {
            gate,
            views: Vec::new(),
            places: HashMap::new(),
            setting: choose::Settings::default(),
            budget: Budget::new(Percent(0), now),
            waiting: HashMap::new(),
            output_part: 1.0,
            arrived: Demand::default(),
            nodes: 1,
            estimate: Estimate::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self { service, clock, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the pool's lock panics")
    }

    /// Takes in a configuration: the runners that this node uses, how many nodes share each, and
    /// how many nodes there are. What is known of runners that stay is kept.
    pub fn configure(
        &self,
        service: &Service,
        runners: &[(&Runner, u32)],
        nodes: u32,
        max_queued: usize,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut views = Vec::with_capacity(runners.len());
        let mut places = HashMap::with_capacity(runners.len());
        let mut slots = 0.0;
        let mut sharers = 1;
        for (runner, shared) in runners {
            let same = |p: &&Place| p.address == runner.address;
            let old = inner.places.get(&runner.name).filter(same).map(|p| p.view);
            let mut view = match old {
                Some(at) => inner.views[at].clone(),
                None => RunnerView::new(runner.name.clone(), runner.slots, runner.state),
            };
            view.state = runner.state;
            view.slots = runner.slots;
            slots += f64::from(runner.slots) / f64::from((*shared).max(1));
            sharers = sharers.max(*shared);
            places
                .insert(runner.name.clone(), Place { address: runner.address, view: views.len() });
            views.push(view);
        }
        inner.views = views;
        inner.places = places;
        inner.setting.nodes_per_runner = sharers;
        inner.nodes = nodes;
        let max_concurrent = (slots * f64::from(OVERCOMMIT)).ceil().max(1.0) as u32;
        let share = 1000_u32.div_ceil(nodes.max(1)).saturating_mul(SHARE_SLACK).min(1000);
        inner.gate.set(Limits { max_concurrent, max_queued, share });
        inner.budget.set_share(service.retry_budget);
        let events = inner.pump(now);
        drop(inner);
        self.deliver(events);
    }

    /// The work of a request: what it will cost a place, with its output guessed from what
    /// outputs lately came to.
    pub fn estimate_work(&self, prompt: u32, max_tokens: u32, prefix: Prefix) -> Work {
        let inner = self.lock();
        let output = (f64::from(max_tokens) * inner.output_part).ceil().max(1.0) as u32;
        Work { prompt: Tokens(prompt), output: Tokens(output), prefix, cached: Tokens(prompt / 2) }
    }

    /// How long `work` occupies a place.
    pub fn cost(&self, work: &Work) -> Duration {
        let inner = self.lock();
        let (prefill, decode) = inner.rates();
        let seconds = f64::from(work.prompt.0) / prefill + f64::from(work.output.0) / decode;
        Duration::from_secs_f64(seconds.max(0.001))
    }

    /// Notes the work of a request for the estimate of demand.
    pub fn note_arrival(&self, work: &Work) {
        let mut inner = self.lock();
        let (prefill, decode) = inner.rates();
        inner.arrived.prefill += f64::from(work.prompt.0) / prefill;
        let slots = inner.views.first().map_or(1, |v| v.slots.max(1));
        inner.arrived.decode += f64::from(work.output.0) / decode / f64::from(slots);
        inner.budget.record_first_attempt();
    }

    /// Closes one sample of demand.
    pub fn sample_demand(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let arrived = std::mem::take(&mut inner.arrived);
        // Look-ups spread the callers evenly, so what comes here comes to every other node as well.
        // Roles are decided for the whole service: one node's part alone would look like idleness.
        let nodes = f64::from(inner.nodes);
        let all = Demand { prefill: arrived.prefill * nodes, decode: arrived.decode * nodes };
        inner.estimate.add_sample(now, all);
        inner.gate.evict_idle(now, IDLE_ACCOUNT);
    }

    /// Notes how much of the output that was allowed has come.
    pub fn note_output(&self, allowed: u64, came: u64) {
        if allowed == 0 {
            return;
        }
        let mut inner = self.lock();
        let part = came as f64 / allowed as f64;
        inner.output_part += (part.min(1.0) - inner.output_part) * OUTPUT_GAIN;
    }

    /// Asks to be admitted, and waits for it if need be.
    ///
    /// # Errors
    /// The refusal. The request was not run.
    pub async fn enter(
        self: &Arc<Self>,
        account: &Account,
        offer: AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        let permit = |pool: &Arc<Self>, cost| Permit {
            pool: pool.clone(),
            account: account.name.clone(),
            cost,
            began: pool.clock.now(),
            took: None,
        };
        let cost = offer.cost;
        let id = offer.id;
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.clock.now();
            let mut inner = self.lock();
            let draw = inner.rng.random();
            match inner.gate.submit(now, account, offer, draw) {
                Decision::Start => return Ok(permit(self, cost)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait => {
                    let waiter = Waiter { account: account.name.clone(), cost, sender };
                    inner.waiting.insert(id, waiter);
                }
            }
        }
        let mut wait = Wait {
            pool: self.clone(),
            id,
            account: account.name.clone(),
            cost,
            receiver: Some(receiver),
        };
        let receiver = wait.receiver.as_mut().expect("the receiver was just put there");
        let outcome = receiver.await;
        wait.receiver = None;
        match outcome {
            Ok(Ok(())) => Ok(permit(self, cost)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => unreachable!("waiters are answered before they are dropped"),
        }
    }

    /// Looks after the queue: refuses what has become late, starts what fits.
    pub fn pump(&self) {
        let now = self.clock.now();
        let events = self.lock().pump(now);
        self.deliver(events);
    }

    /// Answers waiters without the lock held. A place that was given to a caller who has gone in
    /// the meantime is given back.
    fn deliver(&self, due: Vec<(Waiter, Result<(), Refusal>)>) {
        let mut freed = false;
        for (waiter, outcome) in due {
            let started = outcome.is_ok();
            if waiter.sender.send(outcome).is_err() && started {
                self.lock().gate.end(&waiter.account, waiter.cost, None);
                freed = true;
            }
        }
        if freed {
            self.pump();
        }
    }

    /// Chooses a runner for `work` among those not in `tried`.
    pub fn bind(self: &Arc<Self>, work: &Work, tried: &[Name]) -> Option<Ticket> {
        let now = self.clock.now();
        let mut guard = self.lock();
        let inner = &mut *guard;
        let skip: SmallVec<[usize; 4]> =
            tried.iter().filter_map(|n| inner.places.get(n)).map(|p| p.view).collect();
        let choice = choose::choose(&inner.views, work, now, inner.setting, &skip, &mut inner.rng)?;
        let view = &mut inner.views[choice.at];
        view.record_sent(now, work);
        let runner = view.name.clone();
        let address = inner.places.get(&runner)?.address;
        Some(Ticket {
            pool: self.clone(),
            runner,
            address,
            prediction: choice.prediction,
            work: *work,
            sent: now,
            first: None,
            fault: false,
        })
    }

    /// What would be chosen for `work`, and what is predicted of every runner.
    pub fn explain(&self, work: &Work) -> Vec<(RunnerView, Prediction, bool)> {
        let now = self.clock.now();
        let inner = self.lock();
        let predict = |v: &RunnerView| {
            let prediction = choose::predict(v, work, now, inner.setting);
            (v.clone(), prediction, v.takes_work(now))
        };
        inner.views.iter().map(predict).collect()
    }

    /// Takes a retry out of the budget.
    pub fn take_retry(&self) -> bool {
        let now = self.clock.now();
        self.lock().budget.take(now)
    }

    /// Takes in a report that is `age` old.
    pub fn take_report(&self, runner: &Name, age: Duration, report: Report) {
        let now = self.clock.now();
        let at = now.checked_sub(age).unwrap_or(now);
        let mut inner = self.lock();
        let Some(place) = inner.places.get(runner).map(|p| p.view) else { return };
        inner.views[place].apply_report(at, report);
    }

    /// Notes that a runner said itself that it leaves.
    pub fn note_leaving(&self, runner: &Name) {
        self.with_view(runner, |view| view.leaving = true);
    }

    /// Gives a runner no new work for `span`.
    pub fn reserve(&self, runner: &Name, span: Duration) {
        let until = self.clock.now() + span;
        self.with_view(runner, |view| view.reserved_until = Some(until));
    }

    fn with_view(&self, runner: &Name, change: impl FnOnce(&mut RunnerView)) {
        let mut inner = self.lock();
        let Some(at) = inner.places.get(runner).map(|p| p.view) else { return };
        change(&mut inner.views[at]);
    }

    /// The state for operators.
    pub fn peek(&self) -> Peek {
        let inner = self.lock();
        Peek {
            views: inner.views.clone(),
            queue: inner.gate.queue_len(),
            under_way: inner.gate.under_way(),
            estimate: inner.estimate.clone(),
        }
    }

    /// How many requests of an account wait or are under way.
    pub fn account_under_way(&self, account: &Name) -> u32 {
        self.lock().gate.account_under_way(account)
    }

    /// The runners with their addresses.
    pub fn runners(&self) -> Vec<(Name, SocketAddr)> {
        let inner = self.lock();
        inner.views.iter().map(|v| (v.name.clone(), inner.places[&v.name].address)).collect()
    }
}

/// By how much the shares that nodes hand out of an account's limits exceed the whole, since
/// callers are not spread evenly over the nodes.
const SHARE_SLACK: u32 = 2;

/// After how long an idle account's usage is forgotten.
const IDLE_ACCOUNT: Duration = Duration::from_secs(300);

impl Inner {
    /// The prompt tokens a second of a runner and the output tokens a second of one request.
    fn rates(&self) -> (f64, f64) {
        let first = self.views.first().map(|v| v.report).unwrap_or_default();
        let or = |rate: u32, default: u32| f64::from(if rate > 0 { rate } else { default });
        let prefill = or(first.prefill_rate.0, sardinepick_lib::runner::DEFAULT_PREFILL_RATE.0);
        let decode = or(first.decode_rate.0, sardinepick_lib::runner::DEFAULT_DECODE_RATE.0);
        (prefill, decode)
    }

    fn pump(&mut self, now: Instant) -> Vec<(Waiter, Result<(), Refusal>)> {
        let rng = &mut self.rng;
        let events = self.gate.next(now, || rng.random());
        let mut due = Vec::new();
        for event in events {
            let (id, outcome) = match event {
                Event::Start(id) => (id, Ok(())),
                Event::Refuse(id, refusal) => (id, Err(refusal)),
            };
            if let Some(waiter) = self.waiting.remove(&id) {
                due.push((waiter, outcome));
            }
        }
        due
    }
}

/// A request that waits; dropping it takes the request out of the queue.
struct Wait {
    pool: Arc<Pool>,
    id: RequestId,
    account: Name,
    cost: Duration,
    receiver: Option<oneshot::Receiver<Result<(), Refusal>>>,
}

impl Drop for Wait {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else { return };
        // After closing, a place cannot be given out any more; one that was given out before must
        // be given back, or it would be lost for good.
        receiver.close();
        let given = matches!(receiver.try_recv(), Ok(Ok(())));
        {
            let mut inner = self.pool.lock();
            inner.waiting.remove(&self.id);
            inner.gate.cancel(self.id);
            if given {
                inner.gate.end(&self.account, self.cost, None);
            }
        }
        if given {
            self.pool.pump();
        }
    }
}

/// The right to be under way. Dropping it frees the place.
pub struct Permit {
    pool: Arc<Pool>,
    account: Name,
    cost: Duration,
    began: Instant,
    took: Option<Duration>,
}

impl Permit {
    /// Notes that the request came to its end, so that its time teaches the gate its pace.
    pub fn note_finished(&mut self) {
        let now = self.pool.clock.now();
        self.took = Some(now.saturating_duration_since(self.began));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.lock().gate.end(&self.account, self.cost, self.took);
        self.pool.pump();
    }
}

/// One attempt at one runner. Dropping it ends the attempt, without blame unless a fault was told.
pub struct Ticket {
    pool: Arc<Pool>,
    /// The runner.
    pub runner: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What was predicted.
    pub prediction: Prediction,
    work: Work,
    sent: Instant,
    first: Option<Instant>,
    fault: bool,
}

impl Ticket {
    /// The first token has come.
    pub fn note_first(&mut self) {
        let now = self.pool.clock.now();
        if self.first.replace(now).is_some() {
            return;
        }
        let mut inner = self.pool.lock();
        let Some(at) = inner.places.get(&self.runner).map(|p| p.view) else { return };
        inner.views[at].record_first_token(now, &self.work);
        inner.views[at].record_cached(self.work.prefix, now);
    }

    /// The attempt was answered whole.
    pub fn done(self) {
        let now = self.pool.clock.now();
        let stayed = now.saturating_duration_since(self.sent).as_secs_f64();
        let mut inner = self.pool.lock();
        inner.setting.observe_residence(stayed);
        if let Some(at) = inner.places.get(&self.runner).map(|p| p.view) {
            inner.views[at].record_success();
        }
    }

    /// The attempt failed through the runner.
    pub fn fault(mut self, leaving: bool) {
        self.fault = !leaving;
        if leaving {
            self.pool.note_leaving(&self.runner);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        let pending = if self.first.is_some() { Tokens(0) } else { self.work.prompt };
        let fault = self.fault;
        self.pool.with_view(&self.runner, |view| {
            view.record_end(now, pending);
            if fault {
                view.record_fault(now);
            }
        });
    }
}
