//! Communication between nodes: datagrams for membership and loads, calls for everything else.

pub mod client;
pub mod gossip;
pub mod server;
