//! Watches the platform's store for the configuration and the register of runners.
//!
//! Each is listed once and then watched. After a failed watch it is listed again. A few nodes watch
//! the store; the others learn from them (`peer.rs`), also while the store refuses to serve them.
//! Older state never replaces newer state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sardinepick_lib::account::directory::Directory;
use sardinepick_lib::fleet::register::Change as Changed;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::runner::State;
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{RunnerId, ServiceId};
use sardinepick_platform::config::{self, decode, without_keys};
use sardinepick_platform::discovery::{RUNNER_KIND, decode_runner};
use sardinepick_platform::store::{Change, Object};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep, sleep_until};

use crate::freshness::Kind;
use crate::serve::kind_watch::KindWatch;
use crate::serve::quarantine;
use crate::serve::register_replica::{Difference, Mismatch, refutes};
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
                tokio::spawn(shared.part_quarantine.clone().read_once());
                for object in objects {
                    install(&shared, object, None, "store");
                }
                kind_watch.attest();
                kind_watch.update_entry().await;
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
    // Each connection of a caller waits for this.
    shared.limits.send_if_modified(|limits| std::mem::replace(limits, next.limits) != next.limits);
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
    let mut is_correction = false;
    loop {
        kind_watch.wait_until_watching().await;
        let known = shared.register_replica().version();
        let result = match kind_watch.from {
            None => {
                let listed = kind_watch.list(Purpose::Register, RUNNER_KIND).await;
                listed.map(|(entries, as_of)| (listed_difference(entries, as_of), as_of))
            }
            Some(from) => {
                let purpose = Purpose::RegisterWatch;
                sleep_until(next).await;
                next = Instant::now() + WATCH_PAUSE;
                let reply = tokio::select! {
                    reply = kind_watch.watch(purpose, RUNNER_KIND, from) => reply,
                    () = shared.register_conflict.notified() => {
                        kind_watch.list_again();
                        is_correction = true;
                        continue;
                    }
                };
                reply.map(|reply| (difference(reply.changes, reply.as_of), reply.as_of))
            }
        };
        match result {
            Ok((difference, as_of)) => {
                kind_watch.note_answer(as_of);
                apply_answer(&shared, &difference, known);
                kind_watch.attest();
                if std::mem::take(&mut is_correction) {
                    // All nodes compare with the register just listed; where the digest is the same,
                    // that costs no call.
                    shared.register_replica().advance();
                    shared.announce();
                }
            }
            Err(error) => kind_watch.back_off(&error).await,
        }
    }
}

/// Applies an answer of the store, if it is used.
fn apply_answer(shared: &Shared, answer: &Difference, known_at_call: RegisterVersion) {
    if refutes(answer, known_at_call) {
        shared.metrics.register_conflicts.with_label_values(&["store"]).inc();
        log::error!(
            listed:% = answer.version, known:% = known_at_call;
            "register of another node is later than the store"
        );
    }
    if !shared.register_replica().uses_answer(answer, known_at_call) {
        return;
    }
    if let Err(mismatch) = apply_difference(shared, answer, shared.doubt(), "store") {
        log::error!(error:% = mismatch; "answer of the store is not applied");
    }
}

/// Applies objects of the register's kind to the runners in use. An object that names no runner
/// removes what was known under its name.
///
/// Other writers can write there too. An invalid entry must not keep the runner in use whose entry
/// it replaced, nor keep the valid entries beside it from being applied.
fn apply_entries(shared: &Shared, objects: &[Object], source: &'static str) {
    let mut invalid = 0;
    for object in objects {
        match decode_runner(&object.name, object.at, &object.content) {
            Ok(entry) => {
                let (id, at, tag) = (entry.id.clone(), entry.at, entry.tag());
                let (address, changed) = (entry.address, shared.register().apply(entry));
                log_change(&id, changed, at, source);
                if matches!(changed, Changed::Outdated | Changed::Reverted) {
                    shared.drains.note_departed(&id, tag);
                }
                if changed == Changed::Restarted {
                    // The process at the other end of these connections has ended.
                    shared.connections.close_idle(address);
                }
            }
            Err(error) => {
                shared.metrics.invalid_objects.with_label_values(&["runner", error.reason()]).inc();
                invalid += 1;
                if invalid <= MAX_INVALID_LINES {
                    log::warn!(
                        name:% = object.name, revision:% = object.at, source = source,
                        error:% = error; "entry names no runner to use"
                    );
                }
                remove_invalid(shared, object, source);
            }
        }
    }
    if invalid > MAX_INVALID_LINES {
        log::warn!(
            entries = invalid - MAX_INVALID_LINES, source = source;
            "more entries name no runner to use"
        );
    }
}

fn remove_invalid(shared: &Shared, object: &Object, source: &'static str) {
    let Ok(id) = RunnerId::try_from(object.name.clone()) else { return };
    let changed = shared.register().reject(&id, object.at);
    log_change(&id, changed, object.at, source);
}

fn log_change(id: &RunnerId, change: Changed, at: Point, source: &'static str) {
    let what: &'static str = match change {
        Changed::Added => "runner added",
        Changed::Restarted => "runner started again",
        Changed::Outdated => "entry of a runner's former life",
        Changed::Reverted => "entry from before the runner's leaving",
        Changed::Leaving => "runner leaves",
        Changed::Missing => "runner's entry lapsed while the store was away",
        Changed::Removed => "runner gone",
        Changed::Updated => "runner changed",
        Changed::None => return,
    };
    log::info!(runner:% = id, revision:% = at, source = source; "{what}");
}

/// Converts a list to a difference. A node that knows that there are no runners must count as newer
/// than one that knows nothing. Otherwise nodes of a deployment without runners never receive the
/// register and never become ready.
fn listed_difference(entries: Vec<Object>, as_of: Point) -> Difference {
    let version = RegisterVersion::of(as_of).or_first();
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

/// Applies a change of the register. A heartbeat announces it to all nodes at once. Removed runners
/// are kept until `doubt`, if it is given, or as long as the difference says.
///
/// # Errors
/// The difference does not fit this node's copy. Nothing has changed.
pub fn apply_difference(
    shared: &Shared,
    difference: &Difference,
    doubt: Option<std::time::Instant>,
    source: &'static str,
) -> Result<(), Mismatch> {
    // Locked until the register has changed too: other tasks apply differences as well.
    let mut replica = shared.register_replica();
    let (was_known, from) = (replica.is_known(), replica.version());
    let removed = replica.apply(difference)?;
    apply_entries(shared, &difference.entries, source);
    // An entry that was added and removed within the difference is in `gone` alone.
    let is_removed = |name: &&SmolStr| !removed.iter().any(|object| object.name == **name);
    for name in difference.gone.iter().filter(is_removed) {
        remove(shared, name, doubt, difference.version, source);
    }
    let gone = removed.len();
    let mut doubted = with_doubts(shared, difference, removed, doubt);
    if !was_known {
        doubted.extend(told_doubts(shared, difference, source));
    }
    let mut retained = 0;
    for (object, until) in doubted {
        let changed = remove(shared, &object.name, until, difference.version, source);
        if let Some(until) = until
            && changed == Changed::Missing
        {
            replica.retain(object, until);
            retained += 1;
        }
    }
    let (to, digest) = (replica.version(), replica.digest());
    drop(replica);
    if difference.whole || difference.entries.len() + gone + retained > 0 {
        log::info!(
            source = source, whole = difference.whole, from:% = from, to:% = to,
            entries = difference.entries.len(), gone = gone, doubted = retained, digest:% = digest;
            "register difference applied"
        );
    }
    shared.update_standing();
    if to > from {
        shared.announce();
    }
    Ok(())
}

/// A removed entry, and until when it is kept; `None` if it is not.
type Removal = (Object, Option<std::time::Instant>);

/// The removed entries, each with the end of its doubt: as the difference says, or else `doubt`.
fn with_doubts(
    shared: &Shared,
    difference: &Difference,
    removed: Vec<Object>,
    doubt: Option<std::time::Instant>,
) -> Vec<Removal> {
    let now = shared.clock.now();
    let removal = |object: Object| {
        let told = difference.doubts.iter().find(|doubt| doubt.name == object.name);
        (object, told.map(|told| now + told.left).or(doubt))
    };
    removed.into_iter().map(removal).collect()
}

/// Uses the doubted entries that a difference contains, and returns them. Only a node without a
/// register does so; others know which runners they have dropped.
fn told_doubts(shared: &Shared, difference: &Difference, source: &'static str) -> Vec<Removal> {
    let now = shared.clock.now();
    let told = difference.doubts.iter();
    let told = told.filter_map(|told| Some((told.object.clone()?, Some(now + told.left))));
    let told: Vec<Removal> = told.collect();
    for (object, _) in &told {
        apply_entries(shared, std::slice::from_ref(object), source);
    }
    told
}

/// Removes a runner, or keeps it until `doubt`.
fn remove(
    shared: &Shared,
    name: &SmolStr,
    doubt: Option<std::time::Instant>,
    version: RegisterVersion,
    source: &'static str,
) -> Changed {
    let Ok(id) = RunnerId::try_from(name.clone()) else { return Changed::None };
    let changed = shared.register().remove(&id, doubt);
    log_change(&id, changed, version.point(), source);
    changed
}

/// The maximum number of versions with a gauge of their own.
const MAX_COUNTED_VERSIONS: usize = 64;

/// Sets the gauges of the runners by version.
fn count_versions(shared: &Shared) {
    let mut counts: BTreeMap<(ServiceId, Version), i64> = BTreeMap::new();
    for runner in shared.register().runners() {
        let key = (runner.entry.service.clone(), runner.entry.version.clone());
        *counts.entry(key).or_default() += 1;
    }
    shared.metrics.runner_versions.reset();
    for ((service, version), count) in counts.into_iter().take(MAX_COUNTED_VERSIONS) {
        let labels = [service.as_str(), version.as_str()];
        shared.metrics.runner_versions.with_label_values(&labels).set(count);
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
            shared.register_replica().release(&names);
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
            shared.metrics.register_digest.set(i64::from(replica.digest().0 as u32));
        }
        shared.stream_bindings.tick();
        count_versions(&shared);
        shared.metrics.runners.with_label_values(&["ready"]).set(ready);
        shared.metrics.runners.with_label_values(&["draining"]).set(draining);
        let store = shared.settings.store;
        let platform = shared.settings.platform;
        shared.connections.close_expired(|address| {
            *address == store || Some(*address) == platform || addresses.contains(address)
        });
        shared.connector.clean_up(|address| addresses.contains(address));
    }
}
