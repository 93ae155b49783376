//! Atomic changes of the configuration.
//!
//! The chunks are written first; a single conditional update of the head then commits the change.
//! If the response to that update is lost, the change ID in the head shows whether it took effect.
//! The operator gets a response once that is known, or an error that says that it is unknown.

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

/// The maximum number of attempts to commit a change while others replace the head.
const MAX_ATTEMPTS: u32 = 20;

/// How long the node tries to determine the outcome of an update whose response was lost.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(8);

/// The interval between reads of the head or of other nodes' generations.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Its ID.
    pub change: ChangeId,
    /// The operator.
    pub author: Name,
    /// The text of the command.
    pub text: SmolStr,
    /// The generation that the operator saw.
    pub base: Generation,
    /// The change itself.
    pub body: ChangeBody,
}

/// The content of a change.
#[derive(Clone, Debug)]
pub enum ChangeBody {
    /// Applies edits.
    Edits(Vec<Edit>),
    /// Reverts one generation.
    Undo(Generation),
}

/// Why a change was not applied, or why it is unknown whether it was.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The change was rejected and not applied.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The platform failed before the head was updated. The change was not applied.
    #[error("not applied: {0}")]
    NotApplied(FetchError),
    /// Other changes kept replacing the head. The change was not applied.
    #[error("not applied: others changed the configuration {MAX_ATTEMPTS} times meanwhile")]
    Contended,
    /// The response to the head's update was lost and its outcome could not be determined.
    #[error("unknown whether change {0} was applied; ask for it by its id later")]
    Unknown(ChangeId),
    /// The generation to undo is not in the operation log.
    #[error("generation {0} is not in the operation log")]
    NoGeneration(Generation),
}

impl<E: Into<FetchError>> From<E> for WriteError {
    fn from(error: E) -> Self {
        WriteError::NotApplied(error.into())
    }
}

/// The outcome of one attempt to update the head.
enum Attempt {
    Applied(Generation),
    HeadReplaced,
}

/// Applies a change and returns its generation. A change with the same ID is never applied twice.
///
/// # Errors
/// The change was not applied, except for [`WriteError::Unknown`].
pub async fn apply(node: &Node, request: &ChangeRequest) -> Result<Generation, WriteError> {
    for _ in 0..MAX_ATTEMPTS {
        let (revision, head) = match read_head(node).await? {
            Some((revision, head)) => (Some(revision), head),
            None => (None, Head::default()),
        };
        if let Some(generation) = find_applied(node, &head, &request.change).await? {
            return Ok(generation);
        }
        match try_apply(node, request, revision, &head).await? {
            Attempt::Applied(generation) => return Ok(generation),
            Attempt::HeadReplaced => {}
        }
    }
    Err(WriteError::Contended)
}

/// Returns the generation that `change` created, if it was applied. The head lists the newest
/// changes; an older one is searched for in the operation log.
async fn find_applied(
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
    let depth = usize::try_from(head.generation.0 - change.made_at().0).unwrap_or(usize::MAX);
    let log = history(node, depth).await?;
    Ok(log.iter().find(|o| &o.change == change).map(|o| o.generation))
}

async fn try_apply(
    node: &Node,
    request: &ChangeRequest,
    revision: Option<Point>,
    head: &Head,
) -> Result<Attempt, WriteError> {
    let current = load(node, head).await?;
    let edits = match &request.body {
        ChangeBody::Edits(edits) => edits.clone(),
        ChangeBody::Undo(generation) => undo_edits(node, head, *generation).await?,
    };
    let prepared = prepare(&current.snapshot, &edits)?;
    if head.generation > request.base {
        check_conflict(&prepared.footprint, request.base, head)?;
    }
    let (root, chunks) = prepared.snapshot.chunks();
    let root_chunk = Chunk::write(&root);
    let at = node.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let operation = Operation {
        generation: prepared.snapshot.generation,
        parent: (head.generation > Generation(0)).then_some(head.operation),
        root: root_chunk.digest,
        change: request.change.clone(),
        author: request.author.clone(),
        at: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
        text: request.text.clone(),
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
            resolve_lost_update(node, revision, &next, &request.change).await?
        }
        Err(error) => return Err(error.into()),
    };
    if !applied {
        return Ok(Attempt::HeadReplaced);
    }
    let generation = next.generation;
    node.config_fetcher().install_own(Installed {
        head: next,
        snapshot: prepared.snapshot,
        chunks: all,
    });
    configuration::install(node);
    Ok(Attempt::Applied(generation))
}

/// Determines whether an update of the head whose response was lost took effect. It did if the
/// stored head lists the change. It did not and never will if a different head has its generation.
/// Otherwise the write may still be in progress, so it is repeated with the same expected revision:
/// at most one of the two can take effect.
async fn resolve_lost_update(
    node: &Node,
    revision: Option<Point>,
    next: &Head,
    change: &ChangeId,
) -> Result<bool, WriteError> {
    let value = Bytes::from(serde_json::to_vec(next).map_err(FetchError::from)?);
    let expires_at = node.clock.now() + RESOLVE_TIMEOUT;
    while node.clock.now() < expires_at {
        match read_head(node).await {
            Ok(Some((_, head))) if head.applied(change).is_some() => return Ok(true),
            Ok(Some((_, head))) if head.generation >= next.generation => return Ok(false),
            Ok(_) if node.store.put(HEAD, revision, value.clone()).await.is_ok() => {
                return Ok(true);
            }
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    Err(WriteError::Unknown(change.clone()))
}

async fn write_chunks(node: &Node, chunks: &[&Chunk]) -> Result<(), StoreError> {
    let writes = chunks.iter().map(|chunk| write_chunk(node, chunk));
    try_join_all(writes).await.map(|_| ())
}

/// Writes one chunk. Its name is the digest of its content, so writing it again is harmless. An
/// existing chunk is written again to change its revision, so that a concurrent sweep that found it
/// unused does not delete it.
async fn write_chunk(node: &Node, chunk: &Chunk) -> Result<(), StoreError> {
    let object = chunk_object(&chunk.digest);
    let value = Bytes::from(chunk.bytes.clone());
    match node.store.put(&object, None, value.clone()).await {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict { .. }) => {
            let Some(existing) = node.store.get(&object).await? else {
                return node.store.put(&object, None, value).await.map(|_| ());
            };
            node.store.put(&object, Some(existing.revision), value).await.map(|_| ())
        }
        Err(error) => Err(error),
    }
}

/// Loads the configuration of `head`, reusing the chunks of the configuration in force on this
/// node.
pub async fn load(node: &Node, head: &Head) -> Result<Installed, FetchError> {
    if head.generation == Generation(0) {
        return Ok(Installed::default());
    }
    let current = {
        let fetcher = node.config_fetcher();
        fetcher.installed().clone()
    };
    if current.head.operation == head.operation {
        return Ok(current);
    }
    let mut chunks = current.chunks;
    fetch_missing(node, &mut chunks, &[head.operation, head.root]).await?;
    let root: Root = chunks[&head.root].read().map_err(fetch_error)?;
    let parts: Vec<_> = root.chunks.into_iter().flatten().collect();
    fetch_missing(node, &mut chunks, &parts).await?;
    let part_chunks: Vec<Chunk> = parts.iter().map(|d| chunks[d].clone()).collect();
    let records = join(&part_chunks).map_err(fetch_error)?;
    let snapshot =
        Snapshot::build(head.generation, records, Some(&current.snapshot)).map_err(|e| {
            fetch_error(sardinepick_lib::config_fetch::ConfigFetchError::Invalid(
                head.generation,
                e,
            ))
        })?;
    let retained = parts.into_iter().chain([head.root, head.operation]);
    let chunks = retained.map(|d| (d, chunks[&d].clone())).collect();
    Ok(Installed { head: head.clone(), snapshot, chunks })
}

fn fetch_error(error: impl Into<sardinepick_lib::config_fetch::ConfigFetchError>) -> FetchError {
    FetchError::ConfigFetch(error.into())
}

type Chunks = BTreeMap<sardinepick_lib::hash::Digest, Chunk>;

async fn fetch_missing(
    node: &Node,
    chunks: &mut Chunks,
    digests: &[sardinepick_lib::hash::Digest],
) -> Result<(), FetchError> {
    let missing: Vec<_> = digests.iter().filter(|d| !chunks.contains_key(d)).copied().collect();
    for chunk in read_chunks(node, &missing).await? {
        chunks.insert(chunk.digest, chunk);
    }
    Ok(())
}

/// Returns the newest operations, newest first.
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
            // Older operations have been deleted by a sweep.
            Err(FetchError::Missing(_)) => break,
            Err(error) => return Err(error),
        };
        let operation: Operation = chunk.read().map_err(fetch_error)?;
        next = operation.parent;
        found.push(operation);
    }
    Ok(found)
}

/// The maximum number of generations that an undo can go back.
const MAX_UNDO_DEPTH: usize = 1000;

/// Returns the edits that revert `generation`. If an object was changed again since, the conflict
/// check on the footprint rejects the undo like any other change.
async fn undo_edits(
    node: &Node,
    head: &Head,
    generation: Generation,
) -> Result<Vec<Edit>, WriteError> {
    let depth = usize::try_from(head.generation.0.saturating_sub(generation.0)).unwrap_or(0) + 2;
    if generation > head.generation || generation.0 == 0 || depth > MAX_UNDO_DEPTH {
        return Err(WriteError::NoGeneration(generation));
    }
    let log = history(node, depth).await?;
    let index = log.iter().position(|o| o.generation == generation);
    let Some(index) = index else { return Err(WriteError::NoGeneration(generation)) };
    let after = snapshot_of(node, &log[index]).await?;
    let before = match log.get(index + 1) {
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

/// Waits until every active node has `generation` in force, up to `timeout`. Returns the number of
/// nodes and the names of those that do not have it.
pub async fn wait_applied(
    node: &Arc<Node>,
    generation: Generation,
    timeout: Duration,
) -> (usize, Vec<Name>) {
    let expires_at = node.clock.now() + timeout;
    let peers: Vec<_> = {
        let members = node.members();
        let active = members.peers().filter(|p| p.is_active());
        active.map(|p| (p.update.name.clone(), p.update.addresses.peer)).collect()
    };
    let total = peers.len() + 1;
    let mut remaining = peers;
    loop {
        let checks = remaining.into_iter().map(|(name, address)| async move {
            let generation_there = node.peers.generation(address).await;
            let has = generation_there.is_ok_and(|g| g >= generation);
            (!has).then_some((name, address))
        });
        remaining = futures_util::future::join_all(checks).await.into_iter().flatten().collect();
        if remaining.is_empty() || node.clock.now() >= expires_at {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    (total, remaining.into_iter().map(|(name, _)| name).collect())
}

/// Returns the generation that a change created, if it has been applied.
///
/// # Errors
/// The platform does not answer.
pub async fn find_change(node: &Node, change: &ChangeId) -> Result<Option<Generation>, WriteError> {
    match read_head(node).await? {
        Some((_, head)) => find_applied(node, &head, change).await,
        None => Ok(None),
    }
}
