//! Garbage collection of chunks that no configuration needs any more.
//!
//! If a writer were paused between writing its chunks and updating the head, a sweep could delete
//! the chunks, and the new head would then refer to missing chunks. Therefore the head is written
//! before anything is deleted: the update of the paused writer fails and it starts over. Each chunk
//! is deleted only if it still has the revision that was listed: a writer that starts after the
//! head was written writes its chunks again, which changes their revision.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sardinepick_lib::assignment;
use sardinepick_lib::config::chunk::Root;
use sardinepick_lib::config::head::Head;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::history::Point;

use crate::configuration::{FetchError, HEAD, read_chunks, read_head};
use crate::node::Node;
use crate::store::StoreError;
use crate::write;

/// The interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3600);

/// The number of operations whose configurations are kept for undo.
pub const KEPT_OPERATIONS: usize = 200;

/// The name of the duty of sweeping.
const DUTY: &str = "sweep";

/// The prefix of the names of chunk objects.
const PREFIX: &str = "chunks/";

/// Sweeps regularly if that is this node's duty, until the node stops.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        let is_sweeper = {
            let members = node.members();
            assignment::duty_node(DUTY, members.serving()) == Some(&node.settings.name)
        };
        if !is_sweeper {
            continue;
        }
        match sweep(&node, KEPT_OPERATIONS).await {
            Ok(removed) => log::info!(chunks = removed; "swept"),
            Err(error) => log::warn!(error:% = error; "sweeping"),
        }
    }
}

/// Deletes the chunks that neither the head nor the last `kept` operations need. Returns how many.
///
/// # Errors
/// The platform does not answer. The chunks that were not deleted are left to the next sweep.
pub async fn sweep(node: &Node, kept: usize) -> Result<usize, FetchError> {
    let listed = node.store.list(PREFIX).await?;
    let Some((revision, head)) = read_head(node).await? else { return Ok(0) };
    let needed = needed_chunks(node, &head, kept).await?;
    let unused: Vec<(String, Point)> = listed
        .into_iter()
        .filter(|entry| {
            let digest = entry.name.strip_prefix(PREFIX).and_then(|d| d.parse::<Digest>().ok());
            digest.is_some_and(|digest| !needed.contains(&digest))
        })
        .map(|entry| (entry.name.to_string(), Point::without_era(entry.revision)))
        .collect();
    if unused.is_empty() {
        return Ok(0);
    }
    let next = Head { sweeps: head.sweeps + 1, ..head };
    let value = Bytes::from(serde_json::to_vec(&next)?);
    // Nothing may be deleted unless the head is known to be written, so a lost response is handled
    // like a conflict.
    node.store.put(HEAD, Some(revision), value).await?;
    let mut removed = 0;
    for (object, revision) in unused {
        match node.store.delete(&object, revision).await {
            Ok(()) => removed += 1,
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(removed)
}

/// Returns the chunks of the head and of the last `kept` operations.
async fn needed_chunks(
    node: &Node,
    head: &Head,
    kept: usize,
) -> Result<HashSet<Digest>, FetchError> {
    let mut needed = HashSet::from([head.operation, head.root]);
    let mut roots = HashSet::from([head.root]);
    for operation in write::history(node, kept).await? {
        needed.extend(operation.parent);
        needed.insert(operation.root);
        roots.insert(operation.root);
    }
    for root in roots {
        match read_chunks(node, &[root]).await {
            Ok(chunks) => {
                for chunk in chunks {
                    let root: Root = chunk.read().map_err(|e| FetchError::ConfigFetch(e.into()))?;
                    needed.extend(root.chunks.into_iter().flatten());
                }
            }
            // The oldest operation that is kept may refer to a parent whose root was deleted by an earlier
            // sweep.
            Err(FetchError::Missing(digest)) if digest != head.root => {}
            Err(error) => return Err(error),
        }
    }
    Ok(needed)
}
