//! The serving core on a platform that stores configuration and a register of runners: routing,
//! placement, admission control and the state of runners and nodes.

pub mod admission;
pub mod back_off;
pub mod balance;
pub mod budget;
pub mod cache;
pub mod caller_connection;
pub mod deadline;
pub mod digest;
pub mod engine;
pub mod event;
pub mod fanout;
pub mod fingerprint;
pub mod handover;
pub mod health;
pub mod limit;
pub mod load;
pub mod outage;
pub mod outbox;
pub mod part;
pub mod part_quarantine;
pub mod placement;
pub mod pool;
pub mod quarantine;
pub mod reachability;
mod recent;
pub mod register;
pub mod register_digest;
pub mod register_version;
pub mod roster;
pub mod route;
pub mod runner;
pub mod scheduler;
pub mod stream_binding;
pub mod suspect;
pub mod timeout;
pub mod version;
