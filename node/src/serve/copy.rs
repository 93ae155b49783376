//! Copies of a new configuration from node to node.
//!
//! A beat says that a node has a newer configuration. The others ask one that has it; it gives few
//! copies at a time and sends those that wait to nodes that have just got one (`lib::fleet::fanout`).
//! No copy has a time of its own, which it would miss where it is large or the link thin: it goes on
//! as long as its pieces come.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use sardinepick_lib::fleet::fanout::{Fanout, Turn};
use sardinepick_lib::fleet::roster::Contact;
use sardinepick_lib::id::{ConfigVersion, Revision};
use sardinepick_platform::store::Object;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_client::FleetClient;
use smol_str::SmolStr;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};
use tonic::Status;
use tonic::transport::Endpoint;

use crate::serve::follow::install;
use crate::serve::pack::{pack, unpack};
use crate::serve::shared::Shared;

/// How long a node that is behind waits for the store's own word.
const PATIENCE: Duration = Duration::from_millis(40);
/// How long a connection to another node may take: a packet lost once is sent again after 0.2 s.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long the other side of a copy may be silent. A piece takes 13 ms on a link of 10 Mbit/s, and
/// a node that waits hears a sign at least every [`SIGN`].
const SILENCE: Duration = Duration::from_millis(600);
/// How often a node that waits for its turn is told that it does.
const SIGN: Duration = Duration::from_millis(200);
/// How long a node waits for its turn before it asks another, of which there are more by then.
const TURN_LIMIT: Duration = Duration::from_secs(1);
/// The mean pause after a copy that did not arrive.
const PAUSE: Duration = Duration::from_millis(100);
/// How often one question may be sent elsewhere: each time half as many wait, so 550 nodes need 10.
const MOST_REFERRALS: usize = 12;
/// The size of a piece, in bytes: small enough for other traffic to pass between two of them.
const PIECE: usize = 16 << 10;
/// The largest copy: a configuration of a megabyte that packing does not shorten, with room.
const LARGEST: usize = 2 << 20;

/// Why a copy did not arrive.
#[derive(Debug, Error)]
enum CopyError {
    #[error("asking {peer}: {status}")]
    Refused { peer: SocketAddr, status: Status },
    #[error("connecting to {peer}: {detail}")]
    Connect { peer: SocketAddr, detail: String },
    #[error("copying from {peer}: nothing heard for {SILENCE:?}")]
    Silent { peer: SocketAddr },
    #[error("waiting at {peer}: no turn within {TURN_LIMIT:?}")]
    NoTurn { peer: SocketAddr },
    #[error("copying from {peer}: it broke off")]
    Broken { peer: SocketAddr },
    #[error("copying from {peer}: more than {LARGEST} bytes")]
    TooLarge { peer: SocketAddr },
    #[error("asking {peer}: sent elsewhere, to {address:?}")]
    Lost { peer: SocketAddr, address: String },
    #[error("copying from {peer}: what came is not put in force")]
    Useless { peer: SocketAddr },
}

impl CopyError {
    /// The label of its metric.
    fn outcome(&self) -> &'static str {
        match self {
            CopyError::Refused { .. } => "refused",
            CopyError::Connect { .. } => "unreachable",
            CopyError::Silent { .. } => "silent",
            CopyError::NoTurn { .. } => "no_turn",
            CopyError::Broken { .. } => "broken",
            CopyError::TooLarge { .. } | CopyError::Lost { .. } | CopyError::Useless { .. } => {
                "useless"
            }
        }
    }
}

/// A configuration as it is given to others.
#[derive(Debug)]
struct Original {
    version: ConfigVersion,
    name: SmolStr,
    revision: Revision,
    packed: Bytes,
}

/// What a node gives to others.
#[derive(Debug, Default)]
pub struct Copies {
    newest: watch::Sender<Option<Arc<Original>>>,
    fanout: Mutex<Fanout<oneshot::Sender<Answer>>>,
}

/// What a node that waits is told.
#[derive(Debug)]
enum Answer {
    Given(Place),
    Elsewhere(SocketAddr),
}

/// The right to give one copy now. Dropping it lets the next ones have their turns.
struct Place {
    shared: Arc<Shared>,
    /// Where the node that got the copy is asked; none if it has not got it.
    receiver: Option<SocketAddr>,
}

impl std::fmt::Debug for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Place").field("receiver", &self.receiver).finish_non_exhaustive()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let copies = &self.shared.copies;
        let turns = {
            let mut fanout = copies.fanout();
            fanout.retain(|waiter| !waiter.is_closed());
            fanout.end(self.receiver, copies.size())
        };
        for (waiter, turn) in turns {
            let answer = match turn {
                Turn::Given => Answer::Given(Place { shared: self.shared.clone(), receiver: None }),
                Turn::Elsewhere(address) => Answer::Elsewhere(address),
            };
            // One that has given up in this instant drops its place, which the next one gets.
            drop(waiter.send(answer));
        }
    }
}

impl Copies {
    /// Has a configuration given to those that ask from now on, packed as it came if it did.
    pub fn offer(&self, version: ConfigVersion, object: Object, packed: Option<Bytes>) {
        let Object { name, revision, content } = object;
        let packed = packed.unwrap_or_else(|| pack(&content));
        self.newest.send_replace(Some(Arc::new(Original { version, name, revision, packed })));
    }

    fn fanout(&self) -> MutexGuard<'_, Fanout<oneshot::Sender<Answer>>> {
        self.fanout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn size(&self) -> usize {
        self.newest.borrow().as_ref().map_or(0, |original| original.packed.len())
    }
}

type Part = Result<pb::CopyPart, Status>;
type Parts = mpsc::Sender<Part>;

/// The asking node is gone, or takes nothing.
#[derive(Debug, Error)]
#[error("the asking node does not take the copy")]
struct NotTaken;

async fn put(parts: &Parts, part: pb::CopyPart) -> Result<(), NotTaken> {
    match timeout(SILENCE, parts.send(Ok(part))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(NotTaken),
    }
}

/// Waits for `future` while the asking node is told that it waits.
async fn signalling<T>(parts: &Parts, future: impl Future<Output = T>) -> Result<T, NotTaken> {
    let mut future = pin!(future);
    loop {
        match timeout(SIGN, &mut future).await {
            Ok(value) => return Ok(value),
            Err(_) => put(parts, pb::CopyPart::default()).await?,
        }
    }
}

/// Answers a node that asks for a newer configuration, in parts.
pub fn answer(shared: Arc<Shared>, asked: pb::CopyRequest) -> mpsc::Receiver<Part> {
    let (parts, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let began = Instant::now();
        let outcome: &'static str = match give(&shared, &asked, &parts).await {
            Ok(outcome) => outcome,
            Err(NotTaken) => "not_taken",
        };
        shared.metrics.copies.with_label_values(&["sent", outcome]).inc();
        let waiting = shared.copies.fanout().waiting();
        log::info!(
            node = asked.node, has = asked.version, outcome = outcome, waiting = waiting,
            took_ms = began.elapsed().as_millis() as u64; "asked for the configuration"
        );
    });
    receiver
}

async fn give(
    shared: &Arc<Shared>,
    asked: &pb::CopyRequest,
    parts: &Parts,
) -> Result<&'static str, NotTaken> {
    let mut newest = shared.copies.newest.subscribe();
    let is_newer = |original: &Option<Arc<Original>>| {
        original.as_ref().is_some_and(|original| original.version.0 > asked.version)
    };
    // A node is also asked while its own copy is on its way.
    let comes = async { newest.wait_for(is_newer).await.is_ok() };
    if !signalling(parts, comes).await? {
        return Ok("nothing");
    }
    let mut place = match turn(shared, parts).await? {
        Answer::Given(place) => place,
        Answer::Elsewhere(address) => {
            let elsewhere = Some(address.to_string());
            put(parts, pb::CopyPart { elsewhere, ..Default::default() }).await?;
            return Ok("sent_elsewhere");
        }
    };
    let Some(original) = shared.copies.newest.borrow().clone() else { return Ok("nothing") };
    send(shared, &original, parts).await?;
    // The asking node ends the call when it has all of it.
    timeout(SILENCE, parts.closed()).await.map_err(|_| NotTaken)?;
    place.receiver = asked.peer.parse().ok();
    Ok("given")
}

/// Waits until it is the asking node's turn.
async fn turn(shared: &Arc<Shared>, parts: &Parts) -> Result<Answer, NotTaken> {
    let (sender, receiver) = oneshot::channel();
    let now = shared.copies.fanout().ask(|| sender, shared.copies.size());
    if now {
        return Ok(Answer::Given(Place { shared: shared.clone(), receiver: None }));
    }
    // Whoever waits is told, or its sender lives on in the queue.
    signalling(parts, receiver).await?.map_err(|_| NotTaken)
}

async fn send(shared: &Shared, original: &Original, parts: &Parts) -> Result<(), NotTaken> {
    let sent = shared.metrics.copy_bytes.with_label_values(&["sent"]);
    let mut content = original.packed.clone();
    loop {
        let piece = content.split_to(content.len().min(PIECE));
        sent.inc_by(piece.len() as u64);
        let last = content.is_empty();
        let end = last.then(|| pb::CopyEnd {
            name: original.name.to_string(),
            revision: original.revision.0,
        });
        put(parts, pb::CopyPart { elsewhere: None, content: piece.into(), end }).await?;
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
        while let Some(holder) = holder(&shared) {
            let began = Instant::now();
            let copied = fetch(&shared, holder.peer).await;
            let took = began.elapsed().as_millis() as u64;
            let outcome = match copied {
                Ok((peer, bytes)) => {
                    log::info!(
                        node:% = holder.id, peer:% = peer, bytes = bytes, took_ms = took;
                        "configuration copied"
                    );
                    "whole"
                }
                Err(error) => {
                    log::warn!(
                        node:% = holder.id, error:% = error, took_ms = took;
                        "configuration not copied"
                    );
                    let draw: f64 = shared.rng().random();
                    sleep(PAUSE.mul_f64(0.5 + draw)).await;
                    error.outcome()
                }
            };
            shared.metrics.copies.with_label_values(&["received", outcome]).inc();
        }
    }
}

/// A node that has a newer configuration: any, so that those who have it share the work.
fn holder(shared: &Shared) -> Option<Contact> {
    let (mine, now) = (shared.status().version, shared.clock.now());
    shared.roster().with_newer(mine, now).choose(&mut *shared.rng()).cloned()
}

/// Copies the configuration from a node or from whom it names, and puts it in force. Gives who gave
/// it in the end, and its size.
async fn fetch(shared: &Shared, first: SocketAddr) -> Result<(SocketAddr, usize), CopyError> {
    let mut peer = first;
    for _ in 0..MOST_REFERRALS {
        match ask(shared, peer).await? {
            Told::Whole(end, packed) => {
                let bytes = packed.len();
                take(shared, end, packed).ok_or(CopyError::Useless { peer })?;
                return Ok((peer, bytes));
            }
            Told::Elsewhere(next) => peer = next,
        }
    }
    Err(CopyError::Lost { peer, address: "one of too many".to_owned() })
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
    let (name, revision) = (SmolStr::new(end.name), Revision(end.revision));
    install(shared, Object { name, revision, content }, Some(packed), "node");
    (shared.status().version > was).then_some(())
}

/// What a node that was asked has told.
enum Told {
    /// The object's name and revision, and its packed content.
    Whole(pb::CopyEnd, Bytes),
    /// Another node to ask.
    Elsewhere(SocketAddr),
}

async fn ask(shared: &Shared, peer: SocketAddr) -> Result<Told, CopyError> {
    let connect = |detail: String| CopyError::Connect { peer, detail };
    let endpoint = Endpoint::from_shared(format!("http://{peer}"));
    let endpoint = endpoint.map_err(|e| connect(e.to_string()))?.connect_timeout(CONNECT_LIMIT);
    let channel = endpoint.connect().await.map_err(|e| connect(e.to_string()))?;
    let request = pb::CopyRequest {
        version: shared.status().version.0,
        node: shared.me.id.to_string(),
        peer: shared.me.peer.to_string(),
    };
    let mut client = FleetClient::new(channel);
    let silent = |_| CopyError::Silent { peer };
    let refused = |status| CopyError::Refused { peer, status };
    let answer = timeout(SILENCE, client.copy(request)).await.map_err(silent)?;
    let mut parts = answer.map_err(refused)?.into_inner();
    let (asked, mut content) = (Instant::now(), BytesMut::new());
    loop {
        let part = timeout(SILENCE, parts.message()).await.map_err(silent)?;
        let part = part.map_err(refused)?.ok_or(CopyError::Broken { peer })?;
        if let Some(address) = part.elsewhere {
            let next = address.parse().ok().filter(|next| *next != shared.me.peer);
            return next.map(Told::Elsewhere).ok_or(CopyError::Lost { peer, address });
        }
        content.extend_from_slice(&part.content);
        if content.len() > LARGEST {
            return Err(CopyError::TooLarge { peer });
        }
        if let Some(end) = part.end {
            let received = shared.metrics.copy_bytes.with_label_values(&["received"]);
            received.inc_by(content.len() as u64);
            return Ok(Told::Whole(end, content.freeze()));
        }
        if content.is_empty() && asked.elapsed() > TURN_LIMIT {
            return Err(CopyError::NoTurn { peer });
        }
    }
}
