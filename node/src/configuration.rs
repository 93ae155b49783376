//! The configuration at a node: watching the platform, fetching what is newer, putting it in
//! force.

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

/// How many nodes of a data centre watch the platform.
const WATCHERS: usize = 2;

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How long after a failed watch the next one is begun; drawn between one and two of these, so
/// that the watchers do not return all at once when the platform is back.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// How often the fetching is looked after when nothing wakes it.
const FETCH_PERIOD: Duration = Duration::from_millis(250);

/// How many chunks are fetched from the platform at once.
const FETCH_WIDTH: usize = 8;

/// Why a configuration could not be fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The platform.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another node.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// What came is not a configuration.
    #[error(transparent)]
    Spread(#[from] ConfigFetchError),
    /// The head is not JSON of the expected form.
    #[error("reading {HEAD}: {0}")]
    Head(#[from] serde_json::Error),
    /// A chunk is not there.
    #[error("chunk {0} is missing")]
    Missing(Digest),
    /// The node that was asked is not known any more.
    #[error("{0} is not known")]
    Unknown(Name),
}

/// The name of a chunk's object.
pub fn chunk_object(digest: &Digest) -> String {
    format!("chunks/{digest}")
}

/// Reads the head from the platform.
///
/// # Errors
/// The platform does not answer, or not with a head.
pub async fn read_head(node: &Node) -> Result<Option<(Point, Head)>, FetchError> {
    let Some(object) = node.store.get(HEAD).await? else { return Ok(None) };
    let head = serde_json::from_slice(&object.value)?;
    Ok(Some((object.revision, head)))
}

fn is_watcher(node: &Node) -> bool {
    let members = node.members();
    let me = members.me();
    let near = members
        .peers()
        .filter(|p| p.is_active() && p.update.data_centre == me.data_centre)
        .map(|p| &p.update.name);
    let all = std::iter::once(&me.name).chain(near);
    let duty = format!("watch {}", me.data_centre);
    assignment::duty_nodes(&duty, all, WATCHERS).contains(&&me.name)
}

/// Watches the platform where it is this node's duty, or where it has no configuration yet, until
/// the node stops.
pub async fn watch(node: Arc<Node>) {
    let mut seen = Point::default();
    loop {
        let step = async {
            if !is_watcher(&node) {
                tokio::time::sleep(WATCH_PAUSE).await;
                return;
            }
            if let Err(error) = watch_once(&node, &mut seen).await {
                log::debug!(error:% = error; "watching the configuration");
                let draw: f64 = rand::RngExt::random(&mut *node.rng());
                tokio::time::sleep(WATCH_PAUSE.mul_f64(1.0 + draw)).await;
            }
        };
        tokio::select! {
            () = node.stopped() => return,
            () = step => {}
        }
    }
}

/// A watch may miss events or replay old ones, so it is only a hint to read the head; the head is
/// read at the latest when a watch has waited its time.
async fn watch_once(node: &Node, seen: &mut Point) -> Result<(), FetchError> {
    if let Some((revision, head)) = read_head(node).await? {
        *seen = (*seen).max(revision);
        node.spreader().on_head(head);
        node.wanted.notify_one();
    }
    node.store.watch(HEAD, *seen, WATCH_WAIT).await?;
    Ok(())
}

/// Fetches newer configurations and puts them in force, until the node stops.
pub async fn fetch(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = node.stopped() => return,
            () = node.wanted.notified() => {}
            () = tokio::time::sleep(FETCH_PERIOD) => {}
        }
        fetch_all(&node, &socket).await;
    }
}

async fn fetch_all(node: &Arc<Node>, socket: &UdpSocket) {
    loop {
        let now = node.clock.now();
        let Some(action) = node.spreader().poll(now) else { return };
        match carry_out(node, action).await {
            Ok(true) => put_in_force(node, socket).await,
            Ok(false) => {}
            Err(error) => {
                log::debug!(error:% = error; "fetching a configuration");
                node.spreader().on_fetch_failed();
                return;
            }
        }
    }
}

fn address(node: &Node, peer: &Name) -> Result<std::net::SocketAddr, FetchError> {
    node.peer_address(peer).ok_or_else(|| FetchError::Unknown(peer.clone()))
}

async fn carry_out(node: &Node, action: Action) -> Result<bool, FetchError> {
    match action {
        Action::Head(source) => {
            let head = match source {
                Source::Peer(peer) => Some(node.peers.head(address(node, &peer)?).await?),
                Source::Store => read_head(node).await?.map(|(_, head)| head),
            };
            match head {
                Some(head) if head.generation >= node.spreader().wanted() => {
                    node.spreader().on_head(head);
                }
                _ => node.spreader().on_fetch_failed(),
            }
            Ok(false)
        }
        Action::Chunks(source, digests) => {
            let chunks = match source {
                Source::Peer(peer) => {
                    let found = node.peers.chunks(address(node, &peer)?, &digests).await?;
                    check_all(&digests, &found)?;
                    found
                }
                Source::Store => read_chunks(node, &digests).await?,
            };
            let installed = node.spreader().on_chunks(chunks)?.is_some();
            Ok(installed)
        }
    }
}

fn check_all(wanted: &[Digest], found: &[Chunk]) -> Result<(), FetchError> {
    let missing = wanted.iter().find(|d| !found.iter().any(|c| c.digest == **d));
    missing.map_or(Ok(()), |digest| Err(FetchError::Missing(*digest)))
}

/// Reads chunks from the platform, a few at once.
///
/// # Errors
/// One of them cannot be read.
pub async fn read_chunks(node: &Node, digests: &[Digest]) -> Result<Vec<Chunk>, FetchError> {
    let mut chunks = Vec::with_capacity(digests.len());
    for group in digests.chunks(FETCH_WIDTH) {
        let reads = group.iter().map(|digest| read_chunk(node, *digest));
        chunks.extend(try_join_all(reads).await?);
    }
    Ok(chunks)
}

async fn read_chunk(node: &Node, digest: Digest) -> Result<Chunk, FetchError> {
    let object = node.store.get(&chunk_object(&digest)).await?;
    let object = object.ok_or(FetchError::Missing(digest))?;
    Chunk::verified(digest, object.value.to_vec()).map_err(|error| FetchError::Spread(error.into()))
}

/// Puts the configuration that was fetched last in force here, and tells others.
pub async fn put_in_force(node: &Node, socket: &UdpSocket) {
    install(node);
    gossip::announce_generation(node, socket).await;
}

/// Puts the configuration that was fetched or written last in force here.
pub fn install(node: &Node) {
    let snapshot = {
        let spreader = node.spreader();
        spreader.installed().snapshot.clone()
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
