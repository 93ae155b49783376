//! Watches the platform's store for the configuration and the register of runners.
//!
//! Each is listed once and then watched. After a failed watch it is listed again. A few nodes watch
//! the store; the others learn from them (`peer.rs`), also while the store refuses to serve them.
//! Older state never replaces newer state.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sardinepick_lib::account::directory::Directory;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::fleet::register::Change as Changed;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::runner::State;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::config::{self, decode, without_keys};
use sardinepick_platform::discovery::{RUNNER_KIND, decode_runner};
use sardinepick_platform::store::{Change, Object};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep, sleep_until};

use crate::serve::kind_watch::{Kind, KindWatch};
use crate::serve::quarantine;
use crate::serve::register_replica::Difference;
use crate::serve::shared::Shared;
use crate::serve::store::Purpose;

/// The minimum time between two watches of the register: changes within it come in one answer and
/// cost one call instead of one each.
const WATCH_PAUSE: Duration = Duration::from_millis(150);
/// How many invalid entries of one batch are logged individually.
const MAX_INVALID_LINES: usize = 8;
/// How often expired entries and idle connections are removed.
const CLEAN_UP_PERIOD: Duration = Duration::from_millis(250);

/// Watches the configuration until the process ends.
pub async fn configuration(shared: Arc<Shared>) {
    let mut kind_watch = KindWatch::new(shared.clone(), Kind::Configuration);
    loop {
        kind_watch.wait_until_watching().await;
        let read = match kind_watch.from {
            None => kind_watch.list(Purpose::Configuration, config::KIND).await,
            Some(from) => {
                let purpose = Purpose::ConfigurationWatch;
                let reply = kind_watch.watch(purpose, config::KIND, from).await;
                reply.map(|reply| {
                    let objects = reply.changes.into_iter().filter_map(|change| match change {
                        Change::Put(object) => Some(object),
                        Change::Removed(_) => None,
                    });
                    (objects.collect(), reply.as_of)
                })
            }
        };
        match read {
            Ok((objects, as_of)) => {
                kind_watch.note_answer(as_of);
                tokio::spawn(quarantine::store::read_once(shared.clone()));
                for object in objects {
                    install(&shared, object, None, "store");
                }
                if as_of.era != kind_watch.entry_era {
                    kind_watch.write_entry().await;
                }
            }
            Err(error) => kind_watch.back_off(&error).await,
        }
    }
}

/// Installs a configuration if it is newer than the one in force. `compressed` is its compressed
/// content as received from another node, to be passed on.
pub fn install(shared: &Shared, object: Object, compressed: Option<Bytes>, source: &'static str) {
    if object.name != config::NAME {
        return;
    }
    let mut next = match decode(&object.content) {
        Ok(mut next) => {
            next.at = object.at;
            next
        }
        Err(error) => {
            shared
                .metrics
                .invalid_objects
                .with_label_values(&["configuration", error.reason()])
                .inc();
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
    shared.metrics.configuration_version.set(i64::try_from(next.version.0).unwrap_or(i64::MAX));
    let version = next.version;
    shared.configuration.store(Some(Arc::new(next)));
    // Plain keys stay at the nodes that read the store; the others need only their digests.
    match without_keys(&object.content) {
        Ok(content) => shared.copies.offer(version, Object { content, ..object }, compressed),
        Err(error) => {
            log::error!(version:% = version, error:% = error; "configuration cannot be passed on");
        }
    }
    shared.update_standing();
    shared.announce();
}

/// Watches the register of runners until the process ends.
pub async fn register(shared: Arc<Shared>) {
    let mut kind_watch = KindWatch::new(shared.clone(), Kind::Register);
    let mut next = Instant::now();
    loop {
        kind_watch.wait_until_watching().await;
        let result = match kind_watch.from {
            None => {
                let listed = kind_watch.list(Purpose::Register, RUNNER_KIND).await;
                listed.map(|(entries, as_of)| (listed_difference(&shared, entries, as_of), as_of))
            }
            Some(from) => {
                let purpose = Purpose::RegisterWatch;
                sleep_until(next).await;
                next = Instant::now() + WATCH_PAUSE;
                let reply = kind_watch.watch(purpose, RUNNER_KIND, from).await;
                reply.map(|reply| (difference(reply.changes, reply.as_of), reply.as_of))
            }
        };
        match result {
            Ok((difference, as_of)) => {
                kind_watch.note_answer(as_of);
                let doubt = shared.doubt();
                apply_difference(&shared, difference, doubt, "store");
            }
            Err(error) => kind_watch.back_off(&error).await,
        }
    }
}

/// Applies objects of the register's kind. Returns those that name a runner, and the names of
/// objects that do not: whatever was known under such a name is no longer used.
///
/// Other writers can write there too. An invalid entry must not keep the runner in use whose entry
/// it replaced, nor keep the valid entries beside it from being applied.
fn apply_entries(
    shared: &Shared,
    objects: Vec<Object>,
    source: &'static str,
) -> (Vec<Object>, Vec<SmolStr>) {
    let (mut accepted, mut invalid) = (Vec::with_capacity(objects.len()), Vec::new());
    let mut unlogged = 0;
    for object in objects {
        let changed = match decode_runner(&object.name, object.at, &object.content) {
            Ok(entry) => {
                let (id, at) = (entry.id.clone(), entry.at);
                let (address, changed) = (entry.address, shared.register().apply(entry));
                log_change(&id, changed, at, source);
                if changed == Changed::Restarted {
                    // The process at the other end of these connections has ended.
                    shared.connections.close_idle(address);
                }
                changed
            }
            Err(error) => {
                shared.metrics.invalid_objects.with_label_values(&["runner", error.reason()]).inc();
                if invalid.len() < MAX_INVALID_LINES {
                    log::warn!(
                        name:% = object.name, revision:% = object.at, source = source,
                        error:% = error; "entry names no runner to use"
                    );
                } else {
                    unlogged += 1;
                }
                remove_invalid(shared, &object, source)
            }
        };
        match changed {
            Changed::Removed => invalid.push(object.name),
            // Known already, or of a previous incarnation, which must not be passed on.
            Changed::None | Changed::Outdated => {}
            _ => accepted.push(object),
        }
    }
    if unlogged > 0 {
        log::warn!(entries = unlogged, source = source; "more entries name no runner to use");
    }
    (accepted, invalid)
}

fn remove_invalid(shared: &Shared, object: &Object, source: &'static str) -> Changed {
    let Ok(id) = RunnerId::try_from(object.name.clone()) else { return Changed::None };
    let changed = shared.register().reject(&id, object.at);
    log_change(&id, changed, object.at, source);
    changed
}

fn log_change(id: &RunnerId, change: Changed, at: Point, source: &'static str) {
    let what: &'static str = match change {
        Changed::Added => "runner added",
        Changed::Restarted => "runner started again",
        Changed::Outdated => "entry of a runner's former life",
        Changed::Leaving => "runner leaves",
        Changed::Missing => "runner's entry lapsed while the store was away",
        Changed::Removed => "runner gone",
        Changed::Updated => "runner changed",
        Changed::None => return,
    };
    log::info!(runner:% = id, revision:% = at, source = source; "{what}");
}

/// Converts a list to a difference. The difference is as new as its newest entry; only a missing
/// entry makes it as new as the list itself.
fn listed_difference(shared: &Shared, entries: Vec<Object>, as_of: Point) -> Difference {
    let first = Point::new(as_of.era, 0);
    let newest = entries.iter().map(|o| o.at).max().unwrap_or(first);
    let named: HashSet<&str> = entries.iter().map(|o| o.name.as_str()).collect();
    let misses = shared.register().runners().any(|r| !named.contains(r.entry.id.as_str()));
    // A node that knows that there are no runners must count as newer than one that knows nothing.
    // Otherwise nodes of a deployment without runners never receive the register and never become
    // ready.
    let version = RegisterVersion::of(if misses { as_of } else { newest }).or_first();
    Difference { whole: true, entries, version, ..Difference::default() }
}

/// Converts the result of a watch to a difference. An empty result does not advance the version.
pub fn difference(changes: Vec<Change>, as_of: Point) -> Difference {
    let version =
        if changes.is_empty() { RegisterVersion::default() } else { RegisterVersion::of(as_of) };
    let mut difference = Difference { version, ..Difference::default() };
    for change in changes {
        match change {
            Change::Put(object) => {
                difference.gone.retain(|name| *name != object.name);
                difference.entries.push(object);
            }
            // Its last entry is applied before the removal: if the runner had said that it leaves,
            // it is removed at once instead of being doubted.
            Change::Removed(name) => difference.gone.push(name),
        }
    }
    difference
}

/// Applies a change of the register. A heartbeat announces it to all nodes at once.
pub fn apply_difference(
    shared: &Shared,
    difference: Difference,
    doubt: Option<std::time::Instant>,
    source: &'static str,
) {
    let before = shared.register_replica().version();
    let (whole, to) = (difference.whole, difference.version);
    let received = difference.entries.len();
    let mut gone = difference.gone;
    if difference.whole {
        let named: HashSet<&SmolStr> = difference.entries.iter().map(|o| &o.name).collect();
        let register = shared.register();
        let known = register.runners().map(|r| SmolStr::new(r.entry.id.as_str()));
        gone.extend(known.filter(|name| !named.contains(name)));
    }
    let (entries, invalid) = apply_entries(shared, difference.entries, source);
    let remove = |name: &SmolStr, doubt: Option<std::time::Instant>| {
        let Ok(id) = RunnerId::try_from(name.clone()) else { return Changed::None };
        let changed = shared.register().remove(&id, doubt);
        log_change(&id, changed, difference.version.point(), source);
        changed
    };
    let mut doubted = Vec::new();
    gone.retain(|name| {
        let changed = remove(name, doubt);
        if changed == Changed::Missing {
            doubted.push(name.clone());
        }
        changed == Changed::Removed
    });
    // What another node doubts is doubted here too, for the full period from now.
    for name in difference.doubted {
        match remove(&name, Some(shared.clock.now() + DOUBT)) {
            Changed::Missing => doubted.push(name),
            Changed::Removed => gone.push(name),
            _ => {}
        }
    }
    gone.extend(invalid);
    shared.register_replica().apply_with_doubts(entries, &gone, &doubted, difference.version);
    let (version, digest) = {
        let replica = shared.register_replica();
        (replica.version(), replica.digest())
    };
    if whole || received + gone.len() + doubted.len() > 0 {
        log::info!(
            source = source, whole = whole, from:% = before, to:% = to, version:% = version,
            entries = received, gone = gone.len(), doubted = doubted.len(),
            digest:% = format_args!("{digest:016x}"); "register difference applied"
        );
    }
    shared.update_standing();
    if version > before {
        shared.announce();
    }
}

/// Removes expired runners and idle connections until the process ends.
pub async fn clean_up(shared: Arc<Shared>) {
    loop {
        sleep(CLEAN_UP_PERIOD).await;
        let now = shared.clock.now();
        let expired = shared.register().expire(now);
        if !expired.is_empty() {
            let names: Vec<_> = expired.iter().map(|id| SmolStr::new(id.as_str())).collect();
            shared.register_replica().apply_expired(&names);
            shared.announce();
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
        {
            let replica = shared.register_replica();
            let revision = replica.version().point().revision.0;
            shared.metrics.register_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
            shared.metrics.register_digest.set(i64::from(replica.digest() as u32));
        }
        shared.metrics.runners.with_label_values(&["ready"]).set(ready);
        shared.metrics.runners.with_label_values(&["draining"]).set(draining);
        let store = shared.settings.store;
        let platform = shared.settings.platform;
        shared.connections.close_expired(|address| {
            *address == store || Some(*address) == platform || addresses.contains(address)
        });
    }
}
