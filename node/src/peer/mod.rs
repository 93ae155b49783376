//! How nodes talk to each other: datagrams for membership and loads, calls for the rest.

pub mod client;
pub mod gossip;
pub mod server;
