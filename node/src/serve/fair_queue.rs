//! The scheduler's part of fair shares: queries wait here while the runners of their pool are busy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::engine::Engine;
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::scheduler::{self, Decision, Query};
use sardinepick_lib::fleet::share::{Runner, Usage};
use sardinepick_lib::id::RunnerId;
use sardinepick_wire::schedule::{MAX_SETTLEMENTS, Schedule};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::fair_share::{ASK_AGAIN, Asker, Estimate, PoolKey, Reply, Verdict, Waiting};
use crate::serve::scheduler::{Knowledge, decide_locally, pool_of, take_over, transmit};
use crate::serve::shared::Shared;

/// The fraction of the shortest objective of a generation for which work may wait at a runner. It
/// keeps runners busy between two reports of load, and urgent work waits little for what was sent
/// before it.
const WAIT_FRACTION: f64 = 0.2;
/// The range of that wait.
const WAIT_RANGE: (f64, f64) = (0.02, 0.2);
/// How often the queue is examined while work waits, besides at each report of load. Prompts of the
/// runners end without a report where the prediction is that they have ended.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// How often it is examined otherwise.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// The maximum number of queries that are released at once.
const MAX_RELEASED: usize = 32;

/// Answers a query of another node: with the decision, or with [`Decision::Waiting`] if the query is
/// queued. The decision is then sent later.
pub async fn handle_query(shared: &Arc<Shared>, from: SocketAddr, asker: Asker, query: Box<Query>) {
    let number = asker.number;
    let known = shared.fair_share.recall(&asker, &query);
    let decision = match known {
        Some(decision) => Some(decision),
        None => match prepare(shared, &query) {
            Prepared::Unknown => None,
            Prepared::Decided(decision) => Some(decision),
            Prepared::Estimated(estimate) => {
                submit(shared, asker.clone(), Reply::Peer(from), query, estimate).await;
                if !shared.fair_share.is_waiting(&asker) {
                    // The decision has been sent.
                    return;
                }
                Some(Decision::Waiting(ASK_AGAIN))
            }
        },
    };
    transmit(shared, from, &Schedule::Answer { number, decision }).await;
}

/// Lets a request of this node wait for its turn in a pool that this node schedules, until `limit`
/// at the latest. Returns the decision and the number of the query; `None` if there was no decision.
pub async fn wait_here(
    shared: &Arc<Shared>,
    query: &Query,
    limit: Instant,
) -> Option<(Decision, u64)> {
    let asker = shared.fair_share.own_asker();
    let number = asker.number;
    let estimate = match prepare(shared, query) {
        Prepared::Unknown => return None,
        Prepared::Decided(decision) => return Some((decision, number)),
        Prepared::Estimated(estimate) => estimate,
    };
    let (sender, decision) = oneshot::channel();
    submit(shared, asker, Reply::Here(sender), Box::new(query.clone()), estimate).await;
    let left = limit.saturating_duration_since(shared.clock.now());
    Some((timeout(left, decision).await.ok()?.ok()?, number))
}

/// What can be said of a query when it arrives.
enum Prepared {
    /// The service is not known here.
    Unknown,
    /// No runner can run it, whatever the share of its account.
    Decided(Decision),
    /// It can be run.
    Estimated(Estimate),
}

fn prepare(shared: &Shared, query: &Query) -> Prepared {
    let Some(engine) = engine(shared, query) else { return Prepared::Unknown };
    match decide_locally(shared, query, &engine, Knowledge::Whole) {
        Decision::Placed { placement, .. } | Decision::Late(placement) => {
            Prepared::Estimated(estimate(shared, query, &engine, &placement))
        }
        decision => Prepared::Decided(decision),
    }
}

fn engine(shared: &Shared, query: &Query) -> Option<Engine> {
    shared.configuration.load_full()?.service(&query.service)?.engine
}

/// Estimates what a request takes from its predicted placement and the usual time of a stream at the
/// runner.
fn estimate(shared: &Shared, query: &Query, engine: &Engine, placement: &Placement) -> Estimate {
    let runner: &RunnerId = match &placement.plan {
        Plan::Whole { runner } | Plan::Split { decode: runner, .. } => runner,
    };
    let decode = shared.register().get(runner).map_or(0.0, |runner| runner.stream_time);
    let memory = query.work.footprint() as f64 * decode;
    let prefill = (placement.prefill_end - placement.prefill_start).max(0.0);
    let first_event = (placement.first_event - placement.prefill_start).max(0.0);
    Estimate {
        usage: Usage { prefill, decode, memory },
        runner: Runner { slots: engine.slots, memory: engine.memory },
        first_event: Duration::from_secs_f64(first_event),
    }
}

async fn submit(
    shared: &Arc<Shared>,
    asker: Asker,
    reply: Reply,
    query: Box<Query>,
    estimate: Estimate,
) {
    let pool = (query.service.clone(), pool_of(shared, &query));
    take_over(shared, &query.service, pool.1);
    let waiting = Waiting { asker, reply, query, since: shared.clock.now(), estimate };
    for verdict in shared.fair_share.submit(&pool, waiting) {
        deliver(shared, verdict).await;
    }
    release(shared, &pool).await;
    shared.fair_share.wake.notify_one();
}

/// Lets queries of a pool start as long as runners have room.
async fn release(shared: &Arc<Shared>, pool: &PoolKey) {
    let max_wait = max_wait(shared);
    let runners = count_runners(shared, pool);
    for _ in 0..MAX_RELEASED {
        let place = |query: &Query| place(shared, query, max_wait);
        let Some(verdict) = shared.fair_share.release(pool, runners, place) else { return };
        // The register does not count work of this node until its task reserves the runner.
        let is_own = matches!(verdict.waiting.reply, Reply::Here(_));
        deliver(shared, verdict).await;
        if is_own {
            return;
        }
    }
}

fn count_runners(shared: &Shared, (service, pool): &PoolKey) -> usize {
    let now = shared.clock.now();
    let register = shared.register();
    register.of(service).filter(|r| r.pool == *pool && r.takes_work(now)).count()
}

/// Places a query if a runner has room: if its prefill would start soon.
fn place(shared: &Shared, query: &Query, max_wait: f64) -> Option<Decision> {
    let decision = decide_locally(shared, query, &engine(shared, query)?, Knowledge::Whole);
    let has_room = |placement: &Placement| placement.prefill_start <= max_wait;
    matches!(&decision, Decision::Placed { placement, .. } if has_room(placement))
        .then_some(decision)
}

/// How long work may wait at a runner, in seconds.
fn max_wait(shared: &Shared) -> f64 {
    let configuration = shared.configuration.load();
    let objective = configuration.as_ref().and_then(|c| c.shortest_objective());
    let wait = objective.map_or(WAIT_RANGE.0, |o| o.as_secs_f64() * WAIT_FRACTION);
    wait.clamp(WAIT_RANGE.0, WAIT_RANGE.1)
}

/// Sends a decision to the node or task that waits for it, and counts the work until that node
/// reports it.
async fn deliver(shared: &Arc<Shared>, verdict: Verdict) {
    let Verdict { waiting, decision } = verdict;
    let now = shared.clock.now();
    let waited = now.saturating_duration_since(waiting.since);
    if let Decision::Refused { reason, retry } = &decision {
        log::debug!(
            node:% = waiting.asker.node, service:% = waiting.query.service,
            account = waiting.query.account.0, reason:% = reason,
            waited_ms = waited.as_millis() as u64, retry_ms = retry.as_millis() as u64;
            "share refuses"
        );
    }
    shared.limiter.reserve(&decision.placed());
    match waiting.reply {
        // The task has ended if the caller has left.
        Reply::Here(sender) => drop(sender.send(decision)),
        Reply::Peer(peer) => {
            if let Some(engine) = engine(shared, &waiting.query) {
                let node = &waiting.asker.node;
                let mut register = shared.register();
                scheduler::note(&mut register, node, &waiting.query, &decision, &engine, now);
            }
            let number = waiting.asker.number;
            transmit(shared, peer, &Schedule::Answer { number, decision: Some(decision) }).await;
        }
    }
}

/// Lets waiting queries start or refuses them, and reports what requests of this node used, until
/// the process ends.
pub async fn run(shared: Arc<Shared>) {
    let shares = &shared.fair_share;
    let mut forgotten_at = shared.clock.now();
    loop {
        let pools = shares.waiting_pools();
        let period = if pools.is_empty() { IDLE_PERIOD } else { POLL_PERIOD };
        tokio::select! {
            () = shares.wake.notified() => {}
            () = sleep(period) => {}
        }
        for verdict in shares.expire() {
            deliver(&shared, verdict).await;
        }
        for pool in pools {
            release(&shared, &pool).await;
        }
        send_settlements(&shared).await;
        let now = shared.clock.now();
        if now.saturating_duration_since(forgotten_at) >= IDLE_PERIOD {
            shares.forget();
            forgotten_at = now;
        }
    }
}

async fn send_settlements(shared: &Shared) {
    for (peer, usage) in shared.fair_share.take_unsent() {
        for usage in usage.chunks(MAX_SETTLEMENTS) {
            let node = shared.me.id.clone();
            transmit(shared, peer, &Schedule::Settled { node, usage: usage.to_vec() }).await;
        }
    }
}
