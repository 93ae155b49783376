//! The memory of a runner, which is a bound for the sum of what all nodes send to it.
//!
//! The scheduler of a pool places all work of its runners and knows how much they hold. A node that
//! decides alone does not know what the others send at the same time. If each keeps to its share,
//! all together never send a runner more than it can hold. A few nodes of each runner, chosen by
//! rendezvous hashing, have a large share, so that large work finds a runner at every node; with
//! equal shares it would find none at any.

use std::time::{Duration, Instant};

use crate::fleet::engine::{Engine, Stage, Work};
use crate::fleet::runner::Runner;
use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::{NodeId, RunnerId};

/// The number of nodes with a large share of a runner. With as many runners as nodes, one node in
/// 3,000 has a large share of none.
const MAIN_NODES: usize = 8;
/// The part of the memory that is divided among them; the other nodes share the rest.
const MAIN_PART: f64 = 0.8;

/// What a decision knows of the memory of runners.
#[derive(Clone, Copy)]
pub enum Room<'a> {
    /// Runners with room are preferred, but others are used if there are none.
    Preferred,
    /// All work of the runners is known: none is sent more than it can hold.
    Known,
    /// Only this node's work is known: a runner is sent no more than this fraction of its memory.
    Share(&'a dyn Fn(&RunnerId) -> f64),
}

impl Room<'_> {
    /// How long new work waits until the runner has room for it; `None` if it has room.
    pub fn wait(
        self,
        runner: &Runner,
        work: &Work,
        engine: &Engine,
        now: Instant,
    ) -> Option<Duration> {
        let tokens = match runner.entry.stage {
            Some(Stage::Prefill) => work.prompt,
            _ => work.footprint(),
        };
        let load = runner.load(now);
        let by_share = match self {
            Room::Preferred => return None,
            Room::Known => None,
            Room::Share(share) => {
                let own = (engine.memory as f64 * share(&runner.entry.id)) as u64;
                let own = Engine { memory: own, ..*engine };
                (!runner.has_room(&runner.own, &own, tokens)).then_some(runner.own.tokens)
            }
        };
        if by_share.is_none() && runner.has_room(&load, engine, tokens) {
            return None;
        }
        // What the runner holds is released within the time of a stream.
        let held = by_share.unwrap_or(load.tokens).max(1);
        let part = (tokens as f64 / held as f64).min(1.0);
        Some(Duration::from_secs_f64(runner.stream_time * part))
    }
}

/// The fraction of a runner's memory that the node `me` may use, by its own count, while it decides
/// alone. `others` are all other nodes that may do so.
pub fn share<'a>(runner: &RunnerId, me: &NodeId, others: impl Iterator<Item = &'a NodeId>) -> f64 {
    let key = stable_hash(0, runner.as_str().as_bytes());
    let weight = |id: &NodeId| rendezvous_weight(key, id.as_str().as_bytes());
    let mine = weight(me);
    let (mut nodes, mut before) = (1, 0);
    for other in others {
        nodes += 1;
        before += usize::from((weight(other), other) > (mine, me));
    }
    if nodes <= MAIN_NODES {
        return 1.0 / nodes as f64;
    }
    if before < MAIN_NODES {
        MAIN_PART / MAIN_NODES as f64
    } else {
        (1.0 - MAIN_PART) / (nodes - MAIN_NODES) as f64
    }
}
