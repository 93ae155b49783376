//! Stand-ins for the users' platform in its published protocol: the store of objects, runners of
//! plain services and model engines, callers, and a node among them.

pub mod beat;
pub mod caller;
pub mod deployment;
pub mod ending;
pub mod link;
pub mod platform;
pub mod proxy;
pub mod rule;
pub mod runner;
pub mod signal;
pub mod soak;
pub mod store;
pub mod supervised;
