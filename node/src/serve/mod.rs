//! Serving on a platform that keeps configuration and runners.
//!
//! Every node is alike. It follows the platform's store, tells the other nodes what it has under
//! way, and takes requests: a route, the gate, a choice of runners, and an answer that is whole, or
//! a refusal that is true.

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
