//! Asking the scheduler of a pool of runners where a request goes, and being one.
//!
//! Which node schedules a pool follows from the nodes that are ready, the same at each that knows
//! the same ones. Two nodes that take themselves for it for a moment each know a part of the work,
//! and place less well; nothing else depends on there being one.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::engine::Engine;
use sardinepick_lib::fleet::load::Load;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::register::Reading;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::scheduler::{
    self, Ask, Decision, Lesson, PASSED_OVER, PATIENCE, SILENCES, Step, TRIES,
};
use sardinepick_lib::id::{NodeId, ServiceId};
use sardinepick_wire::schedule::{MAX_LESSONS, MAX_LOADS, MAX_READINGS, Report, Schedule};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::serve::pending::Pending;
use crate::serve::shared::Shared;
use crate::serve::{inventory, quarantine};

/// For how long the node found to schedule a pool is not looked for again. Looking weighs all nodes.
const HOLDER_LIFE: Duration = Duration::from_millis(50);
/// How often schedulers are told of all that is under way, changed or not. It makes up for lost
/// reports, and a new scheduler knows the work of all nodes after it; a third of the life of a report.
const RETOLD: Duration = Duration::from_millis(500);
/// How long a pool must not have been asked for here until this node takes it over anew, and asks
/// its runners what they keep.
const TAKEN_OVER: Duration = Duration::from_secs(10);
/// How long after its start a node knows the others well enough to tell which pools fall to it. A
/// node that took over all of them at its start would have every runner asked by every node.
const ACQUAINTED: Duration = Duration::from_secs(2);
/// The most news that wait to be told; of more the oldest are the least worth.
const MOST_NEWS: usize = 1_024;

/// The node that schedules a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Holder {
    /// This one.
    Me,
    /// Another, and where it is reached.
    Other(NodeId, SocketAddr),
}

/// The questions a node has left unanswered in a row, and until when it is passed over.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    questions: u32,
    until: Option<Instant>,
}

/// What is to be told to schedulers.
#[derive(Debug, Default)]
struct News {
    changed: HashSet<Tag>,
    readings: Vec<Reading>,
    lessons: Vec<(Tag, Lesson)>,
}

#[derive(Debug, Default)]
struct State {
    questions: Pending<Option<Decision>>,
    silences: HashMap<NodeId, Silence>,
    holders: HashMap<(ServiceId, Pool), (Holder, Instant)>,
    /// The pools that this node schedules, and when it was last asked.
    held: HashMap<(ServiceId, Pool), Instant>,
    /// Who was told of work under way at a runner. Where the runner has started again meanwhile, or
    /// has gone, who was told so must be told of the end too.
    told: HashMap<Tag, SocketAddr>,
    news: News,
}

/// What a node keeps of schedulers and as one.
#[derive(Debug, Default)]
pub struct Scheduling {
    socket: OnceLock<Arc<UdpSocket>>,
    state: Mutex<State>,
    wake: Notify,
}

impl Scheduling {
    /// Sets the socket by which schedulers are asked; until then this node places by itself.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, by the start of the node.
        let _ = self.socket.set(socket);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that what this node has under way at a runner has changed, to be told soon.
    pub fn note_change(&self, runner: Tag) {
        self.state().news.changed.insert(runner);
        self.wake.notify_one();
    }

    /// Notes that work begins at a runner, as its scheduler knows.
    pub fn note_begun(&self, runner: Tag) {
        self.state().news.changed.insert(runner);
    }

    /// Notes prompts that runners have read for this node.
    pub fn note_readings(&self, more: impl Iterator<Item = Reading>) {
        let mut state = self.state();
        state.news.readings.extend(more);
        let over = state.news.readings.len().saturating_sub(MOST_NEWS);
        state.news.readings.drain(..over);
        self.wake.notify_one();
    }

    /// Notes what work at a runner has taught.
    pub fn note_lesson(&self, runner: Tag, lesson: Lesson) {
        let mut state = self.state();
        state.news.lessons.push((runner, lesson));
        let over = state.news.lessons.len().saturating_sub(MOST_NEWS);
        state.news.lessons.drain(..over);
        self.wake.notify_one();
    }

    fn note_heard(&self, node: &NodeId) {
        self.state().silences.remove(node);
    }

    /// Notes that a node has not answered. True if another takes its place now.
    fn note_silent(&self, node: &NodeId, now: Instant) -> bool {
        let mut state = self.state();
        let silence = state.silences.entry(node.clone()).or_default();
        silence.questions += 1;
        if silence.questions < SILENCES {
            return false;
        }
        silence.until = Some(now + PASSED_OVER);
        silence.questions = 0;
        state.holders.clear();
        true
    }
}

/// The node that schedules a pool, as this one sees it.
fn holder(shared: &Shared, service: &ServiceId, pool: Pool) -> Holder {
    let now = shared.clock.now();
    let key = (service.clone(), pool);
    let scheduling = &shared.scheduling;
    if let Some((holder, at)) = scheduling.state().holders.get(&key)
        && now.saturating_duration_since(*at) < HOLDER_LIFE
    {
        return holder.clone();
    }
    let passed_over: Vec<NodeId> = {
        let state = scheduling.state();
        let silent =
            state.silences.iter().filter(|(_, s)| s.until.is_some_and(|until| now < until));
        silent.map(|(id, _)| id.clone()).collect()
    };
    let found = {
        let roster = shared.roster();
        let fronts = roster.fronts();
        let others = fronts.iter().filter(|contact| !passed_over.contains(&contact.id));
        let me = shared.is_ready().then_some(&shared.me);
        let nodes = others.copied().chain(me);
        let first = scheduler::holder(service, pool, nodes.clone().map(|contact| &contact.id));
        nodes.into_iter().find(|contact| Some(&contact.id) == first).cloned()
    };
    let holder = match found {
        Some(contact) if contact.id != shared.me.id => Holder::Other(contact.id, contact.peer),
        _ => Holder::Me,
    };
    let mut state = scheduling.state();
    let was = state.holders.insert(key, (holder.clone(), now));
    if was.is_some_and(|(was, _)| was != holder) {
        log::info!(service:% = service, pool = pool.0, holder:? = holder; "pool has another scheduler");
    }
    holder
}

/// Decides where a request goes: asks the scheduler of its pool, and where that does not answer
/// places it by this node's own prediction.
pub async fn decide(
    shared: &Arc<Shared>,
    mut ask: Ask,
    engine: &Engine,
) -> (Decision, &'static str) {
    let pool = {
        let mut register = shared.register();
        register.divide();
        register.pool_of(&ask.service, &ask.work)
    };
    let began = shared.clock.now();
    for _ in 0..TRIES {
        let Holder::Other(node, peer) = holder(shared, &ask.service, pool) else {
            take_over(shared, &ask.service, pool);
            let decision = decide_here(shared, &ask, engine);
            shared.limiter.reserve(&decision.placed());
            return (decision, "here");
        };
        match question(shared, peer, &ask).await {
            Some(answer) => {
                shared.scheduling.note_heard(&node);
                let took = shared.clock.now().saturating_duration_since(began);
                let step = if matches!(ask.step, Step::Start(_)) { "start" } else { "go_on" };
                shared.metrics.asked.with_label_values(&[step]).observe(took.as_secs_f64());
                match answer {
                    Some(decision) if is_usable(shared, &decision, &mut ask) => {
                        return (decision, "scheduler");
                    }
                    _ => break,
                }
            }
            None => {
                let replaced = shared.scheduling.note_silent(&node, shared.clock.now());
                log::info!(
                    node:% = node, service:% = ask.service, pool = pool.0, replaced = replaced,
                    waited_ms = PATIENCE.as_millis() as u64; "scheduler silent"
                );
            }
        }
    }
    (decide_here(shared, &ask, engine), "alone")
}

/// Whether a decision agrees with what this node knows. What the scheduler does not know yet, such as
/// that a runner leaves, must hold all the same: that runner is not to be taken. One that has just
/// started may know no runner at all; its word that there is none is not taken either.
fn is_usable(shared: &Shared, decision: &Decision, ask: &mut Ask) -> bool {
    if *decision == Decision::NoRunner {
        return false;
    }
    let Some((id, _)) = decision.share(&ask.work, &ask.step) else { return true };
    let now = shared.clock.now();
    if ask.skip.contains(id) {
        return false;
    }
    let usable =
        shared.register().get(id).is_some_and(|r| r.takes_work(now) && r.back_off.is_over(now));
    if !usable {
        ask.skip.push(id.clone());
    }
    usable
}

fn decide_here(shared: &Shared, ask: &Ask, engine: &Engine) -> Decision {
    let now = shared.clock.now();
    let mut register = shared.register();
    register.divide();
    scheduler::decide(&register, ask, engine, now, &mut *shared.rng())
}

/// Asks a node, and gives its answer; none if there was none in time.
async fn question(shared: &Shared, peer: SocketAddr, ask: &Ask) -> Option<Option<Decision>> {
    let (number, answer) = shared.scheduling.state().questions.register();
    let question =
        Schedule::Question { number, node: shared.me.id.clone(), ask: Box::new(ask.clone()) };
    transmit(shared, peer, &question).await;
    let answer = timeout(PATIENCE, answer).await;
    shared.scheduling.state().questions.cancel(number);
    answer.ok()?.ok()
}

/// Sends a datagram of this kind.
pub async fn transmit(shared: &Shared, peer: SocketAddr, schedule: &Schedule) {
    let Some(socket) = shared.scheduling.socket.get() else { return };
    let bytes = schedule.encode();
    shared.metrics.schedule_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(&bytes, peer).await {
        log::debug!(peer:% = peer, error:% = error; "sending to a scheduler");
    }
}

/// Takes a datagram of this kind.
pub async fn take(shared: &Arc<Shared>, from: SocketAddr, bytes: &[u8]) {
    shared.metrics.schedule_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
    match Schedule::decode(bytes) {
        Ok(Schedule::Question { number, node, ask }) => {
            let decision = schedule(shared, &node, &ask);
            transmit(shared, from, &Schedule::Answer { number, decision }).await;
        }
        Ok(Schedule::Answer { number, decision }) => {
            shared.scheduling.state().questions.resolve(number, decision);
        }
        Ok(Schedule::Report(report)) => take_report(shared, &report),
        Ok(Schedule::Ended { number, request, end }) => {
            quarantine::count::take_ended(shared, from, number, request, end).await;
        }
        Ok(Schedule::Counted { number, ends }) => {
            quarantine::count::take_counted(shared, number, ends);
        }
        Ok(Schedule::Acquire { number, limit }) => {
            shared.limiter.answer(from, number, limit).await;
        }
        Ok(Schedule::Acquired { number, wait }) => shared.limiter.take_answer(number, wait),
        Err(error) => log::warn!(peer:% = from, error:% = error; "datagram is not taken"),
    }
}

/// Decides for another node, and counts the work until that node tells of it.
fn schedule(shared: &Arc<Shared>, node: &NodeId, ask: &Ask) -> Option<Decision> {
    let configuration = shared.configuration.load_full()?;
    let engine = configuration.service(&ask.service)?.engine?;
    let decision = decide_here(shared, ask, &engine);
    shared.limiter.reserve(&decision.placed());
    let now = shared.clock.now();
    let mut register = shared.register();
    scheduler::note(&mut register, node, ask, &decision, &engine, now);
    let pool = register.pool_of(&ask.service, &ask.work);
    drop(register);
    take_over(shared, &ask.service, pool);
    Some(decision)
}

/// Notes that this node is asked for a pool. One that has just become its scheduler does not know
/// what the pool's runners keep, and asks them.
fn take_over(shared: &Arc<Shared>, service: &ServiceId, pool: Pool) {
    let now = shared.clock.now();
    let was = shared.scheduling.state().held.insert((service.clone(), pool), now);
    if was.is_some_and(|at| now.saturating_duration_since(at) < TAKEN_OVER) {
        return;
    }
    log::info!(service:% = service, pool = pool.0; "this node schedules the pool");
    tokio::spawn(inventory::run(shared.clone(), service.clone(), pool));
}

/// Takes over the pools that fall to this node before it is asked, so that the first who ask find
/// what their prompts need to be known.
fn take_over_own(shared: &Arc<Shared>) {
    if !shared.is_ready() {
        return;
    }
    let pools: BTreeSet<(ServiceId, Pool)> = {
        let mut register = shared.register();
        register.divide();
        let engines = register.runners().filter(|r| r.entry.stage.is_some());
        engines.map(|r| (r.entry.service.clone(), r.pool)).collect()
    };
    for (service, pool) in pools {
        if holder(shared, &service, pool) == Holder::Me {
            take_over(shared, &service, pool);
        }
    }
}

fn take_report(shared: &Shared, report: &Report) {
    let now = shared.clock.now();
    let mut register = shared.register();
    register.take_report(&report.node, &report.loads, now);
    for reading in &report.readings {
        register.take_reading(*reading, now);
    }
    for (tag, lesson) in &report.lessons {
        if let Some(runner) = register.by_tag_mut(*tag) {
            runner.learn(*lesson, now);
        }
    }
}

/// Tells schedulers what changes, until the process ends.
pub async fn report(shared: Arc<Shared>) {
    let began = tokio::time::Instant::now();
    let mut retold = interval(RETOLD);
    retold.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = retold.tick() => {
                if began.elapsed() >= ACQUAINTED {
                    take_over_own(&shared);
                }
                let busy: Vec<Tag> = shared.register().busy().collect();
                shared.scheduling.state().news.changed.extend(busy);
            }
            () = shared.scheduling.wake.notified() => {}
        }
        for (peer, report) in reports(&shared) {
            transmit(&shared, peer, &Schedule::Report(report)).await;
        }
        // What follows within the same moment goes together.
        sleep(TOGETHER).await;
    }
}

/// The shortest pause between two reports of a node: the least that a timer can wait.
const TOGETHER: Duration = Duration::from_millis(1);

/// The datagrams by which all news is told.
fn reports(shared: &Shared) -> Vec<(SocketAddr, Report)> {
    let news = std::mem::take(&mut shared.scheduling.state().news);
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
            put(reports.last_mut().expect("one was just put there"));
        };
    for tag in news.changed {
        let load: Load = shared.register().by_tag(tag).map(|r| r.own).unwrap_or_default();
        let before = shared.scheduling.state().told.remove(&tag);
        let Some(peer) = peer_of(tag).or(before) else { continue };
        if !load.is_empty() {
            shared.scheduling.state().told.insert(tag, peer);
        }
        add(peer, &|r| r.loads.len() >= MAX_LOADS, &|r| r.loads.push((tag, load)));
    }
    for reading in news.readings {
        let Some(peer) = peer_of(reading.runner) else { continue };
        add(peer, &|r| r.readings.len() >= MAX_READINGS, &|r| r.readings.push(reading));
    }
    for (tag, lesson) in news.lessons {
        let Some(peer) = peer_of(tag) else { continue };
        add(peer, &|r| r.lessons.len() >= MAX_LESSONS, &|r| r.lessons.push((tag, lesson)));
    }
    let told = by_peer.into_iter();
    told.flat_map(|(peer, reports)| reports.into_iter().map(move |r| (peer, r))).collect()
}

/// Where the scheduler of a runner's pool is told; none if that is this node or nobody.
fn scheduler_of(shared: &Shared, tag: Tag) -> Option<SocketAddr> {
    let (service, pool) = {
        let mut register = shared.register();
        register.divide();
        let runner = register.by_tag(tag)?;
        runner.entry.stage?;
        (runner.entry.service.clone(), runner.pool)
    };
    match holder(shared, &service, pool) {
        Holder::Me => None,
        Holder::Other(_, peer) => Some(peer),
    }
}
