//! Usage accounting: the number of requests per client account that started in each time window.
//!
//! Every node counts its own requests ([`tally`]) and sends the counts to two collectors
//! ([`collection`]), so that they survive the loss of the node. One node at a time writes a finished
//! window to the [`ledger`] in the platform's store and reports it only afterwards, so a repeated
//! report after a failover carries the same counts.

pub mod collection;
pub mod ledger;
pub mod tally;
pub mod window;
