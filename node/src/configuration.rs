//! The configuration of a node: watching the platform for changes, fetching newer configurations
//! and activating them.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::try_join_all;
use sardinepick_lib::assignment;
use sardinepick_lib::config::chunk::Chunk;
use sardinepick_lib::config::head::Head;
use sardinepick_lib::config_fetch::{Action, ConfigFetchError, Source};
use sardinepick_lib::hash::Digest;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::Name;
use sardinepick_lib::member::State;
use thiserror::Error;
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::peer::client::PeerError;
use crate::peer::gossip;
use crate::store::StoreError;

/// The object that holds the head.
pub const HEAD: &str = "config/head";

/// The number of nodes in each data centre that watch the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// The long-poll timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay after a failed watch. A random delay between one and two times this value is used, so
/// that the watchers do not reconnect all at once when the platform recovers.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How often pending fetches are checked without a notification.
const FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of concurrent reads of chunks from the platform.
const MAX_CONCURRENT_READS: usize = 8;

/// An error when fetching a configuration.
#[derive(Debug, Error)]
pub enum FetchError {
    /// A call to the platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A call to another node failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The fetched data is not a valid configuration.
    #[error(transparent)]
    ConfigFetch(#[from] ConfigFetchError),
    /// The head is not JSON in the expected format.
    #[error("invalid {HEAD}: {0}")]
    Head(#[from] serde_json::Error),
    /// A chunk does not exist.
    #[error("chunk {0} is missing")]
    Missing(Digest),
    /// The node to fetch from is not a member any more.
    #[error("node {0} is unknown")]
    Unknown(Name),
}

/// Returns the name of a chunk's object.
pub fn chunk_object(digest: &Digest) -> String {
    format!("chunks/{digest}")
}

/// Reads the head from the platform.
///
/// # Errors
/// The platform does not answer, or the object is not a head.
pub async fn read_head(node: &Node) -> Result<Option<(Point, Head)>, FetchError> {
    let Some(object) = node.store.get(HEAD).await? else { return Ok(None) };
    let head = serde_json::from_slice(&object.value)?;
    Ok(Some((object.revision, head)))
}

fn is_watcher(node: &Node) -> bool {
    let members = node.members();
    let me = members.me();
    let local_peers = members
        .peers()
        .filter(|p| p.is_active() && p.update.data_centre == me.data_centre)
        .map(|p| &p.update.name);
    let all = std::iter::once(&me.name).chain(local_peers);
    let duty = format!("watch {}", me.data_centre);
    assignment::duty_nodes(&duty, all, WATCHERS_PER_DATA_CENTRE).contains(&&me.name)
}

/// Watches the platform for new configurations while this node is one of the watchers, until the
/// node stops.
pub async fn watch(node: Arc<Node>) {
    let mut seen = Point::default();
    loop {
        let step = async {
            if !is_watcher(&node) {
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
                return;
            }
            if let Err(error) = watch_once(&node, &mut seen).await {
                log::debug!(error:% = error; "failed to watch the configuration");
                let draw: f64 = rand::RngExt::random(&mut *node.rng());
                tokio::time::sleep(WATCH_RETRY_DELAY.mul_f64(1.0 + draw)).await;
            }
        };
        tokio::select! {
            () = node.stopped() => return,
            () = step => {}
        }
    }
}

/// Reads the head, then waits for a change. A watch may miss events or replay old ones, so it is
/// only a hint to read the head; the head is read at the latest when the watch times out.
async fn watch_once(node: &Node, seen: &mut Point) -> Result<(), FetchError> {
    if let Some((revision, head)) = read_head(node).await? {
        *seen = (*seen).max(revision);
        node.config_fetcher().on_head(head);
        node.fetch_requested.notify_one();
    }
    node.store.watch(HEAD, *seen, WATCH_TIMEOUT).await?;
    Ok(())
}

/// Fetches and activates newer configurations until the node stops.
pub async fn fetch(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = node.fetch_requested.notified() => {}
            () = tokio::time::sleep(FETCH_INTERVAL) => {}
        }
        fetch_pending(&node, &socket).await;
    }
}

async fn fetch_pending(node: &Arc<Node>, socket: &UdpSocket) {
    loop {
        let now = node.clock.now();
        let Some(action) = node.config_fetcher().poll(now) else { return };
        match execute(node, action).await {
            Ok(true) => activate(node, socket).await,
            Ok(false) => {}
            Err(error) => {
                log::debug!(error:% = error; "failed to fetch a configuration");
                node.config_fetcher().on_fetch_failed();
                return;
            }
        }
    }
}

fn peer_address(node: &Node, peer: &Name) -> Result<std::net::SocketAddr, FetchError> {
    node.peer_address(peer).ok_or_else(|| FetchError::Unknown(peer.clone()))
}

async fn execute(node: &Node, action: Action) -> Result<bool, FetchError> {
    match action {
        Action::Head(source) => {
            let head = match source {
                Source::Peer(peer) => Some(node.peers.head(peer_address(node, &peer)?).await?),
                Source::Store => read_head(node).await?.map(|(_, head)| head),
            };
            match head {
                Some(head) if head.generation >= node.config_fetcher().wanted() => {
                    node.config_fetcher().on_head(head);
                }
                _ => node.config_fetcher().on_fetch_failed(),
            }
            Ok(false)
        }
        Action::Chunks(source, digests) => {
            let chunks = match source {
                Source::Peer(peer) => {
                    let found = node.peers.chunks(peer_address(node, &peer)?, &digests).await?;
                    check_complete(&digests, &found)?;
                    found
                }
                Source::Store => read_chunks(node, &digests).await?,
            };
            let installed = node.config_fetcher().on_chunks(chunks)?.is_some();
            Ok(installed)
        }
    }
}

fn check_complete(wanted: &[Digest], found: &[Chunk]) -> Result<(), FetchError> {
    let missing = wanted.iter().find(|d| !found.iter().any(|c| c.digest == **d));
    missing.map_or(Ok(()), |digest| Err(FetchError::Missing(*digest)))
}

/// Reads chunks from the platform, several at a time.
///
/// # Errors
/// One of them cannot be read.
pub async fn read_chunks(node: &Node, digests: &[Digest]) -> Result<Vec<Chunk>, FetchError> {
    let mut chunks = Vec::with_capacity(digests.len());
    for group in digests.chunks(MAX_CONCURRENT_READS) {
        let reads = group.iter().map(|digest| read_chunk(node, *digest));
        chunks.extend(try_join_all(reads).await?);
    }
    Ok(chunks)
}

async fn read_chunk(node: &Node, digest: Digest) -> Result<Chunk, FetchError> {
    let object = node.store.get(&chunk_object(&digest)).await?;
    let object = object.ok_or(FetchError::Missing(digest))?;
    Chunk::verified(digest, object.value.to_vec())
        .map_err(|error| FetchError::ConfigFetch(error.into()))
}

/// Activates the latest fetched configuration on this node and announces it to other nodes.
pub async fn activate(node: &Node, socket: &UdpSocket) {
    install(node);
    gossip::announce_generation(node, socket).await;
}

/// Activates the latest fetched or written configuration on this node.
pub fn install(node: &Node) {
    let snapshot = {
        let fetcher = node.config_fetcher();
        fetcher.installed().snapshot.clone()
    };
    if snapshot.generation <= node.config.load().generation {
        return;
    }
    let generation = snapshot.generation;
    node.config.store(Arc::new(snapshot));
    node.configure_pools();
    node.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
    {
        let mut members = node.members();
        if members.me().state == State::Joining {
            members.set_state(State::Serving);
        }
    }
    log::info!(generation:% = generation; "configuration in force");
    node.installed.notify_waiters();
}
