//! Gossip of rate limits, which goes with heartbeats. Nothing is sent while there are no limits.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::limit::{Announced, Announcement};
use sardinepick_lib::fleet::runner::Tag;

use super::{Limiter, log_change};
use crate::lock::lock;

/// For how long the end of a limit is sent again. A limit in force is sent again as long as it is.
const ENDED: Duration = Duration::from_secs(30);

impl Limiter {
    /// What the next beat tells; with `again` also what beats before it have told.
    pub fn next(&self, again: bool) -> Vec<Announced> {
        let now = self.clock.now();
        let mut outbox = lock(&self.outbox);
        let register = lock(&self.register);
        let mut told = Vec::new();
        for (tag, since) in outbox.take(again, now) {
            let notice = register.by_tag(tag).and_then(|runner| runner.limit.announcement());
            match notice.filter(|notice| notice.rate.is_some() || since <= ENDED) {
                Some(notice) => told.push(announced(tag, &notice, now)),
                None => outbox.forget(tag),
            }
        }
        told
    }

    /// The limits that are there.
    pub fn all(&self) -> Vec<Announced> {
        let now = self.clock.now();
        let register = lock(&self.register);
        let limited = register.runners().filter_map(|runner| {
            let notice = runner.limit.announcement().filter(|notice| notice.rate.is_some())?;
            Some(announced(runner.entry.tag(), &notice, now))
        });
        limited.collect()
    }

    /// Whether there is a change that no beat has told yet.
    pub fn has_news(&self) -> bool {
        lock(&self.outbox).has_new()
    }

    /// Takes in what another node tells.
    pub fn take(&self, told: &[Announced], from: &str) {
        let now = self.clock.now();
        for Announced { runner: tag, rate, age } in told {
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
                // The other node does not know what this one has heard since.
                lock(&self.outbox).push(*tag, now);
                self.wake.notify_one();
            }
        }
    }
}

fn announced(runner: Tag, notice: &Announcement, now: Instant) -> Announced {
    Announced { runner, rate: notice.rate, age: now.saturating_duration_since(notice.at) }
}
