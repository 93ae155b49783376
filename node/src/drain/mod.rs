//! Drains that runners announce in their responses, and gossip of them.
//!
//! The register announces drains too, but not while the store is unavailable. A drain lasts until
//! the runner's process ends.

use std::sync::{Arc, Mutex};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::outbox::Outbox;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use tokio::sync::Notify;

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// The drains that runners have announced, as known to one node.
pub struct Drains {
    register: Arc<Mutex<Register>>,
    outbox: Mutex<Outbox>,
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
        Self { register, outbox: Mutex::default(), wake, clock, metrics }
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
            match register.by_tag(tag) {
                Some(_) => tags.push(tag),
                None => outbox.forget(tag),
            }
        }
        tags
    }

    /// All runners that have announced a drain.
    pub fn all(&self) -> Vec<Tag> {
        let register = lock(&self.register);
        let leaving = register.runners().filter(|runner| runner.has_announced_leaving());
        leaving.map(|runner| runner.entry.tag()).collect()
    }

    /// Whether there are drains that no heartbeat has sent yet.
    pub fn has_pending_gossip(&self) -> bool {
        lock(&self.outbox).has_new()
    }
}
