//! Copies of the store from which it comes back: what was written after a copy is lost, and revisions
//! are given out again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::Value;
use tokio::time::sleep;

use super::{Event, Inner, Store, lock};

/// The objects of the store by kind and name.
pub(super) type Objects = BTreeMap<(String, String), Value>;

/// A write of the operator or a runner, by kind and name; no content where the object was removed.
pub(super) type Write = ((String, String), Option<Value>);

/// The store as it was once.
#[derive(Clone, Debug)]
pub struct Copy {
    objects: Objects,
    events: VecDeque<Event>,
    forgotten: u64,
    revision: u64,
    /// How many writes of the operator and the runners there had been.
    writes: usize,
}

impl Copy {
    fn of(inner: &Inner) -> Self {
        Self {
            objects: inner.objects.clone(),
            events: inner.events.clone(),
            forgotten: inner.forgotten,
            revision: inner.revision,
            writes: inner.writes.len(),
        }
    }
}

impl Store {
    /// Takes a copy.
    pub fn copy(&self) -> Copy {
        Copy::of(&lock(&self.inner))
    }

    /// Comes back from a copy: all that was written since is gone, and its era rises by one. Watches
    /// are cut off. Gives what the operator and the runners had written since, which they have not
    /// written again yet.
    pub fn restore(&self, copy: &Copy) -> LostWrites {
        let mut inner = lock(&self.inner);
        let mut lost = BTreeMap::new();
        let kept = copy.writes.min(inner.writes.len());
        for (key, content) in inner.writes.drain(kept..) {
            lost.insert(key, content);
        }
        inner.objects = copy.objects.clone();
        inner.events = copy.events.clone();
        (inner.forgotten, inner.revision) = (copy.forgotten, copy.revision);
        inner.era += 1;
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
        LostWrites { writes: lost.into_iter().collect(), since: kept }
    }

    /// Writes again what was lost, all at once.
    pub fn replay(&self, lost: &LostWrites) {
        for write in &lost.writes {
            self.write_one(write, lost.since);
        }
    }

    /// Writes again what was lost, in an order and with pauses drawn from `seed`, within `longest`.
    pub async fn replay_shuffled(&self, lost: &LostWrites, seed: u64, longest: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut writes = lost.writes.clone();
        writes.shuffle(&mut rng);
        let pause = longest / u32::try_from(writes.len().max(1)).unwrap_or(u32::MAX);
        for write in &writes {
            sleep(pause.mul_f64(rng.random())).await;
            self.write_one(write, lost.since);
        }
    }

    /// Writes one object again, unless its writer has written it since.
    fn write_one(&self, (key, content): &Write, since: usize) {
        let is_newer = |writes: &[Write]| writes.iter().any(|(written, _)| written == key);
        if lock(&self.inner).writes.get(since..).is_some_and(is_newer) {
            return;
        }
        let (kind, name) = key;
        match content {
            Some(content) => self.put(kind, name, content),
            None => self.remove(kind, name),
        }
    }

    /// The era that its answers name.
    pub fn era(&self) -> u64 {
        lock(&self.inner).era
    }

    /// Has its answers name the era with these values, whatever it is.
    pub fn override_era(&self, values: &[&str]) {
        lock(&self.inner).shown_era =
            Some(values.iter().map(|value| (*value).to_owned()).collect());
    }

    /// Has its answers name the era that it is.
    pub fn clear_era_override(&self) {
        lock(&self.inner).shown_era = None;
    }
}

/// What the operator and the runners had written after a copy, the last write of each object.
#[derive(Clone, Debug)]
pub struct LostWrites {
    writes: Vec<Write>,
    /// How many writes there had been once they were lost.
    since: usize,
}
