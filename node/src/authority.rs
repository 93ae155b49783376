//! Control of the engines of model services: leases, orders and role decisions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use sardinepick_lib::assignment;
use sardinepick_lib::config::object::{Form, Role, Runner, Service};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Epoch, Name};
use sardinepick_lib::lease::{self, Holder, Lease, Written};
use sardinepick_lib::order::{self, Answer, Intent, OrderSender};
use sardinepick_lib::role::{self, ChangeCost, Decision, Engine, MIXED_EFFICIENCY};
use smol_str::format_smolstr;

use crate::node::Node;
use crate::peer::gossip;
use crate::pool::PoolState;
use crate::store::StoreError;
use crate::upstream::Peer;

/// The interval between steps of a service's lease and orders.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// How often the configuration is checked for new services.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between role decisions.
const DECISION_INTERVAL: Duration = Duration::from_secs(5);

/// How often the lease is read while another node holds it and this node should.
const LEASE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// The assumed downtime of an engine during a role change.
const ROLE_CHANGE_DOWNTIME: Duration = Duration::from_secs(10);

/// The minimum time between two role changes of one engine.
const MIN_ROLE_CHANGE_INTERVAL: Duration = Duration::from_secs(60);

/// How often the reservation of a runner is renewed on the nodes that share it.
const RESERVE_INTERVAL: Duration = Duration::from_millis(500);

/// The duration of each reservation: two renewals in a row may be lost.
const RESERVE_DURATION: Duration = Duration::from_millis(1800);

/// How long a reservation may take to reach the other nodes. A runner that is idle before then may
/// still get new requests.
const RESERVE_DELAY: Duration = Duration::from_millis(300);

/// How long a runner may take to finish its requests. After that, its streams are resumed
/// elsewhere.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// This node's view of the control of one service, for operators.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// The lease as last seen.
    pub lease: Option<lease::Record>,
    /// When it was last seen.
    pub seen_at: Option<Instant>,
    /// The epoch of the lease while this node holds it.
    pub held_epoch: Option<Epoch>,
    /// The last role decision.
    pub decision: Option<Decision>,
}

/// This node's view of the control of all services.
#[derive(Debug, Default)]
pub struct Authority {
    views: Mutex<BTreeMap<Name, ServiceView>>,
}

impl Authority {
    /// Returns the view of each service.
    pub fn views(&self) -> BTreeMap<Name, ServiceView> {
        self.views.lock().expect("views lock poisoned").clone()
    }

    /// Returns how many leases this node holds.
    pub fn held_leases(&self) -> usize {
        let views = self.views.lock().expect("views lock poisoned");
        views.values().filter(|v| v.held_epoch.is_some()).count()
    }

    fn update(&self, service: &Name, change: impl FnOnce(&mut ServiceView)) {
        let mut views = self.views.lock().expect("views lock poisoned");
        change(views.entry(service.clone()).or_default());
    }
}

/// Returns the name of the object with the lease of a service.
pub fn lease_object(service: &Name) -> String {
    format!("leases/{service}")
}

/// Returns the name of the object with the intent for a runner.
pub fn intent_object(runner: &Name) -> String {
    format!("orders/{runner}")
}

/// Runs one task per model service until the node stops.
pub async fn run(node: Arc<Node>) {
    let mut known: HashSet<Name> = HashSet::new();
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = tokio::time::sleep(SERVICE_CHECK_INTERVAL) => {}
        }
        for service in node.config.load().services().filter(|s| s.form == Form::Model) {
            if known.insert(service.name.clone()) {
                tokio::spawn(ServiceController::new(node.clone(), service.name.clone()).run());
            }
        }
    }
}

/// Holds the lease of one service and sends orders to its engines.
struct ServiceController {
    node: Arc<Node>,
    service: Name,
    lease: Lease,
    lease_read_at: Option<Instant>,
    decided_at: Option<Instant>,
    order_senders: HashMap<Name, OrderSender>,
    configured_roles: HashMap<Name, Role>,
    changed_at: HashMap<Name, Instant>,
    reserved: HashMap<Name, Reservation>,
    next_order: u64,
}

/// A runner that gets no new requests from before its role change until it is back.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    started_at: Instant,
    renewed_at: Instant,
}

impl ServiceController {
    fn new(node: Arc<Node>, service: Name) -> Self {
        let name =
            node.settings.name.as_str().try_into().expect("node names are valid holder names");
        let me = Holder { name, incarnation: node.incarnation };
        Self {
            node,
            service,
            lease: Lease::new(me),
            lease_read_at: None,
            decided_at: None,
            order_senders: HashMap::new(),
            configured_roles: HashMap::new(),
            changed_at: HashMap::new(),
            reserved: HashMap::new(),
            next_order: 0,
        }
    }

    async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.node.stopped() => return,
                () = tokio::time::sleep(STEP_INTERVAL) => {}
            }
            let wanted = self.should_hold_lease();
            self.step_lease(wanted).await;
            let now = self.node.clock.now();
            let held = self.lease.authority(now);
            let record = self.lease.record().cloned();
            self.node.authority.update(&self.service, |view| {
                view.held_epoch = held;
                view.seen_at = record.as_ref().map(|_| now);
                view.lease = record;
            });
            if held.is_some() {
                self.step_orders().await;
            } else {
                self.order_senders.clear();
                self.configured_roles.clear();
            }
        }
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.node.config.load_full()
    }

    /// Returns whether this node should hold the lease: rendezvous hashing assigns it to one
    /// serving node.
    fn should_hold_lease(&self) -> bool {
        if !self.node.is_ready() || self.snapshot().service(&self.service).is_none() {
            return false;
        }
        let members = self.node.members();
        let duty = format!("lease {}", self.service);
        assignment::duty_node(&duty, members.serving()) == Some(&self.node.settings.name)
    }

    async fn step_lease(&mut self, wanted: bool) {
        let node = self.node.clone();
        let now = node.clock.now();
        let held = self.lease.authority(now).is_some();
        if !wanted && !held {
            return;
        }
        let due = self.lease_read_at.is_none_or(|at| now >= at + LEASE_READ_INTERVAL);
        if !held && due {
            self.lease_read_at = Some(now);
            self.lease.request_read();
        }
        if self.lease.take_settling_read() {
            self.read_lease().await;
        }
        let term = node.settings.term;
        let is_gone = |h: &Holder| {
            let name = h.name.as_str().parse();
            name.is_ok_and(|name| node.members().has_ended(&name, h.incarnation))
        };
        match self.lease.poll(node.clock.now(), term, wanted, is_gone) {
            None => {}
            Some(lease::Action::Read) => self.read_lease().await,
            Some(lease::Action::Write { expected, record }) => {
                self.write_lease(expected, record).await;
            }
        }
    }

    async fn read_lease(&mut self) {
        let object = lease_object(&self.service);
        let found = match self.node.store.get(&object).await {
            Ok(None) => None,
            Ok(Some(found)) => match serde_json::from_slice(&found.value) {
                Ok(record) => Some((found.revision, record)),
                Err(error) => {
                    log::error!(object:% = object, error:% = error; "invalid lease record");
                    return;
                }
            },
            Err(error) => {
                log::debug!(error:% = error; "failed to read a lease");
                self.lease.request_read();
                return;
            }
        };
        let now = self.node.clock.now();
        self.lease.on_read(now, self.node.settings.term, found);
    }

    async fn write_lease(&mut self, expected: Option<Point>, record: lease::Record) {
        let object = lease_object(&self.service);
        let value = Bytes::from(serde_json::to_vec(&record).expect("leases serialize to JSON"));
        let written = match self.node.store.put(&object, expected, value).await {
            Ok(revision) => Written::Done(revision),
            Err(StoreError::Conflict { .. }) => Written::Conflict,
            Err(StoreError::Lost { .. }) => Written::Lost,
            // Nothing was written. As after a conflict, the next step reads the lease and retries.
            Err(StoreError::Unreachable { .. } | StoreError::Refused { .. }) => Written::Conflict,
        };
        let now = self.node.clock.now();
        self.lease.on_written(now, self.node.settings.term, written);
        if matches!(written, Written::Done(_)) && record.beat == 0 && record.holder.is_some() {
            log::info!(service:% = self.service, epoch:% = record.epoch; "lease taken");
        }
        if matches!(written, Written::Done(_)) && record.holder.is_none() {
            log::info!(service:% = self.service, epoch:% = record.epoch; "lease given back");
        }
    }

    async fn step_orders(&mut self) {
        let snapshot = self.snapshot();
        let Some(service) = snapshot.service(&self.service) else { return };
        let runners: Vec<&Runner> = snapshot.runners(&self.service).collect();
        self.order_senders.retain(|name, _| runners.iter().any(|r| r.name == *name));
        self.update_roles(service, &runners);
        for runner in runners {
            self.step_runner(runner).await;
        }
    }

    fn update_roles(&mut self, service: &Service, runners: &[&Runner]) {
        for runner in runners {
            let previous = self.configured_roles.insert(runner.name.clone(), runner.role);
            let changed_by_operator = previous.is_some_and(|role| role != runner.role);
            let is_initial = previous.is_none() && service.role_price.is_none();
            if changed_by_operator || is_initial {
                self.request_role(&runner.name, runner.role);
            }
        }
        let now = self.node.clock.now();
        let due = self.decided_at.is_none_or(|at| now >= at + DECISION_INTERVAL);
        let Some(extra) = service.role_price.filter(|_| due) else { return };
        self.decided_at = Some(now);
        let Some(pool) = self.node.pool(&self.service) else { return };
        let decision = self.decide(service, extra, runners, &pool.state());
        for change in &decision.changes {
            let name = runners[change.at].name.clone();
            log::info!(
                service:% = self.service, runner:% = name, role:% = change.to; "role change"
            );
            self.changed_at.insert(name.clone(), now);
            self.request_role(&name, change.to);
        }
        self.node.authority.update(&self.service, |view| view.decision = Some(decision));
    }

    fn decide(
        &self,
        service: &Service,
        extra: Duration,
        runners: &[&Runner],
        pool_state: &PoolState,
    ) -> Decision {
        let now = self.node.clock.now();
        let engine = |(at, runner): (usize, &&Runner)| {
            let view = pool_state.views.iter().find(|v| v.name == runner.name);
            Engine {
                at,
                role: view.map_or(runner.role, |v| v.report.role),
                changing: self.order_senders.get(&runner.name).is_some_and(OrderSender::is_busy),
                leaving: view.is_some_and(|v| !v.takes_work(now)),
                changed: self.changed_at.get(&runner.name).copied(),
            }
        };
        let engines: Vec<Engine> = runners.iter().enumerate().map(engine).collect();
        let change_cost = ChangeCost {
            away: ROLE_CHANGE_DOWNTIME,
            extra,
            away_limit: f64::from(service.away_limit.0) / 100.0,
            dwell: MIN_ROLE_CHANGE_INTERVAL,
        };
        role::decide(now, &engines, &pool_state.estimate, change_cost, MIXED_EFFICIENCY)
    }

    fn request_role(&mut self, runner: &Name, role: Role) {
        let now = self.node.clock.now();
        let Some(epoch) = self.lease.authority(now) else { return };
        let fencing = self.snapshot().runner(runner).map(|r| r.fencing).unwrap_or_default();
        self.next_order += 1;
        let id = order::Id(format_smolstr!("{}-{epoch}-{}", self.service, self.next_order));
        let sender =
            self.order_senders.entry(runner.clone()).or_insert_with(|| OrderSender::new(fencing));
        if !sender.request(id, role) {
            // An order is in progress; the request is repeated in the next step.
            self.configured_roles.remove(runner);
        }
    }

    /// Reserves a runner before its role change, so that the nodes that share it give it no new
    /// requests, and returns whether it is idle. The order is held back until it is.
    ///
    /// Otherwise the engine would cut all of its streams at once. They would be resumed elsewhere,
    /// but the streams of a whole engine exceed the retry budget, so a planned change would cut
    /// clients' requests.
    async fn reserve_and_check_idle(&mut self, runner: &Runner) -> bool {
        let now = self.node.clock.now();
        let new = Reservation { started_at: now, renewed_at: now };
        let first = !self.reserved.contains_key(&runner.name);
        let reservation = self.reserved.entry(runner.name.clone()).or_insert(new);
        let started_at = reservation.started_at;
        if first || now >= reservation.renewed_at + RESERVE_INTERVAL {
            reservation.renewed_at = now;
            gossip::reserve(&self.node, &runner.name, RESERVE_DURATION).await;
        }
        if now < started_at + RESERVE_DELAY {
            return false;
        }
        if now >= started_at + IDLE_TIMEOUT {
            log::warn!(
                runner:% = runner.name; "runner still busy before its role change, not waiting"
            );
            return true;
        }
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let load = self.node.engine.load(&peer).await;
        load.is_ok_and(|report| report.running + report.waiting == 0)
    }

    /// Renews the reservation of a runner until it is back from its role change.
    async fn await_return(&mut self, runner: &Runner) {
        let Some(reservation) = self.reserved.get(&runner.name).copied() else { return };
        let now = self.node.clock.now();
        if now < reservation.renewed_at + RESERVE_INTERVAL {
            return;
        }
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let away = self.node.engine.condition(&peer).await.is_ok_and(|c| c.changing);
        if away {
            gossip::reserve(&self.node, &runner.name, RESERVE_DURATION).await;
            self.reserved
                .insert(runner.name.clone(), Reservation { renewed_at: now, ..reservation });
        } else {
            self.reserved.remove(&runner.name);
        }
    }

    async fn step_runner(&mut self, runner: &Runner) {
        let node = self.node.clone();
        match self.order_senders.get(&runner.name) {
            Some(sender) if sender.is_about_to_send() => {
                if !self.reserve_and_check_idle(runner).await {
                    return;
                }
            }
            _ => self.await_return(runner).await,
        }
        let sender = self
            .order_senders
            .entry(runner.name.clone())
            .or_insert_with(|| OrderSender::new(runner.fencing));
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let now = node.clock.now();
        let mut next = sender.poll(now, self.lease.authority(now), self.lease.is_doubtful());
        while let Some(action) = next {
            next = match action {
                order::Action::Read => {
                    if let Ok(found) = read_intent(&node, &runner.name).await {
                        sender.on_read(found);
                    }
                    None
                }
                order::Action::Write { expected, intent } => {
                    let revision = write_intent(&node, &runner.name, expected, &intent).await;
                    sender.on_written(revision);
                    None
                }
                order::Action::Query => match node.engine.condition(&peer).await {
                    Ok(condition) => sender.on_status(&condition),
                    Err(fault) => {
                        log::debug!(error:% = fault; "failed to query an engine's status");
                        None
                    }
                },
                order::Action::Send(order) => {
                    // This task may have been suspended since the order was prepared, so the lease
                    // is checked again just before the order is sent.
                    let still_valid = self.lease.authority(node.clock.now()) == Some(order.epoch);
                    let answer = if still_valid {
                        node.engine.order(&peer, &order).await
                    } else {
                        Answer::Lost
                    };
                    let label = match answer {
                        Answer::Accepted => "taken",
                        Answer::Fenced => "fenced",
                        Answer::Lost => "lost",
                    };
                    node.metrics.orders.with_label_values(&[label]).inc();
                    log::info!(
                        runner:% = runner.name, order:% = order.id, epoch:% = order.epoch,
                        role:% = order.role, answer = label; "order"
                    );
                    sender.on_answer(answer)
                }
            };
        }
    }
}

async fn read_intent(node: &Node, runner: &Name) -> Result<Option<(Point, Intent)>, StoreError> {
    let object = intent_object(runner);
    let Some(found) = node.store.get(&object).await? else { return Ok(None) };
    match serde_json::from_slice(&found.value) {
        Ok(intent) => Ok(Some((found.revision, intent))),
        Err(error) => {
            log::error!(object:% = object, error:% = error; "invalid intent record");
            Ok(None)
        }
    }
}

async fn write_intent(
    node: &Node,
    runner: &Name,
    expected: Option<Point>,
    intent: &Intent,
) -> Option<Point> {
    let value = Bytes::from(serde_json::to_vec(intent).expect("intents serialize to JSON"));
    match node.store.put(&intent_object(runner), expected, value).await {
        Ok(revision) => Some(revision),
        Err(error) => {
            log::debug!(error:% = error; "failed to write an intent");
            None
        }
    }
}
