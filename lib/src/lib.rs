//! The core of sardinepick: decisions and state, without sockets, files, clocks or randomness of
//! its own. Each part is a state machine that takes events and the time as input and returns
//! actions.

pub mod account;
pub mod admit;
pub mod assignment;
pub mod baseline;
pub mod budget;
pub mod choose;
pub mod claim;
pub mod clock;
pub mod config;
pub mod config_fetch;
pub mod decimal;
pub mod directory;
pub mod fleet;
pub mod gossip;
pub mod hash;
pub mod history;
pub mod id;
pub mod language;
pub mod lease;
pub mod member;
pub mod order;
pub mod outcome;
pub mod owner;
pub mod query;
pub mod rank;
pub mod role;
pub mod runner;
pub mod scale;
pub mod unit;
pub mod usage;
pub mod wall_clock;
