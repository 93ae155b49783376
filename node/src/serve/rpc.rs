//! Calls to other nodes with streamed answers.
//!
//! An answer as a whole has no timeout, since a large one on a thin link would exceed it and be
//! started over; only the time between its parts is limited.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use sardinepick_lib::id::NodeId;
use sardinepick_wire::fleet::fleet_client::FleetClient;
use smallvec::SmallVec;
use thiserror::Error;
use tokio::time::{Instant, timeout};
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status, Streaming};

/// The timeout for connecting to another node: a lost packet is retransmitted after 0.2 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The idle timeout of an answer. A part takes 13 ms on a link of 10 Mbit/s, and a queued call
/// gets three keep-alives in this time.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a call stays in the other node's queue before another node is called; by then more
/// nodes have a copy.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of referrals of one call: each halves the number of waiting nodes, so 550
/// nodes need 10.
const MAX_REFERRALS: usize = 12;

/// Why a call to another node failed.
#[derive(Debug, Error)]
pub enum RpcError {
    /// The connection failed.
    #[error("connecting to {peer}: {detail}")]
    Connect {
        /// The node.
        peer: SocketAddr,
        /// The cause.
        detail: String,
    },
    /// The node refused the call, or the connection broke.
    #[error("asking {peer}: {status}")]
    Refused {
        /// The node.
        peer: SocketAddr,
        /// The status of the node or the connection.
        status: Box<Status>,
    },
    /// Nothing was received within the idle timeout.
    #[error("asking {peer}: nothing heard for {IDLE_TIMEOUT:?}")]
    Silent {
        /// The node.
        peer: SocketAddr,
    },
    /// The node did not start its answer in time, since it served others first.
    #[error("waiting at {peer}: not served within {QUEUE_TIMEOUT:?}")]
    QueueTimeout {
        /// The node.
        peer: SocketAddr,
    },
    /// The answer ended before its last part.
    #[error("asking {peer}: the answer is truncated")]
    Broken {
        /// The node.
        peer: SocketAddr,
    },
    /// The answer is invalid.
    #[error("asking {peer}: {detail}")]
    Malformed {
        /// The node.
        peer: SocketAddr,
        /// The cause.
        detail: String,
    },
    /// The answer exceeds the size limit.
    #[error("asking {peer}: the answer exceeds {limit} bytes")]
    TooLarge {
        /// The node.
        peer: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The node referred the call to an unusable address, or after too many referrals.
    #[error("asking {peer}: unusable referral to {address}")]
    Misdirected {
        /// The node.
        peer: SocketAddr,
        /// The address that it named.
        address: String,
    },
    /// The answer cannot be used.
    #[error("asking {peer}: what came is not used")]
    Unusable {
        /// The node.
        peer: SocketAddr,
    },
}

impl RpcError {
    /// The outcome as a metric label.
    pub fn outcome(&self) -> &'static str {
        match self {
            RpcError::Connect { .. } => "unreachable",
            RpcError::Refused { .. } => "refused",
            RpcError::Silent { .. } => "silent",
            RpcError::QueueTimeout { .. } => "queue_timeout",
            RpcError::Broken { .. } => "broken",
            RpcError::Malformed { .. }
            | RpcError::TooLarge { .. }
            | RpcError::Misdirected { .. }
            | RpcError::Unusable { .. } => "useless",
        }
    }
}

/// The nodes whose calls have failed since the last successful one.
///
/// A node may send heartbeats and yet be unreachable, or announce what it then does not deliver,
/// and each such call costs up to a second. So all other nodes are asked before one of these is
/// asked again.
#[derive(Debug, Default)]
pub struct Failures {
    nodes: SmallVec<[NodeId; 4]>,
    consecutive: u32,
}

impl Failures {
    /// Records a failed call. Returns the number of failures in a row.
    pub fn note(&mut self, node: NodeId) -> u32 {
        self.nodes.push(node);
        self.consecutive = self.consecutive.saturating_add(1);
        self.consecutive
    }

    /// Records a successful call.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Picks one of `nodes`: of those that have not failed, or of all if all have failed.
    pub fn pick<'a, T, I: Iterator<Item = T>>(
        &mut self,
        nodes: impl Fn() -> I,
        id: impl Fn(&T) -> &'a NodeId,
        pick: impl Fn(&mut dyn Iterator<Item = T>) -> Option<T>,
    ) -> Option<T> {
        let picked = pick(&mut nodes().filter(|node| !self.nodes.contains(id(node))));
        if picked.is_some() {
            return picked;
        }
        self.nodes.clear();
        pick(&mut nodes())
    }
}

/// The answer of a node.
#[derive(Debug)]
pub enum Reply<T> {
    /// The complete answer.
    Complete(T),
    /// The call should go to another node.
    Referral(SocketAddr),
}

impl<T> Reply<T> {
    /// Parses a referral to another node than `peer` and the calling node `me`.
    ///
    /// # Errors
    /// The address cannot be called.
    pub fn referral(address: String, peer: SocketAddr, me: SocketAddr) -> Result<Self, RpcError> {
        match address.parse() {
            Ok(next) if next != me && next != peer => Ok(Reply::Referral(next)),
            Ok(_) | Err(_) => Err(RpcError::Misdirected { peer, address }),
        }
    }
}

/// Calls a node and follows its referrals. Returns the node that answered.
///
/// # Errors
/// One of the calls fails, or there are too many referrals.
pub async fn follow_referrals<T, F>(
    first: SocketAddr,
    ask: impl Fn(SocketAddr) -> F,
) -> Result<(SocketAddr, T), RpcError>
where
    F: Future<Output = Result<Reply<T>, RpcError>>,
{
    let mut peer = first;
    for _ in 0..MAX_REFERRALS {
        match ask(peer).await? {
            Reply::Complete(answer) => return Ok((peer, answer)),
            Reply::Referral(next) => peer = next,
        }
    }
    Err(RpcError::Misdirected { peer, address: peer.to_string() })
}

/// Connects to a node.
///
/// # Errors
/// The node cannot be reached.
pub async fn connect(peer: SocketAddr) -> Result<FleetClient<Channel>, RpcError> {
    let failed = |error: tonic::transport::Error| {
        let detail = error.to_string();
        RpcError::Connect { peer, detail }
    };
    let endpoint = Endpoint::from_shared(format!("http://{peer}")).map_err(failed)?;
    let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await.map_err(failed)?;
    Ok(FleetClient::new(channel))
}

/// The parts of an answer.
#[derive(Debug)]
pub struct Parts<T> {
    peer: SocketAddr,
    parts: Streaming<T>,
    asked: Instant,
}

impl<T> Parts<T> {
    /// Waits for the answer of `peer` to begin.
    ///
    /// # Errors
    /// The answer does not begin in time.
    pub async fn begin(
        peer: SocketAddr,
        call: impl Future<Output = Result<Response<Streaming<T>>, Status>>,
    ) -> Result<Self, RpcError> {
        let answer = timeout(IDLE_TIMEOUT, call).await.map_err(|_| RpcError::Silent { peer })?;
        let answer = answer.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
        Ok(Self { peer, parts: answer.into_inner(), asked: Instant::now() })
    }

    /// Receives the next part. `is_queued` says that only keep-alives have been received so far.
    ///
    /// # Errors
    /// The answer has ended, the next part is overdue, or the call has waited too long in the other
    /// node's queue.
    pub async fn next(&mut self, is_queued: bool) -> Result<T, RpcError> {
        let peer = self.peer;
        if is_queued && self.asked.elapsed() > QUEUE_TIMEOUT {
            return Err(RpcError::QueueTimeout { peer });
        }
        let part = timeout(IDLE_TIMEOUT, self.parts.message()).await;
        let part = part.map_err(|_| RpcError::Silent { peer })?;
        let part = part.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
        part.ok_or(RpcError::Broken { peer })
    }
}
