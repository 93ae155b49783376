//! Orders to runners: who may give them, and which are given.
//!
//! Only the holder of the duties gives orders ([`crate::duty`]). That is looked at again as the last
//! thing before an order leaves, by a clock that counts suspension. An order whose answer is lost may be carried out seconds later: it names how
//! many orders the runner had accepted before, so that it cannot undo a later one, and the runner
//! gets no other order meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::balance::{Change, DWELL, Division, TURN_BACK, decide};
use sardinepick_lib::fleet::engine::Stage;
use sardinepick_lib::fleet::route::Configuration;
use sardinepick_lib::fleet::runner::{Entry, Runner, Tag};
use sardinepick_lib::id::{Born, Epoch, RunnerId, ServiceId};
use sardinepick_platform::order::{
    Order, Reply, Report, read_report, reply_from_status, request, request_report,
};
use tokio::time::{sleep, timeout};

use crate::serve::connection::CONNECT_LIMIT;
use crate::serve::shared::Shared;

/// How often the need for orders is looked at.
const PERIOD: Duration = Duration::from_millis(250);
/// How long an order may take to be answered.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// How long the other nodes are given to hear that a runner is to get no new work.
const NOTICE: Duration = Duration::from_millis(150);
/// How long an order without an answer may still be carried out (users' sheets: 2 to 12 s).
const PENDING: Duration = Duration::from_secs(13);
/// The largest answer to an order that is read.
const LARGEST: usize = 64 << 10;

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    at: Instant,
    to: Stage,
    /// Until when the runner counts as on its way.
    until: Instant,
    /// Whether it has said so. Until it does, it works on as before, perhaps for seconds.
    answered: bool,
    /// The life of the runner that the order was for. One that was answered ends with it; one in
    /// doubt may yet be carried out by the next life, which counts its orders from the same zero.
    born: Option<Born>,
}

impl Given {
    /// Whether the order may still be carried out.
    fn is_in_doubt(&self, now: Instant) -> bool {
        !self.answered && now < self.until
    }
}

struct Desk {
    shared: Arc<Shared>,
    given: HashMap<RunnerId, Given>,
    /// The last change of each service, and when it was made.
    last: HashMap<ServiceId, (Instant, Stage)>,
}

/// Looks after orders until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut desk = Desk { shared, given: HashMap::new(), last: HashMap::new() };
    loop {
        sleep(PERIOD).await;
        desk.turn().await;
    }
}

impl Desk {
    async fn turn(&mut self) {
        let now = self.shared.clock.now();
        let Some(configuration) = self.shared.configuration.load_full() else { return };
        self.forget(now);
        let wishes = self.wishes(&configuration, now);
        if !wishes.is_empty() {
            self.shared.tenure.want();
        }
        for (service, change) in wishes {
            if self.shared.tenure.authority_for(ORDER_LIMIT).is_some() {
                self.carry_out(&service, change).await;
            }
        }
    }

    /// Drops what is known of orders that have been carried out or are past being so.
    fn forget(&mut self, now: Instant) {
        let register = self.shared.register();
        self.given.retain(|id, given| {
            let dwells = now.saturating_duration_since(given.at) < DWELL;
            let lives = register.get(id).is_some_and(|runner| runner.entry.born == given.born);
            // An order in doubt outlasts the runner's life, and also a time without an entry: the
            // runner may start again under its id and carry it out.
            dwells && (lives || given.is_in_doubt(now))
        });
        let away = |(id, given): (&RunnerId, &Given)| {
            let entry = &register.get(id)?.entry;
            let lives = entry.born == given.born && entry.stage != Some(given.to);
            let away = given.answered && lives && now < given.until;
            away.then(|| Tag::of(id, given.born))
        };
        let tags: Vec<Tag> = self.given.iter().filter_map(away).collect();
        drop(register);
        self.shared.register().reserve(&tags, now + PERIOD * 2);
        self.shared.set_away(tags);
    }

    /// The changes that the demand calls for, by service.
    fn wishes(&self, configuration: &Configuration, now: Instant) -> Vec<(ServiceId, Change)> {
        let nodes = self.shared.roster().fronts().len() + 1;
        let mut wishes = Vec::new();
        for service in configuration.services() {
            let Some(engine) = service.engine else { continue };
            let division = self.division(&service.name, now);
            let mut demands = self.shared.demand();
            let demand = demands.entry(service.name.clone()).or_default();
            demand.tick(now);
            if let Some(change) = decide(division, demand, nodes, engine.memory)
                && (change.urgent || !self.turns_back(&service.name, change.to, now))
            {
                wishes.push((service.name.clone(), change));
            }
        }
        wishes
    }

    /// Whether a change would follow one the other way too soon.
    fn turns_back(&self, service: &ServiceId, to: Stage, now: Instant) -> bool {
        let last = self.last.get(service);
        last.is_some_and(|(at, stage)| {
            *stage != to && now.saturating_duration_since(*at) < TURN_BACK
        })
    }

    /// The runners of a service by stage.
    fn division(&self, service: &ServiceId, now: Instant) -> Division {
        let mut division = Division::default();
        let register = self.shared.register();
        for runner in register.of(service) {
            match (self.on_its_way(&runner.entry, now), runner.entry.stage) {
                (Some(Stage::Prefill), _) => division.to_prefill += 1,
                (Some(Stage::Decode), _) => division.to_decode += 1,
                (None, _) if !runner.takes_work(now) => {}
                (None, Some(Stage::Prefill)) => division.prefill += 1,
                (None, Some(Stage::Decode)) => division.decode += 1,
                (None, None) => {}
            }
        }
        division
    }

    /// The stage that a runner is on its way to.
    fn on_its_way(&self, entry: &Entry, now: Instant) -> Option<Stage> {
        let given = self.given.get(&entry.id).filter(|given| given.born == entry.born)?;
        (entry.stage != Some(given.to) && now < given.until).then_some(given.to)
    }

    async fn carry_out(&mut self, service: &ServiceId, change: Change) {
        let chosen = self.choose(service, change);
        if chosen.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        self.last.insert(service.clone(), (now, change.to));
        for entry in &chosen {
            let given = Given {
                at: now,
                to: change.to,
                until: now + PENDING,
                answered: true,
                born: entry.born,
            };
            self.given.insert(entry.id.clone(), given);
        }
        self.forget(now);
        sleep(NOTICE).await;
        for entry in chosen {
            self.give(&entry, change.to).await;
        }
    }

    /// The runners that lose least by the change: those with the least under way.
    fn choose(&self, service: &ServiceId, change: Change) -> Vec<Entry> {
        let now = self.shared.clock.now();
        let from = match change.to {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let register = self.shared.register();
        let fits = |runner: &&Runner| {
            let stage = runner.entry.stage == Some(from);
            stage && runner.takes_work(now) && !self.given.contains_key(&runner.entry.id)
        };
        let mut fitting: Vec<&Runner> = register.of(service).filter(fits).collect();
        fitting.sort_by_key(|r| (r.load(now).total(), r.cache.tokens()));
        fitting.iter().take(change.count).map(|r| r.entry.clone()).collect()
    }

    async fn give(&mut self, entry: &Entry, to: Stage) {
        // A runner is asked, and never assumed, to be as it was.
        let report = match self.ask(entry).await {
            Ok(report) if !report.busy && is_of(&report, entry) => report,
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
        let Some(epoch) = self.shared.tenure.authority_for(ORDER_LIMIT) else {
            log::info!(runner:% = entry.id; "order not given: the authority is over");
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
                if let Some(given) = self.given.get_mut(&entry.id) {
                    given.answered = false;
                }
            }
            Some(Reply::Busy | Reply::Fenced | Reply::OtherInstance | Reply::Refused) => {
                self.withdraw(entry);
            }
        }
    }

    /// Lets a runner work on that was to be changed, and leaves it alone for a while.
    fn withdraw(&mut self, entry: &Entry) {
        let now = self.shared.clock.now();
        if let Some(given) = self.given.get_mut(&entry.id) {
            given.until = now;
        }
    }

    async fn ask(&self, entry: &Entry) -> Result<Report, String> {
        let asked = async {
            let outgoing = request_report(&entry.id, entry.address);
            let sent = self.shared.connections.send(entry.address, outgoing, CONNECT_LIMIT);
            let answer = sent.await.map_err(|e| e.to_string())?;
            let (head, body) = answer.read(LARGEST).await.map_err(|e| e.to_string())?;
            if !head.status.is_success() {
                return Err(format!("status {}", head.status));
            }
            read_report(&body).map_err(|e| e.to_string())
        };
        let late = |_| Err(format!("no report within {ORDER_LIMIT:?}"));
        timeout(ORDER_LIMIT, asked).await.unwrap_or_else(late)
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
        let sent = self.shared.connections.send(entry.address, request(&order), CONNECT_LIMIT);
        match timeout(ORDER_LIMIT, sent).await {
            Ok(Ok(answer)) => {
                let reply = reply_from_status(answer.head.status);
                answer.discard(LARGEST).await;
                Some(reply)
            }
            Ok(Err(error)) => {
                log::info!(runner:% = entry.id, error:% = error; "order without an answer");
                None
            }
            Err(_) => {
                log::info!(runner:% = entry.id, limit:? = ORDER_LIMIT; "order without an answer");
                None
            }
        }
    }
}

/// Whether a report is of the life and the stage that the entry tells of. Its count of orders says
/// nothing of another life.
fn is_of(report: &Report, entry: &Entry) -> bool {
    let born = report.born.is_none() || report.born == entry.born;
    born && report.stage == entry.stage
}
