//! Gossip of rate limits, carried by heartbeats. Nothing is sent while there are no limits.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::limit::{Announcement, LimitReport};
use sardinepick_lib::fleet::runner::Tag;

use super::{Limiter, log_change};
use crate::lock::lock;

/// How long a lifted limit is gossiped. A limit in force is gossiped for as long as it exists.
const LIFTED_TTL: Duration = Duration::from_secs(30);

impl Limiter {
    /// The limits to send with the next heartbeat; with `again` also those that earlier heartbeats
    /// have sent.
    pub fn next_gossip(&self, again: bool) -> Vec<LimitReport> {
        let now = self.clock.now();
        let mut outbox = lock(&self.outbox);
        let register = lock(&self.register);
        let mut limits = Vec::new();
        for (tag, since) in outbox.take(again, now) {
            let announcement = register.by_tag(tag).and_then(|runner| runner.limit.announcement());
            match announcement
                .filter(|announcement| announcement.rate.is_some() || since <= LIFTED_TTL)
            {
                Some(announcement) => limits.push(announced(tag, &announcement, now)),
                None => outbox.forget(tag),
            }
        }
        limits
    }

    /// All limits in force.
    pub fn all(&self) -> Vec<LimitReport> {
        let now = self.clock.now();
        let register = lock(&self.register);
        let limited = register.runners().filter_map(|runner| {
            let announcement =
                runner.limit.announcement().filter(|announcement| announcement.rate.is_some())?;
            Some(announced(runner.entry.tag(), &announcement, now))
        });
        limited.collect()
    }

    /// Whether there are changes that no heartbeat has sent yet.
    pub fn has_pending_gossip(&self) -> bool {
        lock(&self.outbox).has_new()
    }

    /// Applies gossip of another node.
    pub fn apply_gossip(&self, limits: &[LimitReport], from: &str) {
        let now = self.clock.now();
        for LimitReport { runner: tag, rate, age } in limits {
            let Some(at) = now.checked_sub(*age) else { continue };
            let mut register = lock(&self.register);
            let Some(runner) = register.by_tag_mut(*tag) else { continue };
            let id = runner.entry.id.clone();
            let is_outdated = runner.limit.announcement().is_some_and(|known| known.at > at);
            let differs = runner.limit.rate() != *rate;
            let change = runner.limit.take_announcement(Announcement { rate: *rate, at });
            drop(register);
            if let Some(change) = change {
                log_change(&id, change, "", from);
                self.note_change(*tag, change);
            } else if differs && is_outdated {
                // The other node's information is older, so this node sends its own again.
                lock(&self.outbox).push(*tag, now);
                self.wake.notify_one();
            }
        }
    }
}

fn announced(runner: Tag, announcement: &Announcement, now: Instant) -> LimitReport {
    LimitReport {
        runner,
        rate: announcement.rate,
        age: now.saturating_duration_since(announcement.at),
    }
}
