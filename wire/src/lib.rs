//! Messages between nodes, and their conversion to and from the types of the core.

/// Code generated from `proto/peer.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod generated {
    include!("generated/sardinepick.wire.rs");
}

/// Code generated from `proto/fleet.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod fleet {
    include!("generated/sardinepick.fleet.rs");
}

mod age;
pub mod beat;
pub mod claim;
pub mod error;
pub mod gossip;
pub mod limit;
pub mod load;
pub mod mark;
pub mod part_quarantine;
pub mod quarantine;
pub mod schedule;
pub mod usage;

pub use generated::peers_client::PeersClient;
pub use generated::peers_server::{Peers, PeersServer};
