//! Streams and the version of the runner software that they are bound to.
//!
//! Runners of several versions of one service may serve side by side. What two versions generate
//! does not fit together, and runners do not check it, so a stream is bound to the version of the
//! runner whose first event has reached the caller. A caller that takes a broken stream up again
//! may do so at any node; it says only which of its attempts brought the first event.
//!
//! The node that forwards a first event therefore tells a few other nodes, unless one version alone
//! has served for longer than a stream can last ([`history`]). The nodes are chosen by rendezvous
//! hashing over the stream, so that every node knows whom to ask ([`holders`]). They remember it
//! until the stream's deadline ([`memory`]). A stream whose version is not known for sure is
//! refused ([`Evidence`]).

use sha2::{Digest as _, Sha256};
use smallvec::SmallVec;

use super::version::Version;
use crate::hash::stable_hash;
use crate::id::{AccountId, Incarnation, NodeId, ServiceId};
use crate::rank::highest_for_key;

pub mod bindings;
pub mod history;
pub mod memory;

pub use self::bindings::{Bindings, Bound, Known};
pub use self::history::{Seen, Versions, horizon_of};

/// The number of nodes that are told of a stream's binding.
pub const HOLDERS: usize = 2;
/// The number of nodes that are asked for a binding. More than are told, because nodes may have
/// joined since.
pub const ASKED: usize = 4;

/// The number of long-running nodes that are asked besides.
pub const WITNESSES: usize = 2;

/// Identifies a stream: a hash of its client account, and a hash of the id of the attempt that
/// brought its first event. The account is part of it, so that no account can name the streams of
/// another.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamKey {
    /// The hash of the account.
    pub account: u64,
    /// The hash of the attempt's id.
    pub id: u64,
}

impl StreamKey {
    /// The key of the stream whose first event was brought by attempt `id` of an account.
    pub fn new(account: Option<&AccountId>, id: &str) -> Self {
        // No account has an empty name.
        let account = account.map_or(&b""[..], |account| account.as_str().as_bytes());
        Self { account: digest(account), id: digest(id.as_bytes()) }
    }
}

/// The first 64 bits of a collision-resistant hash: callers choose ids.
fn digest(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

/// What a stream is bound to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Binding {
    /// The service.
    pub service: ServiceId,
    /// The version of the software of the runners that may continue the stream.
    pub version: Version,
}

/// The nodes that hold the binding of a stream, the most preferred first. All nodes that know the
/// same nodes choose the same ones.
pub fn holders<'a>(
    stream: StreamKey,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> SmallVec<[&'a NodeId; HOLDERS]> {
    preferred(stream, nodes, HOLDERS)
}

fn preferred<'a>(
    stream: StreamKey,
    nodes: impl Iterator<Item = &'a NodeId>,
    count: usize,
) -> SmallVec<[&'a NodeId; HOLDERS]> {
    let key = stable_hash(stream.account, &stream.id.to_le_bytes());
    highest_for_key(key, nodes, |id| id, count)
}

/// The nodes that are asked for the binding of a stream: its holders, and the nodes that have run
/// longest, which are the most likely to have seen all versions.
pub fn nodes_to_ask<'a>(
    stream: StreamKey,
    nodes: impl Iterator<Item = (&'a NodeId, Incarnation)> + Clone,
) -> SmallVec<[&'a NodeId; ASKED + WITNESSES]> {
    let mut chosen: SmallVec<[&NodeId; ASKED + WITNESSES]> =
        preferred(stream, nodes.clone().map(|(id, _)| id), ASKED).into_iter().collect();
    let mut oldest: Vec<(Incarnation, &NodeId)> = nodes.map(|(id, since)| (since, id)).collect();
    oldest.sort_unstable();
    chosen.extend(oldest.into_iter().take(WITNESSES).map(|(_, id)| id));
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// What has been found out about a stream that has no binding: the versions that this node and the
/// nodes that replied have seen.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    seen: SmallVec<[Seen; ASKED + WITNESSES]>,
    asked: usize,
    replied: usize,
}

impl Evidence {
    /// Evidence from this node alone, which asks `asked` others.
    pub fn new(own: Seen, asked: usize) -> Self {
        Self { seen: [own].into_iter().collect(), asked, replied: 0 }
    }

    /// Adds the reply of another node.
    pub fn add(&mut self, seen: Seen) {
        self.seen.push(seen);
        self.replied += 1;
    }

    /// The version that the stream must be bound to, if that is certain: no other version has been
    /// seen by any node, one of the nodes has seen all versions since before the stream can have
    /// begun, and at least half of the nodes have replied. A node that is partitioned from the
    /// others may not know the newest version.
    pub fn only_version(&self) -> Option<Version> {
        if self.replied * 2 < self.asked || !self.seen.iter().any(|seen| seen.covers) {
            return None;
        }
        let mut only: Option<&Version> = None;
        for seen in &self.seen {
            match (&seen.versions, only) {
                (Versions::None, _) => {}
                (Versions::One(version), None) => only = Some(version),
                (Versions::One(version), Some(known)) if version == known => {}
                (Versions::One(_), Some(_)) | (Versions::Several, _) => return None,
            }
        }
        only.cloned()
    }
}
