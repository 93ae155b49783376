//! Copies of a new configuration from node to node.
//!
//! A beat says that a node has a newer configuration. The others ask one that has it; it gives few
//! copies at a time and sends those that wait to nodes that have just got one (`lib::fleet::fanout`).

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

use crate::serve::follow::install;
use crate::serve::pack::{pack, unpack};
use crate::serve::rpc::{self, Failures, Reply, RpcError};
use crate::serve::shared::Shared;
use crate::serve::transfer::{Disconnected, Grant, Parts, Queue, keep_alive, send};

/// How long a node that is behind waits for the store's own word.
const PATIENCE: Duration = Duration::from_millis(40);
/// The size of a piece, in bytes: small enough for other traffic to pass between two of them.
const PIECE: usize = 16 << 10;
/// The largest copy: a configuration of a megabyte that packing does not shorten, with room.
const LARGEST: usize = 2 << 20;

/// A configuration as it is given to others.
#[derive(Debug)]
struct Original {
    version: ConfigVersion,
    name: SmolStr,
    at: Point,
    packed: Bytes,
}

/// What a node gives to others.
#[derive(Debug, Default)]
pub struct Copies {
    newest: watch::Sender<Option<Arc<Original>>>,
    transfers: Arc<Queue>,
}

impl Copies {
    /// Has a configuration given to those that ask from now on, packed as it came if it did.
    pub fn offer(&self, version: ConfigVersion, object: Object, packed: Option<Bytes>) {
        let Object { name, at, content } = object;
        let packed = packed.unwrap_or_else(|| pack(&content));
        self.newest.send_replace(Some(Arc::new(Original { version, name, at, packed })));
    }
}

/// Answers a node that asks for a newer configuration, in parts.
pub fn answer(
    shared: Arc<Shared>,
    asked: pb::CopyRequest,
) -> mpsc::Receiver<Result<pb::CopyPart, Status>> {
    let (parts, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let began = Instant::now();
        let given = give(&shared, &asked, &parts).await;
        let outcome = given.unwrap_or("not_taken");
        shared.metrics.copies.with_label_values(&["sent", outcome]).inc();
        log::info!(
            node = asked.node, has = asked.version, outcome = outcome,
            waiting = shared.copies.transfers.waiting(),
            took_ms = began.elapsed().as_millis() as u64; "asked for the configuration"
        );
    });
    receiver
}

/// Gives a copy, and says what became of it in one word.
async fn give(
    shared: &Shared,
    asked: &pb::CopyRequest,
    parts: &Parts<pb::CopyPart>,
) -> Result<&'static str, Disconnected> {
    let mut newest = shared.copies.newest.subscribe();
    let is_newer = |original: &Option<Arc<Original>>| {
        original.as_ref().is_some_and(|original| original.version.0 > asked.version)
    };
    // A node is also asked while its own copy is on its way.
    let comes = async { newest.wait_for(is_newer).await.ok().and_then(|newest| newest.clone()) };
    let Some(original) = keep_alive(parts, comes).await? else { return Ok("nothing") };
    // All nodes ask in the same instant. Copies that share a thin link would all come late, and those
    // that are given up are lost, so few go at once.
    let slot = match shared.copies.transfers.wait(parts, original.packed.len()).await? {
        Grant::Slot(slot) => slot,
        Grant::Referral(address) => {
            let elsewhere = Some(address.to_string());
            send(parts, pb::CopyPart { elsewhere, ..Default::default() }).await?;
            return Ok("sent_elsewhere");
        }
    };
    // Its turn may have come after a newer one.
    let original = shared.copies.newest.borrow().clone().unwrap_or(original);
    send_parts(shared, &original, parts).await?;
    slot.finish(parts, &asked.peer).await?;
    Ok("given")
}

async fn send_parts(
    shared: &Shared,
    original: &Original,
    parts: &Parts<pb::CopyPart>,
) -> Result<(), Disconnected> {
    let sent = shared.metrics.copy_bytes.with_label_values(&["sent"]);
    let mut content = original.packed.clone();
    loop {
        let piece = content.split_to(content.len().min(PIECE));
        sent.inc_by(piece.len() as u64);
        let last = content.is_empty();
        let end = last.then(|| pb::CopyEnd {
            name: original.name.to_string(),
            revision: original.at.revision.0,
            era: Some(original.at.era.0),
        });
        send(parts, pb::CopyPart { elsewhere: None, content: piece.into(), end }).await?;
        if last {
            return Ok(());
        }
    }
}

/// Asks other nodes for newer configurations, until the process ends.
pub async fn learn(shared: Arc<Shared>) {
    loop {
        shared.outdated.notified().await;
        sleep(PATIENCE).await;
        let mut failures = Failures::default();
        while let Some(holder) = holder(&shared, &mut failures) {
            let began = Instant::now();
            let fetched = fetch(&shared, holder.peer).await;
            let took = began.elapsed().as_millis() as u64;
            let outcome = match fetched {
                Ok((peer, bytes)) => {
                    log::info!(
                        node:% = holder.id, peer:% = peer, bytes = bytes, took_ms = took;
                        "configuration copied"
                    );
                    failures.clear();
                    "whole"
                }
                Err(error) => {
                    log::warn!(
                        node:% = holder.id, error:% = error, took_ms = took;
                        "configuration not copied"
                    );
                    let in_a_row = failures.note(holder.id);
                    let draw: f64 = shared.rng().random();
                    sleep(pause(in_a_row, draw)).await;
                    error.outcome()
                }
            };
            shared.metrics.copies.with_label_values(&["received", outcome]).inc();
        }
    }
}

/// A node that has a newer configuration: any, so that those who have it share the work.
fn holder(shared: &Shared, failures: &mut Failures) -> Option<Contact> {
    let mine = shared.status().version;
    let roster = shared.roster();
    let holder = failures.pick(
        || roster.with_newer_configuration(mine),
        |holder| &holder.id,
        |holders| holders.choose(&mut *shared.rng()),
    );
    holder.cloned()
}

/// Copies the configuration from a node or from whom it names, and puts it in force. Gives who gave
/// it in the end, and its size.
async fn fetch(shared: &Shared, first: SocketAddr) -> Result<(SocketAddr, usize), RpcError> {
    let (peer, (end, packed)) = rpc::referred(first, |peer| ask(shared, peer)).await?;
    let bytes = packed.len();
    take(shared, end, packed).ok_or(RpcError::Unusable { peer })?;
    Ok((peer, bytes))
}

/// The object's name and revision, and its packed content.
type Fetched = (pb::CopyEnd, Bytes);

async fn ask(shared: &Shared, peer: SocketAddr) -> Result<Reply<Fetched>, RpcError> {
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
        if content.len() > LARGEST {
            return Err(RpcError::TooLarge { peer, most: LARGEST });
        }
        if let Some(end) = part.end {
            let received = shared.metrics.copy_bytes.with_label_values(&["received"]);
            received.inc_by(content.len() as u64);
            return Ok(Reply::Whole((end, content.freeze())));
        }
    }
}

/// Takes out what came packed and puts it in force; nothing if that cannot be done.
fn take(shared: &Shared, end: pb::CopyEnd, packed: Bytes) -> Option<()> {
    let content = match unpack(&packed) {
        Ok(content) => content,
        Err(error) => {
            log::error!(revision = end.revision, error:% = error; "copy cannot be taken out");
            return None;
        }
    };
    let was = shared.status().version;
    let at = match decode_point(end.revision, end.era, shared.history.era()) {
        Ok(at) => at,
        Err(error) => {
            log::error!(revision = end.revision, error:% = error; "copy is not taken");
            return None;
        }
    };
    let name = SmolStr::new(end.name);
    install(shared, Object { name, at, content }, Some(packed), "node");
    (shared.status().version > was).then_some(())
}
