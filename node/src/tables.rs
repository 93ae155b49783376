//! The table of key owners at a node: written by one node on behalf of all, read by the others
//! from each other.

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

/// The duty of writing the table.
const DUTY: &str = "owner table";

/// How often the writer compares the table with the membership.
const PERIOD: Duration = Duration::from_secs(1);

/// Why the table could not be read or written.
#[derive(Debug, Error)]
pub enum TableError {
    /// The platform.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object is not a table.
    #[error("reading {OBJECT}: {0}")]
    Form(#[from] serde_json::Error),
}

/// Who is known to have a newer table.
#[derive(Debug, Default)]
pub struct Wanted {
    from: Mutex<Option<(Name, Version)>>,
    notify: Notify,
}

impl Wanted {
    /// Notes that `peer` has `version`.
    pub fn hear(&self, peer: &Name, version: Version) {
        *self.from.lock().expect("no holder panics") = Some((peer.clone(), version));
        self.notify.notify_one();
    }

    fn take(&self) -> Option<(Name, Version)> {
        self.from.lock().expect("no holder panics").take()
    }
}

/// Takes in a table that may be newer.
pub fn take(node: &Node, table: &Table) {
    let current = node.table.load_full();
    let merged = current.merge(table);
    if merged.newest() <= current.newest() {
        return;
    }
    node.register().set_table(&merged);
    node.table.store(Arc::new(merged));
}

/// Reads the table from the platform.
///
/// # Errors
/// The platform does not answer, or not with a table.
pub async fn refresh(node: &Node) -> Result<Option<Point>, TableError> {
    let Some(object) = node.store.get(OBJECT).await? else { return Ok(None) };
    let table: Table = serde_json::from_slice(&object.value)?;
    take(node, &table);
    Ok(Some(object.revision))
}

/// Fetches newer versions from peers, and writes them where it is this node's duty, until the node
/// stops.
pub async fn run(node: Arc<Node>) {
    let mut last_step: Option<Instant> = None;
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = node.table_wanted.notify.notified() => fetch(&node).await,
            _ = ticks.tick() => {
                if let Err(error) = keep(&node, &mut last_step).await {
                    log::warn!(error:% = error; "keeping the table of owners");
                }
            }
        }
    }
}

async fn fetch(node: &Node) {
    let Some((peer, version)) = node.table_wanted.take() else { return };
    let since = node.table.load().newest();
    let Some(address) = node.peer_address(&peer) else { return };
    if version <= since {
        return;
    }
    match node.peers.table(address, since).await {
        Ok(table) => take(node, &table),
        Err(error) => log::debug!(error:% = error; "fetching the table of owners"),
    }
}

fn wanted_members(node: &Node) -> Vec<Member> {
    let members = node.members();
    let me = members.me();
    let mine = (me.state == State::Serving).then_some(me);
    let others = members.peers().filter(|p| p.accepts_clients()).map(|p| &p.update);
    let mut wanted: Vec<Member> = mine
        .into_iter()
        .chain(others)
        .map(|u| Member {
            name: u.name.clone(),
            incarnation: u.incarnation,
            address: u.addresses.peer,
        })
        .collect();
    wanted.sort();
    wanted
}

async fn keep(node: &Node, last_step: &mut Option<Instant>) -> Result<(), TableError> {
    let writer = {
        let members = node.members();
        assignment::duty_node(DUTY, members.active()).cloned()
    };
    if writer.as_ref() != Some(&node.settings.name) {
        *last_step = None;
        return Ok(());
    }
    let wanted = wanted_members(node);
    let now = node.clock.now();
    let passed = last_step.map(|at| now.saturating_duration_since(at));
    let changed = node.table.load().members() != wanted.as_slice();
    let due = match passed {
        None => true,
        Some(passed) => {
            (changed && passed >= MIN_VERSION_INTERVAL) || passed >= MAX_VERSION_INTERVAL
        }
    };
    if wanted.is_empty() || !due {
        return Ok(());
    }
    let revision = refresh(node).await?;
    *last_step = Some(now);
    let table = node.table.load_full();
    if passed.is_none() && table.members() == wanted.as_slice() {
        return Ok(());
    }
    let next = table.with_next_version(wanted);
    let value = Bytes::from(serde_json::to_vec(&next)?);
    match node.store.put(OBJECT, revision, value).await {
        Ok(_) => take(node, &next),
        Err(error) if error.may_have_written() => {
            // Whether it took effect, the next round reads.
            *last_step = None;
        }
        Err(StoreError::Conflict { .. }) => *last_step = None,
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
