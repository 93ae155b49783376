//! The runner pool of one service at this node: admission queue, views of the runners, retry
//! budget.

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

/// The ratio of the requests that all nodes together may have in progress to the slots of their
/// runners. It is above 1 because load is not spread evenly over nodes, and because a runner with a
/// queued request does not idle between two requests.
const OVERCOMMIT_FACTOR: u32 = 2;

/// The smoothing factor of the average output length, as a share of the allowed length.
const OUTPUT_SHARE_GAIN: f64 = 0.02;

/// A shared reference to a pool.
pub type SharedPool = Arc<Pool>;

/// The runner pool of one service.
pub struct Pool {
    /// The service.
    pub service: Name,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

struct RunnerEntry {
    address: SocketAddr,
    view: usize,
}

struct Inner {
    admission: AdmissionQueue,
    views: Vec<RunnerView>,
    entries: HashMap<Name, RunnerEntry>,
    choice_settings: choose::Settings,
    budget: Budget,
    waiting: HashMap<RequestId, Waiter>,
    output_share: f64,
    arrived_demand: Demand,
    node_count: u32,
    estimate: Estimate,
    rng: StdRng,
}

struct Waiter {
    account: Name,
    cost: Duration,
    sender: oneshot::Sender<Result<(), Refusal>>,
}

/// The state of a pool, for operators and role decisions.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// The runners.
    pub views: Vec<RunnerView>,
    /// Queued requests.
    pub queue: usize,
    /// Requests in progress.
    pub in_progress: u32,
    /// The demand estimate.
    pub estimate: Estimate,
}

impl Pool {
    /// Creates a pool without runners.
    pub fn new(service: Name, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let now = clock.now();
        let admission =
            AdmissionQueue::new(Limits { max_concurrent: 0, max_queued: 0, share: 1000 });
        let inner = Inner {
            admission,
            views: Vec::new(),
            entries: HashMap::new(),
            choice_settings: choose::Settings::default(),
            budget: Budget::new(Percent(0), now),
            waiting: HashMap::new(),
            output_share: 1.0,
            arrived_demand: Demand::default(),
            node_count: 1,
            estimate: Estimate::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self { service, clock, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("pool lock poisoned")
    }

    /// Applies a configuration: the runners that this node uses, how many nodes share each, and the
    /// number of nodes. The views of runners that remain are kept.
    pub fn configure(
        &self,
        service: &Service,
        runners: &[(&Runner, u32)],
        node_count: u32,
        max_queued: usize,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut views = Vec::with_capacity(runners.len());
        let mut entries = HashMap::with_capacity(runners.len());
        let mut slot_share = 0.0;
        let mut max_shared = 1;
        for (runner, shared) in runners {
            let same = |p: &&RunnerEntry| p.address == runner.address;
            let old = inner.entries.get(&runner.name).filter(same).map(|p| p.view);
            let mut view = match old {
                Some(index) => inner.views[index].clone(),
                None => RunnerView::new(runner.name.clone(), runner.slots, runner.state),
            };
            view.state = runner.state;
            view.slots = runner.slots;
            slot_share += f64::from(runner.slots) / f64::from((*shared).max(1));
            max_shared = max_shared.max(*shared);
            entries.insert(
                runner.name.clone(),
                RunnerEntry { address: runner.address, view: views.len() },
            );
            views.push(view);
        }
        inner.views = views;
        inner.entries = entries;
        inner.choice_settings.nodes_per_runner = max_shared;
        inner.node_count = node_count;
        let max_concurrent = (slot_share * f64::from(OVERCOMMIT_FACTOR)).ceil().max(1.0) as u32;
        let share =
            1000_u32.div_ceil(node_count.max(1)).saturating_mul(ACCOUNT_SHARE_FACTOR).min(1000);
        inner.admission.set(Limits { max_concurrent, max_queued, share });
        inner.budget.set_share(service.retry_budget);
        let decisions = inner.poll_admission(now);
        drop(inner);
        self.notify_waiters(decisions);
    }

    /// Estimates the work of a request. The output length is estimated from recent outputs.
    pub fn estimate_work(&self, prompt: u32, max_tokens: u32, prefix: Prefix) -> Work {
        let inner = self.lock();
        let output = (f64::from(max_tokens) * inner.output_share).ceil().max(1.0) as u32;
        Work { prompt: Tokens(prompt), output: Tokens(output), prefix, cached: Tokens(prompt / 2) }
    }

    /// Returns how long `work` occupies a slot.
    pub fn cost(&self, work: &Work) -> Duration {
        let inner = self.lock();
        let (prefill, decode) = inner.rates();
        let seconds = f64::from(work.prompt.0) / prefill + f64::from(work.output.0) / decode;
        Duration::from_secs_f64(seconds.max(0.001))
    }

    /// Records the work of a new request for the demand estimate.
    pub fn record_arrival(&self, work: &Work) {
        let mut inner = self.lock();
        let (prefill, decode) = inner.rates();
        inner.arrived_demand.prefill += f64::from(work.prompt.0) / prefill;
        let slots = inner.views.first().map_or(1, |v| v.slots.max(1));
        inner.arrived_demand.decode += f64::from(work.output.0) / decode / f64::from(slots);
        inner.budget.record_first_attempt();
    }

    /// Adds the demand since the last call to the estimate as one sample.
    pub fn sample_demand(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let arrived_demand = std::mem::take(&mut inner.arrived_demand);
        // Address look-ups spread clients evenly, so every other node sees the same demand. Roles
        // are decided for the whole service: the share of one node alone would look like idleness.
        let nodes = f64::from(inner.node_count);
        let total = Demand {
            prefill: arrived_demand.prefill * nodes,
            decode: arrived_demand.decode * nodes,
        };
        inner.estimate.add_sample(now, total);
        inner.admission.evict_idle(now, ACCOUNT_IDLE_TIMEOUT);
    }

    /// Records how much of the allowed output a request produced.
    pub fn record_output(&self, allowed: u64, produced: u64) {
        if allowed == 0 {
            return;
        }
        let mut inner = self.lock();
        let share = produced as f64 / allowed as f64;
        inner.output_share += (share.min(1.0) - inner.output_share) * OUTPUT_SHARE_GAIN;
    }

    /// Admits a request, waiting in the queue if necessary.
    ///
    /// # Errors
    /// The request is refused; it has not run.
    pub async fn admit(
        self: &Arc<Self>,
        account: &Account,
        request: AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        let permit = |pool: &Arc<Self>, cost| Permit {
            pool: pool.clone(),
            account: account.name.clone(),
            cost,
            started_at: pool.clock.now(),
            elapsed: None,
        };
        let cost = request.cost;
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.clock.now();
            let mut inner = self.lock();
            let draw = inner.rng.random();
            match inner.admission.submit(now, account, request, draw) {
                Decision::Start => return Ok(permit(self, cost)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait => {
                    let waiter = Waiter { account: account.name.clone(), cost, sender };
                    inner.waiting.insert(id, waiter);
                }
            }
        }
        let mut queued = QueuedRequest {
            pool: self.clone(),
            id,
            account: account.name.clone(),
            cost,
            receiver: Some(receiver),
        };
        let receiver = queued.receiver.as_mut().expect("the receiver is set above");
        let outcome = receiver.await;
        queued.receiver = None;
        match outcome {
            Ok(Ok(())) => Ok(permit(self, cost)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => unreachable!("waiters are notified before they are dropped"),
        }
    }

    /// Advances the queue: refuses requests that can no longer meet their deadline and starts those
    /// that fit.
    pub fn poll_queue(&self) {
        let now = self.clock.now();
        let decisions = self.lock().poll_admission(now);
        self.notify_waiters(decisions);
    }

    /// Notifies waiters without holding the lock. Releases the slots of requests that were started
    /// but whose clients have disconnected in the meantime.
    fn notify_waiters(&self, due: Vec<(Waiter, Result<(), Refusal>)>) {
        let mut freed = false;
        for (waiter, outcome) in due {
            let started = outcome.is_ok();
            if waiter.sender.send(outcome).is_err() && started {
                self.lock().admission.end(&waiter.account, waiter.cost, None);
                freed = true;
            }
        }
        if freed {
            self.poll_queue();
        }
    }

    /// Chooses a runner for `work` among those not in `tried` and starts an attempt.
    pub fn choose_runner(self: &Arc<Self>, work: &Work, tried: &[Name]) -> Option<RunnerAttempt> {
        let now = self.clock.now();
        let mut guard = self.lock();
        let inner = &mut *guard;
        let skip: SmallVec<[usize; 4]> =
            tried.iter().filter_map(|n| inner.entries.get(n)).map(|p| p.view).collect();
        let choice =
            choose::choose(&inner.views, work, now, inner.choice_settings, &skip, &mut inner.rng)?;
        let view = &mut inner.views[choice.at];
        view.record_sent(now, work);
        let runner = view.name.clone();
        let address = inner.entries.get(&runner)?.address;
        Some(RunnerAttempt {
            pool: self.clone(),
            runner,
            address,
            prediction: choice.prediction,
            work: *work,
            sent_at: now,
            first_token_at: None,
            failed: false,
        })
    }

    /// Returns every runner with its prediction for `work` and whether it accepts work.
    pub fn explain(&self, work: &Work) -> Vec<(RunnerView, Prediction, bool)> {
        let now = self.clock.now();
        let inner = self.lock();
        let predict = |v: &RunnerView| {
            let prediction = choose::predict(v, work, now, inner.choice_settings);
            (v.clone(), prediction, v.takes_work(now))
        };
        inner.views.iter().map(predict).collect()
    }

    /// Takes a retry from the budget. Returns false if it is exhausted.
    pub fn take_retry(&self) -> bool {
        let now = self.clock.now();
        self.lock().budget.take(now)
    }

    /// Applies a load report that is `age` old.
    pub fn apply_report(&self, runner: &Name, age: Duration, report: Report) {
        let now = self.clock.now();
        let at = now.checked_sub(age).unwrap_or(now);
        let mut inner = self.lock();
        let Some(index) = inner.entries.get(runner).map(|p| p.view) else { return };
        inner.views[index].apply_report(at, report);
    }

    /// Records that a runner announced that it is leaving.
    pub fn record_leaving(&self, runner: &Name) {
        self.with_view(runner, |view| view.leaving = true);
    }

    /// Gives a runner no new work for `duration`.
    pub fn reserve(&self, runner: &Name, duration: Duration) {
        let until = self.clock.now() + duration;
        self.with_view(runner, |view| view.reserved_until = Some(until));
    }

    fn with_view(&self, runner: &Name, change: impl FnOnce(&mut RunnerView)) {
        let mut inner = self.lock();
        let Some(index) = inner.entries.get(runner).map(|p| p.view) else { return };
        change(&mut inner.views[index]);
    }

    /// Returns the state of the pool.
    pub fn state(&self) -> PoolState {
        let inner = self.lock();
        PoolState {
            views: inner.views.clone(),
            queue: inner.admission.queue_len(),
            in_progress: inner.admission.under_way(),
            estimate: inner.estimate.clone(),
        }
    }

    /// Returns how many requests of an account are queued or in progress.
    pub fn account_in_progress(&self, account: &Name) -> u32 {
        self.lock().admission.account_under_way(account)
    }

    /// Returns the runners with their addresses.
    pub fn runners(&self) -> Vec<(Name, SocketAddr)> {
        let inner = self.lock();
        inner.views.iter().map(|v| (v.name.clone(), inner.entries[&v.name].address)).collect()
    }
}

/// The factor by which a node's share of an account's limits exceeds an equal share, since clients
/// are not spread evenly over the nodes.
const ACCOUNT_SHARE_FACTOR: u32 = 2;

/// How long the usage of an idle account is kept.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(300);

impl Inner {
    /// Returns the prompt tokens per second of a runner and the output tokens per second of one
    /// request.
    fn rates(&self) -> (f64, f64) {
        let first = self.views.first().map(|v| v.report).unwrap_or_default();
        let or = |rate: u32, default: u32| f64::from(if rate > 0 { rate } else { default });
        let prefill = or(first.prefill_rate.0, sardinepick_lib::runner::DEFAULT_PREFILL_RATE.0);
        let decode = or(first.decode_rate.0, sardinepick_lib::runner::DEFAULT_DECODE_RATE.0);
        (prefill, decode)
    }

    fn poll_admission(&mut self, now: Instant) -> Vec<(Waiter, Result<(), Refusal>)> {
        let rng = &mut self.rng;
        let decisions = self.admission.next(now, || rng.random());
        let mut due = Vec::new();
        for event in decisions {
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

/// A queued request. Dropping it removes it from the queue.
struct QueuedRequest {
    pool: Arc<Pool>,
    id: RequestId,
    account: Name,
    cost: Duration,
    receiver: Option<oneshot::Receiver<Result<(), Refusal>>>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else { return };
        // Once the receiver is closed, the request cannot be started any more. If it was started
        // before, its slot must be released, or it would be lost permanently.
        receiver.close();
        let started = matches!(receiver.try_recv(), Ok(Ok(())));
        {
            let mut inner = self.pool.lock();
            inner.waiting.remove(&self.id);
            inner.admission.cancel(self.id);
            if started {
                inner.admission.end(&self.account, self.cost, None);
            }
        }
        if started {
            self.pool.poll_queue();
        }
    }
}

/// An admitted request's slot. Dropping it releases the slot.
pub struct Permit {
    pool: Arc<Pool>,
    account: Name,
    cost: Duration,
    started_at: Instant,
    elapsed: Option<Duration>,
}

impl Permit {
    /// Records that the request is complete, so that its duration counts in the admission queue's
    /// estimates.
    pub fn record_finished(&mut self) {
        let now = self.pool.clock.now();
        self.elapsed = Some(now.saturating_duration_since(self.started_at));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.lock().admission.end(&self.account, self.cost, self.elapsed);
        self.pool.poll_queue();
    }
}

/// An attempt at a runner. Dropping it ends the attempt, which counts as a fault only after
/// [`RunnerAttempt::fail`].
pub struct RunnerAttempt {
    pool: Arc<Pool>,
    /// The runner.
    pub runner: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The prediction for the request.
    pub prediction: Prediction,
    work: Work,
    sent_at: Instant,
    first_token_at: Option<Instant>,
    failed: bool,
}

impl RunnerAttempt {
    /// Records the arrival of the first token.
    pub fn record_first_token(&mut self) {
        let now = self.pool.clock.now();
        if self.first_token_at.replace(now).is_some() {
            return;
        }
        let mut inner = self.pool.lock();
        let Some(index) = inner.entries.get(&self.runner).map(|p| p.view) else { return };
        inner.views[index].record_first_token(now, &self.work);
        inner.views[index].record_cached(self.work.prefix, now);
    }

    /// Ends the attempt after a complete response.
    pub fn succeed(self) {
        let now = self.pool.clock.now();
        let residence = now.saturating_duration_since(self.sent_at).as_secs_f64();
        let mut inner = self.pool.lock();
        inner.choice_settings.observe_residence(residence);
        if let Some(index) = inner.entries.get(&self.runner).map(|p| p.view) {
            inner.views[index].record_success();
        }
    }

    /// Ends the attempt after a fault. `leaving` means that the runner refused because it is
    /// leaving, which does not count as a fault.
    pub fn fail(mut self, leaving: bool) {
        self.failed = !leaving;
        if leaving {
            self.pool.record_leaving(&self.runner);
        }
    }
}

impl Drop for RunnerAttempt {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        let pending = if self.first_token_at.is_some() { Tokens(0) } else { self.work.prompt };
        let failed = self.failed;
        self.pool.with_view(&self.runner, |view| {
            view.record_end(now, pending);
            if failed {
                view.record_fault(now);
            }
        });
    }
}
