//! Duties that one node at a time carries out: orders to runners, and calls to the platform.
//!
//! A single lease in the platform's store covers all of them. Among the nodes that accept callers
//! and are served by the store, the first in rank acquires the lease whenever there is a duty to
//! carry out; where nodes disagree on the rank, the lease decides.

pub mod caller;
pub mod lease;
pub mod view;
