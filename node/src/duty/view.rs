//! A snapshot of the other nodes, as far as the duties need it.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepick_lib::id::NodeId;
use sardinepick_lib::lease::Holder;
use sardinepick_lib::usage::collection::NodeLifetime;
use sardinepick_lib::usage::tally::NodeInstance;
use smallvec::SmallVec;

/// How many nodes collect the data that the holder of the duties needs.
pub const COLLECTORS: usize = 2;

/// The nodes at one point in time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The highest-ranked nodes for the duties with their addresses, the first in rank in front.
    pub first: SmallVec<[(NodeInstance, SocketAddr); COLLECTORS]>,
    /// The lifetimes of all known node processes, including this node's own.
    pub lifetimes: Vec<NodeLifetime>,
}

impl View {
    /// Whether a node is the first in rank.
    pub fn is_first(&self, id: &NodeId) -> bool {
        self.first.first().is_some_and(|(first, _)| first.node == *id)
    }

    /// Whether the process of a holder is known to have ended, because its node runs a later one.
    pub fn is_gone(&self, holder: &Holder) -> bool {
        self.lifetimes.iter().any(|lifetime| {
            lifetime.node == holder.name && lifetime.incarnation > holder.incarnation
        })
    }

    /// The collectors, without their addresses.
    pub fn collectors(&self) -> SmallVec<[NodeInstance; COLLECTORS]> {
        self.first.iter().map(|(collector, _)| collector.clone()).collect()
    }
}

/// Returns the current view.
pub type Views = Arc<dyn Fn() -> View + Send + Sync>;
