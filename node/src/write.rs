//! Changing the configuration: everywhere or nowhere.
//!
//! The chunks are written first; one conditional update of the head then makes the change so. If
//! the answer to that update is lost, the change id in the head tells whether it took effect. The
//! operator is answered only when that is known, or told that it is not.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::future::try_join_all;
use sardinepick_lib::config::change::{ChangeError, Edit, check_conflict, difference, prepare};
use sardinepick_lib::config::chunk::{Chunk, Root, join};
use sardinepick_lib::config::head::{ChangeId, Head, Operation};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::config_fetch::Installed;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Generation, Name};
use smol_str::SmolStr;
use thiserror::Error;

use crate::configuration::{self, FetchError, HEAD, chunk_object, read_chunks, read_head};
use crate::node::Node;
use crate::store::StoreError;

/// How often a change is tried against heads that others keep replacing.
const TRIES: u32 = 20;

/// For how long a lost answer is inquired after.
const SETTLE: Duration = Duration::from_secs(8);

/// How long it waits between two looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// A change as an operator asks for it.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Its identity.
    pub change: ChangeId,
    /// Who asks.
    pub author: Name,
    /// The text of the command.
    pub text: SmolStr,
    /// The generation that the operator saw.
    pub base: Generation,
    /// What to do.
    pub body: Body,
}

/// What a change does.
#[derive(Clone, Debug)]
pub enum Body {
    /// Makes edits.
    Edits(Vec<Edit>),
    /// Puts back what one generation changed.
    Undo(Generation),
}

/// Why a change did not happen, or is not known to have.
#[derive(Debug, Error)]
pub enum WriteError {
    /// It is refused; it is in force nowhere.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The platform failed before the head was updated; it is in force nowhere.
    #[error("not applied: {0}")]
    NotApplied(FetchError),
    /// Others changed the configuration again and again; it is in force nowhere.
    #[error("not applied: others changed the configuration {TRIES} times meanwhile")]
    Contended,
    /// The answer to the head's update was lost and could not be settled.
    #[error("unknown whether change {0} was applied; ask for it by its id later")]
    Unknown(ChangeId),
    /// The generation to undo is not in the log.
    #[error("generation {0} is not in the operation log")]
    NoGeneration(Generation),
}

impl<E: Into<FetchError>> From<E> for WriteError {
    fn from(error: E) -> Self {
        WriteError::NotApplied(error.into())
    }
}

/// What came of one try at a head.
enum Try {
    Applied(Generation),
    Again,
}

/// Applies a change and returns its generation. Repeating it with the same identity never applies
/// it twice.
///
/// # Errors
/// It is in force nowhere, except for [`WriteError::Unknown`].
pub async fn apply(node: &Node, wanted: &Wanted) -> Result<Generation, WriteError> {
    for _ in 0..TRIES {
        let (revision, head) = match read_head(node).await? {
            Some((revision, head)) => (Some(revision), head),
            None => (None, Head::default()),
        };
        if let Some(generation) = find(node, &head, &wanted.change).await? {
            return Ok(generation);
        }
        match try_once(node, wanted, revision, &head).await? {
            Try::Applied(generation) => return Ok(generation),
            Try::Again => {}
        }
    }
    Err(WriteError::Contended)
}

/// The generation that `change` made, if it was applied. The head names the newest changes; a
/// change that may reach further back is looked for in the log.
async fn find(
    node: &Node,
    head: &Head,
    change: &ChangeId,
) -> Result<Option<Generation>, WriteError> {
    if let Some(applied) = head.applied(change) {
        return Ok(Some(applied.generation));
    }
    if head.since(change.made_at()).is_some() || head.generation <= change.made_at() {
        return Ok(None);
    }
    let reach = usize::try_from(head.generation.0 - change.made_at().0).unwrap_or(usize::MAX);
    let log = history(node, reach).await?;
    Ok(log.iter().find(|o| &o.change == change).map(|o| o.generation))
}

async fn try_once(
    node: &Node,
    wanted: &Wanted,
    revision: Option<Point>,
    head: &Head,
) -> Result<Try, WriteError> {
    let current = load(node, head).await?;
    let edits = match &wanted.body {
        Body::Edits(edits) => edits.clone(),
        Body::Undo(generation) => undo_edits(node, head, *generation).await?,
    };
    let prepared = prepare(&current.snapshot, &edits)?;
    if head.generation > wanted.base {
        check_conflict(&prepared.footprint, wanted.base, head)?;
    }
    let (root, chunks) = prepared.snapshot.chunks();
    let root_chunk = Chunk::write(&root);
    let at = node.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let operation = Operation {
        generation: prepared.snapshot.generation,
        parent: (head.generation > Generation(0)).then_some(head.operation),
        root: root_chunk.digest,
        change: wanted.change.clone(),
        author: wanted.author.clone(),
        at: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
        text: wanted.text.clone(),
        wrote: prepared.footprint.wrote.iter().cloned().collect(),
    };
    let operation_chunk = Chunk::write(&operation);
    let next = head.advance(&operation, operation_chunk.digest);
    let all: BTreeMap<_, _> = chunks
        .into_iter()
        .chain([root_chunk, operation_chunk])
        .map(|chunk| (chunk.digest, chunk))
        .collect();
    let new: Vec<&Chunk> =
        all.values().filter(|c| !current.chunks.contains_key(&c.digest)).collect();
    write_chunks(node, &new).await?;
    let value = serde_json::to_vec(&next).map_err(FetchError::from)?;
    let outcome = node.store.put(HEAD, revision, Bytes::from(value)).await;
    let applied = match outcome {
        Ok(_) => true,
        Err(StoreError::Conflict { .. }) => false,
        Err(error) if error.may_have_written() => {
            settle(node, revision, &next, &wanted.change).await?
        }
        Err(error) => return Err(error.into()),
    };
    if !applied {
        return Ok(Try::Again);
    }
    let generation = next.generation;
    node.spreader().install_own(Installed { head: next, snapshot: prepared.snapshot, chunks: all });
    configuration::install(node);
    Ok(Try::Applied(generation))
}

/// Whether a head whose answer was lost took effect. It did if the store's head names the change;
/// it did not and cannot any more if another head has its generation. As long as neither is so the
/// write may still be under way, so it is made again under the same condition: at most one of the
/// two can take effect.
async fn settle(
    node: &Node,
    revision: Option<Point>,
    next: &Head,
    change: &ChangeId,
) -> Result<bool, WriteError> {
    let value = Bytes::from(serde_json::to_vec(next).map_err(FetchError::from)?);
    let until = node.clock.now() + SETTLE;
    while node.clock.now() < until {
        match read_head(node).await {
            Ok(Some((_, head))) if head.applied(change).is_some() => return Ok(true),
            Ok(Some((_, head))) if head.generation >= next.generation => return Ok(false),
            Ok(_) if node.store.put(HEAD, revision, value.clone()).await.is_ok() => {
                return Ok(true);
            }
            _ => tokio::time::sleep(SETTLE_PAUSE).await,
        }
    }
    Err(WriteError::Unknown(change.clone()))
}

async fn write_chunks(node: &Node, chunks: &[&Chunk]) -> Result<(), StoreError> {
    let writes = chunks.iter().map(|chunk| write_chunk(node, chunk));
    try_join_all(writes).await.map(|_| ())
}

/// Writes one chunk. Since its name is its content, a repeat does no harm; a chunk that is there
/// already is written again, so that a sweep that has just found it unused does not remove it.
async fn write_chunk(node: &Node, chunk: &Chunk) -> Result<(), StoreError> {
    let object = chunk_object(&chunk.digest);
    let value = Bytes::from(chunk.bytes.clone());
    match node.store.put(&object, None, value.clone()).await {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict { .. }) => {
            let Some(there) = node.store.get(&object).await? else {
                return node.store.put(&object, None, value).await.map(|_| ());
            };
            node.store.put(&object, Some(there.revision), value).await.map(|_| ())
        }
        Err(error) => Err(error),
    }
}

/// The configuration under `head`, from what is in force here where it is the same.
pub async fn load(node: &Node, head: &Head) -> Result<Installed, FetchError> {
    if head.generation == Generation(0) {
        return Ok(Installed::default());
    }
    let held = {
        let spreader = node.spreader();
        spreader.installed().clone()
    };
    if held.head.operation == head.operation {
        return Ok(held);
    }
    let mut chunks = held.chunks;
    fetch_missing(node, &mut chunks, &[head.operation, head.root]).await?;
    let root: Root = chunks[&head.root].read().map_err(spread)?;
    let parts: Vec<_> = root.chunks.into_iter().flatten().collect();
    fetch_missing(node, &mut chunks, &parts).await?;
    let parts_chunks: Vec<Chunk> = parts.iter().map(|d| chunks[d].clone()).collect();
    let records = join(&parts_chunks).map_err(spread)?;
    let snapshot =
        Snapshot::build(head.generation, records, Some(&held.snapshot)).map_err(|e| {
            spread(sardinepick_lib::config_fetch::ConfigFetchError::Invalid(head.generation, e))
        })?;
    let kept = parts.into_iter().chain([head.root, head.operation]);
    let chunks = kept.map(|d| (d, chunks[&d].clone())).collect();
    Ok(Installed { head: head.clone(), snapshot, chunks })
}

fn spread(error: impl Into<sardinepick_lib::config_fetch::ConfigFetchError>) -> FetchError {
    FetchError::Spread(error.into())
}

type Chunks = BTreeMap<sardinepick_lib::hash::Digest, Chunk>;

async fn fetch_missing(
    node: &Node,
    chunks: &mut Chunks,
    wanted: &[sardinepick_lib::hash::Digest],
) -> Result<(), FetchError> {
    let missing: Vec<_> = wanted.iter().filter(|d| !chunks.contains_key(d)).copied().collect();
    for chunk in read_chunks(node, &missing).await? {
        chunks.insert(chunk.digest, chunk);
    }
    Ok(())
}

/// The newest operations, newest first.
///
/// # Errors
/// The platform does not answer.
pub async fn history(node: &Node, limit: usize) -> Result<Vec<Operation>, FetchError> {
    let Some((_, head)) = read_head(node).await? else { return Ok(Vec::new()) };
    let mut found = Vec::new();
    let mut next = Some(head.operation);
    while let (Some(digest), true) = (next, found.len() < limit) {
        let chunk = match read_chunks(node, &[digest]).await {
            Ok(mut chunks) => chunks.remove(0),
            // What is older has been swept.
            Err(FetchError::Missing(_)) => break,
            Err(error) => return Err(error),
        };
        let operation: Operation = chunk.read().map_err(spread)?;
        next = operation.parent;
        found.push(operation);
    }
    Ok(found)
}

/// How far back an undo looks.
const UNDO_REACH: usize = 1000;

/// The edits that put back what `generation` changed. Objects that were changed again since are
/// the caller's conflict, found by the footprint like any other.
async fn undo_edits(
    node: &Node,
    head: &Head,
    generation: Generation,
) -> Result<Vec<Edit>, WriteError> {
    let reach = usize::try_from(head.generation.0.saturating_sub(generation.0)).unwrap_or(0) + 2;
    if generation > head.generation || generation.0 == 0 || reach > UNDO_REACH {
        return Err(WriteError::NoGeneration(generation));
    }
    let log = history(node, reach).await?;
    let at = log.iter().position(|o| o.generation == generation);
    let Some(at) = at else { return Err(WriteError::NoGeneration(generation)) };
    let after = snapshot_of(node, &log[at]).await?;
    let before = match log.get(at + 1) {
        Some(operation) => snapshot_of(node, operation).await?,
        None => Snapshot::default(),
    };
    Ok(difference(&after, &before))
}

async fn snapshot_of(node: &Node, operation: &Operation) -> Result<Snapshot, FetchError> {
    let digest = Chunk::write(operation).digest;
    let head = Head {
        generation: operation.generation,
        operation: digest,
        root: operation.root,
        ..Head::default()
    };
    load(node, &head).await.map(|installed| installed.snapshot)
}

/// Waits until every node that takes part has `generation` in force, or `patience` is over, and
/// names those that have not.
pub async fn wait_applied(
    node: &Arc<Node>,
    generation: Generation,
    patience: Duration,
) -> (usize, Vec<Name>) {
    let until = node.clock.now() + patience;
    let peers: Vec<_> = {
        let members = node.members();
        let active = members.peers().filter(|p| p.is_active());
        active.map(|p| (p.update.name.clone(), p.update.addresses.peer)).collect()
    };
    let total = peers.len() + 1;
    let mut left = peers;
    loop {
        let asked = left.into_iter().map(|(name, address)| async move {
            let there = node.peers.generation(address).await;
            let has = there.is_ok_and(|g| g >= generation);
            (!has).then_some((name, address))
        });
        left = futures_util::future::join_all(asked).await.into_iter().flatten().collect();
        if left.is_empty() || node.clock.now() >= until {
            break;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    (total, left.into_iter().map(|(name, _)| name).collect())
}

/// The generation that a change made, if it has been applied.
///
/// # Errors
/// The platform does not answer.
pub async fn find_change(node: &Node, change: &ChangeId) -> Result<Option<Generation>, WriteError> {
    match read_head(node).await? {
        Some((_, head)) => find(node, &head, change).await,
        None => Ok(None),
    }
}
