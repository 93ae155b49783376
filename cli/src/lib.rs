//! What the command line does, without a terminal: calls to a node and the forms of its answers.

pub mod client;
pub mod output;
pub mod trace;
