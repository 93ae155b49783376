//! Placement of requests through pool schedulers: the client side and the scheduler itself.
//!
//! Each node derives the scheduler of a pool from the set of ready nodes, so nodes with the same
//! membership view agree on it. Two nodes that act as scheduler of one pool at the same time each
//! see part of the load and place less well; correctness does not depend on the scheduler being
//! unique.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::engine::Engine;
use sardinepick_lib::fleet::holding::runner::{Room, share};
use sardinepick_lib::fleet::load::Load;
use sardinepick_lib::fleet::model;
use sardinepick_lib::fleet::placement::Plans;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::register::PrefillReport;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::scheduler::{
    self, Decision, MAX_QUERIES, MAX_UNANSWERED, Observation, Query, REPLY_TIMEOUT, Step,
    TAKEOVER_PERIOD,
};
use sardinepick_lib::fleet::share::Account;
use sardinepick_lib::id::{NodeId, RunnerId, ServiceId};
use sardinepick_wire::schedule::{MAX_LESSONS, MAX_LOADS, MAX_READINGS, Report, Schedule};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::fair_share::{Asker, Charge};
use crate::serve::pending::Conversations;
use crate::serve::shared::Shared;
use crate::serve::{cache_query, fair_queue, model_state, quarantine};

/// How long the scheduler found for a pool is cached. Finding it ranks all nodes.
const SCHEDULER_CACHE_TTL: Duration = Duration::from_millis(50);
/// How often schedulers are sent all current loads, changed or not. This makes up for lost reports
/// and gives a new scheduler the loads of all nodes. A third of the lifetime of a report.
const FULL_REPORT_PERIOD: Duration = Duration::from_millis(500);
/// After this long without a request for a pool, the node takes the pool over anew and queries the
/// caches of its runners.
const TAKEOVER_EXPIRY: Duration = Duration::from_secs(10);
/// How long after its start a node waits before it takes over pools. Until then its membership view
/// is incomplete: it would claim every pool, and every runner would be queried by every node.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// The maximum number of queued prefill reports, and of queued observations; the oldest are dropped
/// first.
const MAX_QUEUED: usize = 1_024;

/// The node that schedules a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PoolScheduler {
    /// This node.
    Me,
    /// Another node and its peer address.
    Other(NodeId, SocketAddr),
}

/// Consecutive unanswered queries to a node, and until when the node is passed over.
#[derive(Clone, Copy, Debug, Default)]
struct Unanswered {
    queries: u32,
    until: Option<Instant>,
}

/// Updates that have not been reported to schedulers yet.
#[derive(Debug, Default)]
struct Updates {
    changed: HashSet<Tag>,
    prefill_reports: Vec<PrefillReport>,
    observations: Vec<(Tag, Observation)>,
}

#[derive(Debug, Default)]
struct State {
    queries: Conversations<Option<Decision>>,
    unanswered: HashMap<NodeId, Unanswered>,
    scheduler_cache: HashMap<(ServiceId, Pool), (PoolScheduler, Instant)>,
    /// The pools that this node schedules, and when it was last asked about each.
    scheduled: HashMap<(ServiceId, Pool), Instant>,
    /// Which scheduler was sent a non-empty load for a runner. It must also be sent the end of that
    /// load, even if the runner has restarted or is gone by then.
    reported: HashMap<Tag, SocketAddr>,
    updates: Updates,
}

/// The scheduling state of a node, both as a client of schedulers and as a scheduler.
#[derive(Debug, Default)]
pub struct Scheduling {
    socket: OnceLock<Arc<UdpSocket>>,
    state: Mutex<State>,
    wake: Notify,
}

impl Scheduling {
    /// Sets the socket for scheduler traffic; until then this node places requests by itself.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Called only once, when the node starts.
        let _ = self.socket.set(socket);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this node's load on a runner has changed, and wakes the reporter.
    pub fn note_change(&self, runner: Tag) {
        self.state().updates.changed.insert(runner);
        self.wake.notify_one();
    }

    /// Records that work begins at a runner. Its scheduler already counts that work, so the
    /// reporter is not woken.
    pub fn note_begun(&self, runner: Tag) {
        self.state().updates.changed.insert(runner);
    }

    /// Records prompts that runners have processed for this node.
    pub fn note_prefill_reports(&self, more: impl Iterator<Item = PrefillReport>) {
        let mut state = self.state();
        state.updates.prefill_reports.extend(more);
        let over = state.updates.prefill_reports.len().saturating_sub(MAX_QUEUED);
        state.updates.prefill_reports.drain(..over);
        self.wake.notify_one();
    }

    /// Records a measurement taken from work at a runner.
    pub fn note_observation(&self, runner: Tag, observation: Observation) {
        let mut state = self.state();
        state.updates.observations.push((runner, observation));
        let over = state.updates.observations.len().saturating_sub(MAX_QUEUED);
        state.updates.observations.drain(..over);
        self.wake.notify_one();
    }

    fn note_answered(&self, node: &NodeId) {
        self.state().unanswered.remove(node);
    }

    /// Records that a node has not answered. Returns true if another node takes its place now.
    fn note_unanswered(&self, node: &NodeId, now: Instant) -> bool {
        let mut state = self.state();
        let entry = state.unanswered.entry(node.clone()).or_default();
        entry.queries += 1;
        if entry.queries < MAX_UNANSWERED {
            return false;
        }
        entry.until = Some(now + TAKEOVER_PERIOD);
        entry.queries = 0;
        state.scheduler_cache.clear();
        true
    }
}

/// Returns the node that schedules a pool, in this node's view.
fn pool_scheduler(shared: &Shared, service: &ServiceId, pool: Pool) -> PoolScheduler {
    let now = shared.clock.now();
    let key = (service.clone(), pool);
    let scheduling = &shared.scheduling;
    if let Some((holder, at)) = scheduling.state().scheduler_cache.get(&key)
        && now.saturating_duration_since(*at) < SCHEDULER_CACHE_TTL
    {
        return holder.clone();
    }
    let passed_over: Vec<NodeId> = {
        let state = scheduling.state();
        let unresponsive =
            state.unanswered.iter().filter(|(_, s)| s.until.is_some_and(|until| now < until));
        unresponsive.map(|(id, _)| id.clone()).collect()
    };
    let found = {
        let roster = shared.roster();
        let contacts = roster.ready_contacts();
        let others = contacts.iter().filter(|contact| !passed_over.contains(&contact.id));
        let me = shared.is_ready().then_some(&shared.me);
        let nodes = others.copied().chain(me);
        let first =
            scheduler::choose_scheduler(service, pool, nodes.clone().map(|contact| &contact.id));
        nodes.into_iter().find(|contact| Some(&contact.id) == first).cloned()
    };
    let holder = match found {
        Some(contact) if contact.id != shared.me.id => {
            PoolScheduler::Other(contact.id, contact.peer)
        }
        _ => PoolScheduler::Me,
    };
    let mut state = scheduling.state();
    let previous = state.scheduler_cache.insert(key, (holder.clone(), now));
    if previous.is_some_and(|(previous, _)| previous != holder) {
        log::info!(service:% = service, pool = pool.0, holder:? = holder; "pool has another scheduler");
    }
    holder
}

/// A decision for a request of this node.
#[derive(Clone, Debug)]
pub struct Decided {
    /// The decision.
    pub decision: Decision,
    /// Who made it, as a metric label.
    pub by: &'static str,
    /// The charge to the account of the request, if there is one.
    pub charge: Option<Charge>,
}

/// The pool to which the work of a query belongs.
pub fn pool_of(shared: &Shared, query: &Query) -> Pool {
    let mut register = shared.register();
    register.assign_pools();
    register.pool_of(&query.service, &query.work)
}

/// Places a request: asks the scheduler of its pool and, if that does not answer, places it by this
/// node's own prediction.
pub async fn decide(shared: &Arc<Shared>, mut query: Query, engine: &Engine) -> Decided {
    let pool = pool_of(shared, &query);
    let began = shared.clock.now();
    // Work that has run does not wait, whatever a scheduler says.
    let may_wait = shared.fair_share.applies(&query);
    let limit = if may_wait { began + query.terms.useful_within() } else { began };
    let mut asked_at = began;
    for _ in 0..MAX_QUERIES {
        let now = shared.clock.now();
        if query.account != Account::NONE {
            query = query.after(now.saturating_duration_since(asked_at));
        }
        asked_at = now;
        let PoolScheduler::Other(node, peer) = pool_scheduler(shared, &query.service, pool) else {
            return decide_here(shared, &query, pool, engine, (now, limit)).await;
        };
        match query_node(shared, peer, &query, limit).await {
            Some((answer, number)) => {
                shared.scheduling.note_answered(&node);
                note_latency(shared, &query.step, began);
                match answer {
                    Some(Decision::Waiting(_)) | None => break,
                    Some(decision) if is_usable(shared, &decision, &mut query) => {
                        let charge = charge(shared, &query, &decision, Some(peer), number);
                        return Decided { decision, by: "scheduler", charge };
                    }
                    Some(_) => break,
                }
            }
            None => {
                let replaced = shared.scheduling.note_unanswered(&node, shared.clock.now());
                log::info!(
                    node:% = node, service:% = query.service, pool = pool.0, replaced = replaced,
                    waited_ms = REPLY_TIMEOUT.as_millis() as u64; "scheduler silent"
                );
            }
        }
    }
    let waited = shared.clock.now().saturating_duration_since(asked_at);
    let query = if query.account == Account::NONE { query } else { query.after(waited) };
    Decided {
        decision: decide_locally(shared, &query, engine, Knowledge::Own),
        by: "alone",
        charge: None,
    }
}

/// Places a request in a pool that this node schedules.
async fn decide_here(
    shared: &Arc<Shared>,
    query: &Query,
    pool: Pool,
    engine: &Engine,
    (asked_at, limit): (Instant, Instant),
) -> Decided {
    if shared.fair_share.applies(query)
        && let Some((decision, number)) = fair_queue::wait_here(shared, query, limit).await
    {
        let charge = charge(shared, query, &decision, None, number);
        return Decided { decision, by: "here", charge };
    }
    take_over(shared, &query.service, pool);
    let waited = shared.clock.now().saturating_duration_since(asked_at);
    let aged = (query.account != Account::NONE).then(|| query.after(waited));
    let decision = decide_locally(shared, aged.as_ref().unwrap_or(query), engine, Knowledge::Whole);
    shared.limiter.reserve(&decision.placed());
    Decided { decision, by: "here", charge: None }
}

/// The charge that a scheduler has made with a decision.
fn charge(
    shared: &Shared,
    query: &Query,
    decision: &Decision,
    scheduler: Option<SocketAddr>,
    number: u64,
) -> Option<Charge> {
    let is_charged =
        shared.fair_share.applies(query) && matches!(decision, Decision::Placed { .. });
    is_charged.then_some(Charge { scheduler, number })
}

fn note_latency(shared: &Shared, step: &Step, began: Instant) {
    let took = shared.clock.now().saturating_duration_since(began);
    let step = if matches!(step, Step::Start(_)) { "start" } else { "go_on" };
    shared.metrics.scheduler_latency.with_label_values(&[step]).observe(took.as_secs_f64());
}

/// Returns whether a decision agrees with this node's own state. The scheduler may not know yet
/// that a runner is leaving; such a runner must not be used. A scheduler that has just started may
/// know no runners at all, so its answer that there are none is not used either. The versions of
/// the runners are checked here too: a scheduler that runs an earlier release ignores them.
fn is_usable(shared: &Shared, decision: &Decision, query: &mut Query) -> bool {
    if *decision == Decision::NoRunner || !has_one_version(shared, decision, query) {
        return false;
    }
    let Some((id, _)) = decision.cost(&query.work, &query.step) else { return true };
    let now = shared.clock.now();
    if query.skip.contains(id) {
        return false;
    }
    let usable =
        shared.register().get(id).is_some_and(|r| r.takes_work(now) && r.back_off.is_over(now));
    if !usable {
        query.skip.push(id.clone());
    }
    usable
}

/// Whether all runners of a decision have the same version, and that of the query if it has one.
fn has_one_version(shared: &Shared, decision: &Decision, query: &Query) -> bool {
    let register = shared.register();
    let prefill_runner = match &query.step {
        Step::Continue { prefill_runner, .. } => Some(prefill_runner),
        Step::Start(_) => None,
    };
    let runners = decision.runners().into_iter().chain(prefill_runner);
    let mut versions =
        runners.filter_map(|id| register.get(id)).map(|runner| &runner.entry.version);
    let Some(first) = query.version.as_ref().or_else(|| versions.next()) else { return true };
    versions.all(|version| version == first)
}

/// What a decision is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// All work of the pool, as only its scheduler knows it.
    Whole,
    /// This node's own work.
    Own,
}

/// Places a request on a single runner, by this node's own prediction.
pub fn decide_single_call(shared: &Shared, query: &Query, engine: &Engine) -> Decision {
    let pool = pool_of(shared, query);
    let is_scheduler = pool_scheduler(shared, &query.service, pool) == PoolScheduler::Me;
    let knowledge = if is_scheduler { Knowledge::Whole } else { Knowledge::Own };
    decide_among(shared, query, engine, Plans::Whole, knowledge)
}

/// Decides by what this node knows of the runners.
pub fn decide_locally(
    shared: &Shared,
    query: &Query,
    engine: &Engine,
    knowledge: Knowledge,
) -> Decision {
    decide_among(shared, query, engine, Plans::Any, knowledge)
}

/// Places a request within the memory of runners.
fn decide_among(
    shared: &Shared,
    query: &Query,
    engine: &Engine,
    plans: Plans,
    knowledge: Knowledge,
) -> Decision {
    let now = shared.clock.now();
    let nodes: Vec<NodeId> = if knowledge == Knowledge::Own {
        shared.roster().ids().cloned().collect()
    } else {
        Vec::new()
    };
    let share = |runner: &RunnerId| share(runner, &shared.me.id, nodes.iter());
    let room = match knowledge {
        Knowledge::Whole => Room::Known,
        Knowledge::Own => Room::Share(&share),
    };
    let mut register = shared.register();
    register.assign_pools();
    scheduler::decide_within(&register, query, engine, plans, room, now, &mut *shared.rng())
}

/// Asks a node for a decision, until `limit` if the request has to wait. Returns the answer and the
/// number of the query, or `None` if the node does not answer in time.
async fn query_node(
    shared: &Shared,
    peer: SocketAddr,
    query: &Query,
    limit: Instant,
) -> Option<(Option<Decision>, u64)> {
    let (number, mut answers) = shared.scheduling.state().queries.register();
    let message =
        Schedule::Query { number, node: shared.me.id.clone(), query: Box::new(query.clone()) };
    let answer = ask_until_decided(shared, peer, &message, &mut answers, limit).await;
    shared.scheduling.state().queries.end(number);
    Some((answer?, number))
}

/// Sends a query, and again whenever it has waited as long as the scheduler said. The caller of a
/// request that waits longer than `limit` has no use for it any more; its last answer is that it
/// waits.
async fn ask_until_decided(
    shared: &Shared,
    peer: SocketAddr,
    message: &Schedule,
    answers: &mut UnboundedReceiver<Option<Decision>>,
    limit: Instant,
) -> Option<Option<Decision>> {
    loop {
        transmit(shared, peer, message).await;
        let mut answer = timeout(REPLY_TIMEOUT, answers.recv()).await.ok()??;
        while let Some(Decision::Waiting(pause)) = answer {
            let left = limit.saturating_duration_since(shared.clock.now());
            if left.is_zero() {
                return Some(answer);
            }
            match timeout(pause.min(left), answers.recv()).await {
                Ok(next) => answer = next?,
                Err(_) => break,
            }
        }
        if !matches!(answer, Some(Decision::Waiting(_))) {
            return Some(answer);
        }
    }
}

/// Sends a schedule datagram.
pub async fn transmit(shared: &Shared, peer: SocketAddr, schedule: &Schedule) {
    let Some(socket) = shared.scheduling.socket.get() else { return };
    let bytes = schedule.encode();
    shared.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(&bytes, peer).await {
        log::debug!(peer:% = peer, error:% = error; "cannot send schedule datagram");
    }
}

/// Handles a received schedule datagram.
pub async fn receive(shared: &Arc<Shared>, from: SocketAddr, bytes: &[u8]) {
    shared.metrics.schedule_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
    match Schedule::decode(bytes) {
        Ok(Schedule::Query { number, node, query }) if shared.fair_share.applies(&query) => {
            fair_queue::handle_query(shared, from, Asker { node, number }, query).await;
        }
        Ok(Schedule::Query { number, node, query }) => {
            let decision = decide_for_node(shared, &node, &query);
            transmit(shared, from, &Schedule::Answer { number, decision }).await;
        }
        Ok(Schedule::Answer { number, decision }) => {
            shared.scheduling.state().queries.answer(number, decision);
        }
        Ok(Schedule::Report(report)) => apply_report(shared, &report),
        Ok(Schedule::Settled { node, usage }) => {
            for (number, usage) in usage {
                shared.fair_share.settle(&Asker { node: node.clone(), number }, usage);
            }
        }
        Ok(Schedule::Ended { number, request, end }) => {
            quarantine::count::handle_crash_report(shared, from, number, request, end).await;
        }
        Ok(Schedule::Counted { number, ends }) => {
            quarantine::count::handle_crash_count(shared, number, ends);
        }
        Ok(Schedule::Acquire { number, limit }) => {
            shared.limiter.handle_request(from, number, limit).await;
        }
        Ok(Schedule::Bind(report)) => shared.stream_bindings.handle_report(&report),
        Ok(Schedule::FindBinding { number, stream, service, horizon }) => {
            let bindings = &shared.stream_bindings;
            bindings.handle_question(from, number, stream, service, horizon).await;
        }
        Ok(Schedule::FoundBinding { number, found }) => {
            shared.stream_bindings.handle_answer(number, found);
        }
        Ok(Schedule::ModelState(state)) => adopt_model_state(shared, &state),
        Ok(Schedule::Part(message)) => shared.part_quarantine.handle(from, message).await,
        Ok(Schedule::Acquired { number, wait }) => shared.limiter.handle_reply(number, wait),
        Err(error) => log::warn!(peer:% = from, error:% = error; "invalid schedule datagram"),
    }
}

/// Decides for another node, and counts the work until that node reports its load.
fn decide_for_node(shared: &Arc<Shared>, node: &NodeId, query: &Query) -> Option<Decision> {
    let configuration = shared.configuration.load_full()?;
    let engine = configuration.service(&query.service)?.engine?;
    let decision = decide_locally(shared, query, &engine, Knowledge::Whole);
    shared.limiter.reserve(&decision.placed());
    let now = shared.clock.now();
    let mut register = shared.register();
    scheduler::note(&mut register, node, query, &decision, &engine, now);
    let pool = register.pool_of(&query.service, &query.work);
    drop(register);
    take_over(shared, &query.service, pool);
    Some(decision)
}

/// Records that this node is asked about a pool. A node that has just become scheduler of a pool
/// does not know what its runners have cached, and queries them.
pub fn take_over(shared: &Arc<Shared>, service: &ServiceId, pool: Pool) {
    let now = shared.clock.now();
    let previous = shared.scheduling.state().scheduled.insert((service.clone(), pool), now);
    if previous.is_some_and(|at| now.saturating_duration_since(at) < TAKEOVER_EXPIRY) {
        return;
    }
    log::info!(service:% = service, pool = pool.0; "this node schedules the pool");
    tokio::spawn(cache_query::run(shared.clone(), service.clone(), pool));
}

/// Takes over the pools that this node schedules before it is asked, so that the runners' caches
/// are known when the first queries arrive.
fn take_over_assigned(shared: &Arc<Shared>) {
    if !shared.is_ready() {
        return;
    }
    let pools: BTreeSet<(ServiceId, Pool)> = {
        let mut register = shared.register();
        register.assign_pools();
        let engines = register.runners().filter(|r| r.entry.stage.is_some());
        engines.map(|r| (r.entry.service.clone(), r.pool)).collect()
    };
    for (service, pool) in pools {
        if pool_scheduler(shared, &service, pool) == PoolScheduler::Me {
            take_over(shared, &service, pool);
        }
    }
}

/// Hands what this node has learned of the runners of its pools to the nodes that would schedule
/// the pools after it.
async fn send_model_states(shared: &Shared) {
    if shared.register().models().is_none() {
        return;
    }
    let scheduled: Vec<(ServiceId, Pool)> =
        shared.scheduling.state().scheduled.keys().cloned().collect();
    for (service, pool) in scheduled {
        if pool_scheduler(shared, &service, pool) != PoolScheduler::Me {
            continue;
        }
        let successor = {
            let roster = shared.roster();
            model_state::successor(&roster.ready_contacts(), &shared.me.id, &service, pool)
        };
        let Some(peer) = successor else { continue };
        let states = shared.register().model_states(&service, pool);
        for state in states {
            transmit(shared, peer, &Schedule::ModelState(state)).await;
        }
    }
}

/// Adopts what the scheduler of a pool has learned. A node that schedules the pool itself has learned
/// more than one that does so by mistake.
fn adopt_model_state(shared: &Shared, state: &model::State) {
    let Some(runner) = state.runners.first() else { return };
    if scheduler_of(shared, runner.runner).is_some() {
        shared.register().adopt_model_state(state);
    }
}

fn apply_report(shared: &Shared, report: &Report) {
    let now = shared.clock.now();
    let mut register = shared.register();
    register.apply_load_report(&report.node, &report.loads, now);
    for prefill_report in &report.readings {
        register.apply_prefill_report(*prefill_report, now);
    }
    for (tag, observation) in &report.lessons {
        register.learn(*tag, *observation, now);
    }
    drop(register);
    shared.fair_share.wake.notify_one();
}

/// Reports updates to schedulers until the process ends.
pub async fn report(shared: Arc<Shared>) {
    let began = tokio::time::Instant::now();
    let mut full_report = interval(FULL_REPORT_PERIOD);
    full_report.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = full_report.tick() => {
                if began.elapsed() >= TAKEOVER_DELAY {
                    take_over_assigned(&shared);
                }
                let busy: Vec<Tag> = shared.register().busy_tags().collect();
                shared.scheduling.state().updates.changed.extend(busy);
                send_model_states(&shared).await;
            }
            () = shared.scheduling.wake.notified() => {}
        }
        for (peer, report) in build_reports(&shared) {
            transmit(&shared, peer, &Schedule::Report(report)).await;
        }
        // Coalesces updates that come in quick succession.
        sleep(REPORT_PAUSE).await;
    }
}

/// The minimum pause between two reports of a node: the shortest time that a timer can wait.
const REPORT_PAUSE: Duration = Duration::from_millis(1);

/// Builds the report datagrams for all pending updates.
fn build_reports(shared: &Shared) -> Vec<(SocketAddr, Report)> {
    let updates = std::mem::take(&mut shared.scheduling.state().updates);
    let mut by_peer: HashMap<SocketAddr, Vec<Report>> = HashMap::new();
    let mut peers: HashMap<Tag, Option<SocketAddr>> = HashMap::new();
    let mut peer_of = |tag: Tag| *peers.entry(tag).or_insert_with(|| scheduler_of(shared, tag));
    let empty = || Report {
        node: shared.me.id.clone(),
        loads: Vec::new(),
        readings: Vec::new(),
        lessons: Vec::new(),
    };
    let mut add =
        |peer: SocketAddr, is_full: &dyn Fn(&Report) -> bool, put: &dyn Fn(&mut Report)| {
            let reports = by_peer.entry(peer).or_default();
            if reports.last().is_none_or(is_full) {
                reports.push(empty());
            }
            put(reports.last_mut().expect("a report was just pushed"));
        };
    for tag in updates.changed {
        let load: Load = shared.register().by_tag(tag).map(|r| r.own).unwrap_or_default();
        let before = shared.scheduling.state().reported.remove(&tag);
        let Some(peer) = peer_of(tag).or(before) else { continue };
        if !load.is_empty() {
            shared.scheduling.state().reported.insert(tag, peer);
        }
        add(peer, &|r| r.loads.len() >= MAX_LOADS, &|r| r.loads.push((tag, load)));
    }
    for prefill_report in updates.prefill_reports {
        let Some(peer) = peer_of(prefill_report.runner) else { continue };
        add(peer, &|r| r.readings.len() >= MAX_READINGS, &|r| r.readings.push(prefill_report));
    }
    for (tag, observation) in updates.observations {
        let Some(peer) = peer_of(tag) else { continue };
        add(peer, &|r| r.lessons.len() >= MAX_LESSONS, &|r| r.lessons.push((tag, observation)));
    }
    let by_peer = by_peer.into_iter();
    by_peer.flat_map(|(peer, reports)| reports.into_iter().map(move |r| (peer, r))).collect()
}

/// The address of the scheduler of a runner's pool; `None` if that is this node or the runner has
/// no scheduler.
fn scheduler_of(shared: &Shared, tag: Tag) -> Option<SocketAddr> {
    let (service, pool) = {
        let mut register = shared.register();
        register.assign_pools();
        let runner = register.by_tag(tag)?;
        runner.entry.stage?;
        (runner.entry.service.clone(), runner.pool)
    };
    match pool_scheduler(shared, &service, pool) {
        PoolScheduler::Me => None,
        PoolScheduler::Other(_, peer) => Some(peer),
    }
}
