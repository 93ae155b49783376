//! How many runners a service has in each data centre.

pub mod need;
pub mod plan;
