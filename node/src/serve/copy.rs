//! Distribution of a new configuration from node to node.
//!
//! Heartbeats say which nodes have a newer configuration. The other nodes ask one of these; it
//! sends few copies at a time and refers waiting nodes to nodes that have just received one
//! (`lib::fleet::fanout`).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::fleet::roster::Contact;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::ConfigVersion;
use sardinepick_platform::store::Object;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::mark::decode_point;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};
use tonic::Status;

use crate::serve::compression::{compress, decompress};
use crate::serve::rpc::{self, Failures, Reply, RpcError};
use crate::serve::shared::Shared;
use crate::serve::store_watch::install;
use crate::serve::transfer::{Disconnected, Grant, Parts, Queue, keep_alive, send};

/// How long a node that is behind waits for an answer of the store.
const FETCH_DELAY: Duration = Duration::from_millis(40);
/// The size of a part, in bytes: small enough for other traffic to pass between two of them.
const PART_BYTES: usize = 16 << 10;
/// The maximum size of a copy: an incompressible configuration of a megabyte, with room to spare.
const MAX_COPY_BYTES: usize = 2 << 20;

/// A configuration as sent to other nodes.
#[derive(Debug)]
struct Offered {
    version: ConfigVersion,
    name: SmolStr,
    at: Point,
    compressed: Bytes,
}

/// The configuration that a node offers to other nodes.
#[derive(Debug, Default)]
pub struct Copies {
    newest: watch::Sender<Option<Arc<Offered>>>,
    transfers: Arc<Queue>,
}

impl Copies {
    /// Offers a configuration from now on. `compressed` is its compressed content, if it was
    /// received from another node.
    pub fn offer(&self, version: ConfigVersion, object: Object, compressed: Option<Bytes>) {
        let Object { name, at, content } = object;
        let compressed = compressed.unwrap_or_else(|| compress(&content));
        self.newest.send_replace(Some(Arc::new(Offered { version, name, at, compressed })));
    }
}

/// Answers a node that asks for a newer configuration, in parts.
pub fn serve(
    shared: Arc<Shared>,
    request: pb::CopyRequest,
) -> mpsc::Receiver<Result<pb::CopyPart, Status>> {
    let (parts, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let began = Instant::now();
        let result = send_copy(&shared, &request, &parts).await;
        let outcome = result.unwrap_or("not_taken");
        shared.metrics.configuration_copies.with_label_values(&["sent", outcome]).inc();
        log::info!(
            node = request.node, has = request.version, outcome = outcome,
            waiting = shared.copies.transfers.waiting(),
            took_ms = began.elapsed().as_millis() as u64; "asked for the configuration"
        );
    });
    receiver
}

/// Sends a copy, and returns the outcome as a metric label.
async fn send_copy(
    shared: &Shared,
    request: &pb::CopyRequest,
    parts: &Parts<pb::CopyPart>,
) -> Result<&'static str, Disconnected> {
    let mut newest = shared.copies.newest.subscribe();
    let is_newer = |offered: &Option<Arc<Offered>>| {
        offered.as_ref().is_some_and(|offered| offered.version.0 > request.version)
    };
    // A node is also asked while its own copy is still being transferred.
    let arrival = async { newest.wait_for(is_newer).await.ok().and_then(|newest| newest.clone()) };
    let Some(offered) = keep_alive(parts, arrival).await? else { return Ok("nothing") };
    // All nodes ask at the same moment. Concurrent copies over a thin link would all be late, and
    // abandoned ones are wasted, so few are sent at once.
    let slot = match shared.copies.transfers.wait(parts, offered.compressed.len()).await? {
        Grant::Slot(slot) => slot,
        Grant::Referral(address) => {
            let elsewhere = Some(address.to_string());
            send(parts, pb::CopyPart { elsewhere, ..Default::default() }).await?;
            return Ok("sent_elsewhere");
        }
    };
    // A newer configuration may have arrived while the call was queued.
    let offered = shared.copies.newest.borrow().clone().unwrap_or(offered);
    send_parts(shared, &offered, parts).await?;
    slot.finish(parts, &request.peer).await?;
    Ok("given")
}

async fn send_parts(
    shared: &Shared,
    offered: &Offered,
    parts: &Parts<pb::CopyPart>,
) -> Result<(), Disconnected> {
    let sent = shared.metrics.configuration_copy_bytes.with_label_values(&["sent"]);
    let mut content = offered.compressed.clone();
    loop {
        let part = content.split_to(content.len().min(PART_BYTES));
        sent.inc_by(part.len() as u64);
        let last = content.is_empty();
        let end = last.then(|| pb::CopyEnd {
            name: offered.name.to_string(),
            revision: offered.at.revision.0,
            era: Some(offered.at.era.0),
        });
        send(parts, pb::CopyPart { elsewhere: None, content: part.into(), end }).await?;
        if last {
            return Ok(());
        }
    }
}

/// Asks other nodes for newer configurations, until the process ends.
pub async fn fetch_updates(shared: Arc<Shared>) {
    loop {
        shared.configuration_outdated.notified().await;
        sleep(FETCH_DELAY).await;
        let mut failures = Failures::default();
        while let Some(source) = pick_source(&shared, &mut failures) {
            let began = Instant::now();
            let fetched = fetch(&shared, source.peer).await;
            let took = began.elapsed().as_millis() as u64;
            let outcome = match fetched {
                Ok((peer, bytes)) => {
                    log::info!(
                        node:% = source.id, peer:% = peer, bytes = bytes, took_ms = took;
                        "configuration copied"
                    );
                    failures.clear();
                    "whole"
                }
                Err(error) => {
                    log::warn!(
                        node:% = source.id, error:% = error, took_ms = took;
                        "configuration not copied"
                    );
                    let consecutive = failures.note(source.id);
                    let draw: f64 = shared.rng().random();
                    sleep(pause(consecutive, draw)).await;
                    error.outcome()
                }
            };
            shared.metrics.configuration_copies.with_label_values(&["received", outcome]).inc();
        }
    }
}

/// Picks a random node that has a newer configuration, so that those nodes share the load.
fn pick_source(shared: &Shared, failures: &mut Failures) -> Option<Contact> {
    let mine = shared.status().version;
    let roster = shared.roster();
    let source = failures.pick(
        || roster.with_newer_configuration(mine),
        |source| &source.id,
        |sources| sources.choose(&mut *shared.rng()),
    );
    source.cloned()
}

/// Copies the configuration from a node or from a node it refers to, and installs it. Returns the
/// node that sent it, and the compressed size.
async fn fetch(shared: &Shared, first: SocketAddr) -> Result<(SocketAddr, usize), RpcError> {
    let (peer, (end, compressed)) =
        rpc::follow_referrals(first, |peer| request_copy(shared, peer)).await?;
    let bytes = compressed.len();
    install_copy(shared, end, compressed).ok_or(RpcError::Unusable { peer })?;
    Ok((peer, bytes))
}

/// The object's name and revision, and its compressed content.
type Fetched = (pb::CopyEnd, Bytes);

async fn request_copy(shared: &Shared, peer: SocketAddr) -> Result<Reply<Fetched>, RpcError> {
    let mut client = rpc::connect(peer).await?;
    let request = pb::CopyRequest {
        version: shared.status().version.0,
        node: shared.me.id.to_string(),
        peer: shared.me.peer.to_string(),
    };
    let mut parts = rpc::Parts::begin(peer, client.copy(request)).await?;
    let mut content = BytesMut::new();
    loop {
        let part = parts.next(content.is_empty()).await?;
        if let Some(address) = part.elsewhere {
            return Reply::referral(address, peer, shared.me.peer);
        }
        content.extend_from_slice(&part.content);
        if content.len() > MAX_COPY_BYTES {
            return Err(RpcError::TooLarge { peer, limit: MAX_COPY_BYTES });
        }
        if let Some(end) = part.end {
            let received = shared.metrics.configuration_copy_bytes.with_label_values(&["received"]);
            received.inc_by(content.len() as u64);
            return Ok(Reply::Complete((end, content.freeze())));
        }
    }
}

/// Decompresses a copy and installs it; `None` if that fails.
fn install_copy(shared: &Shared, end: pb::CopyEnd, compressed: Bytes) -> Option<()> {
    let content = match decompress(&compressed) {
        Ok(content) => content,
        Err(error) => {
            log::error!(
                revision = end.revision, error:% = error;
                "cannot decompress configuration copy"
            );
            return None;
        }
    };
    let was = shared.status().version;
    let at = match decode_point(end.revision, end.era, shared.era_tracker.era()) {
        Ok(at) => at,
        Err(error) => {
            log::error!(revision = end.revision, error:% = error; "invalid configuration copy");
            return None;
        }
    };
    let name = SmolStr::new(end.name);
    install(shared, Object { name, at, content }, Some(compressed), "node");
    (shared.status().version > was).then_some(())
}
