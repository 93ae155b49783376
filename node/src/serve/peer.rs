//! Learning from other nodes what the store does not tell this one.
//!
//! The store may turn some nodes away while it serves others. A beat says how new a node's knowledge
//! is; one that is behind asks the node that is ahead.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::id::Revision;
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

use crate::serve::follow::{install, take_list};
use crate::serve::shared::Shared;

/// How long a node that is behind waits for the store's own word, which mostly comes first.
const PATIENCE: Duration = Duration::from_millis(300);
/// How long asking a node may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// The shortest pause between two questions.
const PAUSE: Duration = Duration::from_millis(250);
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
        _: Request<pb::KnowledgeRequest>,
    ) -> Result<Response<pb::Knowledge>, Status> {
        let knowledge = self.shared.knowledge();
        Ok(Response::new(pb::Knowledge {
            configuration: knowledge.configuration.as_ref().map(to_wire),
            runners: knowledge.runners.values().map(to_wire).collect(),
            register: knowledge.register.0,
            changed: knowledge.changed.0,
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
        match timeout(CALL_LIMIT, ask(contact.peer)).await {
            Ok(Ok(knowledge)) => {
                log::info!(
                    node:% = contact.id, version:% = status.version, register:% = status.register;
                    "learned from another node"
                );
                take(&shared, knowledge);
            }
            Ok(Err(error)) => log::warn!(node:% = contact.id, error:% = error; "asking a node"),
            Err(_) => log::warn!(node:% = contact.id; "asking a node: no answer in time"),
        }
        sleep(PAUSE).await;
    }
}

async fn ask(peer: std::net::SocketAddr) -> Result<pb::Knowledge, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|e| Status::invalid_argument(e.to_string()))?;
    let channel = endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))?;
    let mut client = FleetClient::new(channel).max_decoding_message_size(LARGEST);
    Ok(client.tell(pb::KnowledgeRequest {}).await?.into_inner())
}

fn take(shared: &Shared, knowledge: pb::Knowledge) {
    if let Some(object) = knowledge.configuration {
        install(shared, from_wire(object), "node");
    }
    let (register, changed) = (Revision(knowledge.register), Revision(knowledge.changed));
    if changed > shared.knowledge().changed {
        let objects = knowledge.runners.into_iter().map(from_wire).collect();
        let doubt = shared.outage().doubt(shared.clock.now());
        take_list(shared, objects, register, doubt, "node");
        shared.knowledge().changed = changed;
    }
}
