//! The configuration: what operators create and change, checked as a whole, kept as immutable
//! snapshots that follow one another by generation.

pub mod change;
pub mod choice;
pub mod chunk;
pub mod head;
pub mod object;
pub mod read;
pub mod record;
pub mod snapshot;
