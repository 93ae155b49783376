//! The configuration that operators create and change. It is validated as a whole and kept as immutable
//! snapshots that are numbered by generation.

pub mod change;
pub mod choice;
pub mod chunk;
pub mod head;
pub mod object;
pub mod read;
pub mod record;
pub mod snapshot;
