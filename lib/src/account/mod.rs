//! Client accounts and the keys by which their requests are known.

pub mod directory;
pub mod freshness;
