//! Following the platform's store: the configuration and the register of runners.
//!
//! Each is read once and then watched. A watch that is cut goes on where it was; history that is
//! gone is read anew; while the store is away, other nodes that are served are asked
//! (`peer.rs`). Nothing older than what is known is ever taken.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::fleet::register::Change as Changed;
use sardinepick_lib::fleet::runner::{Entry, State};
use sardinepick_lib::id::{Revision, RunnerId};
use sardinepick_platform::config::{self, decode};
use sardinepick_platform::discovery::{NODES, RUNNERS, decode_node, decode_runner, encode_node};
use sardinepick_platform::store::{Change, Object};
use tokio::time::sleep;

use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// How long a watch waits for a change. Longer waits cost fewer calls; a connection that has gone
/// silent is noticed only after one, and a leaving runner must get nothing after two seconds.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The part of a pause after which history that is gone is read anew: a runner may have left in it.
const FORGOTTEN_PAUSE_PART: u32 = 4;
/// How often lapsed entries and idle connections are looked through.
const TIDY_PERIOD: Duration = Duration::from_millis(250);

/// One thing that is followed.
struct Follower {
    shared: Arc<Shared>,
    what: &'static str,
    /// Calls in a row without an answer.
    failures: u32,
    /// From where to go on; none if all has to be read.
    from: Option<Revision>,
}

impl Follower {
    fn new(shared: Arc<Shared>, what: &'static str) -> Self {
        Self { shared, what, failures: 0, from: None }
    }

    /// Notes an answer, with the place from which to go on.
    fn note_answer(&mut self, as_of: Revision) {
        self.failures = 0;
        self.from = Some(as_of);
        self.shared.metrics.belief_age.with_label_values(&[self.what]).set(0);
        let now = self.shared.clock.now();
        if let Some(away) = self.shared.outage().note_answer(now) {
            log::info!(what = self.what, away_ms = away.as_millis() as u64; "store regained");
        }
    }

    /// Notes a failure in the log and waits. After it all is read anew: the answer to a list comes
    /// at once, while a watch that meets a silent path would hang for its whole wait.
    async fn back_off(&mut self, error: &StoreError) {
        let forgotten = error.is_forgotten();
        self.from = None;
        self.failures += 1;
        let draw: f64 = self.shared.rng().random();
        let pause = pause(self.failures, draw);
        // A store that has forgotten its history is not away.
        let first = !forgotten && self.shared.outage().note_failure(self.shared.clock.now());
        if first || forgotten {
            log::warn!(
                what = self.what, error:% = error, pause_ms = pause.as_millis() as u64;
                "store {}", if forgotten { "forgot its history" } else { "lost" }
            );
        } else {
            log::debug!(what = self.what, error:% = error, failures = self.failures; "store away");
        }
        self.shared.behind.notify_one();
        sleep(if forgotten { pause / FORGOTTEN_PAUSE_PART } else { pause }).await;
    }
}

/// Follows the configuration until the process ends.
pub async fn configuration(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared.clone(), "configuration");
    loop {
        let read = match follower.from {
            None => shared.store.list(Purpose::Configuration, config::KIND).await,
            Some(from) => {
                let purpose = Purpose::ConfigurationWatch;
                let brought = shared.store.watch(purpose, config::KIND, from, WATCH_WAIT).await;
                brought.map(|brought| {
                    let objects = brought.changes.into_iter().filter_map(|change| match change {
                        Change::Put(object) => Some(object),
                        Change::Gone(_) => None,
                    });
                    (objects.collect(), brought.as_of)
                })
            }
        };
        match read {
            Ok((objects, as_of)) => {
                follower.note_answer(as_of);
                for object in objects {
                    install(&shared, object, "store");
                }
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub fn install(shared: &Shared, object: Object, source: &'static str) {
    if object.name != config::NAME {
        return;
    }
    let next = match decode(&object.content) {
        Ok(next) => next,
        Err(error) => {
            let revision = object.revision;
            log::error!(revision:% = revision, error:% = error; "configuration is not taken");
            return;
        }
    };
    let was = shared.configuration.load().as_ref().map(|c| c.version);
    if was.is_some_and(|was| next.version <= was) {
        return;
    }
    log::info!(
        version:% = next.version, was:% = was.unwrap_or_default(), revision:% = object.revision,
        routes = next.routes().len(), source = source; "configuration in force"
    );
    shared.metrics.version.set(i64::try_from(next.version.0).unwrap_or(i64::MAX));
    shared.configuration.store(Some(Arc::new(next)));
    shared.knowledge().configuration = Some(object);
    shared.note_knowledge();
}

/// Follows the register of runners until the process ends.
pub async fn register(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared.clone(), "register");
    loop {
        let result = match follower.from {
            None => {
                let listed = shared.store.list(Purpose::Register, RUNNERS).await;
                listed.map(|(objects, as_of)| {
                    follower.note_answer(as_of);
                    let doubt = shared.outage().doubt(shared.clock.now());
                    take_list(&shared, objects, as_of, doubt, "store");
                })
            }
            Some(from) => {
                let purpose = Purpose::RegisterWatch;
                let brought = shared.store.watch(purpose, RUNNERS, from, WATCH_WAIT).await;
                brought.map(|brought| {
                    follower.note_answer(brought.as_of);
                    let doubt = shared.outage().doubt(shared.clock.now());
                    take_changes(&shared, brought.changes, brought.as_of, doubt);
                })
            }
        };
        if let Err(error) = result {
            follower.back_off(&error).await;
        }
    }
}

fn entry(object: &Object) -> Option<Entry> {
    match decode_runner(&object.name, object.revision, &object.content) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!(runner:% = object.name, error:% = error; "runner's entry is not taken");
            None
        }
    }
}

fn log_change(id: &RunnerId, change: Changed, revision: Revision, source: &'static str) {
    let what: &'static str = match change {
        Changed::Added => "runner added",
        Changed::Leaving => "runner leaves",
        Changed::Doubted => "runner's entry lapsed while the store was away",
        Changed::Removed => "runner gone",
        Changed::Updated => "runner changed",
        Changed::None => return,
    };
    log::info!(runner:% = id, revision:% = revision, source = source; "{what}");
}

fn take_changes(shared: &Shared, changes: Vec<Change>, as_of: Revision, doubt: Option<Instant>) {
    let any = !changes.is_empty();
    for change in changes {
        match change {
            Change::Put(object) => {
                if let Some(entry) = entry(&object) {
                    let (id, revision) = (entry.id.clone(), entry.revision);
                    let changed = shared.register().apply(entry);
                    log_change(&id, changed, revision, "store");
                }
                shared.knowledge().runners.insert(object.name.clone(), object);
            }
            Change::Gone(name) => {
                shared.knowledge().runners.remove(&name);
                if let Ok(id) = RunnerId::try_from(name) {
                    let changed = shared.register().remove(&id, doubt);
                    log_change(&id, changed, as_of, "store");
                }
            }
        }
    }
    let mut knowledge = shared.knowledge();
    knowledge.register = knowledge.register.max(as_of);
    if any {
        knowledge.changed = knowledge.changed.max(as_of);
    }
    drop(knowledge);
    shared.note_knowledge();
}

/// Takes in a whole register, if it is not older than what is known.
pub fn take_list(
    shared: &Shared,
    objects: Vec<Object>,
    as_of: Revision,
    doubt: Option<Instant>,
    source: &'static str,
) {
    let mut knowledge = shared.knowledge();
    if as_of < knowledge.register {
        return;
    }
    knowledge.register = as_of;
    let newest = objects.iter().map(|o| o.revision).max().unwrap_or_default();
    knowledge.changed = knowledge.changed.max(newest);
    let entries = objects.iter().filter_map(entry).collect();
    knowledge.runners = objects.into_iter().map(|o| (o.name.clone(), o)).collect();
    drop(knowledge);
    let changes = shared.register().replace(entries, doubt);
    if changes.iter().any(|(_, change)| matches!(change, Changed::Removed | Changed::Doubted)) {
        shared.knowledge().changed = as_of;
    }
    for (id, change) in changes {
        log_change(&id, change, as_of, source);
    }
    shared.note_knowledge();
}

/// Writes this node's entry and learns of the others; tries until both are done.
pub async fn join(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared.clone(), "nodes");
    let content = encode_node(&shared.me);
    loop {
        match try_join(&shared, &content).await {
            Ok(nodes) => {
                log::info!(nodes = nodes; "joined");
                shared.beat_now.notify_one();
                return;
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// The entry is written before the list is read: of two nodes that start together, the one that
/// writes later sees the other, and greets it.
async fn try_join(shared: &Shared, content: &serde_json::Value) -> Result<usize, StoreError> {
    let name = shared.me.id.as_str();
    shared.store.put(Purpose::NodeWrite, NODES, name, content).await?;
    let (objects, _) = shared.store.list(Purpose::Nodes, NODES).await?;
    let mut roster = shared.roster();
    for object in &objects {
        match decode_node(&object.name, &object.content) {
            Ok(contact) if contact.id == shared.me.id => {}
            Ok(contact) => {
                roster.introduce(contact);
            }
            Err(error) => log::error!(node:% = object.name, error:% = error; "entry is not taken"),
        }
    }
    Ok(roster.known())
}

/// Drops lapsed runners and old connections, until the process ends.
pub async fn tidy(shared: Arc<Shared>) {
    loop {
        sleep(TIDY_PERIOD).await;
        let now = shared.clock.now();
        let expired = shared.register().expire(now);
        for id in expired {
            log::info!(runner:% = id; "runner gone: its entry did not come back");
        }
        let (mut ready, mut draining) = (0, 0);
        let addresses: Vec<_> = {
            let register = shared.register();
            for runner in register.runners() {
                match runner.entry.state {
                    State::Ready => ready += 1,
                    State::Draining => draining += 1,
                }
            }
            register.runners().map(|r| r.entry.address).collect()
        };
        shared.metrics.runners.with_label_values(&["ready"]).set(ready);
        shared.metrics.runners.with_label_values(&["draining"]).set(draining);
        let store = shared.settings.store;
        shared.connections.tidy(|address| *address == store || addresses.contains(address));
    }
}
