//! Backups of the store. A restore loses all writes made after the backup, and later writes reuse
//! their revisions.

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

/// A write of the operator or a runner, by kind and name; the spec is `None` for a removal.
pub(super) type Write = ((String, String), Option<Value>);

/// A backup of the store.
#[derive(Clone, Debug)]
pub struct Backup {
    objects: Objects,
    events: VecDeque<Event>,
    compacted: u64,
    revision: u64,
    /// The number of writes of the operator and the runners before the backup.
    writes: usize,
}

impl Backup {
    fn of(inner: &Inner) -> Self {
        Self {
            objects: inner.objects.clone(),
            events: inner.events.clone(),
            compacted: inner.compacted,
            revision: inner.revision,
            writes: inner.writes.len(),
        }
    }
}

impl Store {
    /// Takes a backup.
    pub fn backup(&self) -> Backup {
        Backup::of(&lock(&self.inner))
    }

    /// Restores a backup: later writes are lost, the era rises by one, and watches are aborted. Returns
    /// the lost writes of the operator and the runners, for them to replay.
    pub fn restore(&self, copy: &Backup) -> LostWrites {
        let mut inner = lock(&self.inner);
        let mut lost = BTreeMap::new();
        let kept = copy.writes.min(inner.writes.len());
        for (key, content) in inner.writes.drain(kept..) {
            lost.insert(key, content);
        }
        inner.objects = copy.objects.clone();
        inner.events = copy.events.clone();
        (inner.compacted, inner.revision) = (copy.compacted, copy.revision);
        inner.era += 1;
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
        LostWrites { writes: lost.into_iter().collect(), since: kept }
    }

    /// Replays lost writes all at once.
    pub fn replay(&self, lost: &LostWrites) {
        for write in &lost.writes {
            self.replay_one(write, lost.since);
        }
    }

    /// Replays lost writes within `longest`, in an order and with pauses drawn from `seed`.
    pub async fn replay_shuffled(&self, lost: &LostWrites, seed: u64, longest: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut writes = lost.writes.clone();
        writes.shuffle(&mut rng);
        let pause = longest / u32::try_from(writes.len().max(1)).unwrap_or(u32::MAX);
        for write in &writes {
            sleep(pause.mul_f64(rng.random())).await;
            self.replay_one(write, lost.since);
        }
    }

    /// Replays one write, unless the object has been written since the restore.
    fn replay_one(&self, (key, content): &Write, since: usize) {
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

    /// The current era.
    pub fn era(&self) -> u64 {
        lock(&self.inner).era
    }

    /// Sends these values in the era header of all responses in place of the current era.
    pub fn override_era(&self, values: &[&str]) {
        lock(&self.inner).era_override =
            Some(values.iter().map(|value| (*value).to_owned()).collect());
    }

    /// Sends the current era again.
    pub fn clear_era_override(&self) {
        lock(&self.inner).era_override = None;
    }
}

/// The writes of the operator and the runners that a restore lost: the last one of each object.
#[derive(Clone, Debug)]
pub struct LostWrites {
    writes: Vec<Write>,
    /// The number of writes that the restore kept.
    since: usize,
}
