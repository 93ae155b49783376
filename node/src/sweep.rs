//! Removing chunks that no configuration needs any more.
//!
//! A writer that is paused between writing its chunks and updating the head could wake up to find
//! them swept, and its head would name chunks that are gone. So the head is written before anything
//! is removed: the paused writer's update is then refused and it begins anew. Each chunk is removed
//! only under the revision it was listed with: a writer that began after the head was written writes
//! its chunks again, which changes their revision.

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

/// How often chunks are swept.
const PERIOD: Duration = Duration::from_secs(3600);

/// The operations whose configurations are kept for undo.
pub const KEPT: usize = 200;

/// The duty of sweeping.
const DUTY: &str = "sweep";

/// The prefix of chunks' objects.
const PREFIX: &str = "chunks/";

/// Sweeps where it is this node's duty, until the node stops.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = tokio::time::sleep(PERIOD) => {}
        }
        let mine = {
            let members = node.members();
            assignment::duty_node(DUTY, members.serving()) == Some(&node.settings.name)
        };
        if !mine {
            continue;
        }
        match sweep(&node, KEPT).await {
            Ok(removed) => log::info!(chunks = removed; "swept"),
            Err(error) => log::warn!(error:% = error; "sweeping"),
        }
    }
}

/// Removes the chunks that neither the head nor the last `kept` operations need, and tells how many.
///
/// # Errors
/// The platform does not answer. What was not removed is left to the next sweep.
pub async fn sweep(node: &Node, kept: usize) -> Result<usize, FetchError> {
    let listed = node.store.list(PREFIX).await?;
    let Some((revision, head)) = read_head(node).await? else { return Ok(0) };
    let needed = needed(node, &head, kept).await?;
    let unused: Vec<(String, Point)> = listed
        .into_iter()
        .filter(|line| {
            let digest = line.name.strip_prefix(PREFIX).and_then(|d| d.parse::<Digest>().ok());
            digest.is_some_and(|digest| !needed.contains(&digest))
        })
        .map(|line| (line.name.to_string(), Point::without_era(line.revision)))
        .collect();
    if unused.is_empty() {
        return Ok(0);
    }
    let next = Head { sweeps: head.sweeps + 1, ..head };
    let value = Bytes::from(serde_json::to_vec(&next)?);
    // Conflict or loss alike: without knowing that the head was written nothing may be removed.
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

/// The chunks of the head and of the last `kept` operations.
async fn needed(node: &Node, head: &Head, kept: usize) -> Result<HashSet<Digest>, FetchError> {
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
                    let root: Root = chunk.read().map_err(|e| FetchError::Spread(e.into()))?;
                    needed.extend(root.chunks.into_iter().flatten());
                }
            }
            // The oldest operation kept may name a parent whose root was swept before.
            Err(FetchError::Missing(digest)) if digest != head.root => {}
            Err(error) => return Err(error),
        }
    }
    Ok(needed)
}
