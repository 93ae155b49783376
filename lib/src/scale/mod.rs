//! Autoscaling: the number of runners that a service has in each data centre.

pub mod initial;
pub mod need;
pub mod plan;
pub mod record;
pub mod spread;
