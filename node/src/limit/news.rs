//! What nodes tell each other of rate limits, with their beats.
//!
//! A change goes on from each node once, as soon as it knows of it, and again with later beats for a
//! while, since datagrams are lost and nodes start late. Without limits nothing is told.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::limit::{Announced, Notice};
use sardinepick_lib::fleet::runner::Tag;

use super::{Limiter, lock, log_change};

/// The most limits that one beat tells of, at up to 24 bytes each.
pub const MOST_TOLD: usize = 16;
/// The most that a beat without news tells again.
const MOST_RETOLD: usize = 4;
/// For how long the end of a limit is told again. A limit that is there is told as long as it is.
const ENDED: Duration = Duration::from_secs(30);

/// What is to be told.
#[derive(Debug, Default)]
pub(super) struct News {
    /// The limits that have changed, and when each was told last; none if it is yet to be told.
    changed: HashMap<Tag, (Instant, Option<Instant>)>,
}

impl News {
    pub(super) fn note(&mut self, tag: Tag, now: Instant) {
        self.changed.insert(tag, (now, None));
    }
}

impl Limiter {
    /// What the next beat tells; with `again` also what beats before it have told.
    pub fn next(&self, again: bool) -> Vec<Announced> {
        let now = self.clock.now();
        let mut news = lock(&self.news);
        let mut due: Vec<(Option<Instant>, Tag)> =
            news.changed.iter().map(|(tag, (_, told))| (*told, *tag)).collect();
        // What is yet to be told comes first, then what was told longest ago.
        due.sort_unstable_by_key(|(told, tag)| (*told, tag.0));
        let new = due.iter().filter(|(told, _)| told.is_none()).count();
        due.truncate(if again { new.max(MOST_RETOLD) } else { new }.min(MOST_TOLD));
        let register = lock(&self.register);
        let mut told = Vec::with_capacity(due.len());
        for (_, tag) in due {
            let notice = register.by_tag(tag).and_then(|runner| runner.limit.notice());
            let since = news.changed.get(&tag).map_or(now, |(since, _)| *since);
            let is_over = |notice: &Notice| {
                notice.rate.is_none() && now.saturating_duration_since(since) > ENDED
            };
            let Some(notice) = notice.filter(|notice| !is_over(notice)) else {
                news.changed.remove(&tag);
                continue;
            };
            news.changed.insert(tag, (since, Some(now)));
            told.push(announced(tag, &notice, now));
        }
        told
    }

    /// The limits that are there, as many as one beat tells of.
    pub fn current(&self) -> Vec<Announced> {
        let now = self.clock.now();
        let register = lock(&self.register);
        let limited = register.runners().filter_map(|runner| {
            let notice = runner.limit.notice().filter(|notice| notice.rate.is_some())?;
            Some(announced(runner.entry.tag(), &notice, now))
        });
        limited.take(MOST_TOLD).collect()
    }

    /// Whether there is a change that no beat has told yet.
    pub fn has_news(&self) -> bool {
        lock(&self.news).changed.values().any(|(_, told)| told.is_none())
    }

    /// Takes in what another node tells.
    pub fn take(&self, told: &[Announced], from: &str) {
        let now = self.clock.now();
        for Announced { runner: tag, rate, age } in told {
            let Some(at) = now.checked_sub(*age) else { continue };
            let mut register = lock(&self.register);
            let Some(runner) = register.by_tag_mut(*tag) else { continue };
            let id = runner.entry.id.clone();
            let is_outdated = runner.limit.notice().is_some_and(|known| known.at > at);
            let differs = runner.limit.rate() != *rate;
            let change = runner.limit.take_notice(Notice { rate: *rate, at });
            drop(register);
            if let Some(change) = change {
                log_change(&id, change, "", from);
                self.note_change(*tag, change);
            } else if differs && is_outdated {
                // The other node does not know what this one has heard since.
                lock(&self.news).note(*tag, now);
                self.wake.notify_one();
            }
        }
    }
}

fn announced(runner: Tag, notice: &Notice, now: Instant) -> Announced {
    Announced { runner, rate: notice.rate, age: now.saturating_duration_since(notice.at) }
}
