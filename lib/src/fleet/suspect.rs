//! Counts the runners that have ended while they ran a request.
//!
//! The *end* of a runner is the unexpected loss of its process, and it is an end *under* each
//! request that was running there.
//!
//! When a runner ends, every request it was running is suspect, although at most one of them is the
//! cause and often none. Progress distinguishes them: a request that crashes its runners gets no
//! further on the next runner than on the last. A request that was running by coincidence continues
//! elsewhere, which clears it of the earlier ends.
//!
//! A request may arrive at any node, so two nodes count its ends for all: those with the highest
//! rendezvous weight for its fingerprint. Each node also counts what it sees itself, in case it can
//! reach neither.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::fingerprint::Fingerprint;
use super::runner::Tag;
use crate::hash::stable_hash;
use crate::id::NodeId;
use crate::rank::highest_for_key;

/// The number of runners that must end under a request before its quarantine is proposed. One or
/// two can be a coincidence when a third of the runners is lost at once.
pub const QUARANTINE_ENDS: usize = 3;
/// The number of nodes that count the ends of a request. The second one continues when the first is
/// lost.
pub const COUNTING_NODES: usize = 2;
/// The number of additional events by which a request must progress to be cleared. A request that
/// ends its runner a certain time after its start, rather than at a certain token, varies by an
/// event or so.
pub const MIN_PROGRESS: u64 = 3;
/// How long ends are remembered after the last one.
const RETENTION: Duration = Duration::from_secs(600);
/// How long the only end of a request is remembered when there is no room.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// The maximum number of suspect requests.
const MAX_SUSPECTS: usize = 4_096;
/// The maximum number of ends remembered for one request.
pub const MAX_ENDS: usize = 8;

/// The progress of a run when its runner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunProgress {
    /// The number of events of the answer that the caller had received.
    pub events: u64,
    /// Whether the head of the runner's answer had arrived. Without it the request may have been
    /// queued.
    pub begun: bool,
}

/// The end of a runner under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerEnd {
    /// The incarnation of the runner.
    pub incarnation: Tag,
    /// The progress of the request.
    pub progress: RunProgress,
    /// Whether the run was a trial: the only run of the request, and of all that cannot be told
    /// apart from it, in the deployment.
    pub is_trial: bool,
}

/// The ends under one request.
#[derive(Clone, Debug)]
pub struct Suspect {
    ends: SmallVec<[RunnerEnd; 4]>,
    first: Instant,
    last: Instant,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self { ends: SmallVec::new(), first: now, last: now }
    }

    /// The ends that count against the request.
    pub fn ends(&self) -> &[RunnerEnd] {
        &self.ends
    }

    /// When the first of them was recorded.
    pub fn first(&self) -> Instant {
        self.first
    }

    /// The furthest progress at any of them, in events.
    pub fn furthest(&self) -> u64 {
        self.ends.iter().map(|end| end.progress.events).max().unwrap_or(0)
    }

    fn note(&mut self, end: RunnerEnd, now: Instant) {
        self.last = now;
        if let Some(known) = self.ends.iter_mut().find(|known| known.incarnation == end.incarnation)
        {
            // Two runs of the request were on this runner; the furthest progress counts.
            known.progress.events = known.progress.events.max(end.progress.events);
            known.progress.begun |= end.progress.begun;
            known.is_trial |= end.is_trial;
            return;
        }
        if end.progress.events + MIN_PROGRESS <= self.furthest() {
            // It has progressed past this point elsewhere.
            return;
        }
        self.ends.retain(|known| known.progress.events + MIN_PROGRESS > end.progress.events);
        if self.ends.is_empty() {
            self.first = now;
        }
        if self.ends.len() < MAX_ENDS {
            self.ends.push(end);
        }
    }
}

/// All suspect requests, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct Suspects(HashMap<Fingerprint, Suspect>);

impl Suspects {
    /// Records that a runner has ended under a request. Returns the number of ends that count
    /// against it.
    pub fn note(&mut self, request: Fingerprint, end: RunnerEnd, now: Instant) -> usize {
        if self.0.len() >= MAX_SUSPECTS && !self.0.contains_key(&request) {
            self.make_room(now);
        }
        let suspect = self.0.entry(request).or_insert_with(|| Suspect::new(now));
        suspect.note(end, now);
        suspect.ends.len()
    }

    /// Requests with several ends are kept: a caller that sends many different requests while
    /// runners end must not displace them.
    fn make_room(&mut self, now: Instant) {
        let age = |suspect: &Suspect| now.saturating_duration_since(suspect.last);
        self.0.retain(|_, s| s.ends.len() > 1 || age(s) < SHORT_RETENTION);
        if self.0.len() >= MAX_SUSPECTS {
            let victim = self.0.iter().min_by_key(|(_, s)| (s.ends.len(), s.last));
            let victim = victim.map(|(request, _)| *request);
            victim.map(|request| self.0.remove(&request));
        }
    }

    /// The ends under a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.0.get(request)
    }

    /// Removes the ends of a request that has been cleared.
    pub fn clear(&mut self, request: &Fingerprint) {
        self.0.remove(request);
    }

    /// Removes entries that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, suspect| now.saturating_duration_since(suspect.last) < RETENTION);
    }

    /// The number of suspect requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The nodes that count the ends of a request, the first one first. All nodes that know the same
/// nodes choose the same ones.
pub fn choose_counting_nodes<'a>(
    request: &Fingerprint,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> SmallVec<[&'a NodeId; COUNTING_NODES]> {
    let key = stable_hash(0, request.as_bytes());
    highest_for_key(key, nodes, |id| id, COUNTING_NODES).into_iter().collect()
}
