//! Fair shares: divides the capacity of a pool among the client accounts that request it.
//!
//! Work that no runner has room for waits at the scheduler of the pool, where it can still be
//! reordered. The account that used least of late comes first, relative to its weight. Use is
//! forgotten exponentially, so that whatever a scheduler does not know or knows wrongly (it has just
//! started, was partitioned, or was told false costs) affects shares for a few seconds only.
//!
//! The state is the [`Ledger`], which holds the recent use of accounts, and the [`Queue`], which
//! holds the waiting work. Time is passed in.

mod account;
mod cost;
mod ledger;
mod line;
mod queue;

pub use account::{Account, Weight};
pub use cost::{Cost, Runner, Usage};
pub use ledger::Ledger;
pub use queue::{Bounds, Queue, Reason, Refused, Released, Ticket, Work};

use std::time::Duration;

/// The time constant with which use is forgotten. The page on load requires that wrong knowledge
/// affects shares for at most 2 s.
pub const WINDOW: Duration = Duration::from_secs(2);
