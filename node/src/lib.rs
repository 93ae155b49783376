//! A node of sardinepick: sockets, timers and the platform around the core.

pub mod account;
pub mod authority;
pub mod claims;
pub mod clock;
pub mod configuration;
pub mod dump;
pub mod duty;
pub mod explain;
pub mod front;
pub mod gather;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod path;
pub mod peer;
pub mod pool;
pub mod rows;
pub mod run;
pub mod serve;
pub mod settings;
pub mod store;
pub mod sweep;
pub mod tables;
pub mod upstream;
pub mod usage;
pub mod write;
