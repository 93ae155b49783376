//! The parts of the command line that do not need a terminal: the client of a node, and the
//! formatting of results and log lines.

pub mod account;
pub mod client;
pub mod output;
pub mod serving;
pub mod trace;
