//! The authority over the engines of model services: leases, orders, and decisions on roles.

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
use crate::pool::Peek;
use crate::store::StoreError;
use crate::upstream::Peer;

/// How often the lease and the orders of a service are looked after.
const STEP: Duration = Duration::from_millis(200);

/// How often the services are looked through for new ones.
const SERVICES_PERIOD: Duration = Duration::from_secs(1);

/// How often a decision on roles is taken.
const DECISION_PERIOD: Duration = Duration::from_secs(5);

/// How often the lease of another is looked at while this node should have it.
const CONTEST_PERIOD: Duration = Duration::from_secs(1);

/// How long an engine is taken to be away for a change.
const AWAY: Duration = Duration::from_secs(10);

/// The shortest time between two changes of one engine.
const DWELL: Duration = Duration::from_secs(60);

/// How often the sharers of a runner that is emptied are told so.
const RESERVE_PERIOD: Duration = Duration::from_millis(500);

/// For how long each telling holds: two may be lost.
const RESERVE_SPAN: Duration = Duration::from_millis(1800);

/// How long the sharers have to hear of it before the runner's emptiness is believed.
const SETTLE: Duration = Duration::from_millis(300);

/// How long a runner may take to become empty. After that its streams go on elsewhere.
const EMPTY_LIMIT: Duration = Duration::from_secs(60);

/// What is known here of one service's authority, for operators.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The lease as last seen.
    pub lease: Option<lease::Record>,
    /// When it was seen.
    pub seen: Option<Instant>,
    /// The fencing number, while this node holds the lease.
    pub held: Option<Epoch>,
    /// The last decision on roles.
    pub decision: Option<Decision>,
}

/// What is known here of all services' authority.
#[derive(Debug, Default)]
pub struct Authority {
    views: Mutex<BTreeMap<Name, View>>,
}

impl Authority {
    /// What is known of each service.
    pub fn views(&self) -> BTreeMap<Name, View> {
        self.views.lock().expect("no holder of the views' lock panics").clone()
    }

    /// How many leases this node holds.
    pub fn held(&self) -> usize {
        let views = self.views.lock().expect("no holder of the views' lock panics");
        views.values().filter(|v| v.held.is_some()).count()
    }

    fn note(&self, service: &Name, change: impl FnOnce(&mut View)) {
        let mut views = self.views.lock().expect("no holder of the views' lock panics");
        change(views.entry(service.clone()).or_default());
    }
}

/// The object that holds the lease of a service.
pub fn lease_object(service: &Name) -> String {
    format!("leases/{service}")
}

/// The object that holds the intent for a runner.
pub fn intent_object(runner: &Name) -> String {
    format!("orders/{runner}")
}

/// Keeps a task for each model service until the node stops.
pub async fn run(node: Arc<Node>) {
    let mut known: HashSet<Name> = HashSet::new();
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = tokio::time::sleep(SERVICES_PERIOD) => {}
        }
        for service in node.config.load().services().filter(|s| s.form == Form::Model) {
            if known.insert(service.name.clone()) {
                tokio::spawn(Desks::new(node.clone(), service.name.clone()).run());
            }
        }
    }
}

/// The work of one service's authority at one node.
struct Desks {
    node: Arc<Node>,
    service: Name,
    lease: Lease,
    looked: Option<Instant>,
    decided: Option<Instant>,
    desks: HashMap<Name, OrderSender>,
    configured: HashMap<Name, Role>,
    changed: HashMap<Name, Instant>,
    emptying: HashMap<Name, Emptying>,
    next_order: u64,
}

/// A runner that is emptied before a role change, and left alone until it is back.
#[derive(Clone, Copy, Debug)]
struct Emptying {
    began: Instant,
    told: Instant,
}

impl Desks {
    fn new(node: Arc<Node>, service: Name) -> Self {
        let name = node.settings.name.as_str().try_into().expect("each name is an id");
        let me = Holder { name, incarnation: node.incarnation };
        Self {
            node,
            service,
            lease: Lease::new(me),
            looked: None,
            decided: None,
            desks: HashMap::new(),
            configured: HashMap::new(),
            changed: HashMap::new(),
            emptying: HashMap::new(),
            next_order: 0,
        }
    }

    async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.node.stopped() => return,
                () = tokio::time::sleep(STEP) => {}
            }
            let wanted = self.is_wanted();
            self.step_lease(wanted).await;
            let now = self.node.clock.now();
            let held = self.lease.authority(now);
            let record = self.lease.record().cloned();
            self.node.authority.note(&self.service, |view| {
                view.held = held;
                view.seen = record.as_ref().map(|_| now);
                view.lease = record;
            });
            if held.is_some() {
                self.step_orders().await;
            } else {
                self.desks.clear();
                self.configured.clear();
            }
        }
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.node.config.load_full()
    }

    /// Whether this node should hold the lease: rendezvous hashing gives it to one node that
    /// takes part and is not leaving.
    fn is_wanted(&self) -> bool {
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
        let mine = self.lease.authority(now).is_some();
        if !wanted && !mine {
            return;
        }
        let due = self.looked.is_none_or(|at| now >= at + CONTEST_PERIOD);
        if !mine && due {
            self.looked = Some(now);
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
                    log::error!(object:% = object, error:% = error; "reading a lease");
                    return;
                }
            },
            Err(error) => {
                log::debug!(error:% = error; "reading a lease");
                self.lease.request_read();
                return;
            }
        };
        let now = self.node.clock.now();
        self.lease.on_read(now, self.node.settings.term, found);
    }

    async fn write_lease(&mut self, expected: Option<Point>, record: lease::Record) {
        let object = lease_object(&self.service);
        let value = Bytes::from(serde_json::to_vec(&record).expect("a lease is JSON"));
        let written = match self.node.store.put(&object, expected, value).await {
            Ok(revision) => Written::Done(revision),
            Err(StoreError::Conflict { .. }) => Written::Conflict,
            Err(StoreError::Lost { .. }) => Written::Lost,
            // Nothing was written, so the next step may try anew after a look.
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
        self.desks.retain(|name, _| runners.iter().any(|r| r.name == *name));
        self.want_roles(service, &runners);
        for runner in runners {
            self.step_desk(runner).await;
        }
    }

    fn want_roles(&mut self, service: &Service, runners: &[&Runner]) {
        for runner in runners {
            let before = self.configured.insert(runner.name.clone(), runner.role);
            let operator_spoke = before.is_some_and(|role| role != runner.role);
            let first = before.is_none() && service.role_price.is_none();
            if operator_spoke || first {
                self.want(&runner.name, runner.role);
            }
        }
        let now = self.node.clock.now();
        let due = self.decided.is_none_or(|at| now >= at + DECISION_PERIOD);
        let Some(extra) = service.role_price.filter(|_| due) else { return };
        self.decided = Some(now);
        let Some(pool) = self.node.pool(&self.service) else { return };
        let decision = self.decide(service, extra, runners, &pool.peek());
        for change in &decision.changes {
            let name = runners[change.at].name.clone();
            log::info!(service:% = self.service, runner:% = name, role:% = change.to; "role change");
            self.changed.insert(name.clone(), now);
            self.want(&name, change.to);
        }
        self.node.authority.note(&self.service, |view| view.decision = Some(decision));
    }

    fn decide(
        &self,
        service: &Service,
        extra: Duration,
        runners: &[&Runner],
        peek: &Peek,
    ) -> Decision {
        let now = self.node.clock.now();
        let engine = |(at, runner): (usize, &&Runner)| {
            let view = peek.views.iter().find(|v| v.name == runner.name);
            Engine {
                at,
                role: view.map_or(runner.role, |v| v.report.role),
                changing: self.desks.get(&runner.name).is_some_and(OrderSender::is_busy),
                leaving: view.is_some_and(|v| !v.takes_work(now)),
                changed: self.changed.get(&runner.name).copied(),
            }
        };
        let engines: Vec<Engine> = runners.iter().enumerate().map(engine).collect();
        let price = ChangeCost {
            away: AWAY,
            extra,
            away_limit: f64::from(service.away_limit.0) / 100.0,
            dwell: DWELL,
        };
        role::decide(now, &engines, &peek.estimate, price, MIXED_EFFICIENCY)
    }

    fn want(&mut self, runner: &Name, role: Role) {
        let now = self.node.clock.now();
        let Some(epoch) = self.lease.authority(now) else { return };
        let fencing = self.snapshot().runner(runner).map(|r| r.fencing).unwrap_or_default();
        self.next_order += 1;
        let id = order::Id(format_smolstr!("{}-{epoch}-{}", self.service, self.next_order));
        let desk = self.desks.entry(runner.clone()).or_insert_with(|| OrderSender::new(fencing));
        if !desk.request(id, role) {
            // The order under way comes first; the wish is looked at again in the next step.
            self.configured.remove(runner);
        }
    }

    /// Empties a runner before a role change: its sharers give it no new work, and the order waits
    /// until it has finished what it has. True once it is empty.
    ///
    /// Without this an engine that goes away cuts all of its streams at once. They would go on
    /// elsewhere, but a whole engine's streams are more than the retry budget grants, and callers
    /// would see a planned change cut their requests.
    async fn empty(&mut self, runner: &Runner) -> bool {
        let now = self.node.clock.now();
        let fresh = Emptying { began: now, told: now };
        let first = !self.emptying.contains_key(&runner.name);
        let emptying = self.emptying.entry(runner.name.clone()).or_insert(fresh);
        let began = emptying.began;
        if first || now >= emptying.told + RESERVE_PERIOD {
            emptying.told = now;
            gossip::reserve(&self.node, &runner.name, RESERVE_SPAN).await;
        }
        if now < began + SETTLE {
            return false;
        }
        if now >= began + EMPTY_LIMIT {
            log::warn!(runner:% = runner.name; "a runner did not become empty before its role change");
            return true;
        }
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let load = self.node.engine.load(&peer).await;
        load.is_ok_and(|report| report.running + report.waiting == 0)
    }

    /// Keeps new work from a runner until it is back from its role change.
    async fn await_return(&mut self, runner: &Runner) {
        let Some(emptying) = self.emptying.get(&runner.name).copied() else { return };
        let now = self.node.clock.now();
        if now < emptying.told + RESERVE_PERIOD {
            return;
        }
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let away = self.node.engine.condition(&peer).await.is_ok_and(|c| c.changing);
        if away {
            gossip::reserve(&self.node, &runner.name, RESERVE_SPAN).await;
            self.emptying.insert(runner.name.clone(), Emptying { told: now, ..emptying });
        } else {
            self.emptying.remove(&runner.name);
        }
    }

    async fn step_desk(&mut self, runner: &Runner) {
        let node = self.node.clone();
        match self.desks.get(&runner.name) {
            Some(desk) if desk.is_about_to_send() => {
                if !self.empty(runner).await {
                    return;
                }
            }
            _ => self.await_return(runner).await,
        }
        let desk = self
            .desks
            .entry(runner.name.clone())
            .or_insert_with(|| OrderSender::new(runner.fencing));
        let peer = Peer { name: runner.name.clone(), address: runner.address };
        let now = node.clock.now();
        let mut next = desk.poll(now, self.lease.authority(now), self.lease.is_doubtful());
        while let Some(action) = next {
            next = match action {
                order::Action::Read => {
                    if let Ok(found) = read_intent(&node, &runner.name).await {
                        desk.on_read(found);
                    }
                    None
                }
                order::Action::Write { expected, intent } => {
                    let revision = write_intent(&node, &runner.name, expected, &intent).await;
                    desk.on_written(revision);
                    None
                }
                order::Action::Query => match node.engine.condition(&peer).await {
                    Ok(condition) => desk.on_status(&condition),
                    Err(fault) => {
                        log::debug!(error:% = fault; "asking an engine for its condition");
                        None
                    }
                },
                order::Action::Send(order) => {
                    // The last look before the order leaves: this task may have been paused since
                    // the desk was asked.
                    let still = self.lease.authority(node.clock.now()) == Some(order.epoch);
                    let answer =
                        if still { node.engine.order(&peer, &order).await } else { Answer::Lost };
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
                    desk.on_answer(answer)
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
            log::error!(object:% = object, error:% = error; "reading an intent");
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
    let value = Bytes::from(serde_json::to_vec(intent).expect("an intent is JSON"));
    match node.store.put(&intent_object(runner), expected, value).await {
        Ok(revision) => Some(revision),
        Err(error) => {
            log::debug!(error:% = error; "writing an intent");
            None
        }
    }
}
