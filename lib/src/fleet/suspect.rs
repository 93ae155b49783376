//! Requests under which runners have ended, and how often.
//!
//! When a runner ends, all that was under way there is suspected of it, though it is one request at
//! the most and often none. What tells them apart is how far they get. A request that ends its
//! runners gets no further at the next one than it did at the last; one that was there by bad luck
//! goes on elsewhere, and that clears it of the ends before.
//!
//! A request may come to any node, so two nodes count its ends for all: those of highest weight for
//! its fingerprint. Each node besides counts what it sees itself, for when it reaches neither.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::fingerprint::Fingerprint;
use super::runner::Tag;
use crate::hash::{rendezvous_weight, stable_hash};
use crate::id::NodeId;

/// How many runners have to end under a request before it is held back. One or two can be chance
/// where a third of the runners is lost at once.
pub const ENDS: usize = 3;
/// How many nodes count the ends of a request. The second counts on when the first is lost.
pub const COUNTING: usize = 2;
/// By how many events a request must get further to be cleared. A request that ends its runner some
/// time after it began, and not at a certain token, gives an event more now and one less then.
const FURTHER: u64 = 3;
/// How long ends are remembered after the last one.
const MEMORY: Duration = Duration::from_secs(600);
/// How long the only end of a request is remembered where there is no room.
const SHORT_MEMORY: Duration = Duration::from_secs(10);
/// The most requests whose ends are remembered.
const MOST: usize = 4_096;
/// The most ends that are remembered of one request.
pub const MOST_ENDS: usize = 8;

/// How far a run had come when its runner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reach {
    /// How many events of the answer the caller had.
    pub events: u64,
    /// Whether the head of the runner's answer had come. Without it the request may have waited there.
    pub begun: bool,
}

/// The end of a runner under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// The life of the runner that ended.
    pub life: Tag,
    /// How far the request had come.
    pub reach: Reach,
}

/// One request's ends.
#[derive(Clone, Debug)]
pub struct Suspect {
    ends: SmallVec<[End; 4]>,
    first: Instant,
    last: Instant,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self { ends: SmallVec::new(), first: now, last: now }
    }

    /// The ends that count against it.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// When the first of them was noted.
    pub fn first(&self) -> Instant {
        self.first
    }

    fn note(&mut self, end: End, now: Instant) {
        self.last = now;
        if let Some(known) = self.ends.iter_mut().find(|known| known.life == end.life) {
            // Two runs of it were there; the one that got furthest tells the most.
            known.reach.events = known.reach.events.max(end.reach.events);
            known.reach.begun |= end.reach.begun;
            return;
        }
        let furthest = self.ends.iter().map(|known| known.reach.events).max().unwrap_or(0);
        if end.reach.events + FURTHER <= furthest {
            // It has come past this point elsewhere.
            return;
        }
        self.ends.retain(|known| known.reach.events + FURTHER > end.reach.events);
        if self.ends.is_empty() {
            self.first = now;
        }
        if self.ends.len() < MOST_ENDS {
            self.ends.push(end);
        }
    }
}

/// All requests that are suspected, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct Suspects(HashMap<Fingerprint, Suspect>);

impl Suspects {
    /// Notes that a runner has ended under a request, and gives how many ends count against it.
    pub fn note(&mut self, request: Fingerprint, end: End, now: Instant) -> usize {
        if self.0.len() >= MOST && !self.0.contains_key(&request) {
            self.make_room(now);
        }
        let suspect = self.0.entry(request).or_insert_with(|| Suspect::new(now));
        suspect.note(end, now);
        suspect.ends.len()
    }

    /// Whoever sends many different requests as runners end must not push out those that matter.
    fn make_room(&mut self, now: Instant) {
        let age = |suspect: &Suspect| now.saturating_duration_since(suspect.last);
        self.0.retain(|_, s| s.ends.len() > 1 || age(s) < SHORT_MEMORY);
        if self.0.len() >= MOST {
            let least = self.0.iter().min_by_key(|(_, s)| (s.ends.len(), s.last));
            let least = least.map(|(request, _)| *request);
            least.map(|request| self.0.remove(&request));
        }
    }

    /// What is known of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.0.get(request)
    }

    /// Forgets the ends of a request that has been cleared.
    pub fn clear(&mut self, request: &Fingerprint) {
        self.0.remove(request);
    }

    /// Takes ends that another request accounts for off all but that one.
    pub fn excuse(&mut self, lives: &[Tag], but: &Fingerprint) {
        for (request, suspect) in &mut self.0 {
            if request != but {
                suspect.ends.retain(|end| !lives.contains(&end.life));
            }
        }
        self.0.retain(|_, suspect| !suspect.ends.is_empty());
    }

    /// Forgets what is long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, suspect| now.saturating_duration_since(suspect.last) < MEMORY);
    }

    /// How many requests are suspected.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The nodes that count the ends of a request, the first of them first. All nodes that know the same
/// ones choose the same.
pub fn counting<'a>(
    request: &Fingerprint,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> SmallVec<[&'a NodeId; COUNTING]> {
    let key = stable_hash(0, request.as_bytes());
    let mut weighed: Vec<(u64, &NodeId)> =
        nodes.map(|id| (rendezvous_weight(key, id.as_str().as_bytes()), id)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.into_iter().take(COUNTING).map(|(_, id)| id).collect()
}
