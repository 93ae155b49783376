//! Calls to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message as _;
use sardinepick_lib::claim::{Claim, Verdict};
use sardinepick_lib::config::chunk::Chunk;
use sardinepick_lib::config::head::Head;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Generation, Version};
use sardinepick_lib::member::Update;
use sardinepick_lib::owner::Table;
use sardinepick_wire::error::WireError;
use sardinepick_wire::{PeersClient, generated as pb};
use strum::{Display, IntoStaticStr};
use thiserror::Error;
use tonic::transport::{Channel, Endpoint};

use crate::metrics::Metrics;

/// The timeout of a call to another node.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The size limit of a received message, in bytes: a handful of chunks.
pub const MAX_MESSAGE: usize = 8 << 20;

/// A kind of call, as named in errors and metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Claiming a key.
    Claim,
    /// Reporting the outcome of a claim.
    End,
    /// Fetching the head.
    Head,
    /// Fetching chunks.
    Chunks,
    /// Fetching the membership.
    Members,
    /// Fetching live rows.
    Rows,
    /// Fetching newer versions of the owner table.
    Table,
    /// Fetching the configuration generation.
    Status,
}

/// Why a call to another node failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The call failed; the other node may have acted on it.
    #[error("{step} at {peer}: {status}")]
    Call {
        /// The step.
        step: Step,
        /// The other node.
        peer: SocketAddr,
        /// The transport's error.
        status: Box<tonic::Status>,
    },
    /// The response is malformed.
    #[error("{step} at {peer}: {source}")]
    Answer {
        /// The step.
        step: Step,
        /// The other node.
        peer: SocketAddr,
        /// The decoding error.
        source: WireError,
    },
}

/// Connections to other nodes, opened on first use.
#[derive(Debug)]
pub struct Peers {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    metrics: Metrics,
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(metrics: Metrics) -> Self {
        Self { channels: Mutex::new(HashMap::new()), metrics }
    }

    fn client(&self, peer: SocketAddr) -> PeersClient<Channel> {
        let mut channels = self.channels.lock().expect("no holder of the channels' lock panics");
        let channel = channels.entry(peer).or_insert_with(|| {
            Endpoint::from_shared(format!("http://{peer}"))
                .expect("a socket address makes a URI")
                .connect_timeout(CALL_TIMEOUT)
                .timeout(CALL_TIMEOUT)
                .tcp_nodelay(true)
                .connect_lazy()
        });
        PeersClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Drops connections to nodes that are not among `known`.
    pub fn keep_only(&self, known: &[SocketAddr]) {
        let mut channels = self.channels.lock().expect("no holder of the channels' lock panics");
        channels.retain(|address, _| known.contains(address));
    }

    fn count(&self, step: Step, sent: usize, received: usize) {
        let kind: &str = step.into();
        let bytes = &self.metrics.peer_bytes;
        bytes.with_label_values(&[kind, "out"]).inc_by(sent as u64);
        bytes.with_label_values(&[kind, "in"]).inc_by(received as u64);
    }

    fn finish_call<T: prost::Message>(
        &self,
        step: Step,
        peer: SocketAddr,
        sent: usize,
        result: Result<tonic::Response<T>, tonic::Status>,
    ) -> Result<T, PeerError> {
        match result {
            Ok(response) => {
                let message = response.into_inner();
                self.count(step, sent, message.encoded_len());
                Ok(message)
            }
            Err(status) => {
                self.count(step, sent, 0);
                Err(PeerError::Call { step, peer, status: Box::new(status) })
            }
        }
    }

    /// Claims a key at its owner.
    ///
    /// # Errors
    /// The call failed. The owner may have granted the claim nevertheless.
    pub async fn claim(&self, peer: SocketAddr, claim: &Claim) -> Result<Verdict, PeerError> {
        let request = pb::ClaimRequest::from(claim);
        let sent = request.encoded_len();
        let result = self.client(peer).claim(request).await;
        let reply = self.finish_call(Step::Claim, peer, sent, result)?;
        reply.try_into().map_err(|source| PeerError::Answer { step: Step::Claim, peer, source })
    }

    /// Reports the outcome of a claim to the key's owner.
    ///
    /// # Errors
    /// The call failed. The owner may not know the outcome.
    pub async fn end(&self, peer: SocketAddr, request: pb::EndRequest) -> Result<(), PeerError> {
        let sent = request.encoded_len();
        let result = self.client(peer).end(request).await;
        self.finish_call(Step::End, peer, sent, result).map(|_| ())
    }

    /// Fetches the configuration head that is in force on another node.
    ///
    /// # Errors
    /// The call failed, or the response is not a head.
    pub async fn head(&self, peer: SocketAddr) -> Result<Head, PeerError> {
        let result = self.client(peer).head(pb::Empty {}).await;
        let reply = self.finish_call(Step::Head, peer, 0, result)?;
        serde_json::from_slice(&reply.head).map_err(|error| PeerError::Answer {
            step: Step::Head,
            peer,
            source: WireError::Decode(error.to_string()),
        })
    }

    /// Fetches chunks; chunks that the node does not have are left out.
    ///
    /// # Errors
    /// The call failed.
    pub async fn chunks(
        &self,
        peer: SocketAddr,
        digests: &[Digest],
    ) -> Result<Vec<Chunk>, PeerError> {
        let digests: Vec<Vec<u8>> = digests.iter().map(|d| d.0.to_vec()).collect();
        let request = pb::ChunksRequest { digests };
        let sent = request.encoded_len();
        let result = self.client(peer).chunks(request).await;
        let reply = self.finish_call(Step::Chunks, peer, sent, result)?;
        Ok(reply.chunks.into_iter().map(Chunk::new).collect())
    }

    /// Exchanges full membership lists with another node.
    ///
    /// # Errors
    /// The call failed, or the response contains an invalid update.
    pub async fn members(
        &self,
        peer: SocketAddr,
        all: &[Update],
    ) -> Result<Vec<Update>, PeerError> {
        let request = pb::MembersReply { members: all.iter().map(pb::Update::from).collect() };
        let sent = request.encoded_len();
        let result = self.client(peer).members(request).await;
        let reply = self.finish_call(Step::Members, peer, sent, result)?;
        let members = reply.members.into_iter().map(TryInto::try_into);
        members.collect::<Result<_, _>>().map_err(|source| PeerError::Answer {
            step: Step::Members,
            peer,
            source,
        })
    }

    /// Fetches live rows of a subject.
    ///
    /// # Errors
    /// The call failed.
    pub async fn rows(&self, peer: SocketAddr, subject: &str) -> Result<Vec<pb::Row>, PeerError> {
        let request = pb::RowsRequest { subject: subject.to_owned() };
        let sent = request.encoded_len();
        let result = self.client(peer).rows(request).await;
        self.finish_call(Step::Rows, peer, sent, result).map(|reply| reply.rows)
    }

    /// Fetches the versions of the owner table after `since`.
    ///
    /// # Errors
    /// The call failed, or the response is not a table.
    pub async fn table(&self, peer: SocketAddr, since: Version) -> Result<Table, PeerError> {
        let request = pb::TableRequest { since: since.0 };
        let sent = request.encoded_len();
        let result = self.client(peer).table(request).await;
        let reply = self.finish_call(Step::Table, peer, sent, result)?;
        serde_json::from_slice(&reply.table).map_err(|error| PeerError::Answer {
            step: Step::Table,
            peer,
            source: WireError::Decode(error.to_string()),
        })
    }

    /// Fetches the configuration generation in force on another node.
    ///
    /// # Errors
    /// The call failed.
    pub async fn generation(&self, peer: SocketAddr) -> Result<Generation, PeerError> {
        let result = self.client(peer).status(pb::Empty {}).await;
        self.finish_call(Step::Status, peer, 0, result).map(|reply| Generation(reply.generation))
    }
}
