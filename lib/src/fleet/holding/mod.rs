//! Bytes that a node holds for others: request bodies, answers, streams and relayed connections.
//!
//! A [`Ledger`] counts them by connection, owner and purpose, and decides from [`Bounds`], which are
//! derived of the node's memory, descriptors and link, what may be held, what waits, what is shed
//! and what is refused. A byte is counted before it is read, so that what does not fit stays in a
//! socket.

pub mod bounds;
pub mod holder;
pub mod ledger;
mod level;
pub mod meter;
pub mod runner;
pub mod unit;

pub use self::bounds::{Bounds, Resources};
pub use self::holder::{Connection, Holder, Owner, Purpose};
pub use self::ledger::{Full, Growth, Ledger};
pub use self::unit::{Rate, Size};
