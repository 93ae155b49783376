//! Stand-ins for the users' platform in its published protocol: the store of objects, runners of
//! plain services and model engines, callers, and a node among them.

pub mod beat;
pub mod caller;
pub mod crash_soak;
pub mod crashing_runner;
pub mod deployment;
pub mod link;
pub mod platform;
pub mod proxy;
pub mod rate_limit;
pub mod runner;
pub mod signal;
pub mod soak;
pub mod store;
