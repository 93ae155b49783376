//! Autoscaling: the number of runners that a service has in each data centre.

pub mod need;
pub mod plan;
