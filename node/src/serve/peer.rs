//! Synchronising the register of runners between nodes.
//!
//! A few nodes watch the store, which may refuse some nodes while it serves others. Heartbeats say
//! how new a node's register is, and announce a change at once; a node that is behind asks a node
//! that is ahead for the difference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::limit::LimitReport;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::fleet::register_digest::{EntryKey, RegisterDigest};
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::roster::{Contact, Status as RosterStatus};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::history::Era;
use sardinepick_platform::store::Object;
use sardinepick_wire::beat::{decode_nodes, decode_parts, encode_nodes};
use sardinepick_wire::error::WireError;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use sardinepick_wire::limit::{decode_limits, encode_limit};
use sardinepick_wire::mark::{decode_mark, decode_point};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::relay;
use crate::serve::copy;
use crate::serve::heartbeat::apply_records;
use crate::serve::peer_listener;
use crate::serve::quarantine;
use crate::serve::register_replica::{Difference, Doubt};
use crate::serve::rpc::{self, Failures, Reply, RpcError};
use crate::serve::shared::Shared;
use crate::serve::store_watch::apply_difference;
use crate::serve::transfer::{Disconnected, Grant, Parts, send};

/// How long a node that is behind waits for an answer of the store, or for further changes to
/// request.
const FETCH_DELAY: Duration = Duration::from_millis(40);
/// The minimum pause between two requests for updates.
const FETCH_PAUSE: Duration = Duration::from_millis(200);
/// The size of entries at which a part is full, in bytes: 13 ms on a link of 10 Mbit/s.
const PART_BYTES: usize = 16 << 10;
/// The maximum number of concurrent calls of one node: forwarded connections, and some others.
const MAX_CALLS: u32 = relay::MAX_RELAYS as u32 + 64;
/// The interval of keep-alives to a calling node that sends nothing.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a keep-alive may take to be answered: it may be queued behind a transfer over a thin
/// link.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum size of entries accepted from one answer, in bytes: 1,600 runners take 0.4 MB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

struct Service {
    shared: Arc<Shared>,
}

/// Encodes an object for a message of the given era.
fn to_wire(object: &Object, era: Era) -> pb::Object {
    pb::Object {
        name: object.name.to_string(),
        revision: object.at.revision.0,
        content: object.content.to_vec(),
        era: (object.at.era != era).then_some(object.at.era.0),
    }
}

/// Decodes an object of a message of the given era.
fn from_wire(object: pb::Object, era: Era) -> Result<Object, WireError> {
    Ok(Object {
        at: decode_point(object.revision, object.era, era)?,
        name: SmolStr::new(object.name),
        content: object.content.into(),
    })
}

#[tonic::async_trait]
impl Fleet for Service {
    type TellStream = ReceiverStream<Result<pb::Knowledge, Status>>;

    async fn tell(
        &self,
        request: Request<pb::KnowledgeRequest>,
    ) -> Result<Response<Self::TellStream>, Status> {
        let (parts, receiver) = mpsc::channel(1);
        let (shared, request) = (self.shared.clone(), request.into_inner());
        tokio::spawn(async move {
            if let Err(error) = tell(&shared, &request, &parts).await {
                log::info!(
                    node = request.node, mark = request.mark, error:% = error;
                    "cannot send the register to a node"
                );
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn meet(&self, request: Request<pb::Nodes>) -> Result<Response<pb::Nodes>, Status> {
        let received = request.into_inner();
        let records =
            decode_nodes(&received).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let now = self.shared.clock.now();
        let mut roster = self.shared.roster();
        apply_records(&mut roster, &records, now);
        if roster.has_updates() {
            self.shared.heartbeat_now.notify_one();
        }
        let records = roster.records();
        drop(roster);
        quarantine::gossip::apply(&self.shared, &received.quarantined, "list exchange");
        let parts = &self.shared.part_quarantine;
        parts.apply_all(&decode_parts(&received), "list exchange");
        let quarantined = quarantine::gossip::all(&self.shared);
        Ok(Response::new(encode_nodes(&records, quarantined, parts.all())))
    }

    type CopyStream = ReceiverStream<Result<pb::CopyPart, Status>>;

    async fn copy(
        &self,
        request: Request<pb::CopyRequest>,
    ) -> Result<Response<Self::CopyStream>, Status> {
        let parts = copy::serve(self.shared.clone(), request.into_inner());
        Ok(Response::new(ReceiverStream::new(parts)))
    }

    type RelayStream = relay::server::Answer;

    async fn relay(
        &self,
        request: Request<Streaming<pb::RelayPart>>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        self.shared.relay_server.relay(request.into_inner()).await.map(Response::new)
    }
}

/// Sends a node what it does not know of the register. Small differences are sent at once; larger
/// ones, such as the whole register, go to few nodes at a time.
async fn tell(
    shared: &Shared,
    request: &pb::KnowledgeRequest,
    parts: &Parts<pb::Knowledge>,
) -> Result<(), Disconnected> {
    let known = request.entries.iter().copied().map(EntryKey).collect();
    let difference = || shared.register_replica().difference_for(&known, shared.clock.now());
    let first = difference();
    let bytes = first.entries.iter().map(|object| object.content.len()).sum();
    if bytes <= PART_BYTES {
        return send_parts(shared, &first, parts).await;
    }
    match shared.register_transfers.wait(parts, bytes).await? {
        Grant::Slot(slot) => {
            // The register may have changed while the call was queued.
            send_parts(shared, &difference(), parts).await?;
            slot.finish(parts, &request.peer).await
        }
        Grant::Referral(address) => {
            let elsewhere = Some(address.to_string());
            send(parts, pb::Knowledge { elsewhere, ..Default::default() }).await
        }
    }
}

/// Encodes all of a difference but its entries.
fn encode(difference: &Difference) -> pb::Knowledge {
    let era = difference.version.era;
    let doubt = |doubt: &Doubt| pb::Doubt {
        name: doubt.name.to_string(),
        left_ms: u64::try_from(doubt.left.as_millis()).unwrap_or(u64::MAX),
        object: doubt.object.as_ref().map(|object| to_wire(object, era)),
    };
    pb::Knowledge {
        gone: difference.gone.iter().map(ToString::to_string).collect(),
        absent: difference.absent.iter().map(|key| key.0).collect(),
        // Nodes of earlier versions read the names alone.
        doubted: difference.doubts.iter().map(|doubt| doubt.name.to_string()).collect(),
        doubts: difference.doubts.iter().map(doubt).collect(),
        digest: difference.digest.map(|digest| digest.0),
        mark: difference.version.order,
        era: Some(era.0),
        whole: difference.whole,
        last: true,
        ..Default::default()
    }
}

/// Decodes all of a difference but its entries.
fn decode(message: &pb::Knowledge, version: RegisterVersion) -> Result<Difference, WireError> {
    let doubt = |doubt: &pb::Doubt| {
        let object = doubt.object.clone().map(|object| from_wire(object, version.era));
        Ok(Doubt {
            name: SmolStr::new(&doubt.name),
            // A node of another version, or a faulty one, must not extend the time of doubt.
            left: Duration::from_millis(doubt.left_ms).min(DOUBT),
            object: object.transpose()?,
        })
    };
    Ok(Difference {
        whole: message.whole,
        entries: Vec::new(),
        gone: message.gone.iter().map(SmolStr::new).collect(),
        absent: message.absent.iter().copied().map(EntryKey).collect(),
        doubts: message.doubts.iter().map(doubt).collect::<Result<_, WireError>>()?,
        version,
        digest: message.digest.map(RegisterDigest),
    })
}

/// Encodes a difference to be announced to nodes that know everything up to `since`, which only
/// nodes of earlier versions read.
pub fn to_announcement(difference: &Difference, since: RegisterVersion) -> pb::Knowledge {
    let era = difference.version.era;
    pb::Knowledge {
        since: since.order,
        since_era: (since.era != era).then_some(since.era.0),
        runners: difference.entries.iter().map(|object| to_wire(object, era)).collect(),
        ..encode(difference)
    }
}

/// Applies an announced difference if that makes this node's copy the sender's. Otherwise this node
/// has missed an earlier one, and asks.
pub fn apply_announcement(shared: &Shared, announcement: &pb::Knowledge) {
    match decode_announcement(shared, announcement) {
        Ok(Some(difference)) => {
            if let Err(mismatch) = apply_difference(shared, &difference, None, "news") {
                log::debug!(error:% = mismatch; "announcement does not fit");
                shared.note_outdated();
            }
        }
        Ok(None) => {}
        Err(error) => log::warn!(error:% = error; "invalid register announcement"),
    }
}

/// Decodes an announced difference; `None` if this node's copy is as new, or if the announcement
/// comes from a node of an earlier version, which does not say what it results in.
fn decode_announcement(
    shared: &Shared,
    announcement: &pb::Knowledge,
) -> Result<Option<Difference>, WireError> {
    let (mine, is_known) = {
        let replica = shared.register_replica();
        (replica.version(), replica.is_known())
    };
    let version = decode_mark(announcement.mark, announcement.era, mine.era)?;
    let is_usable = announcement.digest.is_some() && !announcement.whole;
    if !is_known || !is_usable || mine >= version {
        return Ok(None);
    }
    let entries = announcement.runners.iter().cloned().map(|object| from_wire(object, version.era));
    let entries = entries.collect::<Result<_, _>>()?;
    Ok(Some(Difference { entries, ..decode(announcement, version)? }))
}

/// Adds what runners have announced themselves, which only makes sense to a node that knows the
/// runners.
fn with_announcements(shared: &Shared, part: pb::Knowledge) -> pb::Knowledge {
    let limits = shared.limiter.all();
    pb::Knowledge {
        rate_limits: limits.iter().map(encode_limit).collect(),
        leaving: shared.drains.all().into_iter().map(|tag| tag.0).collect(),
        ..part
    }
}

async fn send_parts(
    shared: &Shared,
    difference: &Difference,
    parts: &Parts<pb::Knowledge>,
) -> Result<(), Disconnected> {
    let mut left = difference.entries.as_slice();
    loop {
        let (runners, rest) = left.split_at(next_part_length(left));
        left = rest;
        let last = left.is_empty();
        let era = difference.version.era;
        let part = if last { encode(difference) } else { pb::Knowledge::default() };
        let part = pb::Knowledge {
            runners: runners.iter().map(|object| to_wire(object, era)).collect(),
            mark: difference.version.order,
            era: Some(era.0),
            whole: difference.whole,
            ..part
        };
        let part = if last && difference.whole { with_announcements(shared, part) } else { part };
        send(parts, part).await?;
        if last {
            return Ok(());
        }
    }
}

/// Returns how many of the entries make the next part.
fn next_part_length(entries: &[Object]) -> usize {
    let mut bytes = 0;
    let fits = entries.iter().take_while(|object| {
        let fits = bytes < PART_BYTES;
        bytes += object.content.len();
        fits
    });
    fits.count()
}

/// Serves other nodes until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let limit = shared.holding.bounds().peers;
    let service = FleetServer::new(Service { shared });
    let server = tonic::transport::Server::builder()
        .initial_stream_window_size(relay::WINDOW_BYTES)
        .initial_connection_window_size(relay::SHARED_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CALLS)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming(peer_listener::incoming(listener, limit));
    if let Err(error) = server.await {
        log::error!(error:% = error; "serving other nodes");
    }
}

/// Asks other nodes whenever this one is behind, until the process ends.
pub async fn fetch_updates(shared: Arc<Shared>) {
    let mut failures = Failures::default();
    let mut wants_whole = false;
    loop {
        shared.register_outdated.notified().await;
        sleep(FETCH_DELAY).await;
        let Some((contact, status)) = newest(&shared, &mut failures) else { continue };
        let began = Instant::now();
        let received = rpc::follow_referrals(contact.peer, |peer| {
            request_difference(&shared, peer, wants_whole)
        })
        .await;
        let took = began.elapsed().as_millis() as u64;
        match received {
            Ok((peer, received)) => {
                log::info!(
                    node:% = contact.id, peer:% = peer, register:% = status.register,
                    asked_from:% = received.asked_from, version:% = received.difference.version,
                    whole = received.difference.whole,
                    entries = received.difference.entries.len(),
                    gone = received.difference.absent.len(),
                    doubted = received.difference.doubts.len(), took_ms = took;
                    "learned from another node"
                );
                failures.clear();
                wants_whole = !apply_received(&shared, &received, contact.id.as_str());
            }
            Err(error) => {
                log::warn!(
                    node:% = contact.id, error:% = error, took_ms = took;
                    "cannot learn the register from a node"
                );
                failures.note(contact.id);
            }
        }
        sleep(FETCH_PAUSE).await;
    }
}

/// Returns the node with the newest register that has not failed since the last answer: a change
/// such as a leaving runner must not wait for a node that cannot be reached.
fn newest(shared: &Shared, failures: &mut Failures) -> Option<(Contact, RosterStatus)> {
    let mine = shared.register_replica().version();
    let roster = shared.roster();
    let newest = failures.pick(
        || roster.with_newer_register(mine),
        |(contact, _)| &contact.id,
        |nodes| nodes.max_by_key(|(_, status)| status.register),
    );
    newest.map(|(contact, status)| (contact.clone(), status))
}

/// The register as received from another node.
struct ReceivedRegister {
    /// The version of this node's register when it asked.
    asked_from: RegisterVersion,
    difference: Difference,
    /// Rate limits that runners have announced.
    limits: Vec<LimitReport>,
    leaving: Vec<Tag>,
}

async fn request_difference(
    shared: &Shared,
    peer: SocketAddr,
    wants_whole: bool,
) -> Result<Reply<ReceivedRegister>, RpcError> {
    let mut client = rpc::connect(peer).await?;
    let (mine, entries) = {
        let replica = shared.register_replica();
        let keys = if wants_whole { Vec::new() } else { replica.keys() };
        (replica.version(), keys.into_iter().map(|key| key.0).collect())
    };
    let known = pb::KnowledgeRequest {
        // Nodes of earlier versions compute a difference from this version, which may lack removals;
        // if it is unknown, they send the whole register.
        mark: 0,
        entries,
        era: Some(mine.era.0),
        node: shared.me.id.to_string(),
        peer: shared.me.peer.to_string(),
    };
    let mut parts = rpc::Parts::begin(peer, client.tell(known)).await?;
    let malformed = |error: WireError| RpcError::Malformed { peer, detail: error.to_string() };
    let (mut entries, mut bytes) = (Vec::new(), 0);
    loop {
        let part = parts.next(entries.is_empty()).await?;
        if let Some(address) = part.elsewhere {
            return Reply::referral(address, peer, shared.me.peer);
        }
        bytes += part.runners.iter().map(|object| object.content.len()).sum::<usize>();
        let version = decode_mark(part.mark, part.era, mine.era).map_err(malformed)?;
        for object in &part.runners {
            entries.push(from_wire(object.clone(), version.era).map_err(malformed)?);
        }
        if bytes > MAX_ANSWER_BYTES {
            return Err(RpcError::TooLarge { peer, limit: MAX_ANSWER_BYTES });
        }
        if part.last {
            let changes = Difference { entries, ..decode(&part, version).map_err(malformed)? };
            let limits = decode_limits(&part.rate_limits).unwrap_or_else(|error| {
                log::warn!(peer:% = peer, error:% = error; "invalid rate limits from a node");
                Vec::new()
            });
            let leaving = part.leaving.into_iter().map(Tag).collect();
            return Ok(Reply::Complete(ReceivedRegister {
                asked_from: mine,
                difference: changes,
                limits,
                leaving,
            }));
        }
    }
}

/// Applies a received register. Returns whether it fits this node's copy.
fn apply_received(shared: &Shared, received: &ReceivedRegister, from: &str) -> bool {
    let mut fits = true;
    // The sending node is served by the store: what it has removed is not in doubt any more.
    let is_behind = shared.register_replica().is_behind(&received.difference);
    if is_behind && let Err(mismatch) = apply_difference(shared, &received.difference, None, "node")
    {
        // It was computed from the entries of this node, which may have changed since.
        fits = mismatch.from != received.asked_from;
        if !fits {
            shared.metrics.register_conflicts.with_label_values(&["difference"]).inc();
            log::error!(node = from, error:% = mismatch; "difference does not fit");
        }
        shared.note_outdated();
    }
    shared.limiter.apply_gossip(&received.limits, from);
    shared.drains.apply_gossip(&received.leaving, from);
    fits
}
