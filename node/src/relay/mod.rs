//! Connections to runners through other nodes.
//!
//! A node that cannot reach a runner connects through a peer that can. The peer connects to the
//! runner itself, never through a third node, and forwards bytes; everything else about a request
//! stays with the node that accepted it.

pub mod client;
pub mod server;
pub mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use sardinepick_lib::fleet::holding::{Connection, Holder, Owner, Purpose, Size};
use sardinepick_lib::id::NodeId;
use thiserror::Error;
use tonic::{Code, Status};

pub use client::Client;
pub use server::Server;
pub use stream::Stream;

/// The maximum number of connections that a node forwards at a time.
pub const MAX_RELAYS: usize = 512;
/// The maximum size of the data in one message, in bytes.
pub const CHUNK_BYTES: usize = 16 << 10;
/// The flow-control window of one forwarded connection, in bytes: how much of it is buffered if its
/// reader is slow.
pub const WINDOW_BYTES: u32 = 64 << 10;
/// The flow-control window of all forwarded connections between two nodes, in bytes: slow readers
/// must not block the others.
pub const SHARED_WINDOW_BYTES: u32 = WINDOW_BYTES * MAX_RELAYS as u32;

/// What a forwarded connection takes of a node's memory at most: its window, and two messages that
/// wait to be sent.
pub const RELAY_SIZE: Size = Size(WINDOW_BYTES as u64 + 2 * CHUNK_BYTES as u64);

/// What a connection that is forwarded for, or by, another node belongs to.
fn holder(node: NodeId) -> Holder {
    Holder {
        owner: Owner::Node(node),
        connection: Connection::default(),
        purpose: Purpose::Transfer,
        class: 0,
    }
}

/// Why a connection through a peer was not established.
#[derive(Debug, Error)]
pub enum Error {
    /// The peer cannot be reached, or the connection to it broke.
    #[error("connecting to {runner} through {peer}: no connection to the peer: {detail}")]
    Disconnected {
        /// The peer.
        peer: SocketAddr,
        /// The runner's address.
        runner: SocketAddr,
        /// The cause.
        detail: String,
    },
    /// The peer runs a version that does not forward connections.
    #[error("connecting to {runner} through {peer}: not supported by the peer")]
    Unsupported {
        /// The peer.
        peer: SocketAddr,
        /// The runner's address.
        runner: SocketAddr,
    },
    /// The peer cannot reach the runner either.
    #[error("connecting to {runner} through {peer}: {detail}")]
    Unreachable {
        /// The peer.
        peer: SocketAddr,
        /// The runner's address.
        runner: SocketAddr,
        /// The peer's error.
        detail: String,
    },
    /// The peer refused to forward the connection.
    #[error("connecting to {runner} through {peer}: refused: {detail}")]
    Refused {
        /// The peer.
        peer: SocketAddr,
        /// The runner's address.
        runner: SocketAddr,
        /// The peer's reason.
        detail: String,
    },
    /// The peer did not answer in time.
    #[error("connecting to {runner} through {peer}: no answer within {limit:?}")]
    TimedOut {
        /// The peer.
        peer: SocketAddr,
        /// The runner's address.
        runner: SocketAddr,
        /// The time limit.
        limit: Duration,
    },
}

impl Error {
    /// Interprets the status of a call that `peer` did not accept.
    fn from_status(peer: SocketAddr, runner: SocketAddr, status: &Status) -> Self {
        let detail = status.message().to_owned();
        // Only a status that was made from a local error has a source.
        if std::error::Error::source(status).is_some() {
            return Error::Disconnected { peer, runner, detail };
        }
        match status.code() {
            Code::Unimplemented => Error::Unsupported { peer, runner },
            Code::Unavailable => Error::Unreachable { peer, runner, detail },
            _ => Error::Refused { peer, runner, detail },
        }
    }

    /// The outcome as a metric label.
    pub fn outcome(&self) -> &'static str {
        match self {
            Error::Disconnected { .. } => "disconnected",
            Error::Unsupported { .. } => "unsupported",
            Error::Unreachable { .. } => "unreachable",
            Error::Refused { .. } => "refused",
            Error::TimedOut { .. } => "timed_out",
        }
    }

    /// Returns whether the connection to the peer itself failed.
    fn is_disconnected(&self) -> bool {
        matches!(self, Error::Disconnected { .. })
    }
}
