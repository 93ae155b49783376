//! Calls to other nodes whose answers come in parts.
//!
//! An answer has no timeout as a whole, since a large one on a thin link would miss it and be begun
//! anew; only its silence has.

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

/// How long a connection to another node may take: a packet lost once is sent again after 0.2 s.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long the other side may be silent. A part takes 13 ms on a link of 10 Mbit/s, and a node that
/// waits for its turn hears a sign three times in this.
pub const SILENCE: Duration = Duration::from_millis(600);
/// How long a node waits in the other's queue before it calls another, of which there are more by then.
const QUEUE_LIMIT: Duration = Duration::from_secs(1);
/// How often one call may be referred: each time half as many wait, so 550 nodes need 10.
const MOST_REFERRALS: usize = 12;

/// Why a call to another node failed.
#[derive(Debug, Error)]
pub enum RpcError {
    /// No connection.
    #[error("connecting to {peer}: {detail}")]
    Connect {
        /// The node.
        peer: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// The node refused, or the connection broke.
    #[error("asking {peer}: {status}")]
    Refused {
        /// The node.
        peer: SocketAddr,
        /// What it or the connection said.
        status: Box<Status>,
    },
    /// Nothing came for too long.
    #[error("asking {peer}: nothing heard for {SILENCE:?}")]
    Silent {
        /// The node.
        peer: SocketAddr,
    },
    /// The node did not begin its answer in time: others were served before.
    #[error("waiting at {peer}: not served within {QUEUE_LIMIT:?}")]
    QueueTimeout {
        /// The node.
        peer: SocketAddr,
    },
    /// The answer ended before its last part.
    #[error("asking {peer}: the answer broke off")]
    Broken {
        /// The node.
        peer: SocketAddr,
    },
    /// The answer says what it may not.
    #[error("asking {peer}: {detail}")]
    Malformed {
        /// The node.
        peer: SocketAddr,
        /// What is wrong.
        detail: String,
    },
    /// The answer is larger than any should be.
    #[error("asking {peer}: the answer is beyond {most} bytes")]
    TooLarge {
        /// The node.
        peer: SocketAddr,
        /// The limit, in bytes.
        most: usize,
    },
    /// The node named no node that can be asked, or one too many.
    #[error("asking {peer}: sent elsewhere, to {address}")]
    Misdirected {
        /// The node.
        peer: SocketAddr,
        /// The node that it named.
        address: String,
    },
    /// What came cannot be used.
    #[error("asking {peer}: what came is not used")]
    Unusable {
        /// The node.
        peer: SocketAddr,
    },
}

impl RpcError {
    /// The label of its metric.
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

/// The nodes that have been asked in vain since the last answer.
///
/// A node may be heard and yet not be reached, or say that it has what it does not give, and each such
/// costs up to a second. So all others are asked before one of these is asked again.
#[derive(Debug, Default)]
pub struct Failures {
    nodes: SmallVec<[NodeId; 4]>,
    in_a_row: u32,
}

impl Failures {
    /// Notes that a node was asked in vain. Gives how often in a row that has been so now.
    pub fn note(&mut self, node: NodeId) -> u32 {
        self.nodes.push(node);
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.in_a_row
    }

    /// Notes an answer.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Picks one of `nodes`: of those that have not failed, or of all if all have.
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

/// What a node has replied.
#[derive(Debug)]
pub enum Reply<T> {
    /// The whole answer.
    Whole(T),
    /// Another node to call.
    Referral(SocketAddr),
}

impl<T> Reply<T> {
    /// Reads the node to ask in place of `peer`, which is neither `peer` nor the asking node `me`.
    ///
    /// # Errors
    /// It cannot be asked.
    pub fn referral(address: String, peer: SocketAddr, me: SocketAddr) -> Result<Self, RpcError> {
        match address.parse() {
            Ok(next) if next != me && next != peer => Ok(Reply::Referral(next)),
            Ok(_) | Err(_) => Err(RpcError::Misdirected { peer, address }),
        }
    }
}

/// Asks a node, and those that it sends this one to. Gives who told it in the end.
///
/// # Errors
/// One of them does not answer, or they send it on for too long.
pub async fn referred<T, F>(
    first: SocketAddr,
    ask: impl Fn(SocketAddr) -> F,
) -> Result<(SocketAddr, T), RpcError>
where
    F: Future<Output = Result<Reply<T>, RpcError>>,
{
    let mut peer = first;
    for _ in 0..MOST_REFERRALS {
        match ask(peer).await? {
            Reply::Whole(told) => return Ok((peer, told)),
            Reply::Referral(next) => peer = next,
        }
    }
    Err(RpcError::Misdirected { peer, address: peer.to_string() })
}

/// Connects to a node.
///
/// # Errors
/// It cannot be reached.
pub async fn connect(peer: SocketAddr) -> Result<FleetClient<Channel>, RpcError> {
    let failed = |error: tonic::transport::Error| {
        let detail = error.to_string();
        RpcError::Connect { peer, detail }
    };
    let endpoint = Endpoint::from_shared(format!("http://{peer}")).map_err(failed)?;
    let channel = endpoint.connect_timeout(CONNECT_LIMIT).connect().await.map_err(failed)?;
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
    /// It does not.
    pub async fn begin(
        peer: SocketAddr,
        call: impl Future<Output = Result<Response<Streaming<T>>, Status>>,
    ) -> Result<Self, RpcError> {
        let answer = timeout(SILENCE, call).await.map_err(|_| RpcError::Silent { peer })?;
        let answer = answer.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
        Ok(Self { peer, parts: answer.into_inner(), asked: Instant::now() })
    }

    /// The next part. `waits` says that this node has got nothing yet but signs that it has to wait.
    ///
    /// # Errors
    /// There is none, it does not come, or the turn does not.
    pub async fn next(&mut self, waits: bool) -> Result<T, RpcError> {
        let peer = self.peer;
        if waits && self.asked.elapsed() > QUEUE_LIMIT {
            return Err(RpcError::QueueTimeout { peer });
        }
        let part = timeout(SILENCE, self.parts.message()).await;
        let part = part.map_err(|_| RpcError::Silent { peer })?;
        let part = part.map_err(|s| RpcError::Refused { peer, status: Box::new(s) })?;
        part.ok_or(RpcError::Broken { peer })
    }
}
