//! Drains that runners announce in their answers, and gossip of them.
//!
//! The register announces drains too, but not while the store is unavailable. A drain lasts until the
//! runner's process ends.

use std::sync::{Arc, Mutex};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::outbox::Outbox;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Registration, Runner, Tag};
use tokio::sync::Notify;

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// The drains that runners have announced, at one node.
pub struct Drains {
    register: Arc<Mutex<Register>>,
    outbox: Mutex<Outbox>,
    /// Has gossip sent at once.
    wake: Arc<Notify>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

impl Drains {
    /// A node that knows of none.
    pub fn new(
        register: Arc<Mutex<Register>>,
        wake: Arc<Notify>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        Self { register, outbox: Mutex::default(), wake, clock, metrics }
    }

    /// Notes that a runner has said in its answer to `request` that it leaves.
    pub fn note_answer(&self, stay: &Registration, request: &str) {
        let is_new = lock(&self.register).registered_mut(stay).is_some_and(Runner::note_leaving);
        if is_new {
            log::info!(
                runner:% = stay.id, request = request, source = "answer";
                "runner leaves by its own word"
            );
            self.note_news(Tag::of(&stay.id, stay.born), "answer");
        }
    }

    /// Takes in what another node tells.
    pub fn take(&self, told: &[Tag], from: &str) {
        for tag in told {
            let id = {
                let mut register = lock(&self.register);
                let runner = register.by_tag_mut(*tag);
                let Some(runner) = runner.filter(|runner| !runner.is_leaving()) else { continue };
                runner.note_leaving();
                runner.entry.id.clone()
            };
            log::info!(runner:% = id, request = "", source = from; "runner leaves by its own word");
            self.note_news(*tag, "node");
        }
    }

    fn note_news(&self, tag: Tag, source: &str) {
        self.metrics.drains.with_label_values(&[source]).inc();
        lock(&self.outbox).push(tag, self.clock.now());
        self.wake.notify_one();
    }

    /// What the next beat tells; with `again` also what beats before it have told.
    pub fn next(&self, again: bool) -> Vec<Tag> {
        let mut outbox = lock(&self.outbox);
        let register = lock(&self.register);
        let mut told = Vec::new();
        for (tag, _) in outbox.take(again, self.clock.now()) {
            match register.by_tag(tag) {
                Some(_) => told.push(tag),
                None => outbox.forget(tag),
            }
        }
        told
    }

    /// The runners that leave by their own word.
    pub fn all(&self) -> Vec<Tag> {
        let register = lock(&self.register);
        let leaving = register.runners().filter(|runner| runner.has_announced_leaving());
        leaving.map(|runner| runner.entry.tag()).collect()
    }

    /// Whether there is something that no beat has told yet.
    pub fn has_news(&self) -> bool {
        lock(&self.outbox).has_new()
    }
}
