//! Joining the cluster, and exchanging member lists with other nodes.
//!
//! A starting node calls its seeds. Only if none answers it reads the platform's store, where the
//! few nodes that watch the store have written their addresses. So a start usually costs no store
//! call, and two otherwise.
//!
//! A node that hears too few others later joins again through the store: those that it knows may be
//! gone, and others may have come at addresses that it does not know. It writes its own entry before
//! it reads the others', so of two nodes that do so at least one finds the other.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select_ok;
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::fleet::roster::Contact;
use sardinepick_platform::discovery::{NODE_KIND, decode_node, encode_node};
use sardinepick_wire::beat::{decode_nodes, decode_parts, encode_nodes};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::serve::heartbeat::{self, apply_records};
use crate::serve::quarantine;
use crate::serve::rpc::{self, IDLE_TIMEOUT, RpcError};
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// How often the seeds are asked before the store is read: the seeds may be starting too.
const SEED_ROUNDS: u32 = 8;
/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// How long after it has found others a node considers its membership view complete: updates reach
/// all nodes within a tenth of a second, and lost ones are made up for within a second.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// How many nodes from the store are asked. Some of the nodes with an entry there may be gone.
const MAX_ASKED: usize = 8;

/// How often a node checks whether it must join again.
const REJOIN_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// The pause after the first attempt to join again, and the longest pause; it doubles with each
/// attempt. If all of 550 nodes are cut off from each other, that is 140 store calls a second.
const REJOIN_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// Why member lists could not be exchanged.
#[derive(Debug, Error)]
pub enum JoinError {
    /// The call to the other node failed.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// Its reply is malformed.
    #[error("exchanging member lists with {peer}: {detail}")]
    Malformed {
        /// The node.
        peer: SocketAddr,
        /// The cause.
        detail: String,
    },
}

/// Exchanges member lists with another node, if it answers.
pub async fn exchange_members(shared: Arc<Shared>, peer: SocketAddr) {
    match try_exchange_members(&shared, peer).await {
        Ok(known) => log::info!(peer:% = peer, nodes = known; "member lists exchanged"),
        Err(error) => log::info!(peer:% = peer, error:% = error; "cannot exchange member lists"),
    }
}

async fn try_exchange_members(shared: &Shared, peer: SocketAddr) -> Result<usize, JoinError> {
    let mut client = rpc::connect(peer).await?;
    let records = shared.roster().records();
    let mine =
        encode_nodes(&records, quarantine::gossip::all(shared), shared.part_quarantine.all());
    let answer = timeout(IDLE_TIMEOUT, client.meet(mine)).await;
    let answer = answer.map_err(|_| RpcError::Silent { peer })?;
    let answer = answer.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
    let malformed = |error: sardinepick_wire::error::WireError| JoinError::Malformed {
        peer,
        detail: error.to_string(),
    };
    let answer = answer.into_inner();
    let records = decode_nodes(&answer).map_err(malformed)?;
    quarantine::gossip::apply(shared, &answer.quarantined, &peer.to_string());
    shared.part_quarantine.apply_all(&decode_parts(&answer), &peer.to_string());
    let now = shared.clock.now();
    let mut roster = shared.roster();
    apply_records(&mut roster, &records, now);
    Ok(roster.known())
}

/// Joins the cluster, and joins it again whenever this node hears too few others, until the process
/// ends.
pub async fn join(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    join_first(&shared, &socket).await;
    let mut failures = 0;
    loop {
        sleep(REJOIN_CHECK_PERIOD).await;
        if !shared.roster().is_searching() {
            failures = 0;
            continue;
        }
        rejoin(&shared).await;
        failures += 1;
        let draw: f64 = shared.rng().random();
        sleep(rejoin_pause(failures, draw)).await;
    }
}

/// The pause after `attempts` attempts to join again. It is randomized by `draw`, from 0 to 1, as
/// nodes that are cut off from each other all call the store.
fn rejoin_pause(attempts: u32, draw: f64) -> Duration {
    let pause = REJOIN_PAUSES.0 * 2u32.saturating_pow(attempts.saturating_sub(1));
    pause.min(REJOIN_PAUSES.1).mul_f64(0.5 + draw)
}

/// Returns once another node has answered.
async fn join_first(shared: &Arc<Shared>, socket: &UdpSocket) {
    let mut failures = 0;
    loop {
        let found = ask_seeds(shared, socket).await || ask_listed(shared).await;
        if found {
            // If all nodes start together, the first one that answers knows few others.
            sleep(SETTLE_TIME).await;
        }
        shared.freshness.expect_from_now();
        shared.membership_settled.send_replace(true);
        if found {
            return;
        }
        failures += 1;
        let draw: f64 = shared.rng().random();
        sleep(pause(failures, draw)).await;
        // Nodes that started meanwhile have found this node in the store.
        if shared.roster().ids().next().is_some() {
            return;
        }
    }
}

/// Asks the seeds by heartbeats, which are cheap even if hundreds of nodes start together, and
/// exchanges lists with one of the nodes that they name. Returns whether one has answered.
async fn ask_seeds(shared: &Arc<Shared>, socket: &UdpSocket) -> bool {
    let seeds: Vec<SocketAddr> = shared.settings.other_seeds().collect();
    if seeds.is_empty() {
        return false;
    }
    for _ in 0..SEED_ROUNDS {
        heartbeat::request_heartbeats(shared, socket, &seeds).await;
        sleep(ROUND_PAUSE).await;
        let named = shared.roster().sample(&mut *shared.rng());
        let peer = named.first().map(|record| record.contact.peer);
        if let Some(peer) = peer
            && ask_any(shared, &[peer]).await
        {
            return true;
        }
    }
    false
}

/// Exchanges lists with several nodes concurrently, until one has answered: one after the other,
/// each node that is gone would cost half a second.
async fn ask_any(shared: &Shared, peers: &[SocketAddr]) -> bool {
    let exchanges = peers.iter().map(|peer| Box::pin(try_exchange_members(shared, *peer)));
    let exchanges: Vec<_> = exchanges.collect();
    if exchanges.is_empty() {
        return false;
    }
    match select_ok(exchanges).await {
        Ok((known, _)) => {
            log::info!(nodes = known; "joined");
            shared.heartbeat_now.notify_one();
            true
        }
        Err(error) => {
            log::info!(asked = peers.len(), error:% = error; "no node to join answers");
            false
        }
    }
}

/// Reads one page of node entries from the store and asks those nodes; if none answers, writes this
/// node's entry too. Returns whether one has answered.
async fn ask_listed(shared: &Shared) -> bool {
    let found = try_ask_listed(shared).await;
    found.unwrap_or_else(|error| {
        log::info!(error:% = error; "cannot find nodes through the store");
        false
    })
}

async fn try_ask_listed(shared: &Shared) -> Result<bool, StoreError> {
    let listed = read_entries(shared).await?;
    let mut peers: Vec<SocketAddr> = listed.iter().map(|contact| contact.peer).collect();
    for contact in listed {
        shared.roster().add_unheard(contact, shared.clock.now());
    }
    peers.shuffle(&mut *shared.rng());
    peers.truncate(MAX_ASKED);
    if ask_any(shared, &peers).await {
        return Ok(true);
    }
    write_entry(shared).await?;
    Ok(false)
}

/// Reads one page of the entries of other nodes.
async fn read_entries(shared: &Shared) -> Result<Vec<Contact>, StoreError> {
    let objects = shared.store.first_page(Purpose::Nodes, NODE_KIND).await?;
    let mut contacts = Vec::new();
    for object in &objects {
        match decode_node(&object.name, &object.content) {
            Ok(contact) if contact.id == shared.me.id => {}
            Ok(contact) => contacts.push(contact),
            Err(error) => {
                shared.metrics.invalid_objects.with_label_values(&["node", error.reason()]).inc();
                log::warn!(node:% = object.name, error:% = error; "invalid node entry");
            }
        }
    }
    Ok(contacts)
}

/// Joins again through the store.
async fn rejoin(shared: &Shared) {
    log::info!(heard = shared.roster().heard(shared.clock.now()); "joining again through the store");
    if let Err(error) = try_rejoin(shared).await {
        log::info!(error:% = error; "cannot join again through the store");
    }
}

async fn try_rejoin(shared: &Shared) -> Result<(), StoreError> {
    write_entry(shared).await?;
    let mut peers: Vec<SocketAddr> =
        read_entries(shared).await?.iter().map(|contact| contact.peer).collect();
    // The search probes the known addresses.
    let known: HashSet<SocketAddr> =
        shared.roster().members().map(|(record, _)| record.contact.peer).collect();
    peers.retain(|peer| !known.contains(peer));
    peers.shuffle(&mut *shared.rng());
    peers.truncate(MAX_ASKED);
    ask_any(shared, &peers).await;
    Ok(())
}

/// Writes this node's address to the store, for nodes that cannot reach any other.
///
/// # Errors
/// The store call fails.
pub async fn write_entry(shared: &Shared) -> Result<(), StoreError> {
    let content = encode_node(&shared.me);
    shared.store.put(Purpose::NodeWrite, NODE_KIND, shared.me.id.as_str(), &content).await
}
