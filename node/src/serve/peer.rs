//! Learning from other nodes what the store does not tell this one.
//!
//! A few nodes follow the store; it may turn some away while it serves others. A beat says how new a
//! node's knowledge is, and a change is told by a beat at once; a node that is behind asks one that
//! is ahead for the difference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::limit::Announced;
use sardinepick_lib::fleet::mark::Mark;
use sardinepick_lib::fleet::roster::{Contact, Status as RosterStatus};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::history::Era;
use sardinepick_platform::store::Object;
use sardinepick_wire::beat::{decode_nodes, encode_nodes};
use sardinepick_wire::error::WireError;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use sardinepick_wire::limit::{decode_limits, encode_limit};
use sardinepick_wire::mark::{decode_mark, decode_point};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status};

use crate::serve::beat::take_records;
use crate::serve::copy;
use crate::serve::follow::take_difference;
use crate::serve::knowledge::Difference;
use crate::serve::quarantine;
use crate::serve::rpc::{self, Failures, Reply, RpcError};
use crate::serve::shared::Shared;
use crate::serve::transfer::{Disconnected, Grant, Parts, send};

/// How long a node that is behind waits for the store's own word, or for more to ask for.
const PATIENCE: Duration = Duration::from_millis(40);
/// The shortest pause between two questions.
const PAUSE: Duration = Duration::from_millis(200);
/// Bytes of entries after which a part is full: 13 ms on a link of 10 Mbit/s.
const PART: usize = 16 << 10;
/// The most bytes of entries that are taken from one answer: 1,600 runners' are 0.4 MB.
const LARGEST: usize = 16 << 20;

struct Service {
    shared: Arc<Shared>,
}

/// An object for a message of an era.
fn to_wire(object: &Object, era: Era) -> pb::Object {
    pb::Object {
        name: object.name.to_string(),
        revision: object.at.revision.0,
        content: object.content.to_vec(),
        era: (object.at.era != era).then_some(object.at.era.0),
    }
}

/// Reads an object of a message of an era.
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
        let (shared, asked) = (self.shared.clone(), request.into_inner());
        tokio::spawn(async move {
            if let Err(error) = tell(&shared, &asked, &parts).await {
                log::info!(node = asked.node, mark = asked.mark, error:% = error; "node not told");
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn meet(&self, request: Request<pb::Nodes>) -> Result<Response<pb::Nodes>, Status> {
        let told = request.into_inner();
        let records =
            decode_nodes(&told).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let now = self.shared.clock.now();
        let mut roster = self.shared.roster();
        take_records(&mut roster, &records, now);
        if roster.has_news() {
            self.shared.beat_now.notify_one();
        }
        let records = roster.records();
        drop(roster);
        quarantine::news::take(&self.shared, &told.quarantined, "that compares");
        Ok(Response::new(encode_nodes(&records, quarantine::news::all(&self.shared))))
    }

    type CopyStream = ReceiverStream<Result<pb::CopyPart, Status>>;

    async fn copy(
        &self,
        request: Request<pb::CopyRequest>,
    ) -> Result<Response<Self::CopyStream>, Status> {
        let parts = copy::answer(self.shared.clone(), request.into_inner());
        Ok(Response::new(ReceiverStream::new(parts)))
    }
}

/// Tells a node what it does not know of the register. All of it goes to few nodes at a time, as it
/// is large; differences are small and go at once.
async fn tell(
    shared: &Shared,
    asked: &pb::KnowledgeRequest,
    parts: &Parts<pb::Knowledge>,
) -> Result<(), Disconnected> {
    let known = shared.knowledge().mark();
    let mark = decode_mark(asked.mark, asked.era, known.era).unwrap_or_else(|error| {
        log::warn!(node = asked.node, error:% = error; "mark of a node is not taken");
        Mark::default()
    });
    let difference = shared.knowledge().since(mark);
    if !difference.whole {
        return send_parts(shared, &difference, parts).await;
    }
    let bytes = difference.entries.iter().map(|object| object.content.len()).sum();
    match shared.register_transfers.wait(parts, bytes).await? {
        Grant::Slot(slot) => {
            // Its turn may have come after further changes.
            let difference = shared.knowledge().since(mark);
            send_parts(shared, &difference, parts).await?;
            slot.finish(parts, &asked.peer).await
        }
        Grant::Referral(address) => {
            let elsewhere = Some(address.to_string());
            send(parts, pb::Knowledge { elsewhere, ..Default::default() }).await
        }
    }
}

/// A difference for the wire, told unasked to those who know all up to `since`.
pub fn news(difference: &Difference, since: Mark) -> pb::Knowledge {
    let era = difference.mark.era;
    pb::Knowledge {
        since: since.order,
        since_era: (since.era != era).then_some(since.era.0),
        era: Some(era.0),
        runners: difference.entries.iter().map(|object| to_wire(object, era)).collect(),
        gone: difference.gone.iter().map(ToString::to_string).collect(),
        doubted: difference.doubted.iter().map(ToString::to_string).collect(),
        mark: difference.mark.order,
        whole: difference.whole,
        last: true,
        ..Default::default()
    }
}

/// Takes in what another node tells unasked, if it follows on what this one knows. If not, this node
/// is behind and asks.
pub fn take_news(shared: &Shared, news: &pb::Knowledge) {
    match read_news(shared, news) {
        Ok(Some(told)) => take_difference(shared, told, None, "news"),
        Ok(None) => {}
        Err(error) => log::warn!(error:% = error; "news of the register is not taken"),
    }
}

/// Reads news; nothing where it does not follow on what this node knows.
fn read_news(shared: &Shared, news: &pb::Knowledge) -> Result<Option<Difference>, WireError> {
    let (mine, is_known) = {
        let knowledge = shared.knowledge();
        (knowledge.mark(), knowledge.is_known())
    };
    let mark = decode_mark(news.mark, news.era, mine.era)?;
    let since = decode_mark(news.since, news.since_era, mark.era)?;
    if !is_known || news.whole || since > mine || mine >= mark {
        return Ok(None);
    }
    let entries = news.runners.iter().cloned().map(|object| from_wire(object, mark.era));
    Ok(Some(Difference {
        whole: false,
        entries: entries.collect::<Result<_, _>>()?,
        gone: news.gone.iter().map(SmolStr::new).collect(),
        doubted: news.doubted.iter().map(SmolStr::new).collect(),
        mark,
    }))
}

/// Adds what runners have announced of themselves: it says nothing to a node that does not know them.
fn with_signals(shared: &Shared, part: pb::Knowledge) -> pb::Knowledge {
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
        let (runners, rest) = left.split_at(first_part(left));
        left = rest;
        let last = left.is_empty();
        let gone = if last { difference.gone.as_slice() } else { &[] };
        let doubted = if last { difference.doubted.as_slice() } else { &[] };
        let part = pb::Knowledge {
            runners: runners.iter().map(|object| to_wire(object, difference.mark.era)).collect(),
            gone: gone.iter().map(ToString::to_string).collect(),
            doubted: doubted.iter().map(ToString::to_string).collect(),
            mark: difference.mark.order,
            era: Some(difference.mark.era.0),
            whole: difference.whole,
            last,
            ..Default::default()
        };
        let part = if last && difference.whole { with_signals(shared, part) } else { part };
        send(parts, part).await?;
        if last {
            return Ok(());
        }
    }
}

/// How many of the entries make the first part.
fn first_part(entries: &[Object]) -> usize {
    let mut bytes = 0;
    let fits = entries.iter().take_while(|object| {
        let fits = bytes < PART;
        bytes += object.content.len();
        fits
    });
    fits.count()
}

/// Answers other nodes until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let service = FleetServer::new(Service { shared });
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = server.await {
        log::error!(error:% = error; "serving other nodes");
    }
}

/// Asks other nodes whenever this one is behind, until the process ends.
pub async fn learn(shared: Arc<Shared>) {
    let mut failures = Failures::default();
    loop {
        shared.behind.notified().await;
        sleep(PATIENCE).await;
        let Some((contact, status)) = newest(&shared, &mut failures) else { continue };
        let began = Instant::now();
        let told = rpc::referred(contact.peer, |peer| ask(&shared, peer)).await;
        let took = began.elapsed().as_millis() as u64;
        match told {
            Ok((peer, told)) => {
                log::info!(
                    node:% = contact.id, peer:% = peer, register:% = status.register,
                    entries = told.difference.entries.len(), took_ms = took;
                    "learned from another node"
                );
                failures.clear();
                take(&shared, told, contact.id.as_str());
            }
            Err(error) => {
                log::warn!(
                    node:% = contact.id, error:% = error, took_ms = took; "not told by a node"
                );
                failures.note(contact.id);
            }
        }
        sleep(PAUSE).await;
    }
}

/// The node that knows the newest register; news of a runner that leaves must not wait for one that
/// cannot be reached.
fn newest(shared: &Shared, failures: &mut Failures) -> Option<(Contact, RosterStatus)> {
    let mine = shared.knowledge().mark();
    let roster = shared.roster();
    let newest = failures.pick(
        || roster.with_newer_register(mine),
        |(contact, _)| &contact.id,
        |nodes| nodes.max_by_key(|(_, status)| status.register),
    );
    newest.map(|(contact, status)| (contact.clone(), status))
}

/// What another node has told of the register.
struct Told {
    difference: Difference,
    /// What runners have announced of themselves.
    limits: Vec<Announced>,
    leaving: Vec<Tag>,
}

async fn ask(shared: &Shared, peer: SocketAddr) -> Result<Reply<Told>, RpcError> {
    let mut client = rpc::connect(peer).await?;
    let mine = shared.knowledge().mark();
    let known = pb::KnowledgeRequest {
        mark: mine.order,
        era: Some(mine.era.0),
        node: shared.me.id.to_string(),
        peer: shared.me.peer.to_string(),
    };
    let mut parts = rpc::Parts::begin(peer, client.tell(known)).await?;
    let malformed = |error: WireError| RpcError::Malformed { peer, detail: error.to_string() };
    let (mut told, mut bytes) = (Difference::default(), 0);
    loop {
        let part = parts.next(told.entries.is_empty()).await?;
        if let Some(address) = part.elsewhere {
            return Reply::referral(address, peer, shared.me.peer);
        }
        bytes += part.runners.iter().map(|object| object.content.len()).sum::<usize>();
        let mark = decode_mark(part.mark, part.era, mine.era).map_err(malformed)?;
        for object in part.runners {
            told.entries.push(from_wire(object, mark.era).map_err(malformed)?);
        }
        if bytes > LARGEST {
            return Err(RpcError::TooLarge { peer, most: LARGEST });
        }
        if part.last {
            told.gone = part.gone.into_iter().map(SmolStr::new).collect();
            told.doubted = part.doubted.into_iter().map(SmolStr::new).collect();
            (told.mark, told.whole) = (mark, part.whole);
            let limits = decode_limits(&part.rate_limits).unwrap_or_else(|error| {
                log::warn!(peer:% = peer, error:% = error; "rate limits of a node are not taken");
                Vec::new()
            });
            let leaving = part.leaving.into_iter().map(Tag).collect();
            return Ok(Reply::Whole(Told { difference: told, limits, leaving }));
        }
    }
}

fn take(shared: &Shared, told: Told, from: &str) {
    // What a node that is served by the store has dropped is not in doubt any more.
    if told.difference.mark > shared.knowledge().mark() {
        take_difference(shared, told.difference, None, "node");
    }
    shared.limiter.take(&told.limits, from);
    shared.drains.take(&told.leaving, from);
}
