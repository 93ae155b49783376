//! Client accounts and the API keys that identify their requests.

pub mod directory;
pub mod freshness;
