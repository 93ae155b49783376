//! Fakes of the systems around sardinepick, and code that tests, benchmarks and the trial run share.
//! The fakes speak the published protocols and support fault injection.

pub mod caller;
pub mod cluster;
pub mod crowd;
pub mod engine;
pub mod fleet;
pub mod invariant;
pub mod measure;
pub mod plain;
pub mod platform;
pub mod process;
pub mod server;
