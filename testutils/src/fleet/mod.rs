//! Fakes of the platform, which speak its published protocol: the object store, runners of plain
//! services and model engines, callers, and the heartbeat of a node.

pub mod caller;
pub mod crash_soak;
pub mod crashing_runner;
pub mod deployment;
pub mod drain_soak;
pub mod heartbeat;
pub mod kept_soak;
pub mod killable_node;
pub mod link;
pub mod network;
pub mod overlap;
pub mod partition_soak;
pub mod platform;
pub mod proxy;
pub mod rate_limit;
pub mod raw_caller;
pub mod repeater;
pub mod response_soak;
pub mod runner;
pub mod signal;
pub mod soak;
pub mod spoiler;
pub mod stop;
pub mod store;
pub mod template;
pub mod traffic;
