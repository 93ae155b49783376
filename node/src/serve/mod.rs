//! Serving on a platform that stores the configuration and the register of runners.
//!
//! All nodes are equal. Each watches the platform's store or learns from nodes that do, exchanges
//! its load with the other nodes, and serves requests: it routes and admits them, chooses runners,
//! and returns a complete response or an accurate refusal.

mod accept;
pub mod answer;
pub mod answer_body;
pub mod cache_query;
pub mod compression;
pub mod connection;
pub mod copy;
pub mod crash;
pub mod delivery;
pub mod dial;
pub mod duty;
pub mod execution;
pub mod fair_queue;
pub mod generation;
pub mod heartbeat;
pub mod idle;
pub mod in_progress;
pub mod intake;
pub mod join;
mod kind_watch;
pub mod listener;
pub mod metrics;
mod model_state;
pub mod order;
pub mod payment;
pub mod peer;
pub mod peer_listener;
pub mod pending;
pub mod plain;
pub mod quarantine;
pub mod register_replica;
pub mod request;
pub mod reservation;
pub mod response;
pub mod resumption;
pub mod rpc;
pub mod run;
pub mod scheduler;
pub mod settings;
pub mod shared;
pub mod store;
pub mod store_watch;
pub mod transfer;
