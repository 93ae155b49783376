//! The server for calls from other nodes.

use std::sync::Arc;

use sardinepick_lib::hash::{DIGEST_LEN, Digest};
use sardinepick_lib::id::Version;
use sardinepick_lib::language::statement::Subject;
use sardinepick_wire::{Peers, PeersServer, generated as pb};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use super::client::MAX_MESSAGE;
use crate::node::Node;
use crate::{claims, rows};

struct Service {
    node: Arc<Node>,
}

/// Serves calls until the node stops.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let service = PeersServer::new(Service { node: node.clone() })
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(MAX_MESSAGE);
    let server = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), node.stopped());
    if let Err(error) = server.await {
        log::error!(error:% = error; "server for other nodes failed");
    }
}

fn invalid(error: impl std::fmt::Display) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl Peers for Service {
    async fn claim(
        &self,
        request: Request<pb::ClaimRequest>,
    ) -> Result<Response<pb::ClaimReply>, Status> {
        let claim = request.into_inner().try_into().map_err(invalid)?;
        let verdict = claims::decide(&self.node, &claim).await;
        Ok(Response::new((&verdict).into()))
    }

    async fn end(&self, request: Request<pb::EndRequest>) -> Result<Response<pb::Empty>, Status> {
        let request = request.into_inner();
        let claimant = request.claimant.ok_or_else(|| invalid("missing claimant"))?;
        let claimant = claimant.try_into().map_err(invalid)?;
        let birth = Version(request.birth);
        let mut register = self.node.register();
        match request.outcome {
            Some(outcome) if !request.released => {
                let outcome = outcome.try_into().map_err(invalid)?;
                register.end(&request.key, birth, &claimant, outcome);
            }
            _ => register.release(&request.key, birth, &claimant),
        }
        Ok(Response::new(pb::Empty {}))
    }

    async fn head(&self, _: Request<pb::Empty>) -> Result<Response<pb::HeadReply>, Status> {
        let head = self.node.config_fetcher().installed().head.clone();
        let head = serde_json::to_vec(&head).map_err(invalid)?;
        Ok(Response::new(pb::HeadReply { head }))
    }

    async fn chunks(
        &self,
        request: Request<pb::ChunksRequest>,
    ) -> Result<Response<pb::ChunksReply>, Status> {
        let fetcher = self.node.config_fetcher();
        let held = &fetcher.installed().chunks;
        let mut chunks = Vec::new();
        for digest in request.into_inner().digests {
            let digest: [u8; DIGEST_LEN] =
                digest.try_into().map_err(|_| invalid("digest of the wrong length"))?;
            chunks.extend(held.get(&Digest(digest)).map(|chunk| chunk.bytes.clone()));
        }
        Ok(Response::new(pb::ChunksReply { chunks }))
    }

    async fn members(
        &self,
        request: Request<pb::MembersReply>,
    ) -> Result<Response<pb::MembersReply>, Status> {
        let updates = request.into_inner().members.into_iter().map(TryInto::try_into);
        let updates = updates.collect::<Result<Vec<_>, _>>().map_err(invalid)?;
        let now = self.node.clock.now();
        let mut members = self.node.members();
        let all = members.all_updates();
        members.merge_updates(now, updates);
        drop(members);
        let members = all.iter().map(pb::Update::from).collect();
        Ok(Response::new(pb::MembersReply { members }))
    }

    async fn rows(
        &self,
        request: Request<pb::RowsRequest>,
    ) -> Result<Response<pb::RowsReply>, Status> {
        let subject: Subject = request.into_inner().subject.parse().map_err(invalid)?;
        let rows = rows::live(&self.node, subject);
        let cells = |row: sardinepick_lib::query::Row| pb::Row {
            cells: row.cells.iter().map(ToString::to_string).collect(),
        };
        Ok(Response::new(pb::RowsReply { rows: rows.into_iter().map(cells).collect() }))
    }

    async fn table(
        &self,
        request: Request<pb::TableRequest>,
    ) -> Result<Response<pb::TableReply>, Status> {
        let newer = self.node.table.load().since(Version(request.into_inner().since));
        let table = serde_json::to_vec(&newer).map_err(invalid)?;
        Ok(Response::new(pb::TableReply { table }))
    }

    async fn status(&self, _: Request<pb::Empty>) -> Result<Response<pb::StatusReply>, Status> {
        let generation = self.node.config.load().generation.0;
        Ok(Response::new(pb::StatusReply { generation }))
    }
}
