//! Joining the cluster, and exchanging member lists with other nodes.
//!
//! A node that starts calls its seeds. Only if none answers it reads the platform's store, where the
//! few nodes that watch the store have written their addresses; so a start costs no call there as a
//! rule, and two where it costs any.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select_ok;
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_platform::discovery::{NODE_KIND, decode_node, encode_node};
use sardinepick_wire::beat::{decode_nodes, encode_nodes};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::serve::beat::{self, take_records};
use crate::serve::quarantine;
use crate::serve::rpc::{self, RpcError, SILENCE};
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// How often the seeds are asked before the store is: they may be starting too.
const ROUNDS: u32 = 8;
/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// How long after it has found others a node takes itself to know them: what is new reaches all within
/// a tenth of a second, and what is lost on the way is made up for within a second.
const ACQUAINTED: Duration = Duration::from_millis(700);
/// How many nodes of the store's list are asked. Of those that wrote there some may be gone.
const MOST_ASKED: usize = 8;

/// Why member lists could not be exchanged.
#[derive(Debug, Error)]
pub enum JoinError {
    /// The call to the other node failed.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// Its reply is malformed.
    #[error("comparing lists with {peer}: {detail}")]
    Malformed {
        /// The node.
        peer: SocketAddr,
        /// What is wrong.
        detail: String,
    },
}

/// Exchanges member lists with another node, if it answers.
pub async fn compare(shared: Arc<Shared>, peer: SocketAddr) {
    match try_compare(&shared, peer).await {
        Ok(known) => log::info!(peer:% = peer, nodes = known; "lists of nodes compared"),
        Err(error) => log::info!(peer:% = peer, error:% = error; "lists of nodes not compared"),
    }
}

async fn try_compare(shared: &Shared, peer: SocketAddr) -> Result<usize, JoinError> {
    let mut client = rpc::connect(peer).await?;
    let mine = encode_nodes(&shared.roster().records(), quarantine::news::all(shared));
    let answer = timeout(SILENCE, client.meet(mine)).await;
    let answer = answer.map_err(|_| RpcError::Silent { peer })?;
    let answer = answer.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
    let useless = |error: sardinepick_wire::error::WireError| JoinError::Malformed {
        peer,
        detail: error.to_string(),
    };
    let answer = answer.into_inner();
    let records = decode_nodes(&answer).map_err(useless)?;
    quarantine::news::take(shared, &answer.quarantined, &peer.to_string());
    let now = shared.clock.now();
    let mut roster = shared.roster();
    take_records(&mut roster, &records, now);
    Ok(roster.known())
}

/// Joins the cluster: returns once another node has answered.
pub async fn join(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut failures = 0;
    loop {
        let found = ask_seeds(&shared, &socket).await || ask_listed(&shared).await;
        if found {
            // Where all have started together, the first that answers knows few.
            sleep(ACQUAINTED).await;
        }
        shared.acquainted.send_replace(true);
        if found {
            return;
        }
        failures += 1;
        let draw: f64 = shared.rng().random();
        sleep(pause(failures, draw)).await;
        // Whoever started meanwhile has found this node in the store.
        if shared.roster().ids().next().is_some() {
            return;
        }
    }
}

/// Asks the seeds by beats, which cost them little also where hundreds of nodes start together, and
/// compares lists with one of the nodes that they name. Whether one has been found.
async fn ask_seeds(shared: &Arc<Shared>, socket: &UdpSocket) -> bool {
    let seeds: Vec<SocketAddr> = shared.settings.other_seeds().collect();
    if seeds.is_empty() {
        return false;
    }
    for _ in 0..ROUNDS {
        beat::ask(shared, socket, &seeds).await;
        sleep(ROUND_PAUSE).await;
        let named = shared.roster().some(&mut *shared.rng());
        let peer = named.first().map(|record| record.contact.peer);
        if let Some(peer) = peer
            && ask_any(shared, &[peer]).await
        {
            return true;
        }
    }
    false
}

/// Compares lists with some nodes at once, until one has answered: of those that are gone each would
/// take half a second.
async fn ask_any(shared: &Shared, peers: &[SocketAddr]) -> bool {
    let asked = peers.iter().map(|peer| Box::pin(try_compare(shared, *peer)));
    let asked: Vec<_> = asked.collect();
    if asked.is_empty() {
        return false;
    }
    match select_ok(asked).await {
        Ok((known, _)) => {
            log::info!(nodes = known; "joined");
            shared.beat_now.notify_one();
            true
        }
        Err(error) => {
            log::info!(asked = peers.len(), error:% = error; "no node to join answers");
            false
        }
    }
}

/// Reads one page of the store's list, asks those that it names, and writes this node's entry beside
/// theirs if none answers. Whether one has.
async fn ask_listed(shared: &Shared) -> bool {
    let found = try_ask_listed(shared).await;
    found.unwrap_or_else(|error| {
        log::info!(error:% = error; "nodes not found by the store");
        false
    })
}

async fn try_ask_listed(shared: &Shared) -> Result<bool, StoreError> {
    let objects = shared.store.first_page(Purpose::Nodes, NODE_KIND).await?;
    let mut peers = Vec::new();
    for object in &objects {
        match decode_node(&object.name, &object.content) {
            Ok(contact) if contact.id == shared.me.id => {}
            Ok(contact) => {
                peers.push(contact.peer);
                shared.roster().introduce(contact, shared.clock.now());
            }
            Err(error) => {
                shared.metrics.foreign.with_label_values(&["node", error.reason()]).inc();
                log::warn!(node:% = object.name, error:% = error; "node's entry is not taken");
            }
        }
    }
    peers.shuffle(&mut *shared.rng());
    peers.truncate(MOST_ASKED);
    if ask_any(shared, &peers).await {
        return Ok(true);
    }
    write_entry(shared).await?;
    Ok(false)
}

/// Writes how this node is reached, for those that find nobody else.
///
/// # Errors
/// The store does not take it.
pub async fn write_entry(shared: &Shared) -> Result<(), StoreError> {
    let content = encode_node(&shared.me);
    shared.store.put(Purpose::NodeWrite, NODE_KIND, shared.me.id.as_str(), &content).await
}
