//! The other nodes as far as duties need to know them.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepick_lib::id::NodeId;
use sardinepick_lib::lease::Holder;
use sardinepick_lib::usage::collection::NodeLifetime;
use sardinepick_lib::usage::tally::NodeInstance;
use smallvec::SmallVec;

/// By what the nodes are chosen that come first for the duties: those that also follow the store, whose
/// knowledge of it is the newest.
pub const SUBJECT: &str = "store";
/// How many nodes collect what the holder of the duties needs.
pub const COLLECTORS: usize = 2;

/// The nodes at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Those that come first for the duties, the very first in front, and where they are reached.
    pub first: SmallVec<[(NodeInstance, SocketAddr); COLLECTORS]>,
    /// All lives that are known, this node's own among them.
    pub lives: Vec<NodeLifetime>,
}

impl View {
    /// Whether a node comes first.
    pub fn is_first(&self, id: &NodeId) -> bool {
        self.first.first().is_some_and(|(first, _)| first.node == *id)
    }

    /// Whether the process of a holder is known to have ended: its node runs a later one.
    pub fn is_gone(&self, holder: &Holder) -> bool {
        self.lives
            .iter()
            .any(|life| life.node == holder.name && life.incarnation > holder.incarnation)
    }

    /// The collectors alone.
    pub fn collectors(&self) -> SmallVec<[NodeInstance; COLLECTORS]> {
        self.first.iter().map(|(collector, _)| collector.clone()).collect()
    }
}

/// Gives the nodes as they are now.
pub type Views = Arc<dyn Fn() -> View + Send + Sync>;
