//! Usage: how many requests of each client account began to run in each window of time.
//!
//! Every node counts its own requests ([`tally`]) and sends the counts to two others that collect
//! them ([`collection`]), so that they outlive the node. One node at a time writes a finished window
//! into the [`ledger`] that the platform's store keeps, and only then reports it: whoever reports it
//! again after a failure reports the same counts.

pub mod collection;
pub mod ledger;
pub mod tally;
pub mod window;
