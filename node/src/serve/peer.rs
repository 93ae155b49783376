//! Learning from other nodes what the store does not tell this one.
//!
//! A few nodes follow the store; it may turn some away while it serves others. A beat says how new a
//! node's knowledge is, and a change is told by a beat at once; a node that is behind asks one that
//! is ahead for the difference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::id::{Mark, Revision};
use sardinepick_platform::store::Object;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::fleet::fleet_client::FleetClient;
use sardinepick_wire::fleet::fleet_server::{Fleet, FleetServer};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Endpoint;
use tonic::{Request, Response, Status};

use crate::serve::follow::{install, take_difference};
use crate::serve::knowledge::Difference;
use crate::serve::shared::Shared;

/// How long a node that is behind waits for the store's own word, or for more to ask for.
const PATIENCE: Duration = Duration::from_millis(40);
/// How long asking a node may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// The shortest pause between two questions.
const PAUSE: Duration = Duration::from_millis(200);
/// The largest answer: a configuration of a megabyte and a thousand runners' entries, with room.
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
    async fn tell(
        &self,
        request: Request<pb::KnowledgeRequest>,
    ) -> Result<Response<pb::Knowledge>, Status> {
        let asked = request.into_inner();
        let version = self.shared.status().version;
        let knowledge = self.shared.knowledge();
        let newer = knowledge.configuration.as_ref().filter(|_| version.0 > asked.version);
        let difference = knowledge.since(Mark(asked.mark));
        let bytes = newer.map_or(0, |object| object.content.len());
        if newer.is_some() {
            self.shared.metrics.copies.with_label_values(&["sent", "begun"]).inc();
            self.shared.metrics.copy_bytes.with_label_values(&["sent"]).inc_by(bytes as u64);
        }
        log::info!(
            node = asked.node, version:% = version, has = asked.version, bytes = bytes,
            runners = difference.entries.len(), gone = difference.gone.len(); "telling a node"
        );
        Ok(Response::new(pb::Knowledge {
            configuration: newer.map(to_wire),
            runners: difference.entries.iter().map(to_wire).collect(),
            gone: difference.gone.iter().map(ToString::to_string).collect(),
            mark: difference.mark.0,
            whole: difference.whole,
        }))
    }
}

/// Answers other nodes until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let service = FleetServer::new(Service { shared }).max_encoding_message_size(LARGEST);
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = server.await {
        log::error!(error:% = error; "serving other nodes");
    }
}

/// Asks other nodes whenever this one is behind, until the process ends.
pub async fn learn(shared: Arc<Shared>) {
    loop {
        shared.behind.notified().await;
        sleep(PATIENCE).await;
        let ahead = {
            let now = shared.clock.now();
            let roster = shared.roster();
            roster.ahead(shared.status(), now).map(|(contact, status)| (contact.clone(), status))
        };
        let Some((contact, status)) = ahead else { continue };
        let began = shared.clock.now();
        let told = timeout(CALL_LIMIT, ask(&shared, contact.peer)).await;
        let took = shared.clock.now().saturating_duration_since(began).as_millis() as u64;
        let outcome = match told {
            Ok(Ok(knowledge)) => {
                let bytes = knowledge.configuration.as_ref().map_or(0, |c| c.content.len());
                log::info!(
                    node:% = contact.id, version:% = status.version, register:% = status.register,
                    bytes = bytes, took_ms = took; "learned from another node"
                );
                shared.metrics.copy_bytes.with_label_values(&["received"]).inc_by(bytes as u64);
                take(&shared, knowledge);
                if bytes > 0 { "whole" } else { "nothing" }
            }
            Ok(Err(error)) => {
                let node = &contact.id;
                log::warn!(node:% = node, error:% = error, took_ms = took; "asking a node");
                "failed"
            }
            Err(_) => {
                let node = &contact.id;
                log::warn!(node:% = node, took_ms = took; "asking a node: no answer in time");
                "late"
            }
        };
        shared.metrics.copies.with_label_values(&["received", outcome]).inc();
        sleep(PAUSE).await;
    }
}

async fn ask(shared: &Shared, peer: SocketAddr) -> Result<pb::Knowledge, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|e| Status::invalid_argument(e.to_string()))?;
    let channel = endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))?;
    let mut client = FleetClient::new(channel).max_decoding_message_size(LARGEST);
    let mine = shared.status();
    let node = shared.me.id.to_string();
    let known = pb::KnowledgeRequest { version: mine.version.0, mark: mine.register.0, node };
    Ok(client.tell(known).await?.into_inner())
}

fn take(shared: &Shared, knowledge: pb::Knowledge) {
    if let Some(object) = knowledge.configuration {
        install(shared, from_wire(object), "node");
    }
    let mark = Mark(knowledge.mark);
    if mark <= shared.knowledge().mark() {
        return;
    }
    let entries: Vec<Object> = knowledge.runners.into_iter().map(from_wire).collect();
    let gone = knowledge.gone.into_iter().map(SmolStr::new).collect();
    // What a node that is served by the store has dropped is not in doubt any more.
    let told = Difference { whole: knowledge.whole, entries, gone, mark };
    take_difference(shared, told, None, "node");
}
