//! The table of key owners: one node writes it on behalf of all, and the others fetch it from each
//! other.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use sardinepick_lib::assignment;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Name, Version};
use sardinepick_lib::member::State;
use sardinepick_lib::owner::{MAX_VERSION_INTERVAL, MIN_VERSION_INTERVAL, Member, Table};
use thiserror::Error;
use tokio::sync::Notify;

use crate::node::Node;
use crate::store::StoreError;

/// The object that holds the table.
pub const OBJECT: &str = "owners/table";

/// The name of the duty of writing the table.
const DUTY: &str = "owner table";

/// How often the writer checks the table against the membership.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An error when reading or writing the table.
#[derive(Debug, Error)]
pub enum TableError {
    /// A call to the platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object is not a valid table.
    #[error("invalid {OBJECT}: {0}")]
    Format(#[from] serde_json::Error),
}

/// The node that last announced a newer table.
#[derive(Debug, Default)]
pub struct NewerTable {
    source: Mutex<Option<(Name, Version)>>,
    notify: Notify,
}

impl NewerTable {
    /// Records that `peer` has `version`.
    pub fn record(&self, peer: &Name, version: Version) {
        *self.source.lock().expect("source lock poisoned") = Some((peer.clone(), version));
        self.notify.notify_one();
    }

    fn take(&self) -> Option<(Name, Version)> {
        self.source.lock().expect("source lock poisoned").take()
    }
}

/// Merges a table into this node's and applies the result if it is newer.
pub fn apply(node: &Node, table: &Table) {
    let current = node.table.load_full();
    let merged = current.merge(table);
    if merged.newest() <= current.newest() {
        return;
    }
    node.register().set_table(&merged);
    node.table.store(Arc::new(merged));
}

/// Reads the table from the platform and applies it.
///
/// # Errors
/// The platform does not answer, or the object is not a table.
pub async fn refresh(node: &Node) -> Result<Option<Point>, TableError> {
    let Some(object) = node.store.get(OBJECT).await? else { return Ok(None) };
    let table: Table = serde_json::from_slice(&object.value)?;
    apply(node, &table);
    Ok(Some(object.revision))
}

/// Fetches newer versions from peers, and writes new ones if that is this node's duty, until the
/// node stops.
pub async fn run(node: Arc<Node>) {
    let mut last_written: Option<Instant> = None;
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = node.newer_table.notify.notified() => fetch(&node).await,
            _ = ticks.tick() => {
                if let Err(error) = update(&node, &mut last_written).await {
                    log::warn!(error:% = error; "failed to update the owner table");
                }
            }
        }
    }
}

async fn fetch(node: &Node) {
    let Some((peer, version)) = node.newer_table.take() else { return };
    let since = node.table.load().newest();
    let Some(address) = node.peer_address(&peer) else { return };
    if version <= since {
        return;
    }
    match node.peers.table(address, since).await {
        Ok(table) => apply(node, &table),
        Err(error) => log::debug!(error:% = error; "failed to fetch the owner table"),
    }
}

fn current_members(node: &Node) -> Vec<Member> {
    let members = node.members();
    let me = members.me();
    let mine = (me.state == State::Serving).then_some(me);
    let others = members.peers().filter(|p| p.accepts_clients()).map(|p| &p.update);
    let mut current: Vec<Member> = mine
        .into_iter()
        .chain(others)
        .map(|u| Member {
            name: u.name.clone(),
            incarnation: u.incarnation,
            address: u.addresses.peer,
        })
        .collect();
    current.sort();
    current
}

async fn update(node: &Node, last_written: &mut Option<Instant>) -> Result<(), TableError> {
    let writer = {
        let members = node.members();
        assignment::duty_node(DUTY, members.active()).cloned()
    };
    if writer.as_ref() != Some(&node.settings.name) {
        *last_written = None;
        return Ok(());
    }
    let current = current_members(node);
    let now = node.clock.now();
    let elapsed = last_written.map(|at| now.saturating_duration_since(at));
    let changed = node.table.load().members() != current.as_slice();
    let due = match elapsed {
        None => true,
        Some(elapsed) => {
            (changed && elapsed >= MIN_VERSION_INTERVAL) || elapsed >= MAX_VERSION_INTERVAL
        }
    };
    if current.is_empty() || !due {
        return Ok(());
    }
    let revision = refresh(node).await?;
    *last_written = Some(now);
    let table = node.table.load_full();
    if elapsed.is_none() && table.members() == current.as_slice() {
        return Ok(());
    }
    let next = table.with_next_version(current);
    let value = Bytes::from(serde_json::to_vec(&next)?);
    match node.store.put(OBJECT, revision, value).await {
        Ok(_) => apply(node, &next),
        Err(error) if error.may_have_written() => {
            // The next round reads the table and finds out whether the write took effect.
            *last_written = None;
        }
        Err(StoreError::Conflict { .. }) => *last_written = None,
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
