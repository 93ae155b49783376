//! Stand-ins for everything around sardinepick, and what tests, benchmarks and the trial run
//! share. The stand-ins speak the published protocols and can be told to fail.

pub mod caller;
pub mod cluster;
pub mod engine;
pub mod fleet;
pub mod invariant;
pub mod measure;
pub mod plain;
pub mod platform;
pub mod process;
pub mod server;
