//! Serving on a platform that stores the configuration and the register of runners.
//!
//! All nodes are equal. Each watches the platform's store or learns from nodes that do, exchanges
//! its load with the other nodes, and serves requests: it routes and admits them, chooses runners,
//! and returns a complete response or an accurate refusal.

pub mod answer;
pub mod beat;
pub mod connection;
pub mod copy;
pub mod crash;
pub mod duty;
pub mod follow;
mod follower;
pub mod generation;
pub mod inventory;
pub mod join;
pub mod knowledge;
pub mod listener;
pub mod metrics;
pub mod order;
pub mod pack;
pub mod peer;
pub mod pending;
pub mod plain;
pub mod quarantine;
pub mod request;
pub mod rpc;
pub mod run;
pub mod scheduler;
pub mod settings;
pub mod shared;
pub mod store;
pub mod ticket;
pub mod transfer;
