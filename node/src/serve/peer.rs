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
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Endpoint;
use tonic::{Request, Response, Status};

use crate::serve::copy;
use crate::serve::follow::take_difference;
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
        let difference = self.shared.knowledge().since(Mark(asked.mark));
        Ok(Response::new(pb::Knowledge {
            runners: difference.entries.iter().map(to_wire).collect(),
            gone: difference.gone.iter().map(ToString::to_string).collect(),
            mark: difference.mark.0,
            whole: difference.whole,
        }))
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
            roster
                .ahead(shared.knowledge().mark(), now)
                .map(|(contact, status)| (contact.clone(), status))
        };
        let Some((contact, status)) = ahead else { continue };
        let began = shared.clock.now();
        let told = timeout(CALL_LIMIT, ask(&shared, contact.peer)).await;
        let took = shared.clock.now().saturating_duration_since(began).as_millis() as u64;
        match told {
            Ok(Ok(knowledge)) => {
                log::info!(
                    node:% = contact.id, register:% = status.register,
                    entries = knowledge.runners.len(), took_ms = took; "learned from another node"
                );
                take(&shared, knowledge);
            }
            Ok(Err(error)) => {
                let node = &contact.id;
                log::warn!(node:% = node, error:% = error, took_ms = took; "asking a node");
            }
            Err(_) => {
                let node = &contact.id;
                log::warn!(node:% = node, took_ms = took; "asking a node: no answer in time");
            }
        }
        sleep(PAUSE).await;
    }
}

async fn ask(shared: &Shared, peer: SocketAddr) -> Result<pb::Knowledge, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|e| Status::invalid_argument(e.to_string()))?;
    let channel = endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))?;
    let mut client = FleetClient::new(channel).max_decoding_message_size(LARGEST);
    let (mark, node) = (shared.knowledge().mark().0, shared.me.id.to_string());
    let known = pb::KnowledgeRequest { mark, node };
    Ok(client.tell(known).await?.into_inner())
}

fn take(shared: &Shared, knowledge: pb::Knowledge) {
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
