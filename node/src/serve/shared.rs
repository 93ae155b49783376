//! The state shared by the tasks of a serving node.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::admission::MeanSize;
use sardinepick_lib::fleet::balance::Demand;
use sardinepick_lib::fleet::budget::Budget;
use sardinepick_lib::fleet::deadline::Deadlines;
use sardinepick_lib::fleet::digest::Differences;
use sardinepick_lib::fleet::freshness::Attester;
use sardinepick_lib::fleet::outage::Outage;
use sardinepick_lib::fleet::reachability::Reachability;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::{Contact, Record, Roster, Standing, Status};
use sardinepick_lib::fleet::route::{Configuration, Limits};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::shutdown::Durations;
use sardinepick_lib::fleet::watch_role::{ELECTED, MAX_CANDIDATES, Role, SUBJECT};
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::{Incarnation, ServiceId};
use sardinepick_lib::lease::Holder;
use sardinepick_lib::rank;
use sardinepick_lib::usage::collection::NodeLifetime;
use sardinepick_lib::usage::tally::NodeInstance;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

use crate::account::Checks;
use crate::back_off::BackOffs;
use crate::connector::{self, Connector};
use crate::dispatch::Dispatcher;
use crate::drain::Drains;
use crate::duty::lease::DutyLease;
use crate::duty::view::{COLLECTORS, View};
use crate::era_tracker::EraTracker;
use crate::fair_share::FairShares;
use crate::freshness::{Kind, Tracker};
use crate::holding::Holding;
use crate::limit::Limiter;
use crate::lock::lock;
use crate::part_quarantine::{self, PartQuarantine};
use crate::plain_wait::PlainWaits;
use crate::relay;
use crate::serve::connection::Connections;
use crate::serve::copy::Copies;
use crate::serve::crash::Detector;
use crate::serve::dial::Dial;
use crate::serve::in_progress;
use crate::serve::metrics::Metrics;
use crate::serve::quarantine::QuarantineState;
use crate::serve::register_replica::RegisterReplica;
use crate::serve::scheduler::Scheduling;
use crate::serve::settings::Settings;
use crate::serve::store::Client;
use crate::serve::transfer::Queue;
use crate::shutdown::Shutdown;
use crate::stream_binding::StreamBindings;
use crate::usage::Usage;

/// Statistics of a route's requests.
#[derive(Debug, Default)]
struct RouteStats {
    sizes: MeanSize,
    deadlines: Deadlines,
    durations: Durations,
}

/// The shared state.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The clock, which also advances while the machine is suspended.
    pub clock: Arc<dyn Clock>,
    /// This node's identity and addresses, as announced to other nodes.
    pub me: Contact,
    /// Metrics.
    pub metrics: Metrics,
    /// The configuration in force. A request loads it once and uses it to its end.
    pub configuration: ArcSwapOption<Configuration>,
    /// The limits for callers of the configuration in force.
    pub limits: watch::Sender<Limits>,
    /// Direct connections to runners and the store.
    pub connections: Arc<Connections>,
    /// The tracker of the store's era.
    pub era_tracker: Arc<EraTracker>,
    /// The store client.
    pub store: Arc<Client>,
    /// How recent this node's copies of the configuration and the register are.
    pub freshness: Tracker,
    /// Whether this node is starting, ready or leaving.
    pub standing: watch::Sender<Standing>,
    /// Whether this node stops, and when.
    pub shutdown: Arc<Shutdown>,
    /// Whether this node has completed its membership view, or has found no other node.
    pub membership_settled: watch::Sender<bool>,
    /// Signals that other nodes have a newer register.
    pub register_outdated: Notify,
    /// Signals that another node's register differs at the same version.
    pub register_conflict: Notify,
    /// Signals that other nodes have a newer configuration.
    pub configuration_outdated: Notify,
    /// This node's side of the duties lease, which one node holds at a time.
    pub duty_lease: Arc<DutyLease>,
    /// Usage counted and collected by this node.
    pub usage: Arc<Usage>,
    /// Checks whether the configuration is the newest.
    pub checks: Checks,
    /// The configuration as offered to other nodes.
    pub copies: Copies,
    /// The queue of transfers of the whole register to other nodes.
    pub register_transfers: Arc<Queue>,
    /// Scheduling state, as a client of schedulers and as a scheduler.
    pub scheduling: Scheduling,
    /// Detects runners that crashed during calls.
    pub crashes: Detector,
    /// Requests on which runners crash.
    pub quarantine: QuarantineState,
    /// Plain requests that wait for a slot at a runner.
    pub plain_waits: PlainWaits,
    /// Prompt parts on which runners crash.
    pub part_quarantine: Arc<PartQuarantine>,
    /// The fair shares of the pools that this node schedules.
    pub fair_share: Arc<FairShares>,
    /// Signals that a heartbeat must be sent now.
    pub heartbeat_now: Arc<Notify>,
    /// Rate limits of runners.
    pub limiter: Arc<Limiter>,
    /// The versions that streams are bound to.
    pub stream_bindings: Arc<StreamBindings>,
    /// Runners that have announced that they leave.
    pub drains: Arc<Drains>,
    /// Connects to runners, directly or through peers.
    pub connector: Arc<Connector>,
    /// Sends requests to runners.
    pub dispatcher: Dispatcher,
    /// What this node holds for callers and other nodes.
    pub holding: Holding,
    /// Forwards connections of other nodes to runners.
    pub relay_server: relay::Server,
    /// The requests in progress.
    pub in_progress: in_progress::Table,
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    register_replica: Mutex<RegisterReplica>,
    register_conflicts: Mutex<Differences>,
    outage: Mutex<Outage>,
    served: AtomicBool,
    budgets: Mutex<HashMap<ServiceId, Budget>>,
    demand: Mutex<HashMap<ServiceId, Demand>>,
    route_stats: Mutex<HashMap<SmolStr, RouteStats>>,
    switching: Mutex<Vec<Tag>>,
    rng: Mutex<StdRng>,
    began: Instant,
}

/// The maximum number of routes with statistics.
const MAX_ROUTES: usize = 1_000;

impl Shared {
    /// Creates the state of a node that has not started yet. `dial` opens its connections to runners
    /// and the store.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        dial: Arc<dyn Dial>,
    ) -> Self {
        let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
        let me = Contact {
            id: settings.name.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            front: settings.front,
            peer: settings.peer,
        };
        let seed = stable_hash(incarnation.0, settings.name.as_str().as_bytes());
        let holding = Holding::new(settings.limits, &clock, &metrics);
        let connections = Connections::new(dial.clone(), clock.clone(), metrics.clone());
        let connections = Arc::new(connections);
        let era_tracker = Arc::new(EraTracker::new(clock.clone(), metrics.clone()));
        let store =
            Client::new(settings.store, connections.clone(), era_tracker.clone(), metrics.clone());
        let store = Arc::new(store);
        let attester = Attester::new(&me.id, incarnation);
        let freshness = Tracker::new(attester, clock.clone(), metrics.clone());
        let holder = Holder { name: me.id.clone(), incarnation };
        let duty_lease = DutyLease::new(
            store.clone(),
            era_tracker.clone(),
            clock.clone(),
            metrics.clone(),
            holder,
            settings.call_gap,
        );
        let duty_lease = Arc::new(duty_lease);
        let collector = NodeInstance { node: me.id.clone(), incarnation };
        // Usage is counted only if it can be reported; otherwise the counts would grow without
        // limit.
        let window = settings.usage_window.filter(|_| settings.platform.is_some());
        let usage = Arc::new(Usage::new(collector, window, clock.clone()));
        let roster = Arc::new(Mutex::new(Roster::new(me.clone())));
        let mut register = Register::default();
        if settings.runner_model {
            register.enable_models();
        }
        let (register, heartbeat_now) = (Arc::new(Mutex::new(register)), Arc::<Notify>::default());
        let limiter = Limiter::new(
            register.clone(),
            roster.clone(),
            heartbeat_now.clone(),
            clock.clone(),
            metrics.clone(),
        );
        let drains =
            Drains::new(register.clone(), heartbeat_now.clone(), clock.clone(), metrics.clone());
        let stream_bindings =
            StreamBindings::new(register.clone(), roster.clone(), clock.clone(), metrics.clone());
        let (limiter, drains) = (Arc::new(limiter), Arc::new(drains));
        let reachability: Arc<Mutex<Reachability>> = Arc::default();
        let handles = connector::Handles {
            connections: connections.clone(),
            relays: relay::Client::new(
                me.id.clone(),
                dial.clone(),
                holding.clone(),
                clock.clone(),
                metrics.clone(),
            ),
            reachability: reachability.clone(),
            roster: roster.clone(),
            clock: clock.clone(),
            metrics: metrics.clone(),
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let connector = Arc::new(Connector::new(handles, StdRng::from_rng(&mut rng)));
        let dispatcher = Dispatcher {
            register: register.clone(),
            connector: connector.clone(),
            limiter: limiter.clone(),
            drains: drains.clone(),
            back_offs: BackOffs::new(register.clone(), clock.clone(), metrics.clone()),
            clock: clock.clone(),
        };
        let part_quarantine = PartQuarantine::new(part_quarantine::Handles {
            roster: roster.clone(),
            heartbeat_now: heartbeat_now.clone(),
            store: store.clone(),
            clock: clock.clone(),
            metrics: metrics.clone(),
            rng: Mutex::new(StdRng::from_rng(&mut rng)),
        });
        let fair_share = FairShares::new(settings.fair_shares, me.id.clone(), clock.clone());
        let standing = watch::channel(Standing::Starting).0;
        let relay_server = relay::Server::new(
            register.clone(),
            reachability,
            dial,
            standing.subscribe(),
            holding.clone(),
            clock.clone(),
            metrics.clone(),
        );
        Self {
            limiter,
            stream_bindings: Arc::new(stream_bindings),
            drains,
            dispatcher,
            connector,
            relay_server,
            in_progress: in_progress::Table::new(metrics.in_progress.clone()),
            holding,
            standing,
            shutdown: Arc::new(Shutdown::new(clock.clone())),
            era_tracker,
            store,
            freshness,
            duty_lease,
            usage,
            connections,
            began: clock.now(),
            roster,
            me,
            metrics: metrics.clone(),
            configuration: ArcSwapOption::empty(),
            limits: watch::Sender::default(),
            membership_settled: watch::channel(false).0,
            register_outdated: Notify::new(),
            register_conflict: Notify::new(),
            configuration_outdated: Notify::new(),
            checks: Checks::default(),
            copies: Copies::default(),
            register_transfers: Arc::default(),
            scheduling: Scheduling::default(),
            crashes: Detector::default(),
            quarantine: QuarantineState::default(),
            plain_waits: PlainWaits::new(metrics),
            part_quarantine: Arc::new(part_quarantine),
            fair_share: Arc::new(fair_share),
            heartbeat_now,
            register,
            register_replica: Mutex::default(),
            register_conflicts: Mutex::default(),
            outage: Mutex::default(),
            served: AtomicBool::new(true),
            budgets: Mutex::default(),
            demand: Mutex::default(),
            route_stats: Mutex::default(),
            switching: Mutex::default(),
            rng: Mutex::new(rng),
            settings,
            clock,
        }
    }

    /// Locks the register of runners.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        lock(&self.register)
    }

    /// Locks the membership view.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Locks this node's replica of the register in the store.
    pub fn register_replica(&self) -> MutexGuard<'_, RegisterReplica> {
        lock(&self.register_replica)
    }

    /// Locks the nodes whose registers differ from this node's at the same version.
    pub fn register_conflicts(&self) -> MutexGuard<'_, Differences> {
        lock(&self.register_conflicts)
    }

    /// Locks the state of the current store outage, as seen by all watches.
    pub fn outage(&self) -> MutexGuard<'_, Outage> {
        lock(&self.outage)
    }

    /// Returns until when entries missing from the register are doubted instead of removed: the
    /// store had an outage, or was restored from a backup. `None` if they are removed at once.
    pub fn doubt(&self) -> Option<Instant> {
        let now = self.clock.now();
        self.outage().doubt(now).max(self.era_tracker.doubt(now))
    }

    /// Locks the random number generator.
    pub fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// Returns the status announced to other nodes.
    pub fn status(&self) -> Status {
        Status {
            standing: *self.standing.borrow(),
            version: self.configuration.load().as_ref().map(|c| c.version).unwrap_or_default(),
            register: self.register_replica().version(),
            served: self.served.load(Ordering::Relaxed),
        }
    }

    /// Returns whether callers should be sent to this node.
    pub fn is_ready(&self) -> bool {
        *self.standing.borrow() == Standing::Ready
    }

    /// Records that the store has answered this node.
    pub fn note_served(&self) {
        self.set_served(true);
    }

    /// Records that the store has not answered this node.
    pub fn note_unserved(&self) {
        self.set_served(false);
    }

    /// A change is announced to the other nodes at once: if the store no longer serves a watcher,
    /// another node must take over.
    fn set_served(&self, served: bool) {
        if self.served.swap(served, Ordering::Relaxed) != served {
            self.heartbeat_now.notify_one();
        }
    }

    /// Returns why this node watches objects of `kind` in the store, or `None` if it relies on other
    /// nodes.
    pub fn watch_role(&self, kind: Kind) -> Option<Role> {
        self.freshness.role(kind, &self.roster())
    }

    /// The other nodes that are believed to watch the store.
    pub fn store_watchers(&self) -> Vec<Contact> {
        let roster = self.roster();
        let served = roster.present_records().filter(|record| record.served);
        let first = rank::highest_ranked(SUBJECT, served, |record| &record.contact.id, ELECTED);
        first.iter().map(|record| record.contact.clone()).collect()
    }

    /// Returns the membership view for the duties.
    pub fn view(&self) -> View {
        let now = self.clock.now();
        let time = self.usage.time_at(now);
        let roster = self.roster();
        let me = roster.me();
        let ready = roster.present_records().chain([me]);
        let ready = ready.filter(|record| record.standing == Standing::Ready);
        let mut first =
            rank::highest_ranked(SUBJECT, ready, |record| &record.contact.id, MAX_CANDIDATES);
        // If the store serves none of these nodes, it is down for all. Changing the lease holder
        // would only add a waiting period once the store is back.
        if first.iter().any(|record| record.served) {
            first.retain(|record| record.served);
        }
        first.truncate(COLLECTORS);
        let collector = |record: &Record| NodeInstance {
            node: record.contact.id.clone(),
            incarnation: record.contact.incarnation,
        };
        let lifetime = |record: &Record, lost_at: Option<Duration>| NodeLifetime {
            node: record.contact.id.clone(),
            incarnation: record.contact.incarnation,
            started_at: Duration::from_micros(record.contact.incarnation.0),
            lost_at,
        };
        let others = roster.members().map(|(record, since)| {
            let ago = now.saturating_duration_since(since);
            lifetime(record, record.silent.then(|| time.saturating_sub(ago)))
        });
        View {
            lifetimes: others.chain([lifetime(me, None)]).collect(),
            first: first.iter().map(|record| (collector(record), record.contact.peer)).collect(),
        }
    }

    /// Changes from starting to ready once there is a configuration and a register.
    pub fn update_standing(&self) {
        let known = self.configuration.load().is_some() && self.register_replica().is_known();
        let became_ready = self.standing.send_if_modified(|standing| {
            let becomes_ready = known && *standing == Standing::Starting;
            if becomes_ready {
                *standing = Standing::Ready;
            }
            becomes_ready
        });
        if became_ready {
            log::info!(node:% = self.me.id; "ready for callers");
            self.heartbeat_now.notify_one();
        }
    }

    /// Announces a change to the other nodes at once.
    pub fn announce(&self) {
        self.heartbeat_now.notify_one();
    }

    /// Signals that other nodes may have newer state than this one.
    pub fn note_outdated(&self) {
        self.register_outdated.notify_one();
        self.configuration_outdated.notify_one();
    }

    /// Records a request for a service, which adds to its retry budget.
    pub fn note_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Reserves extra arrivals, all or none, in the retry budget of a service, and returns whether
    /// they were granted.
    pub fn reserve_extra_arrivals(&self, service: &ServiceId, calls: usize) -> bool {
        let now = self.clock.now();
        let nodes = self.roster().known() + 1;
        let granted = self.with_budget(service, |budget| budget.reserve(calls, now, nodes));
        let label = if granted { "yes" } else { "no" };
        self.metrics
            .extra_arrivals
            .with_label_values(&[service.as_str(), label])
            .inc_by(calls as u64);
        granted
    }

    /// Changes the retry budget of a service.
    pub fn with_budget<T>(&self, service: &ServiceId, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            let budget = Budget::new(self.settings.budget, self.began);
            budgets.insert(service.clone(), budget);
        }
        change(budgets.get_mut(service).expect("the budget was just inserted"))
    }

    /// Locks the demand for each service, as seen by this node.
    pub fn demand(&self) -> MutexGuard<'_, HashMap<ServiceId, Demand>> {
        lock(&self.demand)
    }

    /// Records the size of a request on a route, in tokens, and returns it relative to the route's
    /// mean.
    pub fn note_size(&self, route: &SmolStr, tokens: u64) -> f64 {
        self.with_route_stats(route, |stats| stats.sizes.note(tokens))
    }

    /// Records the deadline of a request on a route, and returns the estimated time that its caller
    /// has waited since the first attempt.
    pub fn note_deadline(&self, route: &SmolStr, deadline: Duration) -> Duration {
        self.with_route_stats(route, |stats| stats.deadlines.note(deadline))
    }

    /// Records the time that a request on a route took that has run, or may have.
    pub fn note_duration(&self, route: &SmolStr, took: Duration) {
        let now = self.clock.now();
        self.with_route_stats(route, |stats| stats.durations.note(took, now));
    }

    /// The longest time that a recent request on a route took that has run, or may have.
    pub fn longest_duration(&self, route: &SmolStr) -> Option<Duration> {
        let now = self.clock.now();
        self.with_route_stats(route, |stats| stats.durations.longest(now))
    }

    fn with_route_stats<T>(&self, route: &SmolStr, change: impl FnOnce(&mut RouteStats) -> T) -> T {
        let mut stats = lock(&self.route_stats);
        // Routes come and go with configurations; dropped statistics are soon rebuilt.
        if !stats.contains_key(route) && stats.len() >= MAX_ROUTES {
            stats.clear();
        }
        change(stats.entry(route.clone()).or_default())
    }

    /// Returns the runners that are changing their stage by this node's orders.
    pub fn switching(&self) -> Vec<Tag> {
        lock(&self.switching).clone()
    }

    /// Replaces the runners that are changing their stage, and announces a change at once.
    pub fn set_switching(&self, tags: Vec<Tag>) {
        let mut switching = lock(&self.switching);
        if *switching != tags {
            *switching = tags;
            self.heartbeat_now.notify_one();
        }
    }
}
