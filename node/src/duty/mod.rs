//! Duties that one node at a time has: orders to runners, and calls to the platform.
//!
//! One lease in the platform's store stands for all of them. The node that comes first among those
//! that take callers and that the store serves wants it whenever a duty does; where nodes disagree on
//! who that is, the lease decides.

pub mod caller;
pub mod tenure;
pub mod view;
