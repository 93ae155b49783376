//! What a caller's connection is doing, and when it is closed.
//!
//! A connection is closed for its idleness only while it is idle: no request is in progress, the
//! first byte of the next one has not been read, and all bytes of the last response have been sent.

mod close;
pub mod eviction;
mod progress;

pub use self::close::{Action, Cause, Close};
pub use self::progress::{ExchangeNumber, Progress, State, Unanswered};
