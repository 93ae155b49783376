//! Following the platform's store: the configuration and the register of runners.
//!
//! Each is read once and then watched. After a watch that fails all is read anew. A few nodes follow
//! the store; the others learn from them (`peer.rs`), also while the store turns them away. Nothing
//! older than what is known is ever taken.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sardinepick_lib::account::directory::Directory;
use sardinepick_lib::fleet::mark::Mark;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::fleet::register::Change as Changed;
use sardinepick_lib::fleet::runner::State;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::config::{self, decode, without_keys};
use sardinepick_platform::discovery::{RUNNER_KIND, decode_runner};
use sardinepick_platform::store::{Change, Object};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep, sleep_until};

use crate::serve::follower::{Follower, What};
use crate::serve::knowledge::Difference;
use crate::serve::quarantine;
use crate::serve::shared::Shared;
use crate::serve::store::Purpose;

/// The shortest time from one watch of the register to the next: changes that come close together
/// come in one answer, and cost one call and not one each.
const TOGETHER: Duration = Duration::from_millis(150);
/// How many entries of other writers are logged one by one of those that come together.
const MOST_FOREIGN_LINES: usize = 8;
/// How often lapsed entries and idle connections are looked through.
const TIDY_PERIOD: Duration = Duration::from_millis(250);

/// Follows the configuration until the process ends.
pub async fn configuration(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared.clone(), What::Configuration);
    loop {
        follower.wait_for_duty().await;
        let read = match follower.from {
            None => follower.list(Purpose::Configuration, config::KIND).await,
            Some(from) => {
                let purpose = Purpose::ConfigurationWatch;
                let brought = follower.watch(purpose, config::KIND, from).await;
                brought.map(|brought| {
                    let objects = brought.changes.into_iter().filter_map(|change| match change {
                        Change::Put(object) => Some(object),
                        Change::Removed(_) => None,
                    });
                    (objects.collect(), brought.as_of)
                })
            }
        };
        match read {
            Ok((objects, as_of)) => {
                follower.note_answer(as_of);
                tokio::spawn(quarantine::store::read_once(shared.clone()));
                for object in objects {
                    install(&shared, object, None, "store");
                }
                if as_of.era != follower.entered {
                    follower.write_entry().await;
                }
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is. `packed` is its content as
/// another node has sent it, to be passed on.
pub fn install(shared: &Shared, object: Object, packed: Option<Bytes>, source: &'static str) {
    if object.name != config::NAME {
        return;
    }
    let mut next = match decode(&object.content) {
        Ok(mut next) => {
            next.at = object.at;
            next
        }
        Err(error) => {
            shared.metrics.foreign.with_label_values(&["configuration", error.reason()]).inc();
            log::error!(revision:% = object.at, error:% = error; "configuration is not taken");
            return;
        }
    };
    let before = shared.configuration.load_full();
    let was = before.as_ref().map(|c| c.version);
    if was.is_some_and(|was| next.version <= was) {
        return;
    }
    let before = before.as_ref().and_then(|c| c.accounts.as_ref());
    if let (Some(accounts), Some(before)) = (&mut next.accounts, before) {
        accounts.inherit_retired_keys(before);
    }
    log::info!(
        version:% = next.version, was:% = was.unwrap_or_default(), revision:% = object.at,
        routes = next.routes(), source = source; "configuration in force"
    );
    for fault in next.accounts.iter().flat_map(Directory::faults) {
        log::error!(version:% = next.version, error:% = fault; "part of the accounts is not used");
    }
    shared.metrics.version.set(i64::try_from(next.version.0).unwrap_or(i64::MAX));
    let version = next.version;
    shared.configuration.store(Some(Arc::new(next)));
    // Keys stay at the nodes that read the store; the others need digests only.
    match without_keys(&object.content) {
        Ok(content) => shared.copies.offer(version, Object { content, ..object }, packed),
        Err(error) => {
            log::error!(version:% = version, error:% = error; "configuration is not passed on");
        }
    }
    shared.note_knowledge();
    shared.note_news();
}

/// Follows the register of runners until the process ends.
pub async fn register(shared: Arc<Shared>) {
    let mut follower = Follower::new(shared.clone(), What::Register);
    let mut next = Instant::now();
    loop {
        follower.wait_for_duty().await;
        let result = match follower.from {
            None => {
                let listed = follower.list(Purpose::Register, RUNNER_KIND).await;
                listed.map(|(entries, as_of)| (listed_difference(&shared, entries, as_of), as_of))
            }
            Some(from) => {
                let purpose = Purpose::RegisterWatch;
                sleep_until(next).await;
                next = Instant::now() + TOGETHER;
                let brought = follower.watch(purpose, RUNNER_KIND, from).await;
                brought.map(|brought| (difference(brought.changes, brought.as_of), brought.as_of))
            }
        };
        match result {
            Ok((told, as_of)) => {
                follower.note_answer(as_of);
                let doubt = shared.doubt();
                take_difference(&shared, told, doubt, "store");
            }
            Err(error) => follower.back_off(&error).await,
        }
    }
}

/// Takes in objects of the register's kind. Gives those that name a runner, and the names under
/// which something stands that does not: whatever was known under such a name is not used any more.
///
/// Others can write there too. What they write must not keep a runner in use whose entry it has
/// replaced, nor keep the sound entries beside it from being taken.
fn take_entries(
    shared: &Shared,
    objects: Vec<Object>,
    source: &'static str,
) -> (Vec<Object>, Vec<SmolStr>) {
    let (mut taken, mut foreign) = (Vec::with_capacity(objects.len()), Vec::new());
    let mut unlogged = 0;
    for object in objects {
        let changed = match decode_runner(&object.name, object.at, &object.content) {
            Ok(entry) => {
                let (id, at) = (entry.id.clone(), entry.at);
                let (address, changed) = (entry.address, shared.register().apply(entry));
                log_change(&id, changed, at, source);
                if changed == Changed::Reborn {
                    // Nobody is left to answer at the other end of them.
                    shared.connections.forget(address);
                }
                changed
            }
            Err(error) => {
                shared.metrics.foreign.with_label_values(&["runner", error.reason()]).inc();
                if foreign.len() < MOST_FOREIGN_LINES {
                    log::warn!(
                        name:% = object.name, revision:% = object.at, source = source,
                        error:% = error; "entry names no runner to use"
                    );
                } else {
                    unlogged += 1;
                }
                disown(shared, &object, source)
            }
        };
        match changed {
            Changed::Removed => foreign.push(object.name),
            // It is known already, or of a former life, which is not to be told on.
            Changed::None | Changed::Former => {}
            _ => taken.push(object),
        }
    }
    if unlogged > 0 {
        log::warn!(entries = unlogged, source = source; "further entries name no runner to use");
    }
    (taken, foreign)
}

fn disown(shared: &Shared, object: &Object, source: &'static str) -> Changed {
    let Ok(id) = RunnerId::try_from(object.name.clone()) else { return Changed::None };
    let changed = shared.register().disown(&id, object.at);
    log_change(&id, changed, object.at, source);
    changed
}

fn log_change(id: &RunnerId, change: Changed, at: Point, source: &'static str) {
    let what: &'static str = match change {
        Changed::Added => "runner added",
        Changed::Reborn => "runner started again",
        Changed::Former => "entry of a runner's former life",
        Changed::Leaving => "runner leaves",
        Changed::Doubted => "runner's entry lapsed while the store was away",
        Changed::Removed => "runner gone",
        Changed::Updated => "runner changed",
        Changed::None => return,
    };
    log::info!(runner:% = id, revision:% = at, source = source; "{what}");
}

/// What a list shows, as a difference. It is as new as its newest entry; only where an entry is
/// missing does it tell something later.
fn listed_difference(shared: &Shared, entries: Vec<Object>, as_of: Point) -> Difference {
    let first = Point::new(as_of.era, 0);
    let newest = entries.iter().map(|o| o.at).max().unwrap_or(first);
    let named: HashSet<&str> = entries.iter().map(|o| o.name.as_str()).collect();
    let misses = shared.register().runners().any(|r| !named.contains(r.entry.id.as_str()));
    // Whoever knows that there is no runner knows more than a node that knows nothing, to whom it has
    // to be told: without it, nodes of a deployment without runners do not get ready.
    let mark = Mark::of(if misses { as_of } else { newest }).at_least_first();
    Difference { whole: true, entries, mark, ..Difference::default() }
}

/// What a watch brought, as a difference. One that brought nothing makes nothing newer.
pub fn difference(changes: Vec<Change>, as_of: Point) -> Difference {
    let mark = if changes.is_empty() { Mark::default() } else { Mark::of(as_of) };
    let mut difference = Difference { mark, ..Difference::default() };
    for change in changes {
        match change {
            Change::Put(object) => {
                difference.gone.retain(|name| *name != object.name);
                difference.entries.push(object);
            }
            // What it last wrote is taken first: whether a runner that is gone had said that it leaves
            // decides whether it is doubted, or gone at once.
            Change::Removed(name) => difference.gone.push(name),
        }
    }
    difference
}

/// Takes in what has changed in the register. All nodes hear of it by a beat at once.
pub fn take_difference(
    shared: &Shared,
    told: Difference,
    doubt: Option<std::time::Instant>,
    source: &'static str,
) {
    let before = shared.knowledge().mark();
    let mut gone = told.gone;
    if told.whole {
        let named: HashSet<&SmolStr> = told.entries.iter().map(|o| &o.name).collect();
        let register = shared.register();
        let known = register.runners().map(|r| SmolStr::new(r.entry.id.as_str()));
        gone.extend(known.filter(|name| !named.contains(name)));
    }
    let (entries, foreign) = take_entries(shared, told.entries, source);
    let remove = |name: &SmolStr, doubt: Option<std::time::Instant>| {
        let Ok(id) = RunnerId::try_from(name.clone()) else { return Changed::None };
        let changed = shared.register().remove(&id, doubt);
        log_change(&id, changed, told.mark.point(), source);
        changed
    };
    let mut doubted = Vec::new();
    gone.retain(|name| {
        let changed = remove(name, doubt);
        if changed == Changed::Doubted {
            doubted.push(name.clone());
        }
        changed == Changed::Removed
    });
    // What another node doubts this one doubts too, for as long from now on.
    for name in told.doubted {
        match remove(&name, Some(shared.clock.now() + DOUBT)) {
            Changed::Doubted => doubted.push(name),
            Changed::Removed => gone.push(name),
            _ => {}
        }
    }
    gone.extend(foreign);
    shared.knowledge().take_with_doubt(entries, &gone, &doubted, told.mark);
    shared.note_knowledge();
    if shared.knowledge().mark() > before {
        shared.note_news();
    }
}

/// Drops lapsed runners and old connections, until the process ends.
pub async fn tidy(shared: Arc<Shared>) {
    loop {
        sleep(TIDY_PERIOD).await;
        let now = shared.clock.now();
        let expired = shared.register().expire(now);
        if !expired.is_empty() {
            let names: Vec<_> = expired.iter().map(|id| SmolStr::new(id.as_str())).collect();
            shared.knowledge().take_lapsed(&names);
            shared.note_news();
        }
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
        let platform = shared.settings.platform;
        shared.connections.tidy(|address| {
            *address == store || Some(*address) == platform || addresses.contains(address)
        });
    }
}
