//! What the parts of a serving node share.

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
use sardinepick_lib::fleet::outage::Outage;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::roster::{Contact, Record, Roster, Standing, Status};
use sardinepick_lib::fleet::route::Configuration;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::hash::place;
use sardinepick_lib::id::{Incarnation, NodeId, ServiceId};
use sardinepick_lib::lease::Holder;
use sardinepick_lib::rank;
use sardinepick_lib::usage::collection::Life;
use sardinepick_lib::usage::tally::Collector;
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

use crate::account::Checks;
use crate::back_off::BackOffs;
use crate::dispatch::Dispatcher;
use crate::drain::Drains;
use crate::duty::tenure::Tenure;
use crate::duty::view::{COLLECTORS, SUBJECT, View};
use crate::history::Tracker;
use crate::limit::Limiter;
use crate::lock::lock;
use crate::serve::connection::Connections;
use crate::serve::copy::Copies;
use crate::serve::crash::Detector;
use crate::serve::knowledge::Knowledge;
use crate::serve::metrics::Metrics;
use crate::serve::quarantine::Keeper;
use crate::serve::scheduler::Scheduling;
use crate::serve::settings::Settings;
use crate::serve::store::Client;
use crate::serve::transfer::Queue;
use crate::usage::Usage;

/// What is usual on a route, learned from its requests.
#[derive(Debug, Default)]
struct Usual {
    sizes: MeanSize,
    deadlines: Deadlines,
}

/// What the parts share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The clock, which counts suspension.
    pub clock: Arc<dyn Clock>,
    /// This node as others know it.
    pub me: Contact,
    /// Metrics.
    pub metrics: Metrics,
    /// The configuration in force. A request takes it once and keeps it to its end.
    pub configuration: ArcSwapOption<Configuration>,
    /// Connections to runners and the store.
    pub connections: Arc<Connections>,
    /// The era of the store.
    pub history: Arc<Tracker>,
    /// The store.
    pub store: Arc<Client>,
    /// How this node stands towards callers.
    pub standing: watch::Sender<Standing>,
    /// Whether this node has met the others, or has found none.
    pub acquainted: watch::Sender<bool>,
    /// Signals that other nodes know the register better.
    pub behind: Notify,
    /// Signals that other nodes have a newer configuration.
    pub outdated: Notify,
    /// This node's part in the lease on the duties that one node at a time has.
    pub tenure: Arc<Tenure>,
    /// What this node counts of usage, and collects.
    pub usage: Arc<Usage>,
    /// Checks that the configuration is the newest.
    pub checks: Checks,
    /// Copies of the configuration for other nodes.
    pub copies: Copies,
    /// Transfers of the whole register to other nodes.
    pub register_transfers: Arc<Queue>,
    /// What this node keeps of schedulers, and as one.
    pub scheduling: Scheduling,
    /// The runners that have ended under calls.
    pub crashes: Detector,
    /// Requests under which runners end.
    pub keeper: Keeper,
    /// Signals that a beat should go out now.
    pub beat_now: Arc<Notify>,
    /// Rate limits of runners.
    pub limiter: Arc<Limiter>,
    /// Runners that leave by their own word.
    pub drains: Arc<Drains>,
    /// Sends requests to runners.
    pub dispatcher: Dispatcher,
    register: Arc<Mutex<Register>>,
    roster: Arc<Mutex<Roster>>,
    knowledge: Mutex<Knowledge>,
    outage: Mutex<Outage>,
    served: AtomicBool,
    budgets: Mutex<HashMap<ServiceId, Budget>>,
    demand: Mutex<HashMap<ServiceId, Demand>>,
    usual: Mutex<HashMap<SmolStr, Usual>>,
    away: Mutex<Vec<Tag>>,
    rng: Mutex<StdRng>,
    began: Instant,
}

/// How many nodes follow the store. Each learns of a change by itself, so that one whose path is
/// silent delays nobody; more cost a call for each change and node.
const FOLLOWERS: usize = 3;
/// How many nodes try at the most where the store does not serve those that come first. If it turns
/// away a third of the nodes, the first twenty are all among them once in three billion times.
const MOST_FOLLOWERS: usize = 20;
/// The most routes whose sizes are kept.
const MOST_ROUTES: usize = 1_000;

impl Shared {
    /// A node that has not begun to work.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
        let me = Contact {
            id: settings.name.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            front: settings.front,
            peer: settings.peer,
        };
        let seed = place(incarnation.0, settings.name.as_str().as_bytes());
        let connections = Arc::new(Connections::new(clock.clone(), metrics.clone()));
        let history = Arc::new(Tracker::new(clock.clone(), metrics.clone()));
        let store =
            Client::new(settings.store, connections.clone(), history.clone(), metrics.clone());
        let store = Arc::new(store);
        let holder = Holder { name: me.id.clone(), incarnation };
        let tenure = Tenure::new(
            store.clone(),
            history.clone(),
            clock.clone(),
            metrics.clone(),
            holder,
            settings.turns,
        );
        let tenure = Arc::new(tenure);
        let collector = Collector { node: me.id.clone(), incarnation };
        // What nobody reports would be counted without end.
        let window = settings.usage_window.filter(|_| settings.platform.is_some());
        let usage = Arc::new(Usage::new(collector, window, clock.clone()));
        let roster = Arc::new(Mutex::new(Roster::new(me.clone())));
        let (register, beat_now): (Arc<Mutex<Register>>, Arc<Notify>) = Default::default();
        let limiter = Limiter::new(
            register.clone(),
            roster.clone(),
            beat_now.clone(),
            clock.clone(),
            metrics.clone(),
        );
        let drains =
            Drains::new(register.clone(), beat_now.clone(), clock.clone(), metrics.clone());
        let (limiter, drains) = (Arc::new(limiter), Arc::new(drains));
        let dispatcher = Dispatcher {
            connections: connections.clone(),
            limiter: limiter.clone(),
            drains: drains.clone(),
            back_offs: BackOffs::new(register.clone(), clock.clone(), metrics.clone()),
            clock: clock.clone(),
        };
        Self {
            limiter,
            drains,
            dispatcher,
            history,
            store,
            tenure,
            usage,
            connections,
            began: clock.now(),
            roster,
            me,
            metrics,
            configuration: ArcSwapOption::empty(),
            standing: watch::channel(Standing::Starting).0,
            acquainted: watch::channel(false).0,
            behind: Notify::new(),
            outdated: Notify::new(),
            checks: Checks::default(),
            copies: Copies::default(),
            register_transfers: Arc::default(),
            scheduling: Scheduling::default(),
            crashes: Detector::default(),
            keeper: Keeper::default(),
            beat_now,
            register,
            knowledge: Mutex::default(),
            outage: Mutex::default(),
            served: AtomicBool::new(true),
            budgets: Mutex::default(),
            demand: Mutex::default(),
            usual: Mutex::default(),
            away: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            settings,
            clock,
        }
    }

    /// The runners.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        lock(&self.register)
    }

    /// The other nodes.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// What is known from the store.
    pub fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }

    /// Whether the store is away, as all that follow it have seen.
    pub fn outage(&self) -> MutexGuard<'_, Outage> {
        lock(&self.outage)
    }

    /// Until when an entry that is missing in the register is doubted, if it is: the store has been
    /// away, or has come back from a copy.
    pub fn doubt(&self) -> Option<Instant> {
        let now = self.clock.now();
        self.outage().doubt(now).max(self.history.doubt(now))
    }

    /// Random numbers.
    pub fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// How this node stands and what it knows.
    pub fn status(&self) -> Status {
        Status {
            standing: *self.standing.borrow(),
            version: self.configuration.load().as_ref().map(|c| c.version).unwrap_or_default(),
            register: self.knowledge().mark(),
            served: self.served.load(Ordering::Relaxed),
        }
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.standing.borrow() == Standing::Ready
    }

    /// Notes that the store has answered this node.
    pub fn note_served(&self) {
        self.set_served(true);
    }

    /// Notes that the store has not answered this node.
    pub fn note_unserved(&self) {
        self.set_served(false);
    }

    /// The others hear of a change at once: where the store serves a follower no more, another has to
    /// step in.
    fn set_served(&self, served: bool) {
        if self.served.swap(served, Ordering::Relaxed) != served {
            self.beat_now.notify_one();
        }
    }

    /// Whether this node follows the store itself: fewer than a few of those that come before it
    /// are there and served by the store. Where one of those fails, the next steps in. While the store
    /// serves nobody, those far behind leave it alone all the same: it counts their calls.
    pub fn follows(&self) -> bool {
        let mine = rank::weight(SUBJECT, &self.me.id);
        let roster = self.roster();
        let before = |ids: &mut dyn Iterator<Item = &NodeId>| {
            ids.filter(|id| rank::weight(SUBJECT, id) > mine).count()
        };
        before(&mut roster.served()) < FOLLOWERS && before(&mut roster.ids()) < MOST_FOLLOWERS
    }

    /// The nodes as duties need to know them.
    pub fn view(&self) -> View {
        let now = self.clock.now();
        let time = self.usage.time_at(now);
        let roster = self.roster();
        let me = roster.me();
        let ready = roster.present_records().chain([me]);
        let ready = ready.filter(|record| record.standing == Standing::Ready);
        let mut first = rank::first(SUBJECT, ready, |record| &record.contact.id, MOST_FOLLOWERS);
        // Where the store serves none of these it is away for all, and a change of the holder would only
        // add a turn of waiting once it is back.
        if first.iter().any(|record| record.served) {
            first.retain(|record| record.served);
        }
        first.truncate(COLLECTORS);
        let collector = |record: &Record| Collector {
            node: record.contact.id.clone(),
            incarnation: record.contact.incarnation,
        };
        let life = |record: &Record, gone: Option<Duration>| Life {
            node: record.contact.id.clone(),
            incarnation: record.contact.incarnation,
            since: Duration::from_micros(record.contact.incarnation.0),
            gone,
        };
        let others = roster.members().map(|(record, since)| {
            let ago = now.saturating_duration_since(since);
            life(record, record.silent.then(|| time.saturating_sub(ago)))
        });
        View {
            lives: others.chain([life(me, None)]).collect(),
            first: first.iter().map(|record| (collector(record), record.contact.peer)).collect(),
        }
    }

    /// Queue from starting to ready once there is a configuration and a register.
    pub fn note_knowledge(&self) {
        let known = self.configuration.load().is_some() && self.knowledge().is_known();
        let turned = self.standing.send_if_modified(|standing| {
            let turns = known && *standing == Standing::Starting;
            if turns {
                *standing = Standing::Ready;
            }
            turns
        });
        if turned {
            log::info!(node:% = self.me.id; "ready for callers");
            self.beat_now.notify_one();
        }
    }

    /// Passes a change on at once.
    pub fn note_news(&self) {
        self.beat_now.notify_one();
    }

    /// Notes that other nodes may know more than this one.
    pub fn note_behind(&self) {
        self.behind.notify_one();
        self.outdated.notify_one();
    }

    /// Notes a request for a service, which earns a part of an extra arrival.
    pub fn note_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Takes an extra arrival out of the budget of a service.
    pub fn take_extra(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let nodes = self.roster().known() + 1;
        let granted = self.with_budget(service, |budget| budget.take(now, nodes));
        let label = if granted { "yes" } else { "no" };
        self.metrics.extras.with_label_values(&[service.as_str(), label]).inc();
        granted
    }

    fn with_budget<T>(&self, service: &ServiceId, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            let budget = Budget::new(self.settings.budget, self.began);
            budgets.insert(service.clone(), budget);
        }
        change(budgets.get_mut(service).expect("it was just put there"))
    }

    /// What is asked of the services, as this node sees it.
    pub fn demand(&self) -> MutexGuard<'_, HashMap<ServiceId, Demand>> {
        lock(&self.demand)
    }

    /// Notes the size of a request on a route, in tokens, and gives it against the route's mean.
    pub fn note_size(&self, route: &SmolStr, tokens: u64) -> f64 {
        self.with_usual(route, |usual| usual.sizes.note(tokens))
    }

    /// Notes the deadline of a request on a route, and gives how long its caller has probably waited
    /// since its first attempt.
    pub fn note_deadline(&self, route: &SmolStr, deadline: Duration) -> Duration {
        self.with_usual(route, |usual| usual.deadlines.note(deadline))
    }

    fn with_usual<T>(&self, route: &SmolStr, change: impl FnOnce(&mut Usual) -> T) -> T {
        let mut usual = lock(&self.usual);
        // Routes come and go with configurations; what is forgotten is soon learned again.
        if !usual.contains_key(route) && usual.len() >= MOST_ROUTES {
            usual.clear();
        }
        change(usual.entry(route.clone()).or_default())
    }

    /// Runners that are on their way to another stage by this node's orders.
    pub fn away(&self) -> Vec<Tag> {
        lock(&self.away).clone()
    }

    /// Replaces the runners that are on their way; all nodes hear of a new one at once.
    pub fn set_away(&self, tags: Vec<Tag>) {
        let mut away = lock(&self.away);
        if *away != tags {
            *away = tags;
            self.beat_now.notify_one();
        }
    }
}
