//! Drains that runners announce in their responses, and gossip of them.
//!
//! The register announces drains too, but not while the store is unavailable. A drain lasts until
//! the runner's process ends.
//!
//! A store that was restored from a backup may list runners that have left since the backup. Nodes
//! that know better pass that on, for nodes that have started since.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::outbox::Outbox;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use sardinepick_lib::id::RunnerId;
use tokio::sync::Notify;

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// How long it is passed on that a runner has left which a restored backup lists: the store's other
/// writers write again within seconds.
const DEPARTED_TIME: Duration = Duration::from_secs(30);
/// The maximum number of such runners.
const MAX_DEPARTED: usize = 256;

/// The drains that runners have announced, as known to one node.
pub struct Drains {
    register: Arc<Mutex<Register>>,
    outbox: Mutex<Outbox>,
    /// Incarnations that have left although a restored backup lists them, and when that was noticed.
    departed: Mutex<HashMap<Tag, Instant>>,
    /// Triggers gossip without delay.
    wake: Arc<Notify>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl Drains {
    /// Creates an empty set of drains.
    pub fn new(
        register: Arc<Mutex<Register>>,
        wake: Arc<Notify>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let (outbox, departed) = Default::default();
        Self { register, outbox, departed, wake, clock, metrics }
    }

    /// Records that a runner announced its drain in its response to `request`.
    pub fn note_answer(&self, registration: &Registration, request: &str) {
        let is_new =
            lock(&self.register).registered_mut(registration).is_some_and(Runner::note_leaving);
        if is_new {
            log::info!(
                runner:% = registration.id, request = request, source = "answer";
                "runner leaves by its own word"
            );
            self.queue_gossip(Tag::of(&registration.id, registration.born), "answer");
        }
    }

    /// Records that the store lists an incarnation of a runner that is known to have left.
    pub fn note_departed(&self, id: &RunnerId, tag: Tag) {
        let now = self.clock.now();
        {
            let mut departed = lock(&self.departed);
            departed.retain(|_, since| now.saturating_duration_since(*since) < DEPARTED_TIME);
            if departed.contains_key(&tag) || departed.len() >= MAX_DEPARTED {
                return;
            }
            departed.insert(tag, now);
        }
        log::info!(runner:% = id; "runner listed by the store has left");
        self.queue_gossip(tag, "store");
    }

    fn is_departed(&self, tag: Tag) -> bool {
        let now = self.clock.now();
        let departed = lock(&self.departed);
        departed.get(&tag).is_some_and(|at| now.saturating_duration_since(*at) < DEPARTED_TIME)
    }

    /// Applies gossip of another node.
    pub fn apply_gossip(&self, tags: &[Tag], from: &str) {
        for tag in tags {
            let id = {
                let mut register = lock(&self.register);
                let runner = register.by_tag_mut(*tag);
                let Some(runner) = runner.filter(|runner| !runner.is_leaving()) else { continue };
                runner.note_leaving();
                runner.entry.id.clone()
            };
            log::info!(runner:% = id, request = "", source = from; "runner leaves by its own word");
            self.queue_gossip(*tag, "node");
        }
    }

    fn queue_gossip(&self, tag: Tag, source: &str) {
        self.metrics.leaving_runners.with_label_values(&[source]).inc();
        lock(&self.outbox).push(tag, self.clock.now());
        self.wake.notify_one();
    }

    /// The drains to send with the next heartbeat; with `again` also those that earlier heartbeats
    /// have sent.
    pub fn next_gossip(&self, again: bool) -> Vec<Tag> {
        let mut outbox = lock(&self.outbox);
        let register = lock(&self.register);
        let mut tags = Vec::new();
        for (tag, _) in outbox.take(again, self.clock.now()) {
            if register.by_tag(tag).is_some() || self.is_departed(tag) {
                tags.push(tag);
            } else {
                outbox.forget(tag);
            }
        }
        tags
    }

    /// All runners that have announced a drain, or have left although the store lists them.
    pub fn all(&self) -> Vec<Tag> {
        let departed: Vec<Tag> = lock(&self.departed).keys().copied().collect();
        let register = lock(&self.register);
        let leaving = register.runners().filter(|runner| runner.has_announced_leaving());
        leaving.map(|runner| runner.entry.tag()).chain(departed).collect()
    }

    /// Whether there are drains that no heartbeat has sent yet.
    pub fn has_pending_gossip(&self) -> bool {
        lock(&self.outbox).has_new()
    }
}
