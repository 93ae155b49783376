//! Learning from other nodes what the store does not tell this one.
//!
//! A few nodes follow the store; it may turn some away while it serves others. A beat says how new a
//! node's knowledge is, and a change is told by a beat at once; a node that is behind asks one that
//! is ahead for the difference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::limit::Announced;
use sardinepick_lib::fleet::roster::{Contact, Status as RosterStatus};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{Mark, Revision};
use sardinepick_platform::store::Object;
use sardinepick_wire::beat::{nodes, read_nodes};
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use sardinepick_wire::limit::{announced, read_all};
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

fn to_wire(object: &Object) -> pb::Object {
    pb::Object {
        name: object.name.to_string(),
        revision: object.revision.0,
        content: object.content.to_vec(),
    }
}

fn from_wire(object: pb::Object) -> Object {
    Object {
        name: SmolStr::new(object.name),
        revision: Revision(object.revision),
        content: object.content.into(),
    }
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
            read_nodes(&told).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let now = self.shared.clock.now();
        let mut roster = self.shared.roster();
        take_records(&mut roster, &records, now);
        if roster.has_news() {
            self.shared.beat_now.notify_one();
        }
        let records = roster.records();
        drop(roster);
        quarantine::news::take(&self.shared, &told.quarantined, "that compares");
        Ok(Response::new(nodes(&records, quarantine::news::all(&self.shared))))
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
    let mark = Mark(asked.mark);
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

/// A difference for the wire, as one part.
pub fn knowledge(difference: &Difference) -> pb::Knowledge {
    pb::Knowledge {
        runners: difference.entries.iter().map(to_wire).collect(),
        gone: difference.gone.iter().map(ToString::to_string).collect(),
        doubted: difference.doubted.iter().map(ToString::to_string).collect(),
        mark: difference.mark.0,
        whole: difference.whole,
        last: true,
        ..Default::default()
    }
}

/// Takes in what another node tells unasked, if it follows on what this one knows. If not, this node
/// is behind and asks.
pub fn take_news(shared: &Shared, news: &pb::Knowledge) {
    let mine = shared.knowledge().mark();
    let follows_on = Mark(news.since) <= mine && mine < Mark(news.mark) && !news.whole;
    if !follows_on || !shared.knowledge().is_known() {
        return;
    }
    let told = Difference {
        whole: false,
        entries: news.runners.iter().cloned().map(from_wire).collect(),
        gone: news.gone.iter().map(SmolStr::new).collect(),
        doubted: news.doubted.iter().map(SmolStr::new).collect(),
        mark: Mark(news.mark),
    };
    take_difference(shared, told, None, "news");
}

/// Adds what runners have announced of themselves: it says nothing to a node that does not know them.
fn with_signals(shared: &Shared, part: pb::Knowledge) -> pb::Knowledge {
    let limits = shared.limiter.all();
    pb::Knowledge {
        rate_limits: limits.iter().map(announced).collect(),
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
            runners: runners.iter().map(to_wire).collect(),
            gone: gone.iter().map(ToString::to_string).collect(),
            doubted: doubted.iter().map(ToString::to_string).collect(),
            mark: difference.mark.0,
            whole: difference.whole,
            elsewhere: None,
            last,
            since: 0,
            rate_limits: Vec::new(),
            leaving: Vec::new(),
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
    let known = pb::KnowledgeRequest {
        mark: shared.knowledge().mark().0,
        node: shared.me.id.to_string(),
        peer: shared.me.peer.to_string(),
    };
    let mut parts = rpc::Parts::begin(peer, client.tell(known)).await?;
    let (mut told, mut bytes) = (Difference::default(), 0);
    loop {
        let part = parts.next(told.entries.is_empty()).await?;
        if let Some(address) = part.elsewhere {
            return Reply::referral(address, peer, shared.me.peer);
        }
        bytes += part.runners.iter().map(|object| object.content.len()).sum::<usize>();
        told.entries.extend(part.runners.into_iter().map(from_wire));
        if bytes > LARGEST {
            return Err(RpcError::TooLarge { peer, most: LARGEST });
        }
        if part.last {
            told.gone = part.gone.into_iter().map(SmolStr::new).collect();
            told.doubted = part.doubted.into_iter().map(SmolStr::new).collect();
            (told.mark, told.whole) = (Mark(part.mark), part.whole);
            let limits = read_all(&part.rate_limits).unwrap_or_else(|error| {
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
