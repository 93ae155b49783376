//! What the command line does, without a terminal: calls to a node and the forms of its answers.

pub mod account;
pub mod client;
pub mod output;
pub mod serving;
pub mod trace;
