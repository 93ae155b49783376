//! Orders to runners to change their stage: which are sent, and on whose authority.
//!
//! Only the holder of the duties lease sends orders ([`crate::duty`]). The lease is checked again
//! immediately before an order is sent, by a clock that also advances during suspension. An order
//! whose answer is lost may still be carried out seconds later. It therefore carries the number of
//! orders that the runner had accepted before, so that it cannot undo a later one, and the runner
//! gets no other order meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use sardinepick_lib::fleet::balance::{
    Capacity, Change, DWELL, REVERSAL_DELAY, StageCounts, decide,
};
use sardinepick_lib::fleet::engine::Stage;
use sardinepick_lib::fleet::route::Configuration;
use sardinepick_lib::fleet::runner::{Entry, Runner, Tag};
use sardinepick_lib::id::{Epoch, RunnerId, ServiceId, StartTime};
use sardinepick_platform::order::{
    Order, Reply, Report, read_report, reply_from_status, request, request_report,
};
use tokio::time::{sleep, timeout};

use crate::serve::connection::{Answer, CONNECT_TIMEOUT, CallKey, SendError};
use crate::serve::shared::Shared;

/// How often the demand for stage changes is evaluated.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);
/// The timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the other nodes are given to learn that a runner must not get new work.
const PROPAGATION_DELAY: Duration = Duration::from_millis(150);
/// How long an unanswered order may still be carried out (platform data sheets: 2 to 12 s).
const IN_DOUBT_PERIOD: Duration = Duration::from_secs(13);
/// The maximum size of the answer to an order.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A stage order to a runner.
#[derive(Clone, Copy, Debug)]
struct StageOrder {
    at: Instant,
    to: Stage,
    /// Until when the runner counts as changing its stage.
    until: Instant,
    /// False if the runner has not answered the order. It then keeps working in its old stage,
    /// possibly for seconds.
    answered: bool,
    /// The incarnation of the runner that the order was for. An answered order ends with it; an
    /// unanswered one may still be carried out by the next incarnation, whose order count also
    /// starts at zero.
    born: Option<StartTime>,
}

impl StageOrder {
    /// Returns whether an unanswered order may still be carried out.
    fn is_in_doubt(&self, now: Instant) -> bool {
        !self.answered && now < self.until
    }
}

struct StageController {
    shared: Arc<Shared>,
    orders: HashMap<RunnerId, StageOrder>,
    /// The last change of each service, and when it was made.
    last: HashMap<ServiceId, (Instant, Stage)>,
}

/// Sends stage orders until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut controller = StageController { shared, orders: HashMap::new(), last: HashMap::new() };
    loop {
        sleep(EVALUATION_PERIOD).await;
        controller.tick().await;
    }
}

impl StageController {
    async fn tick(&mut self) {
        let now = self.shared.clock.now();
        let Some(configuration) = self.shared.configuration.load_full() else { return };
        self.prune(now);
        let wanted_changes = self.wanted_changes(&configuration, now);
        if !wanted_changes.is_empty() {
            self.shared.duty_lease.request();
        }
        for (service, change) in wanted_changes {
            if self.shared.duty_lease.authority_for(ORDER_TIMEOUT).is_some() {
                self.apply_change(&service, change).await;
            }
        }
    }

    /// Drops orders that have been carried out or can no longer be.
    fn prune(&mut self, now: Instant) {
        let register = self.shared.register();
        self.orders.retain(|id, order| {
            let is_recent = now.saturating_duration_since(order.at) < DWELL;
            let same_incarnation =
                register.get(id).is_some_and(|runner| runner.entry.born == order.born);
            // An unanswered order outlasts the runner's incarnation, and also a time without an
            // entry: the runner may restart under the same id and carry it out.
            is_recent && (same_incarnation || order.is_in_doubt(now))
        });
        let switching = |(id, order): (&RunnerId, &StageOrder)| {
            let entry = &register.get(id)?.entry;
            let is_pending = entry.born == order.born && entry.stage != Some(order.to);
            let switching = order.answered && is_pending && now < order.until;
            switching.then(|| Tag::of(id, order.born))
        };
        let tags: Vec<Tag> = self.orders.iter().filter_map(switching).collect();
        drop(register);
        self.shared.register().reserve(&tags, now + EVALUATION_PERIOD * 2);
        self.shared.set_switching(tags);
    }

    /// Returns the stage changes that the demand calls for, by service.
    fn wanted_changes(
        &self,
        configuration: &Configuration,
        now: Instant,
    ) -> Vec<(ServiceId, Change)> {
        let nodes = self.shared.roster().ready_contacts().len() + 1;
        let mut wanted_changes = Vec::new();
        for service in configuration.services() {
            let Some(engine) = service.engine else { continue };
            let stage_counts = self.stage_counts(&service.name, now);
            let mut demands = self.shared.demand();
            let demand = demands.entry(service.name.clone()).or_default();
            demand.tick(now);
            let capacity = Capacity::of(&self.shared.register(), configuration, service, demand);
            if let Some(change) = decide(stage_counts, demand, nodes, engine.memory, &capacity)
                && (change.urgent || !self.reverts_too_soon(&service.name, change.to, now))
            {
                wanted_changes.push((service.name.clone(), change));
            }
        }
        wanted_changes
    }

    /// Returns whether a change would revert the previous one too soon.
    fn reverts_too_soon(&self, service: &ServiceId, to: Stage, now: Instant) -> bool {
        let last = self.last.get(service);
        last.is_some_and(|(at, stage)| {
            *stage != to && now.saturating_duration_since(*at) < REVERSAL_DELAY
        })
    }

    /// Counts the runners of a service by stage.
    fn stage_counts(&self, service: &ServiceId, now: Instant) -> StageCounts {
        let mut stage_counts = StageCounts::default();
        let register = self.shared.register();
        for runner in register.of(service) {
            match (self.pending_stage(&runner.entry, now), runner.entry.stage) {
                (Some(Stage::Prefill), _) => stage_counts.to_prefill += 1,
                (Some(Stage::Decode), _) => stage_counts.to_decode += 1,
                (None, _) if !runner.takes_work(now) => {}
                (None, Some(Stage::Prefill)) => stage_counts.prefill += 1,
                (None, Some(Stage::Decode)) => stage_counts.decode += 1,
                (None, None) => {}
            }
        }
        stage_counts
    }

    /// Returns the stage that a runner is changing to.
    fn pending_stage(&self, entry: &Entry, now: Instant) -> Option<Stage> {
        let order = self.orders.get(&entry.id).filter(|order| order.born == entry.born)?;
        (entry.stage != Some(order.to) && now < order.until).then_some(order.to)
    }

    async fn apply_change(&mut self, service: &ServiceId, change: Change) {
        let chosen = self.choose(service, change);
        if chosen.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        self.last.insert(service.clone(), (now, change.to));
        for entry in &chosen {
            let order = StageOrder {
                at: now,
                to: change.to,
                until: now + IN_DOUBT_PERIOD,
                answered: true,
                born: entry.born,
            };
            self.orders.insert(entry.id.clone(), order);
        }
        self.prune(now);
        sleep(PROPAGATION_DELAY).await;
        for entry in chosen {
            self.order_change(&entry, change.to).await;
        }
    }

    /// Chooses the runners with the least work in progress, which lose least by the change.
    fn choose(&self, service: &ServiceId, change: Change) -> Vec<Entry> {
        let now = self.shared.clock.now();
        let from = match change.to {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let register = self.shared.register();
        let is_eligible = |runner: &&Runner| {
            let stage = runner.entry.stage == Some(from);
            stage && runner.takes_work(now) && !self.orders.contains_key(&runner.entry.id)
        };
        let mut eligible: Vec<&Runner> = register.of(service).filter(is_eligible).collect();
        eligible.sort_by_key(|r| (r.load(now).total(), r.cache.tokens()));
        eligible.iter().take(change.count).map(|r| r.entry.clone()).collect()
    }

    async fn order_change(&mut self, entry: &Entry, to: Stage) {
        // The runner may have changed since its entry was written, so its current state is read
        // first.
        let report = match self.fetch_report(entry).await {
            Ok(report) if !report.busy && matches_entry(&report, entry) => report,
            Ok(report) => {
                log::info!(runner:% = entry.id, report:? = report; "order not given");
                self.withdraw(entry);
                return;
            }
            Err(detail) => {
                log::info!(runner:% = entry.id, error = detail; "order not given");
                self.withdraw(entry);
                return;
            }
        };
        let Some(epoch) = self.shared.duty_lease.authority_for(ORDER_TIMEOUT) else {
            log::info!(runner:% = entry.id; "order not given: duties lease lost or about to expire");
            self.withdraw(entry);
            return;
        };
        let outcome = self.send(entry, to, epoch, report.accepted).await;
        log::info!(
            runner:% = entry.id, stage:% = to, epoch:% = epoch, accepted = report.accepted,
            reply = outcome.map_or("none", Into::into); "order given"
        );
        match outcome {
            Some(Reply::Accepted | Reply::Holds) => {}
            None => {
                if let Some(order) = self.orders.get_mut(&entry.id) {
                    order.answered = false;
                }
            }
            Some(Reply::Busy | Reply::Fenced | Reply::OtherInstance | Reply::Refused) => {
                self.withdraw(entry);
            }
        }
    }

    /// Cancels the change of a runner, which then keeps its stage and gets no other order for a
    /// while.
    fn withdraw(&mut self, entry: &Entry) {
        let now = self.shared.clock.now();
        if let Some(order) = self.orders.get_mut(&entry.id) {
            order.until = now;
        }
    }

    async fn fetch_report(&self, entry: &Entry) -> Result<Report, String> {
        let exchange = async {
            let outgoing = request_report(&entry.id, entry.address);
            let answer = self.call(entry, outgoing).await.map_err(|e| e.to_string())?;
            let (head, body) = answer.read(MAX_ANSWER_BYTES).await.map_err(|e| e.to_string())?;
            if !head.status.is_success() {
                return Err(format!("status {}", head.status));
            }
            read_report(&body).map_err(|e| e.to_string())
        };
        let late = |_| Err(format!("no report within {ORDER_TIMEOUT:?}"));
        timeout(ORDER_TIMEOUT, exchange).await.unwrap_or_else(late)
    }

    async fn call(&self, entry: &Entry, request: Request<Bytes>) -> Result<Answer, SendError> {
        let key = Some(CallKey::of(&request));
        let connections = &self.shared.connections;
        connections.send(entry.address, request, key, CONNECT_TIMEOUT).await
    }

    async fn send(&self, entry: &Entry, to: Stage, epoch: Epoch, accepted: u64) -> Option<Reply> {
        let order = Order {
            runner: &entry.id,
            address: entry.address,
            stage: to,
            holder: &self.shared.me.id,
            epoch,
            accepted,
        };
        match timeout(ORDER_TIMEOUT, self.call(entry, request(&order))).await {
            Ok(Ok(answer)) => {
                let reply = reply_from_status(answer.head.status);
                answer.discard();
                Some(reply)
            }
            Ok(Err(error)) => {
                log::info!(runner:% = entry.id, error:% = error; "order not answered");
                None
            }
            Err(_) => {
                log::info!(runner:% = entry.id, limit:? = ORDER_TIMEOUT; "order not answered");
                None
            }
        }
    }
}

/// Returns whether a report is of the incarnation and the stage in the entry. The order count of
/// another incarnation has no meaning.
fn matches_entry(report: &Report, entry: &Entry) -> bool {
    let born = report.born.is_none() || report.born == entry.born;
    born && report.stage == entry.stage
}
